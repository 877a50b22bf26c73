"""Steps about the store client and the key-value stand-in."""

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
TIMEOUT_S = 0.5
PATIENCE_S = 10.0


@behave.given("a key-value stand-in and a store client")
def step_start(context):
    context.replies = asyncio.Queue()
    context.seen = asyncio.Queue()
    context.revision = 0
    time = clock.SystemClock()
    context.client = store_client.StoreClient(
        f"http://{HOST}:{PORT}",
        prefix="/t/",
        timeout_s=TIMEOUT_S,
        time=time,
        log=events.Log("test", events.HybridClock(time.wall)),
        on_reply=context.replies.put_nowait,
        on_watch_event=context.seen.put_nowait,
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


def call(context, made):
    async def work():
        context.client.inbox.post(commands.StoreCall(made, "test"))
        reply = await asyncio.wait_for(context.replies.get(), PATIENCE_S)
        return reply.reply

    reply = context.loop.run_until_complete(work())
    context.reply = reply
    context.revision = getattr(reply, "revision", 0) or context.revision
    return reply


def commit(key, value, expects=(), lease=0):
    change = store.Put(key, value.encode(), lease=lease)
    return store.Commit(conditions=list(expects), changes=[change])


def do(context, words):
    lease = getattr(context, "lease", 0)
    absent = [store.Condition("a", 0)]
    calls = {
        "put a=1": lambda: commit("a", "1"),
        "put b=2": lambda: commit("b", "2"),
        "read a": lambda: store.Range("a"),
        "read nothing": lambda: store.Range("x"),
        "read prefix": lambda: store.Range("", prefix=True),
        "create a=1": lambda: commit("a", "1", absent),
        "create a=2": lambda: commit("a", "2", absent),
        "swap a=2 at its revision": lambda: commit(
            "a", "2", [store.Condition("a", context.revision)]
        ),
        "swap a=2 at an old revision": lambda: commit("a", "2", [store.Condition("a", 1)]),
        "create many a=2 b=2": lambda: store.CommitMany(
            [commit("a", "2", absent), commit("b", "2", [store.Condition("b", 0)])]
        ),
        "lease": lambda: store.GrantLease(5),
        "put a=1 on it": lambda: commit("a", "1", lease=lease),
        "revoke": lambda: store.RevokeLease(lease),
        "renew": lambda: store.KeepAlive(lease),
        "renew an unknown lease": lambda: store.KeepAlive(77),
    }
    reply = call(context, calls[words]())
    if words == "lease":
        context.lease = reply.lease


@behave.when("the client does {calls}")
def step_do(context, calls):
    for words in calls.split(", "):
        do(context, words)


def told(reply):
    """Return a reply in words."""
    if type(reply) is store.RangeReply:
        return " ".join(f"{i.key}={i.value.decode()}" for i in reply.items) or "nothing"
    if type(reply) is store.CommitManyReply:
        return ", ".join(told(inner).split(",")[0] for inner in reply.replies)
    if type(reply) is store.LeaseReply:
        return "alive" if reply.ttl_s > 0 else "gone"
    found = " ".join(f"{i.key}={i.value.decode()}" for i in reply.items)
    return "applied" if reply.applied else f"not applied, {found}"


@behave.then("the last reply is {words}")
def step_told(context, words):
    assert told(context.reply) == words, context.reply


@behave.when("the stand-in has the fault {fault}")
def step_fault(context, fault):
    if fault == "not listening":
        context.loop.run_until_complete(context.site.cleanup())
        return
    name, _, value = fault.partition("=")
    context.state.faults.values[name] = True if value == "true" else float(value)
    if name == "calls_per_s":
        context.state.count_call()
        context.state.faults.values[name] = 1e-9


@behave.when("the client creates a=1")
def step_create(context):
    call(context, commit("a", "1", [store.Condition("a", 0)]))


@behave.then("the reply is a failure that {may} have taken effect")
def step_failure(context, may):
    assert type(context.reply) is store.CallFailed, context.reply
    assert context.reply.may_have_applied == (may == "may"), context.reply


@behave.then("with the fault gone the store {holds} a=1")
def step_holds(context, holds):
    context.loop.run_until_complete(asyncio.sleep(3.0 if holds == "holds" else 0.1))
    assert (b"/t/a" in context.state.values) == (holds == "holds"), context.state.values


@behave.when("a watch begins and a=1, a=2 and b=1 are written")
def step_watch(context):
    call(context, store.Range("a"))
    watch = commands.WatchStore(prefix="", revision=context.revision + 1, active=True)
    context.client.inbox.post(watch)
    for key, value in (("a", "1"), ("a", "2"), ("b", "1")):
        call(context, commit(key, value))


def next_event(context):
    return context.loop.run_until_complete(asyncio.wait_for(context.seen.get(), PATIENCE_S))


@behave.then("the watch saw a=1, a=2 and b=1 in this order")
def step_saw(context):
    found = [item for _ in range(3) for item in next_event(context).items]
    assert [(key, item.value) for key, item in found] == [("a", b"1"), ("a", b"2"), ("b", b"1")]


@behave.when("the stand-in is set back to an older state")
def step_restore(context):
    for queue in list(context.state.watch_queues):
        queue.put_nowait(None)


@behave.then("the watch says that it is lost")
def step_lost(context):
    assert type(next_event(context)) is store.WatchLost
