"""Bounded queue of the parts of one answer, from the client of an attempt to its runner."""

from __future__ import annotations

import asyncio
import typing

from yuccahitch import errors
from yuccahitch.messages import answers
from yuccahitch.tasks import mailbox

STEP = "attempt"
# Bytes of an answer that are buffered for a slow caller.
MAX_BUFFERED_BYTES = 131_072


class AnswerStream:
    """A bounded queue of the parts of one attempt's answer.

    A full queue blocks the producer, so that a slow caller slows the upstream down. It is full with
    as many parts as its capacity, or with more than MAX_BUFFERED_BYTES in more than one part.

    Args:
        request_id: Id of the request that the parts must answer.
        attempt: Number of the attempt that the parts must answer.
        capacity: Maximum number of buffered parts.

    Attributes:
        parts: The buffered parts.
        buffered_bytes: Bytes of the body in these parts.
        has_room: Set when a part was taken out.
        producer: Task that runs the attempt, or None before it starts.
        closed: Whether nobody waits for the answer any more.
        dropped_parts: Number of parts dropped because they answered another request or attempt.
    """

    __slots__ = (
        "request_id",
        "attempt",
        "parts",
        "buffered_bytes",
        "has_room",
        "producer",
        "closed",
        "dropped_parts",
    )

    def __init__(self, request_id: str, attempt: int, *, capacity: int) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.parts: asyncio.Queue[answers.Part] = asyncio.Queue(capacity)
        self.buffered_bytes = 0
        self.has_room = asyncio.Event()
        self.producer: asyncio.Task[typing.Any] | None = None
        self.closed = False
        self.dropped_parts = 0

    def start(
        self,
        children: mailbox.ChildTasks,
        attempt: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run the attempt as a child task, unless the stream was closed before."""
        if self.closed:
            attempt.close()
            return
        self.producer = children.start(self._run(attempt))

    async def _run(self, attempt: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run the attempt; one that raises an error fails at once, as nobody else would end it."""
        try:
            await attempt
        except Exception as error:  # logged with the end of the request
            await self.put(self._internal_failure(error))

    def _internal_failure(self, cause: Exception) -> answers.Failure:
        """Return the failure of the attempt after an error of the gateway."""
        error = errors.GatewayError(
            errors.Code.INTERNAL,
            step=STEP,
            detail=f"{type(cause).__name__}: {cause}",
            run=errors.RunStatus.MAY_HAVE_RUN,
        )
        return answers.Failure(request_id=self.request_id, attempt=self.attempt, error=error)

    async def put(self, part: answers.Part) -> None:
        """Add a part, or drop and count it if it answers another request or attempt."""
        if part.request_id != self.request_id or part.attempt != self.attempt:
            self.dropped_parts += 1
            return
        size = _body_size(part)
        while self.buffered_bytes and self.buffered_bytes + size > MAX_BUFFERED_BYTES:
            self.has_room.clear()
            await self.has_room.wait()
        self.buffered_bytes += size
        await self.parts.put(part)

    async def get(self) -> answers.Part:
        """Wait for the next part and return it."""
        part = await self.parts.get()
        self.buffered_bytes -= _body_size(part)
        self.has_room.set()
        return part

    def close(self) -> None:
        """Cancel the attempt, which closes its connection; one that has not begun never does."""
        self.closed = True
        if self.producer is not None:
            self.producer.cancel()


def _body_size(part: answers.Part) -> int:
    """Return the bytes of the body in a part."""
    return len(part.data) if type(part) is answers.Chunk else 0
