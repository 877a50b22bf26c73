"""Runs one request: takes actions from the core, starts attempts and relays the answer."""

from __future__ import annotations

import asyncio
import functools
import typing

from yuccahitch import errors
from yuccahitch.controllers.runs import operations
from yuccahitch.messages import actions, answers, request_lifecycle, requests
from yuccahitch.tasks import (
    answer_memory,
    answer_stream,
    mailbox,
    peer_client,
    upstream_client,
)

# Time by which a request outlasts the deadline that its upstream or peer was given.
TIMEOUT_MARGIN_S = 0.05


class AnswerSink(typing.Protocol):
    """Receives the answer; methods raise ``ConnectionError`` if the receiver has disconnected."""

    async def start(self, head: answers.Head) -> None:
        """Send or store the status and headers of the answer."""

    async def write(self, chunk: answers.Chunk) -> None:
        """Send or buffer a chunk of the body."""

    async def flush(self) -> None:
        """Send what is buffered, as nothing more comes before."""

    async def end(self, part: answers.End) -> None:
        """End a complete answer."""

    async def cut(self, part: answers.Failure) -> None:
        """End an incomplete answer so that the receiver can tell it from a complete one."""

    async def refuse(self, error: errors.GatewayError, operation: str) -> None:
        """Send a refusal instead of an answer.

        Args:
            error: Cause of the refusal.
            operation: State of the request's idempotency key, or empty.
        """

    async def replay(self, answer: answers.RecordedAnswer) -> None:
        """Send the answer recorded for the request's idempotency key."""


class Mailboxes:
    """Mailboxes and limits shared by all runners of an instance.

    Args:
        core: Mailbox of the core.
        upstreams: Mailbox of the client that sends requests to upstreams.
        peers: Mailbox of the client that forwards requests to other instances.
        stream_capacity: Maximum number of buffered parts of an answer.
        write_timeout_s: Timeout of a write to the caller or forwarding instance, in seconds.
    """

    __slots__ = ("core", "upstreams", "peers", "stream_capacity", "write_timeout_s")

    def __init__(
        self,
        *,
        core: mailbox.Mailbox,
        upstreams: mailbox.Mailbox,
        peers: mailbox.Mailbox,
        stream_capacity: int,
        write_timeout_s: float,
    ) -> None:
        self.core = core
        self.upstreams = upstreams
        self.peers = peers
        self.stream_capacity = stream_capacity
        self.write_timeout_s = write_timeout_s


