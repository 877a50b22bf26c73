"""Steps about requests that one instance forwards to another, over real connections."""

from __future__ import annotations

import asyncio
import random
import time

import behave

from tests import forwarding_pair, lease_simulation

# Twice the renewal period and four delays fit into a lease.
MAX_SOUND_DELAY_S = 0.2
# Time in which answers that nobody reads fill what they may, in seconds.
FILL_S = 1.5


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


@behave.when("{count:d} runs under a lease are played with delays, losses and cuts, seeded")
def step_play_leases(context, count):
    context.outcomes, context.sound_outcomes = [], []
    for seed in range(count):
        rng = random.Random(seed)
        outcome = lease_simulation.play(
            seed,
            max_delay_s=rng.choice([0.06, 0.3, 1.0, 3.0]),
            loss=rng.choice([0.0, 0.1, 0.5]),
            cut_at=rng.uniform(0, 8),
            closed_at=rng.uniform(0, 10),
        )
        context.outcomes.append((seed, outcome))
        sound = lease_simulation.play(
            seed, max_delay_s=MAX_SOUND_DELAY_S, loss=0.0, cut_at=99.0, closed_at=10.0
        )
        context.sound_outcomes.append((seed, sound))


@behave.then("each run had ended when the instance that forwarded it was sure of that")
def step_check_leases(context):
    wrong = [seed for seed, o in context.outcomes if o.run_ended_at > o.surely_ended_at]
    assert not wrong, wrong[:5]


@behave.then(
    "none of those whose messages took at most 0.2 seconds ended in its {seconds:d} seconds"
)
def step_check_sound(context, seconds):
    ended = [seed for seed, o in context.sound_outcomes if o.run_ended_at < seconds]
    assert not ended, ended[:5]


@behave.when("the instance in west {ends} after {count:d} events, and east has an upstream")
def step_end_remote(context, ends, count):
    pair = context.pair

    async def work():
        await forwarding_pair.wait_for(lambda: len(context.sink.event_ids()) >= count)
        pair.register_near()
        context.broken_at = time.monotonic()
        if ends == "ends the run":
            ((task,),) = pair.remote.server.leased_runs.tasks.values()
            task.cancel()
        else:
            await pair.stop_remote()
        await forwarding_pair.wait_for(lambda: len(context.sink.event_ids()) > count)
        context.waited_s = time.monotonic() - context.broken_at

    context.loop.run_until_complete(work())


@behave.then("the caller waited at most {limit_s:g} second for the next event")
def step_check_wait(context, limit_s):
    assert context.waited_s <= limit_s, context.waited_s


class UnreadSink(forwarding_pair.RecordingSink):
    """A caller who reads nothing of the body."""

    __slots__ = ()

    async def write(self, chunk):
        """Wait for ever."""
        await asyncio.Event().wait()


@behave.given(
    "an instance in east that forwards to west, and {count:d} callers who read nothing of endless"
    " answers"
)
def step_start_unread(context, count):
    start_unread(context, count, FILL_S)


@behave.given(
    "an instance in east that forwards to west, and {count:d} callers who read nothing of endless"
    " answers for {seconds:g} seconds"
)
def step_start_unread_for(context, count, seconds):
    start_unread(context, count, seconds)


def start_unread(context, count, fill_s):
    """Let callers who read nothing ask for endless answers, and wait for so many seconds."""
    context.pair = forwarding_pair.ForwardingPair()

    async def work():
        pair = context.pair
        await pair.start()
        pair.register_plain()
        pair.upstreams["plain"].faults.values["endless_signed"] = count
        for _ in range(count):
            pair.send("/status/x", sink=UnreadSink(), deadline_s=30.0)
        await asyncio.sleep(fill_s)

    context.closers = [lambda: context.pair.close()]
    context.loop.run_until_complete(work())


@behave.when("another caller asks for a stream of 6 events that takes {seconds:g} seconds")
def step_ask_beside(context, seconds):
    async def work():
        pair = context.pair
        pair.upstreams["far"].faults.values["gap_s"] = seconds / forwarding_pair.EVENT_COUNT
        began_at = time.monotonic()
        context.request_id, context.sink, task = pair.send("/plan/x")
        await forwarding_pair.wait_for(lambda: context.sink.event_ids())
        context.waited_s = time.monotonic() - began_at
        context.unread_runs = pair.upstreams["plain"].running
        await asyncio.wait_for(task, 10)

    context.loop.run_until_complete(work())


@behave.then("it gets the first within {limit_s:g} seconds, and all 6 from a single upstream")
def step_check_beside(context, limit_s):
    assert context.sink.event_ids() == list(range(1, 7)), context.sink.event_ids()
    assert context.waited_s <= limit_s, context.waited_s
    assert len(context.pair.runs(context.request_id)) == 1


@behave.then("the {count:d} runs for those who read nothing still went on then")
def step_check_unread(context, count):
    assert context.unread_runs == count, context.unread_runs
