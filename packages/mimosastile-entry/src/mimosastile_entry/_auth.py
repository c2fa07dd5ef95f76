"""Authentication between entry VMs: signed heads, fresh and used once."""

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
"""Stands for the digest of a body that is not whole when it is signed."""

_UNSIGNED = frozenset(
    {"host", "content-length", "transfer-encoding", "connection", _wire.AUTH}
)
_PARTS = 4
_STAMPS = 1000
"""Different stamps in a second."""
_MAX_DIGITS = 15


class Signer:
    """Signs what this VM sends and checks what peers send.

    A signature covers method, path, headers, digest of the body, receiver,
    time and a number used once. Two keys are valid at a time while they are
    rotated: every VM first learns the new one, then signs with it.
    """

    __slots__ = (
        "_keys",
        "_nonces",
        "_number",
        "_run",
        "_seen",
        "_sign_with",
        "_started",
        "_turned",
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
        """Makes a signer.

        Args:
            vm: Identifier of this VM.
            keys: Secrets by key identifier; none turns the checks off.
            sign_with: Identifier of the key to sign with.
            window: Seconds by which a message may be old, or clocks differ.
            wall: Wall clock in seconds.
        """
        self._vm = vm
        self._keys = {name: key.encode() for name, key in keys.items()}
        self._sign_with = sign_with
        self._window = window
        self._wall = wall
        self._run = secrets.token_hex(8)
        self._number = itertools.count()
        self._started = wall()
        self._turned = self._started
        self._nonces: set[str] = set()
        self._seen: set[str] = set()

    @property
    def enabled(self) -> bool:
        """Whether peers must sign."""
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
        # Rounded up: a stamp that lay before the start of a receiver that has
        # just started would be taken for an old message.
        stamp = f"{math.ceil(self._wall() * _STAMPS) / _STAMPS:.3f}"
        nonce = f"{self._run}{next(self._number):x}"
        signed = [(_wire.BODY_DIGEST, digest), *headers]
        text = _text(to, method, path, stamp, nonce, signed)
        mac = _mac(self._keys[self._sign_with], text)
        value = f"{self._sign_with}:{stamp}:{nonce}:{mac}"
        return [(_wire.BODY_DIGEST, digest), (_wire.AUTH, value)]

    def check(
        self, method: str, path: str, headers: list[tuple[str, str]]
    ) -> bool:
        """Whether a peer signed this head for this VM, just now, once."""
        given = [value for name, value in headers if name == _wire.AUTH]
        parts = given[0].split(":") if len(given) == 1 else []
        if len(parts) != _PARTS:
            return False
        name, stamp, nonce, mac = parts
        key = self._keys.get(name)
        if key is None or not self._is_fresh(stamp):
            return False
        text = _text(self._vm, method, path, stamp, nonce, headers)
        good = hmac.compare_digest(_mac(key, text).encode(), mac.encode())
        return good and self._is_first(nonce)

    def _is_fresh(self, stamp: str) -> bool:
        whole, _, part = stamp.partition(".")
        if not (whole + part).isdecimal() or len(stamp) > _MAX_DIGITS:
            return False
        sent = float(stamp)
        # A restarted daemon has forgotten what it has seen, so nothing from
        # before its start counts; a recorded move could be played again.
        return (
            abs(self._wall() - sent) <= self._window and sent >= self._started
        )

    def _is_first(self, nonce: str) -> bool:
        now = self._wall()
        # Two generations, each as long as a message can be valid, bound the
        # memory without a timer for each number.
        if now - self._turned > 2 * self._window:
            self._seen, self._nonces = self._nonces, set()
            self._turned = now
        if nonce in self._nonces or nonce in self._seen:
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


def _text(
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
    # Lengths cannot be confused: no part contains a line end.
    return "\n".join((to, method, path, stamp, nonce, *lines))
