"""Steps for the store client against the key-value stand-in."""

from __future__ import annotations

import asyncio
import random

import behave
from aiohttp import web

from standins import keyvalue
from yuccahitch import clock, events
from yuccahitch.messages import commands, store
from yuccahitch.tasks import store_client

HOST = "127.0.0.41"
PORT = 7290
CALL_TIMEOUT_S = 0.5
REPLY_TIMEOUT_S = 10.0


@behave.given("a key-value stand-in and a store client")
def step_start_store(context):
    context.replies = asyncio.Queue()
    context.watch_events = asyncio.Queue()
    context.revision = 0
    system_clock = clock.SystemClock()
    context.client = store_client.StoreClient(
        f"http://{HOST}:{PORT}",
        prefix="/t/",
        timeout_s=CALL_TIMEOUT_S,
        time=system_clock,
        log=events.Log("test", events.HybridClock(system_clock.wall)),
        on_reply=context.replies.put_nowait,
        on_watch_event=context.watch_events.put_nowait,
        rng=random.Random(1),
    )

    async def start():
        app = keyvalue.application()
        context.state = app["state"]
        context.site = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await context.site.setup()
        await web.TCPSite(context.site, HOST, PORT).start()
        context.task = asyncio.ensure_future(context.client.run())

    async def stop():
        context.task.cancel()
        await asyncio.gather(context.task, return_exceptions=True)
        await context.site.cleanup()

    context.loop.run_until_complete(start())
    context.closers = [stop]


def call_store(context, request):
    """Post a request to the store client and return the reply, also as ``context.reply``."""

    async def send_and_wait():
        context.client.inbox.post(commands.StoreCall(request, "test"))
        reply = await asyncio.wait_for(context.replies.get(), REPLY_TIMEOUT_S)
        return reply.reply

    reply = context.loop.run_until_complete(send_and_wait())
    context.reply = reply
    context.revision = getattr(reply, "revision", 0) or context.revision
    return reply


def make_commit(key, value, expected_conditions=(), lease=0):
    """Return a commit that puts one key if all conditions hold."""
    change = store.Put(key, value.encode(), lease=lease)
    return store.Commit(conditions=list(expected_conditions), changes=[change])


def run_named_call(context, call_name):
    """Make the store call with this name in the feature file, and wait for the reply."""
    lease = getattr(context, "lease", 0)
    key_absent = [store.Condition("a", 0)]
    calls_by_name = {
        "put a=1": lambda: make_commit("a", "1"),
        "put b=2": lambda: make_commit("b", "2"),
        "read a": lambda: store.Range("a"),
        "read nothing": lambda: store.Range("x"),
        "read prefix": lambda: store.Range("", prefix=True),
        "create a=1": lambda: make_commit("a", "1", key_absent),
        "create a=2": lambda: make_commit("a", "2", key_absent),
        "swap a=2 at its revision": lambda: make_commit(
            "a", "2", [store.Condition("a", context.revision)]
        ),
        "swap a=2 at an old revision": lambda: make_commit("a", "2", [store.Condition("a", 1)]),
        "create many a=2 b=2": lambda: store.CommitMany(
            [make_commit("a", "2", key_absent), make_commit("b", "2", [store.Condition("b", 0)])]
        ),
        "create and read back many a=2 b=2": lambda: store.CommitMany(
            [make_commit("a", "2", key_absent), make_commit("b", "2", [store.Condition("b", 0)])],
            reads_back=True,
        ),
        "swap many a=2 that is gone": lambda: store.CommitMany(
            [make_commit("a", "2", [store.Condition("a", 7)])]
        ),
        "lease": lambda: store.GrantLease(5),
        "put a=1 on it": lambda: make_commit("a", "1", lease=lease),
        "revoke": lambda: store.RevokeLease(lease),
        "renew": lambda: store.KeepAlive(lease),
        "renew an unknown lease": lambda: store.KeepAlive(77),
    }
    reply = call_store(context, calls_by_name[call_name]())
    if call_name == "lease":
        context.lease = reply.lease


@behave.when("the client does {calls}")
def step_run_calls(context, calls):
    for call_name in calls.split(", "):
        run_named_call(context, call_name)


def describe_reply(reply):
    """Return a store reply in the words of the feature file."""
    if type(reply) is store.RangeReply:
        return " ".join(f"{i.key}={i.value.decode()}" for i in reply.items) or "nothing"
    if type(reply) is store.CommitManyReply:
        return ", ".join(describe_reply(inner).split(",")[0] for inner in reply.replies)
    if type(reply) is store.LeaseReply:
        return "alive" if reply.ttl_s > 0 else "gone"
    items_text = " ".join(f"{i.key}={i.value.decode()}" for i in reply.items)
    return "applied" if reply.applied else f"not applied, {items_text}"


@behave.then("the last reply is {expected_text}")
def step_reply_text(context, expected_text):
    assert describe_reply(context.reply) == expected_text, context.reply


@behave.when("the stand-in has the fault {fault}")
def step_set_standin_fault(context, fault):
    if fault == "not listening":
        context.loop.run_until_complete(context.site.cleanup())
        return
    name, _, value = fault.partition("=")
    context.state.faults.values[name] = True if value == "true" else float(value)
    if name == "calls_per_s":
        context.state.count_call()
        context.state.faults.values[name] = 1e-9


@behave.when("the client creates a=1")
def step_create_key(context):
    call_store(context, make_commit("a", "1", [store.Condition("a", 0)]))


@behave.then("the reply is a failure that {possibility} have taken effect")
def step_reply_is_failure(context, possibility):
    assert type(context.reply) is store.CallFailed, context.reply
    assert context.reply.may_have_applied == (possibility == "may"), context.reply


@behave.then("after the fault is removed the store {presence} a=1")
def step_key_stored(context, presence):
    context.loop.run_until_complete(asyncio.sleep(3.0 if presence == "holds" else 0.1))
    assert (b"/t/a" in context.state.values) == (presence == "holds"), context.state.values


@behave.when("a watch begins and a=1, a=2 and b=1 are written")
def step_watch_writes(context):
    call_store(context, store.Range("a"))
    watch = commands.WatchStore(prefix="", revision=context.revision + 1, active=True)
    context.client.inbox.post(watch)
    for key, value in (("a", "1"), ("a", "2"), ("b", "1")):
        call_store(context, make_commit(key, value))


def next_watch_event(context):
    """Wait for the next watch event and return it."""
    return context.loop.run_until_complete(
        asyncio.wait_for(context.watch_events.get(), REPLY_TIMEOUT_S)
    )


@behave.then("the watch delivered a=1, a=2 and b=1 in this order")
def step_watch_order(context):
    changes = [change for _ in range(3) for change in next_watch_event(context).changes]
    assert [(change.key, change.item.value) for change in changes] == [
        ("a", b"1"),
        ("a", b"2"),
        ("b", b"1"),
    ]


@behave.when("the stand-in is restored to an older state")
def step_break_watch(context):
    for queue in list(context.state.watch_queues):
        queue.put_nowait(None)


@behave.then("the watch reports that it is lost")
def step_watch_lost(context):
    assert type(next_watch_event(context)) is store.WatchLost
