"""Steps about planned stops of an instance on the platform, as processes."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time

import aiohttp
import behave

from standins import platform_site
from tests import platform_builders, platform_calls

# Time after which a stream has begun, in seconds.
BEGUN_S = 0.9


@behave.when("requests run over kept-alive connections at {name} and it is stopped")
def step_stop_under_load(context, name):
    async def caller(session, ends_at):
        replies = []
        while time.monotonic() < ends_at:
            method, path = next(calls)
            replies.append(await platform_calls.send(session, name, method, path, body=b"x"))
            if replies[-1].headers.get("Connection") == "close":
                break
        return replies

    calls = itertools.cycle([("POST", "/book/x"), ("POST", "/plan/x"), ("POST", "/status/x")])

    async def work():
        for upstream in platform_site.UPSTREAMS:
            await context.site.set_faults(upstream, work_s=0.2)
        async with aiohttp.ClientSession() as session:
            ends_at = time.monotonic() + 3.0
            callers = [asyncio.ensure_future(caller(session, ends_at)) for _ in range(10)]
            await asyncio.sleep(0.7)
            code = await context.site.stop(name)
            return code, await asyncio.gather(*callers)

    context.exit_code, replies_by_caller = platform_calls.run(context, work())
    context.replies = list(itertools.chain.from_iterable(replies_by_caller))
    context.stopped_instance = name


@behave.when("{name} is stopped while requests come in whose bodies take {body_s:g} seconds")
def step_stop_during_uploads(context, name, body_s):
    async def slow_body():
        for _ in range(4):
            yield b"x" * 1000
            await asyncio.sleep(body_s / 4)

    async def upload(delay_s):
        await asyncio.sleep(delay_s)
        async with aiohttp.ClientSession() as session:
            return await platform_calls.send(session, name, "POST", "/book/x", body=slow_body())

    async def work():
        # The instance takes requests for 3 s after the signal; some come later.
        uploads = [asyncio.ensure_future(upload(0.1 * number)) for number in range(36)]
        await asyncio.sleep(0.5)
        code = await context.site.stop(name)
        return code, await asyncio.gather(*uploads)

    context.exit_code, context.replies = platform_calls.run(context, work())
    context.stopped_instance = name


@behave.given("configuration {version:d} gives the routes {seconds:d} seconds")
def step_lengthen_routes(context, version, seconds):
    routes = [
        route | {"timeoutMs": seconds * 1000}
        for route in platform_builders.a_publication()["routes"]
    ]
    platform_calls.publish(context, version, routes=routes)
    platform_calls.run(context, asyncio.sleep(1.0))


@behave.when(
    "{name} is stopped while upstreams work {work_s:d} seconds on requests sent before and after"
)
def step_stop_during_work(context, name, work_s):
    async def work():
        for upstream in platform_site.UPSTREAMS:
            await context.site.set_faults(upstream, work_s=float(work_s))
        async with aiohttp.ClientSession() as session:

            def send(path):
                call = platform_calls.send(
                    session, name, "POST", path, body=b"x", X_Deadline_Ms="20000"
                )
                return asyncio.ensure_future(call)

            calls = [send(path) for path in ("/book/x", "/status/x", "/plan/x")]
            await asyncio.sleep(0.5)
            stop = asyncio.ensure_future(context.site.stop(name))
            for _ in range(5):
                await asyncio.sleep(0.4)
                calls += [send("/book/x"), send("/status/x")]
            replies = await asyncio.gather(*calls)
            return await stop, replies

    context.exit_code, context.replies = platform_calls.run(context, work())
    context.stopped_instance = name


@behave.then(
    "each request was answered, as not run only if no upstream ran it, and the exit code is 0"
)
def step_check_answered(context):
    ran = {entry["id"] for entry in platform_calls.seen_requests(context) if entry["ran"]}
    statuses = [reply.status for reply in context.replies]
    assert all(status > 0 for status in statuses), statuses
    false_promises = [
        reply.status for reply in context.replies if reply.id in ran and reply.status in (429, 503)
    ]
    assert not false_promises and ran, (false_promises, statuses)
    assert context.exit_code == 0
    platform_calls.run(context, context.site.start(context.stopped_instance))
    platform_calls.run(context, context.site.wait_until_ready(context.stopped_instance))


@behave.then("no request was lost, and the instance exited with code 0")
def step_check_none_lost(context):
    statuses = {reply.status for reply in context.replies}
    assert statuses == {200}, statuses
    assert len(context.replies) >= 10 and context.exit_code == 0, context.exit_code


@behave.when(
    "a caller asks {instance} for GET {path}, and {name} stands still after {seconds:g} seconds"
)
def step_suspend(context, instance, path, name, seconds):
    async def work():
        async with aiohttp.ClientSession() as session:
            task = asyncio.ensure_future(platform_calls.send(session, instance, "GET", path))
            await asyncio.sleep(seconds)
            running = await running_requests(context)
            context.site.processes[name].send_signal(signal.SIGSTOP)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return running

    context.closers = [lambda: resume_instance(context, name)]
    assert platform_calls.run(context, work()) > 0, "no upstream worked on it"


@behave.then("no upstream works on it {seconds:g} seconds later, while {name} still stands still")
def step_check_no_work(context, seconds, name):
    async def work():
        await asyncio.sleep(seconds)
        return await running_requests(context)

    assert platform_calls.run(context, work()) == 0


async def running_requests(context):
    """Return the number of requests that the upstreams work on."""
    return sum(
        [
            (await context.site.received_requests(name))["running"]
            for name in platform_site.UPSTREAMS
        ]
    )


async def resume_instance(context, name):
    """Let an instance go on, and wait until it serves again."""
    context.site.processes[name].send_signal(signal.SIGCONT)
    await asyncio.sleep(1.0)
    await context.site.wait_until_ready(name)


@behave.when(
    "a caller asks {instance} for GET {path}, and those in east stand still while model-3 comes"
    " back"
)
def step_suspend_runners(context, instance, path):
    names = [name for name in context.site.processes if "east" in name]

    async def work():
        async with aiohttp.ClientSession() as session:
            task = asyncio.ensure_future(platform_calls.send(session, instance, "GET", path))
            await asyncio.sleep(BEGUN_S)
            await context.site.register_upstream("model-3")
            for name in names:
                context.site.processes[name].send_signal(signal.SIGSTOP)
            return await task

    async def resume_all():
        for name in names:
            await resume_instance(context, name)

    context.closers = [resume_all]
    context.replies = [platform_calls.run(context, work())]


@behave.then("the log of {name} has {first} and {second}")
def step_check_logged(context, name, first, second):
    text = (context.site.run_dir / f"{name}.log").read_text()
    missing = [event for event in (first, second) if f'"{event}"' not in text]
    assert not missing, missing
