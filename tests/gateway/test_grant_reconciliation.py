"""Tests that no key has two owners when orders or responses are lost."""

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
    """A leader's orders for one service with two targets."""

    def __init__(self, former=None, zone="z"):
        self.clock = fakes.VirtualClock()
        self.log = fakes.MemoryEvents()
        self.orders = fakes.Orders()
        self.cluster = fakes.new_cluster_state(
            self.clock,
            self.log,
            fakes.target("a", zone=zone),
            fakes.target("b"),
        )
        self.alive_at = {}
        self.lease = leadership.LeaderLease(1e9)
        self.lease.confirm(0.0)
        self.reconciler = grant_reconciliation.GrantReconciler(
            fakes.configured(trouble_after=1e9),
            self.orders,
            self.cluster,
            self.clock,
            self.log,
            self.lease,
            former or former_leaders.FormerLeaders(0.0),
            self.alive_at,
            lambda: None,
        )
        self.table = ranges.initial_table("s", {A: 1.0, B: 1.0}, "c1")
        self.reconciler.apply(self.table)

    def move(self, first, last, to):
        """Moves keys and applies the new table, as a commit would."""
        moves = [ranges.Move(first, last, to)]
        self.table = ranges.move(self.table, moves, "c")
        self.reconciler.apply(self.table)

    async def wait_granted(self, key, seconds=20.0):
        """Waits until the owner of a key is granted it; returns seconds."""
        started_at = virtual.now()
        async with asyncio.timeout(seconds):
            while (
                self.table.find(key).piece
                not in self.reconciler.granted_pieces()
            ):
                await asyncio.sleep(0.01)
        return virtual.now() - started_at


def _run(coroutine):
    virtual.run(coroutine)


class TestGrants:
    """Grants and renewals."""

    def test_all_keys_stay_granted(self):
        """Renewals leave no gap over the duration of many grants."""

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            for _ in range(200):
                await asyncio.sleep(0.1)
                assert rig.orders.holders(5) == {"a"}
                assert rig.orders.holders(HALF) == {"b"}
            rig.reconciler.stop()

        _run(main())

    def test_move_hands_over(self):
        """The first grant of moved keys carries the former owner's ticket."""

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.move(0, 99, B)
            gap = await rig.wait_granted(0)
            assert gap < 0.2
            await asyncio.sleep(0.1)
            grants = [
                order
                for what, name, order in rig.orders.log
                if what == "grant" and name == "b" and order.first == 0
            ]
            assert grants[0].handover == "from-a"
            assert rig.orders.holders(50) == {"b"}
            assert rig.orders.holders(100) == {"a"}
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _run(main())

    def test_split_piece_stays_in_service(self):
        """The rest of a range that is split beside hot keys stays granted."""

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.move(1000, 1100, B)
            assert rig.table.find(0).piece in rig.reconciler.granted_pieces()
            for _ in range(50):
                await asyncio.sleep(0.1)
                assert rig.orders.holders(5) == {"a"}
                assert rig.orders.holders(2000) == {"a"}
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _run(main())

    def test_rejected_key_is_granted_again(self):
        """A late release takes keys from their current owner.

        Callers get rejections for the keys. The next report of a VM causes an
        immediate grant, without waiting for the next renewal.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            await asyncio.sleep(0.3)
            rig.orders._remove_keys("a", 0, 9)
            assert rig.orders.holders(5) == set()
            rig.reconciler.record_miss(5, "a")
            await asyncio.sleep(0.02)
            assert rig.orders.holders(5) == {"a"}
            rig.reconciler.stop()

        _run(main())

    def test_records_of_grants_are_bounded(self):
        """A leader's memory grows while its tables do not change."""

        async def main():
            rig = Rig()
            await asyncio.sleep(600.0)
            exposures = rig.reconciler._exposures.values()
            assert sum(map(len, exposures)) < 100
            rig.reconciler.stop()

        _run(main())


