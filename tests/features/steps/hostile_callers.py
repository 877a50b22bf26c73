"""Steps about callers that keep to no limit, with real processes."""

from __future__ import annotations

import contextlib
import json

import aiohttp
import behave

from standins import platform_site
from tests import (
    builders,
    event_coverage,
    hostile_callers,
    moved_example,
    platform_calls,
    watched_crowds,
)

PLATFORM_INSTANCES = ("edge-east-1", "edge-west-1")
EXAMPLE, EXAMPLE_INSTANCE = "ice-works", "muscat-a-1"
EXAMPLE_MODEL, EXAMPLE_PLAIN = "ice-model", "rink-desk"


@behave.given(
    "instances on the platform, on machines with {memory_mb:d} MB and {count:d} descriptors"
)
def step_start_platform(context, memory_mb, count):
    async def start():
        site = platform_site.Site(event_coverage.run_dir() / "test-hostile")
        context.closers = [site.close]
        site.machine_limits = {"memoryMb": memory_mb, "maxFds": count}
        await site.start_standins()
        await site.write_item("op/config", hostile_callers.large_bodies_publication(1))
        for name in PLATFORM_INSTANCES:
            await site.start(name)
        await site.wait_until_ready(*PLATFORM_INSTANCES)
        context.site = site

    context.bounds = (memory_mb, count)
    platform_calls.run(context, start())
    context.processes = context.site.processes


@behave.given(
    "an instance of the own interface, on a machine with {memory_mb:d} MB and {count:d} descriptors"
)
def step_start_example(context, memory_mb, count):
    run_dir = event_coverage.run_dir() / "test-hostile-own"
    example = moved_example.moved_example(EXAMPLE, [EXAMPLE_INSTANCE], run_dir)
    section = f"\n[callers]\nmemory_mb = {memory_mb}\nmax_descriptors = {count}\n"
    path = example.folder / f"{EXAMPLE_INSTANCE}.ini"
    path.write_text(path.read_text() + section)
    context.closers = [example.close]
    context.bounds = (memory_mb, count)
    platform_calls.run(context, moved_example.start(example))
    context.example = example
    context.processes = example.processes


@behave.when("{count:d} callers send {instance} {kind} to {path} and stay")
@behave.when(
    "{count:d} callers from {addresses:d} addresses send {instance} {kind} to {path} and stay"
)
def step_send_to_platform(context, count, instance, kind, path, addresses=0):
    crowd = hostile_callers.Crowd(
        platform_site.instance_host(instance),
        watched_crowds.FRONT_PORT,
        path=path,
        headers=hostile_callers.platform_headers(),
        sources=hostile_callers.source_addresses(addresses),
    )
    platform_calls.run(context, watched_crowds.send_watched(context, crowd, kind, count))


@behave.given("plain upstreams that answer after {delay_s:d} seconds")
def step_delay_plain(context, delay_s):
    items = json.loads((context.example.folder / "resources.json").read_text())
    upstreams = [item["spec"] for item in items if item["kind"] == "upstream"]
    for spec in upstreams:
        if spec["service"] == EXAMPLE_PLAIN:
            platform_calls.run(
                context, context.example.set_faults(spec["address"], delay_s=delay_s)
            )


def _crowd_at_example(context):
    """Return a crowd that sends to the plain service of the own interface."""
    section = context.example.settings[EXAMPLE_INSTANCE]["instance"]
    return hostile_callers.Crowd(
        section["listen"],
        int(section["caller_port"]),
        path=f"/v1/services/{EXAMPLE_PLAIN}/x",
        headers=hostile_callers.own_headers(watched_crowds.EXAMPLE_ACCOUNT),
    )


@behave.when("{count:d} callers send it {kind} and stay")
def step_send_to_example(context, count, kind):
    crowd = _crowd_at_example(context)
    platform_calls.run(context, watched_crowds.send_watched(context, crowd, kind, count))


@behave.when("{count:d} callers send it {kind} and leave, {times:d} times")
def step_send_and_leave(context, count, kind, times):
    crowd = _crowd_at_example(context)
    for _ in range(times):
        send = watched_crowds.send_watched(context, crowd, kind, count, send=crowd.send_and_leave)
        platform_calls.run(context, send)


@behave.then("it lives within the memory and descriptors of its machine")
@behave.then("{names} live within the memory and descriptors of their machines")
def step_check_usage(context, names=""):
    memory_mb, descriptors = context.bounds
    seen = {n: (u.peak_mb, u.peak_descriptors) for n, u in context.usages.items()}
    resident = {name: usage.peak_resident_mb for name, usage in context.usages.items()}
    print(f"memory in MB and descriptors: {seen}; resident: {resident}")
    assert all(p.returncode is None for p in context.processes.values()), "a process has ended"
    assert all(mb <= memory_mb and fds <= descriptors for mb, fds in seen.values()), seen


@behave.then("a request to {path} at {instance} is answered with {status:d}")
def step_check_ordinary(context, path, instance, status):
    async def ask():
        async with aiohttp.ClientSession() as session:
            return (await platform_calls.send(session, instance, "GET", path)).status

    watched_crowds.check_answered(context, ask, status)


@behave.then(
    "once the crowd has gone, a body of {size:d} bytes to {path} is answered with {status:d}"
)
def step_check_large(context, size, path, status):
    async def ask():
        async with aiohttp.ClientSession() as session:
            reply = await platform_calls.send(
                session, "edge-east-1", "POST", path, body=b"x" * size
            )
            return reply.status

    watched_crowds.leave(context)
    watched_crowds.check_answered(context, ask, status)


@behave.then("a chat is answered with {status:d}")
def step_check_chat(context, status):
    async def ask():
        url = context.example.url(EXAMPLE_INSTANCE) + "/v1/chat/completions"
        body = builders.chat_body(model=EXAMPLE_MODEL, max_tokens=1)
        headers = builders.key_header(watched_crowds.EXAMPLE_ACCOUNT)
        with contextlib.suppress(aiohttp.ClientError):
            async with aiohttp.ClientSession() as session:
                async with session.post(url, json=body, headers=headers) as response:
                    return response.status
        return 0

    watched_crowds.check_answered(context, ask, status)
