"""The HTTP client for upstreams: sends them requests and orders and relays their answers."""

from __future__ import annotations

import asyncio
import functools
import socket
import typing

import aiohttp

from yuccahitch import clock, errors, events, records
from yuccahitch.codecs import callers, event_stream, statuses, upstreams
from yuccahitch.messages import actions, answers, commands, requests, upstream_notices
from yuccahitch.tasks import answer_stream, mailbox, single_send, upstream_protocol

STEP = "dispatch"
CONNECT_TIMEOUT_S = 1.0
# Longest silence of an upstream before its answer counts as failed.
READ_TIMEOUT_S = 60.0
MAX_CONNECTIONS = 4096
# Receive buffer that is asked for, in bytes; the system may give twice as much.
RECEIVE_BUFFER_BYTES = 16_384
# Bytes of an answer that are read ahead before reading pauses.
READ_AHEAD_BYTES = 16_384
OK_STATUS = 200


class OpenDispatch(records.Record):
    """Send a request to an upstream and put its answer into a stream.

    Attributes:
        action: The request and the upstream that it goes to.
        stream: Receives the parts of the answer, or a failure.
    """

    __slots__ = ("action", "stream")

    def __init__(self, action: actions.Dispatch, stream: answer_stream.AnswerStream) -> None:
        self.action = action
        self.stream = stream


