"""Tests of the soak's daemons."""

import pathlib

from mimosastile_standins import partitions
from mimosastile_standins import soak_daemons
from mimosastile_standins import soak_start


class TestSetPartition:
    """Modes of the partition in a file that a daemon reads."""

    def test_replaces_file(self, tmp_path: pathlib.Path) -> None:
        """Guards against a daemon that reads a half-written mode and ends."""
        daemon = soak_daemons.SoakDaemon(1, "127.0.0.1:1", tmp_path)
        daemon.set_partition(partitions.PartitionMode.HANG)
        (path,) = tmp_path.glob(f"*{soak_start.MODE_SUFFIX}")
        with path.open(encoding="utf-8") as reading:
            daemon.set_partition(partitions.PartitionMode.NONE)
            assert reading.read() == partitions.PartitionMode.HANG.value
        assert path.read_text(encoding="utf-8") == (
            partitions.PartitionMode.NONE.value
        )
