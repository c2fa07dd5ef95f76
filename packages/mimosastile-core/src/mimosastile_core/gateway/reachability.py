"""Decides from evidence which targets and services this VM cannot reach.

Failed attempts to open a connection only raise a suspicion: targets that are
full leave new connections hanging, and targets that have crashed refuse them. A
service counts as isolated once attempts at several other targets have failed as
well, and nothing else shows that there is a path.
"""

from collections.abc import Collection
from collections.abc import Iterable
import enum
import math
from typing import TypeVar

import msgspec

from mimosastile_core.gateway import directory

_T = TypeVar("_T")

_SUSPECT_TARGETS = 3
"""Targets of a service that must have failed in a row before its path is
verified. Fewer may have crashed at the same time."""
_VERIFIED_TARGETS = 5
"""Targets at which a verification attempts to connect at the same time."""
_REFUTED_SECONDS = 1.0
"""Time after a verification that found a path in which none begins: while
targets stay full, each one costs attempts at five of them."""
_FAILURE_VALID_SECONDS = 5.0
"""Age up to which a failed attempt counts."""
_SILENT_SECONDS = 0.6
"""Time without any response after which a service whose connections hang is
isolated: targets that are full go on responding over open connections. It is
the time of an attempt that hangs and of one round of verification."""


class Outcome(enum.Enum):
    """How an attempt to open a connection ended."""

    CONNECTED = "connected"
    REFUSED = "refused"
    """It was refused or reset before its timeout."""
    HUNG = "hung"
    """Nothing came back before its timeout, or before its caller gave up."""


class Verdict(enum.Enum):
    """What a round of verification has shown."""

    REACHED = "reached"
    UNDECIDED = "undecided"
    """Connections hang, but a target responded shortly before the round."""
    ISOLATED = "isolated"


class _Failure(msgspec.Struct, frozen=True):
    at: float
    began_at: float
    hung: bool


class _Isolation(msgspec.Struct, frozen=True):
    since: float
    hung: bool


