"""Steps about answers that nobody waits for."""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import time

import behave

from standins import extra_answers
from tests import attempt_clients, builders, intake_builders
from yuccahitch.codecs import etcd
from yuccahitch.messages import answers, commands, store
from yuccahitch.platform import store as platform_store
from yuccahitch.tasks import answer_stream, mailbox, pollers

# Time between two requests, within which what comes while a connection is idle has come.
PAUSE_S = 0.15
EXTRA_AFTER_S = 0.03
ANSWER_S = 0.4
REFUSED_STATUS = 503
STREAM_TYPE = "text/event-stream"


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 30))


class EngineScript:
    """What an engine answers, by the text of a feature.

    Attributes:
        names: Whether it repeats the id of the request.
        extra: What it sends too much.
    """

    __slots__ = ("names", "extra")

    def __init__(self, names, extra):
        self.names = names
        self.extra = extra

    def __call__(self, request, received):
        """Return the steps of an answer."""
        copied = self.answer_to(received[0])
        own = self.answer_to(request)
        if self.extra.endswith("before each answer"):
            early = self.encode(request, b"{}", status=REFUSED_STATUS)
            if "another request" in self.extra:
                early = extra_answers.an_answer(b"{}", request_id="r-of-another.1")
            return [a_step(0.0, early), a_step(ANSWER_S, own, is_own=True)]
        follows_first = request.number == 2 and request.connection == received[0].connection
        if self.extra.endswith("where the next is due") and follows_first:
            return [a_step(0.0, copied), a_step(ANSWER_S, own, is_own=True)]
        if request.number > 1 or self.extra.endswith("is due"):
            return [a_step(0.0, own, is_own=True)]
        if self.extra.endswith("together with it"):
            return [a_step(0.0, own + copied, is_own=True)]
        if self.extra.endswith("half of it later"):
            half = len(copied) // 2
            return [
                a_step(0.0, own + copied[:half], is_own=True),
                a_step(EXTRA_AFTER_S, copied[half:]),
            ]
        count = 3 if self.extra.startswith("3 copies") else 1
        has_copies = "garbage" not in self.extra
        copies = [a_step(EXTRA_AFTER_S, copied)] * count if has_copies else []
        return [a_step(0.0, own, is_own=True), *copies]

    def answer_to(self, request):
        """Return the whole answer to a request."""
        words = json.loads(request.body)["messages"][0]["content"]
        if "refusal," in self.extra and request.number == 1:
            return self.encode(request, b"{}", status=REFUSED_STATUS)
        if "stream" not in self.extra:
            return self.encode(request, json.dumps({"words": words}).encode())
        event = json.dumps({"words": words}).encode()
        garbage = b"no event\n\n" if "garbage" in self.extra else b""
        body = b"data: " + event + b"\n\ndata: [DONE]\n\n" + garbage
        return self.encode(request, body, content_type=STREAM_TYPE)

    def encode(self, request, body, **options):
        request_id = request.id if self.names else ""
        return extra_answers.an_answer(body, request_id=request_id, **options)


def a_step(delay_s, data, **options):
    return extra_answers.Step(delay_s, data, **options)


class Outcome:
    """What a chat got.

    Attributes:
        words: Words that it asked with.
        body: Body of its answer.
        error: Error of its failure, or None.
        ended_at: When it ended, in monotonic seconds.
    """

    __slots__ = ("words", "body", "error", "ended_at")

    def __init__(self, words):
        self.words = words
        self.body = b""
        self.error = None
        self.ended_at = 0.0


async def send(client, action, words):
    """Send an attempt; return what it got."""
    outcome = Outcome(words)
    stream = answer_stream.AnswerStream(
        action.request.id, action.attempt, capacity=8, memory=intake_builders.an_answer_memory()
    )
    attempt_clients.post_dispatch(client, action, stream)
    part = None
    while type(part) not in (answers.End, answers.Failure):
        part = await stream.get()
        outcome.body += part.data if type(part) is answers.Chunk else b""
    outcome.error = part.error if type(part) is answers.Failure else None
    outcome.ended_at = time.monotonic()
    return outcome


@behave.given("an engine that {names} the request in its answers and sends {extra}")
def step_start_engine(context, names, extra):
    script = EngineScript(names == "repeats", extra)
    context.script = script
    start_server(context, script)


@behave.when("{count:d} chats are sent to it one after another")
def step_send_chats(context, count):
    async def work():
        context.outcomes = []
        async with attempt_clients.running_upstream_client() as client:
            for number in range(count):
                words = f"words {number}"
                action = attempt_clients.a_chat(
                    f"http://127.0.0.1:{context.server.port}",
                    echoes_request_id=context.script.names,
                    stream="stream" in context.script.extra,
                    words=words,
                )
                context.outcomes.append(await send(client, action, words))
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(ANSWER_S)

    run(context, work())


@behave.then("each gets its own answer or a failure, and {failures:d} fail")
def step_check_answers(context, failures):
    answered = [outcome for outcome in context.outcomes if outcome.error is None]
    for outcome in answered:
        assert outcome.words.encode() in outcome.body, (outcome.words, outcome.body)
    failed = [str(outcome.error) for outcome in context.outcomes if outcome.error is not None]
    assert len(failed) == failures, failed


