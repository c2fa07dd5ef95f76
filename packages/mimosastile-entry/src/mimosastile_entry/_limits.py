"""The limits service: members' limits over all entry VMs together."""

import asyncio
import collections
from collections.abc import Iterable
import itertools
from typing import Any

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import limits
from mimosastile_core import messages
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_REPORT_SECONDS = 0.1
_IDLE_REPORTS = 5
"""Reports between two that name idle members as well."""
_CALL_SECONDS = 0.5
_ASK_SECONDS = 0.1
"""How long a request waits for a larger share before it is refused."""
_PAUSES = (0.0, 0.06)
"""Seconds before each question. What another VM has just stopped using is
known to the dealer one report later."""


class LimitsService:
    """Admits requests of members within their limits."""

    __slots__ = (
        "_allowances",
        "_asking",
        "_asks",
        "_clock",
        "_fleet",
        "_ledgers",
        "_peers",
        "_state",
        "_task",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Makes the service.

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
        self._asking: collections.Counter[str] = collections.Counter()
        self._asks: dict[str, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Begins to report needs and to deal shares."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._peers = kernel.find("peers")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.Needs, self._deal)
        self._task = asyncio.create_task(self._run(), name="limits-report")

    async def stop(self) -> None:
        """Ends the reports."""
        if self._task is not None:
            self._task.cancel()
        for task in self._asks.values():
            task.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns what is in use by member, and whom this VM deals for."""
        return {
            "in_use": {
                name: allowance.in_use
                for name, allowance in self._allowances.items()
                if allowance.in_use
            },
            "deals_for": sorted(self._ledgers),
        }

    async def enter(self, name: str) -> errors.Failure | None:
        """Counts a request in; its end must be told to `leave`.

        Args:
            name: The member.

        Returns:
            None if the request is within the member's limits.
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
        for pause in _PAUSES:
            await asyncio.sleep(pause)
            await self._ask_for_more(name)
            if self._admit(allowance, member):
                return None
            allowance.record_refusal(self._clock.now())
        return errors.Failure(errors.ErrorKind.MEMBER_LIMIT)

    def leave(self, name: str) -> None:
        """Counts a request out that was counted in."""
        allowance = self._allowances.get(name)
        if allowance is not None and allowance.in_use:
            allowance.release()

    def leaver(self, name: str) -> ports.CloseCallback:
        """Returns `leave` as something to do when an answer is closed."""

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

    async def _ask_for_more(self, name: str) -> None:
        """Asks the dealer at once; requests of one member ask together."""
        self._asking[name] += 1
        task = self._asks.get(name)
        if task is None:
            task = asyncio.create_task(self._report((name,)))
            self._asks[name] = task
            task.add_done_callback(lambda _: self._asks.pop(name))
        try:
            await asyncio.wait({task}, timeout=_ASK_SECONDS)
        finally:
            self._asking[name] -= 1

    async def _run(self) -> None:
        for turn in itertools.count():
            idle = turn % _IDLE_REPORTS == 0
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
        by_dealer: dict[str, list[messages.MemberNeed]] = (
            collections.defaultdict(list)
        )
        for name in names:
            if self._limited(name) is None:
                continue
            needs = self._allowance(name).needs(now, self._asking[name])
            need = messages.MemberNeed(name, *needs)
            dealer = limits.allocator(name, vms)
            by_dealer[dealer].append(need)
            if dealer != self._vm:
                # A book that is taken up again after another VM has dealt
                # would hold shares that are no longer true; the sum would
                # overrun the limit.
                self._ledgers.pop(name, None)
        await asyncio.gather(
            *(self._ask(vm, needs, now) for vm, needs in by_dealer.items())
        )

    async def _ask(
        self, vm: str, needs: Iterable[messages.MemberNeed], sent_at: float
    ) -> None:
        message = messages.Needs(self._vm, tuple(needs))
        if vm == self._vm:
            self._take(self._deal(message), sent_at)
            return
        peer = self._fleet.fleet.entries.get(vm)
        if peer is None:
            return
        reply = await self._peers.call(peer, message, _CALL_SECONDS)
        shares = reply.ok()
        if isinstance(shares, messages.Shares):
            self._take(shares, sent_at)

    def _take(self, shares: messages.Shares, sent_at: float) -> None:
        for share in shares.shares:
            self._allowance(share.member).grant(
                share.concurrency, share.rate, sent_at
            )

    def _deal(self, message: messages.Needs) -> messages.Shares:
        now = self._clock.now()
        vms = set(self._fleet.fleet.entries) | {self._vm}
        shares = []
        for need in message.needs:
            member = self._limited(need.member)
            if member is None or limits.allocator(need.member, vms) != self._vm:
                # The sender's list is another; it keeps to its floor until
                # the lists agree.
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
