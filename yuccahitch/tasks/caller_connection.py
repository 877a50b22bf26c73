"""Connections of callers: bounded in number, and in what they send before they get an answer."""

from __future__ import annotations

import asyncio
import re
import socket
import typing

import aiohttp
from aiohttp import web, web_protocol

from yuccahitch.controllers.intake import holding
from yuccahitch.resources import publication
from yuccahitch.tasks import answer_memory, intake, tcp_connection

# Bytes that are read from a connection at once.
READ_BYTES = 65_536
# Lines of a request that are parsed before other tasks have their turn; a chunk takes two of them.
LINES_PER_TURN = 256
SLICE = re.compile(rb"(?:[^\n]*\n){%d}" % LINES_PER_TURN)
# Bytes that are read at once from a connection that has sent very short lines.
SHORT_LINES_READ_BYTES = 4096
# Bytes that the kernel receives and keeps unread for a connection; it doubles the number.
RECEIVE_BUFFER_BYTES = 65_536
# Bytes that the kernel keeps of what a caller has not received; it doubles the number.
SEND_BUFFER_BYTES = 65_536
# Bytes of an answer that wait in the transport before writing pauses.
WRITE_BUFFER_BYTES = 32_768
# Bytes of a body that are read ahead before reading pauses.
READ_AHEAD_BYTES = 32_768
# Bytes that a body takes before they are read from it: one read and what is read ahead.
BUFFER_BYTES = READ_BYTES + 2 * READ_AHEAD_BYTES
# Bytes of a head beyond the published limit of its headers: its first line and its line ends.
HEAD_EXTRA_BYTES = 131_072
# Time for a head as a multiple of the published limit, for packets that come late.
HEAD_TIME_FACTOR = 2.0
# Time for which the rest of a refused body is read and dropped, in seconds.
LINGER_S = 2.0

Limits = typing.Callable[[], publication.CallerLimits]


