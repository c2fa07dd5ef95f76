"""The leader: the tables of key ranges and the orders to targets."""

import asyncio
import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import TypeVar

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import demand
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import key_rates
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension
from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import successors
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dissemination
from mimosastile_gateway import events
from mimosastile_gateway import grant_reconciliation
from mimosastile_gateway import messages
from mimosastile_gateway import peer_calls
from mimosastile_gateway import planning
from mimosastile_gateway import ports
from mimosastile_gateway import settings
from mimosastile_gateway import witnessing

_T = TypeVar("_T")

_WATCHERS = 3
"""VMs that follow the store beside the leader."""
_WATCHERS_IN_TROUBLE = 8
"""The same while the leader does not reach the store. When a third of the VMs
is turned away, all of eight are so once in ten thousand times."""
_WATCHERS_TRIED = 3.0
"""Seconds without the store in which these have found out whether they reach
it."""
_GATES_SECONDS = 0.1
"""How often gates and watchers are chosen anew: far more often than VMs
report."""
_PUBLISH_SECONDS = 0.02
"""Shortest time between two assignments."""
_ANNOUNCE_PAUSES = (0.0, 0.7, 1.5, 3.0, 6.0)
"""Seconds before each time that VMs which do not report are told who leads."""
_CONFIRM_AGAIN = 0.3
"""Seconds between a failed look at the store and the next one."""
_LEAVING_TOLD = 5.0
"""Seconds for which VMs are told that a target leaves by its own word: each
reports several times meanwhile."""
ANSWER_SECONDS = 0.4
"""Longest time for which an answer to a report may have been on its way."""
_RESIGN_AFTER = 0.8
"""Seconds without the store after which a VM that reaches it is asked to take
over: long enough for one lost packet, short against the length of a grant."""
_READ_TRIES = 5
"""How often a new leader tries to read the tables before it gives up."""


