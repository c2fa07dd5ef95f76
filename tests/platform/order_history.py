"""Random histories of leaders, tables and targets that hold keys."""

import asyncio
import contextlib
import itertools
import json
import random
from unittest import mock

from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import ranges
from mimosastile_gateway import grant_reconciliation
from mimosastile_gateway import http_client
from mimosastile_gateway import planning
from mimosastile_gateway import ports
from mimosastile_platform import orders
from mimosastile_platform import records
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.platform import order_world

Trouble = order_world.Trouble

_SERVICE = "s"
_TARGETS = 5
_DURATION_SECONDS = 25.0
_SETTLE_SECONDS = 1.5
_PLAN_SECONDS = 0.25
_CONFIRM_SECONDS = 0.5
_AUTHORITY_SECONDS = 3.0
_LOST_PAUSE_SECONDS = 3.0
_EXPIRED_REGISTRATION_SECONDS = 1.5
_PERMITS = 1
_END_CHECK_SECONDS = 0.1
_TROUBLE_PROBABILITY = 0.3


class _Leader:
    """One term of a leader: its reconciler, view of the cluster and planner.

    Attributes:
        epoch: Epoch of the term.
        cut: Whether it is cut off from the store.
    """

    def __init__(self, history, epoch, former):
        world = history.world
        self.epoch = epoch
        self.cut = False
        self._history = history
        self._draws = world.draws
        self._clock = fakes.VirtualClock()
        self._log = fakes.MemoryEvents()
        self._log.write = self._write
        self.cluster = fakes.new_cluster_state(self._clock, self._log)
        self._lease = leadership.LeaderLease(_AUTHORITY_SECONDS)
        self._lease.confirm(virtual.now())
        self._pool = http_client.Pool(2.0)
        self._excluded_until = {}
        self._table = None
        self._tasks = []
        with contextlib.ExitStack() as stack:
            if Trouble.FEW_PERMITS in self._draws.troubles:
                stack.enter_context(
                    mock.patch.object(
                        grant_reconciliation,
                        "_MAX_CONCURRENT_GRANTS",
                        _PERMITS,
                    )
                )
            self.reconciler = grant_reconciliation.GrantReconciler(
                fakes.configured(authority=_AUTHORITY_SECONDS),
                orders.OrderClient(self._pool),
                self.cluster,
                self._clock,
                self._log,
                self._lease,
                former,
                history.alive_at,
                lambda: None,
            )

    def _write(self, part, event, **fields):
        self._history.world.note(f"leader {self.epoch}: {event} {fields}")

    def start(self, table):
        """Applies the stored table and starts to plan."""
        if table is not None:
            self._load(table)
        self._tasks = [
            asyncio.create_task(self._plan_on()),
            asyncio.create_task(self._confirm_on()),
        ]

    def stop(self):
        """Steps down."""
        for task in self._tasks:
            task.cancel()
        self.reconciler.stop()
        self._pool.close()

    def _load(self, table):
        self._table = table
        for owner in table.owners():
            self.cluster.directory.record_incarnation(
                owner.id, owner.born, owner.address, virtual.now()
            )
        self.reconciler.apply(table)

    async def _confirm_on(self):
        while True:
            await asyncio.sleep(_CONFIRM_SECONDS)
            if self.cut:
                continue
            self._lease.confirm(virtual.now())

    async def _plan_on(self):
        draws = self._draws
        while True:
            await asyncio.sleep(_PLAN_SECONDS)
            table = self._next_table()
            if table is None:
                continue
            released = self.reconciler.released_fences()
            if released:
                table = ranges.remove_released(table, released, table.commit)
            seconds = 0.01
            if draws.hits(Trouble.SLOW_STORE, 0.3):
                seconds = draws.seconds(Trouble.SLOW_STORE, 0.05, 0.8)
            await asyncio.sleep(seconds)
            if self.cut:
                continue
            self._apply(table)

    def _apply(self, table):
        """Stores a table and applies it, as a commit does."""
        first_new_fence = self._table.next_fence if self._table else 0
        unchanged = {
            item.owner for item in table.ranges if item.fence < first_new_fence
        }
        self._table = self._history.table = table
        self.reconciler.apply(table)
        # In an order that does not depend on the hashes of strings.
        renewed = sorted(table.owners() - unchanged, key=lambda h: h.id)
        self.reconciler.resume(renewed)

    def _next_table(self):
        ready = {
            target.id: planning.holder(target)
            for target in self.cluster.directory.ready(_SERVICE)
        }
        table = self._table
        if table is None:
            if len(ready) < _TARGETS - 1:
                return None
            return _cut_to_points(
                ranges.initial_table(
                    _SERVICE, dict.fromkeys(ready.values(), 1.0), "c"
                )
            )
        renewed = {
            owner: ready[owner.id]
            for owner in sorted(table.owners(), key=lambda owner: owner.id)
            if owner.id in ready
            and (ready[owner.id] != owner or self.reconciler.needs_fence(owner))
        }
        if renewed:
            self._note("refences", [h.id for h in renewed])
            return ranges.refence(table, renewed, "c")
        return self._moved(table, ready) or self._cleaned(table)

    def _moved(self, table, ready):
        now = virtual.now()
        draws = self._draws.of("moves")
        owners = table.owners()
        lost = {o for o in owners if self.reconciler.is_unresponsive(o)}
        if len(lost) * 2 > len(owners):
            lost = set()
        for owner in lost:
            self._excluded_until[owner.id] = now + _LOST_PAUSE_SECONDS
        usable = [
            holder
            for name, holder in sorted(ready.items())
            if self._excluded_until.get(name, 0.0) <= now
        ]
        if not usable:
            return None
        lost |= {owner for owner in owners if owner.id not in ready}
        moves = [
            ranges.Move(item.first, item.last, draws.choice(usable))
            for item in table.ranges
            if item.owner in lost
        ]
        if not moves and draws.random() < 0.6:
            first = draws.randrange(order_world.POINTS)
            last = min(first + draws.randrange(4), order_world.POINTS - 1)
            moves = [
                ranges.Move(
                    first * order_world.POINT_WIDTH,
                    (last + 1) * order_world.POINT_WIDTH - 1,
                    draws.choice(usable),
                )
            ]
        if not moves:
            return None
        moved = ranges.move(table, moves, "c")
        if moved.next_fence == table.next_fence:
            return None
        self._note(
            "moves",
            [
                (
                    m.first // order_world.POINT_WIDTH,
                    m.last // order_world.POINT_WIDTH,
                    m.to.id,
                )
                for m in moves
            ],
        )
        return moved

    def _cleaned(self, table):
        released = self.reconciler.released_fences()
        if released:
            return ranges.remove_released(table, released, "c")
        joined = ranges.join(table, 3, "c")
        return joined if len(joined.ranges) < len(table.ranges) else None

    def _note(self, what, details):
        self._history.world.note(f"leader {self.epoch} {what} {details}")


