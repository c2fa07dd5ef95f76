"""What the configuration says about a service, prepared for each request."""

from collections.abc import Mapping

import msgspec

from mimosastile_core import config
from mimosastile_core import retries


class Treatment(msgspec.Struct, frozen=True):
    """How one kind of request is treated.

    Attributes:
        priority: Its class.
        idempotent: Whether running it twice does no harm.
    """

    priority: config.Priority
    idempotent: bool


class Plan:
    """One service, with its routes in the order in which they are tried.

    Attributes:
        name: Name of the service.
        service: Its configuration.
        budget: Retries that this VM may make; survives a new configuration.
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
        """Returns how a request is treated.

        Args:
            path: Path after the service's name, beginning with a slash.
            method: HTTP method.
        """
        for at, route in enumerate(self._routes):
            fits = not route.methods or method in route.methods
            if fits and path.startswith(route.prefix):
                return self._known(at, route, method)
        return self._known(-1, config.Route(), method)

    def _known(self, at: int, route: config.Route, method: str) -> Treatment:
        found = self._treatments.get((at, method))
        if found is None:
            found = Treatment(
                route.priority, config.is_idempotent(route, method)
            )
            # A caller may invent methods; their number must not grow memory.
            if len(self._treatments) < len(self._routes) * 16 + 16:
                self._treatments[at, method] = found
        return found


def compile_plans(
    document: config.Document, former: Mapping[str, Plan]
) -> dict[str, Plan]:
    """Returns the plans of all services; unchanged ones are kept.

    Args:
        document: The configuration.
        former: The plans so far, whose budgets are carried over.
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
