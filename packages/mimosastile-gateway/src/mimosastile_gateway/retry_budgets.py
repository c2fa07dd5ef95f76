"""This VM's parts of the retry budgets of all services."""

from collections.abc import Mapping

from mimosastile_core.gateway import retry_budget
from mimosastile_gateway import clock
from mimosastile_gateway import events
from mimosastile_gateway import membership
from mimosastile_gateway import pending
from mimosastile_gateway import settings

_RETRY_RATIO_SHARE = 0.95
"""Share of the ratio that is used. The rest covers requests and retries that
are on their way for up to a fifteenth of the window."""
_MAX_FLOOR = 1.0
"""Most retries that a VM may keep without recent requests. As each VM needs at
most one to serve rare requests, the bound does not depend on the list of VMs
while there are fewer VMs than fixed retries."""
_FIXED_RETRY_SHARE = 0.5
"""Share of the fixed retries that VMs may keep in total, so that a list may
lack half of them."""


class RetryBudgets:
    """Counts requests and retries of each service, and allows retries."""

    __slots__ = (
        "_budgets",
        "_clock",
        "_counts",
        "_events",
        "_logged",
        "_membership",
        "_settings",
    )

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        own_membership: membership.Membership,
        timer: clock.Clock,
        event_log: events.EventLog,
    ) -> None:
        """Creates budgets without any requests.

        Args:
            gateway_settings: Settings, with the bounds on retries of all VMs
                together.
            own_membership: Knows the number of VMs.
            timer: The clock.
            event_log: The event log.
        """
        self._settings = gateway_settings
        self._membership = own_membership
        self._clock = timer
        self._events = event_log
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._counts: dict[str, retry_budget.RetryCounts] = {}
        self._logged: dict[str, int] = {}

    @property
    def counts(self) -> Mapping[str, retry_budget.RetryCounts]:
        """Counts by service."""
        return self._counts

    def apply_bounds(self) -> None:
        """Applies bounds that have changed; retries have to be earned anew."""
        self._budgets.clear()

    def dump(self) -> dict[str, object]:
        """Returns counts and the retries left of each service."""
        return {name: self._describe(name) for name in sorted(self._counts)}

    def left(self, service: str) -> float:
        """Returns the number of retries that are allowed now."""
        return self._budget(service).left(self._clock.now(), self._floor)

    def record_request(self, service: str) -> None:
        """Counts a request that came from its caller."""
        self._budget(service).request(self._clock.now(), self._floor)
        self._counts_of(service).requests += 1

    def take(self, call: pending.Call) -> bool:
        """Takes a retry of a request if its service's budget has one left.

        Returns:
            Whether the request may be sent again. It always may while no target
            can have received it since the last retry was taken.
        """
        if not call.retry_due:
            return True
        service = call.service.name
        counts = self._counts_of(service)
        if self._budget(service).take(self._clock.now(), self._floor):
            counts.taken += 1
            call.retry_due = False
            return True
        counts.denied += 1
        self._events.write(
            "requests",
            "retry_denied",
            attempt=call.attempt.decode("latin-1"),
            route=call.route.name,
            sends=call.send_count,
            service=service,
            **self._describe(service),
        )
        return False

    def log(self) -> None:
        """Logs the services whose retries have changed since the last time."""
        for name, counts in self._counts.items():
            if counts.retries == self._logged.get(name, 0):
                continue
            self._logged[name] = counts.retries
            self._events.write(
                "requests", "retries", service=name, **self._describe(name)
            )

    def _describe(self, service: str) -> dict[str, object]:
        counts = self._counts_of(service)
        return {
            "requests": counts.requests,
            "taken": counts.taken,
            "denied": counts.denied,
            "left": round(self.left(service), 1),
            "floor": round(self._floor, 2),
            "vms": self._membership.count,
        }

    @property
    def _floor(self) -> float:
        """Retries of a service that this VM may keep without requests."""
        fixed = self._settings.bounds.retry_fixed * _FIXED_RETRY_SHARE
        return min(fixed / self._membership.count, _MAX_FLOOR)

    def _counts_of(self, service: str) -> retry_budget.RetryCounts:
        return self._counts.setdefault(service, retry_budget.RetryCounts())

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._settings.bounds
            budget = self._budgets[service] = retry_budget.RetryBudget(
                bounds.retry_ratio * _RETRY_RATIO_SHARE, bounds.retry_window
            )
        return budget