class TestReplacedTable:
    """Orders of a table that has been replaced."""

    def test_grant_that_waited_for_a_permit(self, monkeypatch):
        """A former owner is granted keys that another target owns by now.

        Its renewal waits until another order ends, while its keys are moved
        without a response from it.
        """

        async def main():
            monkeypatch.setattr(
                grant_reconciliation, "_MAX_CONCURRENT_GRANTS", 1
            )
            rig = Rig()
            await rig.wait_granted(0)
            await rig.wait_granted(HALF)
            rig.orders.lost_releases.add("a")
            # A grant to the other target takes the only permit.
            rig.orders.queued["b"] = 0.0
            permit = rig.reconciler._grant_permits
            await permit.acquire()
            await asyncio.sleep(1.0)
            rig.orders.queued.clear()
            rig.move(0, HALF - 2, B)
            await asyncio.sleep(5.0)
            permit.release()
            await rig.wait_granted(0)
            await asyncio.sleep(2.0)
            assert not rig.orders.clashes
            assert rig.orders.holders(0) == {"b"}
            rig.reconciler.stop()

        _run(main())

    def test_silent_target_after_the_wait_for_a_permit(self, monkeypatch):
        """A restarted target is granted its old fence by a delayed renewal.

        The target does not respond, and more than a second passes while its
        renewal waits until another order ends.
        """

        async def main():
            monkeypatch.setattr(
                grant_reconciliation, "_MAX_CONCURRENT_GRANTS", 1
            )
            rig = Rig()
            await rig.wait_granted(0)
            await rig.wait_granted(HALF)
            rig.orders.dead.add("a")
            while rig.reconciler._owners[A].failing_since is None:
                await asyncio.sleep(0.01)
            permit = rig.reconciler._grant_permits
            await permit.acquire()
            await asyncio.sleep(3.0)
            rig.orders.restart("a")
            rig.orders.dead.clear()
            rig.orders.log.clear()
            assert rig.reconciler.needs_fence(A)
            permit.release()
            await asyncio.sleep(0.2)
            assert not [x for x in rig.orders.log if x[1] == "a"]
            rig.reconciler.stop()

        _run(main())


class TestManyRanges:
    """A table with a longer grant duration than the settings."""

    def test_duration_and_interval(self):
        """Guards against grants that expire before their slower renewal."""

        async def main():
            rig = Rig()
            rig.table = msgspec.structs.replace(rig.table, hold=4.0)
            rig.reconciler.apply(rig.table)
            await asyncio.sleep(10.0)
            grants = [o for kind, n, o in rig.orders.log if kind == "grant"]
            assert {order.hold for order in grants[3:]} == {4.0}
            by_target = len(grants) / len(rig.table.owners())
            assert 9 <= by_target <= 13
            rig.reconciler.stop()

        _run(main())

    def test_silent_target(self):
        """Guards against moving keys before a longer grant has expired."""

        async def main():
            rig = Rig()
            rig.table = msgspec.structs.replace(rig.table, hold=4.0)
            rig.reconciler.apply(rig.table)
            await asyncio.sleep(3.0)
            rig.orders.dead.add("a")
            rig.move(0, HALF - 1, B)
            started_at = virtual.now()
            await rig.wait_granted(0)
            assert virtual.now() - started_at > 2.9
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _run(main())


