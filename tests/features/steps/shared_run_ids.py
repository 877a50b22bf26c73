"""Steps about runs under a lease that have their id in common with another request."""

from __future__ import annotations

import asyncio
import time

import behave

from tests import attempt_clients, builders
from yuccahitch import clock
from yuccahitch.tasks import leased_runs, mailbox

SENDER = "edge-2~1"
ATTEMPT = 1
LONG_S = 30.0


class TimedRunner:
    """A runner whose run takes a time.

    Attributes:
        request: The request.
        seconds: Time that its run takes.
        is_running: Whether it runs.
    """

    __slots__ = ("request", "seconds", "is_running")

    def __init__(self, request, seconds):
        self.request = request
        self.seconds = seconds
        self.is_running = False

    async def run(self, hop):
        """Run for the time."""
        self.is_running = True
        try:
            await asyncio.sleep(self.seconds)
        finally:
            self.is_running = False


@behave.given("a run under a lease, and a second request with its id that is refused at once")
def step_begin_runs(context):
    time_source = clock.SystemClock()
    context.leased_runs = leased_runs.LeasedRuns(
        time=time_source, log=attempt_clients.a_log(time_source)
    )
    request = builders.a_request()
    context.long_run = TimedRunner(request, LONG_S)
    context.children = mailbox.ChildTasks()
    context.closers = [context.children.stop]

    async def work():
        for timed_runner in (context.long_run, TimedRunner(request, 0.0)):
            context.children.start(
                context.leased_runs.run(
                    timed_runner, builders.a_hop(), sender=SENDER, attempt=ATTEMPT
                )
            )
            await asyncio.sleep(0.05)

    context.loop.run_until_complete(work())


@behave.when("the instance that forwarded them {does}")
def step_end_runs(context, does):
    context.began_at = time.monotonic()
    if does == "ends the run":
        request_id = context.long_run.request.id
        context.loop.run_until_complete(context.leased_runs.end(SENDER, request_id, ATTEMPT))


@behave.then("the run ends within {seconds:g} seconds")
def step_check_ended(context, seconds):
    async def work():
        while context.long_run.is_running and time.monotonic() < context.began_at + seconds:
            await asyncio.sleep(0.02)

    context.loop.run_until_complete(work())
    assert not context.long_run.is_running
