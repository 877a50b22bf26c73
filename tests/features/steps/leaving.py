"""Steps for the spread of a report that an upstream is leaving, in virtual time."""

from __future__ import annotations

import functools
import itertools

import behave

from fakes import fleet as fleets
from tests import builders
from yuccahitch.messages import peers

HISTORY_COUNT = 20  # one fleet with a seed of its own for each
REGIONS = ("muscat-a", "sohar-a", "salalah-a")
UPSTREAM = "ice-muscat-a-0"
LOSS_DURATION_S = 0.5  # from the arrival of the load report


def settled_fleet(seed):
    """Return a fleet after its start, with the instances of each region in different zones."""
    fleet = fleets.Fleet(seed, make_settings=builders.quick_settings)
    fleet.net.store_region = REGIONS[0]
    for number, region in itertools.product((1, 2, 3), REGIONS):
        fleet.add(f"{region}-{number}", region, f"{region}{number}")
    fleet.load([builders.an_entry(spec) for spec in builders.a_site(regions=REGIONS)])
    fleet.run(8.0)
    return fleet


@behave.given("a settled fleet of 3 regions with an instance in each of 3 zones")
def step_start_settled_fleets(context):
    context.fleets = [settled_fleet(seed) for seed in range(HISTORY_COUNT)]


@behave.when("the load report that an upstream is leaving reaches one instance {network_state}")
def step_report_leaving(context, network_state):
    load_report = peers.LoadReport(
        upstream=UPSTREAM, running=0, waiting=0, sequence=900, leaving=True, age_ms=0
    )
    for fleet in context.fleets:
        receiver = next(instance for instance in fleet.alive() if instance.region == REGIONS[0])
        if "lost" in network_state:
            fleet.net.loss = 1.0
            fleet.clock.schedule_after(
                LOSS_DURATION_S, functools.partial(setattr, fleet.net, "loss", 0.0)
            )
        fleet.run_on(
            receiver,
            lambda now, instance=receiver: instance.decisions.upstream_states.record_report(
                load_report, now
            ),
        )


@behave.when("{seconds:g} seconds of virtual time pass")
def step_run_seconds(context, seconds):
    for fleet in context.fleets:
        fleet.run(seconds)


@behave.then("every instance of the region treats the upstream as leaving, in each of 20 histories")
def step_region_knows(context):
    unaware_instances = [
        (seed, instance.name)
        for seed, fleet in enumerate(context.fleets)
        for instance in fleet.alive()
        if instance.region == REGIONS[0] and not knows_leaving(fleet, instance)
    ]
    assert (
        not unaware_instances
    ), f"{len(unaware_instances)} of {3 * HISTORY_COUNT} are unaware: {unaware_instances[:5]}"


def knows_leaving(fleet, instance):
    """Return whether an instance knows that the upstream is leaving."""
    spec = instance.decisions.config.catalog.upstream(UPSTREAM)
    return instance.decisions.upstream_states.is_leaving(spec, instance.local_time(fleet.now))


@behave.given("{count:d} fleets of 3 regions with 2 instances each that start together")
def step_start_fleets(context, count):
    context.fleets = []
    for seed in range(count):
        fleet = fleets.Fleet(seed, make_settings=builders.quick_settings)
        fleet.net.store_region = REGIONS[0]
        for number, region in itertools.product((1, 2), REGIONS):
            fleet.add(f"{region}-{number}", region, f"{region}{number}")
        fleet.load([builders.an_entry(spec) for spec in builders.a_site(regions=REGIONS)])
        context.fleets.append(fleet)


@behave.when("all instances are ready and {seconds:g} seconds of virtual time pass")
def step_wait_until_ready(context, seconds):
    for fleet in context.fleets:
        while not all(instance.decisions.members.own.ready for instance in fleet.alive()):
            fleet.run(0.1)
        fleet.run(seconds)


@behave.then("every instance knows a serving instance of each region, in each of 20 histories")
def step_regions_known(context):
    unaware = [
        (seed, instance.name, region)
        for seed, fleet in enumerate(context.fleets)
        for instance in fleet.alive()
        for region in REGIONS
        if not instance.decisions.members.serving(region=region)
    ]
    assert not unaware, unaware[:5]
