"""What a leader tells VMs: all that they lack, as little as that can be."""

import asyncio
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import msgspec

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import limits
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import messages
from mimosastile_gateway import peer_calls

# Fields of the same name hide the module in a class body.
_Assignment = assignments.Assignment
_Difference = assignments.Difference
_Evacuations = eligibility.Evacuations

REPORT_FRESH = 1.5
"""Seconds for which a VM's report counts."""
_PAUSE = 0.02
"""Seconds for which changes of an assignment are gathered before VMs are told:
a change of many ranges is granted within some of them."""
_CALL_SECONDS = 2.0
"""Longest wait for a VM's answer. Breaking off sooner and beginning again
would fill a narrow link with what nobody gets to read."""
_HELD_UP_SECONDS = 0.5
"""Wait for a VM's answer after which it is told another way, if the way of
reports is free: a quarter of the time within which changes have to be in
force."""
_LOOK_SECONDS = 0.1
"""Time between two looks whether that is so."""
_SLOW_SECONDS = 0.3
"""Seconds after which an unanswered message may be lost: far more than the way
to another region and back."""
_SMALL = 50
"""Routes, targets and key ranges, a hundred bytes each, that the answer to a
report may hold."""
_RELAY_LEAST = 3
"""VMs of another zone from which one passes a message on to the others."""
_KEPT = 64
"""Earlier assignments kept, to tell VMs what has changed since; a VM that is
further behind gets the whole."""


class _Vm:
    """What a VM knows, and how it is told more.

    Attributes:
        report: Its last report, with what it has been told since.
        at: When it reported.
        sending: Whether a message is on its way to it.
        since: When that one was sent.
        missed: Whether the last one got lost; it then hears all with the
            answer to its report, if anything reaches it.
        answered: Whether it was told so.
    """

    __slots__ = ("answered", "at", "missed", "report", "since", "sending")

    def __init__(self, report: messages.Report, at: float) -> None:
        self.report = report
        self.at = at
        self.sending = False
        self.since = 0.0
        self.missed = False
        self.answered = False


class _Known(msgspec.Struct, frozen=True):
    """What a message makes its receiver know.

    Attributes:
        versions: Of assignments, by service.
        seen: Store revision up to which it knows all registrations.
        configuration: Version of the configuration.
        evacuations: Evacuated zones.
    """

    versions: dict[str, assignments.Version]
    seen: int
    configuration: int
    evacuations: _Evacuations


class _Batch:
    """VMs that lack the same."""

    __slots__ = ("body", "vms")

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.vms: list[_Vm] = []


class MissingUpdates(msgspec.Struct, frozen=True):
    """What a VM does not know.

    Attributes:
        assignments: Those that it does not have.
        differences: Changes of those that it has.
        news: What it does not know from the store.
    """

    assignments: tuple[_Assignment, ...]
    differences: tuple[_Difference, ...]
    news: messages.StateUpdate | None

    def urgent(self) -> "MissingUpdates":
        """Returns as much of it as fits into a few packets.

        Registrations go first, then routes, then owners of keys.
        """
        left = _SMALL
        news = self.news
        if news is not None:
            left -= len(news.targets)
            if left < 0:
                return MissingUpdates((), (), None)
            change = news.change
            if change is not None and len(change.routes) > left:
                change = None
            left -= len(change.routes) if change else 0
            holds = news.targets or change or news.evacuations
            news = (
                msgspec.structs.replace(news, configuration=None, change=change)
                if holds
                else None
            )
        spans = sum(len(d.spans) for d in self.differences)
        small = spans <= left
        return MissingUpdates((), self.differences if small else (), news)

    @property
    def nothing(self) -> bool:
        """Whether it knows everything."""
        return not (self.assignments or self.differences or self.news)


