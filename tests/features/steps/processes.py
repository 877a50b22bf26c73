"""Steps that drive real processes."""

from __future__ import annotations

import asyncio
import json
import time

import behave
import openai

from standins import deployment
from tests import builders
from yuccahitch.cli import show

BODY_LIMIT = 4194304
CONFIG_S = 4.0


def call(context, method, url, **options):
    async def work():
        async with context.example.session.request(method, url, **options) as response:
            text = await response.text()
            return response.status, text, dict(response.headers)

    context.status, context.body, context.headers = context.loop.run_until_complete(work())


def chat(context, name, account, body, **headers):
    url = context.example.url(name) + "/v1/chat/completions"
    call(context, "POST", url, json=body, headers=builders.key_header(account) | headers)


@behave.when("{account} asks {name} for a plan of {count:d} tokens")
def step_ask(context, account, name, count):
    mark = f"mark-{id(context)}-{count}-{account}"
    context.mark = mark
    messages = [{"role": "user", "content": mark}]
    chat(context, name, account, builders.chat_body(max_tokens=count, messages=messages))


@behave.when("{account} streams a plan of {count:d} tokens from {name}")
def step_stream(context, account, name, count):
    chat(context, name, account, builders.chat_body(max_tokens=count, stream=True))


@behave.then("the status is {status:d}")
def step_status(context, status):
    assert context.status == status, (context.status, context.body)


@behave.then("the answer has {count:d} words")
def step_words(context, count):
    answer = json.loads(context.body)
    assert len(answer["choices"][0]["message"]["content"].split()) == count, answer


@behave.then("the stream has {count:d} words and its end mark")
def step_stream_words(context, count):
    events = [line[6:] for line in context.body.splitlines() if line.startswith("data: ")]
    assert events[-1] == "[DONE]", events[-3:]
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    assert sum("content" in delta for delta in deltas) == count, deltas


@behave.when("the OpenAI client asks {name} for {count:d} tokens, streamed and not")
def step_openai(context, name, count):
    async def work():
        client = openai.AsyncOpenAI(
            base_url=context.example.url(name) + "/v1", api_key="example-key-sahil-rinks"
        )
        options = {"model": "ice-model", "max_tokens": count}
        messages = [{"role": "user", "content": "Draft a plan."}]
        whole = await client.chat.completions.create(messages=messages, **options)
        stream = await client.chat.completions.create(messages=messages, stream=True, **options)
        parts = [part.choices[0].delta.content or "" async for part in stream]
        await client.close()
        return whole.choices[0].message.content, "".join(parts)

    context.answers = context.loop.run_until_complete(work())


@behave.then("both answers have {count:d} words")
def step_both(context, count):
    assert [len(answer.split()) for answer in context.answers] == [count, count], context.answers


def engine_sights(context, mark):
    """Return the names of the upstreams that saw a mark."""
    urls = context.example.standin_urls("engine") | context.example.standin_urls("plain")

    async def work():
        seen = {name: await context.example.get_json(url + "/seen") for name, url in urls.items()}
        return [name for name, texts in seen.items() if any(mark in text for text in texts)]

    return context.loop.run_until_complete(work())


@behave.then("only engines in {region} saw the account's last request")
def step_only_region(context, region):
    resources = json.loads((context.example.folder / "resources.json").read_text())
    homes = {r["spec"]["name"]: r["spec"]["region"] for r in resources if r["kind"] == "upstream"}
    sights = engine_sights(context, context.mark)
    assert sights and {homes[name] for name in sights} == {region}, sights


BAD_HEADERS = {
    "no key": {"Authorization": ""},
    "a malformed key": {"Authorization": "Basic abc"},
    "an unknown key": {"Authorization": "Bearer never-given"},
    "a bad deadline": {"X-Deadline-Seconds": "soon"},
    "too many headers": {f"X-Extra-{n}": "x" for n in range(80)},
    "a forged minted key": {
        "Idempotency-Key": "yop1:muscat-a-1~1:sahil-rinks:9999999999:abc:0123456789"
    },
    "a key without a time": {"Idempotency-Key": "order-7"},
}
BAD_BODIES = {
    "an unknown model": builders.chat_body(model="nobody"),
    "no JSON": "{nonsense",
    "a list": [1, 2],
    "a wrong type": {"model": 7, "messages": "text"},
    "a negative limit": builders.chat_body(max_tokens=-1),
    "a body too large": "x" * (BODY_LIMIT + 1),
}


@behave.when("{account} sends {what} to {name}")
def step_bad(context, account, what, name):
    headers = builders.key_header(account) | BAD_HEADERS.get(what, {})
    body = BAD_BODIES.get(what, builders.chat_body())
    context.mark = f"bad-{what}"
    if isinstance(body, dict) and "messages" in body and what != "a wrong type":
        body = body | {"messages": [{"role": "user", "content": context.mark}]}
    data = body if isinstance(body, str) else json.dumps(body)
    path = "/v1/nowhere" if what == "an unknown path" else "/v1/chat/completions"
    call(context, "POST", context.example.url(name) + path, data=data, headers=headers)


@behave.then("the error is {code} at {step} and says {run}")
def step_error(context, code, step, run):
    error = json.loads(context.body)["error"]
    assert (error["code"], error["step"], error["run"]) == (code, step, run), error


@behave.then("no upstream saw the request")
def step_unseen(context):
    assert engine_sights(context, context.mark) == []


@behave.when("garbage is sent to the peer port of {name}")
def step_garbage(context, name):
    section = context.example.settings[name]["instance"]

    async def work():
        _, writer = await asyncio.open_connection(section["listen"], int(section["peer_port"]))
        writer.write(b"\x00\xff garbage \r\n\r\n" * 50)
        await writer.drain()
        writer.close()

    context.loop.run_until_complete(work())


