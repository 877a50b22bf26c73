"""Steps about upstreams of different speeds, in virtual time."""

from __future__ import annotations

import math
import re

import behave

from tests import builders, edge_simulation, room_builders, uneven_upstreams
from yuccahitch.controllers.upstream_state import slowness


@behave.given("{count:d} instances before upstreams of speeds {texts} that {how}")
def step_start_uneven(context, count, texts, how):
    speeds = [float(text) for text in re.findall(r"[\d.]+", texts)]
    stops = how != "never stop"
    context.site = uneven_upstreams.UnevenSite(count, speeds, stops=stops)
    context.edges = context.site.edges


@behave.when("requests come at {load:g} of what they can do together for {seconds:d} seconds")
def step_play(context, load, seconds):
    context.site.play(load, seconds)


@behave.then("each does work in proportion to its speed within {percent:d} percent")
def step_check_proportion(context, percent):
    site = context.site
    per_speed = {name: site.work[name] / speed for name, speed in site.speeds.items()}
    mean = sum(site.work.values()) / sum(site.speeds.values())
    shares = {name: value / mean for name, value in per_speed.items()}
    assert all(abs(share - 1) <= percent / 100 for share in shares.values()), shares


@behave.then("the queue of the fast one is over {factor:g} times as long as those of the others")
def step_check_queues(context, factor):
    first, second, fast = (context.site.queue_sums[name] for name in context.site.speeds)
    arrivals = context.site.work
    lengths = [
        total / arrivals[name]
        for total, name in zip((first, second, fast), context.site.speeds, strict=True)
    ]
    assert lengths[2] > factor * max(lengths[:2]), lengths


@behave.when("an upstream shows {history}")
def step_learn(context, history):
    known = slowness.Slowness()
    samples = samples_of(history)
    for at, factor in samples:
        known.record(math.log(factor), at)
    end = samples[-1][0] + (60.0 if history == "a minute without requests" else 0.0)
    context.factor = known.factor(end)


def samples_of(history):
    """Return the times and factors of some requests."""
    numbers = [float(text) for text in re.findall(r"[\d.]+", history)]
    if "requests at" in history:
        count, factor, seconds = numbers
        return [(seconds * index / count, factor) for index in range(int(count))]
    if "drift" in history:
        return [(index / 10, 1.0 + 0.6 * index / 600) for index in range(600)]
    if "by turns" in history:
        return [(index / 10, 2.0 if index // 10 % 2 else 0.5) for index in range(600)]
    return [(index / 10, 1.5) for index in range(200)]


@behave.then("its factor is between {least:g} and {most:g}")
def step_check_factor(context, least, most):
    assert least <= round(context.factor, 3) <= most, context.factor


@behave.given(
    "an instance before a model upstream that reads slowly and one that makes tokens slowly"
)
def step_start_models(context):
    context.edges = room_builders.start_edges(1)
    context.edge = context.edges[0]
    room_builders.register_engines(context.edges, ["reader", "writer"])


@behave.when("{count:d} requests with prompts of {tokens:d} tokens are answered")
def step_answer(context, count, tokens):
    edge = context.edge
    prefill_s = {"reader": 0.2, "writer": 0.1}
    steps_s = {"reader": 0.3, "writer": 0.6}
    for number in range(count):
        # The other one asks for a pause, so that both are asked in turn.
        room_builders.ask_for_pause(edge, ("reader", "writer")[number % 2], 0.05)
        outcome = room_builders.begin(edge, tokens)
        name = edge_simulation.dispatched_upstream(outcome)
        edge.now += prefill_s[name]
        edge.resume_request(outcome.request_id, builders.a_head(outcome.request_id))
        edge.now += steps_s[name]
        edge.finish_request(outcome.request_id)


@behave.then("the first is known to read slowly and the second to make tokens slowly")
def step_check_kinds(context):
    known = context.edge.decisions.registry.by_name
    for kind, slow, fast in (
        (slowness.Work.PREFILL, "reader", "writer"),
        (slowness.Work.STEPS, "writer", "reader"),
    ):
        factors = [known[name].slowness[kind].factor(context.edge.now) for name in (slow, fast)]
        assert factors[0] > 1.15 * factors[1], (kind, factors)


@behave.then("the log tells how slow the chosen one is")
def step_check_logged_factor(context):
    outcome = room_builders.begin(context.edge, 6000)
    placed = context.edge.decisions.in_flight.contexts[outcome.request_id].placement_inputs
    assert placed.log_fields()["work_factor"] != 1.0, placed


@behave.when("the first upstream starts again")
def step_restart_first(context):
    for edge in context.edges:
        edge.register_upstream("u0", capacity=uneven_upstreams.SLOTS, born=2)


@behave.then("all instances take the first upstream for one of usual speed")
def step_check_usual(context):
    for edge in context.edges:
        known = edge.decisions.registry.by_name
        factors = [known[n].slowness[slowness.Work.WHOLE].factor(edge.now) for n in ("u0", "u1")]
        assert factors[0] == 1.0 and factors[1] > 1.1, factors
