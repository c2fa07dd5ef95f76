"""Tests of the operators' command line against a daemon in memory."""

import asyncio
import json
import os
import sys
import time

import administered
import fire
import looptime
import msgspec
import pytest
import result

from mimosastile_core import administration
from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_ctl import _api
from mimosastile_ctl import _session
from mimosastile_ctl import cli

SLOTS = "/services/desk/slots"


class FakeApi:
    """Calls the application in memory instead of an address."""

    def __init__(self, loop, api, token):
        self._loop = loop
        self._api = api
        self._token = token
        self.lose = 0

    def get(self, view, **query):
        """Reads a view."""
        given = {n: v for n, v in query.items() if v is not None}
        suffix = "&".join(f"{n}={v}" for n, v in given.items())
        return self._call("GET", f"{view}?{suffix}", None)

    def post(self, path, value):
        """Sends a value; loses answers if so told."""
        answer = self._call("POST", path, msgspec.json.encode(value))
        if path.endswith("apply") and self.lose:
            self.lose -= 1
            return _api._failed(errors.ErrorKind.ANSWER_LOST, "lost")
        return answer

    def _call(self, method, path, body):
        status, answer = self._loop.run_until_complete(
            self._api.call(method, path, self._token, body or b"")
        )
        encoded = json.dumps(answer).encode()
        if status == 200:
            return result.Ok(encoded)
        return result.Err(
            msgspec.json.decode(encoded, type=administration.AdminRefusal)
        )


class Console:
    """Runs commands on a deployment whose time only passes in calls."""

    def __init__(self, loop, api, monkeypatch, capsys):
        self.loop = loop
        self.api = api
        self.fake = None
        self._monkeypatch = monkeypatch
        self._capsys = capsys

    def run(self, *words, token="admin", lose=0):
        """Runs a command; returns exit code, output and notes."""
        self.fake = FakeApi(self.loop, self.api, token)
        self.fake.lose = lose
        self._monkeypatch.setattr(
            _api, "Api", lambda at, shown, authority: self.fake
        )
        code = 0
        try:
            fire.Fire(cli.Commands, command=[*words], name="mimosactl")
        except SystemExit as ended:
            code = ended.code
        said = self._capsys.readouterr()
        return code, said.out, said.err

    def current(self):
        """Returns the version in force."""
        kernel = self.api.world.daemons["e0"]
        return kernel.find("configuration").current


@pytest.fixture
def console(monkeypatch, capsys):
    """A console on two daemons."""
    loop = looptime.new_event_loop(start=0, noop_cycles=1, idle_timeout=1.0)
    api = loop.run_until_complete(administered.start(2))
    loop.run_until_complete(asyncio.sleep(1.0))
    monkeypatch.setattr(
        time, "sleep", lambda s: loop.run_until_complete(asyncio.sleep(s))
    )
    yield Console(loop, api, monkeypatch, capsys)
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    loop.run_until_complete(asyncio.wait(left, timeout=1.0))
    loop.close()


