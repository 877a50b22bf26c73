"""Steps about the news that an upstream leaves, in virtual time."""

from __future__ import annotations

import functools
import itertools

import behave

from fakes import fleet as fleets
from tests import builders
from yuccahitch.messages import peers

HISTORIES = 20
REGIONS = ("muscat-a", "sohar-a", "salalah-a")
UPSTREAM = "ice-muscat-a-0"
CUT_S = 0.5


def settled(seed):
    """Return a fleet whose instances of one region are in different zones."""
    fleet = fleets.Fleet(seed, make_settings=builders.quick_settings)
    fleet.net.store_region = REGIONS[0]
    for number, region in itertools.product((1, 2, 3), REGIONS):
        fleet.add(f"{region}-{number}", region, f"{region}{number}")
    fleet.load([builders.an_entry(spec) for spec in builders.a_site(regions=REGIONS)])
    fleet.run(8.0)
    return fleet


@behave.given("a settled fleet of 3 regions with an instance in each of 3 zones")
def step_fleet(context):
    context.fleets = [settled(seed) for seed in range(HISTORIES)]


@behave.when("the load report that an upstream leaves reaches one instance {how}")
def step_leaves(context, how):
    load = peers.LoadReport(
        upstream=UPSTREAM, running=0, waiting=0, sequence=900, leaving=True, age_ms=0
    )
    for fleet in context.fleets:
        first = next(item for item in fleet.alive() if item.region == REGIONS[0])
        if "lost" in how:
            fleet.net.loss = 1.0
            fleet.clock.schedule_after(CUT_S, functools.partial(setattr, fleet.net, "loss", 0.0))
        fleet.run_on(
            first, lambda now, item=first: item.decisions.upstream_states.record_report(load, now)
        )


@behave.when("{seconds:g} seconds of virtual time pass")
def step_pass(context, seconds):
    for fleet in context.fleets:
        fleet.run(seconds)


@behave.then("every instance of the region gives it no new work, in each of 20 histories")
def step_known(context):
    missed = [
        (seed, item.name)
        for seed, fleet in enumerate(context.fleets)
        for item in fleet.alive()
        if item.region == REGIONS[0] and not leaving(fleet, item)
    ]
    assert not missed, f"{len(missed)} of {3 * HISTORIES} were not told: {missed[:5]}"


def leaving(fleet, item):
    """Return whether an instance knows that the upstream leaves."""
    spec = item.decisions.config.catalog.upstream(UPSTREAM)
    return item.decisions.upstream_states.is_leaving(spec, item.local_time(fleet.now))
