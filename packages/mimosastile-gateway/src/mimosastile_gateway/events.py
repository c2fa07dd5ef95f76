"""Structured event log on standard output, one JSON object per line.

A token bucket limits the lines of each event. Lines that standard output does
not accept are dropped and counted, so that a log reader that stopped cannot
block the daemon.
"""

import collections
from collections.abc import Mapping
import os
import sys
import time
from typing import Any

import msgspec

_LINES_PER_SECOND = 20.0
"""Sustained rate of one event; at a few hundred bytes a line, about 5 KB/s."""
_BURST_LINES = 60.0
"""Burst of one event, enough to show how a fault begins."""


class _TokenBucket:
    """Token bucket of one event."""

    __slots__ = ("updated_at", "suppressed", "tokens")

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.tokens = _BURST_LINES
        self.suppressed = 0


class EventLog:
    """Writes the daemon's decisions and state changes as log lines."""

    __slots__ = ("_buckets", "_counts", "_descriptor", "_dropped", "_vm")

    def __init__(self, vm: str, descriptor: int | None = None) -> None:
        """Creates a log.

        Args:
            vm: Identifier of this VM, written on every line.
            descriptor: File descriptor to write to; None for standard output.
        """
        self._vm = vm
        self._buckets: dict[str, _TokenBucket] = {}
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._dropped = 0
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines that standard output did not accept."""
        return self._dropped

    @property
    def counts(self) -> Mapping[tuple[str, str], int]:
        """Number of events by part and name, including suppressed ones."""
        return self._counts

    def write(self, part: str, event: str, **fields: Any) -> None:
        """Writes one line unless the event exceeds its rate limit.

        Args:
            part: Part of the daemon that reports the event.
            event: Name of the event, fixed for each kind of line.
            **fields: Inputs and outcome of the event.
        """
        self._counts[part, event] += 1
        bucket = self._take_token(event)
        if bucket is None:
            return
        line: dict[str, Any] = {
            "time": round(time.time(), 3),
            "vm": self._vm,
            "part": part,
            "event": event,
            **fields,
        }
        if bucket.suppressed:
            line["suppressed"] = bucket.suppressed
            bucket.suppressed = 0
        self._write_line(msgspec.json.encode(line) + b"\n")

    def _take_token(self, event: str) -> _TokenBucket | None:
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket(now)
        refilled = bucket.tokens + (now - bucket.updated_at) * _LINES_PER_SECOND
        bucket.tokens = min(refilled, _BURST_LINES)
        bucket.updated_at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            return None
        bucket.tokens -= 1
        return bucket

    def _write_line(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
        except BlockingIOError:
            self._dropped += 1
        except OSError:
            # The reader is gone for good; the daemon continues without a log.
            self._dropped += 1
