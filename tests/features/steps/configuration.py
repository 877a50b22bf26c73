"""Steps for the distribution of the configuration and the withdrawal of keys."""

from __future__ import annotations

import functools
import itertools
import random

import behave

from fakes import fleet as fleets
from fakes import network
from tests import builders
from yuccahitch import errors, events
from yuccahitch.codecs import resources
from yuccahitch.controllers.config import configuration
from yuccahitch.messages import store
from yuccahitch.resources import catalog, entry

REGIONS = ("muscat-a", "sohar-a", "salalah-a")
POLL_INTERVAL_S = 0.05
TICKET_NUMBERS = itertools.count(1)


def make_settings_factory(cut_off_keys):
    """Return a settings factory for instances with short times and this ``cut_off_keys``."""

    def build_settings(name, region, zone):
        section_overrides = dict(builders.SHORT_TIMES)
        section_overrides["callers"] = {"cut_off_keys": cut_off_keys, "cut_off_after_s": "5"}
        return builders.settings(
            instance={"name": name, "region": region, "zone": zone}, **section_overrides
        )

    return build_settings


@behave.given("a fleet of 2 instances in each of 3 regions that {cut_off_keys} keys when cut off")
def step_start_fleet_with_cut_off_keys(context, cut_off_keys):
    context.fleet = fleets.Fleet(3, make_settings=make_settings_factory(cut_off_keys))
    start_fleet(context)


@behave.given("a fleet of 2 instances in each of 3 regions")
def step_start_default_fleet(context):
    context.fleet = fleets.Fleet(3, make_settings=builders.quick_settings)
    start_fleet(context)


@behave.given("a fleet of {count:d} instances in each of {regions:d} regions")
def step_start_sized_fleet(context, count, regions):
    context.fleet = fleets.Fleet(3, make_settings=builders.quick_settings)
    start_fleet(context, count=count, regions=REGIONS[:regions])


def start_fleet(context, *, count=2, regions=REGIONS):
    """Add some instances in each region, load a site and run until the fleet has settled."""
    fleet = context.fleet
    fleet.net.store_region = REGIONS[0]
    for region in regions:
        for number in range(1, count + 1):
            fleet.add(f"{region}-{number}", region)
    fleet.load([builders.an_entry(spec) for spec in builders.a_site(regions=REGIONS)])
    context.members = fleet.alive()
    context.version_regressions = []
    context.highest_versions = {}
    context.frozen_names = set()
    record_version_regressions(context)
    fleet.run(8.0)


def record_version_regressions(context):
    """Record every drop of an entry's version on an instance, each ``POLL_INTERVAL_S``."""
    for instance in context.fleet.alive():
        for resource_key, item in instance.decisions.config.catalog.entries.items():
            key = (instance.name, resource_key)
            if item.version_key < context.highest_versions.get(key, item.version_key):
                context.version_regressions.append((context.fleet.now, key, item.version_key))
            context.highest_versions[key] = item.version_key
    context.fleet.clock.schedule_after(POLL_INTERVAL_S, lambda: record_version_regressions(context))


def submit_write(context, number, spec_to_write, *, expected=None):
    """Submit an operator's write through an instance, numbered from 1; return its ticket."""
    instance = context.members[int(number) - 1]
    kind = entry.kind_of(spec_to_write)
    ticket = f"ticket-{next(TICKET_NUMBERS)}"
    item = configuration.new_entry(kind, spec_to_write.name, write_id=ticket, spec=spec_to_write)
    change = configuration.Write(ticket, item, expected_version=expected)
    context.fleet.run_on(instance, lambda now: instance.decisions.config.begin_write(change))
    context.ticket = ticket
    return ticket


@behave.when("there is no fault")
def step_no_fault(context):
    pass


@behave.when("all watches stop delivering events")
def step_silence_watches(context):
    context.fleet.store.listeners.clear()


def find_watcher(context):
    """Return the first running instance that holds a watch on the store."""
    return next(i for i in context.fleet.alive() if i.decisions.config.watching)


