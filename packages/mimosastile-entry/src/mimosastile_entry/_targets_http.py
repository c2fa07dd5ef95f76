"""Adapter to targets over HTTP."""

import aiohttp
import msgspec
import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import grants
from mimosastile_core import holder
from mimosastile_entry import _client
from mimosastile_entry import _wire
from mimosastile_entry import kernel
from mimosastile_entry import ports

_REPLY = msgspec.json.Decoder(grants.GrantReply)
_NOT_RUN = frozenset(
    {
        errors.ErrorKind.WRONG_FENCE,
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.OVERLOADED,
    }
)


class HttpTargets(kernel.Passive):
    """Sends grants and requests to targets."""

    __slots__ = ("_client", "_clock")

    def __init__(self) -> None:
        super().__init__("targets", ("client", "clock"))
        self._client: _client.HttpClient | None = None
        self._clock: ports.ClockPort | None = None

    async def start(self, kernel: kernel.Kernel) -> None:
        """Finds client and clock."""
        self._client = kernel.find("client")
        self._clock = kernel.find("clock")

    async def grant(
        self, vm: fleet.Vm, grant: grants.Grant, timeout: float
    ) -> result.Result[grants.GrantReply, errors.Failure]:
        """Sends a grant and waits for the reply."""
        assert self._client is not None
        url = f"http://{vm.host}:{vm.port}{_wire.GRANT_PATH}"
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._client.session.post(
                url, data=msgspec.json.encode(grant), timeout=limit
            ) as response:
                return result.Ok(_REPLY.decode(await response.read()))
        except (*_client.CALL_ERRORS, msgspec.DecodeError) as error:
            return result.Err(
                errors.Failure(_client.kind_of(error), str(error))
            )

    async def send(
        self,
        vm: fleet.Vm,
        request: ports.Request,
        fence: holder.RequestFence | None,
    ) -> result.Result[ports.Response, errors.Failure]:
        """Sends a request once."""
        assert self._client is not None and self._clock is not None
        left = request.deadline - self._clock.now()
        headers = [
            *request.headers,
            (_wire.MEMBER, request.member),
            (_wire.REQUEST_ID, request.request_id),
            (_wire.DEADLINE_MS, str(max(0, int(left * 1000)))),
            *(_wire.fence_headers(fence).items() if fence else ()),
        ]
        query = f"?{request.query}" if request.query else ""
        url = f"http://{vm.host}:{vm.port}{request.path}{query}"
        return await _client.exchange(
            self._client, request, url, headers, left, _NOT_RUN
        )
