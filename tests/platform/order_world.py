"""Virtual targets that hold keys, their network, and the rule on owners.

Targets are reached through fake transports by the gateway's own connections, so
that the matching of answers to orders is part of what is tested.
"""

import asyncio
import collections
import enum
import itertools
import json
import random

from mimosastile_standins import virtual

POINTS = 16
"""Number of sampled keys; ranges start and end at their borders."""
POINT_WIDTH = 65536 // POINTS
_NETWORK_SECONDS = 0.001
_CUT_RETRY_SECONDS = 0.05
_SAMPLE_SECONDS = 0.05
MAX_SHARED_SECONDS = 0.5
"""Longest time for which two targets may hold the same key."""

THAW_SECONDS = 0.3
"""Time after the end of a cut within which grants do not count."""


class Trouble(enum.Enum):
    """A kind of trouble that a history may have."""

    LATE_ANSWERS = "late-answers"
    EXTRA_GRANTED = "extra-granted"
    EXTRA_RELEASED = "extra-released"
    EXTRA_FENCED = "extra-fenced"
    EXTRA_REPLACED = "extra-replaced"
    LOST_ANSWERS = "lost-answers"
    LATE_ORDERS = "late-orders"
    SLOW_NETWORK = "slow-network"
    SLOW_LINK = "slow-link"
    LONG_WORK = "long-work"
    RESETS = "resets"
    CUTS = "cuts"
    RESTARTS = "restarts"
    NEW_ADDRESSES = "new-addresses"
    LATE_REGISTRATIONS = "late-registrations"
    REUSED_ADDRESSES = "reused-addresses"
    LOST_REGISTRATIONS = "lost-registrations"
    FOREIGN_REGISTRATIONS = "foreign-registrations"
    NEW_LEADERS = "new-leaders"
    CUT_LEADERS = "cut-leaders"
    FEW_PERMITS = "few-permits"
    SLOW_STORE = "slow-store"


_EXTRA_SHARES = {
    Trouble.EXTRA_GRANTED: 0.2,
    Trouble.EXTRA_RELEASED: 0.2,
    Trouble.EXTRA_FENCED: 0.7,
    Trouble.EXTRA_REPLACED: 0.2,
}
"""Share of answers that come twice, by their kind; 409 is rare."""


class Draws:
    """Draws of one history, from one generator for each kind of trouble.

    Without one trouble, the draws of all others stay the same.
    """

    def __init__(self, seed, troubles):
        self.troubles = frozenset(troubles)
        self._seed = seed
        self._generators = {}

    def of(self, name):
        """Returns the generator with a name."""
        if name not in self._generators:
            self._generators[name] = random.Random(f"{self._seed} {name}")
        return self._generators[name]

    def hits(self, trouble, probability):
        """Whether a trouble happens now."""
        hit = self.of(trouble.value).random() < probability
        return hit and trouble in self.troubles

    def seconds(self, trouble, least, most):
        """Returns the duration of a trouble."""
        return self.of(f"{trouble.value} seconds").uniform(least, most)


class _Hold:
    """A sampled key that a process holds.

    Attributes:
        fence: Fence of the grant.
        until: Time at which the grant expires by the clock of the process.
        late: Whether the grant was taken late.
    """

    __slots__ = ("fence", "late", "until")

    def __init__(self, fence, until, late):
        self.fence = fence
        self.until = until
        self.late = late


