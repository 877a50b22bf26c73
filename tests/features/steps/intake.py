"""Steps about what is granted to callers, without sockets."""

from __future__ import annotations

import asyncio
import itertools
import math

import behave

from tests import intake_builders, platform_calls
from yuccahitch import errors
from yuccahitch.controllers.intake import budget
from yuccahitch.tasks import intake

LARGE_BUDGET_BYTES = 60_000_000
BODY_BYTES = 1000


@behave.given("a budget of {limit:d} bytes")
def step_make_budget(context, limit):
    context.intake = intake_builders.IntakeUnderTest(limit)


@behave.given("a budget with room for {size:d} bytes of bodies")
def step_make_budget_for_bodies(context, size):
    limit = math.ceil(size / budget.BODIES_PART)
    context.intake = intake_builders.IntakeUnderTest(limit)


@behave.when(
    "{count:d} addresses upload {size:d} bytes each as far as they may, and their requests run"
)
def step_fill_with_bodies(context, count, size):
    for number in range(count):
        if context.intake.ask(f"u{number}", size, now=0):
            context.intake.holdings[f"u{number}"].is_incoming = False


@behave.when("answers of {size:d} bytes to as many others begin as may")
def step_fill_with_answers(context, size):
    numbers = itertools.count()
    while context.intake.answer(f"w{next(numbers)}", size, now=0):
        pass


@behave.then("an answer to d gets its first {size:d} bytes")
def step_check_first_bytes(context, size):
    assert context.intake.answer("d", size, now=0)


@behave.given("room for {count:d} connections")
def step_make_connections(context, count):
    context.intake = intake_builders.IntakeUnderTest(1000, max_connections=count)


@behave.given("an upload of {size:d} bytes from {address} at {now:g} seconds")
def step_add_upload(context, size, address, now):
    context.intake.upload(address, size, now=now)


@behave.given("a running request with {size:d} bytes from {address} at {now:g} seconds")
def step_add_running(context, size, address, now):
    context.intake.upload(address, size, now=now).is_incoming = False


@behave.given("the upload from {address} gets 1 byte each second until {end:d} seconds")
def step_drip(context, address, end):
    for now in range(1, end + 1):
        context.intake.extend(address, 1, now=now)


@behave.given("an answer of {size:d} bytes to {address} that waits since {now:g} seconds")
def step_add_answer(context, size, address, now):
    assert context.intake.answer(address, 60_000, now=now)
    assert size == 60_000 or context.intake.extend_answer(address, size - 60_000)
    context.intake.let_wait(address, now=now)


@behave.given("a reads {first:d} bytes each second, and b {second:d}, until {end:d} seconds")
def step_read(context, first, second, end):
    for now in range(1, end + 1):
        context.intake.read("a", first, now=now)
        context.intake.read("b", second, now=now)


@behave.given("{address} has read {size:d} bytes by {now:g} seconds, and waits no longer")
def step_read_all(context, address, size, now):
    context.intake.read(address, size, now=now)
    context.intake.holdings[address].end_lag()


@behave.when("{count:d} answers take all that they can, in pieces of {piece:d} bytes")
def step_fill_answers(context, count, piece):
    addresses = [f"c{number}" for number in range(count)]
    for address in addresses:
        assert context.intake.answer(address, piece, now=0), address
    context.sizes = [context.intake.fill_answer(address, piece) for address in addresses]


@behave.when("an answer to {address} asks for its first {size:d} bytes at {now:g} seconds")
def step_ask_for_answer(context, address, size, now):
    context.granted = context.intake.answer(address, size, now=now)


@behave.when("the answer to {address} asks for {size:d} bytes more at {now:g} seconds")
def step_extend_answer(context, address, size, now):
    context.intake.clock.seconds = now
    context.granted = context.intake.extend_answer(address, size)


@behave.given(
    "room for 2 runs, one of an answer to a that waits since {now:g} seconds, and one of b"
)
def step_add_runs(context, now):
    context.intake = intake_builders.IntakeUnderTest(LARGE_BUDGET_BYTES)
    context.intake.intake.max_runs = 2
    for address in ("a", "b"):
        assert context.intake.answer(address, 60_000, now=now)
        context.intake.extend(address, BODY_BYTES * intake.RUNNING_COPIES, now=now)
        context.intake.run(address, now=now)
    context.intake.let_wait("a", now=now)


