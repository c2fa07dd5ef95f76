"""One run of the command line: where to call, how to print, how to end."""

import sys
from typing import Any
from typing import NoReturn
from typing import TypeVar

import msgspec
import result

from mimosastile_core import administration
from mimosastile_core import errors
from mimosastile_ctl import _api
from mimosastile_ctl import _printing

EXIT_FAILED = 1
"""The daemon could not be reached, or something else went wrong."""
EXIT_INVALID = 2
"""A mistake in the command or the patch; nothing was changed."""
EXIT_FORBIDDEN = 3
"""No valid token, or one that does not allow this."""
EXIT_CONFLICT = 4
"""Another patch came first; nothing was changed."""
EXIT_NOT_FOUND = 5
"""What was asked for does not exist."""
EXIT_UNSURE = 6
"""The patch may have been accepted; the same identifier settles it."""
EXIT_LAGGING = 7
"""Not in force everywhere within the time of the wait."""

_Kind = errors.ErrorKind
_EXITS = {
    _Kind.BAD_REQUEST: EXIT_INVALID,
    _Kind.INVALID_CONFIG: EXIT_INVALID,
    _Kind.BODY_TOO_LARGE: EXIT_INVALID,
    _Kind.UNAUTHENTICATED: EXIT_FORBIDDEN,
    _Kind.FORBIDDEN: EXIT_FORBIDDEN,
    _Kind.CONFLICT: EXIT_CONFLICT,
    _Kind.NOT_FOUND: EXIT_NOT_FOUND,
    _Kind.UNKNOWN_SERVICE: EXIT_NOT_FOUND,
    _Kind.STORE_UNKNOWN: EXIT_UNSURE,
    _Kind.ANSWER_LOST: EXIT_UNSURE,
}
_T = TypeVar("_T")


class Session:
    """The API and the manner of printing.

    Attributes:
        api: The administration API.
        json: Whether to print JSON for programs.
    """

    __slots__ = ("api", "json")

    def __init__(self, at: str, token_file: str, json: bool) -> None:
        environment = _api.environment()
        token = _api.find_token(environment, token_file)
        if isinstance(token, result.Err):
            end(token.err_value, EXIT_INVALID)
        authority = environment.get(_api.AUTHORITY_VARIABLE, "")
        self.api = _api.Api(at, token.ok_value, authority)
        self.json = json

    def read(self, kind: type[_T], view: str, **query: Any) -> _T:
        """Reads a view or ends the run."""
        return self.take(kind, self.api.get(view, **query))

    def take(self, kind: type[_T], answer: _api.Answer) -> _T:
        """Decodes an answer or ends the run."""
        if isinstance(answer, result.Err):
            refuse(answer.err_value)
        return msgspec.json.decode(answer.ok_value, type=kind)


def refuse(refusal: administration.AdminRefusal) -> NoReturn:
    """Tells of a refusal and ends the run with its exit code."""
    for change in refusal.meanwhile:
        _printing.note(
            f"  number {change.number} by {change.author or '-'},"
            f" {_printing.moment(change.time)}: {change.reason}"
            f" ({', '.join(change.paths)})"
        )
    end(refusal.refused.message, exit_code(refusal))


def exit_code(refusal: administration.AdminRefusal) -> int:
    """Returns the exit code of a refusal."""
    try:
        return _EXITS.get(_Kind(refusal.refused.error), EXIT_FAILED)
    except ValueError:
        return EXIT_FAILED


def end(line: str, code: int) -> NoReturn:
    """Says why the run ends and ends it."""
    _printing.note(f"mimosactl: {line}")
    sys.exit(code)
