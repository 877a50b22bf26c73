"""Steps that break real processes."""

from __future__ import annotations

import asyncio
import itertools
import json

import aiohttp
import behave

from standins import deployment
from tests import builders

SLOW = 10.0
MARKS = itertools.count(1)
REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=20)


def engines(context):
    return context.example.standin_urls("engine")


def run(context, work):
    return context.loop.run_until_complete(work)


def switch(context, urls, **faults):
    async def work():
        for url in urls:
            await context.example.set_faults(url, **faults)

    async def reset():
        for url in urls:
            if context.example.session is not None:
                await context.example.set_faults(url)

    run(context, work())
    context.closers = [*getattr(context, "closers", []), reset]


async def plan(context, name, account, *, stream=False, tokens=5, mark="plan", session=None):
    """Return status, text and headers of a chat request."""
    url = context.example.url(name) + "/v1/chat/completions"
    messages = [{"role": "user", "content": mark}]
    body = builders.chat_body(
        model="pintor-lm", max_tokens=tokens, stream=stream, messages=messages
    )
    async with (session or context.example.session).post(
        url, json=body, headers=builders.key_header(account), timeout=REQUEST_TIMEOUT
    ) as response:
        return response.status, await response.text(), dict(response.headers)


@behave.given("engines that need 20 ms for a token")
def step_slow(context):
    switch(context, engines(context).values(), slow_factor=SLOW)


@behave.when("{count:d} streams of {tokens:d} tokens run through {name}")
def step_streams(context, count, tokens, name):
    async def work():
        context.streams = [
            asyncio.ensure_future(
                plan(context, name, "centro", stream=True, tokens=tokens, mark=f"s{n}")
            )
            for n in range(count)
        ]
        await asyncio.sleep(0.3)

    run(context, work())


@behave.when("{name} is told to stop while they run")
def step_stop(context, name):
    async def work():
        context.code = await context.example.stop(name)
        context.answers = await asyncio.gather(*context.streams)

    run(context, work())


@behave.then("all {count:d} streams were whole")
def step_whole(context, count):
    ends = [text.rstrip().endswith("data: [DONE]") for _, text, _ in context.answers]
    words = [text.count('"content"') for _, text, _ in context.answers]
    assert len(ends) == count and all(ends) and set(words) == {40}, (ends, words)


@behave.then("{name} ended with exit code 0")
def step_code(context, name):
    assert context.code == 0, context.code


async def listed(context):
    """Return the names that each running instance tells callers to use."""
    found = set()
    for name in context.example.processes:
        url = context.example.url(name) + "/v1/instances"
        async with context.example.session.get(url, headers=builders.key_header("centro")) as r:
            answer = await r.json()
            found |= {item["name"].split("~")[0] for item in answer["instances"]}
    return found


@behave.then("nobody is told to use {name}")
def step_not_listed(context, name):
    assert name not in run(context, listed(context))


@behave.then("within {seconds:g} seconds nobody is told to use {name}")
def step_not_listed_soon(context, seconds, name):
    async def gone():
        return name not in await listed(context)

    run(context, deployment.wait_until(gone, seconds))


@behave.when("{upstream} is said to leave by {whom}")
def step_leave(context, upstream, whom):
    world = context.example
    context.upstream = upstream
    if whom == "its load report":
        switch(context, [engines(context)[upstream]], leaving=True)
        return
    if whom == "the instance list":
        url = next(iter(world.standin_urls("instances").values()))
        item = {"role": "upstream", "address": engines(context)[upstream], "state": "leaving"}
        send(context, "PUT", f"{url}/instances/{upstream}", item)

        async def remove():
            async with world.session.delete(f"{url}/instances/{upstream}"):
                pass

        context.closers = [*getattr(context, "closers", []), remove]
        return
    change_upstream(context, upstream, True)

    async def back():
        await put_upstream(context, upstream, False)

    context.closers = [*getattr(context, "closers", []), back]


async def put_upstream(context, upstream, leaving):
    url = context.example.url("occ-a-1", "operator_port") + f"/v1/resources/upstream/{upstream}"
    headers = deployment.operator_headers()
    async with context.example.session.get(url, headers=headers) as response:
        spec = (await response.json())["spec"] | {"leaving": leaving}
    async with context.example.session.put(url, json={"spec": spec}, headers=headers) as response:
        assert response.status == 200, await response.text()


def change_upstream(context, upstream, leaving):
    run(context, put_upstream(context, upstream, leaving))


def send(context, method, url, body):
    async def work():
        async with context.example.session.request(method, url, json=body) as response:
            assert response.status == 200, await response.text()

    run(context, work())


@behave.when("{seconds:g} seconds go by")
def step_wait(context, seconds):
    run(context, asyncio.sleep(seconds))


@behave.when("{count:d} requests are sent to {name}")
def step_many(context, count, name):
    context.mark = f"after-leaving-{next(MARKS)}"

    async def work():
        return await asyncio.gather(
            *(plan(context, name, "occidente", mark=f"{context.mark}-{n}") for n in range(count))
        )

    context.answers = run(context, work())


@behave.then("{upstream} saw none of them")
def step_none_seen(context, upstream):
    texts = run(context, context.example.get_json(engines(context)[upstream] + "/seen"))
    assert not [text for text in texts if context.mark in text]


@behave.then("all were answered")
@behave.then("all plans were answered")
def step_all_answered(context):
    assert {status for status, _, _ in context.answers} == {200}, context.answers


