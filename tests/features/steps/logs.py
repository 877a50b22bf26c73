"""Steps about log lines: dropped lines, fields of events, and the explained time line."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import tempfile

import behave
import eliot
from click import testing

from tests import builders, platform_builders
from yuccahitch import cli, clock, errors, events
from yuccahitch.messages import commands, store
from yuccahitch.tasks import core, core_messages, log_pipe, mailbox, metrics

FAILURE_COUNT = 10
STATE_WAIT_S = 3.0
MEMBER_LOST_WAIT_S = 6.0


@behave.given("a log buffer of {size:d} bytes before a pipe that nobody reads")
def step_open_log_pipe(context, size):
    context.pipe_ends = os.pipe()
    context.pipe = log_pipe.LogPipe(context.pipe_ends[1], max_buffered_bytes=size)


@behave.when(
    "{ordinary:d} lines about ordinary requests and {refused:d} about refusals are written"
)
def step_write_lines(context, ordinary, refused):
    async def work():
        context.pipe.start(asyncio.get_running_loop())
        for number in range(ordinary):
            context.pipe({"message_type": events.Event.REQUEST_ENDED.label, "n": number})
            if number % (ordinary // refused) == 0:
                context.pipe({"message_type": events.Event.REQUEST_REFUSED.label, "n": number})
            if number % 100 == 0:
                await asyncio.sleep(0.01)

    context.loop.run_until_complete(work())


@behave.when("the pipe is read again")
def step_read_pipe(context):
    async def work():
        os.set_blocking(context.pipe_ends[0], False)
        raw = bytearray()
        for _ in range(20):
            await asyncio.sleep(0.05)
            try:
                raw += os.read(context.pipe_ends[0], 1 << 20)
            except BlockingIOError:
                continue
        return bytes(raw)

    context.lines = [
        json.loads(line) for line in context.loop.run_until_complete(work()).splitlines()
    ]
    context.loop.remove_writer(context.pipe_ends[1])
    for end in context.pipe_ends:
        os.close(end)
    context.caused_events = {line["message_type"] for line in context.lines}


@behave.then("all {count:d} refusals are in the log")
def step_check_refusals(context, count):
    label = events.Event.REQUEST_REFUSED.label
    assert sum(line["message_type"] == label for line in context.lines) == count


@behave.then("one line reports how many ordinary lines were dropped, and every line is complete")
def step_check_dropped_lines(context):
    ended = events.Event.REQUEST_ENDED.label
    dropped_notes = [line for line in context.lines if line["message_type"] == "log-dropped"]
    ended_count = sum(line["message_type"] == ended for line in context.lines)
    assert sum(line["lines"][ended] for line in dropped_notes) == 3000 - ended_count, (
        dropped_notes,
        ended_count,
    )


@behave.given("a core task of an instance")
def step_start_core(context):
    context.log_records = []
    eliot.add_destinations(context.log_records.append)
    mailboxes = {name: mailbox.Mailbox() for name in ("store", "peers", "upstreams")}
    time = clock.SystemClock()
    context.core = core.Core(
        platform_builders.EdgeUnderTest().decisions,
        time=time,
        log=events.Log("i", events.HybridClock(time.wall)),
        metrics_collector=metrics.Metrics(),
        **mailboxes,
    )


@behave.when("it gets a message of an unknown type, and then a query")
def step_post_unknown_message(context):
    async def work():
        task = asyncio.get_running_loop().create_task(context.core.run())
        context.core.inbox.post(object())
        query = core_messages.Query(lambda state: state.instance)
        try:
            return await asyncio.wait_for(context.core.inbox.ask(query), 2.0)
        finally:
            task.cancel()
            eliot.remove_destination(context.log_records.append)

    context.answer = context.loop.run_until_complete(work())


@behave.then("the query is answered")
def step_check_answer(context):
    assert context.answer == context.core.decisions.instance


@behave.then("the log has a fault event with the place in the code")
def step_check_fault_line(context):
    (line,) = [item for item in context.log_records if item.get("message_type") == "fault"]
    assert "handle:" in line["where"] and line["task"] == "core", line
    context.caused_events = {line["message_type"]}


@behave.given("an instance that knows upstream u1")
def step_start_with_upstream(context):
    context.edge = platform_builders.EdgeUnderTest()
    context.edge.publish(platform_builders.a_publication())
    context.edge.register_upstream("u1")
    context.edge.decisions.take_commands(context.edge.now)


def take_log_events(context, edge):
    """Return what an instance asked to log since the last call.

    The names of the events are kept in ``context.caused_events`` for the check that scenarios cause
    every event.
    """
    pending = edge.decisions.take_commands(edge.now)
    log_events = [item for item in pending if type(item) is commands.LogEvent]
    context.caused_events = getattr(context, "caused_events", set()) | {
        item.event.label for item in log_events
    }
    return log_events


def pass_time(edge, seconds):
    """Advance an instance's virtual time, with a tick each 0.1 seconds."""
    ends_at = edge.now + seconds
    while edge.now < ends_at:
        edge.now += 0.1
        edge.decisions.tick(edge.now)


