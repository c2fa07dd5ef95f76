"""Sends requests through the admission gate of targets without order checks."""

from collections.abc import AsyncIterator
from collections.abc import Callable

import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import gates
from mimosastile_core import holder
from mimosastile_entry import ports


class _AdmittedRequest:
    """A request admitted by the gate; it leaves the gate exactly once."""

    __slots__ = ("_completed", "_gate", "_left", "_notify", "_position")

    def __init__(
        self,
        gate: gates.GatedTarget,
        position: int,
        notify: Callable[[], None],
    ) -> None:
        self._gate = gate
        self._position = position
        self._notify = notify
        self._completed = False
        self._left = False

    async def relay_body(
        self, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yields a response's body and records when it is complete."""
        async for chunk in body:
            yield chunk
        self._completed = True

    async def close(self) -> None:
        """Leaves the gate, as answered if the body was complete."""
        self.leave(self._completed)

    def leave(self, answered: bool) -> None:
        """Leaves the gate; later calls have no effect."""
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
    """Sends a request if the gate admits it.

    Args:
        targets: Port to the targets.
        vm: The target.
        request: The request.
        fence: Fencing token and key position of the request.
        gate: The target's gate.
        notify: Called when the request has left the gate.

    Returns:
        The response, or the failure.
    """
    if not gate.admit(fence.position, fence.fence):
        return result.Err(errors.Failure(errors.ErrorKind.WRONG_FENCE))
    admitted = _AdmittedRequest(gate, fence.position, notify)
    sent: result.Result[ports.Response, errors.Failure] | None = None
    try:
        sent = await targets.send(vm, request, fence)
    finally:
        if sent is None:
            # Cancelled while sending; the target may still run it.
            admitted.leave(answered=False)
    if isinstance(sent, result.Err):
        admitted.leave(sent.err_value.response.ran is errors.Ran.NO)
        return sent
    sent.ok_value.body = admitted.relay_body(sent.ok_value.body)
    sent.ok_value.on_close(admitted.close)
    return sent
