"""The story of a request, told from logs alone."""

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


class TestStory:
    """What belongs to a request, and what does not."""

    def test_in_order(self):
        """A letter ended with 502; its target was leaving.

        Whoever reads finds the send, the target's state, who held the key and
        that the store was away, in order of time.
        """
        lines, unreadable = _trace.read(LOGS)
        told = _trace.story(lines, "a1")
        assert unreadable == 0
        assert [(line.vm, line.event) for line in told] == [
            ("vm-1", "target_leaving"),
            ("vm-3", "granted"),
            ("vm-3", "moves"),
            ("vm-1", "store_lost"),
            ("vm-1", "send_failed"),
            ("vm-1", "refused"),
        ]

    def test_unknown(self):
        """An attempt that no line names has no story."""
        lines, _ = _trace.read(LOGS)
        assert _trace.story(lines, "a9") == []


class TestRead:
    """Logs as they come from collectors."""

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
        """What is no log line is counted, and ends nothing."""
        lines, left_out = _trace.read([text])
        assert (len(lines), left_out) == (found, unreadable)


class TestCommand:
    """`mimosactl trace`."""

    def test_prints(self, tmp_path, capsys):
        """Files of several VMs make one table."""
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
        """An unknown attempt and an absent file have codes of their own."""
        (tmp_path / "there").write_text(LOGS[0], encoding="utf-8")
        with pytest.raises(SystemExit) as ended:
            cli.Commands().trace(attempt, str(tmp_path / file))
        assert ended.value.code == code
