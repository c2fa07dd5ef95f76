"""An in-memory stand-in for the platform's VM list, with a lag."""

import asyncio

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_entry import kernel

Listing = tuple[fleet.Vm, ...]


class MemoryFleet(kernel.Passive):
    """A VM list whose readers see a delayed version.

    Attributes:
        lag: Delay of readers in seconds. Raising it never makes readers go
            back to an older version.
        down: Whether reading fails.
    """

    __slots__ = ("_history", "_visible_count", "_vms", "down", "lag")

    def __init__(self, lag: float = 0.0) -> None:
        super().__init__("fleet_port")
        self.lag = lag
        self.down = False
        self._vms: dict[str, fleet.Vm] = {}
        self._visible_count = 0
        self._history: list[tuple[float, Listing]] = []

    def put(self, vm: fleet.Vm) -> None:
        """Adds a VM or replaces its entry."""
        self._vms[vm.id] = vm
        self._record_version()

    def leave(self, vm: str) -> None:
        """Marks a VM as leaving."""
        self.put(
            msgspec.structs.replace(self._vms[vm], state=fleet.VmState.LEAVING)
        )

    def remove(self, vm: str) -> None:
        """Removes a VM from the list."""
        del self._vms[vm]
        self._record_version()

    def read(self, now: float) -> Listing:
        """Returns the version that readers see at loop time `now`."""
        visible = sum(at + self.lag <= now for at, _ in self._history)
        self._visible_count = max(self._visible_count, visible)
        return (
            self._history[self._visible_count - 1][1]
            if self._visible_count
            else ()
        )

    async def vms(self) -> result.Result[Listing, errors.Failure]:
        """Returns the delayed list, or a failure while `down` is set."""
        if self.down:
            return result.Err(
                errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE)
            )
        return result.Ok(self.read(asyncio.get_running_loop().time()))

    def _record_version(self) -> None:
        now = asyncio.get_running_loop().time()
        self._history.append((now, tuple(self._vms.values())))
