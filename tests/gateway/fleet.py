"""Simulated fleet of VMs, targets and callers, under virtual time.

All code between the sockets is real: forwarding, placement, admission, reports
and the leader's decisions. Targets and the network between VMs are fakes.
"""

import asyncio
import collections
import random

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import reachability
from mimosastile_core.gateway import routes
from mimosastile_gateway import admission_service
from mimosastile_gateway import cluster_state
from mimosastile_gateway import crash_monitoring
from mimosastile_gateway import dispatching
from mimosastile_gateway import forwarding
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import leader_role
from mimosastile_gateway import load_probing
from mimosastile_gateway import membership
from mimosastile_gateway import messages
from mimosastile_gateway import metrics
from mimosastile_gateway import peer_forwarding
from mimosastile_gateway import retry_budgets
from mimosastile_gateway import store_watching
from mimosastile_gateway import wait_queues
from mimosastile_platform import headers
from mimosastile_platform import health
from mimosastile_platform import records
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.gateway import links

KEYED, PLAIN = "s", "p"
_DELAY_SECONDS = 0.002
"""One-way delay between VMs, and between a VM and a target."""
_CONNECT_TIMEOUT_SECONDS = 0.3
"""Connect timeout of calls to peers, as in `PeerCalls`."""
_SYN_BYTES = 60
"""Bytes of the packets that open a connection, in each direction."""


class Arrival(msgspec.Struct, frozen=True):
    """A request that has arrived at a target.

    Attributes:
        at: Time of arrival in seconds.
        vm: Name of the VM that forwarded it.
        key: Its key, None without one.
        path: Its path.
        sent: Time at which the caller sent it, in seconds.
    """

    at: float
    vm: str
    key: int | None
    path: str
    sent: float = 0.0


class Target:
    """A fake target.

    Attributes:
        id: Its identifier.
        address: Its registered address, empty if it is not in the store.
        service: Name of its service.
        born: Start time that identifies its incarnation.
        extra_headers: Headers that it adds to all its responses.
        rejects: Whether it rejects requests without running them.
        runs: Whether rejections lack the header that states this.
        work: Duration of a request in seconds.
        slots: Number of requests that it runs at a time.
        arrivals: Requests that have arrived.
        responses: Time, VM and headers of each response received by a VM.
    """

    def __init__(self, name, service, orders, *, work=0.05, slots=4):
        self.id = name
        self.address = ""
        self.service = service
        self.born = 1
        self.extra_headers = {}
        self.rejects = False
        self.runs = True
        self.work = work
        self.slots = slots
        self.arrivals = []
        self.responses = []
        self._orders = orders
        self._running = asyncio.Semaphore(slots)

    @property
    def registration(self):
        """Its registration, as decoded from the store."""
        return fakes.target(
            self.id, self.service, born=self.born, slots=self.slots
        )

    def record(self, *, leaving=False):
        """Returns its registration as encoded in the store."""
        return msgspec.json.encode(
            {
                "ServiceName": self.service,
                "Address": self.address,
                "Zone": "z",
                "ConfigVersion": "v1",
                "Slots": self.slots,
                "State": "draining" if leaving else "ready",
                "WarmupLeftMs": 0,
                "SeqNo": 1,
                "born": self.born,
            }
        )

    async def handle(self, vm, path, key, sent):
        """Handles a request; returns status and headers."""
        response_headers = [
            (n.encode(), v.encode()) for n, v in self.extra_headers.items()
        ]
        if path == "/health":
            return 200, response_headers
        now = virtual.now()
        self.arrivals.append(Arrival(now, vm, key, path, sent))
        keyed = self.service == KEYED and key is not None
        if keyed and self.id not in self._orders.holders(key):
            return 421, [*response_headers, (b"x-not-executed", b"1")]
        if self.rejects:
            not_run = [(b"x-not-executed", b"1")] if not self.runs else []
            return 503, [*response_headers, *not_run, (b"x-server-seal", b"s")]
        async with self._running:
            await asyncio.sleep(self.work)
        response_headers = [
            (n.encode(), v.encode()) for n, v in self.extra_headers.items()
        ]
        return 200, [*response_headers, (b"x-server-seal", b"s")]


