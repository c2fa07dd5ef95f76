"""Submission of configuration patches and waiting for their roll-out."""

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
"""Default time-out for a change to be in force on all entry VMs."""

_POLL_INTERVAL_SECONDS = 0.2
_MAX_ATTEMPTS = 4
_RETRY_INTERVAL_SECONDS = 1.0


class Options:
    """Options of every command that changes the configuration.

    Attributes:
        reason: Reason of the change, stored in the history.
        ticket: Reference to an issue in the operators' tracker.
        base: Configuration number that the patch applies to, None for the
            one in force.
        id: Identifier of the patch, empty for a new one.
        yes: Whether to submit without confirmation.
        dry_run: Whether to check and show the patch only.
        wait: Whether to wait until the change is in force on all entry VMs.
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
    """Shows a patch, requests confirmation and submits the patch.

    Exits with the corresponding exit code if the patch is not accepted.
    """
    operation_list = tuple(operations)
    if not operation_list:
        _session.exit_with("Nothing changes.", _session.EXIT_INVALID)
    base = current(session).number if options.base is None else options.base
    identifier = options.id or uuid.uuid4().hex
    patch = patches.Patch(
        identifier, base, options.reason, operation_list, options.ticket
    )
    preview = session.api.post("/v1/config/propose", patch)
    _print_patch(patch)
    if isinstance(preview, result.Ok):
        checked = session.decode(administration.Preview, preview)
        _printing.write_notice(f"changes: {', '.join(checked.paths)}")
    elif options.dry_run or not options.id:
        # A patch that is retried with its identifier may be in force already,
        # so its base may be outdated. Only submitting it shows the outcome.
        _session.exit_refused(preview.err_value)
    if options.dry_run:
        _printing.write_notice("dry run: the patch fits; nothing was submitted")
        return
    _confirm(options)
    accepted = _apply(session, patch)
    if session.json:
        _printing.json(accepted)
    else:
        _printing.write_line(f"accepted as number {accepted.number}")
    if options.wait:
        wait(session, accepted.number, WAIT_SECONDS)


def wait(session: _session.Session, number: int, seconds: float) -> None:
    """Waits until a configuration number is in force on all entry VMs.

    Prints the VMs that lag behind and exits if the wait times out.
    """
    started = time.monotonic()
    while True:
        reached = session.read(
            administration.InForce, "/v1/config/in-force", number=number
        )
        total, lagging = len(reached.numbers), reached.lagging
        elapsed = time.monotonic() - started
        _printing.progress(
            f"number {number}: {total - len(lagging)} of {total} VMs,"
            f" {elapsed:.1f} s"
        )
        if not lagging or elapsed >= seconds:
            break
        time.sleep(_POLL_INTERVAL_SECONDS)
    _printing.progress("")
    if session.json:
        _printing.json(reached)
    elif not lagging:
        _printing.write_line(
            f"number {number} is in force on all {total} entry VMs"
            f" ({elapsed:.1f} s)"
        )
    if lagging:
        descriptions = (
            f"{vm} ({'no answer' if reached.numbers[vm] is None else 'has'}"
            f" {reached.numbers[vm] or ''})".replace(" )", ")")
            for vm in lagging
        )
        _session.exit_with(
            f"number {number} is not in force on {', '.join(descriptions)}",
            _session.EXIT_LAGGING,
        )


def _apply(
    session: _session.Session, patch: patches.Patch
) -> administration.Accepted:
    """Submits a patch with retries until the outcome is known.

    The identifier of the patch makes the retries idempotent.
    """
    for _ in range(_MAX_ATTEMPTS):
        response = session.api.post("/v1/config/apply", patch)
        if isinstance(response, result.Ok):
            return session.decode(administration.Accepted, response)
        refusal = response.err_value
        if _session.exit_code(refusal) != _session.EXIT_OUTCOME_UNKNOWN:
            _session.exit_refused(refusal)
        _printing.write_notice("the outcome is open; asking again")
        time.sleep(_RETRY_INTERVAL_SECONDS)
    return _exit_outcome_unknown(patch)


def _exit_outcome_unknown(patch: patches.Patch) -> NoReturn:
    _session.exit_with(
        "the outcome is open; ask later with: mimosactl config settle"
        f" --base {patch.base} --id {patch.id}",
        _session.EXIT_OUTCOME_UNKNOWN,
    )


def _confirm(options: Options) -> None:
    if options.yes:
        return
    confirmed = _printing.confirm("Submit this patch?")
    if confirmed is None:
        _session.exit_with(
            "nobody to ask; add --yes to submit", _session.EXIT_INVALID
        )
    if not confirmed:
        _session.exit_with("not submitted", _session.EXIT_INVALID)


def _print_patch(patch: patches.Patch) -> None:
    _printing.write_notice(
        f"patch {patch.id} against number {patch.base}: {patch.reason}"
        + (f" [{patch.ticket}]" if patch.ticket else "")
    )
    for operation in patch.operations:
        fields: dict[str, Any] = msgspec.to_builtins(operation)
        value = fields.get("value", fields.get("from", ""))
        shown = msgspec.json.encode(value).decode() if value != "" else ""
        _printing.write_notice(
            f"  {operation.op:8}{operation.path}  {shown}".rstrip()
        )
