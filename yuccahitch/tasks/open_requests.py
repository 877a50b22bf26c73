"""The requests that a server is running, and their end when the instance stops."""

from __future__ import annotations

import asyncio

from yuccahitch.tasks import mailbox, runner

# Time for which the last answers may be written when the instance stops, in seconds.
LAST_ANSWERS_S = 0.5


class OpenRequests:
    """Runs requests as child tasks of a server.

    Attributes:
        children: The tasks.
        runners: The runners of these tasks.
    """

    __slots__ = ("children", "runners")

    def __init__(self) -> None:
        self.children = mailbox.ChildTasks()
        self.runners: set[runner.Runner] = set()

    def start(self, request_runner: runner.Runner) -> asyncio.Task[None]:
        """Run a request and return its task."""
        task = self.children.start(request_runner.run())
        self.runners.add(request_runner)
        task.add_done_callback(lambda _: self.runners.discard(request_runner))
        return task

    async def answer_all(self) -> None:
        """Give up the requests that are still open, each with an answer, in LAST_ANSWERS_S."""
        for request_runner in list(self.runners):
            request_runner.give_up()
        if self.children.tasks:
            await asyncio.wait(list(self.children.tasks), timeout=LAST_ANSWERS_S)

    async def stop(self) -> None:
        """Cancel the tasks that are left and wait until they have ended."""
        await self.children.stop()
