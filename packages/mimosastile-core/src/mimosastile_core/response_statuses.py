"""Statuses of HTTP responses."""

_LEAST = 100
_LEAST_FINAL = 200
_MOST = 599


def is_valid(status: int) -> bool:
    """Whether a status belongs to one of the classes of RFC 9110, section 15.

    A response with any other status is none: what it means cannot be told.
    """
    return _LEAST <= status <= _MOST


def is_interim(status: int) -> bool:
    """Whether another response to the same request follows."""
    return _LEAST <= status < _LEAST_FINAL