class TestDailyTasks:
    """What operators do every day, each as one command."""

    @pytest.mark.parametrize(
        ("words", "check"),
        [
            (
                ["service", "create", "new", "--key=path:1", "--slots=2"],
                lambda d: d.services["new"].key.segment == 1,
            ),
            (
                ["service", "create", "new", "--key=header:X-Key"],
                lambda d: d.services["new"].key.name == "X-Key",
            ),
            (
                ["limit", "set", "m", "--concurrency=5", "--rate=2.5"],
                lambda d: d.members["m"].rate == 2.5,
            ),
            (
                ["move", "desk", "1_000", "t0"],
                lambda d: d.services["desk"].moves == {"1_000": "t0"},
            ),
            (
                ["move", "desk", "a/b~c", "t0"],
                lambda d: d.services["desk"].moves == {"a/b~c": "t0"},
            ),
            (
                ["drain", "desk", "t0"],
                lambda d: d.services["desk"].drains == ("t0",),
            ),
            (
                ["quarantine", "clear", "0123abcd"],
                lambda d: d.quarantine.cleared == {"0123abcd": 1},
            ),
            (
                ["member", "add", "p", "--share=2"],
                lambda d: d.members["p"].share == 2.0,
            ),
        ],
    )
    def test_short_hands_submit_a_patch(self, console, words, check):
        """Shown first, accepted, waited for."""
        code, out, err = console.run(*words, "--reason=why", "--yes", "--wait")
        assert code == 0, err
        assert "accepted as number 2" in out
        assert "in force on all 2" in out
        assert "patch " in err and "add" in err or "replace" in err
        assert check(console.current().document)
        assert console.current().change.reason == "why"

    @pytest.mark.parametrize(
        "words",
        [
            ["table", "desk"],
            ["owner", "desk", "k"],
            ["explain", "desk", "k"],
            ["members"],
            ["config", "show"],
            ["config", "diff"],
            ["config", "history"],
            ["config", "blame", SLOTS],
            ["config", "wait"],
            ["quarantine", "show"],
            ["link"],
            ["dump"],
            ["audit"],
        ],
    )
    def test_views_for_people_and_programs(self, console, words):
        """With --json every view is JSON."""
        code, out, err = console.run(*words)
        assert (code, err) == (0, "")
        assert out
        code, out, _ = console.run(*words, "--json")
        assert code == 0
        json.loads(out)

    def test_history_and_revert(self, console):
        """Who changed it, and back again by a new patch."""
        console.run("limit", "set", "m", "--rate=3", "--reason=r", "--yes")
        code, out, _ = console.run("config", "blame", "/members/m/rate")
        assert "admin" in out
        code, out, err = console.run("config", "revert", "2", "--yes")
        assert code == 0, err
        assert console.current().number == 3
        assert console.current().document.members["m"].rate == 0.0
        assert console.current().change.reason == "Reverts number 2."

    def test_whole_document_from_a_file(self, console, tmp_path):
        """Only what differs is submitted."""
        _, out, _ = console.run("config", "show")
        document = json.loads(out)["document"]
        document["services"]["desk"]["slots"] = 9
        file = tmp_path / "all.json"
        file.write_text(json.dumps(document))
        code, _, err = console.run("config", "propose", str(file))
        assert code == 0, err
        assert console.current().number == 1
        code, _, err = console.run(
            "config", "apply", str(file), "--reason=r", "--yes"
        )
        assert code == 0, err
        assert console.current().change.paths == (SLOTS,)


class TestExitCodes:
    """Programs tell failures by their exit codes."""

    @pytest.mark.parametrize(
        ("words", "token", "code"),
        [
            (["config", "show"], "wrong", _session.EXIT_FORBIDDEN),
            (["table", "archive"], "guest", _session.EXIT_FORBIDDEN),
            (["table", "none"], "admin", _session.EXIT_NOT_FOUND),
            (
                ["limit", "set", "m", "--share=0", "--reason=r", "--yes"],
                "admin",
                _session.EXIT_INVALID,
            ),
            (
                ["limit", "set", "m", "--reason=r", "--yes"],
                "admin",
                _session.EXIT_INVALID,
            ),
            (
                ["limit", "set", "m", "--share=2", "--reason=r"],
                "admin",
                _session.EXIT_INVALID,
            ),
            (
                ["service", "create", "desk", "--reason=r", "--yes"],
                "admin",
                _session.EXIT_CONFLICT,
            ),
            (
                ["drain", "desk", "t0", "--reason=r", "--yes", "--base=0"],
                "admin",
                _session.EXIT_CONFLICT,
            ),
            (["config", "wait", "9", "0.1"], "admin", _session.EXIT_LAGGING),
            (
                ["config", "settle", "1", "patch-0001"],
                "admin",
                _session.EXIT_UNSURE,
            ),
            (["config", "apply", "/nothing", "r"], "admin", 2),
        ],
    )
    def test_code(self, console, words, token, code):
        """Nothing is changed by any of these."""
        got, _, err = console.run(*words, token=token)
        assert got == code, err
        assert err.startswith(("mimosactl: ", "patch "))
        assert console.current().number == 1

    def test_dry_run_changes_nothing(self, console):
        """The patch is shown and checked."""
        words = ("limit", "set", "m", "--rate=3", "--reason=r", "--dry_run")
        code, _, err = console.run(*words)
        assert code == 0
        assert "nothing was submitted" in err
        assert console.current().number == 1


