"""Presence among entry VMs: who is followed, who is suspected.

A suspicion is a reason to look and to propose a takeover; it proves nothing
about what the suspected VM still does. Fences make the takeover safe.
"""

from collections.abc import Iterable

import msgspec

from mimosastile_core import fleet
from mimosastile_core import keys


class Timing(msgspec.Struct, frozen=True):
    """Times of presence, in seconds.

    Attributes:
        near: Interval between exchanges with a peer of the own zone.
        near_silence: Silence after which such a peer is suspected.
        far: Interval between exchanges with a peer of another zone.
        far_silence: Silence after which such a peer is suspected.
        first: Grace for a listed VM that was never heard.
        pause: A tick that comes this much late means that this VM paused.
        told: How long another VM's word on a third one is believed.
        tell: Interval at which standing suspicions are told again.
        calm: Time without a false suspicion after which a peer's silence is
            judged by the plain limit again.
    """

    near: float = 0.08
    near_silence: float = 0.2
    far: float = 1.0
    far_silence: float = 3.5
    first: float = 2.0
    pause: float = 0.1
    told: float = 4.0
    tell: float = 1.0
    calm: float = 30.0


_RETURN_HEARD = 2
_LARGEST_PATIENCE = 8.0
_NEAR_REACH = 1
_MOST_AVOIDED = 3
_SHORTEST_TICK = 0.005
# Of two peers the one with the lower name begins an exchange; the other waits
# this much longer. With equal waits both begin at once, at twice the cost.
_SECOND_WAIT = 1.5


class Peers(msgspec.Struct, frozen=True):
    """Whom a VM exchanges presence with.

    Attributes:
        near: Peers of the own zone.
        far: One peer of each other zone.
    """

    near: frozenset[str]
    far: frozenset[str]


def choose_peers(
    vm: str, zone: str, entries: Iterable[fleet.Vm], suspected: frozenset[str]
) -> Peers:
    """Chooses whom to exchange presence with.

    The VMs of a zone form a ring in the order of their hashes; each follows
    its next neighbours on both sides, so that the cost does not grow with the
    zone, and in a zone of three everyone follows everyone. Suspected VMs are
    left out of the ring: otherwise the loss of three neighbours would leave
    the middle one without anyone who notices.

    Args:
        vm: The choosing VM.
        zone: Its zone.
        entries: All listed entry VMs.
        suspected: Those to leave out.

    Returns:
        The chosen peers.
    """
    zones: dict[str, list[str]] = {}
    avoided: dict[str, int] = {}
    for entry in entries:
        if entry.id in suspected and entry.id != vm:
            avoided[entry.zone] = avoided.get(entry.zone, 0) + 1
        else:
            zones.setdefault(entry.zone, []).append(entry.id)
    for other in [z for z in zones if avoided.get(z, 0) >= _MOST_AVOIDED]:
        # The zone as a whole cannot be reached; trying all its VMs in turn
        # would cost messages that grow with the zone.
        if other != zone:
            del zones[other]
    ring = sorted({*zones.pop(zone, []), vm}, key=keys.key_hash)
    at = ring.index(vm)
    near = {
        ring[(at + step) % len(ring)]
        for step in range(-_NEAR_REACH, _NEAR_REACH + 1)
    }
    far = frozenset(
        max(others, key=lambda other: keys.key_hash(f"{vm}/{other}"))
        for others in zones.values()
    )
    return Peers(frozenset(near - {vm}), far)


class Step(msgspec.Struct, frozen=True):
    """What a tick asks for.

    Attributes:
        probes: VMs to send a presence message to.
        tell: Whether to tell the own zone of this VM's suspicions.
        changed: Whether any suspicion began or ended since the last tick.
    """

    probes: tuple[str, ...]
    tell: bool
    changed: bool


