"""Tests of the configuration document."""

import json

import pytest

from mimosastile_core import config

SHARED = {"credentials": ["a" * 64]}


class TestDecode:
    """Decoding and validation of documents."""

    @pytest.mark.parametrize(
        ("text", "named"),
        [
            (b'{"service": {}}', "service"),
            (b'{"services": {"X": {}}}', "services"),
            (b'{"services": {"s": {"slots": 0}}}', "slots"),
            (b'{"services": {"s": {"checks_expiry": true}}}', "checks_orders"),
            (
                b'{"services": {"s": {"grant": {"ttl": 1, "renew": 0.9}}}}',
                "services.s.grant.renew",
            ),
            (
                b'{"services": {"s": {"key": {"place": "header"}}}}',
                "services.s.key.name",
            ),
            (
                json.dumps({"members": {"a": SHARED, "b": SHARED}}).encode(),
                "members.b.credentials",
            ),
            (b"\xff", ""),
        ],
    )
    def test_error_names_the_path(self, text, named):
        """The error message contains the path of the invalid field."""
        assert named in config.decode_document(text).unwrap_err()

    def test_empty_document_is_valid(self):
        """A new deployment starts with an empty configuration."""
        assert config.decode_document(b"{}").unwrap() == config.Document()


class TestRoutes:
    """Priority and idempotency by path and method."""

    SERVICE = config.Service(
        routes=(
            config.Route("/", priority=config.Priority.INTERACTIVE),
            config.Route("/archive", ("GET",), priority=config.Priority.BULK),
        )
    )

    @pytest.mark.parametrize(
        ("method", "path", "priority"),
        [
            ("GET", "/archive/1", config.Priority.BULK),
            ("POST", "/archive/1", config.Priority.INTERACTIVE),
            ("GET", "/letters", config.Priority.INTERACTIVE),
        ],
    )
    def test_longest_matching_prefix_wins(self, method, path, priority):
        """A route for other methods does not match."""
        route = config.route_for(self.SERVICE, path, method)
        assert route.priority is priority

    @pytest.mark.parametrize(
        ("declared", "method", "expected"),
        [
            (None, "GET", True),
            (None, "POST", False),
            (True, "POST", True),
            (False, "GET", False),
        ],
    )
    def test_idempotency(self, declared, method, expected):
        """The declared value takes precedence over the method's default."""
        route = config.Route(idempotent=declared)
        assert config.is_idempotent(route, method) is expected
