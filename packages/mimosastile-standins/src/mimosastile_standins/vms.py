"""A stand-in for the platform's list of VMs, which lags."""

import asyncio

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_entry import kernel

Listing = tuple[fleet.Vm, ...]


class MemoryFleet(kernel.Passive):
    """A list of VMs whose readers see it as it was some time ago.

    Attributes:
        lag: Seconds by which readers are behind; what was read is never
            taken back.
        down: Whether reading fails.
    """

    __slots__ = ("_history", "_shown", "_vms", "down", "lag")

    def __init__(self, lag: float = 0.0) -> None:
        super().__init__("fleet_port")
        self.lag = lag
        self.down = False
        self._vms: dict[str, fleet.Vm] = {}
        self._shown = 0
        self._history: list[tuple[float, Listing]] = []

    def put(self, vm: fleet.Vm) -> None:
        """Adds a VM or changes its entry."""
        self._vms[vm.id] = vm
        self._note()

    def leave(self, vm: str) -> None:
        """Marks a VM as leaving."""
        self.put(
            msgspec.structs.replace(self._vms[vm], state=fleet.VmState.LEAVING)
        )

    def remove(self, vm: str) -> None:
        """Takes a VM off the list."""
        del self._vms[vm]
        self._note()

    def read(self, now: float) -> Listing:
        """Returns the list as readers see it at a time."""
        seen = sum(at + self.lag <= now for at, _ in self._history)
        self._shown = max(self._shown, seen)
        return self._history[self._shown - 1][1] if self._shown else ()

    async def vms(self) -> result.Result[Listing, errors.Failure]:
        """Reads the list."""
        if self.down:
            return result.Err(
                errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE)
            )
        return result.Ok(self.read(asyncio.get_running_loop().time()))

    def _note(self) -> None:
        now = asyncio.get_running_loop().time()
        self._history.append((now, tuple(self._vms.values())))
