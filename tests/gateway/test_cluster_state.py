"""What a VM comes to believe, whatever of it is lost on the way."""

import asyncio

import pytest

from mimosastile_core.gateway import configurations
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import routes
from mimosastile_gateway import messages
from mimosastile_standins import virtual
from tests.gateway import fakes


def _news(after, revision, *targets):
    return messages.StateUpdate(
        after,
        revision,
        tuple(
            messages.TargetUpdate(t, t.revision, False, 0.0) for t in targets
        ),
    )


def _known():
    return fakes.new_cluster_state(
        fakes.VirtualClock(), fakes.MemoryEvents(), fakes.target("a")
    )


def _play(check):
    async def main():
        check(_known())

    virtual.run(main())


class TestNews:
    """News that build on each other."""

    def test_lost_news_are_not_taken_for_known(self):
        """A leader's first message is lost and its second one arrives.

        A target is about to leave, says the first. If the VM claimed to know
        all up to the end of the second one, nobody would ever tell it, and it
        would send requests to that target until it is gone.
        """

        def check(known):
            known.apply_update(_news(0, 5))
            known.apply_update(_news(7, 9, fakes.target("b", revision=9)))
            assert known.seen == 5
            assert known.directory.get("b")
            leaving = fakes.target("a", leaving=True, revision=6)
            known.apply_update(_news(5, 9, leaving))
            assert known.seen == 9
            standing = known.directory.get("a").standing
            assert standing is directory.TargetStatus.LEAVING

        _play(check)

    def test_change_of_another_version(self):
        """A change is told for a version that this VM does not have.

        It is left out, and the next report says which version the VM has.
        """

        def check(known):
            told = configurations.Change(5, 6)
            known.apply_update(messages.StateUpdate(0, 1, change=told))
            assert known.version == 1
            told = configurations.Change(1, 6)
            known.apply_update(messages.StateUpdate(0, 1, change=told))
            assert known.version == 6

        _play(check)

    def test_whoever_is_behind_gets_a_change(self):
        """A VM that knows the version before is told only what differs."""

        def check(known):
            former = known.configuration
            known.apply_configuration(routes.Configuration(2, former.routes))
            assert known.updates_since(0, 1).change.base == 1
            assert known.updates_since(0, -1).configuration.version == 2
            assert known.updates_since(0, 2) is None

        _play(check)


class TestConfigurationSeen:
    """Up to where the store is known to hold no newer configuration."""

    def test_other_version_says_nothing(self):
        """A leader that knows another version confirms only that one."""

        def check(known):
            known.confirm_configuration(1, 7)
            known.confirm_configuration(2, 9)
            assert known.configuration_seen == 7

        _play(check)


class TestEvacuations:
    """Zones whose targets get nothing new."""

    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ([(("a",), 3)], ("a",)),
            ([(("a",), 3), ((), 5)], ()),
            ([((), 5), (("a",), 3)], ()),
            ([(("a",), 3), (("a", "b"), 4), (("b",), 4)], ("a", "b")),
        ],
    )
    def test_newest_counts(self, changes, expected):
        """Guards against an older view of the store that arrives late."""

        def check(known):
            for zones, revision in changes:
                known.apply_evacuations(
                    eligibility.Evacuations(zones, revision)
                )
            assert known.evacuations.zones == expected

        _play(check)

    @pytest.mark.parametrize(("rate", "cold"), [(3.3, True), (0.0, False)])
    def test_taken_back(self, rate, cold):
        """Guards against full load on a zone that comes back cold."""

        def check(known):
            service = routes.Service("s", cold_seconds=3.0, cold_rate=rate)
            known.apply_configuration(
                routes.Configuration(2, services={"s": service})
            )
            known.apply_target(fakes.target("x"))
            known.apply_evacuations(eligibility.Evacuations(("z",), 3))
            assert not known.cold_targets()
            known.apply_evacuations(eligibility.Evacuations((), 4))
            assert ("x" in known.cold_targets()) is cold

        _play(check)

    def test_owner_serves_until_it_is_released(self):
        """Guards against a gap while the keys of a zone are moved."""

        async def main():
            known = _known()
            known.apply_evacuations(eligibility.Evacuations(("z",), 3))
            assert known.owner_excluded("z", ()) is None
            assert known.owner_excluded("z", ("q",)) is not None
            await asyncio.sleep(1.6)
            assert known.owner_excluded("z", ()) is not None

        virtual.run(main())

    def test_view_is_current_only_with_them(self):
        """Guards against a watch that begins after a missed evacuation."""

        def check(known):
            known.confirm_configuration(known.version, 7, ("z",))
            assert known.configuration_seen == 0
            known.apply_evacuations(eligibility.Evacuations(("z",), 6))
            known.confirm_configuration(known.version, 7, ("z",))
            assert known.configuration_seen == 7

        _play(check)


class TestAbleOwners:
    """Targets that should own keys."""

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
        """Guards against keys on targets that may not serve them."""

        def check(known):
            service = routes.Service(
                "s", keyed=True, cold_seconds=3.0, cold_rate=3.3
            )
            route = fakes.route(regions=regions)
            known.apply_configuration(
                routes.Configuration(2, (route,), {"s": service})
            )
            for name, zone in (("a", "z"), ("b", "z"), ("c", "far")):
                warm_at = 3.0 if name in cold else 0.0
                known.apply_target(
                    fakes.target(name, zone=zone, warm_at=warm_at)
                )
            known.apply_evacuations(eligibility.Evacuations(evacuated, 3))
            assert {t.id for t in known.eligible_owners(service)} == expected

        _play(check)


class TestViews:
    """How old this VM's views of the store are."""

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
    def test_word_of_another_vm(self, seen, version, zones, ages):
        """Guards against a VM that takes its view for complete as another is.

        It says so only of a VM that knows all that the other one knows.
        """

        async def main():
            known = fakes.new_cluster_state(
                fakes.VirtualClock(), fakes.MemoryEvents()
            )
            known.seen = 5
            await asyncio.sleep(10.0)
            evacuations = eligibility.Evacuations(zones, 9 if zones else 0)
            known.record_view_ages(seen, 8.0, version, evacuations, 7.0)
            assert fakes.view_ages(known) == ages

        virtual.run(main())
