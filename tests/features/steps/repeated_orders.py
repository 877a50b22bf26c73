"""Steps about orders that are sent again after a process ended."""

from __future__ import annotations

import asyncio
import itertools

import aiohttp
import behave

from tests import builders

_order_numbers = itertools.count(1)


async def set_service_delay(context, seconds):
    """Let all plain services take so long for an order."""
    for url in context.example.standin_urls("plain").values():
        await context.example.set_faults(url, delay_s=seconds)


@behave.given("services that need {seconds:g} seconds for an order")
def step_slow_services(context, seconds):
    context.loop.run_until_complete(set_service_delay(context, seconds))
    context.closers = [lambda: set_service_delay(context, 0.0)]


async def send_order(context, name, account):
    """Send the order to an instance; return status and body, or None if the connection broke."""
    url = f"{context.example.url(name)}/v1/services/taller-app{context.order_path}"
    headers = builders.key_header(account) | {"Idempotency-Key": context.order_key}
    try:
        async with context.example.session.post(url, data=b"order", headers=headers) as response:
            return response.status, await response.text()
    except aiohttp.ClientError:
        return None


@behave.when(
    "{account} sends an order with a key of {owner} through {name}, which is killed after"
    " {seconds:g} seconds"
)
def step_send_and_kill(context, account, owner, name, seconds):
    context.account = account
    context.order_path = f"/orders/{next(_order_numbers)}"

    async def work():
        url = context.example.url(owner) + "/v1/operations"
        async with context.example.session.post(
            url, headers=builders.key_header(account)
        ) as response:
            (context.order_key,) = (await response.json())["operation_keys"]
        task = asyncio.ensure_future(send_order(context, name, account))
        await asyncio.sleep(seconds)
        context.example.kill(name)
        return await task

    context.first_answer = context.loop.run_until_complete(work())


@behave.when("it sends the same order through {name} after {seconds:g} more seconds")
def step_send_again(context, name, seconds):
    async def work():
        await asyncio.sleep(seconds)
        return await send_order(context, name, context.account)

    context.second_answer = context.loop.run_until_complete(work())


@behave.then("the order ran once, and its answer came with the repeat")
def step_check_one_run(context):
    async def count_runs():
        runs = [
            await context.example.get_json(url + "/runs")
            for url in context.example.standin_urls("plain").values()
        ]
        return sum(
            count
            for counts in runs
            for request, count in counts.items()
            if f" {context.order_path} " in request
        )

    assert context.first_answer is None, context.first_answer
    assert context.loop.run_until_complete(count_runs()) == 1
    status, body = context.second_answer
    assert status == 200 and '"run": 1' in body, context.second_answer
