"""Slots of the targets that this VM keeps: first come, first served."""

import asyncio
import collections

from mimosastile_entry import ports


class _Gate:
    """Requests running on one target and those that wait for a slot."""

    __slots__ = ("running", "waiting")

    def __init__(self) -> None:
        self.running = 0
        self.waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )


class Admission:
    """Keeps a target's slots from being overrun.

    The keeper is the only VM that sends to its target, so its count is exact.
    """

    __slots__ = ("_gates",)

    def __init__(self) -> None:
        self._gates: dict[str, _Gate] = {}

    def load(self, target: str) -> int:
        """Returns how many requests run on a target or wait for it."""
        gate = self._gates.get(target)
        return gate.running + len(gate.waiting) if gate else 0

    def in_flight(self) -> dict[str, int]:
        """Returns the running requests by target."""
        return {t: g.running for t, g in self._gates.items() if g.running}

    async def enter(self, target: str, slots: int, wait: float) -> bool:
        """Waits for a slot; False if none came free in time.

        Args:
            target: The target.
            slots: How many requests it runs at a time.
            wait: Longest wait in seconds.
        """
        gate = self._gates.setdefault(target, _Gate())
        if gate.running < slots:
            gate.running += 1
            return True
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        gate.waiting.append(turn)
        try:
            # The slot passes from the leaving request to this one.
            await asyncio.wait_for(turn, max(wait, 0))
        except (TimeoutError, asyncio.CancelledError) as error:
            self._give_up(target, gate, turn)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        return True

    def leave(self, target: str) -> None:
        """Gives a slot back, to the first request that still waits."""
        gate = self._gates[target]
        while gate.waiting:
            turn = gate.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        gate.running -= 1

    def leaver(self, target: str) -> ports.Closer:
        """Returns `leave` as something to do when an answer is closed."""

        async def close() -> None:
            self.leave(target)

        return close

    def _give_up(
        self, target: str, gate: _Gate, turn: asyncio.Future[None]
    ) -> None:
        # A slot that was handed over in the same moment is handed on;
        # without this it would be lost for good, seen as a target that
        # serves one request fewer after each such race.
        if turn.done() and not turn.cancelled():
            self.leave(target)
        elif turn in gate.waiting:
            gate.waiting.remove(turn)