class Disseminator:
    """Keeps what VMs reported, and tells them what is new.

    Each VM has one message at most on its way, and what happens meanwhile goes
    into the next one: a VM behind a full link gets fewer and larger ones. In
    another zone one VM gets a message and passes it on to the others; while it
    is silent, the next one does.
    """

    __slots__ = (
        "_cluster",
        "_calls",
        "_clock",
        "_entry",
        "_events",
        "_here",
        "_tasks",
        "_told",
        "_vms",
        "_wanted",
        "_zone",
    )

    def __init__(
        self,
        here: str,
        zone: str,
        calls: peer_calls.PeerCalls,
        known: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        """Makes one that tells nobody.

        Args:
            here: Identifier of this VM.
            zone: Its availability zone.
            calls: The way to peers.
            known: What this VM believes.
            timer: The clock.
            log: Where it logs.
        """
        self._here = here
        self._zone = zone
        self._calls = calls
        self._cluster = known
        self._clock = timer
        self._events = log
        self._entry: leadership.LeaderEntry | None = None
        self._vms: dict[str, _Vm] = {}
        self._told: dict[
            tuple[str, tuple[int, ...]], assignments.Assignment
        ] = {}
        self._wanted = asyncio.Event()
        self._tasks: set[asyncio.Task[object]] = set()
        known.subscribe(self._wanted.set)

    def begin(self, entry: leadership.LeaderEntry) -> None:
        """Begins to tell, as a leader with an entry."""
        self._entry = entry
        self._vms = {}
        self._told = {}
        self._start(self._tell_on())

    def announce(self, vms: Iterable[messages.VmEntry]) -> None:
        """Tells VMs at once who leads.

        Each would otherwise go on asking the former leader, and follow the
        store by itself meanwhile.

        Args:
            vms: All VMs that are registered.
        """
        body = messages.encode(messages.ReportReply(self._entry, leading=True))
        for vm in vms:
            if vm.id != self._here:
                self._start(self._announce(vm, body))

    def request_takeover(self, vms: Iterable[messages.VmEntry]) -> None:
        """Asks VMs at once to take over.

        Args:
            vms: The VMs.
        """
        body = messages.encode(
            messages.ReportReply(self._entry, leading=True, take_over=True)
        )
        for vm in vms:
            self._start(self._announce(vm, body))

    def spread(
        self,
        gates: Mapping[str, str],
        named: Mapping[str, limits.LimitUpdate],
    ) -> None:
        """Tells all VMs at once of targets that have got a gate.

        Args:
            gates: Addresses of the VMs that admit, by target.
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
            if zone == self._zone or len(vms) < _RELAY_LEAST:
                for vm in vms:
                    self._start(self._announce(vm, body))
            else:
                # A VM that it does not reach learns the same with the answer
                # to its report.
                first, *others = sorted(vms, key=_rank)
                self._start(self._through(first, others, body))

    async def _through(
        self,
        first: messages.VmEntry,
        others: Iterable[messages.VmEntry],
        body: bytes,
    ) -> bytes | None:
        """Has a VM take a message and pass it on to others of its zone.

        Args:
            first: The VM.
            others: The others.
            body: The message.

        Returns:
            The answer of that VM, None if there is none.
        """
        relay = messages.Relay(body, tuple(vm.address for vm in others))
        return await self._calls.call(
            first.address,
            messages.RELAY_PATH,
            messages.encode(relay),
            _CALL_SECONDS,
        )

    def stop(self) -> None:
        """Tells nobody any more."""
        self._entry = None
        for task in self._tasks:
            task.cancel()

    def take(self, report: messages.Report) -> None:
        """Takes a VM's report."""
        now = self._clock.now()
        vm = self._vms.get(report.vm.id)
        if vm is None:
            vm = self._vms[report.vm.id] = _Vm(report, now)
        if vm.answered:
            vm.missed = vm.answered = False
        vm.report = report
        vm.at = now
        self._wanted.set()

    def fresh(self) -> dict[str, messages.Report]:
        """Returns the reports that still count, by VM."""
        return {
            name: vm.report
            for name, vm in self._vms.items()
            if self._reports(vm)
        }

    def publish(self, present: assignments.Assignment) -> None:
        """Has VMs told of an assignment, unless it says what they know."""
        known = self._cluster.assignments.get(present.service)
        if known is not None and assignments.same(known, present):
            return
        self._cluster.apply_assignment(present)
        self._told[present.service, present.version] = present
        while len(self._told) > _KEPT:
            del self._told[next(iter(self._told))]

    def answer(self, report: messages.Report) -> MissingUpdates:
        """Returns what a VM hears with the answer to its report.

        Usually nothing: answers are then small and quick, and a VM whose
        leader is slow to answer takes it for lost.
        """
        vm = self._vms.get(report.vm.id)
        nothing = MissingUpdates((), (), None)
        if vm is None:
            return nothing
        if vm.missed:
            vm.answered = True
            return self.missing_updates(report)
        if vm.sending and self._clock.now() - vm.since > _SLOW_SECONDS:
            # Its connection may have fallen silent; that a target leaves or a
            # route has changed cannot wait until this is known.
            return self.missing_updates(report).urgent()
        return nothing

    def missing_updates(self, report: messages.Report) -> MissingUpdates:
        """Returns what a VM does not know by its report."""
        whole, changed = self._newer_than(report.versions)
        news = self._cluster.updates_since(
            report.seen, report.configuration, report.evacuations
        )
        return MissingUpdates(whole, changed, news)

    def _newer_than(
        self, versions: Mapping[str, assignments.Version]
    ) -> tuple[
        tuple[assignments.Assignment, ...],
        tuple[assignments.Difference, ...],
    ]:
        """Returns assignments that a VM lacks, and changes of others."""
        whole, changed = [], []
        for name, present in self._cluster.assignments.items():
            version = versions.get(name)
            if version is not None and tuple(version) >= present.version:
                continue
            old = self._told.get((name, tuple(version or ())))
            if old is None:
                whole.append(present)
            else:
                changed.append(assignments.difference(old, present))
        return tuple(whole), tuple(changed)

    async def _tell_on(self) -> None:
        """Tells VMs what they lack, as soon as they lack it."""
        while True:
            await self._wanted.wait()
            await asyncio.sleep(_PAUSE)
            self._wanted.clear()
            for zone, batch in self._batches():
                if zone == self._zone or len(batch.vms) < _RELAY_LEAST:
                    for vm in batch.vms:
                        self._start(self._tell(batch.body, vm))
                else:
                    self._start(self._relay(batch))

    def _batches(self) -> list[tuple[str, _Batch]]:
        """Returns, by zone, VMs that lack the same, and what it is."""
        bodies: dict[bytes, bytes] = {}
        batches: dict[tuple[str, bytes], _Batch] = {}
        for vm in self._vms.values():
            report = vm.report
            stale = not self._reports(vm)
            if stale or vm.sending or vm.missed or report.vm.id == self._here:
                continue
            known = msgspec.json.encode(
                (
                    report.versions,
                    report.seen,
                    report.configuration,
                    report.evacuations,
                )
            )
            if known not in bodies:
                # Most VMs know the same; what they lack is worked out once.
                bodies[known] = self._message(self.missing_updates(report))
            if bodies[known]:
                batch = batches.setdefault(
                    (report.vm.zone, known), _Batch(bodies[known])
                )
                batch.vms.append(vm)
        return [(zone, batch) for (zone, _), batch in batches.items()]

    async def _tell(self, body: bytes, vm: _Vm) -> None:
        """Tells one VM what it lacks."""
        told = self._begin_telling([vm])
        await self._tell_begun(body, vm, told)

    async def _tell_begun(self, body: bytes, vm: _Vm, told: _Known) -> None:
        """Tells one VM what it lacks, over another connection if need be."""
        answer = None
        for fresh in (False, True):
            began = self._clock.now()
            answer = await self._unless_held_up(
                self._calls.call(
                    vm.report.vm.address,
                    messages.ASSIGN_PATH,
                    body,
                    _CALL_SECONDS,
                    fresh=fresh,
                ),
                () if fresh else (vm,),
            )
            if answer is not None or vm.at <= began:
                break
        self._end_telling([vm], told, missed=answer is None)

    async def _unless_held_up(
        self, calling: Coroutine[Any, Any, bytes | None], vms: Iterable[_Vm]
    ) -> bytes | None:
        """Returns the answer to a message.

        Args:
            calling: The call.
            vms: VMs whose reports show that the way is free. The call is given
                up early only then; a full link would be filled further.

        Returns:
            The answer, None if there is none.
        """
        began = self._clock.now()
        vms = list(vms)
        call = asyncio.ensure_future(calling)
        patience = _HELD_UP_SECONDS
        try:
            while not (await asyncio.wait((call,), timeout=patience))[0]:
                if any(vm.at > began for vm in vms):
                    return None
                patience = _LOOK_SECONDS
            return call.result()
        finally:
            call.cancel()

    async def _relay(self, batch: _Batch) -> None:
        """Tells VMs of one zone what they lack, through one of them.

        One that does not answer is given up alone; another one has the message
        for the rest.
        """
        told = self._begin_telling(batch.vms)
        began = self._clock.now()
        left = batch.vms
        while len(left) >= _RELAY_LEAST:
            first, *others = sorted(
                left, key=lambda vm: (vm.at <= began, _rank(vm.report.vm))
            )
            answer = await self._unless_held_up(
                self._through(
                    first.report.vm,
                    (vm.report.vm for vm in others),
                    batch.body,
                ),
                others,
            )
            relayed = self._relayed(answer)
            if relayed is not None:
                missed = set(relayed.missed)
                reached = [
                    vm for vm in left if vm.report.vm.address not in missed
                ]
                self._end_telling(reached, told, missed=False)
                left = [vm for vm in left if vm.report.vm.address in missed]
                break
            left = [vm for vm in others if self._reports(vm)]
            lost = [first, *(vm for vm in others if not self._reports(vm))]
            self._note_not_told(batch, lost)
            self._end_telling(lost, told, missed=True)
        if left:
            self._note_not_told(batch, left)
            await asyncio.gather(
                *(self._tell_begun(batch.body, vm, told) for vm in left)
            )

    def _reports(self, vm: _Vm) -> bool:
        """Whether a VM's last report still counts."""
        return self._clock.now() - vm.at < REPORT_FRESH

    def _note_not_told(self, batch: _Batch, missed: Collection[_Vm]) -> None:
        """Logs that a message for a zone has not reached some VMs."""
        self._events.write(
            "leader",
            "zone_not_told",
            zone=batch.vms[0].report.vm.zone,
            vms=len(batch.vms),
            missed=[vm.report.vm.id for vm in missed],
            after=round(self._clock.now() - batch.vms[0].since, 3),
            bytes=len(batch.body),
        )

    def _relayed(self, answer: bytes | None) -> messages.Relayed | None:
        """Reads the answer of a VM that was to pass a message on."""
        if answer is None:
            return None
        try:
            return messages.decode(answer, messages.Relayed)
        except msgspec.DecodeError as error:
            self._events.write("leader", "relay_unreadable", why=str(error))
            return None

    def _begin_telling(self, vms: Iterable[_Vm]) -> _Known:
        for vm in vms:
            vm.sending = True
            vm.since = self._clock.now()
        known = self._cluster
        return _Known(
            known.versions(), known.seen, known.version, known.evacuations
        )

    def _end_telling(
        self, vms: Iterable[_Vm], told: _Known, *, missed: bool
    ) -> None:
        for vm in vms:
            vm.sending = False
            vm.missed = missed
            if not missed:
                vm.report = msgspec.structs.replace(
                    vm.report,
                    versions=told.versions,
                    seen=max(vm.report.seen, told.seen),
                    configuration=max(
                        vm.report.configuration, told.configuration
                    ),
                    evacuations=max(
                        vm.report.evacuations,
                        told.evacuations,
                        key=lambda known: known.revision,
                    ),
                )
        # More may have happened meanwhile.
        self._wanted.set()

    def _message(self, missing_updates: MissingUpdates) -> bytes:
        """Returns the message with what VMs lack, empty for nothing."""
        if missing_updates.nothing:
            return b""
        return messages.encode(
            messages.ReportReply(
                self._entry,
                leading=True,
                assignments=missing_updates.assignments,
                differences=missing_updates.differences,
                news=missing_updates.news,
                stamp=self._clock.now(),
            )
        )

    async def _announce(self, vm: messages.VmEntry, body: bytes) -> None:
        # A VM that does not hear it finds the leader in the store.
        await self._calls.call(
            vm.address, messages.ASSIGN_PATH, body, _CALL_SECONDS
        )

    def _start(self, work: Coroutine[Any, Any, object]) -> None:
        self._keep(asyncio.create_task(work))

    def _keep(self, task: asyncio.Task[object]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _rank(vm: messages.VmEntry) -> tuple[tuple[float, int], str]:
    """Sorts VMs by how well they suit to pass messages on, the best first."""
    return vm.order, vm.id
