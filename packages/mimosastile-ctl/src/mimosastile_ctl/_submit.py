"""Showing a patch, submitting it and waiting until it is in force."""

from collections.abc import Iterable
import time
from typing import Any
from typing import NoReturn
import uuid

import msgspec
import result

from mimosastile_core import administration
from mimosastile_core import config
from mimosastile_core import patches
from mimosastile_ctl import _printing
from mimosastile_ctl import _session

WAIT_SECONDS = 8.0
"""Longest wait for a change to be in force everywhere."""

_POLL_SECONDS = 0.2
_TRIES = 4
_RETRY_SECONDS = 1.0


class Options:
    """What every command that changes something takes.

    Attributes:
        reason: Why, for whoever reads it years later.
        ticket: Reference into the operators' own tracker.
        base: Number that the patch applies to, None for the one in force.
        id: Identifier of the patch, empty for a new one.
        yes: Submit without asking.
        dry_run: Check and show, submit nothing.
        wait: Wait until it is in force everywhere.
    """

    __slots__ = ("base", "dry_run", "id", "reason", "ticket", "wait", "yes")

    def __init__(
        self,
        reason: str,
        ticket: str = "",
        base: int | None = None,
        id: str = "",
        yes: bool = False,
        dry_run: bool = False,
        wait: bool = False,
    ) -> None:
        self.reason = str(reason)
        self.ticket = str(ticket)
        self.base = base
        self.id = str(id)
        self.yes = yes
        self.dry_run = dry_run
        self.wait = wait


def current(session: _session.Session) -> config.Version:
    """Reads the configuration in force."""
    return session.read(config.Version, "/v1/config")


def submit(
    session: _session.Session,
    operations: Iterable[patches.Operation],
    options: Options,
) -> None:
    """Shows a patch, asks, and submits it.

    Ends the run with the exit code that fits if the patch is not accepted.
    """
    listed = tuple(operations)
    if not listed:
        _session.end("Nothing changes.", _session.EXIT_INVALID)
    base = current(session).number if options.base is None else options.base
    identifier = options.id or uuid.uuid4().hex
    patch = patches.Patch(
        identifier, base, options.reason, listed, options.ticket
    )
    preview = session.api.post("/v1/config/propose", patch)
    _show(patch)
    if isinstance(preview, result.Ok):
        checked = session.take(administration.Preview, preview)
        _printing.note(f"changes: {', '.join(checked.paths)}")
    elif options.dry_run or not options.id:
        # Sent again with its identifier, a patch may be in force already and
        # its base be old; only submitting it tells.
        _session.refuse(preview.err_value)
    if options.dry_run:
        _printing.note("dry run: the patch fits; nothing was submitted")
        return
    _ask(options)
    accepted = _send(session, patch)
    if session.json:
        _printing.json(accepted)
    else:
        _printing.say(f"accepted as number {accepted.number}")
    if options.wait:
        wait(session, accepted.number, WAIT_SECONDS)


def wait(session: _session.Session, number: int, seconds: float) -> None:
    """Waits until a number is in force everywhere; says who lags if not."""
    began = time.monotonic()
    while True:
        reached = session.read(
            administration.InForce, "/v1/config/in-force", number=number
        )
        total, lagging = len(reached.numbers), reached.lagging
        spent = time.monotonic() - began
        _printing.progress(
            f"number {number}: {total - len(lagging)} of {total} VMs,"
            f" {spent:.1f} s"
        )
        if not lagging or spent >= seconds:
            break
        time.sleep(_POLL_SECONDS)
    _printing.progress("")
    if session.json:
        _printing.json(reached)
    elif not lagging:
        _printing.say(
            f"number {number} is in force on all {total} entry VMs"
            f" ({spent:.1f} s)"
        )
    if lagging:
        said = (
            f"{vm} ({'no answer' if reached.numbers[vm] is None else 'has'}"
            f" {reached.numbers[vm] or ''})".replace(" )", ")")
            for vm in lagging
        )
        _session.end(
            f"number {number} is not in force on {', '.join(said)}",
            _session.EXIT_LAGGING,
        )


def _send(
    session: _session.Session, patch: patches.Patch
) -> administration.Accepted:
    """Submits until the outcome is known; the identifier keeps it single."""
    for _ in range(_TRIES):
        answer = session.api.post("/v1/config/apply", patch)
        if isinstance(answer, result.Ok):
            return session.take(administration.Accepted, answer)
        refusal = answer.err_value
        if _session.exit_code(refusal) != _session.EXIT_UNSURE:
            _session.refuse(refusal)
        _printing.note("the outcome is open; asking again")
        time.sleep(_RETRY_SECONDS)
    return _open(patch)


def _open(patch: patches.Patch) -> NoReturn:
    _session.end(
        "the outcome is open; ask later with: mimosactl config settle"
        f" --base {patch.base} --id {patch.id}",
        _session.EXIT_UNSURE,
    )


def _ask(options: Options) -> None:
    if options.yes:
        return
    agreed = _printing.confirm("Submit this patch?")
    if agreed is None:
        _session.end(
            "nobody to ask; add --yes to submit", _session.EXIT_INVALID
        )
    if not agreed:
        _session.end("not submitted", _session.EXIT_INVALID)


def _show(patch: patches.Patch) -> None:
    _printing.note(
        f"patch {patch.id} against number {patch.base}: {patch.reason}"
        + (f" [{patch.ticket}]" if patch.ticket else "")
    )
    for operation in patch.operations:
        plain: dict[str, Any] = msgspec.to_builtins(operation)
        value = plain.get("value", plain.get("from", ""))
        shown = msgspec.json.encode(value).decode() if value != "" else ""
        _printing.note(f"  {operation.op:8}{operation.path}  {shown}".rstrip())
