"""Sends requests to upstreams and brings their answers back."""

from __future__ import annotations

import asyncio
import functools
import typing

import aiohttp

from yuccahitch import clock, errors, events, records
from yuccahitch.codecs import callers, upstreams
from yuccahitch.messages import actions, answers, commands, requests
from yuccahitch.tasks import answer_stream, mailbox

STEP = "dispatch"
CONNECT_S = 1.0
SILENCE_S = 60.0
MAX_CONNECTIONS = 4096


class Open(records.Record):
    """Send a request to an upstream; its answer goes into the stream."""

    __slots__ = ("work", "stream")

    def __init__(self, work: actions.Dispatch, stream: answer_stream.AnswerStream) -> None:
        self.work = work
        self.stream = stream


class UpstreamClient:
    """Owns the connections to the upstreams.

    Args:
        time: The clock.
        log: Writes events.
        reply_to: Takes the answers to orders.
    """

    __slots__ = ("time", "log", "reply_to", "inbox", "children", "pooled", "single")

    def __init__(
        self,
        *,
        time: clock.Clock,
        log: events.Log,
        reply_to: typing.Callable[[commands.OrderReply], None],
    ) -> None:
        self.reply_to = reply_to
        self.time = time
        self.log = log
        self.inbox = mailbox.Mailbox()
        self.children = mailbox.ChildTasks()
        self.pooled: aiohttp.ClientSession | None = None
        self.single: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with _session(force_close=False) as pooled, _session(force_close=True) as single:
            self.pooled = pooled
            self.single = single
            try:
                while True:
                    _handle(await self.inbox.get(), self)
            finally:
                await self.children.stop()

    async def order(self, message: commands.SendOrder) -> None:
        """Send an order to an engine and report its answer."""
        headers = {upstreams.FENCING_HEADER: str(message.fence)}
        timeout = aiohttp.ClientTimeout(total=message.timeout_s, sock_connect=CONNECT_S)
        problem = None
        try:
            async with self.single.post(
                message.address + "/orders", data=message.body, headers=headers, timeout=timeout
            ) as response:
                if response.status != 200:
                    refused = response.status == 409
                    run = errors.RunStatus.NOT_RUN if refused else errors.RunStatus.MAY_HAVE_RUN
                    problem = _order_error(message, f"status {response.status}", run)
        except aiohttp.ClientConnectorError as error:
            problem = _order_error(message, type(error).__name__, errors.RunStatus.NOT_RUN)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            problem = _order_error(message, type(error).__name__, errors.RunStatus.MAY_HAVE_RUN)
        self.reply_to(commands.OrderReply(message.order, problem))

    async def attempt(self, work: actions.Dispatch, stream: answer_stream.AnswerStream) -> None:
        """Send a request to an upstream and bring its answer back."""
        meter = upstreams.Meter(
            stream=work.request.stream, prompt_tokens=work.request.prompt_tokens
        )
        try:
            await self._exchange(work, stream, meter)
        except aiohttp.ClientConnectorError as error:
            failure = _failure(
                work, errors.Code.UPSTREAM_REFUSED, error, run=errors.RunStatus.NOT_RUN
            )
            await stream.put(failure)
        except aiohttp.ConnectionTimeoutError as error:
            failure = _failure(
                work, errors.Code.UPSTREAM_REFUSED, error, run=errors.RunStatus.NOT_RUN
            )
            await stream.put(failure)
        except TimeoutError as error:
            await stream.put(_failure(work, errors.Code.DEADLINE, error, meter=meter))
        except (aiohttp.ClientError, OSError) as error:
            crashed = isinstance(
                error, aiohttp.ServerDisconnectedError | aiohttp.ClientPayloadError | OSError
            )
            code = errors.Code.ANSWER_CUT if meter.tokens else errors.Code.UPSTREAM_FAILED
            await stream.put(_failure(work, code, error, crashed=crashed, meter=meter))

    async def _exchange(
        self,
        work: actions.Dispatch,
        stream: answer_stream.AnswerStream,
        meter: upstreams.Meter,
    ) -> None:
        call = upstreams.encode(work)
        # A kept connection may be closed just as the request goes out; a request that must not
        # be repeated gets one of its own, so that its fate is known as often as can be.
        session = self.pooled if work.request.kind == requests.CHAT else self.single
        left = max(0.01, work.request.deadline - self.time.now())
        async with asyncio.timeout(left) as limit:
            async with session.request(
                call.method,
                call.url,
                headers=call.headers,
                data=call.body or None,
                allow_redirects=False,
                auto_decompress=False,
            ) as response:
                limit.reschedule(None)
                await self._relay(work, stream, meter, response)

    async def _relay(
        self,
        work: actions.Dispatch,
        stream: answer_stream.AnswerStream,
        meter: upstreams.Meter,
        response: aiohttp.ClientResponse,
    ) -> None:
        problem = _mismatch(work, response)
        if problem is not None:
            self.log.write(events.Event.ANSWER_DROPPED, request=work.request.id)
            await stream.put(problem)
            return
        request_id, attempt = work.request.id, work.attempt
        head = answers.Head(
            request_id=request_id,
            attempt=attempt,
            status=response.status,
            headers=callers.answer_headers(response.headers),
            source=work.upstream,
        )
        await stream.put(head)
        async for data in response.content.iter_any():
            meter.add(data)
            part = answers.Chunk(request_id=request_id, attempt=attempt, data=data)
            await stream.put(part)
        if response.status == 200 and not meter.whole():
            error = aiohttp.ClientPayloadError("the stream has no end mark")
            await stream.put(_failure(work, errors.Code.ANSWER_CUT, error, meter=meter))
            return
        end = answers.End(request_id=request_id, attempt=attempt, usage=meter.usage())
        await stream.put(end)


