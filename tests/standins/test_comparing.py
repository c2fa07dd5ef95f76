"""Tests of comparing results."""

import json

import pytest

from mimosastile_standins import comparing


def _folder(path, rows):
    path.mkdir()
    (path / "cost.json").write_text(json.dumps(rows))
    return path


class TestDifferences:
    """Two folders of results."""

    @pytest.mark.parametrize(
        ("before", "after", "told"),
        [
            ({"p99": 10.0}, {"p99": 10.5}, []),
            ({"p99": 10.0}, {"p99": 12.0}, ["cost a p99: 10 -> 12"]),
            ({"p99": 0}, {"p99": 1}, ["cost a p99: 0 -> 1"]),
            ({"p99": True}, {"p99": False}, []),
        ],
    )
    def test_tells_what_changed_by_a_tenth(self, tmp_path, before, after, told):
        """Less is noise."""
        former = _folder(tmp_path / "old", [{"case": "a"} | before])
        latter = _folder(tmp_path / "new", [{"case": "a"} | after])
        assert list(comparing.differences(former, latter)) == told

    def test_tells_of_rows_that_one_side_lacks(self, tmp_path):
        """A case that is gone is no improvement."""
        former = _folder(tmp_path / "old", [{"case": "a"}])
        latter = _folder(tmp_path / "new", [{"case": "b"}])
        told = list(comparing.differences(former, latter))
        assert told == ["cost a: gone", "cost b: new"]
