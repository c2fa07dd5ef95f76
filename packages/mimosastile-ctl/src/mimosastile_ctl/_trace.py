"""The story of one request, from the structured logs of several VMs."""

from collections.abc import Iterable
from typing import Any

import msgspec

_BEFORE_SECONDS = 10.0
"""How far back from a request's first line what happened to its target still
matters: the longest grant of keys."""
_AFTER_SECONDS = 1.0
_LINE_FIELDS = frozenset({"time", "vm", "part", "event"})
_VM_PARTS = frozenset({"leader", "store", "configuration", "daemon"})
"""Parts whose lines concern all requests of a VM."""

Fields = dict[str, Any]


class Line(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        time: Unix seconds, by the clock of the VM.
        vm: Who wrote it.
        part: Part of the daemon.
        event: What happened.
        fields: The inputs and the outcome.
    """

    time: float
    vm: str
    part: str
    event: str
    fields: Fields

    @property
    def detail(self) -> str:
        """The fields as text."""
        pairs = self.fields.items()
        return " ".join(f"{k}={v}" for k, v in pairs if v not in (None, ""))


def read(texts: Iterable[str]) -> tuple[list[Line], int]:
    """Reads log lines.

    Args:
        texts: Lines as daemons wrote them; what comes before the first brace
            of a line, as collectors put it there, is left out.

    Returns:
        The lines, and how many could not be read.
    """
    found, unreadable = [], 0
    for text in texts:
        raw = text[text.find("{") :].strip() if "{" in text else ""
        line = _line(raw)
        if line is not None:
            found.append(line)
        elif text.strip():
            unreadable += 1
    return found, unreadable


def story(lines: Iterable[Line], attempt: str) -> list[Line]:
    """Returns what concerns one attempt of a request, in order of time.

    Its own lines on all VMs; what was believed of the targets that it was sent
    to; who held its key; what those VMs knew of the store and the leader.

    Args:
        lines: Lines of all VMs.
        attempt: Identifier of the attempt.
    """
    lines = list(lines)
    own = [line for line in lines if line.fields.get("attempt") == attempt]
    if not own:
        return []
    begin = min(_began(line) for line in own) - _BEFORE_SECONDS
    end = max(line.time for line in own) + _AFTER_SECONDS
    vms = {line.vm for line in own}
    targets = {t for line in own if (t := line.fields.get("target"))}
    keys = {k for line in own if (k := line.fields.get("key")) is not None}
    beside = (
        line
        for line in lines
        if begin <= line.time <= end
        and "attempt" not in line.fields
        and _concerns(line, vms, targets, keys)
    )
    return sorted((*own, *beside), key=lambda line: line.time)


def _concerns(
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


def _began(line: Line) -> float:
    took = line.fields.get("took_ms", 0)
    return line.time - float(took) / 1000


def _line(raw: str) -> Line | None:
    try:
        fields = msgspec.json.decode(raw, type=Fields)
        head = msgspec.convert(
            {**{k: fields.get(k) for k in _LINE_FIELDS}, "fields": {}}, Line
        )
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    rest = {k: v for k, v in fields.items() if k not in _LINE_FIELDS}
    return msgspec.structs.replace(head, fields=rest)
