"""A stand-in for a target on the platform: slots, a queue, keys, faults."""

import asyncio
import enum
import itertools
import json
import time
from typing import Any

from mimosastile_gateway import http_server

_LATE_SECONDS = 0.3


class Fault(enum.Enum):
    """What a target does instead of answering as it should."""

    NONE = "none"
    HANG = "hang"
    RESET = "reset"
    SHED = "shed"
    SHED_LATE = "shed late"
    FAIL = "fail"
    ORDERS_SILENT = "orders silent"


class _Hold:
    """Keys that a target holds until some time."""

    __slots__ = ("fence", "first", "last", "until")

    def __init__(self, first: int, last: int, fence: int, until: float) -> None:
        self.first = first
        self.last = last
        self.fence = fence
        self.until = until


class Run:
    """One run of a request, for an oracle.

    Attributes:
        attempt: Identifier of the caller's attempt.
        key: Its key, None without.
        target: Who ran it.
        at: Loop time of its begin.
    """

    __slots__ = ("at", "attempt", "key", "target")

    def __init__(
        self, attempt: str, key: int | None, target: str, at: float
    ) -> None:
        self.attempt = attempt
        self.key = key
        self.target = target
        self.at = at


class Arrival:
    """A request that has reached a target, for an oracle.

    Attributes:
        attempt: Identifier of the caller's attempt.
        target: Whom it has reached.
        born: Which run of it.
        at: Loop time of that.
        rest: Seconds for which the target then wanted nothing from its
            sender; 0 if it took the request.
    """

    __slots__ = ("at", "attempt", "born", "rest", "target")

    def __init__(self, attempt: str, target: str, born: int, at: float) -> None:
        self.attempt = attempt
        self.target = target
        self.born = born
        self.at = at
        self.rest = 0.0


