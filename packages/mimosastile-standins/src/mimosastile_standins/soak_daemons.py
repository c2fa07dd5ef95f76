"""Real daemons as separate processes, as the platform runs them."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import time

_ROOT = pathlib.Path(__file__).resolve().parents[4]
_START = _ROOT / "platform" / "start.py"
_GRACE_SECONDS = 6
"""From SIGTERM to the forced end, as the platform has it."""
_FIRST_NETWORK, _NETWORKS = 64, 128
"""Loopback networks; runs beside each other take different ones."""
_CALLERS_PORT, _READY_PORT, _PEERS_PORT = 18548, 18542, 17540

_SETTINGS = """
NodeName = "{name}"
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
InternalPortRange = [{peers}, {peers}]
[Zones]
zone-a = "region-a"
zone-b = "region-b"
[Listen]
Front = "{ip}:{callers}"
Ready = "{ip}:{ready}"
[Bounds]
GraceS = {grace}
[Platform]
Address = "{store}"
"""


class SoakDaemon:
    """One daemon's process, started again whenever it has ended.

    Attributes:
        name: Identifier of its VM.
        callers: Address of its callers' side.
        ready: Address of the balancer's question.
        disturbed_at: Time of the last signal other than SIGTERM and SIGHUP.
        stopping_since: Time of SIGTERM, None while it was not asked to stop.
        unasked_ends: How often it ended by itself.
    """

    __slots__ = (
        "_folder",
        "_grace",
        "_ip",
        "_process",
        "_watcher",
        "_wanted",
        "_zone",
        "callers",
        "disturbed_at",
        "name",
        "ready",
        "stopping_since",
        "store",
        "unasked_ends",
    )

    def __init__(self, number: int, store: str, folder: pathlib.Path) -> None:
        """Makes one that is not started.

        Args:
            number: Its number, from 1; gives it an address of its own.
            store: Address at which it finds the store.
            folder: For its settings and its log.
        """
        self.name = f"vm-{number}"
        self.store = store
        self._folder = folder
        network = _FIRST_NETWORK + os.getpid() % _NETWORKS
        self._ip = f"127.{network}.{1 + number // 250}.{1 + number % 250}"
        self._zone = "ab"[number % 2]
        self.callers = f"{self._ip}:{_CALLERS_PORT}"
        self.ready = f"{self._ip}:{_READY_PORT}"
        self._process: asyncio.subprocess.Process | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._wanted = False
        self._grace: asyncio.Task[None] | None = None
        self.disturbed_at = float("-inf")
        self.stopping_since: float | None = None
        self.unasked_ends = 0

    async def start(self) -> None:
        """Starts its process and keeps it running."""
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._folder / f"{self.name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self._ip,
                zone=f"zone-{self._zone}",
                region=f"region-{self._zone}",
                peers=_PEERS_PORT,
                callers=_CALLERS_PORT,
                ready=_READY_PORT,
                grace=_GRACE_SECONDS,
                store=self.store,
            ),
            encoding="utf-8",
        )
        self._wanted = True
        await self._launch(path)
        self._watcher = asyncio.create_task(self._keep(path))

    async def _launch(self, path: pathlib.Path) -> None:
        environment = {**os.environ, "MIMOSASTILE_NODE_FILE": str(path)}
        log = self._folder / f"{self.name}.log"
        with log.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(_START),
                stdout=out,
                stderr=out,
                env=environment,
                cwd=_ROOT,
            )
        self.stopping_since = None

    async def _keep(self, path: pathlib.Path) -> None:
        while self._wanted and self._process is not None:
            await self._process.wait()
            asked = self.stopping_since is not None
            killed = time.monotonic() - self.disturbed_at < 1.0
            if self._wanted and not asked and not killed:
                self.unasked_ends += 1
            await asyncio.sleep(0.3)
            if self._wanted:
                await self._launch(path)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if there is one."""
        if self._process is None or self._process.returncode is not None:
            return
        if number is signal.SIGTERM:
            self.stopping_since = time.monotonic()
            self._grace = asyncio.create_task(self._force(self._process))
        elif number is not signal.SIGHUP:
            self.disturbed_at = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def _force(self, process: asyncio.subprocess.Process) -> None:
        """Ends a process that has not stopped within its time."""
        await asyncio.sleep(_GRACE_SECONDS)
        if process.returncode is None:
            self.disturbed_at = time.monotonic()
            process.kill()

    async def end(self) -> None:
        """Ends its process for good."""
        self._wanted = False
        for task in (self._watcher, self._grace):
            if task is not None:
                task.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
