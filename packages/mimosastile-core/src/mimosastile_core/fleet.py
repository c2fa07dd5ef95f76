"""The platform's list of VMs, which lags behind their actual state."""

import enum

import msgspec

_HANDOVER_TIMEOUT_SECONDS = 1.0
"""Time for a leaving target to hand over its keys. The list is read every half
second and sent to all VMs, so the time ends within 3 s of the mark."""


class Role(enum.Enum):
    """Role of a VM."""

    ENTRY = "entry"
    TARGET = "target"


class VmState(enum.Enum):
    """State of a VM as set by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM as the platform lists it.

    Attributes:
        id: Identifier, never reused.
        role: Entry VM or target.
        region: Region of the zone.
        zone: Availability zone.
        host: IP address.
        port: Port of a target, or an entry VM's port for its peers.
        service: Service of a target, empty for an entry VM.
        state: Live or leaving.
    """

    id: str
    role: Role
    region: str
    zone: str
    host: str
    port: int
    service: str = ""
    state: VmState = VmState.LIVE


class Fleet:
    """Indexed snapshot of the list."""

    __slots__ = ("_entries", "_targets", "_vms")

    def __init__(self, vms: tuple[Vm, ...] = ()) -> None:
        self._vms = {vm.id: vm for vm in vms}
        self._entries = {vm.id: vm for vm in vms if vm.role is Role.ENTRY}
        self._targets: dict[str, dict[str, Vm]] = {}
        for vm in vms:
            if vm.role is Role.TARGET:
                self._targets.setdefault(vm.service, {})[vm.id] = vm

    @property
    def vms(self) -> dict[str, Vm]:
        """All VMs by identifier."""
        return self._vms

    @property
    def entries(self) -> dict[str, Vm]:
        """Entry VMs by identifier, leaving ones included."""
        return self._entries

    def targets(self, service: str) -> dict[str, Vm]:
        """Returns a service's targets by identifier, leaving ones included."""
        return self._targets.get(service, {})

    def live_targets(self, service: str) -> dict[str, Vm]:
        """Returns a service's targets that are not leaving."""
        return {
            vm.id: vm
            for vm in self.targets(service).values()
            if vm.state is VmState.LIVE
        }

    def with_leaving(self, targets: frozenset[str]) -> "Fleet":
        """Returns a copy of the snapshot with the given targets leaving."""
        if not targets & self._vms.keys():
            return self
        leaving = VmState.LEAVING
        return Fleet(
            tuple(
                msgspec.structs.replace(vm, state=leaving)
                if vm.id in targets and vm.role is Role.TARGET
                else vm
                for vm in self._vms.values()
            )
        )

    def live_entries(self, zone: str | None = None) -> dict[str, Vm]:
        """Returns entry VMs that are not leaving, of one zone or of all."""
        return {
            vm.id: vm
            for vm in self._entries.values()
            if vm.state is VmState.LIVE and zone in (None, vm.zone)
        }


class LeavingTargets:
    """Leaving targets, with the time at which this VM first saw the mark.

    A leaving target hands over its keys within a fraction of a second. If the
    store is down, the handover is not possible, and after a timeout its
    requests are refused: the platform would stop the target in the middle of
    later requests, and it would be uncertain for their callers whether they
    ran.
    """

    __slots__ = ("_since",)

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def update(self, snapshot: Fleet, now: float) -> None:
        """Updates the leaving targets from a new snapshot of the list."""
        self._since = {
            vm.id: self._since.get(vm.id, now)
            for vm in snapshot.vms.values()
            if vm.role is Role.TARGET and vm.state is VmState.LEAVING
        }

    def __bool__(self) -> bool:
        """Whether any target is leaving."""
        return bool(self._since)

    def has_timed_out(self, target: str, now: float) -> bool:
        """Whether the handover timeout of a leaving target has passed."""
        since = self._since.get(target)
        return since is not None and now - since > _HANDOVER_TIMEOUT_SECONDS