class _Peer:
    """What is known of one followed peer."""

    __slots__ = (
        "false_at",
        "heard_at",
        "interval",
        "near",
        "patience",
        "probed_at",
        "returned",
        "silence",
        "suspected_at",
    )

    def __init__(
        self, near: bool, interval: float, silence: float, now: float
    ) -> None:
        self.near = near
        self.interval = interval
        self.silence = silence
        self.heard_at = now
        self.probed_at = float("-inf")
        self.suspected_at: float | None = None
        self.returned = 0
        self.patience = 1.0
        self.false_at = float("-inf")

    def deadline(self) -> float:
        """Time at which the silence becomes a suspicion."""
        return self.heard_at + self.silence * self.patience

    def next_probe(self) -> float:
        """Time of the next message; hearing from a peer puts it off."""
        if self.suspected_at is not None:
            return self.probed_at + max(self.interval, self.silence)
        return max(self.heard_at, self.probed_at) + self.interval


class _Word:
    """What another VM last said about third ones."""

    __slots__ = ("at", "near", "suspected")

    def __init__(
        self, suspected: frozenset[str], at: float, near: bool
    ) -> None:
        self.suspected = suspected
        self.near = near
        self.at = at


class Detector:
    """Suspicions of one VM about others."""

    __slots__ = (
        "_dirty",
        "_known",
        "_peers",
        "_ticked_at",
        "_timing",
        "_told_at",
        "_vm",
        "_words",
    )

    def __init__(self, vm: str, timing: Timing, now: float) -> None:
        """Starts without peers.

        Args:
            vm: Identifier of this VM.
            timing: Times of presence.
            now: Present time.
        """
        self._vm = vm
        self._timing = timing
        self._peers: dict[str, _Peer] = {}
        self._words: dict[str, _Word] = {}
        self._known: frozenset[str] = frozenset()
        self._dirty = False
        self._ticked_at = now
        self._told_at = now

    @property
    def own(self) -> frozenset[str]:
        """VMs that this one suspects from its own observation."""
        return frozenset(
            vm
            for vm, peer in self._peers.items()
            if peer.suspected_at is not None
        )

    @property
    def told_near(self) -> frozenset[str]:
        """What to tell peers of the own zone: own observations in it alone.

        If a VM told on what it was told, two of them would keep each other
        believing, and a suspicion would never end.
        """
        return frozenset(
            vm
            for vm, peer in self._peers.items()
            if peer.near and peer.suspected_at is not None
        )

    def told_far(self, now: float) -> frozenset[str]:
        """What to tell other zones, which tell it on to nobody.

        Args:
            now: Present time.
        """
        words = (w.suspected for w in self._words_at(now) if w.near)
        heard = self.told_near.union(*words)
        return frozenset(vm for vm in heard if not self.hears(vm))

    @property
    def suspected(self) -> frozenset[str]:
        """All suspected VMs, by own observation or by others' word."""
        return self._known

    def follow(self, peers: Peers, listed: Iterable[str], now: float) -> None:
        """Sets whom to exchange presence with.

        Suspected peers are followed on while they are listed, or their return
        would go unnoticed.

        Args:
            peers: The chosen peers.
            listed: All listed entry VMs.
            now: Present time.
        """
        listed = frozenset(listed)
        kept = peers.near | peers.far | (self.own & listed)
        for vm in [vm for vm in self._peers if vm not in kept]:
            del self._peers[vm]
        for vm in [vm for vm in self._words if vm not in listed]:
            del self._words[vm]
        timing = self._timing
        for vm in peers.near:
            self._begin(vm, True, timing.near, timing.near_silence, now)
        for vm in peers.far:
            self._begin(vm, False, timing.far, timing.far_silence, now)

    def heard(
        self, vm: str, suspected: Iterable[str], now: float, near: bool = True
    ) -> None:
        """Takes a message or an answer of a peer.

        Args:
            vm: The sender.
            suspected: Whom it suspects.
            now: Present time.
            near: Whether the sender is of the own zone.
        """
        self._words[vm] = _Word(frozenset(suspected), now, near)
        peer = self._peers.get(vm)
        if peer is None:
            return
        peer.heard_at = now
        if peer.suspected_at is None:
            return
        # One late answer of a VM that hangs again right away would make the
        # suspicion flap, and every flap costs takeovers; so it takes two.
        peer.returned += 1
        if peer.returned >= _RETURN_HEARD:
            self._clear(peer, now)

    def tick(self, now: float) -> Step:
        """Judges the silence of all peers.

        Args:
            now: Present time.

        Returns:
            What to send and whether suspicions changed.
        """
        if now - self._ticked_at > self._timing.pause + self._timing.near:
            # This VM itself was paused: the others' messages wait unread in
            # its socket buffers. Judging now would suspect everyone at once,
            # seen as a storm of takeovers after each pause.
            self._forgive(now)
        self._ticked_at = now
        for peer in self._peers.values():
            self._judge(peer, now)
        probes = tuple(
            vm for vm, peer in self._peers.items() if now >= peer.next_probe()
        )
        for vm in probes:
            self._peers[vm].probed_at = now
        changed = self._recount(now)
        return Step(probes, self._tells(now), changed)

    def next_due(self, now: float) -> float:
        """Returns the time of the next tick, at most one near interval on.

        Something that is due but cannot be decided yet, such as a silence
        with no message sent since, would otherwise make the caller spin.
        """
        dues = [now + self._timing.near]
        for peer in self._peers.values():
            dues.append(peer.next_probe())
            if peer.suspected_at is None:
                dues.append(peer.deadline())
        return max(min(dues), now + _SHORTEST_TICK)

    def hears(self, vm: str) -> bool:
        """Whether a followed peer is heard and not suspected."""
        peer = self._peers.get(vm)
        return peer is not None and peer.suspected_at is None

    def _begin(
        self, vm: str, near: bool, interval: float, silence: float, now: float
    ) -> None:
        if vm not in self._peers:
            wait = interval if self._vm < vm else interval * _SECOND_WAIT
            peer = _Peer(near, wait, silence, now)
            # It may be listed before its daemon is up.
            peer.heard_at = now + self._timing.first - silence
            peer.probed_at = now - wait
            self._peers[vm] = peer

    def _judge(self, peer: _Peer, now: float) -> None:
        if now - peer.false_at > self._timing.calm:
            peer.patience = 1.0
        probed_since = peer.probed_at > peer.heard_at
        if (
            peer.suspected_at is None
            and now >= peer.deadline()
            and probed_since
        ):
            peer.suspected_at = now
            peer.returned = 0
            self._dirty = True

    def _clear(self, peer: _Peer, now: float) -> None:
        # It was alive: a peer that answers slowly now and then is given
        # longer, up to a bound, so that it is not suspected again and again.
        peer.suspected_at = None
        peer.patience = min(peer.patience * 2, _LARGEST_PATIENCE)
        peer.false_at = now
        self._dirty = True

    def _forgive(self, now: float) -> None:
        for peer in self._peers.values():
            peer.heard_at = max(peer.heard_at, now)

    def _words_at(self, now: float) -> list[_Word]:
        own = self.own
        return [
            word
            for teller, word in self._words.items()
            if teller not in own and now - word.at <= self._timing.told
        ]

    def _recount(self, now: float) -> bool:
        words = (word.suspected for word in self._words_at(now))
        known = self.own.union(*words) - {self._vm}
        # What this VM hears itself goes before what others say.
        fresh = frozenset(vm for vm in known if not self.hears(vm))
        changed = fresh != self._known
        self._known = fresh
        return changed

    def _tells(self, now: float) -> bool:
        due = bool(self.told_near) and now - self._told_at >= self._timing.tell
        if not self._dirty and not due:
            return False
        self._dirty = False
        self._told_at = now
        return True
