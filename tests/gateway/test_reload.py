"""Reload of the settings while a daemon runs."""

import asyncio

import msgspec
import pytest

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import routes
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


class TestApplySettings:
    """Settings that apply at once, and those that wait for a restart."""

    def test_bounds(self):
        """Guards against an outdated drain time of leaving targets.

        If the platform shortens it and a daemon keeps the former value, it
        sends requests to targets that are about to stop, and these fail.
        """

        async def main():
            log = fakes.MemoryEvents()
            gateway = _daemon(log)
            state = gateway._cluster
            new = fakes.configured()
            new.bounds = settings.BoundSettings(drain=1.0, retry_fixed=9.0)
            gateway.apply_settings(new)
            state.apply_configuration(
                routes.Configuration(1, services={"s": routes.Service("s")})
            )
            leaving = fakes.target("a", leaving=True)
            state.apply_target(leaving)
            entry = state.directory.get("a")
            assert entry.status is directory.TargetStatus.LEAVING
            assert entry.until == pytest.approx(entry.since + 0.9)
            assert gateway._forwarder._settings.bounds.retry_fixed == 9.0
            assert log.named("settings_read")[0]["at_next_start"] == []

        virtual.run(main())

    def test_addresses_apply_at_next_start(self):
        """A new store address is logged to apply at the next start."""

        async def main():
            log = fakes.MemoryEvents()
            gateway = _daemon(log)
            new = fakes.configured()
            new.store = msgspec.structs.replace(new.store, address="x:1")
            gateway.apply_settings(new)
            (line,) = log.named("settings_read")
            assert line["changed"] == line["at_next_start"] == ["store"]

        virtual.run(main())


class TestWatchSettingsFile:
    """The settings file changes without a signal."""

    def test_reload(self):
        """The settings are reloaded once for each change."""

        async def main():
            versions = iter([1, 1, 2, 2, 0, 3])
            reloads = []
            task = asyncio.create_task(
                daemon._watch_settings_file(
                    lambda: reloads.append(True), lambda: next(versions, 3)
                )
            )
            await asyncio.sleep(20.0)
            task.cancel()
            assert len(reloads) == 3

        virtual.run(main())
