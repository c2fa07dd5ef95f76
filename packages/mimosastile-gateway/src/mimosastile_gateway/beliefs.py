"""What this VM believes: configuration, targets, owners of keys, the leader."""

import asyncio
import bisect
from collections.abc import Callable

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import routes
from mimosastile_gateway import clock
from mimosastile_gateway import events
from mimosastile_gateway import messages
from mimosastile_gateway import settings

_FORGET_SECONDS = 30.0
"""A vanished target is remembered this long, so that orders can reach it."""
_LATE_SHARE = 0.25
"""Part of the grace that is left when a vanishing is found by comparing lists,
which follows a silence of the watch of up to a second and a half."""


class Beliefs:
    """The present state, with a signal for whoever waits for a change."""

    __slots__ = (
        "_changed",
        "_clock",
        "_events",
        "_subscribers",
        "assignments",
        "configuration",
        "directory",
        "leader",
        "route_table",
        "shares",
        "store_failed_at",
        "store_ok",
        "store_since",
        "vms",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        """Makes beliefs of a VM that knows nothing yet."""
        grace = configured.bounds.drain * 0.9
        self._clock = timer
        self._events = log
        self._changed = asyncio.Event()
        self._subscribers: list[Callable[[], None]] = []
        self.configuration: routes.Configuration | None = None
        self.route_table = routes.RouteTable()
        self.shares = routes.WeightedShares()
        self.directory = directory.Directory(grace, grace * _LATE_SHARE)
        self.assignments: dict[str, messages.Assignment] = {}
        self.leader: leadership.LeaderEntry | None = None
        self.vms: dict[str, messages.VmEntry] = {}
        self.store_ok = False
        self.store_since = 0.0
        self.store_failed_at = float("-inf")

    @property
    def changed(self) -> asyncio.Event:
        """Set once at the next change; take it before looking."""
        return self._changed

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Has a function called after each change."""
        self._subscribers.append(callback)

    def signal(self) -> None:
        """Tells everyone who waits that something has changed."""
        self._changed.set()
        self._changed = asyncio.Event()
        for callback in self._subscribers:
            callback()

    def take_configuration(self, new: routes.Configuration) -> bool:
        """Takes a configuration unless a newer one is in force."""
        known = self.configuration
        if known is not None and new.version <= known.version:
            return False
        self.configuration = new
        self.route_table = routes.RouteTable(new.routes)
        self.shares.keep(new.routes)
        self._events.write(
            "configuration",
            "configuration_taken",
            version=new.version,
            former=known.version if known else None,
            routes=len(new.routes),
        )
        self.signal()
        return True

    def take_target(self, target: directory.Target) -> None:
        """Takes a target's registration."""
        if self.directory.put(target, self._clock.now()):
            self._events.write(
                "targets",
                "target_leaving" if target.leaving else "target_ready",
                target=target.id,
                born=target.born,
                service=target.service,
                address=target.address,
            )
            self.signal()

    def lose_target(self, target: str) -> None:
        """Notes that a target's registration has vanished."""
        now = self._clock.now()
        if self.directory.remove(target, now):
            self._events.write("targets", "target_gone", target=target)
            self.signal()

    def end_target(self, target: str, born: int) -> None:
        """Notes proof that a run of a target is over."""
        if self.directory.end(target, born, self._clock.now()):
            self._events.write(
                "targets", "target_ended", target=target, born=born
            )
            self.signal()

    def take_targets(self, targets: list[directory.Target]) -> None:
        """Takes the whole list of targets."""
        now = self._clock.now()
        changed = self.directory.replace(targets, now)
        self.directory.forget(now, _FORGET_SECONDS)
        if changed:
            self._events.write(
                "targets",
                "targets_listed",
                listed=len(targets),
                changed=changed[:20],
            )
            self.signal()

    def take_assignment(self, new: messages.Assignment) -> bool:
        """Takes an assignment of keys unless a newer one is known."""
        known = self.assignments.get(new.service)
        if known is not None and (new.epoch, new.serial) <= (
            known.epoch,
            known.serial,
        ):
            return False
        self.assignments[new.service] = new
        self.signal()
        return True

    def take_leader(self, new: leadership.LeaderEntry) -> bool:
        """Takes the leader unless one of a later epoch is known."""
        known = self.leader
        if known is not None and new.epoch <= known.epoch:
            return False
        self.leader = new
        self._events.write(
            "peers",
            "leader_taken",
            leader=new.vm,
            epoch=new.epoch,
            former=known.vm if known else None,
        )
        return True

    def note_store(self, *, ok: bool, why: str = "") -> None:
        """Notes whether a call to the store was answered."""
        now = self._clock.now()
        if ok != self.store_ok:
            self._events.write(
                "store",
                "store_regained" if ok else "store_lost",
                after=round(now - self.store_since, 3),
                why=why,
            )
            self.store_ok = ok
            self.store_since = now
        if not ok:
            self.store_failed_at = now

    def owner(self, service: str, key: int) -> str | None:
        """Returns the target that owns a key, None while nobody does."""
        assignment = self.assignments.get(service)
        if assignment is None:
            return None
        place = bisect.bisect_right(assignment.firsts, key) - 1
        index = assignment.indexes[place]
        return assignment.owners[index] if index >= 0 else None

    def serials(self) -> dict[str, tuple[int, int]]:
        """Returns epoch and serial of each assignment."""
        return {
            name: (item.epoch, item.serial)
            for name, item in self.assignments.items()
        }
