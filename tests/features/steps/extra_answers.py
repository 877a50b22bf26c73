"""Steps about answers that nobody waits for."""

from __future__ import annotations

import asyncio
import json
import time

import behave

from standins import extra_answers
from tests import attempt_clients
from yuccahitch.messages import answers
from yuccahitch.tasks import answer_stream

# Time between two requests, within which what comes while a connection is idle has come.
PAUSE_S = 0.15
EXTRA_AFTER_S = 0.03
ANSWER_S = 0.4
REFUSED_STATUS = 503
STREAM_TYPE = "text/event-stream"


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, 30))


class EngineScript:
    """What an engine answers, by the text of a feature.

    Attributes:
        names: Whether it repeats the id of the request.
        extra: What it sends too much.
    """

    __slots__ = ("names", "extra")

    def __init__(self, names, extra):
        self.names = names
        self.extra = extra

    def __call__(self, request, received):
        """Return the steps of an answer."""
        copied = self.answer_to(received[0])
        own = self.answer_to(request)
        if self.extra.endswith("before each answer"):
            early = self.encode(request, b"{}", status=REFUSED_STATUS)
            if "another request" in self.extra:
                early = extra_answers.an_answer(b"{}", request_id="r-of-another.1")
            return [a_step(0.0, early), a_step(ANSWER_S, own, is_own=True)]
        follows_first = request.number == 2 and request.connection == received[0].connection
        if self.extra.endswith("where the next is due") and follows_first:
            return [a_step(0.0, copied), a_step(ANSWER_S, own, is_own=True)]
        if request.number > 1 or self.extra.endswith("is due"):
            return [a_step(0.0, own, is_own=True)]
        if self.extra.endswith("together with it"):
            return [a_step(0.0, own + copied, is_own=True)]
        if self.extra.endswith("half of it later"):
            half = len(copied) // 2
            return [
                a_step(0.0, own + copied[:half], is_own=True),
                a_step(EXTRA_AFTER_S, copied[half:]),
            ]
        count = 3 if self.extra.startswith("3 copies") else 1
        has_copies = "garbage" not in self.extra
        copies = [a_step(EXTRA_AFTER_S, copied)] * count if has_copies else []
        return [a_step(0.0, own, is_own=True), *copies]

    def answer_to(self, request):
        """Return the whole answer to a request."""
        words = json.loads(request.body)["messages"][0]["content"]
        if "refusal," in self.extra and request.number == 1:
            return self.encode(request, b"{}", status=REFUSED_STATUS)
        if "stream" not in self.extra:
            return self.encode(request, json.dumps({"words": words}).encode())
        event = json.dumps({"words": words}).encode()
        garbage = b"no event\n\n" if "garbage" in self.extra else b""
        body = b"data: " + event + b"\n\ndata: [DONE]\n\n" + garbage
        return self.encode(request, body, content_type=STREAM_TYPE)

    def encode(self, request, body, **options):
        request_id = request.id if self.names else ""
        return extra_answers.an_answer(body, request_id=request_id, **options)


def a_step(delay_s, data, **options):
    return extra_answers.Step(delay_s, data, **options)


class Outcome:
    """What a chat got.

    Attributes:
        words: Words that it asked with.
        body: Body of its answer.
        error: Error of its failure, or None.
        ended_at: When it ended, in monotonic seconds.
    """

    __slots__ = ("words", "body", "error", "ended_at")

    def __init__(self, words):
        self.words = words
        self.body = b""
        self.error = None
        self.ended_at = 0.0


async def send(client, action, words):
    """Send an attempt; return what it got."""
    outcome = Outcome(words)
    stream = answer_stream.AnswerStream(action.request.id, action.attempt, capacity=8)
    attempt_clients.post_dispatch(client, action, stream)
    part = None
    while type(part) not in (answers.End, answers.Failure):
        part = await stream.get()
        outcome.body += part.data if type(part) is answers.Chunk else b""
    outcome.error = part.error if type(part) is answers.Failure else None
    outcome.ended_at = time.monotonic()
    return outcome


@behave.given("an engine that {names} the request in its answers and sends {extra}")
def step_start_engine(context, names, extra):
    script = EngineScript(names == "repeats", extra)
    context.script = script
    context.server = extra_answers.ExtraAnswerServer(script)
    context.loop.run_until_complete(context.server.start())
    context.closers = [context.server.close]


@behave.when("{count:d} chats are sent to it one after another")
def step_send_chats(context, count):
    async def work():
        context.outcomes = []
        async with attempt_clients.running_upstream_client() as client:
            for number in range(count):
                words = f"words {number}"
                action = attempt_clients.a_chat(
                    f"http://127.0.0.1:{context.server.port}",
                    echoes_request_id=context.script.names,
                    stream="stream" in context.script.extra,
                    words=words,
                )
                context.outcomes.append(await send(client, action, words))
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(ANSWER_S)

    run(context, work())


@behave.then("each gets its own answer or a failure, and {failures:d} fail")
def step_check_answers(context, failures):
    answered = [outcome for outcome in context.outcomes if outcome.error is None]
    for outcome in answered:
        assert outcome.words.encode() in outcome.body, (outcome.words, outcome.body)
    failed = [str(outcome.error) for outcome in context.outcomes if outcome.error is not None]
    assert len(failed) == failures, failed


@behave.then("none works on a chat {seconds:g} seconds after the chat has failed")
def step_check_ended(context, seconds):
    failed = [
        (outcome, request)
        for outcome, request in zip(context.outcomes, context.server.received, strict=True)
        if outcome.error is not None
    ]
    assert failed
    for outcome, request in failed:
        assert request.ended_at is not None, "the engine works on"
        late_s = request.ended_at - outcome.ended_at
        assert late_s <= seconds, f"it worked {late_s:.2f} s longer"
