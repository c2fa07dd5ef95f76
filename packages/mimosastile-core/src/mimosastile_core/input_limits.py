"""Bound on input that a parser takes without delivering anything.

A parser joins the pieces of a name or a value and delivers it when it is whole,
so a count of what it delivers never sees what has no end.
"""

FRAMING_BYTES = 1024
"""Bytes of a head that the limit on heads does not count: method, version, line
ends and optional white space."""
READ_BYTES = 16 << 10
"""Bytes read from a connection at a time. Parsing what one caller sends delays
all others."""
_SMALL_READ_BYTES = 1 << 10
"""The same for a connection that sends very small chunks, whose parsing takes
far longer than their bytes suggest."""
_MANY_PARTS = 128
"""Parts in one read from which on they count as very small."""


class UnparsedBytes:
    """Bytes that a parser took since it last delivered a whole part.

    Whole parts are the head of a message, a piece of a body and a message.

    Attributes:
        count: Number of bytes.
        read_bytes: Most bytes to read from the connection next.
    """

    __slots__ = ("_parts", "count", "read_bytes")

    def __init__(self) -> None:
        """Starts the count at zero."""
        self.count = 0
        self.read_bytes = READ_BYTES
        self._parts = 0

    def record_part(self) -> None:
        """Records that the parser has delivered a whole part."""
        self._parts += 1

    def record_input(self, size: int) -> None:
        """Counts bytes after the parser has taken them.

        Where in them a part ended is not known, so all of them are taken for
        its bytes.
        """
        self.count = 0 if self._parts else self.count + size
        # Parts that are as small as before fill a smaller read less.
        many = self._parts * READ_BYTES > _MANY_PARTS * self.read_bytes
        self.read_bytes = _SMALL_READ_BYTES if many else READ_BYTES
        self._parts = 0
