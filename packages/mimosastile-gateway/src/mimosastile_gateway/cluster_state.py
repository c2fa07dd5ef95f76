"""This VM's view of the cluster: configuration, targets, key owners, leader."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import math

import msgspec
import result

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import backoffs
from mimosastile_core.gateway import configurations
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import freshness
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import limits
from mimosastile_core.gateway import route_limits
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback
from mimosastile_core.gateway import unowned_ranges
from mimosastile_gateway import clock
from mimosastile_gateway import events
from mimosastile_gateway import messages
from mimosastile_gateway import ports
from mimosastile_gateway import rejected_registrations
from mimosastile_gateway import settings

_REMOVED_TARGET_RETENTION_SECONDS = 30.0
"""Retention of a target after its registration was removed, so that orders can
still reach it."""
_DRAIN_SHARE = 0.9
"""Part of the drain time for which a leaving target may still get new work; the
rest covers requests that are in flight."""
_LATE_SHARE = 0.25
"""Part of the grace period that is left when a removal is detected by comparing
lists: that happens after a watch was silent for up to 1.5 s."""

_EVACUATION_SHARE = 0.3
"""Part of the time limit of an evacuation for which owners in the zone go on
serving their keys; the rest covers the dissemination of the update."""
_COLD_MARGIN_SECONDS = 0.2
"""Seconds for which targets of a zone count as cold beyond their configured
warm-up, to allow for clock drift."""
_STORE_OUTAGE_RETRY_AFTER_SECONDS = 3.0
"""Retry-After in seconds for keys that move once the store is available again.
"""
_NO_TIMES: Mapping[str, float] = {}
_MAX_SINGLE_LOG_LINES = 20
"""Largest number of registration changes that are logged one line each; more
are summed up in one line. A thousand targets that start would otherwise write a
thousand lines on each VM."""
_CONFIGURATION_HISTORY_SIZE = 32
"""Number of earlier configurations kept to send VMs only the changes since.
Operators change the configuration up to about ten times a second for a few
seconds; a VM reports twice a second."""


class _Deferred(msgspec.Struct, frozen=True):
    """A registration for a service that no known configuration names.

    Attributes:
        target: The target that it would name.
        since: Earliest time at which it may have been written.
    """

    target: directory.Target
    since: float


class ClusterState:
    """Current cluster state as seen by this VM, with change notification.

    Attributes:
        route_table: Looks up the routes of the configuration.
        shares: Distributes requests among the weighted parts of a route.
        directory: All targets.
        assignments: Owners of keys by service.
        leader: The leader, None if none is recorded.
        leader_since: Time at which the leader was recorded, on the clock that
            keeps running while the machine is suspended.
        vm_zones: Zones of entry VMs by address, also of those that are not in
            `vms`.
        vms: Entry VMs as last read from the store.
        eligibility: Decides by region and zone which targets may run a
            request.
        evacuations: Zones that are evacuated.
        limits: Rate limits that targets have set for all VMs together.
        rejected: Registrations that name no target.
        backoffs: Backoffs that targets have requested from this VM.
        seen: Store revision up to which all registrations are included.
        registrations_revision: Store revision of the latest known change of a
            registration; every view that is complete up to it is complete up
            to `seen`.
        configuration_seen: Store revision up to which the configuration in
            force and the evacuations are the newest.
        registrations_freshness: Latest time at which the directory is proven
            to have held all registrations.
        configuration_freshness: Latest time at which the configuration in
            force and the evacuations are proven to have been the newest.
        store_ok: Whether the last call to the store succeeded.
        store_since: Loop time since which `store_ok` has its value, None
            before the first response.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_configurations",
        "_deferred",
        "_evacuation_began",
        "_events",
        "_settings",
        "_store_failed_at",
        "_subscribers",
        "_unowned_ranges",
        "assignments",
        "backoffs",
        "configuration_freshness",
        "configuration_seen",
        "directory",
        "eligibility",
        "evacuations",
        "leader",
        "leader_since",
        "limits",
        "registrations_freshness",
        "registrations_revision",
        "rejected",
        "route_limits",
        "route_table",
        "seen",
        "shares",
        "store_ok",
        "store_since",
        "vm_zones",
        "vms",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        """Creates the empty state of a VM that has received nothing yet."""
        grace = configured.bounds.drain * _DRAIN_SHARE
        self._settings = configured
        self._clock = timer
        self._events = log
        self._changed = asyncio.Event()
        self._subscribers: list[Callable[[], None]] = []
        self._configurations = configurations.History(
            _CONFIGURATION_HISTORY_SIZE
        )
        self.route_table = routes.RouteTable()
        self.shares = routes.WeightedShares()
        self.directory = directory.Directory(grace, grace * _LATE_SHARE)
        self.assignments: dict[str, assignments.Assignment] = {}
        hold = configured.leader.hold
        lapse = leadership.grant_expiry(0.0, hold)
        self._unowned_ranges = unowned_ranges.UnownedRanges(
            lapse, configured.leader.authority + lapse
        )
        self.evacuations = eligibility.Evacuations()
        self.eligibility = eligibility.Eligibility(configured.vm.regions)
        self._evacuation_began: dict[str, float] = {}
        self._deferred: dict[str, _Deferred] = {}
        self.rejected = rejected_registrations.RejectedRegistrations(log)
        self.limits = limits.TargetLimits(configured.vm.id)
        self.route_limits = route_limits.RouteLimits(timer.random)
        self.backoffs = backoffs.Backoffs()
        self.seen = 0
        self.registrations_revision = 0
        self.configuration_seen = 0
        self.registrations_freshness = freshness.Freshness()
        self.configuration_freshness = freshness.Freshness()
        self.leader: leadership.LeaderEntry | None = None
        self.leader_since = 0.0
        self.vm_zones: dict[str, str] = {}
        self.vms: dict[str, messages.VmEntry] = {}
        self.store_ok = False
        self._store_failed_at = -math.inf
        self.store_since: float | None = None

    def set_drain(self, seconds: float) -> None:
        """Sets the drain time of leaving targets, in seconds."""
        grace = seconds * _DRAIN_SHARE
        self.directory.set_grace(grace, grace * _LATE_SHARE)

    @property
    def configuration(self) -> routes.Configuration | None:
        """The configuration in force, None before the first one."""
        return self._configurations.present

    @property
    def version(self) -> int:
        """Version of the configuration in force, -1 before the first one."""
        current = self._configurations.present
        return current.version if current else -1

    @property
    def changed(self) -> asyncio.Event:
        """Event set once, at the next change.

        Callers get it before they read the state, so as to miss no change.
        """
        return self._changed

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Registers a function that is called after each change."""
        self._subscribers.append(callback)

    def signal(self) -> None:
        """Wakes all waiters and calls all subscribers after a change."""
        self._changed.set()
        self._changed = asyncio.Event()
        for callback in self._subscribers:
            callback()

    def apply_configuration(
        self, new: routes.Configuration, source: str = ""
    ) -> bool:
        """Applies a configuration unless a newer one is in force.

        Args:
            new: The configuration.
            source: Sender of the configuration, for the log.

        Returns:
            Whether the configuration was applied.
        """
        former = self.version
        if not self._configurations.add(new):
            return False
        self.route_table = routes.RouteTable(new.routes)
        self.shares.keep(new.routes)
        self.route_limits.keep(new.routes)
        self._events.write(
            "configuration",
            "configuration_taken",
            version=new.version,
            former=former,
            routes=len(new.routes),
            source=source,
        )
        deferred = self._deferred
        self._deferred = {}
        self.apply_registrations(
            [item.target for item in deferred.values()],
            since={name: item.since for name, item in deferred.items()},
        )
        self.signal()
        return True

    def apply_evacuations(self, new: eligibility.Evacuations) -> None:
        """Applies the evacuated zones unless the current ones are newer."""
        current = self.evacuations
        if new.revision <= current.revision:
            return
        self.evacuations = new
        if new.zones == current.zones:
            return
        now = self._clock.now()
        self.eligibility = eligibility.Eligibility(
            self._settings.vm.regions, new.zones
        )
        self._evacuation_began = {
            zone: self._evacuation_began.get(zone, now) for zone in new.zones
        }
        ended = set(current.zones) - set(new.zones)
        cold = self._cold_seconds()
        for zone in ended:
            # Targets of the zone may be cold, but their registrations show
            # that only one or two heartbeats later.
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
        """Returns the warm-up time in seconds of services that bound it."""
        configuration = self.configuration
        services = configuration.services if configuration else {}
        return {
            name: service.cold_seconds + _COLD_MARGIN_SECONDS
            for name, service in services.items()
            if service.cold_rate
        }

    def owner_excluded(
        self, zone: str, allowed: Collection[str]
    ) -> eligibility.Exclusion | None:
        """Returns why the owner of a key may not run a request for it.

        The keys of an evacuated zone are moved away. Their owner goes on
        serving them until it is requested to release them, but only for a
        part of the time limit of an evacuation.

        Args:
            zone: Zone of the owner.
            allowed: Regions that the request's route allows; empty for any.

        Returns:
            The reason, None if the owner may run the request.
        """
        why = self.eligibility.exclusion(zone, allowed)
        if why is not eligibility.Exclusion.EVACUATED:
            return why
        since = self._clock.now() - self._evacuation_began.get(zone, -math.inf)
        limit = self._settings.bounds.evacuation * _EVACUATION_SHARE
        return None if since < limit else why

    def cold_seconds(self, target: str) -> float:
        """Returns the seconds left of a target's rate-bounded warm-up, or 0."""
        entry = self.directory.get(target)
        configuration = self.configuration
        if entry is None or configuration is None:
            return 0.0
        service = configuration.services.get(entry.target.service)
        if service is None or not service.cold_rate:
            return 0.0
        return entry.warm_in(self._clock.now())

    def cold_targets(self) -> list[str]:
        """Returns the identifiers of cold targets whose rate is bounded."""
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

        Cold targets are included only if there are no others: a cold target
        serves only a few requests a second, regardless of the keys it owns.
        """
        configuration = self.configuration
        assert configuration is not None
        regions = eligibility.owner_regions(configuration, service.name)
        eligible = [
            target
            for target in self.directory.ready(service.name)
            if self.eligibility.allows(target.zone, regions)
        ]
        if not service.cold_rate:
            return eligible
        now = self._clock.now()
        warm = [t for t in eligible if not self.directory.warm_in(t.id, now)]
        return warm or eligible

    def replace_vms(self, items: Iterable[ports.Item]) -> None:
        """Replaces the list of registered VMs."""
        self.vms = {entry.id: entry for entry in self.read_vms(items)}

    def read_vms(self, items: Iterable[ports.Item]) -> list[messages.VmEntry]:
        """Decodes VM entries; logs and skips those that are malformed."""
        vms: list[messages.VmEntry] = []
        for item in items:
            read = messages.decode(item.value, messages.VmEntry)
            if isinstance(read, result.Ok):
                vms.append(read.ok_value)
                continue
            self._events.write(
                "peers", "entry_unreadable", key=item.key, why=read.err_value
            )
        self.vm_zones.update((vm.address, vm.zone) for vm in vms)
        return vms

    def apply_target(self, target: directory.Target) -> None:
        """Applies a target's registration."""
        self.apply_registrations((target,))

    def _named(
        self, targets: Iterable[directory.Target], since: Mapping[str, float]
    ) -> list[directory.Target]:
        """Returns the targets whose service the configuration names.

        The others are kept until a configuration names their service: a
        registration may arrive before the configuration that it belongs to.
        Until then, what is known of the target holds.
        """
        now = self._clock.now()
        configuration = self.configuration
        services = configuration.services if configuration else {}
        named = []
        for target in targets:
            deferred = self._deferred.get(target.id)
            if deferred and deferred.target.revision > target.revision:
                continue
            if target.service in services:
                self._deferred.pop(target.id, None)
                named.append(target)
                continue
            self._deferred[target.id] = _Deferred(
                target, since.get(target.id, now)
            )
            if configuration is not None:
                self.rejected.record(
                    target.id,
                    target.revision,
                    ports.Rejection(
                        ports.RejectionReason.SERVICE, repr(target.service)
                    ),
                )
        return named

    def apply_registrations(
        self,
        targets: Iterable[directory.Target],
        vanished: Iterable[tuple[str, int]] = (),
        since: Mapping[str, float] = _NO_TIMES,
    ) -> None:
        """Applies changes of registrations, with one signal for all.

        Args:
            targets: Added and changed registrations.
            vanished: Identifiers of targets whose registration was removed,
                with the store's revision of the removal, 0 if unknown.
            since: Earliest time of each change, by target; the present time
                for targets that are missing.
        """
        now = self._clock.now()
        written = []
        targets, vanished = list(targets), list(vanished)
        self.registrations_revision = max(
            (
                self.registrations_revision,
                *(target.revision for target in targets),
                *(revision for _, revision in vanished),
            )
        )
        for target in self._named(targets, since):
            self._log_older_incarnation(target)
            if self.directory.put(target, now, since.get(target.id)):
                written.append(target)
        for name, revision in vanished:
            self._forget_deferred(name, revision)
        gone = [
            name
            for name, revision in vanished
            if self.directory.remove(
                name, now, revision=revision, since=since.get(name)
            )
        ]
        if not written and not gone:
            return
        if len(written) + len(gone) > _MAX_SINGLE_LOG_LINES:
            self._events.write(
                "targets",
                "targets_changed",
                ready=sum(not target.leaving for target in written),
                leaving=sum(target.leaving for target in written),
                gone=len(gone),
            )
        else:
            self._log_each_change(written, gone)
        self.signal()

    def _forget_deferred(self, target: str, revision: int) -> None:
        """Drops a deferred registration that was removed from the store."""
        deferred = self._deferred.get(target)
        if deferred and (not revision or revision > deferred.target.revision):
            del self._deferred[target]

    def _log_each_change(
        self, written: Iterable[directory.Target], gone: Iterable[str]
    ) -> None:
        """Logs one line for each changed or removed registration."""
        for target in written:
            self._events.write(
                "targets",
                "target_leaving" if target.leaving else "target_ready",
                target=target.id,
                born=target.born,
                service=target.service,
                address=target.address,
                age=self._status_age(target.id),
            )
        for name in gone:
            self._events.write(
                "targets",
                "target_gone",
                target=name,
                age=self._status_age(name),
            )

    def _status_age(self, target: str) -> float:
        """Returns the largest possible age of a target's status, in seconds."""
        entry = self.directory.get(target)
        return round(self._clock.now() - entry.since, 3) if entry else 0.0

    def _log_older_incarnation(self, target: directory.Target) -> None:
        """Logs a registration of an incarnation before the known one."""
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
        feedback: target_feedback.TargetFeedback,
        sent_at: float = -math.inf,
    ) -> bool:
        """Applies the target feedback of a response, of any status.

        Args:
            target: The target.
            feedback: The target feedback of the response.
            sent_at: When the request was sent, if a response without a limit
                means that the target has none.

        Returns:
            Whether all VMs should receive an update.
        """
        is_new = False
        lifts = not feedback.names_limit and sent_at > -math.inf
        if feedback.limit is not None or lifts:
            is_new = self.record_limit(target, feedback.limit, sent_at)
        if feedback.leaving:
            is_new = self.record_leaving(target) or is_new
        return is_new

    def record_limit(
        self, target: directory.Target, rate: float | None, sent_at: float
    ) -> bool:
        """Applies the rate limit that a target's response set or left out.

        Args:
            target: The target.
            rate: Requests a second that it accepts from all VMs together, None
                if the response sets no limit.
            sent_at: When the request of that response was sent.

        Returns:
            Whether the limit changed.
        """
        now = self._clock.now()
        if not self.limits.observe(target.id, target.born, rate, sent_at, now):
            return False
        self._log_limit(target.id, rate, "target")
        self.signal()
        return True

    def apply_limits(self, received: Mapping[str, limits.LimitUpdate]) -> None:
        """Applies limits of targets that other VMs have received."""
        now = self._clock.now()
        changed = [
            name
            for name, update in received.items()
            if self.limits.merge(name, update, now)
        ]
        for name in changed:
            self._log_limit(name, received[name].rate, "peer")
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
        """Returns the targets whose current incarnation has set a limit."""
        entries = map(self.directory.get, self.limits.limited())
        return [
            entry.target.id
            for entry in entries
            if entry and self.limits.limiter(entry.target.id, entry.target.born)
        ]

    def record_leaving(self, target: directory.Target) -> bool:
        """Applies a target's announcement of its shutdown in a response.

        Returns:
            Whether the announcement is new.
        """
        now = self._clock.now()
        if not self.directory.announce(target.id, target.born, now):
            return False
        self._log_leaving(target.id, target.born, "target")
        self.signal()
        return True

    def apply_leaving(self, received: Iterable[messages.LeavingTarget]) -> None:
        """Applies shutdowns that targets have announced to other VMs."""
        now = self._clock.now()
        new = [
            leaving
            for leaving in received
            if self.directory.announce(
                leaving.target, leaving.born, now - leaving.age
            )
        ]
        for leaving in new:
            self._log_leaving(leaving.target, leaving.born, "peer")
        if new:
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
        """Returns the shutdowns that targets have announced, by target."""
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
        """Applies a backoff that a target requested from this VM.

        Args:
            target: The target.
            seconds: Duration of the backoff.
        """
        now = self._clock.now()
        self.backoffs.record(target.id, target.born, seconds, now)
        self._events.write(
            "targets", "rest_asked", target=target.id, seconds=seconds
        )

    def remove_target(self, target: str, revision: int = 0) -> None:
        """Records that a target's registration was removed."""
        self.apply_registrations((), ((target, revision),))

    def end_incarnation(
        self, target: str, born: int, address: str = ""
    ) -> None:
        """Records the proof that an incarnation of a target has ended.

        Args:
            target: Identifier of the target.
            born: Start of its incarnation.
            address: Address that responded under another identifier; empty for
                the one that is recorded.
        """
        now = self._clock.now()
        if self.directory.record_end(target, born, now, address):
            self._events.write(
                "targets", "target_ended", target=target, born=born
            )
            self.signal()

    def replace_targets(
        self,
        targets: list[directory.Target],
        revision: int = 0,
        rejected: Collection[str] = (),
    ) -> None:
        """Replaces all targets by a list, as of a revision of the store.

        Args:
            targets: The registrations that name a target.
            revision: The store's revision of the list.
            rejected: Identifiers whose registration names no target; what is
                known of them holds.
        """
        now = self._clock.now()
        view_at = self.registrations_freshness.at
        since = (
            {}
            if view_at is None
            else {target.id: view_at for target in targets}
        )
        listed = {target.id for target in targets}.union(rejected)
        self._deferred = {
            name: item
            for name, item in self._deferred.items()
            if name in listed or item.target.revision > revision
        }
        named = self._named(targets, since)
        for target in named:
            self._log_older_incarnation(target)
        changed = self.directory.replace(
            named,
            now,
            revision,
            view_at,
            self.removed_since(view_at),
            listed,
        )
        self.seen = max(self.seen, revision)
        # Removals that a list shows have no revision of their own.
        self.registrations_revision = max(self.registrations_revision, revision)
        self.directory.drop_vanished(now, _REMOVED_TARGET_RETENTION_SECONDS)
        self.limits.retain(
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
        """Applies an assignment of keys unless the current one is newer.

        Returns:
            Whether the assignment was applied.
        """
        current = self.assignments.get(new.service)
        if current is not None and new.version <= current.version:
            return False
        self.assignments[new.service] = new
        self._unowned_ranges.update(new, self._clock.now())
        self.signal()
        return True

    def apply_difference(self, difference: assignments.Difference) -> None:
        """Applies a change of an assignment if it fits the current one."""
        current = self.assignments.get(difference.service)
        if current is None or difference.version <= current.version:
            return
        updated = assignments.apply(current, difference)
        if updated is not None:
            self.apply_assignment(updated)

    def updates_since(
        self,
        seen: int,
        configuration: int,
        evacuations: eligibility.Evacuations = eligibility.Evacuations(),
    ) -> messages.StateUpdate | None:
        """Returns the changes from the store that another VM is missing.

        Args:
            seen: Revision up to which that VM has all registrations.
            configuration: Version of that VM's configuration.
            evacuations: Evacuations in that VM's view.

        Returns:
            The changes, None if the VM is up to date.
        """
        current = self.evacuations
        moved = (
            current.zones != evacuations.zones
            and current.revision > evacuations.revision
        )
        now = self._clock.now()
        newer = self._configurations.since(configuration)
        changed = (
            self.directory.since_revision(seen) if self.seen > seen else []
        )
        deferred = (
            item
            for item in self._deferred.values()
            if self.seen > seen and item.target.revision > seen
        )
        # The receiver may have the configuration that names their services.
        held = tuple(
            messages.TargetUpdate(
                msgspec.structs.replace(item.target, warm_at=0.0),
                item.target.revision,
                gone=False,
                warm_left=max(item.target.warm_at - now, 0.0),
                age=now - item.since,
            )
            for item in deferred
        )
        if newer is None and not changed and not held and not moved:
            return None
        return messages.StateUpdate(
            seen,
            max(self.seen, seen),
            (
                *(
                    messages.TargetUpdate(
                        msgspec.structs.replace(entry.target, warm_at=0.0),
                        entry.revision,
                        entry.status is directory.TargetStatus.MISSING,
                        max(entry.target.warm_at - now, 0.0),
                        now - entry.since,
                        entry.unended_born,
                    )
                    for entry in changed
                    if entry.status is not directory.TargetStatus.ENDED
                ),
                *held,
            ),
            newer if isinstance(newer, routes.Configuration) else None,
            newer if isinstance(newer, configurations.Change) else None,
            current if moved else None,
        )

    def apply_update(
        self, update: messages.StateUpdate, made_at: float | None = None
    ) -> None:
        """Applies changes that another VM has received from the store.

        Args:
            update: The changes.
            made_at: Time at or before which they were encoded, None for now.
                The ages in `update` count from then.
        """
        now = self._clock.now()
        made_at = now if made_at is None else min(made_at, now)
        if update.evacuations is not None:
            self.apply_evacuations(update.evacuations)
        if update.configuration is not None:
            self.apply_configuration(update.configuration, "leader")
        if update.change is not None and self.configuration is not None:
            # A change relative to another version than the current one is
            # skipped; the next report names the current version.
            updated = configurations.apply(self.configuration, update.change)
            if updated is not None:
                self.apply_configuration(updated, "leader")
        self.apply_registrations(
            (
                msgspec.structs.replace(
                    item.target, warm_at=now + item.warm_left
                )
                for item in update.targets
                if not item.gone
            ),
            (
                (item.target.id, item.revision)
                for item in update.targets
                if item.gone
            ),
            {item.target.id: made_at - item.age for item in update.targets},
        )
        for item in update.targets:
            if item.unended_born is not None:
                self.directory.record_unended(
                    item.target.id, item.target.born, item.unended_born
                )
        if update.after <= self.seen:
            # Otherwise earlier changes were lost in transit. The sender repeats
            # them until this VM reports a revision that covers them.
            self.seen = max(self.seen, update.revision)

    def record_view_ages(
        self,
        revision: int,
        seen_at: float | None,
        configuration: int,
        evacuations: eligibility.Evacuations,
        configuration_at: float | None,
    ) -> None:
        """Records when another VM's views of the store were complete.

        The times hold for this VM's views as well if these contain everything
        that the other VM's do.

        Args:
            revision: Revision of the latest change of a registration that
                that VM has.
            seen_at: Time at which that VM had all registrations, None if
                unknown.
            configuration: Version of that VM's configuration.
            evacuations: Evacuations in that VM's view.
            configuration_at: Time at which the configuration and the
                evacuations were the newest, None if unknown.
        """
        if seen_at is not None and revision <= self.seen:
            self.registrations_freshness.record(seen_at)
        current = self.evacuations
        same = evacuations.zones == current.zones
        covered = configuration <= self.version and (
            same or evacuations.revision <= current.revision
        )
        if configuration_at is not None and covered:
            self.configuration_freshness.record(configuration_at)

    @property
    def registrations_age(self) -> float | None:
        """Seconds since the directory was complete, None if it never was."""
        return self.registrations_freshness.age(self._clock.now())

    @property
    def configuration_age(self) -> float | None:
        """Seconds since configuration and evacuations were the newest.

        None if they never were.
        """
        return self.configuration_freshness.age(self._clock.now())

    def removed_since(self, since: float | None) -> float | None:
        """Returns the earliest time of removals found now, None for now.

        During an outage of the store, registrations of healthy targets expire
        and come back within seconds. Then the time since this VM last saw them
        does not count as time for which the targets were gone.

        Args:
            since: Time at which the directory was last complete, None for now.
        """
        if since is None or self._store_failed_at >= since:
            return None
        return since

    def confirm_configuration(
        self, version: int, revision: int, zones: tuple[str, ...] = ()
    ) -> None:
        """Records the store revision up to which the configuration is current.

        Args:
            version: The newest version of the configuration at `revision`.
            revision: The store's revision.
            zones: Zones that were evacuated at `revision`.
        """
        if version == self.version and zones == self.evacuations.zones:
            self.configuration_seen = max(self.configuration_seen, revision)

    def record_leader(self, new: leadership.LeaderEntry) -> bool:
        """Records a leader if its epoch is later than the current one's.

        Returns:
            Whether the leader was recorded.
        """
        current = self.leader
        if current is not None and new.epoch <= current.epoch:
            return False
        self.leader = new
        self.leader_since = self._clock.boottime()
        self._events.write(
            "peers",
            "leader_taken",
            leader=new.vm,
            epoch=new.epoch,
            former=current.vm if current else None,
        )
        return True

    def record_store_status(self, *, ok: bool, why: str = "") -> None:
        """Records whether a call to the store succeeded."""
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
        """Returns the target that owns a key, None if it has no owner."""
        assignment = self.assignments.get(service)
        if assignment is None:
            return None
        return assignment.owner(key) or None

    def seconds_without_owner(self, service: str, key: int) -> float:
        """Estimates the seconds until an unserved key has an owner again.

        Args:
            service: Service of the key.
            key: The key.
        """
        now = self._clock.now()
        owner = self.owner(service, key)
        entry = self.directory.get(owner) if owner else None
        leaves = entry and entry.status is directory.TargetStatus.LEAVING
        if leaves and not self.store_ok:
            # Keys cannot move without the store, which holds the tables.
            return _STORE_OUTAGE_RETRY_AFTER_SECONDS
        if entry is not None:
            # The owner is gone, but the leader has not moved the key yet.
            return self._unowned_ranges.expected_seconds(now - entry.since)
        return self._unowned_ranges.seconds(service, key, now)

    def versions(self) -> dict[str, assignments.Version]:
        """Returns the version of each assignment by service."""
        return {
            name: assignment.version
            for name, assignment in self.assignments.items()
        }
