"""Tests that committed pages say what the code says."""

import pathlib

import administered
import pytest

from mimosastile_entry import _admin
from mimosastile_entry import _openapi
from mimosastile_entry import pages
from mimosastile_standins import virtual

DOCS = pathlib.Path(__file__).parent.parent.parent / "docs"


class TestCommitted:
    """Pages made from the code, committed."""

    @pytest.mark.parametrize("name", sorted(pages.pages()))
    def test_is_current(self, name):
        """`python -m mimosastile_entry.pages` mends a difference."""
        committed = (DOCS / name).read_text(encoding="utf-8")
        assert committed == pages.pages()[name]

    def test_every_field_is_explained(self):
        """A field without a meaning is no help to an operator."""
        rows = pages.pages()["CONFIGURATION.md"].splitlines()
        fields = [r for r in rows if r.startswith("| `")]
        assert len(fields) > 40
        assert [r for r in fields if r.endswith("|  |")] == []


class TestOpenApi:
    """The description of the administration API."""

    def test_describes_every_route_and_no_other(self):
        """Paths and methods are those that the daemon serves."""

        async def story():
            api = await administered.start()
            made = _admin.AdminApi(api.world.daemons["e0"])
            return {
                (route.path, method)
                for route in made.routes()
                for method in route.methods - {"HEAD"}
            }

        described = {
            (path, "POST" if view.body else "GET")
            for path, view in _openapi.VIEWS.items()
        }
        # The page of metrics has a format of its own.
        assert virtual.run(story()) == described | {("/metrics", "GET")}

    def test_references_lead_somewhere(self):
        """Every schema that is named is there."""
        text = pages.pages()["openapi.json"]
        known = _openapi.document()["components"]["schemas"]
        names = {p.split('"')[0] for p in text.split("schemas/")[1:]}
        assert names <= set(known)