class Process:
    """One incarnation of a target.

    Attributes:
        id: Identifier of the target.
        born: Start in Unix milliseconds.
        address: Host and port.
        zone: Availability zone.
        up: Whether it runs.
        cut: Whether leaders do not reach it.
        healed_at: Time at which the last cut ended.
        holds: Held keys.
    """

    def __init__(self, world, name, born, address, zone):
        self.id = name
        self.born = born
        self.address = address
        self.zone = zone
        self.up = True
        self.cut = False
        self.healed_at = float("-inf")
        self.holds = {}
        self.connections = {}
        self._world = world
        self._fences = collections.Counter()
        self._released_until = {}
        self._work = collections.defaultdict(list)
        self._drift = 1.0 + world.draws.of("drift").choice((0.0, 0.02))

    def __str__(self):
        return f"{self.id}/{self.born}@{self.address}"

    def held(self, point):
        """Returns the unexpired hold of a key, None without one."""
        hold = self.holds.get(point)
        return hold if hold and virtual.now() < hold.until else None

    def works_until(self, point):
        """Returns when work on a key ends, 0 without any."""
        hold = self.holds.get(point)
        bound = hold.until if hold else self._released_until.get(point, 0.0)
        return max((min(end, bound) for end in self._work[point]), default=0.0)

    def begin_work(self, point, seconds):
        """Starts work on a key if it is held."""
        now = virtual.now()
        if self.up and self.held(point):
            ends = [end for end in self._work[point] if end > now]
            self._work[point] = [*ends, now + seconds]

    def end(self):
        """Ends the process as a kill does."""
        self.up = False
        for connection in tuple(self.connections):
            connection.reset()

    async def respond(self, request):
        """Carries an order out; returns the answer, None if there is none."""
        draws, world = self._world.draws, self._world
        arrived_at = virtual.now()
        if request.expected != self.id:
            world.note(f"{self} refuses {request} for {request.expected}")
            return _answer(421, request, [("X-Not-Executed", "1")])
        if draws.hits(Trouble.LATE_ORDERS, 0.03):
            seconds = draws.seconds(Trouble.LATE_ORDERS, 0.5, 4.0)
            world.note(f"{self} takes {request} {seconds:.2f} s late")
            await asyncio.sleep(seconds)
            if self.up:
                await self._carry_out(request, arrived_at, late=True)
            return None
        answer = await self._carry_out(request, arrived_at, late=False)
        if draws.hits(Trouble.LOST_ANSWERS, 0.04):
            world.note(f"{self} loses the answer to {request}")
            return None
        if draws.hits(Trouble.LATE_ANSWERS, 0.1):
            await asyncio.sleep(draws.seconds(Trouble.LATE_ANSWERS, 0.02, 0.6))
        return answer

    async def _carry_out(self, request, arrived_at, *, late):
        if request.path == "/grant":
            return self._grant(request, arrived_at, late=late)
        return await self._release(request)

    def _grant(self, request, arrived_at, *, late):
        fence, points = request.fence, request.points
        if any(self._fences[point] > fence for point in points):
            self._world.note(f"{self} refuses {request}")
            return _answer(409, request)
        late = late or arrived_at < self.healed_at + THAW_SECONDS
        until = arrived_at + request.hold * self._drift
        self._world.check_grant(self, request, late=late)
        for point in points:
            self._fences[point] = fence
            earlier = self.holds.get(point)
            if late and earlier and earlier.fence == fence:
                earlier.until = max(earlier.until, until)
                continue
            self.holds[point] = _Hold(fence, until, late)
            self._released_until.pop(point, None)
        return _answer(200, request)

    async def _release(self, request):
        self._world.note(f"{self} releases {request}")
        for point in request.points:
            self._fences[point] = max(self._fences[point], request.fence)
            hold = self.holds.pop(point, None)
            if hold:
                self._released_until[point] = hold.until
        ends = max(self.works_until(point) for point in request.points)
        await asyncio.sleep(max(ends - virtual.now(), 0.0) + _NETWORK_SECONDS)
        token = next(self._world.tokens)
        return _answer(200, request, [("X-Handover", f"{token:016x}")])


class _Request:
    """An order as a target reads it."""

    def __init__(self, head, body):
        lines = head.decode("latin-1").split("\r\n")
        self.path = lines[0].split(" ")[1]
        headers = dict(line.split(": ", 1) for line in lines[1:])
        headers = {name.lower(): value for name, value in headers.items()}
        self.expected = headers["x-expect-instance"]
        self.attempt = headers.get("x-attempt-id")
        order = json.loads(body)
        self.first, self.last = order["From"], order["Target"]
        self.fence = order["fence"]
        self.hold = order.get("HoldMs", 0) / 1000
        self.points = range(
            self.first // POINT_WIDTH, self.last // POINT_WIDTH + 1
        )

    def __str__(self):
        return (
            f"{self.path} {self.points.start}-{self.points.stop - 1}"
            f" fence {self.fence}"
        )


