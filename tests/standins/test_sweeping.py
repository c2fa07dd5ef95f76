"""Growth of a gateway's load, as fitted to a committed sweep."""

import pathlib

import msgspec
import pytest

from mimosastile_standins import sweeping

ROOT = pathlib.Path(__file__).parent.parent.parent


class TestPower:
    """The fitted power."""

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
        """Guards against a page that carries a wrong power on."""
        found = sweeping.power((30, 100, 300), values)
        if expected is None:
            assert found is None
        else:
            assert found == pytest.approx(expected, abs=0.01)


class TestCommitted:
    """The committed sweep."""

    def test_whole(self):
        """Every row has a value for each of at least three sizes."""
        sweep = sweeping.read(ROOT / "measurements" / "sweep.json")
        sizes = len(sweep.sizes)
        assert sizes >= 3
        assert all(
            len(values) == sizes
            for series in sweep.series
            for values in (series.before, series.busiest)
        )

    def test_not_a_sweep(self, tmp_path):
        """A file without sizes is refused by the name of what it lacks."""
        path = tmp_path / "sweep.json"
        path.write_text("{}")
        with pytest.raises(msgspec.ValidationError, match="sizes"):
            sweeping.read(path)
