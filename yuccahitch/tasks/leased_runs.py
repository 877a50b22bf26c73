"""Runs requests of other instances under a lease, and ends them when it lapses."""

from __future__ import annotations

import asyncio

from yuccahitch import clock, events
from yuccahitch.controllers.runs import run_leases
from yuccahitch.messages import requests
from yuccahitch.tasks import runner


class LeasedRuns:
    """The runs of requests that other instances forwarded and may repeat elsewhere.

    Args:
        time: Source of monotonic time.
        log: Event log.

    Attributes:
        leases: The leases that were granted.
        tasks: The tasks of the runs by sender, request and attempt; a request with the id of an
            open one has a task too until it is refused.
    """

    __slots__ = ("time", "log", "leases", "tasks")

    def __init__(self, *, time: clock.Clock, log: events.Log) -> None:
        self.time = time
        self.log = log
        self.leases = run_leases.RunLeases()
        self.tasks: dict[tuple[str, str, int], set[asyncio.Task[None]]] = {}

    async def run(
        self, request_runner: runner.Runner, hop: requests.Hop, *, sender: str, attempt: int
    ) -> None:
        """Run a request until it is over or its lease lapses; nothing of it runs on after that."""
        request_id = request_runner.request.id
        if self.leases.has_ended(sender, request_id, attempt):
            return
        received_at = self.time.now()
        task = asyncio.create_task(request_runner.run(hop))
        key = (sender, request_id, attempt)
        self.tasks.setdefault(key, set()).add(task)
        try:
            await self._wait(task, request_id, sender, received_at)
        finally:
            self._forget(key, task)
            task.cancel()
            await asyncio.wait([task])

    async def end(self, sender: str, request_id: str, attempt: int) -> None:
        """End a run, and return once it has ended; one that arrives later is not begun."""
        self.leases.record_end(sender, request_id, attempt, self.time.now())
        tasks = list(self.tasks.get((sender, request_id, attempt), ()))
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def renew(self, sender: str, grant: float) -> float:
        """Renew the lease of an instance and return the new grant."""
        now = self.time.now()
        self.leases.forget_idle(now)
        return self.leases.renew(sender, grant, now)

    def _forget(self, key: tuple[str, str, int], task: asyncio.Task[None]) -> None:
        """Remove a task."""
        tasks = self.tasks[key]
        tasks.discard(task)
        if not tasks:
            del self.tasks[key]

    async def _wait(
        self, task: asyncio.Task[None], request_id: str, sender: str, received_at: float
    ) -> None:
        """Wait until a run is over or its lease lapses."""
        while not task.done():
            left_s = self.leases.ends_at(sender, received_at) - self.time.now()
            if left_s <= 0:
                self.log.write(events.Event.LEASE_LAPSED, request=request_id, peer=sender)
                return
            await asyncio.wait([task], timeout=left_s)
