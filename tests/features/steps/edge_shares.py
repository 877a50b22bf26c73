"""Steps about the shares of a rate that instances on a platform have, in virtual time."""

from __future__ import annotations

import behave

from tests import edge_simulation, platform_builders


@behave.given(
    "{count:d} instances and an account with {rate:d} tokens a second and a burst of {burst:d}"
)
def step_start_rated_instances(context, count, rate, burst):
    context.edges = [platform_builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    tenant = platform_builders.a_published_tenant(ratePerS=rate, burst=burst)
    for edge in context.edges:
        edge.publish(platform_builders.a_publication(tenants=[tenant]))
        edge.register_upstream("u1", capacity=10000)
    edge_simulation.discover_all(context.edges)


@behave.when(
    "the demand moves from one instance to the next every {turn_s:d} seconds for {total:d} seconds"
)
def step_move_demand(context, turn_s, total):
    context.admitted_tokens = []
    edges = context.edges
    start_s, pulse_at = edges[0].now, edges[0].now
    while edges[0].now < start_s + total:
        if edges[0].now >= pulse_at:
            edge_simulation.exchange_pulses(edges)
            pulse_at += edge_simulation.PULSE_INTERVAL_S
        edge_simulation.request_tokens(
            context, edges[int((edges[0].now - start_s) // turn_s) % len(edges)], 40
        )
        edge_simulation.advance_clocks(edges, edge_simulation.STEP_S)


@behave.given(
    "{count:d} instances in east, each with a demand of {rate:d} tokens a second,"
    " and one in west"
)
def step_start_regions_with_demand(context, count, rate):
    east = [platform_builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    west = platform_builders.EdgeUnderTest("edge-west", region="west")
    context.edges = [*east, west]
    limited_tenant = platform_builders.a_published_tenant(ratePerS=1e6, burst=1e6)
    for edge in context.edges:
        edge.publish(platform_builders.a_publication(tenants=[limited_tenant]))
        edge.register_upstream("u1", capacity=1000)
    edge_simulation.discover_all(context.edges)
    context.admitted_tokens = []
    for _ in range(100):
        for edge in east:
            edge_simulation.request_tokens(context, edge, rate // 10)
        edge_simulation.advance_clocks(context.edges, 0.1)


def demand_known_in_west(context):
    """Return the demand in tokens a second that the instance in west has learned from pulses."""
    west = context.edges[-1]
    known_demands = west.decisions.members.demands("rinks", west.now)
    return sum(demand.tokens_per_s for demand in known_demands)


@behave.when("the instances in east exchange pulses, and one of them sends its pulse to west")
def step_pulse_west(context):
    *east, west = context.edges
    edge_simulation.exchange_pulses(east)
    west.receive_pulse_from(east[0])


@behave.then("west knows {count:d} times the demand of one instance in east")
def step_check_demand_of_region(context, count):
    (own_demand,) = context.edges[0].decisions.rate_shares.demands(context.edges[0].now)
    context.known_demand = demand_known_in_west(context)
    assert (
        abs(context.known_demand - count * own_demand.tokens_per_s) < 0.1 * context.known_demand
    ), context.known_demand


@behave.then("a pulse of another instance in east changes that by less than a tenth")
def step_check_demand_unchanged(context):
    *east, west = context.edges
    west.receive_pulse_from(east[1])
    assert abs(demand_known_in_west(context) - context.known_demand) < 0.1 * context.known_demand


@behave.when(
    "{before}, and then each gets {rate:d} requests a second of {tokens:d} tokens"
    " for {total:d} seconds"
)
def step_plan_simultaneous_load(context, before, tokens, rate, total):
    context.load_plan = (before, tokens, rate, total)


@behave.when("pulses between them arrive {delay_s:g} seconds late")
def step_run_with_delayed_pulses(context, delay_s):
    before, tokens, rate, total = context.load_plan
    edges = context.edges
    context.admitted_tokens, delayed_pulses = [], []
    if before == "they have just started":
        discard_pulses(edges)
    else:
        preload_s = 20.0 if before == "nobody asked for 20 s" else 10.0
        loaded_edges = [] if preload_s == 20.0 else edges[:1]
        run_load(
            context,
            loaded_edges,
            delayed_pulses,
            seconds=preload_s,
            rate=rate,
            tokens=tokens,
            delay_s=delay_s,
        )
        context.admitted_tokens.clear()
    run_load(
        context, edges, delayed_pulses, seconds=total, rate=rate, tokens=tokens, delay_s=delay_s
    )


def discard_pulses(edges):
    """Reset instances to what they know of each other after a start: the store entries alone."""
    for edge in edges:
        edge.decisions.rate_shares.started_at = edge.now
        for member in edge.decisions.members.members.values():
            member.pulse = None
            member.demands = {}


def run_load(context, loaded_edges, delayed_pulses, *, seconds, rate, tokens, delay_s):
    """Send load to some instances while the pulses of all arrive late.

    Args:
        context: The scenario, with the instances and the admitted tokens.
        loaded_edges: Instances that get requests.
        delayed_pulses: Arrival time, sender and encoded pulse of each pulse under way.
        seconds: Length of the load.
        rate: Requests a second to each loaded instance.
        tokens: Tokens of each request.
        delay_s: Delay of a pulse in seconds.
    """
    edges = context.edges
    ends_at, pulse_at = edges[0].now + seconds, edges[0].now
    while edges[0].now < ends_at:
        if edges[0].now >= pulse_at:
            pulse_at += edge_simulation.PULSE_INTERVAL_S
            delayed_pulses += [
                (edges[0].now + delay_s, edge, edge.encode_pulse()) for edge in edges
            ]
        for delivery in [item for item in delayed_pulses if item[0] <= edges[0].now]:
            delayed_pulses.remove(delivery)
            for edge in edges:
                if edge is not delivery[1]:
                    edge.receive_pulse(delivery[2])
        for edge in loaded_edges:
            edge_simulation.request_tokens(context, edge, tokens)
        edge_simulation.advance_clocks(edges, 1 / rate)


@behave.when(
    "each instance gets a request of {tokens:d} tokens every {pause:d} s for {total:d} seconds"
)
def step_send_large_requests(context, tokens, pause, total):
    context.admitted_tokens = []
    edges = context.edges
    start_s = edges[0].now
    rounds_sent = 0
    while edges[0].now < start_s + total:
        edge_simulation.exchange_pulses(edges)
        if edges[0].now - start_s >= rounds_sent * pause:
            rounds_sent += 1
            for edge in edges:
                edge_simulation.request_tokens(context, edge, tokens)
                edge_simulation.exchange_pulses(edges)
        edge_simulation.advance_clocks(edges, edge_simulation.PULSE_INTERVAL_S)


@behave.then("at most {maximum:d} tokens were admitted in any {window:d} seconds")
def step_check_max_tokens(context, window, maximum):
    assert (
        edge_simulation.max_weight_in_window(context.admitted_tokens, window) <= maximum
    ), edge_simulation.max_weight_in_window(context.admitted_tokens, window)


@behave.then("at least {minimum:d} tokens were admitted")
def step_check_min_tokens(context, minimum):
    assert sum(tokens for _, tokens in context.admitted_tokens) >= minimum, sum(
        t for _, t in context.admitted_tokens
    )


@behave.then("at least {minimum:d} of the requests were admitted")
def step_check_min_admitted(context, minimum):
    assert len(context.admitted_tokens) >= minimum, len(context.admitted_tokens)
