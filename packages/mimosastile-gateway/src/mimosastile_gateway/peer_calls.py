"""Calls from one entry VM to another."""

from mimosastile_gateway import events
from mimosastile_gateway import http_client

_CONNECT_SECONDS = 0.3
_IDLE_SECONDS = 5.0


class PeerCalls:
    """Sends messages to peers; one that is not answered is only logged."""

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
        """Sends a message and returns the answer.

        Args:
            address: Where the peer hears.
            path: What is asked.
            body: The message.
            timeout: Longest wait in seconds for the answer.
            fresh: Whether to take a new connection, as others may have fallen
                silent.

        Returns:
            The answer; None if the peer is silent or refuses.
        """
        if fresh:
            self._pool.close_idle(address)
        try:
            answer = await http_client.call(
                self._pool,
                address,
                "POST",
                path,
                body,
                timeout=timeout,
                connect=_CONNECT_SECONDS,
                idle=_IDLE_SECONDS,
            )
        except (
            http_client.NotSentError,
            http_client.ResponseLostError,
        ) as error:
            self._events.write(
                "peers", "peer_silent", peer=address, path=path, why=str(error)
            )
            # Connections that fall silent do so together.
            self._pool.close_idle(address)
            return None
        return answer.body if answer.status == 200 else None
