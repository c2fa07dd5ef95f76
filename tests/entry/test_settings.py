"""Tests of the daemon's settings."""

import pytest

from mimosastile_entry import settings

GOOD = """
[vm]
id = "entry-1"
region = "kontinent"
zone = "zagreb-a"

[platform]
store = "http://127.0.0.1:7001"
fleet = "http://127.0.0.1:7002"
"""


def _load(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return settings.load(path)


class TestLoad:
    """Loading a settings file."""

    def test_good_file(self, tmp_path):
        """Omitted settings have default values."""
        loaded = _load(tmp_path, GOOD).unwrap()
        assert loaded.vm.zone == "zagreb-a"
        assert loaded.log.level == "info"

    @pytest.mark.parametrize(
        ("text", "parts"),
        [
            (GOOD + "[vmx]\n", ["vmx"]),
            (GOOD + "[log]\nlevel = 3\n", ["log.level", "3", "str"]),
            (GOOD + "[log]\nlevel = 'loud'\n", ["log.level", "'loud'"]),
            (GOOD.replace('"entry-1"', '""'), ["vm.id", "''"]),
            (GOOD.replace("http:", "ftp:"), ["platform.store", "ftp"]),
            (
                GOOD.replace("[platform]", "host = 'localhost'\n[platform]"),
                ["vm.host", "localhost", "IP number"],
            ),
            ("[vm", ["not TOML"]),
        ],
    )
    def test_error_names_file_key_value_and_expectation(
        self, tmp_path, text, parts
    ):
        """The error message suffices to correct the file."""
        message = _load(tmp_path, text).unwrap_err()
        assert "settings.toml" in message
        assert all(part in message for part in parts), message

    def test_missing_file(self, tmp_path):
        """The error message contains the path."""
        message = settings.load(tmp_path / "none.toml").unwrap_err()
        assert "none.toml" in message
