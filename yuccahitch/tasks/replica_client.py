"""The HTTP client for upstreams of published routes, over pooled connections.

It uses h11 because aiohttp's client cannot skip a stray answer on a reused connection, and cannot
distinguish an answer that ends with its connection from one cut by a reset.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import typing

import h11

from yuccahitch import clock, errors, events
from yuccahitch.messages import actions, answers, upstream_notices
from yuccahitch.platform import requests as platform_requests
from yuccahitch.tasks import answer_stream, mailbox, tcp_connection, upstream_client

STEP = "send"
CONNECT_TIMEOUT_S = 0.5
# How long a connection may be reused after an answer whose headers give no time.
DEFAULT_KEEP_ALIVE_S = 4.0
# Subtracted from the keep-alive time that the upstream announces, so that a connection is not
# reused just as the upstream closes it.
KEEP_ALIVE_MARGIN_S = 1.0
MAX_IDLE_PER_ADDRESS = 64
MAX_BUFFERED_ANSWER_BYTES = 262_144
# Answers read for one request, stray ones included, before the connection is given up.
MAX_ANSWERS_PER_REQUEST = 3
# Interim responses (1xx) that are read before an answer.
MAX_INTERIM_RESPONSES = 8
# Size up to which the rest of an answer that nobody gets is read, to reuse the connection.
MAX_DISCARDED_BYTES = 262_144
# Time for reading that rest, in seconds.
DISCARD_TIMEOUT_S = 0.25
# Answers from this status on, failures and refusals, may lack the id of their request.
MIN_UNNAMED_STATUS = 300
# Largest event of a stream, in bytes.
MAX_EVENT_BYTES = 1_048_576
CONNECTION_ERRORS = (OSError, h11.RemoteProtocolError, h11.LocalProtocolError)


class Connection:
    """A connection to an upstream with its HTTP/1.1 state.

    Args:
        wire_protocol: The asyncio protocol of the open connection.

    Attributes:
        protocol: The asyncio protocol that reads and writes bytes.
        http_state: The h11 state machine that encodes requests and parses answers.
        reusable_until: Time until which another request may be sent, in monotonic seconds; set
            from the headers of each answer.
        earlier_requests: Number of requests completed on the connection.
    """

    __slots__ = ("protocol", "http_state", "reusable_until", "earlier_requests")

    def __init__(self, wire_protocol: tcp_connection.TcpConnection) -> None:
        self.protocol = wire_protocol
        self.http_state = h11.Connection(h11.CLIENT)
        self.reusable_until = 0.0
        self.earlier_requests = 0

    def send(self, request: h11.Request, body: bytes) -> None:
        """Send a request; its headers and body go out in one write."""
        segments = [self.http_state.send(request)]
        if body:
            segments.append(self.http_state.send(h11.Data(data=body)))
        segments.append(self.http_state.send(h11.EndOfMessage()))
        self.protocol.write(b"".join(segment for segment in segments if segment))

    async def next_event(self) -> typing.Any:
        """Return the next h11 event of the answer, reading from the connection as needed."""
        while True:
            event = self.http_state.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.http_state.receive_data(await self.protocol.read())

    def skip_stray_answer(self, request: h11.Request, body: bytes) -> None:
        """Prepare to parse the next answer to a request after a stray one; sends nothing.

        Feeds the request and the unparsed bytes to a new h11 state, without writing to the
        connection.
        """
        unread, _ = self.http_state.trailing_data
        self.http_state = h11.Connection(h11.CLIENT)
        self.http_state.send(request)
        if body:
            self.http_state.send(h11.Data(data=body))
        self.http_state.send(h11.EndOfMessage())
        if unread:
            self.http_state.receive_data(unread)


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


class ReplicaClient:
    """Owns the connections to upstreams that are reached by their address.

    Args:
        time: Source of monotonic time.
        log: Event log.
        on_notice: Called with what the head of each answer says of its upstream.

    Attributes:
        inbox: Messages for this task, ``upstream_client.OpenDispatch``.
        children: Tasks of the running attempts.
        pools: Idle connections by address, the most recently used one last.
        opened_total: Connections that this client tried to open.
    """

    __slots__ = ("time", "log", "on_notice", "inbox", "children", "pools", "opened_total")

    def __init__(
        self,
        *,
        time: clock.Clock,
        log: events.Log,
        on_notice: typing.Callable[[upstream_notices.UpstreamNotice], None],
    ) -> None:
        self.time = time
        self.log = log
        self.on_notice = on_notice
        self.inbox = mailbox.Mailbox()
        self.children = mailbox.ChildTasks()
        self.pools: dict[str, collections.deque[Connection]] = {}
        self.opened_total = 0

    async def run(self) -> None:
        """Start an attempt for each message of the inbox; close idle connections when cancelled."""
        try:
            while True:
                _handle(await self.inbox.get(), self)
        finally:
            await self.children.stop()
            for pool in self.pools.values():
                for connection in pool:
                    connection.protocol.abort()

    async def run_attempt(
        self, action: actions.Dispatch, stream: answer_stream.AnswerStream
    ) -> None:
        """Send a request to its upstream and put the answer, or the failure, into the stream.

        The connection goes back to the pool after a complete answer and is closed otherwise.
        """
        try:
            connection = await self._take_connection(action)
        except (OSError, TimeoutError) as error:
            await stream.put(
                _failure(action, errors.Code.UPSTREAM_REFUSED, error, may_have_run=False)
            )
            return
        answer_complete = False
        try:
            exchange = _Exchange(action, stream, connection, self)
            answer_complete = await exchange.run(self.time.now())
        except CONNECTION_ERRORS as error:
            # Bytes that are no answer don't show that the upstream crashed; a lost connection does.
            crashed = connection.protocol.eof_reached or connection.protocol.closed
            await stream.put(_failure(action, errors.Code.UPSTREAM_FAILED, error, crashed=crashed))
        finally:
            if not answer_complete or not self._return_to_pool(action, connection):
                connection.protocol.abort()

    async def _take_connection(self, action: actions.Dispatch) -> Connection:
        """Return a reusable connection from the pool, or open a new one."""
        pool = self.pools.get(action.address)
        now = self.time.now()
        while pool:
            connection = pool.pop()
            if connection.reusable_until > now and connection.protocol.is_idle():
                return connection
            connection.protocol.abort()
        host, _, port = action.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened_total += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, wire_protocol = await loop.create_connection(
                tcp_connection.TcpConnection, host.strip("[]"), int(port)
            )
        return Connection(wire_protocol)

    def _return_to_pool(self, action: actions.Dispatch, connection: Connection) -> bool:
        """Put a connection back into the pool; return False if it cannot be reused."""
        http_state = connection.http_state
        both_done = http_state.our_state is h11.DONE and http_state.their_state is h11.DONE
        if not both_done or http_state.trailing_data[0] or not connection.protocol.is_idle():
            return False
        if connection.reusable_until <= self.time.now():
            return False
        http_state.start_next_cycle()
        pool = self.pools.setdefault(action.address, collections.deque(maxlen=MAX_IDLE_PER_ADDRESS))
        if len(pool) == MAX_IDLE_PER_ADDRESS:
            pool.popleft().protocol.abort()
        connection.earlier_requests += 1
        pool.append(connection)
        return True

    def close_idle_connections(self, now: float) -> None:
        """Close the pooled connections that expired or were closed by the upstream.

        Called periodically by the process.
        """
        for address, pool in list(self.pools.items()):
            while pool and (pool[0].reusable_until <= now or not pool[0].protocol.is_idle()):
                pool.popleft().protocol.abort()
            if not pool:
                del self.pools[address]


class _Exchange:
    """Sends one request on one connection and relays the answer.

    Args:
        action: The request and its upstream.
        stream: Receives the parts of the answer, or a failure.
        connection: Connection that the request is sent on.
        client: The client that makes the attempt.

    Attributes:
        stray_answers: Number of answers received that belong to other requests.
    """

    __slots__ = ("action", "stream", "connection", "client", "stray_answers")

    def __init__(
        self,
        action: actions.Dispatch,
        stream: answer_stream.AnswerStream,
        connection: Connection,
        client: ReplicaClient,
    ) -> None:
        self.action = action
        self.stream = stream
        self.connection = connection
        self.client = client
        self.stray_answers = 0

    async def run(self, now: float) -> bool:
        """Send the request and relay the answer.

        Args:
            now: Monotonic seconds.

        Returns:
            Whether the answer was read to its end, so that the connection may be reused.

        Raises:
            OSError: When the connection breaks before the end of the answer.
            h11.RemoteProtocolError: When the answer is not valid HTTP.
        """
        request = h11.Request(
            method=self.action.request.method,
            target=self.action.request.path,
            headers=platform_requests.encode(self.action, now),
        )
        self.connection.send(request, self.action.request.body)
        response_head = await self._read_head(request)
        self.connection.reusable_until = now + _keep_alive_s(response_head.headers)
        code = platform_requests.rejection_code(response_head.status, response_head.headers)
        if code is not errors.Code.UPSTREAM_MOVED:
            self._pass_on_notice(response_head)
        if code is not None:
            complete = await self._discard_body()
            await self._put_failure(code, f"status {response_head.status}", may_have_run=False)
            return complete
        answer_defect = platform_requests.describe_invalid_answer(
            response_head.status, response_head.headers
        )
        if answer_defect:
            complete = await self._discard_body()
            await self._put_failure(errors.Code.UPSTREAM_FAILED, answer_defect, may_have_run=True)
            return complete
        content_type = response_head.headers.get("content-type", "")
        is_stream = content_type.startswith(platform_requests.EVENT_STREAM_TYPE)
        return await self._relay_answer(response_head, is_stream=is_stream)

    def _pass_on_notice(self, response_head: ResponseHead) -> None:
        """Report what the head of the answer says of the upstream."""
        notice = platform_requests.decode_notice(
            self.action, response_head.status, response_head.headers
        )
        self.client.on_notice(notice)

    async def _read_head(self, request: h11.Request) -> ResponseHead:
        """Return the head of the answer to this request; skips and logs answers to others."""
        for _ in range(MAX_ANSWERS_PER_REQUEST):
            event = await self._skip_interim_responses()
            if type(event) is not h11.Response:
                raise ConnectionResetError("the connection closed before an answer")
            response_head = ResponseHead(event)
            echoed_id = platform_requests.echoed_request_id(response_head.headers)
            if echoed_id == self.action.request.id:
                return response_head
            if echoed_id is None and response_head.status >= MIN_UNNAMED_STATUS:
                return self._check_unnamed(response_head)
            self.stray_answers += 1
            self._log_drop("it belongs to another request")
            if not await self._discard_body():
                break
            self.connection.skip_stray_answer(request, self.action.request.body)
        raise ConnectionResetError("received only answers to other requests")

    def _check_unnamed(self, response_head: ResponseHead) -> ResponseHead:
        """Return the head of an answer that names no request, if it can't belong to another one.

        Raises:
            ConnectionResetError: When the connection has carried another request or answer.
        """
        if self.connection.earlier_requests or self.stray_answers:
            raise ConnectionResetError("an answer on a reused connection names no request")
        return response_head

    async def _skip_interim_responses(self) -> typing.Any:
        """Return the first event that is not an interim response.

        Raises:
            ConnectionResetError: When the upstream sends nothing else.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self.connection.next_event()
            if type(event) is not h11.InformationalResponse:
                return event
        raise ConnectionResetError("received only interim responses")

    async def _discard_body(self) -> bool:
        """Read the current answer to its end without keeping it.

        Returns:
            Whether the end came within MAX_DISCARDED_BYTES and DISCARD_TIMEOUT_S; if not, the
            connection is of no more use.
        """
        size = 0
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while size <= MAX_DISCARDED_BYTES:
                    event = await self.connection.next_event()
                    if type(event) is not h11.Data:
                        return type(event) is h11.EndOfMessage
                    size += len(event.data)
        except (*CONNECTION_ERRORS, TimeoutError) as error:
            self._log_drop(repr(error))
            return False
        self._log_drop("the rest of the answer is too long")
        return False

    def _log_drop(self, detail: str) -> None:
        """Log that an answer was dropped."""
        self.client.log.write(
            events.Event.ANSWER_DROPPED, request=self.action.request.id, detail=detail
        )

    async def _relay_answer(self, response_head: ResponseHead, *, is_stream: bool) -> bool:
        """Put an answer into the stream; its head goes out with the first part of the body.

        Args:
            response_head: Status and headers of the answer.
            is_stream: Whether the answer is a stream of events, which are sent on whole.

        Raises:
            ConnectionResetError: When the answer breaks off.
        """
        sendable_size = _whole_events_size if is_stream else _oversized_answer_size
        buffered = bytearray()
        head_sent = ended = False
        while not ended:
            event = await self.connection.next_event()
            ended = type(event) is h11.EndOfMessage
            if not ended and type(event) is not h11.Data:
                raise ConnectionResetError("the connection closed before the end of the answer")
            if ended and is_stream:
                self._check_stream_end(buffered, has_events=head_sent)
            buffered += b"" if ended else event.data
            size = len(buffered) if ended else sendable_size(buffered)
            if len(buffered) - size > MAX_EVENT_BYTES:
                raise ConnectionResetError("an event of the stream is too large")
            if (size or ended) and not head_sent:
                head_sent = True
                await self.stream.put(self._make_head(response_head))
            if size:
                await self._put_chunk(bytes(buffered[:size]))
                del buffered[:size]
        await self._put_end()
        return True

    def _check_stream_end(self, rest: bytearray, *, has_events: bool) -> None:
        """Check that a stream ends after a whole event, and not before its first one.

        One that is resumed may have no events left.

        Args:
            rest: The bytes after the last whole event.
            has_events: Whether a whole event was received.

        Raises:
            ConnectionResetError: When the stream broke off.
        """
        if rest.strip() or not (has_events or self.action.request.resume_after):
            raise ConnectionResetError("the stream ended inside an event")

    def _make_head(self, response_head: ResponseHead) -> answers.Head:
        """Return the head that the caller gets, without headers of the connection."""
        return answers.Head(
            request_id=self.action.request.id,
            attempt=self.action.attempt,
            status=response_head.status,
            headers=platform_requests.forwarded_answer_headers(response_head.header_pairs),
            source=self.action.upstream,
        )

    async def _put_chunk(self, data: bytes) -> None:
        part = answers.Chunk(
            request_id=self.action.request.id,
            attempt=self.action.attempt,
            data=data,
            event_id=_last_event_id(data),
        )
        await self.stream.put(part)

    async def _put_end(self) -> None:
        part = answers.End(
            request_id=self.action.request.id, attempt=self.action.attempt, usage=answers.Usage()
        )
        await self.stream.put(part)

    async def _put_failure(self, code: errors.Code, detail: str, *, may_have_run: bool) -> None:
        """Put the failure of the attempt into the stream."""
        await self.stream.put(
            _failure(self.action, code, ValueError(detail), may_have_run=may_have_run)
        )


