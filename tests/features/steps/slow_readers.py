"""Steps about callers that read slowly, with real processes."""

from __future__ import annotations

import asyncio
import json
import re

import aiohttp
import behave

from standins import deployment, platform_site
from tests import (
    builders,
    event_coverage,
    hostile_callers,
    moved_example,
    platform_calls,
    slow_readers,
    watched_crowds,
)

EXAMPLE, ENTRY = "ice-works", "muscat-a-1"
# What the rates of the example's accounts are raised by.
RATE_FACTOR = 100
EVENT_BYTES, CHAT_TOKENS = 30_000, 100
REPLY_PATH = "/v1/services/rink-desk/x"
CHAT_PATH = "/v1/chat/completions"


@behave.given(
    "upstreams with {places:d} places and answers of {size:d} bytes, or {count:d} events of"
    " {event_size:d} bytes"
)
def step_lengthen_answers(context, places, size, count, event_size):
    async def work():
        await set_up(
            context.site,
            places,
            answer_bytes=size,
            event_total=count,
            event_bytes=event_size,
            gap_s=0.0,
        )

    platform_calls.run(context, work())


@behave.given(
    "upstreams with {places:d} places that wait {limit_s:d} seconds for a reader of an answer of"
    " {size:d} bytes"
)
def step_limit_patience(context, places, limit_s, size):
    platform_calls.run(
        context, set_up(context.site, places, answer_bytes=size, unread_limit_s=limit_s)
    )


async def set_up(site, places, **switches):
    """Give all upstreams a number of places, requests much time, and set fault switches."""
    await site.write_item("op/config", hostile_callers.roomy_publication(2))
    for name in platform_site.UPSTREAMS:
        await site.set_faults(name, **switches)
        await site.register_upstream(name, capacity=places, sequence=2)
    await asyncio.sleep(watched_crowds.SETTLE_S)


def platform_crowd(instance, path, addresses):
    """Return a crowd that asks an instance on the platform."""
    return slow_readers.SlowCrowd(
        platform_site.instance_host(instance),
        watched_crowds.FRONT_PORT,
        path=path,
        headers=hostile_callers.platform_headers(deadline_s=hostile_callers.REQUEST_TIME_S),
        sources=hostile_callers.source_addresses(addresses),
    )


@behave.when(
    "{count:d} callers from {addresses:d} addresses ask {instance} for {path} and read {pace}"
)
def step_ask_platform(context, count, addresses, instance, path, pace):
    crowd = platform_crowd(instance, path, addresses)
    platform_calls.run(context, watched_crowds.send_watched(context, crowd, pace, count))


@behave.then("none of the requests that were refused to the crowd has run")
def step_check_refused(context):
    async def ran():
        records = [
            record
            for name in platform_site.UPSTREAMS
            for record in (await context.site.received_requests(name))["seen"]
        ]
        return {record["id"] for record in records if record["ran"]}

    refused = set().union(*[crowd.refused_ids() for crowd in context.crowds])
    both = refused & platform_calls.run(context, ran())
    assert not both, both


@behave.when(
    "a caller asks {instance} for {path}, reads {count:d} bytes, pauses for {pause_s:d} seconds and"
    " reads on"
)
def step_pause(context, instance, path, count, pause_s):
    async def work():
        url = f"http://{platform_site.instance_host(instance)}:{watched_crowds.FRONT_PORT}{path}"
        headers = dict(
            line.split(": ")
            for line in hostile_callers.platform_headers(deadline_s=hostile_callers.REQUEST_TIME_S)
        )
        async with slow_readers.reading_session() as session:
            async with session.get(url, headers=headers) as response:
                beginning = await response.content.readexactly(count)
                await asyncio.sleep(pause_s)
                return response.status, len(beginning) + len(await response.content.read())

    context.answer = platform_calls.run(context, work())


@behave.then("it gets {count:d} bytes")
def step_check_whole(context, count):
    assert context.answer == (200, count), context.answer


@behave.given(
    "instances {names} of the own interface, on machines with {memory_mb:d} MB and {count:d}"
    " descriptors"
)
def step_prepare_example(context, names, memory_mb, count):
    run_dir = event_coverage.run_dir() / "test-slow-own"
    instances = names.split(", ")
    example = moved_example.moved_example(EXAMPLE, instances, run_dir)
    section = (
        f"\n[callers]\nmemory_mb = {memory_mb}\nmax_descriptors = {count}\n"
        "default_deadline_s = 120\n"
    )
    for name in instances:
        path = example.folder / f"{name}.ini"
        path.write_text(path.read_text() + section)
    context.bounds = (memory_mb, count)
    context.example = example


@behave.given("only upstreams of {region}, with {places:d} places and answers of {size:d} bytes")
def step_start_example(context, region, places, size):
    example = context.example
    path = example.folder / "resources.json"
    items = [keep_room(item, places) for item in json.loads(path.read_text())]
    kept = [i for i in items if i["kind"] != "upstream" or i["spec"]["region"] == region]
    path.write_text(json.dumps(kept))
    standins = example.folder / "standins.txt"
    standins.write_text(
        re.sub("^engine .*", rf"\g<0> slots={places}", standins.read_text(), flags=re.MULTILINE)
    )
    context.closers = [example.close]

    async def start():
        await moved_example.start(example)
        for url in example.standin_urls("plain").values():
            await example.set_faults(url, answer_bytes=size)
        for url in example.standin_urls("engine").values():
            await example.set_faults(url, word_mark="x" * EVENT_BYTES)
        # The rates of accounts are known some seconds after the start.
        await deployment.wait_until(is_served, watched_crowds.ANSWER_LIMIT_S)

    async def is_served():
        headers = builders.key_header(watched_crowds.EXAMPLE_ACCOUNT)
        url = example.url(ENTRY)
        async with aiohttp.ClientSession(headers=headers) as session:
            async with session.post(url + CHAT_PATH, json=builders.chat_body()) as chat:
                async with session.get(url + REPLY_PATH) as reply:
                    return chat.status == reply.status == 200 and len(await reply.read()) == size

    platform_calls.run(context, start())
    context.processes = example.processes


def keep_room(item, places):
    """Return a resource with many slots, or with a high rate."""
    spec = item["spec"]
    if item["kind"] == "upstream":
        spec["slots"] = places
    if item["kind"] == "rate":
        spec["tokens_per_s"] *= RATE_FACTOR
        spec["burst_tokens"] *= RATE_FACTOR
    return item


@behave.when("{count:d} callers ask muscat-a-1 for {what} and read {pace}")
def step_ask_example(context, count, what, pace):
    section = context.example.settings[ENTRY]["instance"]
    chat = builders.chat_body(model="ice-model", max_tokens=CHAT_TOKENS, stream=True)
    is_chat = what == "a long chat"
    crowd = slow_readers.SlowCrowd(
        section["listen"],
        int(section["caller_port"]),
        path=CHAT_PATH if is_chat else REPLY_PATH,
        headers=hostile_callers.own_headers(watched_crowds.EXAMPLE_ACCOUNT),
        body=json.dumps(chat).encode() if is_chat else b"",
    )
    platform_calls.run(context, watched_crowds.send_watched(context, crowd, pace, count))
