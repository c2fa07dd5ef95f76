"""Tests of the proofs that a former owner holds no keys any more.

Keys are granted to their next owner when the former one has released them, when
its grants have expired, or when its incarnation has ended. These tests run
histories of registrations, restarts, lost orders and moves against targets that
keep every grant as long as the slowest clock within the drift bound allows.
"""

import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest
import result

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import former_leaders
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import ranges
from mimosastile_gateway import grant_reconciliation
from mimosastile_standins import virtual
from tests.gateway import fakes

BORN = 100
HALF = ranges.KEYS // 2
B = ranges.Holder("b", 1, "b:80")


def _holder(born):
    return ranges.Holder("a", born, "a:80")


class Scenario:
    """Two targets and a leader's orders, with explicit registrations."""

    def __init__(self):
        self.clock = fakes.VirtualClock()
        self.log = fakes.MemoryEvents()
        self.orders = fakes.Orders()
        self.born = BORN
        self._revision = 10
        self.cluster = fakes.new_cluster_state(
            self.clock,
            self.log,
            fakes.target("a", born=BORN),
            fakes.target("b"),
        )
        lease = leadership.LeaderLease(1e9)
        lease.confirm(0.0)
        self.reconciler = grant_reconciliation.GrantReconciler(
            fakes.configured(trouble_after=1e9),
            self.orders,
            self.cluster,
            self.clock,
            self.log,
            lease,
            former_leaders.FormerLeaders(0.0),
            {},
            lambda: None,
        )
        self.table = ranges.initial_table(
            "s", {_holder(BORN): 1.0, B: 1.0}, "c"
        )
        self.reconciler.apply(self.table)

    def register(self, name="a", **changes):
        """Applies a registration with the next store revision."""
        self._revision += 1
        self.cluster.apply_target(
            fakes.target(name, revision=self._revision, **changes)
        )

    def register_current_incarnation(self):
        """The target's current incarnation writes its registration."""
        self.register(born=self.born)

    def late_write_of_former_incarnation(self):
        """A write of its former incarnation is carried out late."""
        self.register(born=BORN - 1)

    def former_incarnation_under_another_name(self):
        """The same for a former incarnation with another identifier."""
        self.register("ghost", born=BORN - 1, address="a:80")

    def registration_without_start_time(self):
        """A registration arrives without its start time."""
        self.register(born=0)

    def another_service_at_its_address(self):
        """Another service's target registers the same address."""
        self.register("other", service="other", born=BORN + 999, address="a:80")

    def registration_expires(self):
        """Its registration expires: it is partitioned but runs, or leaves."""
        self._revision += 1
        self.cluster.remove_target("a", self._revision)

    def restart(self):
        """It crashes, and its next incarnation registers."""
        self.orders.restart("a")
        former, self.born = self.born, self.born + 1
        self.register_current_incarnation()
        renewed = {_holder(former): _holder(self.born)}
        self.table = ranges.refence(self.table, renewed, "c")
        self.reconciler.apply(self.table)
        self.reconciler.resume(renewed.values())

    def restart_without_registration(self):
        """It crashes, and its next incarnation has not registered yet."""
        self.orders.restart("a")
        self.born += 1

    def assign_new_fences(self):
        """It did not respond, and only its former incarnation is recorded."""
        known = self.cluster.directory.get("a").target.born
        renewed = {_holder(known): _holder(known)}
        self.table = ranges.refence(self.table, renewed, "c")
        self.reconciler.apply(self.table)
        self.reconciler.resume(renewed)

    def orders_lost(self):
        """Orders no longer reach it."""
        self.orders.dead.add("a")

    def responses_lost(self):
        """Orders reach it, but its responses are lost."""
        self.orders.silent.add("a")

    def releases_lost(self):
        """Only releases do not reach it."""
        self.orders.lost_releases.add("a")

    def connection_restored(self):
        """Orders and responses get through again."""
        self.orders.dead.clear()
        self.orders.silent.clear()
        self.orders.lost_releases.clear()

    def move_all_keys_away(self):
        """Its keys move to the other target."""
        self._move(0, HALF - 1, B)

    def move_some_keys_away(self):
        """A few of its keys move to the other target."""
        self._move(7, 99, B)

    def move_keys_here(self):
        """Some keys of the other target move to it."""
        self._move(HALF, HALF + 99, _holder(self.born))

    def _move(self, first, last, to):
        moves = [ranges.Move(first, last, to)]
        self.table = ranges.move(self.table, moves, "c")
        self.reconciler.apply(self.table)


_EVENTS = (
    Scenario.register_current_incarnation,
    Scenario.late_write_of_former_incarnation,
    Scenario.former_incarnation_under_another_name,
    Scenario.registration_without_start_time,
    Scenario.another_service_at_its_address,
    Scenario.registration_expires,
    Scenario.restart,
    Scenario.orders_lost,
    Scenario.responses_lost,
    Scenario.releases_lost,
    Scenario.connection_restored,
    Scenario.move_all_keys_away,
    Scenario.move_some_keys_away,
    Scenario.move_keys_here,
)
_HISTORIES = st.lists(
    st.tuples(st.sampled_from(_EVENTS), st.sampled_from((0.0, 0.3, 1.1))),
    max_size=12,
)
_GRANT_SECONDS = 2.0


