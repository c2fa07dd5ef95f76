"""Failure detection among entry VMs by heartbeats, called presence messages.

A suspicion is a reason to check and to propose a takeover. It doesn't prove
that the suspected VM has stopped; fencing tokens make the takeover safe.
"""

from collections.abc import Iterable

import msgspec

from mimosastile_core import fleet
from mimosastile_core import keys


class Timing(msgspec.Struct, frozen=True):
    """Intervals and timeouts of the failure detector, in seconds.

    Attributes:
        near: Interval between exchanges with a peer of the same zone.
        near_silence: Detection timeout of such a peer.
        far: Interval between exchanges with a peer of another zone.
        far_silence: Detection timeout of such a peer.
        startup_grace: Time before a listed VM that never sent a message is
            suspected.
        pause: Lateness of a tick above which this VM counts as paused.
        report_max_age: Time after which another VM's report of its
            suspicions is ignored.
        report_interval: Interval at which persisting suspicions are sent
            again.
        timeout_reset: Time without a false suspicion after which a peer's
            detection timeout is reset to its base value.
    """

    near: float = 0.08
    near_silence: float = 0.2
    far: float = 1.0
    far_silence: float = 3.5
    startup_grace: float = msgspec.field(default=2.0, name="first")
    pause: float = 0.1
    report_max_age: float = msgspec.field(default=4.0, name="told")
    report_interval: float = msgspec.field(default=1.0, name="tell")
    timeout_reset: float = msgspec.field(default=30.0, name="calm")


_RESPONSES_TO_CLEAR = 2
_MAX_TIMEOUT_FACTOR = 8.0
_NEIGHBOURS_PER_SIDE = 1
_SUSPECTS_TO_SKIP_ZONE = 3
_MIN_TICK_SECONDS = 0.005
# Of two peers, the one with the lower name starts an exchange; the other's
# interval is longer by this factor. With equal intervals both would start at
# the same time, which doubles the number of messages.
_RESPONDER_INTERVAL_FACTOR = 1.5


class Peers(msgspec.Struct, frozen=True):
    """The peers that a VM exchanges presence messages with.

    Attributes:
        near: Peers of the same zone.
        far: One peer of each other zone.
    """

    near: frozenset[str]
    far: frozenset[str]


def choose_peers(
    vm: str, zone: str, entries: Iterable[fleet.Vm], suspected: frozenset[str]
) -> Peers:
    """Chooses the peers to exchange presence messages with.

    The VMs of a zone form a ring in the order of their hashes. Each monitors
    its next neighbours on both sides, so the cost per VM doesn't grow with the
    zone; in a zone of three VMs, each monitors all others. Suspected VMs are
    left out of the ring. Otherwise, if three neighbours failed together, no
    running VM would monitor the middle one.

    Args:
        vm: The VM whose peers are chosen.
        zone: Its zone.
        entries: All listed entry VMs.
        suspected: Suspected VMs, which are not chosen.

    Returns:
        The chosen peers.
    """
    zones: dict[str, list[str]] = {}
    suspects: dict[str, int] = {}
    for entry in entries:
        if entry.id in suspected and entry.id != vm:
            suspects[entry.zone] = suspects.get(entry.zone, 0) + 1
        else:
            zones.setdefault(entry.zone, []).append(entry.id)
    for other in [
        z for z in zones if suspects.get(z, 0) >= _SUSPECTS_TO_SKIP_ZONE
    ]:
        # The whole zone is unreachable. Trying its VMs one after another
        # would take a number of messages that grows with the zone.
        if other != zone:
            del zones[other]
    ring = sorted({*zones.pop(zone, []), vm}, key=keys.key_hash)
    at = ring.index(vm)
    near = {
        ring[(at + step) % len(ring)]
        for step in range(-_NEIGHBOURS_PER_SIDE, _NEIGHBOURS_PER_SIDE + 1)
    }
    far = frozenset(
        max(others, key=lambda other: keys.key_hash(f"{vm}/{other}"))
        for others in zones.values()
    )
    return Peers(frozenset(near - {vm}), far)


class Step(msgspec.Struct, frozen=True):
    """Result of a tick.

    Attributes:
        probes: VMs to send a presence message to.
        report: Whether to send this VM's suspicions to its zone.
        changed: Whether any suspicion started or ended since the last tick.
    """

    probes: tuple[str, ...]
    report: bool = msgspec.field(name="tell")
    changed: bool


