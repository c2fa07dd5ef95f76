"""What is known of targets, and which of them may get new work."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import enum

import msgspec


class Target(msgspec.Struct, frozen=True):
    """A target as it registered itself.

    Attributes:
        id: Its identifier; may come back for another run of it.
        born: Unix milliseconds of its start; tells its runs apart.
        service: Service that it serves.
        address: Host and port.
        zone: Its availability zone.
        slots: Requests that it runs at a time.
        leaving: Whether it has announced its end.
        revision: The store's revision of the registration.
        warm_at: Time at which it is no longer slow after its start.
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


_VANISHED = frozenset({TargetStatus.MISSING, TargetStatus.ENDED})


class Entry:
    """One target and how it stands.

    Attributes:
        target: As it registered itself last.
        standing: Whether it may get new work.
        since: Time of the last change of `standing`.
        until: Time after which it gets no work at all.
        revision: The store's revision of its last change.
        cold_until: Time until which it is taken for cold, whatever it has
            registered.
        announced_at: When this run said in an answer that it leaves, None if
            it has not.
    """

    __slots__ = (
        "announced_at",
        "cold_until",
        "revision",
        "since",
        "standing",
        "target",
        "until",
    )

    def __init__(self, target: Target, since: float) -> None:
        self.target = target
        self.standing = TargetStatus.READY
        self.since = since
        self.until = float("inf")
        self.revision = target.revision
        self.cold_until = 0.0
        self.announced_at: float | None = None

    def warm_in(self, now: float) -> float:
        """Returns the seconds until it is warm, 0 if it is."""
        return max(self.target.warm_at, self.cold_until, now) - now