@behave.when("the watcher of the first zone crashes")
def step_crash_watcher(context):
    first_zone_instances = [i for i in context.members if i.region == REGIONS[0]]
    watching_instance = next(i for i in first_zone_instances if i.decisions.config.watching)
    if watching_instance is context.members[1]:
        context.members[1] = first_zone_instances[0]
    context.fleet.kill(watching_instance)
    context.fleet.run(0.01)


@behave.when("the watcher of the first zone is frozen for 20 s")
def step_freeze_watcher(context):
    first_zone_instances = [i for i in context.members if i.region == REGIONS[0]]
    watching_instance = next(i for i in first_zone_instances if i.decisions.config.watching)
    if watching_instance is context.members[1]:
        context.members[1] = first_zone_instances[0]
    context.frozen_names.add(watching_instance.name)
    context.fleet.pause(watching_instance, 20.0)


@behave.when(
    "the watchers of all zones are cut off from the store {delay:g} seconds before its next change"
)
def step_cut_watchers(context, delay):
    for instance in context.fleet.alive():
        if instance.decisions.config.role.is_watcher:
            context.frozen_names.add(instance.name)
            context.fleet.net.cut(instance.name, network.STORE)
    context.fleet.run(delay)


# What befalls the watchers, one after another.
WATCHER_TROUBLES = {
    "stand still": ("pause",),
    "stand still one after another": ("pause", "pause", "pause"),
    "stand still and are cut in turn": ("pause", "cut", "pause"),
}
# Time until others have taken over from a watcher that stands still, in seconds.
SUCCESSION_S = 2.3
PAUSE_S = 30.0


@behave.when("watchers {fail} until {delay:g} seconds before the next change of the store")
def step_disturb_watchers(context, fail, delay):
    for number, trouble in enumerate(WATCHER_TROUBLES[fail]):
        if number:
            context.fleet.run(SUCCESSION_S)
        disturb_watchers(context, trouble)
    context.fleet.run(delay)


def disturb_watchers(context, trouble):
    """Let the watchers that are not disturbed yet stand still, or cut them off from the store."""
    for instance in context.fleet.alive():
        is_calm = instance.name not in context.frozen_names
        if is_calm and instance.decisions.config.role.is_watcher:
            context.frozen_names.add(instance.name)
            if trouble == "pause":
                context.fleet.pause(instance, PAUSE_S)
            else:
                context.fleet.net.cut(instance.name, network.STORE)


@behave.when("the store gets rate {rate:d} from an instance that ends at once")
def step_write_to_store(context, rate):
    written = builders.an_entry(builders.a_rate(tokens_per_s=rate))
    written.version = 2
    key = f"config/{written.kind}/{written.name}"
    changes = [
        store.Put(key, resources.entry_to_bytes(written)),
        store.Put(configuration.HEAD_KEY, b"elsewhere"),
    ]
    context.fleet.store.apply(store.Commit(conditions=[], changes=changes), context.fleet.now)


@behave.then("one instance of each zone has watched the store")
def step_check_watchers(context):
    watched = {
        instance
        for _, instance, event in context.fleet.log_events
        if event.event is events.Event.STORE_WATCHED
        and event.fields["reason"] != "watcher of the zone"
    }
    assert not watched, watched
    watching = [i.region for i in context.fleet.alive() if i.decisions.config.watching]
    assert sorted(watching) == sorted(REGIONS), watching


@behave.when("region {region} loses its link to the store")
def step_cut_region_from_store(context, region):
    context.fleet.net.cut(region, network.STORE)


@behave.when("region {region} loses its link to {other}")
def step_cut_region_from_region(context, region, other):
    context.fleet.net.cut(region, other)


@behave.when("a tenth of all messages is lost")
def step_lose_messages(context):
    context.fleet.net.loss = 0.1


@behave.when("an operator changes the rate to {rate:d} through instance {number:d}")
def step_write_rate(context, rate, number):
    submit_write(context, number, builders.a_rate(tokens_per_s=rate))


