"""Dissemination of cluster state from the leader to all VMs, as deltas."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
import functools
from typing import Any

import msgspec
import result

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import limits
from mimosastile_core.gateway import path_proofs
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import messages
from mimosastile_gateway import peer_calls

# Fields of the same name hide the module in a class body.
_Assignment = assignments.Assignment
_Difference = assignments.Difference
_Evacuations = eligibility.Evacuations

REPORT_MAX_AGE_SECONDS = 1.5
"""Age in seconds up to which a VM's report is valid."""
_BATCH_SECONDS = 0.02
"""Time over which changes are gathered before an update is sent: the grants of
a change of many ranges spread over a few such intervals."""
_CALL_TIMEOUT_SECONDS = 2.0
"""Longest wait for a VM's response. Aborting and resending sooner would fill a
narrow link with data that is never read."""
_HELD_UP_SECONDS = 0.5
"""Wait for a VM's response after which the update takes another path, provided
that reports get through: a quarter of the time within which changes have to be
in force."""
_HELD_UP_CHECK_SECONDS = 0.1
"""Interval of further checks whether reports get through."""
_SLOW_SECONDS = 0.3
"""Seconds after which an unacknowledged update may be lost: far more than a
round trip to another region."""
_SMALL_UPDATE_ITEMS = 50
"""Largest number of routes, targets and key ranges, of a hundred bytes each, in
the response to a report."""
_MIN_RELAY_VMS = 3
"""Number of VMs in another zone from which an update is sent to one of them and
relayed to the others."""
_ASSIGNMENT_HISTORY_SIZE = 64
"""Number of earlier assignments kept to send VMs only the changes since; a VM
that is further behind gets the whole assignment."""


class _Vm:
    """A VM's last reported view, and the progress of updates to it.

    Attributes:
        report: The VM's last report, with the updates acknowledged since.
        at: Time at which the report was received.
        sending: Whether an update to the VM is in flight.
        since: Time at which that update was sent.
        missed: Whether the last update got lost; the VM then gets everything
            with the response to its next report.
        answered: Whether such a response was sent.
    """

    __slots__ = ("answered", "at", "missed", "report", "sending", "since")

    def __init__(self, report: messages.Report, at: float) -> None:
        self.report = report
        self.at = at
        self.sending = False
        self.since = 0.0
        self.missed = False
        self.answered = False


class _View(msgspec.Struct, frozen=True):
    """The view of a VM once it has received an update.

    Attributes:
        versions: Versions of assignments, by service.
        seen: Store revision up to which the VM has all registrations.
        configuration: Version of the configuration.
        evacuations: Evacuated zones.
    """

    versions: dict[str, assignments.Version]
    seen: int
    configuration: int
    evacuations: _Evacuations


class _Batch:
    """An encoded update and the VMs that need it."""

    __slots__ = ("body", "vms")

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.vms: list[_Vm] = []


class MissingUpdates(msgspec.Struct, frozen=True):
    """State that a VM is missing.

    Attributes:
        assignments: Whole assignments that the VM does not have.
        differences: Changes of assignments that it has.
        state_update: Changes from the store that it does not have.
    """

    assignments: tuple[_Assignment, ...]
    differences: tuple[_Difference, ...]
    state_update: messages.StateUpdate | None

    def urgent(self) -> "MissingUpdates":
        """Returns as much of this state as fits into a few packets.

        Registrations go first, then routes, then owners of keys.
        """
        left = _SMALL_UPDATE_ITEMS
        update = self.state_update
        if update is not None:
            left -= len(update.targets)
            if left < 0:
                return MissingUpdates((), (), None)
            change = update.change
            if change is not None and len(change.routes) > left:
                change = None
            left -= len(change.routes) if change else 0
            needed = update.targets or change or update.evacuations
            update = (
                msgspec.structs.replace(
                    update, configuration=None, change=change
                )
                if needed
                else None
            )
        spans = sum(len(d.spans) for d in self.differences)
        small = spans <= left
        return MissingUpdates((), self.differences if small else (), update)

    @property
    def empty(self) -> bool:
        """Whether the VM is up to date."""
        return not (self.assignments or self.differences or self.state_update)


