"""Trace of one request, assembled from the structured logs of several VMs."""

from collections.abc import Iterable
from typing import Any

import msgspec

_LOOKBACK_SECONDS = 10.0
"""How long before the start of a request events of its target are relevant:
the longest grant duration."""
_LOOKAHEAD_SECONDS = 1.0
_LINE_FIELDS = frozenset({"time", "vm", "part", "event"})
_VM_PARTS = frozenset({"leader", "store", "configuration", "daemon"})
"""Parts whose log lines are relevant to all requests of a VM."""

Fields = dict[str, Any]


class Line(msgspec.Struct, frozen=True):
    """One line of a structured log.

    Attributes:
        time: Unix seconds by the clock of the VM.
        vm: Identifier of the VM that wrote the line.
        part: Component of the daemon.
        event: Name of the event.
        fields: Inputs and outcome of the event.
    """

    time: float
    vm: str
    part: str
    event: str
    fields: Fields

    @property
    def detail(self) -> str:
        """The non-empty fields, formatted as text."""
        pairs = self.fields.items()
        return " ".join(f"{k}={v}" for k, v in pairs if v not in (None, ""))


def parse(texts: Iterable[str]) -> tuple[list[Line], int]:
    """Parses log lines.

    Args:
        texts: Lines as daemons write them. Anything before the first brace of
            a line is ignored, because log collectors add prefixes.

    Returns:
        The parsed lines, and the number of lines that could not be parsed.
    """
    parsed, unreadable = [], 0
    for text in texts:
        raw = text[text.find("{") :].strip() if "{" in text else ""
        line = _parse_line(raw)
        if line is not None:
            parsed.append(line)
        elif text.strip():
            unreadable += 1
    return parsed, unreadable


def select(lines: Iterable[Line], attempt: str) -> list[Line]:
    """Selects the lines relevant to one attempt of a request, by time.

    These are the lines of the attempt on all VMs, the state of the targets that
    it was sent to, the owners of its key, and the state of the store and the
    leader as those VMs observed it.

    Args:
        lines: Lines of all VMs.
        attempt: Identifier of the attempt.

    Returns:
        The lines sorted by time, empty if no line contains the attempt.
    """
    lines = list(lines)
    own = [line for line in lines if line.fields.get("attempt") == attempt]
    if not own:
        return []
    begin = min(_start_time(line) for line in own) - _LOOKBACK_SECONDS
    end = max(line.time for line in own) + _LOOKAHEAD_SECONDS
    vms = {line.vm for line in own}
    targets = {t for line in own if (t := line.fields.get("target"))}
    keys = {k for line in own if (k := line.fields.get("key")) is not None}
    related = (
        line
        for line in lines
        if begin <= line.time <= end
        and "attempt" not in line.fields
        and _is_relevant(line, vms, targets, keys)
    )
    return sorted((*own, *related), key=lambda line: line.time)


def _is_relevant(
    line: Line, vms: set[str], targets: set[str], keys: set[int]
) -> bool:
    fields = line.fields
    if line.vm in vms and line.part in _VM_PARTS:
        return True
    if line.part == "targets" and line.vm in vms:
        return fields.get("target") in targets
    if "first" in fields and "last" in fields:
        return any(fields["first"] <= key <= fields["last"] for key in keys)
    moves = fields.get("moves", ())
    return any(first <= key <= last for first, last, _ in moves for key in keys)


def _start_time(line: Line) -> float:
    elapsed_ms = line.fields.get("took_ms", 0)
    return line.time - float(elapsed_ms) / 1000


def _parse_line(raw: str) -> Line | None:
    try:
        fields = msgspec.json.decode(raw, type=Fields)
        parsed = msgspec.convert(
            {**{k: fields.get(k) for k in _LINE_FIELDS}, "fields": {}}, Line
        )
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    event_fields = {k: v for k, v in fields.items() if k not in _LINE_FIELDS}
    return msgspec.structs.replace(parsed, fields=event_fields)
