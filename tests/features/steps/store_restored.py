"""Steps about a store that comes back from an older copy, in virtual time."""

from __future__ import annotations

import behave

from tests import platform_builders
from yuccahitch.controllers.members import fleet

UPSTREAM_KEY = "servers/u1"
EVACUATION_KEY = "op/evacuate/"
# Time until a change of the store is known to all instances, in seconds.
KNOWN_S = 0.5


@behave.given("{count:d} running instances of a zone, and a copy of the store")
def step_start_zone_and_copy(context, count):
    context.execute_steps(f"Given {count} running instances of a zone")
    context.site.copy()


@behave.given("a copy of the store")
def step_copy(context):
    context.site.copy()


@behave.when("the store comes back from the copy")
def step_restore(context):
    context.site.restore()


@behave.when("many writes follow before anyone asks when the store comes back from the copy")
def step_restore_and_write(context):
    context.site.restore()
    for number in range(30):
        context.site.write(f"other/{number}", b"x")


@behave.when("one reader dies when the store comes back from the copy")
@behave.when("all readers die when the store comes back from the copy")
@behave.when("all datagrams of the readers are lost when the store comes back from the copy")
@behave.when("a third of all datagrams is lost when the store comes back from the copy")
@behave.when("one reader is cut off from the store when the store comes back from the copy")
@behave.when("a new instance starts when the store comes back from the copy")
def step_restore_beside_trouble(context):
    trouble = context.active_outline["trouble"]
    context.site.restore()
    context.execute_steps(f"When {trouble}")


@behave.then(
    "after {seconds:g} seconds configuration {version:d} is in force at every instance that "
    "reaches the store"
)
def step_check_reaching(context, seconds, version):
    context.site.run(seconds)
    versions = {
        name: edge.decisions.config.current.version
        for name, edge in context.site.edges.items()
        if name not in context.site.cut
    }
    assert len(versions) >= 4 and set(versions.values()) == {version}, versions


@behave.then("the zone makes at most {count:d} calls in the next {seconds:g} seconds")
def step_check_calls(context, count, seconds):
    before = context.site.calls
    context.site.run(seconds)
    assert context.site.calls - before <= count, context.site.calls - before


def register(context, **fields):
    registration = platform_builders.a_registration(**fields)
    context.site.write(UPSTREAM_KEY, platform_builders.to_bytes(registration))


@behave.when("the upstream u1 registers, with the zone running on")
def step_register(context):
    register(context, sequence=1)
    context.site.run(KNOWN_S)


@behave.when("the upstream u1 {change} and {seconds:g} seconds pass")
def step_change_upstream(context, change, seconds):
    if change == "is deleted":
        context.site.write(UPSTREAM_KEY, None)
    elif change == "says that it is leaving":
        register(context, sequence=9, state="draining")
    else:
        register(context, sequence=1, born=2, address="127.0.0.1:2", state="draining")
    context.site.run(seconds)


@behave.when("the entry of the upstream u1 lapses after {seconds:g} seconds")
def step_lapse(context, seconds):
    context.site.run(seconds)
    context.site.write(UPSTREAM_KEY, None)


@behave.then("no instance uses the upstream u1")
def step_check_unused(context):
    using = [
        name
        for name, edge in context.site.edges.items()
        if edge.decisions.registry.usable("desk", context.site.now)
    ]
    assert not using, using


@behave.given("the zone {zone} is evacuated, with the zone running on")
@behave.when("the zone {zone} is evacuated, with the zone running on")
def step_evacuate(context, zone):
    context.site.write(EVACUATION_KEY + zone, b"{}")
    context.site.run(KNOWN_S)


@behave.when("the evacuation of the zone {zone} is taken back, with the zone running on")
def step_take_back(context, zone):
    context.site.write(EVACUATION_KEY + zone, None)
    context.site.run(KNOWN_S)


def holding(context, zone):
    return [
        name for name, edge in context.site.edges.items() if zone in edge.decisions.config.evacuated
    ]


@behave.then("every instance holds the zone {zone} for evacuated")
def step_check_evacuated(context, zone):
    assert len(holding(context, zone)) == len(context.site.edges)


@behave.then("no instance holds the zone {zone} for evacuated")
def step_check_not_evacuated(context, zone):
    assert not holding(context, zone)


@behave.when("instance 2 dies")
def step_kill_second(context):
    context.site.kill("edge-2")


@behave.when("instance 2 starts again")
def step_start_second(context):
    context.site.start("edge-2")


@behave.when("instance 2 shuts down and is gone for {seconds:g} seconds")
def step_stop_second(context, seconds):
    context.site.edges["edge-2"].decisions.begin_drain(context.site.now)
    context.site.run(1.0)
    context.site.kill("edge-2")
    context.site.run(seconds)


@behave.then("no instance names instance 2 to callers")
def step_check_not_named(context):
    for edge in context.site.edges.values():
        infos = edge.decisions.members.serving_instances(context.site.now, region="east")
        assert not [info for info in infos if info.instance.startswith("edge-2~")], infos


@behave.then("every instance knows the present start of every other one")
def step_check_members(context):
    present = {edge.decisions.instance for edge in context.site.edges.values()}
    for edge in context.site.edges.values():
        known = set(edge.decisions.members.members) | {edge.decisions.instance}
        assert known == present, (known, present)


@behave.when("all leases that nobody renews end")
def step_end_leases(context):
    held = {edge.decisions.members.lease for edge in context.site.edges.values()}
    for lease in [lease for lease in context.site.leases if lease not in held]:
        context.site.end_lease(lease)
    context.site.run(KNOWN_S)


@behave.then("the store lists every instance under its present start")
def step_check_entries(context):
    present = {edge.decisions.instance for edge in context.site.edges.values()}
    values = [
        item.value.decode()
        for key, item in context.site.items.items()
        if key.startswith(fleet.PREFIX)
    ]
    missing = [name for name in present if not any(name in value for value in values)]
    assert not missing, missing


@behave.then("the store lists all other instances")
def step_check_others(context):
    leaving = context.readers[0]
    expected = set(context.site.edges) - {leaving}
    assert context.site.listed() >= expected, (context.site.listed(), expected)
