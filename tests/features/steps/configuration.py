"""Steps about the configuration and keys."""

from __future__ import annotations

import functools
import itertools
import random

import behave

from fakes import fleet as fleets
from fakes import network
from tests import builders
from yuccahitch import errors
from yuccahitch.codecs import resources
from yuccahitch.controllers import configuration
from yuccahitch.messages import store
from yuccahitch.resources import catalog, entry

REGIONS = ("muscat-a", "sohar-a", "salalah-a")
STEP_S = 0.05
NUMBERS = itertools.count(1)


def settings_with(choice):
    def make(name, region, zone):
        quick = dict(builders.SHORT_TIMES)
        quick["callers"] = {"cut_off_keys": choice, "cut_off_after_s": "5"}
        return builders.settings(instance={"name": name, "region": region, "zone": zone}, **quick)

    return make


@behave.given("a fleet of 2 instances in each of 3 regions that {choice} keys when cut off")
def step_fleet_choice(context, choice):
    context.fleet = fleets.Fleet(3, make_settings=settings_with(choice))
    prepare(context)


@behave.given("a fleet of 2 instances in each of 3 regions")
def step_fleet(context):
    context.fleet = fleets.Fleet(3, make_settings=builders.quick_settings)
    prepare(context)


def prepare(context):
    fleet = context.fleet
    fleet.net.store_region = REGIONS[0]
    for region in REGIONS:
        for number in (1, 2):
            fleet.add(f"{region}-{number}", region)
    fleet.load([builders.an_entry(spec) for spec in builders.a_site(regions=REGIONS)])
    context.members = fleet.alive()
    context.steps_back = []
    context.highest = {}
    context.no_path = set()
    watch_versions(context)
    fleet.run(8.0)


def watch_versions(context):
    """Note whenever an instance holds an older version than before."""
    for instance in context.fleet.alive():
        for place, item in instance.decisions.config.catalog.entries.items():
            key = (instance.name, place)
            if item.version_key < context.highest.get(key, item.version_key):
                context.steps_back.append((context.fleet.now, key, item.version_key))
            context.highest[key] = item.version_key
    context.fleet.clock.schedule_after(STEP_S, lambda: watch_versions(context))


def write(context, number, item_spec, *, expected=None):
    instance = context.members[int(number) - 1]
    kind = entry.kind_of(item_spec)
    ticket = f"ticket-{next(NUMBERS)}"
    item = configuration.new_entry(kind, item_spec.name, write_id=ticket, spec=item_spec)
    change = configuration.Write(ticket, item, expected_version=expected)
    context.fleet.run_on(instance, lambda now: instance.decisions.config.begin_write(change))
    context.ticket = ticket
    return ticket


@behave.when("nothing is wrong")
def step_nothing(context):
    pass


@behave.when("all watches go silent")
def step_silent(context):
    context.fleet.store.listeners.clear()


def watcher(context):
    return next(i for i in context.fleet.alive() if i.decisions.config.watching)


@behave.when("the watcher of the first zone crashes")
def step_watcher_crash(context):
    first = [i for i in context.members if i.region == REGIONS[0]]
    chosen = next(i for i in first if i.decisions.config.watching)
    if chosen is context.members[1]:
        context.members[1] = first[0]
    context.fleet.kill(chosen)
    context.fleet.run(0.01)


@behave.when("the watcher of the first zone is frozen for 20 s")
def step_watcher_freeze(context):
    first = [i for i in context.members if i.region == REGIONS[0]]
    chosen = next(i for i in first if i.decisions.config.watching)
    if chosen is context.members[1]:
        context.members[1] = first[0]
    context.no_path.add(chosen.name)
    context.fleet.pause(chosen, 20.0)


@behave.when("region {region} loses its way to the store")
def step_lose_store(context, region):
    context.fleet.net.cut(region, network.STORE)


@behave.when("region {region} loses its way to {other}")
def step_lose_region(context, region, other):
    context.fleet.net.cut(region, other)


@behave.when("a tenth of all messages is lost")
def step_loss(context):
    context.fleet.net.loss = 0.1


@behave.when("an operator changes the rate to {rate:d} through instance {number:d}")
def step_change(context, rate, number):
    write(context, number, builders.a_rate(tokens_per_s=rate))


def rate_of(instance):
    return instance.decisions.config.catalog.rate("rinks").tokens_per_s


@behave.then("within {seconds:g} seconds every instance that has a path knows rate {rate:d}")
def step_within(context, seconds, rate):
    end = context.fleet.now + seconds
    while context.fleet.now < end:
        context.fleet.run(STEP_S)
    behind = {
        i.name: rate_of(i)
        for i in context.fleet.alive()
        if i.name not in context.no_path and rate_of(i) != rate
    }
    assert not behind, behind


@behave.then("every instance knows rate {rate:d}")
def step_every(context, rate):
    step_within(context, 0.0, rate)


@behave.then("no instance ever went back to an older version")
def step_no_back(context):
    assert not context.steps_back, context.steps_back


@behave.when("{seconds:g} seconds pass for the configuration")
def step_pass(context, seconds):
    context.fleet.run(seconds)


@behave.when("the store's answers to instance 2 are lost for 3 seconds")
def step_lost(context):
    context.fleet.net.cut(network.STORE, context.members[1].name, both=False)
    context.fleet.clock.schedule_after(3.0, context.fleet.net.heal)


@behave.then("the operator is told that the write was done")
def step_done(context):
    reply = context.fleet.wake_replies[context.ticket]
    assert reply.error is None and reply.resource.version == 2, reply


def stored_rate(context):
    return resources.entry_from_bytes(context.fleet.store.items["config/rate/rinks"].value)


