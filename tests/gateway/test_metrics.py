"""Metrics: what is exposed, and that the page for operators names it."""

import asyncio
import os
import pathlib
import re

from mimosastile_gateway import events
from mimosastile_gateway import http_client
from mimosastile_gateway import metrics
from mimosastile_standins import platform_world

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


class TestText:
    """The text that a collector reads."""

    def test_events(self):
        """What the log counts is there, also what it left out."""
        lines = events.Events("vm-1", os.open(os.devnull, os.O_WRONLY))
        made = metrics.Metrics(lines.counts)
        for _ in range(500):
            lines.write("store", "store_lost")
        expected = 'mimosastile_events_total{part="store",event="store_lost"}'
        assert f"{expected} 500" in made.text()

    def test_outcomes(self):
        """Requests by route and outcome, with quantiles of their times."""
        made = metrics.Metrics()
        made.record("reads", "passed", 0.02)
        text = made.text()
        assert 'route="reads",outcome="passed"} 1' in text
        assert 'outcome="passed",quantile="0.5"} 20' in text

    def test_bytes_of_calls(self):
        """Bytes of own calls by path, without queries and identifiers."""
        pool = http_client.Pool(1.0)
        made = metrics.Metrics({}, pool.traffic)
        pool.count("/watch?after=7", 100, 0)
        pool.count("/watch?after=8", 100, 50)
        pool.count("/keep/71", 10, 0)
        text = made.text()
        assert 'path="/watch",direction="sent"} 200' in text
        assert 'path="/watch",direction="received"} 50' in text
        assert 'path="/keep",direction="sent"} 10' in text


class TestPage:
    """docs/OPERATIONS.md."""

    def test_every_metric_is_described(self):
        """A daemon that has served is asked for all of its metrics."""

        async def main():
            world = platform_world.World()
            try:
                await world.start(vms=1)
                made = world.daemons["vm-0"]
                made._set_gauges()
                return made._metrics.text()
            finally:
                await world.stop()

        text = asyncio.run(main())
        exposed = set(re.findall(r"^# TYPE (\w+)", text, re.MULTILINE))
        part = PAGE.read_text().partition("## On the users' platform")[2]
        described = set(re.findall(r"^\| `(mimosastile_\w+)`", part, re.M))
        assert exposed == described