class Reachability:
    """Attempts to connect and responses of one VM, by service and target."""

    __slots__ = (
        "_brief_failures",
        "_failures",
        "_isolated",
        "_reached_at",
        "_refuted_at",
        "_responded_at",
        "_target_responded_at",
    )

    def __init__(self) -> None:
        """Creates a record without attempts."""
        self._reached_at: dict[str, float] = {}
        self._responded_at: dict[str, float] = {}
        self._target_responded_at: dict[str, float] = {}
        self._failures: dict[str, dict[str, _Failure]] = {}
        self._brief_failures: dict[str, dict[str, float]] = {}
        self._refuted_at: dict[str, float] = {}
        self._isolated: dict[str, _Isolation] = {}

    @property
    def isolated(self) -> frozenset[str]:
        """Services of which this VM reaches no target."""
        return frozenset(self._isolated)

    def is_isolated(self, service: str) -> bool:
        """Whether this VM reaches no target of a service."""
        return service in self._isolated

    def hangs(self, service: str) -> bool:
        """Whether a service is isolated as connections to it hang.

        If new connections are refused instead, open ones may live on.
        """
        isolation = self._isolated.get(service)
        return isolation is not None and isolation.hung

    def is_silent(self, service: str, now: float) -> bool:
        """Whether open connections to an isolated service are dead or hang."""
        isolation = self._isolated.get(service)
        return (
            isolation is not None
            and isolation.hung
            and now - isolation.since > _SILENT_SECONDS
        )

    def record_connected(
        self, service: str, target: str, now: float
    ) -> float | None:
        """Records that a connection to a target was opened.

        Args:
            service: Service of the target.
            target: Identifier of the target.
            now: Current time.

        Returns:
            The seconds for which the service was isolated, if this attempt
            ends that; None otherwise.
        """
        self._reached_at[service] = now
        self._failures.get(service, {}).pop(target, None)
        return self._end(service, now)

    def record_response(
        self, service: str, target: str, now: float
    ) -> float | None:
        """Records a response of a target over any connection.

        Args:
            service: Service of the target.
            target: Identifier of the target.
            now: Current time.

        Returns:
            The seconds for which the service was isolated, if this response
            ends that; None otherwise.
        """
        self._responded_at[service] = now
        self._target_responded_at[target] = now
        failures = self._failures.get(service, {})
        failure = failures.get(target)
        if failure is not None and failure.hung:
            del failures[target]
        return self._end(service, now) if self.hangs(service) else None

    def record_failed(
        self,
        service: str,
        target: str,
        targets: int,
        now: float,
        *,
        hung: bool,
        seconds: float = 0.0,
    ) -> bool:
        """Records that no connection to a target could be opened.

        Args:
            service: Service of the target.
            target: Identifier of the target.
            targets: Number of known targets of the service.
            now: Current time.
            hung: Whether the attempt timed out rather than being refused.
            seconds: Duration of the attempt.

        Returns:
            Whether the path to the service has to be verified.
        """
        self._failures.setdefault(service, {})[target] = _Failure(
            now, now - seconds, hung
        )
        return self._is_suspected(service, targets, now)

    def record_brief(
        self, service: str, target: str, targets: int, now: float
    ) -> bool:
        """Records that a short attempt hung, which says little of the target.

        Args:
            service: Service of the target.
            target: Identifier of the target.
            targets: Number of known targets of the service.
            now: Current time.

        Returns:
            Whether the path to the service has to be verified.
        """
        self._brief_failures.setdefault(service, {})[target] = now
        return self._is_suspected(service, targets, now)

    def _is_suspected(self, service: str, targets: int, now: float) -> bool:
        refuted_at = self._refuted_at.get(service, -math.inf)
        if (
            service in self._isolated
            or not targets
            or now - refuted_at < _REFUTED_SECONDS
        ):
            return False
        after = max(
            self._reached_at.get(service, -math.inf),
            now - _FAILURE_VALID_SECONDS,
        )
        hung_after = max(after, self._responded_at.get(service, -math.inf))
        failed = {
            target
            for target, failure in self._failures.get(service, {}).items()
            if failure.at > (hung_after if failure.hung else after)
        }
        failed.update(
            target
            for target, at in self._brief_failures.get(service, {}).items()
            if at > hung_after
        )
        return len(failed) >= min(_SUSPECT_TARGETS, targets)

    def verification_targets(
        self, service: str, targets: Iterable[directory.Target], now: float
    ) -> tuple[directory.Target, ...]:
        """Returns the targets at which a verification attempts to connect.

        Targets without a recent failure come first, and zones in rotation.

        Args:
            service: The service.
            targets: Its targets in random order.
            now: Current time.
        """
        zones: dict[tuple[bool, str], int] = {}
        ranked: list[tuple[bool, int, int, directory.Target]] = []
        for index, target in enumerate(targets):
            age = self._seconds_since_attempt(service, target.id, now)
            failed = age < _FAILURE_VALID_SECONDS
            rank = zones.get((failed, target.zone), 0)
            zones[failed, target.zone] = rank + 1
            ranked.append((failed, rank, index, target))
        ranked.sort(key=lambda entry: entry[:3])
        return tuple(entry[3] for entry in ranked[:_VERIFIED_TARGETS])

    def conclude(
        self,
        service: str,
        began_at: float,
        outcomes: Collection[Outcome],
        now: float,
    ) -> Verdict:
        """Returns what a round of verification has shown, and records it.

        Args:
            service: The service.
            began_at: Time at which the attempts began.
            outcomes: How they ended.
            now: Current time.
        """
        reached = (
            not outcomes
            or Outcome.CONNECTED in outcomes
            or self._reached_at.get(service, -math.inf) >= began_at
        )
        hung = Outcome.HUNG in outcomes
        responded_at = self._responded_at.get(service, -math.inf)
        if reached or (hung and responded_at >= began_at):
            # Failures before the proof of a path count no more.
            self._reached_at[service] = self._refuted_at[service] = now
            return Verdict.REACHED
        if hung and now - responded_at < _SILENT_SECONDS:
            return Verdict.UNDECIDED
        self._isolated[service] = _Isolation(now, hung)
        return Verdict.ISOLATED

    def has_path_since(self, service: str, at: float) -> bool:
        """Whether a target of a service responded or was reached since."""
        return at <= max(
            self._reached_at.get(service, -math.inf),
            self._responded_at.get(service, -math.inf),
        )

    def has_responded(self, service: str, now: float) -> bool:
        """Whether a target of a service responded a moment ago."""
        at = self._responded_at.get(service, -math.inf)
        return now - at < _SILENT_SECONDS

    def target_has_responded(self, target: str, now: float) -> bool:
        """Whether a target responded a moment ago."""
        at = self._target_responded_at.get(target, -math.inf)
        return now - at < _SILENT_SECONDS

    def seconds_since_failure(
        self, service: str, target: str, now: float
    ) -> float:
        """Returns the age of a target's failure; infinite without one.

        A connection that was opened later ends the failure. An attempt that
        hung while the target responded is none: the target is full.
        """
        failure = self._failures.get(service, {}).get(target)
        if failure is None or not self._counts(target, failure):
            return math.inf
        return now - failure.at

    def unreachable(self, now: float) -> frozenset[str]:
        """Returns the targets that could not be reached lately."""
        return frozenset(
            target
            for service, failures in self._failures.items()
            for target, failure in failures.items()
            if service in self._isolated
            or (
                now - failure.at < _FAILURE_VALID_SECONDS
                and self._counts(target, failure)
            )
        )

    def retain(self, targets: Iterable[tuple[str, str]]) -> None:
        """Drops the records of targets and services that no longer exist.

        Args:
            targets: Service and identifier of each target that exists.
        """
        kept = set(targets)
        services = {service for service, _ in kept}
        names = {target for _, target in kept}
        self._failures = {
            service: {
                target: failure
                for target, failure in failures.items()
                if (service, target) in kept
            }
            for service, failures in self._failures.items()
            if service in services
        }
        for failed in self._brief_failures.values():
            _keep(failed, names)
        _keep(self._brief_failures, services)
        _keep(self._reached_at, services)
        _keep(self._refuted_at, services)
        _keep(self._responded_at, services)
        _keep(self._isolated, services)
        _keep(self._target_responded_at, names)

    def _end(self, service: str, now: float) -> float | None:
        isolation = self._isolated.pop(service, None)
        return None if isolation is None else now - isolation.since

    def _counts(self, target: str, failure: _Failure) -> bool:
        responded_at = self._target_responded_at.get(target, -math.inf)
        return not failure.hung or responded_at < failure.began_at

    def _seconds_since_attempt(
        self, service: str, target: str, now: float
    ) -> float:
        failure = self._failures.get(service, {}).get(target)
        return math.inf if failure is None else now - failure.at


def _keep(record: dict[str, _T], names: Collection[str]) -> None:
    """Removes all entries of a record but those of the given names."""
    for name in record.keys() - names:
        del record[name]
