"""Assembles a daemon from its services and runs it until it is told to stop."""

import asyncio
from collections.abc import Iterable
import gc
import signal
from typing import Any

from absl import logging
import msgspec

from mimosastile_core import balancing
from mimosastile_entry import _access
from mimosastile_entry import _archive
from mimosastile_entry import _audit
from mimosastile_entry import _auth
from mimosastile_entry import _client
from mimosastile_entry import _clock
from mimosastile_entry import _configuration
from mimosastile_entry import _digests
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _keeper
from mimosastile_entry import _limits
from mimosastile_entry import _links
from mimosastile_entry import _listeners
from mimosastile_entry import _loads
from mimosastile_entry import _membership
from mimosastile_entry import _metrics
from mimosastile_entry import _peers_http
from mimosastile_entry import _planner
from mimosastile_entry import _platform_http
from mimosastile_entry import _propagation
from mimosastile_entry import _quarantine
from mimosastile_entry import _roles
from mimosastile_entry import _router
from mimosastile_entry import _state
from mimosastile_entry import _targets_http
from mimosastile_entry import _tls
from mimosastile_entry import kernel
from mimosastile_entry import ports
from mimosastile_entry import settings

_PREFIX = "daemon:"
_COLLECT_AFTER = 20_000
_YOUNG = 20
_OLD = 50
"""Thresholds of the garbage collector's generations."""


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
        _archive.ArchiveService(),
        _configuration.ConfigurationService(place.id),
        _limits.LimitsService(place.id),
        _metrics.MetricsService(),
        _quarantine.QuarantineService(place.id),
        _links.LinksService(place.id, place.region),
        _router.RouterService(
            place.id, balancing.Locality(place.region, place.zone)
        ),
    ]


def adapters(configured: settings.Settings) -> list[kernel.Service]:
    """Returns the adapters that speak HTTP to everything outside."""
    platform = configured.platform
    known = configured.peers
    signer = _auth.Signer(
        configured.vm.id, known.keys, known.sign_with, known.window
    )
    return [
        _clock.LoopClock(),
        _tls.TlsService(configured.tls),
        _client.HttpClient(configured.connections),
        _platform_http.HttpStore(platform.store, platform.timeout),
        _platform_http.HttpFleet(platform.fleet, platform.timeout),
        _targets_http.HttpTargets(),
        _access.AccessService(configured.admin.bootstrap),
        _audit.AuditService(configured.vm.id, configured.vm.zone),
        _peers_http.HttpPeers(signer),
        _listeners.ListenersService(configured, signer),
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


def tune_collector() -> None:
    """Lets the garbage collector look less often, and not at what stays.

    Requests leave no cycles, but each run of the collector walks through all
    tables and pools; at many requests at once that is seen as a third of the
    time that the daemon's own code takes.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_COLLECT_AFTER, _YOUNG, _OLD)


async def stop_gracefully(made: kernel.Kernel) -> None:
    """Stops a daemon so that callers notice nothing.

    Health turns bad first and listening goes on while the balancer notices;
    roles go to peers in that time. Then requests in flight end.

    Args:
        made: The running daemon.
    """
    listeners = _optional(made, "listeners")
    roles = _optional(made, "roles")
    waits = []
    if listeners is not None:
        waits.append(listeners.give_notice())
    if roles is not None and hasattr(roles, "hand_over"):
        waits.append(roles.hand_over())
    for failed in await asyncio.gather(*waits, return_exceptions=True):
        if isinstance(failed, Exception):
            logging.error("%s stops all the same: %r.", _PREFIX, failed)
    await made.stop()


def _optional(made: kernel.Kernel, name: str) -> Any:
    try:
        return made.find(name)
    except kernel.MissingServiceError:
        return None


async def run(configured: settings.Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.

    A second signal ends the wait for requests in flight.
    """
    made = assemble(configured)
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    numbers = (signal.SIGTERM, signal.SIGINT)
    for number in numbers:
        loop.add_signal_handler(number, signals.put_nowait, number)
    loop.add_signal_handler(signal.SIGUSR1, log_dump, made)
    try:
        await made.start()
        tune_collector()
        logging.info("%s %s is up.", _PREFIX, configured.vm.id)
        await signals.get()
        logging.info("%s %s stops.", _PREFIX, configured.vm.id)
        await _stop(made, signals)
    finally:
        for number in (*numbers, signal.SIGUSR1):
            loop.remove_signal_handler(number)


def log_dump(made: kernel.Kernel) -> None:
    """Writes the state dump to the log, for when no port answers."""
    dump = msgspec.json.encode(made.dump()).decode()
    logging.info("%s state: %s", _PREFIX, dump)


async def _stop(made: kernel.Kernel, signals: asyncio.Queue[int]) -> None:
    stopping = asyncio.create_task(stop_gracefully(made))
    second = asyncio.create_task(signals.get())
    await asyncio.wait((stopping, second), return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        logging.warning("%s second signal, waits no longer.", _PREFIX)
        made.find("listeners").abort()
    second.cancel()
    await stopping
