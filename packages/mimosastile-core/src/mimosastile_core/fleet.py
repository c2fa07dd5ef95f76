"""The platform's list of VMs, which lags behind what is true."""

import enum

import msgspec

_HANDOVER_SECONDS = 1.0
"""Time that a leaving target has for handing its keys over. The list is read
every half second and told to all, so this ends within 3 s of the mark."""


class Role(enum.Enum):
    """What a VM runs."""

    ENTRY = "entry"
    TARGET = "target"


class VmState(enum.Enum):
    """What the platform intends with a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM as the platform lists it.

    Attributes:
        id: Identifier, never used for another VM.
        role: What it runs.
        region: Region of the zone.
        zone: Availability zone.
        host: IP number.
        port: Port of a target; port for peers of an entry VM.
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
    """One reading of the list, indexed."""

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
        """Returns a service's targets that may get new work."""
        return {
            vm.id: vm
            for vm in self.targets(service).values()
            if vm.state is VmState.LIVE
        }

    def draining(self, targets: frozenset[str]) -> "Fleet":
        """Returns this reading with some targets leaving, whatever it says."""
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


class Leaving:
    """Targets that are leaving, and since when this VM knows it.

    A leaving target hands its keys over within a fraction of a second. If
    that is not possible, because the store is down, its requests are refused
    from a certain time on: what it began later would be cut off when the
    platform stops it, and its caller would not know whether it ran.
    """

    __slots__ = ("_since",)

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def update(self, listed: Fleet, now: float) -> None:
        """Takes a new reading of the list."""
        self._since = {
            vm.id: self._since.get(vm.id, now)
            for vm in listed.vms.values()
            if vm.role is Role.TARGET and vm.state is VmState.LEAVING
        }

    def __bool__(self) -> bool:
        """Whether any target is leaving; usually none is."""
        return bool(self._since)

    def is_over(self, target: str, now: float) -> bool:
        """Whether a target gets no new work any more."""
        since = self._since.get(target)
        return since is not None and now - since > _HANDOVER_SECONDS
