"""Responses with a broken head, as the daemon's callers see them."""

import asyncio

import pytest
import rig

_FRAMINGS = {
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nwhole body",
    "chunks": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"6\r\nwhole \r\n4\r\nbody\r\n0\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\n\r\n"
    b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nwhole body",
    "close": b"HTTP/1.1 200 OK\r\nconnection: close\r\n"
    b"content-length: 10\r\n\r\nwhole body",
    "http-1.0": b"HTTP/1.0 200 OK\r\ncontent-length: 10\r\n\r\nwhole body",
}


async def _is_whole(data):
    """Whether a caller takes the response to a cut one for a whole success."""
    async with (
        rig.raw_server(lambda _: rig.Reply(data, close=True)) as peer,
        rig.front(peer.port) as front,
    ):
        received = await rig.exchange(front.port, rig.get())
    status, headers, body = rig.parse(received)
    if status != 200:
        return False
    if b"content-length" in headers:
        return len(body) == int(headers[b"content-length"])
    return body.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("framing", _FRAMINGS)
def test_never_whole(framing):
    """Guards against a response cut in its head that callers take for whole."""

    async def main():
        response = _FRAMINGS[framing]
        for size in range(0, len(response), 3):
            assert not await _is_whole(response[:size]), size
        return await _is_whole(response)

    assert asyncio.run(main())


@pytest.mark.parametrize(
    "status", [b"000", b"001", b"099", b"600", b"999", b"00", b"2000"]
)
def test_invalid_status(status):
    """Guards against a status outside 100 to 599 that reaches callers."""

    async def main():
        data = _FRAMINGS["length"].replace(b"200 OK", status)
        async with (
            rig.raw_server(lambda _: rig.Reply(data, close=True)) as peer,
            rig.front(peer.port) as front,
        ):
            return rig.parse(await rig.exchange(front.port, rig.get()))

    received, headers, _ = asyncio.run(main())
    assert received == 502
    assert headers[b"x-mimosastile-error"] in (b"answer_broken", b"answer_lost")
