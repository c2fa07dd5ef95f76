"""Command-line entry point for operators: `mimosactl`."""

from collections.abc import Iterator
import itertools
import os
import sys
from typing import Any
from urllib import parse

import fire
import msgspec

from mimosastile_core import administration
from mimosastile_core import tables
from mimosastile_ctl import _config
from mimosastile_ctl import _printing
from mimosastile_ctl import _session
from mimosastile_ctl import _short_hands
from mimosastile_ctl import _submit
from mimosastile_ctl import _trace

_BLOCKS = list[tables.Block]
_MEMBERS = dict[str, administration.MemberView]
_ENTRIES = list[administration.AuditEntry]
_JSON_OBJECT = dict[str, Any]


class QuarantineCommands:
    """Shows and clears requests that are held back."""

    def __init__(self, session: _session.Session) -> None:
        self._session = session

    def show(self) -> None:
        """Prints what this VM holds back, as JSON."""
        _printing.json(self._session.read(_JSON_OBJECT, "/v1/quarantine"))

    def clear(self, fingerprint: str, reason: str, **options: Any) -> None:
        """Lets a request run again.

        Args:
            fingerprint: As `quarantine show` prints it.
            reason: Why, for whoever reads it years later.
            **options: ticket, base, id, yes, dry_run, wait.
        """
        version = _submit.current(self._session)
        options.setdefault("base", version.number)
        operations = _short_hands.clear(fingerprint, version)
        _submit.submit(
            self._session, operations, _submit.Options(reason, **options)
        )


class Commands:
    """Operates mimosastile through the inner port of any entry VM.

    The operator's token comes from the environment variable MIMOSACTL_TOKEN,
    or from a file: --token_file or MIMOSACTL_TOKEN_FILE.

    Exit codes: 0 done; 1 failed; 2 mistake in the command or the patch; 3 not
    allowed; 4 another patch came first; 5 not found; 6 the outcome is open;
    7 not in force everywhere in time.
    """

    def __init__(
        self,
        at: str = "http://127.0.0.1:8081",
        json: bool = False,
        token_file: str = "",
    ) -> None:
        """Chooses the daemon.

        Args:
            at: Address of the inner port of an entry VM.
            json: Prints JSON for programs instead of tables for people.
            token_file: File that holds the operator's token.
        """
        session = _session.Session(at, token_file, json)
        self._session = session
        self.config = _config.ConfigCommands(session)
        self.service = _short_hands.ServiceCommands(session)
        self.limit = _short_hands.LimitCommands(session)
        self.member = _short_hands.MemberCommands(session)
        self.quarantine = QuarantineCommands(session)

    def table(self, service: str) -> None:
        """Prints which target owns which slice of a service."""
        path = f"/v1/tables/{_quote_segment(service)}"
        blocks = self._session.read(_BLOCKS, path)
        if self._session.json:
            _printing.json(blocks)
            return
        _printing.table(
            ("first hash", "owner", "fence", "moving to", "keeper"),
            (
                (
                    f"{s.first:016x}",
                    s.owner,
                    s.fence,
                    s.next,
                    block.keepers[s.owner].vm
                    if s.owner in block.keepers
                    else "",
                )
                for block in blocks
                for s in block.slices
            ),
        )

    def owner(self, service: str, key: str) -> None:
        """Prints which target owns a key."""
        path = (
            f"/v1/tables/{_quote_segment(service)}/owner/{_quote_segment(key)}"
        )
        location = self._session.read(tables.Location, path)
        if self._session.json:
            _printing.json(location)
            return
        keeper = location.keeper.vm if location.keeper else "-"
        _printing.write_line(
            f"{key}: {location.slice.owner or '-'}"
            f" (fence {location.slice.fence},"
            f" kept by {keeper})"
        )

    def explain(self, service: str, key: str) -> None:
        """Prints why a request for a key goes where it goes."""
        path = f"/v1/explain/{_quote_segment(service)}/{_quote_segment(key)}"
        explanation = self._session.read(administration.Explanation, path)
        if self._session.json:
            _printing.json(explanation)
            return
        if explanation.refused:
            _printing.write_line(f"{key}: refused, {explanation.refused}")
        else:
            where = explanation.target or "any live target"
            _printing.write_line(f"{key}: goes to {where}")
        for reason in explanation.reasons:
            _printing.write_line(f"  {reason}")

    def members(self) -> None:
        """Prints members with their shares and limits."""
        members = self._session.read(_MEMBERS, "/v1/members")
        if self._session.json:
            _printing.json(members)
            return
        _printing.table(
            ("member", "tokens", "share", "concurrency", "rate"),
            (
                (n, m.credentials, m.share, m.concurrency or "", m.rate or "")
                for n, m in members.items()
            ),
        )

    def link(self) -> None:
        """Prints this VM's part of the link between regions, as JSON."""
        _printing.json(self._session.read(_JSON_OBJECT, "/v1/link"))

    def dump(self) -> None:
        """Prints the state of the daemon, as JSON."""
        _printing.json(self._session.read(_JSON_OBJECT, "/v1/dump"))

    def trace(self, attempt: str, *files: str) -> None:
        """Prints the story of one request from the logs of several VMs.

        Args:
            attempt: Identifier of the caller's attempt.
            *files: Logs as the daemons wrote them; none for standard input.
        """
        texts = itertools.chain.from_iterable(map(_read_lines, files or ("-",)))
        lines, unreadable = _trace.parse(texts)
        selected = _trace.select(lines, attempt)
        if unreadable:
            _printing.write_notice(
                f"{unreadable} lines are no log lines; left out"
            )
        if not selected:
            _session.exit_with(
                f"No line names the attempt {attempt}.",
                _session.EXIT_NOT_FOUND,
            )
        if self._session.json:
            _printing.json(selected)
            return
        start = selected[0].time
        _printing.table(
            ("seconds", "vm", "part", "event", "detail"),
            (
                (f"{x.time - start:.3f}", x.vm, x.part, x.event, x.detail)
                for x in selected
            ),
        )

    def audit(self, limit: int = 20) -> None:
        """Prints who was refused what, newest first."""
        entries = self._session.read(_ENTRIES, "/v1/audit", limit=limit)
        if self._session.json:
            _printing.json(entries)
            return
        _printing.table(
            ("time", "vm", "operator", "action", "outcome", "detail"),
            (
                (
                    _printing.format_time(e.time),
                    e.vm,
                    e.operator,
                    e.action,
                    e.outcome,
                    e.detail,
                )
                for e in entries
            ),
        )

    def move(
        self,
        service: str,
        key: str,
        target: str = "",
        reason: str = "",
        **options: Any,
    ) -> None:
        """Moves a key to a target and keeps it there.

        Args:
            service: The service.
            key: The key.
            target: Target VM; left out, the key is free to move again.
            reason: Why, for whoever reads it years later.
            **options: ticket, base, id, yes, dry_run, wait.
        """
        version = _submit.current(self._session)
        options.setdefault("base", version.number)
        _submit.submit(
            self._session,
            _short_hands.move(service, key, target, version),
            _submit.Options(reason, **options),
        )

    def drain(
        self,
        service: str,
        target: str,
        reason: str,
        end: bool = False,
        **options: Any,
    ) -> None:
        """Takes a target out of use, or back into it.

        Args:
            service: The service.
            target: Target VM.
            reason: Why, for whoever reads it years later.
            end: Ends the drain.
            **options: ticket, base, id, yes, dry_run, wait.
        """
        version = _submit.current(self._session)
        options.setdefault("base", version.number)
        _submit.submit(
            self._session,
            _short_hands.drain(service, target, end, version),
            _submit.Options(reason, **options),
        )


