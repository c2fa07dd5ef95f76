"""The store client against a fake store over loopback."""

import asyncio

import pytest

from mimosastile_core import errors
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import ports
from mimosastile_gateway import settings
from mimosastile_platform import store
from mimosastile_standins import platform_store


def _run(scenario, timeout=1.0):
    async def main():
        fake_store = platform_store.PlatformStore()
        pool = http_client.Pool(2.0)
        address = await fake_store.start()
        client = store.StoreClient(
            pool, settings.StoreSettings(address=address, timeout=timeout)
        )
        try:
            async with asyncio.timeout(20):
                await scenario(fake_store, client)
        finally:
            fake_store.stop()
            pool.close()
            await asyncio.sleep(0)

    asyncio.run(main())


class TestItems:
    """Reads, writes, watches and sessions."""

    def test_read_commit_conflict(self):
        """A compare-and-swap write succeeds only once."""

        async def scenario(fake_store, client):
            assert (await client.read("a")).ok_value is None
            write = ports.Write("a", b"\x00one")
            revision = (await client.commit({"a": 0}, (write,))).ok_value
            item = (await client.read("a")).ok_value
            assert item == ports.Item("a", b"\x00one", revision)
            again = await client.commit({"a": 0}, (write,))
            assert again.err_value == ports.Conflict()

        _run(scenario)

    @pytest.mark.parametrize("stale", [False, True])
    def test_stale_list(self, stale):
        """Every page of a stale list is requested as stale."""

        async def scenario(fake_store, client):
            for number in range(platform_store.PAGE_ITEMS + 1):
                fake_store.put(f"servers/{number:04}", number)
            found = (await client.list("servers/", stale=stale)).ok_value
            assert len(found.items) == platform_store.PAGE_ITEMS + 1
            assert fake_store.stale_reads == (2 if stale else 0)

        _run(scenario)

    def test_pages(self):
        """All pages of a list are read."""

        async def scenario(fake_store, client):
            for number in range(platform_store.PAGE_ITEMS * 2 + 3):
                fake_store.put(f"servers/{number:04}", number)
            fake_store.put("other", 1)
            found = (await client.list("servers/")).ok_value
            assert len(found.items) == platform_store.PAGE_ITEMS * 2 + 3
            assert len({item.key for item in found.items}) == len(found.items)

        _run(scenario)

    def test_watch(self):
        """A watch returns the newest change of each key."""

        async def scenario(fake_store, client):
            listed = (await client.list("p/")).ok_value
            fake_store.put("p/a", 1)
            fake_store.put("p/a", 2)
            fake_store.put("p/b", 1)
            fake_store.remove("p/b")
            fake_store.put("q", 1)
            changes = (await client.watch("p/", listed.revision, 1.0)).ok_value
            assert [(i.key, i.value) for i in changes.items] == [("p/a", b"2")]
            assert [key for key, _ in changes.removed] == ["p/b"]
            waiting = asyncio.create_task(
                client.watch("p/", changes.revision, 5.0)
            )
            await asyncio.sleep(0.02)
            fake_store.put("p/c", 1)
            assert (await waiting).ok_value.items[0].key == "p/c"

        _run(scenario)

    def test_history_lost(self):
        """A watch reports that the store has compacted its history."""

        async def scenario(fake_store, client):
            listed = (await client.list("p/")).ok_value
            for number in range(3):
                fake_store.put("p/a", number)
            fake_store.drop_history()
            changes = await client.watch("p/", listed.revision, 1.0)
            assert changes.err_value == ports.HistoryLost()

        _run(scenario)

    def test_sessions(self):
        """Keys end with their lease; calls with an ended lease fail."""

        async def scenario(fake_store, client):
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

        _run(scenario)


class TestFailures:
    """Results of failed calls."""

    @pytest.mark.parametrize(
        ("behavior", "kind", "written"),
        [
            (
                platform_store.Behavior.BUSY,
                errors.ErrorKind.STORE_UNAVAILABLE,
                False,
            ),
            (
                platform_store.Behavior.LOSES_RESPONSES,
                errors.ErrorKind.STORE_UNKNOWN,
                True,
            ),
            (
                platform_store.Behavior.SILENT,
                errors.ErrorKind.STORE_UNKNOWN,
                False,
            ),
        ],
    )
    def test_write(self, behavior, kind, written):
        """Guards against treating a write without a response as failed.

        The caller would repeat it under another condition, while the first
        write might still take effect.
        """

        async def scenario(fake_store, client):
            fake_store.behavior = behavior
            outcome = await client.commit({}, (ports.Write("a", b"1"),))
            assert outcome.err_value.kind is kind
            assert (fake_store.value("a") is not None) is written

        _run(scenario, timeout=0.2)

    def test_connection_refused(self):
        """A call that the store refuses to connect has had no effect."""

        async def scenario(fake_store, client):
            fake_store.stop()
            outcome = await client.read("a")
            kind = errors.ErrorKind.STORE_UNAVAILABLE
            assert outcome.err_value.kind is kind

        _run(scenario)

    @pytest.mark.parametrize(
        "body", [b"", b"{", b"[]", b'{"StoreRevision": "x"}', b"\xff"]
    )
    def test_unreadable_response(self, body):
        """A truncated or invalid response leaves the outcome unknown."""

        async def main():
            async def respond(_):
                return http_server.Response(200, (), body)

            server = http_server.Server(respond)
            address = await server.listen("127.0.0.1:0")
            pool = http_client.Pool(2.0)
            client = store.StoreClient(
                pool, settings.StoreSettings(address=address)
            )
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
