"""Writes the pages that are made from the code: `python -m …pages DIRECTORY`.

They are committed, so that reading them needs no tool; a test compares them.
"""

import pathlib

import fire
import msgspec

from mimosastile_core import reference
from mimosastile_entry import _openapi


def pages() -> dict[str, str]:
    """Returns the text of each page by its file name."""
    return {
        "CONFIGURATION.md": reference.page(),
        "configuration.schema.json": _json(reference.schema()),
        "openapi.json": _json(_openapi.document()),
    }


def write(directory: str = "docs") -> None:
    """Writes all pages.

    Args:
        directory: Where to.
    """
    for name, text in pages().items():
        (pathlib.Path(directory) / name).write_text(text, encoding="utf-8")


def _json(value: object) -> str:
    ordered = msgspec.json.encode(value, order="deterministic")
    return msgspec.json.format(ordered, indent=1).decode() + "\n"


if __name__ == "__main__":
    fire.Fire(write)
