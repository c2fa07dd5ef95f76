"""Authentication between entry VMs: signed heads with replay protection."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import hmac
import itertools
import math
import secrets
import time

from mimosastile_entry import _wire

Clock = Callable[[], float]

STREAMED = "streamed"
"""Replaces the digest of a body that is still streaming when signed."""

_UNSIGNED = frozenset(
    {"host", "content-length", "transfer-encoding", "connection", _wire.AUTH}
)
_AUTH_PARTS = 4
_TICK_RATE = 1000
"""Resolution of a time stamp: ticks per second."""
_MAX_STAMP_DIGITS = 15


class Signer:
    """Signs requests of this VM and verifies requests of peers.

    A signature covers method, path, headers, body digest, receiver, time
    stamp and nonce. Two keys are valid during key rotation: every VM first
    receives the new key, and only then signs with it.
    """

    __slots__ = (
        "_counter",
        "_incarnation",
        "_keys",
        "_nonces",
        "_previous_nonces",
        "_rotated_at",
        "_sign_with",
        "_started_at",
        "_vm",
        "_wall",
        "_window",
    )

    def __init__(
        self,
        vm: str,
        keys: Mapping[str, str],
        sign_with: str,
        window: float,
        wall: Clock = time.time,
    ) -> None:
        """Initializes the signer.

        Args:
            vm: Identifier of this VM.
            keys: Secrets by key identifier; if empty, checks are disabled.
            sign_with: Identifier of the key to sign with.
            window: Maximum age of a message and clock skew, in seconds.
            wall: Wall clock in seconds.
        """
        self._vm = vm
        self._keys = {name: key.encode() for name, key in keys.items()}
        self._sign_with = sign_with
        self._window = window
        self._wall = wall
        self._incarnation = secrets.token_hex(8)
        self._counter = itertools.count()
        self._started_at = wall()
        self._rotated_at = self._started_at
        self._nonces: set[str] = set()
        self._previous_nonces: set[str] = set()

    @property
    def enabled(self) -> bool:
        """Whether peers must sign their requests."""
        return bool(self._keys)

    def sign(
        self,
        to: str,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: bytes | None,
    ) -> list[tuple[str, str]]:
        """Returns the headers that authenticate a request.

        Args:
            to: Identifier of the receiving VM.
            method: HTTP method.
            path: Path with query, as sent.
            headers: The other headers.
            body: The body, None if it is streamed.
        """
        if not self._keys:
            return []
        digest = STREAMED if body is None else _digest(body)
        # Rounded up: a receiver that has just started would reject a stamp
        # before its start as an old message.
        stamp = f"{math.ceil(self._wall() * _TICK_RATE) / _TICK_RATE:.3f}"
        nonce = f"{self._incarnation}{next(self._counter):x}"
        signed = [(_wire.BODY_DIGEST, digest), *headers]
        text = _signed_text(to, method, path, stamp, nonce, signed)
        mac = _mac(self._keys[self._sign_with], text)
        value = f"{self._sign_with}:{stamp}:{nonce}:{mac}"
        return [(_wire.BODY_DIGEST, digest), (_wire.AUTH, value)]

    def check(
        self, method: str, path: str, headers: list[tuple[str, str]]
    ) -> bool:
        """Whether a peer signed this head for this VM, recently, no replay."""
        given = [value for name, value in headers if name == _wire.AUTH]
        parts = given[0].split(":") if len(given) == 1 else []
        if len(parts) != _AUTH_PARTS:
            return False
        name, stamp, nonce, mac = parts
        key = self._keys.get(name)
        if key is None or not self._is_fresh(stamp):
            return False
        text = _signed_text(self._vm, method, path, stamp, nonce, headers)
        good = hmac.compare_digest(_mac(key, text).encode(), mac.encode())
        return good and self._is_new(nonce)

    def _is_fresh(self, stamp: str) -> bool:
        whole, _, part = stamp.partition(".")
        if not (whole + part).isdecimal() or len(stamp) > _MAX_STAMP_DIGITS:
            return False
        sent = float(stamp)
        # A restarted daemon has lost its nonces, so it rejects messages from
        # before its start: a recorded move could be replayed.
        return (
            abs(self._wall() - sent) <= self._window
            and sent >= self._started_at
        )

    def _is_new(self, nonce: str) -> bool:
        now = self._wall()
        # Two generations of nonces, each as long as a message can be valid,
        # bound the memory without a timer per nonce.
        if now - self._rotated_at > 2 * self._window:
            self._previous_nonces, self._nonces = self._nonces, set()
            self._rotated_at = now
        if nonce in self._nonces or nonce in self._previous_nonces:
            return False
        self._nonces.add(nonce)
        return True


def body_matches(body: bytes, headers: Iterable[tuple[str, str]]) -> bool:
    """Whether a body is the one whose digest was signed."""
    return dict(headers).get(_wire.BODY_DIGEST) == _digest(body)


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest() if body else ""


def _mac(key: bytes, text: str) -> str:
    return hmac.digest(key, text.encode("utf-8", "replace"), "sha256").hex()


def _signed_text(
    to: str,
    method: str,
    path: str,
    stamp: str,
    nonce: str,
    headers: Iterable[tuple[str, str]],
) -> str:
    lines = sorted(
        f"{name}:{value.strip()}"
        for name, value in headers
        if name not in _UNSIGNED
    )
    # Unambiguous without length prefixes: no part contains a line break.
    return "\n".join((to, method, path, stamp, nonce, *lines))
