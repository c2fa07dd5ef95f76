"""Tests of the budget of the link between regions."""

import pytest

from mimosastile_core import config
from mimosastile_core import limits
from mimosastile_core import links

DESK = config.Priority.INTERACTIVE
SUBMISSION = config.Priority.SUBMISSION
BULK = config.Priority.BULK
TOTAL = 1000.0


def _pacer(rate=TOTAL):
    pacer = links.Pacer(0.0)
    pacer.grant(rate, 0.0)
    return pacer


def _wait(pacer, size, priority, now):
    return pacer.wait(size, priority, TOTAL, 10, now)


class TestBudget:
    """What requests and answers may take."""

    def test_control_traffic_is_kept_free(self):
        """Heartbeats and tables must not wait behind downloads."""
        link = config.Link(1000, 0.9, 100)
        assert links.budget(link) == 800.0


class TestDownloadsFillTheLink:
    """Archive downloads would take all of the link for minutes.

    An editor's page would wait behind them.
    """

    def test_bulk_keeps_to_the_share(self):
        """Over ten seconds, but for one chunk."""
        pacer, now, sent = _pacer(), 0.0, 0
        while now < 10.0:
            pacer.grant(TOTAL, now)
            wait = _wait(pacer, 100, BULK, now)
            sent += 100 * (wait == 0)
            now += wait
        assert sent == pytest.approx(10 * TOTAL, rel=0.02)

    def test_desk_goes_at_once_and_bulk_pays(self):
        """The desk's bytes are taken from what downloads get."""
        pacer = _pacer()
        while not _wait(pacer, 100, BULK, 1.0):
            pass
        assert _wait(pacer, 300, DESK, 1.0) == 0.0
        assert _wait(pacer, 100, BULK, 1.0) > 0.3

    def test_classes_wait_in_their_order(self):
        """Submissions wait before the desk does, and bulk before them."""
        pacer = _pacer()
        for _ in range(7):
            _wait(pacer, 100, DESK, 0.0)
        waits = [_wait(pacer, 1, p, 0.0) for p in (DESK, SUBMISSION, BULK)]
        assert waits[0] == 0.0
        assert 0.0 < waits[1] < waits[2]

    def test_desk_waits_as_well_when_it_alone_is_too_much(self):
        """A link cannot carry more than it does."""
        pacer = _pacer()
        for _ in range(30):
            _wait(pacer, 100, DESK, 0.0)
        assert _wait(pacer, 100, DESK, 0.0) > 0.0


class TestShares:
    """The direction is dealt out by need."""

    def test_whoever_waited_asks_for_enough(self):
        """Doubling from next to nothing would take seconds."""
        pacer = links.Pacer(0.0)
        pacer.grant(2.0, 0.0)
        while not pacer.wait(1000, BULK, TOTAL, 1, 0.0):
            pass
        assert pacer.need(0.1).wanted >= 64 << 10

    def test_lapsed_share_leaves_the_floor(self):
        """The dealer is not reached."""
        pacer = links.Pacer(0.0)
        pacer.grant(TOTAL, 0.0)
        now = limits.SHARE_SECONDS + 1
        _wait(pacer, 10000, DESK, now)
        wait = _wait(pacer, 1, BULK, now)
        assert wait > 10000 / TOTAL * 10

    def test_busy_vm_gets_what_the_others_leave(self):
        """Within a few reports."""
        ledger = limits.Ledger(0.0)
        vms = ["a", "b", "c"]
        pacers = {vm: links.Pacer(0.0) for vm in vms}
        now = 0.0
        for _ in range(30):
            for vm, pacer in pacers.items():
                step = now
                while vm == "a" and step < now + 0.5:
                    step += _wait(pacer, 10, BULK, step)
                share = ledger.report(
                    vm, pacer.need(now + 0.5), TOTAL, vms, now + 0.5
                )
                pacer.grant(share, now + 0.5)
            now += 0.5
        held = {vm: pacer.need(now).held for vm, pacer in pacers.items()}
        assert held["a"] > TOTAL / 2
        assert sum(held.values()) <= TOTAL


class TestMeter:
    """The link is paid for by volume."""

    def test_by_region_member_and_service(self):
        """The names appear in the dump."""
        meter = links.Meter()
        meter.count("r", "m", "s", 5)
        meter.count("r", "m", "s", 2)
        assert meter.total() == {"r/m/s": 7}
