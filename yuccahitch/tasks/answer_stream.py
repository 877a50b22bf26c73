"""Bounded queue of the parts of one answer, from the client of an attempt to its runner."""

from __future__ import annotations

import asyncio
import collections
import typing

from yuccahitch import errors
from yuccahitch.messages import answers
from yuccahitch.tasks import answer_memory, mailbox

STEP = "attempt"
# Bytes of an answer that are buffered for a slow caller, if its length is not known.
MAX_BUFFERED_BYTES = 131_072
# Size up to which chunks that wait are joined, in bytes.
MAX_JOINED_BYTES = 65_536


class AnswerStream:
    """A bounded queue of the parts of one attempt's answer.

    A full queue blocks the producer, so that a slow caller slows the upstream down. It is full with
    as many parts as its capacity, with more bytes than ``expect`` allows in more than one part, or
    when there is no memory for more. Then the runner gets a ``Pause``.

    Args:
        request_id: Id of the request that the parts must answer.
        attempt: Number of the attempt that the parts must answer.
        capacity: Maximum number of buffered parts.
        memory: Counts what the answer takes.

    Attributes:
        parts: The buffered parts.
        buffered_bytes: Bytes of the body in these parts.
        max_bytes: Bytes that are buffered at most.
        changed: Set when a part was put in or taken out.
        producer: Task that runs the attempt, or None before it starts.
        closed: Whether nobody waits for the answer any more.
        dropped_parts: Number of parts dropped because they answered another request or attempt.
    """

    __slots__ = (
        "request_id",
        "attempt",
        "capacity",
        "memory",
        "parts",
        "buffered_bytes",
        "max_bytes",
        "changed",
        "producer",
        "closed",
        "dropped_parts",
    )

    def __init__(
        self,
        request_id: str,
        attempt: int,
        *,
        capacity: int,
        memory: answer_memory.AnswerMemory,
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.capacity = capacity
        self.memory = memory
        self.parts: collections.deque[answers.Part] = collections.deque()
        self.buffered_bytes = 0
        self.max_bytes = MAX_BUFFERED_BYTES
        self.changed = asyncio.Event()
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

    def expect(self, size: int) -> None:
        """Buffer an answer of a known size whole, so that its upstream need not wait.

        Args:
            size: Bytes of its body.
        """
        self.max_bytes = max(MAX_BUFFERED_BYTES, size)

    async def put(self, part: answers.Part) -> None:
        """Add a part, or drop it if nobody waits or it answers another request or attempt."""
        if self.closed:
            return
        if part.request_id != self.request_id or part.attempt != self.attempt:
            self.dropped_parts += 1
            return
        size = _body_size(part)
        if size:
            await self._take_memory(size)
        self._append(part, size)
        while len(self.parts) > self.capacity:
            await self._wait_for_change()
        if type(part) is answers.End:
            self.memory.record_received()

    async def get(self) -> answers.Part:
        """Wait for the next part and return it."""
        while not self.parts:
            await self._wait_for_change()
        part = self.parts.popleft()
        self.buffered_bytes -= _body_size(part)
        self.changed.set()
        return part

    def close(self) -> None:
        """Cancel the attempt, which closes its connection; one that has not begun never does."""
        self.closed = True
        if self.producer is not None:
            self.producer.cancel()
        self.parts.clear()
        self.memory.drop(self.buffered_bytes)
        self.buffered_bytes = 0

    async def _take_memory(self, size: int) -> None:
        """Wait until the bytes of a part may be buffered, and count them."""
        while self.buffered_bytes and self.buffered_bytes + size > self.max_bytes:
            await self._wait_for_change()
        if self.memory.try_take(size):
            return
        # What the caller's sink holds back must go out, as nothing more comes before.
        self._append(answers.Pause(request_id=self.request_id, attempt=self.attempt), 0)
        await self.memory.take(size)

    def _append(self, part: answers.Part, size: int) -> None:
        """Add a part to the queue; a small chunk is joined to one that waits."""
        last = self.parts[-1] if self.parts else None
        if size and type(last) is answers.Chunk and len(last.data) + size <= MAX_JOINED_BYTES:
            last.data += part.data
            last.event_id = part.event_id or last.event_id
        else:
            self.parts.append(part)
        self.buffered_bytes += size
        self.changed.set()

    async def _wait_for_change(self) -> None:
        self.changed.clear()
        await self.changed.wait()


def _body_size(part: answers.Part) -> int:
    """Return the bytes of the body in a part."""
    return len(part.data) if type(part) is answers.Chunk else 0