@functools.singledispatch
def _handle(message: typing.Any, client: UpstreamClient) -> None:
    raise TypeError(type(message))


@_handle.register
def _(message: Open, client: UpstreamClient) -> None:
    child = client.children.start(client.attempt(message.work, message.stream))
    message.stream.producer = child


@_handle.register
def _(message: commands.SendOrder, client: UpstreamClient) -> None:
    client.children.start(client.order(message))


def _order_error(
    message: commands.SendOrder, detail: str, run: errors.RunStatus
) -> errors.GatewayError:
    return errors.GatewayError(
        errors.Code.ORDER_REFUSED, step="order", peer=message.address, detail=detail, run=run
    )


def _session(*, force_close: bool) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, force_close=force_close)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S, sock_read=SILENCE_S)
    return aiohttp.ClientSession(
        connector=connector, timeout=timeout, cookie_jar=aiohttp.DummyCookieJar()
    )


def _mismatch(work: actions.Dispatch, response: aiohttp.ClientResponse) -> answers.Failure | None:
    """Return a failure when the answer is another request's, or the upstream is overloaded."""
    echoed = response.headers.get(upstreams.REQUEST_ID_HEADER)
    if work.echoes_request_id and echoed != upstreams.attempt_id(work):
        error = ValueError("the answer belongs to another request")
        return _failure(work, errors.Code.UPSTREAM_FAILED, error)
    if work.request.kind == requests.CHAT and response.status in (429, 500, 502, 503, 504):
        error = ValueError(f"status {response.status}")
        return _failure(work, errors.Code.UPSTREAM_FAILED, error)
    return None


def _failure(
    work: actions.Dispatch,
    code: errors.Code,
    cause: Exception,
    *,
    run: errors.RunStatus = errors.RunStatus.MAY_HAVE_RUN,
    crashed: bool = False,
    meter: upstreams.Meter | None = None,
) -> answers.Failure:
    detail = str(cause) if type(cause) is ValueError else type(cause).__name__
    error = errors.GatewayError(code, step=STEP, peer=work.upstream, detail=detail, run=run)
    usage: typing.Any = meter.usage() if meter is not None else None
    return answers.Failure(
        request_id=work.request.id,
        attempt=work.attempt,
        error=error,
        crashed=crashed,
        usage=usage,
    )
