"""Steps about requests that must run once, whatever ends them."""

from __future__ import annotations

import asyncio
import socket
import struct

import behave
from aiohttp import web
from click import testing

from tests import attempt_clients, forwarding_pair, platform_builders
from yuccahitch import errors
from yuccahitch.cli import operate
from yuccahitch.messages import actions, answers
from yuccahitch.platform import requests as platform_requests
from yuccahitch.tasks import answer_stream

PROMISING_STATUSES = (408, 421, 429, 503)


@behave.when(
    "its request ends at instance {number:d} after {seconds:g} seconds, without a reply of the"
    " upstream"
)
def step_end_request(context, number, seconds):
    fleet = context.fleet
    fleet.run(seconds)
    result, _ = context.sent_requests[-1]
    fleet.finish(
        context.members[number - 1], result.request.id, usage=answers.Usage(), succeeded=False
    )


@behave.given("an instance whose client account may use {tokens:d} tokens at once")
def step_start_limited(context, tokens):
    edge = platform_builders.EdgeUnderTest(bounds={"rate_slack": "0"})
    tenant = platform_builders.a_published_tenant(ratePerS=0.001, burst=tokens)
    edge.publish(platform_builders.a_publication(tenants=[tenant]))
    edge.mark_store_read()
    edge.decisions.members.own.ready = True
    edge.register_upstream("u1")
    context.edges = [edge]


@behave.when(
    "{count:d} requests of {tokens:d} tokens begin, each given up by its caller while an upstream"
    " works on it"
)
def step_give_up(context, count, tokens):
    (edge,) = context.edges
    context.dispatched = 0
    for _ in range(count):
        next_action = edge.begin_request("/book/x", body=b"x", **{"X-Token-Usage": f"{tokens},0"})
        context.dispatched += type(next_action.action) is actions.Perform
        edge.finish_request(next_action.request_id, succeeded=False)


@behave.then("upstreams got at most {count:d} of them")
def step_check_dispatched(context, count):
    assert 0 < context.dispatched <= count, context.dispatched


@behave.when("a request to book begins, and two more with its id")
def step_begin_same_id(context):
    (edge,) = context.edges
    headers = {"X-Request-Id": "same"}
    context.first = edge.begin_request("/book/x", body=b"x", **headers)
    context.repeats = []
    for _ in range(2):
        repeat = edge.begin_request("/book/x", body=b"x", **headers)
        context.repeats.append(repeat)
        if type(repeat.action) is actions.Refuse:
            end_refused(edge, repeat)


def end_refused(edge, next_action):
    """Finish a refused request as the task that runs it does."""
    edge.finish_request(next_action.request_id, succeeded=False, error=next_action.action.error)


@behave.then("both are refused with a status that does not promise that the request has not run")
def step_check_repeats(context):
    for repeat in context.repeats:
        assert type(repeat.action) is actions.Refuse, repeat.action
        status, _, _ = platform_requests.encode_refusal(repeat.action.error, request_id="same")
        assert status not in PROMISING_STATUSES, status


@behave.then("the first one is answered")
def step_check_first(context):
    (edge,) = context.edges
    work = context.first.action.work
    head = answers.Head(
        request_id="same", attempt=work.attempt, status=200, headers=(), source=work.upstream
    )
    next_action = edge.resume_request("same", head)
    assert next_action is not None and type(next_action.action) is actions.Deliver, next_action


@behave.given("a service that {loses} each request")
def step_start_losing_service(context, loses):
    context.received = []

    async def lose(request):
        """Record a request, then end its connection; the response reaches nobody."""
        context.received.append((request.method, await request.read()))
        if "resets" in loses:
            tcp_socket = request.transport.get_extra_info("socket")
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        request.transport.abort()
        return web.Response()

    async def start():
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", lose)
        app_runner = web.AppRunner(app, access_log=None)
        await app_runner.setup()
        (port,) = forwarding_pair.free_ports(1)
        await web.TCPSite(app_runner, "127.0.0.1", port).start()
        context.service_url = f"http://127.0.0.1:{port}"
        context.closers = [app_runner.cleanup]

    context.loop.run_until_complete(start())


@behave.when("an instance sends it one {method} call")
def step_send_call(context, method):
    async def work():
        async with attempt_clients.running_upstream_client() as client:
            action = attempt_clients.a_call(context.service_url, method)
            stream = answer_stream.AnswerStream(action.request.id, action.attempt, capacity=8)
            attempt_clients.post_dispatch(client, action, stream)
            return await asyncio.wait_for(stream.get(), 5)

    context.part = context.loop.run_until_complete(work())


@behave.when("an operator deletes a resource there")
def step_delete_resource(context):
    arguments = ["account", "rinks", "--url", context.service_url]
    environment = {"YUCCAHITCH_TOKEN": "token"}

    async def work():
        return await asyncio.to_thread(
            testing.CliRunner().invoke, operate.delete, arguments, env=environment
        )

    result = context.loop.run_until_complete(work())
    assert result.exit_code != 0, result.output


@behave.then("the service got the call {count:d} time")
def step_check_received_once(context, count):
    assert len(context.received) == count, context.received


@behave.then("the service got the call {count:d} time, and its answer counts as lost")
def step_check_received(context, count):
    assert len(context.received) == count, context.received
    assert type(context.part) is answers.Failure, context.part
    assert context.part.error.run is errors.RunStatus.MAY_HAVE_RUN, context.part.error
    assert context.part.crashed, context.part


@behave.given("a client of {receivers} with an attempt in its mailbox")
def step_post_attempt(context, receivers):
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.listener.close)
    port = context.listener.getsockname()[1]
    context.client, context.stream = attempt_clients.client_with_attempt(receivers, port)


@behave.when("the request of that attempt ends before the mailbox is read")
def step_end_before_read(context):
    context.stream.close()

    async def work():
        task = asyncio.ensure_future(context.client.run())
        await asyncio.sleep(0.3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.loop.run_until_complete(work())


@behave.then("nothing is sent")
def step_check_nothing_sent(context):
    context.listener.setblocking(False)
    try:
        connection, _ = context.listener.accept()
    except BlockingIOError:
        return
    connection.close()
    raise AssertionError("the client connected for an attempt whose request was over")
