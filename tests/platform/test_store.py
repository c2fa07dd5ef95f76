"""The store's client against a stand-in over loopback."""

import asyncio

import pytest

from mimosastile_core import errors
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import ports
from mimosastile_gateway import settings
from mimosastile_platform import store
from mimosastile_standins import platform_store


def _play(scenario, timeout=1.0):
    async def main():
        stand_in = platform_store.PlatformStore()
        pool = http_client.Pool(2.0)
        address = await stand_in.start()
        client = store.Store(
            pool, settings.StoreSettings(address=address, timeout=timeout)
        )
        try:
            async with asyncio.timeout(20):
                await scenario(stand_in, client)
        finally:
            stand_in.stop()
            pool.close()
            await asyncio.sleep(0)

    asyncio.run(main())


class TestItems:
    """Reading and writing."""

    def test_read_commit_conflict(self):
        """A write under a condition happens once."""

        async def scenario(stand_in, client):
            assert (await client.read("a")).ok_value is None
            write = ports.Write("a", b"\x00one")
            revision = (await client.commit({"a": 0}, (write,))).ok_value
            item = (await client.read("a")).ok_value
            assert item == ports.Item("a", b"\x00one", revision)
            again = await client.commit({"a": 0}, (write,))
            assert again.err_value == ports.Conflict()

        _play(scenario)

    @pytest.mark.parametrize("stale", [False, True])
    def test_stale_list(self, stale):
        """A list that may be old is asked for as one, on every page."""

        async def scenario(stand_in, client):
            for number in range(platform_store.PAGE_ITEMS + 1):
                stand_in.put(f"servers/{number:04}", number)
            found = (await client.list("servers/", stale=stale)).ok_value
            assert len(found.items) == platform_store.PAGE_ITEMS + 1
            assert stand_in.stale_reads == (2 if stale else 0)

        _play(scenario)

    def test_pages(self):
        """A list of several pages is read to its end."""

        async def scenario(stand_in, client):
            for number in range(platform_store.PAGE_ITEMS * 2 + 3):
                stand_in.put(f"servers/{number:04}", number)
            stand_in.put("other", 1)
            found = (await client.list("servers/")).ok_value
            assert len(found.items) == platform_store.PAGE_ITEMS * 2 + 3
            assert len({item.key for item in found.items}) == len(found.items)

        _play(scenario)

    def test_watch(self):
        """A watch brings what changed, the newest of each key."""

        async def scenario(stand_in, client):
            listed = (await client.list("p/")).ok_value
            stand_in.put("p/a", 1)
            stand_in.put("p/a", 2)
            stand_in.put("p/b", 1)
            stand_in.remove("p/b")
            stand_in.put("q", 1)
            seen = (await client.watch("p/", listed.revision, 1.0)).ok_value
            assert [(i.key, i.value) for i in seen.items] == [("p/a", b"2")]
            assert [key for key, _ in seen.removed] == ["p/b"]
            waiting = asyncio.create_task(
                client.watch("p/", seen.revision, 5.0)
            )
            await asyncio.sleep(0.02)
            stand_in.put("p/c", 1)
            assert (await waiting).ok_value.items[0].key == "p/c"

        _play(scenario)

    def test_history_lost(self):
        """The store has dropped what a watch would go on from."""

        async def scenario(stand_in, client):
            listed = (await client.list("p/")).ok_value
            for number in range(3):
                stand_in.put("p/a", number)
            stand_in.drop_history()
            seen = await client.watch("p/", listed.revision, 1.0)
            assert seen.err_value == ports.HistoryLost()

        _play(scenario)

    def test_sessions(self):
        """Keys live with their lease; one that has ended is told so."""

        async def scenario(stand_in, client):
            session = (await client.open_session(5.0)).ok_value
            write = ports.Write("mine", b"x", session.id)
            assert (await client.commit({}, (write,))).is_ok()
            assert (await client.keep_session(session.id)).is_ok()
            await client.end_session(session.id)
            assert (await client.read("mine")).ok_value is None
            lost = await client.keep_session(session.id)
            assert lost.err_value == ports.SessionLost()
            late = await client.commit({}, (write,))
            assert late.err_value == ports.SessionLost()

        _play(scenario)


class TestFailures:
    """What is known after a failed call."""

    @pytest.mark.parametrize(
        ("mood", "kind", "written"),
        [
            (
                platform_store.Mood.BUSY,
                errors.ErrorKind.STORE_UNAVAILABLE,
                False,
            ),
            (
                platform_store.Mood.LOSES_ANSWERS,
                errors.ErrorKind.STORE_UNKNOWN,
                True,
            ),
            (
                platform_store.Mood.SILENT,
                errors.ErrorKind.STORE_UNKNOWN,
                False,
            ),
        ],
    )
    def test_write(self, mood, kind, written):
        """A write without an answer is unknown, not failed.

        Taken for failed it would be made again under another condition, and
        the first one might still be carried out.
        """

        async def scenario(stand_in, client):
            stand_in.mood = mood
            outcome = await client.commit({}, (ports.Write("a", b"1"),))
            assert outcome.err_value.kind is kind
            assert (stand_in.value("a") is not None) is written

        _play(scenario, timeout=0.2)

    def test_nobody_there(self):
        """A store that refuses connections has done nothing."""

        async def scenario(stand_in, client):
            stand_in.stop()
            outcome = await client.read("a")
            kind = errors.ErrorKind.STORE_UNAVAILABLE
            assert outcome.err_value.kind is kind

        _play(scenario)

    @pytest.mark.parametrize(
        "body", [b"", b"{", b"[]", b'{"StoreRevision": "x"}', b"\xff"]
    )
    def test_unreadable_answer(self, body):
        """An answer that is cut short is no answer."""

        async def main():
            async def answer(_):
                return http_server.Outgoing(200, (), body)

            server = http_server.Server(answer)
            address = await server.listen("127.0.0.1:0")
            pool = http_client.Pool(2.0)
            client = store.Store(pool, settings.StoreSettings(address=address))
            for call in (
                client.read("a"),
                client.list("a"),
                client.watch("a", 1, 0.1),
                client.commit({}, ()),
                client.open_session(1.0),
                client.keep_session(1),
            ):
                outcome = await call
                kind = errors.ErrorKind.STORE_UNKNOWN
                assert outcome.err_value.kind is kind
            pool.close()
            server.stop_listening()
            server.abort()

        asyncio.run(main())
