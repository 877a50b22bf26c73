"""Steps for the instances of a zone that tell each other of the store's changes."""

from __future__ import annotations

import math

import behave

from tests import platform_builders, zone_simulation
from yuccahitch.codecs import datagrams
from yuccahitch.controllers.members import clock_differences
from yuccahitch.messages import feeds, store

SETTLE_S = 5.0
DAY_S = 86_400
UPSTREAM_KEY = "servers/u1"


@behave.given("{count:d} running instances of a zone")
def step_start_zone(context, count):
    context.site = zone_simulation.Site(count)
    context.site.run(SETTLE_S)
    context.readers = context.site.readers()
    context.caused_events = context.site.logged


@behave.given("{count:d} running instances of another site")
def step_start_other_site(context, count):
    context.other_site = zone_simulation.Site(count)
    context.other_site.run(SETTLE_S)


@behave.when("{seconds:g} seconds pass at both sites")
def step_run_both(context, seconds):
    for site in (context.site, context.other_site):
        site.run(seconds)


@behave.when("the zone runs for {seconds:g} seconds")
def step_run_zone(context, seconds):
    context.site.run(seconds)


@behave.then("{count:d} instances watch the store at each site")
def step_check_readers_of_both(context, count):
    for site in (context.site, context.other_site):
        assert len(site.readers()) == count, site.readers()


@behave.then("{count:d} instances watch the store")
def step_check_readers(context, count):
    assert len(context.site.readers()) == count, context.site.readers()


@behave.then("both make as many calls in {seconds:d} s of changes, but for lease renewals")
def step_compare_calls(context, seconds):
    counts = []
    for site in (context.site, context.other_site):
        lease_s = site.edges["edge-1"].decisions.members.lease_s
        before = site.calls
        for number in range(seconds):
            registration = platform_builders.a_registration(capacity=number + 1)
            site.write(UPSTREAM_KEY, platform_builders.to_bytes(registration))
            site.run(1.0)
        renewals = len(site.edges) * seconds / (lease_s / 3)
        counts.append(site.calls - before - renewals)
    assert abs(counts[0] - counts[1]) <= 2, counts


@behave.when("configuration {version:d} is written")
def step_publish(context, version):
    context.site.publish(version)


@behave.when("configuration {version:d} of {size:d} bytes is written")
def step_publish_large(context, version, size):
    context.site.publish(version, padding=size)


@behave.when("configurations 2 to {last:d} are written {interval:g} seconds apart")
def step_publish_many(context, last, interval):
    for version in range(2, last + 1):
        context.site.publish(version)
        context.site.run(interval)


def step_config_in_force(context, seconds, version, names):
    context.site.run(seconds)
    behind = [
        name
        for name in names
        if context.site.edges[name].decisions.config.current.version != version
    ]
    assert not behind, behind


@behave.then("after {seconds:g} seconds configuration {version:d} is in force at every instance")
def step_config_in_force_everywhere(context, seconds, version):
    step_config_in_force(context, seconds, version, context.site.edges)


@behave.then(
    "after {seconds:g} seconds configuration {version:d} is in force at every instance that can "
    "know it"
)
def step_config_in_force_where_known(context, seconds, version):
    unreached = context.site.cut | context.site.muted
    names = [name for name in context.site.edges if name not in unreached]
    assert len(names) >= 10, names
    step_config_in_force(context, seconds, version, names)


@behave.then("no instance had an older configuration in force after a newer one")
def step_versions_grow(context):
    for name, versions in context.site.versions.items():
        assert versions == sorted(versions), (name, versions)


@behave.when("one reader dies")
def step_kill_reader(context):
    context.site.kill(context.readers[0])


@behave.when("all readers die")
def step_kill_readers(context):
    for name in context.readers:
        context.site.kill(name)


@behave.when("one reader is cut off from the store")
def step_cut_reader(context):
    context.site.cut.add(context.readers[0])


@behave.when("all readers are cut off from the store")
def step_cut_readers(context):
    context.site.cut.update(context.readers)


@behave.when("all watches of the readers get no replies")
def step_mute_readers(context):
    context.site.muted.update(context.readers)


@behave.when("all datagrams of the readers are lost")
def step_drop_datagrams(context):
    context.site.dropped.update(context.site.edges)


@behave.when("datagrams arrive again")
def step_restore_datagrams(context):
    context.site.dropped.clear()


@behave.given("a third of all datagrams is lost")
@behave.when("a third of all datagrams is lost")
def step_lose_datagrams(context):
    context.site.loss = 1 / 3


@behave.when("one reader begins to shut down")
def step_drain_reader(context):
    context.site.edges[context.readers[0]].decisions.begin_drain(context.site.now)


