"""Messages of the administration API, shared by daemon and command line."""

import msgspec

from mimosastile_core import config
from mimosastile_core import errors


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