class Runner:
    """Runs one request.

    Args:
        mailboxes: Mailboxes and limits.
        request: The request.
        sink: Receives the answer.
        memory: Counts what the answer takes.
        now: Returns monotonic seconds.

    Attributes:
        stream: Parts of the current attempt's answer, or None before the first attempt.
        caller_connected: Whether the caller, or the instance that forwarded the request, still
            receives the answer.
        succeeded: Whether the complete answer was received or replayed.
        usage: Tokens used by the last attempt.
        error: Error that the request ended with, or None.
        head: Status and headers sent to the caller, or None if the answer has not begun.
        recorded_body: Body recorded for repeats of the idempotency key; None without a key and
            for a body over the size limit.
        started_at: Start of the request, in monotonic seconds.
        first_byte_s: Time until the answer began, in seconds, or None if it has not begun.
        crashed_upstream_name: Name of the upstream that crashed during the answer, or empty.
        request_timeout: Timeout of the whole request; unlimited until an attempt sets it.
        last_sent_event_id: Id of the last event sent to the caller, or empty.
        can_expire: Whether request_timeout can still end the request.
        stopping: Whether the request is given up because the instance stops.
    """

    __slots__ = (
        "mailboxes",
        "request",
        "sink",
        "memory",
        "now",
        "stream",
        "caller_connected",
        "succeeded",
        "usage",
        "error",
        "head",
        "recorded_body",
        "started_at",
        "first_byte_s",
        "crashed_upstream_name",
        "request_timeout",
        "last_sent_event_id",
        "can_expire",
        "stopping",
    )

    def __init__(
        self,
        mailboxes: Mailboxes,
        request: requests.Request,
        sink: AnswerSink,
        *,
        memory: answer_memory.AnswerMemory,
        now: typing.Callable[[], float],
    ) -> None:
        self.mailboxes = mailboxes
        self.request = request
        self.sink = sink
        self.memory = memory
        memory.on_received_early = self._report_received
        self.now = now
        self.stream: answer_stream.AnswerStream | None = None
        self.caller_connected = True
        self.succeeded = False
        self.usage = answers.Usage()
        self.error: errors.GatewayError | None = None
        self.head: answers.Head | None = None
        self.recorded_body: bytearray | None = bytearray() if request.operation_key else None
        self.started_at = now()
        self.first_byte_s: float | None = None
        self.crashed_upstream_name = ""
        self.request_timeout: asyncio.Timeout | None = None
        self.last_sent_event_id = request.resume_after
        self.can_expire = False
        self.stopping = False

    async def run(self, hop: requests.Hop | None = None) -> None:
        """Run the request to its end and always post its ``Finish`` message to the core.

        Args:
            hop: Forwarding metadata if a peer forwarded the request, else None.
        """
        try:
            async with asyncio.timeout(None) as self.request_timeout:
                await self._execute_actions(hop)
        except asyncio.CancelledError:
            self.caller_connected = False
            raise
        except TimeoutError:
            await self._on_timeout()
        except ConnectionError:
            self.caller_connected = False
        finally:
            if self.stream is not None:
                self.stream.close()
            # A cycle would keep the request in memory until garbage is collected.
            self.memory.on_received_early = None
            self.mailboxes.core.post(self._finish_message())

    async def _execute_actions(self, hop: requests.Hop | None) -> None:
        """Execute the actions of the core until the request is done."""
        self.can_expire = True
        try:
            next_action = await self.mailboxes.core.ask(request_lifecycle.Begin(self.request, hop))
            while next_action is not None:
                next_action = await _execute_action(next_action.action, next_action, self)
        finally:
            self.can_expire = False

    async def await_first_part(
        self, stream: answer_stream.AnswerStream
    ) -> request_lifecycle.NextAction:
        """Wait for the first part of a new attempt and return the next action for it.

        Args:
            stream: Parts of the attempt's answer; the stream of the previous attempt is closed.
        """
        if self.stream is not None:
            self.stream.close()
        self.stream = stream
        part = await stream.get()
        return await self.mailboxes.core.ask(request_lifecycle.Resume(self.request.id, part))

    def schedule_timeout(self, give_up_at: float | None) -> None:
        """Set the timeout of the request shortly after the deadline of an attempt.

        Args:
            give_up_at: Time at which the attempt is abandoned, in monotonic seconds; None leaves
                the timeout as it is.
        """
        if give_up_at is not None:
            left_s = give_up_at + TIMEOUT_MARGIN_S - self.now()
            self.request_timeout.reschedule(asyncio.get_running_loop().time() + left_s)

    def give_up(self) -> None:
        """End the request now, as the instance stops; the caller still gets an answer."""
        if self.can_expire:
            self.stopping = True
            self.request_timeout.reschedule(asyncio.get_running_loop().time())

    async def _on_timeout(self) -> None:
        """Refuse a request that timed out.

        A timeout of a write to the caller marks the caller as disconnected instead.
        """
        if not self.request_timeout.expired():
            self.caller_connected = False
            return
        if self.stream is not None:
            self.stream.close()
        next_action = await self._timeout_action()
        try:
            await _execute_action(next_action.action, next_action, self)
        except (ConnectionError, TimeoutError):
            self.caller_connected = False

    async def _timeout_action(self) -> request_lifecycle.NextAction:
        """Return the refusal of a request that timed out or is given up."""
        if not self.stopping:
            return await self.mailboxes.core.ask(request_lifecycle.Expire(self.request.id))
        was_sent = self.stream is not None
        error = errors.GatewayError(
            errors.Code.DRAINING,
            step="runner",
            detail="the instance stopped before the answer was complete",
            run=errors.RunStatus.MAY_HAVE_RUN if was_sent else errors.RunStatus.NOT_RUN,
        )
        return request_lifecycle.NextAction(self.request.id, actions.Refuse(error))

    def open_stream(self, attempt: int) -> answer_stream.AnswerStream:
        """Return a new stream for the answer of an attempt."""
        return answer_stream.AnswerStream(
            self.request.id,
            attempt,
            capacity=self.mailboxes.stream_capacity,
            memory=self.memory,
        )

    async def relay_answer(self, head: answers.Head) -> request_lifecycle.NextAction | None:
        """Relay an answer to the caller until it ends.

        If the caller disconnects, a request with an idempotency key continues, so that its answer
        is recorded for a repeat; any other request is abandoned.

        Returns:
            The next action after an interrupted answer, or None if the request is done.
        """
        if self.head is None:
            self.head = head
            self.first_byte_s = self.now() - self.started_at
            await self.send_to_caller(self.sink.start(head))
        next_action, request_done = None, False
        while not request_done and next_action is None:
            part = await self.stream.get()
            request_done, next_action = await _relay_part(part, self)
        return next_action

    async def send_to_caller(
        self, sink_call: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Await a call of the sink, unless the caller has disconnected.

        Raises:
            ConnectionError: When the caller disconnects and the request has no idempotency key.
            TimeoutError: When the caller does not read in time and the request has no key.
        """
        if not self.caller_connected:
            sink_call.close()
            return
        try:
            async with asyncio.timeout(self.mailboxes.write_timeout_s):
                await sink_call
        except (ConnectionError, TimeoutError):
            self.caller_connected = False
            if not self.request.operation_key:
                raise

    def record_body(self, data: bytes) -> None:
        """Record a part of the body for repeats; a body over the size limit is discarded."""
        if self.recorded_body is None:
            return
        self.recorded_body += data
        if len(self.recorded_body) > operations.MAX_ANSWER_BYTES:
            self.recorded_body = None

    def _report_received(self) -> None:
        """Tell the core that the upstream is done with the request, though the caller is not."""
        self.mailboxes.core.post(request_lifecycle.Received(self.request.id, self.request))

    def _finish_message(self) -> request_lifecycle.Finish:
        """Return the message that reports the end of the request to the core."""
        if self.memory.was_given_up and not self.succeeded:
            self.error = self.memory.given_up_error()
        recorded = None
        if self.succeeded and self.request.operation_key and self.head is not None:
            recorded = answers.RecordedAnswer(
                status=self.head.status,
                headers=self.head.headers,
                body=bytes(self.recorded_body or b""),
                has_body=self.recorded_body is not None,
            )
        return request_lifecycle.Finish(
            self.request.id,
            request=self.request,
            succeeded=self.succeeded,
            usage=self.usage,
            recorded_answer=recorded,
            error=self.error,
            abandoned=not self.caller_connected and not self.memory.was_given_up,
            crashed_upstream=self.crashed_upstream_name,
            first_byte_s=self.first_byte_s,
        )


@functools.singledispatch
async def _execute_action(
    action: typing.Any, next_action: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    """Execute an action of the core; return the next one, or None if the request is done."""
    raise TypeError(type(action))


@_execute_action.register
async def _(
    action: actions.Refuse, next_action: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    runner.error = action.error
    if runner.head is None:
        await runner.send_to_caller(runner.sink.refuse(action.error, next_action.operation_state))
    else:
        failure = answers.Failure(request_id=runner.request.id, attempt=0, error=action.error)
        await runner.send_to_caller(runner.sink.cut(failure))
    return None


@_execute_action.register
async def _(
    action: actions.Replay, next_action: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    runner.succeeded = True
    await runner.send_to_caller(runner.sink.replay(action.answer))
    return None


@_execute_action.register
async def _(
    action: actions.Deliver, next_action: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    return await runner.relay_answer(action.head)


@_execute_action.register
async def _(
    action: actions.Perform, next_action: request_lifecycle.NextAction, runner: Runner
) -> request_lifecycle.NextAction | None:
    return await _perform_work(action.work, runner)


@functools.singledispatch
async def _perform_work(work: typing.Any, runner: Runner) -> request_lifecycle.NextAction:
    """Start an attempt; return the action that follows its first part."""
    raise TypeError(type(work))


@_perform_work.register
async def _(work: actions.Dispatch, runner: Runner) -> request_lifecycle.NextAction:
    stream = runner.open_stream(work.attempt)
    runner.schedule_timeout(work.give_up_at)
    runner.mailboxes.upstreams.post(upstream_client.OpenDispatch(work, stream))
    return await runner.await_first_part(stream)


@_perform_work.register
async def _(work: actions.Forward, runner: Runner) -> request_lifecycle.NextAction:
    stream = runner.open_stream(work.attempt)
    if runner.request.kind == requests.PROXY:
        runner.schedule_timeout(runner.now() + work.deadline_in)
    runner.mailboxes.peers.post(peer_client.OpenForward(work, stream))
    return await runner.await_first_part(stream)


# Whether the part ends the request, and the next action after an interrupted answer.
RelayResult = tuple[bool, request_lifecycle.NextAction | None]


@functools.singledispatch
async def _relay_part(part: answers.Part, runner: Runner) -> RelayResult:
    """Relay a part of an answer to the caller."""
    raise TypeError(type(part))


@_relay_part.register
async def _(part: answers.Head, runner: Runner) -> RelayResult:
    return False, None


@_relay_part.register
async def _(part: answers.Chunk, runner: Runner) -> RelayResult:
    runner.record_body(part.data)
    runner.last_sent_event_id = part.event_id or runner.last_sent_event_id
    await runner.send_to_caller(runner.sink.write(part))
    return False, None


@_relay_part.register
async def _(part: answers.Pause, runner: Runner) -> RelayResult:
    await runner.send_to_caller(runner.sink.flush())
    return False, None


@_relay_part.register
async def _(part: answers.End, runner: Runner) -> RelayResult:
    runner.usage = part.usage
    runner.succeeded = True
    await runner.send_to_caller(runner.sink.end(part))
    return True, None


@_relay_part.register
async def _(part: answers.Failure, runner: Runner) -> RelayResult:
    runner.usage = part.usage
    if runner.request.kind == requests.PROXY:
        part.last_event_id = runner.last_sent_event_id
        return False, await runner.mailboxes.core.ask(
            request_lifecycle.Resume(runner.request.id, part)
        )
    runner.error = part.error
    runner.crashed_upstream_name = part.error.peer if part.crashed else ""
    await runner.send_to_caller(runner.sink.cut(part))
    return True, None