class CallerConnection(web_protocol.RequestHandler):
    """One connection of a caller.

    Reading pauses while a further request waits behind the one that is being answered. What has
    come of a head counts in the budget, and a head that takes too long closes the connection. Many
    short lines are parsed a slice at a time.

    Attributes:
        caller_intake: Grants memory and connections.
        limits: Returns the limits of callers that are in force.
        idle_since: Since when no request is being handled, in monotonic seconds, or None.
        body: Body of the last request whose head has come, or None.
        is_chunked: Whether that body comes in chunks.
        unparsed: Bytes that have come and wait for their turn to be parsed.
        head: What is held of a head that is coming in, or None.
        head_timer: Closes the connection when the head takes too long, or None.
        is_held: Whether reading is paused until the next request is handled.
        answer: Counts what the answer that is being written takes, or None.
    """

    __slots__ = (
        "caller_intake",
        "limits",
        "idle_since",
        "body",
        "is_chunked",
        "unparsed",
        "head",
        "head_timer",
        "is_held",
        "answer",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        caller_intake: intake.Intake,
        limits: Limits,
        **options: typing.Any,
    ) -> None:
        super().__init__(manager, **options)
        self.caller_intake = caller_intake
        self.limits = limits
        self.idle_since: float | None = None
        self.body: aiohttp.StreamReader | None = None
        self.is_chunked = False
        self.unparsed = bytearray()
        self.head: holding.Holding | None = None
        self.head_timer: asyncio.TimerHandle | None = None
        self.is_held = False
        self.answer: answer_memory.AnswerMemory | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; one too many closes another, or this one."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        accepted = transport.get_extra_info("socket")
        if accepted is not None:
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.idle_since = self.caller_intake.time.now()
        self.caller_intake.add_connection(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection holds."""
        self._end_head()
        self.unparsed.clear()
        self.caller_intake.turns.remove(self)
        self.caller_intake.remove_connection(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what has come, or let it wait for its turn if that takes long."""
        if self.unparsed or (self._has_lines() and data.count(b"\n") > LINES_PER_TURN):
            self.unparsed += data
            self.transport.max_size = SHORT_LINES_READ_BYTES
            self._pause_transport_reading()
            self.caller_intake.turns.add(self)
        else:
            self._parse(data)

    def parse_slice(self) -> bool:
        """Parse some of the bytes that wait, and return whether more can be parsed now."""
        if self.is_held or self._reading_paused or self._buffer_paused:
            return False
        matched = SLICE.match(self.unparsed)
        size = len(self.unparsed) if matched is None else matched.end()
        piece = bytes(self.unparsed[:size])
        del self.unparsed[:size]
        self._parse(piece)
        if not self.unparsed:
            self._release_reading()
        return bool(self.unparsed)

    def _parse(self, data: bytes) -> None:
        """Parse bytes; count them if they are part of a head, or of what goes with a body."""
        was_between_requests = self._is_between_requests()
        body_bytes = 0 if self.body is None else self.body.total_bytes
        super().data_received(data)
        if self._messages:
            message, self.body = self._messages[-1]
            self.is_chunked = getattr(message, "chunked", False)
            self._end_head()
            self._hold_reading()
        elif data and (was_between_requests or self.body.total_bytes == body_bytes):
            self._extend_head(len(data))
        elif self.head is not None:
            self._end_head()

    def pause_writing(self) -> None:
        """Let the answer count as waiting for the caller."""
        super().pause_writing()
        if self.answer is not None:
            self.answer.begin_lag()

    def resume_writing(self) -> None:
        """Let the answer no longer count as waiting."""
        super().resume_writing()
        if self.answer is not None:
            self.answer.end_lag()

    def begin_answer(self, answer: answer_memory.AnswerMemory) -> None:
        """Count what the caller lets wait for the answer that is to be written."""
        answer.unsent_bytes = self._unsent_bytes
        self.answer = answer

    def begin_request(self) -> None:
        """Note that a request is being handled, and read on unless another one waits."""
        self.idle_since = None
        self._end_head()
        if self.is_held and not self._messages:
            self.is_held = False
            self._release_reading()

    def end_request(self) -> None:
        """Note that a request has been answered."""
        self.answer = None
        self.idle_since = self.caller_intake.time.now()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _unsent_bytes(self) -> int:
        """Return how many bytes of what was written the caller's system has not received."""
        return 0 if self.transport is None else tcp_connection.unsent_bytes(self.transport)

    def _address(self) -> str:
        """Return the IP address of the caller."""
        return str(self.peername[0]) if self.peername else ""

    def _is_between_requests(self) -> bool:
        """Return whether what comes now is the head of a request."""
        return self.body is None or self.body.is_eof()

    def _hold_reading(self) -> None:
        """Pause reading while one request is handled or begins and another one waits."""
        if self._current_request is not None or len(self._messages) > 1:
            self.is_held = True
            self._pause_transport_reading()

    def _release_reading(self) -> None:
        """Read on, unless the parser or a body that is read ahead pauses reading too."""
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Read on, unless a request waits; what has come is parsed first."""
        if self.unparsed:
            self.caller_intake.turns.add(self)
        elif not self.is_held:
            super()._resume_transport_reading()

    def _has_lines(self) -> bool:
        """Return whether what comes now is parsed line by line."""
        return self.is_chunked or self._is_between_requests()

    def _extend_head(self, count: int) -> None:
        """Count bytes of a head, or of what goes with chunks; too many close the connection."""
        limits = self.limits()
        if self.head is None:
            self.head = self.caller_intake.open(self._address(), self.abort)
            self.head_timer = asyncio.get_running_loop().call_later(
                limits.header_timeout_s * HEAD_TIME_FACTOR, self._close_unfinished_head
            )
        is_small = self.head.size + count <= limits.max_header_bytes + HEAD_EXTRA_BYTES
        if not is_small or not self.caller_intake.try_take(self.head, count):
            self._close_for_head()

    def _close_unfinished_head(self) -> None:
        """Close the connection if it still sends a head, as that takes too long."""
        if self._is_between_requests() and not self._messages:
            self._close_for_head()

    def _close_for_head(self) -> None:
        """Close the connection because of the head that it sends."""
        self._end_head()
        self.caller_intake.count_closed_head()
        self.abort()

    def _end_head(self) -> None:
        """Give back what is held of a head."""
        if self.head is not None:
            self.head_timer.cancel()
            self.caller_intake.close(self.head)
            self.head = None


class CallerListener(web.Server):
    """Makes the connections of callers.

    Args:
        handler: Handles a request.
        caller_intake: Grants memory and connections.
        limits: Returns the limits of callers that are in force.
        options: Options of the HTTP server and its parser.

    Attributes:
        answer: The handler; requests reach it by way of ``_handle``.
    """

    __slots__ = ("caller_intake", "limits", "answer")

    def __init__(
        self,
        handler: typing.Callable[..., typing.Any],
        *,
        caller_intake: intake.Intake,
        limits: Limits,
        **options: typing.Any,
    ) -> None:
        options = {"read_bufsize": READ_AHEAD_BYTES, "lingering_time": LINGER_S} | options
        super().__init__(self._handle, **options)
        self.caller_intake = caller_intake
        self.limits = limits
        self.answer = handler

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            loop=self._loop,
            caller_intake=self.caller_intake,
            limits=self.limits,
            **self._kwargs,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request, and keep the connection's state up to date."""
        connection = request.protocol
        connection.begin_request()
        try:
            return await self.answer(request)
        finally:
            connection.end_request()


class CallerRunner(web.AppRunner):
    """Runs an application with bounded connections.

    Args:
        app: The application.
        caller_intake: Grants memory and connections.
        limits: Returns the limits of callers.
        options: Options of the HTTP server and its parser.
    """

    __slots__ = ("caller_intake", "limits")

    def __init__(
        self,
        app: web.Application,
        *,
        caller_intake: intake.Intake,
        limits: Limits,
        **options: typing.Any,
    ) -> None:
        super().__init__(app, **options)
        self.caller_intake = caller_intake
        self.limits = limits

    async def _make_server(self) -> web.Server:
        # aiohttp has no other way to choose the class of an application's connections.
        made = await super()._make_server()
        return CallerListener(
            made.request_handler,
            caller_intake=self.caller_intake,
            limits=self.limits,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            **made._kwargs,
        )


def peer_address(request: web.BaseRequest) -> str:
    """Return the IP address that a request comes from."""
    return request.remote or ""


async def read_body(
    request: web.BaseRequest, max_bytes: int, *, caller_intake: intake.Intake, held: holding.Holding
) -> bytes | None:
    """Return a request's body, or None if it is larger than the limit.

    Args:
        request: The request.
        max_bytes: Largest size of the body.
        caller_intake: Grants the memory.
        held: What is held for the request; the body and its copies are added to it.

    Raises:
        errors.GatewayError: When there is no memory for the body.
    """
    if (request.content_length or 0) > max_bytes:
        return None
    if not request.content.is_eof():
        caller_intake.take_at_once(held, min(BUFFER_BYTES, request.content_length or BUFFER_BYTES))
    body = bytearray()
    while received := await request.content.readany():
        await caller_intake.take(held, len(received) * intake.INCOMING_COPIES)
        body += received
        if len(body) > max_bytes:
            return None
    await caller_intake.take_running(held, len(body))
    return bytes(body)
