"""Stand-in for a target on the platform, with a queue, keys and faults."""

import asyncio
from collections.abc import Callable
import enum
import itertools
import json
import time
from typing import Any

from mimosastile_gateway import http_server

_LATE_SHED_SECONDS = 0.3


class Fault(enum.Enum):
    """Faults of a target."""

    NONE = "none"
    HANG = "hang"
    RESET = "reset"
    SHED = "shed"
    SHED_LATE = "shed late"
    FAIL = "fail"
    UNMARKED = "unmarked"
    ORDERS_SILENT = "orders silent"


class _GrantedRange:
    """A range of keys granted to a target until an expiry time."""

    __slots__ = ("expiry", "fence", "first", "last")

    def __init__(
        self, first: int, last: int, fence: int, expiry: float
    ) -> None:
        self.first = first
        self.last = last
        self.fence = fence
        self.expiry = expiry


class Execution:
    """An execution of a request, recorded for an oracle.

    Attributes:
        attempt: Identifier of the caller's attempt.
        key: Key of the request, None without one.
        target: Target that executed the request.
        at: Loop time of the start.
    """

    __slots__ = ("at", "attempt", "key", "target")

    def __init__(
        self, attempt: str, key: int | None, target: str, at: float
    ) -> None:
        self.attempt = attempt
        self.key = key
        self.target = target
        self.at = at


_WORK_POLL_SECONDS = 0.005
"""Interval of checks whether the work on released keys has ended."""


