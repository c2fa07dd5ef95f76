"""What a leader tells VMs: all that they lack, as little as that can be."""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import leadership
from mimosastile_gateway import beliefs
from mimosastile_gateway import clock
from mimosastile_gateway import messages
from mimosastile_gateway import peer_calls

# Fields of the same name hide the module in a class body.
_Assignment = assignments.Assignment
_Difference = assignments.Difference

_REPORT_FRESH = 1.5
"""Seconds for which a VM's report counts."""
_PAUSE = 0.02
"""Seconds for which changes of an assignment are gathered before VMs are told:
a change of many ranges is granted within some of them."""
_CALL_SECONDS = 0.4
_KEPT = 64
"""Earlier assignments kept, to tell VMs what has changed since; a VM that is
further behind gets the whole."""


class _Reported:
    """The last report of a VM."""

    __slots__ = ("at", "report")

    def __init__(self, report: messages.Report, at: float) -> None:
        self.report = report
        self.at = at


class Lacking(msgspec.Struct, frozen=True):
    """What a VM does not know.

    Attributes:
        assignments: Those that it does not have.
        differences: Changes of those that it has.
        news: What it does not know from the store.
    """

    assignments: tuple[_Assignment, ...]
    differences: tuple[_Difference, ...]
    news: messages.News | None

    @property
    def nothing(self) -> bool:
        """Whether it knows everything."""
        return not (self.assignments or self.differences or self.news)


class Telling:
    """Keeps what VMs reported, and tells them what is new."""

    __slots__ = (
        "_beliefs",
        "_calls",
        "_clock",
        "_entry",
        "_here",
        "_reports",
        "_tasks",
        "_told",
        "_wanted",
    )

    def __init__(
        self,
        here: str,
        calls: peer_calls.PeerCalls,
        known: beliefs.Beliefs,
        timer: clock.Clock,
    ) -> None:
        """Makes one that tells nobody.

        Args:
            here: Identifier of this VM.
            calls: The way to peers.
            known: What this VM believes.
            timer: The clock.
        """
        self._here = here
        self._calls = calls
        self._beliefs = known
        self._clock = timer
        self._entry: leadership.LeaderEntry | None = None
        self._reports: dict[str, _Reported] = {}
        self._told: dict[
            tuple[str, tuple[int, ...]], assignments.Assignment
        ] = {}
        self._wanted = asyncio.Event()
        self._tasks: set[asyncio.Task[object]] = set()
        known.subscribe(self._wanted.set)

    def begin(
        self, entry: leadership.LeaderEntry, vms: Iterable[messages.VmEntry]
    ) -> None:
        """Begins to tell, as a leader.

        Args:
            entry: The leader's entry.
            vms: All VMs that are registered. They hear at once who leads: each
                would otherwise go on asking the former leader, and follow the
                store by itself meanwhile.
        """
        self._entry = entry
        self._reports = {}
        self._told = {}
        self._keep(asyncio.create_task(self._tell_on(), name="tell"))
        body = messages.encode(messages.ReportReply(entry, leading=True))
        for vm in vms:
            if vm.id != self._here:
                self._send(vm.address, body)

    def stop(self) -> None:
        """Tells nobody any more."""
        self._entry = None
        for task in self._tasks:
            task.cancel()

    def take(self, report: messages.Report) -> None:
        """Takes a VM's report."""
        self._reports[report.vm.id] = _Reported(report, self._clock.now())

    def fresh(self) -> dict[str, messages.Report]:
        """Returns the reports that still count, by VM."""
        now = self._clock.now()
        return {
            name: reported.report
            for name, reported in self._reports.items()
            if now - reported.at < _REPORT_FRESH
        }

    def publish(self, present: assignments.Assignment) -> None:
        """Has VMs told of an assignment, unless it says what they know."""
        known = self._beliefs.assignments.get(present.service)
        if known is not None and assignments.same(known, present):
            return
        self._beliefs.take_assignment(present)
        self._told[present.service, present.version] = present
        while len(self._told) > _KEPT:
            del self._told[next(iter(self._told))]

    def lacking(self, report: messages.Report) -> Lacking:
        """Returns what a VM does not know by its report."""
        whole, changed = self._newer_than(report.versions)
        news = self._beliefs.news_after(report.seen, report.configuration)
        return Lacking(whole, changed, news)

    def _newer_than(
        self, versions: Mapping[str, assignments.Version]
    ) -> tuple[
        tuple[assignments.Assignment, ...],
        tuple[assignments.Difference, ...],
    ]:
        """Returns assignments that a VM lacks, and changes of others."""
        whole, changed = [], []
        for name, present in self._beliefs.assignments.items():
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
        """Tells VMs at once what they would hear with their next report."""
        while True:
            await self._wanted.wait()
            await asyncio.sleep(_PAUSE)
            self._wanted.clear()
            bodies: dict[bytes, bytes] = {}
            for report in self.fresh().values():
                if report.vm.id != self._here:
                    self._tell(report, bodies)

    def _tell(
        self, report: messages.Report, bodies: dict[bytes, bytes]
    ) -> None:
        """Tells one VM what it lacks.

        Args:
            report: What the VM knows.
            bodies: Messages of this round by what their receivers know; most
                VMs know the same, and what they lack is worked out once.
        """
        known = msgspec.json.encode(
            (report.versions, report.seen, report.configuration)
        )
        body = bodies.get(known)
        if body is None:
            body = bodies[known] = self._message(self.lacking(report))
        if not body:
            return
        # If this is lost, the VM's next report says what it really has.
        self._reports[report.vm.id].report = msgspec.structs.replace(
            report,
            versions=self._beliefs.versions(),
            seen=self._beliefs.seen,
            configuration=self._beliefs.version,
        )
        self._send(report.vm.address, body)

    def _message(self, lacking: Lacking) -> bytes:
        """Returns the message with what VMs lack, empty for nothing."""
        if lacking.nothing:
            return b""
        return messages.encode(
            messages.ReportReply(
                self._entry,
                leading=True,
                assignments=lacking.assignments,
                differences=lacking.differences,
                news=lacking.news,
            )
        )

    def _send(self, address: str, body: bytes) -> None:
        # A VM that does not hear it asks with its next report.
        self._keep(
            asyncio.create_task(
                self._calls.call(
                    address, messages.ASSIGN_PATH, body, _CALL_SECONDS
                )
            )
        )

    def _keep(self, task: asyncio.Task[object]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
