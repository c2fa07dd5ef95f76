"""Tests of the bandwidth budget of the link between regions."""

import pytest

from mimosastile_core import config
from mimosastile_core import limits
from mimosastile_core import links

INTERACTIVE = config.Priority.INTERACTIVE
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
    """Bandwidth left for requests and responses."""

    def test_control_traffic_is_reserved(self):
        """Heartbeats and tables must not queue behind downloads."""
        link = config.Link(1000, 0.9, 100)
        assert links.budget(link) == 800.0


class TestDownloadsFillTheLink:
    """Archive downloads could fill the link for minutes.

    An editor's page would queue behind them.
    """

    def test_bulk_keeps_to_the_share(self):
        """Checked over ten seconds, apart from one chunk."""
        pacer, now, sent = _pacer(), 0.0, 0
        while now < 10.0:
            pacer.grant(TOTAL, now)
            wait = _wait(pacer, 100, BULK, now)
            sent += 100 * (wait == 0)
            now += wait
        assert sent == pytest.approx(10 * TOTAL, rel=0.02)

    def test_interactive_bytes_go_at_once_and_delay_bulk(self):
        """Interactive bytes are taken from the bandwidth of downloads."""
        pacer = _pacer()
        while not _wait(pacer, 100, BULK, 1.0):
            pass
        assert _wait(pacer, 300, INTERACTIVE, 1.0) == 0.0
        assert _wait(pacer, 100, BULK, 1.0) > 0.3

    def test_classes_wait_in_order_of_priority(self):
        """At the same debt, bulk waits longest and interactive not at all."""
        pacer = _pacer()
        for _ in range(7):
            _wait(pacer, 100, INTERACTIVE, 0.0)
        waits = [
            _wait(pacer, 1, p, 0.0) for p in (INTERACTIVE, SUBMISSION, BULK)
        ]
        assert waits[0] == 0.0
        assert 0.0 < waits[1] < waits[2]

    def test_interactive_requests_wait_when_they_exceed_the_link(self):
        """Their debt is bounded."""
        pacer = _pacer()
        for _ in range(30):
            _wait(pacer, 100, INTERACTIVE, 0.0)
        assert _wait(pacer, 100, INTERACTIVE, 0.0) > 0.0


class TestShares:
    """The budget of a direction is allocated by need."""

    def test_delayed_vm_requests_a_large_share(self):
        """Doubling from a tiny share would take seconds."""
        pacer = links.Pacer(0.0)
        pacer.grant(2.0, 0.0)
        while not pacer.wait(1000, BULK, TOTAL, 1, 0.0):
            pass
        assert pacer.need(0.1).wanted >= 64 << 10

    def test_expired_share_leaves_the_guaranteed_one(self):
        """The allocator is unreachable."""
        pacer = links.Pacer(0.0)
        pacer.grant(TOTAL, 0.0)
        now = limits.SHARE_SECONDS + 1
        _wait(pacer, 10000, INTERACTIVE, now)
        wait = _wait(pacer, 1, BULK, now)
        assert wait > 10000 / TOTAL * 10

    def test_busy_vm_gets_the_unneeded_shares(self):
        """Its share grows within a few reports."""
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
    """Byte counts for a link that is paid for by volume."""

    def test_counts_by_region_member_and_service(self):
        """The names appear in the dump."""
        meter = links.Meter()
        meter.count("r", "m", "s", 5)
        meter.count("r", "m", "s", 2)
        assert meter.total() == {"r/m/s": 7}
