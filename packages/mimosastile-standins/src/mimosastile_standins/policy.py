"""Simulation of the request path that compares policies in virtual time.

Queues, limits, load balancing, retries and pacing are the core's own code.
A simulated target has slots, a service time and a connection limit only. Each
baseline strategy replaces one decision and gets the same arrivals.
"""

import asyncio
import collections
from collections.abc import Callable
import random

import msgspec

from mimosastile_core import balancing
from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import limits
from mimosastile_core import queueing
from mimosastile_core import retries
from mimosastile_standins import deployments
from mimosastile_standins import virtual

_REPORT_INTERVAL_SECONDS = 0.1
_UNLIMITED_BURST = 1e9
_SLOT_SHARE_SECONDS = 0.1
_SHARE_REQUEST_DELAYS_SECONDS = (0.0, 0.06)


class Strategy(msgspec.Struct, frozen=True):
    """Selects for each decision the product's policy or a baseline's.

    Attributes:
        name: Name in the report.
        fair: Fair queue with early rejection at the keeper, the entry VM
            through which alone a target gets requests and grants; otherwise
            first come, first served.
        queued: The keeper counts slots; otherwise every request is forwarded
            and waits at the target.
        limited: Members' limits are enforced.
        balanced: Power of two choices; otherwise plain round robin.
        budgeted: Retries draw on a budget.
        paced: Traffic on the link is paced by priority class.
        dealt: Each target's slots are divided among the entry VMs instead of
            being assigned from one queue.
    """

    name: str
    fair: bool = True
    queued: bool = True
    limited: bool = True
    balanced: bool = True
    budgeted: bool = True
    paced: bool = True
    dealt: bool = False


PRODUCT = Strategy("mimosastile")
STRATEGIES = (
    PRODUCT,
    Strategy("first come first served", fair=False),
    Strategy("no limits", fair=False, queued=False, limited=False),
    Strategy("plain round robin", fair=False, balanced=False),
)


class Load(msgspec.Struct, frozen=True):
    """A stream of requests with equal properties.

    Attributes:
        member: The member that sends the requests.
        service: The requested service.
        rate: Requests per second.
        seconds: Mean service time of a request at a target.
        priority: Priority class of the requests.
        idempotent: Whether a request may run more than once.
        deadline: Seconds until the caller gives up.
    """

    member: str
    service: str
    rate: float
    seconds: float
    priority: config.Priority = config.Priority.INTERACTIVE
    idempotent: bool = True
    deadline: float = 10.0


class Record(msgspec.Struct):
    """The outcome of one request.

    Attributes:
        load: The stream that the request belongs to.
        began: Arrival time in virtual seconds.
        seconds: Time from arrival to the caller's response.
        failure: Kind of the failure, None on success.
        sends: Number of times that a target started to run the request.
    """

    load: Load
    began: float
    seconds: float = 0.0
    failure: errors.ErrorKind | None = None
    sends: int = 0


class FakeTarget:
    """A target with slots, a service time and a connection limit.

    Attributes:
        vm: The target's VM.
        slots: Number of requests that run concurrently.
        alive: Whether the target responds.
        faulty: Fraction of responses that are lost.
        max_concurrency: Largest number of concurrent requests so far.
        sent: Number of requests received.
    """

    def __init__(
        self, vm: fleet.Vm, service: config.Service, generator: random.Random
    ) -> None:
        self.vm = vm
        self.slots = service.slots
        self.alive = True
        self.faulty = 0.0
        self.max_concurrency = 0
        self.sent = 0
        self._random = generator
        self._connections = service.connections
        self._free_slots = asyncio.Semaphore(service.slots)
        self._request_count = 0

    async def run(self, record: Record) -> errors.ErrorKind | None:
        """Runs a request; it waits at the target while all slots are in use."""
        if not self.alive or self._request_count >= self._connections:
            return errors.ErrorKind.UNREACHABLE
        self._request_count += 1
        self.sent += 1
        self.max_concurrency = max(self.max_concurrency, self._request_count)
        try:
            async with self._free_slots:
                record.sends += 1
                mean = record.load.seconds
                # Two thirds of the service time are constant.
                spread = self._random.expovariate(3 / mean)
                await asyncio.sleep(mean * 2 / 3 + spread)
        finally:
            self._request_count -= 1
        if not self.alive or self._random.random() < self.faulty:
            return errors.ErrorKind.ANSWER_LOST
        return None


