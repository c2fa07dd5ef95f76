"""State of one invocation: API client, output format and exit codes."""

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
"""The daemon is unreachable, or another error occurred."""
EXIT_INVALID = 2
"""The command or the patch is invalid; nothing was changed."""
EXIT_FORBIDDEN = 3
"""The token is missing or invalid, or does not permit the operation."""
EXIT_CONFLICT = 4
"""Another patch was accepted first; nothing was changed."""
EXIT_NOT_FOUND = 5
"""The requested object does not exist."""
EXIT_OUTCOME_UNKNOWN = 6
"""The patch may have been accepted; a retry with the same identifier shows."""
EXIT_LAGGING = 7
"""The change was not in force on all entry VMs within the time-out."""

_Kind = errors.ErrorKind
_EXIT_CODES = {
    _Kind.BAD_REQUEST: EXIT_INVALID,
    _Kind.INVALID_CONFIG: EXIT_INVALID,
    _Kind.BODY_TOO_LARGE: EXIT_INVALID,
    _Kind.UNAUTHENTICATED: EXIT_FORBIDDEN,
    _Kind.FORBIDDEN: EXIT_FORBIDDEN,
    _Kind.CONFLICT: EXIT_CONFLICT,
    _Kind.NOT_FOUND: EXIT_NOT_FOUND,
    _Kind.UNKNOWN_SERVICE: EXIT_NOT_FOUND,
    _Kind.STORE_UNKNOWN: EXIT_OUTCOME_UNKNOWN,
    _Kind.ANSWER_LOST: EXIT_OUTCOME_UNKNOWN,
}
_T = TypeVar("_T")


class Session:
    """API client and output format of one invocation.

    Attributes:
        api: Client for the administration API.
        json: Whether to print JSON instead of tables.
    """

    __slots__ = ("api", "json")

    def __init__(self, address: str, token_file: str, json: bool) -> None:
        environment = _api.environment()
        token = _api.find_token(environment, token_file)
        if isinstance(token, result.Err):
            exit_with(token.err_value, EXIT_INVALID)
        ca_file = environment.get(_api.CA_FILE_VARIABLE, "")
        self.api = _api.Api(address, token.ok_value, ca_file)
        self.json = json

    def read(self, kind: type[_T], view: str, **query: Any) -> _T:
        """Reads and decodes a view; exits if the call failed."""
        return self.decode(kind, self.api.get(view, **query))

    def decode(self, kind: type[_T], response: _api.ApiResult) -> _T:
        """Decodes the result of a call; exits if the call failed."""
        if isinstance(response, result.Err):
            exit_refused(response.err_value)
        return msgspec.json.decode(response.ok_value, type=kind)


def exit_refused(refusal: administration.AdminRefusal) -> NoReturn:
    """Prints a refusal and exits with its exit code."""
    for change in refusal.meanwhile:
        _printing.write_notice(
            f"  number {change.number} by {change.author or '-'},"
            f" {_printing.format_time(change.time)}: {change.reason}"
            f" ({', '.join(change.paths)})"
        )
    exit_with(refusal.refused.message, exit_code(refusal))


def exit_code(refusal: administration.AdminRefusal) -> int:
    """Returns the exit code for a refusal."""
    try:
        return _EXIT_CODES.get(_Kind(refusal.refused.error), EXIT_FAILED)
    except ValueError:
        return EXIT_FAILED


def exit_with(line: str, code: int) -> NoReturn:
    """Prints the reason to standard error and exits."""
    _printing.write_notice(f"mimosactl: {line}")
    sys.exit(code)
