"""Eligibility of targets for a request, regardless of their load.

A route may be restricted to regions, and operators may have evacuated zones.
Both are rules, not preferences: an excluded target is never used, even if no
other target is left.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import enum

import msgspec

from mimosastile_core.gateway import routes


class Exclusion(enum.Enum):
    """Why a target may not run a request."""

    OUTSIDE_REGIONS = "outside the allowed regions"
    EVACUATED = "in an evacuated zone"


class Evacuations(msgspec.Struct, frozen=True):
    """Zones whose targets get no new work.

    Attributes:
        zones: Names of the zones, sorted.
        revision: The store's revision as of which the list holds.
    """

    zones: tuple[str, ...] = ()
    revision: int = 0


class Eligibility:
    """Filters targets by location: allowed regions, then evacuated zones."""

    __slots__ = ("_evacuated", "_regions")

    def __init__(
        self, regions: Mapping[str, str], evacuated: Iterable[str] = ()
    ) -> None:
        """Creates the filters.

        Args:
            regions: Region of each zone. A zone without one is in no region
                that a route could allow.
            evacuated: Zones that are evacuated.
        """
        self._regions = regions
        self._evacuated = frozenset(evacuated)

    def exclusion(
        self, zone: str, allowed: Collection[str]
    ) -> Exclusion | None:
        """Returns why a zone's targets may not run a request, None if they may.

        Args:
            zone: Zone of the target.
            allowed: Regions that the request's route allows; empty for any.
        """
        if allowed and self._regions.get(zone) not in allowed:
            return Exclusion.OUTSIDE_REGIONS
        if zone in self._evacuated:
            return Exclusion.EVACUATED
        return None

    def allows(self, zone: str, allowed: Collection[str]) -> bool:
        """Whether a zone's targets may run a request."""
        return self.exclusion(zone, allowed) is None


def owner_regions(
    configuration: routes.Configuration, service: str
) -> tuple[str, ...]:
    """Returns the regions where owners of a service's keys should be located.

    A request for a key can only go to its owner. If owners are in regions that
    all routes to the service allow, no request is refused because of the
    location of its key.

    Args:
        configuration: The configuration in force.
        service: Name of the service.

    Returns:
        Regions that all restricted routes to the service allow; empty for any,
        also if there is no such region.
    """
    bound = [
        set(route.regions)
        for route in configuration.routes
        if route.regions and any(p.service == service for p in route.parts)
    ]
    return tuple(sorted(set.intersection(*bound))) if bound else ()