class FirstComeQueue(queueing.TargetQueue):
    """Baseline: one FIFO queue; no request is rejected before its deadline."""

    def __init__(self, slots: int, policy: config.Queue) -> None:
        super().__init__(slots, policy)
        self._share = slots
        self._queue: collections.deque[queueing.Ticket] = collections.deque()
        self._holders: set[queueing.Ticket] = set()

    @property
    def held(self) -> int:
        """Number of slots in use."""
        return len(self._holders)

    @property
    def queue_length(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    def offer(
        self, ticket: queueing.Ticket, deadline: float, now: float
    ) -> errors.Failure | None | list[queueing.Action]:
        """Takes a free slot or appends the request to the queue."""
        if len(self._holders) < self._share:
            self._holders.add(ticket)
            return None
        ticket.latest = deadline
        self._queue.append(ticket)
        return []

    def leave(
        self, ticket: queueing.Ticket, now: float
    ) -> list[queueing.Action]:
        """Releases a slot or a queue entry and starts the next request."""
        if ticket in self._holders:
            self._holders.remove(ticket)
        elif ticket in self._queue:
            self._queue.remove(ticket)
        return self.resize(self._share)

    def resize(self, share: int) -> list[queueing.Action]:
        """Sets the number of slots and starts requests while slots are free."""
        self._share = share
        actions: list[queueing.Action] = []
        while self._queue and len(self._holders) < share:
            first = self._queue.popleft()
            self._holders.add(first)
            actions.append(queueing.Started(first))
        return actions


class Gate:
    """The queue of one target, or one VM's share of the target's slots."""

    def __init__(self, queue: queueing.TargetQueue) -> None:
        self.queue = queue
        self._waiters: dict[
            queueing.Ticket, asyncio.Future[errors.Failure | None]
        ] = {}

    async def enter(
        self, ticket: queueing.Ticket, deadline: float
    ) -> errors.ErrorKind | None:
        """Waits for a slot; returns the failure's kind if none is granted."""
        now = virtual.now()
        outcome = self.queue.offer(ticket, deadline, now)
        if not isinstance(outcome, list):
            return outcome.kind if outcome else None
        waiter: asyncio.Future[errors.Failure | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[ticket] = waiter
        self.apply(outcome)
        try:
            async with virtual.limit(max(ticket.latest - now, 0.0)):
                refused = await waiter
                return refused.kind if refused else None
        except TimeoutError:
            self.leave(ticket)
            return errors.ErrorKind.QUEUE_TIMEOUT
        finally:
            self._waiters.pop(ticket, None)

    def leave(self, ticket: queueing.Ticket) -> None:
        """Releases a slot or a queue entry."""
        self.apply(self.queue.leave(ticket, virtual.now()))

    def apply(self, actions: list[queueing.Action]) -> None:
        """Passes the queue's decisions to the waiting requests."""
        for action in actions:
            waiter = self._waiters.get(action.ticket)
            if waiter is not None and not waiter.done():
                waiter.set_result(
                    action.failure
                    if isinstance(action, queueing.Refused)
                    else None
                )


class Model:
    """Simulation of a deployment at full size under one strategy.

    Attributes:
        targets: The targets by VM.
        records: The outcomes of all requests.
        changed: Set, and replaced, when a target is removed.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        strategy: Strategy,
        seed: int,
        members: dict[str, config.Member],
    ) -> None:
        """Builds the simulation and starts its background tasks.

        Args:
            deployment: Its zones, VMs and services.
            strategy: The policies to apply.
            seed: Seed of arrivals and service times.
            members: The members with shares and limits.
        """
        self._deployment = deployment
        self._strategy = strategy
        self._random = random.Random(seed)
        self._members = members
        vms = deployment.vms()
        self._entries = [v for v in vms if v.role is fleet.Role.ENTRY]
        self._names = [v.id for v in self._entries]
        self.targets = {
            v.id: FakeTarget(
                v, deployment.backends[v.service].service, self._random
            )
            for v in vms
            if v.role is fleet.Role.TARGET
        }
        self.records: list[Record] = []
        self.changed = asyncio.Event()
        self._gates: dict[tuple[str, str], Gate] = {}
        self._balancers = self._make_balancers()
        self._budgets: dict[tuple[str, str], retries.Budget] = {}
        self._allowances = {
            (vm, name): limits.Allowance(0.0)
            for vm in self._names
            for name in members
        }
        self._ledgers = {
            name: limits.Ledger(-10.0, whole=True) for name in members
        }
        self._round_robin_index = 0
        self._call_tasks: set[asyncio.Task[None]] = set()
        self._background_tasks = [asyncio.create_task(self._share_limits())]
        if strategy.dealt:
            self._background_tasks.append(
                asyncio.create_task(self._share_slots())
            )

    async def offer(self, load: Load, seconds: float) -> None:
        """Sends a stream of requests with Poisson arrivals for `seconds`."""
        end = virtual.now() + seconds
        while virtual.now() < end:
            await asyncio.sleep(self._random.expovariate(load.rate))
            task = asyncio.create_task(self._call(load))
            self._call_tasks.add(task)
            task.add_done_callback(self._call_tasks.discard)

    async def drain(self) -> None:
        """Waits for all requests and cancels the background tasks."""
        while self._call_tasks:
            await asyncio.gather(*self._call_tasks)
        for task in self._background_tasks:
            task.cancel()

    def crash(self, target: str) -> None:
        """Crashes a target; requests that run on it get no response."""
        self.targets[target].alive = False

    def remove_target(self, target: str) -> None:
        """Removes a target from the list of VMs."""
        removed = self.targets.pop(target)
        self._refresh(removed.vm.service)
        self.changed.set()
        self.changed = asyncio.Event()

    def targets_of(self, service: str) -> list[str]:
        """Returns a service's targets."""
        return [t for t, f in self.targets.items() if f.vm.service == service]

    def _make_balancers(
        self,
    ) -> dict[tuple[str, str], balancing.Balancer]:
        balancers = {
            (vm.id, service): balancing.Balancer(
                balancing.Locality(vm.region, vm.zone)
            )
            for vm in self._entries
            for service in self._deployment.backends
        }
        self._balancers = balancers
        for service in self._deployment.backends:
            self._refresh(service)
        return balancers

    def _refresh(self, service: str) -> None:
        candidates = [
            balancing.Candidate(t, balancing.Locality(f.vm.region, f.vm.zone))
            for t, f in self.targets.items()
            if f.vm.service == service
        ]
        slots = self._deployment.backends[service].service.slots
        for (_, name), balancer in self._balancers.items():
            if name == service:
                balancer.update(candidates, slots, virtual.now())

    async def _call(self, load: Load) -> None:
        record = Record(load, virtual.now())
        self.records.append(record)
        # The platform's load balancer distributes calls evenly.
        vm = self._entries[self._round_robin_index % len(self._entries)]
        self._round_robin_index += 1
        record.failure = await self._call_within_limits(vm, load, record)
        record.seconds = virtual.now() - record.began

    async def _call_within_limits(
        self, vm: fleet.Vm, load: Load, record: Record
    ) -> errors.ErrorKind | None:
        member = self._members[load.member]
        allowance = self._allowances[vm.id, load.member]
        if not self._strategy.limited:
            return await self._route(vm, load, record)
        allowance.record_arrival()
        admitted = self._admit(allowance, member)
        if not admitted and not await self._request_share(vm, load.member):
            return errors.ErrorKind.MEMBER_LIMIT
        try:
            return await self._route(vm, load, record)
        finally:
            allowance.release()

    async def _route(
        self, vm: fleet.Vm, load: Load, record: Record
    ) -> errors.ErrorKind | None:
        service = self._deployment.backends[load.service].service
        policy = service.retry
        if not self._strategy.budgeted:
            policy = config.Retry(budget=1.0, burst=_UNLIMITED_BURST)
        budget = self._budgets.setdefault(
            (vm.id, load.service), retries.Budget(policy)
        )
        budget.earn(policy)
        key = self._random.random()
        attempts = retries.Attempts(
            idempotent=load.idempotent,
            streamed=False,
            sharded=service.key is not None,
            deadline=record.began + load.deadline,
        )
        while True:
            changed = self.changed
            target = self._choose(vm, load.service, key, attempts)
            kind = await self._attempt(vm, target, load, record)
            if kind is None:
                return None
            attempts.avoid |= {target}
            decision = attempts.after(
                kind, policy, budget, virtual.now(), self._random.random()
            )
            if decision.step is retries.Step.GIVE_UP:
                return kind
            try:
                async with virtual.limit(decision.seconds):
                    await changed.wait()
            except TimeoutError:
                continue

    def _choose(
        self,
        vm: fleet.Vm,
        service: str,
        key: float,
        attempts: retries.Attempts,
    ) -> str:
        names = self.targets_of(service)
        if self._deployment.backends[service].service.key is not None:
            return names[int(key * len(names))]
        if not self._strategy.balanced:
            self._round_robin_index += 1
            return names[self._round_robin_index % len(names)]
        chosen = self._balancers[vm.id, service].choose(
            attempts.avoid,
            virtual.now(),
            self._random.random(),
            self._random.random(),
        )
        assert chosen is not None
        return chosen

    async def _attempt(
        self, vm: fleet.Vm, target: str, load: Load, record: Record
    ) -> errors.ErrorKind | None:
        balancer = self._balancers[vm.id, load.service]
        simulated = self.targets[target]
        delay = self._delay(vm, simulated.vm)
        began = virtual.now()
        balancer.begin(target)
        await asyncio.sleep(delay)
        kind = await self._run_at_keeper(vm, simulated, load, record)
        await asyncio.sleep(delay)
        balancer.end(target)
        if kind is None:
            balancer.record_response(
                target, virtual.now() - began, virtual.now()
            )
        elif kind is not errors.ErrorKind.OVERLOADED:
            balancer.record_failure(target, virtual.now())
        return kind

    async def _run_at_keeper(
        self, vm: fleet.Vm, target: FakeTarget, load: Load, record: Record
    ) -> errors.ErrorKind | None:
        if not self._strategy.queued:
            return await target.run(record)
        gate = self._gate(vm, target, load.service)
        member = self._members[load.member]
        ticket = queueing.Ticket(load.member, load.priority, member.share)
        refused = await gate.enter(ticket, record.began + load.deadline)
        if refused is not None:
            return refused
        try:
            return await target.run(record)
        finally:
            gate.leave(ticket)

    def _gate(self, vm: fleet.Vm, target: FakeTarget, service: str) -> Gate:
        key = (target.vm.id, vm.id if self._strategy.dealt else "")
        gate = self._gates.get(key)
        if gate is None:
            settings = self._deployment.backends[service].service
            kind: Callable[[int, config.Queue], queueing.TargetQueue] = (
                queueing.TargetQueue if self._strategy.fair else FirstComeQueue
            )
            slots = 0 if self._strategy.dealt else settings.slots
            gate = Gate(kind(slots, settings.queue))
            self._gates[key] = gate
        return gate

    def _delay(self, entry: fleet.Vm, target: fleet.Vm) -> float:
        deployment = self._deployment
        if entry.region != target.region:
            return deployment.between_regions
        if entry.zone != target.zone:
            return deployment.between_zones
        return deployment.in_zone

    async def _request_share(self, vm: fleet.Vm, name: str) -> bool:
        """Requests a larger share from the member's allocator.

        The daemon's retries are simulated too.
        """
        allowance = self._allowances[vm.id, name]
        if not allowance.may_request(virtual.now()):
            return False
        allocator = self._entries[
            self._names.index(limits.allocator(name, self._names))
        ]
        for delay in _SHARE_REQUEST_DELAYS_SECONDS:
            await asyncio.sleep(delay + 2 * self._delay(vm, allocator))
            self._report(vm.id, name, 1)
            if self._admit(allowance, self._members[name]):
                return True
            allowance.record_refusal(virtual.now())
        return False

    def _admit(
        self, allowance: limits.Allowance, member: config.Member
    ) -> bool:
        return allowance.admit(
            member.concurrency, member.rate, len(self._names), virtual.now()
        )

    def _report(self, vm: str, name: str, requested: int = 0) -> None:
        now = virtual.now()
        allowance = self._allowances[vm, name]
        need, _ = allowance.needs(now, requested)
        limit = self._members[name].concurrency
        if limit:
            share = self._ledgers[name].report(
                vm, need, limit, self._names, now
            )
            allowance.grant(share, 0.0, now)

    async def _share_limits(self) -> None:
        """Divides the members' limits among the entry VMs."""
        while True:
            for vm, name in self._allowances:
                self._report(vm, name)
            await asyncio.sleep(_REPORT_INTERVAL_SECONDS)

    async def _share_slots(self) -> None:
        """Divides each target's slots among the entry VMs by need.

        The baseline is better than any real one: reports and shares are
        exchanged without delay.
        """
        while True:
            for name, target in self.targets.items():
                service = self._deployment.backends[target.vm.service].service
                self._share_target_slots(name, service.slots)
            await asyncio.sleep(_SLOT_SHARE_SECONDS)

    def _share_target_slots(self, target: str, slots: int) -> None:
        gates = [
            gate for (name, _), gate in self._gates.items() if name == target
        ]
        queues = [
            (gate, gate.queue)
            for gate in gates
            if isinstance(gate.queue, FirstComeQueue)
        ]
        shares = {gate: queue.held for gate, queue in queues}
        wanted = {gate: queue.queue_length for gate, queue in queues}
        for _ in range(slots - sum(shares.values())):
            if not queues:
                return
            recipient = max(shares, key=lambda g: (wanted[g], -shares[g]))
            shares[recipient] += 1
            wanted[recipient] -= 1
        for gate, queue in queues:
            gate.apply(queue.resize(shares[gate]))
