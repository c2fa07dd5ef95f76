"""Sends messages and requests to other entry VMs over HTTP with JSON."""

import asyncio
import ssl

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

# Any error kind that a peer reports is accepted unchanged.
_ALL_KINDS = frozenset(errors.ErrorKind)


_MAX_CONNECTIONS_PER_PEER = 256


class HttpPeers(kernel.Passive):
    """Sends messages and forwarded requests to peers."""

    __slots__ = ("_base", "_client", "_clock", "_signer", "_tls")

    def __init__(self, signer: _auth.Signer) -> None:
        """Initializes the adapter.

        Args:
            signer: Signs messages and requests.
        """
        super().__init__("peers", ("client", "clock", "tls"))
        self._signer = signer
        self._base = "http"
        self._tls: ssl.SSLContext | None = None
        self._client: _client.HttpClient
        self._clock: ports.ClockPort

    async def start(self, kernel: kernel.Kernel) -> None:
        """Looks up the client, the clock and the TLS context for peers."""
        self._client = kernel.find("client")
        self._clock = kernel.find("clock")
        self._tls = kernel.find("tls").client("peers")
        self._base = "https" if self._tls else "http"

    async def call(
        self, vm: fleet.Vm, message: messages.PeerMessage, timeout: float
    ) -> result.Result[messages.PeerMessage, errors.Failure]:
        """Sends a message and returns the peer's reply."""
        url = f"{self._base}://{vm.host}:{vm.port}{_wire.MESSAGE_PATH}"
        pool = self._client.pool(vm, _MAX_CONNECTIONS_PER_PEER, self._tls)
        body = messages.encode(message)
        headers = [(_wire.SEND_ID, self._client.new_send_id())]
        headers += self._signer.sign(
            vm.id, "POST", _wire.MESSAGE_PATH, headers, body
        )
        try:
            async with asyncio.timeout(timeout):
                async with pool.session.post(
                    url, data=body, headers=headers
                ) as response:
                    received = await response.read()
        except _client.CALL_ERRORS as error:
            if isinstance(error, TimeoutError):
                pool.connector.invalidate_connections()
            return result.Err(
                errors.Failure(_client.error_kind(error), str(error))
            )
        reply = messages.decode(received)
        if isinstance(reply, result.Err):
            return errors.failed(errors.ErrorKind.ANSWER_LOST, reply.err_value)
        return reply

    async def forward(
        self, vm: fleet.Vm, request: ports.Request
    ) -> result.Result[ports.Response, errors.Failure]:
        """Forwards a request to the keeper of its target."""
        remaining = request.deadline - self._clock.now()
        headers = [
            *request.headers,
            (_wire.MEMBER, request.member),
            (_wire.REQUEST_ID, request.request_id),
            (_wire.SEND_ID, self._client.new_send_id()),
            (_wire.DEADLINE_MS, str(max(0, int(remaining * 1000)))),
            (_wire.TARGET, request.target),
            (_wire.ORIGIN, request.origin),
        ]
        query = f"?{request.query}" if request.query else ""
        path = f"{_wire.FORWARD_PATH}{request.path}{query}"
        signed_body = request.body if request.stream is None else None
        headers += self._signer.sign(
            vm.id, request.method, path, headers, signed_body
        )
        url = f"{self._base}://{vm.host}:{vm.port}{path}"
        # No first-byte timeout: a request may wait long in the keeper's queue,
        # so a late first byte doesn't indicate a failure.
        options = _exchange.Options(remaining, 0.0, _ALL_KINDS)
        pool = self._client.pool(vm, _MAX_CONNECTIONS_PER_PEER, self._tls)
        return await _exchange.send(
            self._client, pool, request, url, headers, options
        )
