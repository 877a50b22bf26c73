"""Steps about replies to polls that come again where the next reply is due."""

from __future__ import annotations

import asyncio
import base64
import json

import behave

from standins import extra_answers
from tests import attempt_clients, builders
from yuccahitch.codecs import etcd
from yuccahitch.messages import commands, store
from yuccahitch.platform import store as platform_store
from yuccahitch.tasks import mailbox, pollers

# Time between two polls, within which what comes while a connection is idle has come.
PAUSE_S = 0.1
# Time that the store takes for a reply, in seconds.
REPLY_S = 0.1
LIMIT_S = 30.0


def body_of(polled, number):
    """Return the reply to a poll as JSON; it tells the number of the poll."""
    bodies = {
        "a load report": {"running": 0, "waiting": 0, "sequence": number},
        "the instance list": {
            "instances": [
                {"name": "g", "address": f"g:{number}", "role": "gateway", "state": "ready"}
            ]
        },
        "the client directory": {"clients": [{"name": "c", "revision": number}]},
        "the store's changes": {"events": [], "at": number},
    }
    return bodies[polled]


def number_in(message):
    """Return the number of the poll that a message of a poller tells."""
    if hasattr(message, "load"):
        return message.load.sequence
    if hasattr(message, "addresses"):
        return int(message.addresses[0].rpartition(":")[2])
    return message.entries[0].version


@behave.given("a server of {polled} that sends each reply again, {when}")
def step_start_server(context, polled, when):
    def script(request, received):
        """Send the reply to the poll before, or a part of it, with the reply to this one."""
        own = reply_to(polled, request.number)
        earlier = [item for item in received[:-1] if item.connection == request.connection]
        copy = reply_to(polled, earlier[-1].number) if earlier else b""
        half = len(own) // 2
        if when.startswith("in part"):
            return [
                extra_answers.Step(0.0, copy[half:]),
                extra_answers.Step(REPLY_S if copy else 0.0, own, is_own=True),
                extra_answers.Step(PAUSE_S / 3, own[:half]),
            ]
        if when.startswith("just before"):
            return [extra_answers.Step(0.0, own + own, is_own=True)]
        return [
            extra_answers.Step(0.0, copy),
            extra_answers.Step(REPLY_S if copy else 0.0, own, is_own=True),
        ]

    start_server(context, script)


def reply_to(polled, number):
    return extra_answers.an_answer(json.dumps(body_of(polled, number)).encode())


def start_server(context, script):
    context.server = extra_answers.ExtraAnswerServer(script)
    context.loop.run_until_complete(context.server.start())
    context.closers = [context.server.close]
    context.url = f"http://127.0.0.1:{context.server.port}"


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, LIMIT_S))


@behave.when("{polled} is polled {count:d} times")
def step_poll(context, polled, count):
    work = poll_store if "changes" in polled else poll_others
    context.numbers = run(context, work(context.url, polled, count))


async def poll_store(url, polled, count):
    """Poll a store; return the numbers of the polls that were answered, by the number of each."""
    numbers = {}
    client = attempt_clients.a_store_client(url, dialect=platform_store)
    async with attempt_clients.running_store_client(client):
        for number in range(1, count + 1):
            try:
                reply = await client._fetch_changes("op/", 1, 1.0)
                numbers[number] = json.loads(reply.body)["at"]
            except pollers.READ_ERRORS:
                numbers[number] = None
            await asyncio.sleep(PAUSE_S)
    return numbers


async def poll_others(url, polled, count):
    """Poll a load, or a list of the platform; return the same."""
    core_inbox = mailbox.Mailbox()
    settings = builders.quick_settings("muscat-a-1", "muscat-a", "muscat-a1")
    settings.platform.instances_url = settings.platform.directory_url = url
    poller = pollers.Pollers(settings, core_inbox=core_inbox)
    polls = {
        "a load report": lambda: poller._poll_load("u1", url),
        "the instance list": poller._poll_instances,
        "the client directory": poller._poll_directory,
    }
    numbers = {}
    async with attempt_clients.running(poller):
        while poller.session is None:
            await asyncio.sleep(0.01)
        while len(core_inbox):
            await core_inbox.get()
        for number in range(1, count + 1):
            await polls[polled]()
            numbers[number] = None
            while len(core_inbox):
                message = await core_inbox.get()
                if type(message) is not mailbox.PendingReply:
                    numbers[number] = number_in(message)
            await asyncio.sleep(PAUSE_S)
    return numbers


@behave.then("the reply to each poll is its own, or the poll fails")
def step_check_own(context):
    wrong = {
        poll: told for poll, told in context.numbers.items() if told is not None and told != poll
    }
    assert not wrong, wrong
    assert context.numbers[1] == 1, context.numbers


@behave.given(
    "an etcd store that ends a watch, and sends its change again where the next watch is due"
)
def step_start_watched(context):
    def script(request, received):
        own = watch_reply(request.number)
        first = received[0]
        is_second = request.number == 2 and request.connection == first.connection
        copy = watch_reply(1) if is_second else b""
        return [
            extra_answers.Step(0.0, copy),
            extra_answers.Step(REPLY_S if copy else 0.0, own, is_own=True),
        ]

    start_server(context, script)


def watch_reply(number):
    """Return a watch's whole response with one change."""
    item = {
        "key": base64.b64encode(b"k").decode(),
        "value": base64.b64encode(b"v").decode(),
        "mod_revision": str(number),
    }
    line = {"result": {"header": {"revision": str(number)}, "events": [{"kv": item}]}}
    return extra_answers.an_answer(json.dumps(line).encode() + b"\n")


@behave.when("a prefix is watched twice")
def step_watch_twice(context):
    async def work():
        watch_events = asyncio.Queue()
        client = attempt_clients.a_store_client(context.url, dialect=etcd)
        client.on_watch_event = watch_events.put_nowait
        context.revisions = []
        async with attempt_clients.running_store_client(client):
            for _ in range(2):
                client.inbox.post(commands.WatchStore(prefix="k", revision=0, active=True))
                event = await watch_events.get()
                while type(event) is not store.WatchLost:
                    context.revisions.append(event.revision)
                    event = await watch_events.get()

    run(context, work())


@behave.then("each watch brings its own change")
def step_check_watches(context):
    assert context.revisions == [1, 2], context.revisions
