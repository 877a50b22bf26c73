"""A connection of aiohttp's client that tells an answer that broke off from a complete one."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import client_proto

from yuccahitch.tasks import tcp_connection


class UpstreamProtocol(client_proto.ResponseHandler):
    """Reads the answers on a connection to an upstream.

    aiohttp takes a body that ends with its connection for complete, also after a reset, and waits
    for the end of an upload whose receiver has closed its half of the connection.

    Attributes:
        cut_error: Set when the upstream closed its half before it had received all that was sent.
    """

    __slots__ = ("cut_error",)

    cut_error: ConnectionResetError | None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare a new connection."""
        self.cut_error = None
        transport.max_size = tcp_connection.READ_BYTES
        super().connection_made(transport)

    def eof_received(self) -> None:
        """Reset the connection if its upload is still being sent."""
        if self.transport is not None and tcp_connection.is_sending(self.transport):
            self.cut_error = ConnectionResetError(tcp_connection.CLOSED_WHILE_SENDING)
            tcp_connection.reset(self.transport)
        super().eof_received()

    def connection_lost(self, error: BaseException | None) -> None:
        """Fail a body that is not complete, if the connection was reset."""
        error = error or self.cut_error
        # aiohttp offers no other way to the body that is being read.
        if error is not None and self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(aiohttp.ClientPayloadError(str(error)), error)
        super().connection_lost(error)
