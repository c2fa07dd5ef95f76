"""A stand-in for the platform's key-value store, spoken to over HTTP."""

import asyncio
import base64
import enum
import itertools
import json
from typing import Any
import urllib.parse

from mimosastile_gateway import http_server

PAGE_ITEMS = 50
"""Items on one page of a list; small, so that lists have several pages."""


class Mood(enum.Enum):
    """How the store behaves."""

    WELL = "well"
    BUSY = "busy"
    SILENT = "silent"
    LOSES_ANSWERS = "loses answers"


class _Change:
    """One event of the history."""

    __slots__ = ("event", "key", "revision")

    def __init__(self, key: str, revision: int, event: dict[str, Any]) -> None:
        self.key = key
        self.revision = revision
        self.event = event


class PlatformStore:
    """Items with revisions, leases and a history that can be dropped.

    Attributes:
        mood: How it behaves to the callers in `moody`, or to all.
        calls: How many calls of each kind were made.
        stale_reads: How many asked for an answer that may be old.
    """

    __slots__ = (
        "_changed",
        "_history",
        "_items",
        "_lease_numbers",
        "_leases",
        "_oldest",
        "_revision",
        "_server",
        "calls",
        "mood",
        "stale_reads",
    )

    def __init__(self) -> None:
        self.mood = Mood.WELL
        self.calls: dict[str, int] = {}
        self.stale_reads = 0
        self._revision = 1
        self._oldest = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[_Change] = []
        self._leases: dict[int, float] = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._server = http_server.Server(self._handle)

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Listens; returns the address."""
        return await self._server.listen(address)

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        self._server.stop_listening()
        self._server.abort()

    # What operators and targets do.

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a value as JSON; returns its revision."""
        return self.put_bytes(key, json.dumps(value).encode(), lease)

    def put_bytes(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes bytes; returns their revision."""
        self._revision += 1
        made = self._items.get(key, {}).get("CreatedRev", self._revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "CreatedRev": made,
            "Lease": lease,
        }
        self._items[key] = item
        self._note(key, item)
        return self._revision

    def remove(self, key: str) -> None:
        """Removes a key if it is there."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            event = {"Key": key, "Revision": self._revision, "Removed": True}
            self._note(key, event)

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key."""
        item = self._items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    def drop_history(self) -> None:
        """Forgets all events; watches that continue from them are told."""
        self._history.clear()
        self._oldest = self._revision
        self._wake()

    def _note(self, key: str, event: dict[str, Any]) -> None:
        self._history.append(_Change(key, self._revision, event))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # The protocol.

    async def _handle(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        path, _, query = incoming.target.decode().partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        name = path.split("/")[1]
        self.calls[name] = self.calls.get(name, 0) + 1
        self.stale_reads += fields.get("Serializable") == "1"
        if self.mood is Mood.BUSY:
            return http_server.Response(503)
        if self.mood is Mood.SILENT:
            await asyncio.Event().wait()
        self._expire()
        body = json.loads(incoming.body) if incoming.body else {}
        answer = await self._answer(name, path, fields, body)
        if self.mood is Mood.LOSES_ANSWERS and name == "kv-txn":
            await asyncio.Event().wait()
        return answer

    async def _answer(
        self, name: str, path: str, fields: dict[str, str], body: Any
    ) -> http_server.Response:
        match name:
            case "kv-key":
                return self._read(fields)
            case "kv-range":
                return self._range(fields)
            case "kv-watch":
                return await self._watch(fields)
            case "kv-txn":
                return self._commit(body)
            case "kv-lease":
                return self._open(body)
            case "kv-keep":
                return self._keep(int(path.rsplit("/", 1)[1]))
            case "kv-lease-end":
                self._end(int(path.rsplit("/", 1)[1]))
                return _json({})
            case _:
                return http_server.Response(404)

    def _read(self, fields: dict[str, str]) -> http_server.Response:
        item = self._items.get(fields["Key"])
        if item is None:
            return _json({"StoreRevision": self._revision}, 404)
        return _json({**item, "StoreRevision": self._revision})

    def _range(self, fields: dict[str, str]) -> http_server.Response:
        prefix, after = fields["Prefix"], fields.get("after", "")
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        page = keys[:PAGE_ITEMS]
        return _json(
            {
                "items": [self._items[key] for key in page],
                "MorePages": len(keys) > len(page),
                "StoreRevision": self._revision,
            }
        )

    async def _watch(self, fields: dict[str, str]) -> http_server.Response:
        prefix, after = fields["Prefix"], int(fields["after"])
        ends = asyncio.get_running_loop().time()
        ends += int(fields["WaitMs"]) / 1000
        while True:
            if after < self._oldest - 1:
                return http_server.Response(410)
            events = [
                change.event
                for change in self._history
                if change.revision > after and change.key.startswith(prefix)
            ]
            left = ends - asyncio.get_running_loop().time()
            if events or left <= 0:
                return _json(
                    {"events": events, "StoreRevision": self._revision}
                )
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: Any) -> http_server.Response:
        for row in body.get("Expected", []):
            item = self._items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return _json({"items": []}, 412)
        for row in body.get("Writes", []):
            lease = row.get("Lease", 0)
            if lease and lease not in self._leases:
                return http_server.Response(404)
        for row in body.get("Writes", []):
            value = base64.b64decode(row["Value"], validate=True)
            self.put_bytes(row["Key"], value, row.get("Lease", 0))
        for key in body.get("DeleteKeys", []):
            self.remove(key)
        return _json({"Revision": self._revision})

    def _open(self, body: Any) -> http_server.Response:
        lease = next(self._lease_numbers)
        self._leases[lease] = self._ends(body["TtlMs"])
        return _json({"Lease": lease, "TtlMs": body["TtlMs"]})

    def _keep(self, lease: int) -> http_server.Response:
        if lease not in self._leases:
            return http_server.Response(404)
        self._leases[lease] = self._ends(10_000)
        return _json({"TtlMs": 10_000})

    def _ends(self, milliseconds: int) -> float:
        return asyncio.get_running_loop().time() + milliseconds / 1000

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease in [k for k, ends in self._leases.items() if ends < now]:
            self._end(lease)

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, i in self._items.items() if i["Lease"] == lease]:
            self.remove(key)


def _json(body: Any, status: int = 200) -> http_server.Response:
    headers = ((b"content-type", b"application/json"),)
    return http_server.Response(status, headers, json.dumps(body).encode())
