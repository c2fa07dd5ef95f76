"""Tests of background tasks of the daemon."""

import asyncio

import pytest

from mimosastile_entry import _background
from mimosastile_standins import virtual


class TestKeep:
    """Tasks that run again after a failure."""

    @pytest.mark.parametrize(
        "error", [RecursionError, KeyError, asyncio.CancelledError]
    )
    def test_runs_again(self, error):
        """Guards against a task of the daemon that ends unnoticed."""
        runs = []

        async def work():
            runs.append(virtual.now())
            if len(runs) < 4:
                raise error("unexpected")
            await asyncio.sleep(60.0)

        async def main():
            tasks = _background.Background()
            tasks.keep(work, "work")
            await asyncio.sleep(5.0)
            tasks.cancel()

        virtual.run(main())
        assert len(runs) == 4