class Directory:
    """All targets that are registered or were until a moment ago.

    A target whose registration has vanished may be dead, or cut off from the
    store and still well, or all registrations may have lapsed in an outage of
    the store. Callers would notice the last case as a whole service refused
    at once. So a vanished target stays usable where there is no other, for as
    long as a leaving one may still get work.
    """

    __slots__ = ("_announced", "_entries", "_grace", "_late_grace")

    def __init__(self, grace: float, late_grace: float) -> None:
        """Makes an empty one.

        Args:
            grace: Seconds for which a leaving or vanished target may get work.
            late_grace: The same if only a comparison of lists showed that it
                has vanished, which may have happened earlier.
        """
        self._entries: dict[str, Entry] = {}
        self._announced: set[str] = set()
        self._grace = grace
        self._late_grace = late_grace

    def set_grace(self, grace: float, late_grace: float) -> None:
        """Changes both for targets that leave or vanish from now on."""
        self._grace = grace
        self._late_grace = late_grace

    def __iter__(self) -> Iterator[Entry]:
        """Yields all entries."""
        return iter(self._entries.values())

    def announced(self) -> Iterator[Entry]:
        """Yields targets that leave by their own word."""
        entries = (self._entries.get(name) for name in self._announced)
        return (e for e in entries if e and e.announced_at is not None)

    def get(self, target: str) -> Entry | None:
        """Returns the entry of a target, None if it is unknown."""
        return self._entries.get(target)

    def newer_incarnation(self, target: Target) -> Target | None:
        """Returns the run that came after the one that registers, if any.

        A write to the store that got no answer may be carried out seconds
        later, when the target has started again under its identifier.
        """
        entry = self._entries.get(target.id)
        if entry is None or entry.target.born <= target.born:
            return None
        return entry.target

    def put(
        self, target: Target, now: float, since: float | None = None
    ) -> bool:
        """Takes a registration; one of an older run changes nothing.

        Args:
            target: The target.
            now: The time.
            since: Earliest time at which it may have been written; None for
                now.

        Returns:
            Whether it matters to routing.
        """
        entry = self._entries.get(target.id)
        if entry is not None and target.revision < entry.revision:
            return False
        if entry is not None and target.born < entry.target.born:
            # What the store holds now is the older run's; a removal that
            # follows is newer than that.
            entry.revision = target.revision
            return False
        if entry is None:
            entry = self._entries[target.id] = Entry(target, now)
            fresh = True
        else:
            former = entry.target
            fresh = (former.born, former.address) != (
                target.born,
                target.address,
            )
        if target.born != entry.target.born:
            entry.announced_at = None
            entry.until = float("inf")
        entry.target = target
        entry.revision = target.revision
        if entry.standing is TargetStatus.ENDED and not fresh:
            return False
        leaving = target.leaving or entry.announced_at is not None
        standing = TargetStatus.LEAVING if leaving else TargetStatus.READY
        if entry.standing is standing and not fresh:
            return False
        entry.standing = standing
        entry.since = now
        if leaving:
            entry.since = now if since is None else min(since, now)
            entry.until = min(entry.until, entry.since + self._grace)
        else:
            entry.until = float("inf")
        return True

    def announce(self, target: str, born: int, said_at: float) -> bool:
        """Takes a target's word in an answer that it is about to end.

        The word holds for its run, whatever its registration shows: that may
        lag, lapse and come back, or be written late.

        Args:
            target: Identifier of the target.
            born: Which run of it.
            said_at: When it was said.

        Returns:
            Whether that is news.
        """
        entry = self._entries.get(target)
        if entry is None or entry.target.born != born:
            return False
        if entry.announced_at is not None:
            return False
        entry.announced_at = said_at
        self._announced.add(target)
        if entry.standing is TargetStatus.ENDED:
            return False
        if entry.standing is TargetStatus.READY:
            entry.standing = TargetStatus.LEAVING
            entry.since = said_at
        entry.until = min(entry.until, said_at + self._grace)
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
        """Notes that a registration has vanished.

        Args:
            target: Identifier of the target.
            now: The time.
            late: Whether it may have vanished a while ago.
            revision: The store's revision of that, 0 if it is not known.
            since: Earliest time at which it may have vanished; None for now.

        Returns:
            Whether it was there.
        """
        entry = self._entries.get(target)
        if entry is None or entry.standing in _VANISHED:
            return False
        if revision and revision < entry.revision:
            return False
        entry.revision = max(entry.revision, revision)
        entry.standing = TargetStatus.MISSING
        entry.since = now if since is None else min(since, now)
        entry.until = min(entry.until, entry.since + self._grace)
        if late:
            entry.until = min(entry.until, now + self._late_grace)
        return True

    def end(self, target: str, born: int, now: float) -> bool:
        """Notes proof that a run of a target is over.

        Its address answers in another target's name. Its registration may
        stand for seconds more; each request sent there would be one for
        nothing, and a repeat at the other target's service.

        Args:
            target: Identifier of the target.
            born: Which run of it.
            now: The time.

        Returns:
            Whether that is news.
        """
        entry = self._entries.get(target)
        if entry is None or entry.target.born != born:
            return False
        if entry.standing is TargetStatus.ENDED:
            return False
        entry.standing = TargetStatus.ENDED
        entry.since = entry.until = now
        return True

    def has_left_address(self, target: str, born: int) -> bool:
        """Whether a target's own address has answered in another name.

        That is sure proof that whatever ran there under its identifier is
        over. What the store shows of the address proves nothing: a
        registration that vanished may be one of a target that is cut off from
        the store, or leaves, and serves on; another identifier at the same
        address may be an earlier run's, written late. Believing either would
        give the target's keys away while it runs requests for them.

        Args:
            target: Identifier of the target.
            born: Which run of it.
        """
        entry = self._entries.get(target)
        return (
            entry is not None
            and entry.target.born == born
            and entry.standing is TargetStatus.ENDED
        )

    def has_restarted(self, target: str, born: int) -> bool:
        """Whether a later run of a target has registered than a given one.

        Args:
            target: Identifier of the target.
            born: Which run of it.
        """
        entry = self._entries.get(target)
        return entry is not None and entry.target.born > born

    def record_incarnation(
        self, target: str, born: int, address: str, now: float
    ) -> None:
        """Takes the word of a table that a later run than the known one exists.

        A new leader may not have heard of it yet, and would take the keys from
        the later run to give them to the earlier one. What is known of the
        earlier one's end says nothing of the later one.

        Args:
            target: Identifier of the target.
            born: Its later run.
            address: Where that is.
            now: The time.
        """
        entry = self._entries.get(target)
        if entry is None or entry.target.born >= born:
            return
        entry.target = msgspec.structs.replace(
            entry.target, born=born, address=address, leaving=False
        )
        entry.announced_at = None
        entry.standing = TargetStatus.READY
        entry.since = now
        entry.until = float("inf")

    def replace(
        self,
        targets: Iterable[Target],
        now: float,
        revision: int = 0,
        since: float | None = None,
        gone_since: float | None = None,
    ) -> list[str]:
        """Takes a whole list.

        Args:
            targets: All that are registered.
            now: The time.
            revision: The store's revision of the list.
            since: Earliest time at which registrations may have changed; None
                for now.
            gone_since: The same for those that have vanished.

        Returns:
            The targets whose entry changed.
        """
        listed = {target.id: target for target in targets}
        changed = [t.id for t in listed.values() if self.put(t, now, since)]
        gone = [
            known
            for known in list(self._entries)
            if known not in listed
            and self.remove(
                known, now, late=True, revision=revision, since=gone_since
            )
        ]
        return changed + gone

    def forget(self, now: float, keep_seconds: float) -> None:
        """Drops targets that vanished long ago."""
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry.standing not in _VANISHED
            or now - entry.since < keep_seconds
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

        Ready ones if there are any, else those that are about to go.

        Args:
            service: The service.
            now: The time.
            allowed: Which of them are considered.
        """
        of_service = [
            e
            for e in self._entries.values()
            if e.target.service == service and allowed(e.target)
        ]
        ready = [
            e.target for e in of_service if e.standing is TargetStatus.READY
        ]
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
        """Takes the targets of a zone for cold for some time.

        Args:
            zone: Their zone.
            seconds: For how long, by service.
            now: The time.
        """
        for entry in self._entries.values():
            if entry.target.zone == zone:
                lasts = seconds.get(entry.target.service, 0.0)
                entry.cold_until = max(entry.cold_until, now + lasts)

    def record_cold(self, target: str, seconds: float, now: float) -> None:
        """Notes that a target itself has said how long it stays cold."""
        entry = self._entries.get(target)
        if entry is not None:
            entry.cold_until = max(entry.cold_until, now + seconds)

    def is_ready(self, target: str) -> bool:
        """Whether a target is registered and does not leave."""
        entry = self._entries.get(target)
        return entry is not None and entry.standing is TargetStatus.READY

    def may_get_work(self, target: str, now: float) -> bool:
        """Whether a target that owns a key may get a request for it."""
        entry = self._entries.get(target)
        return entry is not None and now < entry.until

    def all_leave(self, service: str) -> bool:
        """Whether a service has targets that leave, and no others."""
        standings = {
            entry.standing
            for entry in self._entries.values()
            if entry.target.service == service
        }
        return standings - _VANISHED == {TargetStatus.LEAVING}

    def ready(self, service: str) -> list[Target]:
        """Returns the registered targets of a service that do not leave."""
        return [
            entry.target
            for entry in self._entries.values()
            if entry.standing is TargetStatus.READY
            and entry.target.service == service
        ]