@behave.then("none works on a chat {seconds:g} seconds after the chat has failed")
def step_check_ended(context, seconds):
    failed = [
        (outcome, request)
        for outcome, request in zip(context.outcomes, context.server.received, strict=True)
        if outcome.error is not None
    ]
    assert failed
    for outcome, request in failed:
        assert request.ended_at is not None, "the engine works on"
        late_s = request.ended_at - outcome.ended_at
        assert late_s <= seconds, f"it worked {late_s:.2f} s longer"


STORE_CALLS = {
    "a claim": store.Commit(conditions=[store.Condition("k", 0)], changes=[store.Put("k", b"v")]),
    "many claims": store.CommitMany(
        [store.Commit(conditions=[store.Condition("k", 0)], changes=[store.Put("k", b"v")])]
    ),
    "a lease": store.GrantLease(10.0),
}
# What a read of the key of these calls returns.
HELD_KEY = {"kvs": [{"key": "aw==", "value": "b3RoZXI=", "mod_revision": "4"}]}
# Status and body of the first reply and of those after it, by dialect and call.
STORE_REPLIES = {
    ("etcd", "a claim"): [
        (200, {"header": {"revision": "5"}, "succeeded": True}),
        (200, {"header": {"revision": "6"}}),
    ],
    ("etcd", "many claims"): [
        (200, {"responses": [{"response_txn": {"succeeded": True}}]}),
        (200, {"responses": [{"response_txn": {"responses": [{"response_range": HELD_KEY}]}}]}),
    ],
    ("etcd", "a lease"): [(200, {"ID": "1", "TTL": "10"}), (200, {"ID": "2", "TTL": "10"})],
    ("platform", "a claim"): [(200, {"revision": 5}), (412, {"items": []})],
    ("platform", "a lease"): [
        (200, {"lease": 1, "ttlMs": 10_000}),
        (200, {"lease": 2, "ttlMs": 10_000}),
    ],
}


@behave.given("a {dialect} store that sends the reply to {call} again, {when}")
def step_start_store(context, dialect, call, when):
    context.dialect = {"etcd": etcd, "platform": platform_store}[dialect]
    context.call = STORE_CALLS[call]
    replies = STORE_REPLIES[dialect, call]
    copies = 3 if when.startswith("3 times") else 1

    def script(request, received):
        """Send the reply to a call, and that to the first one again."""
        status, body = replies[min(request.number, len(replies)) - 1]
        reply = extra_answers.an_answer(json.dumps(body).encode(), status=status)
        if when == "where next is due":
            is_second = request.number == 2 and request.connection == received[0].connection
            first = extra_answers.an_answer(json.dumps(replies[0][1]).encode())
            copy = [a_step(0.0, first)] if is_second else []
            return [*copy, a_step(0.1 if copy else 0.0, reply, is_own=True)]
        again = [a_step(EXTRA_AFTER_S, reply)] * copies if request.number == 1 else []
        return [a_step(0.0, reply, is_own=True), *again]

    start_server(context, script)


@behave.given(
    "a {dialect} store that sends half of the first reply again while idle,"
    " and the rest of it later"
)
def step_start_splitting_store(context, dialect):
    context.dialect = {"etcd": etcd, "platform": platform_store}[dialect]
    context.call = STORE_CALLS["a lease"]
    replies = STORE_REPLIES[dialect, "a lease"]

    def script(request, received):
        """Send the reply to a call, and parts of the first one."""
        first, own = [
            extra_answers.an_answer(json.dumps(replies[number - 1][1]).encode())
            for number in (1, request.number)
        ]
        half = len(first) // 2
        if request.number == 1:
            return [a_step(0.0, own, is_own=True), a_step(EXTRA_AFTER_S, first[:half])]
        is_same = request.connection == received[0].connection
        return [a_step(0.0, first[half:] if is_same else b""), a_step(0.1, own, is_own=True)]

    start_server(context, script)


@behave.then("the second call gets no reply but its own, or fails")
def step_check_no_other_reply(context):
    first, second = context.replies
    assert first.lease == 1, first
    assert type(second) is store.CallFailed or second.lease == 2, second


def many_claims(key):
    """Return a call that claims a key and reads it back."""
    claim = store.Commit(conditions=[store.Condition(key, 0)], changes=[store.Put(key, b"v")])
    return store.CommitMany([claim], reads_back=True)


def claims_reply(key):
    """Return the reply to such a call."""
    encoded = base64.b64encode(key.encode()).decode()
    item = {"key": encoded, "value": "dg==", "mod_revision": "5"}
    nested = {"succeeded": True, "responses": [{"response_range": {"kvs": [item]}}]}
    reply = {"responses": [{"response_txn": nested}]}
    return extra_answers.an_answer(json.dumps(reply).encode())


