"""Sends requests of published routes to upstreams over kept connections.

h11 frames the messages: aiohttp's client can't skip a stray answer on a kept connection, and does
not tell an answer that ended with its connection from one that was reset.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import typing

import h11

from yuccahitch import clock, errors, events
from yuccahitch.messages import actions, answers
from yuccahitch.platform import requests as wire_form
from yuccahitch.tasks import answer_stream, mailbox, tcp_connection, upstream_client

STEP = "send"
CONNECT_S = 0.5
IDLE_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.0
MAX_IDLE = 64
MAX_WHOLE_BYTES = 262_144
MAX_STRAY_ANSWERS = 3
FAULTS = (OSError, h11.RemoteProtocolError, h11.LocalProtocolError)


class Connection:
    """A connection and the state of its messages.

    Attributes:
        wire: The bytes.
        state: The messages.
        until: Until when it may be used again, in monotonic seconds.
        used: Requests that were sent on it before this one.
    """

    __slots__ = ("wire", "state", "until", "used")

    def __init__(self, bytes_of: tcp_connection.TcpConnection) -> None:
        self.wire = bytes_of
        self.state = h11.Connection(h11.CLIENT)
        self.until = 0.0
        self.used = 0

    def send(self, request: h11.Request, body: bytes) -> None:
        """Send a request; its head and body go out in one write."""
        parts = [self.state.send(request)]
        if body:
            parts.append(self.state.send(h11.Data(data=body)))
        parts.append(self.state.send(h11.EndOfMessage()))
        self.wire.write(b"".join(part for part in parts if part))

    async def next_event(self) -> typing.Any:
        """Return the next event of the answer."""
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.state.receive_data(await self.wire.read())

    def skip_answer(self, request: h11.Request, body: bytes) -> None:
        """Make ready for the next answer after a stray one, without sending anything."""
        rest, _ = self.state.trailing_data
        self.state = h11.Connection(h11.CLIENT)
        self.state.send(request)
        if body:
            self.state.send(h11.Data(data=body))
        self.state.send(h11.EndOfMessage())
        if rest:
            self.state.receive_data(rest)


class Answer:
    """The head of an answer as it was received."""

    __slots__ = ("status", "pairs", "headers")

    def __init__(self, event: h11.Response) -> None:
        self.status = event.status_code
        self.pairs = [
            (n.decode("latin-1"), v.decode("latin-1")) for n, v in event.headers.raw_items()
        ]
        self.headers = {name.lower(): value for name, value in self.pairs}


class ReplicaClient:
    """Owns the connections to upstreams that are reached by their address.

    Args:
        time: The clock.
        log: Writes events.
    """

    __slots__ = ("time", "log", "inbox", "children", "idle", "opened")

    def __init__(self, *, time: clock.Clock, log: events.Log) -> None:
        self.time = time
        self.log = log
        self.inbox = mailbox.Mailbox()
        self.children = mailbox.ChildTasks()
        self.idle: dict[str, collections.deque[Connection]] = {}
        self.opened = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            while True:
                _handle(await self.inbox.get(), self)
        finally:
            await self.children.stop()
            for kept in self.idle.values():
                for connection in kept:
                    connection.wire.abort()

    async def attempt(self, work: actions.Dispatch, stream: answer_stream.AnswerStream) -> None:
        """Send a request and bring its answer back."""
        try:
            connection = await self._connection(work)
        except (OSError, TimeoutError) as error:
            await stream.put(_failure(work, errors.Code.UPSTREAM_REFUSED, error, ran=False))
            return
        done = False
        try:
            done = await _Exchange(work, stream, connection, self.log).run(self.time.now())
        except FAULTS as error:
            await stream.put(_failure(work, errors.Code.UPSTREAM_FAILED, error, crashed=True))
        finally:
            if not done or not self._keep(work, connection):
                connection.wire.abort()

    async def _connection(self, work: actions.Dispatch) -> Connection:
        kept = self.idle.get(work.address)
        now = self.time.now()
        while kept:
            connection = kept.pop()
            if connection.until > now and connection.wire.is_idle():
                return connection
            connection.wire.abort()
        host, _, port = work.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        async with asyncio.timeout(CONNECT_S):
            _, bytes_of = await loop.create_connection(
                tcp_connection.TcpConnection, host.strip("[]"), int(port)
            )
        return Connection(bytes_of)

    def _keep(self, work: actions.Dispatch, connection: Connection) -> bool:
        """Keep a connection whose answer is whole; return whether that is possible."""
        state = connection.state
        clean = state.our_state is h11.DONE and state.their_state is h11.DONE
        if not clean or state.trailing_data[0] or not connection.wire.is_idle():
            return False
        if connection.until <= self.time.now():
            return False
        state.start_next_cycle()
        kept = self.idle.setdefault(work.address, collections.deque(maxlen=MAX_IDLE))
        if len(kept) == MAX_IDLE:
            kept.popleft().wire.abort()
        connection.used += 1
        kept.append(connection)
        return True

    def sweep(self, now: float) -> None:
        """Close connections that were idle for too long."""
        for address, kept in list(self.idle.items()):
            while kept and (kept[0].until <= now or not kept[0].wire.is_idle()):
                kept.popleft().wire.abort()
            if not kept:
                del self.idle[address]


class _Exchange:
    """One request on one connection."""

    __slots__ = ("work", "stream", "connection", "log")

    def __init__(
        self,
        work: actions.Dispatch,
        stream: answer_stream.AnswerStream,
        connection: Connection,
        log: events.Log,
    ) -> None:
        self.work = work
        self.stream = stream
        self.connection = connection
        self.log = log

    async def run(self, now: float) -> bool:
        """Send the request and pass the answer on; return whether the answer was whole."""
        request = h11.Request(
            method=self.work.request.method,
            target=self.work.request.path,
            headers=wire_form.encode(self.work, now),
        )
        self.connection.send(request, self.work.request.body)
        answer = await self._head(request)
        self.connection.until = now + _keep_alive_s(answer.headers)
        code = wire_form.rejected(answer.status, answer.headers)
        if code is not None:
            await self._body()
            await self._fail(code, f"status {answer.status}", ran=False)
            return True
        problem = wire_form.broken(answer.status, answer.headers)
        if problem:
            await self._body()
            await self._fail(errors.Code.UPSTREAM_FAILED, problem, ran=True)
            return True
        if answer.headers.get("content-type", "").startswith(wire_form.EVENT_STREAM):
            return await self._pass_on(answer, _whole_events)
        return await self._pass_on(answer, _long_part)

    async def _head(self, request: h11.Request) -> Answer:
        """Return the head of the request's own answer, past stray ones."""
        for _ in range(MAX_STRAY_ANSWERS):
            event = await self.connection.next_event()
            while type(event) is h11.InformationalResponse:
                event = await self.connection.next_event()
            if type(event) is not h11.Response:
                raise ConnectionResetError("closed before an answer")
            answer = Answer(event)
            if wire_form.answers_request(self.work.request.id, answer.status, answer.headers):
                return answer
            self.log.write(events.Event.ANSWER_DROPPED, request=self.work.request.id)
            await self._body()
            self.connection.skip_answer(request, self.work.request.body)
        raise ConnectionResetError("only answers of other requests")

    async def _body(self) -> bytes:
        body = bytearray()
        while True:
            event = await self.connection.next_event()
            if type(event) is h11.EndOfMessage:
                return bytes(body)
            if type(event) is not h11.Data:
                raise ConnectionResetError("the answer ended early")
            body += event.data

    async def _pass_on(self, answer: Answer, ready: typing.Callable[[bytearray], int]) -> bool:
        """Pass an answer on, each time as much as is ready; its head goes with the first part."""
        held = bytearray()
        begun = ended = False
        while not ended:
            event = await self.connection.next_event()
            ended = type(event) is h11.EndOfMessage
            if not ended and type(event) is not h11.Data:
                raise ConnectionResetError("the answer ended early")
            held += b"" if ended else event.data
            size = len(held) if ended else ready(held)
            if (size or ended) and not begun:
                begun = True
                await self.stream.put(self._begin(answer))
            if size:
                await self._chunk(bytes(held[:size]))
                del held[:size]
        await self._end()
        return True

    def _begin(self, answer: Answer) -> answers.Head:
        return answers.Head(
            request_id=self.work.request.id,
            attempt=self.work.attempt,
            status=answer.status,
            headers=wire_form.answer_headers(answer.pairs),
            source=self.work.upstream,
        )

    async def _chunk(self, data: bytes) -> None:
        part = answers.Chunk(
            request_id=self.work.request.id,
            attempt=self.work.attempt,
            data=data,
            event_id=_last_id(data),
        )
        await self.stream.put(part)

    async def _end(self) -> None:
        part = answers.End(
            request_id=self.work.request.id, attempt=self.work.attempt, usage=answers.Usage()
        )
        await self.stream.put(part)

    async def _fail(self, code: errors.Code, detail: str, *, ran: bool) -> None:
        await self.stream.put(_failure(self.work, code, ValueError(detail), ran=ran))


