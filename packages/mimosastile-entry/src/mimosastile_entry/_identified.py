"""Middleware that repeats the identifier of a send in its response."""

from collections.abc import MutableMapping
from typing import Any

from mimosastile_entry import _asgi
from mimosastile_entry import _wire

_SEND_ID = _wire.SEND_ID.encode()


class Identified:
    """Lets other VMs match each response to their request.

    It precedes the check of signatures, so that refusals are matched as well.
    """

    __slots__ = ("_app",)

    def __init__(self, app: _asgi.App) -> None:
        """Initializes the middleware.

        Args:
            app: The ASGI application of the inner port.
        """
        self._app = app

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Passes one request to the application."""
        identifiers = [pair for pair in scope["headers"] if pair[0] == _SEND_ID]
        if len(identifiers) != 1:
            await self._app(scope, receive, send)
            return

        async def send_identified(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start":
                headers = [*message.get("headers", ()), *identifiers]
                message = {**message, "headers": headers}
            await send(message)

        await self._app(scope, receive, send_identified)
