"""Ports: interfaces between the daemon and external systems.

Each port has an adapter for the real system and one in memory. The wire formats
of the users' own platform are not known yet. To support them, it suffices to
replace an adapter by registering another service under the same name.
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

CloseCallback = Callable[[], Awaitable[None]]


class Entry(msgspec.Struct, frozen=True):
    """A key-value entry of the store.

    Attributes:
        key: Key of the entry.
        value: Value of the entry, less than one megabyte.
        revision: Store-wide revision of the last change; increases with every
            change of any key.
    """

    key: str
    value: bytes
    revision: int


class Conflict(msgspec.Struct, frozen=True):
    """A compare-and-swap failed because the revision differs.

    Attributes:
        current: The current entry, None if the key does not exist.
    """

    current: Entry | None


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes returned by a watch or a list call.

    Attributes:
        entries: Latest state of each changed entry.
        revision: Revision at which the next watch continues.
    """

    entries: tuple[Entry, ...]
    revision: int


class StorePort(kernel.Service, Protocol):
    """The platform's key-value service.

    Failures are `STORE_UNAVAILABLE` (the call had no effect) and
    `STORE_UNKNOWN` (the response was lost, a write may have taken effect).
    """

    async def get(
        self, key: str
    ) -> result.Result[Entry | None, errors.Failure]:
        """Reads an entry; None if the key does not exist."""

    async def list(
        self, prefix: str
    ) -> result.Result[WatchBatch, errors.Failure]:
        """Reads all entries whose keys have a prefix."""

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.Failure | Conflict]:
        """Writes a key if its revision is the expected one.

        Args:
            key: The key.
            value: The new value.
            revision: Expected revision, 0 for a key that must not exist.

        Returns:
            The new revision, a conflict if the revision differs, or a failure.
        """

    async def watch(
        self, prefix: str, revision: int, wait: float
    ) -> result.Result[WatchBatch, errors.Failure]:
        """Waits for a change under a prefix after a revision.

        Args:
            prefix: Prefix of the keys.
            revision: Revision after which changes are returned.
            wait: Time-out in seconds, after which an empty batch is returned.
        """


class FleetPort(kernel.Service, Protocol):
    """The platform's list of VMs, which lags behind their actual state."""

    async def vms(
        self,
    ) -> result.Result[tuple[fleet.Vm, ...], errors.Failure]:
        """Reads the list of VMs."""


class Request:
    """A request being processed by this VM.

    Attributes:
        method: HTTP method.
        path: Path as received, percent-encoded.
        query: Query string without the question mark.
        headers: End-to-end headers, names in lower case.
        body: The complete body if it is small enough to be buffered.
        stream: The rest of the body, None if `body` is complete.
        request_id: Identifier that correlates logs of all VMs.
        member: Name of the member that sent the request.
        deadline: Event loop time at which the caller gives up, in seconds.
        forwarded: Whether a peer forwarded the request. It is not forwarded
            again then.
        target: Target that the forwarding peer selected, empty for none.
        priority: Priority class, None until the router has selected a route.
        origin: Region of the forwarding peer, empty if not forwarded.
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
    """A response being proxied to the caller.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, names in lower case.
        body: Chunks of the body. Raises `BrokenResponseError` if the response
            was truncated. The consumer must then abort its own response.
    """

    __slots__ = ("_close_callbacks", "body", "headers", "status")

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: AsyncIterator[bytes],
        close: CloseCallback | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self._close_callbacks = [close] if close else []

    def on_close(self, close: CloseCallback) -> None:
        """Registers a callback to await when the response is closed."""
        self._close_callbacks.append(close)

    async def close(self) -> None:
        """Runs the callbacks, whether or not the body was read completely."""
        while self._close_callbacks:
            await self._close_callbacks.pop()()


class BrokenResponseError(Exception):
    """A response was truncated after its head had been sent on."""


class TargetPort(kernel.Service, Protocol):
    """Client for targets."""

    async def grant(
        self, vm: fleet.Vm, grant: grants.Grant, timeout: float
    ) -> result.Result[grants.GrantReply, errors.Failure]:
        """Sends a grant and returns the reply, with a time-out in seconds."""

    async def send(
        self,
        vm: fleet.Vm,
        request: Request,
        fence: holder.RequestFence | None,
    ) -> result.Result[Response, errors.Failure]:
        """Sends a request once, without retries.

        The failure kind tells whether the request may have been executed:
        `UNREACHABLE` only if no byte was sent, `WRONG_FENCE` and `DRAINING` if
        the target reported that it did not execute the request, `ANSWER_LOST`
        if the outcome is unknown.
        """


class PeerPort(kernel.Service, Protocol):
    """Client for other entry VMs."""

    async def call(
        self, vm: fleet.Vm, message: messages.PeerMessage, timeout: float
    ) -> result.Result[messages.PeerMessage, errors.Failure]:
        """Sends a message and returns the reply, with a time-out in seconds."""

    async def forward(
        self, vm: fleet.Vm, request: Request
    ) -> result.Result[Response, errors.Failure]:
        """Forwards a request to the keeper of its target.

        The keeper is the entry VM through which alone a target gets requests
        and grants.
        """


class ClockPort(kernel.Service, Protocol):
    """Clock, identifiers and random numbers, replaceable in tests."""

    def now(self) -> float:
        """Returns the monotonic time in seconds."""

    def wall(self) -> float:
        """Returns Unix seconds, for records only, as the clock may jump."""

    def new_id(self) -> str:
        """Returns a unique identifier."""

    def random(self) -> float:
        """Returns a random number from 0 to 1, for jitter only."""
