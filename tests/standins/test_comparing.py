"""Tests of the comparison of results."""

import json

import pytest

from mimosastile_standins import comparing


def _write_results(path, rows):
    path.mkdir()
    (path / "cost.json").write_text(json.dumps(rows))
    return path


class TestDifferences:
    """Differences between two directories of results."""

    @pytest.mark.parametrize(
        ("before", "after", "expected"),
        [
            ({"p99": 10.0}, {"p99": 10.5}, []),
            ({"p99": 10.0}, {"p99": 12.0}, ["cost a p99: 10 -> 12"]),
            ({"p99": 0}, {"p99": 1}, ["cost a p99: 0 -> 1"]),
            ({"p99": True}, {"p99": False}, []),
        ],
    )
    def test_reports_changes_above_ten_percent(
        self, tmp_path, before, after, expected
    ):
        """Smaller changes are noise."""
        former = _write_results(tmp_path / "old", [{"case": "a"} | before])
        latter = _write_results(tmp_path / "new", [{"case": "a"} | after])
        assert list(comparing.differences(former, latter)) == expected

    def test_reports_rows_missing_on_one_side(self, tmp_path):
        """A removed case must not pass for an improvement."""
        former = _write_results(tmp_path / "old", [{"case": "a"}])
        latter = _write_results(tmp_path / "new", [{"case": "b"}])
        reported = list(comparing.differences(former, latter))
        assert reported == ["cost a: gone", "cost b: new"]
