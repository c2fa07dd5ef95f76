"""Tests of the admission queue of a contended target under load."""

import heapq
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import admission
from mimosastile_core.gateway import limits

SLOTS, TARGET_QUEUE, WORK = 4, 3, 0.12
TARGET_LATENCY, DEADLINE = 0.4, 1.5


class Model:
    """Simulates a target, its gate and requests of many VMs, no network."""

    def __init__(self, seed=1, work=WORK):
        self.random = random.Random(seed)
        self.queue = admission.AdmissionQueue(SLOTS, TARGET_QUEUE)
        self.work = work
        self.now = 0.0
        self.on_time = self.late = self.refused = self.most_at_target = 0
        self.seconds_until_refused = 0.0
        self.busy_seconds = 0.0
        self.admitted = []
        self._events = []
        self._at_target = []
        self._running = 0
        self._arrived = {}
        self._number = 0

    def offer(self, at, vm="vm", priority=2, assumed_work=WORK):
        """Schedules a request."""
        self._schedule(at, self._request, vm, priority, assumed_work)

    def play(self):
        """Processes all events."""
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
            self.most_at_target = max(
                self.most_at_target, len(self._at_target) + self._running
            )

    def _schedule(self, at, action, *args):
        self._number += 1
        heapq.heappush(self._events, (at, self._number, action, args))

    def _request(self, vm, priority, assumed_work):
        self._number += 1
        request = admission.PermitRequest(
            vm,
            self._number,
            priority,
            TARGET_LATENCY,
            DEADLINE,
            assumed_work,
        )
        self._arrived[request.id] = self.now
        self._apply([self.queue.decide(request, self.now)])

    def _apply(self, decisions):
        for decision in decisions:
            request = decision.request
            if decision.verdict is admission.Verdict.ADMITTED:
                self.admitted.append(request)
                self._at_target.append(request)
            elif decision.verdict is admission.Verdict.REFUSED:
                self.refused += 1
                self.seconds_until_refused += (
                    self.now - self._arrived[request.id]
                )
        self._start()

    def _start(self):
        while self._at_target and self._running < SLOTS:
            request = self._at_target.pop(0)
            self._running += 1
            seconds = self.work * self.random.uniform(0.7, 1.3)
            self.busy_seconds += seconds
            self._schedule(self.now + seconds, self._end, request)

    def _end(self, request):
        self._running -= 1
        took = self.now - self._arrived[request.id]
        self.on_time += took <= TARGET_LATENCY
        self.late += TARGET_LATENCY < took <= DEADLINE
        self._start()
        self._apply(self.queue.finish(request.vm, request.number, self.now))


def _poisson(model, rate, seconds, vms, began=0.0):
    now = began
    while (now := now + model.random.expovariate(rate)) < began + seconds:
        model.offer(now, f"vm-{model.random.randrange(vms)}")


CAPACITY = SLOTS / WORK


class TestNumberOfVms:
    """Throughput is independent of the number of VMs."""

    @pytest.mark.parametrize("vms", [12, 67, 300, 1000])
    @pytest.mark.parametrize("load", [0.7, 0.95])
    def test_no_refusals_beside_free_slots(self, vms, load):
        """Guards against refusals beside free slots.

        Many VMs send a request now and then, and the target keeps up. If its
        capacity were divided among VMs, a VM that was idle would have no share
        and would refuse its next request. A single queue without refusals would
        answer nearly all; this one must come within a tenth of that.
        """
        model = Model()
        _poisson(model, load * CAPACITY, 60, vms)
        model.play()
        total = model.on_time + model.late + model.refused
        assert model.refused <= (0.01 if load < 0.8 else 0.1) * total
        assert model.on_time >= (0.99 if load < 0.8 else 0.9) * total
        assert model.most_at_target <= SLOTS + TARGET_QUEUE


class TestOverload:
    """Load above the capacity of a target."""

    @pytest.mark.parametrize("times", [1.5, 2.0, 4.0])
    def test_slots_run_requests_that_can_be_on_time(self, times):
        """Guards against queueing that makes every response late.

        One key gets more requests than its owner can answer, for a long time.
        Most are on time if the slots work on requests that can still be on
        time.
        """
        model = Model()
        _poisson(model, times * CAPACITY, 30, 67)
        model.play()
        possible = 30 * CAPACITY
        assert model.busy_seconds >= 0.95 * 30 * SLOTS
        assert model.on_time >= 0.9 * possible
        assert model.seconds_until_refused / model.refused < TARGET_LATENCY

    def test_burst_is_absorbed(self):
        """Twice the capacity for half a second: all are served in time."""
        model = Model()
        _poisson(model, 2 * CAPACITY, 0.5, 67)
        model.play()
        assert model.refused == 0
        assert model.late + model.on_time > 0

    def test_urgent_requests_go_first(self):
        """Urgent requests for a hot key get permits before the others."""
        model = Model()
        _poisson(model, 1.5 * CAPACITY, 20, 67)
        for n in range(int(20 * CAPACITY * 0.3)):
            model.offer(n / (CAPACITY * 0.3), "urgent", priority=1)
        model.play()
        urgent = [a for a in model.admitted if a.priority == 1]
        assert len(urgent) >= 0.98 * int(20 * CAPACITY * 0.3)

    def test_slow_target(self):
        """A target becomes four times as slow.

        The wait is estimated from the rate at which permits are returned;
        requests that cannot be answered in time any more are refused at once.
        """
        model = Model(work=4 * WORK)
        _poisson(model, CAPACITY, 30, 67)
        model.play()
        served = model.on_time + model.late
        assert served >= 0.85 * 30 * CAPACITY / 4
        assert model.seconds_until_refused / model.refused < 0.5 * DEADLINE


