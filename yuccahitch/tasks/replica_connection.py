"""A connection to an upstream of a published route, and the heads of the answers on it.

It uses h11 because aiohttp's client cannot skip a stray answer on a reused connection, and cannot
distinguish an answer that ends with its connection from one cut by a reset.
"""

from __future__ import annotations

import asyncio
import typing

import h11

from yuccahitch.tasks import tcp_connection

# How long a connection may be reused after an answer whose headers give no time.
DEFAULT_KEEP_ALIVE_S = 4.0
# Subtracted from the keep-alive time that the upstream announces, so that a connection is not
# reused just as the upstream closes it.
KEEP_ALIVE_MARGIN_S = 1.0
# Requests that one connection carries; their ids are remembered.
MAX_REQUESTS = 256
# Events of an answer that are read before other tasks get their turn.
EVENTS_PER_TURN = 64
CONNECTION_ERRORS = (OSError, h11.RemoteProtocolError, h11.LocalProtocolError)


class InvalidAnswerError(Exception):
    """Bytes that can't be part of the answer; the upstream that sent them is still there."""


class Connection:
    """A connection to an upstream with its HTTP/1.1 state.

    It carries a request id once at most: an upstream may write an answer a second time, which only
    the id tells from the answer to another request.

    Args:
        wire_protocol: The asyncio protocol of the open connection.
        number: Number of the connection in the log.

    Attributes:
        number: Number of the connection in the log.
        protocol: The asyncio protocol that reads and writes bytes.
        http_state: The h11 state machine that encodes requests and parses answers.
        reusable_until: Time until which another request may be sent, in monotonic seconds; set
            from the headers of each answer.
        sent_id_hashes: Hashes of the ids of the requests that were sent, up to MAX_REQUESTS. Two
            ids of one hash count as the same.
        received_bytes: Bytes received since the last request was sent.
        events_in_turn: Number of events read since other tasks had their turn.
        born_ms: Start of the upstream at the other end, in milliseconds since the Unix epoch; 0 if
            it doesn't tell, None if it was not asked.
    """

    __slots__ = (
        "number",
        "protocol",
        "http_state",
        "reusable_until",
        "sent_id_hashes",
        "received_bytes",
        "events_in_turn",
        "born_ms",
    )

    def __init__(self, wire_protocol: tcp_connection.TcpConnection, *, number: int) -> None:
        self.number = number
        self.protocol = wire_protocol
        self.http_state = h11.Connection(h11.CLIENT)
        self.reusable_until = 0.0
        self.sent_id_hashes: set[int] = set()
        self.received_bytes = 0
        self.events_in_turn = 0
        self.born_ms: int | None = None

    @property
    def earlier_requests(self) -> int:
        """Return the number of requests that were sent before the last one."""
        return max(0, len(self.sent_id_hashes) - 1)

    def may_carry(self, request_id: str) -> bool:
        """Return whether a request may be sent, as its id is new on this connection."""
        return hash(request_id) not in self.sent_id_hashes

    def has_carried(self) -> bool:
        """Return whether the connection has carried a request."""
        return bool(self.sent_id_hashes)

    def is_used_up(self) -> bool:
        """Return whether the connection has carried MAX_REQUESTS."""
        return len(self.sent_id_hashes) >= MAX_REQUESTS

    def send(self, request: h11.Request, body: bytes, *, request_id: str) -> None:
        """Send a request that the connection may carry.

        Its headers and body go out in one write.

        Args:
            request: Head of the request.
            body: Body of the request.
            request_id: Id that the answer must name.
        """
        self.sent_id_hashes.add(hash(request_id))
        self.received_bytes = 0
        self._write(request, body)

    def send_unnamed(self, request: h11.Request) -> None:
        """Send a request that has neither an id nor a body."""
        self._write(request, b"")

    def record_unnamed(self) -> None:
        """Count a request without an id whose answer may come again."""
        self.sent_id_hashes.add(hash(""))

    def is_ready(self) -> bool:
        """Return whether the last answer ended, and the connection can carry another request."""
        both_done = (
            self.http_state.our_state is h11.DONE and self.http_state.their_state is h11.DONE
        )
        return both_done and not self.http_state.trailing_data[0]

    def _write(self, request: h11.Request, body: bytes) -> None:
        """Write a request to the socket, its headers and body at once."""
        segments = [self.http_state.send(request)]
        if body:
            segments.append(self.http_state.send(h11.Data(data=body)))
        segments.append(self.http_state.send(h11.EndOfMessage()))
        self.protocol.write(b"".join(segment for segment in segments if segment))

    async def next_event(self) -> typing.Any:
        """Return the next h11 event of the answer, reading from the connection as needed.

        Bytes that have arrived may hold many small events, so other tasks get a turn in between.
        """
        self.events_in_turn += 1
        if self.events_in_turn > EVENTS_PER_TURN:
            self.events_in_turn = 0
            await asyncio.sleep(0)
        while True:
            event = self.http_state.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self.protocol.read()
            self.received_bytes += len(data)
            self.http_state.receive_data(data)

    def skip_stray_answer(self, request: h11.Request, body: bytes) -> int:
        """Prepare to parse the next answer to a request after a stray one; sends nothing.

        Feeds the request and the unparsed bytes to a new h11 state, without writing to the
        connection.

        Returns:
            Size of the stray answers so far, in bytes.
        """
        unread, _ = self.http_state.trailing_data
        self.http_state = h11.Connection(h11.CLIENT)
        self.http_state.send(request)
        if body:
            self.http_state.send(h11.Data(data=body))
        self.http_state.send(h11.EndOfMessage())
        if unread:
            self.http_state.receive_data(unread)
        return self.received_bytes - len(unread)


class ResponseHead:
    """Status and headers of an answer as they were received.

    Attributes:
        status: HTTP status.
        header_pairs: Names and values of the headers as received.
        headers: Header values by lower-case name.
    """

    __slots__ = ("status", "header_pairs", "headers")

    def __init__(self, event: h11.Response) -> None:
        self.status = event.status_code
        self.header_pairs = [
            (raw_name.decode("latin-1"), raw_value.decode("latin-1"))
            for raw_name, raw_value in event.headers.raw_items()
        ]
        self.headers = {name.lower(): value for name, value in self.header_pairs}

    def content_length(self) -> int:
        """Return the announced size of the body in bytes; 0 if there is none."""
        value = self.headers.get("content-length", "")
        return int(value) if value.isdigit() else 0


def keep_alive_s(headers: dict[str, str]) -> float:
    """Return how long a connection may be reused after an answer with these headers, in seconds."""
    if "close" in headers.get("connection", "").lower():
        return 0.0
    for parameter in headers.get("keep-alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S
