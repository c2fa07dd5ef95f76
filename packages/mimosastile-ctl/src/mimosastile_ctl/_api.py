"""Calls to the operators' side of a daemon."""

import asyncio

import aiohttp
import result

_OK = 200
_SECONDS = 10.0


async def _get(url: str) -> result.Result[bytes, str]:
    limit = aiohttp.ClientTimeout(total=_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=limit) as session:
            async with session.get(url) as response:
                body = await response.read()
                if response.status != _OK:
                    text = body.decode(errors="replace").strip()
                    return result.Err(f"{url}: {response.status} {text}")
                return result.Ok(body)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return result.Err(f"{url}: {error or type(error).__name__}")


def get(url: str) -> result.Result[bytes, str]:
    """Reads one address; Err carries a line for people."""
    return asyncio.run(_get(url))
