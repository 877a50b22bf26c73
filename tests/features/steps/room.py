"""Steps about the memory of engines, in virtual time."""

from __future__ import annotations

import behave

from tests import edge_simulation, room_builders
from yuccahitch import errors, events
from yuccahitch.messages import actions, commands
from yuccahitch.platform import upstreams

STEP_S = 3.0
STEP_PER_S = 1200
DRIFT_S = 20.0
DRIFT_PER_S = 300


def start(context, edges, names):
    """Keep the instances of a scenario, with the engines before the first region."""
    context.edges = edges
    context.edge = edges[0]
    context.outcomes = []
    room_builders.register_engines(edges, names)
    edge_simulation.discover_all(edges)


@behave.given("an instance before engine {name}")
@behave.given("an instance before engines {name} and {other}")
def step_start_instance(context, name, other=""):
    start(context, room_builders.start_edges(1), [n for n in (name, other) if n])


@behave.given("{count:d} instances before engine {name}")
def step_start_instances(context, count, name):
    start(context, room_builders.start_edges(count), [name])


@behave.given("an instance in each of two regions before engine {name}")
def step_start_regions(context, name):
    edges = [*room_builders.start_edges(1), *room_builders.start_edges(1, region="west")]
    room_builders.register_engines(edges, ["far"], region="west")
    start(context, edges, [name])


@behave.given("{count:d} instances before {engines:d} engines of {total:d} tokens")
def step_start_site(context, count, engines, total):
    context.site = room_builders.EngineSite(count, engines, total=total)
    context.edges = context.site.edges


@behave.when("{name} reports a memory of {total:d} tokens of which {used:d} are used")
def step_report_use(context, name, total, used):
    for edge in context.edges:
        room_builders.report_memory(edge, name, total=total, used=used)


@behave.when("{name} reports a memory of {total:d} tokens")
def step_report_size(context, name, total):
    step_report_use(context, name, total, 0)


@behave.then("the instance logs that it knows the size")
def step_check_logged(context):
    logged = take_log_events(context.edge)
    context.caused_events = {log_event.event.label for log_event in logged}
    (known,) = [e for e in logged if e.event is events.Event.UPSTREAM_MEMORY]
    assert known.fields["total_tokens"] == 100_000, known.fields


def take_log_events(edge):
    """Return what an instance has logged since the last call."""
    return [c for c in edge.decisions.take_commands(edge.now) if type(c) is commands.LogEvent]


@behave.when("{count:d} requests of {tokens:d} tokens are sent")
@behave.when("{count:d} request of {tokens:d} tokens is sent")
def step_send(context, count, tokens):
    context.outcomes = [room_builders.begin(context.edge, tokens) for _ in range(count)]


@behave.when(
    "{count:d} requests of {tokens:d} tokens with a shared part of {shared:d} tokens are sent"
)
def step_send_shared(context, count, tokens, shared):
    part = f"abc:{shared}"
    context.outcomes = [
        room_builders.begin(context.edge, tokens, shared=part) for _ in range(count)
    ]


@behave.when("the second instance sends {count:d} requests of {tokens:d} tokens")
def step_send_second(context, count, tokens):
    for _ in range(count):
        edge_simulation.advance_clocks(context.edges, 1.0)
        edge_simulation.exchange_pulses(context.edges)
        outcome = room_builders.begin(context.edges[1], tokens)
        assert edge_simulation.dispatched_upstream(outcome), outcome


@behave.when("{count:d} requests of {tokens:d} tokens are sent, {gap:g} seconds apart")
def step_send_apart(context, count, tokens, gap):
    for _ in range(count):
        step_pass(context, gap)
        context.edge.finish_request(room_builders.begin(context.edge, tokens).request_id)


@behave.then("at most {count:d} of them are remembered as unheard")
def step_check_unheard(context, count):
    (replica,) = context.edge.decisions.registry.by_name.values()
    assert len(replica.memory.unheard.placed) <= count, len(replica.memory.unheard.placed)


@behave.when("pulses are exchanged")
def step_exchange(context):
    edge_simulation.exchange_pulses(context.edges)


@behave.when("the second instance dies and {seconds:g} seconds pass")
def step_die(context, seconds):
    del context.edges[1:]
    step_pass(context, seconds)


@behave.when("nothing is told for {seconds:g} seconds")
def step_pass(context, seconds):
    edge_simulation.advance_clocks(context.edges, seconds)