class LeaderRole:
    """Decides over key ranges while this VM leads, and knows when it does.

    Attributes:
        address: Where peers reach this VM.
        longer_until: When grants of the present leader and those before it
            that were longer than usual have run out, as far as it has said.
        calm_until: Until when the present leader, as far as this VM has heard,
            surely gives no grants longer than usual.
    """

    __slots__ = (
        "_alive_at",
        "_lease",
        "_cluster",
        "_boot",
        "_calls",
        "_crashes",
        "_clock",
        "_demand",
        "_entry",
        "_events",
        "_formers",
        "_gates_at",
        "_gates_chosen",
        "_has_led",
        "_orders",
        "_planner",
        "_published_at",
        "_publishing",
        "_revision",
        "_serial",
        "_services",
        "_settings",
        "_started",
        "_store",
        "_store_failing_since",
        "_successors",
        "_taking",
        "_tasks",
        "_disseminator",
        "_watchers_at",
        "_watchers_chosen",
        "_witness",
        "_witnesses",
        "address",
        "calm_until",
        "longer_until",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        boot: str,
        store: ports.StorePort,
        orders: ports.OrderPort,
        calls: peer_calls.PeerCalls,
        known: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        self._settings = configured
        self._boot = boot
        self._store = store
        self._orders = orders
        self._cluster = known
        self._clock = timer
        self._events = log
        self._crashes = crash_detection.CrashDetector()
        self._disseminator = dissemination.Disseminator(
            configured.vm.id, configured.vm.zone, calls, known, timer, log
        )
        self._alive_at: dict[str, float] = {}
        self._calls = calls
        self._witness = witnessing.Witness(
            configured, boot, store, known, timer, log
        )
        self._witnesses: witnessing.Witnesses | None = None
        self._lease = self._new_lease()
        self._entry: leadership.LeaderEntry | None = None
        self._has_led = False
        self._revision = 0
        self._serial = 0
        self._publishing: asyncio.TimerHandle | None = None
        self._published_at = float("-inf")
        self._demand = demand.Demand(dissemination.REPORT_MAX_AGE_SECONDS)
        self._gates_at = float("-inf")
        self._gates_chosen: dict[str, str] = {}
        self._watchers_at = float("-inf")
        self._watchers_chosen: tuple[str, ...] = ()
        self._planner = self._new_planner()
        self._services: dict[str, planning.KeyedService] = {}
        self._formers = former_leaders.FormerLeaders(0.0)
        self.address = configured.vm.peers
        self.calm_until = float("-inf")
        self.longer_until = float("-inf")
        self._started = 0.0
        self._store_failing_since: float | None = None
        self._successors = successors.SuccessorSelection()
        self._tasks: list[asyncio.Task[Any]] = []
        self._taking = False

    def hear(self, reply: messages.ReportReply) -> None:
        """Notes what a leader's answer says of the grants it gives."""
        now = self._clock.boottime()
        self.calm_until = (
            now
            + self._settings.leader.trouble_after
            - reply.confirmed
            - ANSWER_SECONDS
        )
        # Counted from when the answer came, which is later than the truth.
        self.longer_until = now + reply.extended_grants

    def _new_lease(self) -> leadership.LeaderLease:
        configured = self._settings.leader
        return leadership.LeaderLease(
            configured.authority, configured.unextended
        )

    @property
    def witness(self) -> witnessing.Witness:
        """This VM as a witness of other leaders."""
        return self._witness

    def _new_planner(self) -> planning.Planner:
        return planning.Planner(
            self._settings,
            self._disseminator,
            self._cluster,
            self._clock,
            self._events,
        )

    @property
    def leading(self) -> bool:
        """Whether this VM leads, as far as it knows."""
        return self._entry is not None

    # Taking over and stepping down.

    async def take_over(self, why: str) -> bool:
        """Becomes the leader if nobody else does first.

        Returns:
            Whether this VM leads now.
        """
        if self._taking or self.leading:
            return self.leading
        self._taking = True
        try:
            return await self._take_over(why)
        finally:
            self._taking = False

    async def _take_over(self, why: str) -> bool:
        read = await self._store.read(messages.LEADER_KEY)
        if isinstance(read, result.Err):
            # A leader that is cut off as well then asks another VM.
            self._cluster.record_store_status(
                ok=False, why=read.err_value.detail
            )
            return False
        former = read.ok_value
        known = self._decoded(former, leadership.LeaderEntry)
        believed = self._cluster.leader
        if known and believed and known.epoch > believed.epoch:
            # Somebody was faster.
            self._cluster.record_leader(known)
            return False
        epoch = max(
            known.epoch if known else 0, believed.epoch if believed else 0
        )
        entry = leadership.LeaderEntry(
            self._settings.vm.id,
            self._boot,
            epoch + 1,
            self.address,
            self._unsure(known),
        )
        asked = self._clock.boottime()
        revision = await self._write_leader(entry, former)
        if not revision:
            return False
        # Only now: until this entry was there the former leader went on
        # changing tables, and orders by an older table would carry fences that
        # targets have had, and take keys from their owners.
        items = await self._read_all()
        if items is None or items[messages.LEADER_KEY].revision != revision:
            return False
        self._lease = self._new_lease()
        self._lease.confirm(asked)
        self._begin(entry, revision, items, known)
        self._events.write(
            "leader",
            "leading",
            epoch=entry.epoch,
            former=known.vm if known else None,
            why=why,
            tables={
                name: keyed.table.version
                for name, keyed in self._services.items()
            },
        )
        return True

    async def _read_all(self) -> dict[str, ports.Item] | None:
        """Returns everything in the store; None if it stays silent."""
        for _ in range(_READ_TRIES):
            listed = await self._store.list(messages.STORE_PREFIX)
            if isinstance(listed, result.Ok):
                items = {item.key: item for item in listed.ok_value.items}
                if messages.LEADER_KEY in items:
                    return items
            await asyncio.sleep(self._settings.store.retry_least)
        return None

    async def _write_leader(
        self, entry: leadership.LeaderEntry, former: ports.Item | None
    ) -> int:
        """Writes the leader's entry; returns its revision, 0 if it failed."""
        key = messages.LEADER_KEY
        expected = {key: former.revision if former else 0}
        value = msgspec.json.encode(entry)
        written = await self._store.commit(expected, (ports.Write(key, value),))
        if isinstance(written, result.Ok):
            return written.ok_value
        if isinstance(written.err_value, ports.Conflict):
            return 0
        # No answer: it may be in force.
        read = await self._store.read(key)
        if isinstance(read, result.Ok) and read.ok_value is not None:
            item = read.ok_value
            return item.revision if item.value == value else 0
        return 0

    def _decoded(self, item: ports.Item | None, kind: type[_T]) -> _T | None:
        """Returns an entry of the store; None if there is none to read."""
        if item is None:
            return None
        try:
            return msgspec.json.decode(item.value, type=kind)
        except msgspec.DecodeError as error:
            self._events.write(
                "leader", "entry_unreadable", key=item.key, why=str(error)
            )
            return None

    def _begin(
        self,
        entry: leadership.LeaderEntry,
        revision: int,
        items: Mapping[str, ports.Item],
        former: leadership.LeaderEntry | None,
    ) -> None:
        now = self._clock.boottime()
        configured = self._settings.leader
        self._entry = entry
        self._has_led = True
        self._revision = revision
        self._planner = self._new_planner()
        self._demand = demand.Demand(dissemination.REPORT_MAX_AGE_SECONDS)
        self._successors.clear()
        self._store_failing_since = None
        self._started = now
        record_item = items.get(messages.WITNESSES_KEY)
        record = self._decoded(record_item, lease_extension.Record)
        named = former and record and record.epoch == former.epoch
        self._formers = former_leaders.FormerLeaders(
            now + configured.authority if former else now,
            entry.unsure,
            self.calm_until,
            configured.hold,
            self._settings.bounds.hold_most,
            self.longer_until,
            record.witnesses if record and named else (),
            now + configured.unextended,
            grant_reconciliation.LINK_QUEUE_SECONDS
            if self._several_regions
            else 0.0,
        )
        if not entry.unsure:
            # There was none, or it was an earlier run of this daemon, whose
            # longer grants may still last.
            self._formers.record_stopped(now)
        self._formers.record_promise(
            self._witness.identity, self._witness.promised(), now
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
        for key, item in items.items():
            if key.startswith(messages.TABLE_PREFIX):
                self._load(item)
        self._cluster.record_leader(entry)
        self._tasks = [
            asyncio.create_task(self._plan_on(), name="plan"),
            asyncio.create_task(self._confirm_on(), name="confirm"),
            asyncio.create_task(self._announce(), name="announce"),
        ]
        self._disseminator.begin(entry)
        self._published()

    async def _announce(self) -> None:
        """Has registered VMs told who leads until they report here.

        VMs that start together register over some seconds, and most of them
        have looked for a leader before there was one.
        """
        for pause in _ANNOUNCE_PAUSES:
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
    def _several_regions(self) -> bool:
        return len(set(self._settings.vm.regions.values())) > 1

    def _unsure(self, former: leadership.LeaderEntry | None) -> tuple[str, ...]:
        """Returns the VMs that may still give orders as former leaders."""
        if former is None:
            return ()
        inherited = set(former.unsure)
        led = self._clock.boottime() - self._cluster.leader_since
        authority = self._settings.leader.authority
        if self._cluster.leader == former and led > authority:
            # Whoever led before that one has had to stop since.
            inherited = set()
        inherited.add(former.vm)
        return tuple(sorted(inherited - {self._settings.vm.id}))

    def _decoded_table(self, item: ports.Item) -> ranges.RangeTable | None:
        try:
            return messages.decode(item.value, ranges.RangeTable)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._events.write(
                "leader", "table_unreadable", key=item.key, why=str(error)
            )
            return None

    def _load(self, item: ports.Item) -> None:
        table = self._decoded_table(item)
        if table is None:
            return
        keyed = self._new_keyed(table, item.revision)
        self._services[table.service] = keyed
        for owner in table.owners():
            self._cluster.directory.record_incarnation(
                owner.id, owner.born, owner.address, self._clock.now()
            )
        keyed.reconciler.follow(table)

    def _new_keyed(
        self, table: ranges.RangeTable, revision: int
    ) -> planning.KeyedService:
        configured = self._settings.leader
        now = self._clock.now()
        reconciler = grant_reconciliation.GrantReconciler(
            self._settings,
            self._orders,
            self._cluster,
            self._clock,
            self._events,
            self._lease,
            self._formers,
            self._alive_at,
            self._published,
        )
        return planning.KeyedService(
            table,
            revision,
            reconciler,
            key_rates.KeyRates(configured.heat_fast, now),
            key_rates.KeyRates(configured.heat_slow, now),
        )

    def outranked_by(self, entry: leadership.LeaderEntry) -> None:
        """Steps down if another VM, or a later epoch, leads."""
        own = self._entry
        if own is not None and entry.epoch > own.epoch:
            self.step_down(f"{entry.vm} leads in epoch {entry.epoch}")

    def step_down(self, why: str) -> None:
        """Gives no further orders."""
        entry, self._entry = self._entry, None
        if entry is None:
            return
        for task in self._tasks:
            task.cancel()
        self._disseminator.stop()
        if self._witnesses is not None:
            self._witnesses.stop()
        for keyed in self._services.values():
            keyed.reconciler.stop()
        self._services = {}
        self._events.write("leader", "stepped_down", epoch=entry.epoch, why=why)

    # Reports of VMs.

    def take_report(self, report: messages.Report) -> messages.ReportReply:
        """Takes a VM's report and returns what it should know."""
        leader = self._cluster.leader
        if self._entry is None:
            return messages.ReportReply(leader, leading=False)
        now = self._clock.now()
        vm = report.vm
        boot = self._clock.boottime()
        # A VM that reports here does not lead itself.
        self._formers.record_follower(vm.id, boot, report.extended_grants)
        if report.epoch >= self._entry.epoch:
            witness = lease_extension.Witness(vm.id, vm.boot)
            self._formers.record_promise(witness, report.promised, boot)
        if report.state_update is not None:
            self._cluster.apply_update(report.state_update)
        self._cluster.confirm_configuration(
            report.configuration,
            report.configuration_seen,
            report.evacuations.zones,
        )
        self._cluster.record_view_ages(
            report.seen,
            report.seen_at,
            report.configuration,
            report.evacuations,
            report.configuration_at,
        )
        self._cluster.apply_limits(report.limits)
        self._cluster.apply_leaving(report.leaving)
        self._planner.learn(report)
        for service, keys in report.keys.items():
            keyed = self._services.get(service)
            if keyed is not None:
                keyed.fast.add(keys, now)
                keyed.slow.add(keys, now)
        seen = self._clock.boottime()
        self._alive_at.update(dict.fromkeys(report.responsive, seen))
        for death in report.crashes:
            self._crashes.record_crash(death, now)
        for ended in report.ended:
            self._cluster.end_incarnation(ended.target, ended.born)
        for miss in report.ownership_misses:
            keyed = self._services.get(miss.service)
            if keyed is not None:
                keyed.reconciler.record_miss(miss.key, miss.target)
        self._disseminator.take(report)
        self._demand.record(vm.id, report.under_way, report.waiting, now)
        known = self._cluster.directory
        fresh = self._disseminator.fresh()
        missing_updates = self._disseminator.updates_for_reply(report)
        return messages.ReportReply(
            self._entry,
            leading=True,
            confirmed=self._clock.boottime() - self._lease.confirmed,
            extended_grants=self._longer_seconds(),
            under_way=self._demand.busy_counts(vm.id, vm.zone, known),
            gates=self._gates(fresh, now),
            assignments=missing_updates.assignments,
            differences=missing_updates.differences,
            state_update=missing_updates.state_update,
            seen=self._cluster.seen,
            configuration=self._cluster.version,
            configuration_seen=self._cluster.configuration_seen,
            store=self._informed(fresh),
            crashes=self._crashes.crashes(now),
            watchers=self._watchers(fresh),
            vms=len(fresh),
            take_over=vm.id in self._successors.asked,
            evacuations=self._cluster.evacuations,
            limits=self._cluster.limits.updates(now),
            leaving=tuple(
                run
                for run in self._cluster.leaving_updates().values()
                if run.age < _LEAVING_TOLD
            ),
            stamp=now,
            seen_age=self._cluster.registrations_age,
            configuration_age=self._cluster.configuration_age,
        )

    def _gates(
        self, reports: Mapping[str, messages.Report], now: float
    ) -> dict[str, str]:
        """Returns who admits to contended targets, or alone sends to some."""
        if now - self._gates_at > _GATES_SECONDS:
            self._gates_at = now
            known = self._gates_chosen
            limited = self._cluster.limited_targets()
            chosen = self._demand.gates(
                (
                    (report.vm.address, report.vm.zone)
                    for report in reports.values()
                    if not report.stopping
                ),
                self._settings.vm.regions,
                self._services,
                self._cluster.directory,
                [*self._cluster.cold_targets(), *limited],
            )
            if self._clock.boottime() < self._formers.stopped_by:
                # A former leader may still name another sender, and the two
                # together would be beyond the limit.
                for name in limited:
                    chosen.pop(name, None)
            self._gates_chosen = chosen
            new = self._gates_chosen.keys() - known.keys()
            if new:
                # Until a VM hears of it, it sends to a full target.
                self._disseminator.send_gates(
                    {name: self._gates_chosen[name] for name in new},
                    self._cluster.limits.updates(now),
                )
        return self._gates_chosen

    @property
    def _formers_lapse(self) -> float:
        """Time at which all grants of former leaders have run out."""
        tables = (keyed.table for keyed in self._services.values())
        return self._formers.grants_expire_at(
            max((t.hold for t in tables), default=0.0)
        )

    def longer_grants(self) -> float | None:
        """Returns how long grants that this VM has made longer may last.

        None if it has not led since it started.
        """
        return self._longer_seconds() if self._has_led else None

    def _longer_seconds(self) -> float:
        """Returns how long longer grants may last, former leaders' included."""
        until = max(self._lease.extended_grants_until, self._formers_lapse)
        return max(until - self._clock.boottime(), 0.0)

    def _watchers(
        self, reports: Mapping[str, messages.Report]
    ) -> tuple[str, ...]:
        """Returns VMs that follow the store beside this one.

        If this VM's own view of the store falls silent without a word, theirs
        keep all VMs from routing by it. They stand in different zones as far
        as there are some.
        """
        now = self._clock.now()
        if now - self._watchers_at > _GATES_SECONDS:
            self._watchers_at = now
            self._watchers_chosen = self._ranked_watchers(reports)
        calm = self._store_failing_since is None
        most = _WATCHERS if calm else _WATCHERS_IN_TROUBLE
        return self._watchers_chosen[:most]

    def _ranked_watchers(
        self, reports: Mapping[str, messages.Report]
    ) -> tuple[str, ...]:
        here = self._settings.vm
        able = [r.vm for r in reports.values() if r.vm.id != here.id]
        able.sort(key=lambda vm: (vm.zone == here.zone, vm.order, vm.id))
        turns = collections.Counter[str]()
        ranked: list[tuple[int, int, str]] = []
        for vm in able:
            ranked.append((turns[vm.zone], len(ranked), vm.id))
            turns[vm.zone] += 1
        first = sorted(ranked)[:_WATCHERS_IN_TROUBLE]
        return tuple(name for _, _, name in first)

    def _informed(self, reports: Mapping[str, messages.Report]) -> bool:
        """Whether this VM learns what the store holds.

        If it told all VMs to look for themselves as soon as it is cut off from
        the store, a hundred of them would read everything at the same time,
        those in other regions over one narrow link. Requests on that link
        would wait for seconds, and so would the successor's calls.
        """
        since = self._store_failing_since
        if since is None or self._clock.boottime() - since < _WATCHERS_TRIED:
            return True
        watchers = self._watchers(reports)
        return any(reports[name].store for name in watchers if name in reports)

    # Telling VMs.

    def _published(self) -> None:
        """Has changed assignments told, the first at once.

        Hundreds of grants are answered at the same time when a table is new,
        and each assignment names all ranges.
        """
        if self._publishing is not None:
            return
        now = self._clock.now()
        wait = self._published_at + _PUBLISH_SECONDS - now
        if wait <= 0:
            self._publish()
            return
        loop = asyncio.get_running_loop()
        self._publishing = loop.call_later(wait, self._publish)

    def _publish(self) -> None:
        """Makes a new assignment of what has changed and has it told."""
        self._publishing = None
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
                    keyed.reconciler.ready(),
                )
            )

    # Leadership in the store.

    async def _confirm_on(self) -> None:
        pause = self._settings.leader.confirm
        while True:
            failing = self._store_failing_since is not None
            await asyncio.sleep(_CONFIRM_AGAIN if failing else pause)
            await self._confirm()
            reached = self._store_failing_since is None
            if self._witnesses is not None and reached:
                clear_at = max(
                    self._formers_lapse, self._lease.extended_grants_until
                )
                await self._witnesses.name(self._revision, clear_at)

    async def _confirm(self) -> None:
        asked = self._clock.boottime()
        late = asyncio.get_running_loop().call_later(
            self._settings.leader.extension_after, self._ask_witnesses
        )
        try:
            read = await self._store.read(messages.LEADER_KEY)
        finally:
            late.cancel()
        if isinstance(read, result.Err):
            self._store_failed(read.err_value, asked)
            return
        self._cluster.record_store_status(ok=True)
        self._store_failing_since = None
        self._successors.clear()
        self._lease.replaceable = False
        entry = self._decoded(read.ok_value, leadership.LeaderEntry)
        if entry is None or entry != self._entry:
            if entry is not None:
                self._cluster.record_leader(entry)
            self.step_down("the store names another leader")
            return
        self._lease.confirm(asked)

    def _store_failed(self, failure: errors.Failure, asked: float) -> None:
        """Notes that a call to the store that began at `asked` has failed."""
        now = self._clock.boottime()
        self._cluster.record_store_status(ok=False, why=failure.detail)
        if self._store_failing_since is None:
            self._store_failing_since = asked
        self._ask_witnesses()
        self._lease.replaceable = bool(self._able())
        if now - self._store_failing_since < _RESIGN_AFTER:
            return
        successors = self._ask_others()
        if successors:
            self._events.write(
                "leader",
                "asks_successor",
                successors=successors,
                store_silent=round(now - self._store_failing_since, 2),
            )

    def _ask_witnesses(self) -> None:
        if self._witnesses is not None and self.leading:
            self._witnesses.ask()

    def _ask_others(self) -> tuple[str, ...]:
        """Asks VMs that reach the store to lead; returns the newly asked."""
        able = self._able()
        asked = self._successors.next(
            [vm.id for vm in able], self._clock.boottime()
        )
        self._disseminator.request_takeover(vm for vm in able if vm.id in asked)
        return asked

    def _able(self) -> list[messages.VmEntry]:
        """Returns other VMs that say they reach the store, the best first."""
        able = [
            report.vm
            for report in self._disseminator.fresh().values()
            if report.store and report.vm.id != self._settings.vm.id
        ]
        return sorted(able, key=lambda vm: (vm.order, vm.id))

    # Planning.

    async def _plan_on(self) -> None:
        while True:
            await asyncio.sleep(self._settings.leader.plan)
            try:
                await self._plan()
            except Exception as error:
                # One service's fault must not end the renewals of all.
                self._events.write("leader", "plan_failed", why=repr(error))

    async def _plan(self) -> None:
        configuration = self._cluster.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.keyed:
                await self._plan_service(service)

    async def _plan_service(self, service: routes.Service) -> None:
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
        if not targets:
            return
        configured = self._settings.leader
        newest = max(
            entry.since
            for entry in self._cluster.directory
            if entry.target.service == service
        )
        waited = self._clock.boottime() - self._started
        if now - newest < configured.settle and waited < configured.settle_most:
            return
        weights = {planning.holder(t): float(t.slots) for t in targets}
        table = ranges.initial_table(service, weights, self._clock.new_id())
        keyed = self._new_keyed(table, 0)
        await self._commit(keyed, table)

    # Committing.

    async def _commit(
        self, keyed: planning.KeyedService, table: ranges.RangeTable
    ) -> bool:
        """Writes a table and has it carried out.

        Returns:
            Whether it is in force.
        """
        entry = self._entry
        if entry is None:
            return False
        wrong = ranges.find_problem(table)
        if wrong:
            self._events.write(
                "leader", "table_refused", service=table.service, why=wrong
            )
            return False
        settled = keyed.reconciler.settled()
        if settled:
            table = _without_settled(table, settled)
        pace = self._settings.leader.renewal_pace(len(table.ranges))
        if pace.hold > max(table.hold, self._settings.leader.hold):
            table = msgspec.structs.replace(table, hold=pace.hold)
        key = messages.table_key(table.service)
        expected = {
            messages.LEADER_KEY: self._revision,
            key: keyed.revision,
        }
        write = ports.Write(key, messages.encode(table))
        asked = self._clock.boottime()
        written = await self._store.commit(expected, (write,))
        if self._entry is not entry:
            return False
        if isinstance(written, result.Ok):
            self._lease.confirm(asked)
            self._take(keyed, table, written.ok_value)
            return True
        if isinstance(written.err_value, errors.Failure):
            self._store_failed(written.err_value, asked)
            if written.err_value.kind is errors.ErrorKind.STORE_UNAVAILABLE:
                return False
        return await self._resolve(keyed, table)

    async def _resolve(
        self, keyed: planning.KeyedService, table: ranges.RangeTable
    ) -> bool:
        """Finds out what became of a commit without an answer.

        The write may be carried out later, as long as its condition holds. So
        what is read now may change; the next commit carries the same
        condition, and only one of the two can be carried out.
        """
        key = messages.table_key(table.service)
        read = await self._store.read(key)
        if isinstance(read, result.Err) or self._entry is None:
            return False
        await self._confirm()
        item = read.ok_value
        if self._entry is None or item is None:
            return False
        found = self._decoded_table(item)
        if found is None:
            return False
        if item.revision != keyed.revision:
            self._take(keyed, found, item.revision)
        return found.commit == table.commit

    def _take(
        self,
        keyed: planning.KeyedService,
        table: ranges.RangeTable,
        revision: int,
    ) -> None:
        fresh = keyed.table.next_fence
        stale = {item.owner for item in table.ranges if item.fence < fresh}
        renewed = table.owners() - stale
        keyed.table = table
        keyed.revision = revision
        self._services[table.service] = keyed
        keyed.reconciler.follow(table)
        keyed.reconciler.refenced(renewed)
        self._published()

    async def hand_over(self, seconds: float) -> None:
        """Has another VM take over before this one stops.

        Args:
            seconds: Longest wait for it.
        """
        if self._entry is None:
            return
        successors = self._ask_others()
        if not successors:
            return
        self._events.write("leader", "hands_over", successors=successors)
        ends = self._clock.now() + seconds
        while self.leading and self._clock.now() < ends:
            await asyncio.sleep(0.05)

    def dump(self) -> dict[str, object]:
        """Returns the state of leadership."""
        return {
            "leading": self.leading,
            "epoch": self._entry.epoch if self._entry else None,
            "witnesses": self._witnesses.dump() if self._witnesses else [],
            "tables": {
                name: {
                    "version": keyed.table.version,
                    "ranges": len(keyed.table.ranges),
                    "grants": keyed.reconciler.dump(),
                }
                for name, keyed in self._services.items()
            },
        }


def _without_settled(
    table: ranges.RangeTable, settled: Mapping[ranges.Piece, Iterable[int]]
) -> ranges.RangeTable:
    """Drops settled formers of pieces that a change has left as they were."""
    cleaned = ranges.remove_released(table, settled, table.commit)
    return msgspec.structs.replace(cleaned, version=table.version)
