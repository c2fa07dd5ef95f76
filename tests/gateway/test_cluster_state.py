"""Tests of a VM's cluster state, also when updates are lost or reordered."""

import asyncio

import pytest

from mimosastile_core.gateway import configurations
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import routes
from mimosastile_gateway import cluster_state
from mimosastile_gateway import messages
from mimosastile_standins import virtual
from tests.gateway import fakes


def _update(after, revision, *targets):
    return messages.StateUpdate(
        after,
        revision,
        tuple(
            messages.TargetUpdate(t, t.revision, False, 0.0) for t in targets
        ),
    )


def _state():
    return fakes.new_cluster_state(
        fakes.VirtualClock(), fakes.MemoryEvents(), fakes.target("a")
    )


def _run(check):
    async def main():
        check(_state())

    virtual.run(main())


class TestUpdates:
    """Updates that build on earlier updates."""

    def test_lost_update_leaves_revision_unchanged(self):
        """Guards against a lost update that is never repeated.

        The first of two updates is lost; it contains a target that leaves. If
        the VM reported the revision of the second one, the leader would never
        repeat the first, and the VM would go on sending requests to the target.
        """

        def check(state):
            state.apply_update(_update(0, 5))
            state.apply_update(_update(7, 9, fakes.target("b", revision=9)))
            assert state.seen == 5
            assert state.directory.get("b")
            leaving = fakes.target("a", leaving=True, revision=6)
            state.apply_update(_update(5, 9, leaving))
            assert state.seen == 9
            status = state.directory.get("a").status
            assert status is directory.TargetStatus.LEAVING

        _run(check)

    def test_change_of_another_version(self):
        """A change relative to a version that this VM lacks is skipped.

        The VM's next report names the version that it has.
        """

        def check(state):
            change = configurations.Change(5, 6)
            state.apply_update(messages.StateUpdate(0, 1, change=change))
            assert state.version == 1
            change = configurations.Change(1, 6)
            state.apply_update(messages.StateUpdate(0, 1, change=change))
            assert state.version == 6

        _run(check)

    def test_vm_one_version_behind_gets_a_change(self):
        """A VM that has the previous version is sent only the changes."""

        def check(state):
            former = state.configuration
            state.apply_configuration(routes.Configuration(2, former.routes))
            assert state.updates_since(0, 1).change.base == 1
            assert state.updates_since(0, -1).configuration.version == 2
            assert state.updates_since(0, 2) is None

        _run(check)


_OTHER = routes.Configuration(
    2,
    services={name: routes.Service(name) for name in ("s", "later")},
)


class TestDeferredRegistrations:
    """Registrations for services that no known configuration names."""

    @pytest.mark.parametrize("listed", [False, True])
    def test_service_is_named_later(self, listed):
        """Guards against a target of a new service that is never used."""

        def check(state):
            target = fakes.target("b", "later", revision=5)
            if listed:
                state.replace_targets([fakes.target("a"), target], 5)
            else:
                state.apply_target(target)
            assert state.directory.get("b") is None
            state.apply_configuration(_OTHER)
            assert state.directory.is_ready("b")

        _run(check)

    @pytest.mark.parametrize("listed", [False, True])
    def test_removed_before_its_service_is_named(self, listed):
        """Guards against a registration that outlives its removal."""

        def check(state):
            state.apply_target(fakes.target("b", "later", revision=5))
            if listed:
                state.replace_targets([fakes.target("a")], 6)
            else:
                state.remove_target("b", 6)
            state.apply_configuration(_OTHER)
            assert state.directory.get("b") is None

        _run(check)

    def test_superseded_before_its_service_is_named(self):
        """Guards against an earlier registration that replaces a later one."""

        def check(state):
            state.apply_target(
                fakes.target("a", "later", born=9, revision=5, address="x:1")
            )
            state.apply_target(fakes.target("a", revision=6))
            state.apply_configuration(_OTHER)
            assert state.directory.get("a").target.born == 1
            assert not state.directory.has_restarted("a", 1)

        _run(check)

    def test_reaches_other_vms(self):
        """Guards against a VM that never learns of a target of a new service.

        The leader has passed on the registration's revision before either of
        them had the configuration.
        """

        def check(leader):
            follower = _state()
            leader.apply_target(fakes.target("b", "later", revision=5))
            leader.seen = 5
            follower.apply_update(leader.updates_since(0, 1))
            assert follower.seen == 5
            assert follower.directory.get("b") is None
            for vm in (leader, follower):
                vm.apply_configuration(_OTHER)
                assert vm.directory.is_ready("b")

        _run(check)

    def test_before_the_first_configuration(self):
        """Guards against stray registrations at a daemon's start.

        Without a configuration, no service is known to be unknown.
        """

        async def main():
            log = fakes.MemoryEvents()
            state = cluster_state.ClusterState(
                fakes.configured(), fakes.VirtualClock(), log
            )
            stray = fakes.target("a", "unknown", born=9, revision=4)
            state.replace_targets([stray, fakes.target("b", revision=3)], 5)
            assert not state.rejected.counts
            state.apply_configuration(_OTHER)
            assert state.directory.is_ready("b")
            assert state.directory.get("a") is None
            assert state.rejected.counts == {"service": 1}
            state.apply_target(fakes.target("a", revision=6))
            assert state.directory.get("a").target.born == 1

        virtual.run(main())


