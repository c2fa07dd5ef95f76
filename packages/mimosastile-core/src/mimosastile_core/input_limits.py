"""Bound on input that a parser takes without delivering anything.

A parser joins the pieces of a name or a value and delivers it when it is whole,
so a count of what it delivers never sees what has no end.
"""

FRAMING_BYTES = 1024
"""Bytes of a head that the limit on heads does not count: method, version, line
ends and optional white space."""
READ_BYTES = 16 << 10
"""Bytes read from a connection at a time. Parsing what one caller sends delays
all others, and very small chunks take far longer than their bytes suggest."""


class UnparsedBytes:
    """Bytes that a parser took since it last delivered a whole part.

    Whole parts are the head of a message, a piece of a body and a message.

    Attributes:
        count: Number of bytes.
    """

    __slots__ = ("_delivered", "count")

    def __init__(self) -> None:
        """Starts the count at zero."""
        self.count = 0
        self._delivered = False

    def record_part(self) -> None:
        """Records that the parser has delivered a whole part."""
        self._delivered = True

    def record_input(self, size: int) -> None:
        """Counts bytes after the parser has taken them.

        Where in them a part ended is not known, so all of them are taken for
        its bytes.
        """
        self.count = 0 if self._delivered else self.count + size
        self._delivered = False
