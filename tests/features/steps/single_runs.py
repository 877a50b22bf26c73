"""Steps about requests that must run once, whatever ends them."""

from __future__ import annotations

import asyncio
import socket
import struct

import behave
from aiohttp import web
from click import testing

from tests import attempt_clients, forwarding_pair, intake_builders, platform_builders
from yuccahitch import errors
from yuccahitch.cli import operate
from yuccahitch.controllers.runs import orders
from yuccahitch.messages import actions, answers, commands, store
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


@behave.given("an instance in east that forwards to west")
def step_start_pair(context):
    async def work():
        context.pair = forwarding_pair.ForwardingPair()
        await context.pair.start()

    context.closers = [lambda: context.pair.close()]
    context.loop.run_until_complete(work())


@behave.when("a request that must run once is answered slowly, and two more with its id come")
def step_send_same_id(context):
    async def work():
        pair = context.pair
        pair.upstreams["far"].faults.values["gap_s"] = 0.2
        context.request_id, context.sink, task = pair.send("/ask/x")
        await forwarding_pair.wait_for(lambda: context.sink.event_ids())
        context.repeats = []
        for _ in range(2):
            _, sink, repeat_task = pair.send("/ask/x", request_id=context.request_id)
            context.repeats.append(sink)
            await asyncio.wait_for(repeat_task, 5)
        await asyncio.wait_for(task, 5)

    context.loop.run_until_complete(work())


@behave.then("both are refused with a status that does not promise that the request has not run")
def step_check_repeats(context):
    for sink in context.repeats:
        (error,) = sink.ends
        status, _, _ = platform_requests.encode_refusal(error, request_id=context.request_id)
        assert status not in PROMISING_STATUSES, status


@behave.then("the first one ran once and is answered in full")
def step_check_first(context):
    received = [item["id"] for item in context.pair.upstreams["far"].received if item["ran"]]
    assert received == [context.request_id], received
    assert context.sink.ends == ["complete"], context.sink.ends
    assert not context.pair.entry.edge.decisions.in_flight.contexts


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

    start_service(context, lose)


def start_service(context, handle):
    """Start an HTTP service on a free port."""

    async def start():
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        app_runner = web.AppRunner(app, access_log=None)
        await app_runner.setup()
        (port,) = forwarding_pair.free_ports(1)
        await web.TCPSite(app_runner, "127.0.0.1", port).start()
        context.service_url = f"http://127.0.0.1:{port}"
        context.closers = [app_runner.cleanup]

    context.loop.run_until_complete(start())


@behave.given("a service that redirects each request to itself with status {status:d}")
def step_start_redirecting_service(context, status):
    context.received = []

    async def redirect(request):
        """Record a request and answer it with a redirect to another path."""
        context.received.append((request.method, await request.read()))
        location = f"/elsewhere/{len(context.received)}"
        return web.Response(status=status, headers={"location": location})

    start_service(context, redirect)


@behave.when("an instance makes it execute an order")
def step_send_order(context):
    replies = asyncio.Queue()

    async def work():
        async with attempt_clients.running(
            attempt_clients.an_upstream_client(on_reply=replies.put_nowait)
        ) as client:
            order = orders.Order("t1", upstream="u1", body=b"{}", send_deadline=1e9)
            client.inbox.post(
                commands.SendOrder(
                    order=order, address=context.service_url, fence=1, body=b"{}", timeout_s=5.0
                )
            )
            return await asyncio.wait_for(replies.get(), 5)

    reply = context.loop.run_until_complete(work())
    assert reply.error.run is errors.RunStatus.MAY_HAVE_RUN, reply.error


@behave.when("an instance makes it commit to the store")
def step_commit(context):
    commit = store.Commit(conditions=[store.Condition("k", 0)], changes=[store.Put("k", b"v")])
    call = attempt_clients.call_store(context.service_url, commit)
    reply = context.loop.run_until_complete(call).reply
    assert type(reply) is store.CallFailed and reply.may_have_applied, reply


@behave.then("the service got {count:d} request")
def step_check_received_count(context, count):
    assert len(context.received) == count, context.received


@behave.when("an instance makes it answer one {method} call")
@behave.when("an instance sends it one {method} call")
def step_send_call(context, method):
    async def work():
        async with attempt_clients.running_upstream_client() as client:
            action = attempt_clients.a_call(context.service_url, method)
            stream = answer_stream.AnswerStream(
                action.request.id,
                action.attempt,
                capacity=8,
                memory=intake_builders.an_answer_memory(),
            )
            attempt_clients.post_dispatch(client, action, stream)
            return await asyncio.wait_for(stream.get(), 5)

    context.part = context.loop.run_until_complete(work())


@behave.when("an instance makes it delete a resource")
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


@behave.given("an upstream that does not read what it receives")
def step_start_unread_upstream(context):
    context.listener = socket.socket()
    context.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    context.listener.bind(("127.0.0.1", 0))
    context.listener.listen()
    context.add_cleanup(context.listener.close)


@behave.when("an attempt to send it a body of {size:d} bytes is given up")
def step_give_up_attempt(context, size):
    client = attempt_clients.a_replica_client()
    action = platform_builders.a_dispatch("u1", incarnation="u1~1")
    action.address = f"127.0.0.1:{context.listener.getsockname()[1]}"
    action.request.method, action.request.body = "POST", b"x" * size
    action.request.headers = (("Host", "rinks.example"),)
    stream = answer_stream.AnswerStream(
        action.request.id, action.attempt, capacity=8, memory=intake_builders.an_answer_memory()
    )

    async def work():
        task = asyncio.ensure_future(client.run())
        attempt_clients.post_dispatch(client, action, stream)
        await asyncio.sleep(0.3)
        stream.close()
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.body_size = size
    context.loop.run_until_complete(work())


@behave.when("the upstream reads on")
def step_read_on(context):
    connection, _ = context.listener.accept()
    context.add_cleanup(connection.close)
    connection.settimeout(2.0)
    context.received_size = 0
    try:
        while data := connection.recv(65536):
            context.received_size += len(data)
    except ConnectionResetError:
        context.was_reset = True


@behave.then("it does not get the whole request")
def step_check_partial(context):
    assert context.received_size < context.body_size, context.received_size
