"""Steps about upstreams that write an answer more than once."""

from __future__ import annotations

import asyncio
import itertools
import socket

import behave

from standins import copying_upstream, limited_upstream
from tests import copied_answers, forwarding_pair, platform_builders
from yuccahitch import errors, events
from yuccahitch.messages import answers
from yuccahitch.platform import requests as platform_requests
from yuccahitch.tasks import replica_connection, tcp_connection

REQUEST_ID = "r-1"
STREAMING_PATHS = ("/ask/x", "/plan/x")
LONG_BODY = b"x" * 15000
# Time before a refusal, in which the instance hears of the new name, in seconds.
REFUSAL_S = 0.2
MANY = 99
# Time in which a server in another thread comes to rest, in seconds.
REST_S = 0.005
SECOND_ANSWER = copying_upstream.SIGNED_HEAD.format(id="second") + "Content-Length: 2\r\n\r\nok"
_ids = itertools.count(1)


@behave.given(
    "an instance whose upstream has come back under a new name, and writes its refusals again"
    " {moment}"
)
def step_start_returned(context, moment):
    context.moment = moment
    context.remote = False


@behave.given(
    "an instance that forwards to another region whose upstream has come back under a new name,"
    " and writes its refusals again {moment}"
)
def step_start_returned_elsewhere(context, moment):
    context.moment = moment
    context.remote = True


async def start_returned(context, path):
    """Start the instance, and its upstream that knows its new name only."""
    streams = path in STREAMING_PATHS
    upstream = copying_upstream.CopyingUpstream(
        [copied_answers.NEW],
        copies=1,
        moment=context.moment,
        refusal_s=REFUSAL_S,
        work_s=0.6,
        streams=streams,
    )
    context.returned = copied_answers.ReturnedUpstream(
        upstream, service="model" if streams else "desk"
    )
    context.closers = [context.returned.close]
    await context.returned.start()


@behave.when("a request {method} {path} gets 421 under the old name, then runs under the new one")
def step_send_to_both(context, method, path):
    async def work():
        await start_returned(context, path)
        returned = context.returned
        returned.register(copied_answers.OLD)
        body = b"x" if method == "POST" else b""
        context.sink, task = returned.send(path, REQUEST_ID, method=method, body=body)
        await forwarding_pair.wait_for(lambda: returned.upstream.received)
        returned.register(copied_answers.NEW)
        await forwarding_pair.wait_for(lambda: len(returned.upstream.received) > 1)
        returned.register(copied_answers.THIRD)
        await asyncio.wait_for(task, copied_answers.LIMIT_S)

    context.loop.run_until_complete(work())
    record_events(context, context.returned.node.replicas.log)


@behave.when("an order is refused under the old name, and sent again under its id")
def step_send_again(context):
    async def work():
        await start_returned(context, "/book/x")
        returned = context.returned
        node, zone = returned.node, "east-a"
        if context.remote:
            node, zone = await add_remote(context), "west-a"
        for known in {node, returned.node}:
            returned.register(copied_answers.OLD, node=known, zone=zone)
        sink, task = returned.send("/book/x", REQUEST_ID, method="POST", body=b"x")
        await asyncio.wait_for(task, copied_answers.LIMIT_S)
        (error,) = sink.ends
        assert platform_requests.encode_refusal(error, request_id=REQUEST_ID)[0] == 503, error
        for known in {node, returned.node}:
            returned.register(copied_answers.NEW, node=known, zone=zone)
        context.sink, task = returned.send("/book/x", REQUEST_ID, method="POST", body=b"x")
        await asyncio.wait_for(task, copied_answers.LIMIT_S)

    context.loop.run_until_complete(work())


async def add_remote(context):
    """Start an instance of another region that the first one forwards to, and return it."""
    remote = forwarding_pair.Node("remote", "west")
    (port,) = forwarding_pair.free_ports(1)
    await remote.start(port)
    context.closers.append(remote.close)
    entry = context.returned.node.edge
    own = remote.edge.decisions.members.own
    own.host, own.peer_port, own.ready = copied_answers.HOST, port, True
    remote.edge.now = entry.now
    remote.edge.publish(platform_builders.a_publication())
    remote.edge.mark_store_read()
    entry.discover(remote.edge)
    return remote


