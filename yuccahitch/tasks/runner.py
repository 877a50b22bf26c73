"""Runs one request: asks the core what to do, opens attempts and passes the answer on."""

from __future__ import annotations

import asyncio
import functools
import typing

from yuccahitch import errors
from yuccahitch.controllers import operations
from yuccahitch.messages import actions, answers, request_lifecycle, requests
from yuccahitch.tasks import answer_stream, mailbox, peer_client, upstream_client

END_MARGIN_S = 0.05


class Sink(typing.Protocol):
    """Where an answer goes; each method may raise ``ConnectionError`` when nobody listens."""

    async def start(self, head: answers.Head) -> None:
        """Begin the answer."""

    async def write(self, chunk: answers.Chunk) -> None:
        """Pass bytes on."""

    async def end(self, part: answers.End) -> None:
        """End a whole answer."""

    async def cut(self, part: answers.Failure) -> None:
        """End an answer that is not whole, with an explicit error."""

    async def refuse(self, error: errors.GatewayError, operation: str) -> None:
        """Send a refusal in the place of an answer."""

    async def replay(self, answer: answers.RecordedAnswer) -> None:
        """Send a recorded answer."""


class Mailboxes:
    """The mailboxes that a runner needs.

    Args:
        core: The decisions.
        upstreams: Attempts at upstreams.
        peers: Attempts at other instances.
        capacity: Parts of an answer held for a slow reader.
        write_timeout_s: Longest wait for a slow reader, in seconds.
    """

    __slots__ = ("core", "upstreams", "peers", "capacity", "write_timeout_s")

    def __init__(
        self,
        *,
        core: mailbox.Mailbox,
        upstreams: mailbox.Mailbox,
        peers: mailbox.Mailbox,
        capacity: int,
        write_timeout_s: float,
    ) -> None:
        self.core = core
        self.upstreams = upstreams
        self.peers = peers
        self.capacity = capacity
        self.write_timeout_s = write_timeout_s