class TestEndOfIncarnations:
    """Other VMs' proofs that an incarnation has ended."""

    @pytest.mark.parametrize(
        ("address", "ended"), [("", True), ("a:80", True), ("a:79", False)]
    )
    def test_proof_names_its_address(self, address, ended):
        """Guards against a proof that concerns an address already left."""

        def check(state):
            state.end_incarnation("a", 1, address)
            assert state.directory.has_left_address("a", 1) is ended

        _run(check)

    def test_reaches_a_leader_that_does_not_follow_the_store(self):
        """Guards against a leader that takes a live incarnation for ended.

        Another VM watches the store for it, and has read a registration of an
        earlier incarnation after that of a later one.
        """

        def check(leader):
            watcher = _state()
            watcher.apply_target(fakes.target("a", born=7, revision=5))
            watcher.seen = 5
            leader.apply_update(watcher.updates_since(0, 1))
            assert leader.directory.has_restarted("a", 1)
            watcher.apply_target(fakes.target("a", revision=6))
            watcher.seen = 6
            leader.apply_update(watcher.updates_since(5, 1))
            assert leader.directory.get("a").target.born == 7
            assert not leader.directory.has_restarted("a", 1)

        _run(check)


class TestConfigurationSeen:
    """The store revision up to which the configuration is the newest."""

    def test_other_version_is_no_confirmation(self):
        """A leader with another version does not confirm this VM's version."""

        def check(state):
            state.confirm_configuration(1, 7)
            state.confirm_configuration(2, 9)
            assert state.configuration_seen == 7

        _run(check)


class TestEvacuations:
    """Zones whose targets get no new requests."""

    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ([(("a",), 3)], ("a",)),
            ([(("a",), 3), ((), 5)], ()),
            ([((), 5), (("a",), 3)], ()),
            ([(("a",), 3), (("a", "b"), 4), (("b",), 4)], ("a", "b")),
        ],
    )
    def test_newest_revision_wins(self, changes, expected):
        """Guards against an older view of the store that arrives late."""

        def check(state):
            for zones, revision in changes:
                state.apply_evacuations(
                    eligibility.Evacuations(zones, revision)
                )
            assert state.evacuations.zones == expected

        _run(check)

    @pytest.mark.parametrize(("rate", "cold"), [(3.3, True), (0.0, False)])
    def test_zone_is_cold_after_evacuation(self, rate, cold):
        """Guards against full load on a zone whose targets are cold."""

        def check(state):
            service = routes.Service("s", cold_seconds=3.0, cold_rate=rate)
            state.apply_configuration(
                routes.Configuration(2, services={"s": service})
            )
            state.apply_target(fakes.target("x"))
            state.apply_evacuations(eligibility.Evacuations(("z",), 3))
            assert not state.cold_targets()
            state.apply_evacuations(eligibility.Evacuations((), 4))
            assert ("x" in state.cold_targets()) is cold

        _run(check)

    def test_owner_serves_until_it_is_released(self):
        """Guards against refused requests while the keys of a zone move."""

        async def main():
            state = _state()
            state.apply_evacuations(eligibility.Evacuations(("z",), 3))
            assert state.owner_excluded("z", ()) is None
            assert state.owner_excluded("z", ("q",)) is not None
            await asyncio.sleep(1.6)
            assert state.owner_excluded("z", ()) is not None

        virtual.run(main())

    def test_view_without_evacuation_is_not_current(self):
        """Guards against a watch that starts after a missed evacuation."""

        def check(state):
            state.confirm_configuration(state.version, 7, ("z",))
            assert state.configuration_seen == 0
            state.apply_evacuations(eligibility.Evacuations(("z",), 6))
            state.confirm_configuration(state.version, 7, ("z",))
            assert state.configuration_seen == 7

        _run(check)


class TestAbleOwners:
    """The selection of targets that should own keys."""

    @pytest.mark.parametrize(
        ("evacuated", "regions", "cold", "expected"),
        [
            ((), (), (), {"a", "b", "c"}),
            (("far",), (), (), {"a", "b"}),
            (("z",), (), (), {"c"}),
            (("z", "far"), (), (), set()),
            ((), ("q",), (), {"c"}),
            ((), ("r",), ("a",), {"b"}),
            ((), ("r",), ("a", "b"), {"a", "b"}),
            (("far",), ("q",), (), set()),
        ],
    )
    def test_filters(self, evacuated, regions, cold, expected):
        """Guards against assigning keys to targets that may not serve them."""

        def check(state):
            service = routes.Service(
                "s", keyed=True, cold_seconds=3.0, cold_rate=3.3
            )
            route = fakes.route(regions=regions)
            state.apply_configuration(
                routes.Configuration(2, (route,), {"s": service})
            )
            for name, zone in (("a", "z"), ("b", "z"), ("c", "far")):
                warm_at = 3.0 if name in cold else 0.0
                state.apply_target(
                    fakes.target(name, zone=zone, warm_at=warm_at)
                )
            state.apply_evacuations(eligibility.Evacuations(evacuated, 3))
            assert {t.id for t in state.eligible_owners(service)} == expected

        _run(check)


class TestViews:
    """The age of this VM's views of the store."""

    @pytest.mark.parametrize(
        ("seen", "version", "zones", "ages"),
        [
            (5, 1, (), (2.0, 3.0)),
            (6, 1, (), (None, 3.0)),
            (5, 2, (), (2.0, None)),
            (5, 1, ("east",), (2.0, None)),
            (4, 0, (), (2.0, 3.0)),
        ],
    )
    def test_view_of_another_vm(self, seen, version, zones, ages):
        """Guards against an incomplete view that is considered current.

        Another VM's complete view proves this VM's only if this VM has
        everything that the other VM has.
        """

        async def main():
            state = fakes.new_cluster_state(
                fakes.VirtualClock(), fakes.MemoryEvents()
            )
            state.seen = 5
            await asyncio.sleep(10.0)
            evacuations = eligibility.Evacuations(zones, 9 if zones else 0)
            state.record_view_ages(seen, 8.0, version, evacuations, 7.0)
            assert fakes.view_ages(state) == ages

        virtual.run(main())
