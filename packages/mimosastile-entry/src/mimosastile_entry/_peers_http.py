"""Adapter to other entry VMs over HTTP with JSON."""

import asyncio
import ssl

import msgspec
import result

from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import messages
from mimosastile_entry import _auth
from mimosastile_entry import _client
from mimosastile_entry import _exchange
from mimosastile_entry import _wire
from mimosastile_entry import kernel
from mimosastile_entry import ports

# A peer's word on what happened is taken as it is.
_ANY_KIND = frozenset(errors.ErrorKind)


_CONNECTIONS = 256
"""Most connections to one peer."""


class HttpPeers(kernel.Passive):
    """Sends messages and forwarded requests to peers."""

    __slots__ = ("_base", "_client", "_clock", "_signer", "_tls")

    def __init__(self, signer: _auth.Signer) -> None:
        """Makes the adapter.

        Args:
            signer: Signs what is sent.
        """
        super().__init__("peers", ("client", "clock", "tls"))
        self._signer = signer
        self._base = "http"
        self._tls: ssl.SSLContext | None = None
        self._client: _client.HttpClient
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Finds client, clock and the way to call."""
        self._client = kernel.find("client")
        self._clock = kernel.find("clock")
        self._tls = kernel.find("tls").client("peers")
        self._base = "https" if self._tls else "http"

    async def call(
        self, vm: fleet.Vm, message: messages.PeerMessage, timeout: float
    ) -> result.Result[messages.PeerMessage, errors.Failure]:
        """Sends a message and returns the peer's reply."""
        url = f"{self._base}://{vm.host}:{vm.port}{_wire.MESSAGE_PATH}"
        pool = self._client.pool(vm, _CONNECTIONS, self._tls)
        body = messages.encode(message)
        signed = self._signer.sign(vm.id, "POST", _wire.MESSAGE_PATH, (), body)
        try:
            async with asyncio.timeout(timeout):
                async with pool.session.post(
                    url, data=body, headers=signed
                ) as response:
                    return result.Ok(messages.decode(await response.read()))
        except (*_client.CALL_ERRORS, msgspec.DecodeError) as error:
            if isinstance(error, TimeoutError):
                pool.connector.suspect()
            return result.Err(
                errors.Failure(_client.kind_of(error), str(error))
            )

    async def forward(
        self, vm: fleet.Vm, request: ports.Request
    ) -> result.Result[ports.Response, errors.Failure]:
        """Passes a request to the keeper of its target."""
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
        path = f"{_wire.FORWARD_PATH}{request.path}{query}"
        whole = request.body if request.stream is None else None
        headers += self._signer.sign(
            vm.id, request.method, path, headers, whole
        )
        url = f"{self._base}://{vm.host}:{vm.port}{path}"
        # A request may wait long in the keeper's queue: silence proves little.
        terms = _exchange.Terms(left, 0.0, _ANY_KIND)
        pool = self._client.pool(vm, _CONNECTIONS, self._tls)
        return await _exchange.send(
            self._client, pool, request, url, headers, terms
        )
