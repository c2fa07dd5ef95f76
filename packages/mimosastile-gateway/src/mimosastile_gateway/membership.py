"""Membership of entry VMs, and each VM's exchange with its leader."""

import asyncio
import collections
import zlib

import msgspec
import result

from mimosastile_core import quarantine
from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import freshness
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import ranges
from mimosastile_gateway import admission_service
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import leader_role
from mimosastile_gateway import messages
from mimosastile_gateway import peer_calls
from mimosastile_gateway import ports
from mimosastile_gateway import settings
from mimosastile_gateway import store_watching
from mimosastile_gateway import wait_queues

_SESSION_SHARE = 0.3
"""Part of a lease after which it is renewed: two more tries fit in."""
_CALL_SECONDS = leader_role.MAX_REPLY_DELAY_SECONDS
"""Longest wait for a peer: the way to the far region and back, sixteen times,
or one lost packet that is sent again."""
_RELAY_SECONDS = 0.3
"""Longest wait for a VM of the same zone that a leader's message is passed on
to. The leader waits for this VM for longer than that, and tells those that have
not answered by itself."""
_KEYS_PER_REPORT = 256
"""Keys in one report; beyond that they are a sample."""
_FACTOR_NEWS = 0.1
"""Change of a target's speed that a leader is told of."""
_START_GRACE = 2.0
"""Seconds after its start, by half more or less, for which a VM waits for a
leader before it reads the store by itself. When all VMs start at once one leads
within a second, and its news are a tenth of what the store would tell each."""
_LED_START_GRACE = 6.0
"""The same while a leader is known that does not answer yet: hundreds of VMs
that start together are told within some seconds, unless they fill the links
with their own reading."""
_FEW_VMS = 30
"""Up to this many VMs take over in order of rank, and read all they need."""
_PATIENCE_PER_VM = 0.012
"""Seconds for each VM over which those that have lost their leader begin to
read the configuration."""
_PATIENCE_MOST = 1.2
"""The most of that: another one leads after about a second."""
_NEARNESS = 10.0
"""Multiple of the store's distance for which a VM that does not know the others
lets them go first: a leader in another region changes tables slowly."""
_NEARNESS_MOST = 0.5
"""Longest such wait, in seconds."""
_VMS_SECONDS = 30.0
"""For how long a list of VMs will do to ask some of them."""
_LOOK_SECONDS = 0.6
"""Time over which VMs look for a leader that do not know how many they are."""
_LOOK_SECONDS_PER_VM = 0.02
"""The same for each VM where there are many: one that looks has taken over
before the next ten do."""
_LOTS = 1 << 32
_HURRIED_SECONDS = 0.3
"""Shortest time between two reports when a target is full."""
_FIND_SECONDS = 2.0
"""Seconds without a leader after which a VM looks for one in the store, and
between two such looks."""
_ASKED_PEERS = 3
"""Peers asked whether they hear the leader before it is replaced."""


