"""Stand-in for the platform's key-value store, served over HTTP."""

import asyncio
import base64
import enum
import itertools
import json
from typing import Any
import urllib.parse

from mimosastile_gateway import http_server

PAGE_ITEMS = 50
"""Items per page of a list. A small value makes lists span several pages."""


class Behavior(enum.Enum):
    """Behavior of the store, healthy or with a fault."""

    HEALTHY = "well"
    BUSY = "busy"
    SILENT = "silent"
    LOSES_RESPONSES = "loses answers"


class _Change:
    """An event in the history."""

    __slots__ = ("event", "key", "revision")

    def __init__(self, key: str, revision: int, event: dict[str, Any]) -> None:
        self.key = key
        self.revision = revision
        self.event = event


class PlatformStore:
    """Stores items with revisions, leases and a history that can be dropped.

    Attributes:
        behavior: Behavior towards all callers.
        calls: Number of calls by kind.
        stale_reads: Number of reads that accept stale data.
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
        "behavior",
        "calls",
        "stale_reads",
    )

    def __init__(self) -> None:
        self.behavior = Behavior.HEALTHY
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
        """Starts to listen and returns the address."""
        return await self._server.listen(address)

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        self._server.stop_listening()
        self._server.abort()

    # Operations of operators and targets.

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a value as JSON and returns its revision."""
        return self.put_bytes(key, json.dumps(value).encode(), lease)

    def put_bytes(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes bytes and returns their revision."""
        self._revision += 1
        created = self._items.get(key, {}).get("CreatedRev", self._revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "CreatedRev": created,
            "Lease": lease,
        }
        self._items[key] = item
        self._append_event(key, item)
        return self._revision

    def remove(self, key: str) -> None:
        """Removes a key if it exists."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            event = {"Key": key, "Revision": self._revision, "Removed": True}
            self._append_event(key, event)

    def value(self, key: str) -> bytes | None:
        """Returns the value of a key, None if it does not exist."""
        item = self._items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    def drop_history(self) -> None:
        """Drops all events. Watches that resume from them get status 410."""
        self._history.clear()
        self._oldest = self._revision
        self._notify_watches()

    def _append_event(self, key: str, event: dict[str, Any]) -> None:
        self._history.append(_Change(key, self._revision, event))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # HTTP protocol.

    async def _handle(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        path, _, query = incoming.target.decode().partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        name = path.split("/")[1]
        self.calls[name] = self.calls.get(name, 0) + 1
        self.stale_reads += fields.get("Serializable") == "1"
        if self.behavior is Behavior.BUSY:
            return http_server.Response(503)
        if self.behavior is Behavior.SILENT:
            await asyncio.Event().wait()
        self._expire_leases()
        body = json.loads(incoming.body) if incoming.body else {}
        response = await self._respond(name, path, fields, body)
        if self.behavior is Behavior.LOSES_RESPONSES and name == "kv-txn":
            await asyncio.Event().wait()
        return response

    async def _respond(
        self, name: str, path: str, fields: dict[str, str], body: Any
    ) -> http_server.Response:
        match name:
            case "kv-key":
                return self._read_key(fields)
            case "kv-range":
                return self._read_range(fields)
            case "kv-watch":
                return await self._watch(fields)
            case "kv-txn":
                return self._commit(body)
            case "kv-lease":
                return self._open_lease(body)
            case "kv-keep":
                return self._renew_lease(int(path.rsplit("/", 1)[1]))
            case "kv-lease-end":
                self._end_lease(int(path.rsplit("/", 1)[1]))
                return _json({})
            case _:
                return http_server.Response(404)

    def _read_key(self, fields: dict[str, str]) -> http_server.Response:
        item = self._items.get(fields["Key"])
        if item is None:
            return _json({"StoreRevision": self._revision}, 404)
        return _json({**item, "StoreRevision": self._revision})

    def _read_range(self, fields: dict[str, str]) -> http_server.Response:
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
        deadline = asyncio.get_running_loop().time()
        deadline += int(fields["WaitMs"]) / 1000
        while True:
            if after < self._oldest - 1:
                return http_server.Response(410)
            events = [
                change.event
                for change in self._history
                if change.revision > after and change.key.startswith(prefix)
            ]
            left = deadline - asyncio.get_running_loop().time()
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

    def _open_lease(self, body: Any) -> http_server.Response:
        lease = next(self._lease_numbers)
        self._leases[lease] = self._expiry(body["TtlMs"])
        return _json({"Lease": lease, "TtlMs": body["TtlMs"]})

    def _renew_lease(self, lease: int) -> http_server.Response:
        if lease not in self._leases:
            return http_server.Response(404)
        self._leases[lease] = self._expiry(10_000)
        return _json({"TtlMs": 10_000})

    def _expiry(self, milliseconds: int) -> float:
        return asyncio.get_running_loop().time() + milliseconds / 1000

    def _expire_leases(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease in [k for k, expiry in self._leases.items() if expiry < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, i in self._items.items() if i["Lease"] == lease]:
            self.remove(key)


def _json(body: Any, status: int = 200) -> http_server.Response:
    headers = ((b"content-type", b"application/json"),)
    return http_server.Response(status, headers, json.dumps(body).encode())
