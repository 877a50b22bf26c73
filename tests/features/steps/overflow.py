"""Steps about requests that overflow to another region, in virtual time."""

from __future__ import annotations

import behave

from tests import edge_simulation, overflow_builders

BUDGET_BYTES_PER_S = overflow_builders.LINK_SHARE * overflow_builders.LINK_BYTES_PER_S
# Time over which each instance may save its part of the budget, in seconds.
SAVED_S = 1.0
FULL_S = 60.0


def start_full_east(context, instances, **options):
    """Start instances in two regions; the upstreams of east have twice as much work as slots."""
    site = context.site = overflow_builders.OverflowSite(
        instances=instances, upstreams=10, **options
    )
    site.fill("east", 2 * 10 * overflow_builders.SLOTS, seconds=FULL_S)
    site.advance(0.5)


@behave.given("{instances:d} instances in each of two regions, of which east is full")
def step_start_full(context, instances):
    start_full_east(context, instances)


@behave.given(
    "{instances:d} instances in each of two regions without a budget, of which east is full"
)
def step_start_unbounded(context, instances):
    start_full_east(context, instances, link_share=0.0)


@behave.given(
    "{instances:d} instances in each of two regions, of which east is full "
    "and west has {free:d} free places"
)
def step_start_nearly_full(context, instances, free):
    start_full_east(context, instances, link_share=0.0)
    context.former = context.site
    start_full_east(context, instances)
    for site in (context.site, context.former):
        site.fill("west", 10 * overflow_builders.SLOTS - free, seconds=FULL_S)
        site.advance(0.5)


@behave.given(
    "{instances:d} instances in each of two regions with as many upstreams as one needs on average"
)
def step_start_even(context, instances):
    context.site, context.former = (
        overflow_builders.OverflowSite(instances=instances, upstreams=3) for _ in range(2)
    )
    context.former.cut = True
    context.former.advance(5.0)


@behave.when(
    "callers of {region} send {rate:d} requests a second of {size:d} bytes for {seconds:d} seconds"
)
def step_send(context, region, rate, size, seconds):
    for _ in range(rate * seconds):
        context.site.send(region, body_bytes=size)
        context.site.advance(1 / rate)


@behave.when("callers of east send short and long requests by turns for 6 seconds")
def step_send_mixed(context):
    context.sent = {2_000: 0, 100_000: 0}
    context.forwarded = dict(context.sent)
    for number in range(6 * 200):
        size = 2_000 if number % 2 else 100_000
        context.sent[size] += 1
        context.forwarded[size] += context.site.send("east", body_bytes=size)
        context.site.advance(1 / 200)


@behave.then("the share of forwarded short requests is at least twice that of long ones")
def step_check_short(context):
    shares = {size: context.forwarded[size] / sent for size, sent in context.sent.items()}
    assert shares[2_000] > 0 and shares[2_000] >= 2 * shares[100_000], shares


@behave.then("requests are forwarded")
def step_check_forwarded(context):
    assert context.site.forwards


def max_bytes_in_second(site, region):
    """Return the most bytes that a region's forwards take in any second."""
    sizes = [(forward.at, forward.size) for forward in site.forwards if forward.region == region]
    return edge_simulation.max_weight_in_window(sizes, 1.0)


@behave.then("in any second they take at most the budget of the link and what was saved")
def step_check_budget(context):
    most = {region: max_bytes_in_second(context.site, region) for region in ("east", "west")}
    largest = max(forward.size for forward in context.site.forwards)
    bound = BUDGET_BYTES_PER_S * (1 + SAVED_S) + len(context.site.edges["east"]) * largest
    assert max(most.values()) <= bound, (most, bound)


@behave.then("in some second they take more than the budget of the link and what was saved")
def step_check_over_budget(context):
    most = max_bytes_in_second(context.site, "east")
    assert most > BUDGET_BYTES_PER_S * (1 + SAVED_S), most


@behave.when("the budget of the link is used up")
def step_use_up(context):
    for edge in context.site.edges["east"]:
        remote = context.site.remotes[edge]
        remote.count_forward("west", "desk", edge.now, body_bytes=10_000_000)


@behave.then("a request of east for data of {home} is forwarded")
def step_check_is_forwarded(context, home):
    assert context.site.send("east", regions=frozenset((home,)))


@behave.then("a request of east for data of {home} is not forwarded")
def step_check_not_forwarded(context, home):
    regions = None if home == "any region" else frozenset((home,))
    assert not context.site.send("east", regions=regions)


@behave.when(
    "each region by turns gets {many:d} requests a second for {seconds:d} seconds, "
    "and the other {few:d}, {times:d} times"
)
def step_alternate(context, many, seconds, few, times):
    context.idle_forwards = 0
    for site in (context.site, context.former):
        for number in range(times):
            busy, idle = ("east", "west") if number % 2 == 0 else ("west", "east")
            for step in range(many * seconds):
                site.send(busy)
                if step % (many // few) == 0:
                    context.idle_forwards += site.send(idle)
                site.advance(1 / many)


@behave.then("requests of both regions are forwarded")
def step_check_both(context):
    assert {forward.region for forward in context.site.forwards} == {"east", "west"}
    assert not context.former.forwards


@behave.then("fewer requests wait than without forwards")
def step_check_queued(context):
    figures = context.site.queued, context.former.queued
    assert context.site.queued < context.former.queued, figures


@behave.then("at most a tenth of the forwards leave a region while it gets few requests")
def step_check_echo(context):
    figures = context.idle_forwards, len(context.site.forwards)
    assert context.idle_forwards <= 0.1 * len(context.site.forwards), figures


@behave.when("{count:d} requests arrive in east before the next report")
def step_send_at_once(context, count):
    for _ in range(count):
        context.site.send("east", body_bytes=100)
        context.former.send("east", body_bytes=100)


def count_running(site, region):
    """Return the requests that the upstreams of a region run and queue."""
    return sum(site.running[name] for name in site.upstreams[region])


@behave.then("some are forwarded, and west has no longer queues than east")
def step_check_balanced(context):
    site = context.site
    counts = count_running(site, "west"), count_running(site, "east")
    assert site.forwards and counts[0] <= counts[1], counts


@behave.then("without a budget west has longer ones")
def step_check_herd(context):
    former = context.former
    assert count_running(former, "west") > count_running(former, "east")


@behave.when("the link is cut for {seconds:d} seconds")
def step_cut(context, seconds):
    context.site.cut = True
    for _ in range(10 * seconds):
        context.site.advance(0.1)


@behave.then("once the link is back, a request of east is forwarded")
def step_check_back(context):
    context.site.cut = False
    context.site.advance(0.5)
    assert any(context.site.send("east") for _ in range(20))


@behave.when("an instance of east is silent for {seconds:d} seconds")
def step_silence(context, seconds):
    context.silent = context.site.edges["east"].pop()
    for _ in range(10 * seconds):
        context.site.advance(0.1)


@behave.then("the others still have a quarter of the budget each")
def step_check_parts(context):
    parts = [
        len(edge.decisions.members.rate_sharers(edge.now)) for edge in context.site.edges["east"]
    ]
    assert parts == [4, 4, 4], parts
