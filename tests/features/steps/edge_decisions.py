"""Steps about the decisions of an instance on the users' platform, in virtual time."""

from __future__ import annotations

import json

import behave

from tests import builders, edge_play
from yuccahitch import errors, events
from yuccahitch.messages import actions, commands

STOP = 100


def an_edge(context, *upstreams, version=1, **fields):
    edge = builders.EdgeUnderTest(**fields)
    edge.publish(builders.a_publication(version))
    for name in upstreams:
        edge.register(name)
    context.edges = [edge]
    return edge


def told(edge):
    return [c.event for c in edge.decisions.take_commands(edge.now) if type(c) is commands.LogEvent]


@behave.given("an instance with configuration {version:d}")
def step_edge(context, version):
    an_edge(context, version=version)


@behave.given("an instance with configuration {version:d} and upstreams {names}")
def step_edge_with(context, version, names):
    an_edge(context, *names.replace(" and ", ", ").split(", "), version=version)


@behave.when("configuration {newer:d}, then {older:d}, then one that can't be read are written")
def step_versions(context, newer, older):
    (edge,) = context.edges
    told(edge)
    edge.publish(builders.a_publication(newer))
    edge.publish(builders.a_publication(older))
    edge.publish(b"{")


@behave.then("configuration {version:d} is in force, and two events tell of the others")
def step_in_force(context, version):
    (edge,) = context.edges
    assert edge.decisions.config.current.version == version
    seen = told(edge)
    assert events.Event.CONFIG_STALE in seen and events.Event.CONFIG_UNREADABLE in seen, seen


@behave.when("an upstream registers with {field} as {value}")
def step_registers(context, field, value):
    (edge,) = context.edges
    edge.register("u1", **{field: json.loads(value)})


@behave.then("it is used")
def step_used(context):
    (edge,) = context.edges
    assert edge_play.upstream_of(edge.ask()) == "u1"


@behave.then("it is not used")
def step_unused(context):
    (edge,) = context.edges
    outcome = edge.ask()
    assert type(outcome.action) is actions.Refuse, outcome
    assert outcome.action.error.run is errors.RunStatus.NOT_RUN


@behave.when("the entry of u1 vanishes {how}")
def step_vanishes(context, how):
    (edge,) = context.edges
    if how == "in a change":
        edge.decisions.registry.apply_change("u1", None, edge.now)
        return
    item = edge.item("u2", {})
    kept = edge.decisions.registry.by_name["u2"]
    item.revision = kept.revision
    edge.decisions.registry.apply_snapshot([item], edge.now)


@behave.then("u1 is used for {low:g} more seconds and not after {high:g}, unless its entry is back")
def step_grace(context, low, high):
    (edge,) = context.edges
    used = lambda: {edge_play.upstream_of(edge.ask()) for _ in range(20)}  # noqa: E731
    edge.now += low
    assert "u1" in used()
    edge.now += high - low
    assert "u1" not in used()
    edge.register("u1")
    assert "u1" in used()