@functools.singledispatch
def _handle(message: typing.Any, client: ReplicaClient) -> None:
    raise TypeError(type(message))


@_handle.register
def _(message: upstream_client.Open, client: ReplicaClient) -> None:
    child = client.children.start(client.attempt(message.work, message.stream))
    message.stream.producer = child


def _whole_events(held: bytearray) -> int:
    """Return the size of the whole events in what came of a stream."""
    return held.rfind(b"\n\n") + 2 if b"\n\n" in held else 0


def _long_part(held: bytearray) -> int:
    """Return how much of an answer is passed on before it is whole: none, unless it is long."""
    return len(held) if len(held) > MAX_WHOLE_BYTES else 0


def _last_id(data: bytes) -> str:
    """Return the id of the last event in some whole events, or no text."""
    lines = (line for line in reversed(data.split(b"\n")) if line.startswith(b"id:"))
    return next(lines, b"")[3:].strip().decode("latin-1")


def _keep_alive_s(headers: dict[str, str]) -> float:
    """Return how long a connection may be used again after an answer, in seconds."""
    if "close" in headers.get("connection", "").lower():
        return 0.0
    for word in headers.get("keep-alive", "").split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
    return IDLE_S


def _failure(
    work: actions.Dispatch,
    code: errors.Code,
    cause: Exception,
    *,
    ran: bool = True,
    crashed: bool = False,
) -> answers.Failure:
    run = errors.RunStatus.MAY_HAVE_RUN if ran else errors.RunStatus.NOT_RUN
    detail = str(cause) or type(cause).__name__
    error = errors.GatewayError(code, step=STEP, peer=work.upstream, detail=detail, run=run)
    return answers.Failure(
        request_id=work.request.id, attempt=work.attempt, error=error, crashed=crashed
    )