class Arrival:
    """Arrival of a request at a target, recorded for an oracle.

    Attributes:
        attempt: Identifier of the caller's attempt.
        target: Target that received the request.
        born: Start time of the target's incarnation.
        at: Loop time of the arrival.
        rest: Backoff in seconds that the response asked of the sender; 0 if
            the target accepted the request.
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
        id: Identifier of the target.
        service: Name of the service.
        born: Start time of the incarnation in Unix milliseconds.
        fault: Current fault.
        runs: Executions of all targets; the oracle shares the list.
        misdirected: Number of requests addressed to another target.
        orders: Accepted orders, oldest first.
        shed: Number of requests rejected late.
        slowness: Duration of work in percent of the usual one.
        cold_seconds: Reported remaining warm-up in seconds.
        checks: Number of health checks served.
        zone: Availability zone.
        limit: Reported limit in requests per second from all VMs together,
            None for no limit.
        leaving: Whether responses announce that the target leaves.
        rest: Backoff in seconds that a rejection asks of the sending VM; 0
            for none.
        arrivals: Requests that reached the target.
        header_names: Names of all headers of requests that reached it.
        padding_bytes: Size of the padding after the text of a response.
        unmarked_status: Status with which the target, while its fault is
            UNMARKED, responds to requests that it has run.
        crash_path: Path of a request that crashes the target when it begins to
            run it; empty for none.
        on_crash: Called when it crashes; `stop` unless set.
        on_grant: Called with the target, the first and the last key of each
            grant before it is taken.
    """

    __slots__ = (
        "_accepted",
        "_active",
        "_address",
        "_fences",
        "_granted",
        "_handovers",
        "_keyed",
        "_running",
        "_server",
        "_slots",
        "_work",
        "arrivals",
        "born",
        "checks",
        "cold_seconds",
        "crash_path",
        "fault",
        "header_names",
        "id",
        "leaving",
        "limit",
        "misdirected",
        "on_crash",
        "on_grant",
        "orders",
        "padding_bytes",
        "rest",
        "runs",
        "service",
        "shed",
        "slowness",
        "unmarked_status",
        "zone",
    )

    def __init__(
        self,
        name: str,
        service: str,
        runs: list[Execution],
        *,
        keyed: bool = False,
        slots: int = 4,
        work: float = 0.005,
        zone: str = "zone-a",
    ) -> None:
        """Initializes a target without starting it.

        Args:
            name: Identifier of the target.
            service: Name of the service.
            runs: List to which the target appends its executions.
            keyed: Whether the target executes requests only for keys that it
                owns.
            slots: Maximum number of concurrent executions.
            work: Duration of an execution in seconds.
            zone: Availability zone.
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
        self.header_names: set[bytes] = set()
        self.padding_bytes = 0
        self.unmarked_status = 503
        self.crash_path = b""
        self.on_crash: Callable[[], None] = self.stop
        self.born = int(time.time() * 1000)
        self._keyed = keyed
        self._work = work
        self._slots = slots
        self._running = asyncio.Semaphore(slots)
        self._accepted = 0
        self._active: dict[str, tuple[int, float]] = {}
        self.on_grant: Callable[[PlatformTarget, int, int], None] = _ignore
        self._granted: list[_GrantedRange] = []
        self._fences: list[_GrantedRange] = []
        self._handovers = itertools.count(1)
        self._address = ""
        self._server = http_server.Server(self._handle)

    @property
    def address(self) -> str:
        """Host and port on which the target listens."""
        return self._address

    async def start(self) -> str:
        """Starts to listen and returns the address."""
        self._address = await self._server.listen("127.0.0.1:0")
        return self._address

    def stop(self) -> None:
        """Stops immediately, as if the process had been killed."""
        self._server.stop_listening()
        self._server.abort()

    def refuse_connections(self) -> None:
        """Refuses new connections like a full target, but keeps open ones."""
        self._server.stop_listening()

    def registration(
        self, state: str = "ready", address: str = "", zone: str = ""
    ) -> dict[str, Any]:
        """Returns the registration of the target for the store.

        Args:
            state: Registered state.
            address: Advertised address; empty for the listen address.
            zone: Registered zone; empty for the own one.
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

    def owns(self, key: int) -> bool:
        """Whether the target owns a key now."""
        now = asyncio.get_running_loop().time()
        return any(
            h.first <= key <= h.last and now < h.expiry for h in self._granted
        )

    def works_on(self, first: int, last: int) -> bool:
        """Whether it works on a key in a range under an unexpired grant."""
        now = asyncio.get_running_loop().time()
        return any(
            first <= key <= last and now < expiry
            for key, expiry in self._active.values()
        )

    def owned_ranges(self) -> list[tuple[int, int]]:
        """Returns the first and last key of each range that it owns now."""
        now = asyncio.get_running_loop().time()
        return [(h.first, h.last) for h in self._granted if now < h.expiry]

    async def _handle(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        """Responds to a call and adds target feedback to the response."""
        response = await self._respond(incoming)
        headers = (*response.headers, *self._feedback_headers())
        return http_server.Response(response.status, headers, response.body)

    def _feedback_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Returns the feedback headers for all senders."""
        headers: list[tuple[bytes, bytes]] = []
        if self.limit is not None:
            headers.append((b"server-limit", b"%g" % self.limit))
        if self.leaving:
            headers.append((b"server-leaving", b"1"))
        return tuple(headers)

    async def _respond(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        expected = incoming.header(b"x-expect-instance")
        if expected is not None and expected.decode() != self.id:
            self.misdirected += 1
            return http_server.Response(
                421,
                (
                    *_attempt_header(incoming),
                    (b"x-not-executed", b"1"),
                    (b"x-instance-id", self.id.encode()),
                ),
            )
        path = incoming.target.decode()
        if path == "/health":
            self.checks += 1
            return http_server.Response(
                200,
                (*self._load_headers(), (b"x-instance-id", self.id.encode())),
            )
        if path in ("/grant", "/release"):
            if self.fault is Fault.ORDERS_SILENT:
                await asyncio.Event().wait()
            body = json.loads(incoming.body)
            self.orders.append((path, body))
            if path == "/grant":
                return self._grant(body)
            return await self._release(body)
        return await self._handle_request(incoming)

    def _load_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Returns the headers with the load report and the warm-up."""
        running = min(self._accepted, self._slots)
        waiting = self._accepted - running
        load = f"{running},{waiting},{self._slots},{self.slowness}"
        warmup_ms = int(self.cold_seconds * 1000)
        return (
            (b"x-server-load", load.encode()),
            (b"x-warmup-ms", str(warmup_ms).encode()),
        )

    # Requests.

    async def _handle_request(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        attempt_header = _attempt_header(incoming)
        arrival = Arrival(
            (incoming.header(b"x-attempt-id") or b"").decode(),
            self.id,
            self.born,
            asyncio.get_running_loop().time(),
        )
        self.arrivals.append(arrival)
        self.header_names.update(name for name, _ in incoming.headers)
        if self.fault is Fault.HANG:
            await asyncio.Event().wait()
        if self.fault is Fault.SHED_LATE:
            self.shed += 1
            await asyncio.sleep(_LATE_SHED_SECONDS)
        if self.fault in (Fault.SHED, Fault.SHED_LATE):
            rejected = (*attempt_header, (b"x-not-executed", b"1"))
            if self.rest:
                arrival.rest = self.rest
                rejected += ((b"retry-after", b"%g" % self.rest),)
            return http_server.Response(503, rejected)
        raw = incoming.header(b"x-shard-key")
        key = int(raw) if raw is not None else None
        if self._keyed and (key is None or not self.owns(key)):
            return http_server.Response(
                421, (*attempt_header, (b"x-not-executed", b"1"))
            )
        self._accepted += 1
        try:
            async with self._running:
                return await self._execute(incoming, attempt_header, key)
        finally:
            self._accepted -= 1

    async def _execute(
        self,
        incoming: http_server.Request,
        attempt_header: tuple[tuple[bytes, bytes], ...],
        key: int | None,
    ) -> http_server.Response:
        attempt = (incoming.header(b"x-attempt-id") or b"").decode()
        now = asyncio.get_running_loop().time()
        self.runs.append(Execution(attempt, key, self.id, now))
        if incoming.target == self.crash_path:
            self.on_crash()
        if key is not None:
            self._active[attempt] = key, self._expiry(key)
        try:
            return await self._finish(attempt, attempt_header)
        finally:
            self._active.pop(attempt, None)

    def _expiry(self, key: int) -> float:
        """Returns when the grant of a key expires, 0 without one."""
        return max(
            (h.expiry for h in self._granted if h.first <= key <= h.last),
            default=0.0,
        )

    async def _finish(
        self,
        attempt: str,
        attempt_header: tuple[tuple[bytes, bytes], ...],
    ) -> http_server.Response:
        if self.fault is Fault.RESET:
            self._server.abort()
            await asyncio.sleep(0)
        await asyncio.sleep(self._work * self.slowness / 100)
        sealed = (
            *attempt_header,
            *self._load_headers()[:1],
            (b"x-server-seal", self.id.encode()),
        )
        if self.fault is Fault.FAIL:
            return http_server.Response(500, sealed, b"failed")
        text = f"{self.id} ran {attempt}".encode() + bytes(self.padding_bytes)
        status = 200
        if self.fault is Fault.UNMARKED:
            status = self.unmarked_status
        return http_server.Response(status, sealed, text)

    # Orders.

    def _grant(self, body: dict[str, Any]) -> http_server.Response:
        first, last, fence = body["From"], body["Target"], body["fence"]
        if any(
            _overlaps(h, first, last) and h.fence > fence for h in self._fences
        ):
            return http_server.Response(409)
        if body["HoldMs"] > 10_000:
            return http_server.Response(400)
        self.on_grant(self, first, last)
        now = asyncio.get_running_loop().time()
        expiry = now + body["HoldMs"] / 1000
        self._remove_range(first, last)
        self._granted.append(_GrantedRange(first, last, fence, expiry))
        self._fences.append(_GrantedRange(first, last, fence, expiry))
        return http_server.Response(200)

    async def _release(self, body: dict[str, Any]) -> http_server.Response:
        first, last, fence = body["From"], body["Target"], body["fence"]
        self._remove_range(first, last)
        self._fences.append(_GrantedRange(first, last, fence, 0.0))
        # This also waits for work on other keys, which does no harm here.
        await asyncio.sleep(self._work)
        while self.works_on(first, last):
            await asyncio.sleep(_WORK_POLL_SECONDS)
        token = f"{self.id}-{next(self._handovers)}".encode()
        return http_server.Response(200, ((b"x-handover", token),))

    def _remove_range(self, first: int, last: int) -> None:
        remaining = []
        for granted in self._granted:
            if not _overlaps(granted, first, last):
                remaining.append(granted)
                continue
            for begin, end in (
                (granted.first, first - 1),
                (last + 1, granted.last),
            ):
                if begin <= end:
                    remaining.append(
                        _GrantedRange(begin, end, granted.fence, granted.expiry)
                    )
        self._granted = remaining


def _ignore(target: PlatformTarget, first: int, last: int) -> None:
    """Ignores a grant."""


def _overlaps(granted: _GrantedRange, first: int, last: int) -> bool:
    return granted.first <= last and first <= granted.last


def _attempt_header(
    incoming: http_server.Request,
) -> tuple[tuple[bytes, bytes], ...]:
    attempt = incoming.header(b"x-attempt-id")
    return ((b"x-attempt-id", attempt),) if attempt is not None else ()
