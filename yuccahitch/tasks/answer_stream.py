"""The parts of one answer on their way from an upstream or peer to the caller."""

from __future__ import annotations

import asyncio
import typing

from yuccahitch.messages import answers


class AnswerStream:
    """A bounded mailbox of parts: a slow reader slows the upstream down.

    Args:
        request_id: Request that the parts must answer.
        attempt: Attempt that the parts must answer.
        capacity: Parts held.
    """

    __slots__ = ("request_id", "attempt", "parts", "producer", "dropped_parts")

    def __init__(self, request_id: str, attempt: int, *, capacity: int) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.parts: asyncio.Queue[answers.Part] = asyncio.Queue(capacity)
        self.producer: asyncio.Task[typing.Any] | None = None
        self.dropped_parts = 0

    async def put(self, part: answers.Part) -> None:
        """Add a part; one that answers another request or attempt is dropped and counted."""
        if part.request_id != self.request_id or part.attempt != self.attempt:
            self.dropped_parts += 1
            return
        await self.parts.put(part)

    async def get(self) -> answers.Part:
        """Wait for the next part."""
        return await self.parts.get()

    def close(self) -> None:
        """End the attempt; the connection to the upstream is closed with it."""
        if self.producer is not None:
            self.producer.cancel()
