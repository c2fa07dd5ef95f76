"""What all VMs together send to a target that has named a limit."""

import asyncio

import pytest

from mimosastile_core.gateway import target_feedback
from mimosastile_standins import virtual
from tests.gateway import fakes
from tests.gateway import fleet

CONTACT_SECONDS = 3.0
"""From the first naming until all VMs keep to it."""
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
"""After a VM has passed on an answer that names it, its requests count."""


def most_beyond(target, since):
    """Returns how many requests over its bound a target got in some window.

    Args:
        target: The target.
        since: When it first named a limit.
    """
    told = {}
    for at, vm, said in target.responses:
        if b"server-limit" in said:
            told.setdefault(vm, at)
    counted = [
        arrival.at
        for arrival in target.arrivals
        if arrival.vm in told and arrival.at >= told[arrival.vm] + TOLD_SECONDS
    ]
    rate = float(target.extra_headers["server-limit"])
    allowed = 1.5 * rate * WINDOW_SECONDS + 5
    return max(
        (
            sum(end - WINDOW_SECONDS < at <= end for at in counted) - allowed
            for end in counted
            if end >= since + CONTACT_SECONDS
        ),
        default=-allowed,
    )


def _play(scenario, vms, **sizes):
    async def main():
        made = fleet.Fleet(vms, **sizes)
        await made.ready()
        await scenario(made)
        made.end()

    virtual.run(main())


def _limit(target, rate):
    """Has a target name a limit; returns when."""
    target.extra_headers["server-limit"] = str(rate)
    return virtual.now()


def _share(target, since, until):
    """Returns the requests a second that a target got."""
    got = sum(since <= a.at < until for a in target.arrivals)
    return got / (until - since)


class TestAllVmsTogether:
    """A limit holds for the sum over all VMs."""

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("rate", [6.1, 0.4])
    def test_owner_of_keys(self, vms, rate):
        """Guards against VMs that each send what a target takes in all."""

        async def scenario(made):
            await made.call(2.0, 120.0, "/s", fleet.any_key)
            target = made.owner()
            named = _limit(target, rate)
            await made.call(12.0, 120.0, "/s", fleet.any_key)
            assert most_beyond(target, named) <= 0

        _play(scenario, vms)

    @pytest.mark.parametrize("vms", [10, 88, 300])
    @pytest.mark.parametrize("rate", [6.1, 0.4])
    def test_target_without_keys(self, vms, rate):
        """Guards against the same where any target may run a request."""

        async def scenario(made):
            await made.call(2.0, 120.0, "/p")
            target = made.targets["p0"]
            named = _limit(target, rate)
            await made.call(12.0, 120.0, "/p")
            assert most_beyond(target, named) <= 0
            assert made.statuses == {200: sum(made.statuses.values())}

        _play(scenario, vms)

    def test_requests_without_a_key_to_an_owner_of_keys(self):
        """Guards against requests that pass a bound on those with a key."""

        async def scenario(made):
            await made.call(2.0, 60.0, "/s", fleet.any_key)
            target = made.owner()
            named = _limit(target, 6.1)
            await asyncio.gather(
                made.call(12.0, 60.0, "/s", fleet.any_key),
                made.call(12.0, 60.0, "/s"),
            )
            assert most_beyond(target, named) <= 0

        _play(scenario, 10)

    def test_only_target_of_a_service(self):
        """Guards against a bound that is dropped where there is no choice."""

        async def scenario(made):
            await made.call(2.0, 40.0, "/p")
            target = made.targets["p0"]
            named = _limit(target, 6.1)
            await made.call(12.0, 40.0, "/p")
            assert most_beyond(target, named) <= 0
            assert _share(target, named + 4.0, named + 12.0) > 3.0
            assert made.statuses.keys() == {200, 503}
            assert min(made.refusals) > 0

        _play(scenario, 10, plain=1)

    @pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6])
    def test_vms_that_hear_nobody(self, seed):
        """Guards against cut-off VMs that each take the whole for theirs.

        Their leader goes on for some time while the others have a new one.
        """

        async def scenario(made):
            await made.call(2.0, 120.0, "/s", fleet.any_key)
            target = made.owner()
            made.isolate(*list(made.vms)[:15])
            named = _limit(target, 6.1)
            await made.call(12.0, 200.0, "/s", fleet.any_key)
            assert most_beyond(target, named) <= 0

        _play(scenario, 20, seed=seed)

    def test_gate_and_leader_are_lost(self):
        """Guards against an old sender and its follower that both send."""

        async def scenario(made):
            await made.call(2.0, 120.0, "/s", fleet.any_key)
            target = made.owner()
            named = _limit(target, 6.1)
            calling = asyncio.create_task(
                made.call(16.0, 120.0, "/s", fleet.any_key)
            )
            for _ in range(3):
                await asyncio.sleep(4.0)
                gates = made.leader().balancer._gates
                gate = made.vms.get(gates.get(target.id))
                for lost in {made.leader(), gate or made.leader()}:
                    made.vms.pop(lost.name).end()
            await calling
            assert most_beyond(target, named) <= 0

        _play(scenario, 12)

    def test_vms_that_start(self):
        """Guards against VMs that start while a limit is named."""

        async def scenario(made):
            await made.call(2.0, 120.0, "/s", fleet.any_key)
            target = made.owner()
            named = _limit(target, 3.1)
            calling = asyncio.create_task(
                made.call(14.0, 120.0, "/s", fleet.any_key)
            )
            for number in range(10):
                await asyncio.sleep(1.0)
                made.add_vm(f"vm-9{number}")
            await calling
            assert most_beyond(target, named) <= 0

        _play(scenario, 5)


