"""Commands on the configuration: `mimosactl config …`."""

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

_CHANGES = list[config.Change]
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
        found = self._session.read(
            administration.Difference,
            "/v1/config/diff",
            older=older,
            newer=newer,
        )
        if self._session.json:
            _printing.json(found)
            return
        _printing.say(f"from number {found.older} to {found.newer}:")
        for operation in found.operations:
            plain: dict[str, Any] = msgspec.to_builtins(operation)
            value = msgspec.json.encode(plain.get("value")).decode()
            shown = "" if operation.op == "remove" else f"  {value}"
            _printing.say(f"  {operation.op:8}{operation.path}{shown}")

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
        _submit.submit(self._session, self._operations(file), options)

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
        _submit.submit(self._session, self._operations(file), options)

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
        answer = self._session.api.get(f"/v1/config/revert/{number}")
        if isinstance(answer, result.Err):
            _session.refuse(answer.err_value)
        operations = msgspec.json.decode(answer.ok_value, type=_OPERATIONS)
        why = reason or f"Reverts number {number}."
        options = _submit.Options(
            why, ticket, yes=yes, dry_run=dry_run, wait=wait
        )
        _submit.submit(self._session, operations, options)

    def history(self, limit: int = 20, before: int | None = None) -> None:
        """Prints who changed what and why, newest first.

        Args:
            limit: How many changes.
            before: Only numbers below this one.
        """
        self._changes("/v1/config/history", limit=limit, before=before)

    def blame(self, path: str, limit: int = 5) -> None:
        """Prints the last changes of one place in the configuration.

        Args:
            path: JSON pointer, such as /services/desk/slots.
            limit: How many changes.
        """
        self._changes("/v1/config/blame", path=path, limit=limit)

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
        held = _submit.current(self._session)
        if held.number <= base:
            _session.end(
                f"still open: number {base} is in force; submit it again with"
                f" --base {base} --id {id}",
                _session.EXIT_UNSURE,
            )
        change = self._session.read(
            config.Change, f"/v1/config/changes/{base + 1}"
        )
        if change.id != id:
            _session.end(
                f"not accepted: number {base + 1} is {change.id} by"
                f" {change.author}",
                _session.EXIT_CONFLICT,
            )
        _printing.say(f"accepted as number {change.number}")

    def _changes(self, view: str, **query: Any) -> None:
        found = self._session.read(_CHANGES, view, **query)
        if self._session.json:
            _printing.json(found)
            return
        _printing.table(
            ("number", "time", "author", "ticket", "reason", "changed"),
            (
                (
                    c.number,
                    _printing.moment(c.time),
                    c.author,
                    c.ticket,
                    c.reason,
                    ", ".join(c.paths) or "/",
                )
                for c in found
            ),
        )

    def _operations(self, file: str) -> _OPERATIONS:
        try:
            raw = msgspec.json.decode(pathlib.Path(file).read_bytes())
            if isinstance(raw, list):
                return msgspec.convert(raw, _OPERATIONS)
        except (OSError, msgspec.DecodeError) as error:
            _session.end(f"{file}: {error}", _session.EXIT_INVALID)
        wanted = config.convert_document(raw)
        if isinstance(wanted, result.Err):
            _session.end(f"{file}: {wanted.err_value}", _session.EXIT_INVALID)
        held = _submit.current(self._session).document
        return patches.diff(held, wanted.ok_value)