class _Connection:
    """One VM's connection to a target."""

    def __init__(self, fleet, vm, target):
        self._fleet = fleet
        self._vm = vm
        self._target = target
        self._response_task = None
        self.reusable = True

    def start(self, data, echo=None, *, no_body=False):
        """Sends a request."""
        reply = http_client.IncomingResponse(reused=False)
        first, *lines = data.partition(b"\r\n\r\n")[0].decode().split("\r\n")
        request_headers = dict(line.lower().split(": ", 1) for line in lines)
        key = request_headers.get("x-shard-key")
        sent = float(request_headers.get("x-sent", 0.0))
        self._response_task = asyncio.create_task(
            self._exchange(
                reply,
                first.split(" ")[1],
                int(key) if key is not None else None,
                sent,
            )
        )
        return reply

    async def _exchange(self, reply, path, key, sent):
        await asyncio.sleep(_DELAY_SECONDS)
        status, response_headers = await self._target.handle(
            self._vm, path, key, sent
        )
        await asyncio.sleep(_DELAY_SECONDS)
        reply.status, reply.headers = status, response_headers
        reply.complete = True
        self._target.responses.append(
            (virtual.now(), self._vm, dict(response_headers))
        )

    async def wait_complete(self, reply, most):
        """Waits for the response."""
        await self._response_task

    def abort(self):
        """Cancels the request."""
        if self._response_task is not None:
            self._response_task.cancel()

    def close(self):
        """Closes the connection."""


class _Pool:
    """One VM's pool of connections to targets."""

    def __init__(self, fleet, vm):
        self._fleet = fleet
        self._vm = vm

    async def connect(self, address, idle, timeout, echo=None):
        """Connects to a target."""
        target = self._fleet.target_at(address)
        if target is None:
            raise http_client.NotSentError(address)
        return _Connection(self._fleet, self._vm, target)

    def release(self, connection, address):
        """Returns a connection to the pool."""


