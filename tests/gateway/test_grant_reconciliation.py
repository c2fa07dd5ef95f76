"""Orders to targets: no key has two owners, whatever is lost on the way."""

import asyncio

import msgspec
import pytest

from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import ranges
from mimosastile_gateway import grant_reconciliation
from mimosastile_standins import virtual
from tests.gateway import fakes

A, B = (ranges.Holder(n, 1, f"{n}:80") for n in "ab")
HALF = 32768


class Rig:
    """One service with two targets, carried out by a leader."""

    def __init__(self, silence=None, zone="z"):
        self.clock = fakes.VirtualClock()
        self.log = fakes.Lines()
        self.orders = fakes.Orders()
        self.cluster = fakes.known(
            self.clock,
            self.log,
            fakes.target("a", zone=zone),
            fakes.target("b"),
        )
        self.alive_at = {}
        self.authority = leadership.LeaderLease(1e9)
        self.authority.confirm(0.0)
        self.reconciler = grant_reconciliation.GrantReconciler(
            fakes.configured(trouble_after=1e9),
            self.orders,
            self.cluster,
            self.clock,
            self.log,
            self.authority,
            silence or former_leaders.FormerLeaders(0.0),
            self.alive_at,
            lambda: None,
        )
        self.table = ranges.initial("s", {A: 1.0, B: 1.0}, "c1")
        self.reconciler.follow(self.table)

    def move(self, first, last, to):
        """Moves keys, as a commit would."""
        moves = [ranges.Move(first, last, to)]
        self.table = ranges.move(self.table, moves, "c")
        self.reconciler.follow(self.table)

    async def served(self, key, seconds=20.0):
        """Waits until the owner of a key has it; returns how long."""
        began = virtual.now()
        async with asyncio.timeout(seconds):
            while self.table.find(key).piece not in self.reconciler.ready():
                await asyncio.sleep(0.01)
        return virtual.now() - began


def _play(coroutine):
    virtual.run(coroutine)


