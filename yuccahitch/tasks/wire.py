"""One connection to an upstream, as bytes."""

from __future__ import annotations

import asyncio
import socket

MAX_BUFFERED_BYTES = 262_144
# Unacknowledged bytes for so long end a connection that a partition swallows.
USER_TIMEOUT_MS = 4_000


class Wire(asyncio.Protocol):
    """Holds received bytes until they are read.

    Attributes:
        received: Bytes that were not read yet.
        ended: Whether the other side closed in order.
        error: Why the connection broke, or None.
    """

    __slots__ = ("transport", "received", "ended", "error", "closed", "waiter")

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.ended = False
        self.closed = False
        self.error: Exception | None = None
        self.waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        found = transport.get_extra_info("socket")
        if found is not None:
            found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            found.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Keep bytes, and stop reading when there are many."""
        self.received += data
        if len(self.received) > MAX_BUFFERED_BYTES:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note the end; the connection is closed."""
        self.ended = True
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is gone."""
        self.closed = True
        self.error = error
        self._wake()

    async def read(self) -> bytes:
        """Return the next bytes, or none at an end in order.

        Raises:
            ConnectionError: When the connection broke.
        """
        while not self.received and not self.ended and not self.closed:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        if self.received:
            data = bytes(self.received)
            self.received.clear()
            if not self.closed:
                self.transport.resume_reading()
            return data
        if self.ended:
            return b""
        raise ConnectionResetError(str(self.error or "closed"))

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self.closed or self.ended:
            raise ConnectionResetError("closed")
        self.transport.write(data)

    def idle(self) -> bool:
        """Return whether the connection can take another request."""
        clean = not self.received and not self.ended and not self.closed
        return clean and self.transport.get_write_buffer_size() == 0

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