def known_rate(instance):
    """Return the tokens per second of the rate resource in an instance's catalog."""
    return instance.decisions.config.catalog.rate("rinks").tokens_per_s


@behave.then("within {seconds:g} seconds every unfrozen instance holds rate {rate:d}")
def step_rate_known_within(context, seconds, rate):
    ends_at = context.fleet.now + seconds
    while context.fleet.now < ends_at:
        context.fleet.run(POLL_INTERVAL_S)
    stale_rates = {
        i.name: known_rate(i)
        for i in context.fleet.alive()
        if i.name not in context.frozen_names and known_rate(i) != rate
    }
    assert not stale_rates, stale_rates


@behave.then("every instance holds rate {rate:d}")
def step_rate_known_now(context, rate):
    step_rate_known_within(context, 0.0, rate)


@behave.then("no instance reverted to an older version")
def step_no_version_regression(context):
    assert not context.version_regressions, context.version_regressions


@behave.when("{seconds:g} seconds of fleet time pass for the configuration")
def step_run_fleet(context, seconds):
    context.fleet.run(seconds)


@behave.when("the store's answers to instance 2 are lost for 3 seconds")
def step_lose_store_replies(context):
    context.fleet.net.cut(network.STORE, context.members[1].name, both=False)
    context.fleet.clock.schedule_after(3.0, context.fleet.net.heal)


@behave.then("the operator's call reports that the write succeeded")
def step_write_succeeded(context):
    reply = context.fleet.wake_replies[context.ticket]
    assert reply.error is None and reply.resource.version == 2, reply


def read_stored_rate(context):
    """Return the entry of the rate resource as the store holds it."""
    return resources.entry_from_bytes(context.fleet.store.items["config/rate/rinks"].value)


@behave.then("the store holds exactly one newer version")
def step_stored_version(context):
    assert read_stored_rate(context).version == 2


@behave.when("5 operators who saw the same version change the rate through different instances")
def step_race_writes(context):
    context.tickets = [
        submit_write(context, n, builders.a_rate(tokens_per_s=1000 + n), expected=1)
        for n in range(1, 6)
    ]


@behave.then(
    "exactly one write was accepted and the others got resource-stale with the current version"
)
def step_one_write_accepted(context):
    replies = [context.fleet.wake_replies[ticket] for ticket in context.tickets]
    refusals = [reply.error for reply in replies if reply.error is not None]
    assert len(refusals) == 4, replies
    assert {error.code for error in refusals} == {errors.Code.RESOURCE_STALE}, refusals
    assert all("the current version is 2" in error.detail for error in refusals), refusals


@behave.then("all instances hold the accepted rate")
def step_accepted_rate_everywhere(context):
    accepted = read_stored_rate(context).spec.tokens_per_s
    assert {known_rate(i) for i in context.fleet.alive()} == {accepted}


@behave.when("the store is down for the configuration")
def step_stop_store(context):
    context.fleet.net.store_down = True


@behave.then("the operator's call reports that the outcome is unknown")
def step_write_outcome_unknown(context):
    error = context.fleet.wake_replies[context.ticket].error
    assert error.code in (errors.Code.STORE_UNSETTLED, errors.Code.STORE_UNAVAILABLE), error


@behave.when("the store's state is saved")
def step_save_store(context):
    context.saved_store_state = context.fleet.store.save()


@behave.when("the store is restored to the saved state")
def step_restore_store(context):
    context.fleet.store.restore(context.saved_store_state)


@behave.then("the store holds rate {rate:d} again")
def step_stored_rate(context, rate):
    assert read_stored_rate(context).spec.tokens_per_s == rate


@behave.when("an instance starts in {region}")
def step_start_instance(context, region):
    context.new_instance = context.fleet.add(f"{region}-new", region)


@behave.then("the new instance is ready and has the same catalog as the others")
def step_new_instance_ready(context):
    known = context.members[0].decisions.config.catalog.digest
    new_decisions = context.new_instance.decisions
    assert new_decisions.config.ready() and new_decisions.config.catalog.digest == known


