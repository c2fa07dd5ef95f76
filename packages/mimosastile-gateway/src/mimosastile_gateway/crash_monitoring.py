"""Verifies whether targets whose responses were lost have crashed.

A lost response alone proves nothing, and while load is low no request meets the
target again before it has restarted. So this VM attempts to connect to it until
it responds or its crash is shown. A target that accepts a connection has not
shown that it lives: another process may hold its port. It has to respond.

Whatever else happens, the registration of a crashed target ends, so this VM
watches it for as long as that may take.
"""

import asyncio
import enum

import result

from mimosastile_core import errors
from mimosastile_core import quarantine
from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import directory
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import http_client
from mimosastile_gateway import membership
from mimosastile_gateway import ports

_ATTEMPT_TIMES = (0.05, 0.25, 0.75, 1.55, 2.55)
"""Seconds after a loss at which this VM attempts to connect to a target. All
are within the restart of a target."""
_CHECKED_ATTEMPTS = 2
"""Last attempts, in which a target that accepts connections has to respond to a
health check if it has responded to nothing else."""
_CHECK_TIMEOUT_SECONDS = 0.8
"""Timeout of a health check."""
_MAX_VERIFICATIONS = 64
"""Targets that are verified at the same time."""
_LINK_ATTEMPTS = 2
"""Other targets to which this VM connects at the same time as evidence of its
own link. One of them may have crashed too."""
_WATCH_SECONDS = 0.25
"""Interval at which the registrations of targets are looked at."""


class _Contact(enum.Enum):
    """What an attempt to reach a target has found."""

    RESPONDED = "responded"
    REPLACED = "replaced"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


