"""Tests of the rate limits that targets set."""

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import limits
from mimosastile_gateway import cluster_state
from mimosastile_standins import virtual
from tests.gateway import fakes


class TestResponses:
    """Limits from the responses of a target."""

    @pytest.mark.parametrize(
        ("answers", "expected"),
        [
            # Rate, time of the request, time of the response.
            ([(6.1, 0.0, 1.0)], 6.1),
            ([(6.1, 0.0, 1.0), (6.1, 0.5, 1.5)], 6.1),
            ([(6.1, 0.0, 1.0), (2.0, 0.5, 1.5)], 2.0),
            ([(6.1, 0.0, 1.0), (9.0, 0.5, 1.5)], 6.1),
            ([(6.1, 0.0, 1.0), (9.0, 1.1, 1.5)], 9.0),
            ([(6.1, 0.0, 1.0), (None, 0.5, 1.5)], 6.1),
            ([(6.1, 0.0, 1.0), (None, 1.1, 1.5)], None),
            ([(None, 0.0, 1.0)], None),
            ([(6.1, 0.0, 1.0), (None, 1.1, 1.5), (3.0, 1.0, 1.6)], 3.0),
            ([(0.0, 0.0, 1.0)], 0.0),
        ],
    )
    def test_order_of_responses(self, answers, expected):
        """Guards against an older response that lifts a newer limit."""
        target_limits = limits.TargetLimits("vm-1")
        for rate, sent_at, now in answers:
            target_limits.observe("t", 1, rate, sent_at, now)
        assert target_limits.rate("t", 1) == expected

    def test_new_incarnation(self):
        """Guards against a limit that outlives its incarnation."""
        target_limits = limits.TargetLimits("vm-1")
        target_limits.observe("t", 1, 6.1, 0.0, 1.0)
        assert target_limits.rate("t", 2) is None
        target_limits.observe("t", 2, 3.0, 0.5, 1.2)
        assert not target_limits.observe("t", 1, 9.0, 1.5, 2.0)
        assert (target_limits.rate("t", 1), target_limits.rate("t", 2)) == (
            None,
            3.0,
        )

    def test_log(self):
        """A limit is logged when it is set, changed and lifted."""

        async def main():
            log, timer = fakes.MemoryEvents(), fakes.VirtualClock()
            known = cluster_state.ClusterState(fakes.configured(), timer, log)
            target = fakes.target("a")
            for rate in (6.1, 6.1, 3.0, None, None):
                known.record_limit(target, rate, virtual.now())
            named = [line["rate"] for line in log.named("limit_named")]
            assert named == [6.1, 3.0]
            assert len(log.named("limit_lifted")) == 1
            assert known.limits.dump() == {}

        virtual.run(main())


class TestUpdates:
    """Limits that VMs report to each other."""

    @pytest.mark.parametrize(
        ("own", "peer", "expected"),
        [
            # Rate and time of the own response; rate and time of the peer's.
            ((None, 0.0), (6.1, 5.0), 6.1),
            ((6.1, 4.0), (None, 5.0), None),
            ((6.1, 4.8), (None, 5.0), 6.1),
            ((6.1, 4.8), (9.0, 5.0), 6.1),
            ((6.1, 4.8), (3.0, 5.0), 3.0),
            ((6.1, 6.0), (3.0, 5.0), 6.1),
            ((3.0, 4.0), (6.1, 5.0), 6.1),
        ],
    )
    def test_newer_update_applies(self, own, peer, expected):
        """Guards against an older update that lifts a newer limit."""
        target_limits = limits.TargetLimits("vm-1")
        target_limits.observe("t", 1, own[0], 0.0, own[1])
        now = 10.0
        target_limits.merge(
            "t", limits.LimitUpdate(1, peer[0], now - peer[1]), now
        )
        assert target_limits.rate("t", 1) == expected

    def test_report(self):
        """Guards against reporting the same limits to a leader repeatedly."""
        one, leader = limits.TargetLimits("vm-1"), limits.TargetLimits("vm-2")
        one.observe("t", 1, 6.1, 0.0, 1.0)
        for name, update in one.unknown_to_leader(1.0).items():
            assert leader.merge(name, update, 1.1)
        one.record_leader_view(leader.updates(1.2), 1.2)
        assert one.unknown_to_leader(2.0) == {}
        one.observe("t", 1, 6.1, 2.0, 8.0)
        assert list(one.unknown_to_leader(8.0)) == ["t"]
        one.observe("t", 1, None, 8.5, 9.0)
        for name, update in one.unknown_to_leader(9.0).items():
            leader.merge(name, update, 9.1)
        assert leader.rate("t", 1) is None
        # A new leader without any limits.
        one.observe("t", 1, 2.0, 9.5, 9.6)
        one.record_leader_view({}, 10.0)
        assert list(one.unknown_to_leader(10.0)) == ["t"]

    def test_ended_targets_are_dropped(self):
        """Memory does not grow with the targets that ever set a limit."""
        target_limits = limits.TargetLimits("vm-1")
        for number in range(50):
            target_limits.observe(f"t{number}", 1, 6.1, 0.0, 1.0)
        target_limits.retain({"t1": 1, "t2": 2})
        assert list(target_limits.dump()) == ["t1"]


