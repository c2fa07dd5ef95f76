"""Interfaces that a platform's adapter implements: names, formats and calls."""

import enum
from typing import Protocol

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import routes
from mimosastile_core.gateway import target_feedback


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the HTTP headers between callers, gateway and targets.

    Names are in lower case, as bytes.

    Attributes:
        attempt: Identifier of a caller's attempt; targets echo it.
        deadline: Milliseconds for which the sender still waits.
        seal: Signature by which callers recognize a target's own response.
        expected_target: Identifier of the target that a request is meant for.
        not_run: Present if the target did not run the request.
        key: Key of a request, a decimal number.
        target: Identifier of the responding target; optional.
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
    """A key-value pair in the store.

    Attributes:
        key: The key.
        value: The value.
        revision: Revision of the last change.
    """

    key: str
    value: bytes
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """All items under a prefix.

    Attributes:
        items: The items.
        revision: Revision after which a watch continues.
    """

    items: tuple[Item, ...]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes that a watch returned.

    Attributes:
        items: Changed items, in order.
        removed: Keys that were removed and not set again, with the revision
            of the removal.
        revision: Revision after which the next watch continues.
    """

    items: tuple[Item, ...]
    removed: tuple[tuple[str, int], ...]
    revision: int


class HistoryLost(msgspec.Struct, frozen=True):
    """The store has compacted the revisions that a watch needs."""


class Conflict(msgspec.Struct, frozen=True):
    """A transaction's expected revisions did not match."""


class Session(msgspec.Struct, frozen=True):
    """A lease in the store.

    Attributes:
        id: Identifier of the lease.
        seconds: Seconds until it expires without a renewal.
    """

    id: int
    seconds: float


class SessionLost(msgspec.Struct, frozen=True):
    """The lease has expired or was ended."""


class Write(msgspec.Struct, frozen=True):
    """One write of a transaction.

    Attributes:
        key: The key.
        value: Its new value.
        session: Lease with which the key is removed, 0 for none.
    """

    key: str
    value: bytes
    session: int = 0


class StorePort(Protocol):
    """The platform's key-value store.

    Failures are `STORE_UNAVAILABLE` (nothing was done) and `STORE_UNKNOWN`
    (no valid response; a write may take effect now or later).
    """

    async def read(
        self, key: str
    ) -> result.Result[Item | None, errors.Failure]:
        """Reads one key; returns None if it does not exist."""

    async def list(
        self, prefix: str, *, stale: bool = False
    ) -> result.Result[Listing, errors.Failure]:
        """Reads all keys with a prefix.

        Args:
            prefix: Prefix of the keys.
            stale: Whether a response that is seconds out of date is
                acceptable, which is cheaper.
        """

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> result.Result[Changes, errors.Failure | HistoryLost]:
        """Waits up to `wait` seconds for changes after the revision `after`."""

    async def commit(
        self,
        expected: dict[str, int],
        writes: tuple[Write, ...],
        deleted: tuple[str, ...] = (),
    ) -> result.Result[int, errors.Failure | Conflict | SessionLost]:
        """Writes and deletes keys in one compare-and-swap transaction.

        Args:
            expected: Expected revisions by key, 0 for a key that must not
                exist.
            writes: The writes.
            deleted: Keys to delete.

        Returns:
            The revision of the writes.
        """

    async def open_session(
        self, seconds: float
    ) -> result.Result[Session, errors.Failure]:
        """Creates a lease."""

    async def keep_session(
        self, session: int
    ) -> result.Result[float, errors.Failure | SessionLost]:
        """Renews a lease; returns its duration in seconds."""

    async def end_session(self, session: int) -> None:
        """Revokes a lease, if the store can be reached."""


class GrantOrder(msgspec.Struct, frozen=True):
    """Grants a range of keys to a target, or renews the grant.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token of the grant.
        hold: Grant duration in seconds, from the arrival of the order.
        handover: Token from the former owner, empty for none.
    """

    first: int
    last: int
    fence: int
    hold: float
    handover: str = ""


class ReleaseOrder(msgspec.Struct, frozen=True):
    """Revokes a range of keys from a target.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        fence: Fencing token of the order.
    """

    first: int
    last: int
    fence: int


class OrderPort(Protocol):
    """Orders to targets.

    Failures are `UNREACHABLE` (no byte was sent), `ANSWER_LOST` (no response;
    the order may take effect now or later, and the connection was reset),
    `WRONG_FENCE` (the target has received a higher fence), `TARGET_REPLACED`
    (another target has the address) and `BAD_REQUEST` (rejected as malformed).
    """

    async def grant(
        self, target: str, address: str, order: GrantOrder, timeout: float
    ) -> result.Result[target_feedback.TargetFeedback, errors.Failure]:
        """Sends a grant to a target and waits for its response.

        Returns:
            The target's feedback in its response.
        """

    async def release(
        self, target: str, address: str, order: ReleaseOrder, timeout: float
    ) -> result.Result[str, errors.Failure]:
        """Revokes keys; returns the handover token when all work has ended."""


class HealthPort(Protocol):
    """Health checks of targets.

    Failures are `UNREACHABLE`, `ANSWER_LOST` and `TARGET_REPLACED`.
    """

    async def check(
        self, target: directory.Target, path: str, timeout: float
    ) -> result.Result[target_feedback.HealthReport, errors.Failure]:
        """Makes a health check; the HTTP status is not evaluated."""


class RejectionReason(enum.Enum):
    """Why a registration names no target."""

    MALFORMED = "malformed"
    STATE = "state"
    ADDRESS = "address"
    SERVICE = "service"


class Rejection(msgspec.Struct, frozen=True):
    """A registration that names no target.

    Attributes:
        reason: The reason.
        detail: What was found, for the log.
    """

    reason: RejectionReason
    detail: str


class RecordPort(Protocol):
    """Decodes the records of operators and targets in the store."""

    @property
    def configuration_key(self) -> str:
        """Key of the operators' configuration."""

    @property
    def operator_prefix(self) -> str:
        """Prefix of all keys that operators write."""

    @property
    def targets_prefix(self) -> str:
        """Prefix of the targets' registrations."""

    def configuration(
        self, value: bytes
    ) -> result.Result[routes.Configuration, str]:
        """Decodes a configuration; returns an error text if it is invalid."""

    def evacuated_zone(self, key: str) -> str | None:
        """Returns the zone that a key evacuates, None for any other key."""

    def target(
        self, item: Item, now: float
    ) -> result.Result[directory.Target, Rejection]:
        """Decodes a registration; returns why it names no target otherwise."""