@behave.when(
    "a stream breaks off elsewhere after {count:d} events, then gets 421 under the old name, then"
    " goes on"
)
def step_resume_stream(context, count):
    async def work():
        await start_returned(context, "/plan/x")
        returned = context.returned
        returned.third.cut_after = count
        returned.register(copied_answers.THIRD)
        context.sink, task = returned.send("/plan/x", REQUEST_ID)
        await forwarding_pair.wait_for(lambda: returned.third.received)
        returned.register(copied_answers.OLD)
        await forwarding_pair.wait_for(lambda: returned.upstream.received)
        returned.register(copied_answers.NEW)
        await asyncio.wait_for(task, copied_answers.LIMIT_S)

    context.loop.run_until_complete(work())


@behave.then("its caller gets each event once, and only the new name went on")
def step_check_resumed(context):
    expected = list(range(1, copying_upstream.EVENT_COUNT + 1))
    assert context.sink.event_ids() == expected, (context.sink.body, context.sink.ends)
    assert context.sink.ends == ["complete"], context.sink.ends
    assert len(context.returned.upstream.runs(REQUEST_ID)) == 1, context.returned.upstream.received
    assert len(context.returned.third.runs(REQUEST_ID)) == 1, context.returned.third.received


@behave.when(
    "an order gets 421 under the old name here, is refused in the other region and comes back"
)
def step_come_back(context):
    async def work():
        await start_returned(context, "/book/x")
        returned = context.returned
        remote = await add_remote(context)
        returned.third.first_answers, returned.third.refusal_s = MANY, REFUSAL_S
        for node in (remote, returned.node):
            returned.register(copied_answers.THIRD, node=node, zone="west-a")
        returned.register(copied_answers.OLD)
        context.sink, task = returned.send("/book/x", REQUEST_ID, method="POST", body=b"x")
        await forwarding_pair.wait_for(lambda: returned.third.received)
        returned.register(copied_answers.NEW)
        await asyncio.wait_for(task, copied_answers.LIMIT_S)
        assert returned.third.received and len(returned.upstream.received) == 2

    context.loop.run_until_complete(work())


@behave.then("it runs once and its caller gets that answer")
def step_check_one_run(context):
    runs = context.returned.runs(REQUEST_ID)
    assert len(runs) == 1, context.returned.upstream.received + context.returned.third.received
    assert context.sink.ends == ["complete"], context.sink.ends
    if context.returned.upstream.streams:
        expected = list(range(1, copying_upstream.EVENT_COUNT + 1))
        assert context.sink.event_ids() == expected, context.sink.body
    else:
        assert context.sink.body.decode() == f"done {REQUEST_ID}", context.sink.body


@behave.then("the new name is still in use")
def step_check_in_use(context):
    replica = context.returned.node.edge.decisions.registry.by_name[copied_answers.NEW]
    assert not replica.misdirected and not replica.said_leaving


@behave.given(
    "an upstream that answers {answer}, and writes that {copies:d} times more {moment}",
)
def step_start_copying(context, answer, copies, moment):
    upstream = copying_upstream.CopyingUpstream(
        [copied_answers.NEW] if answer == "421" else [copied_answers.OLD, copied_answers.NEW],
        answer=answer,
        copies=copies,
        moment=moment,
        first_answers=0 if answer == "421" else 1,
    )
    context.subject = copied_answers.ClientUnderTest(upstream)
    context.closers = [context.subject.close]
    context.body = b""
    context.loop.run_until_complete(context.subject.start())


@behave.when("{request} is answered so, and sent there again under another name")
def step_send_twice(context, request):
    context.subject.upstream.early = request == "an early refused one"
    if "long" in request or "early" in request:
        context.body = LONG_BODY

    async def work():
        await context.subject.send(REQUEST_ID, body=context.body)
        context.subject.upstream.streams = request == "a stream"
        await send_again(context)

    context.loop.run_until_complete(work())


