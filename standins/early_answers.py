"""Stand-in for an upstream that answers before it has read its request, and ends as a script says.

It works on plain sockets with a small receive buffer, so that a long upload blocks its writer.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct

HOST = "127.0.0.1"
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 4096
# Receive buffer, and size of a read, for uploads that are read to their end.
WHOLE_READ_BYTES = 262_144
HEAD_END = b"\r\n\r\n"
ID_HEADER = b"x-request-id:"
LENGTH_HEADER = b"content-length:"
# Stands for the id of the request in the bytes of a script.
ID_MARK = b"{id}"
# Value of SO_LINGER by which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
RESET_PAUSE_S = 0.02


class End(enum.Enum):
    """What an upstream does after the last byte that it writes."""

    RESET = "a reset"
    HALF_CLOSE = "a half-close"
    HALF_CLOSE_AND_RESET = "a half-close and a reset"
    SILENCE = "nothing"
    NEXT_REQUEST = "the next request, after the rest of the upload"


class Script:
    """What an upstream does with a request.

    Attributes:
        body_bytes_read: Bytes of the upload that it reads before it answers; None for all.
        answer: Bytes that it writes; ID_MARK stands for the id of the request.
        pause_s: Time between these bytes and the end, in seconds.
        end: What it does then.
    """

    __slots__ = ("body_bytes_read", "answer", "pause_s", "end")

    def __init__(
        self, body_bytes_read: int | None, answer: bytes, *, pause_s: float, end: End
    ) -> None:
        self.body_bytes_read = body_bytes_read
        self.answer = answer
        self.pause_s = pause_s
        self.end = end


class RequestReader:
    """Reads the requests of a connection, as far as it is told to.

    Attributes:
        connection: The connection.
        unparsed: Bytes that were read and are not used yet.
        body_left: Bytes of the upload that were not used yet.
    """

    __slots__ = ("connection", "unparsed", "body_left")

    def __init__(self, connection: socket.socket) -> None:
        self.connection = connection
        self.unparsed = bytearray()
        self.body_left = 0

    async def read_head(self) -> bytes:
        """Return the id in the next head, which the upload before it must have been read for."""
        while HEAD_END not in self.unparsed:
            await self._receive(READ_BYTES)
        head, _, rest = bytes(self.unparsed).partition(HEAD_END)
        self.unparsed = bytearray(rest)
        self.body_left = int(_header(head, LENGTH_HEADER) or b"0")
        return _header(head, ID_HEADER)

    async def read_body(self, size: int | None) -> None:
        """Read bytes of the upload; None for all that are left."""
        left, read_bytes = self.body_left, READ_BYTES
        if size is None:
            read_bytes = WHOLE_READ_BYTES
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, read_bytes)
        else:
            left = min(size, left)
        while left:
            if not self.unparsed:
                await self._receive(read_bytes)
            used = min(left, len(self.unparsed))
            del self.unparsed[:used]
            left -= used
            self.body_left -= used

    async def _receive(self, size: int) -> None:
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self.connection, size)
        if not data:
            raise ConnectionResetError("the client closed the connection")
        self.unparsed += data


class EarlyAnswerServer:
    """The upstream.

    Args:
        script: What it does with each request.

    Attributes:
        address: Host and port that it listens on, or empty before ``start``.
        connections_of_requests: Number of the connection of each request, from 1.
    """

    __slots__ = ("script", "address", "connections_of_requests", "listener", "tasks")

    def __init__(self, script: Script) -> None:
        self.script = script
        self.address = ""
        self.connections_of_requests: list[int] = []
        self.listener: socket.socket | None = None
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = socket.socket()
        # Set before the socket listens, so that connections begin with a small window.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.listener.bind((HOST, 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.tasks.append(asyncio.ensure_future(self._accept()))

    async def close(self) -> None:
        """Close the port and all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.listener.close()

    async def _accept(self) -> None:
        """Serve each connection in a task of its own."""
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            # The first task accepts connections, each of the others serves one.
            number = len(self.tasks)
            self.tasks.append(asyncio.ensure_future(self._serve(connection, number)))

    async def _serve(self, connection: socket.socket, number: int) -> None:
        """Answer the requests of a connection as the script says."""
        reader = RequestReader(connection)
        with connection, contextlib.suppress(ConnectionError):
            while True:
                request_id = await reader.read_head()
                self.connections_of_requests.append(number)
                await reader.read_body(self.script.body_bytes_read)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(connection, self.script.answer.replace(ID_MARK, request_id))
                await asyncio.sleep(self.script.pause_s)
                if self.script.end is not End.NEXT_REQUEST:
                    await _end(connection, self.script.end)
                await reader.read_body(None)


async def _end(connection: socket.socket, end: End) -> None:
    """Close a connection, or keep it without a word, until the task is cancelled."""
    if end in (End.HALF_CLOSE, End.HALF_CLOSE_AND_RESET):
        connection.shutdown(socket.SHUT_WR)
        await asyncio.sleep(RESET_PAUSE_S)
    if end in (End.RESET, End.HALF_CLOSE_AND_RESET):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()
    await asyncio.Event().wait()


def _header(head: bytes, name: bytes) -> bytes:
    """Return the value of a header, or no bytes."""
    lines = head.split(b"\r\n")[1:]
    values = (line[len(name) :].strip() for line in lines if line.lower().startswith(name))
    return next(values, b"")
