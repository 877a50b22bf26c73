"""Steps for what instances know of each other, in virtual time."""

from __future__ import annotations

import collections

import behave

from fakes import fleet as fleets
from tests import builders
from yuccahitch import events
from yuccahitch.controllers.rates import electorate

REGION = "muscat-a"
SETTLE_S = 8.0


def make_fleet(seed, size, lost_after_beats):
    """Return a settled fleet of one zone."""

    def make_settings(name, region, zone):
        return builders.quick_settings(name, region, zone, lost_after_beats=lost_after_beats)

    fleet = fleets.Fleet(seed, make_settings=make_settings)
    for number in range(size):
        fleet.add(f"{REGION}-{number + 1}", REGION)
    fleet.load([builders.an_entry(spec) for spec in builders.a_site(regions=(REGION,))])
    fleet.run(SETTLE_S)
    return fleet


@behave.given(
    "{count:d} settled fleets of {size:d} instances in a zone, which are lost after {beats:d} "
    "heartbeats"
)
def step_start_fleets(context, count, size, beats):
    context.fleets = [make_fleet(seed, size, beats) for seed in range(count)]


@behave.then("no instance was taken for lost")
def step_check_losses(context):
    losses = [
        (seed, round(at, 2), instance, event.fields["member"])
        for seed, fleet in enumerate(context.fleets)
        for at, instance, event in fleet.log_events
        if event.event is events.Event.MEMBER_LOST and at >= SETTLE_S
    ]
    assert not losses, f"{len(losses)} losses: {losses[:5]}"


@behave.when("the last {count:d} instances of each end {seconds:g} seconds apart")
def step_end_instances(context, count, seconds):
    context.electorate_writes = [collections.Counter() for _ in context.fleets]
    for fleet, writes in zip(context.fleets, context.electorate_writes, strict=True):
        fleet.store.listeners.append(
            lambda key, item, revision, writes=writes: writes.update([key])
        )
        for instance in fleet.alive()[-count:]:
            fleet.kill(instance)
            fleet.run(seconds)


@behave.then("each of the others wrote its electorate once, and it consists of them")
def step_check_electorates(context):
    for seed, fleet in enumerate(context.fleets):
        names = tuple(sorted(instance.name for instance in fleet.alive()))
        writes = context.electorate_writes[seed]
        counts = [writes[electorate.PREFIX + name] for name in names]
        electorates = {item.decisions.store_session.electorate.members for item in fleet.alive()}
        assert counts == [1] * len(names), (seed, counts)
        assert electorates == {names}, (seed, electorates)