@behave.given(
    "{count:d} instances of one region with an upstream that bears 4 requests a second while cold"
)
def step_cold(context, count):
    context.edges = [builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    for edge in context.edges:
        edge.publish(builders.a_publication())
        edge.register("m1", service="model", warmupLeftMs=10_000, capacity=64)
    edge_play.meet_all(context.edges)


@behave.when("each instance is asked {rate:d} times a second for {seconds:d} seconds")
def step_load(context, rate, seconds):
    failing = getattr(context, "failing", False)
    context.first, context.sends, context.requests = [], [], []
    edges = context.edges
    began, pulse_at = edges[0].now, edges[0].now
    while edges[0].now < began + seconds:
        if edges[0].now >= pulse_at:
            edge_play.pulse_all(edges)
            pulse_at += edge_play.PULSE_S
        for edge in edges:
            ask_once(context, edge, failing)
        edge_play.advance(edges, 1 / rate)


def ask_once(context, edge, failing):
    outcome = edge.ask("/status/x" if failing else "/plan/x")
    context.requests.append((edge.now, 1))
    for number in range(STOP):
        if not edge_play.upstream_of(outcome):
            break
        context.sends.append((edge.now, 1))
        if number:
            context.first.append((edge.now, 1))
        if not failing:
            edge.reply(outcome.request_id, builders.a_head(outcome.request_id))
            break
        outcome = edge.reply(outcome.request_id, builders.a_failure(outcome.request_id))
    edge.finish(outcome.request_id, succeeded=not failing)


@behave.then("in no second it got more than {most:d} requests")
def step_most_cold(context, most):
    assert edge_play.most_in(context.sends, 1.0) <= most, edge_play.most_in(context.sends, 1.0)


@behave.then("it got {least:d} requests or more")
def step_least_cold(context, least):
    assert len(context.sends) >= least, len(context.sends)


@behave.given("{count:d} instances of one region with upstreams that fail every request")
def step_failing(context, count):
    context.failing = True
    context.edges = [builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    for edge in context.edges:
        edge.publish(builders.a_publication())
        for name in ("u1", "u2", "u3"):
            edge.register(name, capacity=64)
    edge_play.meet_all(context.edges)


@behave.then(
    "in no 10 seconds there were more repeats than {share:g} of the requests and {extra:d}"
)
def step_budget(context, share, extra):
    # The bound takes the requests of the window; here they come at an even rate.
    repeats, requests = edge_play.most_in(context.first, 10.0), edge_play.most_in(
        context.requests, 10.0
    )
    assert repeats <= share * requests + extra, (repeats, requests)
    assert repeats > 0


@behave.when("a request for {path} is answered 500 by the only upstream")
def step_only_fails(context, path):
    (edge,) = context.edges
    context.outcome = edge.ask(path)
    request_id = context.outcome.request_id
    context.outcome = edge.reply(request_id, builders.a_head(request_id, status=500))


@behave.then("it ends as may-have-run, and its last error tells of status 500")
def step_truthful(context):
    error = context.outcome.action.error
    assert error.run is errors.RunStatus.MAY_HAVE_RUN, error
    assert "500" in error.detail, error


@behave.when("a request for {path} fails at each upstream, {how}")
def step_fails(context, path, how):
    (edge,) = context.edges
    for name in ("m1", "m2", "m3", "m4"):
        edge.register(name, service="model")
    ran = how == "after it ran"
    code = errors.Code.UPSTREAM_FAILED if ran else errors.Code.UPSTREAM_SHED
    outcome = edge.ask(path)
    context.places = []
    while edge_play.upstream_of(outcome):
        context.places.append(edge_play.upstream_of(outcome))
        failure = builders.a_failure(outcome.request_id, code, ran=ran)
        outcome = edge.reply(outcome.request_id, failure)
    assert type(outcome.action) is actions.Refuse
    expected = errors.RunStatus.MAY_HAVE_RUN if ran else errors.RunStatus.NOT_RUN
    assert outcome.action.error.run is expected


@behave.then("it was sent {sends:d} times")
def step_sends(context, sends):
    assert len(context.places) == sends, context.places
    assert len(set(context.places)) == sends, context.places


@behave.given("{count:d} instances of one region with upstreams u1, u2 and u3")
def step_pair(context, count):
    context.edges = [builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    for edge in context.edges:
        edge.publish(builders.a_publication())
        for name in ("u1", "u2", "u3"):
            edge.register(name)
    edge_play.meet_all(context.edges)


@behave.when("the same request has crashed three upstreams at the first instance")
def step_crashes(context):
    edge = context.edges[0]
    crashed = set()
    while len(crashed) < 3:
        outcome = edge.ask("/book/poison")
        at = edge_play.upstream_of(outcome)
        failure = builders.a_failure(outcome.request_id, peer=at, crashed=True)
        edge.reply(outcome.request_id, failure)
        edge.finish(outcome.request_id, succeeded=False)
        crashed.add(at)
        edge.now += 3.0


@behave.then("the first refuses it as not run")
def step_first_refuses(context):
    outcome = context.edges[0].ask("/book/poison")
    assert outcome.action.error.code is errors.Code.POISON
    assert outcome.action.error.run is errors.RunStatus.NOT_RUN
    assert edge_play.upstream_of(context.edges[0].ask("/book/other"))


@behave.then("the second refuses it once it heard the first")
def step_second_refuses(context):
    first, second = context.edges
    second.now = first.now
    assert edge_play.upstream_of(second.ask("/book/poison"))
    second.hear(first)
    assert second.ask("/book/poison").action.error.code is errors.Code.POISON


PLACES = {
    "an upstream in west": {"zone": "west-a"},
    "no upstream at all": None,
    "a leaving upstream in west": {"zone": "west-a", "state": "draining"},
    "an upstream in an evacuated zone": {"zone": "west-a"},
}


@behave.given("instances in west, east, with {where} for the requests that east gets")
def step_far_upstream(context, where):
    east = builders.EdgeUnderTest("edge-0", region="east")
    west = builders.EdgeUnderTest("edge-1", region="west")
    context.edges = [east, west]
    for edge in context.edges:
        edge.publish(builders.a_publication())
        if PLACES[where] is not None:
            edge.register("u1", **PLACES[where])
        if "evacuated" in where:
            edge.decisions.config.apply_change(
                "evacuate/west-a", edge.item("evacuate/west-a", {}), edge.now
            )
    east.meet(west)


@behave.when("east gets a request")
def step_east_asked(context):
    context.outcome = context.edges[0].ask()


@behave.then("it is handed to west")
def step_handed(context):
    work = context.outcome.action.work
    assert work.instance == context.edges[1].decisions.instance, work


@behave.then("it is refused with no-upstream")
def step_none_left(context):
    assert type(context.outcome.action) is actions.Refuse, context.outcome.action
    assert context.outcome.action.error.code is errors.Code.NO_UPSTREAM


@behave.given("an instance and a published route shared {first:d} to {second:d} by two services")
def step_shared_route(context, first, second):
    context.edge = builders.EdgeUnderTest()
    shared = [{"service": "desk", "weight": first}, {"service": "model", "weight": second}]
    split = builders.a_published_route("split", "/split/", service=None, backends=shared)
    context.edge.publish(builders.a_publication(routes=[split]))
    context.edge.register("u1", service="desk", capacity=10000)
    context.edge.register("u2", service="model", capacity=10000)


@behave.when("{count:d} requests of the shared route come in")
def step_shared_requests(context, count):
    outcomes = [context.edge.ask("/split/x") for _ in range(count)]
    context.shared = [edge_play.upstream_of(outcome) for outcome in outcomes]


@behave.then("the first service gets from {least:d} to {most:d} of them")
def step_shared_counts(context, least, most):
    assert set(context.shared) == {"u1", "u2"}, set(context.shared)
    assert least <= context.shared.count("u1") <= most, context.shared.count("u1")


@behave.given("instances in {regions}, of which {silent} fell silent 5 seconds ago")
def step_regions(context, regions, silent):
    first = builders.EdgeUnderTest("edge-0", region="west")
    places = regions.split(", ")
    places.remove("west")
    others = [builders.EdgeUnderTest(f"edge-{n}", region=p) for n, p in enumerate(places, 1)]
    for other in others:
        first.meet(other)
    first.now += 5.0
    for other in others:
        other.now += 5.0
        if other.decisions.members.own.region != silent:
            first.hear(other)
    first.decisions.members.own.ready = True
    context.edges = [first, *others]


@behave.when("a caller of {region} asks for a host whose routes have {homes}")
def step_directory(context, region, homes):
    first = context.edges[0]
    found = [homes.removeprefix("home ")] if homes.startswith("home ") else []
    routes = [builders.a_published_route("r", "/r/", homeRegions=found)]
    first.publish(builders.a_publication(routes=routes))
    named = first.decisions.caller_addresses(builders.HOST, region, first.now)
    places = {
        f"{own.host}:{own.caller_port}": own.region
        for own in (edge.decisions.members.own for edge in context.edges)
    }
    context.named = ", ".join(sorted(places[address] for address in named)) or "nobody"


@behave.then("it is named {named}")
def step_named(context, named):
    assert context.named == named, context.named
