"""Detects from connection attempts which targets this VM cannot reach.

Only attempts to open a connection count. Connections that are open may live on
while new ones fail, and a response that does not come may have other causes.
"""

from collections.abc import Iterable
import math

_ISOLATION_TARGETS = 3
"""Targets of a service that must have failed in a row for the service to count
as unreachable. Fewer may have crashed at the same time."""
_FAILURE_VALID_SECONDS = 5.0
"""Age up to which a failed attempt counts."""


class Reachability:
    """The last connection attempts of one VM, by service and target."""

    __slots__ = ("_connected_at", "_failures", "_isolated")

    def __init__(self) -> None:
        """Creates a record without attempts."""
        self._connected_at: dict[str, float] = {}
        self._failures: dict[str, dict[str, float]] = {}
        self._isolated: dict[str, float] = {}

    @property
    def isolated(self) -> frozenset[str]:
        """Services of which this VM reaches no target."""
        return frozenset(self._isolated)

    def is_isolated(self, service: str) -> bool:
        """Whether this VM reaches no target of a service."""
        return service in self._isolated

    def isolated_seconds(self, service: str, now: float) -> float | None:
        """Returns for how long no target was reached; None if one is."""
        since = self._isolated.get(service)
        return None if since is None else now - since

    def record_connected(
        self, service: str, target: str, now: float
    ) -> float | None:
        """Records that a connection to a target was opened.

        Args:
            service: Service of the target.
            target: Identifier of the target.
            now: Current time.

        Returns:
            The seconds for which the service was unreachable, if this attempt
            ends that; None otherwise.
        """
        self._connected_at[service] = now
        self._failures.get(service, {}).pop(target, None)
        since = self._isolated.pop(service, None)
        return None if since is None else now - since

    def record_failed(
        self, service: str, target: str, targets: int, now: float
    ) -> bool:
        """Records that no connection to a target could be opened.

        Args:
            service: Service of the target.
            target: Identifier of the target.
            targets: Number of known targets of the service.
            now: Current time.

        Returns:
            Whether the service has just become unreachable.
        """
        failures = self._failures.setdefault(service, {})
        failures[target] = now
        if service in self._isolated:
            return False
        connected_at = self._connected_at.get(service, -math.inf)
        after = max(connected_at, now - _FAILURE_VALID_SECONDS)
        failed_in_a_row = sum(1 for at in failures.values() if at > after)
        if failed_in_a_row < min(_ISOLATION_TARGETS, targets):
            return False
        self._isolated[service] = now
        return True

    def seconds_since_failure(
        self, service: str, target: str, now: float
    ) -> float:
        """Returns the age of a target's failure; infinite without one.

        A connection that was opened later ends the failure.
        """
        at = self._failures.get(service, {}).get(target)
        return math.inf if at is None else now - at

    def unreachable(self, now: float) -> frozenset[str]:
        """Returns the targets that could not be reached lately."""
        return frozenset(
            target
            for service, failures in self._failures.items()
            for target, at in failures.items()
            if service in self._isolated or now - at < _FAILURE_VALID_SECONDS
        )

    def retain(self, targets: Iterable[tuple[str, str]]) -> None:
        """Drops the records of targets and services that no longer exist.

        Args:
            targets: Service and identifier of each target that exists.
        """
        kept = set(targets)
        services = {service for service, _ in kept}
        self._failures = {
            service: {
                target: at
                for target, at in failures.items()
                if (service, target) in kept
            }
            for service, failures in self._failures.items()
            if service in services
        }
        for record in (self._connected_at, self._isolated):
            for service in record.keys() - services:
                del record[service]
