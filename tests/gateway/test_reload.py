"""Settings that change while a daemon runs."""

import asyncio

import msgspec
import pytest

from mimosastile_core.gateway import directory
from mimosastile_gateway import daemon
from mimosastile_gateway import settings
from mimosastile_platform import boot
from mimosastile_standins import virtual
from tests.gateway import fakes


def _daemon(log):
    configured = fakes.configured()
    return daemon.Daemon(
        configured, boot.adapter(configured), log, fakes.VirtualClock()
    )


class TestTakeSettings:
    """What applies at once, and what does not."""

    def test_bounds(self):
        """The platform shortens the time that leaving targets may be used.

        A daemon that keeps to the former one sends requests to targets that
        are about to end, and callers see them fail.
        """

        async def main():
            log = fakes.MemoryEvents()
            made = _daemon(log)
            known = made._cluster
            new = fakes.configured()
            new.bounds = settings.BoundSettings(drain=1.0, retry_fixed=9.0)
            made.take_settings(new)
            leaving = fakes.target("a", leaving=True)
            known.apply_target(leaving)
            entry = known.directory.get("a")
            assert entry.standing is directory.TargetStatus.LEAVING
            assert entry.until == pytest.approx(entry.since + 0.9)
            assert made._forwarder._settings.bounds.retry_fixed == 9.0
            assert log.named("settings_read")[0]["at_next_start"] == []

        virtual.run(main())

    def test_addresses_wait(self):
        """A new address of the store is said to wait for the next start."""

        async def main():
            log = fakes.MemoryEvents()
            made = _daemon(log)
            new = fakes.configured()
            new.store = msgspec.structs.replace(new.store, address="x:1")
            made.take_settings(new)
            (line,) = log.named("settings_read")
            assert line["changed"] == line["at_next_start"] == ["store"]

        virtual.run(main())


class TestFollowFile:
    """The file changes without a signal."""

    def test_read_again(self):
        """It is read once for each change."""

        async def main():
            stamps = iter([1, 1, 2, 2, 0, 3])
            reads = []
            task = asyncio.create_task(
                daemon._follow_file(
                    lambda: reads.append(True), lambda: next(stamps, 3)
                )
            )
            await asyncio.sleep(20.0)
            task.cancel()
            assert len(reads) == 3

        virtual.run(main())