async def send_again(context):
    """Send the request once more, under the new name of its upstream."""
    context.subject.notices.clear()
    context.parts = await context.subject.send(
        REQUEST_ID,
        name=copied_answers.NEW,
        attempt=2,
        body=context.body,
        streams=context.subject.upstream.streams,
    )
    record_events(context, context.subject.client.log)


@behave.when("a request is answered so, {count:d} others are run there, and it is sent there again")
def step_send_later(context, count):
    async def work():
        await context.subject.send(REQUEST_ID)
        for _ in range(count):
            await context.subject.send(f"other-{next(_ids)}")
        await send_again(context)

    context.loop.run_until_complete(work())


@behave.when("a request is answered so, and another one is sent there")
def step_send_other(context):
    context.other_id = f"other-{next(_ids)}"

    async def work():
        await context.subject.send(REQUEST_ID)
        context.parts = await context.subject.send(context.other_id, name=copied_answers.NEW)

    context.loop.run_until_complete(work())


@behave.then("the other one gets its own answer")
def step_check_other_answer(context):
    head, chunk, end = context.parts
    assert head.status == 200 and type(end) is answers.End, context.parts
    assert chunk.data.decode() == f"done {context.other_id}", chunk
    check_other_connection(context)


@behave.then("the other one counts as one that may have run")
def step_check_other_failure(context):
    failure = context.parts[-1]
    assert type(failure) is answers.Failure, context.parts
    assert failure.error.run is errors.RunStatus.MAY_HAVE_RUN, failure.error
    check_other_connection(context)


def check_other_connection(context):
    """Check that both requests went over one connection, where the copies came."""
    assert [item["connection"] for item in context.subject.upstream.received] == [1, 1]


@behave.when(
    "a request is answered so {order} another one that runs there, and is sent there again"
)
def step_send_beside(context, order):
    async def work():
        first = asyncio.ensure_future(context.subject.send(REQUEST_ID))
        await forwarding_pair.wait_for(lambda: context.subject.upstream.received)
        await asyncio.gather(first, context.subject.send(f"other-{next(_ids)}"))
        await send_again(context)

    context.subject.upstream.refusal_s = REFUSAL_S
    context.subject.upstream.work_s = REFUSAL_S * (2 if order == "before" else 0.25)
    context.loop.run_until_complete(work())


@behave.then("it gets its own answer in full, and nothing else is believed")
def step_check_own_answer(context):
    kinds = [type(part) for part in context.parts]
    assert (kinds[0], kinds[-1]) == (answers.Head, answers.End), context.parts
    head, *chunks, _ = context.parts
    assert (head.status, head.source) == (200, copied_answers.NEW), head
    body = b"".join(chunk.data for chunk in chunks).decode()
    if context.subject.upstream.streams:
        assert body.count("id: ") == copying_upstream.EVENT_COUNT, body
    else:
        assert body == f"done {REQUEST_ID}", body
    (notice,) = context.subject.notices
    assert notice.upstream == copied_answers.NEW, notice
    assert not notice.leaving and not notice.pause_s, notice
    carried = [(item["connection"], item["id"]) for item in context.subject.upstream.received]
    assert len(set(carried)) == len(carried), carried


@behave.then("{count:d} connections were opened")
def step_check_connections(context, count):
    assert context.subject.client.opened_total == count, context.subject.client.opened_total


@behave.when("{count:d} requests are refused there, one after another")
def step_refuse_some(context, count):
    refuse(context, count)


@behave.when("more requests are refused there, one after another, than a connection carries")
def step_refuse_many(context):
    refuse(context, replica_connection.MAX_REQUESTS + 1)


def refuse(context, count):
    """Send so many requests, each of which is refused."""
    context.subject.upstream.first_answers = count

    async def work():
        for _ in range(count):
            (failure,) = await context.subject.send(f"refused-{next(_ids)}")
            assert type(failure) is answers.Failure, failure

    context.loop.run_until_complete(work())


