"""Demo: runs the whole request path in one process and drains one target.

The store, the targets, the VM list and the callers are stand-ins. The three
daemons are the product. All parts communicate over HTTP on loopback.
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
from mimosastile_standins import fault_proxy
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
_KEYED_TARGET_COUNT = 6
_PLAIN_TARGET_COUNT = 2
_ENTRY_COUNT = 3
_LETTER_COUNT = 200
_START_TIMEOUT_SECONDS = 10.0
_CALLER_SEED = 1
_PEER_SECRET = "demo-secret-shared-by-the-entry-vms"


def document() -> config.Document:
    """Returns a configuration with one keyed and one plain service."""
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
    """Owns the running parts of the demo.

    Attributes:
        started: Loop time at which the parts began to start.
        store: The key-value service.
        fleet: The VM list.
        targets: The targets by VM.
        daemons: The daemons by VM.
        proxies: The proxies before the targets, by VM, if there are any.
    """

    __slots__ = (
        "_proxied",
        "_stack",
        "daemons",
        "fleet",
        "proxies",
        "started",
        "store",
        "targets",
    )

    def __init__(
        self, stack: contextlib.AsyncExitStack, *, proxied: bool = False
    ) -> None:
        """Initializes the demo without running parts.

        Args:
            stack: Stops the parts.
            proxied: Whether daemons reach the targets through proxies.
        """
        self._stack = stack
        self._proxied = proxied
        self.proxies: dict[str, fault_proxy.FaultProxy] = {}
        self.started = asyncio.get_running_loop().time()
        self.store = store.MemoryStore()
        self.fleet = vms.MemoryFleet()
        self.targets: dict[str, target.Target] = {}
        self.daemons: dict[str, kernel.Kernel] = {}

    async def start(self) -> None:
        """Starts all parts and waits until targets hold all their grants.

        Raises:
            TimeoutError: The grants were not complete within 10 s.
        """
        serve = self._stack.enter_async_context
        store_port = await serve(serving.serving(serving.store_app(self.store)))
        fleet_port = await serve(serving.serving(serving.fleet_app(self.fleet)))
        # Ends pending watches before their server stops.
        self._stack.callback(self.store.go_down)
        version = config.Version(1, document())
        await self.store.compare_and_swap(
            "config/current", msgspec.json.encode(version), 0
        )
        for i in range(_KEYED_TARGET_COUNT):
            await self._start_target(f"{KEYED}-{i}", KEYED, i)
        for i in range(_PLAIN_TARGET_COUNT):
            await self._start_target(f"{PLAIN}-{i}", PLAIN, i)
        platform = settings.PlatformSettings(
            f"http://{HOST}:{store_port}", f"http://{HOST}:{fleet_port}"
        )
        for i in range(_ENTRY_COUNT):
            await self._start_daemon(f"entry-{i}", i, platform)
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while not self._grants_complete():
                await asyncio.sleep(0.05)

    async def _start_target(
        self, name: str, service: str, zone_index: int
    ) -> None:
        target_ = target.Target(name)
        port = await self._stack.enter_async_context(
            serving.serving(serving.target_app(target_))
        )
        self.targets[name] = target_
        if self._proxied:
            proxy = fault_proxy.FaultProxy(f"{HOST}:{port}")
            port = int((await proxy.start()).rpartition(":")[2])
            self._stack.push_async_callback(proxy.stop)
            self.proxies[name] = proxy
        region, zone = _ZONES[zone_index % len(_ZONES)]
        self.fleet.put(
            fleet.Vm(name, fleet.Role.TARGET, region, zone, HOST, port, service)
        )

    async def _start_daemon(
        self, name: str, zone_index: int, platform: settings.PlatformSettings
    ) -> None:
        region, zone = _ZONES[zone_index % len(_ZONES)]
        vm = settings.VmSettings(name, region, zone, HOST, 0, 0)
        limits = settings.LimitSettings(shutdown_seconds=2, notice_seconds=0)
        peers = settings.PeerSettings({"demo": _PEER_SECRET}, "demo")
        kernel_ = daemon.assemble(
            settings.Settings(vm, platform, limits=limits, peers=peers)
        )
        await kernel_.start()
        self._stack.push_async_callback(kernel_.stop)
        self.daemons[name] = kernel_
        port = kernel_.find("listeners").ports["peers"]
        self.fleet.put(
            fleet.Vm(name, fleet.Role.ENTRY, region, zone, HOST, port)
        )

    def addresses(self) -> list[str]:
        """Returns the base URLs for callers of all entry VMs."""
        return [
            f"http://{HOST}:{kernel_.find('listeners').ports['callers']}"
            for kernel_ in self.daemons.values()
        ]

    def table(self) -> tables.Table | None:
        """Returns the first entry VM's table of the keyed service, if any."""
        first = next(iter(self.daemons.values()))
        found: tables.Table | None = first.find("state").replica.table(KEYED)
        return found

    def owners(self) -> collections.Counter[str]:
        """Returns the number of slices per owner."""
        table = self.table()
        blocks = table.blocks.values() if table else ()
        return collections.Counter(s.owner for b in blocks for s in b.slices)

    def _grants_complete(self) -> bool:
        owners = self.owners()
        held_slices = {
            name: len(target_.holder.owned(target_.now()))
            for name, target_ in self.targets.items()
        }
        return bool(owners) and all(
            owner and held_slices[owner] == count
            for owner, count in owners.items()
        )


