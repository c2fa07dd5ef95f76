"""What an adapter for a platform provides: names, formats and calls."""

from typing import Protocol

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the headers that callers, gateway and targets exchange.

    All in lower case, as bytes.

    Attributes:
        attempt: Identifier of one attempt of a caller; targets echo it.
        deadline: Milliseconds that the sender goes on waiting.
        seal: Signature by which callers know a target's own answer.
        expected_target: Target that a request is meant for.
        not_run: Says that the target has not run the request.
        key: Key of a request, a decimal number.
        target: Identifier of the target that answers, where it says so.
        handover: Token that passes a range's state to its next owner.
    """

    attempt: bytes
    deadline: bytes
    seal: bytes
    expected_target: bytes
    not_run: bytes
    key: bytes
    target: bytes
    handover: bytes


class Item(msgspec.Struct, frozen=True):
    """A value in the store.

    Attributes:
        key: Its key.
        value: Its bytes.
        revision: Of its last change.
    """

    key: str
    value: bytes
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """All items under a prefix.

    Attributes:
        items: The items.
        revision: Where a watch continues.
    """

    items: tuple[Item, ...]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """What a watch brought.

    Attributes:
        items: Changed items, in order.
        removed: Keys that were removed and not set again, with the revision
            of that.
        revision: Where the next watch continues.
    """

    items: tuple[Item, ...]
    removed: tuple[tuple[str, int], ...]
    revision: int


class HistoryLost(msgspec.Struct, frozen=True):
    """The store has dropped what a watch would continue from."""


class Conflict(msgspec.Struct, frozen=True):
    """A transaction found other revisions than expected."""


class Session(msgspec.Struct, frozen=True):
    """A lease in the store.

    Attributes:
        id: Its identifier.
        seconds: How long it lasts without being renewed.
    """

    id: int
    seconds: float


class SessionLost(msgspec.Struct, frozen=True):
    """The store knows no such lease any more."""


class Write(msgspec.Struct, frozen=True):
    """One write of a transaction.

    Attributes:
        key: The key.
        value: Its new value.
        session: Lease that it lives with, 0 for none.
    """

    key: str
    value: bytes
    session: int = 0


class StorePort(Protocol):
    """The platform's key-value store.

    Failures are `STORE_UNAVAILABLE` (nothing was done) and `STORE_UNKNOWN`
    (no answer; a write may be done, now or later).
    """

    async def read(
        self, key: str
    ) -> result.Result[Item | None, errors.Failure]:
        """Reads one key; None if it does not exist."""

    async def list(
        self, prefix: str, *, stale: bool = False
    ) -> result.Result[Listing, errors.Failure]:
        """Reads all keys with a prefix.

        Args:
            prefix: Beginning of the keys.
            stale: Whether an answer that is seconds old will do, which is
                cheaper.
        """

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> result.Result[Changes, errors.Failure | HistoryLost]:
        """Waits up to `wait` seconds for a change after a revision."""

    async def commit(
        self,
        expected: dict[str, int],
        writes: tuple[Write, ...],
        deleted: tuple[str, ...] = (),
    ) -> result.Result[int, errors.Failure | Conflict | SessionLost]:
        """Makes all writes if keys have their expected revisions (0: none).

        Returns:
            The revision of the writes.
        """

    async def open_session(
        self, seconds: float
    ) -> result.Result[Session, errors.Failure]:
        """Makes a lease."""

    async def keep_session(
        self, session: int
    ) -> result.Result[float, errors.Failure | SessionLost]:
        """Renews a lease; returns its seconds."""

    async def end_session(self, session: int) -> None:
        """Ends a lease, if the store can be reached."""


class GrantOrder(msgspec.Struct, frozen=True):
    """Grants keys to a target, or renews them.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        fence: Fence of the grant.
        hold: Seconds from its arrival for which it lasts.
        target: Identifier of the target that answers, where it says so.
        handover: Token of the last owner, empty for none.
    """

    first: int
    last: int
    fence: int
    hold: float
    handover: str = ""


class ReleaseOrder(msgspec.Struct, frozen=True):
    """Takes keys from a target.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        fence: Fence of the order.
    """

    first: int
    last: int
    fence: int


class OrderPort(Protocol):
    """Orders to targets.

    Failures are `UNREACHABLE` (no byte was sent), `ANSWER_LOST` (may be
    carried out, now or later; the connection was reset), `WRONG_FENCE` (the
    target has seen a higher fence), `TARGET_REPLACED` (another target has the
    address) and `BAD_REQUEST` (refused as malformed).
    """

    async def grant(
        self, target: str, address: str, order: GrantOrder, timeout: float
    ) -> result.Result[target_feedback.TargetFeedback, errors.Failure]:
        """Sends a grant to a target and waits for its answer.

        Returns:
            What the target says of itself in its answer.
        """

    async def release(
        self, target: str, address: str, order: ReleaseOrder, timeout: float
    ) -> result.Result[str, errors.Failure]:
        """Takes keys back; returns the handover token once all work ended."""


class HealthPort(Protocol):
    """Health checks of targets.

    Failures are `UNREACHABLE`, `ANSWER_LOST` and `TARGET_REPLACED`.
    """

    async def check(
        self, target: directory.Target, path: str, timeout: float
    ) -> result.Result[target_feedback.HealthReport, errors.Failure]:
        """Makes a health check; its status proves nothing."""


class RecordPort(Protocol):
    """Reads what operators and targets have written into the store."""

    @property
    def configuration_key(self) -> str:
        """Key of the operators' configuration."""

    @property
    def operator_prefix(self) -> str:
        """Prefix of all that operators write."""

    @property
    def targets_prefix(self) -> str:
        """Prefix of the targets' registrations."""

    def configuration(
        self, value: bytes
    ) -> result.Result[routes.Configuration, str]:
        """Decodes a configuration, or says what is wrong with it."""

    def evacuated_zone(self, key: str) -> str | None:
        """Returns the zone that a key evacuates; None for another key."""

    def target(
        self, item: Item, now: float
    ) -> result.Result[directory.Target, str]:
        """Decodes a registration, or says what is wrong with it."""
