"""Steps about one connection of a caller, without a socket."""

from __future__ import annotations

import asyncio

import behave

from tests import caller_connections, platform_calls

HEAD_START = b"POST / HTTP/1.1\r\nHost"
HEAD_END = b": a\r\nContent-Length: 0\r\n\r\n"
# More than the time for a head, in seconds.
LONG_S = 3 * caller_connections.HEADER_TIMEOUT_S


@behave.given("a connection whose requests are not answered yet")
def step_open(context):
    async def work():
        context.caller = caller_connections.ConnectionUnderTest()
        context.closers = [context.caller.close]
        await context.caller.open()

    platform_calls.run(context, work())


@behave.given("{count:d} connections of one instance")
def step_open_many(context, count):
    async def work():
        first = caller_connections.ConnectionUnderTest()
        others = [caller_connections.ConnectionUnderTest(first.intake) for _ in range(count - 1)]
        context.callers = [first, *others]
        context.closers = [caller.close for caller in context.callers]
        for caller in context.callers:
            await caller.open()

    platform_calls.run(context, work())


@behave.when("a body in {count:d} chunks of one byte comes on each at once")
def step_receive_chunks(context, count):
    async def work():
        for caller in context.callers:
            caller.connection.data_received(caller_connections.a_request_in_chunks(count))
        context.most_parsed = await caller_connections.most_parsed_in_turn(
            context.callers, count * len(context.callers)
        )

    platform_calls.run(context, work())


@behave.then("at most {count:d} chunks were parsed between two turns of other tasks")
def step_check_turns(context, count):
    assert context.most_parsed <= count, context.most_parsed


@behave.when("{count:d} requests come one after another")
def step_receive(context, count):
    async def work():
        for _ in range(count):
            await context.caller.receive(caller_connections.a_request(100))

    platform_calls.run(context, work())


@behave.when("a request with {size:d} bytes comes before the server does anything else")
def step_receive_at_once(context, size):
    async def work():
        data = caller_connections.a_request(size)
        for start in range(0, len(data), caller_connections.PIECE_BYTES):
            piece = data[start : start + caller_connections.PIECE_BYTES]
            context.caller.connection.data_received(piece)

    platform_calls.run(context, work())


@behave.when("they are answered")
def step_answer(context):
    async def work():
        context.caller.answering.set()
        await asyncio.sleep(caller_connections.STEP_S)

    platform_calls.run(context, work())


@behave.when("a head comes in two parts, {speed}")
def step_receive_head(context, speed):
    async def work():
        context.caller.answering.set()
        await context.caller.receive(HEAD_START)
        context.held = context.caller.intake.budget.held
        await asyncio.sleep(LONG_S if speed == "the second too late" else 0)
        if not context.caller.transport.is_closed:
            await context.caller.receive(HEAD_END)

    platform_calls.run(context, work())


@behave.when("a body comes in {count:d} parts, slower than a head may")
def step_receive_slow_body(context, count):
    async def work():
        context.caller.answering.set()
        data = caller_connections.a_request(count)
        await context.caller.receive(data[:-count])
        for _ in range(count):
            await asyncio.sleep(LONG_S)
            await context.caller.receive(b"x")

    platform_calls.run(context, work())


@behave.then("reading is paused")
def step_check_paused(context):
    assert context.caller.transport.is_paused


@behave.then("reading goes on, and {count:d} requests were answered")
def step_check_answered(context, count):
    assert not context.caller.transport.is_paused
    assert context.caller.answer_count() == count, context.caller.transport.written


@behave.then("the connection is closed without an answer")
def step_check_closed(context):
    assert context.caller.transport.is_closed and not context.caller.answer_count()


@behave.then("the head counted as held, and nothing is held any more")
def step_check_held(context):
    assert context.held == len(HEAD_START), context.held
    assert context.caller.intake.budget.held == 0
