"""Tests of the files in `scenarios/` and of the scenario language."""

import pathlib
import typing

import pytest

from mimosastile_standins import fuzzing
from mimosastile_standins import oracle
from mimosastile_standins import runner
from mimosastile_standins import scenario

FOLDER = pathlib.Path(__file__).parent.parent.parent / "scenarios"
FILES = sorted(FOLDER.glob("*.toml"))


class TestScenarios:
    """Scenarios in virtual time, checked by the oracle."""

    @pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
    def test_holds(self, path):
        """All guarantees and expectations hold."""
        verdict = runner.run(scenario.load(path).unwrap())
        assert verdict.violations == ()
        assert verdict.missed == ()

    def test_every_guarantee_has_a_scenario(self):
        """Guards against guarantees that no scenario covers."""
        proved = {p for f in FILES for p in scenario.load(f).unwrap().proves}
        assert {p.value for p in oracle.Guarantee} <= proved

    def test_same_seed_gives_same_verdict(self):
        """Guards against failures that a seed does not reproduce."""
        spec = scenario.load(FOLDER / "lost-target.toml").unwrap()
        assert runner.run(spec) == runner.run(spec)


class TestLanguage:
    """Reading scenario files."""

    @pytest.mark.parametrize(
        ("text", "named"),
        [
            ("title = 1", "title"),
            ('title = "a"\nseconds = 0', "seconds"),
            ('title = "a"\ndeployment = "huge"', "deployment"),
            ('title = "a"\n[[step]]\nat = 1\ndo = "jump"', "jump"),
            ('title = "a"\n[[step]]\nat = 1\ndo = "heal"\nx = 1', "x"),
            (
                'title = "a"\n[[step]]\nat = 2\ndo = "heal"\n'
                '[[step]]\nat = 1\ndo = "heal"',
                "order",
            ),
            ("title", "story.toml"),
        ],
    )
    def test_error_is_named(self, tmp_path, text, named):
        """The one-line message names the file or the faulty key."""
        path = tmp_path / "story.toml"
        path.write_text(text)
        assert named in scenario.load(path).unwrap_err()

    @pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
    def test_written_scenario_reads_back(self, tmp_path, path):
        """Guards against files by the fuzzer that do not load."""
        spec = scenario.load(path).unwrap()
        copy = tmp_path / "copy.toml"
        copy.write_text(scenario.to_toml(spec))
        assert scenario.load(copy).unwrap() == spec


class TestFuzz:
    """Random sequences of faults."""

    def test_finds_nothing(self):
        """Tries a few scenarios of one seed; `make fuzz` tries more."""
        assert fuzzing.find(seed=1, examples=8) is None


class TestPage:
    """Documentation of the language."""

    @pytest.mark.parametrize("verb", typing.get_args(scenario.Verb))
    def test_names_every_verb_and_key(self, verb):
        """Guards against undocumented verbs and keys."""
        page = (FOLDER.parent / "docs" / "SCENARIOS.md").read_text()
        config = verb.__struct_config__
        assert f"`{config.tag}`" in page
        for key in verb.__struct_fields__:
            assert f"`{key}`" in page or key in {"at"}
