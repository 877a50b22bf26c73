"""Steps about streams and the software versions that begin them, in virtual time."""

from __future__ import annotations

import behave

from tests import stream_builders
from yuccahitch.messages import commands


def logged_events(edge):
    """Return the events that an instance has logged since the last call."""
    pending = edge.decisions.take_commands(edge.now)
    return [item for item in pending if type(item) is commands.LogEvent]


@behave.given("an instance with upstream {name} of version {version}")
def step_start_with_upstream(context, name, version):
    context.edge = stream_builders.an_edge()
    stream_builders.register(context.edge, name, version)


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
