"""Links between regions that queue what they carry, under virtual time."""

import asyncio
import collections

import result

from tests.gateway import fakes

_WAY_SECONDS = 0.012
"""One way between two regions."""
_STORE_SECONDS = 0.004
"""Time in which the store answers."""
_HEAD_BYTES = 250
"""Bytes of a request or an answer besides its body."""
_CALL_SECONDS = 1.0
"""Longest wait for the store's answer, as its client has it."""
_WATCH_SLACK_SECONDS = 2.0
"""The same for a watch, beyond the wait that it asks for."""


class Link:
    """Both directions between two regions.

    Attributes:
        carried: Bytes by purpose.
        rate: Bytes a second.
    """

    def __init__(self, mbps):
        self.rate = mbps * 1e6 / 8
        self._free_at = collections.Counter()
        self.carried = collections.Counter()

    async def carry(self, size, purpose, direction):
        """Waits until a message has arrived.

        What has been given up is carried all the same.
        """
        self.carried[purpose] += size
        now = asyncio.get_running_loop().time()
        begins = max(now, self._free_at[direction])
        arrives = begins + size / self.rate
        self._free_at[direction] = arrives
        await asyncio.sleep(arrives + _WAY_SECONDS - now)


class FarStore:
    """A store as seen from beyond a link; its client gives up in time.

    Attributes:
        failing: Failure of every call, None while the VM reaches it.
    """

    def __init__(self, store, link):
        self._store = store
        self._link = link
        self.failing = None

    async def _through(self, call, purpose, wait=0.0, size=0):
        if self.failing:
            await asyncio.sleep(0.005)
            return result.Err(self.failing)
        slack = _WATCH_SLACK_SECONDS if wait else _CALL_SECONDS
        try:
            async with asyncio.timeout(wait + slack):
                sent = _HEAD_BYTES + size
                await self._link.carry(sent, f"{purpose} asked", "there")
                await asyncio.sleep(_STORE_SECONDS)
                answer = await call()
                await self._link.carry(_size(answer), purpose, "back")
                return answer
        except TimeoutError:
            return result.Err(fakes.UNKNOWN)

    async def read(self, key):
        """Reads one key."""
        return await self._through(lambda: self._store.read(key), f"read {key}")

    async def list(self, prefix, *, stale=False):
        """Reads all keys with a prefix."""
        return await self._through(
            lambda: self._store.list(prefix, stale=stale), f"list {prefix}"
        )

    async def watch(self, prefix, after, wait):
        """Waits for a change."""
        return await self._through(
            lambda: self._store.watch(prefix, after, wait),
            f"watch {prefix}",
            wait,
        )

    async def commit(self, expected, writes, deleted=()):
        """Writes under a condition."""
        return await self._through(
            lambda: self._store.commit(expected, writes, deleted),
            "commit",
            size=sum(len(write.value) for write in writes),
        )

    async def open_session(self, seconds):
        """Makes a lease."""
        return await self._through(
            lambda: self._store.open_session(seconds), "session"
        )

    async def keep_session(self, session):
        """Renews a lease."""
        return await self._through(
            lambda: self._store.keep_session(session), "session"
        )

    async def end_session(self, session):
        """Ends a lease."""


def _size(answer):
    """Returns the bytes of an answer of the store."""
    if isinstance(answer, result.Err):
        return _HEAD_BYTES
    found = answer.ok_value
    items = getattr(found, "items", ())
    values = [item.value for item in items]
    if hasattr(found, "value"):
        values.append(found.value)
    # Base64, and the names of the fields.
    return _HEAD_BYTES + sum(len(v) * 4 // 3 + 90 for v in values)
