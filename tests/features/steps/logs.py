"""Steps about the lines of the log."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import tempfile

import behave
import eliot
from click import testing

from tests import builders
from yuccahitch import cli, clock, errors, events
from yuccahitch.messages import commands, store
from yuccahitch.platform import names
from yuccahitch.tasks import core, log_pipe, mailbox, metrics

FAILURES = 10
EJECTED_S = 3.0
SILENT_S = 6.0


@behave.given("a log of {size:d} bytes into a pipe that nobody reads")
def step_pipe(context, size):
    context.ends = os.pipe()
    context.pipe = log_pipe.LogPipe(context.ends[1], max_buffered_bytes=size)


@behave.when(
    "{ordinary:d} lines about ordinary requests and {refused:d} about refusals are written"
)
def step_lines(context, ordinary, refused):
    async def work():
        context.pipe.start(asyncio.get_running_loop())
        for number in range(ordinary):
            context.pipe({"message_type": events.Event.REQUEST_ENDED.label, "n": number})
            if number % (ordinary // refused) == 0:
                context.pipe({"message_type": events.Event.REQUEST_REFUSED.label, "n": number})
            if number % 100 == 0:
                await asyncio.sleep(0.01)

    context.loop.run_until_complete(work())


@behave.when("the reader comes back")
def step_reader(context):
    async def work():
        os.set_blocking(context.ends[0], False)
        raw = bytearray()
        for _ in range(20):
            await asyncio.sleep(0.05)
            try:
                raw += os.read(context.ends[0], 1 << 20)
            except BlockingIOError:
                continue
        return bytes(raw)

    context.lines = [
        json.loads(line) for line in context.loop.run_until_complete(work()).splitlines()
    ]
    context.loop.remove_writer(context.ends[1])
    for end in context.ends:
        os.close(end)
    context.caused = {line["message_type"] for line in context.lines}


@behave.then("all {count:d} refusals are there")
def step_refusals(context, count):
    label = events.Event.REQUEST_REFUSED.label
    assert sum(line["message_type"] == label for line in context.lines) == count


@behave.then("one line tells how many ordinary lines were dropped, and none is torn")
def step_dropped(context):
    ended = events.Event.REQUEST_ENDED.label
    told = [line for line in context.lines if line["message_type"] == "log-dropped"]
    kept = sum(line["message_type"] == ended for line in context.lines)
    assert sum(line["lines"][ended] for line in told) == 3000 - kept, (told, kept)


@behave.given("a core task of an instance")
def step_core(context):
    context.written = []
    eliot.add_destinations(context.written.append)
    boxes = {name: mailbox.Mailbox() for name in ("store", "peers", "upstreams")}
    time = clock.SystemClock()
    context.core = core.Core(
        builders.EdgeUnderTest().decisions,
        time=time,
        log=events.Log("i", events.HybridClock(time.wall)),
        metrics_collector=metrics.Metrics(),
        **boxes,
    )


@behave.when("it gets a message that it does not know, and then a question")
def step_unknown(context):
    async def work():
        task = asyncio.get_running_loop().create_task(context.core.run())
        context.core.inbox.post(object())
        question = core.Query(lambda state: state.instance)
        try:
            return await asyncio.wait_for(context.core.inbox.ask(question), 2.0)
        finally:
            task.cancel()
            eliot.remove_destination(context.written.append)

    context.answer = context.loop.run_until_complete(work())


@behave.then("the question is answered")
def step_answered(context):
    assert context.answer == context.core.decisions.instance


@behave.then("the log has a fault with the place in the code")
def step_fault(context):
    (line,) = [item for item in context.written if item.get("message_type") == "fault"]
    assert "handle:" in line["where"] and line["task"] == "core", line
    context.caused = {line["message_type"]}


@behave.given("an instance that knows upstream u1")
def step_knows(context):
    context.edge = builders.EdgeUnderTest()
    context.edge.publish(builders.a_publication())
    context.edge.register("u1")
    context.edge.decisions.take_commands(context.edge.now)


def notes(context, edge):
    """Return what an edge asked to log since the last call, and keep it for the catalogue."""
    batch = edge.decisions.take_commands(edge.now)
    found = [item for item in batch if type(item) is commands.LogEvent]
    context.caused = getattr(context, "caused", set()) | {item.event.label for item in found}
    return found


def passes(edge, seconds):
    """Let time pass for an instance, with its ticks."""
    ends = edge.now + seconds
    while edge.now < ends:
        edge.now += 0.1
        edge.decisions.tick(edge.now)


def fail(edge, count):
    for _ in range(count):
        edge.decisions.registry.record_outcome("u1", good=False, now=edge.now)


CHANGES = {
    "its entry says that it is draining": lambda edge: edge.register("u1", state="draining"),
    "its entry vanishes": lambda edge: edge.decisions.registry.apply_change("u1", None, edge.now),
    "its entry says that it is cold again": lambda edge: edge.register("u1", warmupLeftMs=2000),
    "it fails ten requests": lambda edge: fail(edge, FAILURES),
}
WAITS = {" and stays away": EJECTED_S, " and 3 seconds pass": EJECTED_S}


@behave.when("what is known of it changes: {words}")
def step_upstream_change(context, words):
    wait = next((text for text in WAITS if words.endswith(text)), "")
    CHANGES[words.removesuffix(wait)](context.edge)
    passes(context.edge, WAITS.get(wait, 0.0))


@behave.then("the log tells {event} of u1")
def step_tells(context, event):
    found = notes(context, context.edge)
    assert any(n.event.label == event and n.fields["upstream"] == "u1" for n in found), found


@behave.given("two instances that know each other")
def step_two(context):
    context.edges = [builders.EdgeUnderTest(f"edge-{n}") for n in range(2)]
    first, second = context.edges
    first.meet(second)
    first.decisions.take_commands(first.now)


@behave.when("the second falls silent")
def step_silent_member(context):
    passes(context.edges[0], SILENT_S)


@behave.when("the second leaves")
def step_leaving_member(context):
    first, second = context.edges
    second.decisions.members.own.leaving = True
    first.hear(second)
    passes(first, SILENT_S)


@behave.when("the second falls silent and speaks again")
def step_back_member(context):
    first, second = context.edges
    passes(first, SILENT_S)
    first.hear(second)
    passes(first, 0.1)


@behave.then("the log of the first tells {event} of the second")
def step_member_told(context, event):
    first, second = context.edges
    told = [n for n in notes(context, first) if n.event.label == event]
    assert [n.fields["member"] for n in told] == [second.decisions.instance], told


def sent(context, path="/status/x", **headers):
    context.outcome = context.edge.ask(path, **headers)
    return context.outcome.request_id


@behave.when("a request is sent")
def step_sent(context):
    sent(context)


@behave.when("a request fails and is sent again")
def step_again(context):
    request_id = sent(context)
    context.edge.register("u2")
    failure = builders.a_failure(request_id, errors.Code.UPSTREAM_FAILED, peer="u1")
    context.edge.reply(request_id, failure)


def over(context, request_id):
    error = context.outcome.action.error
    context.edge.finish(request_id, succeeded=False, error=error)


@behave.when("a request finds no upstream")
def step_none(context):
    context.edge.register("u1", state="draining")
    over(context, sent(context))


@behave.when("a request is over its account's rate")
def step_over(context):
    poor = builders.a_published_tenant(ratePerS=1, burst=1)
    context.edge.publish(builders.a_publication(2, tenants=[poor]))
    over(context, sent(context, X_Token_Usage="9000,9000"))


@behave.when("a request runs out of time")
def step_time(context):
    request_id = sent(context)
    context.outcome = context.edge.decisions.expire(request_id, context.edge.now)
    over(context, request_id)


@behave.then("the line {event} tells {inputs}")
def step_line(context, event, inputs):
    (note,) = [n for n in notes(context, context.edge) if n.event.label == event]
    missing = [name for name in inputs.split(", ") if name not in note.fields]
    assert not missing, (missing, note.fields)


@behave.given("a fleet of one instance with one account")
def step_small_fleet(context):
    context.fleet = builders.a_fleet(regions=("muscat-a",), per_region=1)


@behave.when("it serves a request and refuses one without an upstream")
def step_fleet_requests(context):
    (instance,) = context.fleet.alive()
    for target in ("ice-model", "ice-model"):
        deadline = instance.local(context.fleet.now) + 10.0
        context.fleet.request(instance, builders.a_request(target=target, deadline=deadline))
        context.fleet.run(1.0)
        leaving = [builders.an_upstream(f"ice-muscat-a-{n}", leaving=True) for n in range(2)]
        entries = [builders.an_entry(spec, version=9) for spec in leaving]
        instance.decisions.config.merge_entries(entries)


@behave.then("on the own interface {event} tells {inputs}")
def step_fleet_line(context, event, inputs):
    found = [note for *_, note in context.fleet.notes if note.event.label == event]
    assert len(found) == 1, found
    missing = [name for name in inputs.split(", ") if name not in found[0].fields]
    assert not missing, (missing, found[0].fields)


@behave.when("the watch on its upstreams has lost the history")
def step_history(context):
    edge = context.edge
    lost = store.WatchLost("the history is gone", prefix=names.UPSTREAM_PREFIX)
    edge.decisions.on_watch(lost, edge.now)
    edge.decisions.tick(edge.now)
    context.batch = edge.decisions.take_commands(edge.now)


@behave.then("the log has watch-broken with the prefix, and the prefix is read again")
def step_read_again(context):
    (note,) = [i for i in context.batch if getattr(i, "event", None) is events.Event.WATCH_BROKEN]
    assert note.fields["prefix"] == names.UPSTREAM_PREFIX
    calls = [i.call for i in context.batch if type(i) is commands.StoreCall]
    assert any(getattr(call, "key", "") == names.UPSTREAM_PREFIX for call in calls), calls
    context.caused = {note.event.label}


@behave.given(
    "logs of a request that one instance hands to another, whose clock is {ahead:g} s ahead"
)
def step_two_logs(context, ahead):
    first, second = "edge-1~a", "edge-2~b"
    ahead_us = int(ahead * 1e6)
    context.logs = {
        "1.log": [
            builders.a_line(first, 100, "request-began", 200, request="r1", forwarded_by=""),
            builders.a_line(first, 200, "request-forwarded", 202, request="r1", peer=second),
            builders.a_line(first, 50_000, "request-ended", 203, request="r1", seconds=0.05),
        ],
        "2.log": [
            builders.a_line(second, 200 + ahead_us, "upstream-cold", 308, upstream="u1"),
            builders.a_line(
                second, 900 + ahead_us, "request-began", 200, request="r1", forwarded_by=first
            ),
            builders.a_line(
                second, 950 + ahead_us, "request-dispatched", 201, request="r1", upstream="u1"
            ),
        ],
    }


@behave.when("the request is explained")
def step_explained(context):
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder) / name for name in context.logs]
        for path in paths:
            path.write_text("\n".join(context.logs[path.name]) + "\n")
        result = testing.CliRunner().invoke(cli.main, ["explain", "r1", *map(str, paths)])
    assert result.exit_code == 0, result.output
    context.drawn = result.output.splitlines()


@behave.then("the line of the second's beginning comes right after the first sent it")
def step_order(context):
    marked = [line.split()[4] for line in context.drawn if line.startswith(">")]
    assert marked == [
        "request-began",
        "request-forwarded",
        "request-began",
        "request-dispatched",
        "request-ended",
    ], context.drawn


@behave.then("a shift of {shift} s is told, and the belief of the second moves along")
def step_shift(context, shift):
    told = [line for line in context.drawn if line.startswith("clock of edge-2~b")]
    if shift == "no":
        assert not told, told
    else:
        added = float(told[0].split(": ")[1].split()[0])
        assert abs(added - float(shift)) < 0.01, told
    (belief,) = [line for line in context.drawn if "upstream-cold" in line]
    assert abs(float(belief.split()[0])) < 0.01, belief
