"""Steps that send requests to the processes of a running deployment."""

from __future__ import annotations

import asyncio
import json
import time

import behave
import openai

from standins import deployment
from tests import builders
from yuccahitch.cli import show

MAX_BODY_BYTES = 4194304
CONFIG_TIMEOUT_S = 4.0


def send_request(context, method, url, **options):
    """Send an HTTP request; keep status, body and headers of the response on the context."""

    async def send():
        async with context.example.session.request(method, url, **options) as response:
            text = await response.text()
            return response.status, text, dict(response.headers)

    context.status, context.body, context.headers = context.loop.run_until_complete(send())


def send_chat(context, name, account, body, **headers):
    """Send a chat request to a process with the account's key."""
    url = context.example.url(name) + "/v1/chat/completions"
    send_request(context, "POST", url, json=body, headers=builders.key_header(account) | headers)


@behave.when("{account} asks {name} for a plan of {count:d} tokens")
def step_request_plan(context, account, name, count):
    prompt = f"mark-{id(context)}-{count}-{account}"
    context.prompt = prompt
    messages = [{"role": "user", "content": prompt}]
    send_chat(context, name, account, builders.chat_body(max_tokens=count, messages=messages))


@behave.when("{account} streams a plan of {count:d} tokens from {name}")
def step_request_stream(context, account, name, count):
    send_chat(context, name, account, builders.chat_body(max_tokens=count, stream=True))


@behave.then("the status is {status:d}")
def step_status(context, status):
    assert context.status == status, (context.status, context.body)


@behave.then("the answer has {count:d} words")
def step_answer_words(context, count):
    answer = json.loads(context.body)
    assert len(answer["choices"][0]["message"]["content"].split()) == count, answer


@behave.then("the stream has {count:d} words and its end marker")
def step_stream_words(context, count):
    events = [line[6:] for line in context.body.splitlines() if line.startswith("data: ")]
    assert events[-1] == "[DONE]", events[-3:]
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    assert sum("content" in delta for delta in deltas) == count, deltas


@behave.when("the OpenAI client asks {name} for {count:d} tokens, streamed and not")
def step_request_with_openai_client(context, name, count):
    async def request_both():
        client = openai.AsyncOpenAI(
            base_url=context.example.url(name) + "/v1", api_key="example-key-sahil-rinks"
        )
        options = {"model": "ice-model", "max_tokens": count}
        messages = [{"role": "user", "content": "Draft a plan."}]
        complete_answer = await client.chat.completions.create(messages=messages, **options)
        stream = await client.chat.completions.create(messages=messages, stream=True, **options)
        text_pieces = [part.choices[0].delta.content or "" async for part in stream]
        await client.close()
        return complete_answer.choices[0].message.content, "".join(text_pieces)

    context.answers = context.loop.run_until_complete(request_both())


@behave.then("both answers have {count:d} words")
def step_both_answers_complete(context, count):
    assert [len(answer.split()) for answer in context.answers] == [count, count], context.answers


def upstreams_that_received(context, prompt):
    """Return the names of the upstreams that received a prompt containing a text."""
    urls = context.example.standin_urls("engine") | context.example.standin_urls("plain")

    async def find_receivers():
        prompts_by_upstream = {
            name: await context.example.get_json(url + "/seen") for name, url in urls.items()
        }
        return [
            name
            for name, prompts in prompts_by_upstream.items()
            if any(prompt in text for text in prompts)
        ]

    return context.loop.run_until_complete(find_receivers())


@behave.then("only engines in {region} received the account's last request")
def step_received_only_in_region(context, region):
    resources = json.loads((context.example.folder / "resources.json").read_text())
    upstream_regions = {
        r["spec"]["name"]: r["spec"]["region"] for r in resources if r["kind"] == "upstream"
    }
    receiving_upstreams = upstreams_that_received(context, context.prompt)
    assert receiving_upstreams and {upstream_regions[name] for name in receiving_upstreams} == {
        region
    }, receiving_upstreams


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
    "a body too large": "x" * (MAX_BODY_BYTES + 1),
}


