"""Steps about answers to callers that break off."""

from __future__ import annotations

import asyncio

import behave
from aiohttp import web

from tests import builders, forwarding_pair, intake_builders
from yuccahitch.messages import answers
from yuccahitch.tasks import front_server, http_sink

REQUEST_ID = "cut"
EVENT_STREAM = (("content-type", "text/event-stream"),)
CHUNKED_END = b"0\r\n\r\n"
# Time in which the first part reaches the caller, in seconds.
DELIVERY_S = 0.2


def make_platform_sink(request):
    return front_server.FrontSink(
        request,
        request_id=REQUEST_ID,
        memory=intake_builders.an_answer_memory(),
        is_leaving=lambda: False,
    )


def make_own_sink(request):
    return http_sink.HttpSink(
        request,
        request_id=REQUEST_ID,
        memory=intake_builders.an_answer_memory(),
        is_streaming=False,
    )


SINKS = {"platform's front end": make_platform_sink, "own front end": make_own_sink}


@behave.given("a server with the {front} that breaks an answer off after {size:d} bytes")
def step_start_server(context, front, size):
    async def answer_a_part(request):
        """Send a part of an answer, and break it off once the caller has it."""
        sink = SINKS[front](request)
        head = builders.a_head(REQUEST_ID)
        head.headers = EVENT_STREAM
        await sink.start(head)
        await sink.write(answers.Chunk(request_id=REQUEST_ID, attempt=1, data=b"x" * size))
        await asyncio.sleep(DELIVERY_S)
        await sink.cut(builders.a_failure(REQUEST_ID))
        return sink.response

    async def start():
        runner = web.ServerRunner(web.Server(answer_a_part, access_log=None))
        await runner.setup()
        (context.port,) = forwarding_pair.free_ports(1)
        await web.TCPSite(runner, forwarding_pair.HOST, context.port).start()
        context.closers = [runner.cleanup]

    context.loop.run_until_complete(start())


@behave.when("a caller asks it in {version}")
def step_ask(context, version):
    async def ask():
        reader, writer = await asyncio.open_connection(forwarding_pair.HOST, context.port)
        writer.write(f"GET / {version}\r\nHost: x\r\n\r\n".encode())
        received = b""
        try:
            while data := await reader.read(65536):
                received += data
        except ConnectionResetError:
            return received, True
        finally:
            writer.close()
        return received, False

    context.received, context.is_reset = context.loop.run_until_complete(
        asyncio.wait_for(ask(), 10.0)
    )


@behave.then(
    "the caller got a part, and then a reset or an end without the mark that the body is whole"
)
def step_check_cut(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    is_chunked = b"transfer-encoding: chunked" in head.lower()
    assert b"x" in body, context.received[:200]
    assert context.is_reset or (is_chunked and not body.endswith(CHUNKED_END)), head
