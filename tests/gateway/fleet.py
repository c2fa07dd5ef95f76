"""Whole VMs with a leader, targets and callers, under virtual time.

Everything between sockets is real: forwarding, placing, admission, reports and
the leader's decisions. Targets and the ways between VMs are fakes.
"""

import asyncio
import collections
import random

import msgspec

from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import routes
from mimosastile_gateway import admission_service
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dispatching
from mimosastile_gateway import forwarding
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import leader_role
from mimosastile_gateway import load_probing
from mimosastile_gateway import membership
from mimosastile_gateway import messages
from mimosastile_gateway import metrics
from mimosastile_gateway import store_watching
from mimosastile_gateway import wait_queues
from mimosastile_platform import headers
from mimosastile_platform import health
from mimosastile_platform import records
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.gateway import links

KEYED, PLAIN = "s", "p"
_WAY = 0.002
"""Seconds between VMs, and between a VM and a target."""


class Arrival(msgspec.Struct, frozen=True):
    """A request that has reached a target."""

    at: float
    vm: str
    key: int | None
    path: str
    sent: float = 0.0


class Target:
    """One target.

    Attributes:
        id: Its identifier.
        address: Where it registers itself, if that is in the store.
        born: Its run.
        says: Headers of all its answers.
        rejects: Whether it rejects requests, without running them.
        work: Seconds of a run.
        arrivals: Requests that have reached it.
        passed: When each VM got an answer, with what it said.
    """

    def __init__(self, name, service, orders, *, work=0.05, slots=4):
        self.id = name
        self.address = ""
        self.service = service
        self.born = 1
        self.says = {}
        self.rejects = False
        self.runs = True
        self.work = work
        self.slots = slots
        self.arrivals = []
        self.passed = []
        self._orders = orders
        self._running = asyncio.Semaphore(slots)

    @property
    def registration(self):
        """How it registers itself."""
        return fakes.target(
            self.id, self.service, born=self.born, slots=self.slots
        )

    def record(self, *, leaving=False):
        """Returns its registration as the store holds it."""
        return msgspec.json.encode(
            {
                "ServiceName": self.service,
                "Address": self.address,
                "Zone": "z",
                "Slots": self.slots,
                "State": "draining" if leaving else "ready",
                "born": self.born,
            }
        )

    async def handle(self, vm, path, key, sent):
        """Answers a request; returns status and headers."""
        said = [(n.encode(), v.encode()) for n, v in self.says.items()]
        if path == "/health":
            return 200, said
        now = virtual.now()
        self.arrivals.append(Arrival(now, vm, key, path, sent))
        keyed = self.service == KEYED and key is not None
        if keyed and self.id not in self._orders.holders(key):
            return 421, [*said, (b"x-not-executed", b"1")]
        if self.rejects:
            not_run = [(b"x-not-executed", b"1")] if not self.runs else []
            return 503, [*said, *not_run, (b"x-server-seal", b"s")]
        async with self._running:
            await asyncio.sleep(self.work)
        said = [(n.encode(), v.encode()) for n, v in self.says.items()]
        return 200, [*said, (b"x-server-seal", b"s")]


class _Connection:
    """One VM's connection to a target."""

    def __init__(self, fleet, vm, target):
        self._fleet = fleet
        self._vm = vm
        self._target = target
        self._answer = None
        self.reusable = True

    def start(self, data, echo=None, *, no_body=False):
        """Sends a request."""
        reply = http_client.IncomingResponse(reused=False)
        first, *lines = data.partition(b"\r\n\r\n")[0].decode().split("\r\n")
        named = dict(line.lower().split(": ", 1) for line in lines)
        key = named.get("x-shard-key")
        sent = float(named.get("x-sent", 0.0))
        self._answer = asyncio.create_task(
            self._exchange(
                reply,
                first.split(" ")[1],
                int(key) if key is not None else None,
                sent,
            )
        )
        return reply

    async def _exchange(self, reply, path, key, sent):
        await asyncio.sleep(_WAY)
        status, said = await self._target.handle(self._vm, path, key, sent)
        await asyncio.sleep(_WAY)
        reply.status, reply.headers = status, said
        reply.complete = True
        self._target.passed.append((virtual.now(), self._vm, dict(said)))

    async def wait_complete(self, reply, most):
        """Waits for the answer."""
        await self._answer

    def abort(self):
        """Ends it."""
        if self._answer is not None:
            self._answer.cancel()

    def close(self):
        """Ends it."""


