"""Limits that targets name."""

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import limits
from mimosastile_gateway import cluster_state
from mimosastile_standins import virtual
from tests.gateway import fakes


class TestHeard:
    """Which of several answers counts."""

    @pytest.mark.parametrize(
        ("answers", "expected"),
        [
            # Rate, time at which the request was sent, time of the answer.
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
    def test_order_of_answers(self, answers, expected):
        """Guards against a limit that an answer from before it lifts."""
        made = limits.TargetLimits("vm-1")
        for rate, sent_at, now in answers:
            made.hear("t", 1, rate, sent_at, now)
        assert made.rate("t", 1) == expected

    def test_new_run(self):
        """Guards against a limit that outlives the run that named it."""
        made = limits.TargetLimits("vm-1")
        made.hear("t", 1, 6.1, 0.0, 1.0)
        assert made.rate("t", 2) is None
        made.hear("t", 2, 3.0, 0.5, 1.2)
        assert not made.hear("t", 1, 9.0, 1.5, 2.0)
        assert (made.rate("t", 1), made.rate("t", 2)) == (None, 3.0)

    def test_log(self):
        """A limit is logged when it is named, changed and lifted."""

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


class TestLearned:
    """What one VM tells another."""

    @pytest.mark.parametrize(
        ("heard", "told", "expected"),
        [
            # Rate and time of the own answer; rate and time of the peer's.
            ((None, 0.0), (6.1, 5.0), 6.1),
            ((6.1, 4.0), (None, 5.0), None),
            ((6.1, 4.8), (None, 5.0), 6.1),
            ((6.1, 4.8), (9.0, 5.0), 6.1),
            ((6.1, 4.8), (3.0, 5.0), 3.0),
            ((6.1, 6.0), (3.0, 5.0), 6.1),
            ((3.0, 4.0), (6.1, 5.0), 6.1),
        ],
    )
    def test_newer_word_counts(self, heard, told, expected):
        """Guards against a limit that news from before it lift."""
        made = limits.TargetLimits("vm-1")
        made.hear("t", 1, heard[0], 0.0, heard[1])
        now = 10.0
        made.learn("t", limits.LimitUpdate(1, told[0], now - told[1]), now)
        assert made.rate("t", 1) == expected

    def test_report(self):
        """Guards against limits that a leader is told again and again."""
        one, leader = limits.TargetLimits("vm-1"), limits.TargetLimits("vm-2")
        one.hear("t", 1, 6.1, 0.0, 1.0)
        for name, news in one.unknown_to_leader(1.0).items():
            assert leader.learn(name, news, 1.1)
        one.record_leader_view(leader.news(1.2), 1.2)
        assert one.unknown_to_leader(2.0) == {}
        one.hear("t", 1, 6.1, 2.0, 8.0)
        assert list(one.unknown_to_leader(8.0)) == ["t"]
        one.hear("t", 1, None, 8.5, 9.0)
        for name, news in one.unknown_to_leader(9.0).items():
            leader.learn(name, news, 9.1)
        assert leader.rate("t", 1) is None
        # A leader that knows nothing yet.
        one.hear("t", 1, 2.0, 9.5, 9.6)
        one.record_leader_view({}, 10.0)
        assert list(one.unknown_to_leader(10.0)) == ["t"]

    def test_targets_that_are_gone_are_forgotten(self):
        """Memory does not grow with the targets that ever named a limit."""
        made = limits.TargetLimits("vm-1")
        for number in range(50):
            made.hear(f"t{number}", 1, 6.1, 0.0, 1.0)
        made.forget_except({"t1": 1, "t2": 2})
        assert list(made.dump()) == ["t1"]


class TestPace:
    """When a VM may send."""

    @hypothesis.settings(max_examples=100, deadline=None)
    @hypothesis.given(
        st.floats(0.4, 40.0),
        st.lists(st.floats(0.001, 0.5), min_size=50, max_size=400),
        st.lists(st.floats(4.0, 20.0), max_size=3),
        st.sampled_from([10, 88, 300]),
    )
    def test_senders_that_are_replaced(self, rate, gaps, replaced, vms):
        """Guards against an old sender and its follower in one window.

        The old one goes on for as long as what its peers know of it counts,
        and every other VM takes its own turns.
        """
        changes = sorted(replaced)
        paces = [
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
                if not paces[sender].wait(now):
                    paces[sender].take(now)
                    sent.append(now)
            other = others[number % vms]
            if not other.share_wait(vms, now):
                other.take_share(vms, now)
                sent.append(now)
        most = max(
            (sum(end - 4.0 < at <= end for at in sent) for end in sent),
            default=0,
        )
        assert most <= 1.5 * rate * 4.0 + 5

    @pytest.mark.parametrize("vms", [10, 88, 300])
    def test_own_turns_are_not_saved(self, vms):
        """Guards against all VMs using up what they saved at one moment."""
        rate = 6.1
        paces = [limits.RateLimiter(rate, n / vms, 0.0) for n in range(vms)]
        for alone in (False, True):
            at_once = sum(
                not pace.share_wait(vms, 1000.0, alone=alone) for pace in paces
            )
            assert at_once <= 3

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("rate", [0.4, 6.1, 40.0])
    def test_vms_that_hear_nobody(self, vms, rate):
        """Guards against cut-off VMs that each take the whole for theirs."""
        paces = [
            limits.RateLimiter(rate, (n * 0.618) % 1, 0.0) for n in range(vms)
        ]
        sent = []
        for step in range(1000):
            now = step * 0.04
            for pace in paces:
                if not pace.share_wait(vms, now, alone=True):
                    pace.take_share(vms, now, alone=True)
                    sent.append(now)
        most = max(sum(end - 4.0 < at <= end for at in sent) for end in sent)
        assert most <= rate * 4.0 + 2
        assert len(sent) > 0.3 * rate * 40.0 - 2

    def test_sender_saves_little(self):
        """Guards against a rush after a quiet time."""
        pace = limits.RateLimiter(6.1, 0.0, 0.0)
        sent = 0
        while not pace.wait(1000.0):
            pace.take(1000.0)
            sent += 1
        assert sent == 1

    def test_no_requests_at_all(self):
        """Guards against a target that can never say it takes more."""
        pace = limits.RateLimiter(0.0, 0.0, 0.0)
        assert 1.0 < pace.wait(0.0) < 20.0
