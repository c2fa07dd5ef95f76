"""The stand-ins as HTTP servers, in this process or in one of their own."""

from collections.abc import AsyncIterator
import contextlib

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import tables
from mimosastile_entry import ports
from mimosastile_entry import serving as entry_serving
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

_PREFIX = "x-mimosastile-"

App = applications.Starlette


def _json(value: object, status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(value), status, media_type="application/json"
    )


def store_app(kept: store.MemoryStore) -> applications.Starlette:
    """Returns the key-value service as an application."""

    async def one(request: requests.Request) -> responses.Response:
        key = request.path_params["key"]
        if request.method == "GET":
            read = await kept.get(key)
            if read.is_err():
                return responses.Response(status_code=503)
            found = read.ok()
            return (
                _json(found) if found else responses.Response(status_code=404)
            )
        revision = int(request.query_params["revision"])
        wrote = await kept.compare_and_swap(key, await request.body(), revision)
        if wrote.is_ok():
            return _json(kept.entries[key])
        if isinstance(wrote.err(), ports.Conflict):
            return _json(wrote.err(), 409)
        return responses.Response(status_code=503)

    async def listing(request: requests.Request) -> responses.Response:
        batch = await kept.list(request.query_params["prefix"])
        return _json(batch.ok()) if batch.is_ok() else _down()

    async def watch(request: requests.Request) -> responses.Response:
        batch = await kept.watch(
            request.query_params["prefix"],
            int(request.query_params["revision"]),
            float(request.query_params["wait"]),
        )
        return _json(batch.ok()) if batch.is_ok() else _down()

    return applications.Starlette(
        routes=[
            routing.Route("/kv/{key:path}", one, methods=["GET", "PUT"]),
            routing.Route("/kv", listing),
            routing.Route("/watch", watch),
        ]
    )


def _down() -> responses.Response:
    return responses.Response(status_code=503)


def fleet_app(listed: vms.MemoryFleet) -> applications.Starlette:
    """Returns the list of VMs as an application."""

    async def read(request: requests.Request) -> responses.Response:
        del request
        listing = await listed.vms()
        return _json(listing.ok()) if listing.is_ok() else _down()

    async def put(request: requests.Request) -> responses.Response:
        vm = msgspec.json.decode(await request.body(), type=fleet.Vm)
        listed.put(vm)
        return _json(vm)

    return applications.Starlette(
        routes=[
            routing.Route("/vms", read),
            routing.Route("/vms", put, methods=["POST"]),
        ]
    )


def target_app(run: target.Target) -> applications.Starlette:
    """Returns a target as an application."""

    async def grant(request: requests.Request) -> responses.Response:
        message = msgspec.json.decode(await request.body(), type=grants.Grant)
        return _json(await run.grant(message))

    async def work(request: requests.Request) -> responses.Response:
        await request.body()
        outcome = await run.handle(
            request.method,
            request.url.path,
            request.headers.get(_PREFIX + "request-id", ""),
            _fence(request),
        )
        if outcome.refused is not None:
            return responses.Response(
                status_code=503,
                headers={_PREFIX + "error": outcome.refused.value},
            )
        return responses.Response(outcome.body, media_type="application/json")

    methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    return applications.Starlette(
        routes=[
            routing.Route("/-/grant", grant, methods=["POST"]),
            routing.Route("/{path:path}", work, methods=methods),
        ]
    )


def _fence(request: requests.Request) -> holder.RequestFence | None:
    block = request.headers.get(_PREFIX + "block")
    if block is None:
        return None
    service, _, index = block.rpartition("/")
    return holder.RequestFence(
        tables.BlockId(service, int(index)),
        int(request.headers[_PREFIX + "position"]),
        int(request.headers[_PREFIX + "fence"]),
    )


@contextlib.asynccontextmanager
async def serving(
    app: applications.Starlette, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[int]:
    """Serves an application for the length of a block.

    Args:
        app: The application.
        host: IP number to listen on.
        port: Port, 0 for any free one.

    Yields:
        The bound port.
    """
    listener = await entry_serving.listen(app, host, port, 1.0)
    try:
        yield listener.port
    finally:
        await listener.stop()