def _read_lines(name: str) -> Iterator[str]:
    """Yields the lines of a file, or of standard input for `-`."""
    if name == "-":
        yield from sys.stdin
        return
    try:
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from file
    except OSError as error:
        _session.exit_with(f"{name}: {error.strerror}", _session.EXIT_FAILED)


def _quote_segment(text: str) -> str:
    return parse.quote(text, safe="")


# Fire parses 1_000 as a number. Keys, names and reasons are strings and are
# passed on as typed.
_STRING_FLAGS = (
    "attempt",
    "service",
    "key",
    "target",
    "member",
    "name",
    "fingerprint",
)
for _command in (
    Commands.table,
    Commands.owner,
    Commands.explain,
    Commands.move,
    Commands.drain,
    Commands.trace,
    QuarantineCommands.clear,
    _short_hands.ServiceCommands.create,
    _short_hands.LimitCommands.set,
    _short_hands.MemberCommands.add,
    _config.ConfigCommands.apply,
    _config.ConfigCommands.propose,
    _config.ConfigCommands.revert,
    _config.ConfigCommands.settle,
    _config.ConfigCommands.blame,
):
    fire.decorators.SetParseFn(
        str,
        *_STRING_FLAGS,
        "reason",
        "ticket",
        "id",
        "file",
        "path",
        "credential_file",
    )(_command)


def main() -> None:
    """Runs the command line."""
    try:
        fire.Fire(Commands, name="mimosactl")
    except msgspec.DecodeError as error:
        _session.exit_with(f"unexpected answer: {error}", _session.EXIT_FAILED)
    except BrokenPipeError:
        # The reader of the pipe, such as `head`, closed it. Python flushes
        # standard output at exit, which would print a traceback unless the
        # output is discarded.
        sys.stdout = open(os.devnull, "w", encoding="utf-8")  # noqa: SIM115
