"""Filters the targets that may run a request, before load balancing.

Filters by zone and region come first. Then come those that concern single
targets: targets that the request was already sent to, cold targets, limited
targets and those in backoff, and unreachable targets.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
import math

import result

from mimosastile_core import errors
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import sampling
from mimosastile_core.gateway import warmup
from mimosastile_gateway import admission_service
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import pending
from mimosastile_gateway import settings

_EXCLUDED_RETRY_AFTER_SECONDS = 1.0
"""Retry-After of a request that no target may run because of its zone or
region, or because all targets leave. Operators change the former, new targets
replace leaving ones, and the keys of a service move within about a second."""
_MEMBERSHIP_DISCOVERY_SECONDS = 0.5
"""Time within which a VM that has started learns the number of VMs."""

_CacheKey = tuple[str, tuple[str, ...]]


class Candidates:
    """Filters targets by zone, region, backoff, rate limit and warm-up."""

    __slots__ = (
        "_admission",
        "_cluster",
        "_clock",
        "_cold_sends",
        "_vm_count",
        "_sampling_pools",
        "_eligible_targets",
        "_balancer",
        "_settings",
    )

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        cluster: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        admission: admission_service.AdmissionService,
        timer: clock.Clock,
        vm_count: Callable[[], int],
    ) -> None:
        """Creates filters that follow a VM's view of the cluster.

        Args:
            gateway_settings: Settings of this VM.
            cluster: This VM's view of the cluster.
            balancer: Loads of targets.
            admission: Gives this VM's address, by which it is recognized as the
                gate of a target.
            timer: The clock.
            vm_count: Returns the number of VMs.
        """
        self._settings = gateway_settings
        self._cluster = cluster
        self._balancer = balancer
        self._admission = admission
        self._clock = timer
        self._vm_count = vm_count
        self._cold_sends = warmup.SendRate()
        self._eligible_targets: dict[_CacheKey, list[directory.Target]] = {}
        self._sampling_pools: dict[
            tuple[str, tuple[str, ...], str], sampling.Pool
        ] = {}
        cluster.subscribe(self._clear_caches)

    def record_send(self, target: directory.Target, *, admitted: bool) -> None:
        """Counts a request that is sent to a target against its limits.

        Args:
            target: The target.
            admitted: Whether its gate has admitted the request, and counted it.
        """
        now = self._clock.now()
        if self._cluster.cold_seconds(target.id):
            self._cold_sends.record(target.id, now)
        rate_limiter = self._cluster.limits.limiter(target.id, target.born)
        if rate_limiter is None or admitted:
            return
        gate = self._balancer.gate(target.id, now)
        if gate == self._admission.address:
            rate_limiter.take(now)
        else:
            rate_limiter.take_share(
                self._vm_count(), now, without_sender=gate is None
            )

    def choose_limited(self, call: pending.Call) -> directory.Target | None:
        """Returns a target if all that may run a request have a rate limit.

        The request then waits at the gate of that target. Otherwise load
        balancing chooses among the targets that can take it now. Targets are
        drawn at random, weighted by their limits.

        Args:
            call: A request without a key.
        """
        limiter_of = self._cluster.limits.limiter
        if not self._cluster.limits.any:
            return None
        untried = self.untried(call, self._clock.now())
        rate_limiters = {t.id: limiter_of(t.id, t.born) for t in untried}
        if not untried or not all(rate_limiters.values()):
            return None

        def random_rate(target: directory.Target) -> float:
            limiter = rate_limiters[target.id]
            return limiter.rate * self._clock.random() if limiter else 0.0

        return max(untried, key=random_rate)

    def _clear_caches(self) -> None:
        self._eligible_targets = {}
        self._sampling_pools = {}

    def eligible(
        self, call: pending.Call, now: float
    ) -> list[directory.Target]:
        """Returns the targets that may run a request without a key."""
        regions = call.route.regions
        key = call.service.name, regions
        targets = self._eligible_targets.get(key)
        if targets is not None:
            return targets
        allows = self._cluster.eligibility.allows
        targets = self._cluster.directory.usable(
            call.service.name, now, lambda t: allows(t.zone, regions)
        )
        if targets and self._cluster.directory.is_ready(targets[0].id):
            # All are ready then. While none is ready, the result changes with
            # time and must not be cached.
            self._eligible_targets[key] = targets
        return targets

    def untried(self, call: pending.Call, now: float) -> list[directory.Target]:
        """Returns the targets not yet tried, or all if every one was tried.

        Args:
            call: The request.
            now: The time.
        """
        service = call.service.name
        usable = self.eligible(call, now)
        if call.service.keyed:
            # A target that owns no keys runs no requests of a keyed service.
            assignment = self._cluster.assignments.get(service)
            owners = set(assignment.owners) if assignment else set()
            usable = [t for t in usable if t.id in owners]
        not_tried = [t for t in usable if t.id not in call.tried_targets]
        return not_tried or usable

    def sample(
        self, call: pending.Call, found_full: Collection[str]
    ) -> list[directory.Target]:
        """Returns a random sample of the targets that may run a request.

        Args:
            call: The request.
            found_full: Identifiers of targets that were just found full.
        """
        now = self._clock.now()
        route = call.route
        latency = route.target_latency or math.inf
        key = call.service.name, route.regions, route.name
        pool = self._sampling_pools.get(key)
        if pool is None:
            pool = sampling.pool(
                self.eligible(call, now),
                self._settings.vm.id,
                lambda t: self._balancer.distance(t, route.name, latency),
            )
            if key[:2] in self._eligible_targets:
                self._sampling_pools[key] = pool

        def is_unavailable(target: directory.Target) -> bool:
            return (
                target.id in found_full
                or self._balancer.load(target.id).backoff_until > now
                or self.send_wait(target, call) > 0
            )

        count = self._balancer.policy.probes
        sampled = sampling.sample(
            pool,
            count,
            self._clock.random,
            lambda t: t.id in call.tried_targets or is_unavailable(t),
        )
        return sampled or sampling.sample(
            pool, count, self._clock.random, is_unavailable
        )

    def send_wait(self, target: directory.Target, call: pending.Call) -> float:
        """Returns the seconds until this VM may send without a permit."""
        wait = self._cold_wait(target, call)
        if self._cluster.limits.any:
            wait = max(wait, self._limit_wait(target))
        if self._cluster.backoffs.any:
            wait = max(wait, self.backoff_wait(target))
        return wait

    def backoff_wait(self, target: directory.Target) -> float:
        """Returns the seconds left of a target's backoff towards this VM."""
        backoffs = self._cluster.backoffs
        return backoffs.seconds_left(target.id, target.born, self._clock.now())

    def _limit_wait(self, target: directory.Target) -> float:
        """Returns the seconds until a target's limit allows this VM to send."""
        rate_limiter = self._cluster.limits.limiter(target.id, target.born)
        if rate_limiter is None:
            return 0.0
        now = self._clock.now()
        gate = self._balancer.gate(target.id, now)
        if gate == self._admission.address:
            return rate_limiter.wait(now)
        vms = self._vm_count()
        if vms == 1:
            # This VM leads and is the only sender, or has not received the
            # membership yet.
            return _MEMBERSHIP_DISCOVERY_SECONDS
        return rate_limiter.share_wait(vms, now, without_sender=gate is None)

    def _cold_wait(self, target: directory.Target, call: pending.Call) -> float:
        """Returns the seconds until this VM may send to a cold target.

        Returns:
            0 for a warm target. For a cold one, the time until its rate allows
            another request, or until it is warm if another VM sends to it.
        """
        cold = self._cluster.cold_seconds(target.id)
        if not cold:
            return 0.0
        now = self._clock.now()
        if self._balancer.gate(target.id, now) != self._admission.address:
            return cold
        rate = call.service.cold_rate
        return min(self._cold_sends.wait(target.id, rate, now), cold)

    def owner(
        self, call: pending.Call, *, include_excluded: bool = False
    ) -> directory.Target | None:
        """Returns the owner of a request's key if it may get the request.

        Args:
            call: The request.
            include_excluded: Whether to return an owner also if its zone or
                region excludes it.
        """
        assert call.key is not None
        owner = self._cluster.owner(call.service.name, call.key)
        if owner is None:
            return None
        target_directory = self._cluster.directory
        entry = target_directory.get(owner)
        if entry is None or not target_directory.may_get_work(
            owner, self._clock.now()
        ):
            return None
        target = entry.target
        regions = call.route.regions
        if not include_excluded and self._cluster.owner_excluded(
            target.zone, regions
        ):
            return None
        return target

    def exclusion_failure(
        self, call: pending.Call, now: float
    ) -> result.Err[errors.Failure] | None:
        """Refuses a request that no target may get.

        All targets are excluded by their zone or region, or leave.

        Returns:
            The refusal; None if any target may run the request.
        """
        regions = call.route.regions
        if call.key is not None:
            return self._owner_exclusion_failure(call)
        target_directory = self._cluster.directory
        if self.eligible(call, now):
            return None
        if target_directory.all_leave(call.service.name):
            return _refuse_excluded(
                f"all targets of {call.service.name} are leaving"
            )
        reasons = collections.Counter(
            exclusion.value
            for target in target_directory.ready(call.service.name)
            if (
                exclusion := self._cluster.eligibility.exclusion(
                    target.zone, regions
                )
            )
        )
        if not reasons:
            return None
        summary = ", ".join(f"{n} {reason}" for reason, n in reasons.items())
        return _refuse_excluded(
            f"no eligible target of {call.service.name}: {summary}"
        )

    def _owner_exclusion_failure(
        self, call: pending.Call
    ) -> result.Err[errors.Failure] | None:
        """Refuses a request for a key whose owner may not run it.

        Returns:
            The refusal; None if the owner may run it, or the key is about to
            move.
        """
        owner = self.owner(call, include_excluded=True)
        if owner is None:
            return None
        exclusion = self._cluster.owner_excluded(owner.zone, call.route.regions)
        if exclusion is None:
            return None
        evacuated = exclusion is eligibility.Exclusion.EVACUATED
        if evacuated and self._cluster.eligible_owners(call.service):
            return None
        return _refuse_excluded(
            f"{owner.id} in {owner.zone} is {exclusion.value}"
        )


def _refuse_excluded(detail: str) -> result.Err[errors.Failure]:
    """Returns the refusal of a request that none of its targets may get."""
    kind = errors.ErrorKind.NO_TARGET
    return result.Err(
        errors.Failure(kind, detail, _EXCLUDED_RETRY_AFTER_SECONDS)
    )