def _cut_to_points(table):
    """Returns a table whose ranges end at borders of sampled keys."""
    width = order_world.POINT_WIDTH
    cut = []
    for item in table.ranges:
        first = cut[-1].last + 1 if cut else 0
        last = (item.last + 1) // width * width - 1
        cut.append(ranges.Range(first, last, item.owner, item.fence))
    return ranges.RangeTable(
        table.service, table.commit, 1, table.next_fence, tuple(cut)
    )


class History:
    """One history, determined by a seed and the troubles that it may have.

    Attributes:
        world: The targets and the rule.
        table: The stored table.
        alive_at: Times at which targets last responded to callers.
    """

    def __init__(self, seed, troubles):
        self.world = order_world.World(order_world.Draws(seed, troubles))
        self.table = None
        self.alive_at = {}
        self._draws = self.world.draws
        self._epochs = itertools.count(1)
        self._revisions = itertools.count(1)
        self._leaders = []
        self._items = {}
        self._running = {}
        self._free_addresses = []
        self._tasks = []

    async def run(self):
        """Runs the history; returns the violations of the rule."""
        loop = asyncio.get_running_loop()
        with mock.patch.object(loop, "create_connection", self.world.connect):
            for index in range(_TARGETS):
                self._start(f"t{index}", self.world.new_address())
            self._new_leader()
            everything = [
                self.world.sample(),
                self._work(),
                self._change_leaders(),
                *(self._trouble_target(f"t{i}") for i in range(_TARGETS)),
            ]
            self._tasks += [asyncio.create_task(c) for c in everything]
            await self._wait()
            for task in self._tasks:
                if task.done() and not task.cancelled():
                    task.result()
            for leader in self._leaders:
                leader.stop()
        return self.world.violations

    async def _wait(self):
        """Waits for the end of the history or the first violation."""
        ends = virtual.now() + _DURATION_SECONDS
        while virtual.now() < ends and not self.world.violations:
            await asyncio.sleep(_END_CHECK_SECONDS)

    # Leaders.

    def _new_leader(self):
        now = virtual.now()
        former = former_leaders.FormerLeaders(now)
        if self._leaders:
            configured = fakes.configured()
            former = former_leaders.FormerLeaders(
                now + _AUTHORITY_SECONDS,
                usual_hold=configured.leader.hold,
                longest_hold=configured.bounds.hold_most,
            )
        leader = _Leader(self, next(self._epochs), former)
        self.world.note(f"leader {leader.epoch} begins")
        self._leaders.append(leader)
        for item in self._items.values():
            _apply_item(leader, item)
        leader.start(self.table)

    async def _change_leaders(self):
        draws = self._draws
        while True:
            await asyncio.sleep(draws.of("leaders").uniform(2.0, 8.0))
            cut = draws.hits(Trouble.CUT_LEADERS, 0.5)
            new = draws.hits(Trouble.NEW_LEADERS, 0.8)
            if cut:
                self._leaders[-1].cut = True
                # It gives orders until its lease expires.
                await asyncio.sleep(draws.of("leaders").uniform(0.0, 2.0))
            elif new:
                self._leaders[-1].stop()
            if cut or new:
                self._new_leader()

    # Registrations.

    def _register(self, process, **changes):
        item = {
            "ServiceName": _SERVICE,
            "Address": process.address,
            "Zone": process.zone,
            "ConfigVersion": "v1",
            "Slots": 4,
            "State": "ready",
            "WarmupLeftMs": 0,
            "SeqNo": 1,
            "born": process.born,
        }
        item = {k: v for k, v in (item | changes).items() if v is not None}
        self._publish(process.id, json.dumps(item).encode())

    def _publish(self, name, value):
        """Writes a registration, or removes it if the value is None."""
        key = records.TARGETS_PREFIX + name
        item = ports.Item(key, value or b"", next(self._revisions))
        if value is None:
            self._items.pop(name, None)
        else:
            self._items[name] = item
        self.world.note(f"registration of {name}: {value}")
        for leader in self._leaders:
            seconds = self._draws.of("notices").uniform(0.005, 0.2)
            asyncio.get_running_loop().call_later(
                seconds, _apply_item, leader, item
            )

    # Targets.

    def _start(self, name, address):
        zone = "far" if name == "t0" else "z"
        born = 1 + int(virtual.now() * 1000)
        process = self.world.start(name, born, address, zone)
        self._running[name] = process
        late = self._draws.hits(Trouble.LATE_REGISTRATIONS, 0.4)
        seconds = 0.0
        if late:
            seconds = self._draws.seconds(Trouble.LATE_REGISTRATIONS, 0.1, 2.0)
        asyncio.get_running_loop().call_later(
            seconds, self._register_if_up, process
        )

    def _register_if_up(self, process):
        if process.up:
            self._register(process)

    async def _trouble_target(self, name):
        draws = self._draws
        waits = draws.of(f"{name} waits")
        await asyncio.sleep(_SETTLE_SECONDS)
        while True:
            await asyncio.sleep(waits.uniform(0.5, 4.0))
            process = self._running[name]
            if draws.hits(Trouble.RESETS, 0.4):
                self.world.note(f"connections to {process} are reset")
                for connection in tuple(process.connections):
                    connection.reset()
            if draws.hits(Trouble.CUTS, 0.2):
                self.world.note(f"{process} is cut off")
                process.cut = True
                await asyncio.sleep(draws.seconds(Trouble.CUTS, 0.2, 4.0))
                self.world.note(f"{process} is reached again")
                process.cut = False
                process.healed_at = virtual.now()
            if draws.hits(Trouble.LOST_REGISTRATIONS, 0.1):
                self._publish(name, None)
                await asyncio.sleep(
                    draws.seconds(Trouble.LOST_REGISTRATIONS, 0.1, 3.0)
                )
                self._register(process)
            if draws.hits(Trouble.FOREIGN_REGISTRATIONS, 0.3):
                self._register(
                    process,
                    born=process.born + 1,
                    ConfigVersion=None,
                    WarmupLeftMs=None,
                    SeqNo=None,
                )
                await asyncio.sleep(
                    draws.seconds(Trouble.FOREIGN_REGISTRATIONS, 0.2, 1.5)
                )
                self._register(process)
            if draws.hits(Trouble.RESTARTS, 0.25):
                await self._restart(process)

    async def _restart(self, process):
        draws = self._draws
        self.world.end(process)
        down = draws.seconds(Trouble.RESTARTS, 0.05, 3.0)
        moved = draws.hits(Trouble.NEW_ADDRESSES, 0.5)
        reused = draws.hits(Trouble.REUSED_ADDRESSES, 0.5)
        address = process.address
        if moved or reused:
            address = self.world.new_address()
            if self._free_addresses and reused:
                # An address that another target has had.
                address = self._free_addresses.pop(0)
            self._free_addresses.append(process.address)
        removal = min(down, _EXPIRED_REGISTRATION_SECONDS)
        await asyncio.sleep(removal)
        if down > removal:
            self._publish(process.id, None)
        await asyncio.sleep(down - removal)
        self._start(process.id, address)

    async def _work(self):
        """Gives targets work on the keys that they hold."""
        draws = self._draws
        generator = draws.of("work")
        reported = draws.of("reports").random() < 0.5
        while True:
            await asyncio.sleep(0.1)
            for name, process in self._running.items():
                point = generator.randrange(order_world.POINTS)
                seconds = generator.uniform(0.02, 0.2)
                if draws.hits(Trouble.LONG_WORK, 0.3):
                    seconds = draws.seconds(Trouble.LONG_WORK, 0.2, 3.0)
                process.begin_work(point, seconds)
                if process.up and reported:
                    self.alive_at[name] = virtual.now()


def _apply_item(leader, item):
    """Applies a registration as the watch of the store does."""
    name = item.key.removeprefix(records.TARGETS_PREFIX)
    if not item.value:
        leader.cluster.apply_registrations((), [(name, item.revision)])
        return
    found = records.RecordDecoder().target(item, virtual.now())
    if found.is_ok():
        leader.cluster.apply_registrations((found.ok_value,))


def draw(seed):
    """Returns the troubles of a random history."""
    generator = random.Random(f"{seed} troubles")
    return {t for t in Trouble if generator.random() < _TROUBLE_PROBABILITY}


def play(seed, troubles):
    """Plays a history.

    Returns:
        The violations of the rule, and the trace.
    """

    async def main():
        history = History(seed, troubles)
        await history.run()
        return history.world

    world = virtual.run(main())
    # A history without grants would prove nothing.
    assert any(" takes /grant " in line for line in world.trace)
    return world.violations, world.trace


def shrink(seed, troubles):
    """Returns the troubles without those that the violation does not need."""
    for trouble in sorted(troubles, key=lambda t: t.value):
        rest = troubles - {trouble}
        if play(seed, rest)[0]:
            troubles = rest
    return troubles
