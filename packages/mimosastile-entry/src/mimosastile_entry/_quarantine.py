"""Quarantine service: refuses requests that repeatedly crashed targets."""

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

_MAY_HAVE_CRASHED = frozenset(
    {errors.ErrorKind.ANSWER_LOST, errors.ErrorKind.ANSWER_BROKEN}
)


class QuarantineService:
    """Refuses requests that caused crashes, as reported by all entry VMs."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_history",
        "_peers",
        "_state",
        "_tasks",
        "_unconfirmed",
        "_vm",
        "name",
        "needs",
    )

    def __init__(self, vm: str) -> None:
        """Initializes the service.

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
        self._history = quarantine.CrashHistory()
        self._unconfirmed = quarantine.UnconfirmedCrashes()
        self._tasks = _background.Background()
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._peers: ports.PeerPort
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts the exchange of crash histories with peers."""
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._peers = kernel.find("peers")
        self._clock = kernel.find("clock")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.Deaths, self._receive)
        self._tasks.start(self._sync())

    async def stop(self) -> None:
        """Stops the exchange with peers."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the recorded requests and the crashes they caused."""
        now = self._clock.now()
        return {
            "refused_seconds": {
                request: self._history.held_for(request, self._policy, now)
                for request in self._history.fingerprints()
            },
            "deaths": [
                {
                    "fingerprint": crash.fingerprint,
                    "target": crash.target,
                    "config_number": crash.number,
                    "seconds_ago": crash.age,
                }
                for crash in self._history.crashes(now)
            ],
        }

    def check(self, request: ports.Request) -> errors.Failure | None:
        """Returns why a request is refused, None if it is not."""
        if not self._history:
            return None
        seconds = self._history.held_for(
            _fingerprint(request), self._policy, self._clock.now()
        )
        if seconds <= 0:
            return None
        return errors.Failure(
            errors.ErrorKind.QUARANTINED, retry_after=math.ceil(seconds)
        )

    def record_response(self, target: str, sent_at: float) -> None:
        """Records a response, which disproves an unconfirmed crash.

        Args:
            target: The target that responded.
            sent_at: Loop time at which the request was sent.
        """
        disproved = self._unconfirmed.pop_disproved(target, sent_at)
        if disproved:
            self._history.withdraw(disproved, self._clock.now())
            self._broadcast(messages.Deaths(self._vm, (), tuple(disproved)))

    def record_failure(
        self,
        target: str,
        request: ports.Request,
        kind: errors.ErrorKind,
        sent_at: float,
    ) -> None:
        """Records a failure; a lost response counts as a crash of the target.

        An expired deadline or a disconnected caller does not count.

        Args:
            target: The target.
            request: The request that was sent.
            kind: Kind of the failure.
            sent_at: Loop time at which it was sent.
        """
        now = self._clock.now()
        if kind not in _MAY_HAVE_CRASHED or now >= request.deadline:
            return
        crash = quarantine.Crash(
            self._clock.new_id(),
            _fingerprint(request),
            target,
            self._state.replica.config.number,
            ran=now - sent_at,
        )
        self._history.record(crash, now)
        self._unconfirmed.add(target, crash.id, now)
        logging.warning(
            "%s request %s was running on %s when its response was lost.",
            _PREFIX,
            crash.fingerprint,
            target,
        )
        self._broadcast(messages.Deaths(self._vm, (crash,)))

    @property
    def _policy(self) -> config.Quarantine:
        return self._state.replica.config.document.quarantine

    def _receive(self, message: messages.Deaths) -> messages.Deaths:
        self._merge(message)
        if not message.requests_all:
            return messages.Deaths(self._vm)
        now = self._clock.now()
        return messages.Deaths(
            self._vm, self._history.crashes(now), self._history.withdrawn()
        )

    def _merge(self, message: messages.Deaths) -> None:
        now = self._clock.now()
        self._history.withdraw(message.withdrawn, now)
        for crash in message.crashes:
            self._history.record(crash, now)
        self._history.expire(self._policy, now)

    def _broadcast(self, message: messages.Deaths) -> None:
        for vm in self._fleet.peers().values():
            self._tasks.start(self._call(vm.id, message))

    async def _call(self, vm: str, message: messages.Deaths) -> None:
        peer = self._fleet.peers().get(vm)
        if peer is None:
            return
        reply = await self._peers.call(peer, message, _CALL_SECONDS)
        received = reply.ok()
        if isinstance(received, messages.Deaths):
            self._merge(received)

    async def _sync(self) -> None:
        """Exchanges histories with random peers, to recover lost messages."""
        while True:
            peers = sorted(self._fleet.peers())
            if peers:
                chosen = peers[int(self._clock.random() * len(peers))]
                now = self._clock.now()
                await self._call(
                    chosen,
                    messages.Deaths(
                        self._vm,
                        self._history.crashes(now),
                        self._history.withdrawn(),
                        requests_all=True,
                    ),
                )
            self._history.expire(self._policy, self._clock.now())
            await asyncio.sleep(_SYNC_SECONDS)


def _fingerprint(request: ports.Request) -> str:
    return quarantine.fingerprint(
        request.member,
        request.method,
        request.path,
        request.query,
        request.body,
    )