@behave.when("the upstream of b is done, and d asks for a run at {now:g} seconds")
def step_end_run(context, now):
    context.intake.end_run("b")
    step_ask_for_run(context, now)


@behave.when(
    "the answer to b is given up, its request runs on, and d asks for a run at {now:g} seconds"
)
def step_give_up_and_go(context, now):
    context.intake.intake.close(context.intake.holdings["b"])
    step_go_away(context, now)


@behave.when("b goes away, its request runs on, and d asks for a run at {now:g} seconds")
def step_go_away(context, now):
    async def leave():
        context.ended = asyncio.Event()
        context.task = asyncio.ensure_future(context.ended.wait())
        context.intake.leave("b", context.task, BODY_BYTES)

    platform_calls.run(context, leave())
    step_ask_for_run(context, now)


@behave.then("what the request of b took is given back when it ends")
def step_check_rest(context):
    async def end():
        context.ended.set()
        await context.task
        await asyncio.sleep(0)

    granted = context.intake.intake.budget
    held = granted.held
    platform_calls.run(context, end())
    assert held - granted.held == BODY_BYTES * intake.RUNNING_COPIES, (held, granted.held)
    assert len(context.intake.intake.runs) == 1, context.intake.intake.runs


@behave.when("d asks for a run at {now:g} seconds")
def step_ask_for_run(context, now):
    context.granted = False
    try:
        context.intake.upload("d", 100, now=now)
        context.intake.run("d", now=now)
        context.granted = True
    except errors.GatewayError as error:
        context.error = error


@behave.then("each of them has at least {size:d} bytes")
def step_check_sizes(context, size):
    assert min(context.sizes) >= size, context.sizes


@behave.then("an answer to {address} gets its first {size:d} bytes, and none is given up")
def step_check_new_answer(context, address, size):
    assert context.intake.answer(address, size, now=0)
    assert context.intake.aborted == [], context.intake.aborted


@behave.then("an upload from {address} gets {size:d} bytes, and none is given up")
def step_check_new_upload(context, address, size):
    assert context.intake.ask(address, size, now=0)
    assert context.intake.aborted == [], context.intake.aborted


@behave.when("an upload from {address} asks for {size:d} bytes at {now:g} seconds")
def step_ask(context, address, size, now):
    context.granted = context.intake.ask(address, size, now=now)


@behave.when("connections a, b and c open, and a has a request in hand")
def step_open_connections(context):
    context.intake.connect("a", idle_since=None)
    context.intake.connect("b", idle_since=1.0)
    context.intake.connect("c", idle_since=2.0)


@behave.when("an upload from {address} waits for {size:d} bytes, and {other} is answered")
def step_wait(context, address, size, other):
    async def work():
        waiting = asyncio.ensure_future(context.intake.wait(address, size))
        await asyncio.sleep(0)
        context.intake.close(other)
        await waiting

    platform_calls.run(context, work())
    context.granted = True


@behave.when("an upload from {address} waits for {size:d} bytes in vain")
def step_wait_in_vain(context, address, size):
    try:
        platform_calls.run(context, context.intake.wait(address, size))
    except errors.GatewayError as error:
        context.error = error


@behave.then("the uploads from {addresses} are given up, and it gets its bytes")
def step_check_given_up(context, addresses):
    assert context.intake.aborted == addresses.split(" and "), context.intake.aborted
    context.caused_events = context.intake.logged_events()
    assert context.granted


@behave.then("no upload is given up, and it gets {what} bytes")
def step_check_none_given_up(context, what):
    assert context.intake.aborted == [], context.intake.aborted
    assert context.granted == (what == "its")


@behave.then("it gets its bytes")
def step_check_granted(context):
    assert context.granted


@behave.then("only {name} is closed")
def step_check_closed(context, name):
    assert context.intake.aborted == [name], context.intake.aborted


@behave.then("it is refused as overloaded, with a time to come again")
def step_check_refused(context):
    assert context.error.code is errors.Code.OVERLOADED, context.error
    assert context.error.run is errors.RunStatus.NOT_RUN
    assert context.error.retry_after is not None
