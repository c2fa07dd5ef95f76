"""Baseline key assignment algorithms to compare with placement.

Each takes the live targets and the trace, and returns an owner for each key.
The baselines need no consensus and no handover, so they have no unavailable
time to compare; only load and moved keys are compared.
"""

import bisect
from collections.abc import Sequence
import functools

import msgspec

from mimosastile_core import keys

_POINTS_PER_TARGET = 100
_LOAD_FACTOR = 1.15


class Key(msgspec.Struct, frozen=True):
    """A key of a trace.

    Attributes:
        position: Hash of the key.
        load: Fraction of the total load.
    """

    position: int
    load: float


def modulo(trace: Sequence[Key], targets: Sequence[str]) -> list[str]:
    """Assigns keys by hash modulo the number of targets."""
    names = sorted(targets)
    return [names[key.position % len(names)] for key in trace]


@functools.lru_cache(maxsize=1 << 20)
def _weight(position: int, target: str) -> int:
    return keys.key_hash(f"{position}/{target}")


def rendezvous(trace: Sequence[Key], targets: Sequence[str]) -> list[str]:
    """Assigns keys by rendezvous hashing (highest random weight)."""
    return [
        max(targets, key=lambda t, p=key.position: _weight(p, t))  # type: ignore[misc]
        for key in trace
    ]


def bounded(trace: Sequence[Key], targets: Sequence[str]) -> list[str]:
    """Assigns keys by consistent hashing with bounded loads.

    A key goes to the next target on the ring whose load stays within the bound;
    the bound counts load, not keys. If no target has that much room, as for a
    key with more load than the bound, it goes to the next target on the ring.
    """
    ring = sorted(
        (keys.key_hash(f"{target}#{i}"), target)
        for target in targets
        for i in range(_POINTS_PER_TARGET)
    )
    points = [point for point, _ in ring]
    max_load = _LOAD_FACTOR * sum(key.load for key in trace) / len(targets)
    loads = dict.fromkeys(targets, 0.0)
    owners = []
    for key in trace:
        start = bisect.bisect_left(points, key.position) % len(ring)
        successors = (
            ring[(start + i) % len(ring)][1] for i in range(len(ring))
        )
        owner = next(
            (t for t in successors if loads[t] + key.load <= max_load),
            ring[start][1],
        )
        loads[owner] += key.load
        owners.append(owner)
    return owners


BASELINES = {
    "modulo": modulo,
    "rendezvous": rendezvous,
    "bounded": bounded,
}
"""Assignment algorithms by name."""