class _Peer:
    """State of one monitored peer."""

    __slots__ = (
        "cleared_at",
        "interval",
        "near",
        "probed_at",
        "received_at",
        "responses",
        "suspected_at",
        "timeout",
        "timeout_factor",
    )

    def __init__(
        self, near: bool, interval: float, timeout: float, now: float
    ) -> None:
        self.near = near
        self.interval = interval
        self.timeout = timeout
        self.received_at = now
        self.probed_at = float("-inf")
        self.suspected_at: float | None = None
        self.responses = 0
        self.timeout_factor = 1.0
        self.cleared_at = float("-inf")

    def deadline(self) -> float:
        """Time at which the peer is suspected unless it sends a message."""
        return self.received_at + self.timeout * self.timeout_factor

    def next_probe(self) -> float:
        """Time of the next message; a received message postpones it."""
        if self.suspected_at is not None:
            return self.probed_at + max(self.interval, self.timeout)
        return max(self.received_at, self.probed_at) + self.interval


class _Report:
    """The suspicions that another VM last reported."""

    __slots__ = ("at", "near", "suspected")

    def __init__(
        self, suspected: frozenset[str], at: float, near: bool
    ) -> None:
        self.suspected = suspected
        self.near = near
        self.at = at


class Detector:
    """Failure detector of one VM for the other entry VMs."""

    __slots__ = (
        "_own_changed",
        "_peers",
        "_reported_at",
        "_reports",
        "_suspected",
        "_ticked_at",
        "_timing",
        "_vm",
    )

    def __init__(self, vm: str, timing: Timing, now: float) -> None:
        """Initializes a detector without peers.

        Args:
            vm: Identifier of this VM.
            timing: Intervals and timeouts.
            now: Current time in seconds.
        """
        self._vm = vm
        self._timing = timing
        self._peers: dict[str, _Peer] = {}
        self._reports: dict[str, _Report] = {}
        self._suspected: frozenset[str] = frozenset()
        self._own_changed = False
        self._ticked_at = now
        self._reported_at = now

    @property
    def own(self) -> frozenset[str]:
        """VMs that this VM suspects from its own observations."""
        return frozenset(
            vm
            for vm, peer in self._peers.items()
            if peer.suspected_at is not None
        )

    @property
    def zone_report(self) -> frozenset[str]:
        """Suspicions to send within the zone: own observations in it only.

        If VMs forwarded received suspicions, two of them would renew each
        other's reports, and a suspicion would never end.
        """
        return frozenset(
            vm
            for vm, peer in self._peers.items()
            if peer.near and peer.suspected_at is not None
        )

    def far_report(self, now: float) -> frozenset[str]:
        """Suspicions to send to other zones, which don't forward them.

        Args:
            now: Current time in seconds.
        """
        reports = (r.suspected for r in self._current_reports(now) if r.near)
        reported = self.zone_report.union(*reports)
        return frozenset(vm for vm in reported if not self.is_responsive(vm))

    @property
    def suspected(self) -> frozenset[str]:
        """All suspected VMs, by own observation or by reports of others."""
        return self._suspected

    def follow(self, peers: Peers, listed: Iterable[str], now: float) -> None:
        """Sets the monitored peers.

        Suspected peers are still monitored while they are listed; otherwise
        their recovery would not be detected.

        Args:
            peers: The chosen peers.
            listed: All listed entry VMs.
            now: Current time in seconds.
        """
        listed = frozenset(listed)
        kept = peers.near | peers.far | (self.own & listed)
        for vm in [vm for vm in self._peers if vm not in kept]:
            del self._peers[vm]
        for vm in [vm for vm in self._reports if vm not in listed]:
            del self._reports[vm]
        timing = self._timing
        for vm in peers.near:
            self._monitor(vm, True, timing.near, timing.near_silence, now)
        for vm in peers.far:
            self._monitor(vm, False, timing.far, timing.far_silence, now)

    def receive(
        self, vm: str, suspected: Iterable[str], now: float, near: bool = True
    ) -> None:
        """Processes a message or a response of a peer.

        Args:
            vm: The sender.
            suspected: VMs that the sender suspects.
            now: Current time in seconds.
            near: Whether the sender is in this VM's zone.
        """
        self._reports[vm] = _Report(frozenset(suspected), now, near)
        peer = self._peers.get(vm)
        if peer is None:
            return
        peer.received_at = now
        if peer.suspected_at is None:
            return
        # Two responses are required to clear a suspicion. A VM that hangs
        # again after one late response would make the suspicion flap, and each
        # flap costs takeovers.
        peer.responses += 1
        if peer.responses >= _RESPONSES_TO_CLEAR:
            self._clear(peer, now)

    def tick(self, now: float) -> Step:
        """Applies the detection timeouts of all peers.

        Args:
            now: Current time in seconds.

        Returns:
            The messages to send and whether suspicions changed.
        """
        if now - self._ticked_at > self._timing.pause + self._timing.near:
            # This VM itself was paused, and its socket buffers contain unread
            # messages of its peers. Applying the timeouts now would suspect all
            # peers and start a burst of takeovers after each pause.
            self._reset_silence(now)
        self._ticked_at = now
        for peer in self._peers.values():
            self._check_timeout(peer, now)
        probes = tuple(
            vm for vm, peer in self._peers.items() if now >= peer.next_probe()
        )
        for vm in probes:
            self._peers[vm].probed_at = now
        changed = self._update_suspected(now)
        return Step(probes, self._report_due(now), changed)

    def next_due(self, now: float) -> float:
        """Returns the time of the next tick, at most one near interval ahead.

        The time is always after `now`. A deadline that has passed but can't
        be decided yet, because no message was sent since the last response,
        would otherwise make the caller loop without a wait.
        """
        dues = [now + self._timing.near]
        for peer in self._peers.values():
            dues.append(peer.next_probe())
            if peer.suspected_at is None:
                dues.append(peer.deadline())
        return max(min(dues), now + _MIN_TICK_SECONDS)

    def is_responsive(self, vm: str) -> bool:
        """Whether a VM is a monitored peer and this VM doesn't suspect it."""
        peer = self._peers.get(vm)
        return peer is not None and peer.suspected_at is None

    def _monitor(
        self, vm: str, near: bool, interval: float, timeout: float, now: float
    ) -> None:
        if vm not in self._peers:
            wait = (
                interval
                if self._vm < vm
                else interval * _RESPONDER_INTERVAL_FACTOR
            )
            peer = _Peer(near, wait, timeout, now)
            # The VM may be listed before its daemon has started.
            peer.received_at = now + self._timing.startup_grace - timeout
            peer.probed_at = now - wait
            self._peers[vm] = peer

    def _check_timeout(self, peer: _Peer, now: float) -> None:
        if now - peer.cleared_at > self._timing.timeout_reset:
            peer.timeout_factor = 1.0
        probed_since = peer.probed_at > peer.received_at
        if (
            peer.suspected_at is None
            and now >= peer.deadline()
            and probed_since
        ):
            peer.suspected_at = now
            peer.responses = 0
            self._own_changed = True

    def _clear(self, peer: _Peer, now: float) -> None:
        # The suspicion was false. The timeout of a peer that sometimes responds
        # slowly is doubled up to a bound, to avoid repeated false suspicions.
        peer.suspected_at = None
        peer.timeout_factor = min(peer.timeout_factor * 2, _MAX_TIMEOUT_FACTOR)
        peer.cleared_at = now
        self._own_changed = True

    def _reset_silence(self, now: float) -> None:
        for peer in self._peers.values():
            peer.received_at = max(peer.received_at, now)

    def _current_reports(self, now: float) -> list[_Report]:
        own = self.own
        return [
            report
            for sender, report in self._reports.items()
            if sender not in own
            and now - report.at <= self._timing.report_max_age
        ]

    def _update_suspected(self, now: float) -> bool:
        reports = (report.suspected for report in self._current_reports(now))
        candidates = self.own.union(*reports) - {self._vm}
        # This VM's own observations take precedence over reports of others.
        current = frozenset(
            vm for vm in candidates if not self.is_responsive(vm)
        )
        changed = current != self._suspected
        self._suspected = current
        return changed

    def _report_due(self, now: float) -> bool:
        due = (
            bool(self.zone_report)
            and now - self._reported_at >= self._timing.report_interval
        )
        if not self._own_changed and not due:
            return False
        self._own_changed = False
        self._reported_at = now
        return True
