"""Steps about orders whose keeper ends and starts again."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import behave

from tests import builders, event_coverage, moved_example

RUN_DIR = event_coverage.run_dir() / "test-keepers"
INSTANCES = ("cen-a-1", "cen-a-2", "nte-a-1")
REPEAT_PERIOD_S = 0.4
_order_numbers = itertools.count(1)


@behave.given("instances as processes, and services that take {seconds:g} seconds for an order")
def step_start(context, seconds):
    context.site = moved_example.moved_example("doors", INSTANCES, RUN_DIR)
    context.closers = [context.site.close]

    async def work():
        await moved_example.start(context.site)
        for url in context.site.standin_urls("plain").values():
            await context.site.set_faults(url, delay_s=seconds)

    context.loop.run_until_complete(work())


async def send_order(context, name):
    """Send the order to an instance; return status and body, or None if the connection broke."""
    url = f"{context.site.url(name)}/v1/services/taller-app{context.order_path}"
    headers = builders.key_header(context.account) | {"Idempotency-Key": context.order_key}
    try:
        async with context.site.session.post(url, data=b"order", headers=headers) as response:
            return response.status, await response.text()
    except aiohttp.ClientError:
        return None


async def new_key(context, owner):
    """Return a key that an instance gives out, or one of the caller's own."""
    if owner == "its own":
        return builders.uuid7()
    url = context.site.url(owner) + "/v1/operations"
    headers = builders.key_header(context.account)
    async with context.site.session.post(url, headers=headers) as response:
        (key,) = (await response.json())["operation_keys"]
    return key


@behave.when(
    "{account} sends an order with a key of {owner} through {name}, and {keeper} {ends} after"
    " {seconds:g} seconds"
)
def step_send_and_end(context, account, owner, name, keeper, ends, seconds):
    context.account = account
    context.order_path = f"/orders/kept-{next(_order_numbers)}"

    async def work():
        context.order_key = await new_key(context, owner)
        task = asyncio.ensure_future(send_order(context, name))
        await asyncio.sleep(seconds)
        if ends == "is killed":
            context.site.kill(keeper)
            context.stopping = None
        else:
            context.stopping = asyncio.ensure_future(context.site.stop(keeper))
        context.repeats = [await task]

    context.loop.run_until_complete(work())


@behave.when(
    "it sends the same order through all of them until {keeper} has started again and {seconds:g}"
    " seconds after"
)
def step_repeat(context, keeper, seconds):
    async def restart():
        if context.stopping is not None:
            await context.stopping
        await context.site.start(keeper)
        await context.site.wait_until_ready(keeper)
        await asyncio.sleep(seconds)

    async def work():
        restarted = asyncio.ensure_future(restart())
        names = itertools.cycle(INSTANCES)
        while not restarted.done():
            context.repeats.append(await send_order(context, next(names)))
            await asyncio.sleep(REPEAT_PERIOD_S)
        await restarted
        for name in INSTANCES:
            context.repeats.append(await send_order(context, name))

    context.loop.run_until_complete(work())


async def count_runs(context):
    """Return how often the order ran."""
    counts = [
        await context.site.get_json(url + "/runs")
        for url in context.site.standin_urls("plain").values()
    ]
    return sum(
        count
        for runs in counts
        for request, count in runs.items()
        if f" {context.order_path} " in request
    )


@behave.then("the order ran at most once, or exactly once if an answer came")
def step_check_once(context):
    runs = context.loop.run_until_complete(count_runs(context))
    answered = [repeat for repeat in context.repeats if repeat is not None]
    assert len(answered) >= len(INSTANCES), context.repeats
    bodies = [body for status, body in answered if status == 200]
    assert runs <= 1 and (runs == 1 or not bodies), (runs, answered)
    assert all('"run": 1' in body for body in bodies), bodies


@behave.then("no repeat was told that its own id is in use")
def step_check_codes(context):
    bodies = [repeat[1] for repeat in context.repeats if repeat is not None]
    assert not [body for body in bodies if "request-id-in-use" in body], bodies
