"""Fakes for the gateway's ports, its clock and its event log."""

import asyncio
import collections
import os
import tempfile

import result

from mimosastile_core import errors
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import reachability
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import http_client
from mimosastile_gateway import ports
from mimosastile_gateway import reach_monitoring
from mimosastile_gateway import settings

UNAVAILABLE = errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE, "down")
UNKNOWN = errors.Failure(errors.ErrorKind.STORE_UNKNOWN, "no answer")
_HANGING_SECONDS = 1.0
"""Time after which a hanging call has failed, as in the real client."""


class VirtualClock(clock.Clock):
    """A clock that follows the event loop's time.

    Attributes:
        suspended: Seconds of suspension, which only the boot clock counts.
    """

    def __init__(self):
        super().__init__(1)
        self.suspended = 0.0

    def boottime(self):
        """Returns the loop's time plus the time of suspension."""
        return asyncio.get_running_loop().time() + self.suspended


class MemoryEvents(events.EventLog):
    """An event log that stores its lines in memory."""

    def __init__(self):
        descriptor = os.open(
            tempfile.gettempdir(), os.O_TMPFILE | os.O_RDWR, 0o600
        )
        super().__init__("vm-1", descriptor)
        os.close(descriptor)
        self.lines = []

    def write(self, part, event, **fields):
        """Stores a line."""
        self.lines.append((part, event, fields))

    def named(self, event):
        """Returns the fields of all lines of one event."""
        return [fields for _, name, fields in self.lines if name == event]


def configured(**leader):
    """Returns the settings of a VM, with changed leader settings."""
    return settings.GatewaySettings(
        vm=settings.VmSettings(
            id="vm-1",
            zone="z",
            region="r",
            regions={"z": "r", "far": "q", "farther": "q"},
            ip="127.0.0.1",
            callers="127.0.0.1:0",
            readiness="127.0.0.1:0",
            peers="127.0.0.1:0",
            metrics="127.0.0.1:0",
        ),
        store=settings.StoreSettings(address="127.0.0.1:1"),
        leader=settings.LeaderSettings(**leader),
    )


def target(name, service="s", born=1, **changes):
    """Returns a registered target."""
    fields = {"address": f"{name}:80", "zone": "z", "slots": 4}
    return directory.Target(
        id=name, born=born, service=service, **(fields | changes)
    )


def route(**changes):
    """Returns a route to the service of `new_cluster_state`."""
    fields = {
        "name": "r",
        "host": "h",
        "prefix": "/",
        "kind": routes.RouteKind.IDEMPOTENT,
        "parts": (routes.Part("s"),),
        "timeout": 2.0,
        "target_latency": 0.4,
    }
    return routes.Route(**(fields | changes))


def new_cluster_state(timer, log, *targets, keyed=True):
    """Returns a cluster state with one service and the given targets."""
    made = cluster_state.ClusterState(configured(), timer, log)
    service = routes.Service("s", keyed=keyed)
    made.apply_configuration(routes.Configuration(1, services={"s": service}))
    made.replace_targets(list(targets))
    return made


class TargetPool:
    """Connections to targets, for proofs of paths.

    Attributes:
        outcomes: By address, how attempts end that do not succeed.
        default: How attempts at all other addresses end.
        refused_after: Seconds after which attempts end that do not hang.
        attempts: Addresses of all attempts.
        closed: Addresses whose idle connections were closed.
        released: Connections that were kept.
        on_attempt: Called for each attempt, as by a real pool.
    """

    def __init__(self):
        self.outcomes = {}
        self.default = reachability.Outcome.CONNECTED
        self.refused_after = 0.001
        self.attempts = []
        self.closed = []
        self.released = []
        self.on_attempt = lambda *_: None

    async def connect_new(self, address, timeout):
        """Connects, fails at once or after the timeout."""
        self.attempts.append(address)
        outcome = self.outcomes.get(address, self.default)
        seconds = self.refused_after
        if outcome is reachability.Outcome.HUNG:
            seconds = timeout
        await asyncio.sleep(seconds)
        self.on_attempt(address, outcome, seconds)
        if outcome is not reachability.Outcome.CONNECTED:
            raise http_client.NotSentError(
                address, hung=outcome is reachability.Outcome.HUNG
            )
        return address

    def close_idle(self, address):
        """Records the call."""
        self.closed.append(address)

    def release(self, connection, address):
        """Records the call."""
        self.released.append(address)


