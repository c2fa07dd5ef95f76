"""Command line of the operators: `mimosactl table | owner | dump`."""

import sys
from urllib import parse

import fire
import msgspec
import result

from mimosastile_core import tables
from mimosastile_ctl import _api

EXIT_FAILED = 1
"""Exit code for a call that did not succeed."""


class Commands:
    """Operates mimosastile through the inner port of any entry VM."""

    def __init__(
        self, at: str = "http://127.0.0.1:8081", json: bool = False
    ) -> None:
        """Chooses the daemon.

        Args:
            at: Address of the inner port of an entry VM.
            json: Prints JSON for programs instead of tables for people.
        """
        self._at = at.rstrip("/")
        self._json = json

    def table(self, service: str) -> None:
        """Prints which target owns which slice of a service."""
        body = self._read(f"/v1/tables/{parse.quote(service)}")
        if self._json:
            print(body.decode())
            return
        blocks = msgspec.json.decode(body, type=list[tables.Block])
        print(f"{'first hash':18} {'owner':20} {'fence':>6}  moving to")
        for piece in (s for block in blocks for s in block.slices):
            print(
                f"{piece.first:018x} {piece.owner or '-':20}"
                f" {piece.fence:6}  {piece.next or '-'}"
            )

    def owner(self, service: str, key: str) -> None:
        """Prints which target owns a key."""
        quoted = parse.quote(str(key), safe="")
        body = self._read(f"/v1/tables/{parse.quote(service)}/owner/{quoted}")
        if self._json:
            print(body.decode())
            return
        home = msgspec.json.decode(body, type=tables.Location)
        keeper = home.keeper.vm if home.keeper else "-"
        print(
            f"{key}: {home.slice.owner or '-'} (fence {home.slice.fence},"
            f" kept by {keeper})"
        )

    def dump(self) -> None:
        """Prints the state of the daemon as JSON."""
        body = self._read("/v1/dump")
        print(msgspec.json.format(body, indent=2).decode())

    def _read(self, path: str) -> bytes:
        body = _api.get(self._at + path)
        if isinstance(body, result.Err):
            print(f"mimosactl: {body.err_value}", file=sys.stderr)
            sys.exit(EXIT_FAILED)
        return body.ok_value


def main() -> None:
    """Entry point of the binary."""
    fire.Fire(Commands, name="mimosactl")