def _answer(status, request, headers=()):
    if request.attempt is not None:
        headers = [("X-Attempt-Id", request.attempt), *headers]
    lines = [f"HTTP/1.1 {status} -", "Content-Length: 0"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode()


def _extra_kind(answer, request):
    """Returns the trouble that a copy of an answer belongs to."""
    status = answer.split(b" ", 2)[1]
    if status == b"409":
        return Trouble.EXTRA_FENCED
    if status == b"421":
        return Trouble.EXTRA_REPLACED
    is_grant = request.path == "/grant"
    return Trouble.EXTRA_GRANTED if is_grant else Trouble.EXTRA_RELEASED


class _Transport(asyncio.Transport):
    """A connection from a leader to a process, without a socket."""

    def __init__(self, world, process, protocol):
        super().__init__()
        self._world = world
        self._process = process
        self._protocol = protocol
        self._inbox = asyncio.Queue()
        self._closed = False
        self._previous = None
        self._sending = asyncio.Queue()
        self._delivering = world.spawn(self._deliver())
        self._serving = world.spawn(self._serve())
        process.connections[self] = None

    # For the gateway's connection.

    def get_extra_info(self, name, default=None):
        """Returns the default, as there is no socket."""
        return default

    def get_write_buffer_size(self):
        """Returns 0, as all bytes are taken at once."""
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        """Does nothing, as all bytes are taken at once."""

    def is_closing(self):
        """Whether the connection is closed."""
        return self._closed

    def pause_reading(self):
        """Does nothing, as answers are short."""

    def resume_reading(self):
        """Does nothing, as answers are short."""

    def write(self, data):
        """Sends an order."""
        if not self._closed:
            self._sending.put_nowait(data)

    def close(self):
        """Closes the connection."""
        self._end(None)

    def abort(self):
        """Closes the connection; bytes under way are dropped on short links.

        A saturated link between regions delivers them before the reset.
        """
        on_slow_link = self._world.is_slow_link(self._process)
        self._end(None, keeps_sending=on_slow_link)

    # For the target.

    def reset(self):
        """Resets the connection from the side of the target."""
        self._end(ConnectionResetError())
        if not self._process.up:
            self._serving.cancel()

    def _end(self, error, *, keeps_sending=False):
        if self._closed:
            return
        self._closed = True
        self._process.connections.pop(self, None)
        if keeps_sending:
            self._sending.put_nowait(None)
        else:
            self._delivering.cancel()
            self._inbox.put_nowait(None)
        asyncio.get_running_loop().call_soon(
            self._protocol.connection_lost, error
        )

    async def _deliver(self):
        """Delivers the bytes of the leader in their order."""
        while data := await self._sending.get():
            await asyncio.sleep(self._world.transit_seconds(self._process))
            while self._process.cut:
                await asyncio.sleep(_CUT_RETRY_SECONDS)
                if self._closed:
                    # A cut drops the bytes, and nothing sends them again.
                    self._inbox.put_nowait(None)
                    return
            self._inbox.put_nowait(data)
        self._inbox.put_nowait(None)

    async def _serve(self):
        """Carries orders out one after the other."""
        while data := await self._inbox.get():
            head, _, body = data.partition(b"\r\n\r\n")
            if not self._process.up:
                return
            request = _Request(head, body)
            if self._previous is not None:
                self._copy_previous(*self._previous, request)
            answer = await self._process.respond(request)
            if answer is None:
                # A connection on which an answer is lost returns no more.
                return
            self._previous = _extra_kind(answer, request), answer
            self._send(answer)

    def _copy_previous(self, kind, answer, request):
        """Sends an earlier answer again where the next one is expected."""
        if self._world.draws.hits(kind, _EXTRA_SHARES[kind]):
            self._world.note(
                f"{self._process} sends {kind.value} before its answer to"
                f" {request}"
            )
            self._send(answer)

    def _send(self, data):
        asyncio.get_running_loop().call_later(
            _NETWORK_SECONDS, self._receive, data
        )

    def _receive(self, data):
        if self._closed:
            return
        if self._process.cut:
            asyncio.get_running_loop().call_later(
                _CUT_RETRY_SECONDS, self._receive, data
            )
            return
        self._protocol.data_received(data)


class World:
    """All processes, the network to them, and the rule on owners.

    Attributes:
        draws: Draws of the history.
        processes: All processes that are up, by address.
        tokens: Numbers of handover tokens.
        trace: What happened, with times.
        violations: Violations of the rule.
    """

    def __init__(self, draws):
        self.draws = draws
        self.processes = {}
        self.tokens = itertools.count(1)
        self._tasks = set()
        self.trace = []
        self.violations = []
        self._fences = collections.defaultdict(dict)
        self._shared_since = {}
        self._addresses = itertools.count(1)

    def note(self, text):
        """Adds a line to the trace."""
        self.trace.append(f"{virtual.now():8.3f} {text}")

    def _violate(self, text):
        self.note(f"VIOLATION {text}")
        self.violations.append(text)

    def spawn(self, coroutine):
        """Starts a task and keeps it until it ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def new_address(self):
        """Returns an address that no process has had."""
        return f"10.0.0.{next(self._addresses)}:80"

    def start(self, name, born, address, zone):
        """Starts a process."""
        process = Process(self, name, born, address, zone)
        self.processes[address] = process
        self.note(f"{process} starts")
        return process

    def end(self, process):
        """Kills a process."""
        self.note(f"{process} ends")
        self.processes.pop(process.address, None)
        process.end()

    async def connect(self, factory, host, port):
        """Opens a connection, as the event loop would."""
        process = self.processes.get(f"{host}:{port}")
        await asyncio.sleep(_NETWORK_SECONDS)
        if process is None or not process.up:
            raise ConnectionRefusedError
        if process.cut:
            await asyncio.Event().wait()
        protocol = factory()
        transport = _Transport(self, process, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def is_slow_link(self, process):
        """Whether bytes to a process are delivered after a reset."""
        return (
            process.zone == "far" and Trouble.SLOW_LINK in self.draws.troubles
        )

    def transit_seconds(self, process):
        """Returns the seconds until bytes arrive at a process."""
        draws = self.draws
        if self.is_slow_link(process):
            if draws.hits(Trouble.SLOW_LINK, 0.1):
                return draws.seconds(Trouble.SLOW_LINK, 0.1, 0.9)
        elif draws.hits(Trouble.SLOW_NETWORK, 0.25):
            return draws.seconds(Trouble.SLOW_NETWORK, 0.01, 0.4)
        return _NETWORK_SECONDS

    # The rule.

    def check_grant(self, process, request, *, late):
        """Checks a grant that a process takes now.

        Grants that are taken late do not count.
        """
        others = [p for p in self.processes.values() if p is not process]
        is_new = False
        for point in request.points:
            held = process.held(point)
            if held is None or held.fence != request.fence:
                is_new = True
            if not late:
                self._check_point(process, request, point, others)
            fences = self._fences[point]
            fences[process.id] = max(fences.get(process.id, 0), request.fence)
        if is_new:
            how = " late" if late else ""
            self.note(f"{process} takes {request}{how}")

    def _check_point(self, process, request, point, others):
        now = virtual.now()
        held = process.held(point)
        if held is not None and held.fence == request.fence:
            return
        for other in others:
            if other.works_until(point) > now:
                self._violate(
                    f"{process} is given {point} while {other} works on it"
                )
        highest = max(
            (
                fence
                for name, fence in self._fences[point].items()
                if name != process.id
            ),
            default=0,
        )
        if request.fence <= highest:
            self._violate(
                f"{process} takes {point} with fence {request.fence},"
                f" others had {highest}"
            )

    async def sample(self):
        """Checks all the time that no two targets hold the same key."""
        while True:
            await asyncio.sleep(_SAMPLE_SECONDS)
            now = virtual.now()
            shared = {
                (point, one, other)
                for point in range(POINTS)
                for one, other in itertools.combinations(
                    self._holders(point), 2
                )
            }
            self._shared_since = {
                found: self._shared_since.get(found, now) for found in shared
            }
            for found, since in self._shared_since.items():
                if now - since > MAX_SHARED_SECONDS:
                    point, one, other = found
                    self._violate(f"{one} and {other} both hold {point}")
                    self._shared_since[found] = now

    def _holders(self, point):
        """Returns the processes that hold a key by a grant taken in time."""
        return [
            process
            for process in self.processes.values()
            if (hold := process.held(point)) and not hold.late
        ]
