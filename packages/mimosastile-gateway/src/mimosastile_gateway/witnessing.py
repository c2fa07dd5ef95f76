"""Extension of the leader lease by witnesses: the witness and leader sides."""

import asyncio

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import lease_extension
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dissemination
from mimosastile_gateway import events
from mimosastile_gateway import messages
from mimosastile_gateway import peer_calls
from mimosastile_gateway import ports
from mimosastile_gateway import settings

_RESPONSE_MARGIN_SECONDS = 0.2
"""Time allowed for a witness's response in addition to its read of the store;
several round trips to another region."""
_NAMING_INTERVAL_SECONDS = 0.5
"""Minimum interval between two checks whether the named witnesses report."""


class Witness:
    """Extends the lease of a leader while the store is unreachable.

    The promises are recorded and reported to the next leader, also if that is
    this VM. They keep no VM from becoming the leader.
    """

    __slots__ = (
        "_boot",
        "_clock",
        "_cluster",
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
        cluster: cluster_state.ClusterState,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        """Creates a witness that has made no promise.

        Args:
            configured: Settings of this VM.
            boot: Identifier of this incarnation of the daemon.
            store: The platform's store.
            cluster: This VM's view of the cluster.
            timer: The clock.
            log: The event log.
        """
        self._settings = configured
        self._boot = boot
        self._store = store
        self._cluster = cluster
        self._clock = timer
        self._events = log
        self._promises = lease_extension.Promises()

    @property
    def identity(self) -> lease_extension.Witness:
        """This VM and its daemon's incarnation, as leaders name them."""
        return lease_extension.Witness(self._settings.vm.id, self._boot)

    def promised_seconds(self) -> float | None:
        """Returns the seconds until the last promise ends, None without one.

        The value is negative once the promise has ended.
        """
        return self._promises.seconds_left(self._clock.boottime())

    async def handle_request(
        self, request: messages.ExtensionRequest
    ) -> messages.ExtensionReply:
        """Promises an extension if this VM does not reach the store either."""
        refused = messages.ExtensionReply(promised=False)
        if request.boot != self._boot or not self._is_current_epoch(
            request.epoch
        ):
            return refused
        received = self._clock.boottime()
        if await self._reaches_store():
            return refused
        if not self._is_current_epoch(request.epoch):
            # Another VM has become the leader meanwhile.
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

    def _is_current_epoch(self, epoch: int) -> bool:
        """Whether the recorded leader has no later epoch."""
        leader = self._cluster.leader
        return leader is None or leader.epoch <= epoch

    async def _reaches_store(self) -> bool:
        """Reads the leader's entry to find out whether the store responds."""
        try:
            async with asyncio.timeout(self._settings.leader.extension_after):
                read = await self._store.read(messages.LEADER_KEY)
        except TimeoutError:
            self._cluster.record_store_status(
                ok=False, why="read of the leader's entry timed out"
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
    """Names a leader's witnesses and requests extensions, for one term."""

    __slots__ = (
        "_calls",
        "_clock",
        "_disseminator",
        "_entry",
        "_events",
        "_extension_task",
        "_lease",
        "_named",
        "_naming_tried_at",
        "_record",
        "_revision",
        "_settings",
        "_store",
        "_tasks",
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
        log: events.EventLog,
    ) -> None:
        """Creates an instance without witnesses.

        Args:
            configured: Settings of this VM.
            entry: The leader's entry.
            revision: Revision of the record in the store, 0 if there is none.
            lease: The leader lease that promises extend.
            store: The platform's store.
            calls: Client for calls to peers.
            disseminator: The reports of VMs.
            timer: The clock.
            log: The event log.
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
        self._tasks = background_tasks.BackgroundTasks(log)
        self._record: lease_extension.Record | None = None
        self._named: tuple[messages.VmEntry, ...] = ()
        self._naming_tried_at = float("-inf")
        self._extension_task: asyncio.Task[None] | None = None

    def dump(self) -> list[str]:
        """Returns the identifiers of the VMs whose promises are needed."""
        return [vm.id for vm in self._named]

    def stop(self) -> None:
        """Cancels a running request for promises."""
        if self._extension_task is not None:
            self._extension_task.cancel()

    # Naming.

    async def update_record(
        self, leader_revision: int, clear_at: float
    ) -> None:
        """Names witnesses in the store if the current ones are outdated.

        Args:
            leader_revision: Revision of the leader's entry.
            clear_at: Time by which earlier leaders have stopped and all
                extended grants have expired. No witness is named before: a
                successor takes the record as proof of both.
        """
        now = self._clock.boottime()
        if now - self._naming_tried_at < _NAMING_INTERVAL_SECONDS:
            return
        if now < max(clear_at, self._lease.extended_until):
            return
        candidates = self._candidates()
        present = {_identity(vm) for vm in candidates}
        record = self._record
        if record and not lease_extension.should_replace(
            record.witnesses, present, len(present)
        ):
            return
        self._naming_tried_at = now
        chosen = lease_extension.choose_witnesses(
            (_identity(vm), vm.zone) for vm in candidates
        )
        if not chosen:
            return
        await self._write(
            lease_extension.Record(self._entry.epoch, chosen),
            candidates,
            leader_revision,
        )

    async def _write(
        self,
        record: lease_extension.Record,
        candidates: list[messages.VmEntry],
        leader_revision: int,
    ) -> None:
        """Writes a record, which counts once the store has acknowledged it."""
        # Until the outcome is clear, both the new record and the earlier one
        # may be in force.
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
        elif not _certainly_not_applied(written.err_value):
            # There was no response, or the revision was not the expected one:
            # an earlier write without a response may have been carried out.
            revision = await self._find_record(value)
        if not revision:
            self._events.write(
                "leader", "witnesses_not_named", why=repr(written)
            )
            return
        self._revision = revision
        self._record = record
        self._named = tuple(
            vm for vm in candidates if _identity(vm) in record.witnesses
        )
        self._events.write(
            "leader",
            "witnesses_named",
            epoch=record.epoch,
            witnesses=[witness.vm for witness in record.witnesses],
        )

    async def _find_record(self, value: bytes) -> int:
        """Returns the revision of the stored record, 0 if it is not `value`."""
        read = await self._store.read(messages.WITNESSES_KEY)
        if isinstance(read, result.Err) or read.ok_value is None:
            return 0
        item = read.ok_value
        self._revision = item.revision
        return item.revision if item.value == value else 0

    def _candidates(self) -> list[messages.VmEntry]:
        """Returns other VMs that report and are not stopping, best first."""
        candidates = [
            report.vm
            for report in self._disseminator.fresh().values()
            if report.vm.id != self._settings.vm.id and not report.stopping
        ]
        return sorted(candidates, key=lambda vm: (vm.order, vm.id))

    # Requesting extensions.

    def request_extension(self) -> None:
        """Requests a promise from all witnesses unless one is pending."""
        pending = (
            self._extension_task is not None and not self._extension_task.done()
        )
        if self._record is None or pending or self._lease.extended:
            return
        self._extension_task = self._tasks.start(
            "ask-witnesses", self._extend_lease()
        )

    async def _extend_lease(self) -> None:
        """Extends the leader lease if every named witness promises it."""
        confirmed = self._lease.confirmed
        lease_seconds = self._settings.leader.authority
        seconds = confirmed + lease_seconds - self._clock.boottime()
        if seconds <= 0:
            return
        named = self._named
        promised = await asyncio.gather(
            *(self._request_promise(vm, seconds) for vm in named)
        )
        if named == self._named and all(promised):
            self._lease.extend(confirmed)
        self._events.write(
            "leader",
            "extension_asked",
            witnesses=[vm.id for vm in named],
            promised=sum(promised),
            confirmed_ago=round(self._clock.boottime() - confirmed, 2),
        )

    async def _request_promise(
        self, vm: messages.VmEntry, seconds: float
    ) -> bool:
        """Requests a promise from one witness; returns whether it was made."""
        request = messages.ExtensionRequest(self._entry.epoch, vm.boot, seconds)
        response = await self._calls.call(
            vm.address,
            messages.EXTEND_PATH,
            messages.encode(request),
            self._settings.leader.extension_after + _RESPONSE_MARGIN_SECONDS,
        )
        if response is None:
            return False
        read = messages.decode(response, messages.ExtensionReply)
        if isinstance(read, result.Err):
            self._events.write(
                "leader", "extension_unreadable", vm=vm.id, why=read.err_value
            )
            return False
        return read.ok_value.promised


def _identity(vm: messages.VmEntry) -> lease_extension.Witness:
    """Returns a VM and its daemon's incarnation as a witness."""
    return lease_extension.Witness(vm.id, vm.boot)


def _certainly_not_applied(
    failure: errors.Failure | ports.Conflict | ports.SessionLost,
) -> bool:
    """Whether a failed commit has certainly changed nothing."""
    return (
        isinstance(failure, errors.Failure)
        and failure.kind is errors.ErrorKind.STORE_UNAVAILABLE
    )
