"""Crashing requests and innocent ones, with targets that really crash."""

import asyncio
import collections
import contextlib
import functools
import itertools
import random

import pytest
import result

from mimosastile_core import errors
from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import reachability
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import crash_monitoring
from mimosastile_standins import partitions
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.gateway import worlds

_BAD_PATH = "/issue/bad"
_TARGETS = 8


async def _keep_requesting(world, pause):
    """Sends requests of their own paths at low load."""
    for number in itertools.count():
        with contextlib.suppress(ConnectionError, TimeoutError):
            await world.send_request(f"/issue/{number}", method="POST")
        await asyncio.sleep(pause)


def _plain_targets(world):
    return [t for name, t in world.targets.items() if name.startswith("p")]


_CONTACT_SECONDS = 3.0
"""Time after the third crash until which all VMs may send the request."""
_LATE_SENDS = 3
"""Times that it may be sent after that."""
_LAPSE_SECONDS = 4.5
"""Time from a crash to the end of the target's registration."""


async def _never(incoming):
    """Serves nothing."""
    await asyncio.get_running_loop().create_future()


class _Crashes:
    """Crashes of targets; `form` is what their addresses do afterwards."""

    def __init__(self, world, form):
        self._world = world
        self._form = form
        self._names = []
        self.times = []

    def __call__(self, target):
        """Ends a target."""
        loop = asyncio.get_running_loop()
        self.times.append(loop.time())
        self._names.append(target.id)
        if self._form == "refuses":
            target.stop()
        elif self._form == "accepts":
            target._server._handler = _never
            target._server.abort()
        else:
            mode = partitions.PartitionMode(self._form)
            for vm in self._world.partitions:
                self._world.cut_targets(vm, mode, self._names)
        loop.call_later(
            _LAPSE_SECONDS, self._world.store.remove, f"servers/{target.id}"
        )

    @property
    def late(self):
        """Number of crashes after all VMs should have known of three."""
        return sum(at > self.times[2] + _CONTACT_SECONDS for at in self.times)


class TestCrashingRequest:
    """A request that crashes each target which begins to run it."""

    @pytest.mark.parametrize(
        ("form", "pause"),
        [
            ("refuses", 0.05),
            ("refuses", None),
            ("reset", 0.05),
            ("reset", None),
            ("accepts", 0.05),
            ("hang", 0.05),
            ("hang", None),
        ],
        ids=[
            "refused, low load",
            "refused, no load",
            "attempts time out, low load",
            "attempts time out, no load",
            "accepted, low load",
            "nothing at all, low load",
            "nothing at all, no load",
        ],
    )
    def test_held_back(self, form, pause):
        """Guards against a request that crashes targets as long as it comes.

        At low load no other request meets a crashed target soon. Its address
        need not refuse connections.
        """

        async def scenario(world):
            crashes = _Crashes(world, form)
            for target in _plain_targets(world):
                target.crash_path = _BAD_PATH.encode()
                target.on_crash = functools.partial(crashes, target)
            load = (
                asyncio.create_task(_keep_requesting(world, pause))
                if pause
                else None
            )
            statuses = []
            while statuses[-2:] != [503, 503] and len(statuses) < 15:
                answer = await world.send_request(
                    _BAD_PATH, method="POST", deadline_ms=600
                )
                statuses.append(answer.status)
                await asyncio.sleep(1.0)
            if load is not None:
                load.cancel()
            assert statuses[-2:] == [503, 503]
            assert crashes.late <= _LATE_SENDS
            good = await world.send_request("/issue/good", method="POST")
            assert good.status == 200

        worlds.run_scenario(scenario, keyed=1, plain=_TARGETS)


