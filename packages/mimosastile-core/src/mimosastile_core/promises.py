"""Which responses promise that a request did not run, and what proves it.

A caller sends a request again after such a promise, also one that may run only
once. Therefore a response with such a status reaches a caller only with a
proof; a target's response without one becomes `ErrorKind.TARGET_FAILED`.
"""

import enum
from typing import Final

from mimosastile_core import errors

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""HTTP statuses that promise: the request has not run and never will."""


class Proof(enum.Enum):
    """What proves that a request has not run and never will."""

    NOT_SENT = "not sent"
    """No byte of the request was sent to a target by any VM."""
    STATED = "stated"
    """The target stated it, in a response to this very send."""


_NOT_SENT: Final = frozenset({Proof.NOT_SENT})
_STATED: Final = frozenset({Proof.STATED})
_EITHER: Final = frozenset(Proof)

PROOFS: Final[dict[errors.ErrorKind, frozenset[Proof]]] = {
    errors.ErrorKind.BAD_REQUEST: _NOT_SENT,
    errors.ErrorKind.UNAUTHENTICATED: _NOT_SENT,
    errors.ErrorKind.FORBIDDEN: _NOT_SENT,
    errors.ErrorKind.UNKNOWN_SERVICE: _NOT_SENT,
    errors.ErrorKind.NOT_FOUND: _NOT_SENT,
    errors.ErrorKind.CONFLICT: _NOT_SENT,
    errors.ErrorKind.INVALID_CONFIG: _NOT_SENT,
    errors.ErrorKind.BODY_TOO_LARGE: _NOT_SENT,
    errors.ErrorKind.HEADERS_TOO_LARGE: _NOT_SENT,
    errors.ErrorKind.REQUEST_TIMEOUT: _NOT_SENT,
    errors.ErrorKind.MEMBER_LIMIT: _NOT_SENT,
    errors.ErrorKind.OVERLOADED: _EITHER,
    errors.ErrorKind.QUEUE_TIMEOUT: _NOT_SENT,
    errors.ErrorKind.QUARANTINED: _NOT_SENT,
    errors.ErrorKind.NO_OWNER: _NOT_SENT,
    errors.ErrorKind.NO_TARGET: _NOT_SENT,
    errors.ErrorKind.WRONG_FENCE: _STATED,
    errors.ErrorKind.DRAINING: _STATED,
    errors.ErrorKind.UNREACHABLE: _NOT_SENT,
    errors.ErrorKind.SHUTTING_DOWN: _NOT_SENT,
    errors.ErrorKind.NOT_CONFIGURED: _NOT_SENT,
    errors.ErrorKind.CONFIGURATION_OLD: _NOT_SENT,
    errors.ErrorKind.NO_ROUTE: _NOT_SENT,
    errors.ErrorKind.HELD_BACK: _NOT_SENT,
    errors.ErrorKind.REJECTED: _STATED,
    errors.ErrorKind.TARGET_REPLACED: _STATED,
    errors.ErrorKind.STORE_UNAVAILABLE: _NOT_SENT,
}
"""Proofs of the error kinds that promise. An earlier send of the same request
needs a proof of its own; without it, the request may have run."""


def needs_proof(status: int) -> bool:
    """Whether a status promises that a request has not run and never will."""
    return status in NOT_RUN_STATUSES
