"""Commands that read and change the configuration: `mimosactl config …`."""

import pathlib
from typing import Any

import msgspec
import result

from mimosastile_core import administration
from mimosastile_core import config
from mimosastile_core import patches
from mimosastile_ctl import _printing
from mimosastile_ctl import _session
from mimosastile_ctl import _submit

_CHANGE_LIST = list[config.Change]
_OPERATIONS = tuple[patches.Operation, ...]


class ConfigCommands:
    """Reads and changes the numbered configuration."""

    def __init__(self, session: _session.Session) -> None:
        self._session = session

    def show(self, number: int | None = None) -> None:
        """Prints the configuration in force, or an earlier one, as JSON.

        Args:
            number: Which one.
        """
        _printing.json(
            self._session.read(config.Version, "/v1/config", number=number)
        )

    def diff(self, older: int | None = None, newer: int | None = None) -> None:
        """Prints what differs between two numbers; the last two by default.

        Args:
            older: The one number.
            newer: The other.
        """
        difference = self._session.read(
            administration.Difference,
            "/v1/config/diff",
            older=older,
            newer=newer,
        )
        if self._session.json:
            _printing.json(difference)
            return
        _printing.write_line(
            f"from number {difference.older} to {difference.newer}:"
        )
        for operation in difference.operations:
            fields: dict[str, Any] = msgspec.to_builtins(operation)
            value = msgspec.json.encode(fields.get("value")).decode()
            shown = "" if operation.op == "remove" else f"  {value}"
            _printing.write_line(f"  {operation.op:8}{operation.path}{shown}")

    def apply(
        self,
        file: str,
        reason: str,
        ticket: str = "",
        base: int | None = None,
        id: str = "",
        yes: bool = False,
        wait: bool = False,
    ) -> None:
        """Submits a patch or a whole document from a file.

        Args:
            file: JSON: a list of operations (RFC 6902), or a whole document,
                of which only what differs is submitted.
            reason: Why, for whoever reads it years later.
            ticket: Reference into your own tracker.
            base: Number that it applies to; the one in force if left out.
            id: Identifier of a patch whose outcome is open.
            yes: Submit without asking.
            wait: Wait until it is in force everywhere.
        """
        options = _submit.Options(reason, ticket, base, id, yes, False, wait)
        _submit.submit(self._session, self._read_operations(file), options)

    def propose(
        self,
        file: str,
        reason: str = "dry run",
        base: int | None = None,
        dry_run: bool = True,
    ) -> None:
        """Checks a patch and shows what it would do; submits nothing.

        Args:
            file: As for apply.
            reason: As for apply.
            base: As for apply.
            dry_run: Always so; for the sake of scripts that say it.
        """
        del dry_run
        options = _submit.Options(reason, base=base, dry_run=True)
        _submit.submit(self._session, self._read_operations(file), options)

    def revert(
        self,
        number: int,
        reason: str = "",
        ticket: str = "",
        yes: bool = False,
        dry_run: bool = False,
        wait: bool = False,
    ) -> None:
        """Undoes one number with a new patch; later changes stay.

        Args:
            number: The number to undo.
            reason: Why; "Reverts number N." if left out.
            ticket: Reference into your own tracker.
            yes: Submit without asking.
            dry_run: Check and show, submit nothing.
            wait: Wait until it is in force everywhere.
        """
        response = self._session.api.get(f"/v1/config/revert/{number}")
        if isinstance(response, result.Err):
            _session.exit_refused(response.err_value)
        operations = msgspec.json.decode(response.ok_value, type=_OPERATIONS)
        change_reason = reason or f"Reverts number {number}."
        options = _submit.Options(
            change_reason, ticket, yes=yes, dry_run=dry_run, wait=wait
        )
        _submit.submit(self._session, operations, options)

    def history(self, limit: int = 20, before: int | None = None) -> None:
        """Prints who changed what and why, newest first.

        Args:
            limit: How many changes.
            before: Only numbers below this one.
        """
        self._print_changes("/v1/config/history", limit=limit, before=before)

    def blame(self, path: str, limit: int = 5) -> None:
        """Prints the last changes of one place in the configuration.

        Args:
            path: JSON pointer, such as /services/desk/slots.
            limit: How many changes.
        """
        self._print_changes("/v1/config/blame", path=path, limit=limit)

    def wait(
        self, number: int | None = None, seconds: float = _submit.WAIT_SECONDS
    ) -> None:
        """Waits until a number is in force everywhere, or says who lags.

        Args:
            number: The number; the one in force at this VM if left out.
            seconds: Longest wait.
        """
        if number is None:
            number = _submit.current(self._session).number
        _submit.wait(self._session, number, seconds)

    def settle(self, base: int, id: str) -> None:
        """Says whether a patch whose outcome was open has been accepted.

        Args:
            base: Number that the patch applied to.
            id: Its identifier.
        """
        current = _submit.current(self._session)
        if current.number <= base:
            _session.exit_with(
                f"still open: number {base} is in force; submit it again with"
                f" --base {base} --id {id}",
                _session.EXIT_OUTCOME_UNKNOWN,
            )
        change = self._session.read(
            config.Change, f"/v1/config/changes/{base + 1}"
        )
        if change.id != id:
            _session.exit_with(
                f"not accepted: number {base + 1} is {change.id} by"
                f" {change.author}",
                _session.EXIT_CONFLICT,
            )
        _printing.write_line(f"accepted as number {change.number}")

    def _print_changes(self, view: str, **query: Any) -> None:
        changes = self._session.read(_CHANGE_LIST, view, **query)
        if self._session.json:
            _printing.json(changes)
            return
        _printing.table(
            ("number", "time", "author", "ticket", "reason", "changed"),
            (
                (
                    c.number,
                    _printing.format_time(c.time),
                    c.author,
                    c.ticket,
                    c.reason,
                    ", ".join(c.paths) or "/",
                )
                for c in changes
            ),
        )

    def _read_operations(self, file: str) -> _OPERATIONS:
        try:
            raw = msgspec.json.decode(pathlib.Path(file).read_bytes())
            if isinstance(raw, list):
                return msgspec.convert(raw, _OPERATIONS)
        except (OSError, msgspec.DecodeError) as error:
            _session.exit_with(f"{file}: {error}", _session.EXIT_INVALID)
        document = config.convert_document(raw)
        if isinstance(document, result.Err):
            _session.exit_with(
                f"{file}: {document.err_value}", _session.EXIT_INVALID
            )
        current = _submit.current(self._session).document
        return patches.diff(current, document.ok_value)
