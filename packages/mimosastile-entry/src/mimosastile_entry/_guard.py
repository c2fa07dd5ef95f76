"""Authentication of messages and forwarded requests from peers."""

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
_MAX_BODY_BYTES = 32 << 20
_FORWARD = _wire.FORWARD_PATH + "/"


class Guard:
    """Middleware that checks the signatures of requests reserved to peers.

    The head is verified before any of the body is read, and the body before
    the application gets it. A streamed body has no digest; its signed head
    identifies the request.
    """

    __slots__ = ("_app", "_signer")

    def __init__(self, app: App, signer: _auth.Signer) -> None:
        """Initializes the guard.

        Args:
            app: The ASGI application of the inner port.
            signer: Verifier of the signatures.
        """
        self._app = app
        self._signer = signer

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Passes one request to the application, or refuses it."""
        # The decoded path, as the application routes by it.
        path = scope["path"]
        reserved = path.startswith((_FORWARD, _wire.MESSAGE_PATH))
        if not reserved or not self._signer.enabled:
            await self._app(scope, receive, send)
            return
        headers = self._verified_headers(scope)
        if headers is None:
            await _refuse(send)
            return
        digest = dict(headers)[_wire.BODY_DIGEST]
        if digest == _auth.STREAMED and path.startswith(_FORWARD):
            await self._app(scope, receive, send)
            return
        body = await _read_body(scope, receive)
        if body is None or not _auth.body_matches(body, headers):
            await _refuse(send)
            return
        await self._app(scope, _replay(body, receive), send)

    def _verified_headers(self, scope: Scope) -> list[tuple[str, str]] | None:
        received = _heads.decoded(scope["headers"])
        if received is None:
            return None
        path = scope["raw_path"].decode("ascii", "replace")
        query = scope["query_string"].decode("latin-1")
        sent = f"{path}?{query}" if query else path
        digests = [v for n, v in received if n == _wire.BODY_DIGEST]
        if len(digests) != 1:
            return None
        valid = self._signer.check(scope["method"], sent, received)
        return received if valid else None


async def _read_body(scope: Scope, receive: Receive) -> bytes | None:
    """Returns the body, None if it is too large or incomplete."""
    if not _heads.Head(scope["headers"]).has_body:
        return b""
    chunks: list[bytes] = []
    size = 0
    more = True
    while more and size <= _MAX_BODY_BYTES:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunks.append(message.get("body", b""))
        size += len(chunks[-1])
        more = message.get("more_body", False)
    return None if more else b"".join(chunks)


def _replay(body: bytes, receive: Receive) -> Receive:
    """Returns a `receive` that first yields a body that was already read."""
    left = [body]

    async def replay() -> MutableMapping[str, Any]:
        if not left:
            return await receive()
        return {"type": "http.request", "body": left.pop(), "more_body": False}

    return replay


async def _refuse(send: Send) -> None:
    logging.warning(
        "%s refused a request without a valid peer signature.", _PREFIX
    )
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
