"""Tests of the fair queue of a target's slots."""

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import queueing

INTERACTIVE = config.Priority.INTERACTIVE
SUBMISSION = config.Priority.SUBMISSION
BULK = config.Priority.BULK
PATIENT = config.Queue(wait=1000.0, length=100000)


def _queue(slots=2, policy=PATIENT):
    return queueing.TargetQueue(slots, policy)


def _offer(
    queue, member="a", priority=INTERACTIVE, share=1.0, now=0.0, left=1e6
):
    ticket = queueing.Ticket(member, priority, share)
    return ticket, queue.offer(ticket, now + left, now)


def _serve(queue, running, count, seconds=1.0, now=0.0):
    """Ends running requests in turn; returns the requests that started."""
    running = collections.deque(running)
    started = []
    for _ in range(count):
        now += seconds
        for action in queue.leave(running.popleft(), now):
            running.append(action.ticket)
            started.append(action.ticket)
    return started


class TestSurge:
    """One member sends far more requests than the others.

    In a first-in, first-out queue, the requests of a rival member would wait
    behind the whole surge.
    """

    def test_rival_waits_for_one_request_of_the_surge(self):
        """The rival's wait does not depend on the surge's length."""
        queue = _queue(slots=1)
        running = [_offer(queue, "surge")[0]]
        for _ in range(100):
            _offer(queue, "surge")
        _offer(queue, "rival")
        started = _serve(queue, running, 3)
        assert "rival" in [t.member for t in started[:2]]

    @pytest.mark.parametrize("share", [1.0, 3.0])
    def test_slots_go_by_share(self, share):
        """Slots are proportional to the configured shares."""
        queue = _queue(slots=1)
        running = [_offer(queue, "first")[0]]
        for _ in range(200):
            _offer(queue, "a", share=share)
            _offer(queue, "b")
        counts = collections.Counter(
            t.member for t in _serve(queue, running, 80)
        )
        assert counts["a"] / counts["b"] == pytest.approx(share, rel=0.1)

    def test_requests_are_charged_for_their_duration(self):
        """A member can't gain by sending longer requests."""
        queue = _queue(slots=1)
        current = _offer(queue, "first")[0]
        for _ in range(200):
            _offer(queue, "long")
            _offer(queue, "short")
        held = collections.Counter()
        now = 0.0
        for _ in range(150):
            seconds = 4.0 if current.member == "long" else 1.0
            now += seconds
            held[current.member] += seconds
            current = queue.leave(current, now)[0].ticket
        assert held["long"] == pytest.approx(held["short"], rel=0.15)

    def test_full_queue_evicts_from_the_longest_lane(self):
        """A surge that fills the queue doesn't block other members."""
        queue = _queue(1, config.Queue(wait=1000.0, length=10))
        _offer(queue, "surge")
        waiting = [_offer(queue, "surge")[0] for _ in range(10)]
        _, actions = _offer(queue, "rival")
        assert [a.ticket for a in actions] == [waiting[-1]]
        assert actions[0].failure.kind is errors.ErrorKind.OVERLOADED


class TestRounding:
    """Requests fail immediately, so their mean duration becomes tiny.

    If rounding loses the credit, the queue must still select a next request;
    otherwise all callers of the target would get an internal error.
    """

    def test_queue_continues(self):
        """Ten thousand requests that take no time."""
        queue = _queue(slots=1)
        running, _ = _offer(queue)
        queue.leave(running, 0.1)
        running, _ = _offer(queue, now=1.0)
        _offer(queue, "b", now=1.0)
        for n in range(10000):
            _offer(queue, "ab"[n % 2], now=1.0)
            running = queue.leave(running, 1.0)[0].ticket
        assert queue.running == 1


class TestBulk:
    """Downloads run for minutes while interactive requests arrive."""

    def test_downloads_leave_slots_for_interactive_requests(self):
        """Downloads use half of the slots even without other requests."""
        queue = _queue(slots=4)
        outcomes = [_offer(queue, priority=BULK)[1] for _ in range(6)]
        assert [o is None for o in outcomes] == [True] * 2 + [False] * 4
        assert _offer(queue)[1] is None

    def test_interactive_goes_first_and_bulk_is_not_starved(self):
        """One in seventeen starts is bulk under sustained load."""
        queue = _queue(slots=1)
        running = [_offer(queue)[0]]
        for _ in range(300):
            _offer(queue)
            _offer(queue, priority=BULK)
        started = _serve(queue, running, 170)
        bulk = sum(t.priority is BULK for t in started)
        assert 8 <= bulk <= 12

    def test_submissions_go_before_bulk(self):
        """The middle class gets four times as much as bulk."""
        queue = _queue(slots=1)
        running = [_offer(queue)[0]]
        for _ in range(300):
            _offer(queue, priority=SUBMISSION)
            _offer(queue, priority=BULK)
        started = _serve(queue, running, 100)
        bulk = sum(t.priority is BULK for t in started)
        assert 18 <= bulk <= 22