def fail(edge, count):
    """Record failures of upstream u1."""
    for _ in range(count):
        edge.decisions.registry.record_outcome("u1", good=False, now=edge.now)


CHANGES = {
    "its entry says that it is draining": lambda edge: edge.register_upstream(
        "u1", state="draining"
    ),
    "its entry is deleted": lambda edge: edge.decisions.registry.apply_change("u1", None, edge.now),
    "its entry says that it is cold again": lambda edge: edge.register_upstream(
        "u1", warmupLeftMs=2000
    ),
    "it fails ten requests": lambda edge: fail(edge, FAILURE_COUNT),
}
WAITS = {" for 3 seconds": STATE_WAIT_S, " and 3 seconds pass": STATE_WAIT_S}


@behave.when("the state of the upstream changes: {words}")
def step_change_upstream(context, words):
    wait = next((text for text in WAITS if words.endswith(text)), "")
    CHANGES[words.removesuffix(wait)](context.edge)
    pass_time(context.edge, WAITS.get(wait, 0.0))


@behave.then("the log has {event} for u1")
def step_check_upstream_event(context, event):
    log_events = take_log_events(context, context.edge)
    assert any(
        n.event.label == event and n.fields["upstream"] == "u1" for n in log_events
    ), log_events


@behave.given("two instances, the first of which knows the second")
def step_start_two_instances(context):
    context.edges = [platform_builders.EdgeUnderTest(f"edge-{n}") for n in range(2)]
    first, second = context.edges
    first.discover(second)
    first.decisions.take_commands(first.now)


@behave.when("the second stops sending pulses")
def step_silence_second(context):
    pass_time(context.edges[0], MEMBER_LOST_WAIT_S)


@behave.when("the second leaves")
def step_second_leaves(context):
    first, second = context.edges
    second.decisions.members.own.leaving = True
    first.receive_pulse_from(second)
    pass_time(first, MEMBER_LOST_WAIT_S)


@behave.when("the second stops and resumes its pulses")
def step_second_returns(context):
    first, second = context.edges
    pass_time(first, MEMBER_LOST_WAIT_S)
    first.receive_pulse_from(second)
    pass_time(first, 0.1)


@behave.then("the log of the first has {event} for the second")
def step_check_member_event(context, event):
    first, second = context.edges
    member_events = [n for n in take_log_events(context, first) if n.event.label == event]
    assert [n.fields["member"] for n in member_events] == [second.decisions.instance], member_events


def start_request(context, path="/status/x", **headers):
    """Begin a request, keep its next action in ``context.outcome``, and return its id."""
    context.outcome = context.edge.begin_request(path, **headers)
    return context.outcome.request_id


@behave.when("a request is sent")
def step_send_request(context):
    start_request(context)


@behave.when("a request fails and is sent again")
def step_fail_and_retry(context):
    request_id = start_request(context)
    context.edge.register_upstream("u2")
    failure = builders.a_failure(request_id, errors.Code.UPSTREAM_FAILED, peer="u1")
    context.edge.resume_request(request_id, failure)


def finish_refused(context, request_id):
    """Finish a refused request with the error of its refusal."""
    error = context.outcome.action.error
    context.edge.finish_request(request_id, succeeded=False, error=error)


@behave.when("a request finds no upstream")
def step_refuse_without_upstream(context):
    context.edge.register_upstream("u1", state="draining")
    finish_refused(context, start_request(context))


@behave.when("a request is over its account's rate")
def step_exceed_rate(context):
    low_rate = platform_builders.a_published_tenant(ratePerS=1, burst=1)
    context.edge.publish(platform_builders.a_publication(2, tenants=[low_rate]))
    finish_refused(context, start_request(context, X_Token_Usage="9000,9000"))


@behave.when("a request runs out of time")
def step_expire_request(context):
    request_id = start_request(context)
    context.outcome = context.edge.decisions.expire(request_id, context.edge.now)
    finish_refused(context, request_id)


