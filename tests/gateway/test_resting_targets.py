"""Tests of targets that reject requests and ask for a backoff."""

import asyncio

import pytest

from mimosastile_standins import virtual
from tests.gateway import fleet

MAX_REQUESTS = 2
REACTION_SECONDS = 0.5
"""Time within which a VM has to start the backoff."""


def _reject(target, seconds, *, runs=True):
    """Lets a target reject all requests with Retry-After; returns the time."""
    target.extra_headers["retry-after"] = seconds
    target.rejects = True
    target.runs = runs
    return virtual.now()


def max_requests_in_backoff(target, seconds):
    """Returns the largest number of a VM's requests during a backoff."""
    notified = [
        (at, vm)
        for at, vm, headers in target.responses
        if b"retry-after" in headers
    ]
    return max(
        (
            sum(
                a.vm == vm and at + REACTION_SECONDS < a.at < at + seconds
                for a in target.arrivals
            )
            for at, vm in notified
        ),
        default=0,
    )


def _run(scenario, vms=10, **sizes):
    async def main():
        cluster = fleet.Fleet(vms, **sizes)
        await cluster.ready()
        await scenario(cluster)
        cluster.end()

    virtual.run(main())


class TestBackoff:
    """Responses with status 503 and Retry-After."""

    @pytest.mark.parametrize("path", ["/s", "/p"])
    @pytest.mark.parametrize("runs", [False, True])
    @pytest.mark.parametrize("seconds", ["0.9", "2.5", "7200"])
    def test_vm_sends_no_more_requests(self, seconds, runs, path):
        """Guards against requests to a target that asked for a backoff."""

        async def scenario(cluster):
            key = fleet.any_key if path == "/s" else None
            await cluster.call(1.0, 120.0, path, key)
            target = cluster.owner() if key else cluster.targets["p0"]
            _reject(target, seconds, runs=runs)
            await cluster.call(6.0, 120.0, path, key)
            assert (
                max_requests_in_backoff(target, float(seconds)) <= MAX_REQUESTS
            )

        _run(scenario)

    @pytest.mark.parametrize("path", ["/s", "/p"])
    def test_used_again_afterwards(self, path):
        """Guards against a backoff longer than the target asked for."""

        async def scenario(cluster):
            key = fleet.any_key if path == "/s" else None
            await cluster.call(1.0, 120.0, path, key)
            target = cluster.owner() if key else cluster.targets["p0"]
            _reject(target, "1.5")
            await cluster.call(3.0, 120.0, path, key)
            target.rejects = False
            del target.extra_headers["retry-after"]
            await asyncio.sleep(1.5)
            since = virtual.now()
            await cluster.call(8.0, 120.0, path, key)
            received = sum(a.at > since for a in target.arrivals)
            assert received > 80

        _run(scenario)

    @pytest.mark.parametrize("seconds", ["0", "-1", "soon", "1e9", ""])
    def test_invalid_retry_after(self, seconds):
        """Guards against a backoff for a Retry-After that is invalid."""

        async def scenario(cluster):
            target = cluster.targets["p0"]
            _reject(target, seconds, runs=False)
            await cluster.call(1.0, 120.0, "/p")
            target.rejects = False
            since = virtual.now()
            await cluster.call(6.0, 120.0, "/p")
            received = sum(a.at > since for a in target.arrivals)
            assert received > 30

        _run(scenario)

    def test_only_owner_of_a_key(self):
        """Guards against callers that wait for an owner in a long backoff."""

        async def scenario(cluster):
            await cluster.call(1.0, 120.0, "/s", fleet.any_key)
            target = cluster.owner()
            _reject(target, "7200", runs=False)
            await cluster.call(4.0, 60.0, "/s", lambda _: 0)
            began = virtual.now()
            response = await cluster.ask("vm-003", "/s", 0)
            if response.status == 503:
                assert virtual.now() - began < 0.1
                assert 0 < cluster.refusals[-1] <= 5.0

        _run(scenario)

    def test_keys_move_from_an_owner_in_a_long_backoff(self):
        """Guards against keys that are not served during hours of backoff."""

        async def scenario(cluster):
            await cluster.call(1.0, 120.0, "/s", fleet.any_key)
            target = cluster.owner()
            _reject(target, "7200", runs=False)
            await cluster.call(6.0, 120.0, "/s", fleet.any_key)
            cluster.statuses.clear()
            await cluster.call(3.0, 120.0, "/s", fleet.any_key)
            assert set(cluster.statuses) == {200}

        _run(scenario)

    def test_next_incarnation(self):
        """Guards against the backoff of an earlier incarnation."""

        async def scenario(cluster):
            target = cluster.targets["p0"]
            _reject(target, "7200", runs=False)
            await cluster.call(2.0, 120.0, "/p")
            target.rejects = False
            target.extra_headers.clear()
            target.born = 2
            cluster.apply_target(target.registration)
            since = virtual.now()
            await cluster.call(4.0, 120.0, "/p")
            received = sum(a.at > since for a in target.arrivals)
            assert received > 30

        _run(scenario)
