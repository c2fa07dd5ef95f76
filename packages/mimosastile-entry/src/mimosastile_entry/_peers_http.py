"""Adapter to other entry VMs over HTTP with JSON."""

import aiohttp
import msgspec
import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import messages
from mimosastile_entry import _client
from mimosastile_entry import _wire
from mimosastile_entry import kernel
from mimosastile_entry import ports

# A peer's word on what happened is taken as it is.
_ANY_KIND = frozenset(errors.ErrorKind)


class HttpPeers(kernel.Passive):
    """Sends messages and forwarded requests to peers."""

    __slots__ = ("_client", "_clock")

    def __init__(self) -> None:
        super().__init__("peers", ("client", "clock"))
        self._client: _client.HttpClient | None = None
        self._clock: ports.ClockPort | None = None

    async def start(self, kernel: kernel.Kernel) -> None:
        """Finds client and clock."""
        self._client = kernel.find("client")
        self._clock = kernel.find("clock")

    async def call(
        self, vm: fleet.Vm, message: messages.PeerMessage, timeout: float
    ) -> result.Result[messages.PeerMessage, errors.Failure]:
        """Sends a message and returns the peer's reply."""
        assert self._client is not None
        url = f"http://{vm.host}:{vm.port}{_wire.MESSAGE_PATH}"
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._client.session.post(
                url, data=messages.encode(message), timeout=limit
            ) as response:
                return result.Ok(messages.decode(await response.read()))
        except (*_client.CALL_ERRORS, msgspec.DecodeError) as error:
            return result.Err(
                errors.Failure(_client.kind_of(error), str(error))
            )

    async def forward(
        self, vm: fleet.Vm, request: ports.Request
    ) -> result.Result[ports.Response, errors.Failure]:
        """Passes a request to the keeper of its target."""
        assert self._client is not None and self._clock is not None
        left = request.deadline - self._clock.now()
        headers = [
            *request.headers,
            (_wire.MEMBER, request.member),
            (_wire.REQUEST_ID, request.request_id),
            (_wire.DEADLINE_MS, str(max(0, int(left * 1000)))),
            (_wire.TARGET, request.target),
            (_wire.ORIGIN, request.origin),
        ]
        query = f"?{request.query}" if request.query else ""
        url = (
            f"http://{vm.host}:{vm.port}{_wire.FORWARD_PATH}"
            f"{request.path}{query}"
        )
        return await _client.exchange(
            self._client, request, url, headers, left, _ANY_KIND
        )
