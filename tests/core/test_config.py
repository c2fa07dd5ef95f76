"""Tests of the configuration document."""

import json

import pytest

from mimosastile_core import config

SHARED = {"credentials": ["a" * 64]}


class TestDecode:
    """Reading what operators wrote."""

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
    def test_mistake_names_its_place(self, text, named):
        """The message says where the mistake is."""
        assert named in config.decode_document(text).unwrap_err()

    def test_empty_document_is_good(self):
        """A new deployment starts with nothing."""
        assert config.decode_document(b"{}").unwrap() == config.Document()


class TestRoutes:
    """Class and idempotency by path."""

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
    def test_longest_fitting_prefix_wins(self, method, path, priority):
        """A route with other methods does not fit."""
        found = config.route_for(self.SERVICE, path, method)
        assert found.priority is priority

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
        """What the operator declares goes before the method."""
        route = config.Route(idempotent=declared)
        assert config.is_idempotent(route, method) is expected
