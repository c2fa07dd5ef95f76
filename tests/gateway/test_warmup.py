"""Tests of the request rate of cold targets."""

import itertools
import math

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core.gateway import demand
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import warmup
from tests.gateway import fakes

RATE = 3.3
BOUND = RATE * 1.5 + 8
"""Requests in a second above which a cold target may crash."""


def _most_in_a_second(times):
    ordered = sorted(times)
    return max(
        (
            sum(1 for t in ordered[n:] if t - ordered[n] < 1.0)
            for n in range(len(ordered))
        ),
        default=0,
    )


class TestSendRate:
    """The only sender of a cold target."""

    @pytest.mark.parametrize(
        ("rate", "sent", "now", "expected"),
        [
            (3.3, [], 0.0, 0.0),
            (3.3, [0.0, 0.1], 0.2, 0.0),
            (3.3, [0.0, 0.1, 0.2], 0.3, 0.7),
            (3.3, [0.0, 0.1, 0.2], 1.0, 0.0),
            (0.9, [], 0.0, math.inf),
            (0.0, [], 0.0, math.inf),
        ],
    )
    def test_wait(self, rate, sent, now, expected):
        """Guards against a higher rate than a cold target tolerates."""
        send_rate = warmup.SendRate()
        for at in sent:
            send_rate.record("t", at)
        assert send_rate.wait("t", rate, now) == pytest.approx(expected)

    def test_warm_targets_are_dropped(self):
        """Memory does not grow with the targets that were ever cold."""
        send_rate = warmup.SendRate()
        for number in range(10_000):
            send_rate.record(f"t{number}", number * 0.1)
        assert len(send_rate._sent) <= 128


class TestOnlySender:
    """A leader names one sender for each cold target."""

    @pytest.mark.parametrize("vms", [12, 88, 600])
    def test_one_sender_for_a_cold_target(self, vms):
        """Guards against a rate that adds up over all VMs."""
        targets = directory.Directory(1.0, 0.3)
        targets.put(
            fakes.target("t"),
            0.0,
        )
        candidates = [(f"vm-{n}", "z" if n % 4 else "y") for n in range(vms)]
        gates = demand.Demand(1.5).gates(candidates, {}, (), targets, ["t"])
        assert list(gates) == ["t"]
        assert gates["t"] in {vm for vm, zone in candidates if zone == "z"}

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.floats(0.0, 6.0),
                st.integers(0, 3),
            ),
            max_size=120,
        ),
        st.lists(st.floats(0.0, 6.0), max_size=6),
    )
    @hypothesis.example(
        wanted=[(2.0, 0)] * 3 + [(1.5, 0), (1.5, 0), (1.5, 3)],
        replaced=[0.0, 2.0],
    )
    def test_replaced_senders(self, wanted, replaced):
        """Guards against two senders that exceed the bound in one second.

        A VM fails with requests in transit, or continues as the sender until
        its last update from the leader expires.
        """
        changes = sorted(replaced)
        # A leader replaces the sender when its reports are missing, which takes
        # longer than a second.
        changes = [
            at
            for at, before in zip(changes, [-math.inf, *changes], strict=False)
            if at - before > 1.5
        ]
        send_rates = [warmup.SendRate() for _ in range(len(changes) + 1)]
        sent = []
        for at, behind in sorted(wanted):
            present = sum(change <= at for change in changes)
            # A VM that has not received the change yet sends as before.
            stale = max(present - (behind > 2), 0)
            for sender in {present, stale}:
                if not send_rates[sender].wait("t", RATE, at):
                    send_rates[sender].record("t", at)
                    sent.append((at, sender))
        assert _most_in_a_second([at for at, _ in sent]) <= BOUND
        for begin, _ in sent:
            window = [s for s in sent if 0 <= s[0] - begin < 1.0]
            senders = {sender for _, sender in window}
            assert len(senders) <= 3
            assert len(window) <= len(senders) * math.floor(RATE)


class TestColdness:
    """Whether a target is cold."""

    @pytest.mark.parametrize(
        ("registered", "reported", "zone", "now", "expected"),
        [
            (0.0, 0.0, 0.0, 1.0, 0.0),
            (4.0, 0.0, 0.0, 1.0, 3.0),
            (0.0, 5.0, 0.0, 1.0, 4.0),
            (0.0, 0.0, 3.5, 1.0, 2.5),
            (2.0, 5.0, 3.0, 4.0, 1.0),
            (2.0, 3.0, 3.0, 4.0, 0.0),
        ],
    )
    def test_latest_end_of_warm_up_applies(
        self, registered, reported, zone, now, expected
    ):
        """Guards against a cold target that one of three sources calls warm."""
        targets = directory.Directory(1.0, 0.3)
        target = fakes.target("t", warm_at=registered)
        targets.put(target, 0.0)
        targets.record_cold("t", reported, 0.0)
        targets.mark_zone_cold("z", {"s": zone}, 0.0)
        targets.mark_zone_cold("y", {"s": 99.0}, 0.0)
        targets.mark_zone_cold("z", {"other": 99.0}, 0.0)
        assert targets.warm_in("t", now) == expected

    def test_cold_again_without_a_restart(self):
        """Guards against a target that becomes cold without a restart."""
        targets = directory.Directory(1.0, 0.3)
        for revision, warm_at in enumerate(itertools.chain([0.0], [9.0]), 1):
            targets.put(
                fakes.target("t", warm_at=warm_at, revision=revision),
                6.0,
            )
        assert targets.warm_in("t", 6.0) == 3.0
