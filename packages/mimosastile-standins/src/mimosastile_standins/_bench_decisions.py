"""The callers' application of a daemon whose targets answer at once."""

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
_SETTLE_SECONDS = 0.01
HTTP_OK = 200
_BODY = b"x" * 1024
_HEADERS = (("content-length", str(len(_BODY))),)
_WAIT: dict[str, Any] = {"type": "http.disconnect"}


class _Targets(kernel.Passive):
    """Takes grants and answers every request at once."""

    __slots__ = ("_run",)

    def __init__(self) -> None:
        super().__init__("targets")
        self._run = target.Target("t0")

    async def grant(
        self, vm: fleet.Vm, grant: grants.Grant, timeout: float
    ) -> result.Result[grants.GrantReply, errors.Failure]:
        """Takes a grant."""
        del vm, timeout
        return result.Ok(await self._run.grant(grant))

    async def send(
        self,
        vm: fleet.Vm,
        request: ports.Request,
        fence: holder.RequestFence | None,
    ) -> result.Result[ports.Response, errors.Failure]:
        """Answers."""
        del vm, request, fence
        return result.Ok(ports.Response(200, _HEADERS, _Once()))


class _Once:
    """A body in one piece, as the adapter to targets hands it on."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left = 1

    def __aiter__(self) -> "_Once":
        return self

    async def __anext__(self) -> bytes:
        if not self._left:
            raise StopAsyncIteration
        self._left = 0
        return _BODY


@contextlib.asynccontextmanager
async def callers_app(
    document: config.Document, service: str
) -> AsyncIterator[Any]:
    """Yields the callers' application of a daemon with one target.

    Args:
        document: The configuration.
        service: The target's service.
    """
    kept, listed = store.MemoryStore(), vms.MemoryFleet()
    version = msgspec.json.encode(config.Version(1, document))
    await kept.compare_and_swap("config/current", version, 0)
    listed.put(fleet.Vm("t0", fleet.Role.TARGET, "r", "z", _HOST, 1, service))
    listed.put(fleet.Vm("entry", fleet.Role.ENTRY, "r", "z", _HOST, 1))
    made = daemon.assemble(
        settings.Settings(
            settings.VmSettings("entry", "r", "z", _HOST, 0, 0),
            settings.PlatformSettings("http://none", "http://none"),
            limits=settings.LimitSettings(shutdown_seconds=1),
        ),
        (kept, listed, _Targets()),
    )
    await made.start()
    try:
        yield made.find("listeners").app("callers")
    finally:
        await made.stop()


def asker(app: Any, token: str) -> Callable[[str], Awaitable[None]]:
    """Returns a function that asks for a path until it is served."""
    headers = [
        (b"host", b"127.0.0.1:8080"),
        (b"authorization", f"Bearer {token}".encode()),
        (b"accept", b"*/*"),
        (b"accept-encoding", b"gzip, deflate"),
        (b"user-agent", b"bench"),
    ]

    async def receive() -> dict[str, Any]:
        return _WAIT

    statuses: list[int] = []

    async def send(message: dict[str, Any]) -> None:
        if "status" in message:
            statuses.append(message["status"])

    async def ask(path: str) -> None:
        scope = {
            "type": "http",
            "method": "GET",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": headers,
        }
        await app(scope, receive, send)
        # Before its first grant the daemon refuses for a moment.
        while statuses.pop() != HTTP_OK:
            await asyncio.sleep(_SETTLE_SECONDS)
            await app(scope, receive, send)

    return ask
