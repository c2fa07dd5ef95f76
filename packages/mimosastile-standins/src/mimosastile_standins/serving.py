"""HTTP applications for the stand-ins, and a server to run them."""

from collections.abc import AsyncIterator
import contextlib

import msgspec
from starlette import applications
from starlette import datastructures
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import tables
from mimosastile_entry import ports
from mimosastile_entry import serving as entry_serving
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

_HEADER_PREFIX = "x-mimosastile-"
_SEND_ID = _HEADER_PREFIX + "send-id"

App = applications.Starlette


def _json(value: object, status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(value), status, media_type="application/json"
    )


def store_app(memory_store: store.MemoryStore) -> applications.Starlette:
    """Returns an HTTP application for the key-value service."""

    async def read_or_write(request: requests.Request) -> responses.Response:
        key = request.path_params["key"]
        if request.method == "GET":
            read = await memory_store.get(key)
            if read.is_err():
                return responses.Response(status_code=503)
            found = read.ok()
            return (
                _json(found) if found else responses.Response(status_code=404)
            )
        revision = int(request.query_params["revision"])
        written = await memory_store.compare_and_swap(
            key, await request.body(), revision
        )
        if written.is_ok():
            return _json(memory_store.entries[key])
        if isinstance(written.err(), ports.Conflict):
            return _json(written.err(), 409)
        return responses.Response(status_code=503)

    async def listing(request: requests.Request) -> responses.Response:
        batch = await memory_store.list(request.query_params["prefix"])
        return _json(batch.ok()) if batch.is_ok() else _unavailable()

    async def watch(request: requests.Request) -> responses.Response:
        batch = await memory_store.watch(
            request.query_params["prefix"],
            int(request.query_params["revision"]),
            float(request.query_params["wait"]),
        )
        return _json(batch.ok()) if batch.is_ok() else _unavailable()

    return applications.Starlette(
        routes=[
            routing.Route(
                "/kv/{key:path}", read_or_write, methods=["GET", "PUT"]
            ),
            routing.Route("/kv", listing),
            routing.Route("/watch", watch),
        ]
    )


def _unavailable() -> responses.Response:
    return responses.Response(status_code=503)


def fleet_app(memory_fleet: vms.MemoryFleet) -> applications.Starlette:
    """Returns an HTTP application for the VM list."""

    async def read(request: requests.Request) -> responses.Response:
        del request
        listing = await memory_fleet.vms()
        return _json(listing.ok()) if listing.is_ok() else _unavailable()

    async def put(request: requests.Request) -> responses.Response:
        vm = msgspec.json.decode(await request.body(), type=fleet.Vm)
        memory_fleet.put(vm)
        return _json(vm)

    return applications.Starlette(
        routes=[
            routing.Route("/vms", read),
            routing.Route("/vms", put, methods=["POST"]),
        ]
    )


def target_app(target_: target.Target) -> applications.Starlette:
    """Returns an HTTP application for a target."""

    async def grant(request: requests.Request) -> responses.Response:
        message = msgspec.json.decode(await request.body(), type=grants.Grant)
        return _json(await target_.grant(message))

    async def handle_request(request: requests.Request) -> responses.Response:
        await request.body()
        outcome = await target_.handle(
            request.method,
            request.url.path,
            request.headers.get(_HEADER_PREFIX + "request-id", ""),
            _fence(request),
        )
        if outcome.refused is not None:
            return responses.Response(
                status_code=503,
                headers={_HEADER_PREFIX + "error": outcome.refused.value},
            )
        return responses.Response(outcome.body, media_type="application/json")

    methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    return applications.Starlette(
        routes=[
            routing.Route("/-/grant", grant, methods=["POST"]),
            routing.Route("/{path:path}", handle_request, methods=methods),
        ],
        middleware=[middleware.Middleware(_Identified)],
    )


class _Identified:
    """Repeats the identifier of each send in its response."""

    def __init__(self, app: types.ASGIApp) -> None:
        self._app = app

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        identifier = requests.Request(scope).headers.get(_SEND_ID)

        async def send_identified(message: types.Message) -> None:
            if message["type"] == "http.response.start" and identifier:
                headers = datastructures.MutableHeaders(scope=message)
                headers[_SEND_ID] = identifier
            await send(message)

        await self._app(scope, receive, send_identified)


def _fence(request: requests.Request) -> holder.RequestFence | None:
    block = request.headers.get(_HEADER_PREFIX + "block")
    if block is None:
        return None
    service, _, index = block.rpartition("/")
    return holder.RequestFence(
        tables.BlockId(service, int(index)),
        int(request.headers[_HEADER_PREFIX + "position"]),
        int(request.headers[_HEADER_PREFIX + "fence"]),
    )


@contextlib.asynccontextmanager
async def serving(
    app: applications.Starlette, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[int]:
    """Serves an application for the duration of a `with` block.

    Args:
        app: The application.
        host: IP address to listen on.
        port: Port, 0 for any free one.

    Yields:
        The bound port.
    """
    listener = await entry_serving.listen(app, host, port, 1.0)
    try:
        yield listener.port
    finally:
        await listener.stop()