class TestDisorder:
    """Limits while VMs are killed, cut off and started, and the store fails."""

    @pytest.mark.parametrize("seed", [1, 5, 13])
    def test_series(self, seed):
        """Guards against faults in series in which the sum is exceeded."""

        async def scenario(made):
            await made.call(2.0, 150.0, "/s", fleet.any_key)
            calling = [
                asyncio.create_task(
                    made.call(14.0, 120.0, "/s", fleet.any_key)
                ),
                asyncio.create_task(made.call(14.0, 60.0, "/p")),
                asyncio.create_task(made.call(14.0, 15.0, "/s")),
            ]
            limited = [
                (target, _limit(target, made.rng.choice((0.4, 2.6, 6.1))))
                for target in made.rng.sample(list(made.targets.values()), 3)
            ]
            for number in range(9):
                await asyncio.sleep(made.rng.uniform(0.3, 1.5))
                self._disturb(made, number)
            self._heal(made)
            await asyncio.gather(*calling)
            assert [b for t, s in limited if (b := most_beyond(t, s)) > 0] == []

        _play(scenario, 12, seed=seed)

    def _disturb(self, made, number):
        alive = sorted(made.vms)
        what = made.rng.choice(("kill", "cut", "heal", "start", "store"))
        if what == "kill" and len(alive) > 6:
            made.vms.pop(made.rng.choice(alive)).end()
        elif what == "cut":
            made.isolate(*made.rng.sample(alive, len(alive) // 3))
        elif what == "heal":
            self._heal(made)
        elif what == "start":
            made.add_vm(f"vm-9{number}")
        elif what == "store":
            made.store.failing = fakes.UNKNOWN

    def _heal(self, made):
        made.cut.clear()
        made.store.failing = None
        for vm in made.vms.values():
            vm.store.failing = None


class TestOtherAnswers:
    """A limit that no answer to a caller's request has named yet."""

    def test_answer_to_an_order(self):
        """Guards against an owner in need whose limit its leader passes by."""

        async def scenario(made):
            target = made.owner()
            made.orders.feedback[target.id] = target_feedback.TargetFeedback(
                limit=3.1, names_limit=True
            )
            await asyncio.sleep(2.0)
            known = [vm.cluster.limits.dump() for vm in made.vms.values()]
            assert all(limits == {target.id: 3.1} for limits in known)

        _play(scenario, 10)


class TestUse:
    """A target in need gets what it takes, and all again afterwards."""

    def test_keys_move_until_the_rest_fits(self):
        """Guards against callers that are refused while others have room."""

        async def scenario(made):
            await made.call(3.0, 120.0, "/s", fleet.any_key)
            target = made.owner()
            named = _limit(target, 6.1)
            await made.call(8.0, 120.0, "/s", fleet.any_key)
            made.statuses.clear()
            await made.call(6.0, 120.0, "/s", fleet.any_key)
            asked = sum(made.statuses.values())
            assert made.statuses[200] > 0.97 * asked
            assert _share(target, named + 8.0, named + 14.0) > 1.0

        _play(scenario, 10)

    @pytest.mark.parametrize("path", ["/s", "/p"])
    def test_limit_is_lifted(self, path):
        """Guards against a limit that outlives its last naming."""

        async def scenario(made):
            key = fleet.any_key if path == "/s" else None
            await made.call(2.0, 120.0, path, key)
            target = made.owner() if key else made.targets["p0"]
            _limit(target, 6.1)
            await made.call(6.0, 120.0, path, key)
            del target.extra_headers["server-limit"]
            lifted = virtual.now()
            await made.call(20.0, 120.0, path, key)
            assert _share(target, lifted + 12.0, lifted + 20.0) > 10.0
            known = [vm.cluster.limits.dump() for vm in made.vms.values()]
            assert not any(known)

        _play(scenario, 10)

    def test_new_run_at_the_same_address(self):
        """Guards against the limit of a run that is over."""

        async def scenario(made):
            await made.call(2.0, 120.0, "/p")
            target = made.targets["p0"]
            _limit(target, 0.4)
            await made.call(5.0, 120.0, "/p")
            del target.extra_headers["server-limit"]
            target.born = 2
            made.apply_target(target.registration)
            began = virtual.now()
            await made.call(4.0, 120.0, "/p")
            assert _share(target, began, began + 4.0) > 10.0

        _play(scenario, 10)

    @pytest.mark.parametrize("rate", ["-3", "many", "1e99", ""])
    def test_limit_that_makes_no_sense(self, rate):
        """Guards against a target that is left alone for a word of nonsense."""

        async def scenario(made):
            target = made.targets["p0"]
            named = _limit(target, rate)
            await made.call(6.0, 120.0, "/p")
            assert _share(target, named, named + 6.0) > 15.0

        _play(scenario, 10)

    def test_no_requests_at_all(self):
        """A limit of 0 is kept, and callers hear at once when to come back."""

        async def scenario(made):
            await made.call(2.0, 60.0, "/p")
            target = made.targets["p0"]
            named = _limit(target, 0)
            asked = await made.call(12.0, 60.0, "/p")
            assert most_beyond(target, named) <= 0
            assert all(task.done() for task in asked)

        _play(scenario, 10, plain=1)
