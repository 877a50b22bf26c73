"""Steps about the decisions of an instance on the users' platform, in virtual time."""

from __future__ import annotations

import json

import behave

from tests import builders
from yuccahitch import errors, events
from yuccahitch.messages import actions, commands

STEP_S = 0.02
PULSE_S = 0.25
STOP = 100


def an_edge(context, *upstreams, version=1, **fields):
    edge = builders.EdgeUnderTest(**fields)
    edge.publish(builders.a_publication(version))
    for name in upstreams:
        edge.register(name)
    context.edges = [edge]
    return edge


def meet_all(edges):
    for edge in edges:
        for other in edges:
            if other is not edge:
                edge.meet(other)


def pulse_all(edges):
    for edge in edges:
        for other in edges:
            if other is not edge:
                edge.hear(other)


def advance(edges, seconds):
    for edge in edges:
        edge.now += seconds


def upstream_of(outcome):
    """Return the upstream that a request is sent to, or no text."""
    work = getattr(outcome.action, "work", None)
    return work.upstream if type(work) is actions.Dispatch else ""


def most_in(times, window_s):
    """Return the greatest sum of weights in any window of some seconds."""
    times = sorted(times)
    best, begin, total = 0, 0, 0
    for at, weight in times:
        total += weight
        while at - times[begin][0] >= window_s:
            total -= times[begin][1]
            begin += 1
        best = max(best, total)
    return best


def told(edge):
    return [c.event for c in edge.decisions.drain(edge.now) if type(c) is commands.Note]


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
    assert upstream_of(edge.ask()) == "u1"


@behave.then("it is not used")
def step_unused(context):
    (edge,) = context.edges
    outcome = edge.ask()
    assert type(outcome.action) is actions.Refuse, outcome
    assert outcome.action.error.run is errors.Run.NOT_RUN


@behave.when("the entry of u1 vanishes {how}")
def step_vanishes(context, how):
    (edge,) = context.edges
    if how == "in a change":
        edge.decisions.found.changed("u1", None, edge.now)
        return
    item = edge.item("u2", {})
    kept = edge.decisions.found.table["u2"]
    item.revision = kept.revision
    edge.decisions.found.snapshot([item], edge.now)


@behave.then("u1 is used for {low:g} more seconds and not after {high:g}, unless its entry is back")
def step_grace(context, low, high):
    (edge,) = context.edges
    used = lambda: {upstream_of(edge.ask()) for _ in range(20)}  # noqa: E731
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
    meet_all(context.edges)


@behave.when("each instance is asked {rate:d} times a second for {seconds:d} seconds")
def step_load(context, rate, seconds):
    failing = getattr(context, "failing", False)
    context.first, context.sends, context.requests = [], [], []
    edges = context.edges
    began, pulse_at = edges[0].now, edges[0].now
    while edges[0].now < began + seconds:
        if edges[0].now >= pulse_at:
            pulse_all(edges)
            pulse_at += PULSE_S
        for edge in edges:
            ask_once(context, edge, failing)
        advance(edges, 1 / rate)


def ask_once(context, edge, failing):
    outcome = edge.ask("/status/x" if failing else "/plan/x")
    context.requests.append((edge.now, 1))
    for number in range(STOP):
        if not upstream_of(outcome):
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
    assert most_in(context.sends, 1.0) <= most, most_in(context.sends, 1.0)


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
    meet_all(context.edges)


@behave.then(
    "in no 10 seconds there were more repeats than {share:g} of the requests and {extra:d}"
)
def step_budget(context, share, extra):
    # The bound takes the requests of the window; here they come at an even rate.
    repeats, requests = most_in(context.first, 10.0), most_in(context.requests, 10.0)
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
    assert error.run is errors.Run.MAY_HAVE_RUN, error
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
    while upstream_of(outcome):
        context.places.append(upstream_of(outcome))
        failure = builders.a_failure(outcome.request_id, code, ran=ran)
        outcome = edge.reply(outcome.request_id, failure)
    assert type(outcome.action) is actions.Refuse
    expected = errors.Run.MAY_HAVE_RUN if ran else errors.Run.NOT_RUN
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
    meet_all(context.edges)