class Disseminator:
    """Stores the VMs' reports and sends VMs updates of what they are missing.

    At most one update per VM is in flight; later changes go into the next one,
    so a VM behind a full link gets fewer and larger updates. In another zone,
    one VM receives an update and relays it to the others; if it does not
    respond, the next VM is tried.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_cluster",
        "_entry",
        "_events",
        "_here",
        "_published",
        "_tasks",
        "_update_due",
        "_vms",
        "_zone",
    )

    def __init__(
        self,
        here: str,
        zone: str,
        calls: peer_calls.PeerCalls,
        state: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        """Creates an inactive sender; `begin` starts it.

        Args:
            here: Identifier of this VM.
            zone: Availability zone of this VM.
            calls: Sends messages to peers.
            state: The cluster state of this VM.
            timer: The clock.
            log: The event log.
        """
        self._here = here
        self._zone = zone
        self._calls = calls
        self._cluster = state
        self._clock = timer
        self._events = log
        self._entry: leadership.LeaderEntry | None = None
        self._vms: dict[str, _Vm] = {}
        self._published: dict[
            tuple[str, tuple[int, ...]], assignments.Assignment
        ] = {}
        self._update_due = asyncio.Event()
        self._tasks = background_tasks.BackgroundTasks(log)
        state.subscribe(self._update_due.set)

    def begin(
        self,
        entry: leadership.LeaderEntry,
        on_failure: Callable[[int], None] = background_tasks.ignore_failure,
    ) -> None:
        """Starts sending updates as a leader.

        Args:
            entry: The leader's entry.
            on_failure: Called when updates fail to be sent for a reason that
                is not the receiver, with the failures in succession.
        """
        self._entry = entry
        self._vms = {}
        self._published = {}
        self._tasks.keep(
            "send-updates", self._send_updates, on_failure=on_failure
        )

    def announce(self, vms: Iterable[messages.VmEntry]) -> None:
        """Sends VMs the new leader's entry at once.

        Otherwise each VM would go on sending reports to the former leader, and
        would follow the store by itself in the meantime.

        Args:
            vms: All registered VMs.
        """
        body = messages.encode(messages.ReportReply(self._entry, leading=True))
        for vm in vms:
            if vm.id != self._here:
                self._start(self._announce(vm, body))

    def request_takeover(
        self,
        vms: Iterable[messages.VmEntry],
        path_proof: path_proofs.PathProof | None = None,
    ) -> None:
        """Requests VMs at once to take over as the leader.

        Args:
            vms: The VMs.
            path_proof: What they have to reach before; None for nothing.
        """
        body = messages.encode(
            messages.ReportReply(
                self._entry,
                leading=True,
                take_over=True,
                path_proof=path_proof,
            )
        )
        for vm in vms:
            self._start(self._announce(vm, body))

    def send_gates(
        self,
        gates: Mapping[str, str],
        named: Mapping[str, limits.LimitUpdate],
    ) -> None:
        """Sends all VMs the new admission gates of targets at once.

        Args:
            gates: Addresses of the admission gates, by target.
            named: Limits of targets.
        """
        body = messages.encode(
            messages.ReportReply(
                self._entry,
                leading=True,
                gates=dict(gates),
                limits=dict(named),
            )
        )
        zones: dict[str, list[messages.VmEntry]] = {}
        for report in self.fresh().values():
            if report.vm.id != self._here:
                zones.setdefault(report.vm.zone, []).append(report.vm)
        for zone, vms in zones.items():
            if zone == self._zone or len(vms) < _MIN_RELAY_VMS:
                for vm in vms:
                    self._start(self._announce(vm, body))
            else:
                # A VM that the relay does not reach gets the same with the
                # response to its report.
                first, *others = sorted(vms, key=_relay_order)
                self._start(self._through(first, others, body))

    async def _through(
        self,
        first: messages.VmEntry,
        others: Iterable[messages.VmEntry],
        body: bytes,
    ) -> bytes | None:
        """Sends an update to a VM, which relays it to others of its zone.

        Args:
            first: The VM that relays the update.
            others: The other VMs of the zone.
            body: The encoded update.

        Returns:
            The relaying VM's response, None if there is none.
        """
        relay = messages.Relay(body, tuple(vm.address for vm in others))
        return await self._calls.call(
            first.address,
            messages.RELAY_PATH,
            messages.encode(relay),
            _CALL_TIMEOUT_SECONDS,
        )

    def stop(self) -> None:
        """Stops sending updates."""
        self._entry = None
        self._tasks.cancel()

    def take(self, report: messages.Report) -> None:
        """Stores a VM's report."""
        now = self._clock.now()
        self._cluster.vm_zones[report.vm.address] = report.vm.zone
        vm = self._vms.get(report.vm.id)
        if vm is None:
            vm = self._vms[report.vm.id] = _Vm(report, now)
        if vm.answered:
            vm.missed = vm.answered = False
        vm.report = report
        vm.at = now
        self._update_due.set()

    def fresh(self) -> dict[str, messages.Report]:
        """Returns the reports that are still valid, by VM."""
        return {
            name: vm.report
            for name, vm in self._vms.items()
            if self._reports(vm)
        }

    def publish(self, present: assignments.Assignment) -> None:
        """Sends VMs an assignment, unless it equals the current one."""
        current = self._cluster.assignments.get(present.service)
        if current is not None and assignments.have_same_owners(
            current, present
        ):
            return
        self._cluster.apply_assignment(present)
        self._published[present.service, present.version] = present
        while len(self._published) > _ASSIGNMENT_HISTORY_SIZE:
            del self._published[next(iter(self._published))]

    def updates_for_reply(self, report: messages.Report) -> MissingUpdates:
        """Returns the state that goes into the response to a VM's report.

        Usually that is none, which keeps responses small and fast: a VM whose
        leader responds slowly considers the leader lost.
        """
        vm = self._vms.get(report.vm.id)
        nothing = MissingUpdates((), (), None)
        if vm is None:
            return nothing
        if vm.missed:
            vm.answered = True
            return self.missing_updates(report)
        if vm.sending and self._clock.now() - vm.since > _SLOW_SECONDS:
            # The VM's connection may be broken. That a target leaves or a
            # route has changed cannot wait until this is certain.
            return self.missing_updates(report).urgent()
        return nothing

    def missing_updates(self, report: messages.Report) -> MissingUpdates:
        """Returns the state that a VM is missing according to its report."""
        whole, changed = self._newer_than(report.versions)
        update = self._cluster.updates_since(
            report.seen, report.configuration, report.evacuations
        )
        return MissingUpdates(whole, changed, update)

    def _newer_than(
        self, versions: Mapping[str, assignments.Version]
    ) -> tuple[
        tuple[assignments.Assignment, ...],
        tuple[assignments.Difference, ...],
    ]:
        """Returns assignments newer than a VM's versions.

        Returns:
            Whole assignments, and changes of those that the VM has.
        """
        whole, changed = [], []
        for name, present in self._cluster.assignments.items():
            version = versions.get(name)
            if version is not None and tuple(version) >= present.version:
                continue
            old = self._published.get((name, tuple(version or ())))
            if old is None:
                whole.append(present)
            else:
                changed.append(assignments.difference(old, present))
        return tuple(whole), tuple(changed)

    async def _send_updates(self) -> None:
        """Sends each VM what it is missing, as soon as anything is."""
        while True:
            await self._update_due.wait()
            await asyncio.sleep(_BATCH_SECONDS)
            self._update_due.clear()
            for zone, batch in self._batches():
                if zone == self._zone or len(batch.vms) < _MIN_RELAY_VMS:
                    for vm in batch.vms:
                        send = functools.partial(self._send, batch.body, vm)
                        self._start(self._released(send, [vm]))
                else:
                    relay = functools.partial(self._relay, batch)
                    self._start(self._released(relay, batch.vms))

    async def _released(
        self, send: Callable[[], Awaitable[None]], vms: Iterable[_Vm]
    ) -> None:
        """Sends an update; if that raises, the VMs still get the next one.

        Args:
            send: Sends the update.
            vms: The VMs that it is for.
        """
        try:
            await send()
        except Exception:
            for vm in vms:
                vm.sending = False
                vm.missed = True
            raise

    def _batches(self) -> list[tuple[str, _Batch]]:
        """Returns the updates due, each with its zone and receivers."""
        bodies: dict[bytes, bytes] = {}
        batches: dict[tuple[str, bytes], _Batch] = {}
        for vm in self._vms.values():
            report = vm.report
            stale = not self._reports(vm)
            if stale or vm.sending or vm.missed or report.vm.id == self._here:
                continue
            view = msgspec.json.encode(
                (
                    report.versions,
                    report.seen,
                    report.configuration,
                    report.evacuations,
                )
            )
            if view not in bodies:
                # Most VMs have the same view; their update is encoded once.
                bodies[view] = self._message(self.missing_updates(report))
            if bodies[view]:
                batch = batches.setdefault(
                    (report.vm.zone, view), _Batch(bodies[view])
                )
                batch.vms.append(vm)
        return [(zone, batch) for (zone, _), batch in batches.items()]

    async def _send(self, body: bytes, vm: _Vm) -> None:
        """Sends an update to one VM."""
        view = self._begin_sending([vm])
        await self._send_begun(body, vm, view)

    async def _send_begun(self, body: bytes, vm: _Vm, view: _View) -> None:
        """Sends an update to one VM and retries once over a new connection.

        Args:
            body: The encoded update.
            vm: The VM, for which `_begin_sending` was called.
            view: The VM's view once it has received the update.
        """
        response = None
        for fresh in (False, True):
            began = self._clock.now()
            response = await self._unless_held_up(
                self._calls.call(
                    vm.report.vm.address,
                    messages.ASSIGN_PATH,
                    body,
                    _CALL_TIMEOUT_SECONDS,
                    fresh=fresh,
                ),
                () if fresh else (vm,),
            )
            if response is not None or vm.at <= began:
                break
        self._end_sending([vm], view, missed=response is None)

    async def _unless_held_up(
        self, calling: Coroutine[Any, Any, bytes | None], vms: Iterable[_Vm]
    ) -> bytes | None:
        """Awaits a call, but gives it up early if reports overtake it.

        Args:
            calling: The call.
            vms: VMs whose reports show that the path is free. Only then is the
                call given up early; resending would add load to a full link.

        Returns:
            The response, None if there is none.
        """
        began = self._clock.now()
        vms = list(vms)
        call = asyncio.ensure_future(calling)
        timeout = _HELD_UP_SECONDS
        try:
            while not (await asyncio.wait((call,), timeout=timeout))[0]:
                if any(vm.at > began for vm in vms):
                    return None
                timeout = _HELD_UP_CHECK_SECONDS
            return call.result()
        finally:
            call.cancel()

    async def _relay(self, batch: _Batch) -> None:
        """Sends an update to VMs of one zone, through one of them.

        If the relaying VM does not respond, only that VM is given up, and
        another one relays the update to the rest.
        """
        view = self._begin_sending(batch.vms)
        began = self._clock.now()
        left = batch.vms
        while len(left) >= _MIN_RELAY_VMS:
            first, *others = sorted(
                left,
                key=lambda vm: (vm.at <= began, _relay_order(vm.report.vm)),
            )
            response = await self._unless_held_up(
                self._through(
                    first.report.vm,
                    (vm.report.vm for vm in others),
                    batch.body,
                ),
                others,
            )
            relayed = self._relayed(response)
            if relayed is not None:
                missed = set(relayed.missed)
                reached = [
                    vm for vm in left if vm.report.vm.address not in missed
                ]
                self._end_sending(reached, view, missed=False)
                left = [vm for vm in left if vm.report.vm.address in missed]
                break
            left = [vm for vm in others if self._reports(vm)]
            lost = [first, *(vm for vm in others if not self._reports(vm))]
            self._log_missed(batch, lost)
            self._end_sending(lost, view, missed=True)
        if left:
            self._log_missed(batch, left)
            await asyncio.gather(
                *(self._send_begun(batch.body, vm, view) for vm in left)
            )

    def _reports(self, vm: _Vm) -> bool:
        """Whether a VM's last report is still valid."""
        return self._clock.now() - vm.at < REPORT_MAX_AGE_SECONDS

    def _log_missed(self, batch: _Batch, missed: Collection[_Vm]) -> None:
        """Logs that an update for a zone has not reached all its VMs."""
        self._events.write(
            "leader",
            "zone_not_told",
            zone=batch.vms[0].report.vm.zone,
            vms=len(batch.vms),
            missed=[vm.report.vm.id for vm in missed],
            after=round(self._clock.now() - batch.vms[0].since, 3),
            bytes=len(batch.body),
        )

    def _relayed(self, response: bytes | None) -> messages.Relayed | None:
        """Decodes a relaying VM's response; returns None if it is unusable."""
        if response is None:
            return None
        read = messages.decode(response, messages.Relayed)
        if isinstance(read, result.Err):
            self._events.write("leader", "relay_unreadable", why=read.err_value)
            return None
        return read.ok_value

    def _begin_sending(self, vms: Iterable[_Vm]) -> _View:
        """Marks an update to VMs as in flight; returns their view after it."""
        for vm in vms:
            vm.sending = True
            vm.since = self._clock.now()
        state = self._cluster
        return _View(
            state.versions(), state.seen, state.version, state.evacuations
        )

    def _end_sending(
        self, vms: Iterable[_Vm], view: _View, *, missed: bool
    ) -> None:
        """Records whether an update to VMs was missed or acknowledged."""
        for vm in vms:
            vm.sending = False
            vm.missed = missed
            if not missed:
                vm.report = msgspec.structs.replace(
                    vm.report,
                    versions=view.versions,
                    seen=max(vm.report.seen, view.seen),
                    configuration=max(
                        vm.report.configuration, view.configuration
                    ),
                    evacuations=max(
                        vm.report.evacuations,
                        view.evacuations,
                        key=lambda evacuations: evacuations.revision,
                    ),
                )
        # There may have been further changes in the meantime.
        self._update_due.set()

    def _message(self, missing: MissingUpdates) -> bytes:
        """Returns an encoded update, empty if nothing is missing."""
        if missing.empty:
            return b""
        return messages.encode(
            messages.ReportReply(
                self._entry,
                leading=True,
                assignments=missing.assignments,
                differences=missing.differences,
                state_update=missing.state_update,
                stamp=self._clock.now(),
            )
        )

    async def _announce(self, vm: messages.VmEntry, body: bytes) -> None:
        # A VM that misses the announcement finds the leader in the store.
        await self._calls.call(
            vm.address, messages.ASSIGN_PATH, body, _CALL_TIMEOUT_SECONDS
        )

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        self._tasks.start("send", work)


def _relay_order(vm: messages.VmEntry) -> tuple[tuple[float, int], str]:
    """Sort key of VMs by suitability as a relay, the best first."""
    return vm.order, vm.id
