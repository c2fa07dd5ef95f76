"""HTTP client for the administration API of a daemon."""

import asyncio
from collections.abc import Mapping
import os
import pathlib
import ssl
from typing import Any
from urllib import parse

import aiohttp
import msgspec
import result

from mimosastile_core import administration
from mimosastile_core import errors

TOKEN_VARIABLE = "MIMOSACTL_TOKEN"
"""Environment variable that contains the operator's token."""

TOKEN_FILE_VARIABLE = "MIMOSACTL_TOKEN_FILE"
"""Environment variable with the path of a file that contains the token."""

CA_FILE_VARIABLE = "MIMOSACTL_AUTHORITY"
"""Environment variable with the path of the CA file that verifies https
addresses. The CA certificates of the system apply if it is not set."""

_STATUS_OK = 200
_CALL_TIMEOUT_SECONDS = 15.0

ApiResult = result.Result[bytes, administration.AdminRefusal]


class Api:
    """Client for the administration API at one address."""

    __slots__ = ("_address", "_ca_file", "_token")

    def __init__(self, address: str, token: str, ca_file: str = "") -> None:
        """Initializes the client.

        Args:
            address: Base URL of the inner port of an entry VM.
            token: The operator's token.
            ca_file: Path of a PEM file with CA certificates, empty for those of
                the system.
        """
        self._address = address.rstrip("/")
        self._token = token
        self._ca_file = ca_file

    def get(self, view: str, **query: Any) -> ApiResult:
        """Reads a view, omitting query parameters that are None."""
        parameters = {n: str(v) for n, v in query.items() if v is not None}
        suffix = "?" + parse.urlencode(parameters) if parameters else ""
        return asyncio.run(self._call("GET", view + suffix, b""))

    def post(self, path: str, value: Any) -> ApiResult:
        """Posts a value encoded as JSON."""
        body = msgspec.json.encode(value)
        return asyncio.run(self._call("POST", path, body))

    async def _call(self, method: str, path: str, body: bytes) -> ApiResult:
        client_timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_SECONDS)
        ssl_context: ssl.SSLContext | bool = True
        if self._ca_file:
            try:
                ssl_context = ssl.create_default_context(cafile=self._ca_file)
            except OSError as error:
                detail = f"{self._ca_file}: {error}"
                return _failure(errors.ErrorKind.BAD_REQUEST, detail)
        headers = {"authorization": f"Bearer {self._token}"}
        try:
            async with aiohttp.ClientSession(timeout=client_timeout) as session:
                async with session.request(
                    method,
                    self._address + path,
                    data=body,
                    headers=headers,
                    allow_redirects=False,
                    ssl=ssl_context,
                ) as response:
                    text = await response.read()
                    if response.status == _STATUS_OK:
                        return result.Ok(text)
                    return result.Err(_decode_refusal(response.status, text))
        except aiohttp.ClientConnectorError as error:
            return _failure(errors.ErrorKind.UNREACHABLE, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # The daemon may have executed the call, so this must not be
            # reported as a refusal. A patch can be retried safely: its
            # identifier makes it idempotent.
            detail = f"{self._address}: {error or type(error).__name__}"
            return _failure(errors.ErrorKind.ANSWER_LOST, detail)


def find_token(
    environment: Mapping[str, str], token_file: str
) -> result.Result[str, str]:
    """Returns the operator's token from a file or the environment.

    The token is not accepted on the command line, because every user of the
    machine can read the arguments of a process.

    Args:
        environment: Environment variables of the process.
        token_file: Path of a file, empty to use the environment variables.

    Returns:
        The token, empty if none is configured, or an error message that names
        the file that could not be read.
    """
    path = token_file or environment.get(TOKEN_FILE_VARIABLE, "")
    if not path:
        return result.Ok(environment.get(TOKEN_VARIABLE, "").strip())
    try:
        return result.Ok(pathlib.Path(path).read_text("utf-8").strip())
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"{path}: {error}")


def environment() -> Mapping[str, str]:
    """Returns the environment variables of the process."""
    return os.environ


def _decode_refusal(status: int, text: bytes) -> administration.AdminRefusal:
    try:
        return msgspec.json.decode(text, type=administration.AdminRefusal)
    except msgspec.DecodeError:
        excerpt = text[:200].decode(errors="replace").strip()
        return _make_refusal(
            errors.ErrorKind.INTERNAL, f"status {status}: {excerpt}"
        )


def _failure(
    kind: errors.ErrorKind, detail: str
) -> result.Err[administration.AdminRefusal]:
    return result.Err(_make_refusal(kind, detail))


def _make_refusal(
    kind: errors.ErrorKind, detail: str
) -> administration.AdminRefusal:
    failure = errors.Failure(kind, detail)
    return administration.AdminRefusal(errors.refusal(failure, ""))
