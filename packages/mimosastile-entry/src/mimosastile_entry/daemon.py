"""Assembles a daemon from its services and runs it until it is told to stop."""

import asyncio
from collections.abc import Iterable
import signal

from absl import logging

from mimosastile_entry import _client
from mimosastile_entry import _clock
from mimosastile_entry import _digests
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _keeper
from mimosastile_entry import _listeners
from mimosastile_entry import _loads
from mimosastile_entry import _membership
from mimosastile_entry import _peers_http
from mimosastile_entry import _planner
from mimosastile_entry import _platform_http
from mimosastile_entry import _propagation
from mimosastile_entry import _roles
from mimosastile_entry import _router
from mimosastile_entry import _state
from mimosastile_entry import _targets_http
from mimosastile_entry import kernel
from mimosastile_entry import ports
from mimosastile_entry import settings

_PREFIX = "daemon:"


def decisions(place: settings.VmSettings) -> list[kernel.Service]:
    """Returns the services that decide; they know nothing of HTTP.

    Args:
        place: Identifier, region and zone of the VM.
    """
    return [
        _inbox.InboxService(place.id),
        _fleet.FleetService(place.id),
        _membership.MembershipService(place.id, place.zone),
        _state.StateService(place.id),
        _propagation.PropagationService(place.id, place.zone),
        _digests.DigestService(place.id, place.zone),
        _loads.LoadsService(place.id),
        _keeper.KeeperService(place.id, place.zone),
        _roles.RolesService(place.id),
        _planner.PlannerService(place.id),
        _router.RouterService(place.id),
    ]


def adapters(configured: settings.Settings) -> list[kernel.Service]:
    """Returns the adapters that speak HTTP to everything outside."""
    platform = configured.platform
    return [
        _clock.LoopClock(),
        _client.HttpClient(),
        _platform_http.HttpStore(platform.store, platform.timeout),
        _platform_http.HttpFleet(platform.fleet, platform.timeout),
        _targets_http.HttpTargets(),
        _peers_http.HttpPeers(),
        _listeners.ListenersService(configured),
    ]


def assemble(
    configured: settings.Settings, replaced: Iterable[kernel.Service] = ()
) -> kernel.Kernel:
    """Returns a kernel with all services of a daemon, not yet started.

    Args:
        configured: The daemon's settings.
        replaced: Services that take the place of those of the same name.
    """
    made = kernel.Kernel()
    for service in (
        *adapters(configured),
        *decisions(configured.vm),
        *replaced,
    ):
        made.register(service)
    return made


def clock(seed: int | None = None) -> ports.ClockPort:
    """Returns the clock service; a seed makes it repeatable."""
    return _clock.LoopClock(seed)


async def stop_gracefully(made: kernel.Kernel) -> None:
    """Stops a daemon gracefully: its roles go to peers of its zone first."""
    await made.find("roles").hand_over()
    await made.stop()


async def run(configured: settings.Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then stops it gracefully."""
    made = assemble(configured)
    await made.start()
    logging.info("%s %s is up.", _PREFIX, configured.vm.id)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    logging.info("%s %s stops.", _PREFIX, configured.vm.id)
    await stop_gracefully(made)
