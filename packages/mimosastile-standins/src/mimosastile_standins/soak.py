"""A randomized soak: real daemons, faults from outside, promises checked.

Daemons are processes of their own; the store and the targets are stand-ins in
this one, reached through proxies. Faults come in series and overlap, drawn
from a seed. While they go on, callers keep their connections open and send
requests of both kinds; afterwards everything heals, and service has to be
back.

Not played: links between daemons (a daemon listens where it says it is
reached) and clocks (setting them takes rights that a test has not). Paused
processes stand for both.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import pathlib
import random
import signal
import time
from typing import Any

import msgspec

from mimosastile_gateway import http_client
from mimosastile_standins import fault_proxy
from mimosastile_standins import platform_store
from mimosastile_standins import platform_target
from mimosastile_standins import platform_world
from mimosastile_standins import soak_daemons
from mimosastile_standins import soak_lateness
from mimosastile_standins import soak_notices
from mimosastile_standins import soak_oracle

_RECOVERY_SECONDS = 15.0
"""From the end of the last fault until service is back, as promised."""
_JUDGED_SECONDS = 4.0
_SERVED_LEAST = 0.95
"""Share of requests served once all is well again. The rest is left for
requests that a target fails on."""
_PLANNED_CALM = 3.0
"""Seconds without another fault after which a planned stop owes answers."""
_PAUSE_SECONDS = 0.05
_DEADLINE_MS = 2000
_START_SECONDS = 30.0
_RULES_KEPT = 6
"""Versions whose routes stay; a probe of an older one ends."""
_PROBE_SECONDS = 0.2
_OK = 200


class Plan(msgspec.Struct, frozen=True):
    """How large a soak is and how long it goes on.

    Attributes:
        seed: Of all that is drawn.
        seconds: For which faults come.
        vms: Daemons.
        targets: Targets of each of the two services.
        callers: Callers, each with a connection of its own.
        out: Folder for settings, logs and the verdict.
    """

    seed: int
    seconds: float
    vms: int
    targets: int
    callers: int
    out: pathlib.Path


class Verdict(msgspec.Struct):
    """What came out of a soak.

    Attributes:
        seed: Its seed.
        wrong: Broken promises.
        faults: What was done, with seconds from the start.
        attempts: Callers' attempts by status.
        served_after: Share of requests served after the last fault.
        runs: Requests that targets ran.
        lateness: How late changes were in force at VMs in touch.
    """

    seed: int
    wrong: list[str]
    faults: list[str]
    attempts: dict[str, int]
    served_after: float
    runs: int
    lateness: soak_lateness.Lateness


class _Member:
    """One target with the proxy before it."""

    __slots__ = ("proxy", "target", "zone")

    def __init__(
        self,
        target: platform_target.PlatformTarget,
        proxy: fault_proxy.FaultProxy,
        zone: str,
    ) -> None:
        self.target = target
        self.proxy = proxy
        self.zone = zone


class Soak:
    """One run."""

    __slots__ = (
        "_attempts",
        "_began",
        "_chance",
        "_daemons",
        "_disturbed_at",
        "_faults",
        "_in_rotation",
        "_lag",
        "_members",
        "_names",
        "_notices",
        "_oracle",
        "_plan",
        "_pool",
        "_probes",
        "_proxies",
        "_rules",
        "_store",
        "_store_address",
        "_stopping",
        "_versions",
    )

    def __init__(self, plan: Plan) -> None:
        """Makes one that has not begun."""
        self._plan = plan
        self._chance = random.Random(plan.seed)
        self._oracle = soak_oracle.SoakOracle()
        self._notices = soak_notices.Notices()
        self._lag = soak_lateness.Lag(self._notices)
        self._rules: dict[int, dict[str, Any]] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self._store = platform_store.PlatformStore()
        self._store_address = ""
        self._daemons: list[soak_daemons.SoakDaemon] = []
        self._proxies: dict[str, fault_proxy.FaultProxy] = {}
        self._members: dict[str, _Member] = {}
        self._in_rotation: list[soak_daemons.SoakDaemon] = []
        self._pool = http_client.Pool(2.0)
        self._attempts = itertools.count(1)
        self._names = itertools.count(1)
        self._versions = itertools.count(2)
        self._faults: list[str] = []
        self._disturbed_at = float("-inf")
        self._began = 0.0
        self._stopping = False

    async def run(self) -> Verdict:
        """Plays it and returns the verdict."""
        try:
            await self._begin()
            beside = [
                asyncio.create_task(work)
                for work in (
                    self._balance(),
                    self._watch_owners(),
                    *(self._call(i) for i in range(self._plan.callers)),
                )
            ]
            await self._disturb()
            healed = time.monotonic()
            await asyncio.sleep(_RECOVERY_SECONDS + _JUDGED_SECONDS)
            self._stopping = True
            await asyncio.gather(*beside)
            return self._judge(healed + _RECOVERY_SECONDS)
        finally:
            await self._end()

    # The world.

    async def _begin(self) -> None:
        self._store_address = await self._store.start()
        self._store.put("op/config", platform_world.configuration())
        for service in (platform_world.KEYED, platform_world.PLAIN):
            for _ in range(self._plan.targets):
                await self._add_target(service)
        for number in range(1, self._plan.vms + 1):
            proxy = fault_proxy.FaultProxy(self._store_address)
            address = await proxy.start()
            daemon = soak_daemons.SoakDaemon(number, address, self._plan.out)
            self._proxies[daemon.name] = proxy
            self._daemons.append(daemon)
            await daemon.start()
        async with asyncio.timeout(_START_SECONDS):
            while not await self._all_ready():
                await asyncio.sleep(0.2)
        self._in_rotation = list(self._daemons)
        await asyncio.sleep(_PLANNED_CALM)
        self._began = time.monotonic()

    async def _end(self) -> None:
        for daemon in self._daemons:
            await daemon.end()
        for member in self._members.values():
            member.target.stop()
            await member.proxy.stop()
        for proxy in self._proxies.values():
            await proxy.stop()
        self._store.stop()
        self._pool.close()

    async def _add_target(self, service: str, name: str = "") -> None:
        """Starts a target, under a name that it may have had before."""
        number = next(self._names)
        name = name or f"t-{number}"
        target = platform_target.PlatformTarget(
            name,
            service,
            self._oracle.runs,
            keyed=service == platform_world.KEYED,
            work=0.01,
        )
        target.arrivals = self._notices.arrivals
        proxy = fault_proxy.FaultProxy(await target.start())
        zone = f"zone-{'ab'[number % 2]}"
        member = _Member(target, proxy, zone)
        self._members[name] = member
        address = await proxy.start()
        self._store.put(
            f"servers/{name}",
            target.registration(address=address, zone=zone),
        )

    async def _all_ready(self) -> bool:
        answers = await asyncio.gather(*map(self._is_ready, self._daemons))
        return all(answers)

    async def _is_ready(self, daemon: soak_daemons.SoakDaemon) -> bool:
        try:
            answer = await http_client.call(
                self._pool,
                daemon.ready,
                "GET",
                "/readiness",
                None,
                timeout=0.8,
                connect=0.5,
                idle=0.0,
            )
        except (http_client.NotSentError, http_client.ResponseLostError):
            return False
        return answer.status == 200

    async def _balance(self) -> None:
        """Takes daemons out after two bad answers in a row."""
        misses: collections.Counter[str] = collections.Counter()
        while not self._stopping:
            answers = await asyncio.gather(*map(self._is_ready, self._daemons))
            for daemon, ready in zip(self._daemons, answers, strict=True):
                misses[daemon.name] = 0 if ready else misses[daemon.name] + 1
            able = [d for d in self._daemons if misses[d.name] < 2]
            self._in_rotation = able or list(self._daemons)
            await asyncio.sleep(1.0)

    async def _watch_owners(self) -> None:
        while not self._stopping:
            self._oracle.check_owners(
                [
                    member.target
                    for member in self._members.values()
                    if member.target.service == platform_world.KEYED
                ]
            )
            await asyncio.sleep(0.02)

    # Callers.

    async def _call(self, number: int) -> None:
        """One caller: keeps its connection for as long as it stays open."""
        chance = random.Random(f"{self._plan.seed}/{number}")
        connection: http_client.Connection | None = None
        daemon = self._daemons[0]
        while not self._stopping:
            if connection is None or not connection.reusable:
                daemon = chance.choice(self._in_rotation)
                try:
                    connection = await self._pool.connect(
                        daemon.callers, 0.0, 1.0
                    )
                except http_client.NotSentError:
                    await asyncio.sleep(0.2)
                    continue
            outcome = await self._ask(connection, daemon, chance)
            if outcome is None:
                connection = None
                continue
            self._oracle.ended(outcome)
            if outcome.status == 0:
                connection.abort()
                connection = None
            await asyncio.sleep(_PAUSE_SECONDS * chance.random() * 2)
        if connection is not None:
            connection.close()

    async def _ask(
        self,
        connection: http_client.Connection,
        daemon: soak_daemons.SoakDaemon,
        chance: random.Random,
    ) -> soak_oracle.Outcome | None:
        """Sends one request; None if the connection had been closed."""
        attempt = f"a{next(self._attempts)}"
        repeatable = chance.random() < 0.7
        path, method, body = "/read/x", "GET", None
        headers: list[tuple[bytes, bytes]] = [
            (b"X-Attempt-Id", attempt.encode()),
            (b"X-Deadline-Ms", b"%d" % _DEADLINE_MS),
        ]
        if repeatable:
            headers.append((b"X-Shard-Key", b"%d" % chance.randrange(65536)))
        else:
            path, method, body = f"/issue/{attempt}", "POST", b"letter"
        request = http_client.request(
            platform_world.HOST, method, path, body, headers
        )
        began = time.monotonic()
        self._notices.sent(attempt, daemon.name, began)
        status, answer, echoed = 0, b"", ""
        try:
            reply = connection.start(request)
            async with asyncio.timeout(_DEADLINE_MS / 1000 + 0.5):
                await connection.wait_complete(reply, 1 << 30)
            status, answer = reply.status, reply.take()
            echoed = (reply.header(b"x-attempt-id") or b"").decode()
            self._note_passed(attempt, daemon, reply)
        except http_client.NotSentError:
            return None
        except (http_client.ResponseLostError, TimeoutError):
            pass
        return soak_oracle.Outcome(
            attempt,
            repeatable,
            began,
            daemon.name,
            status,
            answer,
            echoed,
            self._owes_answer(daemon, began),
        )

    def _note_passed(
        self,
        attempt: str,
        daemon: soak_daemons.SoakDaemon,
        reply: http_client.IncomingResponse,
    ) -> None:
        """Notes what a target has said in an answer that was passed on."""
        limited = reply.header(b"server-limit") is not None
        leaving = reply.header(b"server-leaving") is not None
        if limited or leaving:
            self._notices.passed(
                soak_notices.Passed(
                    attempt,
                    daemon.name,
                    time.monotonic(),
                    limited,
                    leaving,
                )
            )

    def _owes_answer(
        self, daemon: soak_daemons.SoakDaemon, began: float
    ) -> bool:
        """Whether a stop by plan is all that happens to a daemon."""
        calm = began - self._disturbed_at > _PLANNED_CALM
        alive = began - daemon.disturbed_at > _PLANNED_CALM
        return daemon.stopping_since is not None and calm and alive

    # Faults.

    async def _disturb(self) -> None:
        """Lets faults come, one, in series or several at once."""
        ends = time.monotonic() + self._plan.seconds
        under_way: list[asyncio.Future[None]] = []
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._signal_vms,
            self._pause_vms,
            self._spoil_store,
            self._cut_vms_from_store,
            self._spoil_target_links,
            self._restart_targets,
            self._replace_targets,
            self._limit_targets,
            self._turn_away,
            self._configure,
        ]
        while time.monotonic() < ends:
            kind = self._chance.choice(kinds)
            for _ in range(self._chance.choice((1, 1, 2, 3))):
                under_way.append(asyncio.ensure_future(kind()))
                await asyncio.sleep(self._chance.uniform(0.05, 1.0))
            await asyncio.sleep(self._chance.choice((0.0, 0.5, 2.0, 5.0)))
        await asyncio.gather(*under_way)
        self._say("healed")

    def _say(self, what: str) -> None:
        seconds = time.monotonic() - self._began
        self._faults.append(f"{seconds:7.2f} {what}")

    def _some(self, count: int) -> list[soak_daemons.SoakDaemon]:
        return self._chance.sample(
            self._daemons, min(count, len(self._daemons))
        )

    async def _signal_vms(self) -> None:
        number = self._chance.choice(
            (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL, signal.SIGHUP)
        )
        for daemon in self._some(self._chance.choice((1, 1, 2, 4))):
            self._say(f"{number.name} {daemon.name}")
            if number is signal.SIGKILL:
                self._disturbed_at = time.monotonic()
            if number is not signal.SIGHUP:
                self._notices.disturb(daemon.name, time.monotonic())
            daemon.send(number)
            await asyncio.sleep(self._chance.uniform(0.0, 1.0))

    async def _pause_vms(self) -> None:
        chosen = self._some(self._chance.choice((1, 1, 2)))
        seconds = self._chance.uniform(0.2, 4.0)
        self._say(f"pause {[d.name for d in chosen]} for {seconds:.1f} s")
        for daemon in chosen:
            daemon.send(signal.SIGSTOP)
            self._notices.disturb(daemon.name, time.monotonic())
        await self._while_disturbed(seconds)
        for daemon in chosen:
            daemon.send(signal.SIGCONT)
            self._notices.disturb(daemon.name, time.monotonic())

    async def _spoil_store(self) -> None:
        moods = platform_store.Mood
        mood = self._chance.choice(
            (moods.BUSY, moods.SILENT, moods.LOSES_ANSWERS, moods.WELL)
        )
        seconds = self._chance.uniform(0.5, 5.0)
        self._say(f"store {mood.value} for {seconds:.1f} s")
        if mood is moods.WELL:
            self._store.drop_history()
        self._store.mood = mood
        began = time.monotonic()
        await self._while_disturbed(seconds)
        self._store.mood = moods.WELL
        self._notices.trouble(began, time.monotonic())

    async def _cut_vms_from_store(self) -> None:
        fault = self._draw_link_fault()
        chosen = self._some(self._chance.choice((1, 2, 3)))
        seconds = self._chance.uniform(0.5, 5.0)
        self._say(
            f"store link {fault.value} for {[d.name for d in chosen]},"
            f" {seconds:.1f} s"
        )
        proxies = [self._proxies[daemon.name] for daemon in chosen]
        for daemon in chosen:
            self._notices.disturb(daemon.name, time.monotonic())
        await self._spoil_links(proxies, fault, seconds)
        for daemon in chosen:
            self._notices.disturb(daemon.name, time.monotonic())

    async def _spoil_target_links(self) -> None:
        fault = self._draw_link_fault()
        names = self._chance.sample(sorted(self._members), 2)
        seconds = self._chance.uniform(0.5, 5.0)
        self._say(f"target link {fault.value} for {names}, {seconds:.1f} s")
        proxies = [self._members[name].proxy for name in names]
        await self._spoil_links(proxies, fault, seconds)

    def _draw_link_fault(self) -> fault_proxy.LinkFault:
        faults = [f for f in fault_proxy.LinkFault if f.value != "none"]
        return self._chance.choice(faults)

    async def _spoil_links(
        self,
        proxies: list[fault_proxy.FaultProxy],
        fault: fault_proxy.LinkFault,
        seconds: float,
    ) -> None:
        delay = self._chance.uniform(0.01, 0.6)
        for proxy in proxies:
            proxy.set_fault(fault, delay)
        began = time.monotonic()
        await self._while_disturbed(seconds)
        self._notices.trouble(began, time.monotonic())
        for proxy in proxies:
            proxy.set_fault(fault_proxy.LinkFault.NONE)

    async def _restart_targets(self) -> None:
        """A target dies and comes back under its name, knowing nothing."""
        name = self._chance.choice(sorted(self._members))
        self._say(f"target {name} dies and comes back")
        member = self._members.pop(name)
        member.target.stop()
        await member.proxy.stop()
        await self._while_disturbed(self._chance.uniform(0.1, 4.0))
        await self._add_target(member.target.service, name)

    async def _replace_targets(self) -> None:
        """A target leaves as planned; another one comes first."""
        name = self._chance.choice(sorted(self._members))
        self._say(f"target {name} leaves")
        member = self._members[name]
        await self._add_target(member.target.service)
        leaving = member.target.registration("draining", "", member.zone)
        leaving["Address"] = await self._address_of(name)
        # Its answers and its registration say so, in either order.
        loop = asyncio.get_running_loop()
        said, shown = self._chance.choice(((0, 3), (3, 0), (0, 0)))
        loop.call_later(said, setattr, member.target, "leaving", True)
        await self._while_disturbed(shown)
        self._store.put(f"servers/{name}", leaving)
        self._notices.registered(member.target, time.monotonic())
        await self._while_disturbed(self._chance.uniform(4.0, 8.0))
        if self._members.get(name) is member:
            self._store.remove(f"servers/{name}")
            del self._members[name]
            member.target.stop()
            await member.proxy.stop()

    async def _limit_targets(self) -> None:
        """Targets in need name limits, change them and name none again."""
        free = [
            name
            for name, member in sorted(self._members.items())
            if member.target.limit is None
        ]
        names = self._chance.sample(free, min(len(free), 2))
        targets = [self._members[name].target for name in names]
        rate = self._chance.choice((0.4, 3.1, 6.1))
        self._say(f"targets {names} name a limit of {rate}")
        began = time.monotonic()
        for target in targets:
            target.limit = rate
        await self._while_disturbed(self._chance.uniform(6.0, 12.0))
        for target in targets:
            self._notices.limited(target, rate, began, time.monotonic())
            target.limit = None

    async def _turn_away(self) -> None:
        """A target rejects requests and says for how long it wants none."""
        name = self._chance.choice(sorted(self._members))
        target = self._members[name].target
        seconds = self._chance.uniform(1.0, 4.0)
        self._say(f"target {name} wants nothing for {seconds:.1f} s")
        target.rest = seconds
        target.fault = platform_target.Fault.SHED
        await self._while_disturbed(seconds)
        target.fault = platform_target.Fault.NONE
        target.rest = 0.0

    async def _address_of(self, name: str) -> str:
        value = self._store.value(f"servers/{name}") or b"{}"
        return str(msgspec.json.decode(value).get("Address", ""))

    async def _configure(self) -> None:
        version = next(self._versions)
        self._say(f"configuration {version}")
        timeout = self._chance.choice((1500, 2000, 2500))
        self._rules[version] = platform_world.rule(
            f"v{version}", "idempotent", f"/v{version}/", platform_world.PLAIN
        )
        while len(self._rules) > _RULES_KEPT:
            del self._rules[min(self._rules)]
        self._store.put(
            "op/config",
            platform_world.configuration(
                version,
                plain_timeout=timeout,
                extra=tuple(self._rules.values()),
            ),
        )
        self._lag.written(version, time.monotonic())
        for daemon in self._daemons:
            probe = asyncio.create_task(self._probe(daemon, version))
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    async def _probe(
        self, daemon: soak_daemons.SoakDaemon, version: int
    ) -> None:
        """Asks a daemon for a new route until it knows it."""
        while version in self._rules and not self._stopping:
            sent = time.monotonic()
            status = await self._probe_once(daemon, version)
            if version not in self._rules:
                return
            self._lag.probed(
                soak_lateness.Probe(daemon.name, version, sent, status)
            )
            if status == _OK:
                return
            await asyncio.sleep(_PROBE_SECONDS)

    async def _probe_once(
        self, daemon: soak_daemons.SoakDaemon, version: int
    ) -> int:
        """Returns the status of a request on a new route, 0 for none."""
        attempt = f"p{next(self._attempts)}"
        request = http_client.request(
            platform_world.HOST,
            "GET",
            f"/v{version}/{attempt}",
            None,
            (
                (b"X-Attempt-Id", attempt.encode()),
                (b"X-Deadline-Ms", b"%d" % _DEADLINE_MS),
            ),
        )
        try:
            connection = await self._pool.connect(daemon.callers, 0.0, 0.5)
        except http_client.NotSentError:
            return 0
        try:
            reply = connection.start(request)
            async with asyncio.timeout(_DEADLINE_MS / 1000):
                await connection.wait_complete(reply, 1 << 30)
            return reply.status
        except (
            http_client.NotSentError,
            http_client.ResponseLostError,
            TimeoutError,
        ):
            return 0
        finally:
            connection.abort()

    async def _while_disturbed(self, seconds: float) -> None:
        ends = time.monotonic() + seconds
        while (left := ends - time.monotonic()) > 0:
            self._disturbed_at = time.monotonic()
            await asyncio.sleep(min(left, 0.2))
        self._disturbed_at = time.monotonic()

    # The verdict.

    def _judge(self, recovered: float) -> Verdict:
        oracle = self._oracle
        oracle.finish()
        oracle.wrong.extend(self._notices.wrong())
        oracle.wrong.extend(self._lag.wrong())
        share = oracle.served_share(recovered, recovered + _JUDGED_SECONDS)
        if share < _SERVED_LEAST:
            oracle.wrong.append(f"only {share:.3f} served after recovery")
        oracle.wrong.extend(
            f"{daemon.name} ended by itself {daemon.unasked_ends} times"
            for daemon in self._daemons
            if daemon.unasked_ends
        )
        counts = collections.Counter(str(o.status) for o in oracle.outcomes)
        return Verdict(
            self._plan.seed,
            oracle.wrong,
            self._faults,
            dict(counts),
            round(share, 4),
            len(oracle.runs),
            self._lag.report(),
        )


async def run(plan: Plan) -> Verdict:
    """Plays a soak and writes its verdict beside its logs.

    Args:
        plan: How large it is and how long it goes on.

    Returns:
        The verdict.
    """
    verdict = await Soak(plan).run()
    path = plan.out / "verdict.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(verdict)))
    return verdict
