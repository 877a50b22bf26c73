"""Steps about requests that one instance forwards to another, over real connections."""

from __future__ import annotations

import asyncio
import time

import behave

from tests import forwarding_pair


@behave.given(
    "an instance in east that forwards a stream to west, where an event takes {seconds:g} seconds"
)
def step_forward_stream(context, seconds):
    async def work():
        context.pair = forwarding_pair.ForwardingPair()
        await context.pair.start()
        context.pair.upstreams["far"].faults.values["gap_s"] = seconds
        context.request_id, context.sink, context.request_task = context.pair.send("/plan/x")

    context.closers = [lambda: context.pair.close()]
    context.loop.run_until_complete(work())


@behave.when("the connection {breaks} after {count:d} events, and east has an upstream")
def step_break_and_register(context, breaks, count):
    break_connection(context, breaks, count)
    context.pair.register_near()


@behave.when("the connection {breaks} after {count:d} event")
def step_break(context, breaks, count):
    break_connection(context, breaks, count)


def break_connection(context, breaks, count):
    """Break the connection between the instances once the caller has got so many events."""

    async def work():
        await forwarding_pair.wait_for(lambda: len(context.sink.event_ids()) >= count)
        link = context.pair.link
        if breaks == "is lost on one side only":
            link.faults.values["half_open"] = True
            link.drop_near()
        else:
            link.faults.values["cut"] = True
        context.broken_at = time.monotonic()

    context.loop.run_until_complete(work())


@behave.then("the caller gets all 6 events once, in order")
def step_check_events(context):
    async def work():
        await asyncio.wait_for(context.request_task, 10)

    context.loop.run_until_complete(work())
    assert context.sink.event_ids() == list(range(1, 7)), context.sink.event_ids()
    assert context.sink.ends == ["complete"], context.sink.ends


@behave.then(
    "the upstream before worked on it for at most {limit_s:g} seconds after the next began"
)
def step_check_overlap(context, limit_s):
    context.loop.run_until_complete(asyncio.sleep(1.0))
    runs = context.pair.runs(context.request_id)
    assert set(runs) == {"near", "far"}, runs.keys()
    overlap_s = context.pair.overlap_s(context.request_id)
    assert overlap_s <= limit_s, overlap_s


@behave.then("the upstream in west works on it for at most {limit_s:g} more seconds")
def step_check_ended(context, limit_s):
    async def work():
        await asyncio.sleep(limit_s)

    context.loop.run_until_complete(work())
    run = context.pair.runs(context.request_id)["far"]
    assert "ended_at" in run, "the upstream still works on it"
    assert run["ended_at"] - context.broken_at <= limit_s, run
