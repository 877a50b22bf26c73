"""Steps about answers that end early, and statuses that no answer may have."""

from __future__ import annotations

import asyncio

import behave

from standins import early_answers
from tests import attempt_clients, early_answer_forms, forwarding_pair
from yuccahitch import errors
from yuccahitch.platform import requests as platform_requests

SIGNED_HEAD = "HTTP/1.1 {status}\r\nX-Request-Id: {{id}}\r\nX-Response-Signature: s\r\n"
PART_HEAD = SIGNED_HEAD.format(status="200 OK")
# What an upstream writes to an order, by the text of a feature.
ANSWERS = {
    "a part, no length": PART_HEAD + "\r\nhalf",
    "a part, chunks": PART_HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    "a part, a length": PART_HEAD + "Content-Length: 8\r\n\r\nhalf",
    "half a head": PART_HEAD,
    "status 000": SIGNED_HEAD.format(status="000 X") + "Content-Length: 4\r\n\r\ntext",
    "status 999": SIGNED_HEAD.format(status="999 X") + "Content-Length: 4\r\n\r\ntext",
    "status 999, refusing": SIGNED_HEAD.format(status="999 X")
    + "X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\ntext",
}
OWN_ANSWER = "done"
ORDER_PATH = "/book/x"
ORDER_DEADLINE_S = 8.0
# Time in which an upstream has read the rest of an upload, in seconds.
REST_S = 0.5
EARLY = "early"


def run(context, work):
    return context.loop.run_until_complete(work)


@behave.given("the client for {upstreams}")
def step_set_client(context, upstreams):
    context.front = upstreams


@behave.when("uploads that are {upload} are answered early, with {framing}")
def step_play_forms(context, upload, framing):
    forms = early_answer_forms.early_forms(context.front, framing, upload)
    works = [early_answer_forms.outcome_of_form(form) for form in forms]
    outcomes = run(context, early_answer_forms.gather_some(works))
    context.outcomes = list(zip(forms, outcomes, strict=True))


@behave.then(
    "no part counts as complete, whole answers get through,"
    " and no failure tells that the request has not run"
)
def step_check_forms(context):
    wrong = [(form, outcome) for form, outcome in context.outcomes if not form.is_kept_by(outcome)]
    assert not wrong, f"{len(wrong)} of {len(context.outcomes)}: {wrong[:3]}"


@behave.when("requests are answered with statuses {group}, with {headers}")
def step_play_statuses(context, group, headers):
    lines = early_answer_forms.REFUSAL_HEADERS if headers == "those of a refusal" else b""
    size = early_answer_forms.UPLOAD_BYTES["short"]
    works = [
        early_answer_forms.outcome_of(context.front, script, size)
        for script in early_answer_forms.status_scripts(group, lines)
    ]
    context.outcomes = run(context, early_answer_forms.gather_some(works))


@behave.then("each fails as one that may have run")
def step_check_failed(context):
    wrong = [outcome for outcome in context.outcomes if not outcome.may_have_run()]
    assert not wrong, f"{len(wrong)} of {len(context.outcomes)}: {wrong[:3]}"


@behave.when(
    "an upload that is {upload} gets a whole answer before it is read, and another request follows"
)
def step_keep_connection(context, upload):
    answer = f"{PART_HEAD}Content-Length: {len(OWN_ANSWER)}\r\n\r\n{OWN_ANSWER}"
    size = early_answer_forms.UPLOAD_BYTES[upload]
    run(context, send_two(context, answer, size=size, method="POST"))


@behave.when("{request} gets {status} with {framing} and a body, and another request follows")
def step_answer_with_body(context, request, status, framing):
    length = "Content-Length: 4\r\n" if framing == "a length" else ""
    answer = f"{SIGNED_HEAD.format(status=status)}{length}\r\nhalf"
    method = request if request == "HEAD" else "POST"
    run(context, send_two(context, answer, size=0, method=method))


async def send_two(context, answer, *, size, method):
    """Send a request, and another one that is answered whatever the first answer was."""
    script = early_answers.Script(
        0, answer.encode(), pause_s=0.0, end=early_answers.End.NEXT_REQUEST
    )
    context.server = early_answers.EarlyAnswerServer(script)
    await context.server.start()
    context.closers = [context.server.close]
    async with attempt_clients.running(early_answer_forms.a_client(context.front)) as client:
        context.outcomes = []
        for request_id in ("first", "second"):
            action = early_answer_forms.an_upload(
                context.front, context.server.address, size, method=method, request_id=request_id
            )
            outcome = await early_answer_forms.exchange(client, action, early_answer_forms.LIMIT_S)
            context.outcomes.append(outcome)
            await asyncio.sleep(REST_S)
            size, method = 0, "GET"
            own = f"{PART_HEAD}Content-Length: {len(OWN_ANSWER)}\r\n\r\n{OWN_ANSWER}"
            script.answer = own.encode()


@behave.then("the other request gets its own answer, on connection {number:d}")
def step_check_connection(context, number):
    for outcome in context.outcomes:
        assert outcome.is_complete() and outcome.body == OWN_ANSWER.encode(), context.outcomes
    assert context.server.connections_of_requests == [1, number], context.server


@behave.then(
    "the first is answered without a body or may have run,"
    " and the other request gets its own answer, on connection {number:d}"
)
def step_check_bodiless(context, number):
    first, second = context.outcomes
    assert first.may_have_run() or (first.is_complete() and not first.body), first
    assert second.is_complete() and second.body == OWN_ANSWER.encode(), second
    assert context.server.connections_of_requests == [1, number], context.server


@behave.given("an upstream in {region} that answers with {answer}, and then ends with {end}")
def step_start_pair(context, region, answer, end):
    script = early_answers.Script(
        0, ANSWERS[answer].encode(), pause_s=0.02, end=early_answers.End(end)
    )
    context.server = early_answers.EarlyAnswerServer(script)
    context.pair = forwarding_pair.ForwardingPair()
    context.closers = [context.pair.close, context.server.close]

    async def work():
        await context.server.start()
        await context.pair.start()
        pair = context.pair
        pair.addresses[EARLY] = context.server.address
        nodes = (pair.entry,) if region == "east" else (pair.entry, pair.remote)
        for node in nodes:
            pair.register(node, EARLY, f"{region}-a", service="desk")

    run(context, work())


@behave.when("an order with an upload that is {upload} is sent to the instance in east")
def step_send_order(context, upload):
    body = b"x" * early_answer_forms.UPLOAD_BYTES[upload]

    async def work():
        _, context.sink, _ = context.pair.send(
            ORDER_PATH, method="POST", body=body, deadline_s=ORDER_DEADLINE_S
        )
        await forwarding_pair.wait_for(lambda: context.sink.ends)

    run(context, work())


@behave.then("the order is answered {status:d}, may-have-run, and the upstream got it once")
def step_check_order(context, status):
    (error,) = context.sink.ends
    assert context.sink.head is None and type(error) is errors.GatewayError, error
    assert error.run is errors.RunStatus.MAY_HAVE_RUN, error
    told, _, _ = platform_requests.encode_refusal(error, request_id="order")
    assert told == status, error
    assert len(context.server.connections_of_requests) == 1, context.server
