"""Tests of the lookup of routes and of exact shares of divided routes."""

import collections

import pytest

from mimosastile_core.gateway import routes


def _route(prefix, host="desk.example", parts=(routes.Part("a"),)):
    return routes.Route(
        prefix, host, prefix, routes.RouteKind.IDEMPOTENT, parts, 1.0, 0.4
    )


TABLE = routes.RouteTable(
    (_route("/"), _route("/letters/"), _route("/letters/new/"))
)


class TestFind:
    """The route of a request."""

    @pytest.mark.parametrize(
        ("host", "path", "expected"),
        [
            ("desk.example", "/letters/7", "/letters/"),
            ("desk.example", "/letters/new/7", "/letters/new/"),
            ("desk.example", "/letters/new", "/letters/"),
            ("desk.example", "/letters", "/"),
            ("desk.example", "/", "/"),
            ("DESK.example:80", "/letters/7", "/letters/"),
            ("other.example", "/letters/7", None),
            ("desk.example", "*", None),
            ("desk.example", "", None),
        ],
    )
    def test_longest_prefix(self, host, path, expected):
        """The longest prefix of the path wins."""
        found = TABLE.find(host, path)
        assert (found.prefix if found else None) == expected

    def test_later_route_replaces_earlier(self):
        """Of two routes with the same prefix the last one applies."""
        other = _route("/", parts=(routes.Part("b"),))
        assert (
            routes.RouteTable((_route("/"), other)).find("desk.example", "/x")
            is other
        )


class TestShares:
    """Division of a route's requests."""

    @pytest.mark.parametrize(
        "weights", [(90, 10), (1, 1, 1), (70, 20, 10), (0.5, 0.25), (1, 0)]
    )
    def test_exact_over_any_span(self, weights):
        """Each part is less than one request off its share."""
        parts = tuple(
            routes.Part(f"s{i}", weight) for i, weight in enumerate(weights)
        )
        shares, route = routes.WeightedShares(), _route("/", parts=parts)
        got = collections.Counter()
        for number in range(1, 200):
            got[shares.next(route)] += 1
            for part in parts:
                expected = number * part.weight / sum(weights)
                assert abs(got[part.service] - expected) < 1.01

    def test_new_weights_start_without_credits(self):
        """Credits of former weights have no effect."""
        shares = routes.WeightedShares()
        old = _route("/", parts=(routes.Part("a", 1), routes.Part("b", 1)))
        shares.next(old)
        new = _route("/", parts=(routes.Part("a", 1), routes.Part("b", 3)))
        shares.keep((new,))
        got = collections.Counter(shares.next(new) for _ in range(40))
        assert got == {"a": 10, "b": 30}
