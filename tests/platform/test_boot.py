"""Reading of the platform's settings file."""

import hypothesis
from hypothesis import strategies as st
import pytest
import result

from mimosastile_platform import boot

FILE = """
NodeName = "edge-zagreb-a-1"
Role = "gateway"
Ip = "10.1.0.34"
Zone = "zagreb-a"
Region = "kontinent"
InternalPortRange = [7540, 7555]
HeartbeatMs = 870
NewField = [1, 2]
[Zones]
zagreb-a = "kontinent"
split-a = "primorje"
[Listen]
Front = "10.1.0.34:8548"
Ready = "10.1.0.34:8542"
[Limits]
MemoryMb = 300
MaxFds = 4100
[Bounds]
DrainMs = 2000
GraceS = 6
HoldMaxMs = 10000
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetrySlack = 60
[Platform]
Address = "10.200.1.7:8541"
TtlMinMs = 1000
"""


def _read(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return boot.read(path)


class TestRead:
    """Translation of the file to gateway settings."""

    def test_translated(self, tmp_path):
        """Settings are translated to the gateway's names and to seconds."""
        found = _read(tmp_path, FILE).ok_value
        assert found.vm.id == "edge-zagreb-a-1"
        assert found.vm.peers == "10.1.0.34:7540"
        assert found.vm.regions["split-a"] == "primorje"
        assert found.bounds.drain == 2.0
        assert found.bounds.retry_fixed == 60.0
        assert found.store.address == "10.200.1.7:8541"

    @pytest.mark.parametrize(
        ("old", "new", "names"),
        [
            ('Zone = "zagreb-a"', "", "Zone"),
            ("MemoryMb = 300", 'MemoryMb = "300"', "MemoryMb"),
            ("[7540, 7555]", "[7540]", "InternalPortRange"),
            ("GraceS = 6", "GraceS = [", ""),
        ],
    )
    def test_wrong(self, tmp_path, old, new, names):
        """The error of an invalid file names the invalid field."""
        problem = _read(tmp_path, FILE.replace(old, new)).err_value
        assert names in problem

    def test_missing(self, tmp_path):
        """The error for a missing file names the file."""
        problem = boot.read(tmp_path / "none.toml").err_value
        assert "none.toml" in problem

    @hypothesis.given(
        line=st.integers(0, FILE.count("\n")), junk=st.text(max_size=30)
    )
    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
    )
    def test_any_line(self, tmp_path, line, junk):
        """Any content of a line gives settings or an error."""
        lines = FILE.split("\n")
        lines[line] = junk
        path = tmp_path / "boot.toml"
        path.write_text("\n".join(lines), encoding="utf-8", errors="replace")
        assert isinstance(boot.read(path), (result.Ok, result.Err))

    @pytest.mark.parametrize(
        ("share", "cores", "link", "strength"),
        [
            (0.86, 1, 1000.0, 1.0),
            (0.43, 1, 1000.0, 0.54),
            (0.86, 1, 5.0, 0.1),
            (0.86, 2, 50.0, 1.0),
        ],
    )
    def test_strength(self, tmp_path, share, cores, link, strength):
        """A VM with half a core or a slow link is less suitable as leader."""
        text = FILE.replace(
            "[Bounds]",
            f"CpuShare = {share}\nCpuCores = {cores}\nLinkMbps = {link}\n"
            "[Bounds]",
        )
        assert _read(tmp_path, text).ok_value.vm.strength == strength

    @pytest.mark.parametrize("memory_mb", [64, 128, 300, 552])
    def test_held_memory(self, tmp_path, memory_mb):
        """Guards against bodies that leave no memory for the daemon itself.

        Small requests may exceed the bound by an eighth.
        """
        text = FILE.replace("MemoryMb = 300", f"MemoryMb = {memory_mb}")
        held = _read(tmp_path, text).ok_value.requests.memory_bytes
        assert held >= memory_mb << 18
        left = (memory_mb << 20) - held * 9 // 8
        assert left >= min(48, memory_mb // 2) << 20
