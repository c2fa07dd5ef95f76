"""Notices views of the store that nobody refreshes."""

from collections.abc import Iterable

from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import events
from mimosastile_gateway import settings

_REPORTS = 2.0
"""Reports that may be lost before the age of a leader's view has arrived."""
_READERS = 10
"""Mean number of VMs that read the store because of a leader's outdated view.
Hundreds would fill the link between regions."""
_DISTRUST_SECONDS = 30.0
"""Time for which a VM reads the store itself after its leader has stated an
outdated view. The views of the VMs that do so reach the leader, whose own may
stand still all the same."""


class ViewMonitor:
    """Compares the ages of this VM's views with a bound, and logs changes.

    Attributes:
        outdated: Names of the views that are older than the bound.
    """

    __slots__ = (
        "_chosen",
        "_clock",
        "_cluster",
        "_distrusted_until",
        "_events",
        "_settings",
        "outdated",
    )

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
        self._chosen = False
        self._distrusted_until = float("-inf")
        self.outdated: frozenset[str] = frozenset()

    def distrusts_leader(
        self, ages: Iterable[float | None], report_interval: float, vms: int
    ) -> bool:
        """Whether this VM reads the store itself because of its leader's views.

        A leader may go on without noticing that its views stand still. A few
        VMs that read the store are enough, as their views reach the leader.

        Args:
            ages: Ages in seconds of the views that the leader has just stated,
                None for those that were never complete.
            report_interval: Mean seconds between two reports to the leader.
            vms: Number of VMs.
        """
        now = self._clock.now()
        bound = self._bound(report_interval)
        if now >= self._distrusted_until and any(
            age is not None and age > bound for age in ages
        ):
            self._distrusted_until = now + _DISTRUST_SECONDS
            self._chosen = self._clock.random() * vms < _READERS
        return self._chosen and now < self._distrusted_until

    def _bound(self, report_interval: float) -> float:
        """Returns the age in seconds from which a view is outdated."""
        return self._settings.view_age_most + _REPORTS * report_interval

    def update(self, report_interval: float, *, follows_store: bool) -> None:
        """Compares the ages now.

        Args:
            report_interval: Mean seconds between two reports to the leader.
            follows_store: Whether this VM reads the store itself.
        """
        bound = self._bound(report_interval)
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
