"""Mailboxes for messages between tasks, and groups of child tasks."""

from __future__ import annotations

import asyncio
import typing


class Mailbox:
    """An unbounded FIFO queue of messages to one task."""

    __slots__ = ("queue",)

    def __init__(self) -> None:
        self.queue: asyncio.Queue[typing.Any] = asyncio.Queue()

    def __len__(self) -> int:
        return self.queue.qsize()

    def post(self, message: typing.Any) -> None:
        """Enqueue a message that needs no reply."""
        self.queue.put_nowait(message)

    async def ask(self, message: typing.Any) -> typing.Any:
        """Enqueue a message, wait for its reply and return it."""
        future: asyncio.Future[typing.Any] = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(PendingReply(message, future))
        return await future

    async def get(self) -> typing.Any:
        """Wait for the next message and return it; a message of ``ask`` is a ``PendingReply``."""
        return await self.queue.get()


class PendingReply:
    """A message whose sender waits for a reply.

    Attributes:
        message: The message.
        future: Receives the reply.
    """

    __slots__ = ("message", "future")

    def __init__(self, message: typing.Any, future: asyncio.Future[typing.Any]) -> None:
        self.message = message
        self.future = future

    def resolve(self, value: typing.Any) -> None:
        """Send the reply, unless the sender no longer waits for it."""
        if not self.future.done():
            self.future.set_result(value)


class ChildTasks:
    """The child tasks of a task, which cancels them when it ends.

    Attributes:
        tasks: The running child tasks.
    """

    __slots__ = ("tasks",)

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    def start(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> asyncio.Task:
        """Run a coroutine as a child task and return the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def stop(self) -> None:
        """Cancel all child tasks and wait until they have ended."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
