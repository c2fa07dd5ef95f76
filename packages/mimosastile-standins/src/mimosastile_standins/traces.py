"""Event traces: keys with Zipf loads, and placement driven by events alone."""

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

HOTTEST = 520
"""Keys that change places when hot keys move."""

_ROUNDS = 60
_RAMP_ROUNDS = 15


def zipf(count: int, exponent: float, seed: int) -> list[baselines.Key]:
    """Returns keys whose loads follow Zipf's law, by position.

    Args:
        count: How many keys.
        exponent: Exponent of the law.
        seed: Says which keys are hot.
    """
    drawn = random.Random(seed)
    loads = [rank**-exponent for rank in range(1, count + 1)]
    total = sum(loads)
    positions = [keys.key_hash(f"k{i}") for i in range(count)]
    drawn.shuffle(positions)
    pairs = zip(positions, loads, strict=True)
    return sorted(
        (baselines.Key(p, load / total) for p, load in pairs),
        key=lambda key: key.position,
    )


def move_hottest(
    trace: Sequence[baselines.Key], seed: int
) -> list[baselines.Key]:
    """Returns the trace with its hottest keys in other places."""
    drawn = random.Random(seed)
    order = sorted(range(len(trace)), key=lambda i: -trace[i].load)
    hot, cold = order[:HOTTEST], order[HOTTEST:]
    loads = [key.load for key in trace]
    for a, b in zip(hot, drawn.sample(cold, HOTTEST), strict=True):
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
    """Returns the load of each target."""
    held = dict.fromkeys(targets, 0.0)
    for key, owner in zip(trace, owners, strict=True):
        if owner in held:
            held[owner] += key.load
    return held


class Placement:
    """The product's placement of one service, driven by events.

    Every change goes through the core's own functions and the checks of a
    block's successor; a target's acknowledgement is taken as given.

    Attributes:
        moved: Moves made.
    """

    __slots__ = ("_block", "_cold", "_places", "_weights", "moved")

    def __init__(
        self,
        targets: Mapping[str, tuple[str, str]],
        slices: int,
        weights: config.Placement,
    ) -> None:
        """Assigns all slices.

        Args:
            targets: Target to region and zone.
            slices: Slices at the start.
            weights: Weights and bounds.
        """
        self._places = dict(targets)
        self._weights = weights
        self._cold: dict[str, int] = {}
        self.moved = 0
        self._block = tables.empty_block("trace", 0, slices, 1)
        self._keep()
        self._change(
            moves.start_moves(
                self._block, placement.plan_owners(self._block, self._places)
            ).unwrap()
        )

    @property
    def block(self) -> tables.Block:
        """The table as it is."""
        return self._block

    def owners(self, trace: Sequence[baselines.Key]) -> list[str]:
        """Returns the owner of each key."""
        firsts = [piece.first for piece in self._block.slices]
        return [
            self._block.slices[
                bisect.bisect_right(firsts, k.position) - 1
            ].owner
            for k in trace
        ]

    def join(self, target: str, place: tuple[str, str]) -> None:
        """Adds a target, which is cold."""
        self._places[target] = place
        self._cold[target] = 0
        self._keep()

    def lose(self, target: str) -> None:
        """A target's grants lapse; its keeper names new owners."""
        self._places.pop(target)
        proof = moves.Lapsed(target, self._block.keepers[target].fence)
        chosen = placement.owner_chooser(self._block, list(self._places))
        self._change(moves.finish_moves(self._block, proof, chosen).unwrap())

    def leave(self, target: str, trace: Sequence[baselines.Key]) -> None:
        """A target is drained: moves are planned, acknowledged, finished."""
        self._places.pop(target)
        plan = balance_plan.reassign(
            self._block.slices,
            slice_loads(self._block, trace),
            self._candidates(),
            {s.first for s in self._block.slices if s.owner == target},
        )
        self._change(moves.start_moves(self._block, plan).unwrap())
        self._finish()

    def settle(self, trace: Sequence[baselines.Key]) -> int:
        """Plans with the measured load until nothing changes.

        Returns:
            Rounds that it took.
        """
        for number in range(_ROUNDS):
            plan = self._plan(trace)
            self._cold = {t: n + 1 for t, n in self._cold.items()}
            warm = all(n >= _RAMP_ROUNDS for n in self._cold.values())
            if not plan.moves and not plan.splits and warm:
                return number
            if plan.splits:
                self._change(splits.split(self._block, plan.splits).unwrap())
            if plan.moves:
                self._change(
                    moves.start_moves(self._block, plan.moves).unwrap()
                )
                self._finish()
        return _ROUNDS

    def _candidates(self) -> list[balance_plan.Candidate]:
        return [
            balance_plan.Candidate(
                target,
                zone,
                region,
                balance_plan.slow_start_capacity(
                    self._cold.get(target, 99), _RAMP_ROUNDS
                ),
            )
            for target, (region, zone) in self._places.items()
        ]

    def _plan(self, trace: Sequence[baselines.Key]) -> balance_plan.Plan:
        loads = slice_loads(self._block, trace)
        return balance_plan.plan(
            self._block.slices, loads, self._candidates(), self._weights
        )

    def _keep(self) -> None:
        named = {t: (f"keeper-{t}", "run") for t in self._places}
        changed = moves.set_keepers(self._block, named)
        if changed.is_ok():
            self._change(changed.unwrap())

    def _finish(self) -> None:
        moving = [s for s in self._block.slices if s.next]
        for owner, pieces in itertools.groupby(
            sorted(moving, key=lambda s: s.owner), key=lambda s: s.owner
        ):
            firsts = frozenset(s.first for s in pieces)
            proof = moves.Released(
                owner, self._block.keepers[owner].fence, firsts
            )
            self.moved += len(firsts)
            self._change(
                moves.finish_moves(self._block, proof, lambda _: "").unwrap()
            )

    def _change(self, block: tables.Block) -> None:
        self._block = tables.check_successor(self._block, block).unwrap()


def slice_loads(
    block: tables.Block, trace: Sequence[baselines.Key]
) -> dict[int, balance_plan.SliceLoad]:
    """Returns what keepers would report: load and hottest key by slice."""
    positions = [key.position for key in trace]

    def load(piece: tables.Slice) -> balance_plan.SliceLoad:
        inside = trace[
            bisect.bisect_left(positions, piece.first) : bisect.bisect_right(
                positions, piece.last
            )
        ]
        hottest = max(inside, key=lambda k: k.load, default=None)
        return balance_plan.SliceLoad(
            sum(k.load for k in inside),
            hottest.position if hottest else None,
            hottest.load if hottest else 0.0,
        )

    return {piece.first: load(piece) for piece in block.slices}
