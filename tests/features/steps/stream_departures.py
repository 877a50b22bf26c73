"""Steps about reasons to leave a stream, and about half-closed connections."""

from __future__ import annotations

import asyncio
import time

import behave

from standins import half_closing_upstream
from tests import copied_answers, forwarding_pair
from yuccahitch import errors

LIMIT_S = 12.0
GAP_S = 0.2
# Time between the events after a pause, in seconds.
QUICK_GAP_S = 0.02
REQUEST_ID = "half-1"


class PacedSink(forwarding_pair.RecordingSink):
    """A caller whose reading of each part takes a while.

    Attributes:
        pause_s: Time that a part takes, in seconds.
    """

    __slots__ = ("pause_s",)

    def __init__(self):
        super().__init__()
        self.pause_s = 0.0

    async def write(self, chunk):
        """Record body bytes after the time."""
        await asyncio.sleep(self.pause_s)
        await super().write(chunk)


async def start_stream(context, place, *, says_leaving):
    """Start a stream that comes from an upstream in east or west; the other one can go on."""
    context.pair = pair = forwarding_pair.ForwardingPair()
    await pair.start()
    for node in (pair.entry, pair.remote):
        node.replicas.on_notice = node.core.inbox.post
    context.name = {"east": "near", "west": "far"}[place]
    context.upstream = pair.upstreams[context.name]
    context.upstream.faults.values.update(gap_s=GAP_S, says_leaving=says_leaving)
    if place == "east":
        pair.register_near()
    context.request_id, context.sink, context.task = pair.send(
        "/plan/x", sink=PacedSink(), deadline_s=LIMIT_S
    )
    await forwarding_pair.wait_for(lambda: len(context.sink.event_ids()) >= 2)
    if place == "west":
        pair.register_near()


@behave.given("a stream that comes from {place}, where another upstream could go on with it")
def step_start(context, place):
    context.place = place
    context.closers = [lambda: context.pair.close()]
    context.loop.run_until_complete(start_stream(context, place, says_leaving=False))


@behave.given("a stream that comes from {place}, whose head says that its upstream leaves")
def step_start_leaving(context, place):
    context.place = place
    context.closers = [lambda: context.pair.close()]
    context.loop.run_until_complete(start_stream(context, place, says_leaving=True))


@behave.when("after 2 events {what}")
def step_disturb(context, what):
    async def work():
        pair = context.pair
        if "pauses" in what:
            context.upstream.faults.values["gap_s"] = 3.0
            await forwarding_pair.wait_for(lambda: len(context.sink.event_ids()) >= 3)
            context.upstream.faults.values["gap_s"] = QUICK_GAP_S
        elif "reports" in what:
            fields = {"shutdownInMs": 900} if "second" in what else {}
            for node in (pair.entry, pair.remote):
                register_draining(context, node, fields)
        elif "reads" in what:
            context.sink.pause_s = 0.8
        await asyncio.wait_for(context.task, LIMIT_S)

    context.loop.run_until_complete(work())


def register_draining(context, node, fields):
    """Let an instance know that the upstream of the stream leaves."""
    node.edge.now = time.monotonic()
    node.edge.register_upstream(
        context.name,
        service="model",
        zone=f"{context.place}-a",
        address=context.pair.addresses[context.name],
        capacity=8,
        state="draining",
        **fields,
    )


@behave.then("the caller gets all 6 events once, from the upstream that began")
def step_check_one_upstream(context):
    assert context.sink.event_ids() == list(range(1, 7)), context.sink.event_ids()
    assert context.sink.ends == ["complete"], context.sink.ends
    assert set(context.pair.runs(context.request_id)) == {context.name}, context.pair.runs(
        context.request_id
    )


@behave.given("an upstream that closes its half of the connection {when}, and works on")
def step_set_half_close(context, when):
    context.when = when


@behave.when("a stream is asked for, and another upstream could go on with it")
def step_ask_stream(context):
    send_to_half_closing(context, "/plan/x", service="model")


@behave.when("an order is sent, and another upstream could run it")
def step_send_order(context):
    send_to_half_closing(context, "/book/x", service="desk", method="POST", body=b"x")


def send_to_half_closing(context, path, *, service, **options):
    """Send a request to an upstream that closes its half; then another one is known, too."""

    async def work():
        streams = service == "model"
        upstream = half_closing_upstream.HalfClosingUpstream(
            [copied_answers.NEW], streams=streams, closes=context.when
        )
        context.returned = returned = copied_answers.ReturnedUpstream(upstream, service=service)
        context.closers = [returned.close]
        await returned.start()
        returned.register(copied_answers.NEW)
        context.sink, task = returned.send(path, REQUEST_ID, **options)
        await forwarding_pair.wait_for(lambda: upstream.received)
        returned.register(copied_answers.THIRD)
        await asyncio.wait_for(task, LIMIT_S)
        await asyncio.sleep(half_closing_upstream.WORK_ON_S / 2)

    context.loop.run_until_complete(work())


@behave.then("the first one stops working on it before the next begins")
def step_check_stopped(context):
    first, second = context.returned.runs(REQUEST_ID)
    assert "ended_at" in first, "it works on"
    late_s = first["ended_at"] - second["began_at"]
    assert late_s <= 0.1, f"it worked {late_s:.2f} s beside the next"


@behave.then("the caller gets all 6 events once")
def step_check_all(context):
    assert context.sink.event_ids() == list(range(1, 7)), context.sink.event_ids()
    assert context.sink.ends == ["complete"], context.sink.ends


@behave.then("it ran once, and its caller is told that it may have run")
def step_check_order(context):
    runs = context.returned.runs(REQUEST_ID)
    assert len(runs) == 1, runs
    (error,) = context.sink.ends
    assert error.run is errors.RunStatus.MAY_HAVE_RUN, error
