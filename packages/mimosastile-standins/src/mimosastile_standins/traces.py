"""Key traces with Zipf loads, and event-driven placement without time."""

import bisect
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import random

from mimosastile_core import balance_plan
from mimosastile_core import config
from mimosastile_core import keys
from mimosastile_core import moves
from mimosastile_core import placement
from mimosastile_core import splits
from mimosastile_core import tables
from mimosastile_standins import baselines

HOT_KEY_COUNT = 520
"""Number of hot keys that swap loads with cold keys in `move_hottest`."""

_MAX_ROUNDS = 60
_SLOW_START_ROUNDS = 15


def zipf(count: int, exponent: float, seed: int) -> list[baselines.Key]:
    """Returns keys with Zipf-distributed loads, ordered by position.

    The loads add up to 1.

    Args:
        count: Number of keys.
        exponent: Exponent of the distribution.
        seed: Seed that selects the hot keys.
    """
    generator = random.Random(seed)
    loads = [rank**-exponent for rank in range(1, count + 1)]
    total = sum(loads)
    positions = [keys.key_hash(f"k{i}") for i in range(count)]
    generator.shuffle(positions)
    pairs = zip(positions, loads, strict=True)
    return sorted(
        (baselines.Key(p, load / total) for p, load in pairs),
        key=lambda key: key.position,
    )


def move_hottest(
    trace: Sequence[baselines.Key], seed: int
) -> list[baselines.Key]:
    """Returns the trace with the hottest keys at other positions."""
    generator = random.Random(seed)
    order = sorted(range(len(trace)), key=lambda i: -trace[i].load)
    hot, cold = order[:HOT_KEY_COUNT], order[HOT_KEY_COUNT:]
    loads = [key.load for key in trace]
    for a, b in zip(hot, generator.sample(cold, HOT_KEY_COUNT), strict=True):
        loads[a], loads[b] = loads[b], loads[a]
    return [
        baselines.Key(key.position, load)
        for key, load in zip(trace, loads, strict=True)
    ]


def target_loads(
    trace: Sequence[baselines.Key],
    owners: Sequence[str],
    targets: Sequence[str],
) -> dict[str, float]:
    """Returns the total load of each target."""
    held = dict.fromkeys(targets, 0.0)
    for key, owner in zip(trace, owners, strict=True):
        if owner in held:
            held[owner] += key.load
    return held