@behave.then("the line {event} has the fields {inputs}")
def step_check_log_fields(context, event, inputs):
    (log_event,) = [n for n in take_log_events(context, context.edge) if n.event.label == event]
    missing = [name for name in inputs.split(", ") if name not in log_event.fields]
    assert not missing, (missing, log_event.fields)


@behave.given("a fleet of one instance with one account")
def step_start_small_fleet(context):
    context.fleet = builders.a_fleet(regions=("muscat-a",), per_region=1)


@behave.when("it serves a request and refuses one without an upstream")
def step_send_fleet_requests(context):
    (instance,) = context.fleet.alive()
    for target in ("ice-model", "ice-model"):
        deadline = instance.local_time(context.fleet.now) + 10.0
        context.fleet.request(instance, builders.a_request(target=target, deadline=deadline))
        context.fleet.run(1.0)
        leaving = [builders.an_upstream(f"ice-muscat-a-{n}", leaving=True) for n in range(2)]
        entries = [builders.an_entry(spec, version=9) for spec in leaving]
        instance.decisions.config.merge_entries(entries)


@behave.then("on the own interface {event} has the fields {inputs}")
def step_check_fleet_log_fields(context, event, inputs):
    log_events = [
        log_event for *_, log_event in context.fleet.log_events if log_event.event.label == event
    ]
    assert len(log_events) == 1, log_events
    missing = [name for name in inputs.split(", ") if name not in log_events[0].fields]
    assert not missing, (missing, log_events[0].fields)


@behave.when("the store has lost the history of the watch")
def step_lose_watch_history(context):
    edge = context.edge
    watch_lost = store.WatchLost("the history is gone")
    edge.decisions.on_watch(watch_lost, edge.now)
    edge.decisions.tick(edge.now)
    context.pending_commands = edge.decisions.take_commands(edge.now)


@behave.then("the log has watch-broken with the cause, and the whole store is read again")
def step_check_prefix_read_again(context):
    (log_event,) = [
        i
        for i in context.pending_commands
        if getattr(i, "event", None) is events.Event.WATCH_BROKEN
    ]
    assert log_event.fields["detail"] == "the history is gone"
    calls = [i.call for i in context.pending_commands if type(i) is commands.StoreCall]
    assert any(type(call) is store.Range and not call.key for call in calls), calls
    context.caused_events = {log_event.event.label}


@behave.given(
    "logs of a request that one instance forwards to another, whose clock is {ahead:g} s ahead"
)
def step_write_two_logs(context, ahead):
    first, second = "edge-1~a", "edge-2~b"
    ahead_us = int(ahead * 1e6)
    context.logs = {
        "1.log": [
            builders.a_log_line(first, 100, "request-began", 200, request="r1", forwarded_by=""),
            builders.a_log_line(first, 200, "request-forwarded", 202, request="r1", peer=second),
            builders.a_log_line(first, 50_000, "request-ended", 203, request="r1", seconds=0.05),
        ],
        "2.log": [
            builders.a_log_line(second, 200 + ahead_us, "upstream-cold", 308, upstream="u1"),
            builders.a_log_line(
                second, 900 + ahead_us, "request-began", 200, request="r1", forwarded_by=first
            ),
            builders.a_log_line(
                second, 950 + ahead_us, "request-dispatched", 201, request="r1", upstream="u1"
            ),
        ],
    }


@behave.when("the request is explained")
def step_explain_request(context):
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder) / name for name in context.logs]
        for path in paths:
            path.write_text("\n".join(context.logs[path.name]) + "\n")
        result = testing.CliRunner().invoke(cli.main, ["explain", "r1", *map(str, paths)])
    assert result.exit_code == 0, result.output
    context.explanation = result.output.splitlines()


@behave.then("the second's request-began comes right after the first's request-forwarded")
def step_check_order(context):
    request_lines = [line.split()[4] for line in context.explanation if line.startswith(">")]
    assert request_lines == [
        "request-began",
        "request-forwarded",
        "request-began",
        "request-dispatched",
        "request-ended",
    ], context.explanation


@behave.then("a clock shift of {shift} s is reported, and the second's other line is shifted by it")
def step_check_clock_shift(context, shift):
    clock_lines = [line for line in context.explanation if line.startswith("clock of edge-2~b")]
    if shift == "no":
        assert not clock_lines, clock_lines
    else:
        shift_s = float(clock_lines[0].split(": ")[1].split()[0])
        assert abs(shift_s - float(shift)) < 0.01, clock_lines
    (state_line,) = [line for line in context.explanation if "upstream-cold" in line]
    assert abs(float(state_line.split()[0])) < 0.01, state_line
