"""What this VM believes: configuration, targets, owners of keys, the leader."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import backoffs
from mimosastile_core.gateway import configurations
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import freshness
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import limits
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback
from mimosastile_core.gateway import unowned_ranges
from mimosastile_gateway import clock
from mimosastile_gateway import events
from mimosastile_gateway import messages
from mimosastile_gateway import ports
from mimosastile_gateway import settings

_FORGET_SECONDS = 30.0
"""A vanished target is remembered this long, so that orders can reach it."""
_DRAIN_SHARE = 0.9
"""Part of the time within which a leaving target must get no new work; the
rest covers requests that are on their way."""
_LATE_SHARE = 0.25
"""Part of the grace that is left when a vanishing is found by comparing lists,
which follows a silence of the watch of up to a second and a half."""

_EVACUATION_SHARE = 0.3
"""Part of the time that an evacuation may take for which owners of keys go on
serving them; the rest covers the way of the news."""
_COLD_MARGIN = 0.2
"""Seconds for which targets of a zone are taken for cold beyond the time that
they say, for clocks that differ."""
_STORE_AWAY_SECONDS = 3.0
"""Retry-After for keys that move as soon as the store is back."""
_JUST_NOW: Mapping[str, float] = {}
_LOGGED_SINGLY = 20
"""Changes of registrations that have a log line each; more have one together.
A thousand targets that start would be a thousand lines on each VM."""
_CONFIGURATIONS_KEPT = 32
"""Earlier configurations kept, to tell VMs what has changed since. Operators
change it up to some ten times a second for a few seconds; a VM reports twice
a second."""


class ClusterState:
    """The present state, with a signal for whoever waits for a change.

    Attributes:
        route_table: Finds its routes.
        shares: Deals requests out among the parts of a route.
        directory: All targets.
        assignments: Owners of keys by service.
        leader: The leader, None if none is known.
        leader_since: When it became known, on the clock that runs on while
            the machine is suspended.
        vms: Entry VMs as last read from the store.
        eligibility: Which targets may run a request, by their place.
        evacuations: Zones that are evacuated.
        limits: Rates that targets have named for all VMs together.
        rests: Times for which targets want nothing from this VM.
        seen: Store revision up to which all registrations are known.
        configuration_seen: Store revision up to which the configuration in
            force and the evacuations are the newest.
        registrations: Until when the directory surely held all registrations.
        operated: Until when the configuration in force and the evacuations
            surely were the newest.
        store_ok: Whether the last call to the store was answered.
        store_since: Loop time since which that is so, None before the first
            answer.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_configurations",
        "_evacuated_at",
        "_events",
        "_settings",
        "_store_failed_at",
        "_subscribers",
        "_unowned_ranges",
        "assignments",
        "configuration_seen",
        "directory",
        "eligibility",
        "evacuations",
        "leader",
        "leader_since",
        "limits",
        "operated",
        "registrations",
        "backoffs",
        "route_table",
        "seen",
        "shares",
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
        grace = configured.bounds.drain * _DRAIN_SHARE
        self._settings = configured
        self._clock = timer
        self._events = log
        self._changed = asyncio.Event()
        self._subscribers: list[Callable[[], None]] = []
        self._configurations = configurations.History(_CONFIGURATIONS_KEPT)
        self.route_table = routes.RouteTable()
        self.shares = routes.WeightedShares()
        self.directory = directory.Directory(grace, grace * _LATE_SHARE)
        self.assignments: dict[str, assignments.Assignment] = {}
        hold = configured.leader.hold
        lapse = leadership.lapsed_at(0.0, hold)
        self._unowned_ranges = unowned_ranges.UnownedRanges(
            lapse, configured.leader.authority + lapse
        )
        self.evacuations = eligibility.Evacuations()
        self.eligibility = eligibility.Eligibility(configured.vm.regions)
        self._evacuated_at: dict[str, float] = {}
        self.limits = limits.TargetLimits(configured.vm.id)
        self.backoffs = backoffs.Backoffs()
        self.seen = 0
        self.configuration_seen = 0
        self.registrations = freshness.Freshness()
        self.operated = freshness.Freshness()
        self.leader: leadership.LeaderEntry | None = None
        self.leader_since = 0.0
        self.vms: dict[str, messages.VmEntry] = {}
        self.store_ok = False
        self._store_failed_at = -math.inf
        self.store_since: float | None = None

    def set_drain(self, seconds: float) -> None:
        """Changes how long a leaving target may get work."""
        grace = seconds * _DRAIN_SHARE
        self.directory.set_grace(grace, grace * _LATE_SHARE)

    @property
    def configuration(self) -> routes.Configuration | None:
        """The configuration in force, None before the first one."""
        return self._configurations.present

    @property
    def version(self) -> int:
        """Version of the configuration in force, -1 before the first one."""
        known = self._configurations.present
        return known.version if known else -1

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

    def apply_configuration(
        self, new: routes.Configuration, source: str = ""
    ) -> bool:
        """Takes a configuration unless a newer one is in force.

        Args:
            new: The configuration.
            source: From whom it comes, for the log.
        """
        former = self.version
        if not self._configurations.take(new):
            return False
        self.route_table = routes.RouteTable(new.routes)
        self.shares.keep(new.routes)
        self._events.write(
            "configuration",
            "configuration_taken",
            version=new.version,
            former=former,
            routes=len(new.routes),
            source=source,
        )
        self.signal()
        return True

    def apply_evacuations(self, new: eligibility.Evacuations) -> None:
        """Takes the evacuated zones unless newer ones are known."""
        known = self.evacuations
        if new.revision <= known.revision:
            return
        self.evacuations = new
        if new.zones == known.zones:
            return
        now = self._clock.now()
        self.eligibility = eligibility.Eligibility(
            self._settings.vm.regions, new.zones
        )
        self._evacuated_at = {
            zone: self._evacuated_at.get(zone, now) for zone in new.zones
        }
        ended = set(known.zones) - set(new.zones)
        cold = self._cold_seconds()
        for zone in ended:
            # Its targets may be cold, and say so in a heartbeat or two.
            self.directory.mark_zone_cold(zone, cold, now)
        self._events.write(
            "targets",
            "evacuations_taken",
            zones=new.zones,
            ended=sorted(ended),
            revision=new.revision,
        )
        self.signal()

    def _cold_seconds(self) -> dict[str, float]:
        """Returns how long targets of each service are cold, if that counts."""
        configuration = self.configuration
        services = configuration.services if configuration else {}
        return {
            name: service.cold_seconds + _COLD_MARGIN
            for name, service in services.items()
            if service.cold_rate
        }

    def owner_excluded(
        self, zone: str, allowed: Collection[str]
    ) -> eligibility.Exclusion | None:
        """Returns why the owner of a key may not run a request for it.

        The keys of an evacuated zone are being moved. Until their owner is
        asked to release them it goes on serving, for a part of the time that
        an evacuation may take.

        Args:
            zone: Zone of the owner.
            allowed: Regions that the request's route allows; empty for any.
        """
        why = self.eligibility.exclusion(zone, allowed)
        if why is not eligibility.Exclusion.EVACUATED:
            return why
        since = self._clock.now() - self._evacuated_at.get(zone, -math.inf)
        limit = self._settings.bounds.evacuation * _EVACUATION_SHARE
        return None if since < limit else why

    def cold_seconds(self, target: str) -> float:
        """Returns for how long a target's rate is bounded, 0 if it is not."""
        entry = self.directory.get(target)
        configuration = self.configuration
        if entry is None or configuration is None:
            return 0.0
        service = configuration.services.get(entry.target.service)
        if service is None or not service.cold_rate:
            return 0.0
        return entry.warm_in(self._clock.now())

    def cold_targets(self) -> list[str]:
        """Returns the cold targets whose rate is bounded."""
        bounded = self._cold_seconds()
        if not bounded:
            return []
        now = self._clock.now()
        return [
            entry.target.id
            for entry in self.directory
            if entry.warm_in(now) > 0 and entry.target.service in bounded
        ]

    def eligible_owners(
        self, service: routes.Service
    ) -> list[directory.Target]:
        """Returns the targets of a service that should own its keys.

        Cold ones do so only if there is no other: each would serve a few
        requests a second, whatever keys it owns.
        """
        configuration = self.configuration
        assert configuration is not None
        regions = eligibility.owner_regions(configuration, service.name)
        placed = [
            target
            for target in self.directory.ready(service.name)
            if self.eligibility.allows(target.zone, regions)
        ]
        if not service.cold_rate:
            return placed
        now = self._clock.now()
        warm = [t for t in placed if not self.directory.warm_in(t.id, now)]
        return warm or placed

    def replace_vms(self, items: Iterable[ports.Item]) -> None:
        """Takes the list of registered VMs."""
        self.vms = {entry.id: entry for entry in self.read_vms(items)}

    def read_vms(self, items: Iterable[ports.Item]) -> list[messages.VmEntry]:
        """Decodes entries of VMs; one that cannot be read is left out."""
        vms = []
        for item in items:
            try:
                vms.append(
                    msgspec.json.decode(item.value, type=messages.VmEntry)
                )
            except msgspec.DecodeError as error:
                self._events.write(
                    "peers", "entry_unreadable", key=item.key, why=str(error)
                )
        return vms

    def apply_target(self, target: directory.Target) -> None:
        """Takes a target's registration."""
        self.apply_registrations((target,))

    def apply_registrations(
        self,
        targets: Iterable[directory.Target],
        vanished: Iterable[tuple[str, int]] = (),
        since: Mapping[str, float] = _JUST_NOW,
    ) -> None:
        """Takes changes of registrations, with one signal for all.

        Args:
            targets: Targets as they have registered themselves.
            vanished: Identifiers of others whose registration has vanished,
                with the store's revision of that, 0 if it is not known.
            since: Earliest time of each change, by target; now if it is not
                named.
        """
        now = self._clock.now()
        written = []
        for target in targets:
            self._log_older_incarnation(target)
            if self.directory.put(target, now, since.get(target.id)):
                written.append(target)
        gone = [
            name
            for name, revision in vanished
            if self.directory.remove(
                name, now, revision=revision, since=since.get(name)
            )
        ]
        if not written and not gone:
            return
        if len(written) + len(gone) > _LOGGED_SINGLY:
            self._events.write(
                "targets",
                "targets_changed",
                ready=sum(not target.leaving for target in written),
                leaving=sum(target.leaving for target in written),
                gone=len(gone),
            )
        else:
            self._log_singly(written, gone)
        self.signal()

    def _log_singly(
        self, written: Iterable[directory.Target], gone: Iterable[str]
    ) -> None:
        for target in written:
            self._events.write(
                "targets",
                "target_leaving" if target.leaving else "target_ready",
                target=target.id,
                born=target.born,
                service=target.service,
                address=target.address,
                age=self._standing_age(target.id),
            )
        for name in gone:
            self._events.write(
                "targets",
                "target_gone",
                target=name,
                age=self._standing_age(name),
            )

    def _standing_age(self, target: str) -> float:
        """Returns for how many seconds a target may have stood as it does."""
        entry = self.directory.get(target)
        return round(self._clock.now() - entry.since, 3) if entry else 0.0

    def _log_older_incarnation(self, target: directory.Target) -> None:
        """Logs a registration of a run that is known to be over."""
        newer = self.directory.newer_incarnation(target)
        if newer is not None:
            self._events.write(
                "targets",
                "older_run_registered",
                target=target.id,
                born=target.born,
                known=newer.born,
            )

    def apply_feedback(
        self,
        target: directory.Target,
        notice: target_feedback.TargetFeedback,
        sent_at: float = -math.inf,
    ) -> bool:
        """Takes what a target has said of itself, whatever it has answered.

        Args:
            target: The target.
            notice: What it has said.
            sent_at: When the request was sent that it answers, if an answer
                without a limit says that it has none.

        Returns:
            Whether that is news for all VMs.
        """
        news = False
        lifts = not notice.names_limit and sent_at > -math.inf
        if notice.limit is not None or lifts:
            news = self.record_limit(target, notice.limit, sent_at)
        if notice.leaving:
            news = self.record_leaving(target) or news
        return news

    def record_limit(
        self, target: directory.Target, rate: float | None, sent_at: float
    ) -> bool:
        """Takes what a target has said of its limit in an answer.

        Args:
            target: The target.
            rate: Requests a second that it takes from all VMs together, None
                if it names no limit.
            sent_at: When the request was sent that it answers.

        Returns:
            Whether that is news.
        """
        now = self._clock.now()
        if not self.limits.hear(target.id, target.born, rate, sent_at, now):
            return False
        self._log_limit(target.id, rate, "target")
        self.signal()
        return True

    def apply_limits(self, told: Mapping[str, limits.LimitUpdate]) -> None:
        """Takes what other VMs have heard of targets' limits."""
        now = self._clock.now()
        changed = [
            name
            for name, news in told.items()
            if self.limits.learn(name, news, now)
        ]
        for name in changed:
            self._log_limit(name, told[name].rate, "peer")
        if changed:
            self.signal()

    def _log_limit(self, target: str, rate: float | None, source: str) -> None:
        self._events.write(
            "targets",
            "limit_lifted" if rate is None else "limit_named",
            target=target,
            rate=rate,
            source=source,
        )

    def limited_targets(self) -> list[str]:
        """Returns the targets whose present run has named a limit."""
        entries = map(self.directory.get, self.limits.limited())
        return [
            entry.target.id
            for entry in entries
            if entry and self.limits.pace(entry.target.id, entry.target.born)
        ]

    def record_leaving(self, target: directory.Target) -> bool:
        """Takes a target's word in an answer that it is about to end.

        Returns:
            Whether that is news.
        """
        now = self._clock.now()
        if not self.directory.announce(target.id, target.born, now):
            return False
        self._log_leaving(target.id, target.born, "target")
        self.signal()
        return True

    def apply_leaving(self, told: Iterable[messages.LeavingTarget]) -> None:
        """Takes what targets have said to other VMs of their leaving."""
        now = self._clock.now()
        news = [
            run
            for run in told
            if self.directory.announce(run.target, run.born, now - run.age)
        ]
        for run in news:
            self._log_leaving(run.target, run.born, "peer")
        if news:
            self.signal()

    def _log_leaving(self, target: str, born: int, source: str) -> None:
        entry = self.directory.get(target)
        self._events.write(
            "targets",
            "leaving_said",
            target=target,
            born=born,
            registered=entry is not None and entry.target.leaving,
            source=source,
        )

    def leaving_updates(self) -> dict[str, messages.LeavingTarget]:
        """Returns what targets have said of their leaving, by target."""
        now = self._clock.now()
        return {
            entry.target.id: messages.LeavingTarget(
                entry.target.id,
                entry.target.born,
                round(now - entry.announced_at, 3),
            )
            for entry in self.directory.announced()
            if entry.announced_at is not None
        }

    def record_backoff(self, target: directory.Target, seconds: float) -> None:
        """Takes a target's word that it wants nothing from this VM.

        Args:
            target: The target.
            seconds: For how long.
        """
        now = self._clock.now()
        self.backoffs.ask(target.id, target.born, seconds, now)
        self._events.write(
            "targets", "rest_asked", target=target.id, seconds=seconds
        )

    def remove_target(self, target: str, revision: int = 0) -> None:
        """Notes that a target's registration has vanished."""
        self.apply_registrations((), ((target, revision),))

    def end_target(self, target: str, born: int) -> None:
        """Notes proof that a run of a target is over."""
        if self.directory.end(target, born, self._clock.now()):
            self._events.write(
                "targets", "target_ended", target=target, born=born
            )
            self.signal()

    def replace_targets(
        self, targets: list[directory.Target], revision: int = 0
    ) -> None:
        """Takes the whole list of targets, as of a revision of the store."""
        now = self._clock.now()
        for target in targets:
            self._log_older_incarnation(target)
        changed = self.directory.replace(
            targets,
            now,
            revision,
            self.registrations.at,
            self.vanished_since(self.registrations.at),
        )
        self.seen = max(self.seen, revision)
        self.directory.forget(now, _FORGET_SECONDS)
        self.limits.forget_except(
            {entry.target.id: entry.target.born for entry in self.directory}
        )
        if changed:
            self._events.write(
                "targets",
                "targets_listed",
                listed=len(targets),
                changed=changed[:20],
            )
            self.signal()

    def apply_assignment(self, new: assignments.Assignment) -> bool:
        """Takes an assignment of keys unless a newer one is known."""
        known = self.assignments.get(new.service)
        if known is not None and new.version <= known.version:
            return False
        self.assignments[new.service] = new
        self._unowned_ranges.take(new, self._clock.now())
        self.signal()
        return True

    def apply_difference(self, told: assignments.Difference) -> None:
        """Takes a change of an assignment if it is for the known one."""
        known = self.assignments.get(told.service)
        if known is None or told.version <= known.version:
            return
        made = assignments.apply(known, told)
        if made is not None:
            self.apply_assignment(made)

    def updates_since(
        self,
        seen: int,
        configuration: int,
        evacuations: eligibility.Evacuations = eligibility.Evacuations(),
    ) -> messages.StateUpdate | None:
        """Returns what is known from the store that another VM lacks.

        Args:
            seen: Revision up to which it knows all registrations.
            configuration: Version of the configuration that it knows.
            evacuations: Evacuations that it knows.
        """
        present = self.evacuations
        moved = (
            present.zones != evacuations.zones
            and present.revision > evacuations.revision
        )
        now = self._clock.now()
        newer = self._configurations.since(configuration)
        changed = (
            self.directory.since_revision(seen) if self.seen > seen else []
        )
        if newer is None and not changed and not moved:
            return None
        return messages.StateUpdate(
            seen,
            max(self.seen, seen),
            tuple(
                messages.TargetUpdate(
                    msgspec.structs.replace(entry.target, warm_at=0.0),
                    entry.revision,
                    entry.standing is directory.TargetStatus.MISSING,
                    max(entry.target.warm_at - now, 0.0),
                    now - entry.since,
                )
                for entry in changed
                if entry.standing is not directory.TargetStatus.ENDED
            ),
            newer if isinstance(newer, routes.Configuration) else None,
            newer if isinstance(newer, configurations.Change) else None,
            present if moved else None,
        )

    def apply_update(
        self, news: messages.StateUpdate, made_at: float | None = None
    ) -> None:
        """Takes what another VM has learned from the store.

        Args:
            news: The news.
            made_at: When they were made, or earlier; None for now. Their ages
                count from then.
        """
        now = self._clock.now()
        made_at = now if made_at is None else min(made_at, now)
        if news.evacuations is not None:
            self.apply_evacuations(news.evacuations)
        if news.configuration is not None:
            self.apply_configuration(news.configuration, "leader")
        if news.change is not None and self.configuration is not None:
            # A change of another version than the known one is left out; the
            # next report says which one that is.
            made = configurations.apply(self.configuration, news.change)
            if made is not None:
                self.apply_configuration(made, "leader")
        self.apply_registrations(
            (
                msgspec.structs.replace(
                    item.target, warm_at=now + item.warm_left
                )
                for item in news.targets
                if not item.gone
            ),
            (
                (item.target.id, item.revision)
                for item in news.targets
                if item.gone
            ),
            {item.target.id: made_at - item.age for item in news.targets},
        )
        if news.after <= self.seen:
            # Otherwise some earlier news were lost on their way. Whoever told
            # these tells them again, as long as this VM does not claim to
            # know all up to their end.
            self.seen = max(self.seen, news.revision)

    def record_view_ages(
        self,
        seen: int,
        seen_at: float | None,
        configuration: int,
        evacuations: eligibility.Evacuations,
        configuration_at: float | None,
    ) -> None:
        """Notes when another VM's views of the store were complete.

        They say as much of this VM's if it knows all that they hold.

        Args:
            seen: Revision up to which that VM knows all registrations.
            seen_at: When nothing was registered after that, None if unknown.
            configuration: Version of the configuration that it knows.
            evacuations: Evacuations that it knows.
            configuration_at: When both were the newest, None if unknown.
        """
        if seen_at is not None and seen <= self.seen:
            self.registrations.note(seen_at)
        present = self.evacuations
        same = evacuations.zones == present.zones
        known = configuration <= self.version and (
            same or evacuations.revision <= present.revision
        )
        if configuration_at is not None and known:
            self.operated.note(configuration_at)

    @property
    def registrations_age(self) -> float | None:
        """Seconds since all registrations were known, None if never."""
        return self.registrations.age(self._clock.now())

    @property
    def configuration_age(self) -> float | None:
        """Seconds since the configuration was the newest, None if never.

        The same holds for the evacuations.
        """
        return self.operated.age(self._clock.now())

    def vanished_since(self, since: float | None) -> float | None:
        """Returns since when registrations may have vanished, None for now.

        In an outage of the store they lapse, of targets that are well, and
        come back within seconds; nothing follows then from how long this VM
        has not heard of them.

        Args:
            since: Up to when all registrations were known, None for now.
        """
        if since is None or self._store_failed_at >= since:
            return None
        return since

    def confirm_configuration(
        self, version: int, revision: int, zones: tuple[str, ...] = ()
    ) -> None:
        """Notes up to which revision of the store this VM's view is current.

        Args:
            version: The newest version of the configuration by then.
            revision: The store's revision.
            zones: Zones that were evacuated then.
        """
        if version == self.version and zones == self.evacuations.zones:
            self.configuration_seen = max(self.configuration_seen, revision)

    def record_leader(self, new: leadership.LeaderEntry) -> bool:
        """Takes the leader unless one of a later epoch is known."""
        known = self.leader
        if known is not None and new.epoch <= known.epoch:
            return False
        self.leader = new
        self.leader_since = self._clock.boot()
        self._events.write(
            "peers",
            "leader_taken",
            leader=new.vm,
            epoch=new.epoch,
            former=known.vm if known else None,
        )
        return True

    def record_store_status(self, *, ok: bool, why: str = "") -> None:
        """Notes whether a call to the store was answered."""
        now = self._clock.now()
        if not ok:
            self._store_failed_at = now
        since = self.store_since
        if ok != self.store_ok:
            self._events.write(
                "store",
                "store_regained" if ok else "store_lost",
                after=since and round(now - since, 3),
                why=why,
            )
            self.store_ok = ok
            self.store_since = now

    def owner(self, service: str, key: int) -> str | None:
        """Returns the target that owns a key, None while nobody does."""
        assignment = self.assignments.get(service)
        if assignment is None:
            return None
        return assignment.owner(key) or None

    def seconds_without_owner(self, service: str, key: int) -> float:
        """Returns how long a key that nobody serves will have no owner.

        Args:
            service: Its service.
            key: The key.
        """
        now = self._clock.now()
        owner = self.owner(service, key)
        entry = self.directory.get(owner) if owner else None
        leaves = entry and entry.standing is directory.TargetStatus.LEAVING
        if leaves and not self.store_ok:
            # Tables are kept there: its keys stay where they are.
            return _STORE_AWAY_SECONDS
        if entry is not None:
            # Its owner has vanished, and the leader has not moved it yet.
            return self._unowned_ranges.expected(now - entry.since)
        return self._unowned_ranges.seconds(service, key, now)

    def versions(self) -> dict[str, assignments.Version]:
        """Returns the version of each assignment."""
        return {name: x.version for name, x in self.assignments.items()}
