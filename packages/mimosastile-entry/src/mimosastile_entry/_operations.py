"""Internal application of a daemon: peer messages and administration API."""

import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mimosastile_core import messages
from mimosastile_entry import _admin
from mimosastile_entry import _asgi
from mimosastile_entry import _inbox
from mimosastile_entry import _wire
from mimosastile_entry import kernel


def application(kernel: kernel.Kernel, forward: _asgi.App) -> _asgi.App:
    """Returns the ASGI application for peers and operators.

    Args:
        kernel: The daemon's kernel.
        forward: Application for forwarded requests; it is on the hot path,
            so it is called without Starlette's routing.
    """
    inbox: _inbox.InboxService = kernel.find("inbox")

    async def message(request: requests.Request) -> responses.Response:
        received = messages.decode(await request.body())
        if isinstance(received, result.Err):
            return responses.PlainTextResponse(received.err_value, 400)
        return _json(messages.encode(inbox.receive(received.ok_value)))

    operators = applications.Starlette(
        routes=[
            routing.Route(_wire.MESSAGE_PATH, message, methods=["POST"]),
            *_admin.AdminApi(kernel).routes(),
        ]
    )

    async def app(
        scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        path = scope.get("path", "")
        if path.startswith(_wire.FORWARD_PATH + "/"):
            await forward(scope, receive, send)
        else:
            await operators(scope, receive, send)

    return app


def _json(body: bytes) -> responses.Response:
    return responses.Response(body, media_type="application/json")