@behave.when("random orders of entries, repeated and shuffled, are merged {count:d} times")
def step_merge_entries(context, count):
    rng = random.Random(4)
    context.digest_pairs = []
    context.version_decreased = False
    specs = builders.a_site()
    for _ in range(count):
        entries = [
            builders.an_entry(spec, version=version, write_id=f"w{writer}")
            for spec in specs
            for version in (1, 2, 3)
            for writer in (1, 2)
        ]
        catalogs = [catalog.Catalog(), catalog.Catalog()]
        for merging_catalog in catalogs:
            shuffled_entries = entries + rng.sample(entries, 10)
            rng.shuffle(shuffled_entries)
            for item in shuffled_entries:
                before = merging_catalog.entries.get((item.kind, item.name))
                merging_catalog.merge(item)
                after = merging_catalog.entries[(item.kind, item.name)]
                context.version_decreased |= (
                    before is not None and after.version_key < before.version_key
                )
        context.digest_pairs.append((catalogs[0].digest, catalogs[1].digest))


@behave.then("all catalogs are equal and no version ever decreased")
def step_catalogs_equal(context):
    assert all(first == second for first, second in context.digest_pairs)
    assert not context.version_decreased


def submit_key(context, number, **options):
    """Write the test key through an instance, numbered from 1."""
    submit_write(context, number, builders.a_key(**options))


@behave.when("an operator deletes the key through instance {number:d}")
def step_delete_key(context, number):
    instance = context.members[number - 1]
    ticket = f"ticket-{next(TICKET_NUMBERS)}"
    item = configuration.new_entry("key", "rinks-key", write_id=ticket, spec=None)
    change = configuration.Write(ticket, item, expected_version=None)
    context.fleet.run_on(instance, lambda now: instance.decisions.config.begin_write(change))


@behave.when("every instance receives the old key again from a stale read")
def step_apply_stale_key(context):
    old_entry = builders.an_entry(builders.a_key())
    stale_item = store.KeyValue(
        key="config/key/rinks-key", value=resources.entry_to_bytes(old_entry), revision=1
    )
    for instance in context.fleet.alive():
        change = store.KeysChanged(
            [store.KeyChange(stale_item.key, stale_item, revision=1)], revision=1
        )
        config = instance.decisions.config
        context.fleet.run_on(instance, functools.partial(config.apply_change, change))
    context.fleet.run(1.0)


@behave.when("an operator withdraws the key through instance {number:d}")
def step_withdraw_key(context, number):
    submit_key(context, number, withdrawn=True)


@behave.when("region {region} is cut off from everything")
def step_isolate_region(context, region):
    for other in {*REGIONS, network.STORE} - {region}:
        context.fleet.net.cut(region, other)


@behave.when("the cut network links heal")
def step_heal_network(context):
    context.fleet.net.heal()


def accepts_key(context, instance):
    """Return whether a request with the key passes an instance's authentication."""
    request = builders.a_request(deadline=instance.local_time(context.fleet.now) + 5)
    result = context.fleet.request(instance, request)
    context.fleet.run(3.0)
    return result.error is None or result.error.step != "authenticate"


@behave.then("no instance accepts the key")
def step_no_instance_accepts_key(context):
    assert not [i.name for i in context.fleet.alive() if accepts_key(context, i)]


@behave.then("within {seconds:g} seconds no instance accepts the key")
def step_no_instance_accepts_key_within(context, seconds):
    context.fleet.run(seconds)
    known = [i.decisions.config.catalog.find("key", "rinks-key") for i in context.fleet.alive()]
    assert all(key.withdrawn for key in known), known
    step_no_instance_accepts_key(context)


@behave.then("instances outside {region} refuse the key")
def step_refused_outside_region(context, region):
    assert not [
        i.name for i in context.fleet.alive() if i.region != region and accepts_key(context, i)
    ]


@behave.then("instances in {region} {outcome} the key")
def step_key_in_region(context, region, outcome):
    regional_instances = [i for i in context.fleet.alive() if i.region == region]
    assert {accepts_key(context, i) for i in regional_instances} == {outcome == "accept"}, outcome
