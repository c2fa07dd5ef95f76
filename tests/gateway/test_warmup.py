"""The rate of cold targets."""

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
    """One VM that is the only sender."""

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
        """Guards against more in a second than a cold target tolerates."""
        made = warmup.SendRate()
        for at in sent:
            made.note("t", at)
        assert made.wait("t", rate, now) == pytest.approx(expected)

    def test_targets_that_are_warm_are_forgotten(self):
        """Memory does not grow with the targets that were ever cold."""
        made = warmup.SendRate()
        for number in range(10_000):
            made.note(f"t{number}", number * 0.1)
        assert len(made._sent) <= 128


class TestOnlySender:
    """A leader names one VM for each cold target."""

    @pytest.mark.parametrize("vms", [12, 88, 600])
    def test_one_vm_for_a_cold_target(self, vms):
        """Guards against a rate that adds up over all VMs."""
        known = directory.Directory(1.0, 0.3)
        known.put(
            fakes.target("t"),
            0.0,
        )
        able = [(f"vm-{n}", "z" if n % 4 else "y") for n in range(vms)]
        named = demand.Demand(1.5).gates(able, {}, (), known, ["t"])
        assert list(named) == ["t"]
        assert named["t"] in {vm for vm, zone in able if zone == "z"}

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
    def test_senders_that_are_replaced(self, wanted, replaced):
        """Guards against two senders in one second exceeding the bound.

        A VM vanishes with sends on their way, or goes on for as long as what
        it knows of its leader counts.
        """
        changes = sorted(replaced)
        # A leader names another VM when reports of the one before are missing,
        # which takes longer than a second.
        changes = [
            at
            for at, before in zip(changes, [-math.inf, *changes], strict=False)
            if at - before > 1.5
        ]
        rates = [warmup.SendRate() for _ in range(len(changes) + 1)]
        sent = []
        for at, behind in sorted(wanted):
            present = sum(change <= at for change in changes)
            # One that has not heard of the change yet sends as before.
            stale = max(present - (behind > 2), 0)
            for sender in {present, stale}:
                if not rates[sender].wait("t", RATE, at):
                    rates[sender].note("t", at)
                    sent.append((at, sender))
        assert _most_in_a_second([at for at, _ in sent]) <= BOUND
        for begin, _ in sent:
            window = [s for s in sent if 0 <= s[0] - begin < 1.0]
            senders = {sender for _, sender in window}
            assert len(senders) <= 3
            assert len(window) <= len(senders) * math.floor(RATE)


class TestColdness:
    """When a target counts as cold."""

    @pytest.mark.parametrize(
        ("registered", "said", "zone", "now", "expected"),
        [
            (0.0, 0.0, 0.0, 1.0, 0.0),
            (4.0, 0.0, 0.0, 1.0, 3.0),
            (0.0, 5.0, 0.0, 1.0, 4.0),
            (0.0, 0.0, 3.5, 1.0, 2.5),
            (2.0, 5.0, 3.0, 4.0, 1.0),
            (2.0, 3.0, 3.0, 4.0, 0.0),
        ],
    )
    def test_latest_word_counts(self, registered, said, zone, now, expected):
        """Guards against a cold target that one of its sources calls warm."""
        known = directory.Directory(1.0, 0.3)
        target = fakes.target("t", warm_at=registered)
        known.put(target, 0.0)
        known.record_cold("t", said, 0.0)
        known.mark_zone_cold("z", {"s": zone}, 0.0)
        known.mark_zone_cold("y", {"s": 99.0}, 0.0)
        known.mark_zone_cold("z", {"other": 99.0}, 0.0)
        assert known.warm_in("t", now) == expected

    def test_it_becomes_cold_again(self):
        """Guards against a target that is cold again without a new start."""
        known = directory.Directory(1.0, 0.3)
        for revision, warm_at in enumerate(itertools.chain([0.0], [9.0]), 1):
            known.put(
                fakes.target("t", warm_at=warm_at, revision=revision),
                6.0,
            )
        assert known.warm_in("t", 6.0) == 3.0