@behave.when("{count:d} requests of one id are run there, one after another")
def step_run_one_id(context, count):
    context.subject.upstream.first_answers = count

    async def work():
        for attempt in range(1, count + 1):
            await context.subject.send(REQUEST_ID, attempt=attempt)

    context.loop.run_until_complete(work())


@behave.then("each ran on a connection of its own, and one is left")
def step_check_left(context):
    received = [item["connection"] for item in context.subject.upstream.received]
    assert len(set(received)) == len(received) > 1, received
    (pool,) = context.subject.client.pools.values()
    assert len(pool) == 1, pool


def record_events(context, log):
    """Record the events that a client logged, for the check that all of them are caused."""
    labels = {event.label for event in events.Event}
    context.caused_events = {dict(series)["event"] for series in log.series} & labels


@behave.given("a server whose connections the test writes")
def step_listen(context):
    context.listener = socket.create_server((copied_answers.HOST, 0))
    context.listener.setblocking(False)
    context.add_cleanup(context.listener.close)


@behave.when("{what} comes on the idle connection of a request as the next one is sent")
def step_break_idle(context, what):
    async def answer_next(text):
        """Accept a connection, answer the request on it and return it."""
        connection, _ = await context.loop.sock_accept(context.listener)
        context.add_cleanup(connection.close)
        await context.loop.sock_recv(connection, 65536)
        await context.loop.sock_sendall(connection, text.encode())
        return connection

    async def work():
        subject = copied_answers.ClientUnderTest(None)
        subject.address = "{}:{}".format(*context.listener.getsockname())
        subject.tasks.start(subject.client.run())
        accepted = subject.tasks.start(answer_next(refusal_of(REQUEST_ID)))
        await subject.send(REQUEST_ID)
        connection = await accepted
        subject.tasks.start(answer_next(SECOND_ANSWER))
        await asyncio.sleep(0)
        # The loop does not turn between this and the post of the next request.
        break_connection(connection, what)
        context.parts = await subject.send("second", body=b"x")
        await subject.tasks.stop()

    context.loop.run_until_complete(work())


def refusal_of(request_id):
    """Return a whole refusal of a request."""
    head = copying_upstream.ANSWERS["421"]
    return f"{head}X-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"


def break_connection(connection, what):
    """Send a copy of a refusal on a connection, or end or reset it."""
    copy = refusal_of(REQUEST_ID).encode()
    if what == "an end":
        connection.shutdown(socket.SHUT_WR)
    elif what == "a reset":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, tcp_connection.RESET_ON_CLOSE)
        connection.close()
    else:
        connection.send(copy[: len(copy) // 2] if what.startswith("half") else copy)


@behave.then("the next one is answered on a new connection")
def step_check_answered(context):
    assert [type(part) for part in context.parts] == [
        answers.Head,
        answers.Chunk,
        answers.End,
    ], context.parts


@behave.given("an upstream under a new name that takes one connection")
def step_start_limited(context):
    context.upstream = limited_upstream.LimitedUpstream(copied_answers.NEW)
    context.add_cleanup(context.upstream.listener.close)
    context.upstream.start()


@behave.when(
    "{count:d} requests are refused under the old name, and sent there again under the new one"
)
def step_send_limited(context, count):
    async def work():
        subject = copied_answers.ClientUnderTest(None)
        subject.address = context.upstream.address
        subject.tasks.start(subject.client.run())
        context.last_parts = []
        for number in range(count):
            await subject.send(f"limited-{number}")
            parts = await subject.send(f"limited-{number}", name=copied_answers.NEW, attempt=2)
            context.last_parts.append(parts[-1])
            await asyncio.sleep(REST_S)
        await subject.tasks.stop()

    context.loop.run_until_complete(work())


@behave.then("each gets its own answer, and no connection was reset")
def step_check_limited(context):
    kinds = {type(part) for part in context.last_parts}
    assert kinds == {answers.End}, context.last_parts
    assert context.upstream.reset_count == 0, context.upstream.reset_count
