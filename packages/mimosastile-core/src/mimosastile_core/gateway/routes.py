"""Routes from a request's host and longest path prefix to a service."""

import enum

import msgspec


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once without harm."""
        return self is not RouteKind.NON_IDEMPOTENT


class Part(msgspec.Struct, frozen=True):
    """One of the services among which a route divides its requests.

    Attributes:
        service: Name of the service.
        weight: The service's share is this over the sum of all weights.
    """

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Settings for the requests of one host and path prefix.

    Attributes:
        name: Name in logs.
        host: Host header that the route applies to, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may be repeated.
        parts: Services that its requests go to, at least one.
        timeout: Longest time in seconds from arrival to the final response.
        target_latency: Time in seconds within which a response is on time.
        attempts: Most targets that one request may be sent to.
        priority: Rank; 0 is the most urgent.
        regions: Regions in which its requests may be run; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    parts: tuple[Part, ...]
    timeout: float
    target_latency: float
    attempts: int = 2
    priority: int = 0
    regions: tuple[str, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """A service behind the gateway.

    Attributes:
        name: Its name.
        health_path: Path of its health check.
        connections: Connections that one target takes from all callers.
        keyed: Whether its targets own ranges of keys.
        warm_seconds: For how long keys are slow at a new owner that got them
            without a handover.
        cold_seconds: For how long a target is cold after its start.
        cold_rate: Requests a second that a cold target tolerates; 0 for no
            bound.
    """

    name: str
    health_path: str = "/health"
    connections: int = 120
    keyed: bool = False
    warm_seconds: float = 0.0
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the requests of a caller.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body.
        header_seconds: Longest time for a head to arrive.
        idle_seconds: Longest time that a connection may be idle.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 64 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operators' configuration.

    Attributes:
        version: Increases with each change.
        routes: All routes.
        services: Services by name.
        limits: Limits on callers.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = {}
    limits: CallerLimits = CallerLimits()


class RouteTable:
    """Finds the route of a request."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: tuple[Route, ...] = ()) -> None:
        """Makes a table.

        Args:
            routes: All routes; of two with the same host and prefix the last
                one applies.
        """
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path.

        Args:
            host: Host header; a port in it is ignored.
            path: Path without query.
        """
        name = host.partition(":")[0].lower()
        prefixes = self._by_host.get(name)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


class WeightedShares:
    """Divides a route's requests among its parts in exact proportion.

    Smooth weighted round robin: after any number of requests each part is less
    than one request off its share. Random selection of the parts would be off
    by several percent over a few hundred requests.
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple[Part, ...]], list[float]] = {}

    def next(self, route: Route) -> str:
        """Returns the service that gets the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        credits = self._credits.setdefault(
            (route.name, parts), [0.0] * len(parts)
        )
        for index, part in enumerate(parts):
            credits[index] += part.weight
        winner = max(range(len(parts)), key=credits.__getitem__)
        credits[winner] -= sum(part.weight for part in parts)
        return parts[winner].service

    def keep(self, routes: tuple[Route, ...]) -> None:
        """Drops the state of routes that are no longer configured."""
        configured = {(route.name, route.parts) for route in routes}
        self._credits = {
            k: v for k, v in self._credits.items() if k in configured
        }
