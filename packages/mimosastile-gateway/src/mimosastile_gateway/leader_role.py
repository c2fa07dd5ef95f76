"""The leader role: election, tables of key ranges and replies to reports."""

import asyncio
import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypeVar

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import demand
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import forwarding_peers
from mimosastile_core.gateway import key_rates
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import successors
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dissemination
from mimosastile_gateway import events
from mimosastile_gateway import grant_reconciliation
from mimosastile_gateway import messages
from mimosastile_gateway import path_succession
from mimosastile_gateway import peer_calls
from mimosastile_gateway import planning
from mimosastile_gateway import ports
from mimosastile_gateway import reach_monitoring
from mimosastile_gateway import room_accounting
from mimosastile_gateway import settings
from mimosastile_gateway import witnessing

_T = TypeVar("_T")

_WATCHER_COUNT = 3
"""VMs that watch the store in addition to the leader."""
_WATCHER_COUNT_STORE_DOWN = 8
"""Number of watchers while the leader does not reach the store. If a third of
the VMs is refused by the store, all eight are refused once in ten thousand
cases."""
_WATCHER_PROBE_SECONDS = 3.0
"""Seconds after the leader's first failed store call within which watchers have
detected whether they reach the store."""
_SELECTION_INTERVAL_SECONDS = 0.1
"""Interval between two selections of admission gates and watchers; far shorter
than the interval of VM reports."""
_PUBLISH_INTERVAL_SECONDS = 0.02
"""Minimum interval between two published assignments."""
_ANNOUNCE_DELAYS_SECONDS = (0.0, 0.7, 1.5, 3.0, 6.0)
"""Delay before each announcement of the leader to VMs that do not report."""
_CONFIRM_RETRY_SECONDS = 0.3
"""Delay before the leader's entry is read again after a failed read."""
_LEAVING_LISTED_SECONDS = 5.0
"""Seconds for which replies list a target that has announced that it leaves.
Each VM reports several times within this time."""
MAX_REPLY_DELAY_SECONDS = 0.4
"""Maximum delay of a reply to a report."""
_RESIGN_AFTER_SECONDS = 0.8
"""Seconds without the store after which the leader asks a VM that reaches it to
take over: long enough for one lost packet, short compared to a grant."""
_READ_ATTEMPTS = 5
"""Attempts of a new leader to read the tables before it gives up."""

_MAX_FAILURES = 4
"""Failures in succession of one of its tasks after which a leader asks another
VM to lead: one to two seconds, with their pauses."""


