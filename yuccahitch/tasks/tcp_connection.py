"""A TCP connection to an upstream, read and written as bytes."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

# Unread bytes above which reading from the socket is paused.
MAX_BUFFERED_BYTES = 16_384
# Bytes that are read from the socket at once, and that the kernel keeps unread; it doubles these.
READ_BYTES = 32_768
RECEIVE_BUFFER_BYTES = 32_768
# Time after which unacknowledged data closes the connection, as in a network partition.
UNACKNOWLEDGED_TIMEOUT_MS = 4_000
# Value of SO_LINGER by which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSED_WHILE_SENDING = "the other side closed the connection before it had received the request"


def limit_unacknowledged(transport: asyncio.BaseTransport, timeout_ms: int) -> None:
    """Close a connection once sent data stays unacknowledged for a time in milliseconds."""
    tcp_socket = transport.get_extra_info("socket")
    if tcp_socket is not None:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def is_sending(transport: asyncio.WriteTransport) -> bool:
    """Return whether the system of the other side has not received all that was written."""
    return transport.get_write_buffer_size() > 0 or _unacknowledged_bytes(transport) > 0


def unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many of the bytes that were written the other side's system has not received."""
    return transport.get_write_buffer_size() + _unacknowledged_bytes(transport)


def _unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the bytes that the system keeps as the other side's has not acknowledged them.

    What it has received is acknowledged at the latest with the next data or end that it sends.
    """
    tcp_socket = transport.get_extra_info("socket")
    # The socket of a connection that is lost is closed already.
    if tcp_socket is None or tcp_socket.fileno() < 0:
        return 0
    size = fcntl.ioctl(tcp_socket.fileno(), termios.TIOCOUTQ, bytes(struct.calcsize("i")))
    (count,) = struct.unpack("i", size)
    return count


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection so that the other side can't take what it got for all there is."""
    tcp_socket = transport.get_extra_info("socket")
    # The socket of a connection that is lost is closed already.
    if tcp_socket is not None and tcp_socket.fileno() >= 0:
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


class TcpConnection(asyncio.Protocol):
    """Buffers received bytes until they are read.

    Attributes:
        transport: The transport, or None before the connection is made.
        unread: Received bytes that are not read yet.
        eof_reached: Whether the other side closed the connection gracefully (FIN).
        closed_while_sending: Whether it did so before it had received all that was written.
        error: Exception that broke the connection, or None.
        closed: Whether the connection is closed.
        read_waiter: Completed when ``read`` can continue; None before the first wait.
        idle: Whether nothing may arrive; what does closes the connection.
        received_idle: Whether bytes arrived while nothing might.
    """

    __slots__ = (
        "transport",
        "unread",
        "eof_reached",
        "closed_while_sending",
        "error",
        "closed",
        "read_waiter",
        "idle",
        "received_idle",
    )

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.unread = bytearray()
        self.eof_reached = False
        self.closed_while_sending = False
        self.closed = False
        self.error: Exception | None = None
        self.read_waiter: asyncio.Future[None] | None = None
        self.idle = False
        self.received_idle = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of the socket."""
        self.transport = transport
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        transport.max_size = READ_BYTES
        limit_unacknowledged(transport, UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes, and pause reading if the buffer is over its limit."""
        if self.idle:
            self.received_idle = True
            self.abort()
            return
        self.unread += data
        if len(self.unread) > MAX_BUFFERED_BYTES:
            self.transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record the graceful end; returning False closes the transport."""
        self.eof_reached = True
        self.closed_while_sending = self.is_sending()
        self._wake_reader()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record that the connection is closed, and why."""
        self.closed = True
        self.error = error
        self._wake_reader()

    async def read(self) -> bytes:
        """Wait for received bytes and return them; no bytes after a graceful end.

        Raises:
            ConnectionError: When the connection broke or was aborted, or the other side closed it
                before it had received all that was written.
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
        if self.closed_while_sending:
            raise ConnectionResetError(CLOSED_WHILE_SENDING)
        if self.eof_reached:
            return b""
        raise ConnectionResetError(str(self.error or "the connection is closed"))

    def write(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            ConnectionError: When the connection is closed.
        """
        if self.closed or self.eof_reached:
            raise ConnectionResetError("can't write, the connection is closed")
        self.transport.write(data)

    def is_sending(self) -> bool:
        """Return whether the system of the other side has not received all that was written."""
        return not self.closed and is_sending(self.transport)

    def is_idle(self) -> bool:
        """Return whether the connection is open with nothing left to read or to send."""
        # A transport that is closing is lost a turn of the loop later, and drops what is written.
        is_open = not self.eof_reached and not self.closed and not self.transport.is_closing()
        return is_open and not self.unread and self.transport.get_write_buffer_size() == 0

    def close(self) -> None:
        """Close a connection on which nothing is under way."""
        if self.transport is not None:
            self.transport.abort()

    def abort(self) -> None:
        """Reset the connection; bytes that the other side has not received are discarded."""
        if self.transport is not None:
            reset(self.transport)

    def _wake_reader(self) -> None:
        if self.read_waiter is not None and not self.read_waiter.done():
            self.read_waiter.set_result(None)
