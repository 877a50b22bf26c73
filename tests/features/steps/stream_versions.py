"""Steps about streams and the software versions that begin them, in virtual time."""

from __future__ import annotations

import re

import behave

from tests import edge_simulation, stream_builders
from yuccahitch import errors
from yuccahitch.messages import actions, commands


def logged_events(edge):
    """Return the events that an instance has logged since the last call."""
    pending = edge.decisions.take_commands(edge.now)
    return [item for item in pending if type(item) is commands.LogEvent]


def register_all(edge, text, **fields):
    """Register the upstreams that a list like ``u1 of version v1, u2 of version v2`` names."""
    for name, version in re.findall(r"(\w+) of version (\w+)", text):
        stream_builders.register(edge, name, version, **fields)


def upstream_versions(edge):
    """Return the software version of each upstream by name."""
    replicas = edge.decisions.registry.by_name
    return {name: replica.upstream.software_version for name, replica in replicas.items()}


def begin_and_break(edge):
    """Begin a resumable stream and break it off; return its upstream and the next action.

    The upstream is None for a stream that began in another region.
    """
    outcome = edge.begin_request(stream_builders.STREAM_PATH)
    work = outcome.action.work
    request_id = outcome.request_id
    if type(work) is actions.Forward:
        return None, outcome
    edge.resume_request(request_id, stream_builders.a_head(request_id, work.software_version))
    next_outcome = edge.resume_request(request_id, stream_builders.a_break(request_id))
    return work.upstream, next_outcome


@behave.given("an instance with upstream {upstreams}")
@behave.given("an instance with upstreams {upstreams}")
def step_start_with_upstreams(context, upstreams):
    context.edge = stream_builders.an_edge()
    register_all(context.edge, upstreams)


@behave.given("an instance of east with upstreams {near}, and one of west with {far}")
def step_start_regions(context, near, far):
    context.edges = [
        stream_builders.an_edge(f"edge-{region}", region=region) for region in ("east", "west")
    ]
    edge_simulation.discover_all(context.edges)
    for edge in context.edges:
        register_all(edge, near)
        register_all(edge, far, zone="west-a")


@behave.when("{count:d} resumable streams begin and break off after an event")
def step_break_streams(context, count):
    context.breaks = [begin_and_break(context.edge) for _ in range(count)]


@behave.then("each goes on at an upstream of the version that began it")
def step_check_resumed(context):
    versions = upstream_versions(context.edge)
    resumed = [
        (first, edge_simulation.dispatched_upstream(outcome)) for first, outcome in context.breaks
    ]
    assert all(second and versions[first] == versions[second] for first, second in resumed), resumed
    assert {versions[first] for first, _ in resumed} == {"v1", "v2"}, resumed


@behave.then("each ends with answer-cut or the error of its attempt, not at another version")
def step_check_cut(context):
    assert all(type(outcome.action) is actions.Refuse for _, outcome in context.breaks)


@behave.when("a resumable stream of u1 breaks off and is forwarded to west, {count:d} times")
def step_forward(context, count):
    east, west = context.edges
    context.reached = []
    for _ in range(count):
        first, outcome = begin_and_break(east)
        if first == "u1":
            arrived = stream_builders.forwarded(outcome.action.work, west)
            context.reached.append(edge_simulation.dispatched_upstream(arrived))
            west.finish_request(arrived.request_id, succeeded=False)
        east.finish_request(outcome.request_id, succeeded=False)
        edge_simulation.advance_clocks(context.edges, 3.0)
        east.decisions.feed.confirm(east.now)
        edge_simulation.exchange_pulses(context.edges)


@behave.then("the instance of west sends it to {name} each time")
def step_check_reached(context, name):
    assert context.reached and set(context.reached) == {name}, context.reached


@behave.when("a resumable stream breaks off and the resumed attempt is answered by version v2")
def step_answer_by_other(context):
    _, outcome = begin_and_break(context.edge)
    head = stream_builders.a_head(outcome.request_id, "v2", attempt=2)
    context.outcome = context.edge.resume_request(outcome.request_id, head)