class Membership:
    """Registers this VM, reports to the leader, replaces a lost one."""

    __slots__ = (
        "_address",
        "_admission",
        "_alive",
        "_answered",
        "_cluster",
        "_boot",
        "_calls",
        "_crashes",
        "_clock",
        "_deaths",
        "_ended",
        "_events",
        "_peers",
        "_follows_asked",
        "_follows_store",
        "_found_at",
        "_heard_at",
        "_keys",
        "_leader",
        "_misses",
        "_news_evacuations",
        "_news_seen",
        "_news_version",
        "_report_due",
        "_reported_leaving",
        "_reported_at",
        "_balancer",
        "_session",
        "_settings",
        "_clock_offset",
        "_start_spread",
        "_started_at",
        "_store",
        "_store_seconds",
        "_tasks",
        "_full_target_requests",
        "_queues",
        "_told_factors",
        "_told_leader",
        "_told_leaving",
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
        known: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        leader: leader_role.LeaderRole,
        queues: wait_queues.WaitQueues,
        admission: admission_service.AdmissionService,
        watcher: store_watching.StoreWatcher,
        crashes: crash_detection.CrashDetector,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        self._settings = configured
        self._boot = boot
        self._store = store
        self._calls = calls
        self._cluster = known
        self._balancer = balancer
        self._leader = leader
        self._queues = queues
        self._admission = admission
        self._watcher = watcher
        self._crashes = crashes
        self._clock = timer
        self._events = log
        self._address = configured.vm.peers
        self._session = 0
        self._report_due = asyncio.Event()
        self._answered = asyncio.Event()
        self._start_spread = 1.0
        self._started_at = float("-inf")
        self._found_at = float("-inf")
        self._reported_at = float("-inf")
        self._store_seconds = 0.0
        self._heard_at = float("-inf")
        self._keys: dict[str, list[int]] = collections.defaultdict(list)
        self._alive: set[str] = set()
        self._deaths: list[quarantine.Death] = []
        self._ended: list[messages.EndedTarget] = []
        self._misses: list[messages.OwnershipMiss] = []
        self._full_target_requests: collections.Counter[str] = (
            collections.Counter()
        )
        self._vms = 1
        self._vms_read_at = float("-inf")
        self._peers: tuple[messages.VmEntry, ...] = ()
        self._told_factors: dict[str, float] = {}
        self._told_leader: leadership.LeaderEntry | None = None
        self._clock_offset: freshness.ClockOffset | None = None
        self._told_leaving: dict[str, int] = {}
        self._reported_leaving: dict[str, messages.LeavingTarget] = {}
        self._news_seen = 0
        self._news_version = -1
        self._news_evacuations = eligibility.Evacuations()
        self._follows_asked = False
        self._follows_store = True
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def entry(self) -> messages.VmEntry:
        """This VM as its peers know it."""
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
    def count(self) -> int:
        """How many VMs share the work, as far as is known; at least 1."""
        return max(len(self._cluster.vms), self._vms, 1)

    def listens_on(self, address: str) -> None:
        """Takes the address on which this VM hears its peers."""
        self._address = address
        self._leader.address = address
        self._admission.address = address

    def start(self) -> None:
        """Registers this VM and begins to report."""
        self._heard_at = self._started_at = self._clock.now()
        self._start_spread = 0.5 + self._clock.random()
        self._tasks = [
            asyncio.create_task(self._register(), name="register"),
            asyncio.create_task(self._report_on(), name="report"),
        ]

    def abort(self) -> None:
        """Ends reporting at once."""
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Takes this VM out of the list."""
        self.abort()
        if self._session:
            await self._store.end_session(self._session)

    def asked(self, service: str, key: int) -> None:
        """Notes a request for a key."""
        keys = self._keys[service]
        if len(keys) < _KEYS_PER_REPORT:
            keys.append(key)

    def answered(self, target: str) -> None:
        """Notes that a target answers."""
        self._alive.add(target)

    def report_crashes(self, deaths: list[quarantine.Death]) -> None:
        """Notes confirmed deaths of targets."""
        self._deaths.extend(deaths)

    def ended(self, target: directory.Target) -> None:
        """Notes that another target answers at a target's address."""
        self._ended.append(messages.EndedTarget(target.id, target.born))
        self._cluster.end_target(target.id, target.born)

    def report_full_target(self, target: str) -> None:
        """Notes a request for which a target had no room.

        Requests that are refused at once do not wait anywhere; the leader
        would not see that more is wanted of the target.
        """
        self._full_target_requests[target] += 1
        self.report_soon()

    def report_soon(self) -> None:
        """Reports soon, since a target is full that has no gate yet."""
        if self._clock.now() - self._reported_at > _HURRIED_SECONDS:
            self._report_due.set()

    async def ask_leader(self, seconds: float) -> None:
        """Reports soon and waits until the leader has answered.

        Args:
            seconds: Longest wait.
        """
        self.report_soon()
        await clock.wait(self._answered, seconds)

    def report_miss(self, service: str, key: int, target: str) -> None:
        """Notes that a target rejected a key that it should own."""
        if len(self._misses) < _KEYS_PER_REPORT:
            self._misses.append(messages.OwnershipMiss(service, key, target))

    def leader_contact(self) -> messages.LeaderContact:
        """Returns what this VM knows of the leader."""
        seconds = self._clock.now() - self._heard_at
        if self._leader.is_leader:
            seconds = 0.0
        return messages.LeaderContact(
            self._cluster.leader,
            seconds,
            tuple(self._cluster.assignments.values()),
        )

    def _made_at(self, told: messages.ReportReply) -> float | None:
        """Returns when the present leader made a message, or earlier.

        Returns:
            The time; None if it cannot be told, as nothing is known of that
            leader's clock.
        """
        stamp = self._clock_offset if told.leader == self._told_leader else None
        if stamp is None or told.stamp is None:
            return None
        return stamp.from_peer(told.stamp)

    def _take_told(
        self, reply: messages.ReportReply, made_at: float | None
    ) -> None:
        """Takes what a leader has told of keys, targets and configuration.

        Args:
            reply: What it has told.
            made_at: When it has made that, or earlier; None if unknown.
        """
        self._cluster.apply_limits(reply.limits)
        self._cluster.apply_leaving(reply.leaving)
        for assignment in reply.assignments:
            self._cluster.apply_assignment(assignment)
        for difference in reply.differences:
            self._cluster.apply_difference(difference)
        if reply.news is not None:
            self._cluster.apply_update(reply.news, made_at)

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
                # Registrations of all VMs are most of what is asked of a
                # store that is down; they are not urgent.
                await asyncio.sleep(pause * (0.5 + self._clock.random()))
                pause = min(pause * 2, most)

    async def _registered(self) -> bool:
        """Renews the lease of this VM's entry, or makes both."""
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
        asked = self._clock.now()
        opened = await self._store.open_session(self._settings.store.session)
        if isinstance(opened, result.Err):
            return False
        took = self._clock.now() - asked
        self._store_seconds = min(self._store_seconds or took, took)
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
        if self._told_leader is None:
            # No leader has answered this VM yet. An old answer will do for
            # finding one, and costs a tenth.
            await self._list_leader()
        self._report_due.set()
        return True

    async def read_store(self) -> bool:
        """Reads leader and tables from the store."""
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
        """Reads some VMs that are registered, all if they are few.

        What was read lately will do.
        """
        now = self._clock.now()
        if self._peers and now - self._vms_read_at < _VMS_SECONDS:
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
            if len(self._peers) >= _ASKED_PEERS:
                return
        listed = await self._store.list(messages.VM_PREFIX, stale=True)
        if isinstance(listed, result.Ok):
            self._cluster.replace_vms(listed.ok_value.items)
            everyone = self._cluster.vms.values()
            self._peers = tuple(vm for vm in everyone if vm.id != here)

    def _take_item(self, item: ports.Item) -> None:
        try:
            if item.key == messages.LEADER_KEY:
                self._take_leader(
                    msgspec.json.decode(item.value, type=leadership.LeaderEntry)
                )
            elif item.key.startswith(messages.TABLE_PREFIX):
                table = messages.decode(item.value, ranges.RangeTable)
                every = {part.piece for part in table.ranges}
                self._cluster.apply_assignment(
                    assignments.of_table(table, (0, table.version), every)
                )
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._events.write(
                "peers", "entry_unreadable", key=item.key, why=str(error)
            )

    def _take_leader(self, entry: leadership.LeaderEntry) -> None:
        if self._cluster.record_leader(entry):
            self._heard_at = self._clock.now()
            self._leader.step_down_if_outranked(entry)
            self._report_due.set()

    # Reports.

    async def _report_on(self) -> None:
        """Reports at intervals, and at once when there is a new leader.

        When all VMs have been lost, nobody is served before one leads again
        and has heard them; waiting for the next interval each time is half of
        that.
        """
        while True:
            configured = self._settings.leader
            interval = configured.report + configured.report_per_vm * self.count
            interval *= 0.9 + 0.2 * self._clock.random()
            await clock.wait(self._report_due, interval)
            self._report_due.clear()
            await self._report_once()

    async def _report_once(self) -> None:
        self._reported_at = self._clock.now()
        report = self._make_report()
        if self._leader.is_leader:
            reply = self._leader.handle_report(report)
            self._take_reply(reply)
            return
        leader = self._cluster.leader
        if leader is not None and leader.vm != self._settings.vm.id:
            answer = await self._send_report(leader.address, report)
            if answer is not None:
                self._take_reply(answer)
                if answer.leading:
                    return
        await self._without_leader()

    async def _without_leader(self) -> None:
        """Does what a VM does whose leader was not heard just now."""
        silent = self._clock.now() - self._heard_at
        leader = self._cluster.leader
        if silent > self._grace():
            # Its own watch is all that it has, and may have fallen silent.
            self._follow_store(
                True, patience=self._patience(), closely=self._few
            )
        if leader is None or leader.vm == self._settings.vm.id:
            # Nobody leads, or an earlier run of this daemon did.
            await self._replace_leader(silent + self._settings.leader.suspect)
        elif silent > self._settings.leader.suspect:
            await self._replace_leader(silent)

    def _grace(self) -> float:
        """Returns how long this VM waits before it looks for itself.

        While VMs start, targets register as well; each VM that followed that by
        itself would read as much as all others.
        """
        led = self._cluster.leader is not None
        grace = self._start_spread * (_LED_START_GRACE if led else _START_GRACE)
        started = self._clock.now() - self._started_at > grace
        return 0.0 if started and self._cluster.seen else grace

    def _make_report(self) -> messages.Report:
        keys, self._keys = dict(self._keys), collections.defaultdict(list)
        misses, self._misses = tuple(self._misses), []
        wanted, self._full_target_requests = (
            self._full_target_requests,
            collections.Counter(),
        )
        wanted.update(self._queues.waiting())
        wanted.update(self._admission.waiting())
        ended, self._ended = tuple(self._ended), []
        deaths, self._deaths = tuple(self._deaths), []
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
            deaths,
            ended,
            misses,
            self._cluster.versions(),
            self._cluster.seen,
            self._cluster.version,
            self._cluster.configuration_seen,
            self._own_news(),
            self._admission.stopping,
            self._leader.extended_grants_seconds(),
            leader.epoch if leader else -1,
            self._leader.witness.promised_seconds(),
            self._cluster.evacuations,
            self._cluster.limits.unknown_to_leader(self._clock.now()),
            self._untold_leaving(),
            self._cluster.backoffs.long(self._clock.now()),
            *self._complete_at(),
        )

    def _complete_at(self) -> tuple[float | None, float | None]:
        """Returns when this VM's views of the store were complete.

        Returns:
            Times of the leader's clock; None for those that it cannot name or
            has from the leader itself.
        """
        stamp = self._clock_offset
        same = self._told_leader == self._cluster.leader
        if stamp is None or not same or not self._follows_store:
            return None, None
        views = self._cluster.registrations.at, self._cluster.operated.at
        seen, operated = (
            None if at is None else stamp.to_peer(at) for at in views
        )
        return seen, operated

    def _untold_leaving(self) -> tuple[messages.LeavingTarget, ...]:
        """Returns targets whose leaving the leader has not heard from here.

        Its next answer shows that it has.
        """
        self._reported_leaving = self._cluster.leaving_updates()
        return tuple(
            run
            for name, run in self._reported_leaving.items()
            if self._told_leaving.get(name) != run.born
        )

    def _changed_factors(self) -> dict[str, float]:
        """Returns what the leader does not know of targets' speeds."""
        told = self._told_factors
        changed = {
            target: factor
            for target, factor in self._balancer.factors().items()
            if abs(factor - told.get(target, 1.0)) > _FACTOR_NEWS * factor
        }
        told.update(changed)
        return changed

    def _own_news(self) -> messages.StateUpdate | None:
        """Returns what this VM has read from the store and its leader lacks.

        A leader that is cut off from the store learns it from those that it
        has asked to follow the store as well. Until it has answered, this VM
        does not know what it lacks, and would tell it everything.
        """
        answered = self._told_leader == self._cluster.leader
        if self._leader.is_leader or not answered or not self._follows_asked:
            return None
        return self._cluster.updates_since(
            self._news_seen, self._news_version, self._news_evacuations
        )

    def _rely(self, reply: messages.ReportReply) -> None:
        """Decides whether this VM follows the store itself."""
        here = self._settings.vm.id
        chosen = here in reply.watchers or self._leader.is_leader
        asked = self._reported_at
        self._cluster.record_view_ages(
            reply.seen,
            None if reply.seen_age is None else asked - reply.seen_age,
            reply.configuration,
            reply.evacuations,
            None
            if reply.configuration_age is None
            else asked - reply.configuration_age,
        )
        self._news_seen = reply.seen
        self._news_version = reply.configuration
        self._news_evacuations = reply.evacuations
        self._cluster.confirm_configuration(
            reply.configuration,
            reply.configuration_seen,
            reply.evacuations.zones,
        )
        self._follows_asked = chosen or not reply.store
        self._follow_store(self._follows_asked)

    def _patience(self) -> float:
        """Returns for how long this VM lets a next leader tell it first."""
        if self.count == 1:
            # There may be hundreds.
            return _PATIENCE_MOST
        return min(_PATIENCE_PER_VM * self.count, _PATIENCE_MOST)

    def _follow_store(
        self, follows: bool, *, patience: float = 0.0, closely: bool = False
    ) -> None:
        """Has this VM follow the store itself, or rely on its leader."""
        self._follows_store = follows
        self._watcher.set_leader_reliable(
            not follows,
            patience=patience,
            closely=closely or self._leader.is_leader,
        )

    def _works(self) -> dict[str, float]:
        """Returns the mean work of each keyed service's own routes."""
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
        answer = await self._calls.call(
            address,
            messages.REPORT_PATH,
            messages.encode(report),
            _CALL_SECONDS,
        )
        if answer is None:
            return None
        try:
            return messages.decode(answer, messages.ReportReply)
        except msgspec.DecodeError as error:
            self._events.write(
                "peers", "reply_unreadable", peer=address, why=str(error)
            )
            return None

    def _take_reply(self, reply: messages.ReportReply) -> None:
        now = self._clock.now()
        if reply.leader is not None:
            self._take_leader(reply.leader)
        if not reply.leading:
            return
        self._heard_at = now
        self._leader.handle_reply(reply)
        self._vms = reply.vms
        for death in reply.deaths:
            self._crashes.learn(death, now)
        if reply.stamp is not None:
            self._clock_offset = freshness.ClockOffset(
                reply.stamp, self._reported_at, now
            )
        if reply.leader != self._told_leader:
            # A new leader knows nothing of what was told to the one before.
            self._told_leader = reply.leader
            self._told_factors = {}
            self._told_leaving = {}
        else:
            self._told_leaving = {
                name: run.born for name, run in self._reported_leaving.items()
            }
        self._balancer.record_other_requests(reply.under_way, now)
        self._balancer.replace_gates(reply.gates, now)
        self._cluster.limits.record_leader_view(reply.limits, now)
        self._take_told(reply, self._reported_at)
        self._rely(reply)
        self._answered.set()
        self._answered = asyncio.Event()
        if reply.take_over:
            self._take_over_soon()

    def _take_over_soon(self) -> None:
        """Takes over on the leader's demand."""
        task = asyncio.create_task(self._take_over("asked to"))
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def apply_push(self, told: messages.ReportReply) -> None:
        """Takes assignments that a leader has sent without being asked."""
        if told.leader is not None:
            self._take_leader(told.leader)
        leader = self._cluster.leader
        if not told.leading or told.leader != leader:
            return
        self._balancer.add_gates(told.gates)
        self._take_told(told, self._made_at(told))
        if told.take_over:
            self._take_over_soon()

    async def relay(self, relay: messages.Relay) -> messages.Relayed:
        """Takes what a leader tells a zone, and passes it on in the zone."""
        passing = asyncio.gather(
            *(
                self._calls.call(
                    address, messages.ASSIGN_PATH, relay.told, _RELAY_SECONDS
                )
                for address in relay.addresses
            )
        )
        # Others need not wait until this VM has taken it.
        await asyncio.sleep(0)
        self.apply_push(messages.decode(relay.told, messages.ReportReply))
        answers = await passing
        return messages.Relayed(
            tuple(
                address
                for address, answer in zip(
                    relay.addresses, answers, strict=True
                )
                if answer is None
            )
        )

    # Replacing a leader.

    async def _replace_leader(self, silent: float) -> None:
        """Finds the present leader, or becomes it.

        Args:
            silent: Seconds for which none was heard.
        """
        limit = self._settings.leader.suspect
        if silent < limit + self._look_wait():
            await self._find_leader(silent)
            return
        if self._cluster.leader is None:
            wait = self._turn_wait(None)
            if silent < limit + wait:
                await self._find_leader(silent)
                return
        if not await (self.read_store() if self._few else self._read_leader()):
            return
        leader = self._cluster.leader
        if leader is not None and leader.vm != self._settings.vm.id:
            if self._clock.now() - self._heard_at < limit:
                # The store named another one just now.
                return
            await self._read_vms()
            wait = self._turn_wait(leader)
            if silent < limit + wait or await self._others_hear(leader):
                return
        await self._take_over("nobody heard the leader")

    async def _find_leader(self, silent: float) -> None:
        """Looks for a leader that has not announced itself here.

        Args:
            silent: Seconds for which none was heard.
        """
        now = self._clock.now()
        if self._cluster.leader is not None:
            return
        if silent < _FIND_SECONDS or now - self._found_at < _FIND_SECONDS:
            return
        self._found_at = now
        await self._list_leader()

    async def _list_leader(self) -> None:
        """Reads who led some seconds ago, which costs a tenth of a call."""
        listed = await self._store.list(messages.LEADER_KEY, stale=True)
        if isinstance(listed, result.Ok):
            for item in listed.ok_value.items:
                self._take_item(item)

    async def _read_leader(self) -> bool:
        """Reads who leads; returns whether the store answered."""
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

        A VM that has heard of no other one may be one of hundreds.
        """
        return 1 < self.count <= _FEW_VMS

    def _look_wait(self) -> float:
        """Returns how long this VM waits before it reads anything, in seconds.

        Lists of hundreds of VMs and tables of thousands of ranges, read by
        all VMs at once, keep the link between regions full for longer than
        any of them waits for an answer, and so for ever. The first few find
        out what there is to find, and the next leader announces itself.
        """
        if self.count == 1:
            nearness = min(_NEARNESS * self._store_seconds, _NEARNESS_MOST)
            return _LOOK_SECONDS * self._lot() + nearness
        if self._few:
            return 0.0
        return _LOOK_SECONDS_PER_VM * self.count * self._lot()

    def _lot(self) -> float:
        """Returns a number from 0 to 1, another one in each epoch."""
        leader = self._cluster.leader
        epoch = leader.epoch if leader else 0
        mixed = f"{self._settings.vm.id}/{self._boot}/{epoch}".encode()
        return zlib.crc32(mixed) / _LOTS

    def _turn_wait(self, leader: leadership.LeaderEntry | None) -> float:
        """Returns how long this VM lets others go first, in seconds."""
        configured = self._settings.leader
        weakness = 1.0 - self._settings.vm.strength
        if self._few:
            ranked = configured.rank_wait * self._rank(leader)
        else:
            ranked = self._look_wait()
        return ranked + configured.weak_wait * weakness

    def _rank(self, leader: leadership.LeaderEntry | None) -> int:
        """Returns how many VMs go before this one."""
        epoch = leader.epoch if leader else 0
        former = leader.vm if leader else ""
        here = self._settings.vm

        def order(
            entry: messages.VmEntry,
        ) -> tuple[bool, tuple[float, int], int]:
            # Of equally good ones the hash decides, anew with each epoch.
            mixed = f"{entry.id}/{epoch}".encode()
            return entry.id == former, entry.order, zlib.crc32(mixed)

        everyone = {**self._cluster.vms, here.id: self.entry}
        ranked = sorted(everyone.values(), key=order)
        return [entry.id for entry in ranked].index(here.id)

    async def _others_hear(self, leader: leadership.LeaderEntry) -> bool:
        """Asks some peers whether they hear the leader.

        A VM that is cut off from the leader alone would otherwise replace it,
        and two such VMs would replace each other for ever.
        """
        others = [
            entry
            for entry in self._peers or self._cluster.vms.values()
            if entry.id not in (leader.vm, self._settings.vm.id)
        ]
        others.sort(key=lambda _: self._clock.random())
        answers = await asyncio.gather(
            *(
                self._calls.call(
                    entry.address, messages.HEARD_PATH, b"{}", _CALL_SECONDS
                )
                for entry in others[:_ASKED_PEERS]
            )
        )
        for body in answers:
            if body is not None and self._is_heard(body, leader):
                return True
        return False

    def _is_heard(self, body: bytes, leader: leadership.LeaderEntry) -> bool:
        try:
            heard = messages.decode(body, messages.LeaderContact)
        except msgspec.DecodeError as error:
            self._events.write("peers", "reply_unreadable", why=str(error))
            return False
        if heard.leader is None or heard.leader.epoch < leader.epoch:
            return False
        if heard.leader.epoch > leader.epoch:
            self._take_leader(heard.leader)
            return True
        fresh = heard.seconds < self._settings.leader.suspect
        if fresh:
            for assignment in heard.assignments:
                self._cluster.apply_assignment(assignment)
        return fresh

    async def _take_over(self, why: str) -> None:
        if await self._leader.take_over(why):
            self._heard_at = self._clock.now()
            self._follow_store(True)
