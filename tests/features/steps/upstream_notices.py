"""Steps about what upstreams say of themselves in their answers, in virtual time."""

from __future__ import annotations

import behave

from tests import edge_simulation, platform_builders
from yuccahitch import events
from yuccahitch.messages import actions, commands
from yuccahitch.platform import requests as platform_requests

MARGIN_S = 0.05


def receive_answer(edge, incarnation, status, **headers):
    """Let an instance read the head of an answer of u1."""
    work = platform_builders.a_dispatch("u1", incarnation=incarnation)
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    notice = platform_requests.decode_notice(work, status, names)
    edge.decisions.on_upstream_notice(notice, edge.now)


@behave.when("pulses are {state}")
def step_set_pulses(context, state):
    if state == "lost":
        context.site.unheard.update(context.site.edges)


@behave.when("the first upstream of east says in its answers that it is leaving")
def step_say_leaving(context):
    context.upstream = next(name for name in context.site.running if name.startswith("east"))
    context.site.leaving.add(context.upstream)
    context.since = context.site.now


@behave.then("no instance sends the first upstream of east a request after it was told")
def step_check_leaving(context):
    site = context.site
    late = [
        (time, instance)
        for time, upstream, instance in site.arrivals
        if upstream == context.upstream
        and time > site.told_leaving_at.get((upstream, instance), site.now) + MARGIN_S
    ]
    assert site.told_leaving_at and not late, late


@behave.when("an answer of u1 says that it is leaving")
@behave.when("a late answer of the former u1 says that it is leaving")
def step_answer_leaving(context):
    (edge,) = context.edges
    receive_answer(edge, "u1@1", 200, server_leaving="1")


@behave.when("u1 answers {status:d} with Retry-After {value}")
def step_answer_pause(context, status, value):
    (edge,) = context.edges
    receive_answer(edge, "u1@1", status, x_not_executed="1", retry_after=value)


@behave.then("u1 gets requests at once")
def step_check_used(context):
    (edge,) = context.edges
    assert edge_simulation.dispatched_upstream(edge.begin_request()) == "u1"


@behave.then("u1 gets nothing for {seconds:g} seconds")
def step_check_pause(context, seconds):
    (edge,) = context.edges
    edge.now += seconds - MARGIN_S
    outcome = edge.begin_request()
    assert type(outcome.action) is actions.Refuse, outcome
    assert 0 < outcome.action.error.retry_after <= 2.0
    edge.now += 2 * MARGIN_S
    step_check_used(context)


@behave.when("an answer of u1 names the rate {value}")
def step_answer_rate(context, value):
    (edge,) = context.edges
    for _ in range(3):
        receive_answer(edge, "u1@1", 200, server_limit=value)


@behave.then("the instance logs notice-unreadable once")
def step_check_unreadable(context):
    (edge,) = context.edges
    pending = edge.decisions.take_commands(edge.now)
    logged = [command.event for command in pending if type(command) is commands.LogEvent]
    context.caused_events = {event.label for event in logged}
    assert logged.count(events.Event.NOTICE_UNREADABLE) == 1, logged
