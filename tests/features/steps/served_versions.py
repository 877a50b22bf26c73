"""Steps about the record of the software versions that may have begun open streams."""

from __future__ import annotations

import collections
import time

import behave

from tests import platform_builders, stream_builders, stream_simulation, zone_simulation
from yuccahitch import clock
from yuccahitch.controllers.members import rendezvous
from yuccahitch.controllers.versions import served_versions
from yuccahitch.messages import commands

UNKNOWN_STREAM = "nobody-knows-it"
# Age of knowledge that is as young as it gets, in seconds.
JUST_KNOWN_S = 0.3


def began_at(site, name):
    """Return the versions at which new streams begin at an instance."""
    versions = set()
    for _ in range(12):
        try:
            stream = stream_simulation.begin_stream(site, name)
        except ValueError:
            continue
        edge = site.edges[name]
        context = edge.decisions.in_flight.contexts[stream]
        versions.add(context.origin_version)
        edge.finish_request(stream)
    return versions


@behave.given("{count:d} instances of a zone with upstreams of {versions}")
def step_start(context, count, versions):
    context.site = stream_simulation.a_site(*versions.split(" and "), count=count)
    context.caused_events = context.site.logged


@behave.when("upstreams of {version:w} register")
def step_register(context, version):
    stream_simulation.register(context.site, version)


@behave.when("upstreams of {version:w} leave")
def step_leave(context, version):
    stream_simulation.leave(context.site, version)


@behave.when("upstreams of v1 and v2 of a service without resumable routes register")
def step_register_plain(context):
    for version in ("v1", "v2"):
        entry = platform_builders.a_registration(version=version)
        context.site.write(f"servers/desk-{version}", platform_builders.to_bytes(entry))


@behave.when("the zone runs on for {seconds:g} seconds")
def step_run(context, seconds):
    context.site.run(seconds)


@behave.then('the record is "{states}"')
def step_check_record(context, states):
    wanted = dict(item.split(" ") for item in states.split(", "))
    found = stream_simulation.stored_states(context.site)
    assert found == wanted, found


def time_until(site, version, state):
    """Let time pass until the record has a version in a state; return how long, in seconds."""
    began_at = site.now
    while stream_simulation.stored_states(site).get(version) != state:
        assert site.now - began_at < stream_simulation.START_S
        site.run(zone_simulation.STEP_S)
    return site.now - began_at


@behave.then(
    "{version:w} is announced within {limit_s:g} seconds, and serves {least_s:g} to {most_s:g} "
    "seconds later"
)
def step_check_times(context, version, limit_s, least_s, most_s):
    assert time_until(context.site, version, "announced") <= limit_s
    assert least_s <= time_until(context.site, version, "serving") <= most_s


@behave.then('the record is "{states}", written once')
def step_check_single_write(context, states):
    step_check_record(context, states)
    writes = [c for c in context.site.history if c.key == stream_simulation.VERSIONS_KEY]
    commits = context.site.calls_by_type["Commit"] - len(context.site.edges)
    assert len(writes) == commits == 1, (writes, context.site.calls_by_type)


@behave.then("no batch of streams was written")
def step_check_no_batch(context):
    assert not stream_simulation.batch_keys(context.site)
    assert context.site.calls_by_type["GrantLease"] == len(context.site.edges)


@behave.then("only the service with resumable routes has a record")
def step_check_keys(context):
    keys = {key for key in context.site.items if key.startswith(served_versions.PREFIX)}
    assert keys == {stream_simulation.VERSIONS_KEY}, keys


@behave.then("streams begin at {versions} at every instance")
def step_check_begins(context, versions):
    wanted = set(versions.removesuffix(" only").split(" and "))
    found = {name: began_at(context.site, name) for name in context.site.edges}
    assert all(item == wanted for item in found.values()), found


@behave.then("streams begin at {version} only at {name:S}")
def step_check_begins_at(context, version, name):
    assert began_at(context.site, name) == {version}, began_at(context.site, name)


def ranked_to_write(site):
    """Return the names of the instances in the order in which they write the record."""
    ids = {edge.decisions.instance: name for name, edge in site.edges.items()}
    subject = served_versions.PREFIX + stream_builders.SERVICE
    return [ids[instance] for instance in rendezvous.ranked(subject, ids)]


