"""Attempts to open a connection, which may outlast the call that began them.

A call waits only briefly for a connection, so that it can turn elsewhere. If
the attempt ended with it, no connection would ever open over a link whose round
trip takes longer than that, however often the call is repeated.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
from typing import Generic
from typing import TypeVar

_T = TypeVar("_T")
MAX_SECONDS = 3.5
"""Longest duration of an attempt: a lost SYN packet is sent again after one and
after three seconds."""
_MAX_ABANDONED = 64
"""Attempts that go on without a call that waits for them, for all addresses;
each holds a socket."""


class ConnectionAttempts(Generic[_T]):
    """Attempts that are under way, and the calls that wait for a connection."""

    __slots__ = ("_abandoned", "_keep", "_open", "_running", "_waiting")

    def __init__(
        self,
        open_connection: Callable[[str, float], Awaitable[_T]],
        keep: Callable[[_T, str], None],
    ) -> None:
        """Creates it without any attempt.

        Args:
            open_connection: Opens a connection to an address within some
                seconds; raises an exception if it can't.
            keep: Takes a connection that no call waits for any more, and its
                address.
        """
        self._open = open_connection
        self._keep = keep
        self._running: set[asyncio.Task[None]] = set()
        self._abandoned: collections.OrderedDict[asyncio.Task[None], None] = (
            collections.OrderedDict()
        )
        self._waiting: dict[str, collections.deque[asyncio.Future[_T]]] = {}

    async def first(self, address: str, timeout: float) -> _T:
        """Begins an attempt and returns the first connection that opens.

        That may be one of an earlier attempt to the same address.

        Args:
            address: Host and port.
            timeout: Longest wait in seconds.

        Raises:
            TimeoutError: No connection opened in time; the attempt goes on.
            Exception: What `open_connection` raised.
        """
        waiter: asyncio.Future[_T] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(address, collections.deque()).append(waiter)
        attempt = asyncio.create_task(self._attempt(address))
        self._running.add(attempt)
        attempt.add_done_callback(self._forget)
        try:
            done, _ = await asyncio.wait((waiter,), timeout=timeout)
            if not done:
                raise TimeoutError
            return waiter.result()
        except asyncio.CancelledError:
            if waiter.done() and waiter.exception() is None:
                self._keep(waiter.result(), address)
            raise
        finally:
            waiter.cancel()
            self._forget_waiter(address, waiter)
            if not attempt.done():
                self._abandon(attempt)

    def close(self) -> None:
        """Ends all attempts."""
        for attempt in self._running:
            attempt.cancel()

    async def _attempt(self, address: str) -> None:
        """Opens a connection for the call that has waited longest."""
        try:
            connection = await self._open(address, MAX_SECONDS)
        except Exception as error:
            if asyncio.current_task() in self._abandoned:
                # Its call has failed already, and the attempts of later calls
                # may succeed.
                return
            waiter = self._next_waiter(address)
            if waiter is not None:
                waiter.set_exception(error)
            return
        waiter = self._next_waiter(address)
        if waiter is not None:
            waiter.set_result(connection)
        else:
            self._keep(connection, address)

    def _next_waiter(self, address: str) -> asyncio.Future[_T] | None:
        """Removes and returns the first waiter of an address, None without."""
        waiting = self._waiting.pop(address, collections.deque())
        live = collections.deque(w for w in waiting if not w.done())
        waiter = live.popleft() if live else None
        if live:
            self._waiting[address] = live
        return waiter

    def _forget_waiter(self, address: str, waiter: asyncio.Future[_T]) -> None:
        """Removes a waiter that no connection was given to."""
        waiting = self._waiting.get(address)
        if waiting is None or waiter not in waiting:
            return
        waiting.remove(waiter)
        if not waiting:
            del self._waiting[address]

    def _abandon(self, attempt: asyncio.Task[None]) -> None:
        """Lets an attempt go on, and ends the oldest one if there are many."""
        self._abandoned[attempt] = None
        excess = max(len(self._abandoned) - _MAX_ABANDONED, 0)
        for oldest in tuple(itertools.islice(self._abandoned, excess)):
            oldest.cancel()

    def _forget(self, attempt: asyncio.Task[None]) -> None:
        self._running.discard(attempt)
        self._abandoned.pop(attempt, None)
