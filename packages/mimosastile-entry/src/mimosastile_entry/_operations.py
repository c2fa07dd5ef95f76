"""The inner side of a daemon: peers' messages and the operators' views."""

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mimosastile_core import keys
from mimosastile_core import messages
from mimosastile_core import tables
from mimosastile_entry import _asgi
from mimosastile_entry import _inbox
from mimosastile_entry import _state
from mimosastile_entry import _wire
from mimosastile_entry import kernel


def application(kernel: kernel.Kernel, forward: _asgi.App) -> _asgi.App:
    """Returns the application for peers and operators.

    Args:
        kernel: The daemon's kernel.
        forward: Application for forwarded requests; it is on the hot path and
            reached without Starlette's routing.
    """
    state: _state.StateService = kernel.find("state")
    inbox: _inbox.InboxService = kernel.find("inbox")

    async def message(request: requests.Request) -> responses.Response:
        try:
            received = messages.decode(await request.body())
        except msgspec.DecodeError as error:
            return responses.PlainTextResponse(str(error), 400)
        return _json(messages.encode(inbox.receive(received)))

    async def dump(request: requests.Request) -> responses.Response:
        del request
        return _json(msgspec.json.encode(kernel.dump()))

    async def table(request: requests.Request) -> responses.Response:
        found = state.replica.table(request.path_params["service"])
        if found is None:
            return responses.PlainTextResponse("no such service\n", 404)
        return _json(msgspec.json.encode(list(found.blocks.values())))

    async def owner(request: requests.Request) -> responses.Response:
        found = state.replica.table(request.path_params["service"])
        position = keys.key_hash(request.path_params["key"])
        home: tables.Location | None = found.locate(position) if found else None
        if home is None:
            return responses.PlainTextResponse("no owner\n", 404)
        return _json(msgspec.json.encode(home))

    operators = applications.Starlette(
        routes=[
            routing.Route(_wire.MESSAGE_PATH, message, methods=["POST"]),
            routing.Route("/v1/dump", dump),
            routing.Route("/v1/tables/{service}", table),
            routing.Route("/v1/tables/{service}/owner/{key:path}", owner),
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
