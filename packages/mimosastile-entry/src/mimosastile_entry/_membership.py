"""Detects failed entry VMs by presence messages between them."""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Any

from absl import logging
import result

from mimosastile_core import fleet
from mimosastile_core import messages
from mimosastile_core import presence
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import kernel
from mimosastile_entry import ports

_PREFIX = "membership:"
# Longer than the detection timeouts, so that a late response still counts.
_CALL_TIMEOUT_SECONDS = 1.0
_MAX_OPEN_CALLS_PER_PEER = 4


class Traffic:
    """Counts of messages and their bytes, without the HTTP overhead.

    Attributes:
        messages: Messages sent or received.
        bytes_total: Total size of the messages in bytes.
    """

    __slots__ = ("bytes_total", "messages")

    def __init__(self) -> None:
        self.messages = 0
        self.bytes_total = 0

    def count(self, message: messages.PeerMessage) -> None:
        """Adds one message."""
        self.messages += 1
        self.bytes_total += len(messages.encode(message))

    def per_second(self, seconds: float) -> dict[str, float]:
        """Returns the mean rates for the state dump."""
        elapsed = max(seconds, 1e-9)
        return {
            "messages_per_second": round(self.messages / elapsed, 2),
            "bytes_per_second": round(self.bytes_total / elapsed, 1),
        }


class MembershipService:
    """Exchanges presence messages and reports suspicions to peers.

    A suspicion proves nothing: an action that a suspicion starts must be safe
    even if the suspected VM is running.
    """

    __slots__ = (
        "_clock",
        "_detector",
        "_fleet",
        "_listeners",
        "_open_calls",
        "_peers",
        "_received",
        "_sent",
        "_started_at",
        "_tasks",
        "_vm",
        "_wake",
        "_zone",
        "name",
        "needs",
    )

    def __init__(self, vm: str, zone: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
            zone: Its availability zone.
        """
        self.name = "membership"
        self.needs: tuple[str, ...] = ("fleet", "peers", "inbox", "clock")
        self._vm = vm
        self._zone = zone
        self._detector = presence.Detector(vm, presence.Timing(), 0.0)
        self._listeners: list[Callable[[], None]] = []
        self._open_calls: dict[str, int] = {}
        self._tasks = _background.Background()
        self._sent = Traffic()
        self._received = Traffic()
        self._started_at = 0.0
        self._wake = asyncio.Event()
        self._fleet: _fleet.FleetService
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    @property
    def zone(self) -> str:
        """Availability zone of this VM."""
        return self._zone

    def suspects(self, vm: str) -> bool:
        """Whether a VM is suspected to have failed; never a proof of it."""
        return vm in self._detector.suspected

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each change of suspicions."""
        self._listeners.append(listener)

    def alive(self, zone: str | None = None) -> dict[str, fleet.Vm]:
        """Returns listed, unsuspected entry VMs that are not leaving.

        Args:
            zone: One zone, or None for all.
        """
        return {
            vm.id: vm
            for vm in self._fleet.fleet.live_entries(zone).values()
            if not self.suspects(vm.id)
        }

    def reaches(self, zone: str) -> bool:
        """Whether the followed VM of a zone responds; True for the own zone."""
        return zone == self._zone or any(
            self._detector.is_responsive(vm.id)
            for vm in self._fleet.fleet.live_entries(zone).values()
        )

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts the exchange of presence messages."""
        self._clock = kernel.find("clock")
        self._fleet = kernel.find("fleet")
        self._peers = kernel.find("peers")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.Presence, self._receive)
        self._started_at = self._clock.now()
        self._detector = presence.Detector(
            self._vm, presence.Timing(), self._started_at
        )
        self._fleet.subscribe(self._choose_followed)
        self._choose_followed()
        self._tasks.keep(self._exchange, "membership")

    async def stop(self) -> None:
        """Stops the exchange."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns suspicions and the rates of presence messages and bytes."""
        seconds = self._clock.now() - self._started_at
        return {
            "suspected": sorted(self._detector.suspected),
            "own_suspicions": sorted(self._detector.own),
            "sent": self._sent.per_second(seconds),
            "received": self._received.per_second(seconds),
        }

    def _choose_followed(self) -> None:
        entries = self._fleet.fleet.entries
        chosen = presence.choose_peers(
            self._vm, self._zone, entries.values(), self._detector.suspected
        )
        self._detector.follow(chosen, entries, self._clock.now())

    def _message(self, receiver: str) -> messages.Presence:
        if self._in_same_zone(receiver):
            suspected = self._detector.zone_report
        else:
            suspected = self._detector.far_report(self._clock.now())
        return messages.Presence(self._vm, tuple(sorted(suspected)))

    def _in_same_zone(self, vm: str) -> bool:
        listed = self._fleet.fleet.entries.get(vm)
        return listed is not None and listed.zone == self._zone

    def _receive(self, message: messages.Presence) -> messages.Presence:
        self._record(message)
        reply = self._message(message.vm)
        self._sent.count(reply)
        return reply

    def _record(self, message: messages.Presence) -> None:
        self._received.count(message)
        self._detector.receive(
            message.vm,
            message.suspected,
            self._clock.now(),
            self._in_same_zone(message.vm),
        )
        if not self._detector.suspected.issuperset(message.suspected):
            self._wake.set()

    async def _exchange(self) -> None:
        while True:
            step = self._detector.tick(self._clock.now())
            if step.changed:
                self._report_change()
            receivers = {
                *step.probes,
                *(self._zone_peers() if step.report else ()),
            }
            for vm in sorted(receivers):
                self._send(vm)
            now = self._clock.now()
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                # `wait_for` in Python 3.11 loses a cancellation that coincides
                # with the event; the task would then never end.
                async with asyncio.timeout(self._detector.next_due(now) - now):
                    await self._wake.wait()

    def _zone_peers(self) -> set[str]:
        return set(self._fleet.fleet.live_entries(self._zone)) - {self._vm}

    def _report_change(self) -> None:
        logging.info(
            "%s suspected VMs: %s.",
            _PREFIX,
            ", ".join(sorted(self._detector.suspected)) or "nobody",
        )
        self._choose_followed()
        for listener in self._listeners:
            listener()

    def _send(self, vm: str) -> None:
        # Open calls to a failed peer would accumulate until they time out.
        if self._open_calls.get(vm, 0) < _MAX_OPEN_CALLS_PER_PEER:
            self._tasks.start(self._call(vm), f"presence-{vm}")

    async def _call(self, vm: str) -> None:
        listed = self._fleet.fleet.entries.get(vm)
        if listed is None:
            return
        self._open_calls[vm] = self._open_calls.get(vm, 0) + 1
        message = self._message(vm)
        self._sent.count(message)
        try:
            reply = await self._peers.call(
                listed, message, _CALL_TIMEOUT_SECONDS
            )
        finally:
            self._open_calls[vm] -= 1
        if isinstance(reply, result.Ok) and isinstance(
            reply.ok_value, messages.Presence
        ):
            self._record(reply.ok_value)