class UpstreamClient:
    """Owns the connections to the upstreams, one for each request.

    Args:
        time: Source of monotonic time.
        log: Event log.
        on_reply: Called with the result of each order.
        on_notice: Called with what the head of each answer says of its upstream.

    Attributes:
        inbox: Messages for this task, ``OpenDispatch`` and ``commands.SendOrder``.
        children: Tasks of the running attempts and orders.
        session: HTTP session with a new connection for each request, or None before ``run``.
    """

    __slots__ = (
        "time",
        "log",
        "on_reply",
        "on_notice",
        "inbox",
        "children",
        "session",
    )

    def __init__(
        self,
        *,
        time: clock.Clock,
        log: events.Log,
        on_reply: typing.Callable[[commands.OrderReply], None],
        on_notice: typing.Callable[[upstream_notices.UpstreamNotice], None],
    ) -> None:
        self.on_reply = on_reply
        self.on_notice = on_notice
        self.time = time
        self.log = log
        self.inbox = mailbox.Mailbox()
        self.children = mailbox.ChildTasks()
        self.session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Start an attempt or order for each message of the inbox; stop all when cancelled."""
        async with _make_session() as session:
            self.session = session
            try:
                while True:
                    _handle(await self.inbox.get(), self)
            finally:
                await self.children.stop()

    async def send_order(self, message: commands.SendOrder) -> None:
        """Send an order to an upstream's engine and pass the result to ``on_reply``.

        After status 409 or a failure to connect, the order has not run; after any other failure,
        such as a timeout, it may have run.
        """
        headers = {upstreams.FENCING_HEADER: str(message.fence)}
        timeout = aiohttp.ClientTimeout(total=message.timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        order_error = None
        try:
            async with self.session.post(
                message.address + "/orders",
                data=message.body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    rejected = response.status == 409
                    run = errors.RunStatus.NOT_RUN if rejected else errors.RunStatus.MAY_HAVE_RUN
                    order_error = _order_error(message, f"status {response.status}", run)
        except aiohttp.ClientConnectorError as error:
            order_error = _order_error(message, type(error).__name__, errors.RunStatus.NOT_RUN)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            order_error = _order_error(message, type(error).__name__, errors.RunStatus.MAY_HAVE_RUN)
        self.on_reply(commands.OrderReply(message.order, order_error))

    async def run_attempt(
        self, action: actions.Dispatch, stream: answer_stream.AnswerStream
    ) -> None:
        """Send a request to an upstream and put the answer, or the failure, into the stream."""
        meter = upstreams.AnswerMeter(
            stream=action.request.stream, prompt_tokens=action.request.prompt_tokens
        )
        answer_complete = False
        try:
            answer_complete = await self._exchange(action, stream, meter)
        except aiohttp.ClientConnectorError as error:
            failure = _failure(
                action, errors.Code.UPSTREAM_REFUSED, error, run=errors.RunStatus.NOT_RUN
            )
            await stream.put(failure)
        except aiohttp.ConnectionTimeoutError as error:
            failure = _failure(
                action, errors.Code.UPSTREAM_REFUSED, error, run=errors.RunStatus.NOT_RUN
            )
            await stream.put(failure)
        except TimeoutError as error:
            await stream.put(_failure(action, errors.Code.DEADLINE, error, meter=meter))
        except (aiohttp.ClientError, OSError) as error:
            crashed = isinstance(
                error, single_send.AnswerLostError | aiohttp.ClientPayloadError | OSError
            )
            code = errors.Code.ANSWER_CUT if meter.counted_tokens else errors.Code.UPSTREAM_FAILED
            await stream.put(_failure(action, code, error, crashed=crashed, meter=meter))
        finally:
            if not answer_complete:
                self.log.write(
                    events.Event.ATTEMPT_CLOSED,
                    request=action.request.id,
                    attempt=action.attempt,
                    upstream=action.upstream,
                )

    async def _exchange(
        self,
        action: actions.Dispatch,
        stream: answer_stream.AnswerStream,
        meter: upstreams.AnswerMeter,
    ) -> bool:
        """Send the request and relay the answer; the deadline applies until the headers arrive.

        Args:
            action: The request and its upstream.
            stream: Receives the parts of the answer.
            meter: Counts the tokens of the answer.

        Returns:
            Whether the answer was read to its end.

        Raises:
            aiohttp.ClientError: When the connection or the answer fails.
            OSError: When the connection fails.
            TimeoutError: When the deadline passes.
        """
        http_request = upstreams.encode(action)
        remaining_s = max(0.01, action.request.deadline - self.time.now())
        async with asyncio.timeout(remaining_s) as deadline_timeout:
            async with self.session.request(
                http_request.method,
                http_request.url,
                headers=http_request.headers,
                data=http_request.body or None,
                allow_redirects=False,
                auto_decompress=False,
            ) as response:
                deadline_timeout.reschedule(None)
                return await self._relay(action, stream, meter, response)

    async def _relay(
        self,
        action: actions.Dispatch,
        stream: answer_stream.AnswerStream,
        meter: upstreams.AnswerMeter,
        response: aiohttp.ClientResponse,
    ) -> bool:
        """Put a response into the stream: its head, its body in chunks and its end.

        A response to another request, one with a status that no answer may have, or one of an
        overloaded upstream, becomes a failure; so does the end of an event stream that lacks its
        end marker.

        Returns:
            Whether the response was read to its end.
        """
        if _is_answer_to(action, response) and statuses.is_final(response.status):
            self.on_notice(upstreams.decode_notice(action, response.status, response.headers))
        response_failure = _check_response(action, response)
        if response_failure is not None:
            self.log.write(events.Event.ANSWER_DROPPED, request=action.request.id)
            await stream.put(response_failure)
            return False
        request_id, attempt = action.request.id, action.attempt
        head = answers.Head(
            request_id=request_id,
            attempt=attempt,
            status=response.status,
            headers=callers.forwarded_answer_headers(response.headers),
            source=action.upstream,
        )
        if action.request.stream and response.status == OK_STATUS:
            defect = await self._relay_events(head, stream, meter, response)
            if defect:
                error = ValueError(defect)
                await stream.put(_failure(action, errors.Code.ANSWER_CUT, error, meter=meter))
                return False
        else:
            stream.expect(response.content_length or 0)
            await stream.put(head)
            async for data in response.content.iter_any():
                meter.add(data)
                part = answers.Chunk(request_id=request_id, attempt=attempt, data=data)
                await stream.put(part)
        end = answers.End(request_id=request_id, attempt=attempt, usage=meter.usage())
        await stream.put(end)
        return True

    async def _relay_events(
        self,
        head: answers.Head,
        stream: answer_stream.AnswerStream,
        meter: upstreams.AnswerMeter,
        response: aiohttp.ClientResponse,
    ) -> str:
        """Put the events of a chat into the stream; the head goes out with the first ones.

        Returns:
            Why the stream is not complete, or an empty text if it is.
        """
        form = event_stream.ChatEvents()
        reader = event_stream.EventReader(form)
        head_sent = False
        async for data in response.content.iter_any():
            events_data = reader.feed(data)
            if events_data:
                meter.add(events_data)
                if not head_sent:
                    await stream.put(head)
                    head_sent = True
                part = answers.Chunk(
                    request_id=head.request_id, attempt=head.attempt, data=events_data
                )
                await stream.put(part)
            if reader.defect:
                break
        if reader.defect:
            detail = f"{reader.defect}: {reader.excerpt!r}"
            self.log.write(events.Event.ANSWER_DROPPED, request=head.request_id, detail=detail)
            return reader.defect
        if reader.is_cut():
            return "the stream ended inside an event"
        return "" if form.is_done else "the stream ended without its end marker"


@functools.singledispatch
def _handle(message: typing.Any, client: UpstreamClient) -> None:
    """Start what a message of the inbox asks for."""
    raise TypeError(type(message))


@_handle.register
def _(message: OpenDispatch, client: UpstreamClient) -> None:
    message.stream.start(client.children, client.run_attempt(message.action, message.stream))


@_handle.register
def _(message: commands.SendOrder, client: UpstreamClient) -> None:
    client.children.start(client.send_order(message))


def _order_error(
    message: commands.SendOrder, detail: str, run: errors.RunStatus
) -> errors.GatewayError:
    """Return the error of a failed order."""
    return errors.GatewayError(
        errors.Code.ORDER_REFUSED, step="order", peer=message.address, detail=detail, run=run
    )


def _make_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket whose receive buffer bounds what is parsed before others have their turn."""
    family, kind, protocol, _, _ = address
    upstream_socket = socket.socket(family, kind, protocol)
    upstream_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return upstream_socket


