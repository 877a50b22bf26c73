"""Steps for requests of client accounts that were created a moment ago."""

from __future__ import annotations

import behave

from tests import builders
from yuccahitch.resources import key

REGIONS = ("muscat-a", "salalah-a", "sohar-a")
ACCOUNT = "ponds"
SECRET = "pond-key"
BURST = 8000
# Longest time that a wait may end late: a tick of the instance, in seconds.
TICK_S = 0.11


def create_account(fleet):
    """Create a client account with a rate whose residency is the second region."""
    specs = [
        builders.an_account(ACCOUNT, residency=(REGIONS[1],)),
        builders.a_key(SECRET, ACCOUNT),
        builders.a_rate(ACCOUNT, 500, BURST),
    ]
    fleet.load([builders.an_entry(spec) for spec in specs])


def send(fleet, name, *, deadline_in=10.0, tokens=20):
    """Send a request of the account to an instance of the first region."""
    instance = next(item for item in fleet.alive() if item.region == REGIONS[0])
    request = builders.a_request(
        id=name,
        key_digest=key.digest_of(SECRET),
        deadline=instance.local_time(fleet.now) + deadline_in,
        prompt_tokens=tokens,
        max_tokens=1,
    )
    return fleet.request(instance, request)


@behave.given("{count:d} fleets whose store takes {seconds:g} s longer each way")
def step_start_fleets(context, count, seconds):
    context.fleets = [
        builders.a_fleet(seed, regions=REGIONS, settle_s=4.0) for seed in range(count)
    ]
    for fleet in context.fleets:
        fleet.net.extra_store_delay_s = seconds


@behave.when("a client account is created and its first request arrives {delay:g} s later")
def step_send_first_request(context, delay):
    context.results = []
    for fleet in context.fleets:
        create_account(fleet)
        fleet.run(delay)
        context.results.append(send(fleet, "first"))
        fleet.run(3.0)


@behave.when("a client account is created and a request with {seconds:g} s to its deadline arrives")
def step_send_hasty_request(context, seconds):
    context.results = []
    for fleet in context.fleets:
        create_account(fleet)
        context.results.append(send(fleet, "first", deadline_in=seconds))
        fleet.run(3.0)


@behave.when("a client account is created, the store goes away and its first request arrives")
def step_send_without_store(context):
    context.results = []
    for fleet in context.fleets:
        create_account(fleet)
        fleet.net.store_down = True
        context.results.append(send(fleet, "first"))
        fleet.run(4.0)


@behave.when("a client account uses its whole burst and sends one more request after {seconds:g} s")
def step_send_over_rate(context, seconds):
    context.results = []
    for fleet in context.fleets:
        create_account(fleet)
        fleet.run(seconds)
        earlier = send(fleet, "earlier", tokens=BURST - 1000)
        fleet.run(0.4)
        assert earlier.error is None, earlier.error
        context.results.append(send(fleet, "last", tokens=BURST - 1))
        fleet.run(3.0)


@behave.then("the first request is admitted in each fleet")
def step_admitted_in_each(context):
    errors = [result.error for result in context.results if result.error is not None]
    assert not errors, (len(errors), str(errors[0]))
    assert all(result.finished_at for result in context.results)


def waits_of_refused(context, code):
    """Return how long each request waited, all of which were refused with an error code."""
    for result in context.results:
        assert result.error is not None and result.error.code.value[0] == code, result.error
    return [result.finished_at - result.requested_at for result in context.results]


@behave.then("the first request is refused with {code} after {seconds:g} s in each fleet")
def step_first_refused_after(context, code, seconds):
    waits = waits_of_refused(context, code)
    assert all(seconds <= wait <= seconds + TICK_S for wait in waits), waits


@behave.then("the last request is refused with {code} within {seconds:g} s in each fleet")
def step_last_refused_within(context, code, seconds):
    waits = waits_of_refused(context, code)
    assert max(waits) <= seconds + TICK_S, waits


@behave.then("Retry-After is the {seconds:g} s in which slices become known")
def step_retry_after(context, seconds):
    retry_times = [result.error.retry_after for result in context.results]
    assert set(retry_times) == {seconds}, retry_times


@behave.when("the store is away for {seconds:g} s while small requests come everywhere")
def step_play_outage(context, seconds):
    context.results = []
    for fleet in context.fleets:
        back_at, end_at = fleet.now + seconds, fleet.now + seconds + 8.0
        fleet.net.store_down = True
        while fleet.now < end_at:
            fleet.net.store_down = fleet.now < back_at
            instance = fleet.rng.choice(fleet.alive())
            deadline = instance.local_time(fleet.now) + 10.0
            request = builders.a_request(prompt_tokens=1, max_tokens=1, deadline=deadline)
            context.results.append(fleet.request(instance, request))
            fleet.run(0.1)
        fleet.run(3.0)


@behave.then("none of the small requests is refused")
def step_none_refused(context):
    errors = [str(result.error) for result in context.results if result.error is not None]
    assert not errors, (len(errors), errors[0])
