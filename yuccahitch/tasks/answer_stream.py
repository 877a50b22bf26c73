"""Bounded queue of the parts of one answer, from the client of an attempt to its runner."""

from __future__ import annotations

import asyncio
import typing

from yuccahitch.messages import answers
from yuccahitch.tasks import mailbox


class AnswerStream:
    """A bounded queue of the parts of one attempt's answer.

    A full queue blocks the producer, so that a slow caller slows the upstream down.

    Args:
        request_id: Id of the request that the parts must answer.
        attempt: Number of the attempt that the parts must answer.
        capacity: Maximum number of buffered parts.

    Attributes:
        parts: The buffered parts.
        producer: Task that runs the attempt, or None before it starts.
        closed: Whether nobody waits for the answer any more.
        dropped_parts: Number of parts dropped because they answered another request or attempt.
    """

    __slots__ = ("request_id", "attempt", "parts", "producer", "closed", "dropped_parts")

    def __init__(self, request_id: str, attempt: int, *, capacity: int) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.parts: asyncio.Queue[answers.Part] = asyncio.Queue(capacity)
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
        self.producer = children.start(attempt)

    async def put(self, part: answers.Part) -> None:
        """Add a part, or drop and count it if it answers another request or attempt."""
        if part.request_id != self.request_id or part.attempt != self.attempt:
            self.dropped_parts += 1
            return
        await self.parts.put(part)

    async def get(self) -> answers.Part:
        """Wait for the next part and return it."""
        return await self.parts.get()

    def close(self) -> None:
        """Cancel the attempt, which closes its connection; one that has not begun never does."""
        self.closed = True
        if self.producer is not None:
            self.producer.cancel()
