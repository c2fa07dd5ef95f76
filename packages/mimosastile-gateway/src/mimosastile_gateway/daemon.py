"""Wires the services of a gateway daemon and runs them until a stop signal."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import gc
import itertools
import resource
import signal
from typing import Any

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core import supervision
from mimosastile_core import unfinished_heads
from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import held_bytes
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import admission_service
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import crash_monitoring
from mimosastile_gateway import datagrams
from mimosastile_gateway import dispatching
from mimosastile_gateway import events
from mimosastile_gateway import forwarding
from mimosastile_gateway import http_client
from mimosastile_gateway import http_server
from mimosastile_gateway import leader_role
from mimosastile_gateway import load_probing
from mimosastile_gateway import membership
from mimosastile_gateway import messages
from mimosastile_gateway import metrics
from mimosastile_gateway import peer_calls
from mimosastile_gateway import peer_forwarding
from mimosastile_gateway import ports
from mimosastile_gateway import reach_monitoring
from mimosastile_gateway import retry_budgets
from mimosastile_gateway import settings
from mimosastile_gateway import store_watching
from mimosastile_gateway import traffic
from mimosastile_gateway import wait_queues

_MAINTENANCE_SECONDS = 1.0
_TRAFFIC_LOG_CYCLES = 5
"""Maintenance cycles between two log lines on the gateway's own traffic."""
_GC_THRESHOLD_0 = 20_000
_GC_THRESHOLD_1 = 20
_GC_THRESHOLD_2 = 50
"""Thresholds of the garbage collector's three generations. Requests leave few
reference cycles, and each full collection traverses all objects."""
_REGISTRATION_NEWS_SECONDS = 2.0
"""Time within which this VM knows that the store has removed a registration."""
_RESPONSE_MARGIN_SECONDS = 0.15
"""Time kept at the end of a graceful stop for sending the last responses."""
_FORWARDING_HEADER_BYTES = 1024
"""Size of the headers that forwarding adds to a request, at most."""
_MAX_IDLE_SECONDS = 5.0
_SETTINGS_POLL_SECONDS = 1.0
"""Interval at which the settings file is checked for changes: half of the time
within which a configuration change has to be in force."""
_CONTROL_LIMITS = routes.CallerLimits(body_bytes=0)
"""Limits of the listeners for readiness and metrics."""
_JSON = ((b"content-type", b"application/json"),)
_PeerHandler = Callable[[Any], Awaitable[msgspec.Struct]]
_TEXT = ((b"content-type", b"text/plain; version=0.0.4"),)


class Adapter(msgspec.Struct, frozen=True):
    """Platform-specific formats and clients that a daemon runs with.

    Attributes:
        headers: Names of the HTTP headers.
        store: Makes the store's client from a connection pool.
        orders: Makes the client for orders to targets.
        health: Makes the client for health checks of targets.
        read_target_feedback: Decodes a target's feedback from the headers of a
            response.
        records: Decodes the records that operators and targets write.
        readiness_path: Path of the load balancer's readiness check.
    """

    headers: ports.HeaderNames
    store: Callable[[http_client.Pool], ports.StorePort]
    orders: Callable[[http_client.Pool], ports.OrderPort]
    health: Callable[[http_client.Pool], ports.HealthPort]
    read_target_feedback: Callable[
        [Iterable[tuple[bytes, bytes]]], target_feedback.TargetFeedback
    ] = msgspec.field(name="read_notice")
    records: ports.RecordPort
    readiness_path: str


