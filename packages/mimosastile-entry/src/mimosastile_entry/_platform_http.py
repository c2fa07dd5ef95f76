"""HTTP adapters to the platform's key-value service and VM list."""

from collections.abc import Callable
from typing import Any
from typing import TypeVar
from urllib import parse

import aiohttp
import msgspec
import result

from mimosastile_core import decoding
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_entry import _client
from mimosastile_entry import kernel
from mimosastile_entry import ports

_T = TypeVar("_T")
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409

_ENTRY = msgspec.json.Decoder(ports.Entry)
_BATCH = msgspec.json.Decoder(ports.WatchBatch)
_CONFLICT = msgspec.json.Decoder(ports.Conflict)
_VMS = msgspec.json.Decoder(tuple[fleet.Vm, ...])


def _unavailable(detail: str) -> result.Err[errors.Failure]:
    return result.Err(
        errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE, detail)
    )


class _HttpAdapter(kernel.Passive):
    """Base class of the adapters with address, timeout and client."""

    __slots__ = ("_base", "_client", "_timeout")

    def __init__(self, name: str, base: str, timeout: float) -> None:
        super().__init__(name, ("client",))
        self._base = base.rstrip("/")
        self._timeout = timeout
        self._client: _client.HttpClient | None = None

    async def start(self, kernel: kernel.Kernel) -> None:
        """Looks up the HTTP client."""
        self._client = kernel.find("client")

    def dump(self) -> dict[str, Any]:
        """Returns the address of the platform service."""
        return {"address": self._base}

    async def _call(
        self, method: str, path: str, body: bytes = b"", wait: float = 0.0
    ) -> tuple[int, bytes]:
        assert self._client is not None
        limit = aiohttp.ClientTimeout(total=self._timeout + wait)
        async with self._client.session.request(
            method, self._base + path, data=body, timeout=limit
        ) as response:
            return response.status, await response.read()


def _unknown(detail: str) -> result.Err[errors.Failure]:
    """Returns the failure of a write that may have taken effect."""
    return errors.failed(errors.ErrorKind.STORE_UNKNOWN, detail)


def _decoded(
    decoder: Callable[[bytes], _T], body: bytes
) -> result.Result[_T, errors.Failure]:
    """Decodes the body of a response to a read."""
    read = decoding.decode(decoder, body)
    if isinstance(read, result.Err):
        return _unavailable(read.err_value)
    return read


class HttpStore(_HttpAdapter):
    """The key-value service over HTTP with JSON."""

    __slots__ = ()

    def __init__(self, base: str, timeout: float) -> None:
        super().__init__("store", base, timeout)

    async def get(
        self, key: str
    ) -> result.Result[ports.Entry | None, errors.Failure]:
        """Reads one key; returns None if the store has no such key."""
        try:
            status, body = await self._call("GET", f"/kv/{parse.quote(key)}")
            if status == _HTTP_NOT_FOUND:
                return result.Ok(None)
            if status != _HTTP_OK:
                return _unavailable(f"status {status}")
            return _decoded(_ENTRY.decode, body)
        except _client.CALL_ERRORS as error:
            return _unavailable(str(error))

    async def list(
        self, prefix: str
    ) -> result.Result[ports.WatchBatch, errors.Failure]:
        """Reads all keys with a prefix."""
        return await self._batch("/kv?" + parse.urlencode({"prefix": prefix}))

    async def compare_and_swap(
        self, key: str, value: bytes, revision: int
    ) -> result.Result[int, errors.Failure | ports.Conflict]:
        """Writes a key if its revision is the expected one.

        Returns:
            The new revision. A `Conflict` means that the revision differed;
            STORE_UNKNOWN, that the write may or may not have taken effect.
        """
        path = f"/kv/{parse.quote(key)}?revision={revision}"
        try:
            status, body = await self._call("PUT", path, value)
        except _client.CONNECT_ERRORS as error:
            return _unavailable(str(error))
        except _client.CALL_ERRORS as error:
            return _unknown(str(error))
        if status == _HTTP_CONFLICT:
            conflict = decoding.decode(_CONFLICT.decode, body)
            if isinstance(conflict, result.Ok):
                return result.Err(conflict.ok_value)
            return _unknown(conflict.err_value)
        if status != _HTTP_OK:
            return _unavailable(f"status {status}")
        entry = decoding.decode(_ENTRY.decode, body)
        if isinstance(entry, result.Ok):
            return result.Ok(entry.ok_value.revision)
        return _unknown(entry.err_value)

    async def watch(
        self, prefix: str, revision: int, wait: float
    ) -> result.Result[ports.WatchBatch, errors.Failure]:
        """Waits for a change under a prefix after a revision.

        Args:
            prefix: Prefix of the keys.
            revision: Revision after which changes are returned.
            wait: Longest wait in seconds.
        """
        query = parse.urlencode(
            {"prefix": prefix, "revision": revision, "wait": wait}
        )
        return await self._batch(f"/watch?{query}", wait)

    async def _batch(
        self, path: str, wait: float = 0.0
    ) -> result.Result[ports.WatchBatch, errors.Failure]:
        try:
            status, body = await self._call("GET", path, wait=wait)
            if status != _HTTP_OK:
                return _unavailable(f"status {status}")
            return _decoded(_BATCH.decode, body)
        except _client.CALL_ERRORS as error:
            return _unavailable(str(error))


class HttpFleet(_HttpAdapter):
    """The VM list over HTTP with JSON."""

    __slots__ = ()

    def __init__(self, base: str, timeout: float) -> None:
        super().__init__("fleet_port", base, timeout)

    async def vms(
        self,
    ) -> result.Result[tuple[fleet.Vm, ...], errors.Failure]:
        """Reads the VM list."""
        try:
            status, body = await self._call("GET", "/vms")
            if status != _HTTP_OK:
                return _unavailable(f"status {status}")
            return _decoded(_VMS.decode, body)
        except _client.CALL_ERRORS as error:
            return _unavailable(str(error))
