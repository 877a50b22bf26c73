"""Steps about streams that break off, at the own interface."""

from __future__ import annotations

import asyncio
import itertools
import json
import re

import aiohttp
import behave

from tests import builders

NEAR_ENGINES = ("pintor-lm-2", "pintor-lm-5")
# Time after which a leaving engine is known as one, in seconds.
LEAVING_KNOWN_S = 4.0
SLOW_FACTOR = 10.0
REPEAT_PERIOD_S = 0.2
RESUME_HEADERS = {"Last-Event-Id": "3", "Resumes": "r-0123456789abcdef"}
WORD = re.compile(r"(pintor-lm-\d+):w(\d+) ")
_stream_numbers = itertools.count(1)


class Answer:
    """What a caller got.

    Attributes:
        status: HTTP status.
        headers: Its headers.
        text: Its body, as far as it came.
    """

    __slots__ = ("status", "headers", "text")

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        self.text = ""

    def words(self):
        """Return the engine and the number of each word."""
        return [(engine, int(number)) for engine, number in WORD.findall(self.text)]


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 60))


def set_all_faults(context, **faults):
    """Set faults of all engines, whose words bear their names, until the scenario ends."""

    async def work():
        for name, url in context.example.standin_urls("engine").items():
            await context.example.set_faults(url)
            await context.example.set_faults(url, word_mark=f"{name}:", **faults)

    async def clear():
        for url in context.example.standin_urls("engine").values():
            await context.example.set_faults(url)

    run(context, work())
    context.closers = [clear]


@behave.given("engines whose words bear their names, and which break off after {count:d} tokens")
def step_set_breaking(context, count):
    set_all_faults(context, cut_after_tokens=count)


@behave.given("engines whose words bear their names, and which need 20 ms for a token")
def step_set_slow(context):
    set_all_faults(context, slow_factor=SLOW_FACTOR)


@behave.given("the engines near cen-a-1 are leaving")
def step_set_leaving(context):
    async def work():
        urls = context.example.standin_urls("engine")
        for name in NEAR_ENGINES:
            await context.example.set_faults(urls[name], leaving=True)
        await asyncio.sleep(LEAVING_KNOWN_S)

    run(context, work())


async def new_key(context, kind):
    """Return the headers of a key: none, one that the caller chose, or one of an instance."""
    if kind == "no key":
        return {}
    if kind == "a chosen key":
        return {"Idempotency-Key": builders.uuid7()}
    url = context.example.url(kind.removeprefix("a key of ")) + "/v1/operations"
    headers = builders.key_header(context.account)
    async with context.example.session.post(url, headers=headers) as response:
        return {"Idempotency-Key": (await response.json())["operation_keys"][0]}


async def ask(context, name, *, extra_headers=(), words_read=None):
    """Send the request to an instance; go away after some words if a number is given."""
    headers = builders.key_header(context.account) | context.key_headers | dict(extra_headers)
    url = context.example.url(name) + "/v1/chat/completions"
    async with aiohttp.ClientSession() as session:
        async with session.post(url, data=context.body, headers=headers) as response:
            answer = Answer(response.status, response.headers)
            try:
                async for data in response.content.iter_any():
                    answer.text += data.decode()
                    if words_read is not None and len(answer.words()) >= words_read:
                        response.close()
                        break
            except aiohttp.ClientError:
                pass
    return answer


async def begin(context, account, tokens, kind):
    """Make a request and its key."""
    context.account = account
    context.tokens = tokens
    context.prompt = f"broken stream {next(_stream_numbers)} of this run"
    body = builders.chat_body(
        model="pintor-lm",
        max_tokens=tokens,
        stream=True,
        messages=[{"role": "user", "content": context.prompt}],
    )
    context.body = json.dumps(body).encode()
    context.key_headers = await new_key(context, kind)


@behave.when("{account} streams {tokens:d} tokens from {name} with {kind}")
def step_stream(context, account, tokens, name, kind):
    async def work():
        await begin(context, account, tokens, kind)
        context.answer = await ask(context, name)

    run(context, work())


@behave.when(
    "{account} begins to stream {tokens:d} tokens from {name} with {kind}, and goes away after"
    " {count:d} of them"
)
def step_stream_and_leave(context, account, tokens, name, kind, count):
    async def work():
        await begin(context, account, tokens, kind)
        context.answer = await ask(context, name, words_read=count)

    run(context, work())
    assert context.answer.status == 200, context.answer.text


@behave.when(
    "{account} begins to stream {tokens:d} tokens from {name} with {kind}, and {killed} is killed"
    " after {seconds:g} seconds"
)
def step_stream_and_kill(context, account, tokens, name, kind, killed, seconds):
    async def work():
        await begin(context, account, tokens, kind)
        task = asyncio.ensure_future(ask(context, name))
        await asyncio.sleep(seconds)
        context.example.kill(killed)
        context.answer = await task

    run(context, work())
    assert context.answer.words(), context.answer.text


@behave.when(
    "the engines are sound again, and it repeats the request at {name} with {header_names}"
)
def step_repeat(context, name, header_names):
    set_all_faults(context)
    repeat(context, name, RESUME_HEADERS if "Resumes" in header_names else {})


@behave.when("it repeats the request at {name} until it is answered")
def step_repeat_until(context, name):
    repeat(context, name, RESUME_HEADERS)


def repeat(context, name, extra_headers):
    """Send the request again until it is told something else than that the first one runs."""

    async def work():
        while True:
            context.answer = await ask(context, name, extra_headers=extra_headers)
            if "operation-running" not in context.answer.text:
                return
            await asyncio.sleep(REPEAT_PERIOD_S)

    run(context, work())


@behave.then(
    "the stream has {count:d} words of one engine, an error event {code}, {outcome}, and no end"
    " marker"
)
def step_check_broken(context, count, code, outcome):
    check_words(context.answer, count)
    check_error_event(context.answer)
    assert code in context.answer.text and outcome in context.answer.text, context.answer.text


@behave.then("the stream has words of one engine, an error event, and no end marker")
def step_check_broken_anywhere(context):
    check_words(context.answer, len(context.answer.words()))
    check_error_event(context.answer)


def check_words(answer, count):
    """Check that an answer holds the first words of one engine, in order."""
    words = answer.words()
    assert len({engine for engine, _ in words}) == 1, words
    assert [number for _, number in words] == list(range(count)), words


def check_error_event(answer):
    assert "event: error" in answer.text, answer.text
    assert "[DONE]" not in answer.text, answer.text


@behave.then("the answer is a whole stream of one engine, from its first word")
def step_check_whole(context):
    assert context.answer.status == 200, context.answer.text
    check_words(context.answer, context.tokens)
    assert context.answer.text.rstrip().endswith("data: [DONE]"), context.answer.text


@behave.then("it is a replay, and one engine got the request")
def step_check_replay(context):
    assert context.answer.headers.get("x-replayed") == "true", context.answer.headers
    step_check_one_engine(context)


@behave.then("one engine got the request")
def step_check_one_engine(context):
    async def count_requests():
        return sum(
            [
                sum(
                    context.prompt in text for text in await context.example.get_json(url + "/seen")
                )
                for url in context.example.standin_urls("engine").values()
            ]
        )

    assert run(context, count_requests()) == 1


@behave.then("it is refused as one that may have run")
def step_check_refused(context):
    assert context.answer.status >= 400, context.answer.text
    assert context.answer.headers.get("x-run") == "may-have-run", context.answer.headers
