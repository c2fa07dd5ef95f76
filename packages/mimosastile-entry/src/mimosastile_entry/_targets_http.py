"""Sends grants and requests to targets over HTTP."""

import asyncio

import msgspec
import result

from mimosastile_core import decoding
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_entry import _client
from mimosastile_entry import _exchange
from mimosastile_entry import _state
from mimosastile_entry import _wire
from mimosastile_entry import kernel
from mimosastile_entry import ports

_REPLY = msgspec.json.Decoder(grants.GrantReply)
_NOT_RUN_KINDS = frozenset(
    {
        errors.ErrorKind.WRONG_FENCE,
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.OVERLOADED,
    }
)


class HttpTargets(kernel.Passive):
    """Sends grants and requests to targets."""

    __slots__ = ("_client", "_clock", "_state")

    def __init__(self) -> None:
        super().__init__("targets", ("client", "clock", "state"))
        self._client: _client.HttpClient
        self._clock: ports.ClockPort
        self._state: _state.StateService

    async def start(self, kernel: kernel.Kernel) -> None:
        """Looks up the client, the clock and the state service."""
        self._client = kernel.find("client")
        self._clock = kernel.find("clock")
        self._state = kernel.find("state")

    async def grant(
        self, vm: fleet.Vm, grant: grants.Grant, timeout: float
    ) -> result.Result[grants.GrantReply, errors.Failure]:
        """Sends a grant and returns the reply.

        Args:
            vm: VM of the target.
            grant: The grant to send.
            timeout: Timeout in seconds.
        """
        url = f"http://{vm.host}:{vm.port}{_wire.GRANT_PATH}"
        pool = self._pool(vm)
        try:
            async with asyncio.timeout(timeout):
                async with pool.session.post(
                    url,
                    data=msgspec.json.encode(grant),
                    headers={_wire.SEND_ID: self._client.new_send_id()},
                ) as response:
                    body = await response.read()
        except _client.CALL_ERRORS as error:
            if isinstance(error, TimeoutError):
                pool.connector.invalidate_connections()
            return result.Err(
                errors.Failure(_client.error_kind(error), str(error))
            )
        reply = decoding.decode(_REPLY.decode, body)
        if isinstance(reply, result.Err):
            return errors.failed(errors.ErrorKind.ANSWER_LOST, reply.err_value)
        return reply

    async def send(
        self,
        vm: fleet.Vm,
        request: ports.Request,
        fence: holder.RequestFence | None,
    ) -> result.Result[ports.Response, errors.Failure]:
        """Sends a request once, without retries."""
        remaining = request.deadline - self._clock.now()
        headers = [
            *request.headers,
            (_wire.MEMBER, request.member),
            (_wire.REQUEST_ID, request.request_id),
            (_wire.SEND_ID, self._client.new_send_id()),
            (_wire.DEADLINE_MS, str(max(0, int(remaining * 1000)))),
            *(_wire.fence_headers(fence).items() if fence else ()),
        ]
        query = f"?{request.query}" if request.query else ""
        url = f"http://{vm.host}:{vm.port}{request.path}{query}"
        options = _exchange.Options(
            remaining, self._client.configured.first_byte, _NOT_RUN_KINDS
        )
        return await _exchange.send(
            self._client, self._pool(vm), request, url, headers, options
        )

    def _pool(self, vm: fleet.Vm) -> _client.Pool:
        services = self._state.replica.config.document.services
        service = services.get(vm.service)
        return self._client.pool(vm, service.connections if service else 0)
