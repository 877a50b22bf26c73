"""Connections to HTTP servers that carry one request after another."""

from __future__ import annotations

import asyncio
import select
import typing

import aiohttp
from aiohttp import client_reqrep, connector, tracing


class ReusingConnector(aiohttp.TCPConnector):
    """Keeps connections, but closes one on which more arrived than the answers to its requests.

    aiohttp takes what arrives on a kept connection for the answer to its next request.
    """

    __slots__ = ()

    async def _get(
        self, key: client_reqrep.ConnectionKey, traces: list[tracing.Trace]
    ) -> connector.Connection | None:
        """Return a kept connection on which nothing arrived, or None."""
        # aiohttp offers no other way to choose among the kept connections.
        while (kept := await super()._get(key, traces)) is not None:
            if not kept.protocol.should_close and not _has_unread(kept.transport):
                return kept
            kept.close()
        return None


def _has_unread(transport: asyncio.BaseTransport) -> bool:
    """Return whether the socket of a transport holds bytes, or an end, that are not read yet."""
    tcp_socket: typing.Any = transport.get_extra_info("socket")
    poll = select.poll()
    poll.register(tcp_socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
