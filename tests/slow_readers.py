"""Callers that ask for long answers and read them slowly, or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket

import aiohttp

# Receive buffer of a caller, in bytes.
RECEIVE_BUFFER_BYTES = 4096
READ_PERIOD_S = 0.5
# Bytes that a caller reads in each period, by its pace.
PACES = {"slowly": 2048, "nothing": 0}
# Bytes of an answer that are enough for its status line.
STATUS_BYTES = 256
BUSY_STATUSES = frozenset((408, 421, 429, 503))
_request_numbers = itertools.count(1)


def reading_session():
    """Return an HTTP session that receives little more of an answer than is read of it."""
    connector = aiohttp.TCPConnector(socket_factory=_make_socket)
    return aiohttp.ClientSession(connector=connector, read_bufsize=RECEIVE_BUFFER_BYTES)


def _make_socket(address):
    """Return a socket with a small receive buffer."""
    family, kind, protocol, _, _ = address
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return connection


class SlowReader:
    """A caller that reads its answer piece by piece.

    Attributes:
        request_id: Id of its request.
        received: Bytes of the answer that it has read, of which the first few are kept.
        size: Number of bytes that it has read.
        is_closed: Whether the server has ended the connection.
        connection: Its socket.
    """

    __slots__ = ("request_id", "received", "size", "is_closed", "connection")

    def __init__(self, source=None):
        self.request_id = f"slow{next(_request_numbers)}"
        self.received = bytearray()
        self.size = 0
        self.is_closed = False
        self.connection = socket.socket()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.connection.setblocking(False)
        if source:
            self.connection.bind((source, 0))

    async def ask(self, host, port, request):
        """Connect, and send a request.

        Args:
            host: Address of the server.
            port: Its port.
            request: The bytes of the request.
        """
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.connection, (host, port))
        await loop.sock_sendall(self.connection, request)

    async def read(self, count):
        """Read at most some bytes, and return how many came; 0 at the end of the connection."""
        loop = asyncio.get_running_loop()
        try:
            data = await loop.sock_recv(self.connection, count)
        except OSError:
            data = b""
        self.is_closed = not data
        self.size += len(data)
        self.received += data[: STATUS_BYTES - len(self.received)]
        return len(data)

    async def read_on(self, count):
        """Read some bytes in each period until the server closes the connection."""
        while not self.is_closed:
            await asyncio.sleep(READ_PERIOD_S)
            if count:
                await self.read(count)

    def status(self):
        """Return the HTTP status of the answer, or 0 if none has come."""
        words = self.received.split(None, 2)
        return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0

    def close(self):
        """Close the connection."""
        self.connection.close()


class SlowCrowd:
    """Callers that each ask for an answer and read it slowly until ``close``.

    Args:
        host: Address of the server.
        port: Its port.
        path: Path that they ask for.
        headers: Header lines of each request, without the end of the head.
        body: Body of each request; one without a body is a GET request.
        sources: Addresses that they connect from, in turn; without any, the system chooses.

    Attributes:
        readers: The callers.
        tasks: What they do.
    """

    __slots__ = ("host", "port", "path", "headers", "body", "sources", "readers", "tasks")

    def __init__(self, host, port, *, path, headers, body=b"", sources=()):
        self.host = host
        self.port = port
        self.path = path
        self.headers = headers
        self.body = body
        self.sources = itertools.cycle(sources or (None,))
        self.readers = []
        self.tasks = []

    async def send(self, pace, count):
        """Ask as a number of callers at once, and go on reading at a pace."""
        new_readers = [SlowReader(next(self.sources)) for _ in range(count)]
        self.readers += new_readers
        self.tasks += [
            asyncio.ensure_future(self._ask_and_read(reader, PACES[pace])) for reader in new_readers
        ]

    async def close(self):
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for reader in self.readers:
            reader.close()

    def refused_ids(self):
        """Return the ids of the requests that were refused as not run."""
        return {item.request_id for item in self.readers if item.status() in BUSY_STATUSES}

    def request(self, request_id):
        """Return the bytes of a request."""
        lines = [f"{'POST' if self.body else 'GET'} {self.path} HTTP/1.1", *self.headers]
        lines += [f"X-Request-Id: {request_id}"]
        if self.body:
            lines += [f"Content-Length: {len(self.body)}"]
        return "\r\n".join([*lines, "", ""]).encode() + self.body

    async def _ask_and_read(self, reader, count):
        with contextlib.suppress(OSError):
            await reader.ask(self.host, self.port, self.request(reader.request_id))
            await reader.read_on(count)
