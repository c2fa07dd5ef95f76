"""Assembly of the daemon's services, signal handling and graceful shutdown."""

import asyncio
from collections.abc import Iterable
import gc
import signal
from typing import Any

from absl import logging
import msgspec

from mimosastile_core import balancing
from mimosastile_core import response_matching
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
_GENERATION_0_THRESHOLD = 20_000
_GENERATION_1_THRESHOLD = 20
_GENERATION_2_THRESHOLD = 50
"""Thresholds of the three generations of the garbage collector."""


def decision_services(
    vm: settings.VmSettings,
    responses: response_matching.ResponseCounts | None = None,
) -> list[kernel.Service]:
    """Returns the services with the decision logic, independent of HTTP.

    Args:
        vm: Identifier, region and zone of the VM.
        responses: Counts of the HTTP client; None without one.
    """
    return [
        _inbox.InboxService(vm.id),
        _fleet.FleetService(vm.id),
        _membership.MembershipService(vm.id, vm.zone),
        _state.StateService(vm.id),
        _propagation.PropagationService(vm.id, vm.zone),
        _digests.DigestService(vm.id, vm.zone),
        _loads.LoadsService(vm.id),
        _keeper.KeeperService(vm.id, vm.zone),
        _roles.RolesService(vm.id),
        _planner.PlannerService(vm.id),
        _archive.ArchiveService(),
        _configuration.ConfigurationService(vm.id),
        _limits.LimitsService(vm.id),
        _metrics.MetricsService(responses),
        _quarantine.QuarantineService(vm.id),
        _links.LinksService(vm.id, vm.region),
        _router.RouterService(vm.id, balancing.Locality(vm.region, vm.zone)),
    ]


def adapters(
    daemon_settings: settings.Settings,
    responses: response_matching.ResponseCounts | None = None,
) -> list[kernel.Service]:
    """Returns the services that adapt external systems over HTTP.

    Args:
        daemon_settings: The daemon's settings.
        responses: Counts of the HTTP client, shared with the metrics.
    """
    platform = daemon_settings.platform
    peer_settings = daemon_settings.peers
    signer = _auth.Signer(
        daemon_settings.vm.id,
        peer_settings.keys,
        peer_settings.sign_with,
        peer_settings.window,
    )
    return [
        _clock.LoopClock(),
        _tls.TlsService(daemon_settings.tls),
        _client.HttpClient(daemon_settings.connections, responses),
        _platform_http.HttpStore(platform.store, platform.timeout),
        _platform_http.HttpFleet(platform.fleet, platform.timeout),
        _targets_http.HttpTargets(),
        _access.AccessService(daemon_settings.admin.bootstrap),
        _audit.AuditService(daemon_settings.vm.id, daemon_settings.vm.zone),
        _peers_http.HttpPeers(signer),
        _listeners.ListenersService(daemon_settings, signer),
    ]


def assemble(
    daemon_settings: settings.Settings, replaced: Iterable[kernel.Service] = ()
) -> kernel.Kernel:
    """Returns a kernel with all services of a daemon, without starting it.

    Args:
        daemon_settings: The daemon's settings.
        replaced: Services that replace the default ones of the same name.
    """
    daemon_kernel = kernel.Kernel()
    responses = response_matching.ResponseCounts()
    for service in (
        *adapters(daemon_settings, responses),
        *decision_services(daemon_settings.vm, responses),
        *replaced,
    ):
        daemon_kernel.register(service)
    return daemon_kernel


def clock(seed: int | None = None) -> ports.ClockPort:
    """Returns the clock service; a seed makes its random values repeatable."""
    return _clock.LoopClock(seed)


def tune_collector() -> None:
    """Makes garbage collection rarer and excludes long-lived objects.

    Requests create no reference cycles, but each collection traverses all
    tables and pools. With many concurrent requests that took a third of the
    time spent in the daemon's own code.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        _GENERATION_0_THRESHOLD,
        _GENERATION_1_THRESHOLD,
        _GENERATION_2_THRESHOLD,
    )


async def stop_gracefully(daemon_kernel: kernel.Kernel) -> None:
    """Stops a daemon without failing requests.

    The health check fails first. The daemon keeps accepting connections until
    the load balancer has reacted, and hands its roles over to peers meanwhile.
    Then it waits for the requests in flight.

    Args:
        daemon_kernel: Kernel of the running daemon.
    """
    listeners = _find_optional(daemon_kernel, "listeners")
    roles = _find_optional(daemon_kernel, "roles")
    shutdown_steps = []
    if listeners is not None:
        shutdown_steps.append(listeners.give_notice())
    if roles is not None and hasattr(roles, "hand_over"):
        shutdown_steps.append(roles.hand_over())
    for outcome in await asyncio.gather(
        *shutdown_steps, return_exceptions=True
    ):
        if isinstance(outcome, Exception):
            logging.error("%s stops all the same: %r.", _PREFIX, outcome)
    await daemon_kernel.stop()


def _find_optional(daemon_kernel: kernel.Kernel, name: str) -> Any:
    try:
        return daemon_kernel.find(name)
    except kernel.MissingServiceError:
        return None


async def run(daemon_settings: settings.Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.

    A second signal aborts the requests in flight. SIGUSR1 logs the state dump.
    """
    daemon_kernel = assemble(daemon_settings)
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    numbers = (signal.SIGTERM, signal.SIGINT)
    for number in numbers:
        loop.add_signal_handler(number, signals.put_nowait, number)
    loop.add_signal_handler(signal.SIGUSR1, log_dump, daemon_kernel)
    try:
        await daemon_kernel.start()
        tune_collector()
        logging.info("%s VM %s: started.", _PREFIX, daemon_settings.vm.id)
        await signals.get()
        logging.info("%s VM %s: shutting down.", _PREFIX, daemon_settings.vm.id)
        await _stop_or_abort(daemon_kernel, signals)
    finally:
        for number in (*numbers, signal.SIGUSR1):
            loop.remove_signal_handler(number)


def log_dump(daemon_kernel: kernel.Kernel) -> None:
    """Logs the state dump, for use when no port responds."""
    dump = msgspec.json.encode(daemon_kernel.dump()).decode()
    logging.info("%s state: %s", _PREFIX, dump)


async def _stop_or_abort(
    daemon_kernel: kernel.Kernel, signals: asyncio.Queue[int]
) -> None:
    stop_task = asyncio.create_task(stop_gracefully(daemon_kernel))
    second_signal = asyncio.create_task(signals.get())
    await asyncio.wait(
        (stop_task, second_signal), return_when=asyncio.FIRST_COMPLETED
    )
    if not stop_task.done():
        logging.warning(
            "%s second signal; aborting requests in flight.", _PREFIX
        )
        daemon_kernel.find("listeners").abort()
    second_signal.cancel()
    await stop_task
