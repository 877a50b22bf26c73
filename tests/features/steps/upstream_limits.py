"""Steps about upstreams that name a request rate, in virtual time."""

from __future__ import annotations

import behave

from tests import limit_simulation
from yuccahitch import events
from yuccahitch.messages import commands


@behave.given("{count:d} instance before {upstreams:d} upstream in each region")
@behave.given("{count:d} instances before {upstreams:d} upstreams in each region")
def step_start_site(context, count, upstreams):
    context.site = limit_simulation.LimitedSite(["east"] * count, upstreams_per_region=upstreams)
    context.edges = list(context.site.edges.values())
    context.share = 0.0
    context.site.run(1.0)


def step_upstream(context, which, region):
    names = [name for name in context.site.running if name.startswith(region)]
    return names[{"first": 0, "second": 1, "third": 2}[which]]


@behave.when("the {which} upstream of {region} names {rate:g} requests a second")
def step_name_rate(context, which, region, rate):
    context.site.set_limit(step_upstream(context, which, region), rate)


@behave.when("the {which} upstream of {region} names no rate any more")
def step_name_no_rate(context, which, region):
    context.site.set_limit(step_upstream(context, which, region), None)


@behave.then("the instances log the rate with what was sent, and {last}")
def step_check_log(context, last):
    logged = [
        command
        for edge in context.edges
        for command in edge.decisions.take_commands(edge.now)
        if type(command) is commands.LogEvent
    ]
    context.caused_events = {log_event.event.label for log_event in logged}
    limited = [e.fields for e in logged if e.event is events.Event.UPSTREAM_LIMITED]
    assert limited and limited[0]["requests_per_s"] == 2.0, limited
    assert sum(fields["sent"] for fields in limited) > 0
    assert last in context.caused_events, context.caused_events
