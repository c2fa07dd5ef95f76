"""Tests of the micro-kernel."""

import asyncio
import graphlib

import pytest

from mimosastile_entry import kernel


class _Recorder(kernel.Passive):
    __slots__ = ("_log",)

    def __init__(self, name, needs, log):
        super().__init__(name, needs)
        self._log = log

    async def start(self, kernel):
        del kernel
        self._log.append(f"+{self.name}")

    async def stop(self):
        self._log.append(f"-{self.name}")


def _run(*pairs):
    log = []
    made = kernel.Kernel()
    for name, needs in pairs:
        made.register(_Recorder(name, needs, log))

    async def cycle():
        await made.start()
        await made.stop()

    asyncio.run(cycle())
    return log


class TestLifeCycle:
    """Starting and stopping in the order of needs."""

    def test_needs_start_first_and_stop_last(self):
        """The order of registration does not matter."""
        log = _run(("c", ("b",)), ("b", ("a",)), ("a", ()))
        assert log == ["+a", "+b", "+c", "-c", "-b", "-a"]

    def test_missing_need_is_named(self):
        """A replaced service under a wrong name is found at once."""
        with pytest.raises(kernel.MissingServiceError, match="'b'"):
            _run(("a", ("b",)))

    def test_circle_is_refused(self):
        """Two services that need each other cannot start."""
        with pytest.raises(graphlib.CycleError):
            _run(("a", ("b",)), ("b", ("a",)))

    def test_same_name_replaces(self):
        """This is how a bench puts its adapter in."""
        made = kernel.Kernel()
        made.register(kernel.Passive("a"))
        other = kernel.Passive("a")
        made.register(other)
        assert made.find("a") is other
