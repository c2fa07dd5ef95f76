"""Requests from one entry VM to another."""

from mimosastile_gateway import events
from mimosastile_gateway import http_client

_CONNECT_TIMEOUT_SECONDS = 0.3
_MAX_IDLE_SECONDS = 5.0


class PeerCalls:
    """Sends messages to peers; failures are logged and not raised."""

    __slots__ = ("_events", "_pool")

    def __init__(self, pool: http_client.Pool, log: events.EventLog) -> None:
        self._pool = pool
        self._events = log

    async def call(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout: float,
        *,
        fresh: bool = False,
    ) -> bytes | None:
        """Sends a message to a peer and returns the response.

        Args:
            address: Address on which the peer listens.
            path: Path of the request.
            body: The encoded message.
            timeout: Longest wait for the response, in seconds.
            fresh: Whether to open a new connection, as pooled ones may be
                broken.

        Returns:
            The body of the response; None if the peer does not respond or
            refuses the request.
        """
        if fresh:
            self._pool.close_idle(address)
        try:
            response = await http_client.call(
                self._pool,
                address,
                "POST",
                path,
                body,
                timeout=timeout,
                connect=_CONNECT_TIMEOUT_SECONDS,
                idle=_MAX_IDLE_SECONDS,
                keep_connecting=True,
            )
        except (
            http_client.NotSentError,
            http_client.ResponseLostError,
        ) as error:
            self._events.write(
                "peers", "peer_silent", peer=address, path=path, why=str(error)
            )
            if not (isinstance(error, http_client.NotSentError) and error.hung):
                # Connections to one peer usually break together.
                self._pool.close_idle(address)
            return None
        return response.body if response.status == 200 else None