class TestInnocentRequest:
    """A request whose targets crash for another reason."""

    def test_targets_killed_together(self):
        """Guards against a frequent request that is refused after a power cut.

        Copies of it run on all targets when several of these are killed.
        """

        async def scenario(world):
            targets = _plain_targets(world)
            for target in targets:
                target._work = 0.4
            asked = [
                asyncio.create_task(
                    world.send_request("/issue/same", method="POST")
                )
                for _ in range(2 * _TARGETS)
            ]
            running = set()
            async with asyncio.timeout(10):
                while len(running) < 4:
                    await asyncio.sleep(0.01)
                    running = {run.target for run in world.runs}
            for name in sorted(running)[:4]:
                world.kill_target(name)
            statuses = collections.Counter(
                answer.status for answer in await asyncio.gather(*asked)
            )
            assert statuses[502] >= 4
            await asyncio.sleep(2.0)
            for vm in world.addresses:
                for _ in range(3):
                    answer = await world.send_request(
                        "/issue/same", None, vm, method="POST"
                    )
                    assert answer.status == 200

        worlds.run_scenario(scenario, keyed=1, plain=_TARGETS)


class _Health:
    """Health checks of targets; `response` is what they find."""

    def __init__(self, response):
        self._response = response
        self.checked = []

    async def check(self, target, path, timeout):
        """Returns the response, or hangs until the timeout."""
        self.checked.append(target.id)
        if self._response is None:
            await asyncio.sleep(timeout)
            return errors.failed(errors.ErrorKind.ANSWER_LOST, "timed out")
        return self._response


class _Membership:
    """Counts crashes that are reported."""

    def __init__(self):
        self.reported = []

    def report_crashes(self, crashes):
        """Records the call."""
        self.reported.extend(crashes)


_CONNECTED, _REFUSED, _HUNG = reachability.Outcome
_RESPONDS = result.Ok(target_feedback.HealthReport())
_REPLACED = errors.failed(errors.ErrorKind.TARGET_REPLACED, "another target")
_VERIFIED_SECONDS = 3.5
_SETTLED_SECONDS = 10.0


def _verify(scenario, contact, response=None, others=_CONNECTED):
    """Runs a scenario with the monitor of a VM that knows six targets.

    Args:
        scenario: Coroutine function of monitor, detector, cluster, membership
            and the target whose response is lost.
        contact: How attempts to connect to that target end.
        response: What its health checks find; None if they hang.
        others: How attempts to connect to the first three others end.
    """

    async def main():
        timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
        targets = [fakes.target(name) for name in "abcdef"]
        lost = targets[-1]
        cluster = fakes.new_cluster_state(timer, log, *targets)
        pool = fakes.TargetPool()
        pool.outcomes = dict.fromkeys(("a:80", "b:80", "c:80"), others)
        pool.outcomes[lost.address] = contact
        detector = crash_detection.CrashDetector(6.5)
        members = _Membership()
        monitor = crash_monitoring.CrashMonitor(
            detector, pool, _Health(response), 0.3, cluster, members, timer, log
        )
        await scenario(monitor, detector, cluster, members, lost)
        monitor.stop()

    virtual.run(main())


class TestVerification:
    """What becomes of one lost response while load is low."""

    @pytest.mark.parametrize(
        ("contact", "response", "removed", "verified", "settled"),
        [
            (_REFUSED, None, False, 1, 1),
            (_CONNECTED, _RESPONDS, False, 0, 0),
            (_CONNECTED, _REPLACED, False, 1, 1),
            (_CONNECTED, None, False, 1, 0),
            (_CONNECTED, None, True, 1, 1),
            (_HUNG, None, False, 1, 0),
            (_HUNG, None, True, 1, 1),
        ],
        ids=[
            "refused",
            "alive",
            "replaced",
            "accepts, registered",
            "accepts, registration ends",
            "hangs, registered",
            "hangs, registration ends",
        ],
    )
    def test_lost_response(self, contact, response, removed, verified, settled):
        """Guards against crashes without a refused connection, and cut paths.

        A target that can't be reached and stays registered has not crashed.
        """

        async def scenario(monitor, detector, cluster, members, lost):
            monitor.record_loss(lost, "r")
            await asyncio.sleep(_VERIFIED_SECONDS)
            now = asyncio.get_running_loop().time()
            assert len(detector.crashes(now)) == verified
            assert len(members.reported) == verified
            if removed:
                cluster.remove_target(lost.id)
            await asyncio.sleep(_SETTLED_SECONDS)
            now = asyncio.get_running_loop().time()
            assert len(detector.crashes(now)) == settled
            assert detector.undecided_targets == ()

        _verify(scenario, contact, response)

    @pytest.mark.parametrize(
        ("removed", "crashes"), [(True, 1), (False, 0)], ids=["ends", "stays"]
    )
    def test_silence(self, removed, crashes):
        """Guards against targets that vanish without a reset."""

        async def scenario(monitor, detector, cluster, members, lost):
            monitor.record_silence(lost, "r", 0.0)
            await asyncio.sleep(2.0)
            if removed:
                cluster.remove_target(lost.id)
            await asyncio.sleep(_SETTLED_SECONDS)
            now = asyncio.get_running_loop().time()
            assert len(detector.crashes(now)) == crashes

        _verify(scenario, _HUNG)

    @pytest.mark.parametrize("others", [_REFUSED, _HUNG])
    def test_other_targets_down(self, others):
        """Guards against a link that is never proven, as one target is down."""

        async def scenario(monitor, detector, cluster, members, lost):
            monitor.record_loss(lost, "r")
            await asyncio.sleep(_VERIFIED_SECONDS)
            assert len(members.reported) == 1

        _verify(scenario, _REFUSED, others=others)

    def test_registrations_lapse_together(self):
        """Guards against an outage of the store taken for a crash."""

        async def scenario(monitor, detector, cluster, members, lost):
            monitor.record_silence(lost, "r", 0.0)
            for name in "bcdef":
                cluster.remove_target(name)
            await asyncio.sleep(_SETTLED_SECONDS)
            assert members.reported == []

        _verify(scenario, _HUNG)


