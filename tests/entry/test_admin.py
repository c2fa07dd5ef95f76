"""Tests of the administration API, called directly as an application."""

import json
import re
from urllib import parse

import administered
import hypothesis
from hypothesis import strategies
import pytest

from mimosastile_entry import _openapi
from mimosastile_standins import virtual


def _patch(path, value, base=1, name="patch-0001", op="add"):
    return {
        "id": name,
        "base": base,
        "reason": "because",
        "operations": [{"op": op, "path": path, "value": value}],
    }


SLOTS = "/services/desk/slots"
DRAINS = "/services/desk/drains"


class TestRefusals:
    """An operator calls the API beyond the permissions of its token.

    The call is refused before it has any effect. The refusal names the missing
    permission, and the audit log records the attempt.
    """

    @pytest.mark.parametrize(
        ("token", "action", "path", "value", "status"),
        [
            ("admin", "apply", "/members/p", {}, 200),
            ("team", "apply", SLOTS, 2, 200),
            ("team", "apply", "/members/m/share", 2.0, 200),
            ("team", "apply", "/services/archive/slots", 2, 403),
            ("team", "apply", "/members/n/share", 2.0, 403),
            ("team", "apply", "/services/new", {}, 403),
            ("team", "apply", "/operators/team/services", ["*"], 403),
            ("team", "propose", "/services/archive/slots", 2, 403),
            ("shift", "apply", DRAINS, ["t0"], 200),
            ("shift", "apply", SLOTS, 2, 403),
            ("shift", "propose", SLOTS, 2, 200),
            ("junior", "propose", SLOTS, 2, 200),
            ("junior", "apply", SLOTS, 2, 403),
            ("guest", "propose", SLOTS, 2, 403),
            ("none", "apply", SLOTS, 2, 403),
            ("wrong", "apply", SLOTS, 2, 401),
            ("", "propose", SLOTS, 2, 401),
        ],
    )
    def test_patches(self, token, action, path, value, status):
        """The paths determine the required role and scope."""

        async def scenario():
            api = await administered.start()
            got, body = await api.apply(_patch(path, value), token, action)
            assert got == status, body
            number = api.world.daemons["e0"].find("configuration").current
            done = action == "apply" and status == 200
            assert number.number == 1 + done
            _, entries = await api.call("GET", "/v1/audit")
            assert bool(entries) == (status >= 400)
            assert token not in {e["detail"] for e in entries} or not token

        virtual.run(scenario())

    @pytest.mark.parametrize("op", ["test", "copy"])
    def test_operations_do_not_reveal_other_values(self, op):
        """A test or copy of out-of-scope values is refused as well."""

        async def scenario():
            api = await administered.start()
            patch = _patch("/members/n/share", 1.0, op="test")
            if op == "copy":
                patch["operations"] = [
                    {
                        "op": "copy",
                        "from": "/services/archive/slots",
                        "path": SLOTS,
                    }
                ]
            got, body = await api.apply(patch, "team", "propose")
            assert got == 403, body

        virtual.run(scenario())

    @pytest.mark.parametrize(
        ("path", "status"),
        [
            ("/v1/config", 200),
            ("/v1/members", 200),
            ("/v1/tables/desk", 200),
            ("/v1/tables/desk/owner/k", 200),
            ("/v1/explain/desk/a%2Fb", 200),
            ("/v1/tables/archive", 403),
            ("/v1/explain/archive/k", 403),
            ("/v1/dump", 403),
            ("/v1/audit", 403),
            ("/v1/quarantine", 403),
            ("/v1/link", 403),
        ],
    )
    def test_views_of_a_team(self, path, status):
        """Views show only values in scope; system-wide views need all."""

        async def scenario():
            api = await administered.start()
            got, body = await api.call("GET", path, "guest")
            assert got == status
            assert "archive" not in json.dumps(body) or status == 403
            assert (await api.call("GET", path, "nothing"))[0] == 401
            assert (await api.call("GET", path, "none"))[0] == 403

        virtual.run(scenario())