@behave.when("the instance that ranks first stands still")
def step_pause_first(context):
    context.site.paused.add(ranked_to_write(context.site)[0])


@behave.when("the instance that ranks first hears nothing, and upstreams of {version:w} leave")
def step_isolate_first(context, version):
    site = context.site
    isolate(site, ranked_to_write(site)[0])
    stream_simulation.leave(site, version)


def isolate(site, name):
    """Let an instance hear nothing of the store nor of the others."""
    site.cut.add(name)
    site.deaf.add(name)


@behave.when("the instance that ranks last hears nothing more")
def step_isolate_last(context):
    isolate(context.site, ranked_to_write(context.site)[-1])


@behave.then("the instance that ranks last refuses to take up a stream that it doesn't know")
def step_check_last_refuses(context):
    step_check_refused(context, ranked_to_write(context.site)[-1])


@behave.when("the record changes while the write of the instance that ranks first is on its way")
def step_hold_write(context):
    site = context.site
    name = ranked_to_write(site)[0]
    decisions = site.edges[name].decisions
    item = site.items[stream_simulation.VERSIONS_KEY]
    write = None
    while write is None:
        site.now += zone_simulation.STEP_S
        registry = decisions.registry
        entry = site.items["servers/v2-0"]
        registry.apply_change("v2-0", site.edges[name].store_item("v2-0", entry.value), site.now)
        decisions.tick(site.now)
        writes = [c for c in decisions.take_commands(site.now) if is_versions_write(c)]
        write = writes[0] if writes else None
    context.newest = item.value + b" "
    site.write(stream_simulation.VERSIONS_KEY, context.newest)
    site.call(name, write)


def is_versions_write(command):
    """Return whether a command writes the record of a service."""
    is_call = type(command) is commands.StoreCall
    return is_call and type(command.purpose) is served_versions.VersionsWrite


@behave.then("that write changes nothing")
def step_check_newest(context):
    value = context.site.items[stream_simulation.VERSIONS_KEY].value
    assert value == context.newest, value


@behave.when("the instance that ranks first reads the store again")
def step_read_again(context):
    site = context.site
    site.oldest_revision = site.revision
    site.cut.clear()
    site.deaf.clear()


@behave.when("the replies to all commits are lost")
def step_lose_replies(context):
    context.site.replies_lost = set(context.site.edges)


@behave.when("the store refuses all calls for {seconds:g} seconds")
def step_refuse(context, seconds):
    stream_simulation.register(context.site, "v2")
    context.site.run(0.1)
    context.site.refusing = True
    context.site.run(seconds)
    context.site.refusing = False


@behave.when("another instance has just changed it")
def step_change(context):
    stream_simulation.register(context.site, "v2")
    item = context.site.items[stream_simulation.VERSIONS_KEY]
    context.site.muted = set(context.site.edges)
    context.site.write(stream_simulation.VERSIONS_KEY, item.value + b" ")
    for edge in context.site.edges.values():
        registry = edge.decisions.registry
        entry = platform_builders.to_bytes(
            platform_builders.a_registration(service=stream_builders.SERVICE, version="v2")
        )
        registry.apply_change("v2-9", edge.store_item("v2-9", entry), context.site.now)
    context.site.run(0.3)
    context.site.muted = set()


@behave.when("{name:S} has just learned that the store is as it knows it")
def step_run_until_known(context, name):
    site = context.site
    for _ in range(40):
        if site.now - site.edges[name].decisions.feed.updated_at < JUST_KNOWN_S:
            break
        site.run(zone_simulation.STEP_S)


@behave.when("{name:S} can't reach the store")
def step_cut(context, name):
    step_run_until_known(context, name)
    context.site.cut.add(name)
    context.site.dropped = set(context.site.edges)


@behave.when("{name:S} reaches the store again")
def step_end_cut(context, name):
    context.site.cut.discard(name)
    context.site.dropped = set()


@behave.then("{name:S} takes up a stream that it doesn't know at {version:w}")
def step_check_inferred(context, name, version):
    found = settled_take_up(context, name, UNKNOWN_STREAM)
    assert found == version, found


def settled_take_up(context, name, stream):
    """Take a stream up and let it wait as long as it has to; return where it went."""
    return stream_simulation.settled_take_up(context.site, name, stream)


