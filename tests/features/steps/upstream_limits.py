"""Steps about upstreams that name a request rate, in virtual time."""

from __future__ import annotations

import behave

from tests import limit_simulation
from yuccahitch import errors, events
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


@behave.given("{count:d} instances before {upstreams:d} upstream in each of two regions")
def step_start_two_regions(context, count, upstreams):
    context.site = limit_simulation.LimitedSite(
        ["east"] * count + ["west"] * count, upstreams_per_region=upstreams
    )
    context.edges = list(context.site.edges.values())
    context.share = 0.0
    context.site.run(1.0)


@behave.when("callers of east send {rate:d} requests a second for {seconds:d} seconds")
def step_send_to_east(context, rate, seconds):
    site = context.site
    east = [edge for edge in context.edges if edge.decisions.members.own.region == "east"]
    for _ in range(rate * seconds):
        site.send(site.rng.choice(east), "sound", (site.rng.choice(limit_simulation.FIRST_PARTS),))
        site.run(1 / rate)


@behave.when("{trouble} happens")
def step_cause_trouble(context, trouble):
    site = context.site
    first = context.edges[0]
    if trouble == "a restart of the first instance":
        context.edges[0] = site.restart(first)
    elif trouble == "a restart of all instances in turn":
        for index, edge in enumerate(context.edges):
            context.edges[index] = site.restart(edge)
            step_send_evenly(context, 1.5)
    elif trouble == "a planned stop of the first instance":
        first.decisions.begin_drain(first.now)
        site.exchange_pulses()
    elif trouble == "a loss of all pulses":
        site.unheard.update(site.edges)
    else:
        site.freeze(first, 3.0)


def step_send_evenly(context, seconds):
    site = context.site
    for _ in range(int(60 * seconds)):
        site.send(site.rng.choice(context.edges), "sound", ("first0",))
        site.run(1 / 60)


@behave.then("no upstream gets more than it takes")
def step_check_limits(context):
    assert not context.site.excesses(), context.site.excesses()[:3]


@behave.then("each limited upstream gets at least half of what it takes")
def step_check_use(context):
    site = context.site
    for upstream, changes in site.limit_changes.items():
        since, rate = changes[-1][0] + limit_simulation.GRACE_S, changes[-1][1]
        count = sum(name == upstream and time >= since for time, name, _ in site.arrivals)
        assert count >= 0.5 * rate * (site.now - since), (upstream, rate, count)


@behave.then("no request is refused")
def step_check_no_refusal(context):
    assert not context.site.refusals, context.site.refusals[:3]


@behave.then("no instance holds back from the first upstream of east")
def step_check_released(context):
    upstream = step_upstream(context, "first", "east")
    since = context.site.now - 1.0
    senders = {
        who for time, name, who in context.site.arrivals if name == upstream and time > since
    }
    assert len(senders) == len(context.edges), senders


@behave.then("requests are refused as not run, with a time after which to come back")
def step_check_refusals(context):
    refusals = [error for _, _, error in context.site.refusals]
    assert refusals
    assert all(error.run is errors.RunStatus.NOT_RUN for error in refusals)
    assert all(0 < error.retry_after <= 2.0 for error in refusals), refusals[:3]


@behave.then("at most a third of the requests of the last {seconds:d} seconds were forwarded")
def step_check_forwards(context, seconds):
    since = context.site.now - seconds
    forwards = sum(time > since for time in context.site.forwards)
    refused = sum(time > since for time, _, _ in context.site.refusals)
    assert forwards <= refused / 3, (forwards, refused)
