"""Membership of entry VMs: registration, reports to the leader, failover."""

import asyncio
import collections
from collections.abc import Iterable
import zlib

import msgspec
import result

from mimosastile_core import quarantine
from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import forwarding_peers
from mimosastile_core.gateway import freshness
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import path_proofs
from mimosastile_core.gateway import target_speeds
from mimosastile_gateway import admission_service
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import leader_role
from mimosastile_gateway import messages
from mimosastile_gateway import path_succession
from mimosastile_gateway import peer_calls
from mimosastile_gateway import ports
from mimosastile_gateway import reach_monitoring
from mimosastile_gateway import settings
from mimosastile_gateway import store_watching
from mimosastile_gateway import view_monitoring
from mimosastile_gateway import wait_queues

_SESSION_SHARE = 0.3
"""Part of a session lease after which it is renewed; leaves time for two
retries."""
_CALL_TIMEOUT_SECONDS = leader_role.MAX_REPLY_DELAY_SECONDS
"""Longest wait for a peer's response: sixteen round trips to the farthest
region, or the retransmission of one lost packet."""
_RELAY_TIMEOUT_SECONDS = 0.3
"""Longest wait for a VM of the same zone to which a leader's update is relayed.
It is shorter than the leader's wait for this VM; the leader itself sends the
update to those that have not responded."""
_KEYS_PER_REPORT = 256
"""Largest number of keys in one report; the first keys serve as a sample."""
_MIN_FACTOR_CHANGE = 0.1
"""Relative change of a target's slowness from which it is reported."""
_START_GRACE_SECONDS = 2.0
"""Mean time for which a VM waits for a leader after its start before it reads
the store by itself; jitter changes it by up to a half. When all VMs start at
once, one leads within a second, and its updates are a tenth of the size of what
each VM would read from the store."""
_LED_START_GRACE_SECONDS = 6.0
"""The same while a leader is recorded that does not respond yet: hundreds of
VMs that start together get their updates within a few seconds, unless they fill
the links with their own reads."""
_FEW_VMS = 30
"""Largest number of VMs that take over in order of rank, and that all read the
complete state from the store."""
_JITTER_SECONDS_PER_VM = 0.012
"""Seconds for each VM over which VMs that have lost their leader start to read
the configuration."""
_MAX_JITTER_SECONDS = 1.2
"""Upper bound of that time: there is a new leader after about a second."""
_LATENCY_WAIT_FACTOR = 10.0
"""Multiple of the store's latency for which a VM without knowledge of the other
VMs lets them take over first: a leader in another region than the store updates
tables slowly."""
_MAX_LATENCY_WAIT_SECONDS = 0.5
"""Upper bound of that wait."""
_VM_LIST_MAX_AGE_SECONDS = 30.0
"""Age up to which a list of VMs is used to select peers for a query."""
_LOOKUP_SECONDS = 0.6
"""Time over which VMs that do not know their number spread their lookups of the
leader."""
_LOOKUP_SECONDS_PER_VM = 0.02
"""The same for each VM if there are many: the first VM that looks has taken
over before the next ten look."""
_HASH_RANGE = 1 << 32
_MIN_EARLY_REPORT_SECONDS = 0.3
"""Shortest time from a report to an early one, sent because a target is at
capacity."""
_FIND_LEADER_SECONDS = 2.0
"""Time without a leader after which a VM looks for one in the store, and
interval of such lookups."""
_PEERS_VALID_SECONDS = 1.5
"""Least age up to which a leader's list of peers is used, and for which a VM
asks for it after a request had to be forwarded."""
_PEERS_VALID_REPORTS = 2.0
"""The same as a number of reports, which are less frequent among many VMs."""
_PATH_KNOWN_SECONDS = 3.0
"""Age up to which such a list shows that other VMs can lead better: longer than
leaders are usually missed before they are replaced."""
_QUERIED_PEERS = 3
"""Number of peers that are queried whether they receive messages from the
leader, before it is replaced."""


