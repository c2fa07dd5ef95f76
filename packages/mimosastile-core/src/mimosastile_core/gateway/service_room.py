"""Division of a service's capacity among the routes that use it."""

import msgspec


class RouteDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one route for one service, as one VM has received them.

    Attributes:
        rate: Requests per second, refused ones included.
        work: Mean service time in seconds.
    """

    rate: float
    work: float


class RouteShare(msgspec.Struct, frozen=True, array_like=True):
    """What a route may use of a service.

    Attributes:
        rate: Requests per second of all VMs together; infinite while the
            service has capacity for all that is requested.
        part: Part of it that the receiving VM may use, from 0 to 1.
    """

    rate: float
    part: float
