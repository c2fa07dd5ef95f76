"""Requests that wait while the configuration is replaced."""

import asyncio

import pytest

from mimosastile_standins import virtual
from tests.gateway import fleet

_CONNECTIONS = 2
"""Connections that a target takes, of which a VM uses up to twice its share."""
_REQUESTS = 12
"""Requests on the changed route."""
_RUNNING = 8
"""Those of them that targets run when the configuration is replaced; the others
wait on the VM."""
_SETTLE_SECONDS = 0.05
"""Time after which a new version is in force on the VM."""


def _replace(before, after):
    """Replaces the route of waiting requests.

    Args:
        before: Arguments of the route's rule after its name and prefix, as a
            service and options.
        after: The same in the next version; None if the route is dropped.

    Returns:
        The fleet, the requests' statuses in the order of their responses with
        the time of each, and the time since when the next version is in force.
    """
    ended = []

    async def ask(cluster, name, path):
        response = await cluster.ask(name, path, deadline_ms=5000)
        ended.append((virtual.now(), response.status))

    async def main():
        cluster = fleet.Fleet(1, watched=True, plain=2, keyed=2, work=0.4)
        await cluster.ready()
        cluster.write_configuration(
            3, added=[("x", before, "/x/")], connections=_CONNECTIONS
        )
        await asyncio.sleep(_SETTLE_SECONDS * 10)
        vm = next(iter(cluster.vms.values()))
        assert vm.cluster.version == 3
        asked = [
            asyncio.create_task(ask(cluster, vm.name, "/x"))
            for _ in range(_REQUESTS)
        ]
        await asyncio.sleep(0.1)
        assert sum(vm.balancer.own().values()) == _RUNNING
        rule = [("x", *after)] if after else []
        cluster.write_configuration(
            4,
            added=[(name, one, "/x/", *rest) for name, one, *rest in rule],
            connections=_CONNECTIONS,
        )
        await asyncio.sleep(_SETTLE_SECONDS)
        assert vm.cluster.version == 4
        replaced_at = virtual.now()
        await asyncio.gather(*asked)
        cluster.end()
        return cluster, ended, replaced_at

    return virtual.run(main())


def _arrivals(cluster, service, since):
    """Returns the requests on the route that reached a service later."""
    return [
        arrival
        for target in cluster.targets.values()
        for arrival in target.arrivals
        if target.service == service
        and arrival.path == "/x/"
        and arrival.at > since
    ]


class TestWaitingRequests:
    """Requests that wait for a target by a version that is replaced."""

    def test_service(self):
        """Guards against requests sent to the service of a replaced route."""
        cluster, ended, replaced_at = _replace(fleet.PLAIN, (fleet.KEYED,))
        assert _arrivals(cluster, fleet.PLAIN, replaced_at) == []
        waited = _arrivals(cluster, fleet.KEYED, 0.0)
        assert len(waited) == _REQUESTS - _RUNNING
        assert [status for _, status in ended] == [200] * _REQUESTS

    def test_dropped_route(self):
        """Guards against requests sent by a route that was dropped."""
        cluster, ended, replaced_at = _replace(fleet.PLAIN, None)
        assert _arrivals(cluster, fleet.PLAIN, replaced_at) == []
        statuses = [status for _, status in ended]
        assert statuses.count(200) == _RUNNING
        assert statuses.count(404) == _REQUESTS - _RUNNING
        refused_at = [at for at, status in ended if status == 404]
        assert max(refused_at) < replaced_at + _SETTLE_SECONDS

    @pytest.mark.parametrize("homes", [("q",), ("r", "q")])
    def test_homes(self, homes):
        """Guards against requests sent to a region that became excluded."""
        cluster, ended, replaced_at = _replace(
            fleet.PLAIN, (fleet.PLAIN, 2000, homes)
        )
        served = [s for _, s in ended].count(200)
        arrived = _arrivals(cluster, fleet.PLAIN, replaced_at)
        if "r" in homes:
            assert served == _REQUESTS
        else:
            assert arrived == []
            assert served == _RUNNING

    def test_timeout(self):
        """Guards against requests that wait longer than their route allows."""
        cluster, ended, replaced_at = _replace(fleet.PLAIN, (fleet.PLAIN, 300))
        assert _arrivals(cluster, fleet.PLAIN, replaced_at + 0.3) == []
        assert max(at for at, _ in ended) < replaced_at + 0.6

    def test_unchanged_route(self):
        """Guards against requests refused for a change of other routes."""
        cluster, ended, _ = _replace(fleet.PLAIN, (fleet.PLAIN,))
        assert [status for _, status in ended] == [200] * _REQUESTS
        assert cluster.statuses[200] == _REQUESTS
