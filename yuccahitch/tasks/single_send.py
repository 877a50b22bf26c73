"""Keeps aiohttp's client from sending a request a second time by itself.

After a lost answer it repeats GET, HEAD, OPTIONS, TRACE, PUT and DELETE, which a service may not
treat as idempotent.
"""

from __future__ import annotations

import aiohttp


class AnswerLostError(aiohttp.ClientConnectionError):
    """The connection broke after the request may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request; a client middleware whose error aiohttp does not repeat a request after.

    Raises:
        AnswerLostError: When the connection broke after it was open.
        aiohttp.ClientError: When it could not be opened, or the answer is not valid.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AnswerLostError(str(error)) from error
