"""Callers' ASGI application of a daemon and a stub of its targets."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

import msgspec
import result

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_entry import daemon
from mimosastile_entry import kernel
from mimosastile_entry import ports
from mimosastile_entry import settings
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

_HOST = "127.0.0.1"
_RETRY_SECONDS = 0.01
HTTP_OK = 200
_BODY = b"x" * 1024
_HEADERS = (("content-length", str(len(_BODY))),)
_DISCONNECT: dict[str, Any] = {"type": "http.disconnect"}


class _Targets(kernel.Passive):
    """Targets adapter that accepts grants and responds at once."""

    __slots__ = ("_target",)

    def __init__(self) -> None:
        super().__init__("targets")
        self._target = target.Target("t0")

    async def grant(
        self, vm: fleet.Vm, grant: grants.Grant, timeout: float
    ) -> result.Result[grants.GrantReply, errors.Failure]:
        """Passes a grant to the target."""
        del vm, timeout
        return result.Ok(await self._target.grant(grant))

    async def send(
        self,
        vm: fleet.Vm,
        request: ports.Request,
        fence: holder.RequestFence | None,
    ) -> result.Result[ports.Response, errors.Failure]:
        """Returns a successful response with a fixed body."""
        del vm, request, fence
        return result.Ok(ports.Response(200, _HEADERS, _SingleChunk()))


class _SingleChunk:
    """A response body in one chunk, as from the targets adapter."""

    __slots__ = ("_remaining",)

    def __init__(self) -> None:
        self._remaining = 1

    def __aiter__(self) -> "_SingleChunk":
        return self

    async def __anext__(self) -> bytes:
        if not self._remaining:
            raise StopAsyncIteration
        self._remaining = 0
        return _BODY


@contextlib.asynccontextmanager
async def callers_app(
    document: config.Document, service: str
) -> AsyncIterator[Any]:
    """Yields the callers' ASGI application of a daemon with one target.

    Args:
        document: The configuration.
        service: The target's service.
    """
    memory_store, memory_fleet = store.MemoryStore(), vms.MemoryFleet()
    version = msgspec.json.encode(config.Version(1, document))
    await memory_store.compare_and_swap("config/current", version, 0)
    memory_fleet.put(
        fleet.Vm("t0", fleet.Role.TARGET, "r", "z", _HOST, 1, service)
    )
    memory_fleet.put(fleet.Vm("entry", fleet.Role.ENTRY, "r", "z", _HOST, 1))
    entry_daemon = daemon.assemble(
        settings.Settings(
            settings.VmSettings("entry", "r", "z", _HOST, 0, 0),
            settings.PlatformSettings("http://none", "http://none"),
            limits=settings.LimitSettings(shutdown_seconds=1),
        ),
        (memory_store, memory_fleet, _Targets()),
    )
    await entry_daemon.start()
    try:
        yield entry_daemon.find("listeners").app("callers")
    finally:
        await entry_daemon.stop()


def requester(app: Any, token: str) -> Callable[[str], Awaitable[None]]:
    """Returns a function that requests a path until the status is 200."""
    headers = [
        (b"host", b"127.0.0.1:8080"),
        (b"authorization", f"Bearer {token}".encode()),
        (b"accept", b"*/*"),
        (b"accept-encoding", b"gzip, deflate"),
        (b"user-agent", b"bench"),
    ]

    async def receive() -> dict[str, Any]:
        return _DISCONNECT

    statuses: list[int] = []

    async def send(message: dict[str, Any]) -> None:
        if "status" in message:
            statuses.append(message["status"])

    async def request(path: str) -> None:
        scope = {
            "type": "http",
            "method": "GET",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": headers,
        }
        await app(scope, receive, send)
        # The daemon rejects requests until the target has its first grant.
        while statuses.pop() != HTTP_OK:
            await asyncio.sleep(_RETRY_SECONDS)
            await app(scope, receive, send)

    return request
