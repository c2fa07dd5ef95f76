"""JSON Schema and reference page of the configuration, from its types."""

from collections.abc import Iterable
from collections.abc import Iterator
import inspect
import re
from typing import Any

import msgspec

from mimosastile_core import config

_TITLE = "# Configuration reference"
_INTRO = """
Made from the types in `mimosastile_core.config` by
`python -m mimosastile_entry.pages`; do not edit. The same as JSON Schema:
`configuration.schema.json`. Defaults are what a field has when it is left out.
"""
_ATTRIBUTE = re.compile(r"^ {4}(\w+): (.*)$")


def schema() -> dict[str, Any]:
    """Returns the JSON Schema of the configuration document."""
    generated = msgspec.json.schema(config.Document)
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "mimosastile configuration",
        **generated,
    }


def page() -> str:
    """Returns the reference page in Markdown."""
    sections = (
        _struct_section(kind) for kind in _struct_types(config.Document)
    )
    return "\n".join([_TITLE, _INTRO, *sections])


def _struct_types(root: Any) -> list[Any]:
    """Returns a type and its nested types, breadth first, without repeats."""
    found: list[Any] = []
    pending = [root]
    while pending:
        kind = pending.pop(0)
        if kind not in found:
            found.append(kind)
            fields = msgspec.structs.fields(kind)
            pending.extend(
                inner
                for f in fields
                for inner in _nested_structs(_type_info(f.type))
            )
    return found


def _type_info(kind: Any) -> Any:
    return msgspec.inspect.type_info(kind)


def _nested_structs(info: Any) -> Iterator[Any]:
    if isinstance(info, msgspec.inspect.StructType):
        yield info.cls
    for part in ("item_type", "value_type", "type"):
        inner = getattr(info, part, None)
        if inner is not None:
            yield from _nested_structs(inner)
    for inner in getattr(info, "types", ()):
        yield from _nested_structs(inner)


def _struct_section(kind: Any) -> str:
    summary, attributes = _parse_docstring(kind)
    rows = [
        f"| `{field.encode_name}` | {_type_name(_type_info(field.type))} |"
        f" {_default(field)} | {attributes.get(field.name, '')} |"
        for field in msgspec.structs.fields(kind)
    ]
    head = ["| field | type | default | meaning |", "|---|---|---|---|"]
    return "\n".join([f"## {kind.__name__}", "", summary, "", *head, *rows, ""])


def _parse_docstring(kind: Any) -> tuple[str, dict[str, str]]:
    """Returns the summary and the attribute texts of a docstring."""
    text = inspect.cleandoc(kind.__doc__ or "")
    summary = " ".join(text.partition("\n\n")[0].split())
    attributes: dict[str, str] = {}
    name = ""
    for line in text.partition("Attributes:")[2].splitlines():
        match = _ATTRIBUTE.match(line)
        if match:
            name = match[1]
            attributes[name] = match[2]
        elif name:
            attributes[name] += " " + line.strip()
    return summary, {n: d.strip() for n, d in attributes.items()}


def _default(field: Any) -> str:
    if field.default is not msgspec.NODEFAULT:
        default = field.default
    elif field.default_factory is not msgspec.NODEFAULT:
        default = field.default_factory()
    else:
        return "needed"
    if isinstance(default, msgspec.Struct):
        return "see below"
    return f"`{msgspec.json.encode(default).decode()}`"


def _type_name(info: Any) -> str:
    inspected = msgspec.inspect
    if isinstance(info, inspected.StructType):
        return f"[{info.cls.__name__}](#{info.cls.__name__.lower()})"
    if isinstance(info, inspected.EnumType):
        return " or ".join(f"`{v.value}`" for v in info.cls)
    if isinstance(info, inspected.UnionType):
        return " or ".join(map(_type_name, info.types))
    if isinstance(info, inspected.DictType):
        return f"object of {_type_name(info.value_type)}"
    if isinstance(info, inspected.VarTupleType):
        return f"list of {_type_name(info.item_type)}"
    return _scalar(info)


def _scalar(info: Any) -> str:
    names = {
        "IntType": "whole number",
        "FloatType": "number",
        "StrType": "text",
        "BoolType": "true or false",
        "NoneType": "null",
    }
    name = names.get(type(info).__name__, type(info).__name__)
    bounds = {"gt": ">", "ge": "≥", "lt": "<", "le": "≤"}
    limits: Iterable[str] = (
        f"{sign} {getattr(info, bound):g}"
        for bound, sign in bounds.items()
        if getattr(info, bound, None) is not None
    )
    pattern = getattr(info, "pattern", None)
    parts = [*limits, *([f"`{pattern}`"] if pattern else [])]
    return " ".join([name, *parts]).replace("|", "\\|")
