"""The quarantine service: requests that stopped targets, on all entry VMs."""

import asyncio
import math
from typing import Any

from absl import logging

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import messages
from mimosastile_core import quarantine
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_PREFIX = "quarantine:"
_SYNC_SECONDS = 5.0
_CALL_SECONDS = 0.5

_UNSURE = frozenset(
    {errors.ErrorKind.ANSWER_LOST, errors.ErrorKind.ANSWER_BROKEN}
)


class QuarantineService:
    """Remembers deaths, tells them to peers and refuses what caused them."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_memory",
        "_peers",
        "_state",
        "_tasks",
        "_unconfirmed",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
        """
        self.name = "quarantine"
        self.needs: tuple[str, ...] = (
            "state",
            "fleet",
            "peers",
            "inbox",
            "clock",
        )
        self._vm = vm
        self._memory = quarantine.CrashHistory()
        self._unconfirmed = quarantine.UnconfirmedCrashes()
        self._tasks = _background.Background()
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Learns what the peers remember."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._peers = kernel.find("peers")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.Deaths, self._receive)
        self._tasks.start(self._sync())

    async def stop(self) -> None:
        """Ends the exchange with peers."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the remembered requests and where they stopped targets."""
        now = self._clock.now()
        return {
            "refused_seconds": {
                request: self._memory.held_for(request, self._policy, now)
                for request in self._memory.fingerprints()
            },
            "deaths": [
                {
                    "fingerprint": death.fingerprint,
                    "target": death.target,
                    "config_number": death.number,
                    "seconds_ago": death.age,
                }
                for death in self._memory.crashes(now)
            ],
        }

    def check(self, request: ports.Request) -> errors.Failure | None:
        """Returns why a request is refused, None if it is not."""
        if not self._memory:
            return None
        seconds = self._memory.held_for(
            _fingerprint(request), self._policy, self._clock.now()
        )
        if seconds <= 0:
            return None
        return errors.Failure(
            errors.ErrorKind.QUARANTINED, retry_after=math.ceil(seconds)
        )

    def answered(self, target: str, began: float) -> None:
        """Notes that a target answered a request sent at a time."""
        disproved = self._unconfirmed.pop_disproved(target, began)
        if disproved:
            self._memory.withdraw(disproved, self._clock.now())
            self._tell(messages.Deaths(self._vm, (), tuple(disproved)))

    def failed(
        self,
        target: str,
        request: ports.Request,
        kind: errors.ErrorKind,
        began: float,
    ) -> None:
        """Notes a failure; a lost answer counts as a death of the target.

        A deadline that passed or a caller that went away is no death.

        Args:
            target: The target.
            request: What was sent to it.
            kind: How that failed.
            began: When it was sent.
        """
        now = self._clock.now()
        if kind not in _UNSURE or now >= request.deadline:
            return
        death = quarantine.Crash(
            self._clock.new_id(),
            _fingerprint(request),
            target,
            self._state.replica.config.number,
            ran=now - began,
        )
        self._memory.record(death, now)
        self._unconfirmed.add(target, death.id, now)
        logging.warning(
            "%s %s was running on %s when its answer was lost.",
            _PREFIX,
            death.fingerprint,
            target,
        )
        self._tell(messages.Deaths(self._vm, (death,)))

    @property
    def _policy(self) -> config.Quarantine:
        return self._state.replica.config.document.quarantine

    def _receive(self, message: messages.Deaths) -> messages.Deaths:
        self._take(message)
        if not message.requests_all:
            return messages.Deaths(self._vm)
        now = self._clock.now()
        return messages.Deaths(
            self._vm, self._memory.crashes(now), self._memory.withdrawn()
        )

    def _take(self, message: messages.Deaths) -> None:
        now = self._clock.now()
        self._memory.withdraw(message.withdrawn, now)
        for death in message.crashes:
            self._memory.record(death, now)
        self._memory.expire(self._policy, now)

    def _tell(self, message: messages.Deaths) -> None:
        for vm in self._fleet.peers().values():
            self._tasks.start(self._call(vm.id, message))

    async def _call(self, vm: str, message: messages.Deaths) -> None:
        peer = self._fleet.peers().get(vm)
        if peer is None:
            return
        reply = await self._peers.call(peer, message, _CALL_SECONDS)
        told = reply.ok()
        if isinstance(told, messages.Deaths):
            self._take(told)

    async def _sync(self) -> None:
        """Makes up for messages that were lost, one peer at a time."""
        while True:
            names = sorted(self._fleet.peers())
            if names:
                chosen = names[int(self._clock.random() * len(names))]
                now = self._clock.now()
                await self._call(
                    chosen,
                    messages.Deaths(
                        self._vm,
                        self._memory.crashes(now),
                        self._memory.withdrawn(),
                        requests_all=True,
                    ),
                )
            self._memory.expire(self._policy, self._clock.now())
            await asyncio.sleep(_SYNC_SECONDS)


def _fingerprint(request: ports.Request) -> str:
    return quarantine.fingerprint(
        request.member,
        request.method,
        request.path,
        request.query,
        request.body,
    )
