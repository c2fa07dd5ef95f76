"""Limits service: enforces members' limits across all entry VMs."""

import asyncio
import collections
from collections.abc import Iterable
import itertools
from typing import Any

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import limits
from mimosastile_core import messages
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_REPORT_SECONDS = 0.1
_IDLE_REPORTS = 5
"""Every n-th report also includes idle members."""
_CALL_SECONDS = 0.5
_SHARE_WAIT_SECONDS = 0.1
"""Time a request waits for a larger share before it is refused."""
_PAUSES_SECONDS = (0.0, 0.06)
"""Pause before each request for a larger share. Capacity that another VM has
just released reaches the allocator one report later."""


class LimitsService:
    """Admits members' requests within concurrency and rate limits.

    For each member one entry VM, the allocator, divides the limits into shares.
    """

    __slots__ = (
        "_allowances",
        "_clock",
        "_fleet",
        "_ledgers",
        "_peers",
        "_share_requests",
        "_state",
        "_tasks",
        "_vm",
        "_waiting",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Initializes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "limits"
        self.needs: tuple[str, ...] = (
            "state",
            "fleet",
            "peers",
            "inbox",
            "clock",
        )
        self._vm = vm
        self._allowances: dict[str, limits.Allowance] = {}
        self._ledgers: dict[str, tuple[limits.Ledger, limits.Ledger]] = {}
        self._waiting: collections.Counter[str] = collections.Counter()
        self._share_requests: dict[str, asyncio.Task[None]] = {}
        self._tasks = _background.Background()
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts to report needs and to allocate shares."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._peers = kernel.find("peers")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.Needs, self._allocate)
        self._tasks.keep(self._run, "limits-report")

    async def stop(self) -> None:
        """Stops the reports."""
        self._tasks.cancel()
        for task in self._share_requests.values():
            task.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the use by member, and the members this VM allocates for."""
        return {
            "in_use": {
                name: allowance.in_use
                for name, allowance in self._allowances.items()
                if allowance.in_use
            },
            "deals_for": sorted(self._ledgers),
        }

    async def enter(self, name: str) -> errors.Failure | None:
        """Counts a request as started; the caller must call `leave` at its end.

        Args:
            name: The member.

        Returns:
            None if the request is within the member's limits, else the failure.
        """
        member = self._state.replica.config.document.members.get(name)
        if member is None:
            return None
        allowance = self._allowance(name)
        allowance.record_arrival()
        if self._admit(allowance, member):
            return None
        if not allowance.may_request(self._clock.now()):
            return errors.Failure(errors.ErrorKind.MEMBER_LIMIT)
        for pause in _PAUSES_SECONDS:
            await asyncio.sleep(pause)
            await self._request_larger_share(name)
            if self._admit(allowance, member):
                return None
            allowance.record_refusal(self._clock.now())
        return errors.Failure(errors.ErrorKind.MEMBER_LIMIT)

    def leave(self, name: str) -> None:
        """Counts a request as ended that `enter` admitted."""
        allowance = self._allowances.get(name)
        if allowance is not None and allowance.in_use:
            allowance.release()

    def leave_callback(self, name: str) -> ports.CloseCallback:
        """Returns a callback that calls `leave` when a response is closed."""

        async def close() -> None:
            self.leave(name)

        return close

    def _limited(self, name: str) -> config.Member | None:
        member = self._state.replica.config.document.members.get(name)
        if member is None or not (member.concurrency or member.rate):
            return None
        return member

    def _allowance(self, name: str) -> limits.Allowance:
        allowance = self._allowances.get(name)
        if allowance is None:
            allowance = limits.Allowance(self._clock.now())
            self._allowances[name] = allowance
        return allowance

    def _admit(
        self, allowance: limits.Allowance, member: config.Member
    ) -> bool:
        return allowance.admit(
            member.concurrency,
            member.rate,
            len(self._fleet.fleet.entries),
            self._clock.now(),
        )

    async def _request_larger_share(self, name: str) -> None:
        """Reports the need at once; a member's requests share one report."""
        self._waiting[name] += 1
        task = self._share_requests.get(name)
        if task is None:
            task = self._tasks.start(self._report((name,)), "limits-request")
            self._share_requests[name] = task
            task.add_done_callback(lambda _: self._share_requests.pop(name))
        try:
            await asyncio.wait({task}, timeout=_SHARE_WAIT_SECONDS)
        finally:
            self._waiting[name] -= 1

    async def _run(self) -> None:
        for cycle in itertools.count():
            idle = cycle % _IDLE_REPORTS == 0
            members = self._state.replica.config.document.members
            await self._report(
                [name for name in members if idle or self._is_busy(name)]
            )
            await asyncio.sleep(_REPORT_SECONDS)

    def _is_busy(self, name: str) -> bool:
        allowance = self._allowances.get(name)
        return allowance is not None and allowance.busy

    async def _report(self, names: Iterable[str]) -> None:
        now = self._clock.now()
        vms = set(self._fleet.fleet.entries) | {self._vm}
        by_allocator: dict[str, list[messages.MemberNeed]] = (
            collections.defaultdict(list)
        )
        for name in names:
            if self._limited(name) is None:
                continue
            needs = self._allowance(name).needs(now, self._waiting[name])
            need = messages.MemberNeed(name, *needs)
            allocator = limits.allocator(name, vms)
            by_allocator[allocator].append(need)
            if allocator != self._vm:
                # A ledger reused after another VM was the allocator would
                # hold outdated shares, and the sum of the shares would
                # exceed the limit.
                self._ledgers.pop(name, None)
        await asyncio.gather(
            *(
                self._request_shares(vm, needs, now)
                for vm, needs in by_allocator.items()
            )
        )

    async def _request_shares(
        self, vm: str, needs: Iterable[messages.MemberNeed], sent_at: float
    ) -> None:
        message = messages.Needs(self._vm, tuple(needs))
        if vm == self._vm:
            self._apply_shares(self._allocate(message), sent_at)
            return
        peer = self._fleet.fleet.entries.get(vm)
        if peer is None:
            return
        reply = await self._peers.call(peer, message, _CALL_SECONDS)
        shares = reply.ok()
        if isinstance(shares, messages.Shares):
            self._apply_shares(shares, sent_at)

    def _apply_shares(self, shares: messages.Shares, sent_at: float) -> None:
        for share in shares.shares:
            self._allowance(share.member).grant(
                share.concurrency, share.rate, sent_at
            )

    def _allocate(self, message: messages.Needs) -> messages.Shares:
        now = self._clock.now()
        vms = set(self._fleet.fleet.entries) | {self._vm}
        shares = []
        for need in message.needs:
            member = self._limited(need.member)
            if member is None or limits.allocator(need.member, vms) != self._vm:
                # The sender has a different list of VMs. It stays at its
                # minimum share until the lists agree.
                continue
            ledgers = self._ledgers.get(need.member)
            if ledgers is None:
                ledgers = limits.Ledger(now, whole=True), limits.Ledger(now)
                self._ledgers[need.member] = ledgers
            shares.append(
                messages.MemberShare(
                    need.member,
                    ledgers[0].report(
                        message.vm,
                        need.concurrency,
                        member.concurrency,
                        vms,
                        now,
                    ),
                    ledgers[1].report(
                        message.vm, need.rate, member.rate, vms, now
                    ),
                )
            )
        return messages.Shares(self._vm, tuple(shares))