def new_reach_monitor(cluster, timer, log, balancer=None, pool=None):
    """Returns a monitor of targets whose attempts a test records."""
    balancer = balancer or load_balancing.LoadBalancer(
        load_balancing.Location("z", "r"), {"z": "r"}, load_balancing.Policy()
    )
    pool = pool or TargetPool()
    monitor = reach_monitoring.ReachMonitor(
        pool, 0.3, cluster, balancer, timer, log
    )
    pool.on_attempt = monitor.record_attempt
    return monitor


def view_ages(cluster):
    """Returns the ages of the views of registrations and configuration."""
    return cluster.registrations_age, cluster.configuration_age


class Orders:
    """Fake targets that receive orders, and the true owners of all keys.

    Attributes:
        silent: Targets that receive orders but do not respond.
        dead: Targets that orders do not reach.
        lost_releases: Targets that releases do not reach.
        replaced: Targets whose addresses belong to others by now.
        queued: By target, the seconds after which grants arrive although their
            connections have been reset before.
        work: Seconds until a release is confirmed.
        delay: Seconds until a grant arrives.
        log: All orders that arrived.
        clashes: Earlier holder, later holder, first key and time of each
            overlap between the keys of two targets.
        feedback: Target feedback in the responses, by target.
    """

    def __init__(self):
        self.silent = set()
        self.dead = set()
        self.lost_releases = set()
        self.replaced = set()
        self.queued = {}
        self.work = 0.05
        self.delay = 0.0
        self.log = []
        self.clashes = []
        self.feedback = {}
        self._tasks = []
        self._grants = collections.defaultdict(list)
        self._fences = collections.defaultdict(list)

    def holders(self, key):
        """Returns the targets that currently hold a key."""
        now = asyncio.get_running_loop().time()
        return {
            name
            for name, holds in self._grants.items()
            if any(a <= key <= b and now < until for a, b, _, until in holds)
        }

    async def grant(self, name, address, order, timeout):
        """Sends a grant to a target."""
        if name in self.replaced:
            return result.Err(errors.Failure(errors.ErrorKind.TARGET_REPLACED))
        if name in self.dead:
            await asyncio.sleep(timeout)
            return result.Err(errors.Failure(errors.ErrorKind.UNREACHABLE))
        if name in self.queued:
            delay = self.queued[name]
            self._tasks.append(
                asyncio.create_task(self._arrive_later(name, order, delay))
            )
            await asyncio.sleep(timeout)
            return result.Err(errors.Failure(errors.ErrorKind.ANSWER_LOST))
        await asyncio.sleep(0.001 + self.delay)
        return await self._arrive(name, order, timeout)

    async def _arrive_later(self, name, order, delay):
        await asyncio.sleep(delay)
        await self._arrive(name, order, 0.0)

    async def _arrive(self, name, order, timeout):
        self.log.append(("grant", name, order))
        seen = self._fences[name]
        first, last, fence = order.first, order.last, order.fence
        if any(a <= last and first <= b and f > fence for a, b, f in seen):
            return result.Err(errors.Failure(errors.ErrorKind.WRONG_FENCE))
        seen.append((first, last, fence))
        now = asyncio.get_running_loop().time()
        self._remove_keys(name, first, last)
        # The slowest clock within the drift bound.
        until = now + order.hold * 1.02
        self._grants[name].append((first, last, fence, until))
        self._check(name, first, last, now)
        if name in self.silent:
            await asyncio.sleep(timeout)
            return result.Err(errors.Failure(errors.ErrorKind.ANSWER_LOST))
        return result.Ok(
            self.feedback.get(name, target_feedback.TargetFeedback())
        )

    async def release(self, name, address, order, timeout):
        """Sends a release to a target."""
        if name in self.replaced:
            return result.Err(errors.Failure(errors.ErrorKind.TARGET_REPLACED))
        if name in self.dead or name in self.lost_releases:
            await asyncio.sleep(timeout)
            return result.Err(errors.Failure(errors.ErrorKind.UNREACHABLE))
        await asyncio.sleep(0.001)
        self.log.append(("release", name, order))
        self._fences[name].append((order.first, order.last, order.fence))
        self._remove_keys(name, order.first, order.last)
        if name in self.silent or self.work > timeout:
            await asyncio.sleep(timeout)
            return result.Err(errors.Failure(errors.ErrorKind.ANSWER_LOST))
        await asyncio.sleep(self.work)
        return result.Ok(f"from-{name}")

    def restart(self, name):
        """Clears all grants and fences of a target, as a restart would."""
        self._grants.pop(name, None)
        self._fences.pop(name, None)

    def _remove_keys(self, name, first, last):
        remaining = []
        for a, b, fence, until in self._grants[name]:
            if b < first or last < a:
                remaining.append((a, b, fence, until))
                continue
            if a < first:
                remaining.append((a, first - 1, fence, until))
            if last < b:
                remaining.append((last + 1, b, fence, until))
        self._grants[name] = remaining

    def _check(self, name, first, last, now):
        for other, holds in self._grants.items():
            if other == name:
                continue
            for a, b, _, until in holds:
                if a <= last and first <= b and now < until:
                    self.clashes.append((other, name, max(a, first), now))