class TestRace:
    """Somebody else's patch comes between reading and submitting.

    The operator sees what was changed meanwhile and by whom, and nothing of
    the own patch is in force.
    """

    def test_conflict_shows_author_and_paths(self, console):
        """Exit code 4 and one line for each change."""
        console.run(
            "limit", "set", "m", "--rate=3", "--reason=mine", "--yes",
            token="team",
        )  # fmt: skip
        code, _, err = console.run(
            "drain", "desk", "t0", "--reason=r", "--yes", "--base=1"
        )
        assert code == _session.EXIT_CONFLICT
        assert "number 2 by team" in err
        assert "/members/m/rate" in err


class TestLostAnswer:
    """The connection breaks after the patch has been taken.

    The command asks again with the same identifier: the patch is accepted
    once, and the operator hears its number.
    """

    def test_asked_again(self, console):
        """One number for one patch."""
        words = ("limit", "set", "m", "--rate=3", "--reason=r", "--yes")
        code, out, err = console.run(*words, lose=2)
        assert code == 0, err
        assert "accepted as number 2" in out
        assert console.current().number == 2

    def test_open_outcome_can_be_settled_later(self, console):
        """The exit code says that the outcome is open, the line how to ask."""
        words = ("limit", "set", "m", "--rate=3", "--reason=r", "--yes")
        code, _, err = console.run(*words, lose=9)
        assert code == _session.EXIT_UNSURE
        settle = err.split("mimosactl config settle ")[1].split()
        code, out, err = console.run("config", "settle", *settle)
        assert (code, out) == (0, "accepted as number 2\n")


class TestToken:
    """Where the operator's token comes from."""

    def test_file_goes_before_environment(self, tmp_path):
        """Neither is ever a word of the command line."""
        file = tmp_path / "token"
        file.write_text("from-file\n")
        given = {_api.TOKEN_VARIABLE: "from-environment"}
        named = given | {_api.TOKEN_FILE_VARIABLE: str(file)}
        assert _api.find_token(given, "").unwrap() == "from-environment"
        assert _api.find_token(named, "").unwrap() == "from-file"
        assert _api.find_token(given, str(file)).unwrap() == "from-file"
        assert _api.find_token(given, str(tmp_path / "none")).is_err()
        assert _api.find_token({}, "").unwrap() == ""

    def test_member_token_is_submitted_as_a_digest(self, console, tmp_path):
        """The token itself is in no patch and no output."""
        file = tmp_path / "token"
        file.write_text("secret-of-p\n")
        code, out, err = console.run(
            "member", "add", "p", "--reason=r", "--yes",
            f"--credential_file={file}",
        )  # fmt: skip
        assert code == 0, err
        assert "secret-of-p" not in out + err
        assert len(console.current().document.members["p"].credentials) == 1
        assert isinstance(console.current(), config.Version)


class TestReaderThatLeaves:
    """Output goes through `head`, which has seen enough after some lines.

    The operator used to get a traceback behind the lines.
    """

    def test_ends_without_a_word(self, monkeypatch):
        """As other tools do."""

        def broken(*args, **kwargs):
            raise BrokenPipeError

        monkeypatch.setattr(sys, "stdout", sys.stdout)
        monkeypatch.setattr(fire, "Fire", broken)
        cli.main()
        sys.stdout.write("nothing of this reaches anybody")
        assert sys.stdout.name == os.devnull
        sys.stdout.close()
