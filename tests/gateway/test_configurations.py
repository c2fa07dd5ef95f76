"""Changes between versions of the configuration, and how they are sent."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from mimosastile_core.gateway import configurations
from mimosastile_core.gateway import routes


def _route(name, service="s"):
    return routes.Route(
        name=name,
        host="h.example",
        prefix=f"/{name}/",
        kind=routes.RouteKind.IDEMPOTENT,
        parts=(routes.Part(service),),
        timeout=1.0,
        target_latency=0.3,
    )


def _version(number, *names, service="s", limits=None):
    return routes.Configuration(
        number,
        tuple(_route(name, service) for name in names),
        {service: routes.Service(service)},
        limits or routes.CallerLimits(),
    )


class TestChange:
    """A change turns one version into the other."""

    @pytest.mark.parametrize(
        ("old", "new", "count"),
        [
            (_version(1, "a", "b"), _version(2, "a", "b"), 0),
            (_version(1, "a", "b"), _version(2, "a", "b", "c"), 1),
            (_version(1, "a", "b"), _version(2, "b"), 0),
            (_version(1, "a", "b"), _version(2, "a", "b", service="t"), 2),
            (
                _version(1, "a"),
                _version(2, "a", limits=routes.CallerLimits(body_bytes=1)),
                0,
            ),
        ],
    )
    def test_changes_only_what_differs(self, old, new, count):
        """A change contains only what differs."""
        change = configurations.change(old, new)
        assert configurations.apply(old, change) == new
        assert len(change.routes) == count

    @pytest.mark.parametrize(
        ("old", "new"),
        [
            (_version(1, "a", "b"), _version(2, "b", "a")),
            (_version(1, "a", "a"), _version(2, "a")),
            (_version(1, "a"), _version(2, "a", "a")),
        ],
    )
    def test_inexpressible_changes(self, old, new):
        """No change is returned where it could not express the difference."""
        assert configurations.change(old, new) is None

    def test_other_base(self):
        """A change does not apply to a version other than its base."""
        change = configurations.change(_version(1, "a"), _version(2, "b"))
        assert configurations.apply(_version(3, "a"), change) is None

    def test_change_is_small(self):
        """One route of a thousand changes.

        If each version were sent whole, it would fill the link between regions
        for part of a second, and callers beyond the link would wait.
        """
        names = [f"r-{i}" for i in range(1000)]
        old, new = _version(1, *names), _version(2, *names, "r-new")
        change = msgspec.json.encode(configurations.change(old, new))
        assert len(change) * 100 < len(msgspec.json.encode(new))

    @hypothesis.given(
        old=st.lists(st.sampled_from("abcdef"), max_size=6),
        new=st.lists(st.sampled_from("abcdef"), max_size=6),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_exact_or_none(self, old, new):
        """A change is either exact or not returned."""
        one, other = _version(1, *old), _version(2, *new)
        change = configurations.change(one, other)
        if change is not None:
            assert configurations.apply(one, change) == other


class TestHistory:
    """Versions only rise, and a VM that is behind gets the missing changes."""

    def test_takes_newer_only(self):
        """An older version never replaces a newer one."""
        history = configurations.History(4)
        assert history.add(_version(2, "a"))
        assert not history.add(_version(2, "b"))
        assert not history.add(_version(1, "b"))
        assert history.present == _version(2, "a")

    @pytest.mark.parametrize(
        ("known", "kind"),
        [
            (-1, routes.Configuration),
            (1, routes.Configuration),
            (4, configurations.Change),
            (5, type(None)),
            (9, type(None)),
        ],
    )
    def test_since(self, known, kind):
        """VMs far behind get the whole version; current ones get nothing."""
        history = configurations.History(3)
        for number in range(1, 6):
            history.add(_version(number, "a", f"r-{number}"))
        assert isinstance(history.since(known), kind)

    def test_equal_routes_are_shared(self):
        """Versions share their equal routes."""
        history = configurations.History(3)
        history.add(_version(1, "a", "b"))
        first = history.present.routes[0]
        history.add(_version(2, "a", "c"))
        assert history.present.routes[0] is first