class TestLosses:
    """Orders, responses or whole targets are lost."""

    @pytest.mark.parametrize("how", ["dead", "silent"])
    def test_silent_former_owner_waits_for_its_grant(self, how):
        """A target stops responding and its keys move to another one.

        The target may be cut off from the leader only and still run requests
        for the keys. Granting them to another target before its own grant has
        expired would give them two owners.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            await asyncio.sleep(1.0)
            getattr(rig.orders, how).add("a")
            while not rig.reconciler.is_unresponsive(A):
                await asyncio.sleep(0.01)
            rig.move(0, HALF - 1, B)
            gap = await rig.wait_granted(0)
            assert gap < 2.4
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _run(main())

    def test_request_that_does_not_end(self):
        """A release is not confirmed while a request is running.

        Keys must not wait for a request that hangs: once the grant has
        expired, the target ends the request with a failure.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.work = 60.0
            rig.move(0, 99, B)
            assert await rig.wait_granted(0) < 2.4
            rig.reconciler.stop()

        _run(main())

    def test_restarted_target_is_not_granted_its_old_fence(self):
        """A target restarts under the same identifier.

        It has lost its record of fences, so it would accept the old grant as
        a new one. After a second without a response it gets either a new fence
        or no grant.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.dead.add("a")
            await asyncio.sleep(3.0)
            rig.orders.restart("a")
            rig.orders.dead.clear()
            rig.orders.log.clear()
            await asyncio.sleep(1.0)
            assert not [x for x in rig.orders.log if x[1] == "a"]
            assert rig.reconciler.needs_fence(A)
            restarted = ranges.Holder("a", 2, "a:80")
            rig.table = ranges.refence(rig.table, {A: restarted}, "c2")
            rig.reconciler.apply(rig.table)
            assert await rig.wait_granted(0) < 0.1
            rig.reconciler.stop()

        _run(main())

    def test_registered_incarnation_is_not_granted_the_old_fence(self):
        """A later incarnation takes keys under its predecessor's fence.

        It has registered, but the table with new fences is not stored yet.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.restart("a")
            rig.cluster.apply_target(fakes.target("a", born=2))
            await asyncio.sleep(0.1)
            rig.orders.log.clear()
            await asyncio.sleep(2.0)
            assert not [x for x in rig.orders.log if x[1] == "a"]
            rig.reconciler.stop()

        _run(main())

    def test_second_without_response_counts_from_the_last_one(self):
        """A target that was away for 1.6 s is granted its old fence.

        Renewals are a second apart, so the first one fails late.
        """

        async def main():
            rig = Rig()
            rig.table = msgspec.structs.replace(rig.table, hold=4.0)
            rig.reconciler.apply(rig.table)
            await asyncio.sleep(3.0)
            rig.orders.log.clear()
            while not [x for x in rig.orders.log if x[1] == "a"]:
                await asyncio.sleep(0.01)
            rig.orders.dead.add("a")
            await asyncio.sleep(1.6)
            rig.orders.restart("a")
            rig.orders.dead.clear()
            rig.orders.log.clear()
            await asyncio.sleep(1.0)
            assert not [x for x in rig.orders.log if x[1] == "a"]
            rig.reconciler.stop()

        _run(main())

    @pytest.mark.parametrize(
        ("address", "reachable"), [("a:80", True), ("a:81", False)]
    )
    def test_next_incarnation_ends_the_wait(self, address, reachable):
        """A target that loses its keys registers a later incarnation.

        The grants of the earlier incarnation have ended with it. Waiting for
        them to expire would only delay callers.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.dead.add("a")
            rig.move(0, HALF - 1, B)
            if reachable:
                rig.orders.restart("a")
                rig.orders.dead.clear()
            rig.cluster.apply_target(fakes.target("a", born=2, address=address))
            assert await rig.wait_granted(0) < 0.6
            rig.reconciler.stop()

        _run(main())

    def test_another_target_at_the_former_address(self):
        """Keys wait for a grant whose target has certainly ended.

        The target has restarted at another address, and its former one belongs
        to another target, which says so in its response to the release.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            await asyncio.sleep(1.0)
            rig.cluster.apply_target(fakes.target("a", born=2, address="a:81"))
            rig.orders.replaced.add("a")
            rig.move(0, HALF - 1, B)
            assert await rig.wait_granted(0) < 0.6
            rig.reconciler.stop()

        _run(main())

    @pytest.mark.parametrize("reachable", [True, False])
    @pytest.mark.parametrize("down", [0.05, 0.6, 1.2])
    def test_next_incarnation_holds_earlier_grants(self, down, reachable):
        """Keys are given away that a restarted target has been granted.

        A target restarts at once and accepts a renewal that was meant for its
        earlier incarnation, before it registers the later one.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.dead.add("a")
            rig.orders.restart("a")
            await asyncio.sleep(down)
            rig.orders.dead.clear()
            await asyncio.sleep(1.0)
            if not reachable:
                rig.orders.dead.add("a")
            rig.cluster.apply_target(fakes.target("a", born=2))
            rig.move(0, HALF - 1, B)
            await rig.wait_granted(0)
            assert not rig.orders.clashes
            rig.reconciler.stop()

        _run(main())

    def test_grants_of_an_earlier_incarnation_count_after_new_fences(self):
        """Keys are given away while the grants under older fences last.

        A restarted target has accepted a renewal meant for its earlier
        incarnation, and gets no order any more under its later one.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.restart("a")
            await asyncio.sleep(1.0)
            assert rig.orders.holders(0) == {"a"}
            rig.orders.dead.add("a")
            restarted = ranges.Holder("a", 2, "a:80")
            rig.cluster.apply_target(fakes.target("a", born=2))
            rig.table = ranges.refence(rig.table, {A: restarted}, "c2")
            rig.reconciler.apply(rig.table)
            rig.move(0, HALF - 1, B)
            await rig.wait_granted(0)
            assert not rig.orders.clashes
            rig.reconciler.stop()

        _run(main())

    def test_refused_fence_requires_a_new_one(self):
        """A target has seen a higher fence than the table's.

        Every renewal is refused until the table changes.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders._fences["a"].append((0, 9, 99))
            await asyncio.sleep(1.0)
            assert rig.reconciler.needs_fence(A)
            rig.reconciler.stop()

        _run(main())


class TestOverloadedLeader:
    """A leader whose processor or link is overloaded."""

    def test_grant_that_is_sent_late(self):
        """A renewal leaves the machine seconds after it was started.

        The target then holds the keys for longer than an estimate from the
        start of the order says. Moving some of them by that estimate would
        give them two owners.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.delay = 3.5
            await asyncio.sleep(0.7)
            rig.orders.delay = 0.0
            rig.orders.lost_releases.add("a")
            rig.move(0, 99, B)
            await rig.wait_granted(0)
            await asyncio.sleep(4.0)
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _run(main())

    def test_grant_that_is_cancelled(self):
        """A target loses all its keys while a renewal is under way.

        The renewal is cancelled, and the keys do not wait for it forever.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.delay = 1.5
            await asyncio.sleep(0.7)
            rig.orders.lost_releases.add("a")
            rig.move(0, HALF - 1, B)
            rig.orders.delay = 0.0
            assert await rig.wait_granted(0) < 3.0
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _run(main())


class TestFullLink:
    """Orders are queued before a saturated link between regions."""

    def test_grant_arrives_after_its_reset(self):
        """A renewal is queued before the link and its connection is reset.

        The order and then the reset arrive nearly a second later, and the
        target holds the keys from then on. If the expiry were counted from the
        reset, another target would be granted keys that this one serves.
        """

        async def main():
            rig = Rig(zone="far")
            await rig.wait_granted(0)
            rig.orders.queued["a"] = 1.1
            rig.orders.lost_releases.add("a")
            await asyncio.sleep(1.0)
            rig.move(0, HALF - 1, B)
            await rig.wait_granted(0)
            await asyncio.sleep(3.0)
            assert rig.orders.clashes == []
            rig.reconciler.stop()

        _run(main())


class TestLateOrders:
    """Targets that carry orders out late and do not acknowledge them."""

    def test_target_that_responds_to_callers_keeps_its_keys(self):
        """Two renewals in a row are lost while the target serves callers.

        Taking its keys away would leave them without an owner until its last
        grant has expired. With four in ten orders lost, some target would
        always be without its keys.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.silent.add("a")
            for _ in range(11):
                await asyncio.sleep(0.1)
                rig.alive_at["a"] = rig.clock.boottime()
                assert not rig.reconciler.is_unresponsive(A)
            rig.orders.silent.clear()
            await asyncio.sleep(0.5)
            assert not rig.reconciler.needs_fence(A)
            rig.reconciler.stop()

        _run(main())

    def test_target_that_does_not_respond_at_all(self):
        """If the target does not respond to callers either, its keys move."""

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.silent.add("a")
            await asyncio.sleep(1.3)
            assert rig.reconciler.is_unresponsive(A)
            rig.reconciler.stop()

        _run(main())

    def test_unconfirmed_release_is_sent_again(self):
        """A release is not confirmed because it is carried out late.

        The keys must not wait until the grant has expired.
        """

        async def main():
            rig = Rig()
            await rig.wait_granted(0)
            rig.orders.silent.add("a")
            rig.move(0, 99, B)
            await asyncio.sleep(0.2)
            rig.orders.silent.clear()
            assert await rig.wait_granted(0) < 0.8
            rig.reconciler.stop()

        _run(main())


