"""The demo: the whole path in one process, with one target stopped on the way.

Store, targets, list of VMs and callers are stand-ins; the three daemons are
the product, and everything between them is HTTP over loopback.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import hashlib
import time

import msgspec

from mimosastile_core import config
from mimosastile_core import fleet
from mimosastile_core import keys
from mimosastile_core import tables
from mimosastile_entry import daemon
from mimosastile_entry import kernel
from mimosastile_entry import settings
from mimosastile_standins import _printing
from mimosastile_standins import callers
from mimosastile_standins import serving
from mimosastile_standins import store
from mimosastile_standins import target
from mimosastile_standins import vms

HOST = "127.0.0.1"
TOKEN = "demo-token"
OPERATOR = "demo-operator"
KEYED = "citaonica"
PLAIN = "prijemnica"
_ZONES = (("kontinent", "zagreb-a"), ("primorje", "split-a"))
_KEYED_TARGETS = 6
_PLAIN_TARGETS = 2
_ENTRIES = 3
_LETTERS = 200
_WAIT_SECONDS = 10.0
_CALLER_SEED = 1
_PEER_SECRET = "demo-secret-shared-by-the-entry-vms"


def document() -> config.Document:
    """Returns the demo's configuration: one service of each sort."""
    letters = config.Service(
        key=config.KeySource(config.KeyPlace.PATH, segment=1),
        slices=24,
        checks_orders=True,
        checks_expiry=True,
    )
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    operator = config.Operator(
        tokens=(hashlib.sha256(OPERATOR.encode()).hexdigest(),),
        roles=tuple(config.Role),
        services=(config.ALL,),
        members=(config.ALL,),
    )
    return config.Document(
        services={KEYED: letters, PLAIN: config.Service()},
        members={"desk": config.Member(credentials=(digest,))},
        operators={"ana": operator},
    )


class Demo:
    """The running parts.

    Attributes:
        started: Loop time at which the parts began to start.
        store: The key-value service.
        fleet: The list of VMs.
        targets: The targets by VM.
        daemons: The daemons by VM.
    """

    __slots__ = ("_stack", "daemons", "fleet", "started", "store", "targets")

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        self._stack = stack
        self.started = asyncio.get_running_loop().time()
        self.store = store.MemoryStore()
        self.fleet = vms.MemoryFleet()
        self.targets: dict[str, target.Target] = {}
        self.daemons: dict[str, kernel.Kernel] = {}

    async def start(self) -> None:
        """Starts everything and waits until all keys have owners."""
        serve = self._stack.enter_async_context
        store_port = await serve(serving.serving(serving.store_app(self.store)))
        fleet_port = await serve(serving.serving(serving.fleet_app(self.fleet)))
        # Waiting watches end before the server that holds them stops.
        self._stack.callback(self.store.go_down)
        version = config.Version(1, document())
        await self.store.compare_and_swap(
            "config/current", msgspec.json.encode(version), 0
        )
        for i in range(_KEYED_TARGETS):
            await self._start_target(f"{KEYED}-{i}", KEYED, i)
        for i in range(_PLAIN_TARGETS):
            await self._start_target(f"{PLAIN}-{i}", PLAIN, i)
        platform = settings.PlatformSettings(
            f"http://{HOST}:{store_port}", f"http://{HOST}:{fleet_port}"
        )
        for i in range(_ENTRIES):
            await self._start_daemon(f"entry-{i}", i, platform)
        async with asyncio.timeout(_WAIT_SECONDS):
            while not self._settled():
                await asyncio.sleep(0.05)

    async def _start_target(self, name: str, service: str, place: int) -> None:
        run = target.Target(name)
        port = await self._stack.enter_async_context(
            serving.serving(serving.target_app(run))
        )
        self.targets[name] = run
        region, zone = _ZONES[place % len(_ZONES)]
        self.fleet.put(
            fleet.Vm(name, fleet.Role.TARGET, region, zone, HOST, port, service)
        )

    async def _start_daemon(
        self, name: str, place: int, platform: settings.PlatformSettings
    ) -> None:
        region, zone = _ZONES[place % len(_ZONES)]
        vm = settings.VmSettings(name, region, zone, HOST, 0, 0)
        limits = settings.LimitSettings(shutdown_seconds=2, notice_seconds=0)
        peers = settings.PeerSettings({"demo": _PEER_SECRET}, "demo")
        made = daemon.assemble(
            settings.Settings(vm, platform, limits=limits, peers=peers)
        )
        await made.start()
        self._stack.push_async_callback(made.stop)
        self.daemons[name] = made
        port = made.find("listeners").ports["peers"]
        self.fleet.put(
            fleet.Vm(name, fleet.Role.ENTRY, region, zone, HOST, port)
        )

    def addresses(self) -> list[str]:
        """Returns the callers' addresses of all entry VMs."""
        return [
            f"http://{HOST}:{made.find('listeners').ports['callers']}"
            for made in self.daemons.values()
        ]

    def table(self) -> tables.Table | None:
        """Returns the keyed service's table as the first entry VM has it."""
        first = next(iter(self.daemons.values()))
        found: tables.Table | None = first.find("state").replica.table(KEYED)
        return found

    def owners(self) -> collections.Counter[str]:
        """Returns how many slices each target owns."""
        table = self.table()
        blocks = table.blocks.values() if table else ()
        return collections.Counter(s.owner for b in blocks for s in b.slices)

    def _settled(self) -> bool:
        owners = self.owners()
        held = {
            name: len(run.holder.owned(run.now()))
            for name, run in self.targets.items()
        }
        return bool(owners) and all(
            owner and held[owner] == count for owner, count in owners.items()
        )


