"""Tests of layering and import rules that no linter checks."""

import ast
import importlib.util
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = sorted(
    (
        *(ROOT / "packages").glob("*/src/**/*.py"),
        *(ROOT / "platform").glob("src/**/*.py"),
    )
)
INPUT_OUTPUT = {
    "aiohttp",
    "asyncio",
    "http",
    "os",
    "random",
    "requests",
    "socket",
    "ssl",
    "starlette",
    "time",
    "urllib.request",
    "uvicorn",
}
ALLOWED = {
    "mimosastile_core": {"mimosastile_core"},
    "mimosastile_entry": {"mimosastile_core", "mimosastile_entry"},
    "mimosastile_ctl": {"mimosastile_core", "mimosastile_ctl"},
    "mimosastile_gateway": {"mimosastile_core", "mimosastile_gateway"},
    "mimosastile_platform": {
        "mimosastile_core",
        "mimosastile_gateway",
        "mimosastile_platform",
    },
    "mimosastile_standins": {
        "mimosastile_core",
        "mimosastile_entry",
        "mimosastile_gateway",
        "mimosastile_platform",
        "mimosastile_standins",
    },
}
NAMES_ALLOWED = {"typing", "collections.abc"}


def _imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from ((alias.name, "") for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from ((node.module, alias.name) for alias in node.names)


def _package(path):
    parts = path.relative_to(ROOT).parts
    return parts[parts.index("src") + 1]


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: p.stem)
class TestImports:
    """Import rules of a source file."""

    def test_direction(self, path):
        """A package imports only packages of lower layers."""
        used = {
            module.split(".")[0]
            for module, _ in _imports(path)
            if module.startswith("mimosastile_")
        }
        assert used <= ALLOWED[_package(path)]

    def test_core_does_no_input_or_output(self, path):
        """The core must run under any clock and any network."""
        if _package(path) == "mimosastile_core":
            assert not INPUT_OUTPUT & {m for m, _ in _imports(path)}

    def test_stand_ins_use_public_modules(self, path):
        """Stand-ins do not import private modules of the daemon."""
        if _package(path) == "mimosastile_standins":
            private = [
                name
                for module, name in _imports(path)
                if module == "mimosastile_entry" and name.startswith("_")
            ]
            assert private == []

    def test_modules_are_imported_not_names(self, path):
        """Only modules are imported from packages, except for typing."""
        for module, name in _imports(path):
            if name and module not in NAMES_ALLOWED:
                spec = importlib.util.find_spec(f"{module}.{name}")
                assert spec is not None, f"{module}.{name} is no module"


WIRE_NAMES = (
    "X-Attempt-Id",
    "X-Deadline-Ms",
    "X-Expect-Instance",
    "X-Server-Seal",
    "X-Not-Executed",
    "X-Shard-Key",
    "X-Handover",
    "ListenerList",
    "ClusterList",
    "WeightedServices",
    "HoldMs",
    "kv-",
    "MIMOSASTILE_NODE_FILE",
)


@pytest.mark.parametrize(
    "path",
    [
        p
        for p in SOURCES
        if _package(p) not in ("mimosastile_platform", "mimosastile_standins")
    ],
    ids=lambda p: p.stem,
)
def test_platform_wire_names_stay_in_the_adapter(path):
    """Only the adapter and the stand-ins use the platform's wire names."""
    text = path.read_text().lower()
    assert [name for name in WIRE_NAMES if name.lower() in text] == []


def test_adapter_does_not_shadow_the_standard_module():
    """A package at `platform/` would shadow the standard library module."""
    assert not (ROOT / "platform" / "__init__.py").exists()
