"""Small complete deployment with the platform's protocol over loopback."""

import asyncio
from collections.abc import Iterable
import contextlib
import functools
import itertools
import os
import tempfile
from typing import Any

from mimosastile_gateway import daemon
from mimosastile_gateway import events
from mimosastile_gateway import http_client
from mimosastile_gateway import settings
from mimosastile_platform import boot
from mimosastile_standins import partitions
from mimosastile_standins import platform_store
from mimosastile_standins import platform_target

KEYED = "catchbook"
PLAIN = "tagmint"
HOST = "labels.example"
REGIONS = {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-b"}
_POLL_SECONDS = 0.02


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration in the operators' format.

    Args:
        version: Version number.
        **changes: `extra`: additional rules; `plain_timeout`: time-out of the
            plain service's route in milliseconds; `regions`: regions that
            this route allows.
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
    """Returns a route in the operators' format.

    Args:
        name: Name of the route.
        kind: Kind of the route, which determines what may be retried.
        prefix: Path prefix.
        service: Service that receives the requests.
        timeout: Maximum time until the response to a caller, in milliseconds.
        regions: Allowed regions; empty for all.
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
    """Runs a store, targets and daemons in this process.

    Attributes:
        store: The store.
        targets: Targets by identifier.
        daemons: Daemons by VM.
        addresses: Daemons' addresses for callers, by VM.
        partitions: Partitions between daemons and targets, by VM.
        runs: Executions by targets.
    """

    __slots__ = (
        "_attempts",
        "_log_files",
        "_pool",
        "_ports",
        "_store_address",
        "addresses",
        "daemons",
        "partitions",
        "runs",
        "store",
        "targets",
    )

    def __init__(self) -> None:
        self.store = platform_store.PlatformStore()
        self.targets: dict[str, platform_target.PlatformTarget] = {}
        self.daemons: dict[str, daemon.Daemon] = {}
        self.addresses: dict[str, str] = {}
        self.partitions: dict[str, partitions.Partition] = {}
        self.runs: list[platform_target.Execution] = []
        self._pool = http_client.Pool(2.0)
        self._attempts = itertools.count(1)
        self._store_address = ""
        self._log_files: dict[str, int] = {}

    async def start(self, vms: int = 2, keyed: int = 3, plain: int = 2) -> None:
        """Starts all parts and waits until all keys are served."""
        self._store_address = await self.store.start()
        self.store.put("op/config", configuration())
        for number in range(keyed):
            await self.add_target(f"k{number}", KEYED)
        for number in range(plain):
            await self.add_target(f"p{number}", PLAIN)
        for number in range(vms):
            await self.add_vm(f"vm-{number}")
        await self.wait_until(self._serves_keys)

    async def stop(self) -> None:
        """Stops all parts immediately."""
        for running in self.daemons.values():
            running.abort()
        for target in self.targets.values():
            target.stop()
        self.store.stop()
        self._pool.close()
        for descriptor in self._log_files.values():
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
        """Crashes a target; its registration stays."""
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
        self._log_files[name] = descriptor
        partition = self.partitions[name] = partitions.Partition()
        running = daemon.Daemon(
            configured,
            boot.adapter(configured),
            events.EventLog(name, descriptor),
            make_pool=functools.partial(
                partitions.PartitionablePool, partition=partition
            ),
        )
        await running.start()
        self.daemons[name] = running
        self.addresses[name] = running.callers_address
        return running

    def cut_targets(
        self,
        vm: str,
        mode: partitions.PartitionMode,
        targets: Iterable[str] | None = None,
    ) -> None:
        """Partitions a VM from targets until its partition is ended.

        Args:
            vm: The VM.
            mode: What happens to its connections.
            targets: Identifiers of the targets; None for all.
        """
        names = self.targets if targets is None else targets
        cut = {self.targets[name].address for name in names}
        self.partitions[vm].begin(mode, cut.__contains__)

    def kill_vm(self, name: str) -> None:
        """Stops a daemon as if its process had been killed."""
        self.addresses.pop(name)
        self.daemons.pop(name).abort()

    def log(self, name: str) -> str:
        """Returns all log lines of a daemon."""
        descriptor = self._log_files[name]
        size = os.fstat(descriptor).st_size
        return os.pread(descriptor, size, 0).decode()

    async def send_request(
        self,
        path: str,
        key: int | None = None,
        vm: str = "",
        deadline_ms: int = 2000,
        method: str = "GET",
    ) -> http_client.Response:
        """Sends a caller's request and returns the response.

        Args:
            path: Path of the request.
            key: Key of the request, None without one.
            vm: VM that gets the request; empty for the next in rotation.
            deadline_ms: Deadline in milliseconds.
            method: HTTP method.
        """
        number = next(self._attempts)
        vms = sorted(self.addresses)
        address = self.addresses[vm or vms[number % len(vms)]]
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
            response = connection.start(request)
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await connection.wait_complete(response, 1 << 30)
        finally:
            connection.close()
        return http_client.Response(
            response.status, response.headers, response.take()
        )

    async def wait_until(self, condition: Any, seconds: float = 10.0) -> None:
        """Polls a coroutine function until it returns true."""
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(_POLL_SECONDS)

    async def _serves_keys(self) -> bool:
        if not all(running.ready for running in self.daemons.values()):
            return False
        for vm in self.addresses:
            with contextlib.suppress(http_client.ResponseLostError):
                for key in (0, 30_000, 65_535):
                    response = await self.send_request("/read/x", key, vm, 300)
                    if response.status != 200:
                        return False
        return True
