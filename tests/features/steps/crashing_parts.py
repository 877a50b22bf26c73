"""Steps about prompt parts that crash upstreams, in virtual time."""

from __future__ import annotations

import behave

from tests import crash_simulation, edge_simulation, platform_builders

# First parts of prompts; requests with a crashing part have one of them too.
FIRST_PARTS = tuple(f"first{number}" for number in range(6))


@behave.given("instances in {regions} and requests of which {share:g} hold a part of {crashing}")
def step_start_site(context, regions, share, crashing):
    context.crashing = crashing.split(", ")
    context.share = share
    context.site = crash_simulation.CrashSite(regions.split(", "), deadly_parts=context.crashing)
    context.edges = list(context.site.edges.values())
    context.site.run(1.0)


@behave.when("callers send {rate:d} requests a second for {seconds:d} seconds")
def step_send_requests(context, rate, seconds):
    site = context.site
    for _ in range(rate * seconds):
        edge = site.rng.choice(context.edges)
        first_part = site.rng.choice(FIRST_PARTS)
        if site.rng.random() < context.share:
            site.send(edge, "crashing", (first_part, site.rng.choice(context.crashing)))
        else:
            site.send(edge, "sound", (first_part,))
        site.run(1 / rate)


@behave.when("the first instance is restarted")
def step_restart_first(context):
    site = context.site
    old = context.edges[0]
    site.edges.pop(old.decisions.instance)
    new = platform_builders.EdgeUnderTest("edge-0", now=old.now)
    new.publish(platform_builders.a_publication())
    for name in site.running:
        new.register_upstream(name, service="model", zone="east-a", capacity=64)
    site.edges[new.decisions.instance] = new
    context.edges[0] = new
    edge_simulation.discover_all(context.edges)


@behave.then("at most {count:d} crashing requests are sent later than {seconds:d} seconds {when}")
def step_check_crashing_sends(context, count, seconds, when):
    for part, crash_times in context.site.crash_times.items():
        assert crash_times, part
        fifth_or_last = crash_times[:5][-1]
        sends = [t for t in context.site.deadly_sends[part] if t > fifth_or_last + seconds]
        assert len(sends) <= count, (part, len(sends), len(crash_times))


@behave.then("sound requests with the same first part begin at least half as often as before")
def step_check_sound_requests(context):
    steady_from = max(times[:5][-1] for times in context.site.crash_times.values()) + 10
    sound = [
        began
        for time, tag, began in context.site.first_attempts
        if tag == "sound" and time > steady_from
    ]
    refused = [t for t, tag, _ in context.site.refusals if tag == "sound" and t > steady_from]
    assert len(sound) > 20
    assert sum(sound) >= 0.5 * (len(sound) + len(refused)), (sum(sound), len(sound), len(refused))
