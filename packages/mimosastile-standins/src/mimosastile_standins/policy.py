"""A model of the request path for measuring policy in virtual time.

The decisions are the core's own: queues, limits, balance, retries, pacing.
Targets are no more than slots, a service time and a connection limit. Baseline
strategies replace one decision each and see the same arrivals.
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

_REPORT_SECONDS = 0.1
_FOR_EVER = 1e9
_DEAL_SECONDS = 0.1
_ASK_PAUSES = (0.0, 0.06)


class Strategy(msgspec.Struct, frozen=True):
    """Which decisions are the product's and which a baseline's.

    Attributes:
        name: Name in the report.
        fair: Fair queue with early refusal at the keeper; else first come,
            first served.
        queued: Slots are counted at the keeper; else everything is sent on
            and waits at the target.
        limited: Members' limits are kept.
        balanced: Least loaded of two; else plain round robin.
        budgeted: Retries draw on a budget.
        paced: What crosses the link is paced by class.
        dealt: Slots are dealt out among entry VMs instead of one queue.
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
    """A stream of like requests.

    Attributes:
        member: Who sends.
        service: What is asked.
        rate: Requests a second.
        seconds: Mean time that a target needs for one.
        priority: Their class.
        idempotent: Whether they may run twice.
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
    """What became of one request.

    Attributes:
        load: The stream it belongs to.
        began: When it came.
        seconds: Time until its caller had the answer.
        failure: Why it failed, None if it did not.
        sends: How often a target began to run it.
    """

    load: Load
    began: float
    seconds: float = 0.0
    failure: errors.ErrorKind | None = None
    sends: int = 0


class FakeTarget:
    """Slots, a service time and a connection limit.

    Attributes:
        vm: Where it stands.
        slots: Requests that it runs at a time.
        alive: Whether it answers.
        faulty: Share of its answers that are lost.
        overrun: Largest number of requests at one time.
        sent: Requests that reached it.
    """

    def __init__(
        self, vm: fleet.Vm, service: config.Service, chance: random.Random
    ) -> None:
        self.vm = vm
        self.slots = service.slots
        self.alive = True
        self.faulty = 0.0
        self.overrun = 0
        self.sent = 0
        self._chance = chance
        self._connections = service.connections
        self._turns = asyncio.Semaphore(service.slots)
        self._present = 0

    async def run(self, record: Record) -> errors.ErrorKind | None:
        """Runs a request; it waits inside if all slots are taken."""
        if not self.alive or self._present >= self._connections:
            return errors.ErrorKind.UNREACHABLE
        self._present += 1
        self.sent += 1
        self.overrun = max(self.overrun, self._present)
        try:
            async with self._turns:
                record.sends += 1
                mean = record.load.seconds
                # Two thirds of the time are the same for all requests.
                spread = self._chance.expovariate(3 / mean)
                await asyncio.sleep(mean * 2 / 3 + spread)
        finally:
            self._present -= 1
        if not self.alive or self._chance.random() < self.faulty:
            return errors.ErrorKind.ANSWER_LOST
        return None


class FirstComeQueue(queueing.TargetQueue):
    """Baseline: one line for all, nobody refused before the deadline."""

    def __init__(self, slots: int, policy: config.Queue) -> None:
        super().__init__(slots, policy)
        self._share = slots
        self._line: collections.deque[queueing.Ticket] = collections.deque()
        self._holders: set[queueing.Ticket] = set()

    @property
    def held(self) -> int:
        """Slots that are held."""
        return len(self._holders)

    @property
    def line(self) -> int:
        """Requests that wait."""
        return len(self._line)

    def offer(
        self, ticket: queueing.Ticket, deadline: float, now: float
    ) -> errors.Failure | None | list[queueing.Action]:
        """Takes a free slot or the end of the line."""
        if len(self._holders) < self._share:
            self._holders.add(ticket)
            return None
        ticket.latest = deadline
        self._line.append(ticket)
        return []

    def leave(
        self, ticket: queueing.Ticket, now: float
    ) -> list[queueing.Action]:
        """Gives a slot to the first in line."""
        if ticket in self._holders:
            self._holders.remove(ticket)
        elif ticket in self._line:
            self._line.remove(ticket)
        return self.resize(self._share)

    def resize(self, share: int) -> list[queueing.Action]:
        """Takes another number of slots and starts whom it can."""
        self._share = share
        actions: list[queueing.Action] = []
        while self._line and len(self._holders) < share:
            first = self._line.popleft()
            self._holders.add(first)
            actions.append(queueing.Started(first))
        return actions


class Gate:
    """The queue of one target, or one VM's dealt share of its slots."""

    def __init__(self, queue: queueing.TargetQueue) -> None:
        self.queue = queue
        self._turns: dict[
            queueing.Ticket, asyncio.Future[errors.Failure | None]
        ] = {}

    async def enter(
        self, ticket: queueing.Ticket, deadline: float
    ) -> errors.ErrorKind | None:
        """Waits for a slot; returns why there is none."""
        now = virtual.now()
        outcome = self.queue.offer(ticket, deadline, now)
        if not isinstance(outcome, list):
            return outcome.kind if outcome else None
        turn: asyncio.Future[errors.Failure | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._turns[ticket] = turn
        self.carry_out(outcome)
        try:
            async with virtual.limit(max(ticket.latest - now, 0.0)):
                refused = await turn
                return refused.kind if refused else None
        except TimeoutError:
            self.leave(ticket)
            return errors.ErrorKind.QUEUE_TIMEOUT
        finally:
            self._turns.pop(ticket, None)

    def leave(self, ticket: queueing.Ticket) -> None:
        """Gives a slot or a place in the queue back."""
        self.carry_out(self.queue.leave(ticket, virtual.now()))

    def carry_out(self, actions: list[queueing.Action]) -> None:
        """Tells waiting requests what the queue decided."""
        for action in actions:
            turn = self._turns.get(action.ticket)
            if turn is not None and not turn.done():
                turn.set_result(
                    action.failure
                    if isinstance(action, queueing.Refused)
                    else None
                )


class Model:
    """A deployment at full size under one strategy.

    Attributes:
        targets: The targets by VM.
        records: What became of all requests.
        owners: Key to target, for services divided by key.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        strategy: Strategy,
        seed: int,
        members: dict[str, config.Member],
    ) -> None:
        """Builds it.

        Args:
            deployment: Its places and services.
            strategy: Who decides.
            seed: Seed of arrivals and service times.
            members: The members with shares and limits.
        """
        self._deployment = deployment
        self._strategy = strategy
        self._chance = random.Random(seed)
        self._members = members
        vms = deployment.vms()
        self._entries = [v for v in vms if v.role is fleet.Role.ENTRY]
        self._names = [v.id for v in self._entries]
        self.targets = {
            v.id: FakeTarget(
                v, deployment.backends[v.service].service, self._chance
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
        self._turn = 0
        self._calls: set[asyncio.Task[None]] = set()
        self._helpers = [asyncio.create_task(self._deal())]
        if strategy.dealt:
            self._helpers.append(asyncio.create_task(self._deal_slots()))

    async def offer(self, load: Load, seconds: float) -> None:
        """Sends a stream of requests, at random moments, for some time."""
        end = virtual.now() + seconds
        while virtual.now() < end:
            await asyncio.sleep(self._chance.expovariate(load.rate))
            task = asyncio.create_task(self._call(load))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def drain(self) -> None:
        """Waits for all requests and ends the model's own tasks."""
        while self._calls:
            await asyncio.gather(*self._calls)
        for task in self._helpers:
            task.cancel()

    def lose(self, target: str) -> None:
        """Kills a target; those that run on it get no answer."""
        self.targets[target].alive = False

    def forget(self, target: str) -> None:
        """Lets the list of VMs say that a target is gone."""
        lost = self.targets.pop(target)
        self._refresh(lost.vm.service)
        self.changed.set()
        self.changed = asyncio.Event()

    def targets_of(self, service: str) -> list[str]:
        """Returns a service's targets."""
        return [t for t, f in self.targets.items() if f.vm.service == service]

    def _make_balancers(
        self,
    ) -> dict[tuple[str, str], balancing.Balancer]:
        made = {
            (vm.id, service): balancing.Balancer(
                balancing.Locality(vm.region, vm.zone)
            )
            for vm in self._entries
            for service in self._deployment.backends
        }
        self._balancers = made
        for service in self._deployment.backends:
            self._refresh(service)
        return made

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
        # The platform's balancer deals callers out evenly.
        vm = self._entries[self._turn % len(self._entries)]
        self._turn += 1
        record.failure = await self._within_limits(vm, load, record)
        record.seconds = virtual.now() - record.began

    async def _within_limits(
        self, vm: fleet.Vm, load: Load, record: Record
    ) -> errors.ErrorKind | None:
        member = self._members[load.member]
        allowance = self._allowances[vm.id, load.member]
        if not self._strategy.limited:
            return await self._route(vm, load, record)
        allowance.record_arrival()
        admitted = self._admit(allowance, member)
        if not admitted and not await self._ask(vm, load.member):
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
            policy = config.Retry(budget=1.0, burst=_FOR_EVER)
        budget = self._budgets.setdefault(
            (vm.id, load.service), retries.Budget(policy)
        )
        budget.earn(policy)
        key = self._chance.random()
        attempts = retries.Attempts(
            idempotent=load.idempotent,
            streamed=False,
            sharded=service.key is not None,
            deadline=record.began + load.deadline,
        )
        while True:
            changed = self.changed
            target = self._choose(vm, load.service, key, attempts)
            kind = await self._once(vm, target, load, record)
            if kind is None:
                return None
            attempts.avoid |= {target}
            decision = attempts.after(
                kind, policy, budget, virtual.now(), self._chance.random()
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
            self._turn += 1
            return names[self._turn % len(names)]
        chosen = self._balancers[vm.id, service].choose(
            attempts.avoid,
            virtual.now(),
            self._chance.random(),
            self._chance.random(),
        )
        assert chosen is not None
        return chosen

    async def _once(
        self, vm: fleet.Vm, target: str, load: Load, record: Record
    ) -> errors.ErrorKind | None:
        balancer = self._balancers[vm.id, load.service]
        run = self.targets[target]
        delay = self._delay(vm, run.vm)
        began = virtual.now()
        balancer.begin(target)
        await asyncio.sleep(delay)
        kind = await self._at_keeper(vm, run, load, record)
        await asyncio.sleep(delay)
        balancer.end(target)
        if kind is None:
            balancer.record_response(
                target, virtual.now() - began, virtual.now()
            )
        elif kind is not errors.ErrorKind.OVERLOADED:
            balancer.record_failure(target, virtual.now())
        return kind

    async def _at_keeper(
        self, vm: fleet.Vm, run: FakeTarget, load: Load, record: Record
    ) -> errors.ErrorKind | None:
        if not self._strategy.queued:
            return await run.run(record)
        gate = self._gate(vm, run, load.service)
        member = self._members[load.member]
        ticket = queueing.Ticket(load.member, load.priority, member.share)
        refused = await gate.enter(ticket, record.began + load.deadline)
        if refused is not None:
            return refused
        try:
            return await run.run(record)
        finally:
            gate.leave(ticket)

    def _gate(self, vm: fleet.Vm, run: FakeTarget, service: str) -> Gate:
        at = (run.vm.id, vm.id if self._strategy.dealt else "")
        gate = self._gates.get(at)
        if gate is None:
            settings = self._deployment.backends[service].service
            kind: Callable[[int, config.Queue], queueing.TargetQueue] = (
                queueing.TargetQueue if self._strategy.fair else FirstComeQueue
            )
            slots = 0 if self._strategy.dealt else settings.slots
            gate = Gate(kind(slots, settings.queue))
            self._gates[at] = gate
        return gate

    def _delay(self, entry: fleet.Vm, target: fleet.Vm) -> float:
        made = self._deployment
        if entry.region != target.region:
            return made.between_regions
        if entry.zone != target.zone:
            return made.between_zones
        return made.in_zone

    async def _ask(self, vm: fleet.Vm, name: str) -> bool:
        """Asks the member's dealer for a larger share, as the daemon does."""
        allowance = self._allowances[vm.id, name]
        if not allowance.may_request(virtual.now()):
            return False
        at = self._entries[
            self._names.index(limits.allocator(name, self._names))
        ]
        for pause in _ASK_PAUSES:
            await asyncio.sleep(pause + 2 * self._delay(vm, at))
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

    def _report(self, vm: str, name: str, asking: int = 0) -> None:
        now = virtual.now()
        allowance = self._allowances[vm, name]
        need, _ = allowance.needs(now, asking)
        limit = self._members[name].concurrency
        if limit:
            share = self._ledgers[name].report(
                vm, need, limit, self._names, now
            )
            allowance.grant(share, 0.0, now)

    async def _deal(self) -> None:
        """Deals the members' limits out among the entry VMs."""
        while True:
            for vm, name in self._allowances:
                self._report(vm, name)
            await asyncio.sleep(_REPORT_SECONDS)

    async def _deal_slots(self) -> None:
        """Deals each target's slots out among entry VMs by need.

        Better than can be had: reports and shares travel in no time.
        """
        while True:
            for target, run in self.targets.items():
                service = self._deployment.backends[run.vm.service].service
                self._deal_target(target, service.slots)
            await asyncio.sleep(_DEAL_SECONDS)

    def _deal_target(self, target: str, slots: int) -> None:
        gates = [
            gate for (name, _), gate in self._gates.items() if name == target
        ]
        queues = [
            (gate, gate.queue)
            for gate in gates
            if isinstance(gate.queue, FirstComeQueue)
        ]
        shares = {gate: queue.held for gate, queue in queues}
        wanted = {gate: queue.line for gate, queue in queues}
        for _ in range(slots - sum(shares.values())):
            if not queues:
                return
            neediest = max(shares, key=lambda g: (wanted[g], -shares[g]))
            shares[neediest] += 1
            wanted[neediest] -= 1
        for gate, queue in queues:
            gate.carry_out(queue.resize(shares[gate]))
