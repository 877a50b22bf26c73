"""Sends one request to an upstream of a published route and relays the answer."""

from __future__ import annotations

import asyncio
import typing

import h11

from yuccahitch import errors, events
from yuccahitch.codecs import event_stream, header_text, statuses
from yuccahitch.messages import actions, answers, upstream_notices
from yuccahitch.platform import requests as platform_requests
from yuccahitch.tasks import answer_stream, replica_connection

STEP = "send"
MAX_BUFFERED_ANSWER_BYTES = 65_536
# Stray answers of any size that are read for one request before the connection is given up.
MAX_STRAY_ANSWERS = 2
# Size up to which more of them are read, all together, and the number of which each is logged.
MAX_STRAY_BYTES = 65_536
LOGGED_STRAY_ANSWERS = 3
# Interim responses (1xx) that are read before an answer.
MAX_INTERIM_RESPONSES = 8
# Size up to which the rest of an answer that nobody gets is read, to reuse the connection.
MAX_DISCARDED_BYTES = 262_144
# Time for reading that rest, in seconds.
DISCARD_TIMEOUT_S = 0.25
# Answers from this status on, failures and refusals, may lack the id of their request.
MIN_UNNAMED_STATUS = 300


class Exchange:
    """Sends one request on one connection and relays the answer.

    Args:
        action: The request and its upstream.
        stream: Receives the parts of the answer, or a failure.
        connection: Connection that the request is sent on.
        log: Event log.
        on_notice: Called with what the head of the answer says of its upstream.

    Attributes:
        stray_answers: Number of answers received that belong to other requests.
    """

    __slots__ = ("action", "stream", "connection", "log", "on_notice", "stray_answers")

    def __init__(
        self,
        action: actions.Dispatch,
        stream: answer_stream.AnswerStream,
        connection: replica_connection.Connection,
        log: events.Log,
        on_notice: typing.Callable[[upstream_notices.UpstreamNotice], None],
    ) -> None:
        self.action = action
        self.stream = stream
        self.connection = connection
        self.log = log
        self.on_notice = on_notice
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
            replica_connection.InvalidAnswerError: When its status is none that an answer may have,
                or a part of a stream is no event of a run.
        """
        headers = [
            (header_text.to_bytes(name), header_text.to_bytes(value))
            for name, value in platform_requests.encode(self.action, now)
        ]
        request = h11.Request(
            method=self.action.request.method, target=self.action.request.path, headers=headers
        )
        self.connection.send(request, self.action.request.body, request_id=self.action.request.id)
        response_head = await self._read_head(request)
        self._limit_reuse(response_head, now)
        if not statuses.is_final(response_head.status):
            raise replica_connection.InvalidAnswerError(f"status {response_head.status}")
        code = platform_requests.rejection_code(response_head.status, response_head.headers)
        if code is not errors.Code.UPSTREAM_MOVED:
            self._pass_on_notice(response_head)
        if code is not None:
            self._log_refusal(response_head)
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
        if self._has_events(response_head):
            await self._relay_events(response_head)
        else:
            await self._relay_body(response_head)
        return True

    def _limit_reuse(self, response_head: replica_connection.ResponseHead, now: float) -> None:
        """Set how long the connection may be reused after this answer.

        What an upstream had not received of an upload when it answered, it may take for the next
        request.
        """
        reusable_s = replica_connection.keep_alive_s(response_head.headers)
        if self.connection.protocol.is_sending():
            reusable_s = 0.0
        self.connection.reusable_until = now + reusable_s

    def _has_events(self, response_head: replica_connection.ResponseHead) -> bool:
        """Return whether the body is to be read as a stream of events, as its type or route says.

        A successful answer on a route that streams is one, whatever an upstream in trouble calls
        it.
        """
        if self.action.streams and platform_requests.is_success(response_head.status):
            return True
        content_type = response_head.headers.get("content-type", "")
        return content_type.startswith(platform_requests.EVENT_STREAM_TYPE)

    def _pass_on_notice(self, response_head: replica_connection.ResponseHead) -> None:
        """Report what the head of the answer says of the upstream."""
        notice = platform_requests.decode_notice(
            self.action, response_head.status, response_head.headers
        )
        self.on_notice(notice)

    async def _read_head(self, request: h11.Request) -> replica_connection.ResponseHead:
        """Return the head of the answer to this request; skips and logs answers to others."""
        stray_bytes = 0
        while self.stray_answers <= MAX_STRAY_ANSWERS or stray_bytes <= MAX_STRAY_BYTES:
            event = await self._skip_interim_responses()
            if type(event) is not h11.Response:
                raise ConnectionResetError("the connection closed before an answer")
            response_head = replica_connection.ResponseHead(event)
            echoed_id = platform_requests.echoed_request_id(response_head.headers)
            if echoed_id == self.action.request.id:
                return response_head
            if echoed_id is None and response_head.status >= MIN_UNNAMED_STATUS:
                return self._check_unnamed(response_head)
            self.stray_answers += 1
            if self.stray_answers <= LOGGED_STRAY_ANSWERS:
                self._log_drop("it belongs to another request")
            if not await self._discard_body():
                break
            stray_bytes = self.connection.skip_stray_answer(request, self.action.request.body)
        raise ConnectionResetError("received only answers to other requests")

    def _check_unnamed(
        self, response_head: replica_connection.ResponseHead
    ) -> replica_connection.ResponseHead:
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
        except (*replica_connection.CONNECTION_ERRORS, TimeoutError) as error:
            self._log_drop(repr(error))
            return False
        self._log_drop("the rest of the answer is too long")
        return False

    def _log_drop(self, detail: str) -> None:
        """Log that an answer was dropped."""
        self.log.write(
            events.Event.ANSWER_DROPPED,
            request=self.action.request.id,
            connection=self.connection.number,
            detail=detail,
        )

    def _log_refusal(self, response_head: replica_connection.ResponseHead) -> None:
        """Log that the upstream refused the attempt, and on which connection."""
        self.log.write(
            events.Event.ATTEMPT_REFUSED,
            request=self.action.request.id,
            attempt=self.action.attempt,
            upstream=self.action.upstream,
            status=response_head.status,
            connection=self.connection.number,
            earlier_requests=self.connection.earlier_requests,
        )

    async def _relay_body(self, response_head: replica_connection.ResponseHead) -> None:
        """Put an answer into the stream; its head goes out with the first part of the body.

        Raises:
            ConnectionResetError: When the answer breaks off.
        """
        self.stream.expect(response_head.content_length())
        buffered = bytearray()
        head_sent = False
        while (data := await self._read_data()) is not None:
            buffered += data
            if head_sent or len(buffered) > MAX_BUFFERED_ANSWER_BYTES:
                head_sent = head_sent or await self._put_head(response_head)
                await self._put_chunk(bytes(buffered))
                buffered.clear()
        head_sent = head_sent or await self._put_head(response_head)
        if buffered:
            await self._put_chunk(bytes(buffered))
        await self._put_end()

    async def _relay_events(self, response_head: replica_connection.ResponseHead) -> None:
        """Put a stream of events into the stream; the head goes out with the first events.

        One that is resumed may have no events left.

        Raises:
            ConnectionResetError: When the stream breaks off.
            replica_connection.InvalidAnswerError: When a part of it is no event of a run.
        """
        resume_after = self.action.request.resume_after
        form = event_stream.NumberedEvents(
            after=resume_after, first_field=platform_requests.WEIGHTS_VERSION_FIELD
        )
        reader = event_stream.EventReader(form)
        head_sent = False
        while not reader.defect and (data := await self._read_data()) is not None:
            events_data = reader.feed(data)
            if events_data:
                head_sent = head_sent or await self._put_head(response_head)
                await self._put_chunk(events_data, event_id=str(form.last_id))
        if reader.defect:
            self._log_drop(f"{reader.defect}: {reader.excerpt!r}")
            raise replica_connection.InvalidAnswerError(reader.defect)
        if reader.is_cut() or not (head_sent or resume_after):
            raise ConnectionResetError("the stream ended inside an event, or before the first one")
        head_sent = head_sent or await self._put_head(response_head)
        await self._put_end()

    async def _read_data(self) -> bytes | None:
        """Return the next bytes of the answer's body, or None at its end.

        Raises:
            ConnectionResetError: When the connection closed before the end.
        """
        event = await self.connection.next_event()
        if type(event) is h11.EndOfMessage:
            return None
        if type(event) is not h11.Data:
            raise ConnectionResetError("the connection closed before the end of the answer")
        return bytes(event.data)

    async def _put_head(self, response_head: replica_connection.ResponseHead) -> bool:
        """Put the head that the caller gets, without headers of the connection; return True."""
        head = answers.Head(
            request_id=self.action.request.id,
            attempt=self.action.attempt,
            status=response_head.status,
            headers=platform_requests.forwarded_answer_headers(response_head.header_pairs),
            source=self.action.upstream,
            software_version=self.action.software_version,
        )
        await self.stream.put(head)
        return True

    async def _put_chunk(self, data: bytes, *, event_id: str = "") -> None:
        part = answers.Chunk(
            request_id=self.action.request.id,
            attempt=self.action.attempt,
            data=data,
            event_id=event_id,
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
            failure(self.action, code, ValueError(detail), may_have_run=may_have_run)
        )


def failure(
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