@behave.when("{account} sends {defect} to {name}")
def step_send_bad_request(context, account, defect, name):
    headers = builders.key_header(account) | BAD_HEADERS.get(defect, {})
    body = BAD_BODIES.get(defect, builders.chat_body())
    context.prompt = f"bad-{defect}"
    if isinstance(body, dict) and "messages" in body and defect != "a wrong type":
        body = body | {"messages": [{"role": "user", "content": context.prompt}]}
    data = body if isinstance(body, str) else json.dumps(body)
    path = "/v1/nowhere" if defect == "an unknown path" else "/v1/chat/completions"
    send_request(context, "POST", context.example.url(name) + path, data=data, headers=headers)


@behave.then("the error is {code} at {step} and says {run}")
def step_error(context, code, step, run):
    error = json.loads(context.body)["error"]
    assert (error["code"], error["step"], error["run"]) == (code, step, run), error


@behave.then("no upstream received the request")
def step_no_upstream_received(context):
    assert upstreams_that_received(context, context.prompt) == []


@behave.when("garbage is sent to the peer port of {name}")
def step_send_garbage_to_peer_port(context, name):
    section = context.example.settings[name]["instance"]

    async def send_garbage():
        _, writer = await asyncio.open_connection(section["listen"], int(section["peer_port"]))
        writer.write(b"\x00\xff garbage \r\n\r\n" * 50)
        await writer.drain()
        writer.close()

    context.loop.run_until_complete(send_garbage())


@behave.when("a peer message without a fleet proof is sent to {name}")
def step_send_unsigned_peer_message(context, name):
    from grpclib import client, exceptions

    from yuccahitch.codecs.generated import peer_grpc, peer_pb2

    section = context.example.settings[name]["instance"]

    async def send_unsigned():
        async with client.Channel(section["listen"], int(section["peer_port"])) as channel:
            try:
                await peer_grpc.PeerStub(channel).Tell(peer_pb2.Envelope())
            except exceptions.GRPCError as error:
                return error.status.name
        return "answered"

    status = context.loop.run_until_complete(send_unsigned())
    assert status == "UNAUTHENTICATED", status


def send_operator_request(
    context, method, path, body=None, token=deployment.OPERATOR_TOKEN, name="sohar-a-2"
):
    """Send a request to the operator interface of a process, with the operator's token."""
    url = context.example.url(name, "operator_port") + path
    headers = {"Authorization": f"Bearer {token}"}
    send_request(context, method, url, json=body, headers=headers)


@behave.when("an operator writes account {account} through sohar-a-2")
def step_write_account(context, account):
    context.resource = f"account/{account}"
    body = {"spec": {"name": account}, "version": 0}
    send_operator_request(context, "PUT", f"/v1/resources/{context.resource}", body)
    assert context.status == 200, context.body


@behave.when("an operator writes account {account} expecting version {version:d}")
def step_write_account_version(context, account, version):
    body = {"spec": {"name": account}, "version": version}
    send_operator_request(context, "PUT", f"/v1/resources/account/{account}", body)


@behave.when("an operator writes a key for account {account}")
def step_write_conflicting_key(context, account):
    spec = {"name": "k", "account": account, "digest": "0" * 64}
    send_operator_request(context, "PUT", "/v1/resources/key/k", {"spec": spec})


@behave.when("an operator writes a route from {host} under {prefix} to {service}")
def step_write_route(context, host, prefix, service):
    spec = {"name": "hosted", "host": host, "prefix": prefix, "service": service}
    send_operator_request(context, "PUT", "/v1/resources/route/hosted", {"spec": spec})
    assert context.status == 200, context.body


