"""Both sides of the extension of a leader's authority by its witnesses."""

import asyncio

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dissemination
from mimosastile_gateway import events
from mimosastile_gateway import messages
from mimosastile_gateway import peer_calls
from mimosastile_gateway import ports
from mimosastile_gateway import settings

_CALL_MARGIN_SECONDS = 0.2
"""What a witness's answer may take beside its own look at the store: several
times the way to another region and back."""
_NAME_SECONDS = 0.5
"""Shortest time between two looks whether the named witnesses still report."""


class Witness:
    """Lets a leader go on while the store is unreachable, and remembers it.

    Whoever leads next hears of it, this VM included; it keeps nobody from
    leading.
    """

    __slots__ = (
        "_cluster",
        "_boot",
        "_clock",
        "_events",
        "_promises",
        "_settings",
        "_store",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        boot: str,
        store: ports.StorePort,
        known: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        """Makes one that has promised nothing.

        Args:
            configured: Settings of this VM.
            boot: Identifier of this run of the daemon.
            store: The platform's store.
            known: What this VM believes.
            timer: The clock.
            log: Where it logs.
        """
        self._settings = configured
        self._boot = boot
        self._store = store
        self._cluster = known
        self._clock = timer
        self._events = log
        self._promises = lease_extension.Promises()

    @property
    def identity(self) -> lease_extension.Witness:
        """This run of this VM, as leaders name it."""
        return lease_extension.Witness(self._settings.vm.id, self._boot)

    def promised(self) -> float | None:
        """Returns the seconds until the last promise ends, None for none."""
        return self._promises.seconds(self._clock.boot())

    async def answer(
        self, request: messages.ExtensionRequest
    ) -> messages.ExtensionReply:
        """Decides on a leader's request, after a look at the store."""
        refused = messages.ExtensionReply(promised=False)
        if request.boot != self._boot or not self._may_follow(request.epoch):
            return refused
        received = self._clock.boot()
        if await self._reaches_store():
            return refused
        if not self._may_follow(request.epoch):
            # Another VM leads by now.
            return refused
        seconds = min(request.seconds, self._settings.leader.authority)
        self._promises.add(received + seconds)
        self._events.write(
            "peers",
            "extension_promised",
            epoch=request.epoch,
            seconds=round(seconds, 2),
        )
        return messages.ExtensionReply(promised=True)

    def _may_follow(self, epoch: int) -> bool:
        """Whether no later leader is known than one of an epoch."""
        known = self._cluster.leader
        return known is None or known.epoch <= epoch

    async def _reaches_store(self) -> bool:
        try:
            async with asyncio.timeout(self._settings.leader.extension_after):
                read = await self._store.read(messages.LEADER_KEY)
        except TimeoutError:
            self._cluster.record_store_status(
                ok=False, why="no answer to a look"
            )
            return False
        if isinstance(read, result.Err):
            self._cluster.record_store_status(
                ok=False, why=read.err_value.detail
            )
            return False
        self._cluster.record_store_status(ok=True)
        return True


class Witnesses:
    """Names a leader's witnesses and asks them, for one term of leading."""

    __slots__ = (
        "_asking",
        "_lease",
        "_calls",
        "_clock",
        "_entry",
        "_events",
        "_named",
        "_named_at",
        "_record",
        "_revision",
        "_settings",
        "_store",
        "_disseminator",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        entry: leadership.LeaderEntry,
        revision: int,
        lease: leadership.LeaderLease,
        store: ports.StorePort,
        calls: peer_calls.PeerCalls,
        disseminator: dissemination.Disseminator,
        timer: clock.Clock,
        log: events.Events,
    ) -> None:
        """Makes one that has named nobody.

        Args:
            configured: Settings of this VM.
            entry: The leader's entry.
            revision: Revision of the record in the store, 0 if there is none.
            lease: What promises extend.
            store: The platform's store.
            calls: The way to peers.
            disseminator: What VMs report.
            timer: The clock.
            log: Where it logs.
        """
        self._settings = configured
        self._entry = entry
        self._revision = revision
        self._lease = lease
        self._store = store
        self._calls = calls
        self._disseminator = disseminator
        self._clock = timer
        self._events = log
        self._record: lease_extension.Record | None = None
        self._named: tuple[messages.VmEntry, ...] = ()
        self._named_at = float("-inf")
        self._asking: asyncio.Task[None] | None = None

    def dump(self) -> list[str]:
        """Returns the VMs whose promises are needed."""
        return [vm.id for vm in self._named]

    def stop(self) -> None:
        """Asks nobody any more."""
        if self._asking is not None:
            self._asking.cancel()

    # Naming.

    async def name(self, leader_revision: int, clear_at: float) -> None:
        """Names witnesses in the store if the named ones do not serve.

        Args:
            leader_revision: Revision of the leader's entry.
            clear_at: When earlier leaders have stopped and all grants longer
                than usual have run out. Nobody is named before: a successor
                takes the record as proof of both.
        """
        now = self._clock.boot()
        if now - self._named_at < _NAME_SECONDS:
            return
        if now < max(clear_at, self._lease.extended_until):
            return
        able = self._able()
        present = {_identity(vm) for vm in able}
        record = self._record
        if record and not lease_extension.outdated(
            record.witnesses, present, len(present)
        ):
            return
        self._named_at = now
        chosen = lease_extension.chosen((_identity(vm), vm.zone) for vm in able)
        if not chosen:
            return
        await self._write(
            lease_extension.Record(self._entry.epoch, chosen),
            able,
            leader_revision,
        )

    async def _write(
        self,
        record: lease_extension.Record,
        able: list[messages.VmEntry],
        leader_revision: int,
    ) -> None:
        """Writes a record; it counts once the store has acknowledged it."""
        # It may be in force from now on, and the one before as well.
        self._lease.need_witnesses()
        self._record = None
        self._named = ()
        key = messages.WITNESSES_KEY
        value = msgspec.json.encode(record)
        written = await self._store.commit(
            {messages.LEADER_KEY: leader_revision, key: self._revision},
            (ports.Write(key, value),),
        )
        revision = 0
        if isinstance(written, result.Ok):
            revision = written.ok_value
        elif not _surely_undone(written.err_value):
            # No answer, or another revision than expected: an earlier write
            # without an answer may have been carried out.
            revision = await self._find(value)
        if not revision:
            self._events.write(
                "leader", "witnesses_not_named", why=repr(written)
            )
            return
        self._revision = revision
        self._record = record
        self._named = tuple(
            vm for vm in able if _identity(vm) in record.witnesses
        )
        self._events.write(
            "leader",
            "witnesses_named",
            epoch=record.epoch,
            witnesses=[witness.vm for witness in record.witnesses],
        )

    async def _find(self, value: bytes) -> int:
        """Returns the revision of a record if it is the one in the store."""
        read = await self._store.read(messages.WITNESSES_KEY)
        if isinstance(read, result.Err) or read.ok_value is None:
            return 0
        item = read.ok_value
        self._revision = item.revision
        return item.revision if item.value == value else 0

    def _able(self) -> list[messages.VmEntry]:
        """Returns other VMs that report and are not stopping, best first."""
        able = [
            report.vm
            for report in self._disseminator.fresh().values()
            if report.vm.id != self._settings.vm.id and not report.stopping
        ]
        return sorted(able, key=lambda vm: (vm.order, vm.id))

    # Asking.

    def ask(self) -> None:
        """Asks all witnesses for a promise, unless that is under way."""
        asked = self._asking is not None and not self._asking.done()
        if self._record is None or asked or self._lease.extended:
            return
        self._asking = asyncio.create_task(self._ask(), name="ask-witnesses")

    async def _ask(self) -> None:
        confirmed = self._lease.confirmed
        span = self._settings.leader.authority
        seconds = confirmed + span - self._clock.boot()
        if seconds <= 0:
            return
        named = self._named
        promised = await asyncio.gather(
            *(self._promised(vm, seconds) for vm in named)
        )
        if named == self._named and all(promised):
            self._lease.extend(confirmed)
        self._events.write(
            "leader",
            "extension_asked",
            witnesses=[vm.id for vm in named],
            promised=sum(promised),
            confirmed_ago=round(self._clock.boot() - confirmed, 2),
        )

    async def _promised(self, vm: messages.VmEntry, seconds: float) -> bool:
        request = messages.ExtensionRequest(self._entry.epoch, vm.boot, seconds)
        answer = await self._calls.call(
            vm.address,
            messages.EXTEND_PATH,
            messages.encode(request),
            self._settings.leader.extension_after + _CALL_MARGIN_SECONDS,
        )
        if answer is None:
            return False
        try:
            return messages.decode(answer, messages.ExtensionReply).promised
        except msgspec.DecodeError as error:
            self._events.write(
                "leader", "extension_unreadable", vm=vm.id, why=str(error)
            )
            return False


def _identity(vm: messages.VmEntry) -> lease_extension.Witness:
    return lease_extension.Witness(vm.id, vm.boot)


def _surely_undone(
    failure: errors.Failure | ports.Conflict | ports.SessionLost,
) -> bool:
    """Whether a failed commit has surely changed nothing."""
    return (
        isinstance(failure, errors.Failure)
        and failure.kind is errors.ErrorKind.STORE_UNAVAILABLE
    )