@functools.singledispatch
def _handle(message: typing.Any, client: ReplicaClient) -> None:
    """Start the attempt that a message of the inbox asks for."""
    raise TypeError(type(message))


@_handle.register
def _(message: upstream_client.OpenDispatch, client: ReplicaClient) -> None:
    task = client.children.start(client.run_attempt(message.action, message.stream))
    message.stream.producer = task


def _whole_events_size(buffered: bytearray) -> int:
    """Return the size of the complete events at the start of the buffered part of a stream."""
    return buffered.rfind(b"\n\n") + 2 if b"\n\n" in buffered else 0


def _oversized_answer_size(buffered: bytearray) -> int:
    """Return how many bytes of an incomplete answer to send: all once it is over the limit."""
    return len(buffered) if len(buffered) > MAX_BUFFERED_ANSWER_BYTES else 0


def _last_event_id(data: bytes) -> str:
    """Return the id of the last event in a sequence of complete events, or an empty string."""
    lines = (line for line in reversed(data.split(b"\n")) if line.startswith(b"id:"))
    return next(lines, b"")[3:].strip().decode("latin-1")


def _keep_alive_s(headers: dict[str, str]) -> float:
    """Return how long a connection may be reused after an answer with these headers, in seconds."""
    if "close" in headers.get("connection", "").lower():
        return 0.0
    for parameter in headers.get("keep-alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S


def _failure(
    action: actions.Dispatch,
    code: errors.Code,
    cause: Exception,
    *,
    may_have_run: bool = True,
    crashed: bool = False,
) -> answers.Failure:
    """Return the failure of an attempt.

    Args:
        action: The request and its upstream.
        code: Code of the error.
        cause: Exception whose text, or type if it has none, is the detail of the error.
        may_have_run: Whether the upstream may have run the request.
        crashed: Whether the connection broke while the upstream worked on the request.
    """
    run = errors.RunStatus.MAY_HAVE_RUN if may_have_run else errors.RunStatus.NOT_RUN
    detail = str(cause) or type(cause).__name__
    error = errors.GatewayError(code, step=STEP, peer=action.upstream, detail=detail, run=run)
    return answers.Failure(
        request_id=action.request.id, attempt=action.attempt, error=error, crashed=crashed
    )
