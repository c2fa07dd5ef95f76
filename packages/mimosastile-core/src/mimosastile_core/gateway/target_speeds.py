"""Measured speeds of targets: estimates of each VM, joined by the leader.

With hundreds of VMs each one gets a few responses a minute from a target, and
single service times vary by their own mean. So no VM knows a target's speed
well, but all together do: VMs report what they have measured since their last
report, and the leader joins the samples. A leader that has just started gets
all standing estimates with the first reports, and a VM that has not measured a
target gets the joined one.

Requests that wait are measured too, since targets are never idle when speeds
matter most. A request that finds `n` requests at a target of `c` slots, its own
included, takes about `n / c` service times.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import math
import statistics

import msgspec

FACTOR_BOUNDS = (0.1, 20.0)
"""Bounds on a service time relative to the mean."""
_MAX_OCCUPANCY = 4.0
"""Upper bound on the service times that a request is assumed to have taken, as
counts may be wrong."""
_COUNTED_WEIGHT = 0.3
"""Weight of a response whose wait follows from counts of other VMs only, which
are some tenths of a second old."""
_STANDING_SAMPLES = 12.0
"""Samples that a VM's standing estimate is worth at most: those that a moving
mean retains."""
_STEADY_SECONDS = 45.0
"""Time constant of the joined means. It makes speeds exact within a tenth at a
few responses per second."""
_RECENT_REPORTS = 8
_RECENT_SECONDS = 10.0
"""Number and age of the last reports on a target that show a change. Their
median is compared, as a single VM may be wrong."""
_MIN_RECENT_REPORTS = 3
_CHANGE_DEVIATIONS = 3.0
"""Standard errors by which the median must differ from the mean, with service
times that vary by their own mean. A target that becomes much slower responds
rarely; three reports are enough for a sixfold change."""
_PRIOR_SAMPLES = 8.0
"""Samples that the assumption of a mean speed is worth until a change is seen.
The first few estimates of equal targets would otherwise differ by half."""
_MAX_DEVIATION = 3.0
"""Ratio to the joined estimate up to which one report counts in full."""
_MAX_REPORT_SHARE = 2.0
"""Samples of one report that count, relative to the mean of all reports: one VM
with false samples must not outweigh the others."""
_MIN_REPORT_SAMPLES = 2.0
_KNOWN_SAMPLES = 8.0
"""Samples from which a joined estimate is passed on to VMs."""
_MAX_PASSED_ON = 64
"""Maximum number of estimates in one response to a report, and of standing
estimates in one report."""


class SpeedSample(msgspec.Struct, frozen=True, array_like=True):
    """What one VM has measured of a target's speed.

    Attributes:
        factor: Service time relative to the mean of all targets; 2 means twice
            as slow.
        samples: Number of responses that the factor is based on; 0 for none.
        age: Seconds since the last of them.
    """

    factor: float
    samples: float
    age: float


class Occupancy(msgspec.Struct, frozen=True):
    """How long a request was at a target, in service times.

    Attributes:
        service_times: The estimate, 1 if it did not wait.
        weight: Weight of the response as a sample, from 0 to 1.
    """

    service_times: float
    weight: float = 1.0


def occupancy(slots: int, found: int, *, gated: bool) -> Occupancy:
    """Estimates how long a request was at its target.

    The load in a target's response is of no use for it: that many requests
    arrived while this one was there. A target that gets few requests would seem
    slow, and be given even fewer.

    Args:
        slots: Number of requests that the target runs at a time.
        found: Requests of all VMs there when it was sent, its own included, as
            far as known; 0 if unknown.
        gated: Whether a gate admitted it. The gate's count is exact.
    """
    if not found:
        return Occupancy(1.0, 0.0)
    if found <= slots:
        return Occupancy(1.0)
    service_times = min(found / slots, _MAX_OCCUPANCY)
    return Occupancy(service_times, 1.0 if gated else _COUNTED_WEIGHT)


class SpeedMeter:
    """One VM's samples of targets' speeds, and its standing estimates."""

    __slots__ = ("_standing", "_unreported")

    def __init__(self) -> None:
        """Makes a meter without samples."""
        self._unreported: dict[str, tuple[float, float]] = {}
        self._standing: dict[str, tuple[float, float, float]] = {}

    def record(
        self, target: str, ratio: float, weight: float, now: float
    ) -> None:
        """Records the service time of a response.

        Args:
            target: Identifier of the target.
            ratio: Service time relative to the mean of such requests.
            weight: Weight of the response, from 0 to 1.
            now: The time.
        """
        low, high = FACTOR_BOUNDS
        ratio = min(max(ratio, low), high)
        total, count = self._unreported.get(target, (0.0, 0.0))
        self._unreported[target] = (total + ratio * weight, count + weight)
        total, count, _ = self._standing.get(target, (0.0, 0.0, now))
        keep = 1 - weight / _STANDING_SAMPLES
        self._standing[target] = (
            total * keep + ratio * weight,
            count * keep + weight,
            now,
        )

    def retain(self, targets: Iterable[str]) -> None:
        """Drops targets that no longer exist."""
        kept = set(targets)
        for name in self._standing.keys() - kept:
            del self._standing[name]
            self._unreported.pop(name, None)

    def take(self, now: float, *, standing: bool) -> dict[str, SpeedSample]:
        """Returns what to report, and resets what was recorded for it.

        Args:
            now: The time.
            standing: Whether to return standing estimates, for a leader that
                has none, instead of the samples since the last report. Their
                number is bounded; which they are differs between VMs.
        """
        unreported, self._unreported = self._unreported, {}
        if standing:
            return {
                name: _sample(total, count, now - at)
                for name, (total, count, at) in itertools.islice(
                    self._standing.items(), _MAX_PASSED_ON
                )
                if count
            }
        return {
            name: _sample(total, count, 0.0)
            for name, (total, count) in unreported.items()
            if count
        }


def _sample(total: float, count: float, age: float) -> SpeedSample:
    return SpeedSample(round(total / count, 3), round(count, 2), round(age, 1))


class _Mean:
    """A mean in which samples lose weight with time."""

    __slots__ = ("at", "count", "seconds", "total")

    def __init__(self, seconds: float, now: float) -> None:
        self.total = 0.0
        self.count = 0.0
        self.seconds = seconds
        self.at = now

    @property
    def value(self) -> float:
        return self.total / self.count if self.count else 1.0

    def add(self, value: float, samples: float, now: float) -> None:
        keep = math.exp(min(self.at - now, 0.0) / self.seconds)
        self.at = now
        self.total = self.total * keep + value * samples
        self.count = self.count * keep + samples


class _Joined:
    """The samples of one target from all VMs."""

    __slots__ = ("prior", "recent", "steady")

    def __init__(self, now: float) -> None:
        self.prior = _PRIOR_SAMPLES
        self.steady = _Mean(_STEADY_SECONDS, now)
        self.recent: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_RECENT_REPORTS
        )

    @property
    def factor(self) -> float:
        """The estimate; an uncertain one is near 1."""
        count = self.steady.count + self.prior
        return (self.steady.total + self.prior) / count if count else 1.0

    def add(self, factor: float, samples: float, now: float) -> None:
        """Adds samples of one VM; resets the mean after a change of speed."""
        self.recent.append((factor, now))
        known = self.factor
        bounded = min(
            max(factor, known / _MAX_DEVIATION), known * _MAX_DEVIATION
        )
        self.steady.add(bounded, samples, now)
        recent = [f for f, at in self.recent if now - at < _RECENT_SECONDS]
        if len(recent) < _MIN_RECENT_REPORTS:
            return
        median = statistics.median(recent)
        change = abs(math.log(median / self.steady.value))
        if change > _CHANGE_DEVIATIONS / math.sqrt(len(recent)):
            self.prior = 0.0
            bound = median * _MAX_DEVIATION
            self.steady.total = sum(min(f, bound) for f in recent)
            self.steady.count = float(len(recent))


class JoinedSpeeds:
    """The leader's estimates of all targets' speeds."""

    __slots__ = ("_joined", "_known_by_vm", "_mean_samples")

    def __init__(self) -> None:
        """Makes estimates without samples."""
        self._joined: dict[str, _Joined] = {}
        self._known_by_vm: dict[str, tuple[str, set[str]]] = {}
        self._mean_samples = 1.0

    def record(
        self, vm: str, boot: str, samples: Mapping[str, SpeedSample], now: float
    ) -> None:
        """Joins the samples of one report.

        Args:
            vm: The reporting VM.
            boot: Its incarnation.
            samples: Its samples by target.
            now: The time.
        """
        known = self._known(vm, boot)
        low, high = FACTOR_BOUNDS
        for target, sample in samples.items():
            if not (sample.samples > 0 and low <= sample.factor <= high):
                continue
            known.add(target)
            most = max(
                _MAX_REPORT_SHARE * self._mean_samples, _MIN_REPORT_SAMPLES
            )
            count = min(sample.samples, most)
            self._mean_samples += (count - self._mean_samples) * 0.01
            count *= math.exp(-max(sample.age, 0.0) / _STEADY_SECONDS)
            joined = self._joined.get(target)
            if joined is None:
                joined = self._joined[target] = _Joined(now)
            joined.add(sample.factor, count, now)

    def retain(self, targets: Iterable[str], vms: Iterable[str]) -> None:
        """Drops targets and VMs that no longer exist."""
        kept = set(targets)
        self._joined = {t: j for t, j in self._joined.items() if t in kept}
        for vm in self._known_by_vm.keys() - set(vms):
            del self._known_by_vm[vm]
        for _, known in self._known_by_vm.values():
            known &= kept

    def factors(self) -> dict[str, float]:
        """Returns each measured target's service time relative to the mean."""
        return {target: j.factor for target, j in self._joined.items()}

    def unmeasured(
        self, vm: str, boot: str, now: float
    ) -> dict[str, SpeedSample]:
        """Returns estimates that a VM neither measured nor received yet."""
        known = self._known(vm, boot)
        missing = {
            target: SpeedSample(
                round(joined.factor, 3),
                round(joined.steady.count, 1),
                round(max(now - joined.steady.at, 0.0), 1),
            )
            for target, joined in self._joined.items()
            if target not in known and joined.steady.count >= _KNOWN_SAMPLES
        }
        passed = dict(itertools.islice(missing.items(), _MAX_PASSED_ON))
        known.update(passed)
        return passed

    def _known(self, vm: str, boot: str) -> set[str]:
        """Returns the targets whose speeds an incarnation of a VM knows."""
        recorded = self._known_by_vm.get(vm)
        if recorded is None or recorded[0] != boot:
            recorded = self._known_by_vm[vm] = (boot, set())
        return recorded[1]
