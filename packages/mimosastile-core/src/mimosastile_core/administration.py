"""Messages of the administration API, shared by the daemon and the CLI."""

import msgspec

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import patches


class Accepted(msgspec.Struct, frozen=True):
    """Response to a patch that was accepted into the configuration.

    Attributes:
        number: Number of the configuration that the patch made.
        paths: JSON pointers to the changed values.
        repeated: Whether the patch had been accepted before; it was not
            applied again.
    """

    number: int
    paths: tuple[str, ...]
    repeated: bool = False


class Preview(msgspec.Struct, frozen=True):
    """Effect of a patch if it were applied now.

    Attributes:
        base: Number of the configuration that the patch applies to.
        paths: JSON pointers to the values that would change.
        document: The configuration that would result.
    """

    base: int
    paths: tuple[str, ...]
    document: config.Document


class Meanwhile(msgspec.Struct, frozen=True):
    """A change that was accepted after the base of a patch."""

    number: int
    author: str
    time: float
    reason: str
    paths: tuple[str, ...]


class Rejected(msgspec.Struct, frozen=True):
    """A patch that was not accepted.

    Attributes:
        failure: The reason.
        current: Number in force, 0 if unknown.
        meanwhile: For a conflict, the changes accepted since the base; only
            the newest if there are many.
    """

    failure: errors.Failure
    current: int = 0
    meanwhile: tuple[Meanwhile, ...] = ()


class InForce(msgspec.Struct, frozen=True):
    """Rollout of a configuration number over the entry VMs.

    Attributes:
        number: The requested number.
        numbers: Number in force by entry VM; None if the VM did not respond.
    """

    number: int
    numbers: dict[str, int | None]

    @property
    def lagging(self) -> tuple[str, ...]:
        """Entry VMs that have not confirmed the number or a later one."""
        return tuple(
            vm for vm, n in self.numbers.items() if n is None or n < self.number
        )


class Difference(msgspec.Struct, frozen=True):
    """Difference between two numbered configurations.

    Attributes:
        older: Number of the older configuration.
        newer: Number of the newer configuration.
        paths: JSON pointers to the values that differ.
        operations: Patch operations from the older to the newer document.
    """

    older: int
    newer: int
    paths: tuple[str, ...]
    operations: tuple[patches.Operation, ...]


class MemberView(msgspec.Struct, frozen=True):
    """Operators' view of a member, without token digests.

    Attributes:
        credentials: Number of tokens.
        share: Weight in fair queueing.
        concurrency: Limit on concurrent requests over all entry VMs; 0 for
            none.
        rate: Limit on requests per second over all entry VMs; 0 for none.
    """

    credentials: int
    share: float
    concurrency: int
    rate: float


class Explanation(msgspec.Struct, frozen=True):
    """One VM's routing decision for a key, with its reasons.

    Attributes:
        service: Name of the service.
        key: The key.
        position: Hash of the key, in hex.
        target: The target of the request; empty if it is refused.
        keeper: The entry VM through which alone the target gets requests.
        refused: Error kind of the refusal; empty if the request is sent.
        number: Number of the configuration that was used.
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
    """A call of the administration API that was refused or changed state.

    Attributes:
        time: Seconds since 1970 UTC.
        vm: Entry VM that received the call.
        operator: Name of the operator; empty without a valid token.
        action: Method and path.
        outcome: "ok" or the error kind.
        detail: Patch and number, or the missing permission.
    """

    time: float
    vm: str
    operator: str
    action: str
    outcome: str
    detail: str = ""


class AdminRefusal(msgspec.Struct, frozen=True):
    """JSON body of every error response of the administration API.

    Attributes:
        refused: The error, for people and programs.
        current: For patches, the number in force; 0 if unknown.
        meanwhile: For a conflict, the changes accepted since the base.
    """

    refused: errors.Refusal
    current: int = 0
    meanwhile: tuple[Meanwhile, ...] = ()
