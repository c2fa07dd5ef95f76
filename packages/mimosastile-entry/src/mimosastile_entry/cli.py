"""Command line of the daemon: `mimosastile run | check | version`."""

import asyncio
import importlib.metadata
import pathlib
import sys

from absl import logging
import fire
import result

from mimosastile_entry import daemon
from mimosastile_entry import settings

EXIT_BAD_SETTINGS = 2
"""Exit code for a mistake in the settings."""


class Commands:
    """The router daemon for an entry VM.

    It brings each request to the one server that owns its key. Settings come
    from a TOML file; what operators decide comes from the platform's store.
    """

    def run(self, settings: str) -> None:
        """Runs the daemon until SIGTERM.

        Args:
            settings: Path of the TOML settings file.
        """
        configured = _load(settings)
        logging.set_verbosity(configured.log.level)
        logging.use_absl_handler()
        asyncio.run(daemon.run(configured))

    def check(self, file: str) -> None:
        """Checks a settings file and says what is wrong with it.

        Args:
            file: Path of the TOML settings file.
        """
        configured = _load(file)
        print(f"{file}: good, VM {configured.vm.id} in {configured.vm.zone}")

    def version(self) -> None:
        """Prints the version."""
        print(importlib.metadata.version("mimosastile-entry"))


def _load(path: str) -> settings.Settings:
    loaded = settings.load(pathlib.Path(path))
    if isinstance(loaded, result.Err):
        print(loaded.err_value, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    return loaded.ok_value


def main() -> None:
    """Entry point of the binary."""
    fire.Fire(Commands(), name="mimosastile")