@behave.when("a peer message without proof is sent to {name}")
def step_no_proof(context, name):
    from grpclib import client, exceptions

    from yuccahitch.codecs.generated import peer_grpc, peer_pb2

    section = context.example.settings[name]["instance"]

    async def work():
        async with client.Channel(section["listen"], int(section["peer_port"])) as channel:
            try:
                await peer_grpc.PeerStub(channel).Tell(peer_pb2.Envelope())
            except exceptions.GRPCError as error:
                return error.status.name
        return "answered"

    status = context.loop.run_until_complete(work())
    assert status == "UNAUTHENTICATED", status


def operate(context, method, path, body=None, token=deployment.OPERATOR_TOKEN, name="sohar-a-2"):
    url = context.example.url(name, "operator_port") + path
    headers = {"Authorization": f"Bearer {token}"}
    call(context, method, url, json=body, headers=headers)


@behave.when("an operator writes account {account} through nte")
def step_write(context, account):
    context.resource = f"account/{account}"
    body = {"spec": {"name": account}, "version": 0}
    operate(context, "PUT", f"/v1/resources/{context.resource}", body)
    assert context.status == 200, context.body


@behave.when("an operator writes account {account} expecting version {version:d}")
def step_write_stale(context, account, version):
    body = {"spec": {"name": account}, "version": version}
    operate(context, "PUT", f"/v1/resources/account/{account}", body)


@behave.when("an operator writes a key for account {account}")
def step_write_conflict(context, account):
    spec = {"name": "k", "account": account, "digest": "0" * 64}
    operate(context, "PUT", "/v1/resources/key/k", {"spec": spec})


@behave.when("an operator writes a route from {host} under {prefix} to {service}")
def step_write_route(context, host, prefix, service):
    spec = {"name": "hosted", "host": host, "prefix": prefix, "service": service}
    operate(context, "PUT", "/v1/resources/route/hosted", {"spec": spec})
    assert context.status == 200, context.body


@behave.when("{account} calls {path} of {host} at {name}")
def step_call_hosted(context, account, path, host, name):
    headers = builders.key_header(account) | {"Host": host}
    deadline = time.monotonic() + CONFIG_S
    call(context, "GET", context.example.url(name) + path, headers=headers)
    while context.status == 404 and "the path is unknown" in context.body:
        assert time.monotonic() < deadline, context.body
        time.sleep(0.1)
        call(context, "GET", context.example.url(name) + path, headers=headers)


@behave.then("the plain service saw {method} {path}")
def step_plain_saw(context, method, path):
    urls = context.example.standin_urls("plain")

    async def work():
        return [await context.example.get_json(url + "/runs") for url in urls.values()]

    runs = context.loop.run_until_complete(work())
    assert any(f"{method} {path}" in label for found in runs for label in found), runs


@behave.when("an operator writes a malformed rate")
def step_write_malformed(context):
    operate(context, "PUT", "/v1/resources/rate/x", {"spec": {"name": "x", "tokens_per_s": "a"}})


@behave.when("an operator deletes account {account}")
def step_delete(context, account):
    operate(context, "DELETE", f"/v1/resources/account/{account}")
    assert context.status == 200, context.body


@behave.then("the operator gets {code}")
def step_operator_error(context, code):
    assert json.loads(context.body)["error"]["code"] == code, context.body


def everywhere(context, condition):
    async def current():
        results = []
        for name in context.example.processes:
            url = context.example.url(name, "operator_port")
            path = f"{url}/v1/resources/{context.resource}"
            headers = deployment.operator_headers()
            async with context.example.session.get(path, headers=headers) as response:
                results.append(condition(response.status, await response.json()))
        return all(results)

    context.loop.run_until_complete(deployment.wait_until(current, 4.0))


@behave.then("the resource has version {version:d} everywhere")
def step_version(context, version):
    everywhere(context, lambda status, body: body.get("version") == version)


@behave.then("the resource is gone everywhere")
def step_gone(context):
    everywhere(context, lambda status, body: status == 404)


@behave.then("a wrong operator token gets operator-unknown")
def step_wrong_token(context):
    operate(context, "GET", "/v1/resources", token="wrong")
    assert context.status == 401, context.body


@behave.then("a watch shows the resources")
def step_watch(context):
    url = context.example.url("muscat-a-1", "operator_port") + "/v1/watch"

    async def work():
        async with context.example.session.get(url, headers=deployment.operator_headers()) as r:
            return json.loads(await r.content.readline())

    assert "kind" in context.loop.run_until_complete(work())


@behave.then("no upstream and no log holds a key")
def step_no_keys(context):
    assert engine_sights(context, "example-key-") == []
    for log in context.example.run_dir.glob("*.log"):
        assert "example-key-" not in log.read_text(), log


@behave.then("{name} shows health, readiness and latency figures")
def step_figures(context, name):
    base = context.example.url(name)
    for path in ("/healthz", "/readyz"):
        call(context, "GET", base + path)
        assert context.status == 200, context.body
    call(context, "GET", base + "/metrics")
    assert 'quantile="0.99",route="ice-model"} ' in context.body, context.body


@behave.then("the time line of all logs is in order and holds the request")
def step_timeline(context):
    lines = sorted(
        line for log in context.example.run_dir.glob("*.log") for line in show.read_log(log)
    )
    stamps = [line.stamp for line in lines]
    assert stamps == sorted(stamps)
    began = [line for line in lines if line.name == "request-began"]
    ended = {line.fields["request"] for line in lines if line.name == "request-ended"}
    assert ended & {line.fields["request"] for line in began}
