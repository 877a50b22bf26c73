"""Steps about the queue between an upstream and a caller, without sockets."""

from __future__ import annotations

import asyncio
import gc
import time

import behave

from tests import forwarding_pair, intake_builders, platform_calls, refusing_core
from yuccahitch.messages import answers, requests
from yuccahitch.tasks import answer_stream, mailbox, runner

REQUEST_ID, ATTEMPT = "s1", 1
CAPACITY = 64
# Turns of the loop in which a task does what it can.
TURNS = 1000


@behave.given("an answer of {length}, on a machine {kind}")
def step_make_stream(context, length, kind):
    async def work():
        context.memory = intake_builders.an_answer_memory()
        context.others = []
        if kind == "whose memory others take":
            context.others = intake_builders.fill_with_answers(context.memory.caller_intake)
        context.stream = answer_stream.AnswerStream(
            REQUEST_ID, ATTEMPT, capacity=CAPACITY, memory=context.memory
        )
        if length != "unknown length":
            context.stream.expect(int(length.removesuffix(" bytes")))

    context.children = mailbox.ChildTasks()
    context.closers = [context.children.stop]
    platform_calls.run(context, work())


def a_chunk(data, event_id=""):
    """Return a part of the body."""
    return answers.Chunk(request_id=REQUEST_ID, attempt=ATTEMPT, data=data, event_id=event_id)


def send(context, chunks):
    """Let an upstream put chunks into the stream as far as it can."""

    async def put_all():
        for chunk in chunks:
            await context.stream.put(chunk)

    async def work():
        context.stream.start(context.children, put_all())
        for _ in range(TURNS):
            await asyncio.sleep(0)

    platform_calls.run(context, work())


@behave.when("its upstream sends {size:d} bytes in pieces of {piece:d} bytes, and nobody reads")
def step_send(context, size, piece):
    send(context, [a_chunk(b"x" * piece) for _ in range(size // piece)])


@behave.when("its upstream sends {count:d} events, and nobody reads")
def step_send_events(context, count):
    send(context, [a_chunk(b"data: x\n\n", str(number)) for number in range(1, count + 1)])


@behave.when("the attempt is given up")
def step_close(context):
    async def work():
        context.stream.close()

    platform_calls.run(context, work())


@behave.then("between {least:d} and {most:d} bytes are buffered")
def step_check_buffered(context, least, most):
    assert least <= context.stream.buffered_bytes <= most, context.stream.buffered_bytes
    assert context.memory.holding.answer_bytes == context.stream.buffered_bytes


async def take_parts(stream):
    """Return the parts that can be read at once."""
    return [await stream.get() for _ in range(len(stream.parts))]


@behave.then("the last part that can be read is a pause")
def step_check_pause(context):
    parts = platform_calls.run(context, take_parts(context.stream))
    assert type(parts[-1]) is answers.Pause, parts


@behave.then("the answer goes on once the others have ended")
def step_check_goes_on(context):
    async def work():
        for holding in context.others:
            context.memory.caller_intake.close(holding)
        return await asyncio.wait_for(context.stream.get(), timeout=5.0)

    assert type(platform_calls.run(context, work())) is answers.Chunk


@behave.then("nothing of it is held any more")
def step_check_released(context):
    assert context.memory.holding.answer_bytes == 0, context.memory.holding.answer_bytes


@behave.then("one part has all of them, with the id of the last one")
def step_check_joined(context):
    (part,) = platform_calls.run(context, take_parts(context.stream))
    assert part.data.count(b"data") == 3 and part.event_id == "3", part


@behave.when("a request is refused while no garbage is collected")
def step_run_without_collection(context):
    async def work():
        request = forwarding_pair.a_platform_request("/book/x", "POST", b"x", 1.0, REQUEST_ID)
        request_runner = runner.Runner(
            refusing_core.mailboxes(),
            request,
            forwarding_pair.RecordingSink(),
            memory=intake_builders.an_answer_memory(),
            now=time.monotonic,
        )
        await request_runner.run()

    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    platform_calls.run(context, work())


@behave.then("its body is in memory no more")
def step_check_freed(context):
    found = [item for item in gc.get_objects() if type(item) is requests.Request]
    assert REQUEST_ID not in [request.id for request in found], found