class TestPatches:
    """Patches are applied and inspected over the API."""

    def test_conflict_names_the_winner(self):
        """The conflict of the second patch on a base names the first."""

        async def scenario():
            api = await administered.start()
            assert (await api.apply(_patch(SLOTS, 2)))[0] == 200
            late = _patch("/members/p", {}, name="patch-0002")
            status, body = await api.apply(late, "team")
            assert status == 403
            status, body = await api.apply(late)
            assert status == 409
            assert body["current"] == 2
            assert body["meanwhile"][0]["author"] == "admin"
            assert body["meanwhile"][0]["paths"] == [SLOTS]

        virtual.run(scenario())

    def test_history_diff_blame_revert_in_force(self):
        """All views of an applied change."""

        async def scenario():
            api = await administered.start()
            await api.apply(_patch(SLOTS, 2))

            async def get(path):
                status, body = await api.call("GET", path)
                assert status == 200, body
                return body

            assert (await get("/v1/config"))["number"] == 2
            old = await get("/v1/config?number=1")
            assert old["document"]["services"]["desk"]["slots"] == 4
            history = await get("/v1/config/history")
            assert [c["number"] for c in history] == [2, 1]
            assert (await get("/v1/config/diff"))["paths"] == [SLOTS]
            blamed = await get(f"/v1/config/blame?path={SLOTS}&limit=1")
            assert blamed[0]["reason"] == "because"
            undo = await get("/v1/config/revert/2")
            assert undo == [{"op": "add", "path": SLOTS, "value": 4}]
            assert (await get("/v1/config/changes/2"))["author"] == "admin"
            reached = await get("/v1/config/in-force?number=2")
            assert reached["numbers"] == {"e0": 2}

        virtual.run(scenario())

    @pytest.mark.parametrize(
        ("body", "status", "named"),
        [
            (b"{", 400, "bad_request"),
            (b"\xff\xfe", 400, "bad_request"),
            (_patch(SLOTS, 0), 422, "services.desk.slots"),
            (_patch("/services/desk/sluts", 1), 422, "sluts"),
            (_patch(SLOTS, 2, base=9), 409, "in force is 1"),
            (b" " * 300_000, 413, "at most"),
        ],
    )
    def test_invalid_patches(self, body, status, named):
        """An invalid patch is refused with the location of the error."""

        async def scenario():
            api = await administered.start()
            got, response = await api.apply(body)
            assert got == status
            assert named in json.dumps(response)

        virtual.run(scenario())

    @pytest.mark.parametrize(
        "path",
        [
            "/v1/config?number=99",
            "/v1/config/changes/99",
            "/v1/config/revert/0",
            "/v1/tables/none",
            "/v1/explain/none/k",
        ],
    )
    def test_missing_objects(self, path):
        """A missing number or service is reported as not found."""

        async def scenario():
            api = await administered.start()
            assert (await api.call("GET", path))[0] == 404

        virtual.run(scenario())


class TestExplain:
    """The API explains routing decisions."""

    def test_owner_and_refusal(self):
        """The explanation matches the owner, and the refusal without one."""

        async def scenario():
            api = await administered.start()
            _, body = await api.call("GET", "/v1/explain/desk/k")
            assert (body["target"], body["keeper"]) == ("t0", "e0")
            assert any("t0 owns it" in line for line in body["reasons"])
            api.world.fleet.remove("t0")
            # One VM per zone reads the list periodically.
            async with virtual.limit(10.0):
                while not body["refused"]:
                    await virtual.pause(0.1)
                    _, body = await api.call("GET", "/v1/explain/desk/k")
            assert body["refused"] == "no_owner"
            assert body["target"] == ""

        virtual.run(scenario())


class TestAudit:
    """The audit log during a store outage."""

    def test_refusals_are_written_once_the_store_is_back(self):
        """No entry is lost, and a lost response duplicates none."""

        async def scenario():
            api = await administered.start()
            api.world.store.go_down()
            await api.call("GET", "/v1/dump", "wrong")
            await virtual.pause(30.0)
            api.world.store.come_back()
            api.world.store.lost_answers = 1
            await virtual.pause(30.0)
            _, entries = await api.call("GET", "/v1/audit")
            assert [e["outcome"] for e in entries] == ["unauthenticated"]

        virtual.run(scenario())


_PATHS = strategies.sampled_from([*_openapi.VIEWS, "/metrics", "/v1"])
_VALUES = strategies.one_of(
    strategies.text(max_size=8),
    strategies.integers(-1, 10**30).map(str),
    strategies.sampled_from(["9" * 5000, "desk", "archive", "/services", "~"]),
)
_CALLS = strategies.tuples(
    strategies.sampled_from(["GET", "POST", "DELETE"]),
    _PATHS,
    _VALUES,
    strategies.sampled_from(["number", "before", "limit", "path", "older"]),
    _VALUES,
    strategies.sampled_from(["admin", "team", "guest", "wrong"]),
    strategies.binary(max_size=40),
)


class TestFuzz:
    """Arbitrary requests reach the internal port.

    An unexpected request must be refused. An exception would result in a
    status of 500 and a traceback in the log.
    """

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=40, database=None
    )
    @hypothesis.given(strategies.lists(_CALLS, min_size=10, max_size=10))
    def test_no_call_fails_internally(self, calls):
        """At least 400 random calls; none of them returns a 5xx status."""

        async def scenario():
            api = await administered.start()
            for method, path, value_in_path, name, value, token, body in calls:
                # Percent-encoded, so that `sub` finds no escapes to expand.
                quoted = parse.quote(value_in_path, safe="")
                url = re.sub(r"\{[^}]*\}", quoted, path)
                query = f"{name}={parse.quote(value, safe='')}"
                status, _ = await api.call(
                    method, f"{url}?{query}", token, body, raw=True
                )
                assert status < 500, (method, url, query, body)

        virtual.run(scenario())
