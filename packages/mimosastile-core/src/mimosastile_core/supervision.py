"""Describes exceptions that end tasks, for both daemons' logs."""

import traceback

import msgspec

_MAX_TEXT_LENGTH = 300
"""Longest description of an exception, in characters; it may quote outside
data."""


class Failure(msgspec.Struct, frozen=True):
    """An exception that has ended a task.

    Attributes:
        why: Type and message of the exception.
        where: Place of the innermost own code on its way: file, line and
            function; empty if unknown.
    """

    why: str
    where: str


def describe(error: BaseException) -> Failure:
    """Returns the description of an exception.

    Args:
        error: The exception, with its traceback.
    """
    frames = traceback.extract_tb(error.__traceback__)
    where = ""
    if frames:
        last = frames[-1]
        file = last.filename.rpartition("/")[2]
        where = f"{file}:{last.lineno} {last.name}"
    why = f"{type(error).__name__}: {error}"
    return Failure(why[:_MAX_TEXT_LENGTH], where)
