"""Runs stand-ins as separate processes, for daemons started by hand."""

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
    """Serves an in-memory key-value service until interrupted.

    Args:
        host: IP address to listen on.
        port: Port, 0 for any free one.
        document: Path of the initial configuration document, or empty.
    """
    memory_store = store.MemoryStore()
    if document:
        raw = pathlib.Path(document).read_bytes()
        first = config.Version(1, config.decode_document(raw).unwrap())
        value = msgspec.json.encode(first)
        await memory_store.compare_and_swap(_CONFIG_KEY, value, 0)
    await _serve("store", serving.store_app(memory_store), host, port)


async def serve_fleet(host: str, port: int, file: str) -> None:
    """Serves a VM list until interrupted.

    Args:
        host: IP address to listen on.
        port: Port, 0 for any free one.
        file: Path of a JSON file with the initial VMs, or empty.
    """
    memory_fleet = vms.MemoryFleet()
    raw = pathlib.Path(file).read_bytes() if file else b"[]"
    for vm in msgspec.json.decode(raw, type=list[fleet.Vm]):
        memory_fleet.put(vm)
    await _serve("fleet", serving.fleet_app(memory_fleet), host, port)


async def serve_target(host: str, port: int, vm: str) -> None:
    """Serves a target until interrupted.

    Args:
        host: IP address to listen on.
        port: Port, 0 for any free one.
        vm: Identifier of the target's VM.
    """
    target_ = target.Target(vm)
    await _serve(vm, serving.target_app(target_), host, port)


async def _serve(name: str, app: serving.App, host: str, port: int) -> None:
    async with serving.serving(app, host, port) as bound:
        _printing.say(f"{name} on http://{host}:{bound}")
        await asyncio.Event().wait()
