"""Every scenario in `scenarios/` holds, and the language refuses mistakes."""

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
    """Stories of failures, in virtual time, judged by the oracle."""

    @pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
    def test_holds(self, path):
        """No promise is broken and every expectation holds."""
        verdict = runner.run(scenario.load(path).unwrap())
        assert verdict.violations == ()
        assert verdict.missed == ()

    def test_every_promise_has_a_scenario(self):
        """A promise nobody tries is not proved."""
        proved = {p for f in FILES for p in scenario.load(f).unwrap().proves}
        assert {p.value for p in oracle.Promise} <= proved

    def test_same_seed_same_story(self):
        """A found fault can be run again."""
        story = scenario.load(FOLDER / "lost-target.toml").unwrap()
        assert runner.run(story) == runner.run(story)


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
    def test_mistake_is_named(self, tmp_path, text, named):
        """One line says what is wrong in which file."""
        path = tmp_path / "story.toml"
        path.write_text(text)
        assert named in scenario.load(path).unwrap_err()

    @pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
    def test_written_scenario_reads_back(self, tmp_path, path):
        """What the fuzz finds is a file like any other."""
        story = scenario.load(path).unwrap()
        copy = tmp_path / "copy.toml"
        copy.write_text(scenario.to_toml(story))
        assert scenario.load(copy).unwrap() == story


class TestFuzz:
    """Faults of any sort, together or one after another."""

    def test_finds_nothing(self):
        """A few scenarios of one seed; `make fuzz` tries more."""
        assert fuzzing.find(seed=1, examples=8) is None


class TestPage:
    """The page that documents the language."""

    @pytest.mark.parametrize("verb", typing.get_args(scenario.Verb))
    def test_names_every_verb_and_key(self, verb):
        """A verb nobody can find is of no use."""
        page = (FOLDER.parent / "docs" / "SCENARIOS.md").read_text()
        config = verb.__struct_config__
        assert f"`{config.tag}`" in page
        for key in verb.__struct_fields__:
            assert f"`{key}`" in page or key in {"at"}