class TestPermits:
    """Permits in use."""

    def _request(self, number, **changes):
        fields = {
            "priority": 2,
            "on_time": TARGET_LATENCY,
            "left": DEADLINE,
            "work": WORK,
        }
        return admission.PermitRequest("vm", number, **(fields | changes))

    @hypothesis.given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(("ask", "again", "done", "turn")),
                st.integers(0, 9),
                st.sampled_from((0.0, 0.02, 0.4)),
            ),
            max_size=60,
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    def test_permits_stay_bounded(self, steps):
        """Permits stay bounded through any series of requests and losses."""
        queue, now = admission.AdmissionQueue(2, 1), 0.0
        for number, (step, which, pause) in enumerate(steps):
            if step == "ask":
                queue.decide(self._request(number), now)
            elif step == "again":
                queue.decide(self._request(which), now)
            elif step == "done":
                queue.finish("vm", which, now, answered=which % 2 == 0)
            else:
                queue.decide_waiting(now)
            assert queue.busy(now) <= 3
            assert not queue.waiting or queue.busy(now)
            now += pause

    def test_lost_vm(self):
        """A VM fails with requests in progress and never returns its permits.

        The permits are reclaimed once such requests should have ended.
        """
        queue = admission.AdmissionQueue(1, 0)
        queue.decide(self._request(1), 0.0)
        waiting = queue.decide(self._request(2), 0.0)
        assert waiting.verdict is admission.Verdict.WAITS
        assert queue.decide_waiting(0.5) == []
        (decided,) = queue.decide_waiting(1.0)
        assert decided.verdict is admission.Verdict.ADMITTED

    def test_requests_without_a_permit_count(self):
        """A new gate is informed of the requests already in progress."""
        queue = admission.AdmissionQueue(4, 0)
        first = queue.decide(self._request(1, held=4), 0.0)
        assert first.verdict is admission.Verdict.WAITS
        assert [
            d.request.number for d in queue.decide_waiting(WORK + 0.01)
        ] == [1]

    def test_withdrawn_request(self):
        """A caller disconnects; its permit goes to the next request."""
        queue = admission.AdmissionQueue(1, 0)
        for number in (1, 2, 3):
            queue.decide(self._request(number), 0.0)
        assert queue.finish("vm", 2, 0.01) == []
        (decided,) = queue.finish("vm", 1, 0.1)
        assert decided.request.number == 3

    def test_target_that_rejects(self):
        """Guards against rejections that make a target seem fast.

        A target rejects every other request at once. Counting these as
        responses would keep requests waiting that it cannot serve in time.
        """
        queue = admission.AdmissionQueue(1, 0)
        now = 0.0
        for number in range(0, 200, 2):
            queue.decide(self._request(number), now)
            queue.finish("vm", number, now + 0.001, answered=False)
            queue.decide(self._request(number + 1), now + 0.001)
            queue.finish("vm", number + 1, now + 0.001 + WORK)
            now += 0.2
        assert queue._interval == pytest.approx(WORK, rel=0.01)

    def test_refusal_gives_the_retry_time(self):
        """The retry time follows from the queue and is not a constant."""
        queue = admission.AdmissionQueue(1, 0)
        for number in range(1, 12):
            queue.decide(self._request(number, left=9.0, on_time=9.0), 0.0)
        refused = queue.decide(self._request(12), 0.0)
        assert refused.verdict is admission.Verdict.REFUSED
        assert refused.seconds >= 11 * WORK


class TestFound:
    """The number of requests that an admitted one finds at its target."""

    def test_goes_with_the_decision(self):
        """Guards against waits at a target that count as its slowness."""
        queue = admission.AdmissionQueue(SLOTS, TARGET_QUEUE)
        requests = [
            admission.PermitRequest("vm", n, 0, 9.0, 9.0, WORK)
            for n in range(8)
        ]
        decisions = [queue.decide(r, 0.0) for r in requests]
        assert [d.found for d in decisions] == [1, 2, 3, 4, 5, 6, 7, 0]


class TestRateLimit:
    """A steady load above the rate limit that the target has set."""

    def test_admits_at_the_limit_and_refuses_the_rest(self):
        """Guards against admissions above the target's limit on free slots.

        A request that cannot be admitted in time is refused at once with the
        expected time of admission.
        """
        queue = admission.AdmissionQueue(SLOTS, TARGET_QUEUE)
        queue.limiter = limits.RateLimiter(6.1, 0.0, 0.0)
        admitted, refused = [], []
        decisions = []
        for step in range(1000):
            now = step * 0.01
            if step % 3 == 0:
                request = admission.PermitRequest(
                    "vm", step, 2, TARGET_LATENCY, DEADLINE, WORK
                )
                decisions = [queue.decide(request, now)]
            decisions += queue.decide_waiting(now)
            for decision in decisions:
                if decision.verdict is admission.Verdict.ADMITTED:
                    admitted.append(now)
                    queue.finish("vm", decision.request.number, now + WORK)
                elif decision.verdict is admission.Verdict.REFUSED:
                    refused.append(decision.seconds)
            decisions = []
        assert 45 <= len(admitted) <= 62
        assert len(refused) > 200
        assert 0 < min(refused) <= max(refused) < 5.0
