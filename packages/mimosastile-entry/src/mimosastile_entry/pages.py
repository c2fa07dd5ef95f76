"""Generator of the reference pages: `python -m …pages DIRECTORY`.

The generated pages are committed, so reading them needs no tool. A test checks
that they are up to date.
"""

import pathlib

import fire
import msgspec

from mimosastile_core import reference
from mimosastile_entry import _openapi


def pages() -> dict[str, str]:
    """Returns the content of each page by file name."""
    return {
        "CONFIGURATION.md": reference.page(),
        "configuration.schema.json": _json(reference.schema()),
        "openapi.json": _json(_openapi.document()),
    }


def write(directory: str = "docs") -> None:
    """Writes all pages.

    Args:
        directory: Path of the output directory.
    """
    for name, text in pages().items():
        (pathlib.Path(directory) / name).write_text(text, encoding="utf-8")


def _json(value: object) -> str:
    encoded = msgspec.json.encode(value, order="deterministic")
    return msgspec.json.format(encoded, indent=1).decode() + "\n"


if __name__ == "__main__":
    fire.Fire(write)