class TestEarlyRefusal:
    """More requests wait than can be served before their callers give up.

    After an immediate refusal, the caller has time to retry here or
    elsewhere; after a refusal at its deadline, it has none.
    """

    def test_request_with_too_long_a_wait_is_refused_immediately(self):
        """The refusal's retry time corresponds to the queue's length."""
        queue = _queue(slots=1)
        first, _ = _offer(queue)
        queue.leave(first, 2.0)
        outcomes = [_offer(queue, now=2.0, left=20.0)[1] for _ in range(10)]
        refused = [o for o in outcomes if isinstance(o, errors.Failure)]
        # 10 of the 20 seconds may be spent waiting, at 2 seconds each.
        assert len(refused) == 3
        assert refused[0].kind is errors.ErrorKind.OVERLOADED
        assert refused[0].wait > 10

    def test_surging_member_is_refused_and_its_rival_is_not(self):
        """Each member's expected wait is computed from its own lane."""
        queue = _queue(slots=1, policy=config.Queue(wait=5.0))
        first, _ = _offer(queue, "surge")
        queue.leave(first, 1.0)
        outcomes = [_offer(queue, "surge", now=1.0)[1] for _ in range(50)]
        assert isinstance(outcomes[-1], errors.Failure)
        assert isinstance(_offer(queue, "rival", now=1.0)[1], list)

    def test_request_that_waited_too_long_is_not_started(self):
        """Its caller has already received the failure."""
        queue = _queue(1, config.Queue(wait=1.0))
        first, _ = _offer(queue)
        second, _ = _offer(queue)
        actions = queue.leave(first, 3.0)
        assert [a.ticket for a in actions] == [second]
        assert actions[0].failure.kind is errors.ErrorKind.QUEUE_TIMEOUT
        assert queue.running == 0


class TestShedding:
    """A target reports that it is overloaded although it has a free slot."""

    def test_fewer_slots_are_used_until_it_recovers(self):
        """The limit rises by one slot after each interval without shedding."""
        queue = _queue(slots=4)
        tickets = [_offer(queue)[0] for _ in range(4)]
        queue.shed(0.0)
        assert queue.limit == 3
        assert queue.leave(tickets[0], 0.1) == []
        queue.leave(tickets[1], 1.0)
        assert queue.limit == 4

    def test_limit_is_at_least_one_slot(self):
        """A target that always reports overload still gets requests."""
        queue = _queue(slots=2)
        for _ in range(5):
            queue.shed(0.0)
        assert queue.limit == 1


class _Model:
    """Reference model that drives a queue and keeps its own counts."""

    def __init__(self, slots):
        self.slots = slots
        self.queue = _queue(slots, config.Queue(wait=20.0, length=6))
        self.running = []
        self.waiting = []
        self.now = 0.0

    def offer(self, member, priority, _):
        ticket, outcome = _offer(self.queue, member, priority, now=self.now)
        if outcome is None:
            self.running.append(ticket)
        elif isinstance(outcome, list):
            self.waiting.append(ticket)
            self._take(outcome)

    def end(self, _member, _priority, pick):
        self._leave(self.running, pick)

    def cancel(self, _member, _priority, pick):
        self._leave(self.waiting, pick)

    def shed(self, *_):
        self.queue.shed(self.now)

    def check(self):
        assert self.queue.running == len(self.running) <= self.slots
        assert self.queue.waiting == len(self.waiting) <= 6

    def _leave(self, tickets, pick):
        if tickets:
            ticket = tickets.pop(pick % len(tickets))
            self._take(self.queue.leave(ticket, self.now))

    def _take(self, actions):
        for action in actions:
            self.waiting.remove(action.ticket)
            if isinstance(action, queueing.Started):
                self.running.append(action.ticket)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.integers(1, 4),
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "end", "cancel", "shed"]),
            st.sampled_from("abc"),
            st.sampled_from(list(config.Priority)),
            st.integers(0, 30),
        ),
        max_size=80,
    ),
)
def test_slots_are_exact_under_any_order_of_events(slots, events):
    """No slot is overused or leaked, and each request gets an outcome."""
    model = _Model(slots)
    for name, *values in events:
        model.now += 0.5
        getattr(model, name)(*values)
        model.check()
    while model.running:
        model.now += 30.0
        model.end("", None, 0)
        model.check()
    assert model.waiting == []
