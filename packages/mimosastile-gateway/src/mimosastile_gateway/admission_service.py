"""Asking for places at contended targets, and giving them as a target's gate.

Only places are asked for and given back at a gate; requests go from their own
VM to the target as always. So a gate that dies takes no request along: those
that wait ask elsewhere, and those that run are not concerned.
"""

import asyncio
import collections
from collections.abc import Iterable
import functools
from typing import Protocol

from mimosastile_core.gateway import admission
from mimosastile_core.gateway import limits
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import datagrams
from mimosastile_gateway import settings

_ANSWER_SECONDS = 0.2
"""Longest wait for a gate's word, several times the way to another region and
back; then it is asked once more, as datagrams may be lost."""
_TRIES = 2
"""Questions without any word after which a gate is taken for lost."""
_AGAIN_SECONDS = 0.5
"""Time after which a request that waits asks again, for the case that the
decision was lost."""
_DONE_SECONDS = 0.01
"""Time for which places that are given back are gathered. The few requests
that wait at the target itself cover it."""
_LEAST_PAUSE = 0.002
"""Shortest time until a limit lets the next request go."""
_IDLE_QUEUES = 512
"""Targets whose queues are kept though nothing waits there; what they have
learned of a target's speed is of use when it is contended again."""


_NUMBERS = 1 << 30
"""Requests are numbered from somewhere below this."""


class ChannelPort(Protocol):
    """The way to other VMs."""

    def send(self, address: str, message: datagrams.Message) -> None:
        """Sends a message; it may be lost."""


class Permit:
    """A place at a target.

    Attributes:
        gate: Address of the VM that gave it.
        target: The target.
        number: Tells this VM's requests apart.
    """

    __slots__ = ("gate", "number", "target")

    def __init__(self, gate: str, target: str, number: int) -> None:
        self.gate = gate
        self.target = target
        self.number = number


