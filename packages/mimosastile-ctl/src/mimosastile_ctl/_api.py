"""Calls to the administration API of a daemon."""

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
"""Environment variable that holds the operator's token."""

TOKEN_FILE_VARIABLE = "MIMOSACTL_TOKEN_FILE"
"""Environment variable that names a file that holds it."""

AUTHORITY_VARIABLE = "MIMOSACTL_AUTHORITY"
"""Environment variable that names the file of the authority by which an
address with https is checked; the system's authorities if it is not set."""

_OK = 200
_SECONDS = 15.0

Answer = result.Result[bytes, administration.AdminRefusal]


class Api:
    """The administration API at one address."""

    __slots__ = ("_at", "_authority", "_token")

    def __init__(self, at: str, token: str, authority: str = "") -> None:
        """Makes a client.

        Args:
            at: Address of the inner port of an entry VM.
            token: The operator's token.
            authority: Path of a PEM file, empty for the system's authorities.
        """
        self._at = at.rstrip("/")
        self._token = token
        self._authority = authority

    def get(self, view: str, **query: Any) -> Answer:
        """Reads a view; query values that are None are left out."""
        given = {n: str(v) for n, v in query.items() if v is not None}
        suffix = "?" + parse.urlencode(given) if given else ""
        return asyncio.run(self._call("GET", view + suffix, b""))

    def post(self, path: str, value: Any) -> Answer:
        """Sends a value as JSON."""
        body = msgspec.json.encode(value)
        return asyncio.run(self._call("POST", path, body))

    async def _call(self, method: str, path: str, body: bytes) -> Answer:
        limit = aiohttp.ClientTimeout(total=_SECONDS)
        tls: ssl.SSLContext | bool = True
        if self._authority:
            try:
                tls = ssl.create_default_context(cafile=self._authority)
            except OSError as error:
                detail = f"{self._authority}: {error}"
                return _failed(errors.ErrorKind.BAD_REQUEST, detail)
        headers = {"authorization": f"Bearer {self._token}"}
        try:
            async with aiohttp.ClientSession(timeout=limit) as session:
                async with session.request(
                    method,
                    self._at + path,
                    data=body,
                    headers=headers,
                    allow_redirects=False,
                    ssl=tls,
                ) as response:
                    text = await response.read()
                    if response.status == _OK:
                        return result.Ok(text)
                    return result.Err(_refusal(response.status, text))
        except aiohttp.ClientConnectorError as error:
            return _failed(errors.ErrorKind.UNREACHABLE, str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # The call may have been taken: for a patch that is for its
            # identifier to settle, so it must not look like a refusal.
            detail = f"{self._at}: {error or type(error).__name__}"
            return _failed(errors.ErrorKind.ANSWER_LOST, detail)


def find_token(
    environment: Mapping[str, str], token_file: str
) -> result.Result[str, str]:
    """Returns the operator's token from a file or the environment.

    Never from the command line, where every user of the machine reads it.

    Args:
        environment: The process's environment.
        token_file: Path of a file, empty for the environment's choice.
    """
    path = token_file or environment.get(TOKEN_FILE_VARIABLE, "")
    if not path:
        return result.Ok(environment.get(TOKEN_VARIABLE, "").strip())
    try:
        return result.Ok(pathlib.Path(path).read_text("utf-8").strip())
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"{path}: {error}")


def environment() -> Mapping[str, str]:
    """Returns the process's environment."""
    return os.environ


def _refusal(status: int, text: bytes) -> administration.AdminRefusal:
    try:
        return msgspec.json.decode(text, type=administration.AdminRefusal)
    except msgspec.DecodeError:
        shown = text[:200].decode(errors="replace").strip()
        return _made(errors.ErrorKind.INTERNAL, f"status {status}: {shown}")


def _failed(
    kind: errors.ErrorKind, detail: str
) -> result.Err[administration.AdminRefusal]:
    return result.Err(_made(kind, detail))


def _made(kind: errors.ErrorKind, detail: str) -> administration.AdminRefusal:
    failure = errors.Failure(kind, detail)
    return administration.AdminRefusal(errors.refusal(failure, ""))
