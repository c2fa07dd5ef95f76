"""Tests of the service kernel."""

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
    service_kernel = kernel.Kernel()
    for name, needs in pairs:
        service_kernel.register(_Recorder(name, needs, log))

    async def cycle():
        await service_kernel.start()
        await service_kernel.stop()

    asyncio.run(cycle())
    return log


class TestLifeCycle:
    """Services are started and stopped in dependency order."""

    def test_needs_start_first_and_stop_last(self):
        """The order of registration is irrelevant."""
        log = _run(("c", ("b",)), ("b", ("a",)), ("a", ()))
        assert log == ["+a", "+b", "+c", "-c", "-b", "-a"]

    def test_missing_need_is_named(self):
        """A replacement registered under a wrong name fails at start."""
        with pytest.raises(kernel.MissingServiceError, match="'b'"):
            _run(("a", ("b",)))

    def test_cycle_is_refused(self):
        """Two services that need each other are rejected."""
        with pytest.raises(graphlib.CycleError):
            _run(("a", ("b",)), ("b", ("a",)))

    def test_same_name_replaces_service(self):
        """Benchmarks replace adapters by registering the same name."""
        service_kernel = kernel.Kernel()
        service_kernel.register(kernel.Passive("a"))
        replacement = kernel.Passive("a")
        service_kernel.register(replacement)
        assert service_kernel.find("a") is replacement