@behave.when("a new instance starts")
def step_start_instance(context):
    context.site.start("edge-new")


@behave.when("the store forgets its history")
def step_forget_history(context):
    context.site.oldest_revision = context.site.revision


@behave.then("the log has {names}")
def step_check_logged(context, names):
    missing = set(names.split(" and ")) - context.site.logged
    assert not missing, (missing, context.site.logged)


@behave.when("instance 1 gets a report of configuration 2 from {sender}")
def step_receive_foreign_report(context, sender):
    edge = context.site.edges["edge-1"]
    instances = {
        "an instance that it does not know": "edge-9~00",
        "a former incarnation of instance 2": "edge-2~00",
        "an instance of another zone": "edge-b~1",
    }
    other = platform_builders.EdgeUnderTest(
        "edge-b", zone="east-b", now=edge.now
    ).decisions.members.own
    other.instance = "edge-b~1"
    edge.decisions.members.apply_change(
        "edge-b", edge.store_item("edge-b", other.as_dict()), edge.now
    )
    context.dropped_before = edge.decisions.relay.dropped
    known = edge.decisions.feed.revision
    value = platform_builders.to_bytes(platform_builders.a_publication(2))
    item = store.KeyValue(key=zone_simulation.CONFIG_KEY, value=value, revision=known + 1)
    change = store.KeyChange(item.key, item, revision=item.revision)
    news = feeds.StoreChanges(after=known, revision=known + 1, changes=[change])
    report = feeds.FeedReport(instances[sender], revision=known + 1, age_s=0.0, news=news)
    edge.decisions.on_report(datagrams.decode(datagrams.encode(report)), edge.now)


@behave.then("configuration 1 is in force at instance 1")
def step_first_config_in_force(context):
    assert context.site.edges["edge-1"].decisions.config.current.version == 1


@behave.then("the report is counted as dropped")
def step_report_dropped(context):
    assert context.site.edges["edge-1"].decisions.relay.dropped == context.dropped_before + 1


@behave.given("the upstream u1 is registered")
def step_register(context):
    context.site.write(UPSTREAM_KEY, platform_builders.to_bytes(platform_builders.a_registration()))
    context.site.run(1.0)
    step_upstream_known(context)


@behave.when("instance 3 dies")
def step_kill_third(context):
    context.site.kill("edge-3")


@behave.when("instance 3 starts again")
def step_restart_third(context):
    context.site.start("edge-3")


@behave.when("the entry of the upstream u1 is deleted")
def step_delete_upstream(context):
    context.site.write(UPSTREAM_KEY, None)


@behave.when(
    "the upstream u1 registers and leaves {count:d} times in quick succession and registers again"
)
def step_register_often(context, count):
    for _ in range(count):
        step_register_once(context)
        step_delete_upstream(context)
        context.site.run(zone_simulation.STEP_S)
    step_register_once(context)


def step_register_once(context):
    context.site.write(UPSTREAM_KEY, platform_builders.to_bytes(platform_builders.a_registration()))
    context.site.run(zone_simulation.STEP_S)


@behave.then("every instance knows the upstream u1")
def step_upstream_known(context):
    missing = [
        name
        for name, edge in context.site.edges.items()
        if not edge.decisions.registry.usable("desk", context.site.now)
    ]
    assert not missing, missing


@behave.then("no instance knows the upstream u1")
def step_upstream_unknown(context):
    knowing = [
        name for name, edge in context.site.edges.items() if "u1" in edge.decisions.registry.by_name
    ]
    assert not knowing, knowing


@behave.given("a sender whose clock goes {seconds:d} seconds {way:w} in a day")
def step_drifting_sender(context, seconds, way):
    context.rate = 1 + (seconds if way == "fast" else -seconds) / DAY_S
    context.clocks = clock_differences.ClockDifferences()


@behave.when("it reports every 10 seconds for a day, and one report in 50 is 3 seconds late")
def step_report_for_a_day(context):
    context.errors_s = []
    for number in range(1, DAY_S // 10):
        sent_at = 10.0 * number
        arrived_at = sent_at + (3.0 if number % 50 == 0 else 0.02)
        told = context.clocks.own_time("edge-2~1", 500 + sent_at * context.rate, arrived_at)
        context.errors_s.append(abs(told - sent_at))


@behave.then("the time of each report is told within {seconds:g} seconds")
def step_check_times(context, seconds):
    assert max(context.errors_s) <= seconds, max(context.errors_s)


@behave.then("a report of it without a time counts as of no time")
def step_check_no_time(context):
    assert context.clocks.own_time("edge-2~1", -math.inf, 1000.0) == -math.inf