class TestGrants:
    """Grants and renewals."""

    def test_all_keys_stay_granted(self):
        """Renewals leave no gap over many grants' lengths."""

        async def main():
            rig = Rig()
            await rig.served(0)
            for _ in range(200):
                await asyncio.sleep(0.1)
                assert rig.orders.holders(5) == {"a"}
                assert rig.orders.holders(HALF) == {"b"}
            rig.reconciler.stop()

        _play(main())

    def test_move_hands_over(self):
        """Moved keys come with the token of their last owner."""

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.move(0, 99, B)
            gap = await rig.served(0)
            assert gap < 0.2
            await asyncio.sleep(0.1)
            given = [
                order
                for what, name, order in rig.orders.log
                if what == "grant" and name == "b" and order.first == 0
            ]
            assert given[0].handover == "from-a"
            assert rig.orders.holders(50) == {"b"}
            assert rig.orders.holders(100) == {"a"}
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _play(main())

    def test_cut_piece_stays_in_service(self):
        """A range is cut beside a hot run; its rest is never refused."""

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.move(1000, 1100, B)
            assert rig.table.find(0).piece in rig.reconciler.ready()
            for _ in range(50):
                await asyncio.sleep(0.1)
                assert rig.orders.holders(5) == {"a"}
                assert rig.orders.holders(2000) == {"a"}
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _play(main())

    def test_rejected_key_is_granted_again(self):
        """A late release takes keys from their rightful owner.

        Callers see the keys refused; the next report of a VM has them granted
        again at once, not with the next renewal.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            await asyncio.sleep(0.3)
            rig.orders._cut("a", 0, 9)
            assert rig.orders.holders(5) == set()
            rig.reconciler.record_miss(5, "a")
            await asyncio.sleep(0.02)
            assert rig.orders.holders(5) == {"a"}
            rig.reconciler.stop()

        _play(main())


class TestManyRanges:
    """A table that asks for longer grants than the settings."""

    def test_length_and_pace(self):
        """Guards against grants that end before their slower renewal."""

        async def main():
            rig = Rig()
            rig.table = msgspec.structs.replace(rig.table, hold=4.0)
            rig.reconciler.follow(rig.table)
            await asyncio.sleep(10.0)
            grants = [o for kind, n, o in rig.orders.log if kind == "grant"]
            assert {order.hold for order in grants[3:]} == {4.0}
            by_target = len(grants) / len(rig.table.holders())
            assert 9 <= by_target <= 13
            rig.reconciler.stop()

        _play(main())

    def test_silent_target(self):
        """Guards against keys given away within a longer grant."""

        async def main():
            rig = Rig()
            rig.table = msgspec.structs.replace(rig.table, hold=4.0)
            rig.reconciler.follow(rig.table)
            await asyncio.sleep(3.0)
            rig.orders.dead.add("a")
            rig.move(0, HALF - 1, B)
            began = virtual.now()
            await rig.served(0)
            assert virtual.now() - began > 2.9
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _play(main())


class TestLosses:
    """What is lost on the way."""

    @pytest.mark.parametrize("how", ["dead", "silent"])
    def test_silent_former_owner_waits_for_its_grant(self, how):
        """A target falls silent; its keys go to another one.

        It may be well and still run requests for them, cut off from the
        leader alone. Giving the keys away before its grant has run out would
        give them two owners.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            await asyncio.sleep(1.0)
            getattr(rig.orders, how).add("a")
            while not rig.reconciler.silent(A):
                await asyncio.sleep(0.01)
            rig.move(0, HALF - 1, B)
            gap = await rig.served(0)
            assert gap < 2.4
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _play(main())

    def test_work_that_does_not_end(self):
        """A release is not answered as long as a request runs.

        Keys must not wait for a request that hangs: once the grant has run
        out the target ends it with a failure.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.orders.work = 60.0
            rig.move(0, 99, B)
            assert await rig.served(0) < 2.4
            rig.reconciler.stop()

        _play(main())

    def test_restarted_target_is_not_granted_its_old_fence(self):
        """A target starts again under its identifier.

        It has forgotten all fences, so it would take the old grant for a new
        one. After a second of silence it gets a new fence or nothing.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.orders.dead.add("a")
            await asyncio.sleep(3.0)
            rig.orders.restart("a")
            rig.orders.dead.clear()
            rig.orders.log.clear()
            await asyncio.sleep(1.0)
            assert not [x for x in rig.orders.log if x[1] == "a"]
            assert rig.reconciler.needs_fence(A)
            again = ranges.Holder("a", 2, "a:80")
            rig.table = ranges.refence(rig.table, {A: again}, "c2")
            rig.reconciler.follow(rig.table)
            assert await rig.served(0) < 0.1
            rig.reconciler.stop()

        _play(main())

    def test_next_run_ends_the_wait(self):
        """A target that leaves is known to have started again.

        What its earlier run held has ended with it; waiting for its grant
        would only keep callers waiting.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.orders.dead.add("a")
            rig.move(0, HALF - 1, B)
            rig.cluster.apply_target(fakes.target("a", born=2))
            assert await rig.served(0) < 0.6
            rig.reconciler.stop()

        _play(main())

    def test_refused_fence_asks_for_a_new_one(self):
        """A target has seen a higher fence than its owner has.

        Renewing goes on being refused for ever unless the table changes.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.orders._fences["a"].append((0, 9, 99))
            await asyncio.sleep(1.0)
            assert rig.reconciler.needs_fence(A)
            rig.reconciler.stop()

        _play(main())


class TestStarvedLeader:
    """A leader that gets too little processor or link."""

    def test_grant_that_leaves_late(self):
        """A renewal leaves seconds after it was decided.

        Its target then holds the keys for longer than the leader reckons from
        the decision; giving part of them away by that gives them two owners.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.orders.delay = 3.5
            await asyncio.sleep(0.7)
            rig.orders.delay = 0.0
            rig.orders.deaf.add("a")
            rig.move(0, 99, B)
            await rig.served(0)
            await asyncio.sleep(4.0)
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _play(main())

    def test_grant_that_is_broken_off(self):
        """A target loses all its keys while a renewal is under way.

        The renewal is broken off; its keys do not wait for it for ever.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.orders.delay = 1.5
            await asyncio.sleep(0.7)
            rig.orders.deaf.add("a")
            rig.move(0, HALF - 1, B)
            rig.orders.delay = 0.0
            assert await rig.served(0) < 3.0
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _play(main())


