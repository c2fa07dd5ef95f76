"""Ports: the narrow interfaces to everything outside the daemon.

Each has an adapter for the real thing and one in memory. The wire formats of
the users' own platform are not known yet; replacing an adapter, by registering
another service under the same name, is all that meeting them takes.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

import msgspec
import result

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_core import messages
from mimosastile_entry import kernel

Closer = Callable[[], Awaitable[None]]


class Entry(msgspec.Struct, frozen=True):
    """A value in the store.

    Attributes:
        key: Its key.
        value: Its bytes, under a megabyte.
        revision: Rises with every change anywhere in the store.
    """

    key: str
    value: bytes
    revision: int


class Conflict(msgspec.Struct, frozen=True):
    """A compare-and-swap found another revision than expected."""

    current: Entry | None


class WatchBatch(msgspec.Struct, frozen=True):
    """What a watch brought.

    Attributes:
        entries: Changed entries, newest state of each.
        revision: Where the next watch continues.
    """

    entries: tuple[Entry, ...]
    revision: int


class StorePort(kernel.Service, Protocol):
    """The platform's key-value service.

    Failures are `STORE_UNAVAILABLE` (nothing happened) and `STORE_UNKNOWN`
    (the answer was lost, a write may have taken effect).
    """

    async def get(
        self, key: str
    ) -> result.Result[Entry | None, errors.Failure]:
        """Reads one key; None if it does not exist."""

    async def list(
        self, prefix: str
    ) -> result.Result[WatchBatch, errors.Failure]:
        """Reads all keys with a prefix."""

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.Failure | Conflict]:
        """Writes a key if its revision is the expected one.

        Args:
            key: The key.
            value: The new value.
            revision: Expected revision, 0 for a key that must not exist.

        Returns:
            The new revision, or why the write did not happen.
        """

    async def watch(
        self, prefix: str, revision: int, wait: float
    ) -> result.Result[WatchBatch, errors.Failure]:
        """Waits for a change under a prefix after a revision.

        Args:
            prefix: Prefix of the keys.
            revision: Where to continue.
            wait: Longest wait in seconds; an empty batch after that.
        """


class FleetPort(kernel.Service, Protocol):
    """The platform's lagging list of VMs."""

    async def vms(
        self,
    ) -> result.Result[tuple[fleet.Vm, ...], errors.Failure]:
        """Reads the list."""


class Request:
    """One request on its way through this VM.

    Attributes:
        method: HTTP method.
        path: Path as received, percent-encoded.
        query: Query string without the question mark.
        headers: End-to-end headers, names in lower case.
        body: The whole body if it was small enough to hold.
        stream: The rest of the body, None if `body` is all.
        request_id: Identifier for logs on all VMs.
        member: The calling member.
        deadline: Loop time at which the caller gives up.
        forwarded: Whether a peer sent it; it is not forwarded again.
        target: Target that the forwarding peer chose, empty for none.
        priority: Class, None until the router has found the route.
        origin: Region of the forwarding peer.
    """

    __slots__ = (
        "body",
        "deadline",
        "forwarded",
        "headers",
        "member",
        "method",
        "origin",
        "path",
        "query",
        "request_id",
        "stream",
        "priority",
        "target",
    )

    def __init__(
        self,
        method: str,
        path: str,
        query: str = "",
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        stream: AsyncIterator[bytes] | None = None,
        request_id: str = "",
        member: str = "",
        deadline: float = 0.0,
        forwarded: bool = False,
        target: str = "",
        origin: str = "",
    ) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.stream = stream
        self.request_id = request_id
        self.member = member
        self.deadline = deadline
        self.forwarded = forwarded
        self.target = target
        self.priority: config.Priority | None = None
        self.origin = origin


class Response:
    """An answer being passed on.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, names in lower case.
        body: The chunks. Ends by raising `BrokenAnswerError` if the answer
            broke off; whoever passes it on must then break off as well.
    """

    __slots__ = ("_closers", "body", "headers", "status")

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: AsyncIterator[bytes],
        close: Closer | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self._closers = [close] if close else []

    def on_close(self, close: Closer) -> None:
        """Adds something to do when the answer has been passed on."""
        self._closers.append(close)

    async def close(self) -> None:
        """Ends the exchange, whether or not the body was read to its end."""
        while self._closers:
            await self._closers.pop()()


class BrokenAnswerError(Exception):
    """An answer broke off after its head was passed on."""


class TargetPort(kernel.Service, Protocol):
    """Speaks to targets."""

    async def grant(
        self, vm: fleet.Vm, grant: grants.Grant, timeout: float
    ) -> result.Result[grants.GrantReply, errors.Failure]:
        """Sends a grant and waits for the reply, `timeout` seconds at most."""

    async def send(
        self,
        vm: fleet.Vm,
        request: Request,
        fence: holder.RequestFence | None,
    ) -> result.Result[Response, errors.Failure]:
        """Sends a request once.

        Failures say exactly what is known: `UNREACHABLE` only if no byte was
        sent, `WRONG_FENCE` and `DRAINING` if the target said that the request
        did not run, `ANSWER_LOST` for everything unsure.
        """


class PeerPort(kernel.Service, Protocol):
    """Speaks to other entry VMs."""

    async def call(
        self, vm: fleet.Vm, message: messages.PeerMessage, timeout: float
    ) -> result.Result[messages.PeerMessage, errors.Failure]:
        """Sends a message and returns the peer's reply."""

    async def forward(
        self, vm: fleet.Vm, request: Request
    ) -> result.Result[Response, errors.Failure]:
        """Passes a request to the keeper of its target."""


class ClockPort(kernel.Service, Protocol):
    """Monotonic time and identifiers, replaced by a test."""

    def now(self) -> float:
        """Returns monotonic seconds."""

    def wall(self) -> float:
        """Returns seconds since 1970 UTC, for records alone; it may jump."""

    def new_id(self) -> str:
        """Returns an identifier that is never used again."""

    def random(self) -> float:
        """Returns a number from 0 to 1, for jitter alone."""