class TestRateLimiter:
    """The rate limiter of a VM."""

    @hypothesis.settings(max_examples=100, deadline=None)
    @hypothesis.given(
        st.floats(0.4, 40.0),
        st.lists(st.floats(0.001, 0.5), min_size=50, max_size=400),
        st.lists(st.floats(4.0, 20.0), max_size=3),
        st.sampled_from([10, 88, 300]),
    )
    def test_replaced_senders(self, rate, gaps, replaced, vms):
        """Guards against an old and a new sender in one window.

        The old sender continues until its last update from its peers expires,
        and every other VM uses its own time slots.
        """
        changes = sorted(replaced)
        limiters = [
            limits.RateLimiter(rate, n / 4, 0.0)
            for n in range(len(changes) + 1)
        ]
        others = [limits.RateLimiter(rate, n / vms, 0.0) for n in range(vms)]
        now, sent = 0.0, []
        for number, gap in enumerate(gaps):
            now += gap
            senders = {
                sum(change <= now - behind for change in changes)
                for behind in (0.0, 1.5)
            }
            for sender in senders:
                if not limiters[sender].wait(now):
                    limiters[sender].take(now)
                    sent.append(now)
            other = others[number % vms]
            if not other.share_wait(vms, now):
                other.take_share(vms, now)
                sent.append(now)
        highest = max(
            (sum(end - 4.0 < at <= end for at in sent) for end in sent),
            default=0,
        )
        assert highest <= 1.5 * rate * 4.0 + 5

    @pytest.mark.parametrize("vms", [10, 88, 300])
    def test_time_slots_do_not_accumulate(self, vms):
        """Guards against accumulated slots that all VMs use at one moment."""
        rate = 6.1
        limiters = [limits.RateLimiter(rate, n / vms, 0.0) for n in range(vms)]
        for without_sender in (False, True):
            at_once = sum(
                not limiter.share_wait(
                    vms, 1000.0, without_sender=without_sender
                )
                for limiter in limiters
            )
            assert at_once <= 3

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("rate", [0.4, 6.1, 40.0])
    def test_cut_off_vms(self, vms, rate):
        """Guards against cut-off VMs that each use the whole limit."""
        limiters = [
            limits.RateLimiter(rate, (n * 0.618) % 1, 0.0) for n in range(vms)
        ]
        sent = []
        for step in range(1000):
            now = step * 0.04
            for limiter in limiters:
                if not limiter.share_wait(vms, now, without_sender=True):
                    limiter.take_share(vms, now, without_sender=True)
                    sent.append(now)
        highest = max(sum(end - 4.0 < at <= end for at in sent) for end in sent)
        assert highest <= rate * 4.0 + 2
        assert len(sent) > 0.3 * rate * 40.0 - 2

    def test_sender_accumulates_few_tokens(self):
        """Guards against a burst after an idle period."""
        limiter = limits.RateLimiter(6.1, 0.0, 0.0)
        sent = 0
        while not limiter.wait(1000.0):
            limiter.take(1000.0)
            sent += 1
        assert sent == 1

    def test_limit_of_zero(self):
        """Guards against a limit of 0 that the target can never raise."""
        limiter = limits.RateLimiter(0.0, 0.0, 0.0)
        assert 1.0 < limiter.wait(0.0) < 20.0
