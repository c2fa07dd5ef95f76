"""Tests that the committed reference pages match the code."""

import pathlib

import administered
import pytest

from mimosastile_entry import _admin
from mimosastile_entry import _openapi
from mimosastile_entry import pages
from mimosastile_standins import virtual

DOCS = pathlib.Path(__file__).parent.parent.parent / "docs"


class TestCommitted:
    """The committed pages are generated from the code."""

    @pytest.mark.parametrize("name", sorted(pages.pages()))
    def test_is_current(self, name):
        """`python -m mimosastile_entry.pages` updates an outdated page."""
        committed = (DOCS / name).read_text(encoding="utf-8")
        assert committed == pages.pages()[name]

    def test_every_field_has_a_description(self):
        """Every field has a description for operators."""
        rows = pages.pages()["CONFIGURATION.md"].splitlines()
        fields = [r for r in rows if r.startswith("| `")]
        assert len(fields) > 40
        assert [r for r in fields if r.endswith("|  |")] == []


class TestOpenApi:
    """The OpenAPI document of the administration API."""

    def test_describes_every_route_and_no_other(self):
        """Paths and methods match the routes of the daemon."""

        async def scenario():
            api = await administered.start()
            admin_api = _admin.AdminApi(api.world.daemons["e0"])
            return {
                (route.path, method)
                for route in admin_api.routes()
                for method in route.methods - {"HEAD"}
            }

        described = {
            (path, "POST" if view.body else "GET")
            for path, view in _openapi.VIEWS.items()
        }
        # The metrics page has its own format and is not described.
        assert virtual.run(scenario()) == described | {("/metrics", "GET")}

    def test_references_are_defined(self):
        """Every referenced schema is defined."""
        text = pages.pages()["openapi.json"]
        schemas = _openapi.document()["components"]["schemas"]
        names = {p.split('"')[0] for p in text.split("schemas/")[1:]}
        assert names <= set(schemas)
