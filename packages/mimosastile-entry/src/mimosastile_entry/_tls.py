"""TLS service: contexts for callers and peers, reloaded when files change."""

import asyncio
import os
import ssl
from typing import Any

from absl import logging

from mimosastile_entry import _background
from mimosastile_entry import kernel
from mimosastile_entry import settings

_PREFIX = "tls:"

LOAD_ERRORS = (OSError, ssl.SSLError)
"""Errors raised for missing, unreadable or mismatched files."""


class Side:
    """TLS contexts of one side: callers or peers.

    Attributes:
        server: Context for listening sockets.
        client: Context for outgoing calls; None if no certificate authority
            is configured.
    """

    __slots__ = ("_files", "_loaded_stamps", "client", "server")

    def __init__(self, files: settings.TlsSettings) -> None:
        """Loads the files.

        Args:
            files: Paths of certificate, key and certificate authority.

        Raises:
            OSError: A file is missing or invalid.
        """
        self._files = files
        self._loaded_stamps = self._stamps()
        self.server = _server_context(files)
        self.client: ssl.SSLContext | None = None
        if files.authority:
            self.client = ssl.create_default_context(cafile=files.authority)
            self.client.minimum_version = ssl.TLSVersion.TLSv1_2

    def reload(self) -> bool:
        """Reloads the files if they have changed.

        New connections use the new certificate; open ones are unaffected.

        Returns:
            Whether the files were reloaded.

        Raises:
            OSError: The new files are invalid; the previous ones stay in use.
        """
        stamps = self._stamps()
        if stamps == self._loaded_stamps:
            return False
        # Certificate and key are replaced one after the other. Loading a
        # mismatched pair would leave the context in use without a
        # certificate, so the files are first loaded into a new context.
        _server_context(self._files)
        self.server.load_cert_chain(self._files.certificate, self._files.key)
        if self.client is not None:
            self.client.load_verify_locations(self._files.authority)
        self._loaded_stamps = stamps
        return True

    def _stamps(self) -> tuple[tuple[int, int], ...]:
        paths = (
            self._files.certificate,
            self._files.key,
            self._files.authority,
        )
        found = (os.stat(path) for path in paths if path)
        return tuple((stat.st_mtime_ns, stat.st_ino) for stat in found)


class TlsService:
    """Holds the TLS contexts and polls their files for changes."""

    __slots__ = ("_configured", "_sides", "_tasks", "name", "needs")

    def __init__(self, configured: settings.TlsSection) -> None:
        """Initializes the service.

        Args:
            configured: Paths of the files by side.
        """
        self.name = "tls"
        self.needs: tuple[str, ...] = ()
        self._configured = configured
        self._sides: dict[str, Side] = {}
        self._tasks = _background.Background()

    async def start(self, kernel: kernel.Kernel) -> None:
        """Loads all files.

        Raises:
            OSError: A file is missing or invalid.
        """
        del kernel
        named = (
            ("callers", self._configured.callers),
            ("peers", self._configured.peers),
        )
        self._sides = {side: Side(files) for side, files in named if files}
        if self._sides:
            self._tasks.keep(self._reload_periodically, "tls")

    async def stop(self) -> None:
        """Stops polling for changes."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns which sides use TLS."""
        return {"sides": sorted(self._sides)}

    def server(self, side: str) -> ssl.SSLContext | None:
        """Returns a side's context for listening, None for plain text."""
        found = self._sides.get(side)
        return found.server if found else None

    def client(self, side: str) -> ssl.SSLContext | None:
        """Returns a side's context for outgoing calls, None for plain text."""
        found = self._sides.get(side)
        return found.client if found else None

    def reload(self) -> None:
        """Reloads changed files; logs and ignores invalid ones."""
        for name, side in self._sides.items():
            try:
                if side.reload():
                    logging.info(
                        "%s reloaded the certificate for %s.", _PREFIX, name
                    )
            except LOAD_ERRORS as error:
                logging.error(
                    "%s keeps the old certificate for %s; reload failed: %s.",
                    _PREFIX,
                    name,
                    error,
                )

    async def _reload_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._configured.reload_seconds)
            self.reload()


def _server_context(files: settings.TlsSettings) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key)
    return context