class Daemon:
    """One gateway process.

    Attributes:
        callers_address: Host and port on which callers are served; empty
            before the start.
    """

    __slots__ = (
        "_adapter",
        "_admission",
        "_cluster",
        "_caller_server",
        "_crash_monitor",
        "_channel",
        "_clock",
        "_events",
        "_forwarder",
        "_heads",
        "_held",
        "_peer_handlers",
        "_peer_server",
        "_loop_lag",
        "_leader_role",
        "_metrics",
        "_metrics_server",
        "_order_pool",
        "_membership",
        "_pool",
        "_prober",
        "_reach_monitor",
        "_readiness_server",
        "_retry_budgets",
        "_balancer",
        "_settings",
        "_stopping",
        "_tasks",
        "_traffic",
        "_watcher",
        "callers_address",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        adapter: Adapter,
        log: events.EventLog | None = None,
        timer: clock.Clock | None = None,
        make_pool: Callable[[float], http_client.Pool] = http_client.Pool,
    ) -> None:
        """Creates a daemon without starting it.

        Args:
            configured: Settings of the daemon.
            adapter: The platform's adapter.
            log: Event log; None for one on standard output.
            timer: Clock; None for the system's.
            make_pool: Creates a connection pool from the seconds of
                unacknowledged data after which a connection ends.
        """
        vm = configured.vm
        self._settings = configured
        self._adapter = adapter
        self._events = log or events.EventLog(vm.id)
        self._clock = timer or clock.Clock()
        self._pool = make_pool(configured.requests.silent)
        # Orders have connections of their own: an overloaded target resets new
        # ones, and if requests had taken those of orders, the renewals of its
        # grants would fail.
        self._order_pool = make_pool(configured.requests.silent)
        self._traffic = traffic.Traffic()
        self._traffic.region_of = self._region_of
        self._metrics = metrics.Metrics(self._events.counts, self._traffic)
        self._cluster = cluster_state.ClusterState(
            configured, self._clock, self._events
        )
        store = adapter.store(self._pool)
        calls = peer_calls.PeerCalls(self._pool, self._events)
        boot = self._clock.new_id()
        self._balancer = load_balancing.LoadBalancer(
            load_balancing.Location(vm.zone, vm.region),
            vm.regions,
            configured.rooms,
        )
        self._reach_monitor = reach_monitoring.ReachMonitor(
            self._pool,
            configured.requests.connect,
            self._cluster,
            self._balancer,
            self._clock,
            self._events,
        )
        for pool in (self._pool, self._order_pool):
            pool.on_attempt = self._reach_monitor.record_attempt
            pool.on_response = self._reach_monitor.record_response
            pool.traffic = self._traffic
        self._leader_role = leader_role.LeaderRole(
            configured,
            boot,
            store,
            adapter.orders(self._order_pool),
            calls,
            self._cluster,
            self._reach_monitor,
            self._clock,
            self._events,
        )
        self._watcher = store_watching.StoreWatcher(
            configured.store,
            store,
            adapter.records,
            self._cluster,
            self._clock,
            self._events,
        )
        queues = wait_queues.WaitQueues()
        detector = crash_detection.CrashDetector(
            configured.bounds.registration + _REGISTRATION_NEWS_SECONDS
        )
        self._channel = datagrams.Channel(self._events)
        self._admission = admission_service.AdmissionService(
            configured, self._channel, self._cluster, self._clock
        )
        self._membership = membership.Membership(
            configured,
            boot,
            store,
            calls,
            self._cluster,
            self._balancer,
            self._leader_role,
            queues,
            self._admission,
            self._watcher,
            detector,
            self._reach_monitor,
            self._clock,
            self._events,
        )
        health = adapter.health(self._pool)
        self._crash_monitor = crash_monitoring.CrashMonitor(
            detector,
            self._pool,
            health,
            configured.requests.connect,
            self._cluster,
            self._membership,
            self._clock,
            self._events,
        )
        self._prober = load_probing.LoadProber(
            health,
            self._cluster,
            self._balancer,
            self._clock,
            self._events,
        )
        dispatcher = dispatching.Dispatcher(
            configured,
            self._cluster,
            self._balancer,
            self._membership,
            queues,
            self._admission,
            self._clock,
            self._prober,
        )
        self._retry_budgets = retry_budgets.RetryBudgets(
            configured, self._membership, self._clock, self._events
        )
        self._forwarder = forwarding.Forwarder(
            configured,
            adapter.headers,
            adapter.read_target_feedback,
            self._pool,
            self._cluster,
            self._balancer,
            self._membership,
            dispatcher,
            peer_forwarding.PeerForwarder(
                configured,
                adapter.headers,
                self._pool,
                self._cluster,
                self._membership,
                self._reach_monitor,
                self._clock,
                self._events,
            ),
            self._crash_monitor,
            self._retry_budgets,
            self._metrics,
            self._clock,
            self._events,
        )
        self._held = held_bytes.HeldBytes(configured.requests.memory_bytes)
        self._pool.held = self._order_pool.held = self._held
        self._heads = unfinished_heads.UnfinishedHeads[http_server.Connection](
            configured.requests.unfinished_head_bytes
        )
        self._caller_server = http_server.Server(
            self._forwarder.handle,
            held=self._held,
            heads=self._heads,
            most_connections=configured.connections.callers,
            event_log=self._events,
        )
        self._readiness_server = http_server.Server(
            self._handle_readiness,
            _CONTROL_LIMITS,
            heads=self._heads,
            most_connections=configured.connections.control,
        )
        # Messages between VMs are refused only when no memory is left.
        self._peer_server = http_server.Server(
            self._handle_peer_call,
            held=self._held,
            bounded=lambda incoming: bool(peer_forwarding.origin(incoming)),
            heads=self._heads,
            most_connections=configured.connections.peers,
            event_log=self._events,
        )
        self._peer_handlers: dict[str, tuple[type[Any], _PeerHandler]] = {
            messages.REPORT_PATH: (messages.Report, self._handle_report),
            messages.ASSIGN_PATH: (messages.ReportReply, self._handle_update),
            messages.RELAY_PATH: (messages.Relay, self._membership.relay),
            messages.EXTEND_PATH: (
                messages.ExtensionRequest,
                self._leader_role.witness.handle_request,
            ),
        }
        self._metrics_server = http_server.Server(
            self._handle_metrics,
            _CONTROL_LIMITS,
            heads=self._heads,
            most_connections=configured.connections.control,
        )
        self.callers_address = ""
        self._stopping = False
        self._tasks = background_tasks.BackgroundTasks(self._events)
        self._loop_lag = 0.0

    @property
    def ready(self) -> bool:
        """Whether the load balancer should route callers to this VM."""
        return (
            not self._stopping
            and self._cluster.configuration is not None
            and any(True for _ in self._cluster.directory)
        )

    async def start(self) -> None:
        """Starts the listeners and the background services."""
        vm = self._settings.vm
        peers_address = await self._peer_server.listen(vm.peers)
        self._membership.set_address(peers_address)
        try:
            await self._channel.open(peers_address, self._admission.receive)
        except OSError as error:
            # Peers treat an admission gate that does not respond as failed and
            # send to its targets without permits.
            self._events.write("daemon", "no_datagrams", why=str(error))
        await self._readiness_server.listen(vm.readiness)
        self.callers_address = await self._caller_server.listen(vm.callers)
        try:
            await self._metrics_server.listen(vm.metrics)
        except OSError as error:
            # Serving callers has priority over exposing metrics.
            self._events.write("daemon", "no_metrics", why=str(error))
        self._cluster.subscribe(self._on_change)
        self._watcher.start()
        self._membership.start()
        self._tasks.keep("maintain", self._maintain)
        self._events.write(
            "daemon",
            "started",
            zone=vm.zone,
            cpu_ms=round(_processor_seconds() * 1000),
        )

    async def stop(self) -> None:
        """Stops gracefully: completes accepted requests in the grace time."""
        grace = self._settings.bounds.grace - self._settings.stop.reserve
        began = self._clock.now()
        self._stopping = True
        self._caller_server.stopping = True
        self._admission.stopping = True
        self._forwarder.cap_deadlines(began + grace - _RESPONSE_MARGIN_SECONDS)
        self._events.write("daemon", "stopping", grace=grace)
        await asyncio.gather(
            self._leader_role.hand_over(min(1.5, grace / 2)),
            asyncio.sleep(min(self._settings.stop.notice, grace / 2)),
        )
        self._caller_server.stop_listening()
        self._caller_server.close_idle()
        while (
            self._caller_server.busy
            or self._caller_server.lingering
            or self._peer_server.busy
        ) and self._clock.now() - began < grace:
            await asyncio.sleep(0.02)
        self._leader_role.step_down("this daemon stops")
        self._watcher.stop()
        self._reach_monitor.stop()
        self._crash_monitor.stop()
        await self._membership.stop()
        self._tasks.cancel()
        self._retry_budgets.log()
        self._events.write(
            "daemon",
            "stopped",
            seconds=round(self._clock.now() - began, 2),
            cut=self._caller_server.busy,
        )
        for server in (
            self._caller_server,
            self._readiness_server,
            self._peer_server,
        ):
            server.stop_listening()
            server.close_idle()
        self._channel.close()
        self._pool.close()
        self._order_pool.close()

    def abort(self) -> None:
        """Stops everything at once, as the end of the process would."""
        self._leader_role.step_down("this daemon ends")
        self._watcher.stop()
        self._reach_monitor.stop()
        self._crash_monitor.stop()
        self._membership.abort()
        self._tasks.cancel()
        for server in (
            self._caller_server,
            self._readiness_server,
            self._peer_server,
            self._metrics_server,
        ):
            server.stop_listening()
            server.abort()
        self._channel.close()
        self._pool.close()
        self._order_pool.close()

    def watch_settings(
        self, reload: Callable[[], None], file_version: Callable[[], int]
    ) -> None:
        """Starts to read the settings file again whenever it changes.

        Args:
            reload: Reads the file.
            file_version: Returns a number that changes with the file.
        """
        self._tasks.keep(
            "watch-settings",
            lambda: _watch_settings_file(reload, file_version),
        )

    def apply_settings(self, new: settings.GatewaySettings) -> None:
        """Applies settings that were read again.

        The platform's bounds apply at once. All other settings, such as
        addresses, take effect at the next start, since open connections and
        listeners depend on them.

        Args:
            new: The new settings.
        """
        current = self._settings
        changed = [
            name
            for name in current.__struct_fields__
            if getattr(current, name) != getattr(new, name)
        ]
        if "bounds" in changed:
            current.bounds = new.bounds
            self._cluster.set_drain(new.bounds.drain)
            self._retry_budgets.apply_bounds()
        self._events.write(
            "daemon",
            "settings_read",
            changed=changed,
            at_next_start=[name for name in changed if name != "bounds"],
        )

    def log_dump(self) -> None:
        """Writes the state dump to the log."""
        self._events.write("daemon", "state", state=self.dump())

    def log_failure(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Logs an exception that no task or call has handled.

        Args:
            loop: The event loop.
            context: What the event loop knows of the exception.
        """
        del loop
        error = context.get("exception")
        failure = supervision.describe(error) if error else None
        self._events.write(
            "tasks",
            "callback_failed",
            message=context["message"],
            why=failure.why if failure else "",
            where=failure.where if failure else "",
        )

    def dump(self) -> dict[str, object]:
        """Returns the state of all services, for operators."""
        state = self._cluster
        configuration = state.configuration
        return {
            "vm": self._settings.vm.id,
            "ready": self.ready,
            "configuration": configuration.version if configuration else None,
            "registrations_age": state.registrations_age,
            "configuration_age": state.configuration_age,
            "views_outdated": sorted(self._membership.outdated_views),
            "follows_store": self._membership.follows_store,
            "leader": msgspec.to_builtins(state.leader),
            "vms": sorted(state.vms),
            "targets": {
                entry.target.id: entry.status.value for entry in state.directory
            },
            **self._reach_monitor.dump(),
            "assignments": state.versions(),
            "evacuated_zones": state.evacuations.zones,
            "cold_targets": {
                name: round(state.cold_seconds(name), 2)
                for name in state.cold_targets()
            },
            "target_limits": state.limits.dump(),
            "allowed_regions": {
                route.name: route.regions
                for route in (configuration.routes if configuration else ())
                if route.regions
            },
            "store_ok": state.store_ok,
            "leading": self._leader_role.dump(),
            "forwarding": self._forwarder.dump(),
            "gates": self._admission.dump(),
            "probes": self._prober.dump(),
            "held_bytes": self._held.dump(),
            "unfinished_heads": {
                "limit": self._heads.most,
                "held": self._heads.total,
                "refused": self._heads.evicted,
            },
            "connections_opened": self._pool.opened,
            "connections_accepted": {
                name: {
                    "open": server.connections,
                    "most": server.connection_limit.most,
                    "evicted": server.connection_limit.evicted,
                }
                for name, server in self._servers.items()
            },
            "responses_unmatched": self._unmatched_responses,
            "log_lines_dropped": self._events.dropped,
        }

    @property
    def _servers(self) -> dict[str, http_server.Server]:
        """All listeners by name."""
        return {
            "callers": self._caller_server,
            "readiness": self._readiness_server,
            "peers": self._peer_server,
            "metrics": self._metrics_server,
        }

    @property
    def _evicted_connections(self) -> int:
        """Number of connections so far that gave way to others."""
        return sum(s.connection_limit.evicted for s in self._servers.values())

    @property
    def _unmatched_responses(self) -> int:
        """Number of responses so far that belonged to no pending request."""
        return self._pool.unmatched + self._order_pool.unmatched

    def _on_change(self) -> None:
        configuration = self._cluster.configuration
        if configuration is not None:
            limits = configuration.limits
            self._caller_server.limits = limits
            # A forwarded request has more headers than the caller's.
            message_limits = routes.CallerLimits()
            self._peer_server.limits = routes.CallerLimits(
                max(message_limits.header_bytes, limits.header_bytes)
                + _FORWARDING_HEADER_BYTES,
                max(message_limits.body_bytes, limits.body_bytes),
            )

    async def _maintain(self) -> None:
        refused = evicted = 0
        for cycle in itertools.count(1):
            slept_at = self._clock.now()
            await asyncio.sleep(_MAINTENANCE_SECONDS)
            self._retry_budgets.log()
            if cycle % _TRAFFIC_LOG_CYCLES == 0:
                self._log_traffic()
            # One sample a cycle is enough: a busy event loop is late in most
            # cycles.
            self._loop_lag = self._clock.now() - slept_at - _MAINTENANCE_SECONDS
            self._caller_server.sample_unsent()
            self._peer_server.sample_unsent()
            if self._held.refused > refused:
                refused = self._held.refused
                self._events.write(
                    "daemon", "memory_short", held=self._held.dump()
                )
            if self._evicted_connections > evicted:
                evicted = self._evicted_connections
                self._events.write(
                    "daemon", "connections_evicted", evicted=evicted
                )
            self._pool.trim(_MAX_IDLE_SECONDS)
            self._order_pool.trim(_MAX_IDLE_SECONDS)
            targets = [entry.target.id for entry in self._cluster.directory]
            self._balancer.retain(targets)

    def _log_traffic(self) -> None:
        """Logs the bytes sent and received since the start."""
        counts = self._traffic.counts
        regions: dict[str, dict[str, dict[str, int]]] = {}
        for series, size in counts.items():
            purposes = regions.setdefault(series.region, {})
            purposes.setdefault(series.purpose, {})[series.direction] = size
        self._events.write("daemon", "traffic", regions=regions)

    def _region_of(self, address: str) -> str:
        """Returns the region of a target or VM, for the count of bytes."""
        zone = self._reach_monitor.zone_of(address)
        if zone is None:
            zone = self._cluster.vm_zones.get(address, "")
        return self._settings.vm.regions.get(zone, traffic.UNKNOWN_REGION)

    # Handlers of the HTTP servers.

    async def _handle_readiness(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        path = incoming.target.decode("latin-1")
        if path != self._adapter.readiness_path:
            return http_server.Response(404)
        return http_server.Response(200 if self.ready else 503)

    async def _handle_metrics(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        if incoming.target == b"/metrics":
            self._set_gauges()
            text = self._metrics.text().encode()
            return http_server.Response(200, _TEXT, text)
        if incoming.target == b"/state":
            body = msgspec.json.encode(self.dump())
            return http_server.Response(200, _JSON, body)
        return http_server.Response(404)

    def _set_gauges(self) -> None:
        state = self._cluster
        own = self._balancer.own()
        utilisations = self._leader_role.utilisations()
        ages = {
            "registrations_age_seconds": state.registrations_age,
            "configuration_age_seconds": state.configuration_age,
        }
        gauges = {
            **{name: age for name, age in ages.items() if age is not None},
            "views_outdated": len(self._membership.outdated_views),
            "follows_store": self._membership.follows_store,
            "configuration_version": max(state.version, 0),
            "ready": self.ready,
            "leading": self._leader_role.is_leader,
            "former_grants_seconds": self._leader_role.former_grants_seconds,
            "store_reached": state.store_ok,
            "log_lines_dropped": self._events.dropped,
            "connections_opened": self._pool.opened,
            "connections_evicted": self._evicted_connections,
            "responses_unmatched": self._unmatched_responses,
            "requests_under_way": sum(own.values()),
            "targets_in_use": len(own),
            "targets_known": sum(1 for _ in state.directory),
            "targets_unreachable": len(self._reach_monitor.unreachable()),
            "services_unreachable": len(self._reach_monitor.isolated),
            **{
                f"probes_{outcome}": count
                for outcome, count in self._prober.dump().items()
            },
            "vms_known": self._membership.count,
            "held_bytes": self._held.total,
            "unfinished_head_bytes": self._heads.total,
            "memory_refusals": self._held.refused,
            "utilisation_highest": max(utilisations, default=0.0),
            "utilisation_mean": sum(utilisations) / max(len(utilisations), 1),
            "loop_lag_seconds": round(self._loop_lag, 4),
            "processor_seconds": round(_processor_seconds(), 3),
        }
        for name, value in gauges.items():
            self._metrics.set_gauge(name, value)
        self._metrics.set_rejected(self._cluster.rejected.counts)
        self._metrics.set_retries(self._retry_budgets.counts)
        self._metrics.set_route_gauges(self._leader_role.room.gauges())

    async def _handle_peer_call(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        if peer_forwarding.origin(incoming):
            return await self._handle_forwarded(incoming)
        path = incoming.target.decode("latin-1")
        if path == messages.LEADER_CONTACT_PATH:
            contact = self._membership.leader_contact()
            return http_server.Response(200, _JSON, messages.encode(contact))
        handler = self._peer_handlers.get(path)
        if handler is None:
            return http_server.Response(404)
        kind, handle = handler
        read = messages.decode(incoming.body, kind)
        if isinstance(read, result.Err):
            self._events.write(
                "peers", "message_unreadable", path=path, why=read.err_value
            )
            return http_server.Response(400)
        response = await handle(read.ok_value)
        return http_server.Response(200, _JSON, messages.encode(response))

    async def _handle_forwarded(
        self, incoming: http_server.Request
    ) -> http_server.Response:
        """Handles a caller's request that another VM has forwarded."""
        incoming.forwarded = True
        if self._stopping:
            return self._forwarder.refuse(
                incoming, errors.Failure(errors.ErrorKind.SHUTTING_DOWN)
            )
        return await self._forwarder.handle(incoming)

    async def _handle_report(
        self, report: messages.Report
    ) -> messages.ReportReply:
        return self._leader_role.handle_report(report)

    async def _handle_update(
        self, update: messages.ReportReply
    ) -> messages.UpdateAck:
        self._membership.apply_push(update)
        return messages.UpdateAck()


async def run(
    daemon: Daemon,
    reload: Callable[[], None],
    file_version: Callable[[], int],
) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.

    SIGHUP and a change of the settings file reload the settings; SIGUSR1 writes
    the state to the log.

    Args:
        daemon: The daemon.
        reload: Reloads the settings.
        file_version: Returns a number that changes with the settings file.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, daemon.log_dump)
    loop.set_exception_handler(daemon.log_failure)
    await daemon.start()
    daemon.watch_settings(reload, file_version)
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD_0, _GC_THRESHOLD_1, _GC_THRESHOLD_2)
    await stop_requested.wait()
    await daemon.stop()


async def _watch_settings_file(
    reload: Callable[[], None], file_version: Callable[[], int]
) -> None:
    seen = file_version()
    while True:
        await asyncio.sleep(_SETTINGS_POLL_SECONDS)
        current = file_version()
        if current != seen:
            seen = current
            reload()


def _processor_seconds() -> float:
    """Returns the processor time used by this process, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
