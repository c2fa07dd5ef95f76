"""Tests that the adapter's decoding never raises, whatever it reads."""

import asyncio
import base64
import json

import pytest

from mimosastile_gateway import http_client
from mimosastile_gateway import ports
from mimosastile_gateway import settings
from mimosastile_platform import boot
from mimosastile_platform import records
from mimosastile_platform import store
from mimosastile_standins import odd_records

_BODY = b'{"ServiceName":"p"}'
_TOML = {
    "arrays": "NodeName = " + "[" * 3000 + "]" * 3000,
    "a-number-of-6000-digits": "NodeName = " + "1" * 6000,
    "tables": "\n".join("[" + "a." * n + "a]" for n in range(300)),
    "cut": 'NodeName = "a',
}


@pytest.mark.parametrize("kind", odd_records.forms(_BODY))
class TestRecords:
    """Values of the store."""

    def test_target(self, kind):
        """Guards against a registration that ends the watch of targets."""
        item = ports.Item("servers/x", odd_records.forms(_BODY)[kind], 1)
        assert records.RecordDecoder().target(item, 0.0).is_err()

    def test_configuration(self, kind):
        """Guards against a configuration that ends its watch."""
        value = odd_records.forms(b'{"ConfigVersion":1}')[kind]
        read = records.RecordDecoder().configuration(value)
        assert read.is_err() or read.ok_value.version == 1

    def test_response(self, kind, monkeypatch):
        """Guards against a response of the store that ends a task."""
        body = odd_records.forms(b'{"StoreRevision":1}')[kind]

        async def call(*args, **kwargs):
            return http_client.Response(200, (), body)

        monkeypatch.setattr(http_client, "call", call)
        client = store.StoreClient(
            http_client.Pool(1.0), settings.StoreSettings(address="h:1")
        )

        async def main():
            return [
                await client.read("k"),
                await client.list("p"),
                await client.watch("p", 1, 1.0),
                await client.commit({}, ()),
                await client.open_session(1.0),
                await client.keep_session(1),
            ]

        for outcome in asyncio.run(main()):
            assert outcome.is_ok() or outcome.err_value


class TestItems:
    """An item that can't be read stands beside others."""

    def test_others_are_returned(self, monkeypatch):
        """Guards against an odd item that hides what stands beside it."""
        good = base64.b64encode(b"{}").decode()
        items = [
            {"Key": "a", "Revision": 2, "Value": good},
            {"Key": "b", "Revision": "x", "Value": good},
            {"Key": "c", "Revision": 4, "Value": "?"},
            {"Key": 5, "Revision": 5, "Value": good},
            {"Key": "d", "Revision": 6, "Value": good},
        ]
        page = {"StoreRevision": 9, "items": items, "events": items}

        async def call(*args, **kwargs):
            return http_client.Response(200, (), json.dumps(page).encode())

        monkeypatch.setattr(http_client, "call", call)
        client = store.StoreClient(
            http_client.Pool(1.0), settings.StoreSettings(address="h:1")
        )

        async def main():
            return await client.list("p"), await client.watch("p", 1, 1.0)

        for read in asyncio.run(main()):
            keys = [item.key for item in read.unwrap().items]
            assert [key for key in keys if key not in ("c", "")] == ["a", "d"]


class TestSettings:
    """The settings file, which may change at any time."""

    @pytest.mark.parametrize("kind", _TOML)
    def test_file(self, kind, tmp_path):
        """Guards against a file that ends the task that watches it."""
        path = tmp_path / "boot.toml"
        path.write_text(_TOML[kind])
        assert boot.read(path).is_err()
