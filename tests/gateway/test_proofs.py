"""What shows that a run of a target is over, and what only seems to.

Keys are given to their next owner when the former one has released them, when
its grants have run out, or when its run is over. These tests play histories
of registrations, starts, lost orders and moves against targets that keep every
grant as long as the slowest promised clock allows.
"""

import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest
import result

from mimosastile_core.gateway import directory
from mimosastile_core.gateway import formers
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import ranges
from mimosastile_gateway import granting
from mimosastile_standins import virtual
from tests.gateway import fakes

BORN = 100
HALF = ranges.KEYS // 2
B = ranges.Holder("b", 1, "b:80")


def _run(born):
    return ranges.Holder("a", born, "a:80")


class World:
    """Two targets and a leader's orders; registrations are made by hand."""

    def __init__(self):
        self.clock = fakes.VirtualClock()
        self.log = fakes.Lines()
        self.orders = fakes.Orders()
        self.born = BORN
        self._revision = 10
        self.beliefs = fakes.known(
            self.clock,
            self.log,
            fakes.target("a", born=BORN),
            fakes.target("b"),
        )
        authority = leadership.Authority(1e9)
        authority.confirm(0.0)
        self.granting = granting.Granting(
            fakes.configured(trouble_after=1e9),
            self.orders,
            self.beliefs,
            self.clock,
            self.log,
            authority,
            formers.FormerLeaders(0.0),
            {},
            lambda: None,
        )
        self.table = ranges.initial("s", {_run(BORN): 1.0, B: 1.0}, "c")
        self.granting.follow(self.table)

    def register(self, name="a", **changes):
        """Has the store show a registration."""
        self._revision += 1
        self.beliefs.take_target(
            fakes.target(name, revision=self._revision, **changes)
        )

    def registers(self):
        """The target's present run writes its registration."""
        self.register(born=self.born)

    def late_write_of_former_run(self):
        """A write of its former run is carried out late."""
        self.register(born=BORN - 1)

    def former_run_under_another_name(self):
        """The same of a former run that had another identifier."""
        self.register("ghost", born=BORN - 1, address="a:80")

    def cut_short(self):
        """A registration comes without its start time."""
        self.register(born=0)

    def another_service_at_its_address(self):
        """A registration names an address that is another target's."""
        self.register("other", service="other", born=BORN + 999, address="a:80")

    def vanishes(self):
        """Its registration lapses; it lives behind a cut, or leaves."""
        self._revision += 1
        self.beliefs.lose_target("a", self._revision)

    def starts_again(self):
        """It dies, and its next run registers."""
        self.orders.restart("a")
        former, self.born = self.born, self.born + 1
        self.registers()
        renewed = {_run(former): _run(self.born)}
        self.table = ranges.refence(self.table, renewed, "c")
        self.granting.follow(self.table)
        self.granting.refenced(renewed.values())

    def starts_again_unseen(self):
        """It dies, and its next run has not registered yet."""
        self.orders.restart("a")
        self.born += 1

    def gets_new_fences(self):
        """It was silent, and the leader knows its former run only."""
        known = self.beliefs.directory.get("a").target.born
        renewed = {_run(known): _run(known)}
        self.table = ranges.refence(self.table, renewed, "c")
        self.granting.follow(self.table)
        self.granting.refenced(renewed)

    def orders_lost(self):
        """Orders do not reach it any more."""
        self.orders.dead.add("a")

    def answers_lost(self):
        """Orders reach it, their answers are lost."""
        self.orders.silent.add("a")

    def releases_lost(self):
        """Only releases do not reach it."""
        self.orders.deaf.add("a")

    def heard_again(self):
        """Orders and answers come through."""
        self.orders.dead.clear()
        self.orders.silent.clear()
        self.orders.deaf.clear()

    def gives(self):
        """Its keys move to the other target."""
        self._move(0, HALF - 1, B)

    def gives_some(self):
        """A few of its keys move."""
        self._move(7, 99, B)

    def takes(self):
        """Keys of the other target move to it."""
        self._move(HALF, HALF + 99, _run(self.born))

    def _move(self, first, last, to):
        moves = [ranges.Move(first, last, to)]
        self.table = ranges.move(self.table, moves, "c")
        self.granting.follow(self.table)


_EVENTS = (
    World.registers,
    World.late_write_of_former_run,
    World.former_run_under_another_name,
    World.cut_short,
    World.another_service_at_its_address,
    World.vanishes,
    World.starts_again,
    World.orders_lost,
    World.answers_lost,
    World.releases_lost,
    World.heard_again,
    World.gives,
    World.gives_some,
    World.takes,
)
_HISTORIES = st.lists(
    st.tuples(st.sampled_from(_EVENTS), st.sampled_from((0.0, 0.3, 1.1))),
    max_size=12,
)
_GRANT_SECONDS = 2.0


