"""Directory of targets: their registrations, and which may get new work."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import enum
import operator

import msgspec


class Target(msgspec.Struct, frozen=True):
    """A target as it registered itself.

    Attributes:
        id: Identifier of the target; a later incarnation may reuse it.
        born: Start in Unix milliseconds; distinguishes its incarnations.
        service: Service that it serves.
        address: Host and port.
        zone: Its availability zone.
        slots: Number of requests that it runs concurrently.
        leaving: Whether it has announced its shutdown.
        revision: The store's revision of the registration.
        warm_at: Time at which its slow start ends.
    """

    id: str
    born: int
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    warm_at: float = 0.0
    revision: int = 0


class TargetStatus(enum.Enum):
    """What a target may be used for."""

    READY = "ready"
    LEAVING = "leaving"
    MISSING = "missing"
    ENDED = "ended"


_identity = operator.attrgetter("born", "address")
"""What distinguishes the process that a registration names."""
_routing = operator.attrgetter("service", "zone", "slots")
"""What else of a registration decides which requests a target gets."""
_VANISHED = frozenset({TargetStatus.MISSING, TargetStatus.ENDED})


class Entry:
    """One target and its status.

    Attributes:
        target: Its latest registration.
        status: Whether it may get new work.
        since: Time of the last change of `status`.
        until: Time after which it gets no work at all.
        revision: The store's revision of its last change.
        cold_until: Time until which it counts as cold, regardless of its
            registration.
        announced_at: Time at which this incarnation announced its shutdown in a
            response, None if it has not.
        unended_born: Start of the earliest incarnation that has registered
            again after a later one; None if none has.
    """

    __slots__ = (
        "announced_at",
        "cold_until",
        "revision",
        "since",
        "status",
        "target",
        "unended_born",
        "until",
    )

    def __init__(self, target: Target, since: float) -> None:
        self.target = target
        self.status = TargetStatus.READY
        self.since = since
        self.until = float("inf")
        self.revision = target.revision
        self.cold_until = 0.0
        self.announced_at: float | None = None
        self.unended_born: int | None = None

    def record_unended(self, born: int) -> None:
        """Records that an earlier incarnation has registered again."""
        if self.unended_born is None or born < self.unended_born:
            self.unended_born = born

    def warm_in(self, now: float) -> float:
        """Returns the seconds until the target is warm, 0 if it is."""
        return max(self.target.warm_at, self.cold_until, now) - now


class Directory:
    """All targets that are registered or were until recently.

    A target whose registration has vanished may have crashed, it may be cut off
    from the store and still serve, or all registrations may have expired in an
    outage of the store. In the last case callers would find the whole service
    refused at once. Therefore, if there is no other target, a target without
    registration stays usable for as long as a leaving one may still get work.
    """

    __slots__ = ("_announced", "_entries", "_grace", "_late_grace")

    def __init__(self, grace: float, late_grace: float) -> None:
        """Creates an empty directory.

        Args:
            grace: Seconds for which a leaving or vanished target may get work.
            late_grace: The same if its absence was only found by a comparison
                of lists, and it may have vanished earlier.
        """
        self._entries: dict[str, Entry] = {}
        self._announced: set[str] = set()
        self._grace = grace
        self._late_grace = late_grace

    def set_grace(self, grace: float, late_grace: float) -> None:
        """Changes both times for targets that leave or vanish from now on."""
        self._grace = grace
        self._late_grace = late_grace

    def __iter__(self) -> Iterator[Entry]:
        """Yields all entries."""
        return iter(self._entries.values())

    def announced(self) -> Iterator[Entry]:
        """Yields targets that have announced their shutdown in a response."""
        entries = (self._entries.get(name) for name in self._announced)
        return (e for e in entries if e and e.announced_at is not None)

    def get(self, target: str) -> Entry | None:
        """Returns the entry of a target, None if it is unknown."""
        return self._entries.get(target)

    def newer_incarnation(self, target: Target) -> Target | None:
        """Returns a recorded incarnation later than a registering one, if any.

        A write to the store that got no response may be carried out seconds
        later, when the target has already restarted under its identifier.
        """
        entry = self._entries.get(target.id)
        if entry is None or entry.target.born <= target.born:
            return None
        return entry.target

    def put(
        self, target: Target, now: float, since: float | None = None
    ) -> bool:
        """Records a registration.

        One of an older incarnation changes no routing, but that incarnation is
        no longer known to have ended: it may be alive, and the later
        registration may be false.

        Args:
            target: The target.
            now: Current time.
            since: Earliest time at which it may have been written; None for
                now.

        Returns:
            Whether the change affects routing.
        """
        entry = self._entries.get(target.id)
        previous = entry.target if entry is not None else None
        if entry is not None and target.revision < entry.revision:
            return False
        if entry is not None and target.born < entry.target.born:
            # The store now holds the older incarnation's registration; a
            # removal that follows has a higher revision.
            entry.revision = target.revision
            entry.record_unended(target.born)
            return False
        if entry is None:
            entry = self._entries[target.id] = Entry(target, now)
        is_new = previous is None or _identity(previous) != _identity(target)
        if target.born != entry.target.born:
            entry.announced_at = None
            entry.unended_born = None
            entry.until = float("inf")
        entry.target = target
        entry.revision = target.revision
        if entry.status is TargetStatus.ENDED and not is_new:
            return False
        leaving = target.leaving or entry.announced_at is not None
        status = TargetStatus.LEAVING if leaving else TargetStatus.READY
        if entry.status is status and not is_new:
            return previous is None or _routing(previous) != _routing(target)
        entry.status = status
        entry.since = now
        if leaving:
            entry.since = now if since is None else min(since, now)
            entry.until = min(entry.until, entry.since + self._grace)
        else:
            entry.until = float("inf")
        return True

    def announce(self, target: str, born: int, announced_at: float) -> bool:
        """Records a target's announcement in a response that it will end.

        The announcement holds for its incarnation, whatever the registration
        shows: that may lag, expire and return, or be written late.

        Args:
            target: Identifier of the target.
            born: Start of its incarnation.
            announced_at: Time of the announcement.

        Returns:
            Whether this changes the target's status.
        """
        entry = self._entries.get(target)
        if entry is None or entry.target.born != born:
            return False
        if entry.announced_at is not None:
            return False
        entry.announced_at = announced_at
        self._announced.add(target)
        if entry.status is TargetStatus.ENDED:
            return False
        if entry.status is TargetStatus.READY:
            entry.status = TargetStatus.LEAVING
            entry.since = announced_at
        entry.until = min(entry.until, announced_at + self._grace)
        return True

    def remove(
        self,
        target: str,
        now: float,
        *,
        late: bool = False,
        revision: int = 0,
        since: float | None = None,
    ) -> bool:
        """Records that a registration has vanished.

        Args:
            target: Identifier of the target.
            now: Current time.
            late: Whether it may have vanished a while ago.
            revision: The store's revision of the removal, 0 if it is not known.
            since: Earliest time at which it may have vanished; None for now.

        Returns:
            Whether the registration was present.
        """
        entry = self._entries.get(target)
        if entry is None or entry.status in _VANISHED:
            return False
        if revision and revision < entry.revision:
            return False
        entry.revision = max(entry.revision, revision)
        entry.status = TargetStatus.MISSING
        entry.since = now if since is None else min(since, now)
        entry.until = min(entry.until, entry.since + self._grace)
        if late:
            entry.until = min(entry.until, now + self._late_grace)
        return True

    def record_end(
        self, target: str, born: int, now: float, address: str = ""
    ) -> bool:
        """Records proof that an incarnation of a target has ended.

        The proof is that its address responds under another target's
        identifier. Its registration may last for seconds more. Each request
        sent there would be wasted, and would be a retry at the other target's
        service.

        Args:
            target: Identifier of the target.
            born: Start of its incarnation.
            now: Current time.
            address: Address that responded; empty for the recorded one. Another
                process there says nothing of a target that has moved.

        Returns:
            Whether this changes the target's status.
        """
        entry = self._entries.get(target)
        if entry is None or entry.target.born != born:
            return False
        if address and entry.target.address != address:
            return False
        if entry.status is TargetStatus.ENDED:
            return False
        entry.status = TargetStatus.ENDED
        entry.since = entry.until = now
        return True

    def has_left_address(
        self, target: str, born: int, address: str = ""
    ) -> bool:
        """Whether a target's address has responded under another identifier.

        This proves that any process that ran there under the target's
        identifier has ended. What the store shows of the address proves
        nothing: a target whose registration vanished may be cut off from the
        store, or be leaving, and still serve; another identifier at the same
        address may belong to an earlier incarnation whose registration was
        written late. Relying on either would give the target's keys to another
        one while it runs requests for them.

        Args:
            target: Identifier of the target.
            born: Start of its incarnation.
            address: The address; empty for the recorded one.
        """
        entry = self._entries.get(target)
        return (
            entry is not None
            and entry.target.born == born
            and address in ("", entry.target.address)
            and entry.status is TargetStatus.ENDED
        )

    def has_restarted(self, target: str, born: int) -> bool:
        """Whether a later incarnation's registration proves an earlier's end.

        It does unless the earlier one has registered again since. That may be
        a write which was carried out late, or the earlier incarnation may be
        alive; its grants have to expire then.

        Args:
            target: Identifier of the target.
            born: Start of the given incarnation.
        """
        entry = self._entries.get(target)
        if entry is None or entry.target.born <= born:
            return False
        return entry.unended_born is None or born < entry.unended_born

    def record_unended(self, target: str, born: int, unended_born: int) -> None:
        """Records that an incarnation has registered again after a later one.

        Args:
            target: Identifier of the target.
            born: Start of the latest incarnation.
            unended_born: Start of the incarnation that registered again.
        """
        entry = self._entries.get(target)
        if entry is not None and entry.target.born == born:
            entry.record_unended(unended_born)

    def record_incarnation(
        self, target: str, born: int, address: str, now: float
    ) -> None:
        """Records that a table names a later incarnation than the recorded one.

        A new leader may not have its registration yet, and would take the keys
        from the later incarnation to give them to the earlier one. The recorded
        end of the earlier incarnation does not apply to the later one.

        Args:
            target: Identifier of the target.
            born: Start of its later incarnation.
            address: Address of the later incarnation.
            now: Current time.
        """
        entry = self._entries.get(target)
        if entry is None or entry.target.born >= born:
            return
        entry.target = msgspec.structs.replace(
            entry.target, born=born, address=address, leaving=False
        )
        entry.announced_at = None
        entry.unended_born = None
        entry.status = TargetStatus.READY
        entry.since = now
        entry.until = float("inf")

    def replace(
        self,
        targets: Iterable[Target],
        now: float,
        revision: int = 0,
        since: float | None = None,
        gone_since: float | None = None,
        present: Collection[str] = (),
    ) -> list[str]:
        """Replaces all registrations by a complete list.

        Args:
            targets: All targets that are registered.
            now: Current time.
            revision: The store's revision of the list.
            since: Earliest time at which registrations may have changed; None
                for now.
            gone_since: Earliest time at which registrations may have vanished;
                None for now.
            present: Identifiers in the list that have not vanished, although
                they may not be among `targets`.

        Returns:
            Identifiers of the targets whose entry changed.
        """
        listed = {target.id: target for target in targets}
        changed = [t.id for t in listed.values() if self.put(t, now, since)]
        gone = [
            target
            for target in list(self._entries)
            if target not in listed
            and target not in present
            and self.remove(
                target, now, late=True, revision=revision, since=gone_since
            )
        ]
        return changed + gone

    def drop_vanished(self, now: float, keep_seconds: float) -> None:
        """Drops targets that vanished long ago."""
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.status not in _VANISHED or now - entry.since < keep_seconds
        }
        self._announced &= self._entries.keys()

    def since_revision(self, revision: int) -> list[Entry]:
        """Returns entries that changed after a revision of the store."""
        return [e for e in self._entries.values() if e.revision > revision]

    def usable(
        self,
        service: str,
        now: float,
        allowed: Callable[[Target], bool] = lambda _: True,
    ) -> list[Target]:
        """Returns the targets of a service that may get new work.

        These are its ready targets if there are any, otherwise those that are
        still within their grace period.

        Args:
            service: The service.
            now: Current time.
            allowed: Filter on the targets to consider.
        """
        of_service = [
            e
            for e in self._entries.values()
            if e.target.service == service and allowed(e.target)
        ]
        ready = [e.target for e in of_service if e.status is TargetStatus.READY]
        if ready:
            return ready
        return [e.target for e in of_service if now < e.until]

    def warm_in(self, target: str, now: float) -> float:
        """Returns the seconds until a target is warm, 0 if it is."""
        entry = self._entries.get(target)
        return entry.warm_in(now) if entry else 0.0

    def mark_zone_cold(
        self, zone: str, seconds: Mapping[str, float], now: float
    ) -> None:
        """Treats the targets of a zone as cold for some time.

        Args:
            zone: Zone of the targets.
            seconds: Duration by service; a service that is absent is not
                affected.
            now: Current time.
        """
        for entry in self._entries.values():
            if entry.target.zone == zone:
                lasts = seconds.get(entry.target.service, 0.0)
                entry.cold_until = max(entry.cold_until, now + lasts)

    def record_cold(self, target: str, seconds: float, now: float) -> None:
        """Records how long a target stays cold, as it reported itself."""
        entry = self._entries.get(target)
        if entry is not None:
            entry.cold_until = max(entry.cold_until, now + seconds)

    def is_ready(self, target: str) -> bool:
        """Whether a target is registered and not leaving."""
        entry = self._entries.get(target)
        return entry is not None and entry.status is TargetStatus.READY

    def may_get_work(self, target: str, now: float) -> bool:
        """Whether a target that owns a key may get a request for it."""
        entry = self._entries.get(target)
        return entry is not None and now < entry.until

    def all_leave(self, service: str) -> bool:
        """Whether a service has targets that leave, and no others."""
        statuses = {
            entry.status
            for entry in self._entries.values()
            if entry.target.service == service
        }
        return statuses - _VANISHED == {TargetStatus.LEAVING}

    def ready(self, service: str) -> list[Target]:
        """Returns the registered targets of a service that are not leaving."""
        return [
            entry.target
            for entry in self._entries.values()
            if entry.status is TargetStatus.READY
            and entry.target.service == service
        ]