def _clashes(history):
    """Runs a history; returns the keys that two targets held at once."""

    async def main():
        scenario = Scenario()
        await asyncio.sleep(0.3)
        for event, pause in history:
            event(scenario)
            await asyncio.sleep(pause)
        await asyncio.sleep(_GRANT_SECONDS + 0.5)
        scenario.reconciler.stop()
        return list(scenario.orders.clashes)

    return virtual.run(main())


class TestHistories:
    """No history gives a key two owners."""

    @hypothesis.given(history=_HISTORIES)
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    def test_no_key_has_two_owners(self, history):
        """Registrations arrive late, disappear and contradict each other.

        With two owners, a caller could see one certificate issued twice.
        """
        assert _clashes(history) == []

    @pytest.mark.parametrize(
        "replaced_proof", ["released", "lapsed", "run ended"]
    )
    def test_each_proof_is_needed(self, replaced_proof, monkeypatch):
        """Without any one of the proofs, some history gives two owners."""

        async def release(orders, name, address, order, timeout):
            return result.Ok("")

        mutations = {
            "released": (fakes.Orders, "release", release),
            "lapsed": (
                grant_reconciliation.GrantReconciler,
                "_grants_expire_at",
                lambda *_: 0.0,
            ),
            "run ended": (
                grant_reconciliation.GrantReconciler,
                "_incarnation_ended",
                lambda made, holder: (
                    (entry := made._cluster.directory.get(holder.id)) is None
                    or entry.target.born != holder.born
                    or entry.status is not directory.TargetStatus.READY
                ),
            ),
        }
        monkeypatch.setattr(*mutations[replaced_proof])
        found = hypothesis.find(
            _HISTORIES,
            _clashes,
            settings=hypothesis.settings(
                derandomize=True, database=None, max_examples=2000
            ),
        )
        assert _clashes(found)


class TestMisleadingRegistrations:
    """The store's registrations suggest that a partitioned target has ended."""

    @pytest.mark.parametrize(
        "shown",
        [
            Scenario.former_incarnation_under_another_name,
            Scenario.late_write_of_former_incarnation,
            Scenario.registration_without_start_time,
            Scenario.another_service_at_its_address,
        ],
    )
    def test_its_keys_wait_for_its_grant(self, shown):
        """After a restart, the earlier incarnation's registration reappears.

        A write to the store without a response may be carried out seconds
        later. Then the target's own registration expires. The target still
        runs requests for its keys; if another target were granted the keys, it
        would run the same requests a second time.
        """
        history = [
            (shown, 0.0),
            (Scenario.releases_lost, 0.0),
            (Scenario.registration_expires, 0.25),
            (Scenario.move_all_keys_away, 0.0),
        ]
        assert _clashes(history) == []

    def test_grants_accepted_by_the_next_incarnation(self):
        """A target restarts, and the leader has not observed it yet.

        It did not respond for over a second, so it gets new fences under the
        former incarnation's name. Then the next incarnation registers, is
        partitioned, and its keys move. It still holds them by the new grants.
        """
        history = [
            (Scenario.orders_lost, 1.5),
            (Scenario.restart_without_registration, 0.0),
            (Scenario.assign_new_fences, 0.0),
            (Scenario.connection_restored, 0.6),
            (Scenario.register_current_incarnation, 0.0),
            (Scenario.releases_lost, 0.0),
            (Scenario.registration_expires, 0.0),
            (Scenario.move_all_keys_away, 0.0),
        ]
        assert _clashes(history) == []

    def test_table_names_a_later_incarnation(self):
        """A new leader's list of targets is older than the table.

        If the leader took the earlier incarnation for the current one, it
        would move the keys away from the later one, and back to it under the
        earlier one's name.
        """

        async def main():
            scenario = Scenario()
            known = scenario.cluster.directory
            known.record_end("a", BORN, 0.0)
            known.record_incarnation("a", BORN + 5, "a:81", 0.0)
            current = known.get("a").target
            assert (current.born, current.address) == (BORN + 5, "a:81")
            # The earlier incarnation has left its address; this one has not.
            assert not known.has_left_address("a", BORN + 5)
            scenario.register_current_incarnation()
            assert known.get("a").target.born == BORN + 5
            known.record_incarnation("a", BORN, "a:80", 0.0)
            assert known.get("a").target.born == BORN + 5
            scenario.reconciler.stop()

        virtual.run(main())

    def test_older_incarnation_is_logged_and_not_used(self):
        """The newer incarnation keeps getting requests and grants."""

        async def main():
            scenario = Scenario()
            scenario.late_write_of_former_incarnation()
            assert scenario.cluster.directory.get("a").target.born == BORN
            assert scenario.log.named("older_run_registered") == [
                {"target": "a", "born": BORN - 1, "known": BORN}
            ]
            scenario.reconciler.stop()

        virtual.run(main())