def _make_session() -> aiohttp.ClientSession:
    """Return an HTTP session with a new connection for each request.

    On a connection that is used again, a duplicate response would be taken for the next one, and a
    run whose answer was not read would go on.
    """
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS, force_close=True, socket_factory=_make_socket
    )
    # aiohttp offers no other way to set the class of its connections.
    connector._factory = functools.partial(
        upstream_protocol.UpstreamProtocol, loop=asyncio.get_running_loop()
    )
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        read_bufsize=READ_AHEAD_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(single_send.send_once,),
    )


def _is_answer_to(action: actions.Dispatch, response: aiohttp.ClientResponse) -> bool:
    """Return whether a response names the attempt, if its upstream returns the request id."""
    echoed = response.headers.get(upstreams.REQUEST_ID_HEADER)
    return not action.echoes_request_id or echoed == upstreams.attempt_id(action)


def _check_response(
    action: actions.Dispatch, response: aiohttp.ClientResponse
) -> answers.Failure | None:
    """Return the failure that a response stands for, or None if the caller may get it.

    A chat gets none of the statuses 429, 500, 502, 503 and 504.
    """
    if not _is_answer_to(action, response):
        error = ValueError("the answer belongs to another request")
        return _failure(action, errors.Code.UPSTREAM_FAILED, error)
    if not statuses.is_final(response.status):
        error = ValueError(f"status {response.status}")
        return _failure(action, errors.Code.UPSTREAM_FAILED, error)
    if action.request.kind == requests.CHAT and response.status in (429, 500, 502, 503, 504):
        error = ValueError(f"status {response.status}")
        return _failure(action, errors.Code.UPSTREAM_FAILED, error)
    return None


def _failure(
    action: actions.Dispatch,
    code: errors.Code,
    cause: Exception,
    *,
    run: errors.RunStatus = errors.RunStatus.MAY_HAVE_RUN,
    crashed: bool = False,
    meter: upstreams.AnswerMeter | None = None,
) -> answers.Failure:
    """Return the failure of an attempt.

    Args:
        action: The request and its upstream.
        code: Code of the error.
        cause: Exception that the detail of the error is taken from: the text of a ``ValueError``,
            the type of any other.
        run: Whether the upstream may have run the request.
        crashed: Whether the connection broke while the upstream worked on the request.
        meter: Token count of the answer so far, or None.
    """
    detail = str(cause) if type(cause) is ValueError else type(cause).__name__
    error = errors.GatewayError(code, step=STEP, peer=action.upstream, detail=detail, run=run)
    usage: typing.Any = meter.usage() if meter is not None else None
    return answers.Failure(
        request_id=action.request.id,
        attempt=action.attempt,
        error=error,
        crashed=crashed,
        usage=usage,
    )