FAULTS = {
    "break off after 3 tokens": {"cut_after_tokens": 3},
    "answer with another request's": {"cross_answers": True},
    "answer with status 503": {"refuse_status": 503},
}


@behave.given("all engines {fault}")
def step_fault(context, fault):
    switch(context, engines(context).values(), **FAULTS[fault])


@behave.given("one engine of {region} answers with status 503")
def step_one_fails(context, region):
    switch(context, [engines(context)["pintor-lm-1"]], refuse_status=503)


@behave.when("{account} asks {name} for {count:d} plans of {tokens:d} tokens")
def step_plans(context, account, name, count, tokens):
    async def work():
        return [
            await plan(context, name, account, tokens=tokens, mark=f"p{n}") for n in range(count)
        ]

    context.answers = run(context, work())


@behave.when("{account} wants a {form} of {tokens:d} tokens from {name}")
def step_form(context, account, name, form, tokens):
    mark = f"{form}-{next(MARKS)}"
    context.answer = run(
        context, plan(context, name, account, stream=form == "stream", tokens=tokens, mark=mark)
    )


@behave.then("the caller sees an error event {code}, may-have-run")
def step_error_event(context, code):
    _, text, _ = context.answer
    last = text.strip().split("\n\n")[-1]
    assert last.startswith("event: error"), text
    error = json.loads(last.partition("data: ")[2])["error"]
    assert (error["code"], error["run"]) == (code, "may-have-run"), error
    assert "[DONE]" not in text


@behave.then("the caller sees status 502 or 422 and may-have-run")
def step_bad_gateway(context):
    status, text, _ = context.answer
    assert status in (502, 422), (status, text)
    assert json.loads(text)["error"]["run"] == "may-have-run", text


@behave.when("a caller of {name} hangs up after the first token of {tokens:d}")
def step_hang_up(context, name, tokens):
    async def work():
        context.before = await cancels(context)
        url = context.example.url(name) + "/v1/chat/completions"
        body = builders.chat_body(model="pintor-lm", max_tokens=tokens, stream=True)
        async with aiohttp.ClientSession() as session:
            async with session.post(
                url, json=body, headers=builders.key_header("centro")
            ) as response:
                await response.content.readline()

    run(context, work())


async def cancels(context):
    stats = [await context.example.get_json(url + "/stats") for url in engines(context).values()]
    return sum(item["cancelled"] for item in stats)


@behave.then("within {seconds:g} seconds an engine saw the cancel")
def step_cancelled(context, seconds):
    async def seen():
        return await cancels(context) > context.before

    run(context, deployment.wait_until(seen, seconds))


@behave.then("{name} has no open request")
def step_none_open(context, name):
    assert run(context, context.example.metric(name, "open_requests")) == 0


@behave.given("engines that crash on the word {word}")
def step_crash_on(context, word):
    context.word = word
    switch(context, engines(context).values(), crash_on=word)


@behave.when("centro sends the crashing request to each instance in turn")
def step_poison(context):
    async def work():
        for name in context.example.processes:
            context.poison = await plan(context, name, "centro", mark=context.word)
            await asyncio.sleep(1.5)

    run(context, work())


@behave.then("no more than {count:d} engines crashed on it")
def step_crashes(context, count):
    async def work():
        texts = [await context.example.get_json(url + "/seen") for url in engines(context).values()]
        return sum(context.word in text for seen in texts for text in seen)

    crashes = run(context, work())
    assert 0 < crashes <= count, crashes
    assert json.loads(context.poison[1])["error"]["code"] == "poison", context.poison


@behave.then("other requests are answered")
def step_others(context):
    status, text, _ = run(context, plan(context, "cen-a-1", "centro"))
    assert status == 200, text


@behave.when("{account} keeps a connection to {name} and its key is withdrawn")
def step_kept(context, account, name):
    async def work():
        context.kept = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1))
        context.closers = [*getattr(context, "closers", []), context.kept.close]
        context.ask = lambda: plan(context, name, account, session=context.kept)
        status, text, _ = await context.ask()
        assert status == 200, text
        place = f"/v1/resources/key/{account}-1"
        url = context.example.url("occ-a-1", "operator_port") + place
        headers = deployment.operator_headers()
        async with context.example.session.get(url, headers=headers) as response:
            spec = (await response.json())["spec"] | {"withdrawn": True}
        async with context.example.session.put(
            url, json={"spec": spec}, headers=headers
        ) as response:
            assert response.status == 200, await response.text()

    run(context, work())


@behave.then("within {seconds:g} seconds a request on the kept connection gets {code}")
def step_kept_refused(context, seconds, code):
    async def refused():
        status, text, _ = await context.ask()
        return status == 401 and json.loads(text)["error"]["code"] == code

    run(context, deployment.wait_until(refused, seconds))


@behave.when("the store is down for {seconds:g} seconds")
def step_store_down(context, seconds):
    store_url = next(iter(context.example.standin_urls("keyvalue").values()))
    switch(context, [store_url], down=True)

    async def work():
        answers = []
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            for name in context.example.processes:
                answers.append((name, (await plan(context, name, "visitas", tokens=1))[:2]))
            await asyncio.sleep(0.5)
        return answers

    context.during = run(context, work())


@behave.then("visitas is answered by every instance all the while")
def step_all_while(context):
    refused = [answer for answer in context.during if answer[1][0] != 200]
    assert not refused, refused[:3]


@behave.when("{name} is killed")
def step_kill(context, name):
    context.example.kill(name)


@behave.then("{account} is answered by {name}")
def step_answered(context, account, name):
    status, text, _ = run(context, plan(context, name, account))
    assert status == 200, text
