"""Command-line entry point of the daemon: `mimosastile run|check|version`."""

import asyncio
import importlib.metadata
import pathlib
import sys

import fire
import result

from mimosastile_core import config
from mimosastile_entry import _logs
from mimosastile_entry import daemon
from mimosastile_entry import settings

EXIT_BAD_SETTINGS = 2
"""Exit code for invalid settings or an invalid configuration document."""

_DOCUMENT_SUFFIX = ".json"


class Commands:
    """The router daemon for an entry VM.

    It routes each request to the one server that owns its key. Settings come
    from a TOML file; the configuration comes from the platform's store.
    """

    def run(self, settings: str, log_format: str = _logs.TEXT) -> None:
        """Runs the daemon until SIGTERM.

        Args:
            settings: Path of the TOML settings file.
            log_format: "text" for operators, "json" for programs.
        """
        if log_format not in _logs.FORMATS:
            print(f"--log_format: one of {_logs.FORMATS}", file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        loaded_settings = _load(settings)
        _logs.configure(loaded_settings.log.level, log_format)
        asyncio.run(daemon.run(loaded_settings))

    def check(self, file: str) -> None:
        """Checks a settings file or a configuration document.

        Args:
            file: Path of TOML settings, or of a configuration document whose
                name ends in .json.
        """
        if file.endswith(_DOCUMENT_SUFFIX):
            document = _load_document(file)
            services, members = len(document.services), len(document.members)
            print(f"{file}: good, {services} services, {members} members")
            return
        loaded_settings = _load(file)
        print(
            f"{file}: good, VM {loaded_settings.vm.id}"
            f" in {loaded_settings.vm.zone}"
        )

    def version(self) -> None:
        """Prints the version."""
        print(importlib.metadata.version("mimosastile-entry"))


def _load(path: str) -> settings.Settings:
    loaded = settings.load(pathlib.Path(path))
    if isinstance(loaded, result.Err):
        print(loaded.err_value, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    return loaded.ok_value


def _load_document(path: str) -> config.Document:
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        print(f"{path}: cannot be read: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    loaded = config.decode_document(text)
    if isinstance(loaded, result.Err):
        print(f"{path}: {loaded.err_value}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    return loaded.ok_value


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands(), name="mimosastile")