@behave.given("an etcd store that sends the reply to many claims again where the next is due")
def step_start_shifting_store(context):
    def script(request, received):
        """Send the reply to the first call before that to the second, which takes a while."""
        if request.target.endswith("lease/grant"):
            granted = extra_answers.an_answer(b'{"ID": "7", "TTL": "10"}')
            return [a_step(0.05, granted, is_own=True)]
        if request.number == 1:
            return [a_step(0.0, claims_reply("a"), is_own=True)]
        return [a_step(0.0, claims_reply("a")), a_step(0.1, claims_reply("b"), is_own=True)]

    start_server(context, script)


@behave.when("it is asked for many other claims, and then for a lease")
def step_ask_shifting_store(context):
    client = attempt_clients.a_store_client(f"http://127.0.0.1:{context.server.port}", dialect=etcd)

    async def work():
        async with attempt_clients.running_store_client(client):
            calls = (many_claims("a"), many_claims("b"), STORE_CALLS["a lease"])
            context.replies = [(await client.execute_call(call)).reply for call in calls]

    run(context, work())


@behave.then("the claims fail, and the reply to the lease is its own")
def step_check_shifted(context):
    first, second, granted = context.replies
    assert type(first) is store.CommitManyReply, first
    assert type(second) is store.CallFailed and second.may_have_applied, second
    assert type(granted) is store.LeaseReply and granted.lease == 7, granted


def start_server(context, script):
    context.server = extra_answers.ExtraAnswerServer(script)
    context.loop.run_until_complete(context.server.start())
    context.closers = [context.server.close]


@behave.when("the store refuses or grants the same kind of call twice")
def step_call_store_twice(context):
    replies = asyncio.Queue()
    client = attempt_clients.a_store_client(
        f"http://127.0.0.1:{context.server.port}",
        dialect=context.dialect,
        on_reply=replies.put_nowait,
    )

    async def work():
        context.replies = []
        async with attempt_clients.running(client):
            for _ in range(2):
                client.inbox.post(commands.StoreCall(context.call, "test"))
                context.replies.append((await replies.get()).reply)
                await asyncio.sleep(PAUSE_S)

    run(context, work())


@behave.then("the second reply is that of the second call")
def step_check_store_reply(context):
    first, second = [
        reply.replies[0] if type(reply) is store.CommitManyReply else reply
        for reply in context.replies
    ]
    if type(second) is store.LeaseReply:
        assert (first.lease, second.lease) == (1, 2), context.replies
    else:
        assert (first.applied, second.applied) == (True, False), context.replies


@behave.given("an upstream that sends each load report again, while idle")
def step_start_polled(context):
    def script(request, received):
        """Send a report, and once more."""
        report = {"running": 0, "waiting": 0, "sequence": request.number}
        reply = extra_answers.an_answer(json.dumps(report).encode())
        return [a_step(0.0, reply, is_own=True), a_step(EXTRA_AFTER_S, reply)]

    start_server(context, script)


@behave.when("its load is polled twice")
def step_poll_twice(context):
    core_inbox = mailbox.Mailbox()
    settings = builders.quick_settings("muscat-a-1", "muscat-a", "muscat-a1")
    poller = pollers.Pollers(settings, core_inbox=core_inbox)

    async def work():
        context.sequences = []
        async with attempt_clients.running(poller):
            while poller.session is None:
                await asyncio.sleep(0.01)
            for _ in range(2):
                await poller._poll_load("u1", f"http://127.0.0.1:{context.server.port}")
                await asyncio.sleep(PAUSE_S)
        while len(core_inbox):
            message = await core_inbox.get()
            context.sequences += [message.load.sequence] if hasattr(message, "load") else []

    run(context, work())


@behave.then("the second report is that of the second poll")
def step_check_report(context):
    assert context.sequences == [1, 2], context.sequences


@behave.given("a server that sends an answer twice, the second just before the next request")
def step_start_unread_server(context):
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.listener.setblocking(False)
    context.add_cleanup(context.listener.close)


@behave.when("two requests are sent to it one after another")
def step_send_two(context):
    url = f"http://127.0.0.1:{context.listener.getsockname()[1]}"
    answer = extra_answers.an_answer(b"{}")

    async def accept():
        connection, _ = await context.loop.sock_accept(context.listener)
        context.add_cleanup(connection.close)
        await context.loop.sock_recv(connection, 65536)
        return connection

    async def work():
        settings = builders.quick_settings("muscat-a-1", "muscat-a", "muscat-a1")
        poller = pollers.Pollers(settings, core_inbox=mailbox.Mailbox())
        async with attempt_clients.running(poller):
            while poller.session is None:
                await asyncio.sleep(0.01)
            for _ in range(2):
                request = asyncio.ensure_future(poller._get_json(url, pollers.MAX_REPORT_BYTES))
                connection = await accept()
                connection.sendall(answer)
                assert await request == {}
                # The loop does not turn between this and the next request.
                connection.sendall(answer)

    context.has_ended = context.loop.run_until_complete(ends_in_time(work()))


async def ends_in_time(work):
    try:
        await asyncio.wait_for(work, 2)
    except TimeoutError:
        return False
    return True


@behave.then("the second one is sent on a new connection")
def step_check_new_connection(context):
    assert context.has_ended, "the second request came on the first connection, or not at all"