class _Channel:
    """One VM's connections to its peers.

    Over a link, a call without an open connection waits for one first, and a
    call that fails closes its connection.
    """

    def __init__(self, fleet, here):
        self._fleet = fleet
        self._here = here
        self._open = set()

    def send(self, address, message):
        """Sends a datagram."""
        vm = self._fleet.reaches(self._here, address)
        if vm is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(
                _DELAY_SECONDS, vm.admission.receive, self._here, message
            )

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Calls a peer; returns its response, None after a timeout."""
        link = self._fleet.link
        if link is None or not self._fleet.apart(self._here, address):
            await asyncio.sleep(_DELAY_SECONDS)
            vm = self._fleet.reaches(self._here, address)
            if vm is None:
                await asyncio.sleep(timeout)
                return None
            response = await vm.answer(path, body)
            await asyncio.sleep(_DELAY_SECONDS)
            return response
        directions = ("back", "there")
        if self._fleet.zone_of(self._here) != "z":
            directions = ("there", "back")
        opened = address in self._open and not fresh
        self._open.discard(address)
        try:
            if not opened:
                async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                    for direction in directions:
                        await link.carry(_SYN_BYTES, "connect", direction)
            async with asyncio.timeout(timeout):
                await link.carry(len(body) + 250, path, directions[0])
                vm = self._fleet.reaches(self._here, address)
                while vm is None:
                    await asyncio.sleep(timeout)
                response = await vm.answer(path, body)
                if path == messages.REPORT_PATH:
                    await asyncio.sleep(self._fleet.report_seconds)
                size = len(response or b"") + 150
                await link.carry(size, f"{path} answered", directions[1])
        except TimeoutError:
            return None
        self._open.add(address)
        return response


class _Orders:
    """One VM's orders to targets, which a cut from all targets stops.

    Attributes:
        monitor: Gets the attempts to connect of orders that are stopped.
        cut: Whether the VM is cut off from all targets.
    """

    def __init__(self, orders):
        self._orders = orders
        self.monitor = None
        self.cut = False

    async def grant(self, name, address, order, timeout):
        """Sends a grant to a target."""
        if self.cut:
            return await self._hang(address, timeout)
        return await self._orders.grant(name, address, order, timeout)

    async def release(self, name, address, order, timeout):
        """Sends a release to a target."""
        if self.cut:
            return await self._hang(address, timeout)
        return await self._orders.release(name, address, order, timeout)

    async def _hang(self, address, timeout):
        await asyncio.sleep(timeout)
        self.monitor.record_attempt(address, reachability.Outcome.HUNG, timeout)
        return result.Err(errors.Failure(errors.ErrorKind.UNREACHABLE))


class Vm:
    """One VM with all parts of its daemon."""

    def __init__(self, fleet, name):
        base = fakes.configured(settle=0.1, settle_most=0.2)
        zone = fleet.zone_of(name)
        place = load_balancing.Location(zone, base.vm.regions[zone])
        configured = msgspec.structs.replace(
            base,
            vm=msgspec.structs.replace(
                base.vm,
                id=name,
                peers=name,
                zone=place.zone,
                region=place.region,
            ),
        )
        timer, self.log = fleet.clock, fakes.MemoryEvents()
        self.name = name
        self.zone = zone
        self.cluster = cluster_state.ClusterState(configured, timer, self.log)
        if not fleet.watched:
            self.cluster.apply_configuration(fleet.configuration)
            self.cluster.replace_targets(
                [target.registration for target in fleet.targets.values()]
            )
        self.balancer = load_balancing.LoadBalancer(
            place, base.vm.regions, configured.rooms
        )
        store = fakes.FaultyProxy(fleet.store)
        if fleet.link is not None and zone != "z":
            store = links.FarStore(fleet.store, fleet.link)
        self.store = store
        channel = _Channel(fleet, name)
        boot = f"boot-{name}-{fleet.started}"
        fleet.started += 1
        self.target_pool = fakes.TargetPool()
        self.reach_monitor = fakes.new_reach_monitor(
            self.cluster, timer, self.log, self.balancer, self.target_pool
        )
        self.orders = _Orders(fleet.orders)
        self.orders.monitor = self.reach_monitor
        self.leader_role = leader_role.LeaderRole(
            configured,
            boot,
            store,
            self.orders,
            channel,
            self.cluster,
            self.reach_monitor,
            timer,
            self.log,
        )
        self.watcher = store_watching.StoreWatcher(
            configured.store,
            store,
            records.RecordDecoder(),
            self.cluster,
            timer,
            self.log,
        )
        queues, detector = (
            wait_queues.WaitQueues(),
            crash_detection.CrashDetector(),
        )
        self.admission = admission_service.AdmissionService(
            configured, channel, self.cluster, timer
        )
        self.membership = membership.Membership(
            configured,
            boot,
            store,
            channel,
            self.cluster,
            self.balancer,
            self.leader_role,
            queues,
            self.admission,
            self.watcher,
            detector,
            self.reach_monitor,
            timer,
            self.log,
        )
        pool = _Pool(fleet, name)
        health_checks = health.HealthClient(pool)
        self.dispatcher = dispatching.Dispatcher(
            configured,
            self.cluster,
            self.balancer,
            self.membership,
            queues,
            self.admission,
            timer,
            load_probing.LoadProber(
                health_checks,
                self.cluster,
                self.balancer,
                timer,
                self.log,
            ),
        )
        self.forwarder = forwarding.Forwarder(
            configured,
            headers.NAMES,
            headers.read_target_feedback,
            pool,
            self.cluster,
            self.balancer,
            self.membership,
            self.dispatcher,
            peer_forwarding.PeerForwarder(
                configured,
                headers.NAMES,
                pool,
                self.cluster,
                self.membership,
                self.reach_monitor,
                timer,
                self.log,
            ),
            crash_monitoring.CrashMonitor(
                detector,
                pool,
                health_checks,
                configured.requests.connect,
                self.cluster,
                self.membership,
                timer,
                self.log,
            ),
            retry_budgets.RetryBudgets(
                configured, self.membership, timer, self.log
            ),
            metrics.Metrics({}),
            timer,
            self.log,
        )
        self.membership.set_address(name)
        if fleet.watched:
            self.watcher.start()
        self.membership.start()

    async def answer(self, path, body):
        """Handles a peer's call; returns the response."""
        if path == messages.ASSIGN_PATH:
            self.membership.apply_push(
                messages.decode(body, messages.ReportReply).unwrap()
            )
            return messages.encode(messages.UpdateAck())
        if path == messages.REPORT_PATH:
            report = messages.decode(body, messages.Report).unwrap()
            return messages.encode(self.leader_role.handle_report(report))
        if path == messages.LEADER_CONTACT_PATH:
            return messages.encode(self.membership.leader_contact())
        if path == messages.RELAY_PATH:
            relay = messages.decode(body, messages.Relay).unwrap()
            return messages.encode(await self.membership.relay(relay))
        if path == messages.EXTEND_PATH:
            request = messages.decode(body, messages.ExtensionRequest).unwrap()
            return messages.encode(
                await self.leader_role.witness.handle_request(request)
            )
        return None

    def cut_targets(self, *, cut=True):
        """Cuts this VM off from all targets, or ends that."""
        self.orders.cut = cut
        self.target_pool.default = (
            reachability.Outcome.HUNG if cut else reachability.Outcome.CONNECTED
        )

    def end(self):
        """Stops the daemon as a kill would."""
        self.reach_monitor.stop()
        self.leader_role.step_down("end")
        self.watcher.stop()
        self.membership.abort()