class PlatformTarget:
    """One server of a service.

    Attributes:
        id: Its identifier.
        service: Its service.
        born: Unix milliseconds of its start.
        fault: What it does wrong.
        runs: All runs, shared with other targets by the oracle.
        misdirected: Requests that were meant for another target.
        orders: Orders that it has taken, oldest first.
        shed: Requests that it rejected late.
        slowness: How long work takes, in hundredths of the usual.
        cold_seconds: For how long it stays cold, as it says.
        checks: Health checks that it has answered.
        zone: Where it stands.
        limit: Requests a second that it says it takes from all VMs together,
            None if it names no limit.
        leaving: Whether it says in its answers that it leaves.
        rest: Seconds for which it wants nothing from a VM whose request it
            rejects; 0 if it does not say.
        arrivals: Requests that have reached it.
    """

    __slots__ = (
        "_address",
        "_fences",
        "_handovers",
        "_holds",
        "_keyed",
        "_queued",
        "_running",
        "_server",
        "_slots",
        "_work",
        "arrivals",
        "born",
        "checks",
        "cold_seconds",
        "fault",
        "id",
        "leaving",
        "limit",
        "misdirected",
        "orders",
        "rest",
        "runs",
        "service",
        "shed",
        "slowness",
        "zone",
    )

    def __init__(
        self,
        name: str,
        service: str,
        runs: list[Run],
        *,
        keyed: bool = False,
        slots: int = 4,
        work: float = 0.005,
        zone: str = "zone-a",
    ) -> None:
        """Makes one that is not started.

        Args:
            name: Its identifier.
            service: Its service.
            runs: Where it notes what it runs.
            keyed: Whether it runs only keys that it holds.
            slots: Requests that it runs at a time.
            work: Seconds of a run.
            zone: Where it stands.
        """
        self.id = name
        self.service = service
        self.runs = runs
        self.fault = Fault.NONE
        self.orders: list[tuple[str, dict[str, Any]]] = []
        self.misdirected = 0
        self.shed = 0
        self.slowness = 100
        self.cold_seconds = 0.0
        self.checks = 0
        self.zone = zone
        self.limit: float | None = None
        self.leaving = False
        self.rest = 0.0
        self.arrivals: list[Arrival] = []
        self.born = int(time.time() * 1000)
        self._keyed = keyed
        self._work = work
        self._slots = slots
        self._running = asyncio.Semaphore(slots)
        self._queued = 0
        self._holds: list[_Hold] = []
        self._fences: list[_Hold] = []
        self._handovers = itertools.count(1)
        self._address = ""
        self._server = http_server.Server(self._handle)

    async def start(self) -> str:
        """Listens; returns the address."""
        self._address = await self._server.listen("127.0.0.1:0")
        return self._address

    def stop(self) -> None:
        """Ends at once, as if its process had been killed."""
        self._server.stop_listening()
        self._server.abort()

    def refuse_connections(self) -> None:
        """Refuses new connections, as a full target, and keeps its others."""
        self._server.stop_listening()

    def registration(
        self, state: str = "ready", address: str = "", zone: str = ""
    ) -> dict[str, Any]:
        """Returns what it says of itself in the store.

        Args:
            state: What it is about to do.
            address: Where it is reached, if not directly.
            zone: Where it stands, if not where it was made.
        """
        return {
            "ServiceName": self.service,
            "Address": address or self._address,
            "Zone": zone or self.zone,
            "ConfigVersion": "v1",
            "Slots": self._slots,
            "State": state,
            "WarmupLeftMs": int(self.cold_seconds * 1000),
            "SeqNo": 1,
            "born": self.born,
        }

    def holds(self, key: int) -> bool:
        """Whether it would run a key now."""
        now = asyncio.get_running_loop().time()
        return any(
            h.first <= key <= h.last and now < h.until for h in self._holds
        )

    def spans(self) -> list[tuple[int, int]]:
        """Returns first and last key of all that it holds now."""
        now = asyncio.get_running_loop().time()
        return [(h.first, h.last) for h in self._holds if now < h.until]

    async def _handle(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        """Answers a call, and says in its answer how it is."""
        answer = await self._answer(incoming)
        said = (*answer.headers, *self._notices())
        return http_server.Response(answer.status, said, answer.body)

    def _notices(self) -> tuple[tuple[bytes, bytes], ...]:
        """Returns the headers that concern all requests to it."""
        said: list[tuple[bytes, bytes]] = []
        if self.limit is not None:
            said.append((b"server-limit", b"%g" % self.limit))
        if self.leaving:
            said.append((b"server-leaving", b"1"))
        return tuple(said)

    async def _answer(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        expected = incoming.header(b"x-expect-instance")
        if expected is not None and expected.decode() != self.id:
            self.misdirected += 1
            return http_server.Response(
                421,
                (
                    *_echo(incoming),
                    (b"x-not-executed", b"1"),
                    (b"x-instance-id", self.id.encode()),
                ),
            )
        path = incoming.target.decode()
        if path == "/health":
            self.checks += 1
            return http_server.Response(
                200, (*self._load(), (b"x-instance-id", self.id.encode()))
            )
        if path in ("/grant", "/release"):
            if self.fault is Fault.ORDERS_SILENT:
                await asyncio.Event().wait()
            body = json.loads(incoming.body)
            self.orders.append((path, body))
            if path == "/grant":
                return self._grant(body)
            return await self._release(body)
        return await self._request(incoming)

    def _load(self) -> tuple[tuple[bytes, bytes], ...]:
        """Returns the headers in which it says how it is."""
        running = min(self._queued, self._slots)
        waiting = self._queued - running
        said = f"{running},{waiting},{self._slots},{self.slowness}"
        left = int(self.cold_seconds * 1000)
        return (
            (b"x-server-load", said.encode()),
            (b"x-warmup-ms", str(left).encode()),
        )

    # Requests.

    async def _request(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        echo = _echo(incoming)
        arrival = Arrival(
            (incoming.header(b"x-attempt-id") or b"").decode(),
            self.id,
            self.born,
            asyncio.get_running_loop().time(),
        )
        self.arrivals.append(arrival)
        if self.fault is Fault.HANG:
            await asyncio.Event().wait()
        if self.fault is Fault.SHED_LATE:
            self.shed += 1
            await asyncio.sleep(_LATE_SECONDS)
        if self.fault in (Fault.SHED, Fault.SHED_LATE):
            rejected = (*echo, (b"x-not-executed", b"1"))
            if self.rest:
                arrival.rest = self.rest
                rejected += ((b"retry-after", b"%g" % self.rest),)
            return http_server.Response(503, rejected)
        raw = incoming.header(b"x-shard-key")
        key = int(raw) if raw is not None else None
        if self._keyed and (key is None or not self.holds(key)):
            return http_server.Response(421, (*echo, (b"x-not-executed", b"1")))
        self._queued += 1
        try:
            async with self._running:
                return await self._run(incoming, echo, key)
        finally:
            self._queued -= 1

    async def _run(
        self,
        incoming: http_server.Request,
        echo: tuple[tuple[bytes, bytes], ...],
        key: int | None,
    ) -> http_server.Response:
        attempt = (incoming.header(b"x-attempt-id") or b"").decode()
        now = asyncio.get_running_loop().time()
        self.runs.append(Run(attempt, key, self.id, now))
        if self.fault is Fault.RESET:
            self._server.abort()
            await asyncio.sleep(0)
        await asyncio.sleep(self._work * self.slowness / 100)
        sealed = (
            *echo,
            *self._load()[:1],
            (b"x-server-seal", self.id.encode()),
        )
        if self.fault is Fault.FAIL:
            return http_server.Response(500, sealed, b"failed")
        text = f"{self.id} ran {attempt}".encode()
        return http_server.Response(200, sealed, text)

    # Orders.

    def _grant(self, body: dict[str, Any]) -> http_server.Response:
        first, last, fence = body["From"], body["Target"], body["fence"]
        if any(
            _meets(h, first, last) and h.fence > fence for h in self._fences
        ):
            return http_server.Response(409)
        if body["HoldMs"] > 10_000:
            return http_server.Response(400)
        now = asyncio.get_running_loop().time()
        until = now + body["HoldMs"] / 1000
        self._cut(first, last)
        self._holds.append(_Hold(first, last, fence, until))
        self._fences.append(_Hold(first, last, fence, until))
        return http_server.Response(200)

    async def _release(self, body: dict[str, Any]) -> http_server.Response:
        first, last, fence = body["From"], body["Target"], body["fence"]
        self._cut(first, last)
        self._fences.append(_Hold(first, last, fence, 0.0))
        # Work on other keys is waited for as well; that is harmless here.
        await asyncio.sleep(self._work)
        token = f"{self.id}-{next(self._handovers)}".encode()
        return http_server.Response(200, ((b"x-handover", token),))

    def _cut(self, first: int, last: int) -> None:
        left = []
        for hold in self._holds:
            if not _meets(hold, first, last):
                left.append(hold)
                continue
            for begin, end in (
                (hold.first, first - 1),
                (last + 1, hold.last),
            ):
                if begin <= end:
                    left.append(_Hold(begin, end, hold.fence, hold.until))
        self._holds = left


def _meets(hold: _Hold, first: int, last: int) -> bool:
    return hold.first <= last and first <= hold.last


def _echo(incoming: http_server.Request) -> tuple[tuple[bytes, bytes], ...]:
    attempt = incoming.header(b"x-attempt-id")
    return ((b"x-attempt-id", attempt),) if attempt is not None else ()