class Membership:
    """Registers this VM, reports to the leader and replaces a failed leader."""

    __slots__ = (
        "_address",
        "_admission",
        "_alive",
        "_balancer",
        "_boot",
        "_calls",
        "_clock",
        "_clock_offset",
        "_cluster",
        "_confirmed_leaving",
        "_crashes",
        "_crash_reports",
        "_ended",
        "_events",
        "_follow_requested",
        "_follows_store",
        "_forwarding_peers",
        "_found_at",
        "_full_target_requests",
        "_keys",
        "_leader",
        "_leader_evacuations",
        "_leader_responded",
        "_leader_revision",
        "_leader_seen_at",
        "_leader_version",
        "_misses",
        "_monitor",
        "_peers",
        "_peers_listed_at",
        "_peers_wanted_at",
        "_prover",
        "_queues",
        "_report_due",
        "_reported_at",
        "_reported_leaving",
        "_sent_factors",
        "_session",
        "_settings",
        "_start_spread",
        "_started_at",
        "_store",
        "_store_seconds",
        "_synced_leader",
        "_tasks",
        "_views",
        "_vms",
        "_vms_read_at",
        "_watcher",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        boot: str,
        store: ports.StorePort,
        calls: peer_calls.PeerCalls,
        state: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        leader: leader_role.LeaderRole,
        queues: wait_queues.WaitQueues,
        admission: admission_service.AdmissionService,
        watcher: store_watching.StoreWatcher,
        crashes: crash_detection.CrashDetector,
        monitor: reach_monitoring.ReachMonitor,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        self._settings = configured
        self._boot = boot
        self._store = store
        self._calls = calls
        self._cluster = state
        self._balancer = balancer
        self._leader = leader
        self._queues = queues
        self._admission = admission
        self._watcher = watcher
        self._crashes = crashes
        self._monitor = monitor
        self._views = view_monitoring.ViewMonitor(
            configured.store, state, timer, log
        )
        self._prover = path_succession.PathProver(state, monitor, log)
        monitor.on_change = self.report_soon
        self._clock = timer
        self._events = log
        self._address = configured.vm.peers
        self._session = 0
        self._report_due = asyncio.Event()
        self._leader_responded = asyncio.Event()
        self._start_spread = 1.0
        self._started_at = float("-inf")
        self._found_at = float("-inf")
        self._reported_at = float("-inf")
        self._store_seconds = 0.0
        self._leader_seen_at = float("-inf")
        self._keys: dict[str, list[int]] = collections.defaultdict(list)
        self._alive: set[str] = set()
        self._crash_reports = crash_detection.CrashReports(crashes)
        self._ended: list[messages.EndedTarget] = []
        self._misses: list[messages.OwnershipMiss] = []
        self._full_target_requests: collections.Counter[str] = (
            collections.Counter()
        )
        self._vms = 1
        self._vms_read_at = float("-inf")
        self._peers: tuple[messages.VmEntry, ...] = ()
        self._forwarding_peers: tuple[forwarding_peers.Peer, ...] = ()
        self._peers_listed_at = float("-inf")
        self._peers_wanted_at = float("-inf")
        self._sent_factors: dict[str, float] = {}
        self._synced_leader: leadership.LeaderEntry | None = None
        self._clock_offset: freshness.ClockOffset | None = None
        self._confirmed_leaving: dict[str, int] = {}
        self._reported_leaving: dict[str, messages.LeavingTarget] = {}
        self._leader_revision = 0
        self._leader_version = -1
        self._leader_evacuations = eligibility.Evacuations()
        self._follow_requested = False
        self._follows_store = True
        self._tasks = background_tasks.BackgroundTasks(log)

    @property
    def entry(self) -> messages.VmEntry:
        """The entry under which this VM is registered."""
        vm = self._settings.vm
        return messages.VmEntry(
            vm.id,
            self._boot,
            self._address,
            vm.zone,
            vm.strength,
            self._store_seconds,
        )

    @property
    def outdated_views(self) -> frozenset[str]:
        """Names of this VM's views of the store that nobody refreshes."""
        return self._views.outdated

    @property
    def follows_store(self) -> bool:
        """Whether this VM reads the store itself, with or without a leader."""
        return self._follows_store

    @property
    def count(self) -> int:
        """Number of VMs that share the load, as far as known; at least 1."""
        return max(len(self._cluster.vms), self._vms, 1)

    def set_address(self, address: str) -> None:
        """Sets the address on which this VM listens for its peers."""
        self._address = address
        self._leader.address = address
        self._admission.address = address

    def start(self) -> None:
        """Starts the tasks that register this VM and send its reports."""
        self._leader_seen_at = self._started_at = self._clock.now()
        self._start_spread = 0.5 + self._clock.random()
        self._tasks.keep("register", self._register)
        self._tasks.keep("report", self._report_on)

    def abort(self) -> None:
        """Cancels all tasks at once, without deregistration."""
        self._tasks.cancel()

    async def stop(self) -> None:
        """Cancels all tasks and deregisters this VM."""
        self.abort()
        if self._session:
            await self._store.end_session(self._session)

    def record_request(self, service: str, key: int) -> None:
        """Records a request for a key."""
        keys = self._keys[service]
        if len(keys) < _KEYS_PER_REPORT:
            keys.append(key)

    def record_response(self, target: str) -> None:
        """Records that a target responds."""
        self._alive.add(target)

    def report_crashes(self, deaths: list[quarantine.Crash]) -> None:
        """Records confirmed crashes of targets."""
        self._crash_reports.add(crash.id for crash in deaths)
        self.report_soon()

    def record_end(self, target: directory.Target) -> None:
        """Records that another target responds at a target's address."""
        self._ended.append(
            messages.EndedTarget(target.id, target.born, target.address)
        )
        self._cluster.end_incarnation(target.id, target.born, target.address)

    def report_full_target(self, target: str) -> None:
        """Records a request that was refused because a target is full.

        Requests that are refused at once are in no queue; without this record
        the leader would not see the demand for the target.
        """
        self._full_target_requests[target] += 1
        self.report_soon()

    def report_soon(self) -> None:
        """Triggers an early report.

        Used when a target without an admission gate is at capacity.
        """
        if self._clock.now() - self._reported_at > _MIN_EARLY_REPORT_SECONDS:
            self._report_due.set()

    async def report_and_wait(self, seconds: float) -> None:
        """Triggers an early report and waits for the leader's response.

        Args:
            seconds: Longest wait.
        """
        self.report_soon()
        await clock.wait(self._leader_responded, seconds)

    @property
    def _report_interval(self) -> float:
        """Mean seconds between two reports."""
        configured = self._settings.leader
        return configured.report + configured.report_per_vm * self.count

    @property
    def _peers_valid_seconds(self) -> float:
        """Age up to which a leader's list of peers is used."""
        return max(
            _PEERS_VALID_SECONDS, _PEERS_VALID_REPORTS * self._report_interval
        )

    def request_peers(self) -> None:
        """Asks the leader for peers to forward requests to."""
        now = self._clock.now()
        if now - self._peers_wanted_at > self._peers_valid_seconds:
            self.report_soon()
        self._peers_wanted_at = now

    def forwarding_peers(self) -> Iterable[forwarding_peers.Peer]:
        """Returns the peers that may reach what this VM does not.

        Without a recent list of the leader, these are the leader and the VMs
        that were last read from the store, unless there are many VMs: their
        requests would overload the leader. A list without peers says that no VM
        reaches more.
        """
        age = self._clock.now() - self._peers_listed_at
        if age < self._peers_valid_seconds:
            return self._forwarding_peers
        if self.count > _FEW_VMS:
            return ()
        here = self._settings.vm.id
        known = {vm.id: vm for vm in self._peers} | self._cluster.vms
        peers = {
            vm.address: forwarding_peers.Peer(vm.address, vm.zone)
            for vm in known.values()
            if vm.id != here
        }
        leader = self._cluster.leader
        if leader is not None and leader.vm != here:
            peers.setdefault(
                leader.address, forwarding_peers.Peer(leader.address, "")
            )
        return peers.values()

    def report_miss(self, service: str, key: int, target: str) -> None:
        """Records that a target rejected a key that it should own."""
        if len(self._misses) < _KEYS_PER_REPORT:
            self._misses.append(messages.OwnershipMiss(service, key, target))

    def leader_contact(self) -> messages.LeaderContact:
        """Returns this VM's view of the leader, for a peer's query."""
        seconds = self._clock.now() - self._leader_seen_at
        if self._leader.is_leader:
            seconds = 0.0
        return messages.LeaderContact(
            self._cluster.leader,
            seconds,
            tuple(self._cluster.assignments.values()),
        )

    def _made_at(self, update: messages.ReportReply) -> float | None:
        """Returns a time at or before which the leader made an update.

        Returns:
            The time; None if this VM has no estimate of that leader's clock.
        """
        stamp = (
            self._clock_offset if update.leader == self._synced_leader else None
        )
        if stamp is None or update.stamp is None:
            return None
        return stamp.from_peer(update.stamp)

    def _apply_update(
        self, reply: messages.ReportReply, made_at: float | None
    ) -> None:
        """Applies a leader's update of keys, targets and configuration.

        Args:
            reply: The response or update that contains them.
            made_at: Time at or before which the leader made it, None if
                unknown.
        """
        self._cluster.apply_limits(reply.limits)
        self._cluster.apply_leaving(reply.leaving)
        for assignment in reply.assignments:
            self._cluster.apply_assignment(assignment)
        for difference in reply.differences:
            self._cluster.apply_difference(difference)
        if reply.state_update is not None:
            self._cluster.apply_update(reply.state_update, made_at)

    # Registration.

    async def _register(self) -> None:
        least = self._settings.store.retry_least
        most = self._settings.store.session * _SESSION_SHARE
        pause = least
        while True:
            if await self._registered():
                pause = least
                await asyncio.sleep(most)
            else:
                # Most requests to a store that is down are registrations of
                # VMs, which are not urgent.
                await asyncio.sleep(pause * (0.5 + self._clock.random()))
                pause = min(pause * 2, most)

    async def _registered(self) -> bool:
        """Renews the lease of this VM's entry, or creates both.

        Returns:
            Whether that succeeded.
        """
        if self._session:
            kept = await self._store.keep_session(self._session)
            if isinstance(kept, result.Ok):
                self._cluster.record_store_status(ok=True)
                return True
            if isinstance(kept.err_value, ports.SessionLost):
                self._events.write(
                    "peers", "registration_lapsed", session=self._session
                )
                self._session = 0
            else:
                self._cluster.record_store_status(
                    ok=False, why=kept.err_value.detail
                )
            return False
        requested_at = self._clock.now()
        opened = await self._store.open_session(self._settings.store.session)
        if isinstance(opened, result.Err):
            return False
        latency = self._clock.now() - requested_at
        self._store_seconds = min(self._store_seconds or latency, latency)
        session = opened.ok_value.id
        entry = self.entry
        write = ports.Write(
            messages.vm_key(entry.id),
            msgspec.json.encode(entry),
            session,
        )
        written = await self._store.commit({}, (write,))
        if isinstance(written, result.Err):
            return False
        self._session = session
        if self._synced_leader is None:
            # No leader has responded to this VM yet. A stale read is enough to
            # find one, and costs a tenth.
            await self._list_leader()
        self._report_due.set()
        return True

    async def read_store(self) -> bool:
        """Reads the leader and all tables from the store.

        Returns:
            Whether the store responded.
        """
        listed = await self._store.list(messages.STORE_PREFIX)
        if isinstance(listed, result.Err):
            self._cluster.record_store_status(
                ok=False, why=listed.err_value.detail
            )
            return False
        self._cluster.record_store_status(ok=True)
        for item in listed.ok_value.items:
            self._take_item(item)
        return True

    async def _read_vms(self) -> None:
        """Reads the registered VMs, or only some if there are many.

        A recent list is reused.
        """
        now = self._clock.now()
        if self._peers and now - self._vms_read_at < _VM_LIST_MAX_AGE_SECONDS:
            return
        self._vms_read_at = now
        here = self._settings.vm.id
        if not self._few:
            group = messages.vm_group(here)
            listed = await self._store.list(group, stale=True)
            if isinstance(listed, result.Err):
                return
            found = self._cluster.read_vms(listed.ok_value.items)
            self._peers = tuple(vm for vm in found if vm.id != here)
            if len(self._peers) >= _QUERIED_PEERS:
                return
        listed = await self._store.list(messages.VM_PREFIX, stale=True)
        if isinstance(listed, result.Ok):
            self._cluster.replace_vms(listed.ok_value.items)
            registered = self._cluster.vms.values()
            self._peers = tuple(vm for vm in registered if vm.id != here)

    def _take_item(self, item: ports.Item) -> None:
        """Applies a leader entry or a table from the store."""
        why = ""
        if item.key == messages.LEADER_KEY:
            entry = messages.decode(item.value, leadership.LeaderEntry)
            if isinstance(entry, result.Ok):
                self._take_leader(entry.ok_value)
            else:
                why = entry.err_value
        elif item.key.startswith(messages.TABLE_PREFIX):
            read = messages.decode_table(item)
            if isinstance(read, result.Ok):
                table = read.ok_value
                pieces = {part.piece for part in table.ranges}
                self._cluster.apply_assignment(
                    assignments.from_table(table, (0, table.version), pieces)
                )
            else:
                why = read.err_value
        if why:
            self._events.write(
                "peers", "entry_unreadable", key=item.key, why=why
            )

    def _take_leader(self, entry: leadership.LeaderEntry) -> None:
        """Follows a leader if its epoch is later than the current one's."""
        if self._cluster.record_leader(entry):
            self._leader_seen_at = self._clock.now()
            self._leader.step_down_if_outranked(entry)
            self._report_due.set()

    # Reports.

    async def _report_on(self) -> None:
        """Reports at intervals, and at once when there is a new leader.

        After an outage of all VMs, no caller is served until one VM leads and
        has received the others' reports. Half of that time would be waiting
        for the next interval.
        """
        while True:
            interval = self._report_interval
            interval *= 0.9 + 0.2 * self._clock.random()
            await clock.wait(self._report_due, interval)
            self._report_due.clear()
            await self._report_once()

    async def _report_once(self) -> None:
        """Reports to the leader; looks for one if there is no response."""
        self._reported_at = self._clock.now()
        self._views.update(
            self._report_interval, follows_store=self._follows_store
        )
        report = self._make_report()
        if self._leader.is_leader:
            reply = self._leader.handle_report(report)
            self._take_reply(reply)
            return
        leader = self._cluster.leader
        if leader is not None and leader.vm != self._settings.vm.id:
            response = await self._send_report(leader.address, report)
            if response is not None:
                self._take_reply(response)
                if response.leading:
                    return
        await self._without_leader()

    async def _without_leader(self) -> None:
        """Falls back to the store after the leader did not respond."""
        silent = self._clock.now() - self._leader_seen_at
        leader = self._cluster.leader
        if silent > self._grace():
            # Now the VM depends on its own watch, which may be broken.
            self._follow_store(
                True, read_delay=self._read_delay(), closely=self._few
            )
        if leader is None or leader.vm == self._settings.vm.id:
            # There is no leader, or an earlier incarnation of this daemon led.
            await self._replace_leader(silent + self._settings.leader.suspect)
        elif silent > self._settings.leader.suspect:
            await self._replace_leader(silent)

    def _grace(self) -> float:
        """Returns the seconds to wait before this VM follows the store itself.

        While VMs start, targets register as well; each VM that watched the
        store by itself would read all these registrations.
        """
        led = self._cluster.leader is not None
        grace = self._start_spread * (
            _LED_START_GRACE_SECONDS if led else _START_GRACE_SECONDS
        )
        started = self._clock.now() - self._started_at > grace
        return 0.0 if started and self._cluster.seen else grace

    def _make_report(self) -> messages.Report:
        """Returns the next report and resets what was recorded for it."""
        keys, self._keys = dict(self._keys), collections.defaultdict(list)
        misses, self._misses = tuple(self._misses), []
        wanted, self._full_target_requests = (
            self._full_target_requests,
            collections.Counter(),
        )
        wanted.update(self._queues.lengths())
        wanted.update(self._admission.waiting_counts())
        ended, self._ended = tuple(self._ended), []
        alive, self._alive = tuple(self._alive), set()
        leader = self._cluster.leader
        return messages.Report(
            self.entry,
            self._cluster.store_ok,
            keys,
            self._balancer.own(),
            wanted,
            self._works(),
            self._changed_factors(),
            alive,
            self._crash_reports.due(self._clock.now()),
            ended,
            misses,
            self._cluster.versions(),
            self._cluster.seen,
            self._cluster.version,
            self._cluster.configuration_seen,
            self._own_update(),
            self._admission.stopping,
            self._leader.extended_grants_seconds(),
            leader.epoch if leader else -1,
            self._leader.witness.promised_seconds(),
            self._cluster.evacuations,
            self._cluster.limits.unknown_to_leader(self._clock.now()),
            self._unreported_leaving(),
            self._cluster.backoffs.long_backoffs(self._clock.now()),
            *self._complete_at(),
            tuple(sorted(self._monitor.isolated)),
            len(self._monitor.unreachable()),
            self._clock.now() - self._peers_wanted_at
            < self._peers_valid_seconds,
            led_epoch=self._leader.led_epoch,
            running=self._leader.running_seconds,
            own_extended=self._leader.own_extended_seconds(),
            demand=self._cluster.route_limits.take_demand(
                lambda route: self._balancer.work(route, 0.0),
                self._clock.now(),
            ),
            speeds=self._measured_speeds(),
            registrations_revision=self._cluster.registrations_revision,
            withdrawn_crashes=self._crashes.disproved(self._clock.now()),
        )

    def _measured_speeds(self) -> dict[str, target_speeds.SpeedSample]:
        """Returns the samples of targets' speeds since the last report.

        A new leader gets the standing estimates of all targets instead.
        """
        now = self._clock.now()
        synced = self._synced_leader == self._cluster.leader
        return self._balancer.take_speeds(now, standing=not synced)

    def _complete_at(self) -> tuple[float | None, float | None]:
        """Returns when this VM's views of the store were complete.

        Returns:
            Times of the leader's clock, for registrations and configuration;
            None for those that are unknown or come from the leader itself.
        """
        stamp = self._clock_offset
        same = self._synced_leader == self._cluster.leader
        if stamp is None or not same or not self._follows_store:
            return None, None
        views = (
            self._cluster.registrations_freshness.at,
            self._cluster.configuration_freshness.at,
        )
        seen, operated = (
            None if at is None else stamp.to_peer(at) for at in views
        )
        return seen, operated

    def _unreported_leaving(self) -> tuple[messages.LeavingTarget, ...]:
        """Returns leaving targets that were not reported to the leader yet.

        The next response to a report confirms that the leader received them.
        """
        self._reported_leaving = self._cluster.leaving_updates()
        return tuple(
            leaving
            for name, leaving in self._reported_leaving.items()
            if self._confirmed_leaving.get(name) != leaving.born
        )

    def _changed_factors(self) -> dict[str, float]:
        """Returns slowness factors that changed since the leader got them."""
        sent = self._sent_factors
        changed = {
            target: factor
            for target, factor in self._balancer.factors().items()
            if abs(factor - sent.get(target, 1.0)) > _MIN_FACTOR_CHANGE * factor
        }
        sent.update(changed)
        return changed

    def _own_update(self) -> messages.StateUpdate | None:
        """Returns changes from the store that the leader is missing.

        A leader that is cut off from the store gets them from the VMs that it
        has requested to watch the store as well. Before its first response,
        this VM does not know what is missing and would send everything.
        """
        synced = self._synced_leader == self._cluster.leader
        if self._leader.is_leader or not synced or not self._follow_requested:
            return None
        return self._cluster.updates_since(
            self._leader_revision,
            self._leader_version,
            self._leader_evacuations,
        )

    def _rely(self, reply: messages.ReportReply) -> None:
        """Decides from a leader's response whether to follow the store."""
        here = self._settings.vm.id
        chosen = here in reply.watchers or self._leader.is_leader
        reported_at = self._reported_at
        self._cluster.record_view_ages(
            reply.newest_revision,
            None if reply.seen_age is None else reported_at - reply.seen_age,
            reply.configuration,
            reply.evacuations,
            None
            if reply.configuration_age is None
            else reported_at - reply.configuration_age,
        )
        self._leader_revision = reply.seen
        self._leader_version = reply.configuration
        self._leader_evacuations = reply.evacuations
        self._cluster.confirm_configuration(
            reply.configuration,
            reply.configuration_seen,
            reply.evacuations.zones,
        )
        # A leader may go on without noticing that its view stands still.
        outdated = bool(self._views.outdated)
        self._follow_requested = chosen or not reply.store or outdated
        self._follow_store(
            self._follow_requested,
            read_delay=self._read_delay() if outdated else 0.0,
        )

    def _read_delay(self) -> float:
        """Returns the mean delay of large reads after the loss of a leader.

        The next leader usually sends its update within that time.
        """
        if self.count == 1:
            # There may be hundreds.
            return _MAX_JITTER_SECONDS
        return min(_JITTER_SECONDS_PER_VM * self.count, _MAX_JITTER_SECONDS)

    def _follow_store(
        self, follows: bool, *, read_delay: float = 0.0, closely: bool = False
    ) -> None:
        """Switches between following the store and relying on the leader."""
        self._follows_store = follows
        self._watcher.set_leader_reliable(
            not follows,
            read_delay=read_delay,
            closely=closely or self._leader.is_leader,
        )

    def _works(self) -> dict[str, float]:
        """Returns the mean request duration of services with their own route.

        Returns:
            Seconds by service.
        """
        configuration = self._cluster.configuration
        if configuration is None:
            return {}
        return {
            route.parts[0].service: round(
                self._balancer.work(route.name, 0.0), 4
            )
            for route in configuration.routes
            if len(route.parts) == 1 and self._balancer.work(route.name, 0.0)
        }

    async def _send_report(
        self, address: str, report: messages.Report
    ) -> messages.ReportReply | None:
        """Sends a report; returns None without a readable response."""
        response = await self._calls.call(
            address,
            messages.REPORT_PATH,
            messages.encode(report),
            _CALL_TIMEOUT_SECONDS,
        )
        if response is None:
            return None
        read = messages.decode(response, messages.ReportReply)
        if isinstance(read, result.Err):
            self._events.write(
                "peers", "reply_unreadable", peer=address, why=read.err_value
            )
            return None
        return read.ok_value

    def _take_reply(self, reply: messages.ReportReply) -> None:
        """Applies the response to a report."""
        now = self._clock.now()
        if reply.leader is not None:
            self._take_leader(reply.leader)
        if not reply.leading:
            return
        self._leader_seen_at = now
        self._leader.handle_reply(reply)
        self._vms = reply.vms
        if reply.peers is not None:
            self._forwarding_peers = reply.peers
            self._peers_listed_at = now
        for death in reply.crashes:
            self._crashes.record_crash(death, now)
        self._crashes.withdraw(reply.withdrawn_crashes, now)
        if reply.stamp is not None:
            self._clock_offset = freshness.ClockOffset(
                reply.stamp, self._reported_at, now
            )
        if reply.leader != self._synced_leader:
            # A new leader has nothing of what its predecessor received.
            self._synced_leader = reply.leader
            self._sent_factors = {}
            self._confirmed_leaving = {}
            self._crash_reports.repeat()
        else:
            self._crash_reports.confirm()
            self._confirmed_leaving = {
                name: leaving.born
                for name, leaving in self._reported_leaving.items()
            }
        epoch = reply.leader.epoch if reply.leader else -1
        self._cluster.route_limits.apply(reply.shares, epoch, now)
        self._balancer.assume_speeds(reply.speeds)
        self._balancer.record_other_requests(reply.under_way, now)
        self._balancer.replace_gates(reply.gates, now)
        self._cluster.limits.record_leader_view(reply.limits, now)
        self._apply_update(reply, self._reported_at)
        self._rely(reply)
        self._leader_responded.set()
        self._leader_responded = asyncio.Event()
        if reply.take_over and reply.leader == self._cluster.leader:
            # A leader that was replaced meanwhile must not ask.
            self._take_over_soon(reply.path_proof)

    def _take_over_soon(self, path_proof: path_proofs.PathProof | None) -> None:
        """Starts to take over as the leader, at the leader's request.

        Args:
            path_proof: What this VM has to reach before; None for nothing.
        """
        if self._admission.stopping:
            return
        if path_proof is None and self._leader.lacks_path:
            return
        self._tasks.start(
            "take-over",
            self._take_over_on_request()
            if path_proof is None
            else self._prover.take_over(path_proof, self._take_over_on_request),
        )

    async def _take_over_on_request(self) -> None:
        # A stop may have begun while this VM proved its path.
        if not self._admission.stopping:
            await self._take_over("requested by leader")

    def apply_push(self, update: messages.ReportReply) -> None:
        """Applies an update that a leader has sent unrequested."""
        if update.leader is not None:
            self._take_leader(update.leader)
        leader = self._cluster.leader
        if not update.leading or update.leader != leader:
            return
        self._balancer.add_gates(update.gates)
        self._apply_update(update, self._made_at(update))
        if update.take_over:
            self._take_over_soon(update.path_proof)

    async def relay(self, relay: messages.Relay) -> messages.Relayed:
        """Applies a leader's update for a zone, and relays it in the zone.

        Returns:
            The VMs that did not respond.
        """
        relaying = asyncio.gather(
            *(
                self._calls.call(
                    address,
                    messages.ASSIGN_PATH,
                    relay.update,
                    _RELAY_TIMEOUT_SECONDS,
                )
                for address in relay.addresses
            )
        )
        # Lets the calls start before this VM applies the update itself.
        await asyncio.sleep(0)
        update = messages.decode(relay.update, messages.ReportReply)
        if isinstance(update, result.Ok):
            self.apply_push(update.ok_value)
        else:
            self._events.write(
                "peers", "message_unreadable", why=update.err_value
            )
        responses = await relaying
        return messages.Relayed(
            tuple(
                address
                for address, response in zip(
                    relay.addresses, responses, strict=True
                )
                if response is None
            )
        )

    # Replacing a leader.

    async def _replace_leader(self, silent: float) -> None:
        """Finds the current leader, or takes over.

        Args:
            silent: Seconds since the last message of a leader.
        """
        limit = self._settings.leader.suspect
        if silent < limit + self._lookup_wait():
            await self._find_leader(silent)
            return
        if self._cluster.leader is None:
            wait = self._take_over_wait(None)
            if silent < limit + wait:
                await self._find_leader(silent)
                return
        if not await (self.read_store() if self._few else self._read_leader()):
            return
        leader = self._cluster.leader
        if leader is not None and leader.vm != self._settings.vm.id:
            if self._clock.now() - self._leader_seen_at < limit:
                # The store has just named a new leader.
                return
            await self._read_vms()
            wait = self._take_over_wait(leader)
            if silent < limit + wait or await self._peers_reach(leader):
                return
        await self._take_over("no leader reachable")

    async def _find_leader(self, silent: float) -> None:
        """Looks up a leader whose announcement has not reached this VM.

        Args:
            silent: Seconds since the last message of a leader.
        """
        now = self._clock.now()
        if self._cluster.leader is not None:
            return
        if (
            silent < _FIND_LEADER_SECONDS
            or now - self._found_at < _FIND_LEADER_SECONDS
        ):
            return
        self._found_at = now
        await self._list_leader()

    async def _list_leader(self) -> None:
        """Reads the leader's entry by a stale read, for a tenth of the cost.

        The entry may be a few seconds old.
        """
        listed = await self._store.list(messages.LEADER_KEY, stale=True)
        if isinstance(listed, result.Ok):
            for item in listed.ok_value.items:
                self._take_item(item)

    async def _read_leader(self) -> bool:
        """Reads the leader's entry; returns whether the store responded."""
        read = await self._store.read(messages.LEADER_KEY)
        if isinstance(read, result.Err):
            self._cluster.record_store_status(
                ok=False, why=read.err_value.detail
            )
            return False
        self._cluster.record_store_status(ok=True)
        if read.ok_value is not None:
            self._take_item(read.ok_value)
        return True

    @property
    def _few(self) -> bool:
        """Whether all VMs may read lists and tables when a leader is lost.

        Not if this VM has no record of any other: it may be one of hundreds.
        """
        return 1 < self.count <= _FEW_VMS

    def _lookup_wait(self) -> float:
        """Returns the seconds to wait before this VM reads from the store.

        If all VMs read lists of hundreds of VMs and tables of thousands of
        ranges at once, these fill the link between regions for longer than any
        VM waits for a response; the retries would keep it full for ever. The
        first few VMs are enough to look, and the next leader announces itself.
        """
        if self.count == 1:
            latency_wait = min(
                _LATENCY_WAIT_FACTOR * self._store_seconds,
                _MAX_LATENCY_WAIT_SECONDS,
            )
            return _LOOKUP_SECONDS * self._jitter() + latency_wait
        if self._few:
            return 0.0
        return _LOOKUP_SECONDS_PER_VM * self.count * self._jitter()

    def _jitter(self) -> float:
        """Returns a pseudo-random number from 0 to 1, new for each epoch."""
        leader = self._cluster.leader
        epoch = leader.epoch if leader else 0
        seed = f"{self._settings.vm.id}/{self._boot}/{epoch}".encode()
        return zlib.crc32(seed) / _HASH_RANGE

    def _take_over_wait(self, leader: leadership.LeaderEntry | None) -> float:
        """Returns the seconds for which better VMs may take over first."""
        configured = self._settings.leader
        weakness = 1.0 - self._settings.vm.strength
        if self._leader.lacks_path and self._peers_had_path():
            # A leader without a path to targets cannot renew grants.
            weakness = 1.0
        if self._few:
            ranked = configured.rank_wait * self._rank(leader)
        else:
            ranked = self._lookup_wait()
        return ranked + configured.weak_wait * weakness

    def _peers_had_path(self) -> bool:
        """Whether the last leader has lately listed VMs with a path."""
        age = self._clock.now() - self._peers_listed_at
        return bool(self._forwarding_peers) and age < _PATH_KNOWN_SECONDS

    def _rank(self, leader: leadership.LeaderEntry | None) -> int:
        """Returns the number of VMs that should take over before this one."""
        epoch = leader.epoch if leader else 0
        former = leader.vm if leader else ""
        here = self._settings.vm

        def order(
            entry: messages.VmEntry,
        ) -> tuple[bool, tuple[float, int], int]:
            # Ties are broken by a hash that changes with each epoch.
            seed = f"{entry.id}/{epoch}".encode()
            return entry.id == former, entry.order, zlib.crc32(seed)

        candidates = {**self._cluster.vms, here.id: self.entry}
        ranked = sorted(candidates.values(), key=order)
        return [entry.id for entry in ranked].index(here.id)

    async def _peers_reach(self, leader: leadership.LeaderEntry) -> bool:
        """Queries a few peers whether they receive the leader's messages.

        Without this check, a VM that is cut off from the leader alone would
        replace it, and two such VMs would replace each other for ever.
        """
        others = [
            entry
            for entry in self._peers or self._cluster.vms.values()
            if entry.id not in (leader.vm, self._settings.vm.id)
        ]
        others.sort(key=lambda _: self._clock.random())
        responses = await asyncio.gather(
            *(
                self._calls.call(
                    entry.address,
                    messages.LEADER_CONTACT_PATH,
                    b"{}",
                    _CALL_TIMEOUT_SECONDS,
                )
                for entry in others[:_QUERIED_PEERS]
            )
        )
        for body in responses:
            if body is not None and self._is_reached(body, leader):
                return True
        return False

    def _is_reached(self, body: bytes, leader: leadership.LeaderEntry) -> bool:
        """Evaluates a peer's view of the leader, and applies what is newer.

        Args:
            body: The peer's encoded response.
            leader: The leader that this VM does not reach.

        Returns:
            Whether the peer has recently received messages from that leader,
            or follows a later one.
        """
        read = messages.decode(body, messages.LeaderContact)
        if isinstance(read, result.Err):
            self._events.write("peers", "reply_unreadable", why=read.err_value)
            return False
        view = read.ok_value
        if view.leader is None or view.leader.epoch < leader.epoch:
            return False
        if view.leader.epoch > leader.epoch:
            self._take_leader(view.leader)
            return True
        fresh = view.seconds < self._settings.leader.suspect
        if fresh:
            for assignment in view.assignments:
                self._cluster.apply_assignment(assignment)
        return fresh

    async def _take_over(self, why: str) -> None:
        """Takes over as the leader, and then follows the store.

        Args:
            why: The reason, for the log.
        """
        if await self._leader.take_over(why):
            self._leader_seen_at = self._clock.now()
            self._follow_store(True)
