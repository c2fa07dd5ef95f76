"""Registrations that name no target: their log lines and counts."""

import collections
from collections.abc import Mapping

from mimosastile_gateway import events
from mimosastile_gateway import ports

_MAX_KEYS = 4096
"""Number of keys that are remembered as logged. A fault that concerns more of
them logs some again."""


class RejectedRegistrations:
    """Logs each key once, and counts rejected registrations by reason."""

    __slots__ = ("_counts", "_events", "_revisions")

    def __init__(self, log: events.EventLog) -> None:
        """Creates an instance without any rejections.

        Args:
            log: The event log.
        """
        self._events = log
        self._counts: collections.Counter[str] = collections.Counter()
        self._revisions: dict[str, int] = {}

    @property
    def counts(self) -> Mapping[str, int]:
        """Number of rejected registrations by reason."""
        return self._counts

    def record(
        self, target: str, revision: int, rejection: ports.Rejection
    ) -> None:
        """Records a rejection; the same registration read again is skipped.

        Args:
            target: Identifier under which the registration is stored.
            revision: The store's revision of the registration.
            rejection: Why it names no target.
        """
        known = self._revisions.get(target)
        if known is not None and revision <= known:
            return
        self._counts[rejection.reason.value] += 1
        self._revisions[target] = revision
        if known is not None:
            return
        if len(self._revisions) > _MAX_KEYS:
            del self._revisions[next(iter(self._revisions))]
        self._events.write(
            "store",
            "target_unreadable",
            target=target,
            revision=revision,
            reason=rejection.reason.value,
            why=rejection.detail,
        )
