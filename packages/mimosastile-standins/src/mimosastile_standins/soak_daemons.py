"""Runs real daemons as separate processes, as the platform does."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import time

from mimosastile_standins import partitions
from mimosastile_standins import soak_start

_ROOT = pathlib.Path(__file__).resolve().parents[4]
_START = pathlib.Path(soak_start.__file__)
_GRACE_SECONDS = 6
"""Time from SIGTERM to SIGKILL, as on the platform."""
_SIGNAL_READY_SECONDS = 2.0
"""Time after its launch in which a process may not handle signals yet."""
_FIRST_NETWORK, _NETWORKS = 64, 128
"""Loopback networks. Concurrent soaks use different ones."""
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
    """A daemon process that is restarted whenever it exits.

    Attributes:
        name: Identifier of the VM.
        callers_address: Address for callers.
        ready_address: Address for the load balancer's readiness check.
        signalled_at: Time of the last signal other than SIGTERM and SIGHUP.
        stopping_since: Time of SIGTERM, None before it.
        store: Address of the store.
        unexpected_exits: Number of exits without a preceding signal.
        zone: Availability zone of the VM.
    """

    __slots__ = (
        "_folder",
        "_grace_timer",
        "_ip",
        "_keep_running",
        "_launched_at",
        "_partition_file",
        "_process",
        "_supervisor",
        "callers_address",
        "name",
        "ready_address",
        "signalled_at",
        "stopping_since",
        "store",
        "unexpected_exits",
        "zone",
    )

    def __init__(self, number: int, store: str, folder: pathlib.Path) -> None:
        """Initializes a daemon without starting it.

        Args:
            number: Number of the daemon, from 1; determines its address.
            store: Address of the store.
            folder: Folder for the settings and the log.
        """
        self.name = f"vm-{number}"
        self.store = store
        self._folder = folder
        network = _FIRST_NETWORK + os.getpid() % _NETWORKS
        self._ip = f"127.{network}.{1 + number // 250}.{1 + number % 250}"
        self.zone = f"zone-{'ab'[number % 2]}"
        self.callers_address = f"{self._ip}:{_CALLERS_PORT}"
        self.ready_address = f"{self._ip}:{_READY_PORT}"
        self._process: asyncio.subprocess.Process | None = None
        self._supervisor: asyncio.Task[None] | None = None
        self._partition_file = folder / f"{self.name}{soak_start.MODE_SUFFIX}"
        self._launched_at = float("-inf")
        self._keep_running = False
        self._grace_timer: asyncio.Task[None] | None = None
        self.signalled_at = float("-inf")
        self.stopping_since: float | None = None
        self.unexpected_exits = 0

    async def start(self) -> None:
        """Starts the process and restarts it whenever it exits."""
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._folder / f"{self.name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self._ip,
                zone=self.zone,
                region=self.zone.replace("zone", "region"),
                peers=_PEERS_PORT,
                callers=_CALLERS_PORT,
                ready=_READY_PORT,
                grace=_GRACE_SECONDS,
                store=self.store,
            ),
            encoding="utf-8",
        )
        self._keep_running = True
        await self._launch(path)
        self._supervisor = asyncio.create_task(self._supervise(path))

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
        self._launched_at = time.monotonic()
        self.stopping_since = None

    async def _supervise(self, path: pathlib.Path) -> None:
        while self._keep_running and self._process is not None:
            await self._process.wait()
            stopping = self.stopping_since is not None
            killed = time.monotonic() - self.signalled_at < 1.0
            if self._keep_running and not stopping and not killed:
                self.unexpected_exits += 1
            await asyncio.sleep(0.3)
            if self._keep_running:
                await self._launch(path)

    def set_partition(self, mode: partitions.PartitionMode) -> None:
        """Cuts the process off from all targets, or ends that.

        A process that starts later reaches them.
        """
        # The process may still read the previous mode.
        new_file = self._partition_file.with_suffix(".new")
        new_file.write_text(mode.value, encoding="utf-8")
        new_file.replace(self._partition_file)
        if time.monotonic() - self._launched_at < _SIGNAL_READY_SECONDS:
            # Without its handler, the signal would end the process.
            return
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGUSR2)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self._process is None or self._process.returncode is not None:
            return
        if number is signal.SIGTERM:
            self.stopping_since = time.monotonic()
            self._grace_timer = asyncio.create_task(
                self._kill_after_grace(self._process)
            )
        elif number is not signal.SIGHUP:
            self.signalled_at = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def _kill_after_grace(
        self, process: asyncio.subprocess.Process
    ) -> None:
        """Kills a process that is still running after the grace period."""
        await asyncio.sleep(_GRACE_SECONDS)
        if process.returncode is None:
            self.signalled_at = time.monotonic()
            process.kill()

    def peak_memory_mb(self) -> float:
        """Returns the largest resident memory of the process; 0 if it ended."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        with contextlib.suppress(OSError):
            for line in status.read_text(encoding="ascii").splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def stop(self) -> None:
        """Kills the process and does not restart it."""
        self._keep_running = False
        for task in (self._supervisor, self._grace_timer):
            if task is not None:
                task.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
