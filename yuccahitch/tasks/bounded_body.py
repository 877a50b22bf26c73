"""Reads bodies of HTTP responses up to a limit."""

from __future__ import annotations

import aiohttp


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """The body is larger than its limit."""


async def read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a response.

    Args:
        response: The response.
        max_bytes: Largest size of the body, in bytes.

    Raises:
        BodyTooLargeError: When the body is larger; the connection is closed then.
        aiohttp.ClientError: When the body can't be read.
    """
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLargeError(f"the body is larger than {max_bytes} bytes")
    return bytes(body)
