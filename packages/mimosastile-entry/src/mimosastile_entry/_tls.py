"""The TLS service: contexts by side, renewed when their files change."""

import asyncio
import os
import ssl
from typing import Any

from absl import logging

from mimosastile_entry import kernel
from mimosastile_entry import settings

_PREFIX = "tls:"

LOAD_ERRORS = (OSError, ssl.SSLError)
"""What a missing, unreadable or mismatched file raises."""


class Side:
    """The contexts of one side: what it shows, and whom it trusts.

    Attributes:
        server: Context of the listening side.
        client: Context for calls to others of the same side; None without an
            authority to check them by.
    """

    __slots__ = ("_files", "_seen", "client", "server")

    def __init__(self, files: settings.TlsSettings) -> None:
        """Loads the files.

        Args:
            files: Paths of certificate, key and authority.

        Raises:
            OSError: A file is missing or is not what it should be.
        """
        self._files = files
        self._seen = self._stamps()
        self.server = _server_context(files)
        self.client: ssl.SSLContext | None = None
        if files.authority:
            self.client = ssl.create_default_context(cafile=files.authority)
            self.client.minimum_version = ssl.TLSVersion.TLSv1_2

    def renew(self) -> bool:
        """Loads the files again if they have changed; True if it did.

        New connections get the new certificate, open ones are left alone.

        Raises:
            OSError: The new files cannot be used; the former stay in force.
        """
        stamps = self._stamps()
        if stamps == self._seen:
            return False
        # A certificate is replaced file by file. Loaded into the context in
        # use, a key that does not fit yet would leave it without any.
        _server_context(self._files)
        self.server.load_cert_chain(self._files.certificate, self._files.key)
        if self.client is not None:
            self.client.load_verify_locations(self._files.authority)
        self._seen = stamps
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
    """Holds the sides' contexts and looks for changed files."""

    __slots__ = ("_configured", "_sides", "_task", "name", "needs")

    def __init__(self, configured: settings.TlsSection) -> None:
        """Makes the service.

        Args:
            configured: Files by side.
        """
        self.name = "tls"
        self.needs: tuple[str, ...] = ()
        self._configured = configured
        self._sides: dict[str, Side] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: kernel.Kernel) -> None:
        """Loads all files.

        Raises:
            OSError: A file cannot be used.
        """
        del kernel
        named = (
            ("callers", self._configured.callers),
            ("peers", self._configured.peers),
        )
        self._sides = {side: Side(files) for side, files in named if files}
        if self._sides:
            self._task = asyncio.create_task(self._renew_always(), name="tls")

    async def stop(self) -> None:
        """Looks for changes no more."""
        if self._task is not None:
            self._task.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns which sides use TLS."""
        return {"sides": sorted(self._sides)}

    def server(self, side: str) -> ssl.SSLContext | None:
        """Returns the listening context of a side, None in the clear."""
        found = self._sides.get(side)
        return found.server if found else None

    def client(self, side: str) -> ssl.SSLContext | None:
        """Returns the calling context of a side, None in the clear."""
        found = self._sides.get(side)
        return found.client if found else None

    def renew(self) -> None:
        """Takes changed files into use; bad ones are logged and left."""
        for name, side in self._sides.items():
            try:
                if side.renew():
                    logging.info("%s new certificate for %s.", _PREFIX, name)
            except LOAD_ERRORS as error:
                logging.error(
                    "%s keeps the certificate for %s: %s.", _PREFIX, name, error
                )

    async def _renew_always(self) -> None:
        while True:
            await asyncio.sleep(self._configured.reload_seconds)
            self.renew()


def _server_context(files: settings.TlsSettings) -> ssl.SSLContext:
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    made.load_cert_chain(files.certificate, files.key)
    return made