class TestFullLink:
    """Orders that wait before a link between regions."""

    def test_grant_arrives_after_its_reset(self):
        """A renewal waits before a full link; its connection is reset.

        The bytes of both arrive in order, nearly a second later, and the
        target holds the keys from then on. Reckoning from the reset, another
        target would be given them while the first one serves them.
        """

        async def main():
            rig = Rig(zone="far")
            await rig.served(0)
            rig.orders.queued["a"] = 1.1
            rig.orders.deaf.add("a")
            await asyncio.sleep(1.0)
            rig.move(0, HALF - 1, B)
            await rig.served(0)
            await asyncio.sleep(3.0)
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _play(main())


class TestLateOrders:
    """Targets that carry orders out late and do not answer them."""

    def test_target_that_answers_callers_keeps_its_keys(self):
        """Two renewals in a row are lost; the target serves callers.

        Taking its keys would leave them without an owner until its last grant
        has run out, and with four in ten orders lost some target would always
        be without.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.orders.silent.add("a")
            for _ in range(11):
                await asyncio.sleep(0.1)
                rig.alive_at["a"] = rig.clock.boot()
                assert not rig.reconciler.silent(A)
            rig.orders.silent.clear()
            await asyncio.sleep(0.5)
            assert not rig.reconciler.needs_fence(A)
            rig.reconciler.stop()

        _play(main())

    def test_silent_target_that_answers_nobody(self):
        """The same without any answer to callers: its keys go soon."""

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.orders.silent.add("a")
            await asyncio.sleep(1.3)
            assert rig.reconciler.silent(A)
            rig.reconciler.stop()

        _play(main())

    def test_release_without_answer_is_sent_again(self):
        """A release is not answered, as it is carried out late.

        Its keys must not wait until the grant has run out.
        """

        async def main():
            rig = Rig()
            await rig.served(0)
            rig.orders.silent.add("a")
            rig.move(0, 99, B)
            await asyncio.sleep(0.2)
            rig.orders.silent.clear()
            assert await rig.served(0) < 0.8
            rig.reconciler.stop()

        _play(main())


class TestAuthority:
    """A leader that may have been replaced."""

    def test_no_order_after_a_suspension(self):
        """The leader's machine is suspended and wakes later.

        Another VM leads by then and may have given keys away. An order sent
        now would give a key two owners.
        """

        async def main():
            rig = Rig()
            rig.authority._span = 10.0
            await rig.served(0)
            await asyncio.sleep(1.0)
            rig.clock.suspended = 30.0
            rig.orders.log.clear()
            await asyncio.sleep(3.0)
            assert rig.orders.log == []
            rig.reconciler.stop()

        _play(main())

    @pytest.mark.parametrize(
        ("known", "calm", "expected"),
        [
            (None, 0.0, 12.3),
            (1.0, 5.0, 3.14),
            # It may have given long grants before it stopped.
            (1.0, 0.0, 11.3),
            (9.0, 0.0, 12.3),
        ],
    )
    def test_former_leader(self, known, calm, expected):
        """A target is silent when a new leader begins.

        The former leader may renew its grants until it notices that it was
        replaced; only then does the time of the last one begin to run.
        """
        silence = former_leaders.FormerLeaders(10.0, ("vm-0",), calm, 2.0, 10.0)
        if known is not None:
            silence.stopped(known)
        assert silence.lapse() == pytest.approx(expected, abs=0.01)

    def test_new_leader_waits_for_the_former_one(self):
        """Keys of a silent target are given away by a new leader.

        It has no record of the former leader's grants, so it waits as long as
        that one may have given them.
        """

        async def main():
            rig = Rig(
                former_leaders.FormerLeaders(4.0, ("vm-0",), 0.0, 2.0, 10.0)
            )
            rig.orders.dead.add("a")
            rig.move(0, HALF - 1, B)
            await rig.served(0)
            assert virtual.now() >= 6.04
            rig.reconciler.stop()

        _play(main())
