"""Targets that may run a request, before their load is looked at.

Filters by place come first, then those that concern single targets: what the
request was sent to already, cold targets, targets that cannot be reached.
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

_NO_PLACE_SECONDS = 1.0
"""Retry-After of a request that no target may run because of its place, or
since all leave: operators change that, others take the place of those that
leave, and the keys of a service move within about a second."""
_NOBODY_SECONDS = 0.5
"""Time within which a VM that has started hears how many there are."""

_Key = tuple[str, tuple[str, ...]]


class Candidates:
    """Filters the targets of requests."""

    __slots__ = (
        "_admission",
        "_cluster",
        "_clock",
        "_cold_sends",
        "_count",
        "_pools",
        "_ready",
        "_balancer",
        "_settings",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        known: cluster_state.ClusterState,
        balancer: load_balancing.LoadBalancer,
        admission: admission_service.AdmissionService,
        timer: clock.Clock,
        count: Callable[[], int],
    ) -> None:
        """Makes filters that follow what a VM knows.

        Args:
            configured: Settings of this VM.
            known: What this VM believes.
            balancer: Loads of targets.
            admission: Knows this VM's address as the only sender of a target.
            timer: The clock.
            count: Returns how many VMs there are.
        """
        self._settings = configured
        self._cluster = known
        self._balancer = balancer
        self._admission = admission
        self._clock = timer
        self._count = count
        self._cold_sends = warmup.SendRate()
        self._ready: dict[_Key, list[directory.Target]] = {}
        self._pools: dict[tuple[str, tuple[str, ...], str], sampling.Pool] = {}
        known.subscribe(self._forget_ready)

    def sent(self, target: directory.Target, *, admitted: bool) -> None:
        """Notes a request that is sent to a target.

        Args:
            target: The target.
            admitted: Whether its gate has admitted it, and counted it.
        """
        now = self._clock.now()
        if self._cluster.cold_seconds(target.id):
            self._cold_sends.note(target.id, now)
        pace = self._cluster.limits.pace(target.id, target.born)
        if pace is None or admitted:
            return
        gate = self._balancer.gate(target.id, now)
        if gate == self._admission.address:
            pace.take(now)
        else:
            pace.take_share(self._count(), now, alone=gate is None)

    def only_limited(self, call: pending.Call) -> directory.Target | None:
        """Returns a target if all that may run a request have named a limit.

        A request then waits for its turn at the gate of one, in place of
        those that go where there is room.

        Args:
            call: A request without a key.
        """
        pace = self._cluster.limits.pace
        if not self._cluster.limits.any:
            return None
        untried = self.untried(call, self._clock.now())
        paces = {t.id: pace(t.id, t.born) for t in untried}
        if not untried or not all(paces.values()):
            return None

        def drawn(target: directory.Target) -> float:
            found = paces[target.id]
            return found.rate * self._clock.random() if found else 0.0

        return max(untried, key=drawn)

    def _forget_ready(self) -> None:
        self._ready = {}
        self._pools = {}

    def eligible(
        self, call: pending.Call, now: float
    ) -> list[directory.Target]:
        """Returns the targets that may run a request without a key."""
        regions = call.route.regions
        key = call.service.name, regions
        found = self._ready.get(key)
        if found is not None:
            return found
        allows = self._cluster.eligibility.allows
        found = self._cluster.directory.usable(
            call.service.name, now, lambda t: allows(t.zone, regions)
        )
        if found and self._cluster.directory.is_ready(found[0].id):
            # All are ready then. Without a ready one the choice changes with
            # the time.
            self._ready[key] = found
        return found

    def untried(self, call: pending.Call, now: float) -> list[directory.Target]:
        """Returns targets that a request was not sent to, or else all.

        Args:
            call: The request.
            now: The time.
        """
        service = call.service.name
        usable = self.eligible(call, now)
        if call.service.keyed:
            # A target without keys runs nothing.
            assignment = self._cluster.assignments.get(service)
            owners = set(assignment.owners) if assignment else set()
            usable = [t for t in usable if t.id in owners]
        fresh = [t for t in usable if t.id not in call.tried]
        return fresh or usable

    def draw(
        self, call: pending.Call, asked: Collection[str]
    ) -> list[directory.Target]:
        """Returns targets that may run a request, at random.

        Args:
            call: The request.
            asked: Those that have just been found full.
        """
        now = self._clock.now()
        route = call.route
        latency = route.target_latency or math.inf
        key = call.service.name, route.regions, route.name
        drawn = self._pools.get(key)
        if drawn is None:
            drawn = sampling.pool(
                self.eligible(call, now),
                self._settings.vm.id,
                lambda t: self._balancer.distance(t, route.name, latency),
            )
            if key[:2] in self._ready:
                self._pools[key] = drawn

        def unfit(target: directory.Target) -> bool:
            return (
                target.id in asked
                or self._balancer.load(target.id).rest_until > now
                or self.send_wait(target, call) > 0
            )

        count = self._balancer.policy.probes
        found = sampling.sample(
            drawn,
            count,
            self._clock.random,
            lambda t: t.id in call.tried or unfit(t),
        )
        return found or sampling.sample(drawn, count, self._clock.random, unfit)

    def send_wait(self, target: directory.Target, call: pending.Call) -> float:
        """Returns the seconds until this VM may send to a target by itself."""
        wait = self._cold_wait(target, call)
        if self._cluster.limits.any:
            wait = max(wait, self._limit_wait(target))
        if self._cluster.backoffs.any:
            wait = max(wait, self.rest_wait(target))
        return wait

    def rest_wait(self, target: directory.Target) -> float:
        """Returns for how many seconds a target wants nothing from this VM."""
        backoffs = self._cluster.backoffs
        return backoffs.left(target.id, target.born, self._clock.now())

    def _limit_wait(self, target: directory.Target) -> float:
        """Returns the seconds until a target's limit lets this VM send."""
        pace = self._cluster.limits.pace(target.id, target.born)
        if pace is None:
            return 0.0
        now = self._clock.now()
        gate = self._balancer.gate(target.id, now)
        if gate == self._admission.address:
            return pace.wait(now)
        vms = self._count()
        if vms == 1:
            # It leads and is the sender, or knows nobody yet.
            return _NOBODY_SECONDS
        return pace.share_wait(vms, now, alone=gate is None)

    def _cold_wait(self, target: directory.Target, call: pending.Call) -> float:
        """Returns the seconds until this VM may send to a cold target.

        Returns:
            0 for a warm one; for a cold one, until its rate allows another
            request, or until it is warm if another VM sends to it.
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
        self, call: pending.Call, *, excluded: bool = False
    ) -> directory.Target | None:
        """Returns the owner of a request's key that may get it.

        Args:
            call: The request.
            excluded: Whether one that may not run it because of its place is
                returned as well.
        """
        assert call.key is not None
        owner = self._cluster.owner(call.service.name, call.key)
        if owner is None:
            return None
        known = self._cluster.directory
        entry = known.get(owner)
        if entry is None or not known.may_get_work(owner, self._clock.now()):
            return None
        target = entry.target
        regions = call.route.regions
        if not excluded and self._cluster.owner_excluded(target.zone, regions):
            return None
        return target

    def excluded(
        self, call: pending.Call, now: float
    ) -> result.Err[errors.Failure] | None:
        """Refuses a request that no target may get, by place or as it leaves.

        Returns:
            The refusal; None if some target may run it.
        """
        regions = call.route.regions
        if call.key is not None:
            return self._owner_excluded(call)
        known = self._cluster.directory
        if self.eligible(call, now):
            return None
        if known.all_leave(call.service.name):
            return _no_place(f"all targets of {call.service.name} leave")
        reasons = collections.Counter(
            why.value
            for target in known.ready(call.service.name)
            if (
                why := self._cluster.eligibility.exclusion(target.zone, regions)
            )
        )
        if not reasons:
            return None
        counted = ", ".join(f"{n} {why}" for why, n in reasons.items())
        return _no_place(f"targets of {call.service.name}: {counted}")

    def _owner_excluded(
        self, call: pending.Call
    ) -> result.Err[errors.Failure] | None:
        """Refuses a request for a key whose owner may not run it.

        Returns:
            The refusal; None if the owner may, or the key is about to move.
        """
        owner = self.owner(call, excluded=True)
        if owner is None:
            return None
        why = self._cluster.owner_excluded(owner.zone, call.route.regions)
        if why is None:
            return None
        evacuated = why is eligibility.Exclusion.EVACUATED
        if evacuated and self._cluster.eligible_owners(call.service):
            return None
        return _no_place(f"{owner.id} in {owner.zone} is {why.value}")


def _no_place(detail: str) -> result.Err[errors.Failure]:
    """Refuses a request that none of its targets may get."""
    kind = errors.ErrorKind.NO_TARGET
    return result.Err(errors.Failure(kind, detail, _NO_PLACE_SECONDS))
