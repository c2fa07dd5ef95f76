"""Service registry with dependency-ordered start and stop."""

from collections.abc import Iterator
import graphlib
from typing import Any
from typing import Protocol

from absl import logging

_PREFIX = "kernel:"


class Service(Protocol):
    """Component of the daemon with a life cycle.

    Attributes:
        name: Name under which the service is registered.
        needs: Names of services that must be started before it.
    """

    name: str
    needs: tuple[str, ...]

    async def start(self, kernel: "Kernel") -> None:
        """Starts the service after all services that it needs."""

    async def stop(self) -> None:
        """Stops the service after all services that need it."""

    def dump(self) -> dict[str, Any]:
        """Returns the service's part of the state dump, without secrets."""


class Passive:
    """Base class of services without start or stop actions.

    Attributes:
        name: Name under which the service is registered.
        needs: Names of services that must be started before it.
    """

    __slots__ = ("name", "needs")

    def __init__(self, name: str, needs: tuple[str, ...] = ()) -> None:
        self.name = name
        self.needs = needs

    async def start(self, kernel: "Kernel") -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def dump(self) -> dict[str, Any]:
        """Returns no state."""
        return {}


class MissingServiceError(LookupError):
    """A requested or needed service is not registered."""


class Kernel:
    """Registry and life cycle of the services of one daemon.

    Tests and external benchmarks replace a service by registering another one
    under the same name before `start`.
    """

    __slots__ = ("_services", "_started")

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, service: Service) -> None:
        """Adds a service, or replaces the one of the same name."""
        self._services[service.name] = service

    def find(self, name: str) -> Any:
        """Returns the service with a name.

        Raises:
            MissingServiceError: No service of that name is registered.
        """
        try:
            return self._services[name]
        except KeyError:
            raise MissingServiceError(f"no service named {name!r}") from None

    async def start(self) -> None:
        """Starts all services, each after the services that it needs.

        Raises:
            MissingServiceError: A service needs one that is not registered.
            graphlib.CycleError: The needs of the services form a cycle.
        """
        for service in self._in_dependency_order():
            await service.start(self)
            self._started.append(service)
            logging.info("%s started %s.", _PREFIX, service.name)

    async def stop(self) -> None:
        """Stops the started services in reverse order.

        If a service fails to stop, the error is logged and the remaining
        services are stopped nevertheless.
        """
        while self._started:
            service = self._started.pop()
            try:
                await service.stop()
            except Exception:
                logging.exception("%s %s did not stop.", _PREFIX, service.name)

    def dump(self) -> dict[str, Any]:
        """Returns the state of all started services by name."""
        return {service.name: service.dump() for service in self._started}

    def _in_dependency_order(self) -> Iterator[Service]:
        graph = {s.name: s.needs for s in self._services.values()}
        for name in graphlib.TopologicalSorter(graph).static_order():
            yield self.find(name)