@contextlib.asynccontextmanager
async def running() -> AsyncIterator[Demo]:
    """Runs the demo's parts for the length of a block."""
    async with contextlib.AsyncExitStack() as stack:
        made = Demo(stack)
        await made.start()
        yield made


async def run(seconds: float, keep: bool) -> None:
    """Runs the demo and prints what happened.

    Args:
        seconds: How long callers send requests.
        keep: Whether to go on until interrupted, for play.
    """
    began = time.monotonic()
    async with running() as made:
        _printing.say(f"up after {time.monotonic() - began:.2f} s")
        before = made.owners()
        letters = [f"/{KEYED}/letters/{i}" for i in range(_LETTERS)]
        load = asyncio.create_task(
            callers.call_for(
                seconds,
                made.addresses(),
                [*letters, f"/{PLAIN}/inbox"],
                TOKEN,
                8,
                _CALLER_SEED,
            )
        )
        await asyncio.sleep(seconds / 3)
        stopped = before.most_common(1)[0][0]
        made.fleet.leave(stopped)
        notes = await load
        _report(made, before, stopped, notes)
        if keep:
            _invite(made)
            await asyncio.Event().wait()


def _report(
    made: Demo,
    before: collections.Counter[str],
    stopped: str,
    notes: callers.Notes,
) -> None:
    after = made.owners()
    say = _printing.say
    say(f"slices of {KEYED} by owner; {stopped} was stopped on the way:")
    for name in sorted(before | after):
        say(f"  {name:14} {before[name]:3} -> {after[name]:3}")
    moved = before[stopped] - after[stopped]
    mean = sum(after.values()) / max(1, len(+after))
    served = ", ".join(f"{t} {n}" for t, n in sorted(notes.served_by.items()))
    refused = {s: n for s, n in notes.answers.items() if s != 200}
    first = notes.first_answer - made.started
    say(f"requests: {notes.sent}, not answered with 200: {refused or 0}")
    say(f"served by: {served}")
    say(f"first answer {first:.2f} s after the start of the first part")
    say(
        f"time to the whole answer: p50 {notes.percentile(0.5) * 1000:.1f} ms,"
        f" p99 {notes.percentile(0.99) * 1000:.1f} ms,"
        f" longest {max(notes.seconds) * 1000:.1f} ms"
    )
    say(
        f"churn: {moved} of {sum(after.values())} slices moved; imbalance:"
        f" {max(after.values()) / mean:.2f} (most to mean)"
    )
    say(f"store calls: {dict(made.store.calls)}")


def _invite(made: Demo) -> None:
    say = _printing.say
    address = made.addresses()[0]
    inner = next(iter(made.daemons.values())).find("listeners").ports["peers"]
    letter = next(str(i) for i in range(_LETTERS) if keys.key_hash(str(i)))
    say("running on; stop with Ctrl-C. Try:")
    say(
        f"  curl -H 'Authorization: Bearer {TOKEN}'"
        f" {address}/{KEYED}/letters/{letter}"
    )
    say(f"  export MIMOSACTL_TOKEN={OPERATOR}")
    say(f"  mimosactl --at http://{HOST}:{inner} table {KEYED}")
    say(f"  mimosactl --at http://{HOST}:{inner} owner {KEYED} {letter}")
