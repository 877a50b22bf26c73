"""One connection to an upstream, as bytes."""

from __future__ import annotations

import asyncio
import socket

MAX_BUFFERED_BYTES = 262_144
# Unacknowledged bytes for so long end a connection that a partition swallows.
UNACKNOWLEDGED_TIMEOUT_MS = 4_000


class TcpConnection(asyncio.Protocol):
    """Holds received bytes until they are read.

    Attributes:
        unread: Bytes that were not read yet.
        eof_reached: Whether the other side closed in order.
        error: Why the connection broke, or None.
    """

    __slots__ = ("transport", "unread", "eof_reached", "error", "closed", "read_waiter")

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.unread = bytearray()
        self.eof_reached = False
        self.closed = False
        self.error: Exception | None = None
        self.read_waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tcp_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
            )

    def data_received(self, data: bytes) -> None:
        """Keep bytes, and stop reading when there are many."""
        self.unread += data
        if len(self.unread) > MAX_BUFFERED_BYTES:
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Note the end; the connection is closed."""
        self.eof_reached = True
        self._wake_reader()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        self.closed = True
        self.error = error
        self._wake_reader()

    async def read(self) -> bytes:
        """Return the next bytes, or none at an end in order.

        Raises:
            ConnectionError: When the connection broke.
        """
        while not self.unread and not self.eof_reached and not self.closed:
            self.read_waiter = asyncio.get_running_loop().create_future()
            await self.read_waiter
        if self.unread:
            data = bytes(self.unread)
            self.unread.clear()
            if not self.closed:
                self.transport.resume_reading()
            return data
        if self.eof_reached:
            return b""
        raise ConnectionResetError(str(self.error or "closed"))

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self.closed or self.eof_reached:
            raise ConnectionResetError("closed")
        self.transport.write(data)

    def is_idle(self) -> bool:
        """Return whether the connection can take another request."""
        open_and_drained = not self.unread and not self.eof_reached and not self.closed
        return open_and_drained and self.transport.get_write_buffer_size() == 0

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def _wake_reader(self) -> None:
        if self.read_waiter is not None and not self.read_waiter.done():
            self.read_waiter.set_result(None)
