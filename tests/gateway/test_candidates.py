"""Filtering of targets before load balancing."""

import pytest

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import eligibility
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import routes
from mimosastile_gateway import candidates
from mimosastile_gateway import http_server
from mimosastile_gateway import pending
from mimosastile_standins import virtual
from tests.gateway import fakes

HERE = "here:1"


class FakeAdmission:
    """Gives this VM's address."""

    address = HERE


class World:
    """Targets in two regions, and a VM in one of them."""

    def __init__(self, *, keyed=False, rate=3.3):
        self.clock = fakes.VirtualClock()
        self.cluster = fakes.new_cluster_state(self.clock, fakes.MemoryEvents())
        self.service = routes.Service(
            "s", keyed=keyed, cold_seconds=3.0, cold_rate=rate
        )
        self.cluster.apply_configuration(
            routes.Configuration(2, services={"s": self.service})
        )
        for name, zone in (("a", "z"), ("b", "z"), ("c", "far")):
            self.cluster.apply_target(fakes.target(name, zone=zone))
        self.balancer = load_balancing.LoadBalancer(
            load_balancing.Location("z", "r"),
            {"z": "r"},
            load_balancing.Policy(),
        )
        self.candidates = candidates.Candidates(
            fakes.configured(),
            self.cluster,
            self.balancer,
            FakeAdmission(),
            self.clock,
            lambda: 3,
        )

    def call(self, regions=(), key=None):
        """Returns a request."""
        now = virtual.now()
        route = fakes.route(regions=regions)
        incoming = http_server.Request("GET", b"/", now)
        call = pending.Call(incoming, route, self.service, b"1", now + 2.0)
        call.key = key
        return call

    def assign(self, name):
        """Assigns all keys to a target."""
        self.cluster.apply_assignment(
            assignments.Assignment("s", (1, 1), (0,), (name,))
        )

    def evacuate(self, *zones, revision=9):
        """Evacuates zones."""
        self.cluster.apply_evacuations(
            eligibility.Evacuations(tuple(sorted(zones)), revision)
        )


def _run_check(check, **options):
    async def main():
        check(World(**options))

    virtual.run(main())


def _names(targets):
    return {target.id for target in targets}


class TestZonesAndRegions:
    """Allowed regions and evacuated zones."""

    @pytest.mark.parametrize(
        ("regions", "evacuated", "expected"),
        [
            ((), (), {"a", "b", "c"}),
            (("r",), (), {"a", "b"}),
            (("q",), (), {"c"}),
            (("nowhere",), (), set()),
            ((), ("z",), {"c"}),
            (("r",), ("z",), set()),
            (("r", "q"), ("z",), {"c"}),
        ],
    )
    def test_without_a_key(self, regions, evacuated, expected):
        """Guards against choosing a target that must not run the request."""

        def check(world):
            call = world.call(regions)
            world.evacuate(*evacuated)
            found = world.candidates.eligible(call, virtual.now())
            assert _names(found) == expected
            refused = world.candidates.exclusion_failure(call, virtual.now())
            assert (refused is None) is bool(expected)
            sampled = world.candidates.sample(call, ())
            assert _names(sampled) <= expected

        _run_check(check)

    @pytest.mark.parametrize(
        ("owner", "regions", "evacuated", "refused"),
        [
            ("a", (), (), False),
            ("c", ("r",), (), True),
            ("c", ("r", "q"), (), False),
            ("a", (), ("z",), False),
            ("a", (), ("far", "z"), False),
        ],
    )
    def test_owner_of_a_key(self, owner, regions, evacuated, refused):
        """Guards against running a key's request outside its regions."""

        def check(world):
            world.assign(owner)
            world.evacuate(*evacuated)
            call = world.call(regions, key=7)
            found = world.candidates.exclusion_failure(call, virtual.now())
            assert (found is not None) is refused
            assert (world.candidates.owner(call) is None) is refused
            if refused:
                assert found.err_value.wait > 0
                assert "outside the allowed regions" in found.err_value.detail

        _run_check(check, keyed=True)

    def test_evacuation_clears_caches(self):
        """Guards against targets cached from before an evacuation."""

        def check(world):
            call = world.call()
            assert len(world.candidates.sample(call, ())) == 2
            world.evacuate("z")
            assert _names(world.candidates.sample(call, ())) == {"c"}
            world.evacuate(revision=10)
            found = world.candidates.eligible(call, virtual.now())
            assert _names(found) == {"a", "b", "c"}

        _run_check(check)


class TestCold:
    """Targets whose request rate is limited while they are cold."""

    @pytest.mark.parametrize(
        ("sender", "rate", "sent", "waits"),
        [
            (HERE, 3.3, 0, False),
            (HERE, 3.3, 3, True),
            ("other:1", 3.3, 0, True),
            (None, 3.3, 0, True),
            ("other:1", 0.0, 0, False),
        ],
    )
    def test_only_the_gate_sends(self, sender, rate, sent, waits):
        """Guards against a cold target that all VMs send to."""

        def check(world):
            target_directory = world.cluster.directory
            target_directory.record_cold("a", 3.0, virtual.now())
            if sender:
                world.balancer.replace_gates({"a": sender}, virtual.now())
            target = target_directory.get("a").target
            for _ in range(sent):
                world.candidates.record_send(target, admitted=False)
            wait = world.candidates.send_wait(target, world.call())
            assert (wait > 0) is waits
            assert wait <= 3.0

        _run_check(check, rate=rate)
