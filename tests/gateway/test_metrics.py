"""Metrics: the exposed text, and its description for operators."""

import asyncio
import os
import pathlib
import re

import pytest

from mimosastile_gateway import events
from mimosastile_gateway import metrics
from mimosastile_gateway import traffic
from mimosastile_standins import platform_world

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


class TestText:
    """The Prometheus text format."""

    def test_events(self):
        """Events are counted, including those suppressed in the log."""
        log = events.EventLog("vm-1", os.open(os.devnull, os.O_WRONLY))
        exposed = metrics.Metrics(log.counts)
        for _ in range(500):
            log.write("store", "store_lost")
        expected = 'mimosastile_events_total{part="store",event="store_lost"}'
        assert f"{expected} 500" in exposed.text()

    def test_outcomes(self):
        """Requests are counted by route and outcome, with latency quantiles."""
        exposed = metrics.Metrics()
        exposed.record("reads", "passed", 0.02)
        text = exposed.text()
        assert 'route="reads",outcome="passed"} 1' in text
        assert 'outcome="passed",quantile="0.5"} 20' in text

    @pytest.mark.parametrize(
        ("path", "purpose"),
        [
            ("/watch?after=7", "/watch"),
            ("/keep/71", "/keep"),
            ("/report", "/report"),
        ],
    )
    def test_bytes(self, path, purpose):
        """Bytes are counted by path without query and identifier."""
        counted = traffic.Traffic()
        exposed = metrics.Metrics({}, counted)
        for size in (100, 50):
            counted.add(
                traffic.Series(traffic.purpose(path), traffic.SENT, "far"),
                size,
            )
        labels = f'purpose="{purpose}",direction="sent",region="far"'
        assert f"mimosastile_bytes_total{{{labels}}} 150" in exposed.text()

    def test_rejected_registrations(self):
        """Registrations that name no target are counted by reason."""
        exposed = metrics.Metrics()
        exposed.set_rejected({"address": 2})
        name = "mimosastile_rejected_registrations_total"
        assert f'{name}{{reason="address"}} 2' in exposed.text()


class TestPage:
    """docs/OPERATIONS.md."""

    def test_every_metric_is_described(self):
        """The page describes exactly the metrics that a daemon exposes."""

        async def main():
            world = platform_world.World()
            try:
                await world.start(vms=1)
                gateway = world.daemons["vm-0"]
                gateway._set_gauges()
                return gateway._metrics.text()
            finally:
                await world.stop()

        text = asyncio.run(main())
        exposed = set(re.findall(r"^# TYPE (\w+)", text, re.MULTILINE))
        part = PAGE.read_text().partition("## On the users' platform")[2]
        described = set(re.findall(r"^\| `(mimosastile_\w+)`", part, re.M))
        assert exposed == described
