"""Sends requests through the gate of a target that checks no orders."""

from collections.abc import AsyncIterator
from collections.abc import Callable

import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import gates
from mimosastile_core import holder
from mimosastile_entry import ports


class _Passage:
    """One request that passed the gate; it leaves once."""

    __slots__ = ("_answered", "_gate", "_left", "_notify", "_position")

    def __init__(
        self,
        gate: gates.GatedTarget,
        position: int,
        notify: Callable[[], None],
    ) -> None:
        self._gate = gate
        self._position = position
        self._notify = notify
        self._answered = False
        self._left = False

    async def passed_on(
        self, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yields an answer's body and notes that it came to its end."""
        async for chunk in body:
            yield chunk
        self._answered = True

    async def close(self) -> None:
        """Leaves, answered if the body came to its end."""
        self.leave(self._answered)

    def leave(self, answered: bool) -> None:
        """Leaves the gate."""
        if not self._left:
            self._left = True
            self._gate.finish(self._position, answered)
            self._notify()


async def send(
    targets: ports.TargetPort,
    vm: fleet.Vm,
    request: ports.Request,
    fence: holder.RequestFence,
    gate: gates.GatedTarget,
    notify: Callable[[], None],
) -> result.Result[ports.Response, errors.Failure]:
    """Sends a request if the gate lets it pass.

    Args:
        targets: Where to send.
        vm: The target.
        request: The request.
        fence: What the sender knows of the slice.
        gate: The target's gate.
        notify: Called when the request has ended.

    Returns:
        The answer, or why there is none.
    """
    if not gate.admit(fence.position, fence.fence):
        return result.Err(errors.Failure(errors.ErrorKind.WRONG_FENCE))
    passage = _Passage(gate, fence.position, notify)
    sent: result.Result[ports.Response, errors.Failure] | None = None
    try:
        sent = await targets.send(vm, request, fence)
    finally:
        if sent is None:
            # Cancelled on the way; the target may run it all the same.
            passage.leave(answered=False)
    if isinstance(sent, result.Err):
        passage.leave(sent.err_value.response.ran is errors.Ran.NO)
        return sent
    sent.ok_value.body = passage.passed_on(sent.ok_value.body)
    sent.ok_value.on_close(passage.close)
    return sent