@behave.when("{account} calls {path} of {host} at {name}")
def step_call_hosted_route(context, account, path, host, name):
    headers = builders.key_header(account) | {"Host": host}
    deadline = time.monotonic() + CONFIG_TIMEOUT_S
    send_request(context, "GET", context.example.url(name) + path, headers=headers)
    while context.status == 404 and "the path is unknown" in context.body:
        assert time.monotonic() < deadline, context.body
        time.sleep(0.1)
        send_request(context, "GET", context.example.url(name) + path, headers=headers)


@behave.then("the plain service received {method} {path}")
def step_plain_service_received(context, method, path):
    urls = context.example.standin_urls("plain")

    async def read_run_labels():
        return [await context.example.get_json(url + "/runs") for url in urls.values()]

    run_labels = context.loop.run_until_complete(read_run_labels())
    assert any(f"{method} {path}" in label for labels in run_labels for label in labels), run_labels


@behave.when("an operator writes a malformed rate")
def step_write_malformed(context):
    send_operator_request(
        context, "PUT", "/v1/resources/rate/x", {"spec": {"name": "x", "tokens_per_s": "a"}}
    )


@behave.when("an operator deletes account {account}")
def step_delete_account(context, account):
    send_operator_request(context, "DELETE", f"/v1/resources/account/{account}")
    assert context.status == 200, context.body


@behave.then("the operator gets {code}")
def step_operator_error_code(context, code):
    assert json.loads(context.body)["error"]["code"] == code, context.body


def wait_for_every_instance(context, condition):
    """Wait until status and body of ``context.resource`` meet a condition on every instance."""

    async def condition_holds_everywhere():
        results = []
        for name in context.example.processes:
            url = context.example.url(name, "operator_port")
            path = f"{url}/v1/resources/{context.resource}"
            headers = deployment.operator_headers()
            async with context.example.session.get(path, headers=headers) as response:
                results.append(condition(response.status, await response.json()))
        return all(results)

    context.loop.run_until_complete(deployment.wait_until(condition_holds_everywhere, 4.0))


@behave.then("the resource has version {version:d} everywhere")
def step_resource_version(context, version):
    wait_for_every_instance(context, lambda status, body: body.get("version") == version)


@behave.then("the resource is deleted everywhere")
def step_resource_deleted(context):
    wait_for_every_instance(context, lambda status, body: status == 404)


@behave.then("a wrong operator token gets operator-unknown")
def step_wrong_operator_token(context):
    send_operator_request(context, "GET", "/v1/resources", token="wrong")
    assert context.status == 401, context.body


@behave.then("a watch shows the resources")
def step_watch_resources(context):
    url = context.example.url("muscat-a-1", "operator_port") + "/v1/watch"

    async def read_first_event():
        async with context.example.session.get(url, headers=deployment.operator_headers()) as r:
            return json.loads(await r.content.readline())

    assert "kind" in context.loop.run_until_complete(read_first_event())


@behave.then("no upstream and no log holds a key")
def step_no_key_disclosed(context):
    assert upstreams_that_received(context, "example-key-") == []
    for log in context.example.run_dir.glob("*.log"):
        assert "example-key-" not in log.read_text(), log


@behave.then("{name} shows health, readiness and latency figures")
def step_health_and_metrics(context, name):
    base = context.example.url(name)
    for path in ("/healthz", "/readyz"):
        send_request(context, "GET", base + path)
        assert context.status == 200, context.body
    send_request(context, "GET", base + "/metrics")
    assert 'quantile="0.99",route="ice-model"} ' in context.body, context.body


@behave.then("the merged timeline of all logs is in order and contains the request")
def step_log_timeline(context):
    lines = sorted(
        line for log in context.example.run_dir.glob("*.log") for line in show.read_log(log)
    )
    timestamps = [line.stamp for line in lines]
    assert timestamps == sorted(timestamps)
    began = [line for line in lines if line.name == "request-began"]
    ended = {line.fields["request"] for line in lines if line.name == "request-ended"}
    assert ended & {line.fields["request"] for line in began}
