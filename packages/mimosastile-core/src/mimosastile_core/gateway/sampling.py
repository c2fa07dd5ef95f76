"""Selects the few targets whose loads a VM compares for a request.

With hundreds of VMs, no VM has the current load of all targets: reported counts
are older than the duration of a request. Comparing the current load of a few
randomly chosen targets (the power of two choices) comes close to knowing all
loads, and its cost does not depend on the number of VMs or targets.

Each VM draws from a subset of the targets, so that its connections to them are
used often enough to stay open. Subsets differ between VMs and overlap.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import zlib

import msgspec

from mimosastile_core.gateway import directory

_SUBSET_SIZE = 8
"""Number of targets at each distance that a VM draws from."""


class Pool(msgspec.Struct, frozen=True):
    """The targets that a VM draws samples from.

    Attributes:
        nearest: The targets at the smallest distance.
        all: All of the targets, the nearest included.
    """

    nearest: tuple[directory.Target, ...]
    all: tuple[directory.Target, ...]


def pool(
    targets: Iterable[directory.Target],
    vm: str,
    distance: Callable[[directory.Target], int],
) -> Pool:
    """Returns a VM's subset of the targets.

    Args:
        targets: All targets that may be used.
        vm: Identifier of the VM.
        distance: Returns the distance rank of a target.
    """
    ordered = sorted(
        targets,
        key=lambda t: (distance(t), zlib.crc32(f"{vm}/{t.id}".encode())),
    )
    rings = [
        tuple(itertools.islice(ring, _SUBSET_SIZE))
        for _, ring in itertools.groupby(ordered, key=distance)
    ]
    return Pool(rings[0] if rings else (), tuple(itertools.chain(*rings)))


def sample(
    drawn: Pool,
    count: int,
    random: Callable[[], float],
    excluded: Callable[[directory.Target], bool],
) -> list[directory.Target]:
    """Draws different targets to compare, the nearest ones first.

    Args:
        drawn: The targets to draw from.
        count: Number of targets to draw.
        random: Returns a number from 0 to 1.
        excluded: Whether a target is left out.
    """
    nearest = _draw(
        [t for t in drawn.nearest if not excluded(t)], count, random
    )
    missing = count - len(nearest)
    if not missing:
        return nearest
    others = [t for t in drawn.all if not excluded(t) and t not in nearest]
    return nearest + _draw(others, missing, random)


def _draw(
    targets: Sequence[directory.Target],
    count: int,
    random: Callable[[], float],
) -> list[directory.Target]:
    """Draws up to `count` targets, all with the same probability."""
    left = list(targets)
    return [
        left.pop(min(int(random() * len(left)), len(left) - 1))
        for _ in range(min(count, len(left)))
    ]
