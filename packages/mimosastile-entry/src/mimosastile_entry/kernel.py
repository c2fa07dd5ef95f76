"""The micro-kernel: services that find each other by name."""

from collections.abc import Iterator
import graphlib
from typing import Any
from typing import Protocol

from absl import logging

_PREFIX = "kernel:"


class Service(Protocol):
    """A part of the daemon.

    Attributes:
        name: The name under which others find it.
        needs: Names of services that must run before it starts.
    """

    name: str
    needs: tuple[str, ...]

    async def start(self, kernel: "Kernel") -> None:
        """Starts the service; all its needs have started."""

    async def stop(self) -> None:
        """Stops the service; everything that needs it has stopped."""

    def dump(self) -> dict[str, Any]:
        """Returns its part of the state dump, free of secrets."""


class Passive:
    """Base of services that have nothing to start or stop.

    Attributes:
        name: The name under which others find it.
        needs: Names of services that must run before it starts.
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
        """Has no state of its own."""
        return {}


class MissingServiceError(LookupError):
    """A service was asked for, or needed, that is not registered."""


class Kernel:
    """Registry and life cycle of the services of one daemon.

    A test or a foreign bench replaces a service by registering another one
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
        """Starts all services, each after its needs.

        Raises:
            MissingServiceError: A service needs one that is not registered.
            graphlib.CycleError: Services need each other in a circle.
        """
        for service in self._in_order():
            await service.start(self)
            self._started.append(service)
            logging.info("%s started %s.", _PREFIX, service.name)

    async def stop(self) -> None:
        """Stops the started services in reverse order.

        One that fails to stop is logged and does not keep the others from
        stopping.
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

    def _in_order(self) -> Iterator[Service]:
        graph = {s.name: s.needs for s in self._services.values()}
        for name in graphlib.TopologicalSorter(graph).static_order():
            yield self.find(name)
