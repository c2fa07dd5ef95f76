"""Starts a daemon of the soak, with partitions that a signal controls.

On SIGUSR2 the daemon reads the mode of its partition from a file beside its
settings: it loses its path to the targets, or gets it back.
"""

import functools
import os
import pathlib
import signal
import sys
from typing import Any

_ROOT = pathlib.Path(__file__).resolve().parents[4]
_SOURCES = (
    "packages/mimosastile-core/src",
    "packages/mimosastile-gateway/src",
    "packages/mimosastile-standins/src",
    "platform/src",
)
# The script's own directory is first on the path.
sys.path[0:1] = [str(_ROOT / source) for source in _SOURCES]

from mimosastile_platform import boot  # noqa: E402
from mimosastile_standins import partitions  # noqa: E402

MODE_SUFFIX = ".partition"
"""Suffix of the file with the mode, in place of that of the settings."""
_TARGETS_HOST = "127.0.0.1"
"""Address of the targets. Daemons have addresses of their own."""


def _affects(store: str, address: str) -> bool:
    return address.startswith(f"{_TARGETS_HOST}:") and address != store


def _apply(
    partition: partitions.Partition, settings: pathlib.Path, *_: Any
) -> None:
    mode = settings.with_suffix(MODE_SUFFIX).read_text(encoding="utf-8")
    configured = boot.read(settings).unwrap()
    partition.begin(
        partitions.PartitionMode(mode),
        functools.partial(_affects, configured.store.address),
    )


def main() -> int:
    """Runs the daemon; returns the exit status."""
    partition = partitions.Partition()
    settings = pathlib.Path(os.environ[boot.PATH_VARIABLE])
    signal.signal(
        signal.SIGUSR2, functools.partial(_apply, partition, settings)
    )
    return boot.main(
        functools.partial(partitions.PartitionablePool, partition=partition)
    )


if __name__ == "__main__":
    sys.exit(main())