@contextlib.asynccontextmanager
async def running(*, proxied: bool = False) -> AsyncIterator[Demo]:
    """Runs the demo's parts for the duration of a `with` block.

    Args:
        proxied: Whether daemons reach the targets through proxies.
    """
    async with contextlib.AsyncExitStack() as stack:
        demo = Demo(stack, proxied=proxied)
        await demo.start()
        yield demo


async def run(seconds: float, keep: bool) -> None:
    """Runs the demo and prints a summary.

    Args:
        seconds: How long callers send requests, in seconds.
        keep: Whether to keep running until interrupted, for manual use.
    """
    began = time.monotonic()
    async with running() as demo:
        _printing.say(f"up after {time.monotonic() - began:.2f} s")
        before = demo.owners()
        letters = [f"/{KEYED}/letters/{i}" for i in range(_LETTER_COUNT)]
        load = asyncio.create_task(
            callers.call_for(
                seconds,
                demo.addresses(),
                [*letters, f"/{PLAIN}/inbox"],
                TOKEN,
                8,
                _CALLER_SEED,
            )
        )
        await asyncio.sleep(seconds / 3)
        stopped = before.most_common(1)[0][0]
        demo.fleet.leave(stopped)
        statistics = await load
        _report(demo, before, stopped, statistics)
        if keep:
            _print_commands(demo)
            await asyncio.Event().wait()


def _report(
    demo: Demo,
    before: collections.Counter[str],
    stopped: str,
    statistics: callers.Statistics,
) -> None:
    after = demo.owners()
    print_line = _printing.say
    print_line(f"slices of {KEYED} by owner; {stopped} was stopped on the way:")
    for name in sorted(before | after):
        print_line(f"  {name:14} {before[name]:3} -> {after[name]:3}")
    moved = before[stopped] - after[stopped]
    mean = sum(after.values()) / max(1, len(+after))
    served = ", ".join(
        f"{t} {n}" for t, n in sorted(statistics.served_by.items())
    )
    refused = {s: n for s, n in statistics.answers.items() if s != 200}
    first = statistics.first_answer - demo.started
    print_line(
        f"requests: {statistics.sent}, not answered with 200: {refused or 0}"
    )
    print_line(f"served by: {served}")
    print_line(f"first answer {first:.2f} s after the start of the first part")
    print_line(
        "time to the whole answer:"
        f" p50 {statistics.percentile(0.5) * 1000:.1f} ms,"
        f" p99 {statistics.percentile(0.99) * 1000:.1f} ms,"
        f" longest {max(statistics.seconds) * 1000:.1f} ms"
    )
    print_line(
        f"churn: {moved} of {sum(after.values())} slices moved; imbalance:"
        f" {max(after.values()) / mean:.2f} (most to mean)"
    )
    print_line(f"store calls: {dict(demo.store.calls)}")


def _print_commands(demo: Demo) -> None:
    print_line = _printing.say
    address = demo.addresses()[0]
    peer_port = (
        next(iter(demo.daemons.values())).find("listeners").ports["peers"]
    )
    letter = next(str(i) for i in range(_LETTER_COUNT) if keys.key_hash(str(i)))
    print_line("running on; stop with Ctrl-C. Try:")
    print_line(
        f"  curl -H 'Authorization: Bearer {TOKEN}'"
        f" {address}/{KEYED}/letters/{letter}"
    )
    print_line(f"  export MIMOSACTL_TOKEN={OPERATOR}")
    print_line(f"  mimosactl --at http://{HOST}:{peer_port} table {KEYED}")
    print_line(
        f"  mimosactl --at http://{HOST}:{peer_port} owner {KEYED} {letter}"
    )
