"""Steps for rates that change while most holders of their slices are idle."""

from __future__ import annotations

import functools

import behave

from tests import builders, history_checks
from yuccahitch.controllers.rates import _bucket, slice_record
from yuccahitch.messages import store
from yuccahitch.resources import key

LOWERED_RATE = 10  # tokens a second
LOWERED_BURST = 100
RAISED_BURST = 5000
REQUEST_INTERVAL_S = 0.05
OTHER_ACCOUNT = "ponds"
OTHER_SECRET = "pond-key"
OTHER_BURST = 800


def send(fleet, instance, tokens, *, secret="secret-key"):
    """Send a request that uses a number of tokens; return its result record."""
    now = instance.local_time(fleet.now)
    request = builders.a_request(
        prompt_tokens=tokens - 1, max_tokens=1, deadline=now + 5, key_digest=key.digest_of(secret)
    )
    return fleet.request(instance, request)


def change_rate(fleet, *, tokens_per_s, burst):
    """Change the account's rate in the configuration of all instances."""
    rate = builders.a_rate(tokens_per_s=tokens_per_s, burst_tokens=burst)
    fleet.load([builders.an_entry(rate, version=2)])


@behave.given("{count:d} fleets whose instances have all served the account")
def step_start_used_fleets(context, count):
    context.fleets = [builders.a_fleet(seed) for seed in range(count)]
    for fleet in context.fleets:
        for instance in fleet.alive():
            send(fleet, instance, 2)
        fleet.run(10.0)


@behave.when(
    "its rate is lowered to a tenth and {seconds:g} s later many requests come to one instance"
)
def step_lower_rate(context, seconds):
    for fleet in context.fleets:
        change_rate(fleet, tokens_per_s=LOWERED_RATE, burst=LOWERED_BURST)
        fleet.run(seconds)
        fleet.results.clear()
        for _ in range(40):
            send(fleet, fleet.alive()[0], 20)
            fleet.run(REQUEST_INTERVAL_S)
        fleet.run(8.0)


@behave.then("in no fleet the usage exceeded the lowered rate and burst")
def step_lowered_rate_kept(context):
    usages = [history_checks.admitted_usage(fleet.results.values()) for fleet in context.fleets]
    assert all(usages)
    excesses = [
        history_checks.worst_excess(usage, rate=LOWERED_RATE, burst=LOWERED_BURST)
        for usage in usages
    ]
    assert max(excesses) == 0, excesses


@behave.when(
    "its burst is raised fivefold and {seconds:g} s later a request for {share:g} of it comes to "
    "one instance"
)
def step_raise_burst(context, seconds, share):
    context.results = []
    for fleet in context.fleets:
        change_rate(fleet, tokens_per_s=100, burst=RAISED_BURST)
        fleet.run(seconds)
        context.results.append(send(fleet, fleet.alive()[0], int(share * RAISED_BURST)))
        fleet.run(4.0)


@behave.then("that request is admitted in each fleet")
def step_admitted(context):
    errors = [str(result.error) for result in context.results if result.error is not None]
    assert not errors and all(result.finished_at for result in context.results), errors


@behave.when("an instance reads the record of another account before that account's rate")
def step_read_record_first(context):
    specs = [
        builders.an_account(OTHER_ACCOUNT),
        builders.a_key(OTHER_SECRET, OTHER_ACCOUNT),
        builders.a_rate(OTHER_ACCOUNT, 100, OTHER_BURST),
    ]
    for fleet in context.fleets:
        instance = fleet.alive()[0]
        record = slice_record.Record(
            account=OTHER_ACCOUNT,
            holders={instance.name: _bucket.PARTS_PER_RATE},
            write_id="w",
            revision=0,
            unused=True,
        )
        fleet.store.revision += 1
        fleet.store.put(store.Put(slice_record.PREFIX + OTHER_ACCOUNT, record.to_bytes()))
        record.revision = fleet.store.revision
        fleet.run_on(instance, functools.partial(instance.decisions.slices.apply_record, record))
        fleet.load([builders.an_entry(spec) for spec in specs])
        fleet.run(1.0)


def available_tokens(fleet):
    """Return the tokens of the other account that the instances of a fleet can spend."""
    limiters = [instance.decisions.rate_limiter for instance in fleet.alive()]
    return sum(
        limiter.holdings[OTHER_ACCOUNT].available(own_usable=True)
        for limiter in limiters
        if OTHER_ACCOUNT in limiter.holdings
    )


@behave.then("the fleet can spend between {share:g} and 1 of the burst of the other account")
def step_can_spend_other(context, share):
    available = [available_tokens(fleet) for fleet in context.fleets]
    assert all(share * OTHER_BURST <= tokens <= OTHER_BURST for tokens in available), available