@behave.then("it ends with answer-cut")
def step_check_answer_cut(context):
    assert context.outcome.action.error.code is errors.Code.ANSWER_CUT, context.outcome


@behave.when(
    "a resumable stream is sent to an upstream, which starts again with version {version:w} before"
    " it answers"
)
def step_replace_upstream(context, version):
    edge = context.edge
    outcome = edge.begin_request(stream_builders.STREAM_PATH)
    work = outcome.action.work
    context.first = work.upstream
    stream_builders.register(edge, work.upstream, version, born=2)
    head = stream_builders.a_head(outcome.request_id, work.software_version)
    head.source = work.upstream
    context.outcome = edge.resume_request(outcome.request_id, head)


def forward_of_u1(east):
    """Break a stream of u1 off at an instance, and return the action that forwards it."""
    breaks = [begin_and_break(east) for _ in range(20)]
    return next(outcome for first, outcome in breaks if first == "u1")


@behave.when(
    "a resumable stream of u1 breaks off, is forwarded to west and answered by version {version:w}"
)
def step_answer_from_west(context, version):
    east, _ = context.edges
    outcome = forward_of_u1(east)
    assert type(outcome.action.work) is actions.Forward, outcome
    head = stream_builders.a_head(outcome.request_id, version, attempt=2)
    context.outcome = east.resume_request(outcome.request_id, head)


@behave.when(
    "a resumable stream of u1 breaks off and is forwarded to west, where w1 starts again with"
    " version v2 before it answers"
)
def step_replace_far_upstream(context):
    east, west = context.edges
    outcome = forward_of_u1(east)
    arrived = stream_builders.forwarded(outcome.action.work, west)
    stream_builders.register(west, "w1", "v2", zone="west-a", born=2)
    head = stream_builders.a_head(arrived.request_id, "v1")
    head.source = "w1"
    context.outcome = west.resume_request(arrived.request_id, head)


@behave.when(
    "a resumable stream of u1 breaks off, is forwarded to west and answered by w1, which started"
    " again with version v2, as only east knows"
)
def step_replace_unheard(context):
    east, _ = context.edges
    outcome = forward_of_u1(east)
    stream_builders.register(east, "w1", "v2", zone="west-a", born=2)
    head = stream_builders.a_head(outcome.request_id, "v1", attempt=2)
    head.source = "w1"
    context.outcome = east.resume_request(outcome.request_id, head)


@behave.then("the stream is sent to the other one")
def step_check_other(context):
    second = edge_simulation.dispatched_upstream(context.outcome)
    assert {context.first, second} == {"u1", "u3"}, (context.first, second)


@behave.then("no event of the stream reaches its caller")
def step_check_not_delivered(context):
    assert type(context.outcome.action) is actions.Refuse, context.outcome


@behave.when("a safe request fails at its first upstream")
def step_fail_safe(context):
    register_all(context.edge, "d1 of version v1, d2 of version v2", service="desk")
    outcome = context.edge.begin_request("/status/x")
    context.first = edge_simulation.dispatched_upstream(outcome)
    failure = stream_builders.a_break(outcome.request_id, last_event_id="")
    context.outcome = context.edge.resume_request(outcome.request_id, failure)


@behave.then("it is sent to the other one")
def step_check_repeated(context):
    second = edge_simulation.dispatched_upstream(context.outcome)
    assert {context.first, second} == {"d1", "d2"}, (context.first, second)


@behave.when("a resumable stream begins and ends in full")
def step_run_stream(context):
    outcome = context.edge.begin_request(stream_builders.STREAM_PATH)
    version = outcome.action.work.software_version
    head = stream_builders.a_head(outcome.request_id, version)
    context.edge.resume_request(outcome.request_id, head)
    context.edge.finish_request(outcome.request_id)


@behave.then("the events {labels} and {last} name version {version}")
def step_check_events(context, labels, last, version):
    versions = {
        item.event.label: item.fields.get("software_version")
        for item in logged_events(context.edge)
    }
    wanted = [*labels.split(", "), last]
    assert {versions.get(label) for label in wanted} == {version}, versions
