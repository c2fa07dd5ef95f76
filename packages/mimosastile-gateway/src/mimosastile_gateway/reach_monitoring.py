"""Watches which targets this VM can open connections to."""

import collections

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import reachability
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events


class ReachMonitor:
    """Attributes connection attempts to targets and records their outcome."""

    __slots__ = (
        "_clock",
        "_cluster",
        "_events",
        "_outdated",
        "_reachability",
        "_target_counts",
        "_targets_by_address",
    )

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        timer: clock.Clock,
        event_log: events.EventLog,
    ) -> None:
        """Creates a monitor without any recorded attempt.

        Args:
            cluster: This VM's view of the cluster.
            timer: The clock.
            event_log: The event log.
        """
        self._cluster = cluster
        self._clock = timer
        self._events = event_log
        self._reachability = reachability.Reachability()
        self._targets_by_address: dict[str, directory.Target] = {}
        self._target_counts: collections.Counter[str] = collections.Counter()
        self._outdated = True
        cluster.subscribe(self._mark_outdated)

    @property
    def isolated(self) -> frozenset[str]:
        """Services of which this VM reaches no target."""
        return self._reachability.isolated

    def unreachable(self) -> frozenset[str]:
        """Returns the targets that could not be reached lately."""
        return self._reachability.unreachable(self._clock.now())

    def record_attempt(self, address: str, connected: bool) -> None:
        """Records the outcome of an attempt to open a connection.

        Args:
            address: Host and port.
            connected: Whether the connection was opened.
        """
        if self._outdated:
            self._update_targets()
        target = self._targets_by_address.get(address)
        if target is None:
            # The store or another VM.
            return
        now = self._clock.now()
        service = target.service
        if connected:
            seconds = self._reachability.record_connected(
                service, target.id, now
            )
            if seconds is not None:
                self._events.write(
                    "targets",
                    "service_reached",
                    service=service,
                    target=target.id,
                    after=round(seconds, 3),
                )
            return
        if self._reachability.record_failed(
            service, target.id, self._target_counts[service], now
        ):
            self._events.write(
                "targets",
                "service_unreachable",
                service=service,
                targets=self._target_counts[service],
                unreachable=len(self._reachability.unreachable(now)),
            )

    def _mark_outdated(self) -> None:
        self._outdated = True

    def _update_targets(self) -> None:
        """Rebuilds the index by address; most changes need no rebuild."""
        self._outdated = False
        entries = list(self._cluster.directory)
        self._targets_by_address = {e.target.address: e.target for e in entries}
        self._target_counts = collections.Counter(
            entry.target.service
            for entry in entries
            if entry.status is directory.TargetStatus.READY
        )
        self._reachability.retain(
            (entry.target.service, entry.target.id) for entry in entries
        )
