"""Stand-ins as processes of their own, for daemons run by hand."""

import asyncio
import pathlib

import msgspec

from mimosastile_core import config
from mimosastile_core import fleet
from mimosastile_standins import _printing
from mimosastile_standins import serving
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

_CONFIG_KEY = "config/current"


async def serve_store(host: str, port: int, document: str) -> None:
    """Serves a key-value service until interrupted.

    Args:
        host: IP number to listen on.
        port: Port, 0 for any free one.
        document: Path of a configuration document to begin with, or empty.
    """
    kept = store.MemoryStore()
    if document:
        raw = pathlib.Path(document).read_bytes()
        first = config.Version(1, config.decode_document(raw).unwrap())
        value = msgspec.json.encode(first)
        await kept.compare_and_swap(_CONFIG_KEY, value, 0)
    await _serve("store", serving.store_app(kept), host, port)


async def serve_fleet(host: str, port: int, file: str) -> None:
    """Serves a list of VMs until interrupted.

    Args:
        host: IP number to listen on.
        port: Port, 0 for any free one.
        file: Path of a JSON file with the VMs, or empty.
    """
    listed = vms.MemoryFleet()
    raw = pathlib.Path(file).read_bytes() if file else b"[]"
    for vm in msgspec.json.decode(raw, type=list[fleet.Vm]):
        listed.put(vm)
    await _serve("fleet", serving.fleet_app(listed), host, port)


async def serve_target(host: str, port: int, vm: str) -> None:
    """Serves a target until interrupted.

    Args:
        host: IP number to listen on.
        port: Port, 0 for any free one.
        vm: Identifier of its VM.
    """
    run = target.Target(vm)
    await _serve(vm, serving.target_app(run), host, port)


async def _serve(name: str, app: serving.App, host: str, port: int) -> None:
    async with serving.serving(app, host, port) as bound:
        _printing.say(f"{name} on http://{host}:{bound}")
        await asyncio.Event().wait()
