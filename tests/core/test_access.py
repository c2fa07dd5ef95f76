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
    """Authentication by bearer token."""

    @pytest.mark.parametrize(
        ("authorization", "name"),
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
    def test_header(self, authorization, name):
        """A digest is not a token; both tokens of a rotation are valid."""
        principal = access.identify(authorization, DOCUMENT, BOOT)
        assert (principal.name if principal else None) == name

    def test_bootstrap_is_valid_only_before_the_first_operator(self):
        """A bootstrap token left in place gives no access afterwards."""
        principal = access.identify("Bearer boot", config.Document(), BOOT)
        assert principal.covers_all
        assert access.identify("Bearer boot", config.Document()) is None
        assert access.identify("Bearer boot", DOCUMENT, BOOT) is None

    def test_every_digest_is_compared(self, monkeypatch):
        """The response time reveals nothing about a guessed token.

        A comparison that stops at the first match or the first wrong byte
        lets an attacker find a token byte by byte (timing attack).
        """
        compared = []

        def compare(one, other):
            compared.append(one)
            return one == other

        monkeypatch.setattr(hmac, "compare_digest", compare)
        for token in ("admin", "new", "guess"):
            compared.clear()
            access.identify(f"Bearer {token}", DOCUMENT)
            assert len(compared) == 3


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
        """Role and scope must both allow it; the failure says which fails."""
        principal = access.Principal("x", operator)
        refused = access.check_role(principal, paths) or access.check_paths(
            principal, paths
        )
        assert (refused is None) == (named is None)
        if refused is not None:
            assert refused.kind is errors.ErrorKind.FORBIDDEN
            assert named in refused.detail

    @pytest.mark.parametrize("path", ["", "/services", "/operators/x", "/x"])
    def test_whole_sections_need_full_scope(self, path):
        """A team cannot change others' entries through a common parent."""
        team = access.Principal("team", TEAM)
        assert access.check_paths(team, (path,)) is not None


class TestVisible:
    """The parts of documents and changes that an operator may read."""

    def test_entries_out_of_scope_are_left_out(self):
        """The document has no foreign services and no operators' digests."""
        visible = access.visible_document(
            access.Principal("team", TEAM), DOCUMENT
        )
        assert set(visible.services) == {"desk"}
        assert set(visible.members) == {"m"}
        assert visible.operators == {}
        admin = access.Principal("admin", ADMIN)
        assert access.visible_document(admin, DOCUMENT) == DOCUMENT

    @pytest.mark.parametrize(
        ("path", "is_visible"),
        [("/services/desk", True), ("/members/n", False)],
    )
    def test_values_of_changes_out_of_scope_are_hidden(self, path, is_visible):
        """The author and the paths of such a change remain visible."""
        operation = {"op": "remove", "path": path}
        change = config.Change(
            1, "patch-0001", "ana", "why", "", 0.0, (operation,), (path,)
        )
        team = access.Principal("team", TEAM)
        visible = access.visible_change(team, change)
        assert bool(visible.operations) == is_visible
        assert (visible.author, visible.paths) == ("ana", (path,))
