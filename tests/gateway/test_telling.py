"""How VMs hear what a leader knows."""

import asyncio

import pytest

from mimosastile_core.gateway import assignments
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import routes
from mimosastile_gateway import messages
from mimosastile_gateway import telling
from mimosastile_standins import virtual
from tests.gateway import fakes

ENTRY = leadership.LeaderEntry("vm-1", "b", 1, "one:1")


class Calls:
    """Keeps what is sent to peers."""

    def __init__(self):
        self.sent = []

    async def call(self, address, path, body, timeout):
        """Keeps one message."""
        told = messages.decode(body, messages.ReportReply)
        self.sent.append((address, told))
        return b"{}"


def _vm(name):
    return messages.VmEntry(name, "b", f"{name}:1", "z")


def _play(scenario):
    async def main():
        timer = fakes.VirtualClock()
        known = fakes.known(timer, fakes.Lines(), fakes.target("a"))
        calls = Calls()
        made = telling.Telling("vm-1", calls, known, timer)
        made.begin(ENTRY, [_vm("vm-1"), _vm("vm-2"), _vm("vm-3")])
        await asyncio.sleep(0.1)
        await scenario(made, known, calls)
        made.stop()

    virtual.run(main())


class TestBegin:
    """A VM begins to lead."""

    def test_all_registered_vms_hear_of_it(self):
        """A leader dies and another one takes over.

        VMs that go on reporting to the dead one would hear of no change until
        they have read the store, all at the same time.
        """

        async def scenario(made, known, calls):
            assert {address for address, _ in calls.sent} == {
                "vm-2:1",
                "vm-3:1",
            }
            assert all(told.leader == ENTRY for _, told in calls.sent)

        _play(scenario)


class TestNews:
    """Changes go out at once, and only what is new in them."""

    @pytest.mark.parametrize("behind", [0, 1])
    def test_configuration(self, behind):
        """A VM that knows the version before is told what has changed."""

        async def scenario(made, known, calls):
            report = messages.Report(
                _vm("vm-2"), True, configuration=known.version - behind * 2
            )
            made.take(report)
            calls.sent.clear()
            known.take_configuration(routes.Configuration(2))
            await asyncio.sleep(0.1)
            ((address, told),) = calls.sent
            assert address == "vm-2:1"
            whole = told.news.configuration is not None
            assert whole is bool(behind)
            assert (told.news.change is not None) is not whole

        _play(scenario)

    def test_nothing_twice(self):
        """What a VM was told is not told again before it reports."""

        async def scenario(made, known, calls):
            made.take(messages.Report(_vm("vm-2"), True))
            await asyncio.sleep(0.1)
            calls.sent.clear()
            known.take_configuration(routes.Configuration(2))
            await asyncio.sleep(0.1)
            known.signal()
            await asyncio.sleep(0.1)
            assert len(calls.sent) == 1

        _play(scenario)

    def test_assignment_by_difference(self):
        """A VM that has the assignment before gets the changed keys alone."""

        async def scenario(made, known, calls):
            old = assignments.Assignment("s", (1, 1), (0, 9), ("a", "b"))
            made.publish(old)
            lacking = made.lacking(messages.Report(_vm("vm-2"), True))
            assert lacking.assignments == (old,)
            new = assignments.Assignment("s", (1, 2), (0, 9), ("a", "a"))
            made.publish(new)
            lacking = made.lacking(
                messages.Report(_vm("vm-2"), True, versions={"s": (1, 1)})
            )
            (told,) = lacking.differences
            assert assignments.apply(old, told).owner(10) == "a"
            assert not lacking.assignments

        _play(scenario)
