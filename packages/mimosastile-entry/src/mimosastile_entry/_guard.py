"""Lets only signed messages and forwarded requests of peers in."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import Any

from absl import logging

from mimosastile_core import errors
from mimosastile_entry import _auth
from mimosastile_entry import _calls
from mimosastile_entry import _heads
from mimosastile_entry import _wire

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

_PREFIX = "peers:"
_MAX_BODY = 32 << 20
_FORWARD = _wire.FORWARD_PATH + "/"


class Guard:
    """Checks the signature of what only peers may send.

    The head is checked before a byte of the body is read, the body before
    anything acts on it. A streamed body has no digest; its head names the
    request it belongs to.
    """

    __slots__ = ("_app", "_signer")

    def __init__(self, app: App, signer: _auth.Signer) -> None:
        """Makes the guard.

        Args:
            app: The application of the inner side.
            signer: The signer.
        """
        self._app = app
        self._signer = signer

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one request, or refuses it."""
        # The decoded path, as it is what the application goes by.
        path = scope["path"]
        inner = path.startswith((_FORWARD, _wire.MESSAGE_PATH))
        if not inner or not self._signer.enabled:
            await self._app(scope, receive, send)
            return
        headers = self._checked(scope)
        if headers is None:
            await _refuse(send)
            return
        digest = dict(headers)[_wire.BODY_DIGEST]
        if digest == _auth.STREAMED and path.startswith(_FORWARD):
            await self._app(scope, receive, send)
            return
        body = await _whole(scope, receive)
        if body is None or not _auth.body_matches(body, headers):
            await _refuse(send)
            return
        await self._app(scope, _replayed(body, receive), send)

    def _checked(self, scope: Scope) -> list[tuple[str, str]] | None:
        given = _heads.decoded(scope["headers"])
        if given is None:
            return None
        path = scope["raw_path"].decode("ascii", "replace")
        query = scope["query_string"].decode("latin-1")
        sent = f"{path}?{query}" if query else path
        digests = [v for n, v in given if n == _wire.BODY_DIGEST]
        if len(digests) != 1:
            return None
        good = self._signer.check(scope["method"], sent, given)
        return given if good else None


async def _whole(scope: Scope, receive: Receive) -> bytes | None:
    """Returns the body, None if it is too large or breaks off."""
    if not _heads.Head(scope["headers"]).has_body:
        return b""
    chunks: list[bytes] = []
    size = 0
    more = True
    while more and size <= _MAX_BODY:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunks.append(message.get("body", b""))
        size += len(chunks[-1])
        more = message.get("more_body", False)
    return None if more else b"".join(chunks)


def _replayed(body: bytes, receive: Receive) -> Receive:
    """Returns a way to read a body that has been read already."""
    left = [body]

    async def replay() -> MutableMapping[str, Any]:
        if not left:
            return await receive()
        return {"type": "http.request", "body": left.pop(), "more_body": False}

    return replay


async def _refuse(send: Send) -> None:
    logging.warning("%s refused what no peer signed.", _PREFIX)
    failure = errors.Failure(errors.ErrorKind.UNAUTHENTICATED)
    response = _calls.refuse(failure, "")
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": [(n.encode(), v.encode()) for n, v in response.headers],
        }
    )
    async for chunk in response.body:
        await send({"type": "http.response.body", "body": chunk})