class Store:
    """An in-memory store with injected failures.

    Attributes:
        failing: Failure returned by every call, None if calls succeed.
        loses_responses: Whether the responses of commits that have been carried
            out are lost.
        claim_delay: Seconds by which commits without a table are delayed.
        failing_lists: Number of the next list calls that fail.
        items: Values and revisions by key.
        commits: Number of commits carried out.
    """

    def __init__(self):
        self.failing = None
        self.loses_responses = False
        self.claim_delay = 0.0
        self.failing_lists = 0
        self.items = {}
        self.commits = 0
        self._revision = 1
        self._sessions = 0

    def _item(self, key):
        found = self.items.get(key)
        return ports.Item(key, *found) if found else None

    async def read(self, key):
        """Reads one key."""
        await asyncio.sleep(0.005)
        if self.failing:
            return result.Err(self.failing)
        return result.Ok(self._item(key))

    async def list(self, prefix, *, stale=False):
        """Reads all keys with a prefix."""
        await asyncio.sleep(0.005)
        if self.failing:
            return result.Err(self.failing)
        if self.failing_lists:
            self.failing_lists -= 1
            return result.Err(UNAVAILABLE)
        found = tuple(
            self._item(k) for k in sorted(self.items) if k.startswith(prefix)
        )
        return result.Ok(ports.Listing(found, self._revision))

    async def watch(self, prefix, after, wait):
        """Waits without ever returning a change."""
        await asyncio.sleep(wait)
        if self.failing:
            return result.Err(self.failing)
        return result.Ok(ports.Changes((), (), self._revision))

    async def commit(self, expected, writes, deleted=()):
        """Writes if the keys have the expected revisions."""
        await asyncio.sleep(0.005)
        if not any("table" in write.key for write in writes):
            await asyncio.sleep(self.claim_delay)
        if self.failing:
            return result.Err(self.failing)
        for key, revision in expected.items():
            found = self.items.get(key)
            if (found[1] if found else 0) != revision:
                return result.Err(ports.Conflict())
        self._revision += 1
        self.commits += 1
        for write in writes:
            self.items[write.key] = (write.value, self._revision)
        if self.loses_responses:
            return result.Err(UNKNOWN)
        return result.Ok(self._revision)

    async def open_session(self, seconds):
        """Opens a session with a lease."""
        if self.failing:
            return result.Err(self.failing)
        self._sessions += 1
        return result.Ok(ports.Session(self._sessions, seconds))

    async def keep_session(self, session):
        """Renews a session's lease."""
        if self.failing:
            return result.Err(self.failing)
        return result.Ok(10.0)

    async def end_session(self, session):
        """Ends a session."""


