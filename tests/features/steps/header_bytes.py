"""Steps about headers that hold more than ASCII."""

from __future__ import annotations

import asyncio

import behave

from tests import forwarding_pair
from yuccahitch import errors
from yuccahitch.codecs import header_text

HEADER = "X-Rink-Name"
# A surrogate that stands for no byte of a header.
UNSENDABLE = "\ud800"
DEADLINE_S = 8.0


@behave.given("an upstream in east serves")
def step_serve_near(context):
    context.pair.register_near()
    context.upstream = context.pair.upstreams["near"]


@behave.given("only one in west serves")
def step_serve_far(context):
    context.upstream = context.pair.upstreams["far"]


@behave.when("a caller sends a header with the bytes {value}")
def step_send_bytes(context, value):
    context.sent = bytes.fromhex(value)
    send(context, header_text.from_bytes(context.sent))


@behave.when("a caller sends a header that no upstream can be sent")
def step_send_unsendable(context):
    send(context, UNSENDABLE)


def send(context, value):
    """Send a request with the header, and wait for its end until its deadline."""

    async def work():
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        _, context.sink, task = context.pair.send(
            "/ask/x", headers={HEADER: value}, deadline_s=DEADLINE_S
        )
        await forwarding_pair.wait_for(lambda: context.sink.ends, limit_s=2 * DEADLINE_S)
        context.seconds = loop.time() - began_at
        await task

    context.loop.run_until_complete(work())


@behave.then(
    "the request is answered in full within {seconds:g} seconds,"
    " and its upstream got the same bytes"
)
def step_check_bytes(context, seconds):
    assert context.sink.ends == ["complete"], context.sink.ends
    assert context.seconds <= seconds, context.seconds
    (record,) = context.upstream.received
    assert header_text.to_bytes(record["headers"][HEADER.lower()]) == context.sent, record


@behave.then("the request ends within {seconds:g} seconds with a status that promises nothing")
def step_check_failure(context, seconds):
    (error,) = context.sink.ends
    assert context.seconds <= seconds, context.seconds
    assert error.run is errors.RunStatus.MAY_HAVE_RUN, error
