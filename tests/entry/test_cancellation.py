"""Tests that a task ends if its cancellation coincides with an event."""

import asyncio

from mimosastile_standins import store
from mimosastile_standins import virtual
from mimosastile_standins import world


class TestLostCancellation:
    """A service stops in the event loop cycle that resumes its task.

    Python 3.11's `wait_for` then returns the event and loses the cancellation.
    The task would never end: a former keeper would still send grants, and a
    stopped daemon would write claims.
    """

    def test_watch_ends(self):
        """A change in the store coincides with the cancellation."""

        async def scenario():
            kept = store.MemoryStore()
            task = asyncio.ensure_future(kept.watch("", 0, 60.0))
            await virtual.pause(1.0)
            await kept.compare_and_swap("k", b"v", 0)
            task.cancel()
            await asyncio.wait([task], timeout=1.0)
            assert task.cancelled()

        virtual.run(scenario())

    def test_claims_end(self):
        """A change of the replica coincides with the cancellation."""

        async def scenario():
            made = world.World()
            kernel = await made.add_daemon("e0", "kontinent", "zagreb-a")
            await virtual.pause(1.03)
            tasks = {
                t for t in asyncio.all_tasks() if t.get_name() == "roles-claim"
            }
            kernel.find("roles")._wake.set()
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks, timeout=1.0)
            assert {task.cancelled() for task in tasks} == {True}

        virtual.run(scenario())