class LeaderRole:
    """Takes part in leader election and, while leading, assigns key ranges.

    Both times are in seconds of the boot clock, which also advances while the
    machine is suspended.

    Attributes:
        address: Host and port at which peers reach this VM.
        extended_grants_until: Time at which all extended grants of the current
            leader and of the leaders before it have expired, as last reported
            by the current leader.
        regular_grants_until: Time until which the current leader certainly
            gives no extended grants, as last reported by it.
    """

    __slots__ = (
        "_boot",
        "_calls",
        "_clock",
        "_cluster",
        "_crashes",
        "_demand",
        "_disseminator",
        "_entry",
        "_events",
        "_former_leaders",
        "_gates_selected_at",
        "_led_epoch",
        "_last_alive_at",
        "_lease",
        "_lost_tables",
        "_monitor",
        "_noted_wait",
        "_orders",
        "_path_succession",
        "_own_extended_until",
        "_plan_failures",
        "_planner",
        "_publish_timer",
        "_published_at",
        "_revision",
        "_room",
        "_selected_gates",
        "_selected_watchers",
        "_serial",
        "_services",
        "_settings",
        "_started_at",
        "_store",
        "_store_failing_since",
        "_successors",
        "_taking_over",
        "_tasks",
        "_term_started_at",
        "_watchers_selected_at",
        "_witness",
        "_witnesses",
        "address",
        "extended_grants_until",
        "regular_grants_until",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        boot: str,
        store: ports.StorePort,
        orders: ports.OrderPort,
        calls: peer_calls.PeerCalls,
        cluster: cluster_state.ClusterState,
        monitor: reach_monitoring.ReachMonitor,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        """Creates the role of a VM that does not lead.

        Args:
            configured: Settings of this VM.
            boot: Identifier of this incarnation of the daemon.
            store: The platform's store.
            orders: Sends orders to targets.
            calls: Client for calls to peers.
            cluster: This VM's view of the cluster.
            monitor: Knows the targets that this VM does not reach.
            timer: The clock.
            log: The event log.
        """
        self._settings = configured
        self._boot = boot
        self._store = store
        self._orders = orders
        self._cluster = cluster
        self._monitor = monitor
        self._clock = timer
        self._events = log
        self._crashes = crash_detection.CrashDetector()
        self._disseminator = dissemination.Disseminator(
            configured.vm.id, configured.vm.zone, calls, cluster, timer, log
        )
        self._last_alive_at: dict[str, float] = {}
        self._calls = calls
        self._witness = witnessing.Witness(
            configured, boot, store, cluster, timer, log
        )
        self._witnesses: witnessing.Witnesses | None = None
        self._lost_tables: dict[str, int] = {}
        self._plan_failures = 0
        self._lease = self._new_lease(0.0)
        self._entry: leadership.LeaderEntry | None = None
        self._own_extended_until = float("-inf")
        self._started_at = timer.boottime()
        self._led_epoch: int | None = None
        self._noted_wait: tuple[leadership.Term, str] | None = None
        self._revision = 0
        self._serial = 0
        self._publish_timer: asyncio.TimerHandle | None = None
        self._published_at = float("-inf")
        self._demand = demand.Demand(dissemination.REPORT_MAX_AGE_SECONDS)
        self._gates_selected_at = float("-inf")
        self._selected_gates: dict[str, str] = {}
        self._watchers_selected_at = float("-inf")
        self._selected_watchers: tuple[str, ...] = ()
        self._planner = self._new_planner()
        self._room = self._new_room()
        self._services: dict[str, planning.KeyedService] = {}
        self._former_leaders = former_leaders.FormerLeaders(0.0)
        self.address = configured.vm.peers
        self.regular_grants_until = float("-inf")
        self.extended_grants_until = float("-inf")
        self._term_started_at = 0.0
        self._store_failing_since: float | None = None
        self._successors = successors.SuccessorSelection()
        self._path_succession = path_succession.PathSuccession(
            configured.vm.id, cluster, monitor, self._disseminator, timer, log
        )
        self._tasks = background_tasks.BackgroundTasks(log)
        self._taking_over = False

    def handle_reply(self, reply: messages.ReportReply) -> None:
        """Records how long the leader's grants last, from its reply."""
        now = self._clock.boottime()
        self.regular_grants_until = (
            now
            + self._settings.leader.trouble_after
            - reply.confirmed
            - MAX_REPLY_DELAY_SECONDS
        )
        # The time of arrival is later than the time of sending, so this errs
        # on the safe side.
        self.extended_grants_until = now + reply.extended_grants

    @property
    def _declared_bound(self) -> float:
        """Longest grant of a term in seconds.

        It covers usual grants too: a successor may be configured with shorter
        ones.
        """
        configured = self._settings.leader
        longest = max(configured.longest_hold, configured.hold)
        return min(longest, self._settings.bounds.hold_most)

    def _new_lease(self, hold_bound: float) -> leadership.LeaderLease:
        """Returns a leader lease that permits no orders yet.

        Args:
            hold_bound: Longest duration of an extended grant in seconds, as
                declared in the leader's entry.
        """
        configured = self._settings.leader
        return leadership.LeaderLease(
            configured.authority, configured.unextended, hold_bound
        )

    @property
    def witness(self) -> witnessing.Witness:
        """This VM's part as a witness of other leaders."""
        return self._witness

    def _new_planner(self) -> planning.Planner:
        return planning.Planner(
            self._settings,
            self._disseminator,
            self._cluster,
            self._clock,
            self._events,
        )

    def _new_room(self) -> room_accounting.RoomAccounting:
        return room_accounting.RoomAccounting(
            self._settings,
            self._cluster,
            self._planner.speeds,
            self._clock,
            self._events,
        )

    @property
    def room(self) -> room_accounting.RoomAccounting:
        """The account of services that lack capacity, kept while leading."""
        return self._room

    @property
    def is_leader(self) -> bool:
        """Whether this VM leads and has not observed a successor."""
        return self._entry is not None

    # Taking over and stepping down.

    async def take_over(self, why: str) -> bool:
        """Becomes the leader unless another VM takes over first.

        Args:
            why: Reason for the take-over, for the event log.

        Returns:
            Whether this VM leads now.
        """
        if self._taking_over or self.is_leader:
            return self.is_leader
        self._taking_over = True
        try:
            return await self._take_over(why)
        finally:
            self._taking_over = False

    async def _take_over(self, why: str) -> bool:
        """Writes the leader's entry, reads the tables and starts the term."""
        # A leader that is announced during the read is not to be replaced.
        cached = self._cluster.leader
        read = await self._store.read(messages.LEADER_KEY)
        if isinstance(read, result.Err):
            # If the leader is cut off from the store too, it asks another VM.
            self._cluster.record_store_status(
                ok=False, why=read.err_value.detail
            )
            return False
        stored_item = read.ok_value
        stored = self._decode(stored_item, leadership.LeaderEntry)
        if stored and cached and stored.epoch > cached.epoch:
            # Another VM took over first.
            self._cluster.record_leader(stored)
            return False
        if stored is None and stored_item is not None:
            # An unreadable entry is some leader's. Each leader writes to the
            # store, so no epoch exceeds the revision of its entry.
            stored = leadership.LeaderEntry("", "", stored_item.revision, "")
        epoch = max(
            stored.epoch if stored else 0, cached.epoch if cached else 0
        )
        entry = leadership.LeaderEntry(
            self._settings.vm.id,
            self._boot,
            epoch + 1,
            self.address,
            self._unconfirmed_leaders(stored),
            self._declared_bound,
            self._unexpired_terms(stored),
        )
        sent_at = self._clock.boottime()
        revision = await self._write_leader(entry, stored_item)
        if not revision:
            return False
        # The tables must be read after the entry is written. Before that, the
        # former leader could still change them, and orders from an outdated
        # table would carry fences that targets have already seen and would
        # take keys from their owners.
        items = await self._read_all()
        if items is None or items[messages.LEADER_KEY].revision != revision:
            return False
        cached = self._cluster.leader
        if cached and cached.epoch > entry.epoch:
            # A later leader may rely on a report of this VM as its follower.
            return False
        own_terms = former_leaders.Follower(
            entry.vm,
            entry.boot,
            self.extended_grants_seconds(),
            self.own_extended_seconds(),
            self.led_epoch,
            self.running_seconds,
        )
        self._own_extended_until = self._own_extended_grants_until
        self._lease = self._new_lease(entry.hold_bound)
        self._lease.confirm(sent_at)
        self._start_term(entry, revision, items, own_terms)
        self._events.write(
            "leader",
            "leading",
            epoch=entry.epoch,
            former=stored.vm if stored else None,
            why=why,
            tables={
                name: keyed.table.version
                for name, keyed in self._services.items()
            },
        )
        return True

    async def _read_all(self) -> dict[str, ports.Item] | None:
        """Returns all items in the store, None if it does not respond."""
        for _ in range(_READ_ATTEMPTS):
            listed = await self._store.list(messages.STORE_PREFIX)
            if isinstance(listed, result.Ok):
                items = {item.key: item for item in listed.ok_value.items}
                if messages.LEADER_KEY in items:
                    return items
            await asyncio.sleep(self._settings.store.retry_least)
        return None

    async def _write_leader(
        self, entry: leadership.LeaderEntry, stored_item: ports.Item | None
    ) -> int:
        """Writes the leader's entry by compare-and-swap.

        Returns:
            The revision of the entry, 0 if it was not written.
        """
        key = messages.LEADER_KEY
        expected = {key: stored_item.revision if stored_item else 0}
        value = msgspec.json.encode(entry)
        written = await self._store.commit(expected, (ports.Write(key, value),))
        if isinstance(written, result.Ok):
            return written.ok_value
        if isinstance(written.err_value, ports.Conflict):
            return 0
        # No response: the write may have been carried out.
        read = await self._store.read(key)
        if isinstance(read, result.Ok) and read.ok_value is not None:
            item = read.ok_value
            return item.revision if item.value == value else 0
        return 0

    def _decode(self, item: ports.Item | None, kind: type[_T]) -> _T | None:
        """Decodes a stored value; None if it is missing or unreadable."""
        if item is None:
            return None
        read = messages.decode(item.value, kind)
        if isinstance(read, result.Err):
            self._events.write(
                "leader", "entry_unreadable", key=item.key, why=read.err_value
            )
            return None
        return read.ok_value

    def _start_term(
        self,
        entry: leadership.LeaderEntry,
        revision: int,
        items: Mapping[str, ports.Item],
        own_terms: former_leaders.Follower,
    ) -> None:
        """Initializes the state of a term and starts its tasks.

        Args:
            entry: This leader's entry.
            revision: Store revision of the entry.
            items: All items in the store, by key.
            own_terms: What this VM knows of its own earlier terms.
        """
        now = self._clock.boottime()
        configured = self._settings.leader
        self._entry = entry
        self._revision = revision
        self._planner = self._new_planner()
        self._room = self._new_room()
        self._demand = demand.Demand(dissemination.REPORT_MAX_AGE_SECONDS)
        self._successors.clear()
        self._path_succession.clear()
        self._store_failing_since = None
        self._term_started_at = now
        record_item = items.get(messages.WITNESSES_KEY)
        record = self._decode(record_item, lease_extension.Record)
        self._former_leaders = former_leaders.FormerLeaders(
            now + configured.authority if entry.formers else now,
            entry.formers,
            self.regular_grants_until,
            configured.hold,
            self._settings.bounds.hold_most,
            self.extended_grants_until,
            record,
            now + configured.unextended,
            grant_reconciliation.LINK_QUEUE_SECONDS
            if self._spans_regions
            else 0.0,
        )
        self._former_leaders.record_follower(own_terms, now)
        self._led_epoch = entry.epoch
        self._former_leaders.record_promise(
            self._witness.identity, self._witness.promised_seconds(), now
        )
        self._witnesses = witnessing.Witnesses(
            self._settings,
            entry,
            record_item.revision if record_item else 0,
            self._lease,
            self._store,
            self._calls,
            self._disseminator,
            self._clock,
            self._events,
        )
        self._lost_tables = {}
        self._plan_failures = 0
        for key, item in items.items():
            if key.startswith(messages.TABLE_PREFIX):
                self._load_table(item)
        # The tables are gone after this term, and reports go on.
        self._former_leaders.record_usual_hold(self._usual_hold)
        self._cluster.record_leader(entry)
        self._tasks.keep(
            "plan", self._plan_loop, on_failure=self._hand_over_if_failing
        )
        self._tasks.keep(
            "confirm", self._confirm_loop, on_failure=self._hand_over_if_failing
        )
        self._tasks.start("announce", self._announce())
        self._disseminator.begin(entry, self._hand_over_if_failing)
        self._noted_wait = None
        self._note_former_wait()
        self._schedule_publish()

    async def _announce(self) -> None:
        """Announces this leader to registered VMs that do not report to it.

        VMs that start together register over several seconds, and most of them
        looked for a leader before there was one.
        """
        for pause in _ANNOUNCE_DELAYS_SECONDS:
            await asyncio.sleep(pause)
            listed = await self._store.list(messages.VM_PREFIX, stale=True)
            if isinstance(listed, result.Ok):
                self._cluster.replace_vms(listed.ok_value.items)
                fresh = self._disseminator.fresh()
                self._disseminator.announce(
                    vm
                    for vm in self._cluster.vms.values()
                    if vm.id not in fresh
                )

    @property
    def _spans_regions(self) -> bool:
        """Whether the deployment's zones are in several regions."""
        return len(set(self._settings.vm.regions.values())) > 1

    def _unconfirmed_leaders(
        self, former: leadership.LeaderEntry | None
    ) -> tuple[str, ...]:
        """Returns former leaders' VMs that may still give orders."""
        if former is None:
            return ()
        unconfirmed = set(former.unsure)
        led_seconds = self._clock.boottime() - self._cluster.leader_since
        lease_seconds = self._settings.leader.authority
        if self._cluster.leader == former and led_seconds > lease_seconds:
            # The leaders before the former one have had to stop since.
            unconfirmed = set()
        unconfirmed.add(former.vm)
        return tuple(sorted(unconfirmed - {self._settings.vm.id}))

    def _unexpired_terms(
        self, former: leadership.LeaderEntry | None
    ) -> tuple[leadership.Term, ...]:
        """Returns former terms whose grants may not have expired."""
        if former is None:
            return ()
        led_seconds = self._clock.boottime() - self._cluster.leader_since
        # Leaders before the former one stopped within its first `authority`
        # seconds, and no grant is longer than targets accept.
        expired_after = (
            leadership.grant_expiry(
                self._settings.leader.authority, self._settings.bounds.hold_most
            )
            + grant_reconciliation.LINK_QUEUE_SECONDS
        )
        if self._cluster.leader == former and led_seconds > expired_after:
            return (former.term,)
        return leadership.listed_terms((*former.earlier_terms, former.term))

    def _decode_table(self, item: ports.Item) -> ranges.RangeTable | None:
        """Decodes a stored table; None if it is unreadable."""
        read = messages.decode_table(item)
        if isinstance(read, result.Err):
            self._events.write(
                "leader", "table_unreadable", key=item.key, why=read.err_value
            )
            return None
        return read.ok_value

    def _load_table(self, item: ports.Item) -> None:
        """Applies a table that a former leader has stored."""
        table = self._decode_table(item)
        if table is None:
            self._record_lost_table(item)
            return
        keyed = self._new_service(table, item.revision)
        self._services[table.service] = keyed
        for owner in table.owners():
            self._cluster.directory.record_incarnation(
                owner.id, owner.born, owner.address, self._clock.now()
            )
        keyed.reconciler.apply(table)

    def _record_lost_table(self, item: ports.Item) -> None:
        """Records a table that can't be read, so that nobody knows its owners.

        Their grants may be as long as targets accept.
        """
        service = item.key.removeprefix(messages.TABLE_PREFIX)
        self._lost_tables[service] = item.revision
        configuration = self._cluster.configuration
        if configuration is None or service in configuration.services:
            self._former_leaders.record_usual_hold(
                self._settings.bounds.hold_most
            )

    def _new_service(
        self, table: ranges.RangeTable, revision: int
    ) -> planning.KeyedService:
        """Returns the state of a sharded service with a given table."""
        configured = self._settings.leader
        now = self._clock.now()
        reconciler = grant_reconciliation.GrantReconciler(
            self._settings,
            self._orders,
            self._cluster,
            self._clock,
            self._events,
            self._lease,
            self._former_leaders,
            self._last_alive_at,
            self._schedule_publish,
        )
        return planning.KeyedService(
            table,
            revision,
            reconciler,
            key_rates.KeyRates(configured.heat_fast, now),
            key_rates.KeyRates(configured.heat_slow, now),
            key_rates.KeyRates(configured.heat_steady, now),
        )

    def step_down_if_outranked(self, entry: leadership.LeaderEntry) -> None:
        """Steps down if the entry has a later epoch than this leader's."""
        own = self._entry
        if own is not None and entry.epoch > own.epoch:
            self.step_down(f"{entry.vm} leads in epoch {entry.epoch}")

    def _hand_over_if_failing(self, failures: int) -> None:
        """Asks another VM to lead if a task of this term fails repeatedly.

        This VM leads until one does: if all fail alike, the renewals of grants
        go on.

        Args:
            failures: Number of failures in succession.
        """
        if failures < _MAX_FAILURES or self._entry is None:
            return
        self._ask_successors(failures=failures)

    def step_down(self, why: str) -> None:
        """Ends this VM's leadership and stops all orders to targets."""
        entry, self._entry = self._entry, None
        if entry is None:
            return
        self._tasks.cancel()
        self._path_succession.clear()
        self._disseminator.stop()
        if self._witnesses is not None:
            self._witnesses.stop()
        for keyed in self._services.values():
            keyed.reconciler.stop()
        self._services = {}
        self._room = self._new_room()
        self._events.write("leader", "stepped_down", epoch=entry.epoch, why=why)

    # Reports of VMs.

    def handle_report(self, report: messages.Report) -> messages.ReportReply:
        """Processes a VM's report and returns the updates for that VM.

        If this VM does not lead, the reply only names the leader that it has
        recorded.
        """
        cached_leader = self._cluster.leader
        if self._entry is None:
            return messages.ReportReply(cached_leader, leading=False)
        now = self._clock.now()
        vm = report.vm
        if report.epoch >= self._entry.epoch:
            self._record_follower(report)
        if report.state_update is not None:
            self._cluster.apply_update(report.state_update)
        self._cluster.confirm_configuration(
            report.configuration,
            report.configuration_seen,
            report.evacuations.zones,
        )
        self._cluster.record_view_ages(
            report.newest_revision,
            report.seen_at,
            report.configuration,
            report.evacuations,
            report.configuration_at,
        )
        self._cluster.apply_limits(report.limits)
        self._cluster.apply_leaving(report.leaving)
        self._planner.record_report(report)
        for service, keys in report.keys.items():
            keyed = self._services.get(service)
            if keyed is not None:
                keyed.record_requests(keys, now)
        received_at = self._clock.boottime()
        self._last_alive_at.update(
            dict.fromkeys(report.responsive, received_at)
        )
        for death in report.crashes:
            self._crashes.record_crash(death, now)
        self._crashes.withdraw(report.withdrawn_crashes, now)
        for ended in report.ended:
            self._cluster.end_incarnation(
                ended.target, ended.born, ended.address
            )
        for miss in report.ownership_misses:
            keyed = self._services.get(miss.service)
            if keyed is not None:
                keyed.reconciler.record_miss(miss.key, miss.target)
        self._disseminator.take(report)
        self._demand.record(vm.id, report.under_way, report.waiting, now)
        target_directory = self._cluster.directory
        fresh_reports = self._disseminator.fresh()
        path_proof = self._path_succession.proof_for(vm.id)
        missing = self._disseminator.updates_for_reply(report)
        self._room.record(report, len(fresh_reports))
        return messages.ReportReply(
            self._entry,
            leading=True,
            confirmed=self._clock.boottime() - self._lease.confirmed,
            extended_grants=self._extended_grants_seconds(),
            under_way=self._demand.busy_counts(
                vm.id, vm.zone, target_directory
            ),
            gates=self._current_gates(fresh_reports, now),
            assignments=missing.assignments,
            differences=missing.differences,
            state_update=missing.state_update,
            seen=self._cluster.seen,
            registrations_revision=self._cluster.registrations_revision,
            configuration=self._cluster.version,
            configuration_seen=self._cluster.configuration_seen,
            store=self._receives_store_changes(fresh_reports),
            crashes=self._crashes.repeated(now),
            withdrawn_crashes=self._crashes.withdrawn(),
            watchers=self._current_watchers(fresh_reports),
            vms=len(fresh_reports),
            take_over=vm.id in self._successors.asked or path_proof is not None,
            evacuations=self._cluster.evacuations,
            limits=self._cluster.limits.updates(now),
            leaving=tuple(
                target
                for target in self._cluster.leaving_updates().values()
                if target.age < _LEAVING_LISTED_SECONDS
            ),
            stamp=now,
            seen_age=self._cluster.registrations_age,
            configuration_age=self._cluster.configuration_age,
            peers=self._peers_for(report, fresh_reports),
            path_proof=path_proof,
            shares=self._room.shares_for(vm.id),
            speeds=self._planner.unmeasured_speeds(vm),
        )

    def _record_follower(self, report: messages.Report) -> None:
        """Records what a follower of this term reports of earlier terms.

        A VM that follows this leader does not lead itself. A report that it
        sent to an earlier term of this VM proves nothing: it may have led since
        and may not have noticed its replacement.
        """
        now = self._clock.boottime()
        vm = report.vm
        follower = former_leaders.Follower(
            vm.id,
            vm.boot,
            report.extended_grants,
            report.own_extended,
            report.led_epoch,
            report.running,
        )
        self._former_leaders.record_follower(follower, now)
        witness = lease_extension.Witness(vm.id, vm.boot)
        self._former_leaders.record_promise(witness, report.promised, now)

    def _peers_for(
        self, report: messages.Report, reports: Mapping[str, messages.Report]
    ) -> tuple[forwarding_peers.Peer, ...] | None:
        """Returns the VMs through which a VM may reach more targets."""
        if not report.wants_peers:
            return None
        isolated = frozenset(report.isolated)
        return forwarding_peers.nearest(
            (
                forwarding_peers.Peer(other.vm.address, other.vm.zone)
                for other in reports.values()
                if other.vm.id != report.vm.id
                and _reaches_more(other, isolated, report.unreachable)
            ),
            report.vm.id,
            report.vm.zone,
            self._settings.vm.regions,
        )

    def _current_gates(
        self, reports: Mapping[str, messages.Report], now: float
    ) -> dict[str, str]:
        """Returns the address of the admission gate of each contended target.

        Targets in slow start and rate-limited targets get one too; it is then
        the only VM that sends requests to the target.
        """
        if now - self._gates_selected_at > _SELECTION_INTERVAL_SECONDS:
            self._gates_selected_at = now
            previous = self._selected_gates
            limited = self._cluster.limited_targets()
            going_on = [r for r in reports.values() if not r.stopping]
            with_path = [r for r in going_on if not r.isolated]
            chosen = self._demand.gates(
                (
                    (report.vm.address, report.vm.zone)
                    for report in with_path or going_on
                ),
                self._settings.vm.regions,
                self._services,
                self._cluster.directory,
                [*self._cluster.cold_targets(), *limited],
                demand.weak_vms(
                    {r.vm.address: r.vm.strength for r in reports.values()}
                ),
            )
            if self._clock.boottime() < self._former_leaders.stopped_by:
                # A former leader may still name another VM as the sender, and
                # both together would exceed the target's limit.
                for name in limited:
                    chosen.pop(name, None)
            self._selected_gates = chosen
            new = self._selected_gates.keys() - previous.keys()
            if new:
                # A VM sends to the saturated target until it is notified.
                self._disseminator.send_gates(
                    {name: self._selected_gates[name] for name in new},
                    self._cluster.limits.updates(now),
                )
        return self._selected_gates

    @property
    def led_epoch(self) -> int:
        """Epoch of the last term since the daemon's start, -1 for none."""
        return -1 if self._led_epoch is None else self._led_epoch

    @property
    def running_seconds(self) -> float:
        """Seconds since the daemon's start."""
        return self._clock.boottime() - self._started_at

    @property
    def _usual_hold(self) -> float:
        """Longest duration of grants that the tables name, in seconds."""
        tables = (keyed.table for keyed in self._services.values())
        return max((t.hold for t in tables), default=0.0)

    @property
    def _former_grants_expire_at(self) -> float:
        """Time at which all grants of former leaders have expired."""
        return self._former_leaders.grants_expire_at(self._usual_hold)

    def extended_grants_seconds(self) -> float | None:
        """Returns the seconds until extended grants have expired.

        None if this VM has not led since its daemon started.
        """
        if self._led_epoch is None:
            return None
        return self._extended_grants_seconds()

    @property
    def _own_extended_grants_until(self) -> float:
        """Time at which extended grants of all own terms have expired."""
        return max(self._own_extended_until, self._lease.extended_grants_until)

    def own_extended_seconds(self) -> float | None:
        """Returns the seconds until own extended grants have expired.

        None if this VM has not led since its daemon started.
        """
        if self._led_epoch is None:
            return None
        until = self._own_extended_grants_until
        return max(until - self._clock.boottime(), 0.0)

    def _extended_grants_seconds(self) -> float:
        """Seconds until own and former leaders' extended grants expire."""
        until = max(
            self._own_extended_grants_until, self._former_grants_expire_at
        )
        return max(until - self._clock.boottime(), 0.0)

    def _current_watchers(
        self, reports: Mapping[str, messages.Report]
    ) -> tuple[str, ...]:
        """Returns the VMs that watch the store in addition to this one.

        If this VM's watch of the store stalls without an error, their views
        keep all VMs from routing by the outdated one. They are in different
        zones as far as possible.
        """
        now = self._clock.now()
        if now - self._watchers_selected_at > _SELECTION_INTERVAL_SECONDS:
            self._watchers_selected_at = now
            self._selected_watchers = self._ranked_watchers(reports)
        store_up = self._store_failing_since is None
        count = _WATCHER_COUNT if store_up else _WATCHER_COUNT_STORE_DOWN
        return self._selected_watchers[:count]

    def _ranked_watchers(
        self, reports: Mapping[str, messages.Report]
    ) -> tuple[str, ...]:
        """Returns VM identifiers, best first, taking the zones in rotation."""
        here = self._settings.vm
        candidates = [r.vm for r in reports.values() if r.vm.id != here.id]
        candidates.sort(key=lambda vm: (vm.zone == here.zone, vm.order, vm.id))
        zone_counts = collections.Counter[str]()
        ranked: list[tuple[int, int, str]] = []
        for vm in candidates:
            ranked.append((zone_counts[vm.zone], len(ranked), vm.id))
            zone_counts[vm.zone] += 1
        best = sorted(ranked)[:_WATCHER_COUNT_STORE_DOWN]
        return tuple(name for _, _, name in best)

    def _receives_store_changes(
        self, reports: Mapping[str, messages.Report]
    ) -> bool:
        """Whether this VM receives changes in the store, directly or not.

        If all VMs had to read the store themselves as soon as this one is cut
        off, a hundred of them would read everything at the same time, those in
        other regions over one narrow link. Requests on that link would be
        delayed by seconds, and so would the successor's calls.
        """
        since = self._store_failing_since
        if (
            since is None
            or self._clock.boottime() - since < _WATCHER_PROBE_SECONDS
        ):
            return True
        watchers = self._current_watchers(reports)
        return any(reports[name].store for name in watchers if name in reports)

    # Publishing assignments.

    def _schedule_publish(self) -> None:
        """Publishes changed assignments, the first change immediately.

        Later changes are batched: with a new table, hundreds of grants are
        acknowledged at the same time, and each assignment lists all ranges.
        """
        if self._publish_timer is not None:
            return
        now = self._clock.now()
        wait = self._published_at + _PUBLISH_INTERVAL_SECONDS - now
        if wait <= 0:
            self._publish()
            return
        loop = asyncio.get_running_loop()
        self._publish_timer = loop.call_later(wait, self._publish)

    def _publish(self) -> None:
        """Publishes an assignment with a new serial for every service."""
        self._publish_timer = None
        entry = self._entry
        if entry is None:
            return
        self._published_at = self._clock.now()
        self._serial += 1
        for keyed in self._services.values():
            self._disseminator.publish(
                assignments.from_table(
                    keyed.table,
                    (entry.epoch, self._serial),
                    keyed.reconciler.granted_pieces(),
                )
            )

    @property
    def former_grants_seconds(self) -> float:
        """Seconds until all grants of former leaders have expired."""
        if self._entry is None:
            return 0.0
        return max(self._former_grants_expire_at - self._clock.boottime(), 0.0)

    def _note_former_wait(self) -> None:
        """Logs for whose grants this leader waits, and why, on each change."""
        seconds = self.former_grants_seconds
        last = self._former_leaders.last_to_expire(self._usual_hold)
        noted = last if seconds > 0.0 else None
        if noted == self._noted_wait:
            return
        self._noted_wait = noted
        if noted is not None:
            term, evidence = noted
            self._events.write(
                "leader",
                "waits_for_former",
                vm=term.vm,
                epoch=term.epoch,
                hold_bound=term.hold_bound,
                evidence=evidence,
                seconds=round(seconds, 2),
            )

    # Leadership in the store.

    async def _confirm_loop(self) -> None:
        """Confirms the leader's entry and renews the witness record."""
        pause = self._settings.leader.confirm
        while True:
            failing = self._store_failing_since is not None
            await asyncio.sleep(_CONFIRM_RETRY_SECONDS if failing else pause)
            await self._confirm()
            reached = self._store_failing_since is None
            self._note_former_wait()
            if self._witnesses is not None and reached:
                clear_at = max(
                    self._former_grants_expire_at,
                    self._lease.extended_grants_until,
                )
                await self._witnesses.update_record(self._revision, clear_at)

    async def _confirm(self) -> None:
        """Reads the leader's entry and extends the lease or steps down."""
        sent_at = self._clock.boottime()
        extension_timer = asyncio.get_running_loop().call_later(
            self._settings.leader.extension_after, self._request_extension
        )
        try:
            read = await self._store.read(messages.LEADER_KEY)
        finally:
            extension_timer.cancel()
        if isinstance(read, result.Err):
            self._store_failed(read.err_value, sent_at)
            return
        self._cluster.record_store_status(ok=True)
        self._store_failing_since = None
        self._successors.clear()
        self._lease.replaceable = False
        entry = self._decode(read.ok_value, leadership.LeaderEntry)
        if entry is None or entry != self._entry:
            if entry is not None:
                self._cluster.record_leader(entry)
            self.step_down("the store names another leader")
            return
        self._lease.confirm(sent_at)

    def _store_failed(self, failure: errors.Failure, sent_at: float) -> None:
        """Handles the failure of a store call that was sent at `sent_at`."""
        now = self._clock.boottime()
        self._cluster.record_store_status(ok=False, why=failure.detail)
        if self._store_failing_since is None:
            self._store_failing_since = sent_at
        self._request_extension()
        self._lease.replaceable = bool(self._successor_candidates())
        if now - self._store_failing_since < _RESIGN_AFTER_SECONDS:
            return
        self._ask_successors(
            store_silent=round(now - self._store_failing_since, 2)
        )

    def _request_extension(self) -> None:
        """Requests an extension of the leader lease from the witnesses."""
        if self._witnesses is not None and self.is_leader:
            self._witnesses.request_extension()

    def _ask_successors(self, **reason: float) -> None:
        """Asks VMs that reach the store to lead, and logs why.

        Args:
            **reason: The reason, as a field of the log line.
        """
        successors = self._request_successors()
        if successors:
            self._events.write(
                "leader", "asks_successor", successors=successors, **reason
            )

    def _request_successors(self) -> tuple[str, ...]:
        """Asks VMs that reach the store to lead; returns those just asked."""
        candidates = self._successor_candidates()
        asked = self._successors.next(
            [vm.id for vm in candidates], self._clock.boottime()
        )
        self._disseminator.request_takeover(
            vm for vm in candidates if vm.id in asked
        )
        return asked

    def _successor_candidates(self) -> list[messages.VmEntry]:
        """Returns other VMs that report a reachable store, best first."""
        candidates = [
            report
            for report in self._disseminator.fresh().values()
            if report.store and report.vm.id != self._settings.vm.id
        ]
        candidates.sort(key=lambda r: (bool(r.isolated), r.vm.order, r.vm.id))
        return [report.vm for report in candidates]

    # Leading without a path to targets.

    @property
    def lacks_path(self) -> bool:
        """Whether this VM reaches no target of a service divided by key."""
        return bool(
            path_succession.isolated_services(self._cluster, self._monitor)
        )

    def _replace_if_cut_off(self) -> None:
        """Asks VMs that reach more targets to lead, if owners are cut off."""
        self._path_succession.update(
            owner
            for keyed in self._services.values()
            for owner in keyed.reconciler.cut_off_owners()
        )

    # Planning.

    async def _plan_loop(self) -> None:
        """Plans the tables of all sharded services at regular intervals."""
        while True:
            await asyncio.sleep(self._settings.leader.plan)
            self._replace_if_cut_off()
            await self._plan()

    async def _plan(self) -> None:
        """Plans the tables of all sharded services."""
        configuration = self._cluster.configuration
        if configuration is None:
            return
        failed = False
        for service in configuration.services.values():
            try:
                if service.keyed:
                    await self._plan_service(service)
            except Exception as error:
                # A fault in one service must not keep the others from plans.
                self._events.write(
                    "leader",
                    "plan_failed",
                    service=service.name,
                    why=repr(error),
                )
                failed = True
        self._plan_failures = self._plan_failures + 1 if failed else 0
        self._hand_over_if_failing(self._plan_failures)

    async def _plan_service(self, service: routes.Service) -> None:
        """Creates or changes the table of a service if required."""
        now = self._clock.now()
        targets = self._cluster.eligible_owners(service)
        keyed = self._services.get(service.name)
        if keyed is None:
            await self._first_table(service.name, targets, now)
            return
        table = self._planner.next_table(keyed, targets, now)
        if table is not None:
            await self._commit(keyed, table)

    async def _first_table(
        self, service: str, targets: list[directory.Target], now: float
    ) -> None:
        """Creates a service's first table once its targets have registered."""
        if not targets:
            return
        configured = self._settings.leader
        last_added_at = max(
            entry.since
            for entry in self._cluster.directory
            if entry.target.service == service
        )
        waited = self._clock.boottime() - self._term_started_at
        if (
            now - last_added_at < configured.settle
            and waited < configured.settle_most
        ):
            return
        lost_revision = self._lost_tables.get(service, 0)
        if lost_revision and self.former_grants_seconds > 0.0:
            # Any target may own any key, and none can be asked to release it.
            return
        weights = {planning.holder(t): float(t.slots) for t in targets}
        table = ranges.initial_table(
            service,
            weights,
            self._clock.new_id(),
            ranges.fence_after(lost_revision) + 1,
        )
        keyed = self._new_service(table, lost_revision)
        await self._commit(keyed, table)

    # Committing.

    async def _commit(
        self, keyed: planning.KeyedService, table: ranges.RangeTable
    ) -> bool:
        """Writes a table to the store and applies it.

        Returns:
            Whether the table is in force.
        """
        entry = self._entry
        if entry is None:
            return False
        problem = ranges.find_problem(table)
        if problem:
            self._events.write(
                "leader", "table_refused", service=table.service, why=problem
            )
            return False
        released = keyed.reconciler.released_fences()
        if released:
            table = _without_released(table, released)
        pace = self._settings.leader.renewal_pace(len(table.ranges))
        if pace.hold > max(table.hold, self._settings.leader.hold):
            table = msgspec.structs.replace(table, hold=pace.hold)
        key = messages.table_key(table.service)
        expected = {
            messages.LEADER_KEY: self._revision,
            key: keyed.revision,
        }
        write = ports.Write(key, messages.encode(table))
        sent_at = self._clock.boottime()
        written = await self._store.commit(expected, (write,))
        if self._entry is not entry:
            return False
        if isinstance(written, result.Ok):
            self._lease.confirm(sent_at)
            self._apply_committed(keyed, table, written.ok_value)
            return True
        if isinstance(written.err_value, errors.Failure):
            self._store_failed(written.err_value, sent_at)
            if written.err_value.kind is errors.ErrorKind.STORE_UNAVAILABLE:
                return False
        return await self._resolve_commit(keyed, table)

    async def _resolve_commit(
        self, keyed: planning.KeyedService, table: ranges.RangeTable
    ) -> bool:
        """Determines the outcome of a commit that got no response.

        The write may still be carried out as long as its condition holds, so
        the value read here may change. The next commit carries the same
        condition, and only one of the two can succeed.

        Returns:
            Whether `table` is in force.
        """
        key = messages.table_key(table.service)
        read = await self._store.read(key)
        if isinstance(read, result.Err) or self._entry is None:
            return False
        await self._confirm()
        item = read.ok_value
        if self._entry is None or item is None:
            return False
        stored = self._decode_table(item)
        if stored is None:
            # Another writer has overwritten the table. No write with the former
            # condition can succeed any more, so the next one replaces it.
            keyed.revision = item.revision
            return False
        if item.revision != keyed.revision:
            self._apply_committed(keyed, stored, item.revision)
        return stored.commit == table.commit

    def _apply_committed(
        self,
        keyed: planning.KeyedService,
        table: ranges.RangeTable,
        revision: int,
    ) -> None:
        """Applies a committed table and publishes its assignment."""
        first_new_fence = keyed.table.next_fence
        unchanged = {
            item.owner for item in table.ranges if item.fence < first_new_fence
        }
        renewed = table.owners() - unchanged
        keyed.table = table
        keyed.revision = revision
        self._services[table.service] = keyed
        keyed.reconciler.apply(table)
        keyed.reconciler.resume(renewed)
        self._schedule_publish()

    async def hand_over(self, seconds: float) -> None:
        """Asks other VMs to take over and waits until one does.

        Args:
            seconds: Maximum wait.
        """
        if self._entry is None:
            return
        successors = self._request_successors()
        if not successors:
            return
        self._events.write("leader", "hands_over", successors=successors)
        deadline = self._clock.now() + seconds
        while self.is_leader and self._clock.now() < deadline:
            await asyncio.sleep(0.05)

    def dump(self) -> dict[str, object]:
        """Returns the leader state for the state dump."""
        return {
            "leading": self.is_leader,
            "epoch": self._entry.epoch if self._entry else None,
            "witnesses": self._witnesses.dump() if self._witnesses else [],
            "former_grants_seconds": round(self.former_grants_seconds, 2),
            "capacity": self._room.dump() if self.is_leader else {},
            "tables": {
                name: {
                    "version": keyed.table.version,
                    "ranges": len(keyed.table.ranges),
                    "grants": keyed.reconciler.dump(),
                    "utilisations": keyed.utilisations,
                }
                for name, keyed in self._services.items()
            },
            "speeds": self._planner.speeds(),
        }

    def utilisations(self) -> list[float]:
        """Returns the expected utilisation of all targets with keys."""
        if self._entry is None:
            return []
        return [
            share
            for keyed in self._services.values()
            for share in keyed.utilisations.values()
        ]


def _reaches_more(
    report: messages.Report, isolated: frozenset[str], unreachable: int
) -> bool:
    """Whether a VM goes on running and reaches more targets than another.

    Args:
        report: Report of the VM.
        isolated: Services of which the other VM reaches no target.
        unreachable: Number of targets that the other VM could not reach.
    """
    return (
        not report.stopping
        and isolated.isdisjoint(report.isolated)
        and report.unreachable < unreachable
    )


def _without_released(
    table: ranges.RangeTable, released: Mapping[ranges.Piece, Iterable[int]]
) -> ranges.RangeTable:
    """Removes released former owners from pieces that did not change."""
    cleaned = ranges.remove_released(table, released, table.commit)
    return msgspec.structs.replace(cleaned, version=table.version)