class Placement:
    """The product's placement of one service, driven by events.

    Every change uses the core's own functions and passes the check of a block's
    successor. Targets are assumed to acknowledge every release.

    Attributes:
        moved: Number of slices moved by acknowledged releases.
    """

    __slots__ = ("_block", "_locations", "_warmup_rounds", "_weights", "moved")

    def __init__(
        self,
        targets: Mapping[str, tuple[str, str]],
        slices: int,
        weights: config.Placement,
    ) -> None:
        """Assigns all slices.

        Args:
            targets: Region and zone of each target.
            slices: Initial number of slices.
            weights: Weights and bounds of placement.
        """
        self._locations = dict(targets)
        self._weights = weights
        self._warmup_rounds: dict[str, int] = {}
        self.moved = 0
        self._block = tables.empty_block("trace", 0, slices, 1)
        self._update_keepers()
        self._replace_block(
            moves.start_moves(
                self._block, placement.plan_owners(self._block, self._locations)
            ).unwrap()
        )

    @property
    def block(self) -> tables.Block:
        """The current block."""
        return self._block

    def owners(self, trace: Sequence[baselines.Key]) -> list[str]:
        """Returns the owner of each key."""
        firsts = [slice_.first for slice_ in self._block.slices]
        return [
            self._block.slices[
                bisect.bisect_right(firsts, k.position) - 1
            ].owner
            for k in trace
        ]

    def join(self, target: str, location: tuple[str, str]) -> None:
        """Adds a target that starts cold (slow start)."""
        self._locations[target] = location
        self._warmup_rounds[target] = 0
        self._update_keepers()

    def lose(self, target: str) -> None:
        """Removes a target whose grants expired, and assigns new owners."""
        self._locations.pop(target)
        proof = moves.Lapsed(target, self._block.keepers[target].fence)
        choose_owner = placement.owner_chooser(
            self._block, list(self._locations)
        )
        self._replace_block(
            moves.finish_moves(self._block, proof, choose_owner).unwrap()
        )

    def leave(self, target: str, trace: Sequence[baselines.Key]) -> None:
        """Drains a target: plans its moves and finishes them."""
        self._locations.pop(target)
        plan = balance_plan.reassign(
            self._block.slices,
            slice_loads(self._block, trace),
            self._candidates(),
            {s.first for s in self._block.slices if s.owner == target},
        )
        self._replace_block(moves.start_moves(self._block, plan).unwrap())
        self._finish()

    def settle(self, trace: Sequence[baselines.Key]) -> int:
        """Balances by load until a plan is empty and all targets are warm.

        Returns:
            Number of planning rounds, at most 60.
        """
        for number in range(_MAX_ROUNDS):
            plan = self._plan(trace)
            self._warmup_rounds = {
                t: n + 1 for t, n in self._warmup_rounds.items()
            }
            warm = all(
                n >= _SLOW_START_ROUNDS for n in self._warmup_rounds.values()
            )
            if not plan.moves and not plan.splits and warm:
                return number
            if plan.splits:
                self._replace_block(
                    splits.split(self._block, plan.splits).unwrap()
                )
            if plan.moves:
                self._replace_block(
                    moves.start_moves(self._block, plan.moves).unwrap()
                )
                self._finish()
        return _MAX_ROUNDS

    def _candidates(self) -> list[balance_plan.Candidate]:
        return [
            balance_plan.Candidate(
                target,
                zone,
                region,
                balance_plan.slow_start_capacity(
                    self._warmup_rounds.get(target, 99), _SLOW_START_ROUNDS
                ),
            )
            for target, (region, zone) in self._locations.items()
        ]

    def _plan(self, trace: Sequence[baselines.Key]) -> balance_plan.Plan:
        loads = slice_loads(self._block, trace)
        return balance_plan.plan(
            self._block.slices, loads, self._candidates(), self._weights
        )

    def _update_keepers(self) -> None:
        keepers = {t: (f"keeper-{t}", "run") for t in self._locations}
        changed = moves.set_keepers(self._block, keepers)
        if changed.is_ok():
            self._replace_block(changed.unwrap())

    def _finish(self) -> None:
        moving = [s for s in self._block.slices if s.next]
        for owner, slices_ in itertools.groupby(
            sorted(moving, key=lambda s: s.owner), key=lambda s: s.owner
        ):
            firsts = frozenset(s.first for s in slices_)
            proof = moves.Released(
                owner, self._block.keepers[owner].fence, firsts
            )
            self.moved += len(firsts)
            self._replace_block(
                moves.finish_moves(self._block, proof, lambda _: "").unwrap()
            )

    def _replace_block(self, block: tables.Block) -> None:
        self._block = tables.check_successor(self._block, block).unwrap()


def slice_loads(
    block: tables.Block, trace: Sequence[baselines.Key]
) -> dict[int, balance_plan.SliceLoad]:
    """Returns the load report of keepers: load and hottest key by slice."""
    positions = [key.position for key in trace]

    def load(slice_: tables.Slice) -> balance_plan.SliceLoad:
        inside = trace[
            bisect.bisect_left(positions, slice_.first) : bisect.bisect_right(
                positions, slice_.last
            )
        ]
        hottest = max(inside, key=lambda k: k.load, default=None)
        return balance_plan.SliceLoad(
            sum(k.load for k in inside),
            hottest.position if hottest else None,
            hottest.load if hottest else 0.0,
        )

    return {slice_.first: load(slice_) for slice_ in block.slices}
