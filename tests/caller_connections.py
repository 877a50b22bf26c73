"""Builds a connection of a caller without a socket."""

from __future__ import annotations

import asyncio
import itertools

from aiohttp import web

from tests import intake_builders
from yuccahitch import clock, events
from yuccahitch.resources import publication
from yuccahitch.tasks import caller_connection

HEADER_TIMEOUT_S = 0.3
MAX_BODY_BYTES = 1_000_000
# Bytes that come at once.
PIECE_BYTES = 65_536
# Time in which the server handles what it can, in seconds.
STEP_S = 0.05
# Turns of the loop after which the server has handled what it can.
MAX_TURNS = 100_000


class FakeTransport(asyncio.Transport):
    """A transport that records what is written to it, and whether it reads.

    Attributes:
        protocol: The connection.
        written: Bytes that were written.
        is_paused: Whether reading is paused.
        is_closed: Whether it was closed.
    """

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.written = b""
        self.is_paused = False
        self.is_closed = False

    def get_extra_info(self, name, default=None):
        """Return the address of the caller."""
        return ("10.0.0.1", 5000) if name == "peername" else default

    def write(self, data):
        """Record bytes."""
        self.written += bytes(data)

    def is_closing(self):
        """Return whether it was closed."""
        return self.is_closed

    def set_write_buffer_limits(self, high=None, low=None):
        """Do nothing: all that is written is taken at once."""

    def get_write_buffer_size(self):
        """Return that nothing waits to be sent."""
        return 0

    def pause_reading(self):
        """Record that reading is paused."""
        self.is_paused = True

    def resume_reading(self):
        """Record that reading goes on."""
        self.is_paused = False

    def close(self):
        """Record the end, and tell the connection."""
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def abort(self):
        """Close."""
        self.close()


class ConnectionUnderTest:
    """A connection whose requests are answered when the test says so.

    Args:
        intake: Grants memory and connections; None makes one.

    Attributes:
        intake: Grants memory and connections.
        answering: Set when answers may be written.
        connection: The connection, or None before ``open``.
        transport: What it reads from and writes to.
    """

    def __init__(self, intake=None):
        log = events.Log("connection", events.HybridClock(clock.SystemClock().wall))
        self.intake = intake or intake_builders.an_intake(log)
        self.answering = asyncio.Event()
        self.connection = None
        self.transport = None

    async def open(self):
        """Open the connection."""
        limits = publication.CallerLimits(header_timeout_s=HEADER_TIMEOUT_S)
        listener = caller_connection.CallerListener(
            self._answer,
            caller_intake=self.intake,
            limits=lambda: limits,
            access_log=None,
            handler_cancellation=True,
        )
        self.connection = listener()
        self.transport = FakeTransport(self.connection)
        self.connection.connection_made(self.transport)

    def parsed_bytes(self):
        """Return how many bytes of the body of the last request have been parsed."""
        return 0 if self.connection.body is None else self.connection.body.total_bytes

    async def close(self):
        """Close the connection, and let the server end its task."""
        self.transport.close()
        await asyncio.sleep(STEP_S)

    async def receive(self, data):
        """Receive bytes, and let the server handle them."""
        self.connection.data_received(data)
        await asyncio.sleep(STEP_S)

    def answer_count(self):
        """Return how many requests were answered."""
        return self.transport.written.count(b"HTTP/1.1 200")

    async def _answer(self, request):
        """Read the body, wait until answers may be written, and answer."""
        with self.intake.holding("10.0.0.1", request.protocol.abort) as held:
            await caller_connection.read_body(
                request, MAX_BODY_BYTES, caller_intake=self.intake, held=held
            )
            await self.answering.wait()
        return web.Response(text="done")


async def most_parsed_in_turn(callers, size):
    """Let the server handle what came, and return the most bytes of bodies in a turn of the loop.

    Args:
        callers: The connections.
        size: Bytes of all bodies.
    """
    counts = [sum(caller.parsed_bytes() for caller in callers)]
    while counts[-1] < size and len(counts) < MAX_TURNS:
        await asyncio.sleep(0)
        counts.append(sum(caller.parsed_bytes() for caller in callers))
    assert counts[-1] == size, counts[-1]
    return max(later - earlier for earlier, later in itertools.pairwise([0, *counts]))


def a_request_in_chunks(count):
    """Return a request with a body in some chunks of one byte each."""
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"1\r\nx\r\n" * count


def a_request(size):
    """Return a request with a body of a size."""
    return b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size
