"""Notices views of the store that nobody refreshes."""

from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import settings

_REPORTS = 2.0
"""Reports that may be lost before the age of a leader's view has arrived."""


class ViewMonitor:
    """Compares the ages of this VM's views with a bound, and logs changes.

    Attributes:
        outdated: Names of the views that are older than the bound.
    """

    __slots__ = ("_clock", "_cluster", "_events", "_settings", "outdated")

    def __init__(
        self,
        configured: settings.StoreSettings,
        cluster: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        """Creates a monitor that knows of no outdated view.

        Args:
            configured: The bound.
            cluster: This VM's views.
            timer: The clock.
            log: The event log.
        """
        self._settings = configured
        self._cluster = cluster
        self._clock = timer
        self._events = log
        self.outdated: frozenset[str] = frozenset()

    def update(self, report_interval: float, *, follows_store: bool) -> None:
        """Compares the ages now.

        Args:
            report_interval: Mean seconds between two reports to the leader.
            follows_store: Whether this VM reads the store itself.
        """
        bound = self._settings.view_age_most + _REPORTS * report_interval
        state = self._cluster
        ages = {
            "registrations": state.registrations_age,
            "configuration": state.configuration_age,
        }
        outdated = frozenset(
            name
            for name, age in ages.items()
            if age is not None and age > bound
        )
        changed, self.outdated = outdated ^ self.outdated, outdated
        leader = state.leader
        for name in sorted(changed):
            self._events.write(
                "store",
                "view_outdated" if name in outdated else "view_current",
                view=name,
                age=round(ages[name] or 0.0, 3),
                bound=round(bound, 3),
                follows_store=follows_store,
                store_ok=state.store_ok,
                leader=leader.vm if leader else None,
            )
