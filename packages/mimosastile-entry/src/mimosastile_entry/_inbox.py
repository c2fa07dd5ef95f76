"""Dispatches messages of peers to the services that handle them."""

from collections.abc import Callable
from typing import Any

from absl import logging

from mimosastile_core import messages
from mimosastile_entry import kernel

_PREFIX = "inbox:"

Handler = Callable[[Any], messages.PeerMessage]


class InboxService(kernel.Passive):
    """Registry of the handlers of peer messages, by message type.

    A service registers its handlers when it starts. A handler must return
    immediately; it starts long work as a separate task.
    """

    __slots__ = ("_handlers", "_received", "_vm")

    def __init__(self, vm: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
        """
        super().__init__("inbox")
        self._vm = vm
        self._handlers: dict[type[Any], Handler] = {}
        self._received: dict[str, int] = {}

    def handle(self, kind: type[Any], handler: Handler) -> None:
        """Registers the handler of one message type."""
        self._handlers[kind] = handler

    def receive(self, message: messages.PeerMessage) -> messages.PeerMessage:
        """Handles a message and returns the reply."""
        kind = type(message)
        self._received[kind.__name__] = self._received.get(kind.__name__, 0) + 1
        handler = self._handlers.get(kind)
        if handler is None:
            logging.warning("%s no handler for %s.", _PREFIX, kind.__name__)
            return messages.Ack(self._vm)
        return handler(message)

    def dump(self) -> dict[str, Any]:
        """Returns how many messages of each type were received."""
        return {"received": dict(self._received)}
