"""A whole small deployment on the platform's protocol, over loopback."""

import asyncio
from collections.abc import Iterable
import contextlib
import itertools
import os
import tempfile
from typing import Any

from mimosastile_gateway import daemon
from mimosastile_gateway import events
from mimosastile_gateway import http_client
from mimosastile_gateway import settings
from mimosastile_platform import boot
from mimosastile_standins import platform_store
from mimosastile_standins import platform_target

KEYED = "catchbook"
PLAIN = "tagmint"
HOST = "labels.example"
REGIONS = {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-b"}
_WAIT_STEP = 0.02


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration as operators write it.

    Args:
        version: Its version.
        **changes: `extra`: further rules; `plain_timeout`: milliseconds;
            `regions`: those that the plain service's route allows.
    """
    rules = [
        rule("reads", "idempotent", "/read/", KEYED),
        rule(
            "issues",
            "non_idempotent",
            "/issue/",
            PLAIN,
            changes.get("plain_timeout", 2000),
            changes.get("regions", ()),
        ),
        *changes.get("extra", ()),
    ]
    return {
        "ConfigVersion": version,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1 << 20,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "ListenerList": [{"HostName": HOST, "RuleSet": rules}],
        "ClusterList": [
            {"Name": KEYED, "Sharded": True, "WarmS": 3.0},
            {"Name": PLAIN, "WarmupS": 3.0, "WarmupPerS": 3.3},
        ],
    }


def rule(
    name: str,
    kind: str,
    prefix: str,
    service: str,
    timeout: int = 2000,
    regions: Iterable[str] = (),
) -> dict[str, Any]:
    """Returns one route as operators write it.

    Args:
        name: Its name.
        kind: What may be repeated.
        prefix: Beginning of its paths.
        service: Where its requests go.
        timeout: Milliseconds that a caller is kept waiting at most.
        regions: Those that it allows; empty for all.
    """
    return {
        "Name": name,
        "RouteKind": kind,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "MatchCriteria": {"Prefix": prefix},
        "RouteAction": {
            "ServiceName": service,
            "TimeoutMs": timeout,
            "MaxAttempts": 2,
            "AllowedRegions": list(regions),
        },
    }


class World:
    """Store, targets and daemons.

    Attributes:
        store: The store.
        targets: By identifier.
        daemons: By VM.
        addresses: Of the daemons' callers' sides, by VM.
        runs: What targets have run.
    """

    __slots__ = (
        "_attempts",
        "_logs",
        "_pool",
        "_ports",
        "_store_address",
        "addresses",
        "daemons",
        "runs",
        "store",
        "targets",
    )

    def __init__(self) -> None:
        self.store = platform_store.PlatformStore()
        self.targets: dict[str, platform_target.PlatformTarget] = {}
        self.daemons: dict[str, daemon.Daemon] = {}
        self.addresses: dict[str, str] = {}
        self.runs: list[platform_target.Run] = []
        self._pool = http_client.Pool(2.0)
        self._attempts = itertools.count(1)
        self._store_address = ""
        self._logs: dict[str, int] = {}

    async def start(self, vms: int = 2, keyed: int = 3, plain: int = 2) -> None:
        """Starts everything and waits until keys are served."""
        self._store_address = await self.store.start()
        self.store.put("op/config", configuration())
        for number in range(keyed):
            await self.add_target(f"k{number}", KEYED)
        for number in range(plain):
            await self.add_target(f"p{number}", PLAIN)
        for number in range(vms):
            await self.add_vm(f"vm-{number}")
        await self.until(self._serves_keys)

    async def stop(self) -> None:
        """Ends everything at once."""
        for made in self.daemons.values():
            made.abort()
        for target in self.targets.values():
            target.stop()
        self.store.stop()
        self._pool.close()
        for descriptor in self._logs.values():
            os.close(descriptor)
        await asyncio.sleep(0)

    async def add_target(
        self, name: str, service: str, **options: Any
    ) -> platform_target.PlatformTarget:
        """Starts a target and registers it."""
        target = platform_target.PlatformTarget(
            name, service, self.runs, keyed=service == KEYED, **options
        )
        await target.start()
        self.targets[name] = target
        self.store.put(f"servers/{name}", target.registration())
        return target

    def kill_target(self, name: str) -> None:
        """Ends a target without a word; its registration stays."""
        self.targets.pop(name).stop()

    async def add_vm(self, name: str) -> daemon.Daemon:
        """Starts a daemon."""
        configured = settings.GatewaySettings(
            vm=settings.VmSettings(
                id=name,
                zone="zone-a",
                region="region-a",
                regions=REGIONS,
                ip="127.0.0.1",
                callers="127.0.0.1:0",
                readiness="127.0.0.1:0",
                peers="127.0.0.1:0",
                metrics="127.0.0.1:0",
            ),
            store=settings.StoreSettings(address=self._store_address),
            leader=settings.LeaderSettings(settle=0.2, settle_most=0.5),
        )
        descriptor = os.open(
            tempfile.gettempdir(), os.O_TMPFILE | os.O_RDWR, 0o600
        )
        self._logs[name] = descriptor
        made = daemon.Daemon(
            configured,
            boot.adapter(configured),
            events.EventLog(name, descriptor),
        )
        await made.start()
        self.daemons[name] = made
        self.addresses[name] = made.callers_address
        return made

    def kill_vm(self, name: str) -> None:
        """Ends a daemon as if its process had been killed."""
        self.addresses.pop(name)
        self.daemons.pop(name).abort()

    def log(self, name: str) -> str:
        """Returns all log lines of a daemon."""
        descriptor = self._logs[name]
        size = os.fstat(descriptor).st_size
        return os.pread(descriptor, size, 0).decode()

    async def ask(
        self,
        path: str,
        key: int | None = None,
        vm: str = "",
        deadline_ms: int = 2000,
        method: str = "GET",
    ) -> http_client.Response:
        """Makes a caller's request.

        Args:
            path: Its path.
            key: Its key, None without.
            vm: Which VM gets it; any one if empty.
            deadline_ms: How long the caller waits.
            method: HTTP method.
        """
        number = next(self._attempts)
        names = sorted(self.addresses)
        address = self.addresses[vm or names[number % len(names)]]
        headers: list[tuple[bytes, bytes]] = [
            (b"X-Attempt-Id", b"a%d" % number),
            (b"X-Deadline-Ms", b"%d" % deadline_ms),
            (b"Connection", b"close"),
        ]
        if key is not None:
            headers.append((b"X-Shard-Key", b"%d" % key))
        request = http_client.request(
            HOST,
            method,
            path,
            b"" if method == "POST" else None,
            headers,
        )
        connection = await self._pool.connect(address, 0.0, 1.0)
        try:
            reply = connection.start(request)
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await connection.wait_complete(reply, 1 << 30)
        finally:
            connection.close()
        return http_client.Response(reply.status, reply.headers, reply.take())

    async def until(self, condition: Any, seconds: float = 10.0) -> None:
        """Waits until a coroutine function returns true."""
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(_WAIT_STEP)

    async def _serves_keys(self) -> bool:
        if not all(made.ready for made in self.daemons.values()):
            return False
        for vm in self.addresses:
            with contextlib.suppress(http_client.ResponseLostError):
                for key in (0, 30_000, 65_535):
                    answer = await self.ask("/read/x", key, vm, 300)
                    if answer.status != 200:
                        return False
        return True