class TestLeaderLease:
    """A leader that may have been replaced."""

    def test_no_order_after_a_suspension(self):
        """The leader's machine is suspended and resumes later.

        Another VM leads by then and may have moved keys. An order sent now
        could give a key two owners.
        """

        async def main():
            rig = Rig()
            rig.lease._span_seconds = 10.0
            await rig.wait_granted(0)
            await asyncio.sleep(1.0)
            rig.clock.suspended = 30.0
            rig.orders.log.clear()
            await asyncio.sleep(3.0)
            assert rig.orders.log == []
            rig.reconciler.stop()

        _run(main())

    @pytest.mark.parametrize(
        ("stopped", "calm", "expected"),
        [
            (None, 0.0, 12.3),
            (1.0, 5.0, 3.14),
            # It may have given extended grants before it stopped.
            (1.0, 0.0, 11.3),
            (9.0, 0.0, 12.3),
        ],
    )
    def test_former_leader(self, stopped, calm, expected):
        """A target does not respond when a new leader's term starts.

        The former leader may renew the target's grants until it notices that
        it was replaced. The last grant's duration starts only then.
        """
        former = former_leaders.FormerLeaders(
            10.0, (leadership.Term("vm-0", "boot-0"),), calm, 2.0, 10.0
        )
        if stopped is not None:
            former.record_follower(
                former_leaders.Follower("vm-0", "later", None), stopped
            )
        assert former.grants_expire_at() == pytest.approx(expected, abs=0.01)

    def test_new_leader_waits_for_the_former_one(self):
        """A new leader moves the keys of an unresponsive target.

        It has no record of the former leader's grants, so it waits for the
        time within which the former leader may have given them.
        """

        async def main():
            rig = Rig(
                former_leaders.FormerLeaders(
                    4.0, (leadership.Term("vm-0"),), 0.0, 2.0, 10.0
                )
            )
            rig.orders.dead.add("a")
            rig.move(0, HALF - 1, B)
            await rig.wait_granted(0)
            assert virtual.now() >= 6.04
            rig.reconciler.stop()

        _run(main())
