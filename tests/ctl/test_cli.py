"""Tests of mimosactl against daemons in memory."""

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
    """API client that calls the application in memory."""

    def __init__(self, loop, api, token):
        self._loop = loop
        self._api = api
        self._token = token
        self.lose = 0

    def get(self, view, **query):
        """Reads a view."""
        parameters = {n: v for n, v in query.items() if v is not None}
        suffix = "&".join(f"{n}={v}" for n, v in parameters.items())
        return self._call("GET", f"{view}?{suffix}", None)

    def post(self, path, value):
        """Posts a value; drops the next `lose` responses to apply."""
        response = self._call("POST", path, msgspec.json.encode(value))
        if path.endswith("apply") and self.lose:
            self.lose -= 1
            return _api._failure(errors.ErrorKind.ANSWER_LOST, "lost")
        return response

    def _call(self, method, path, body):
        status, response = self._loop.run_until_complete(
            self._api.call(method, path, self._token, body or b"")
        )
        encoded = json.dumps(response).encode()
        if status == 200:
            return result.Ok(encoded)
        return result.Err(
            msgspec.json.decode(encoded, type=administration.AdminRefusal)
        )


class Console:
    """Runs commands on a deployment whose clock advances only during calls."""

    def __init__(self, loop, api, monkeypatch, capsys):
        self.loop = loop
        self.api = api
        self.fake = None
        self._monkeypatch = monkeypatch
        self._capsys = capsys

    def run(self, *words, token="admin", lose=0):
        """Runs a command; returns exit code, standard output and error."""
        self.fake = FakeApi(self.loop, self.api, token)
        self.fake.lose = lose
        self._monkeypatch.setattr(
            _api, "Api", lambda address, token, ca_file: self.fake
        )
        code = 0
        try:
            fire.Fire(cli.Commands, command=[*words], name="mimosactl")
        except SystemExit as exited:
            code = exited.code
        output = self._capsys.readouterr()
        return code, output.out, output.err

    def current(self):
        """Returns the configuration version in force."""
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
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.wait(tasks, timeout=1.0))
    loop.close()


class TestCommonTasks:
    """Common tasks of operators, each a single command."""

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
    def test_commands_submit_a_patch(self, console, words, check):
        """The patch is shown, accepted and in force on all VMs."""
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
    def test_views_as_tables_and_json(self, console, words):
        """With --json the output of every view is valid JSON."""
        code, out, err = console.run(*words)
        assert (code, err) == (0, "")
        assert out
        code, out, _ = console.run(*words, "--json")
        assert code == 0
        json.loads(out)

    def test_history_and_revert(self, console):
        """Blame names the author; revert submits a new patch."""
        console.run("limit", "set", "m", "--rate=3", "--reason=r", "--yes")
        code, out, _ = console.run("config", "blame", "/members/m/rate")
        assert "admin" in out
        code, out, err = console.run("config", "revert", "2", "--yes")
        assert code == 0, err
        assert console.current().number == 3
        assert console.current().document.members["m"].rate == 0.0
        assert console.current().change.reason == "Reverts number 2."

    def test_whole_document_from_a_file(self, console, tmp_path):
        """Only the differences are submitted."""
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
    """Each kind of failure has its own exit code for programs."""

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
                _session.EXIT_OUTCOME_UNKNOWN,
            ),
            (["config", "apply", "/nothing", "r"], "admin", 2),
        ],
    )
    def test_code(self, console, words, token, code):
        """None of these commands changes the configuration."""
        got, _, err = console.run(*words, token=token)
        assert got == code, err
        assert err.startswith(("mimosactl: ", "patch "))
        assert console.current().number == 1

    def test_dry_run_changes_nothing(self, console):
        """The patch is shown and checked but not submitted."""
        words = ("limit", "set", "m", "--rate=3", "--reason=r", "--dry_run")
        code, _, err = console.run(*words)
        assert code == 0
        assert "nothing was submitted" in err
        assert console.current().number == 1


class TestConflict:
    """Another patch is accepted between the read and the submission.

    The command must report the intervening changes and their authors, and must
    not apply any part of its own patch.
    """

    def test_conflict_shows_author_and_paths(self, console):
        """The exit code is 4 and one line describes each change."""
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


class TestLostResponse:
    """The connection breaks after the daemon accepted the patch.

    The command retries with the same identifier. The patch must be accepted
    only once, and its number must be reported.
    """

    def test_retry_is_idempotent(self, console):
        """The retried patch creates a single configuration number."""
        words = ("limit", "set", "m", "--rate=3", "--reason=r", "--yes")
        code, out, err = console.run(*words, lose=2)
        assert code == 0, err
        assert "accepted as number 2" in out
        assert console.current().number == 2

    def test_unknown_outcome_can_be_settled_later(self, console):
        """The error message contains the command that shows the outcome."""
        words = ("limit", "set", "m", "--rate=3", "--reason=r", "--yes")
        code, _, err = console.run(*words, lose=9)
        assert code == _session.EXIT_OUTCOME_UNKNOWN
        settle = err.split("mimosactl config settle ")[1].split()
        code, out, err = console.run("config", "settle", *settle)
        assert (code, out) == (0, "accepted as number 2\n")


class TestToken:
    """Sources of the operator's token."""

    def test_file_has_precedence_over_environment(self, tmp_path):
        """The file has precedence; the command line is not a source."""
        file = tmp_path / "token"
        file.write_text("from-file\n")
        environment = {_api.TOKEN_VARIABLE: "from-environment"}
        named = environment | {_api.TOKEN_FILE_VARIABLE: str(file)}
        assert _api.find_token(environment, "").unwrap() == "from-environment"
        assert _api.find_token(named, "").unwrap() == "from-file"
        assert _api.find_token(environment, str(file)).unwrap() == "from-file"
        assert _api.find_token(environment, str(tmp_path / "none")).is_err()
        assert _api.find_token({}, "").unwrap() == ""

    def test_member_token_is_submitted_as_a_digest(self, console, tmp_path):
        """Neither the patch nor the output contains the token itself."""
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


class TestClosedPipe:
    """Standard output is a pipe to `head`, which closes it early.

    This used to print a traceback after the output.
    """

    def test_ends_without_traceback(self, monkeypatch):
        """A closed pipe ends the command without an error message."""

        def broken(*args, **kwargs):
            raise BrokenPipeError

        monkeypatch.setattr(sys, "stdout", sys.stdout)
        monkeypatch.setattr(fire, "Fire", broken)
        cli.main()
        sys.stdout.write("discarded")
        assert sys.stdout.name == os.devnull
        sys.stdout.close()
