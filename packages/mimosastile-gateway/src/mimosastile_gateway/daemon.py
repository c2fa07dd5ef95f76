"""Assembles a gateway daemon and runs it until it is told to stop."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import gc
import itertools
import resource
import signal

import msgspec

from mimosastile_core.gateway import crash_detection
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import target_feedback
from mimosastile_gateway import admission_service
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
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
from mimosastile_gateway import ports
from mimosastile_gateway import settings
from mimosastile_gateway import store_watching
from mimosastile_gateway import wait_queues

_TRIM_SECONDS = 1.0
_TRAFFIC_TURNS = 5
"""Such turns between two log lines on the bytes of own calls."""
_COLLECT_AFTER = 20_000
_YOUNG = 20
_OLD = 50
"""Thresholds of the garbage collector's generations: requests leave few
cycles, and each run of it walks through everything."""
_LAST_ANSWER_SECONDS = 0.15
"""Time before the end of a stop by which the last answers leave."""
_IDLE_MOST = 5.0
_FILE_SECONDS = 1.0
"""Seconds between two looks whether the settings file has changed; half of the
time within which changes of the configuration have to be in force."""
_JSON = ((b"content-type", b"application/json"),)
_TEXT = ((b"content-type", b"text/plain; version=0.0.4"),)


class Adapter(msgspec.Struct, frozen=True):
    """What a platform's adapter provides.

    Attributes:
        headers: Names of headers.
        store: Makes the store's client out of the connections.
        orders: Makes the client for orders to targets.
        health: Makes the client for their health checks.
        read_notice: Reads what a target says of itself in an answer's
            headers.
        records: Reads what operators and targets wrote.
        readiness_path: Path of the balancer's question.
    """

    headers: ports.HeaderNames
    store: Callable[[http_client.Pool], ports.StorePort]
    orders: Callable[[http_client.Pool], ports.OrderPort]
    health: Callable[[http_client.Pool], ports.HealthPort]
    read_notice: Callable[
        [Iterable[tuple[bytes, bytes]]], target_feedback.TargetFeedback
    ]
    records: ports.RecordPort
    readiness_path: str


class Daemon:
    """One gateway process.

    Attributes:
        callers_address: Where callers are served, once it has started.
    """

    __slots__ = (
        "_adapter",
        "_admission",
        "_cluster",
        "_callers",
        "_channel",
        "_clock",
        "_events",
        "_forwarder",
        "_inner",
        "_lag",
        "_leader_role",
        "_metrics",
        "_observed",
        "_order_pool",
        "_membership",
        "_pool",
        "_ready",
        "_balancer",
        "_settings",
        "_stopping",
        "_trim",
        "_watcher",
        "callers_address",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        adapter: Adapter,
        log: events.Events | None = None,
        timer: clock.Clock | None = None,
    ) -> None:
        """Makes a daemon that is not started.

        Args:
            configured: Its settings.
            adapter: The platform's adapter.
            log: Where it logs; standard output if None.
            timer: Its clock; the real one if None.
        """
        vm = configured.vm
        self._settings = configured
        self._adapter = adapter
        self._events = log or events.Events(vm.id)
        self._clock = timer or clock.Clock()
        self._pool = http_client.Pool(configured.requests.silent)
        # A full target resets new connections. Requests that took those of
        # orders would then cost it its grants.
        self._order_pool = http_client.Pool(configured.requests.silent)
        self._metrics = metrics.Metrics(self._events.counts, self._pool.traffic)
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
        self._leader_role = leader_role.LeaderRole(
            configured,
            boot,
            store,
            adapter.orders(self._order_pool),
            calls,
            self._cluster,
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
        crashes = crash_detection.CrashDetector()
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
            crashes,
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
            load_probing.LoadProber(
                adapter.health(self._pool),
                self._cluster,
                self._balancer,
                self._clock,
                self._events,
            ),
        )
        self._forwarder = forwarding.Forwarder(
            configured,
            adapter.headers,
            adapter.read_notice,
            self._pool,
            self._cluster,
            self._balancer,
            self._membership,
            dispatcher,
            crashes,
            self._metrics,
            self._clock,
            self._events,
        )
        self._callers = http_server.Server(self._forwarder.handle)
        self._ready = http_server.Server(self._readiness)
        self._inner = http_server.Server(self._peer_call)
        self._observed = http_server.Server(self._observe)
        self.callers_address = ""
        self._stopping = False
        self._trim: asyncio.Task[None] | None = None
        self._lag = 0.0

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return (
            not self._stopping
            and self._cluster.configuration is not None
            and any(True for _ in self._cluster.directory)
        )

    async def start(self) -> None:
        """Begins to listen and to learn."""
        vm = self._settings.vm
        inner = await self._inner.listen(vm.peers)
        self._membership.listens_on(inner)
        try:
            await self._channel.open(inner, self._admission.receive)
        except OSError as error:
            # Peers take a gate that does not answer for lost and send to its
            # targets by themselves.
            self._events.write("daemon", "no_datagrams", why=str(error))
        await self._ready.listen(vm.readiness)
        self.callers_address = await self._callers.listen(vm.callers)
        try:
            await self._observed.listen(vm.metrics)
        except OSError as error:
            # Callers go before metrics.
            self._events.write("daemon", "no_metrics", why=str(error))
        self._cluster.subscribe(self._on_change)
        self._watcher.start()
        self._membership.start()
        self._trim = asyncio.create_task(self._trim_on(), name="trim")
        self._events.write(
            "daemon",
            "started",
            zone=vm.zone,
            cpu_ms=round(_processor_seconds() * 1000),
        )

    async def stop(self) -> None:
        """Stops gracefully: no request that was taken is cut off."""
        grace = self._settings.bounds.grace - self._settings.stop.reserve
        began = self._clock.now()
        self._stopping = True
        self._callers.stopping = True
        self._admission.stopping = True
        self._forwarder.end_by(began + grace - _LAST_ANSWER_SECONDS)
        self._events.write("daemon", "stopping", grace=grace)
        await asyncio.gather(
            self._leader_role.hand_over(min(1.5, grace / 2)),
            asyncio.sleep(min(self._settings.stop.notice, grace / 2)),
        )
        self._callers.stop_listening()
        self._callers.close_idle()
        while self._callers.busy and self._clock.now() - began < grace:
            await asyncio.sleep(0.02)
        self._leader_role.step_down("this daemon stops")
        self._watcher.stop()
        await self._membership.stop()
        if self._trim is not None:
            self._trim.cancel()
        self._events.write(
            "daemon",
            "stopped",
            seconds=round(self._clock.now() - began, 2),
            cut=self._callers.busy,
        )
        for server in (self._callers, self._ready, self._inner):
            server.stop_listening()
            server.close_idle()
        self._channel.close()
        self._pool.close()
        self._order_pool.close()

    def abort(self) -> None:
        """Ends everything at once, as the end of the process would."""
        self._leader_role.step_down("this daemon ends")
        self._watcher.stop()
        self._membership.abort()
        if self._trim is not None:
            self._trim.cancel()
        for server in (
            self._callers,
            self._ready,
            self._inner,
            self._observed,
        ):
            server.stop_listening()
            server.abort()
        self._channel.close()
        self._pool.close()
        self._order_pool.close()

    def take_settings(self, new: settings.GatewaySettings) -> None:
        """Takes settings that were read again.

        The platform's bounds apply at once. Addresses and the rest take effect
        with the next start: connections and listeners stand on them.

        Args:
            new: The settings.
        """
        held = self._settings
        changed = [
            name
            for name in held.__struct_fields__
            if getattr(held, name) != getattr(new, name)
        ]
        if "bounds" in changed:
            held.bounds = new.bounds
            self._cluster.set_drain(new.bounds.drain)
        self._events.write(
            "daemon",
            "settings_read",
            changed=changed,
            at_next_start=[name for name in changed if name != "bounds"],
        )

    def log_dump(self) -> None:
        """Writes the state dump to the log."""
        self._events.write("daemon", "state", state=self.dump())

    def dump(self) -> dict[str, object]:
        """Returns the state of all parts."""
        known = self._cluster
        configuration = known.configuration
        return {
            "vm": self._settings.vm.id,
            "ready": self.ready,
            "configuration": configuration.version if configuration else None,
            "registrations_age": known.registrations_age,
            "configuration_age": known.configuration_age,
            "leader": msgspec.to_builtins(known.leader),
            "vms": sorted(known.vms),
            "targets": {
                entry.target.id: entry.standing.value
                for entry in known.directory
            },
            "assignments": known.versions(),
            "evacuated_zones": known.evacuations.zones,
            "cold_targets": {
                name: round(known.cold_seconds(name), 2)
                for name in known.cold_targets()
            },
            "target_limits": known.limits.dump(),
            "allowed_regions": {
                route.name: route.regions
                for route in (configuration.routes if configuration else ())
                if route.regions
            },
            "store_ok": known.store_ok,
            "leading": self._leader_role.dump(),
            "forwarding": self._forwarder.dump(),
            "gates": self._admission.dump(),
            "connections_opened": self._pool.opened,
            "log_lines_dropped": self._events.dropped,
        }

    def _on_change(self) -> None:
        configuration = self._cluster.configuration
        if configuration is not None:
            self._callers.limits = configuration.limits

    async def _trim_on(self) -> None:
        for turn in itertools.count(1):
            asked = self._clock.now()
            await asyncio.sleep(_TRIM_SECONDS)
            if turn % _TRAFFIC_TURNS == 0:
                self._log_traffic()
            # A sample: a loop that is busy shows it in most of them.
            self._lag = self._clock.now() - asked - _TRIM_SECONDS
            self._pool.trim(_IDLE_MOST)
            self._order_pool.trim(_IDLE_MOST)
            known = [entry.target.id for entry in self._cluster.directory]
            self._balancer.forget_except(known)

    def _log_traffic(self) -> None:
        """Logs the bytes of own calls since the start."""
        counted = self._pool.traffic
        self._events.write(
            "daemon",
            "traffic",
            paths={
                path: (sent, counted[path, "received"])
                for (path, direction), sent in counted.items()
                if direction == "sent"
            },
        )

    # What others ask.

    async def _readiness(
        self, incoming: http_server.Incoming
    ) -> http_server.Outgoing:
        asked = incoming.target.decode("latin-1")
        if asked != self._adapter.readiness_path:
            return http_server.Outgoing(404)
        return http_server.Outgoing(200 if self.ready else 503)

    async def _observe(
        self, incoming: http_server.Incoming
    ) -> http_server.Outgoing:
        if incoming.target == b"/metrics":
            self._set_gauges()
            text = self._metrics.text().encode()
            return http_server.Outgoing(200, _TEXT, text)
        if incoming.target == b"/state":
            body = msgspec.json.encode(self.dump())
            return http_server.Outgoing(200, _JSON, body)
        return http_server.Outgoing(404)

    def _set_gauges(self) -> None:
        known = self._cluster
        own = self._balancer.own()
        ages = {
            "registrations_age_seconds": known.registrations_age,
            "configuration_age_seconds": known.configuration_age,
        }
        gauges = {
            **{name: age for name, age in ages.items() if age is not None},
            "configuration_version": max(known.version, 0),
            "ready": self.ready,
            "leading": self._leader_role.is_leader,
            "store_reached": known.store_ok,
            "log_lines_dropped": self._events.dropped,
            "connections_opened": self._pool.opened,
            "requests_under_way": sum(own.values()),
            "targets_in_use": len(own),
            "targets_known": sum(1 for _ in known.directory),
            "vms_known": self._membership.count,
            "loop_lag_seconds": round(self._lag, 4),
            "processor_seconds": round(_processor_seconds(), 3),
        }
        for name, value in gauges.items():
            self._metrics.gauge(name, value)

    async def _peer_call(
        self, incoming: http_server.Incoming
    ) -> http_server.Outgoing:
        path = incoming.target.decode("latin-1")
        try:
            answer = await self._answer_peer(path, incoming.body)
        except msgspec.DecodeError as error:
            self._events.write(
                "peers", "message_unreadable", path=path, why=str(error)
            )
            return http_server.Outgoing(400)
        if answer is None:
            return http_server.Outgoing(404)
        return http_server.Outgoing(200, _JSON, messages.encode(answer))

    async def _answer_peer(
        self, path: str, body: bytes
    ) -> msgspec.Struct | None:
        if path == messages.REPORT_PATH:
            report = messages.decode(body, messages.Report)
            return self._leader_role.handle_report(report)
        if path == messages.ASSIGN_PATH:
            told = messages.decode(body, messages.ReportReply)
            self._membership.apply_push(told)
            return messages.UpdateAck()
        if path == messages.RELAY_PATH:
            return await self._membership.relay(
                messages.decode(body, messages.Relay)
            )
        if path == messages.HEARD_PATH:
            return self._membership.leader_contact()
        if path == messages.EXTEND_PATH:
            return await self._leader_role.witness.handle_request(
                messages.decode(body, messages.ExtensionRequest)
            )
        return None


async def run(
    daemon: Daemon,
    reload: Callable[[], None],
    stamp: Callable[[], int],
) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.

    SIGHUP has the settings read again, and so has a change of their file;
    SIGUSR1 writes the state to the log.

    Args:
        daemon: The daemon.
        reload: Reads the settings again.
        stamp: Returns a number that changes with their file.
    """
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    loop.add_signal_handler(signal.SIGINT, ended.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, daemon.log_dump)
    await daemon.start()
    following = asyncio.create_task(_follow_file(reload, stamp))
    gc.collect()
    gc.freeze()
    gc.set_threshold(_COLLECT_AFTER, _YOUNG, _OLD)
    await ended.wait()
    following.cancel()
    await daemon.stop()


async def _follow_file(
    reload: Callable[[], None], stamp: Callable[[], int]
) -> None:
    known = stamp()
    while True:
        await asyncio.sleep(_FILE_SECONDS)
        found = stamp()
        if found != known:
            known = found
            reload()


def _processor_seconds() -> float:
    """Returns what this process has used of the processor."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