class Runner:
    """One request on its way.

    Attributes:
        listening: Whether the caller is still there.
    """

    __slots__ = (
        "mailboxes",
        "request",
        "sink",
        "now",
        "stream",
        "listening",
        "succeeded",
        "usage",
        "error",
        "head",
        "kept",
        "began",
        "first_byte_s",
        "crashed",
        "limit",
        "last_event",
    )

    def __init__(
        self,
        mailboxes: Mailboxes,
        request: requests.Request,
        sink: Sink,
        *,
        now: typing.Callable[[], float],
    ) -> None:
        self.mailboxes = mailboxes
        self.request = request
        self.sink = sink
        self.now = now
        self.stream: answer_stream.AnswerStream | None = None
        self.listening = True
        self.succeeded = False
        self.usage = answers.Usage()
        self.error: errors.GatewayError | None = None
        self.head: answers.Head | None = None
        self.kept: bytearray | None = bytearray() if request.operation_key else None
        self.began = now()
        self.first_byte_s: float | None = None
        self.crashed = ""
        self.limit: asyncio.Timeout | None = None
        self.last_event = request.resume_after

    async def run(self, hop: requests.Hop | None = None) -> None:
        """Run the request to its end; what it holds is settled however it ends."""
        try:
            async with asyncio.timeout(None) as self.limit:
                outcome = await self.mailboxes.core.ask(request_lifecycle.Begin(self.request, hop))
                while outcome is not None:
                    outcome = await _act(outcome.action, outcome, self)
        except asyncio.CancelledError:
            self.listening = False
            raise
        except TimeoutError:
            await self._expired()
        except ConnectionError:
            self.listening = False
        finally:
            if self.stream is not None:
                self.stream.close()
            self.mailboxes.core.post(self._finished())

    async def attempt(self, stream: answer_stream.AnswerStream) -> request_lifecycle.NextAction:
        """Wait for an attempt's first part and ask what to do with it."""
        if self.stream is not None:
            self.stream.close()
        self.stream = stream
        part = await stream.get()
        return await self.mailboxes.core.ask(request_lifecycle.Resume(self.request.id, part))

    def end_at(self, give_up_at: float | None) -> None:
        """End the request at a time, in monotonic seconds, shortly after the upstream's own end."""
        if give_up_at is not None:
            self.limit.reschedule(give_up_at + END_MARGIN_S)

    async def _expired(self) -> None:
        """Give the request its final answer, or leave a caller that does not read."""
        if not self.limit.expired():
            self.listening = False
            return
        if self.stream is not None:
            self.stream.close()
        outcome = await self.mailboxes.core.ask(request_lifecycle.Expire(self.request.id))
        try:
            await _act(outcome.action, outcome, self)
        except (ConnectionError, TimeoutError):
            self.listening = False

    def open_stream(self, attempt: int) -> answer_stream.AnswerStream:
        """Return a stream for an attempt."""
        return answer_stream.AnswerStream(
            self.request.id, attempt, capacity=self.mailboxes.capacity
        )

    async def relay(self, head: answers.Head) -> request_lifecycle.NextAction | None:
        """Pass an answer on until it ends; return what follows when it broke off.

        When the caller has hung up, a request with an idempotency key goes on, so that its answer
        is there for a repeat; any other is abandoned.
        """
        if self.head is None:
            self.head = head
            self.first_byte_s = self.now() - self.began
            await self.send(self.sink.start(head))
        outcome, ended = None, False
        while not ended and outcome is None:
            part = await self.stream.get()
            ended, outcome = await _relay(part, self)
        return outcome

    async def send(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Send something to the caller, unless it has hung up."""
        if not self.listening:
            work.close()
            return
        try:
            async with asyncio.timeout(self.mailboxes.write_timeout_s):
                await work
        except (ConnectionError, TimeoutError):
            self.listening = False
            if not self.request.operation_key:
                raise

    def keep(self, data: bytes) -> None:
        """Keep bytes of the answer for repeats, as long as they are few."""
        if self.kept is None:
            return
        self.kept += data
        if len(self.kept) > operations.MAX_ANSWER_BYTES:
            self.kept = None

    def _finished(self) -> request_lifecycle.Finish:
        recorded = None
        if self.succeeded and self.request.operation_key and self.head is not None:
            recorded = answers.RecordedAnswer(
                status=self.head.status,
                headers=self.head.headers,
                body=bytes(self.kept or b""),
                has_body=self.kept is not None,
            )
        return request_lifecycle.Finish(
            self.request.id,
            succeeded=self.succeeded,
            usage=self.usage,
            recorded_answer=recorded,
            error=self.error,
            abandoned=not self.listening,
            crashed_upstream=self.crashed,
            first_byte_s=self.first_byte_s,
        )


@functools.singledispatch
async def _act(
    action: typing.Any, outcome: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    raise TypeError(type(action))


@_act.register
async def _(
    action: actions.Refuse, outcome: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    runner.error = action.error
    if runner.head is None:
        await runner.send(runner.sink.refuse(action.error, outcome.operation_state))
    else:
        cut = answers.Failure(request_id=runner.request.id, attempt=0, error=action.error)
        await runner.send(runner.sink.cut(cut))
    return None


@_act.register
async def _(
    action: actions.Replay, outcome: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    runner.succeeded = True
    await runner.send(runner.sink.replay(action.answer))
    return None


@_act.register
async def _(
    action: actions.Deliver, outcome: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    return await runner.relay(action.head)


@_act.register
async def _(
    action: actions.Perform, outcome: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    return await _perform(action.work, runner)


@functools.singledispatch
async def _perform(work: typing.Any, runner: Runner) -> request_lifecycle.NextAction:
    raise TypeError(type(work))


@_perform.register
async def _(work: actions.Dispatch, runner: Runner) -> request_lifecycle.NextAction:
    stream = runner.open_stream(work.attempt)
    runner.end_at(work.give_up_at)
    runner.mailboxes.upstreams.post(upstream_client.OpenDispatch(work, stream))
    return await runner.attempt(stream)


@_perform.register
async def _(work: actions.Forward, runner: Runner) -> request_lifecycle.NextAction:
    stream = runner.open_stream(work.attempt)
    if runner.request.kind == requests.PROXY:
        runner.end_at(runner.now() + work.deadline_in)
    runner.mailboxes.peers.post(peer_client.OpenForward(work, stream))
    return await runner.attempt(stream)


Relayed = tuple[bool, request_lifecycle.NextAction | None]


@functools.singledispatch
async def _relay(part: answers.Part, runner: Runner) -> Relayed:
    """Pass a part on; return whether it is the last one, and what to do next if it is not."""
    raise TypeError(type(part))


@_relay.register
async def _(part: answers.Head, runner: Runner) -> Relayed:
    return False, None


@_relay.register
async def _(part: answers.Chunk, runner: Runner) -> Relayed:
    runner.keep(part.data)
    runner.last_event = part.event_id or runner.last_event
    await runner.send(runner.sink.write(part))
    return False, None


@_relay.register
async def _(part: answers.End, runner: Runner) -> Relayed:
    runner.usage = part.usage
    runner.succeeded = True
    await runner.send(runner.sink.end(part))
    return True, None


@_relay.register
async def _(part: answers.Failure, runner: Runner) -> Relayed:
    runner.usage = part.usage
    if runner.request.kind == requests.PROXY:
        part.last_event_id = runner.last_event
        return False, await runner.mailboxes.core.ask(
            request_lifecycle.Resume(runner.request.id, part)
        )
    runner.error = part.error
    runner.crashed = part.error.peer if part.crashed else ""
    await runner.send(runner.sink.cut(part))
    return True, None