@behave.then("the store holds exactly one newer version")
def step_one_newer(context):
    assert stored_rate(context).version == 2


@behave.when("5 operators who saw the same version change the rate through different instances")
def step_race(context):
    context.tickets = [
        write(context, n, builders.a_rate(tokens_per_s=1000 + n), expected=1) for n in range(1, 6)
    ]


@behave.then(
    "exactly one write was accepted and the others got resource-stale with the current version"
)
def step_one_accepted(context):
    replies = [context.fleet.wake_replies[ticket] for ticket in context.tickets]
    refused = [reply.error for reply in replies if reply.error is not None]
    assert len(refused) == 4, replies
    assert {error.code for error in refused} == {errors.Code.RESOURCE_STALE}, refused
    assert all("the current version is 2" in error.detail for error in refused), refused


@behave.then("all instances hold the accepted rate")
def step_all_hold(context):
    accepted = stored_rate(context).spec.tokens_per_s
    assert {rate_of(i) for i in context.fleet.alive()} == {accepted}


@behave.when("the store is down for the configuration")
def step_down(context):
    context.fleet.net.store_down = True


@behave.then("the operator is told that the outcome is not known")
def step_unknown(context):
    error = context.fleet.wake_replies[context.ticket].error
    assert error.code in (errors.Code.STORE_UNSETTLED, errors.Code.STORE_UNAVAILABLE), error


@behave.when("the store's state is saved")
def step_save(context):
    context.saved = context.fleet.store.save()


@behave.when("the store is set back to the saved state")
def step_restore(context):
    context.fleet.store.restore(context.saved)


@behave.then("the store holds rate {rate:d} again")
def step_store_rate(context, rate):
    assert stored_rate(context).spec.tokens_per_s == rate


@behave.when("an instance starts in {region}")
def step_start(context, region):
    context.fresh = context.fleet.add(f"{region}-new", region)


@behave.then("the new instance is ready and knows what the others know")
def step_fresh_ready(context):
    known = context.members[0].decisions.config.catalog.digest
    fresh = context.fresh.decisions
    assert fresh.config.ready() and fresh.config.catalog.digest == known


@behave.when("random orders of entries, repeated and shuffled, are merged {count:d} times")
def step_merge(context, count):
    rng = random.Random(4)
    context.digests = []
    context.went_down = False
    specs = builders.a_site()
    for _ in range(count):
        entries = [
            builders.an_entry(spec, version=version, write_id=f"w{writer}")
            for spec in specs
            for version in (1, 2, 3)
            for writer in (1, 2)
        ]
        two = [catalog.Catalog(), catalog.Catalog()]
        for one in two:
            order = entries + rng.sample(entries, 10)
            rng.shuffle(order)
            for item in order:
                before = one.entries.get((item.kind, item.name))
                one.merge(item)
                after = one.entries[(item.kind, item.name)]
                context.went_down |= before is not None and after.version_key < before.version_key
        context.digests.append((two[0].digest, two[1].digest))


@behave.then("all catalogs are equal and no version ever went down")
def step_equal(context):
    assert all(first == second for first, second in context.digests)
    assert not context.went_down


def change_key(context, number, **options):
    write(context, number, builders.a_key(**options))


@behave.when("an operator deletes the key through instance {number:d}")
def step_delete_key(context, number):
    instance = context.members[number - 1]
    ticket = f"ticket-{next(NUMBERS)}"
    item = configuration.new_entry("key", "rinks-key", write_id=ticket, spec=None)
    change = configuration.Write(ticket, item, expected_version=None)
    context.fleet.run_on(instance, lambda now: instance.decisions.config.begin_write(change))


@behave.when("an instance hears the old key again from a stale read")
def step_stale(context):
    old = builders.an_entry(builders.a_key())
    stale = store.KeyValue(
        key="config/key/rinks-key", value=resources.entry_to_bytes(old), revision=1
    )
    for instance in context.fleet.alive():
        change = store.KeysChanged([(stale.key, stale)], revision=1)
        config = instance.decisions.config
        context.fleet.run_on(instance, functools.partial(config.apply_change, change))
    context.fleet.run(1.0)


@behave.when("an operator withdraws the key through instance {number:d}")
def step_withdraw(context, number):
    change_key(context, number, withdrawn=True)


@behave.when("region {region} is cut off from everything")
def step_cut_all(context, region):
    for other in {*REGIONS, network.STORE} - {region}:
        context.fleet.net.cut(region, other)


@behave.when("the ways heal")
def step_heal(context):
    context.fleet.net.heal()


def accepts(context, instance):
    """Return whether an instance lets a request with the key past its authentication."""
    request = builders.a_request(deadline=instance.local_time(context.fleet.now) + 5)
    result = context.fleet.request(instance, request)
    context.fleet.run(3.0)
    return result.error is None or result.error.step != "authenticate"


@behave.then("no instance accepts the key")
def step_none(context):
    assert not [i.name for i in context.fleet.alive() if accepts(context, i)]


@behave.then("within {seconds:g} seconds no instance accepts the key")
def step_none_within(context, seconds):
    context.fleet.run(seconds)
    known = [i.decisions.config.catalog.find("key", "rinks-key") for i in context.fleet.alive()]
    assert all(key.withdrawn for key in known), known
    step_none(context)


@behave.then("instances outside {region} refuse the key")
def step_outside(context, region):
    assert not [i.name for i in context.fleet.alive() if i.region != region and accepts(context, i)]


@behave.then("instances in {region} {outcome} the key")
def step_inside(context, region, outcome):
    inside = [i for i in context.fleet.alive() if i.region == region]
    assert {accepts(context, i) for i in inside} == {outcome == "accept"}, outcome