class _Pool:
    """One VM's connections."""

    def __init__(self, fleet, vm):
        self._fleet = fleet
        self._vm = vm

    async def connect(self, address, idle, timeout):
        """Connects to a target."""
        target = self._fleet.target_at(address)
        if target is None:
            raise http_client.NotSentError(address)
        return _Connection(self._fleet, self._vm, target)

    def release(self, connection, address):
        """Takes a connection back."""


class _Channel:
    """One VM's way to its peers."""

    def __init__(self, fleet, here):
        self._fleet = fleet
        self._here = here

    def send(self, address, message):
        """Sends a datagram."""
        vm = self._fleet.reaches(self._here, address)
        if vm is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(_WAY, vm.admission.receive, self._here, message)

    async def call(self, address, path, body, timeout, *, fresh=False):
        """Makes a call."""
        link = self._fleet.link
        if link is None or not self._fleet.apart(self._here, address):
            await asyncio.sleep(_WAY)
            vm = self._fleet.reaches(self._here, address)
            if vm is None:
                await asyncio.sleep(timeout)
                return None
            answer = await vm.answer(path, body)
            await asyncio.sleep(_WAY)
            return answer
        ways = ("back", "there")
        if self._fleet.zone_of(self._here) != "z":
            ways = ("there", "back")
        try:
            async with asyncio.timeout(timeout):
                await link.carry(len(body) + 250, path, ways[0])
                vm = self._fleet.reaches(self._here, address)
                while vm is None:
                    await asyncio.sleep(timeout)
                answer = await vm.answer(path, body)
                if path == messages.REPORT_PATH:
                    await asyncio.sleep(self._fleet.report_seconds)
                size = len(answer or b"") + 150
                await link.carry(size, f"{path} answered", ways[1])
                return answer
        except TimeoutError:
            return None


