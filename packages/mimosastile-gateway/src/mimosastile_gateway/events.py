"""Structured log lines on standard output.

One JSON object a line. Lines are bounded by a token bucket for each event and
are dropped, and counted, when standard output does not take them: a reader
that has stopped must not stop the daemon.
"""

import collections
from collections.abc import Mapping
import os
import sys
import time
from typing import Any

import msgspec

_LINES_PER_SECOND = 20.0
"""Sustained lines of one event; a few hundred bytes each, so some 5 KB/s."""
_BURST = 60.0
"""Lines of one event at once, enough to see how a fault begins."""


class _Bucket:
    """Tokens of one event."""

    __slots__ = ("at", "suppressed", "tokens")

    def __init__(self, now: float) -> None:
        self.at = now
        self.tokens = _BURST
        self.suppressed = 0


class Events:
    """Writes what the daemon decides and comes to believe."""

    __slots__ = ("_buckets", "_counts", "_descriptor", "_dropped", "_vm")

    def __init__(self, vm: str, descriptor: int | None = None) -> None:
        """Makes a log.

        Args:
            vm: Identifier of this VM, on every line.
            descriptor: Where lines go; None for standard output.
        """
        self._vm = vm
        self._buckets: dict[str, _Bucket] = {}
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
        """Lines that standard output did not take."""
        return self._dropped

    @property
    def counts(self) -> Mapping[tuple[str, str], int]:
        """Events by part and name, also those whose lines were left out."""
        return self._counts

    def write(self, part: str, event: str, **fields: Any) -> None:
        """Writes one line unless its event has used its tokens up.

        Args:
            part: Part of the daemon that speaks.
            event: What happened, a fixed word for each kind of line.
            **fields: The inputs and the outcome.
        """
        self._counts[part, event] += 1
        bucket = self._take(event)
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
        self._put(msgspec.json.encode(line) + b"\n")

    def _take(self, event: str) -> _Bucket | None:
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _Bucket(now)
        grown = bucket.tokens + (now - bucket.at) * _LINES_PER_SECOND
        bucket.tokens = min(grown, _BURST)
        bucket.at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            return None
        bucket.tokens -= 1
        return bucket

    def _put(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
        except BlockingIOError:
            self._dropped += 1
        except OSError:
            # The reader is gone for good; the daemon serves on.
            self._dropped += 1
