"""Tests of the fitted growth of a gateway's load."""

import pathlib

import msgspec
import pytest

from mimosastile_standins import sweeping

ROOT = pathlib.Path(__file__).parent.parent.parent


class TestPower:
    """The fitted exponent."""

    @pytest.mark.parametrize(
        ("values", "expected"),
        [
            ((30.0, 100.0, 300.0), 1.0),
            ((9.0, 100.0, 900.0), 2.0),
            ((7.0, 7.0, 7.0), 0.0),
            ((1.0, 1000.0, 1e6), 2.0),
            ((9.0, 3.0, 1.0), 0.0),
            ((0.0, 1.0, 3.0), 1.0),
            ((0.0, 0.0, 3.0), None),
        ],
    )
    def test_fitted(self, values, expected):
        """Guards against a wrong extrapolation on the capacity page."""
        exponent = sweeping.power((30, 100, 300), values)
        if expected is None:
            assert exponent is None
        else:
            assert exponent == pytest.approx(expected, abs=0.01)


class TestCommitted:
    """The committed sweep."""

    def test_every_series_has_a_value_for_each_size(self):
        """Every row has a value for each of at least three sizes."""
        sweep = sweeping.read(ROOT / "measurements" / "sweep.json")
        sizes = len(sweep.sizes)
        assert sizes >= 3
        assert all(
            len(values) == sizes
            for series in sweep.series
            for values in (series.before, series.busiest)
        )

    def test_rejects_a_file_that_is_no_sweep(self, tmp_path):
        """The error names the missing field."""
        path = tmp_path / "sweep.json"
        path.write_text("{}")
        with pytest.raises(msgspec.ValidationError, match="sizes"):
            sweeping.read(path)
