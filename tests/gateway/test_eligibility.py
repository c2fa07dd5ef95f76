"""Which targets may run a request because of their location."""

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import routes
from tests.gateway import fakes

REGIONS = {"a": "north", "b": "north", "c": "south"}
OUTSIDE = eligibility.Exclusion.OUTSIDE_REGIONS
EVACUATED = eligibility.Exclusion.EVACUATED


class TestExclusion:
    """Order of the filters."""

    @pytest.mark.parametrize(
        ("zone", "allowed", "evacuated", "expected"),
        [
            ("a", (), (), None),
            ("a", ("north",), (), None),
            ("c", ("north",), (), OUTSIDE),
            ("c", ("north", "south"), (), None),
            ("a", ("nowhere",), (), OUTSIDE),
            ("unknown", (), (), None),
            ("unknown", ("north",), (), OUTSIDE),
            ("a", (), ("a",), EVACUATED),
            ("a", ("north",), ("a", "b"), EVACUATED),
            ("c", ("north",), ("c",), OUTSIDE),
            ("c", (), ("a",), None),
        ],
    )
    def test_by_location(self, zone, allowed, evacuated, expected):
        """Guards against using targets that a route or evacuation excludes."""
        filters = eligibility.Eligibility(REGIONS, evacuated)
        assert filters.exclusion(zone, allowed) is expected
        assert filters.allows(zone, allowed) is (expected is None)


def _route(name, regions, *services):
    parts = tuple(routes.Part(s) for s in services)
    return fakes.route(name=name, regions=regions, parts=parts)


class TestOwnerRegions:
    """Regions where the owners of a service's keys should be located."""

    @pytest.mark.parametrize(
        ("restricted", "expected"),
        [
            ([], ()),
            ([()], ()),
            ([("north",)], ("north",)),
            ([(), ("north",)], ("north",)),
            ([("north", "south"), ("south", "west")], ("south",)),
            ([("north",), ("south",)], ()),
        ],
    )
    def test_all_routes_restrict(self, restricted, expected):
        """Guards against keys whose owner no request may reach."""
        configuration = routes.Configuration(
            1,
            tuple(
                _route(f"r{n}", regions, "s")
                for n, regions in enumerate(restricted)
            ),
        )
        found = eligibility.owner_regions(configuration, "s")
        assert found == expected

    def test_other_services_do_not_restrict(self):
        """A route to another service does not restrict this one."""
        configuration = routes.Configuration(
            1, (_route("r", ("north",), "other"),)
        )
        assert eligibility.owner_regions(configuration, "s") == ()

    @hypothesis.given(
        st.lists(
            st.lists(st.sampled_from(["north", "south", "west"]), unique=True)
        )
    )
    def test_every_restricted_route_allows_them(self, restricted):
        """Owners are in regions that each restricted route allows, if any."""
        configuration = routes.Configuration(
            1,
            tuple(
                _route(f"r{n}", tuple(regions), "s")
                for n, regions in enumerate(restricted)
            ),
        )
        for region in eligibility.owner_regions(configuration, "s"):
            assert all(region in regions for regions in restricted if regions)
