"""Mailboxes, by which tasks talk to each other."""

from __future__ import annotations

import asyncio
import typing


class Mailbox:
    """Messages for one task, first in, first out."""

    __slots__ = ("queue",)

    def __init__(self) -> None:
        self.queue: asyncio.Queue[typing.Any] = asyncio.Queue()

    def __len__(self) -> int:
        return self.queue.qsize()

    def post(self, message: typing.Any) -> None:
        """Leave a message."""
        self.queue.put_nowait(message)

    async def ask(self, message: typing.Any) -> typing.Any:
        """Leave a message and wait for its reply."""
        future: asyncio.Future[typing.Any] = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(PendingReply(message, future))
        return await future

    async def get(self) -> typing.Any:
        """Wait for the next message."""
        return await self.queue.get()


class PendingReply:
    """A message whose sender waits for a reply."""

    __slots__ = ("message", "future")

    def __init__(self, message: typing.Any, future: asyncio.Future[typing.Any]) -> None:
        self.message = message
        self.future = future

    def resolve(self, value: typing.Any) -> None:
        """Give the reply, unless the sender has gone away."""
        if not self.future.done():
            self.future.set_result(value)


class ChildTasks:
    """Tasks that a task started and ends with itself."""

    __slots__ = ("tasks",)

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    def start(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> asyncio.Task:
        """Start a child task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def stop(self) -> None:
        """End all child tasks."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