@behave.when("the requests end")
def step_end(context):
    for outcome in context.outcomes:
        context.edge.finish_request(outcome.request_id)


@behave.when("engine {name} starts again")
def step_start_again(context, name):
    born = context.edge.decisions.registry.by_name[name].upstream.born_ms + 1
    room_builders.register_engines(context.edges, [name], born=born)


@behave.then("{count:d} of them are sent to engines")
@behave.then("{count:d} of them is sent to engines")
def step_check_sent(context, count):
    sent = [edge_simulation.dispatched_upstream(outcome) for outcome in context.outcomes]
    assert sum(map(bool, sent)) == count, sent


@behave.then("all of them are sent to {name}")
def step_check_all_sent(context, name):
    sent = [edge_simulation.dispatched_upstream(outcome) for outcome in context.outcomes]
    assert set(sent) == {name}, sent


@behave.then("the others are refused as {code} and return at {times:d} times within 2 seconds")
def step_check_refused(context, code, times):
    refused = [error for o in context.outcomes if (error := room_builders.refusal(o))]
    assert {(e.code.wire, e.code.status, e.run) for e in refused} == {
        (code, 503, errors.RunStatus.NOT_RUN)
    }
    # Callers spread over the time in which engines get room: by the last ones it grows.
    waits_s = [error.retry_after for error in refused]
    assert len(set(waits_s)) >= times * 0.8 and 0 < min(waits_s) <= max(waits_s) <= 2.0, waits_s


@behave.then(
    "the refusal is logged with {usable:d} usable upstream, "
    "{full:d} without memory and {needed:d} tokens needed"
)
def step_check_inputs(context, usable, full, needed):
    for outcome in context.outcomes:
        error = room_builders.refusal(outcome)
        if error is not None:
            context.edge.finish_request(outcome.request_id, succeeded=False, error=error)
    (refused,) = [
        e for e in take_log_events(context.edge) if e.event is events.Event.REQUEST_REFUSED
    ]
    told = tuple(refused.fields[n] for n in ("usable", "without_memory", "memory_needed"))
    assert told == (usable, full, needed), refused.fields


@behave.then("at most {count:d} of them are sent to engines, the others to {region}")
def step_check_forwarded(context, count, region):
    others = [o for o in context.outcomes if not edge_simulation.dispatched_upstream(o)]
    assert len(context.outcomes) - len(others) <= count
    works = [outcome.action.work for outcome in others]
    assert works and all(type(work) is actions.Forward for work in works), works
    assert all(work.instance.startswith(region) for work in works), works


@behave.then("its pulse tells {places:d} places for the model")
def step_check_places(context, places):
    edge = context.edge
    offered = edge.decisions.config.current.services.values()
    (room,) = edge.decisions.balancer.rooms(offered, edge.now)
    assert room.places == places, room


@behave.when("requests of {small:d} and {large:d} tokens come in a step")
def step_load_step(context, small, large):
    send_at_rates(context.site, [STEP_PER_S] * int(STEP_S), (small, large))


@behave.when("requests of {small:d} and {large:d} tokens come in a slow drift")
def step_load_drift(context, small, large):
    rates = [round(DRIFT_PER_S * (second + 1) / DRIFT_S) for second in range(int(DRIFT_S))]
    send_at_rates(context.site, rates, (small, large))


def send_at_rates(site, rates, sizes):
    """Send requests at a rate for each second, three small ones for each large one."""
    small, large = sizes
    for rate in rates:
        for number in range(rate):
            site.run_until(site.now + 1 / rate)
            site.send(large if number % 4 == 0 else small)


@behave.then("no engine held more than {total:d} tokens")
def step_check_peak(context, total):
    site = context.site
    assert site.refused and site.placed, (site.placed, site.refused)
    assert max(site.peak.values()) <= total, site.peak


@behave.then("the engines held at least {share:g} of their memory at the peak")
def step_check_use(context, share):
    site = context.site
    total = site.edges[0].decisions.registry.by_name["g0"].memory.total_tokens
    shares = [site.peak[name] / total for name in site.names]
    assert min(shares) >= share, shares


@behave.when("an engine reports {body}")
def step_decode(context, body):
    context.report = upstreams.decode_memory(200, body.encode())


@behave.then("its memory is {result}")
def step_check_decoded(context, result):
    report = context.report
    text = "not known" if report is None else f"{report.total_tokens}, {report.used_tokens}"
    assert text == result, text
