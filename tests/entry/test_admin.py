"""Tests of the administration API, called without sockets."""

import json

import administered
import pytest

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
    """An operator tries what its token does not allow.

    It is refused before anything happens, hears what is missing, and the
    attempt stands in the audit trail.
    """

    @pytest.mark.parametrize(
        ("token", "way", "path", "value", "status"),
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
    def test_patches(self, token, way, path, value, status):
        """Role by what is touched, scope by service and member."""

        async def story():
            api = await administered.start()
            got, body = await api.apply(_patch(path, value), token, way)
            assert got == status, body
            number = api.world.daemons["e0"].find("configuration").current
            done = way == "apply" and status == 200
            assert number.number == 1 + done
            _, trail = await api.call("GET", "/v1/audit")
            assert bool(trail) == (status >= 400)
            assert token not in {e["detail"] for e in trail} or not token

        virtual.run(story())

    @pytest.mark.parametrize("op", ["test", "copy"])
    def test_no_peeping_through_operations(self, op):
        """A test or copy of another team's values is refused as well."""

        async def story():
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

        virtual.run(story())

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
        """A view shows what is in scope; whole-system views need all."""

        async def story():
            api = await administered.start()
            got, body = await api.call("GET", path, "guest")
            assert got == status
            assert "archive" not in json.dumps(body) or status == 403
            assert (await api.call("GET", path, "nothing"))[0] == 401
            assert (await api.call("GET", path, "none"))[0] == 403

        virtual.run(story())


class TestPatches:
    """The life of a patch over the API."""

    def test_race_shows_the_winner(self):
        """The second of two patches on one base hears of the first."""

        async def story():
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

        virtual.run(story())

    def test_history_diff_blame_revert_in_force(self):
        """Everything an operator asks about a change."""

        async def story():
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

        virtual.run(story())

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
    def test_mistakes(self, body, status, named):
        """Each is refused with its place."""

        async def story():
            api = await administered.start()
            got, said = await api.apply(body)
            assert got == status
            assert named in json.dumps(said)

        virtual.run(story())

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
        """What does not exist is named as such."""

        async def story():
            api = await administered.start()
            assert (await api.call("GET", path))[0] == 404

        virtual.run(story())


class TestExplain:
    """Why a request goes where it goes."""

    def test_owner_and_refusal(self):
        """The same decision as the router's, step by step."""

        async def story():
            api = await administered.start()
            _, body = await api.call("GET", "/v1/explain/desk/k")
            assert (body["target"], body["keeper"]) == ("t0", "e0")
            assert any("t0 owns it" in line for line in body["reasons"])
            api.world.fleet.remove("t0")
            # The list is read at an interval, by one VM of a zone.
            async with virtual.limit(10.0):
                while not body["refused"]:
                    await virtual.pause(0.1)
                    _, body = await api.call("GET", "/v1/explain/desk/k")
            assert body["refused"] == "no_owner"
            assert body["target"] == ""

        virtual.run(story())


class TestAudit:
    """The audit trail while the store is down."""

    def test_refusals_are_written_once_the_store_is_back(self):
        """Nothing is lost and a lost answer doubles nothing."""

        async def story():
            api = await administered.start()
            api.world.store.go_down()
            await api.call("GET", "/v1/dump", "wrong")
            await virtual.pause(30.0)
            api.world.store.come_back()
            api.world.store.lost_answers = 1
            await virtual.pause(30.0)
            _, trail = await api.call("GET", "/v1/audit")
            assert [e["outcome"] for e in trail] == ["unauthenticated"]

        virtual.run(story())
