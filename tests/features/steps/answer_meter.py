"""Steps about counting the tokens of answers."""

from __future__ import annotations

import json

import behave

from yuccahitch.codecs import upstreams


def an_answer(text, tokens):
    """Return a chat answer with a text that reports its tokens."""
    message = {"role": "assistant", "content": text}
    usage = {"prompt_tokens": 5, "completion_tokens": tokens, "completion_tokens_details": {}}
    return json.dumps({"choices": [{"message": message}], "usage": usage}).encode()


@behave.given("an answer of {size:d} bytes that reports {tokens:d} tokens")
def step_make(context, size, tokens):
    context.answer = an_answer("x" * max(1, size - len(an_answer("", tokens))), tokens)


@behave.given(
    "an answer whose text quotes a report of {quoted:d} tokens, and that reports {tokens:d}"
)
def step_make_quote(context, quoted, tokens):
    context.answer = an_answer(json.dumps({"usage": {"completion_tokens": quoted}}), tokens)
    head, _, tail = context.answer.partition(b', "usage"')
    # The report comes before the text, so that the last one found would be the quoted one.
    context.answer = b'{"usage"' + tail[:-1] + b", " + head[1:] + b"}"
    json.loads(context.answer)


def count(pieces):
    """Return what has counted an answer in pieces."""
    meter = upstreams.AnswerMeter(stream=False, prompt_tokens=5)
    for piece in pieces:
        meter.add(piece)
    return meter


@behave.when("it is counted in pieces of {size:d} bytes")
def step_count(context, size):
    starts = range(0, len(context.answer), size)
    context.meter = count(context.answer[start : start + size] for start in starts)


@behave.when("it is counted in two pieces, cut at each byte in turn")
def step_count_cut(context):
    answer = context.answer
    context.meters = [count((answer[:at], answer[at:])) for at in range(len(answer) + 1)]


@behave.then("{tokens:d} tokens are counted, and at most {size:d} bytes are kept of it")
def step_check(context, tokens, size):
    meter = context.meter
    assert meter.usage().output == tokens, meter.usage()
    values = [getattr(meter, name) for name in meter.__slots__]
    kept = sum(len(value) for value in values if type(value) in (bytes, bytearray))
    assert kept <= size, kept


@behave.then("{tokens:d} tokens are counted each time")
def step_check_each(context, tokens):
    counted = {meter.usage().output for meter in context.meters}
    assert counted == {tokens}, counted
