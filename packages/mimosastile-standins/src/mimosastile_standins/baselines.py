"""Ways of assigning keys that placement is compared with.

Each knows the live targets and, where it needs it, the load of each key, and
returns an owner for each key. They agree with nobody and wait for nothing, so
they have no unavailable time to compare; what they show is load and moved keys.
"""

import bisect
from collections.abc import Sequence
import functools

import msgspec

from mimosastile_core import keys

_POINTS = 100
_BOUND = 1.15


class Key(msgspec.Struct, frozen=True):
    """A key of a trace.

    Attributes:
        position: Its hash.
        load: Its share of all load.
    """

    position: int
    load: float


def modulo(trace: Sequence[Key], targets: Sequence[str]) -> list[str]:
    """Hashing modulo n."""
    names = sorted(targets)
    return [names[key.position % len(names)] for key in trace]


@functools.lru_cache(maxsize=1 << 20)
def _weight(position: int, target: str) -> int:
    return keys.key_hash(f"{position}/{target}")


def rendezvous(trace: Sequence[Key], targets: Sequence[str]) -> list[str]:
    """Highest random weight."""
    return [
        max(targets, key=lambda t, p=key.position: _weight(p, t))  # type: ignore[misc]
        for key in trace
    ]


def bounded(trace: Sequence[Key], targets: Sequence[str]) -> list[str]:
    """Consistent hashing with bounded loads.

    A key goes to the first target on the ring behind it that stays within the
    bound, by load and not by count. A key that is larger than the bound goes
    to the first one that is empty, or simply to the first.
    """
    ring = sorted(
        (keys.key_hash(f"{target}#{i}"), target)
        for target in targets
        for i in range(_POINTS)
    )
    points = [point for point, _ in ring]
    most = _BOUND * sum(key.load for key in trace) / len(targets)
    held = dict.fromkeys(targets, 0.0)
    owners = []
    for key in trace:
        at = bisect.bisect_left(points, key.position) % len(ring)
        behind = (ring[(at + i) % len(ring)][1] for i in range(len(ring)))
        owner = next(
            (t for t in behind if held[t] + key.load <= most), ring[at][1]
        )
        held[owner] += key.load
        owners.append(owner)
    return owners


BASELINES = {
    "modulo": modulo,
    "rendezvous": rendezvous,
    "bounded": bounded,
}
"""Baselines by name."""
