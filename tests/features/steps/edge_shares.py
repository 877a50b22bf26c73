"""Steps about the shares of a rate in virtual time."""

from __future__ import annotations

import behave

from tests import builders, edge_play


@behave.given(
    "{count:d} instances and an account with {rate:d} tokens a second and a burst of {burst:d}"
)
def step_shares(context, count, rate, burst):
    context.edges = [builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    tenant = builders.a_published_tenant(ratePerS=rate, burst=burst)
    for edge in context.edges:
        edge.publish(builders.a_publication(tenants=[tenant]))
        edge.register("u1", capacity=10000)
    edge_play.meet_all(context.edges)


@behave.when(
    "the demand moves from one instance to the next each {s:d} seconds for {total:d} seconds"
)
def step_moves(context, s, total):
    context.taken = []
    edges = context.edges
    began, pulse_at = edges[0].now, edges[0].now
    while edges[0].now < began + total:
        if edges[0].now >= pulse_at:
            edge_play.pulse_all(edges)
            pulse_at += edge_play.PULSE_S
        edge_play.take(context, edges[int((edges[0].now - began) // s) % len(edges)], 40)
        edge_play.advance(edges, edge_play.STEP_S)


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
    edge_play.meet_all(context.edges)
    context.taken = []
    for _ in range(100):
        for edge in east:
            edge_play.take(context, edge, rate // 10)
        edge_play.advance(context.edges, 0.1)


def known_in_west(context):
    west = context.edges[-1]
    found = west.decisions.members.demands("rinks", west.now)
    return sum(demand.tokens_per_s for demand in found)


@behave.when("all of east tell each other, and one of them tells west")
def step_tell_west(context):
    *east, west = context.edges
    edge_play.pulse_all(east)
    west.hear(east[0])


@behave.then("west knows of {count:d} times what one of east is asked for")
def step_knows_all(context, count):
    (own,) = context.edges[0].decisions.rate_shares.demands(context.edges[0].now)
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
        edge.decisions.rate_shares.started_at = edge.now
        for member in edge.decisions.members.members.values():
            member.pulse = None
            member.demands = {}


def play(context, busy, waiting, *, seconds, rate, tokens, late):
    """Ask instances at a rate; their pulses arrive late."""
    edges = context.edges
    ends, pulse_at = edges[0].now + seconds, edges[0].now
    while edges[0].now < ends:
        if edges[0].now >= pulse_at:
            pulse_at += edge_play.PULSE_S
            waiting += [(edges[0].now + late, edge, edge.told()) for edge in edges]
        for due in [item for item in waiting if item[0] <= edges[0].now]:
            waiting.remove(due)
            for edge in edges:
                if edge is not due[1]:
                    edge.hear_raw(due[2])
        for edge in busy:
            edge_play.take(context, edge, tokens)
        edge_play.advance(edges, 1 / rate)


@behave.when(
    "each instance is asked for {tokens:d} tokens each {pause:d} seconds for {total:d} seconds"
)
def step_large(context, tokens, pause, total):
    context.taken = []
    edges = context.edges
    began = edges[0].now
    asked = 0
    while edges[0].now < began + total:
        edge_play.pulse_all(edges)
        if edges[0].now - began >= asked * pause:
            asked += 1
            for edge in edges:
                edge_play.take(context, edge, tokens)
                edge_play.pulse_all(edges)
        edge_play.advance(edges, edge_play.PULSE_S)


@behave.then("in no {window:d} seconds more than {most:d} tokens were taken")
def step_most_tokens(context, window, most):
    assert edge_play.most_in(context.taken, window) <= most, edge_play.most_in(
        context.taken, window
    )


@behave.then("at least {least:d} tokens were taken")
def step_least_tokens(context, least):
    assert sum(tokens for _, tokens in context.taken) >= least, sum(t for _, t in context.taken)


@behave.then("at least {least:d} of the requests were taken")
def step_least_taken(context, least):
    assert len(context.taken) >= least, len(context.taken)
