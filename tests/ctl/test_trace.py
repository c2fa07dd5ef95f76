"""Tests of tracing a request through the logs of several VMs."""

import json

import pytest

from mimosastile_ctl import _trace
from mimosastile_ctl import cli


def _line(time, vm, part, event, **fields):
    return json.dumps(
        {"time": time, "vm": vm, "part": part, "event": event, **fields}
    )


LOGS = [
    _line(99.0, "vm-2", "targets", "target_gone", target="t-1"),
    _line(99.5, "vm-1", "targets", "target_leaving", target="t-1"),
    _line(99.6, "vm-1", "targets", "target_leaving", target="t-9"),
    _line(99.7, "vm-3", "grants", "granted", target="t-1", first=0, last=9),
    _line(99.8, "vm-3", "grants", "granted", target="t-2", first=10, last=19),
    _line(99.8, "vm-3", "leader", "moves", moves=[[3, 5, "t-1"]]),
    _line(99.9, "vm-3", "leader", "moves", moves=[[30, 50, "t-1"]]),
    _line(
        100.5,
        "vm-1",
        "requests",
        "send_failed",
        attempt="a1",
        target="t-1",
        key=4,
        kind="answer_lost",
        took_ms=400,
    ),
    _line(100.6, "vm-1", "requests", "refused", attempt="a1", took_ms=600),
    _line(100.2, "vm-1", "store", "store_lost", why="no answer"),
    _line(100.2, "vm-2", "store", "store_lost", why="no answer"),
    _line(100.4, "vm-1", "requests", "passed", attempt="a2", target="t-1"),
    _line(150.0, "vm-1", "targets", "target_ready", target="t-1"),
]


class TestSelect:
    """Selection of the log lines relevant to a request."""

    def test_sorted_by_time(self):
        """A request failed with 502 because its target was leaving.

        The trace shows the failed send, the state of the target, the owner of
        the key and the lost store connection, sorted by time.
        """
        lines, unreadable = _trace.parse(LOGS)
        selected = _trace.select(lines, "a1")
        assert unreadable == 0
        assert [(line.vm, line.event) for line in selected] == [
            ("vm-1", "target_leaving"),
            ("vm-3", "granted"),
            ("vm-3", "moves"),
            ("vm-1", "store_lost"),
            ("vm-1", "send_failed"),
            ("vm-1", "refused"),
        ]

    def test_unknown_attempt(self):
        """The trace of an unknown attempt is empty."""
        lines, _ = _trace.parse(LOGS)
        assert _trace.select(lines, "a9") == []


class TestParse:
    """Parsing of logs with prefixes added by collectors."""

    @pytest.mark.parametrize(
        ("text", "found", "unreadable"),
        [
            (LOGS[0], 1, 0),
            ("  12.3 vm-2 " + LOGS[0], 1, 0),
            ("", 0, 0),
            ("Traceback (most recent call last):", 0, 1),
            ('{"time": 1.0', 0, 1),
            ('{"time": "soon", "vm": "a", "part": "b", "event": "c"}', 0, 1),
            ("[1, 2]", 0, 1),
            ('{"time": 1.0, "vm": "a"}', 0, 1),
        ],
    )
    def test_lines(self, text, found, unreadable):
        """Malformed lines are counted and do not stop the parser."""
        lines, skipped = _trace.parse([text])
        assert (len(lines), skipped) == (found, unreadable)


class TestCommand:
    """`mimosactl trace`."""

    def test_prints(self, tmp_path, capsys):
        """The log files of several VMs are merged into one table."""
        files = []
        for name in ("vm-1", "vm-3"):
            path = tmp_path / f"{name}.log"
            own = [text for text in LOGS if f'"vm": "{name}"' in text]
            path.write_text("\n".join(own) + "\n", encoding="utf-8")
            files.append(str(path))
        cli.Commands().trace("a1", *files)
        out = capsys.readouterr().out.splitlines()
        assert len(out) == 7
        assert "kind=answer_lost" in out[5]

    @pytest.mark.parametrize(
        ("attempt", "file", "code"), [("a9", "there", 5), ("a1", "absent", 1)]
    )
    def test_nothing_found(self, tmp_path, attempt, file, code):
        """An unknown attempt and a missing file have distinct exit codes."""
        (tmp_path / "there").write_text(LOGS[0], encoding="utf-8")
        with pytest.raises(SystemExit) as exited:
            cli.Commands().trace(attempt, str(tmp_path / file))
        assert exited.value.code == code
