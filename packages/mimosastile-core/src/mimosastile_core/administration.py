"""Messages of the administration API, shared by daemon and command line."""

import msgspec

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import patches


class Accepted(msgspec.Struct, frozen=True):
    """A patch that is part of the configuration.

    Attributes:
        number: Its number.
        paths: What it changed.
        repeated: It had been accepted before; nothing was done again.
    """

    number: int
    paths: tuple[str, ...]
    repeated: bool = False


class Preview(msgspec.Struct, frozen=True):
    """What a patch would do if it were applied now.

    Attributes:
        base: Its base.
        paths: What it would change.
        document: The configuration that it would make.
    """

    base: int
    paths: tuple[str, ...]
    document: config.Document


class Meanwhile(msgspec.Struct, frozen=True):
    """One change that was accepted between a patch's base and now."""

    number: int
    author: str
    time: float
    reason: str
    paths: tuple[str, ...]


class Rejected(msgspec.Struct, frozen=True):
    """A patch that was not accepted.

    Attributes:
        failure: Why.
        current: Number in force, 0 if unknown.
        meanwhile: For a conflict, what was accepted since the base; the
            newest ones if there are many.
    """

    failure: errors.Failure
    current: int = 0
    meanwhile: tuple[Meanwhile, ...] = ()


class InForce(msgspec.Struct, frozen=True):
    """How far a number has come.

    Attributes:
        number: The number asked for.
        numbers: Entry VM to the number in force there; None if it did not
            answer.
    """

    number: int
    numbers: dict[str, int | None]

    @property
    def lagging(self) -> tuple[str, ...]:
        """Entry VMs that are not known to have the number in force."""
        return tuple(
            vm for vm, n in self.numbers.items() if n is None or n < self.number
        )


class Difference(msgspec.Struct, frozen=True):
    """How two numbers differ.

    Attributes:
        older: The one number.
        newer: The other.
        paths: JSON pointers to what differs.
        operations: What turns the older document into the newer.
    """

    older: int
    newer: int
    paths: tuple[str, ...]
    operations: tuple[patches.Operation, ...]


class MemberView(msgspec.Struct, frozen=True):
    """What operators see of a member; digests are left out.

    Attributes:
        credentials: How many tokens it has.
        share: Weight in fair queueing.
        concurrency: Requests under way over all entry VMs; 0 for no limit.
        rate: Requests a second over all entry VMs; 0 for no limit.
    """

    credentials: int
    share: float
    concurrency: int
    rate: float


class Explanation(msgspec.Struct, frozen=True):
    """Why a request for a key goes where it goes, as seen by one VM.

    Attributes:
        service: Name of the service.
        key: The key.
        position: Its hash, in hex.
        target: The target that gets it; empty if it is refused.
        keeper: Entry VM through which it goes.
        refused: Error kind of the refusal; empty if it is sent.
        number: Number of the configuration that decides.
        reasons: Steps of the decision, for people.
    """

    service: str
    key: str
    position: str
    target: str
    keeper: str
    refused: str
    number: int
    reasons: tuple[str, ...]


class AuditEntry(msgspec.Struct, frozen=True):
    """One call of the administration API that was refused or changed things.

    Attributes:
        time: Seconds since 1970 UTC.
        vm: Entry VM that took the call.
        operator: Who; empty if no valid token was shown.
        action: Method and path.
        outcome: "ok" or the error kind.
        detail: Patch and number, or what was missing.
    """

    time: float
    vm: str
    operator: str
    action: str
    outcome: str
    detail: str = ""


class AdminRefusal(msgspec.Struct, frozen=True):
    """The one JSON shape of every refusal of the administration API.

    Attributes:
        refused: The error kind, for people and programs.
        current: For patches, the number in force; 0 if unknown.
        meanwhile: For a conflict, what was accepted since the base.
    """

    refused: errors.Refusal
    current: int = 0
    meanwhile: tuple[Meanwhile, ...] = ()