class Fleet:
    """VMs, targets and callers.

    Attributes:
        vms: VMs by name, which is also their address.
        targets: Targets by identifier.
        cut: Pairs of VMs that do not reach each other.
        statuses: Number of responses to callers, by status.
        refusals: Retry-After values of all responses that refused a request.
        watched: Whether VMs read the configuration and the targets from the
            store; otherwise these are set when a VM starts.
        report_seconds: Processing time of a report that arrives over the link.
        link: The link between zone `z`, where the store is, and all other
            zones; None for one of unlimited bandwidth.
    """

    def __init__(
        self,
        vms,
        *,
        keyed=6,
        plain=4,
        seed=1,
        zones=("z",),
        watched=False,
        link=None,
        **target,
    ):
        self.clock = fakes.VirtualClock()
        self.orders = fakes.Orders()
        self.store = fakes.WatchedStore() if watched else fakes.Store()
        self.watched = watched
        self.link = link
        self.report_seconds = 0.0
        self.started = 0
        self._zones = zones
        self.cut = set()
        self.statuses = collections.Counter()
        self.refusals = []
        self.rng = random.Random(seed)
        self.targets = {}
        for service, count in ((KEYED, keyed), (PLAIN, plain)):
            for number in range(count):
                name = f"{service}{number}"
                added = Target(name, service, self.orders, **target)
                self.targets[name] = added
        self.configuration = _configuration()
        if watched:
            self.write_configuration(2)
            for number, target in enumerate(self.targets.values()):
                target.address = f"10.0.{number // 250}.{number % 250}:80"
                self.store.put(f"servers/{target.id}", target.record())
        self.vms = {}
        for number in range(vms):
            self.add_vm(f"vm-{number:03}")

    def add_vm(self, name):
        """Starts a VM."""
        self.vms[name] = Vm(self, name)

    def zone_of(self, name):
        """Returns the zone of a VM."""
        return self._zones[int(name.removeprefix("vm-")) % len(self._zones)]

    def apart(self, here, address):
        """Whether the link is between two VMs."""
        return (self.zone_of(here) == "z") != (self.zone_of(address) == "z")

    def target_at(self, address):
        """Returns the target at an address, None if there is none."""
        for target in self.targets.values():
            if address in (target.address, f"{target.id}:80"):
                return target
        return None

    def write_configuration(self, version, extra=0, added=(), connections=120):
        """Writes a configuration as an operator would; returns when.

        Args:
            version: Version of the configuration.
            extra: Number of routes in addition to those to the two services;
                all of them are new in each version.
            added: Name, service, prefix and options of each further route.
            connections: Connections that a target without keys takes.
        """
        rules = [(name, name, f"/{name}/") for name in (KEYED, PLAIN)]
        rules += [tuple(arguments) for arguments in added]
        rules += [
            (f"e{version}-{number}", PLAIN, f"/e{version}-{number}/")
            for number in range(extra)
        ]
        written = {
            "ConfigVersion": version,
            "ListenerList": [
                {
                    "HostName": "h",
                    "RuleSet": [_rule(*rule) for rule in rules],
                }
            ],
            "ClusterList": [
                {"Name": KEYED, "Sharded": True},
                {"Name": PLAIN, "MaxConnections": connections},
            ],
        }
        return self.store.put("op/config", msgspec.json.encode(written))

    def leave(self, target):
        """Registers a target as leaving; returns when."""
        return self.store.put(
            f"servers/{target.id}", target.record(leaving=True)
        )

    async def late_arrivals(self, target, seconds):
        """Has a target leave while callers send requests.

        Args:
            target: The target, which owns no keys.
            seconds: Bound on the time from the acknowledgement that it leaves
                until its last new request.

        Returns:
            The requests that reached it later.
        """
        since = self.leave(target)
        await self.call(5.0, 100.0, "/p")
        return [a for a in target.arrivals if a.at > since + seconds]

    def reaches(self, here, address):
        """Returns the VM at an address, None if `here` does not reach it."""
        if (here, address) in self.cut or (address, here) in self.cut:
            return None
        return self.vms.get(address)

    def isolate(self, *names):
        """Partitions VMs from all other VMs and from the store."""
        for name in names:
            self.vms[name].store.failing = fakes.UNAVAILABLE
            self.cut.update((name, other) for other in self.vms)

    def rejoin(self, *names):
        """Ends the partition of VMs."""
        for name in names:
            self.vms[name].store.failing = None
            self.cut -= {(name, other) for other in self.vms}

    def apply_target(self, registration):
        """Applies a registration on all VMs."""
        for vm in self.vms.values():
            vm.cluster.apply_target(registration)

    def leader(self):
        """Returns the VM that leads."""
        return next(vm for vm in self.vms.values() if vm.leader_role.is_leader)

    def end(self):
        """Stops all VMs."""
        for vm in self.vms.values():
            vm.end()

    async def ready(self):
        """Waits until every key has its owner."""
        async with asyncio.timeout(30.0):
            while not self._serving():
                await asyncio.sleep(0.05)

    def _serving(self):
        return all(
            vm.cluster.owner(KEYED, key)
            for vm in self.vms.values()
            for key in range(0, 65536, 4096)
        )

    def owner(self, key=0):
        """Returns the target that owns a key."""
        return self.targets[self.leader().cluster.owner(KEYED, key)]

    async def call(self, seconds, rate, path, key=None, vms=()):
        """Has callers send requests at random times.

        Args:
            seconds: Duration.
            rate: Requests per second.
            path: `/s` for the sharded service, `/p` for the other one.
            key: Draws a key; None for requests without one.
            vms: Names of the VMs that receive requests; all if empty.

        Returns:
            The tasks of all requests.
        """
        deadline = virtual.now() + seconds
        tasks = []
        while (wait := self.rng.expovariate(rate)) + virtual.now() < deadline:
            await asyncio.sleep(wait)
            name = self.rng.choice(sorted(vms or self.vms))
            if name in self.vms:
                drawn = key(self.rng) if key is not None else None
                tasks.append(asyncio.create_task(self.ask(name, path, drawn)))
        await asyncio.sleep(max(deadline - virtual.now(), 0.0))
        return tasks

    async def ask(self, name, path, key=None, deadline_ms=2000):
        """Sends one request to a VM; returns its response."""
        now = virtual.now()
        incoming = http_server.Request("GET", f"{path}/".encode(), now)
        incoming.headers = [
            (b"host", b"h"),
            (b"x-attempt-id", b"a%d" % self.rng.randrange(1 << 40)),
            (b"x-deadline-ms", b"%d" % deadline_ms),
            (b"x-sent", b"%f" % now),
        ]
        if key is not None:
            incoming.headers.append((b"x-shard-key", b"%d" % key))
        answer = await self.vms[name].forwarder.handle(incoming)
        self.statuses[answer.status] += 1
        named = dict(answer.headers)
        if answer.status == 503 and b"x-server-seal" not in named:
            self.refusals.append(float(named[b"retry-after"]))
        return answer


def _rule(name, service, prefix, timeout_ms=2000, homes=()):
    return {
        "Name": name,
        "RouteKind": "idempotent",
        "MatchCriteria": {"Prefix": prefix},
        "RouteAction": {
            "ServiceName": service,
            "TimeoutMs": timeout_ms,
            "MaxAttempts": 2,
            "AllowedRegions": list(homes),
        },
        "TargetLatencyMs": 400,
    }


def any_key(rng):
    """Draws a uniformly distributed key."""
    return rng.randrange(65536)


def _configuration():
    made = [
        fakes.route(name=name, prefix=f"/{name}/", parts=(routes.Part(name),))
        for name in (KEYED, PLAIN)
    ]
    services = {
        KEYED: routes.Service(KEYED, keyed=True),
        PLAIN: routes.Service(PLAIN),
    }
    return routes.Configuration(2, tuple(made), services)
