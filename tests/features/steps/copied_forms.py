"""Steps about copies of answers in all forms."""

from __future__ import annotations

import asyncio

import behave

from tests import answer_forms, copied_answers
from yuccahitch.messages import answers

# Time in which half a copy has come while its connection is idle, in seconds.
IDLE_S = 2 * answer_forms.PIECE_S
FIRST_ID, SECOND_ID = "first", "second"


@behave.given("upstreams that write their first answers {copies:d} times more, {moment}")
def step_set_copies(context, copies, moment):
    context.copies, context.moment = copies, moment


@behave.when("two requests are sent to each, in all forms")
def step_send_forms(context):
    async def work():
        forms = answer_forms.all_forms()
        context.outcomes = [
            (form, await outcome_of(form, context.copies, context.moment)) for form in forms
        ]

    context.loop.run_until_complete(work())


async def outcome_of(form, copies, moment):
    """Send both requests of a form; return the parts of the second answer."""
    received = []
    listener = await asyncio.get_running_loop().create_server(
        lambda: answer_forms.CopyingServer(form, copies, moment, received), copied_answers.HOST, 0
    )
    subject = copied_answers.ClientUnderTest(None)
    subject.address = "{}:{}".format(*listener.sockets[0].getsockname())
    subject.tasks.start(subject.client.run())
    try:
        await subject.send(FIRST_ID, **options_of(form.method))
        if moment.startswith("half"):
            await asyncio.sleep(IDLE_S)
        return await subject.send(SECOND_ID, **options_of(form.next_method))
    finally:
        await subject.tasks.stop()
        listener.close()


def options_of(method):
    return {"method": method, "body": b"x" if method == "POST" else b""}


@behave.then(
    "the second ones get their own answers, or are sent on other connections and get them there"
)
def step_check_own(context):
    assert context.outcomes
    wrong = [
        (form, parts) for form, parts in context.outcomes if not is_own(parts, form.next_method)
    ]
    assert not wrong, f"{len(wrong)} of {len(context.outcomes)}: {wrong[:3]}"


def is_own(parts, method):
    """Return whether the parts are the whole answer to the second request."""
    expected = "" if method == "HEAD" else f"done {SECOND_ID}"
    body = b"".join(part.data for part in parts if type(part) is answers.Chunk).decode()
    return type(parts[-1]) is answers.End and parts[0].status == 200 and body == expected
