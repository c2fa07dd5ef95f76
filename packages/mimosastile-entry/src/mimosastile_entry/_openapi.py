"""The OpenAPI description of the administration API."""

import re
from typing import Any

import msgspec

from mimosastile_core import administration
from mimosastile_core import config
from mimosastile_core import patches
from mimosastile_core import tables

_REFERENCE = "#/components/schemas/{name}"
_VARIABLE = re.compile(r"\{(\w+)(:\w+)?\}")
_JSON = "application/json"


class View(msgspec.Struct, frozen=True):
    """Description of one route.

    Attributes:
        summary: One line.
        answer: Type of the response body.
        query: Query parameters.
        body: Type of the request body, None if there is none.
        roles: The role that the caller needs.
    """

    summary: str
    answer: Any
    query: tuple[str, ...] = ()
    body: Any = None
    roles: str = "read"


VIEWS: dict[str, View] = {
    "/v1/config": View(
        "The configuration in force, or an earlier one.",
        config.Version,
        ("number",),
    ),
    "/v1/config/diff": View(
        "What differs between two numbers.",
        administration.Difference,
        ("older", "newer"),
    ),
    "/v1/config/history": View(
        "Changes, newest first.", list[config.Change], ("before", "limit")
    ),
    "/v1/config/changes/{number}": View("One change.", config.Change),
    "/v1/config/blame": View(
        "The newest changes of one path.",
        list[config.Change],
        ("path", "limit"),
    ),
    "/v1/config/revert/{number}": View(
        "Operations that undo one change.", list[patches.Operation]
    ),
    "/v1/config/in-force": View(
        "Which number each entry VM has in force.",
        administration.InForce,
        ("number",),
    ),
    "/v1/config/propose": View(
        "Checks a patch without applying it.",
        administration.Preview,
        body=patches.Patch,
        roles="propose",
    ),
    "/v1/config/apply": View(
        "Applies a patch, once for each identifier.",
        administration.Accepted,
        body=patches.Patch,
        roles="operate or approve, by what the patch touches",
    ),
    "/v1/tables/{service}": View("A service's table.", list[tables.Block]),
    "/v1/tables/{service}/owner/{key:path}": View(
        "Where a key lives.", tables.Location
    ),
    "/v1/explain/{service}/{key:path}": View(
        "Why a request for a key goes where it goes.",
        administration.Explanation,
    ),
    "/v1/members": View(
        "Members and their limits.", dict[str, administration.MemberView]
    ),
    "/v1/quarantine": View("Requests held back at this VM.", dict[str, Any]),
    "/v1/link": View("This VM's part of the link.", dict[str, Any]),
    "/v1/dump": View("The daemon's state, without secrets.", dict[str, Any]),
    "/v1/audit": View(
        "Refused calls, newest first.",
        list[administration.AuditEntry],
        ("limit",),
    ),
}
"""Views of all routes by path."""


def document() -> dict[str, Any]:
    """Returns the OpenAPI document."""
    response_types = [view.answer for view in VIEWS.values()]
    body_types = [view.body for view in VIEWS.values() if view.body is not None]
    schemas, components = msgspec.json.schema_components(
        [*response_types, *body_types, administration.AdminRefusal],
        ref_template=_REFERENCE,
    )
    response_schemas = dict(zip(VIEWS, schemas, strict=False))
    body_schemas = iter(schemas[len(response_types) :])
    paths = {}
    for path, view in VIEWS.items():
        body = next(body_schemas) if view.body is not None else None
        template = _VARIABLE.sub(r"{\1}", path)
        method = "post" if body else "get"
        paths[template] = {
            method: _operation(path, view, response_schemas[path], body)
        }
    return {
        "openapi": "3.1.0",
        "info": {"title": "mimosastile administration", "version": "1"},
        "security": [{"token": []}],
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def _operation(
    path: str, view: View, answer: Any, body: Any | None
) -> dict[str, Any]:
    refusal = {"$ref": _REFERENCE.format(name="AdminRefusal")}
    operation: dict[str, Any] = {
        "summary": view.summary,
        "description": f"Role: {view.roles}.",
        "parameters": [
            *(
                _parameter(found[1], "path")
                for found in _VARIABLE.finditer(path)
            ),
            *(_parameter(name, "query") for name in view.query),
        ],
        "responses": {
            "200": _content("Done.", answer),
            "default": _content("Refused.", refusal),
        },
    }
    if body is not None:
        operation["requestBody"] = {"required": True}
        operation["requestBody"]["content"] = {_JSON: {"schema": body}}
    return operation


def _parameter(name: str, location: str) -> dict[str, Any]:
    is_integer = name in ("number", "older", "newer", "before", "limit")
    return {
        "name": name,
        "in": location,
        "required": location == "path",
        "schema": {"type": "integer" if is_integer else "string"},
    }


def _content(description: str, schema: Any) -> dict[str, Any]:
    return {
        "description": description,
        "content": {_JSON: {"schema": schema}},
    }