def _clashes(history):
    """Plays a history; returns keys that two targets held at a time."""

    async def main():
        world = World()
        await asyncio.sleep(0.3)
        for event, pause in history:
            event(world)
            await asyncio.sleep(pause)
        await asyncio.sleep(_GRANT_SECONDS + 0.5)
        world.granting.stop()
        return list(world.orders.clashes)

    return virtual.run(main())


class TestHistories:
    """No history gives a key two owners."""

    @hypothesis.given(history=_HISTORIES)
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    def test_no_key_has_two_owners(self, history):
        """Registrations come late, vanish and contradict each other.

        A caller would see one certificate issued by two targets.
        """
        assert _clashes(history) == []

    @pytest.mark.parametrize("taken_out", ["released", "lapsed", "run ended"])
    def test_each_proof_is_needed(self, taken_out, monkeypatch):
        """With one proof replaced by a guess, some history gives two owners."""

        async def release(orders, name, address, order, timeout):
            return result.Ok("")

        mutations = {
            "released": (fakes.Orders, "release", release),
            "lapsed": (granting.Granting, "_grants_expire_at", lambda *_: 0.0),
            "run ended": (
                granting.Granting,
                "_incarnation_ended",
                lambda made, holder: (
                    (entry := made._beliefs.directory.get(holder.id)) is None
                    or entry.target.born != holder.born
                    or entry.standing is not directory.Standing.READY
                ),
            ),
        }
        monkeypatch.setattr(*mutations[taken_out])
        found = hypothesis.find(
            _HISTORIES,
            _clashes,
            settings=hypothesis.settings(
                derandomize=True, database=None, max_examples=2000
            ),
        )
        assert _clashes(found)


class TestRegistrationsThatSeemToEndARun:
    """A target lives on behind a cut; what the store shows says otherwise."""

    @pytest.mark.parametrize(
        "shown",
        [
            World.former_run_under_another_name,
            World.late_write_of_former_run,
            World.cut_short,
            World.another_service_at_its_address,
        ],
    )
    def test_its_keys_wait_for_its_grant(self, shown):
        """A target starts again, and its earlier run's registration returns.

        Writes to the store that get no answer may be carried out seconds
        later. Then its own registration lapses. It still runs requests for
        its keys; another target that is given them runs the same requests a
        second time.
        """
        history = [
            (shown, 0.0),
            (World.releases_lost, 0.0),
            (World.vanishes, 0.25),
            (World.gives, 0.0),
        ]
        assert _clashes(history) == []

    def test_grants_that_went_to_the_next_run(self):
        """A target starts again, and the leader does not know it yet.

        It was silent for over a second, so it gets new fences, in its former
        run's name. Then its next run registers, vanishes behind a cut, and its
        keys move. That run holds them by the new grants.
        """
        history = [
            (World.orders_lost, 1.5),
            (World.starts_again_unseen, 0.0),
            (World.gets_new_fences, 0.0),
            (World.heard_again, 0.6),
            (World.registers, 0.0),
            (World.releases_lost, 0.0),
            (World.vanishes, 0.0),
            (World.gives, 0.0),
        ]
        assert _clashes(history) == []

    def test_table_knows_a_later_run(self):
        """A new leader's list of targets is older than the table.

        Taking the earlier run for the present one, it would move the keys
        away from the later run, and to it in the earlier one's name.
        """

        async def main():
            world = World()
            known = world.beliefs.directory
            known.end("a", BORN, 0.0)
            known.learn_run("a", BORN + 5, "a:81", 0.0)
            found = known.get("a").target
            assert (found.born, found.address) == (BORN + 5, "a:81")
            # Its earlier run has left its address; this one has not.
            assert not known.has_left_address("a", BORN + 5)
            world.registers()
            assert known.get("a").target.born == BORN + 5
            known.learn_run("a", BORN, "a:80", 0.0)
            assert known.get("a").target.born == BORN + 5
            world.granting.stop()

        virtual.run(main())

    def test_older_run_is_logged_and_not_used(self):
        """The newer run stays the one that gets requests and grants."""

        async def main():
            world = World()
            world.late_write_of_former_run()
            assert world.beliefs.directory.get("a").target.born == BORN
            assert world.log.named("older_run_registered") == [
                {"target": "a", "born": BORN - 1, "known": BORN}
            ]
            world.granting.stop()

        virtual.run(main())