class WatchedStore(Store):
    """A store whose watches return changes.

    Attributes:
        stale_seconds: Age of the data that stale lists return.
    """

    def __init__(self):
        super().__init__()
        self.stale_seconds = 0.0
        self._stalls = 0
        self._times = {}
        self._history = []
        self._written = asyncio.Event()

    def put(self, key, value):
        """Writes a key as an operator or a target would; returns when."""
        self._revision += 1
        self.items[key] = (value, self._revision)
        return self._note(key)

    def stall_watches(self):
        """Lets all pending watches hang forever."""
        self._stalls += 1

    def remove(self, key):
        """Removes a key; returns when."""
        self._revision += 1
        del self.items[key]
        return self._note(key)

    async def commit(self, expected, writes, deleted=()):
        """Writes if the keys have the expected revisions."""
        written = await super().commit(expected, writes, deleted)
        for write in writes if written.is_ok() else ():
            self._note(write.key)
        return written

    async def list(self, prefix, *, stale=False):
        """Reads all keys with a prefix; a stale list lacks the newest."""
        listed = await super().list(prefix)
        if listed.is_err() or not stale:
            return listed
        before = asyncio.get_running_loop().time() - self.stale_seconds
        old = tuple(
            item
            for item in listed.ok_value.items
            if self._times[item.key] < before
        )
        return result.Ok(ports.Listing(old, listed.ok_value.revision))

    def _note(self, key):
        self._history.append((self._revision, key))
        self._times[key] = asyncio.get_running_loop().time()
        self._written.set()
        self._written = asyncio.Event()
        return asyncio.get_running_loop().time()

    async def watch(self, prefix, after, wait):
        """Waits for changes after a revision."""
        stalls = self._stalls
        await asyncio.sleep(0.005)
        try:
            async with asyncio.timeout(wait):
                while not (keys := self._changed(prefix, after)):
                    await self._written.wait()
        except TimeoutError:
            keys = {}
        if stalls < self._stalls:
            await asyncio.Event().wait()
        if self.failing:
            return result.Err(self.failing)
        written = tuple(self._item(key) for key in keys if key in self.items)
        gone = tuple(
            (key, revision)
            for key, revision in keys.items()
            if key not in self.items
        )
        return result.Ok(ports.Changes(written, gone, self._revision))

    def _changed(self, prefix, after):
        return {
            key: revision
            for revision, key in self._history
            if revision > after and key.startswith(prefix)
        }


class FaultyProxy:
    """One VM's connections to a store or to targets, with injected failures.

    Attributes:
        failing: Failure of every call, None while calls get through.
        hanging: Names of calls that time out.
        dead: Targets that this VM does not reach; calls time out.
        refused: Targets that refuse this VM's connections.
    """

    def __init__(self, inner):
        self._inner = inner
        self.failing = None
        self.hanging = set()
        self.dead = set()
        self.refused = set()

    def __getattr__(self, name):
        """Returns a method that fails while this VM is cut off."""
        call = getattr(self._inner, name)

        async def through(*args, **kwargs):
            if failing := self.failing:
                await asyncio.sleep(0.005)
                return result.Err(failing)
            if name in self.hanging:
                await asyncio.sleep(_HANGING_SECONDS)
                return result.Err(UNKNOWN)
            lost = self.dead | self.refused
            if lost and args[0] in lost:
                refused = args[0] in self.refused
                await asyncio.sleep(0.001 if refused else args[-1])
                kind = errors.ErrorKind.UNREACHABLE
                return result.Err(errors.Failure(kind))
            response = await call(*args, **kwargs)
            # A watch may wait for long. If the VM is cut off meanwhile, the
            # response of the watch is lost.
            if name == "watch" and (self.failing or name in self.hanging):
                return result.Err(self.failing or UNKNOWN)
            return response

        return through