@behave.then("{name:S} refuses to take up a stream that it doesn't know")
def step_check_refused(context, name):
    assert settled_take_up(context, name, UNKNOWN_STREAM) == "origin-unknown"


@behave.then("{name:S} takes up no stream that it doesn't know in the next {seconds:d} seconds")
def step_check_not_inferred(context, name, seconds):
    site, results = context.site, set()
    for _ in range(seconds):
        began_at_s = site.now
        results.add(settled_take_up(context, name, UNKNOWN_STREAM))
        site.run(max(0.0, began_at_s + 1.0 - site.now))
    assert results == {"origin-unknown"}, results


@behave.when("no instance can reach the store for {seconds:g} seconds")
def step_cut_all(context, seconds):
    context.site.cut = set(context.site.edges)
    context.site.run(seconds)
    context.site.cut = set()


@behave.when('another writer leaves "{text}" as the record')
def step_spoil(context, text):
    context.site.write(stream_simulation.VERSIONS_KEY, text.encode())


@behave.when("all instances are killed, the store comes back from the copy, and they start again")
def step_kill_and_restore(context):
    site = context.site
    names = list(site.edges)
    for name in names:
        site.kill(name)
    site.restore()
    for name in names:
        site.start(name, first_start=False)
    site.run(2.0)


@behave.when("a stream of v1 begins at {name:S}, and the zone runs on for {seconds:g} seconds")
def step_begin(context, name, seconds):
    context.stream = stream_simulation.begin_stream(context.site, name, version="v1")
    context.site.run(seconds)


@behave.then("{name:S} takes that stream up at {version:w}")
def step_check_taken_up(context, name, version):
    assert settled_take_up(context, name, context.stream) == version


@behave.when(
    "{name:S} stands still for {seconds:g} seconds while upstreams of {version:w} register"
)
def step_stand_still(context, name, seconds, version):
    context.site.paused.add(name)
    stream_simulation.register(context.site, version)
    context.site.run(seconds)
    context.site.paused.clear()
    context.site.edges[name].now = context.site.now


@behave.when(
    "the instance that watches no store stands still for {seconds:g} seconds while upstreams of"
    " {version:w} register"
)
def step_follower_stands_still(context, seconds, version):
    site = context.site
    context.follower = next(name for name in site.edges if name not in site.readers())
    site.paused.add(context.follower)
    stream_simulation.register(site, version)
    site.run(seconds)
    site.paused.clear()


@behave.then(
    "it sends no stream that it doesn't know to {version:w} while it reads the reports that waited"
)
def step_check_reports_that_waited(context, version):
    site, edge = context.site, context.site.edges[context.follower]
    edge.now = site.now
    reports = site.waiting.pop(context.follower)
    went_to = collections.Counter()
    for raw in reports:
        edge.receive_pulse(raw)
        outcome = stream_simulation.take_up(site, context.follower, UNKNOWN_STREAM)
        went_to[outcome and stream_simulation.went_to(outcome)] += 1
    assert reports and not went_to[version], went_to


@behave.then("{name:S} doesn't send a stream that it doesn't know to {version:w} at once")
def step_check_no_haste(context, name, version):
    outcome = stream_simulation.take_up(context.site, name, UNKNOWN_STREAM)
    assert outcome is None or stream_simulation.went_to(outcome) != version, outcome


@behave.then("the clock of an instance counts the time of a suspension")
def step_check_clock(context):
    since_boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert 0 <= clock.SystemClock().now() - since_boot_s < 1.0


@behave.given("{count:d} calm instances with upstreams of {version:w} and bounds of {ms:d} ms")
def step_start_calm(context, count, version, ms):
    bounds = {"drain_ms": str(ms), "config_ms": str(ms)}
    context.site = stream_simulation.a_site(version, count=count, bounds=bounds)
    context.caused_events = context.site.logged


@behave.then(
    "each of {count:d} take-ups of unknown streams at each instance goes on at {version:w}"
)
def step_check_calm(context, count, version):
    results = [
        settled_take_up(context, name, UNKNOWN_STREAM)
        for _ in range(count)
        for name in context.site.edges
    ]
    refused = [result for result in results if result != version]
    assert not refused, (len(refused), len(results))
