"""Steps about load reports without end, with a process and its memory."""

from __future__ import annotations

import asyncio
import pathlib
import time

import behave

from tests import event_coverage, platform_calls, polling_instance

RUN_DIR = event_coverage.run_dir() / "polling"
PERIOD_S = 0.05
# Share of the polls that an instance sends in the time, one a second to each upstream.
POLLED_SHARE = 0.5


@behave.given(
    "an instance, a process that polls {count:d} upstreams whose load reports go on {pace}"
)
def step_start_polling(context, count, pace):
    assert count == polling_instance.UPSTREAM_COUNT
    context.polling = polling_instance.PollingInstance(RUN_DIR, pace)
    context.closers = [context.polling.close]
    platform_calls.run(context, context.polling.start())


@behave.when("it has polled them for {seconds:g} seconds")
def step_watch(context, seconds):
    async def work():
        polls_before = context.polling.polls
        ends_at = time.monotonic() + seconds
        context.peak_mb, context.slowest_s = 0.0, 0.0
        while time.monotonic() < ends_at:
            asked_at = time.monotonic()
            assert await context.polling.ask() == 200
            context.slowest_s = max(context.slowest_s, time.monotonic() - asked_at)
            context.peak_mb = max(context.peak_mb, resident_mb(context.polling.process.pid))
            await asyncio.sleep(PERIOD_S)
        context.polls = context.polling.polls - polls_before

    platform_calls.run(context, work())
    expected = seconds * polling_instance.UPSTREAM_COUNT
    assert context.polls >= expected * POLLED_SHARE, (context.polls, expected)


@behave.then(
    "it had at most {limit_mb:d} MB in memory, and answered others within {limit_s:g} seconds"
    " meanwhile"
)
def step_check_memory(context, limit_mb, limit_s):
    seen = (context.peak_mb, context.slowest_s, context.polls)
    assert context.peak_mb <= limit_mb and context.slowest_s <= limit_s, seen


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))
