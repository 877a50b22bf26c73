"""Steps about how long upstreams work on a stream that goes on elsewhere."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import behave

from standins import platform_site
from tests import platform_builders, platform_calls

# Time after which the runs of a stream have ended, in seconds.
RUNS_ENDED_S = 1.0


@behave.given("an event takes {seconds:g} seconds, and the upstreams have the fault {fault} once")
def step_slow_with_fault(context, seconds, fault):
    step_slow(context, seconds)
    platform_calls.run(context, context.site.set_shared_faults(**{fault: 1}))


@behave.given("an event takes {seconds:g} seconds")
def step_slow(context, seconds):
    async def work():
        for name in platform_site.UPSTREAMS:
            await context.site.set_faults(name, gap_s=seconds)

    platform_calls.run(context, work())


@behave.then("no upstream worked on it for more than {limit_s:g} seconds after the next one began")
def step_check_overlap(context, limit_s):
    platform_calls.run(context, asyncio.sleep(RUNS_ENDED_S))
    runs = [
        entry
        for entry in platform_calls.seen_requests(context)
        if entry["ran"] and entry["id"] == context.replies[0].id
    ]
    assert len(runs) == 2, runs
    check_runs(runs, limit_s)


def check_runs(runs, limit_s):
    """Check that each run ended soon after the next one had begun."""
    runs = sorted(runs, key=lambda run: run["began_at"])
    for earlier, later in itertools.pairwise(runs):
        assert earlier.get("ended_at", float("inf")) - later["began_at"] <= limit_s, runs


@behave.when(
    "a caller leaves {first} after {count:d} events of GET {path}, and resumes at {second}"
)
def step_leave_and_resume(context, first, count, path, second):
    async def work():
        async with aiohttp.ClientSession() as session:
            received = await read_events(session, first, path, count)
        async with aiohttp.ClientSession() as session:
            last_id = str(count)
            return received, await platform_calls.send(
                session, second, "GET", path, Last_Event_Id=last_id
            )

    context.received, reply = platform_calls.run(context, work())
    context.replies = [reply]


async def read_events(session, instance, path, count):
    """Read so many events of a stream, then leave; return the bytes."""
    url = f"http://{platform_site.instance_host(instance)}:7101{path}"
    headers = {
        "Host": platform_builders.HOST,
        "Authorization": f"Token {platform_builders.PLATFORM_KEY}",
        "X-Request-Id": f"left{next(platform_calls.request_numbers)}",
        "X-Deadline-Ms": "8000",
    }
    received = b""
    async with session.get(url, headers=headers) as response:
        while received.count(b"\n\n") < count:
            received += await response.content.readany()
    return received


@behave.then("the caller got all 6 events once, in order")
def step_check_resumed(context):
    body = (context.received + context.replies[0].body).decode()
    ids = [line for line in body.splitlines() if line.startswith("id:")]
    assert ids == [f"id: {number}" for number in range(1, 7)], (context.replies[0].status, ids)


@behave.then(
    "the run for the first instance ended at most {limit_s:g} seconds after the second one began"
)
def step_check_left_run(context, limit_s):
    platform_calls.run(context, asyncio.sleep(RUNS_ENDED_S))
    runs = [entry for entry in platform_calls.seen_requests(context) if entry["ran"]]
    assert len(runs) == 2, runs
    check_runs(runs, limit_s)
