"""Steps about requests that are given up between or during their attempts."""

from __future__ import annotations

import asyncio
import time

import behave

from standins import copying_upstream
from tests import copied_answers, forwarding_pair, intake_builders
from yuccahitch import errors
from yuccahitch.platform import requests as platform_requests
from yuccahitch.tasks import runner

REQUEST_ID = "between-1"
PATH = "/book/x"
REFUSAL_S = 0.2
WORK_S = 3.0
# Time that the order has, in seconds; its second attempt is under way then.
LIMIT_S = 1.2
# Time in which the second attempt has surely begun, in seconds.
UNDER_WAY_S = 0.4
PROMISES = platform_requests.NOT_EXECUTED_STATUSES


async def start(context, moment):
    """Start an instance, and an upstream at the address of which another one was before."""
    upstream = copying_upstream.CopyingUpstream(
        [copied_answers.NEW], copies=2, moment=moment, refusal_s=REFUSAL_S, work_s=WORK_S
    )
    context.returned = copied_answers.ReturnedUpstream(upstream)
    context.closers = [context.returned.close]
    await context.returned.start()


def send(context):
    """Send the order; keep its runner, so that it can be given up."""
    returned = context.returned
    context.sink = forwarding_pair.RecordingSink()
    request = forwarding_pair.a_platform_request(PATH, "POST", b"x", LIMIT_S, REQUEST_ID)
    context.runner = runner.Runner(
        returned.node.mailboxes,
        request,
        context.sink,
        memory=intake_builders.an_answer_memory(),
        now=time.monotonic,
    )
    context.task = returned.requests.start(context.runner.run())


@behave.given(
    "an order that was refused and is under way again, where copies of its refusal come {moment}"
)
def step_under_way_again(context, moment):
    async def work():
        await start(context, moment)
        returned = context.returned
        returned.register(copied_answers.OLD)
        send(context)
        await forwarding_pair.wait_for(lambda: returned.upstream.received)
        returned.register(copied_answers.NEW)
        await forwarding_pair.wait_for(lambda: len(returned.upstream.received) > 1)
        returned.register(copied_answers.THIRD)
        await asyncio.sleep(UNDER_WAY_S)

    context.loop.run_until_complete(work())


@behave.given(
    "an order whose first upstream takes a while to refuse it, where another one could run it"
)
def step_refused_late(context):
    async def work():
        await start(context, copying_upstream.BEFORE)
        returned = context.returned
        returned.upstream.refusal_s = 2 * LIMIT_S
        returned.register(copied_answers.OLD)
        send(context)
        await forwarding_pair.wait_for(lambda: returned.upstream.received)
        returned.register(copied_answers.THIRD)

    context.loop.run_until_complete(work())


@behave.when("meanwhile, {what}")
def step_give_up(context, what):
    async def work():
        if what == "the instance stops":
            context.runner.give_up()
        elif what == "its caller leaves":
            context.task.cancel()
        await asyncio.wait([context.task], timeout=2 * LIMIT_S)
        assert context.task.done()
        await asyncio.sleep(0.5)

    context.loop.run_until_complete(work())


@behave.then("its caller is told nothing but that it may have run")
def step_check_told(context):
    for error in context.sink.ends:
        assert error.run is errors.RunStatus.MAY_HAVE_RUN, error
        status, _, _ = platform_requests.encode_refusal(error, request_id=REQUEST_ID)
        assert status not in PROMISES, status


@behave.then("no upstream works on it 0.5 seconds later, and no other one got it")
def step_check_ended(context):
    (run,) = context.returned.runs(REQUEST_ID)
    assert "ended_at" in run, "the upstream works on"
    assert not context.returned.third.received, context.returned.third.received


@behave.then("no upstream runs it, and no other one got it")
def step_check_not_run(context):
    assert not context.returned.runs(REQUEST_ID)
    assert not context.returned.third.received, context.returned.third.received


@behave.given("an upstream that loses its answer to an order, and another one that refuses all")
def step_lose_answer(context):
    async def work():
        await start(context, copying_upstream.BEFORE)
        returned = context.returned
        returned.upstream.cut_after, returned.upstream.work_s = 1, REFUSAL_S
        returned.third.first_answers = 99
        returned.register(copied_answers.NEW)

    context.loop.run_until_complete(work())


@behave.when("the order is sent to both in turn")
def step_send_in_turn(context):
    async def work():
        send(context)
        await forwarding_pair.wait_for(lambda: context.returned.upstream.received)
        context.returned.register(copied_answers.THIRD)
        await asyncio.wait_for(context.task, 2 * LIMIT_S)

    context.loop.run_until_complete(work())
    assert len(context.sink.ends) == 1 and len(context.returned.runs(REQUEST_ID)) == 1
