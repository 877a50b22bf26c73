"""The requests that a server is running, and their end when the instance stops."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from yuccahitch.messages import requests
from yuccahitch.tasks import mailbox, runner

# Time for which the last answers may be written when the instance stops, in seconds.
LAST_ANSWERS_S = 0.5


class OpenRequests:
    """Runs requests as child tasks of a server.

    Attributes:
        children: The tasks.
        runners: The runners of these tasks.
        handled: Number of requests whose handlers run, from the end of their headers on.
        idle: Set while no handler runs.
    """

    __slots__ = ("children", "runners", "handled", "idle")

    def __init__(self) -> None:
        self.children = mailbox.ChildTasks()
        self.runners: set[runner.Runner] = set()
        self.handled = 0
        self.idle = asyncio.Event()
        self.idle.set()

    @contextlib.contextmanager
    def handling(self) -> typing.Iterator[None]:
        """Count a request as handled until its response is written."""
        self.handled += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.handled -= 1
            if not self.handled:
                self.idle.set()

    async def finish_handling(self, limit_s: float) -> None:
        """Wait until no request is handled: bodies that still come in get their answer."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self.idle.wait()

    def start(
        self, request_runner: runner.Runner, hop: requests.Hop | None = None
    ) -> asyncio.Task[None]:
        """Run a request and return its task.

        Args:
            request_runner: Runs the request.
            hop: Forwarding metadata if a peer forwarded the request, else None.
        """
        task = self.children.start(request_runner.run(hop))
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
