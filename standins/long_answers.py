"""Long answers, and the patience of upstreams with callers that don't read them."""

from __future__ import annotations

import asyncio

from aiohttp import web

PIECE = b"x" * 16_384
# Bytes that the connection of an answer takes before its upstream waits for the reader.
WRITE_BUFFER_BYTES = 16_384


async def send(
    request: web.Request, headers: dict[str, str], size: int, *, unread_limit_s: float = 0
) -> web.StreamResponse:
    """Send an answer of a size.

    Args:
        request: The request.
        headers: Headers of the answer.
        size: Bytes of its body.
        unread_limit_s: Time for which the upstream waits for the reader, in seconds; then it resets
            the connection. 0 stands for no limit.
    """
    response = web.StreamResponse(headers=headers)
    response.content_length = size
    await response.prepare(request)
    request.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
    left = size
    while left:
        piece = PIECE[:left]
        try:
            async with asyncio.timeout(unread_limit_s or None):
                await response.write(piece)
                await request.protocol._drain_helper()
        except TimeoutError:
            request.transport.abort()
            raise
        left -= len(piece)
    await response.write_eof()
    return response