class _Deployment:
    """Targets without network, and one VM's detector."""

    def __init__(self, seed, form):
        self.random = random.Random(seed)
        self._form = form
        self._started = [0] * _TARGETS
        self.detector = crash_detection.CrashDetector()
        self.now = 0.0
        self.ids = itertools.count()
        self.down_until = [0.0] * _TARGETS

    def run(self, request, *, crashes):
        """Runs a request on a target that is up.

        Returns:
            Whether it was refused, and whether its target crashed.
        """
        self.now += self.random.uniform(0.2, 1.0)
        if self.detector.is_held(request, self.now):
            return True, False
        target = self.random.choice(
            [n for n in range(_TARGETS) if self.down_until[n] <= self.now]
        )
        if crashes:
            self._lose(target, request)
        else:
            name = f"{target}/{self._started[target]}"
            self.detector.record_response(name, self.now)
            self.detector.record_completion(request, self.now)
        return False, crashes

    def _lose(self, target, request):
        """Ends a target, whose address then does what the form says."""
        detector, at = self.detector, self.now
        name = f"{target}/{self._started[target]}"
        self._started[target] += 1
        self.down_until[target] = at + 2.0
        if self._form == "silent":
            # No response arrives until the deadline.
            self.now += 0.6
            detector.record_silence(name, request, at, self.now)
        else:
            detector.record_loss(name, request, at)
        detector.record_response("other", self.now + 0.01)
        new_id = str(next(self.ids))
        later = self.now + 0.05
        if self._form == "refuses":
            detector.confirm_crashes(name, later, later, new_id)
        elif self._form == "times out":
            detector.presume_crashes(name, at, later, new_id)
        else:
            detector.confirm_end(
                name, later, new_id, restarted=self._form == "restarts"
            )


class TestBothMistakes:
    """Drawn histories of a request that crashes targets and of another one."""

    @pytest.mark.parametrize("seed", range(40))
    @pytest.mark.parametrize(
        "form", ["refuses", "times out", "silent", "restarts"]
    )
    def test_history(self, form, seed):
        """Guards against crashing requests let through and others refused.

        A fifth of the innocent request's runs ends with a kill of its target.
        """
        world = _Deployment(seed, form)
        crashes = refused = 0
        for _ in range(60):
            expected = crashes >= crash_detection.POLICY.deaths
            held, crashed = world.run("bad", crashes=True)
            assert held is expected
            crashes += crashed
            killed = world.random.random() < 0.2
            held, _ = world.run("innocent", crashes=killed)
            refused += held
            if world.now > crash_detection.POLICY.seconds / 2:
                break
        assert crashes == crash_detection.POLICY.deaths
        assert refused == 0