@behave.when("the same request has crashed three upstreams at the first instance")
def step_crashes(context):
    edge = context.edges[0]
    crashed = set()
    while len(crashed) < 3:
        outcome = edge.ask("/book/poison")
        at = upstream_of(outcome)
        failure = builders.a_failure(outcome.request_id, peer=at, crashed=True)
        edge.reply(outcome.request_id, failure)
        edge.finish(outcome.request_id, succeeded=False)
        crashed.add(at)
        edge.now += 3.0


@behave.then("the first refuses it as not run")
def step_first_refuses(context):
    outcome = context.edges[0].ask("/book/poison")
    assert outcome.action.error.code is errors.Code.POISON
    assert outcome.action.error.run is errors.Run.NOT_RUN
    assert upstream_of(context.edges[0].ask("/book/other"))


@behave.then("the second refuses it once it heard the first")
def step_second_refuses(context):
    first, second = context.edges
    second.now = first.now
    assert upstream_of(second.ask("/book/poison"))
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
            edge.decisions.config.changed(
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
    context.shared = [upstream_of(outcome) for outcome in outcomes]


@behave.then("the first service gets from {least:d} to {most:d} of them")
def step_shared_counts(context, least, most):
    assert set(context.shared) == {"u1", "u2"}, set(context.shared)
    assert least <= context.shared.count("u1") <= most, context.shared.count("u1")


@behave.given(
    "{count:d} instances and an account with {rate:d} tokens a second and a burst of {burst:d}"
)
def step_shares(context, count, rate, burst):
    context.edges = [builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    tenant = builders.a_published_tenant(ratePerS=rate, burst=burst)
    for edge in context.edges:
        edge.publish(builders.a_publication(tenants=[tenant]))
        edge.register("u1", capacity=10000)
    meet_all(context.edges)


def take(context, edge, tokens):
    outcome = edge.ask(**{"X-Token-Usage": f"{tokens},0"})
    if upstream_of(outcome):
        context.taken.append((edge.now, tokens))
        edge.reply(outcome.request_id, builders.a_head(outcome.request_id))
    else:
        assert outcome.action.error.code is errors.Code.RATE_EXCEEDED
    edge.finish(outcome.request_id, succeeded=bool(upstream_of(outcome)))


@behave.when(
    "the demand moves from one instance to the next each {s:d} seconds for {total:d} seconds"
)
def step_moves(context, s, total):
    context.taken = []
    edges = context.edges
    began, pulse_at = edges[0].now, edges[0].now
    while edges[0].now < began + total:
        if edges[0].now >= pulse_at:
            pulse_all(edges)
            pulse_at += PULSE_S
        take(context, edges[int((edges[0].now - began) // s) % len(edges)], 40)
        advance(edges, STEP_S)


@behave.given(
    "{count:d} instances in east, of which each is asked for {rate:d} tokens a second,"
    " and one in west"
)
def step_regions_demand(context, count, rate):
    east = [builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    west = builders.EdgeUnderTest("edge-west", region="west")
    context.edges = [*east, west]
    limited = builders.a_published_tenant(ratePerS=1e6, burst=1e6)
    for edge in context.edges:
        edge.publish(builders.a_publication(tenants=[limited]))
        edge.register("u1", capacity=1000)
    meet_all(context.edges)
    context.taken = []
    for _ in range(100):
        for edge in east:
            take(context, edge, rate // 10)
        advance(context.edges, 0.1)


def known_in_west(context):
    west = context.edges[-1]
    found = west.decisions.members.demands("rinks", west.now)
    return sum(demand.tokens_per_s for demand in found)


@behave.when("all of east tell each other, and one of them tells west")
def step_tell_west(context):
    *east, west = context.edges
    pulse_all(east)
    west.hear(east[0])


@behave.then("west knows of {count:d} times what one of east is asked for")
def step_knows_all(context, count):
    (own,) = context.edges[0].decisions.meters.demands(context.edges[0].now)
    context.known = known_in_west(context)
    assert abs(context.known - count * own.tokens_per_s) < 0.1 * context.known, context.known


@behave.then("a pulse of another of east to west changes that by less than a tenth")
def step_knows_same(context):
    *east, west = context.edges
    west.hear(east[1])
    assert abs(known_in_west(context) - context.known) < 0.1 * context.known


@behave.when(
    "{before}, and then all are asked for {tokens:d} tokens {rate:d} times a second"
    " for {total:d} seconds"
)
def step_at_once(context, before, tokens, rate, total):
    context.plan = (before, tokens, rate, total)


@behave.when("what they tell each other comes {late:g} seconds later")
def step_late_pulses(context, late):
    before, tokens, rate, total = context.plan
    edges = context.edges
    context.taken, waiting = [], []
    if before == "they have just started":
        forget_pulses(edges)
    else:
        calm = 20.0 if before == "nobody asked for 20 s" else 10.0
        busy = [] if calm == 20.0 else edges[:1]
        play(context, busy, waiting, seconds=calm, rate=rate, tokens=tokens, late=late)
        context.taken.clear()
    play(context, edges, waiting, seconds=total, rate=rate, tokens=tokens, late=late)


def forget_pulses(edges):
    """Let instances know each other from the store alone, as after a start."""
    for edge in edges:
        edge.decisions.meters.began = edge.now
        for member in edge.decisions.members.members.values():
            member.pulse = None
            member.demands = {}


def play(context, busy, waiting, *, seconds, rate, tokens, late):
    """Ask instances at a rate; their pulses arrive late."""
    edges = context.edges
    ends, pulse_at = edges[0].now + seconds, edges[0].now
    while edges[0].now < ends:
        if edges[0].now >= pulse_at:
            pulse_at += PULSE_S
            waiting += [(edges[0].now + late, edge, edge.told()) for edge in edges]
        for due in [item for item in waiting if item[0] <= edges[0].now]:
            waiting.remove(due)
            for edge in edges:
                if edge is not due[1]:
                    edge.hear_raw(due[2])
        for edge in busy:
            take(context, edge, tokens)
        advance(edges, 1 / rate)


@behave.when(
    "each instance is asked for {tokens:d} tokens each {pause:d} seconds for {total:d} seconds"
)
def step_large(context, tokens, pause, total):
    context.taken = []
    edges = context.edges
    began = edges[0].now
    asked = 0
    while edges[0].now < began + total:
        pulse_all(edges)
        if edges[0].now - began >= asked * pause:
            asked += 1
            for edge in edges:
                take(context, edge, tokens)
                pulse_all(edges)
        advance(edges, PULSE_S)


@behave.then("in no {window:d} seconds more than {most:d} tokens were taken")
def step_most_tokens(context, window, most):
    assert most_in(context.taken, window) <= most, most_in(context.taken, window)


@behave.then("at least {least:d} tokens were taken")
def step_least_tokens(context, least):
    assert sum(tokens for _, tokens in context.taken) >= least, sum(t for _, t in context.taken)


@behave.then("at least {least:d} of the requests were taken")
def step_least_taken(context, least):
    assert len(context.taken) >= least, len(context.taken)


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
    named = first.decisions.directions(builders.HOST, region, first.now)
    places = {
        f"{own.host}:{own.caller_port}": own.region
        for own in (edge.decisions.members.own for edge in context.edges)
    }
    context.named = ", ".join(sorted(places[address] for address in named)) or "nobody"


@behave.then("it is named {named}")
def step_named(context, named):
    assert context.named == named, context.named