class Vm:
    """One VM."""

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
        timer, self.log = fleet.clock, fakes.Lines()
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
        store = fakes.Cut(fleet.store)
        if fleet.link is not None and zone != "z":
            store = links.FarStore(fleet.store, fleet.link)
        self.store = store
        channel = _Channel(fleet, name)
        boot = f"boot-{name}-{fleet.started}"
        fleet.started += 1
        self.leading = leader_role.LeaderRole(
            configured,
            boot,
            store,
            fleet.orders,
            channel,
            self.cluster,
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
        queues, crashes = (
            wait_queues.WaitQueues(),
            crash_detection.CrashDetector(),
        )
        self.admission = admission_service.AdmissionService(
            configured, channel, self.cluster, timer
        )
        self.peers = membership.Membership(
            configured,
            boot,
            store,
            channel,
            self.cluster,
            self.balancer,
            self.leading,
            queues,
            self.admission,
            self.watcher,
            crashes,
            timer,
            self.log,
        )
        pool = _Pool(fleet, name)
        self.dispatcher = dispatching.Dispatcher(
            configured,
            self.cluster,
            self.balancer,
            self.peers,
            queues,
            self.admission,
            timer,
            load_probing.LoadProber(
                health.HealthClient(pool),
                self.cluster,
                self.balancer,
                timer,
                self.log,
            ),
        )
        self.forwarding = forwarding.Forwarder(
            configured,
            headers.NAMES,
            headers.read_target_feedback,
            pool,
            self.cluster,
            self.balancer,
            self.peers,
            self.dispatcher,
            crashes,
            metrics.Metrics({}),
            timer,
            self.log,
        )
        self.peers.set_address(name)
        if fleet.watched:
            self.watcher.start()
        self.peers.start()

    async def answer(self, path, body):
        """Answers a peer's call."""
        if path == messages.ASSIGN_PATH:
            self.peers.apply_push(messages.decode(body, messages.ReportReply))
            return messages.encode(messages.UpdateAck())
        if path == messages.REPORT_PATH:
            report = messages.decode(body, messages.Report)
            return messages.encode(self.leading.take_report(report))
        if path == messages.LEADER_CONTACT_PATH:
            return messages.encode(self.peers.leader_contact())
        if path == messages.RELAY_PATH:
            relay = messages.decode(body, messages.Relay)
            return messages.encode(await self.peers.relay(relay))
        if path == messages.EXTEND_PATH:
            request = messages.decode(body, messages.ExtensionRequest)
            return messages.encode(await self.leading.witness.answer(request))
        return None

    def end(self):
        """Ends it as a kill would."""
        self.leading.step_down("end")
        self.watcher.stop()
        self.peers.abort()


class Fleet:
    """VMs, targets and callers.

    Attributes:
        vms: By name, which is their address as well.
        targets: By identifier.
        cut: Pairs of VMs that do not reach each other.
        statuses: How many answers callers got, by status.
        refusals: Retry-After of all refusals.
        watched: Whether VMs learn configuration and targets from the store;
            they know the first ones from the start otherwise.
        report_seconds: Time that an answer to a report from beyond the link
            takes.
        link: The link between zone `z`, where the store is, and all others;
            None for one without a bound.
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
        self.chance = random.Random(seed)
        self.targets = {}
        for service, count in ((KEYED, keyed), (PLAIN, plain)):
            for number in range(count):
                name = f"{service}{number}"
                made = Target(name, service, self.orders, **target)
                self.targets[name] = made
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
        """Whether a link lies between two VMs."""
        return (self.zone_of(here) == "z") != (self.zone_of(address) == "z")

    def target_at(self, address):
        """Returns the target at an address, None if there is none."""
        for target in self.targets.values():
            if address in (target.address, f"{target.id}:80"):
                return target
        return None

    def write_configuration(self, version, extra=0):
        """Has operators write a version; returns when.

        Args:
            version: The version.
            extra: Number of routes besides those to the two services; all of
                them are new with each version.
        """
        rules = [(name, name, f"/{name}/") for name in (KEYED, PLAIN)]
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
                {"Name": PLAIN},
            ],
        }
        return self.store.put("op/config", msgspec.json.encode(written))

    def leave(self, target):
        """Has a target register that it leaves; returns when."""
        return self.store.put(
            f"servers/{target.id}", target.record(leaving=True)
        )

    def reaches(self, here, address):
        """Returns a VM if another one reaches it."""
        if (here, address) in self.cut or (address, here) in self.cut:
            return None
        return self.vms.get(address)

    def isolate(self, *names):
        """Cuts VMs off from all others and from the store."""
        for name in names:
            self.vms[name].store.failing = fakes.UNAVAILABLE
            self.cut.update((name, other) for other in self.vms)

    def rejoin(self, *names):
        """Ends the isolation of VMs."""
        for name in names:
            self.vms[name].store.failing = None
            self.cut -= {(name, other) for other in self.vms}

    def apply_target(self, registration):
        """Has all VMs hear of a registration."""
        for vm in self.vms.values():
            vm.cluster.apply_target(registration)

    def leader(self):
        """Returns the VM that leads."""
        return next(vm for vm in self.vms.values() if vm.leading.leading)

    def end(self):
        """Ends all VMs."""
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
            seconds: For how long.
            rate: Requests a second.
            path: `/k` for keys, `/p` for others.
            key: Draws a key; None for requests without one.
            vms: Names of the VMs that get them; all if empty.
        """
        ends = virtual.now() + seconds
        asked = []
        while (wait := self.chance.expovariate(rate)) + virtual.now() < ends:
            await asyncio.sleep(wait)
            name = self.chance.choice(sorted(vms or self.vms))
            if name in self.vms:
                drawn = key(self.chance) if key is not None else None
                asked.append(asyncio.create_task(self.ask(name, path, drawn)))
        await asyncio.sleep(max(ends - virtual.now(), 0.0))
        return asked

    async def ask(self, name, path, key=None, deadline_ms=2000):
        """Makes one request."""
        now = virtual.now()
        incoming = http_server.Request("GET", f"{path}/".encode(), now)
        incoming.headers = [
            (b"host", b"h"),
            (b"x-attempt-id", b"a%d" % self.chance.randrange(1 << 40)),
            (b"x-deadline-ms", b"%d" % deadline_ms),
            (b"x-sent", b"%f" % now),
        ]
        if key is not None:
            incoming.headers.append((b"x-shard-key", b"%d" % key))
        answer = await self.vms[name].forwarding.handle(incoming)
        self.statuses[answer.status] += 1
        named = dict(answer.headers)
        if answer.status == 503 and b"x-server-seal" not in named:
            self.refusals.append(float(named[b"retry-after"]))
        return answer


def _rule(name, service, prefix):
    return {
        "Name": name,
        "RouteKind": "idempotent",
        "MatchCriteria": {"Prefix": prefix},
        "RouteAction": {
            "ServiceName": service,
            "TimeoutMs": 2000,
            "MaxAttempts": 2,
        },
        "TargetLatencyMs": 400,
    }


def any_key(chance):
    """Draws any key."""
    return chance.randrange(65536)


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
