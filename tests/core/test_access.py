"""Tests of tokens, roles and scopes."""

import hmac

import pytest

from mimosastile_core import access
from mimosastile_core import config
from mimosastile_core import errors

ALL = (config.ALL,)
ADMIN = config.Operator(
    (access.digest("admin"),), (config.Role.APPROVE,), ALL, ALL
)
TEAM = config.Operator(
    (access.digest("old"), access.digest("new")),
    (config.Role.PROPOSE, config.Role.OPERATE),
    ("desk",),
    ("m",),
)
DOCUMENT = config.Document(
    services={"desk": config.Service(), "archive": config.Service()},
    members={"m": config.Member(), "n": config.Member()},
    operators={"admin": ADMIN, "team": TEAM},
)
BOOT = access.digest("boot")


class TestIdentify:
    """Who shows which token."""

    @pytest.mark.parametrize(
        ("shown", "name"),
        [
            ("Bearer admin", "admin"),
            ("bearer old", "team"),
            ("Bearer  new ", "team"),
            ("Bearer boot", None),
            ("Bearer ", None),
            ("Basic admin", None),
            ("admin", None),
            ("", None),
            (f"Bearer {access.digest('admin')}", None),
        ],
    )
    def test_header(self, shown, name):
        """A digest is no token; both tokens of a change-over count."""
        found = access.identify(shown, DOCUMENT, BOOT)
        assert (found.name if found else None) == name

    def test_bootstrap_counts_only_before_the_first_operator(self):
        """A forgotten bootstrap token is no back door."""
        found = access.identify("Bearer boot", config.Document(), BOOT)
        assert found.covers_all
        assert access.identify("Bearer boot", config.Document()) is None
        assert access.identify("Bearer boot", DOCUMENT, BOOT) is None

    def test_every_digest_is_compared(self, monkeypatch):
        """The time of an answer tells nothing about a guess.

        A comparison that stops at the first match or the first wrong byte
        lets a stranger find a token piece by piece.
        """
        seen = []

        def compare(one, other):
            seen.append(one)
            return one == other

        monkeypatch.setattr(hmac, "compare_digest", compare)
        for token in ("admin", "new", "guess"):
            seen.clear()
            access.identify(f"Bearer {token}", DOCUMENT)
            assert len(seen) == 3


class TestScope:
    """What an operator may change."""

    @pytest.mark.parametrize(
        ("operator", "paths", "named"),
        [
            (ADMIN, ("/operators/team", "/services/desk"), None),
            (TEAM, ("/services/desk/drains",), None),
            (TEAM, ("/services/desk/moves/k",), None),
            (TEAM, ("/services/desk/slots",), "approve"),
            (TEAM, ("/services/desk/drains", "/members/m"), "approve"),
            (TEAM, ("/services/archive/drains",), "/services/archive/drains"),
            (TEAM, ("/quarantine/cleared/ab",), "scope"),
            (TEAM, ("/operators/team/services",), "approve"),
            (TEAM, ("",), "approve"),
            (TEAM, ("/services",), "approve"),
        ],
    )
    def test_role_and_paths(self, operator, paths, named):
        """Both have to fit; the refusal says which does not."""
        principal = access.Principal("x", operator)
        refused = access.refused_role(principal, paths) or access.refused_paths(
            principal, paths
        )
        assert (refused is None) == (named is None)
        if refused is not None:
            assert refused.kind is errors.ErrorKind.FORBIDDEN
            assert named in refused.detail

    @pytest.mark.parametrize("path", ["", "/services", "/operators/x", "/x"])
    def test_whole_sections_need_everything(self, path):
        """A team cannot reach others through a common parent."""
        team = access.Principal("team", TEAM)
        assert access.refused_paths(team, (path,)) is not None


class TestVisible:
    """What an operator sees."""

    def test_others_are_left_out(self):
        """Neither their services nor anybody's digests."""
        seen = access.visible(access.Principal("team", TEAM), DOCUMENT)
        assert set(seen.services) == {"desk"}
        assert set(seen.members) == {"m"}
        assert seen.operators == {}
        admin = access.Principal("admin", ADMIN)
        assert access.visible(admin, DOCUMENT) == DOCUMENT

    @pytest.mark.parametrize(
        ("path", "shown"), [("/services/desk", True), ("/members/n", False)]
    )
    def test_values_of_changes_outside_are_hidden(self, path, shown):
        """Who changed what and why is seen all the same."""
        operation = {"op": "remove", "path": path}
        change = config.Change(
            1, "patch-0001", "ana", "why", "", 0.0, (operation,), (path,)
        )
        team = access.Principal("team", TEAM)
        seen = access.visible_change(team, change)
        assert bool(seen.operations) == shown
        assert (seen.author, seen.paths) == ("ana", (path,))