class CrashMonitor:
    """Records lost responses, and reports the crashes that caused them."""

    __slots__ = (
        "_clock",
        "_cluster",
        "_connect_timeout",
        "_detector",
        "_events",
        "_health",
        "_membership",
        "_pool",
        "_tasks",
        "_targets",
        "_verified",
        "_watching",
    )

    def __init__(
        self,
        detector: crash_detection.CrashDetector,
        pool: http_client.Pool,
        health: ports.HealthPort,
        connect_timeout: float,
        cluster: cluster_state.ClusterState,
        own_membership: membership.Membership,
        timer: clock.Clock,
        event_log: events.EventLog,
    ) -> None:
        """Creates a monitor that verifies nothing yet.

        Args:
            detector: Decides which lost responses were crashes.
            pool: Connections to targets.
            health: Makes health checks.
            connect_timeout: Connect timeout in seconds.
            cluster: This VM's view of the cluster.
            own_membership: Reports crashes to the other VMs.
            timer: The clock.
            event_log: The event log.
        """
        self._detector = detector
        self._pool = pool
        self._health = health
        self._connect_timeout = connect_timeout
        self._cluster = cluster
        self._membership = own_membership
        self._clock = timer
        self._events = event_log
        self._tasks = background_tasks.BackgroundTasks(event_log)
        self._targets: dict[str, directory.Target] = {}
        self._verified: set[str] = set()
        self._watching = False

    def is_held(self, request: str) -> bool:
        """Whether a request has crashed too many targets to be sent again."""
        return self._detector.is_held(request, self._clock.now())

    def record_response(self, target: directory.Target) -> None:
        """Records that a target responds."""
        self._detector.record_response(_incarnation(target), self._clock.now())

    def record_completion(self, request: str) -> None:
        """Records that a target has run a request and sent its response."""
        self._detector.record_completion(request, self._clock.now())

    def record_loss(self, target: directory.Target, request: str) -> None:
        """Records a lost response, and verifies whether its target crashed.

        Args:
            target: The target.
            request: Fingerprint of the request.
        """
        now = self._clock.now()
        name = _incarnation(target)
        if not self._detector.record_loss(name, request, now):
            return
        self._watch(target)
        if name in self._verified:
            return
        if len(self._verified) >= _MAX_VERIFICATIONS:
            self._events.write(
                "requests", "crash_not_verified", target=target.id
            )
            return
        self._verified.add(name)
        self._tasks.start("verify-crash", self._verify(target, now), target.id)

    def record_silence(
        self, target: directory.Target, request: str, sent_at: float
    ) -> None:
        """Records that a target has not responded to a request in time.

        That happens to each target that is full or slow, so nothing more is
        sent to it. Only the end of its registration shows a crash.

        Args:
            target: The target.
            request: Fingerprint of the request.
            sent_at: Time at which the request was sent.
        """
        if self._detector.record_silence(
            _incarnation(target), request, sent_at, self._clock.now()
        ):
            self._watch(target)

    def record_refused(
        self, target: directory.Target, attempted_at: float
    ) -> bool:
        """Records that a target has refused a connection.

        Args:
            target: The target.
            attempted_at: Time at which the connection was attempted.

        Returns:
            Whether this confirms that it crashed.
        """
        crashes = self._detector.confirm_crashes(
            _incarnation(target),
            attempted_at,
            self._clock.now(),
            self._clock.new_id(),
        )
        return self._report(target, crashes, "refuses connections")

    def stop(self) -> None:
        """Ends all verifications."""
        self._tasks.cancel()

    def record_replaced(self, target: directory.Target) -> None:
        """Records that another target responds at a target's address."""
        self._confirm_end(target, restarted=True)

    def _report(
        self,
        target: directory.Target,
        crashes: list[quarantine.Crash],
        evidence: str,
    ) -> bool:
        """Reports crashes to the other VMs; returns whether there are any."""
        if crashes:
            self._membership.report_crashes(crashes)
            self._events.write(
                "requests",
                "target_died",
                target=target.id,
                evidence=evidence,
                requests=[crash.fingerprint for crash in crashes],
            )
        return bool(crashes)

    async def _verify(self, target: directory.Target, lost_at: float) -> None:
        """Attempts to reach a target until it has crashed or responds."""
        name = _incarnation(target)
        contacts: list[_Contact] = []
        try:
            outcome = await self._attempt_all(target, lost_at, contacts)
        finally:
            self._verified.discard(name)
        self._events.write(
            "requests",
            "crash_verified",
            target=target.id,
            outcome=outcome,
            contacts=[contact.value for contact in contacts],
            linked=self._detector.has_link(name, lost_at),
        )

    async def _attempt_all(
        self,
        target: directory.Target,
        lost_at: float,
        contacts: list[_Contact],
    ) -> str:
        """Makes all attempts and returns their outcome, for the log.

        Args:
            target: The target.
            lost_at: Time of the loss.
            contacts: Gets what each attempt has found.
        """
        name = _incarnation(target)
        for number, seconds in enumerate(_ATTEMPT_TIMES, 1):
            await asyncio.sleep(lost_at + seconds - self._clock.now())
            if not self._detector.is_undecided(name, self._clock.now()):
                return "decided by requests"
            if number > 1 and not self._detector.has_link(name, lost_at):
                await self._prove_link(target)
            attempted_at = self._clock.now()
            checked = number > len(_ATTEMPT_TIMES) - _CHECKED_ATTEMPTS
            contact = await self._contact(target, contacts, checked=checked)
            contacts.append(contact)
            if contact is _Contact.RESPONDED:
                self.record_response(target)
                return "alive"
            if contact is _Contact.REPLACED:
                self.record_replaced(target)
                return "replaced"
            if contact is _Contact.REFUSED and self.record_refused(
                target, attempted_at
            ):
                return "crashed"
        if contacts[-1] is _Contact.ACCEPTED:
            # It was not asked for a response.
            return "undecided"
        crashes = self._detector.presume_crashes(
            name, lost_at, self._clock.now(), self._clock.new_id()
        )
        if self._report(target, crashes, "responds to nothing"):
            return "silent"
        return "undecided"

    async def _contact(
        self,
        target: directory.Target,
        contacts: list[_Contact],
        *,
        checked: bool,
    ) -> _Contact:
        """Attempts to reach a target.

        Args:
            target: The target.
            contacts: What earlier attempts have found. A connection that was
                accepted is not opened again.
            checked: Whether the target has to respond to a health check.
        """
        accepted = _Contact.ACCEPTED in contacts
        if not checked and accepted:
            return _Contact.ACCEPTED
        if not accepted:
            contact = await self._connect(target)
            if contact is not _Contact.ACCEPTED or not checked:
                return contact
        configuration = self._cluster.configuration
        services = configuration.services if configuration else {}
        service = services.get(target.service)
        if service is None:
            return _Contact.ACCEPTED
        response = await self._health.check(
            target, service.health_path, _CHECK_TIMEOUT_SECONDS
        )
        if isinstance(response, result.Ok):
            return _Contact.RESPONDED
        if response.err_value.kind is errors.ErrorKind.TARGET_REPLACED:
            return _Contact.REPLACED
        return _Contact.SILENT

    async def _connect(self, target: directory.Target) -> _Contact:
        """Opens a connection to a target, for its next request."""
        try:
            connection = await self._pool.connect_new(
                target.address, self._connect_timeout
            )
        except http_client.NotSentError as error:
            return _Contact.SILENT if error.hung else _Contact.REFUSED
        self._pool.release(connection, target.address)
        return _Contact.ACCEPTED

    async def _prove_link(self, target: directory.Target) -> None:
        """Connects to other targets, as evidence that this VM has its link."""
        undecided = frozenset(self._detector.undecided_targets)
        others = [
            entry.target
            for entry in self._cluster.directory
            if entry.target.address != target.address
            and entry.status is directory.TargetStatus.READY
            and _incarnation(entry.target) not in undecided
        ]
        others.sort(key=lambda _: self._clock.random())
        chosen = others[:_LINK_ATTEMPTS]
        contacts = await asyncio.gather(*map(self._connect, chosen))
        for other, contact in zip(chosen, contacts, strict=True):
            if contact is _Contact.ACCEPTED:
                self._detector.record_link(
                    _incarnation(other), self._clock.now()
                )

    # Registrations.

    def _watch(self, target: directory.Target) -> None:
        """Watches the registration of a target whose response was lost."""
        self._targets[_incarnation(target)] = target
        if not self._watching:
            self._watching = True
            self._tasks.start("watch-registrations", self._watch_all())

    async def _watch_all(self) -> None:
        """Watches registrations until it is known what became of targets."""
        try:
            while undecided := self._detector.undecided_targets:
                self._targets = {
                    name: target
                    for name, target in self._targets.items()
                    if name in undecided
                }
                for target in tuple(self._targets.values()):
                    await self._check_registration(target)
                self._detector.expire(self._clock.now())
                await asyncio.sleep(_WATCH_SECONDS)
        finally:
            self._watching = False

    async def _check_registration(self, target: directory.Target) -> None:
        """Records a crash if the registration of a target has ended."""
        entry = self._cluster.directory.get(target.id)
        replaced = entry is not None and (
            entry.target.born > target.born
            or entry.status is directory.TargetStatus.ENDED
        )
        gone = entry is None or (
            entry.status is directory.TargetStatus.MISSING
            and not entry.target.leaving
            and entry.announced_at is None
            and not self._lapsed_together()
        )
        if not replaced and not gone:
            return
        if self._detector.lacks_link(_incarnation(target)):
            await self._prove_link(target)
        self._confirm_end(target, restarted=replaced)

    def _confirm_end(
        self, target: directory.Target, *, restarted: bool
    ) -> None:
        crashes = self._detector.confirm_end(
            _incarnation(target),
            self._clock.now(),
            self._clock.new_id(),
            restarted=restarted,
        )
        self._report(
            target, crashes, "was replaced" if restarted else "is gone"
        )

    def _lapsed_together(self) -> bool:
        """Whether most registrations ended, as in an outage of the store."""
        statuses = [entry.status for entry in self._cluster.directory]
        missing = statuses.count(directory.TargetStatus.MISSING)
        return missing > statuses.count(directory.TargetStatus.READY)


def _incarnation(target: directory.Target) -> str:
    """Returns a name of a target's incarnation."""
    return f"{target.id}/{target.born}"
