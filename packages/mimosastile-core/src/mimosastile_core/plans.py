"""Per-service configuration compiled for look-ups on the request path."""

from collections.abc import Mapping

import msgspec

from mimosastile_core import config
from mimosastile_core import retries


class Treatment(msgspec.Struct, frozen=True):
    """Settings that apply to a request by its route and method.

    Attributes:
        priority: Priority class of the request.
        idempotent: Whether the request may safely run twice.
    """

    priority: config.Priority
    idempotent: bool


class Plan:
    """Compiled configuration of one service, longest route prefix first.

    Attributes:
        name: Name of the service.
        service: Its configuration.
        budget: Retry budget of this VM; kept across configuration changes.
    """

    __slots__ = ("_routes", "_treatments", "budget", "name", "service")

    def __init__(
        self, name: str, service: config.Service, budget: retries.Budget
    ) -> None:
        self.name = name
        self.service = service
        self.budget = budget
        self._routes = sorted(
            service.routes, key=lambda r: len(r.prefix), reverse=True
        )
        self._treatments: dict[tuple[int, str], Treatment] = {}

    def treatment(self, path: str, method: str) -> Treatment:
        """Returns the settings for a request.

        Args:
            path: Path after the service's name, beginning with a slash.
            method: HTTP method.
        """
        for at, route in enumerate(self._routes):
            method_matches = not route.methods or method in route.methods
            if method_matches and path.startswith(route.prefix):
                return self._cached_treatment(at, route, method)
        return self._cached_treatment(-1, config.Route(), method)

    def _cached_treatment(
        self, at: int, route: config.Route, method: str
    ) -> Treatment:
        treatment = self._treatments.get((at, method))
        if treatment is None:
            treatment = Treatment(
                route.priority, config.is_idempotent(route, method)
            )
            # Callers may send arbitrary methods, so the cache is bounded.
            if len(self._treatments) < len(self._routes) * 16 + 16:
                self._treatments[at, method] = treatment
        return treatment


def compile_plans(
    document: config.Document, former: Mapping[str, Plan]
) -> dict[str, Plan]:
    """Returns the plans of all services and reuses unchanged ones.

    Args:
        document: The configuration.
        former: The previous plans, whose retry budgets are carried over.
    """
    return {
        name: _compile(name, service, former.get(name))
        for name, service in document.services.items()
    }


def _compile(name: str, service: config.Service, former: Plan | None) -> Plan:
    if former is None:
        return Plan(name, service, retries.Budget(service.retry))
    if former.service == service:
        return former
    return Plan(name, service, former.budget)