class AdmissionService:
    """Both sides of admission to contended targets.

    Attributes:
        address: Where this VM hears its peers.
        stopping: Whether it takes no further requests as a gate.
    """

    __slots__ = (
        "_cluster",
        "_channel",
        "_clock",
        "_done",
        "_numbers",
        "_paced",
        "_pending",
        "_places",
        "_queues",
        "_settings",
        "_waiting",
        "address",
        "stopping",
    )

    def __init__(
        self,
        configured: settings.GatewaySettings,
        channel: ChannelPort,
        known: cluster_state.ClusterState,
        timer: clock.Clock,
    ) -> None:
        """Makes one that has no place and gives none.

        Args:
            configured: Settings of this VM.
            channel: The way to other VMs.
            known: What this VM believes.
            timer: The clock.
        """
        self._settings = configured
        self._channel = channel
        self._cluster = known
        self._clock = timer
        self._queues: dict[str, admission.AdmissionQueue] = {}
        # Not from 0: a gate may still know places of this VM's last run.
        self._numbers = round(_NUMBERS * timer.random())
        self._paced: set[str] = set()
        self._pending: dict[int, asyncio.Future[datagrams.Decision]] = {}
        self._places: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._waiting: collections.Counter[str] = collections.Counter()
        self._done: dict[str, datagrams.Done] = {}
        self.address = configured.vm.peers
        self.stopping = False

    def waiting(self) -> dict[str, int]:
        """Returns this VM's requests that wait at gates, by target."""
        return {name: count for name, count in self._waiting.items() if count}

    def dump(self) -> dict[str, int]:
        """Returns what waits at this VM as a gate, by target."""
        return {
            name: queue.waiting
            for name, queue in self._queues.items()
            if not queue.idle
        }

    # This VM asks.

    async def enter(
        self,
        gate: str,
        target: str,
        priority: int,
        on_time: float,
        left: float,
        work: float,
        own: int,
    ) -> Permit | admission.Refusal | None:
        """Waits until a gate gives a place or refuses one.

        Args:
            gate: Address of the VM that admits.
            target: The target.
            priority: The request's rank; 0 is the most urgent.
            on_time: Seconds within which its answer is on time.
            left: Seconds until its deadline.
            work: Seconds that such requests run for.
            own: Requests that this VM has at the target. A gate counts those
                that it has not admitted itself as well.

        Returns:
            The place, or the refusal; None if the gate does not answer or is
            none.
        """
        self._numbers += 1
        number = self._numbers
        began = self._clock.now()
        self._waiting[target] += 1
        verdict: admission.Verdict | None = None
        try:
            misses = 0
            while misses < _TRIES:
                gone = self._clock.now() - began
                if gone > left:
                    break
                ask = datagrams.Ask(
                    target,
                    number,
                    priority,
                    round(1000 * (on_time - gone)),
                    round(1000 * (left - gone)),
                    round(1000 * work),
                    max(own - self._places[gate, target], 0),
                )
                decided = await self._asked(gate, ask)
                if decided is None:
                    misses += 1
                    continue
                misses = 0
                verdict = decided.verdict
                if verdict is admission.Verdict.ADMITTED:
                    self._places[gate, target] += 1
                    return Permit(gate, target, number)
                if verdict is admission.Verdict.REFUSED:
                    return admission.Refusal(decided.wait / 1000)
                if verdict is None:
                    return None
            return None
        finally:
            self._waiting[target] -= 1
            if verdict in (None, admission.Verdict.WAITS):
                # A decision may still be on its way.
                self._tell_done(gate, target, number, answered=False)

    def give_back(self, place: Permit, *, answered: bool) -> None:
        """Gives a place back.

        Args:
            place: The place.
            answered: Whether the target has answered the request.
        """
        key = (place.gate, place.target)
        self._places[key] -= 1
        if not self._places[key]:
            del self._places[key]
        self._tell_done(
            place.gate, place.target, place.number, answered=answered
        )

    async def _asked(
        self, gate: str, ask: datagrams.Ask
    ) -> datagrams.Decision | None:
        """Asks a gate; returns its last word, None if there is none."""
        loop = asyncio.get_running_loop()
        word = self._pending[ask.number] = loop.create_future()
        said: datagrams.Decision | None = None
        try:
            self._send(gate, ask)
            async with asyncio.timeout(_ANSWER_SECONDS):
                said = await word
            if said.verdict is admission.Verdict.WAITS:
                word = self._pending[ask.number] = loop.create_future()
                async with asyncio.timeout(_AGAIN_SECONDS):
                    said = await word
        except TimeoutError:
            return said
        finally:
            del self._pending[ask.number]
        return said

    def _tell_done(
        self, gate: str, target: str, number: int, *, answered: bool
    ) -> None:
        gathered = self._done.get(gate)
        if gathered is None:
            gathered = self._done[gate] = datagrams.Done({}, {})
            asyncio.get_running_loop().call_later(
                0.0 if gate == self.address else _DONE_SECONDS,
                self._send_done,
                gate,
            )
        places = gathered.answered if answered else gathered.others
        places.setdefault(target, []).append(number)

    def _send_done(self, gate: str) -> None:
        self._send(gate, self._done.pop(gate))

    def _send(self, address: str, message: datagrams.Message) -> None:
        if address == self.address:
            self.receive(address, message)
        else:
            self._channel.send(address, message)

    # This VM is asked.

    def receive(self, sender: str, message: datagrams.Message) -> None:
        """Takes a message of a VM, or of this one."""
        _receive(message, self, sender)

    def decide(self, sender: str, asked: datagrams.Ask) -> None:
        """Decides on a request and says so."""
        queue = self._queue(asked.target)
        if queue is None:
            none = datagrams.Decision(asked.number, None, 0)
            self._send(sender, none)
            return
        now = self._clock.now()
        cold = self._cluster.cold_seconds(asked.target)
        if cold:
            refused = datagrams.Decision(
                asked.number, admission.Verdict.REFUSED, round(1000 * cold)
            )
            self._send(sender, refused)
            return
        queue.pace = self._pace(asked.target)
        ask = admission.PermitRequest(
            sender,
            asked.number,
            asked.priority,
            asked.on_time / 1000,
            asked.left / 1000,
            max(asked.work, 0) / 1000,
            # Fewer than none would make room at the target.
            max(asked.held, 0),
        )
        self._tell([queue.ask(ask, now)])
        if queue.waiting:
            # Waits pass even if no place is given back.
            self._turn(asked.target)

    def receive_decision(self, decision: datagrams.Decision) -> None:
        """Takes a gate's word."""
        pending = self._pending.get(decision.number)
        if pending is not None and not pending.done():
            pending.set_result(decision)

    def receive_done(self, sender: str, done: datagrams.Done) -> None:
        """Takes places back."""
        now = self._clock.now()
        for places, answered in ((done.answered, True), (done.others, False)):
            for target, numbers in places.items():
                queue = self._queues.get(target)
                for number in numbers if queue else ():
                    assert queue is not None
                    self._tell(
                        queue.done(sender, number, now, answered=answered)
                    )

    def _turn(self, target: str) -> None:
        """Decides on those that wait, also when a limit lets the next go."""
        queue = self._queues.get(target)
        if queue is None:
            return
        now = self._clock.now()
        queue.pace = self._pace(target)
        self._tell(queue.turn(now))
        if queue.pace is None or not queue.waiting or target in self._paced:
            return
        wait = max(queue.pace.wait(now), _LEAST_PAUSE)
        self._paced.add(target)
        asyncio.get_running_loop().call_later(wait, self._next_paced, target)

    def _next_paced(self, target: str) -> None:
        self._paced.discard(target)
        self._turn(target)

    def _pace(self, target: str) -> limits.RateLimiter | None:
        """Returns the pace that a target's limit sets, if it has one."""
        entry = self._cluster.directory.get(target)
        if entry is None:
            return None
        return self._cluster.limits.pace(target, entry.target.born)

    def _tell(self, decisions: Iterable[admission.Decision]) -> None:
        for decision in decisions:
            self._send(
                decision.ask.vm,
                datagrams.Decision(
                    decision.ask.number,
                    decision.verdict,
                    round(1000 * decision.seconds),
                ),
            )

    def _queue(self, target: str) -> admission.AdmissionQueue | None:
        """Returns a target's queue here; None if this VM admits nobody."""
        if self.stopping:
            # Those that wait here still get their places.
            return None
        found = self._queues.get(target)
        if found is not None:
            return found
        entry = self._cluster.directory.get(target)
        if entry is None:
            return None
        if len(self._queues) >= _IDLE_QUEUES:
            self._queues = {
                name: queue
                for name, queue in self._queues.items()
                if not queue.idle
            }
        beyond = self._settings.rooms.admitted
        made = self._queues[target] = admission.AdmissionQueue(
            entry.target.slots, beyond
        )
        return made


@functools.singledispatch
def _receive(
    message: datagrams.Message, service: AdmissionService, sender: str
) -> None:
    raise TypeError(message)


@_receive.register
def _(message: datagrams.Ask, service: AdmissionService, sender: str) -> None:
    service.decide(sender, message)


@_receive.register
def _(
    message: datagrams.Decision, service: AdmissionService, sender: str
) -> None:
    service.receive_decision(message)


@_receive.register
def _(message: datagrams.Done, service: AdmissionService, sender: str) -> None:
    service.receive_done(sender, message)
