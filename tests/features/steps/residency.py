"""Steps for data residency and forwarded requests."""

from __future__ import annotations

import random

import behave
import hypothesis
from hypothesis import strategies

from fakes import request_flow
from tests import builders, histories
from yuccahitch import errors
from yuccahitch.messages import actions, answers, requests
from yuccahitch.resources import client, upstream

# Fixes the random cases. Without it hypothesis derives them from the source of the test, so that
# each rewording would play others.
RANDOM_CASES_SEED = int(
    "8e18b051aaeb7a62f29a2e61bacac658a44c9aba3765d1a9"
    "0d81f5cde9abd91b727db313aa72cf096e0635e9d897e455",
    16,
)

REGIONS = ("muscat-a", "sohar-a", "salalah-a")
REGION_LISTS = [(), ("muscat-a",), ("sohar-a",), ("salalah-a",), ("muscat-a", "sohar-a"), REGIONS]


def allowed_regions(decisions):
    """Return the regions where the catalog lets the test account's requests be served."""
    catalog = decisions.config.catalog
    account, route = catalog.account("rinks"), catalog.routes_by_target["ice-model"]
    directory_client = catalog.client(account.client)
    region_limits = [
        set(account.residency),
        set(route.regions),
        {directory_client.home} if directory_client and directory_client.home else (),
    ]
    remaining_regions = set(REGIONS)
    for region_limit in region_limits:
        remaining_regions &= set(region_limit) or set(REGIONS)
    return remaining_regions


@behave.when("{count:d} random histories of region limits and requests are played")
def step_play_random_histories(context, count):
    context.residency_violations = []
    context.forwards = []
    context.results = []
    context.served_requests = 0

    @hypothesis.seed(RANDOM_CASES_SEED)
    @hypothesis.settings(histories.PROFILE, max_examples=count)
    @hypothesis.given(strategies.integers(0, 10000))
    def play(seed):
        rng = random.Random(seed)
        allowed_at_entry = {}

        def serve(fleet, instance, work, report):
            context.served_requests += 1
            if instance.region not in allowed_regions(instance.decisions):
                context.residency_violations.append(("server", seed, work.request.id))
            if instance.region not in allowed_at_entry[work.request.id]:
                context.residency_violations.append(("entry", seed, work.request.id))
            request_flow.serve_at_once(fleet, instance, work, report)

        fleet = builders.a_fleet(seed, regions=REGIONS, per_region=1, serve=serve, settle_s=4.0)

        def record_allowed_regions(instance, name):
            allowed_at_entry[name] = allowed_regions(instance.decisions)

        fleet.on_admission = record_allowed_regions

        def merge_random_limits():
            limit_specs = [
                builders.an_account(residency=rng.choice(REGION_LISTS), client="rinks"),
                builders.a_route(regions=rng.choice(REGION_LISTS)),
                client.Client(name="rinks", home=rng.choice(["", *REGIONS])),
            ]
            version = int(fleet.now * 100) + 10
            for instance in fleet.alive():
                if rng.random() < 0.6:
                    new_entries = [builders.an_entry(s, version=version) for s in limit_specs]
                    instance.decisions.config.merge_entries(
                        rng.sample(new_entries, rng.randint(1, 3))
                    )

        def send_random_request():
            instance = rng.choice(fleet.alive())
            now = instance.local_time(fleet.now)
            request = builders.a_request(deadline=now + 5)
            context.results.append(fleet.request(instance, request))

        for _ in range(30):
            merge_random_limits()
            if rng.random() < 0.2:
                fleet.net.cut(*rng.sample(REGIONS, 2))
            if rng.random() < 0.2:
                fleet.net.heal()
            send_random_request()
            fleet.run(rng.choice([0.02, 0.06, 0.3, 1.0]))
        fleet.run(8.0)
        context.forwards.extend(fleet.forwards)

    play()


@behave.then("no request was served in a region that the entry or serving instance did not allow")
def step_served_inside_allowed_regions(context):
    assert context.served_requests > 100, context.served_requests
    assert not context.residency_violations, context.residency_violations[:5]


@behave.then("no request was forwarded more than once")
def step_forwarded_once(context):
    entry_instances = {result.request.id: result.instance for result in context.results}
    repeated_forwards = [
        forward_record
        for forward_record in context.forwards
        if forward_record[1] != entry_instances[forward_record[0]]
    ]
    assert context.forwards and not repeated_forwards, repeated_forwards


@behave.then("every refusal for lack of a region or upstream says not-run")
def step_region_refusals_not_run(context):
    refusals = [r.error for r in context.results if r.error is not None]
    region_error_codes = {
        errors.Code.RESIDENCY,
        errors.Code.PEER_UNREACHABLE,
        errors.Code.NO_UPSTREAM,
    }
    run_statuses = {error.run for error in refusals if error.code in region_error_codes}
    assert refusals and run_statuses <= {errors.RunStatus.NOT_RUN}, refusals[:5]


def parse_regions(text):
    """Return the regions of a comma-separated list; empty for no limit."""
    return tuple(text.split(",")) if text not in ("anywhere", "nowhere") else ()


@behave.given("an account for {account}, a route for {route} and a directory home of {home}")
def step_load_limits(context, account, route, home):
    context.fleet = builders.a_fleet(1, regions=REGIONS, per_region=1, settle_s=4.0)
    limit_specs = [
        builders.an_account(residency=parse_regions(account), client="rinks"),
        builders.a_route(regions=parse_regions(route)),
        client.Client(name="rinks", home="" if home == "nowhere" else home),
    ]
    context.fleet.load([builders.an_entry(spec, version=5) for spec in limit_specs])


@behave.when("a request comes to an instance in muscat-a")
def step_send_request(context):
    instance = context.fleet.alive()[0]
    request = builders.a_request(deadline=instance.local_time(context.fleet.now) + 5)
    context.result = context.fleet.request(instance, request)
    context.request_context = instance.decisions.in_flight.contexts.get(request.id)
    context.fleet.run(3.0)


@behave.then("the request may be served in {regions_text}")
def step_check_allowed_regions(context, regions_text):
    if regions_text == "refused":
        error = context.result.error
        assert (error.code, error.run) == (errors.Code.RESIDENCY, errors.RunStatus.NOT_RUN), error
        return
    expected = None if regions_text == "anywhere" else frozenset(parse_regions(regions_text))
    assert context.request_context.regions == expected, context.request_context.regions
    assert context.result.error is None, context.result.error


@behave.given("an instance whose region {has_upstreams} upstreams")
def step_start_instance(context, has_upstreams):
    replicas = 2 if has_upstreams == "has" else 0
    site = builders.a_site(regions=("muscat-a",), replicas=replicas)
    site += [builders.an_upstream("far", region="sohar-a")]
    context.fleet = builders.a_fleet(1, regions=("muscat-a", "sohar-a"), per_region=1, specs=site)


@behave.when("a peer forwards a request that visited {visited} with {hops:d} hops")
def step_send_forwarded_request(context, visited, hops):
    instance = context.fleet.alive()[0]
    visited_names = (instance.name,) if visited == "itself" else ("sohar-a-1~2",)
    request = builders.a_request(deadline=instance.local_time(context.fleet.now) + 5)
    hop: requests.Hop = builders.a_hop(hops=hops, visited=visited_names)
    context.result = context.fleet.request(instance, request, hop)
    context.fleet.run(3.0)


@behave.then("the request is served")
def step_request_served(context):
    assert context.result.error is None and context.result.finished_at, context.result.error
    assert not context.fleet.forwards


@behave.then("the request is refused {code}")
def step_request_refused(context, code):
    error = context.result.error
    assert (error.code.wire, error.run) == (code, errors.RunStatus.NOT_RUN), error
    assert not context.fleet.forwards


@behave.given("an instance whose only upstream is busy, and a request that waits for it")
def step_queue_behind_busy_upstream(context):
    site = builders.a_site(regions=("muscat-a", "sohar-a"), replicas=1)
    for spec in site:
        if type(spec) is upstream.Upstream:
            spec.slots = 1
    context.served_requests = []

    def serve(fleet, instance, work, report):
        context.served_requests.append((work.request.id, instance.region))
        fleet.clock.schedule_after(2.0, lambda: report("head"))
        fleet.clock.schedule_after(2.1, lambda: report("end", usage=answers.Usage(1, 1)))

    regions = ("muscat-a", "sohar-a")
    context.fleet = builders.a_fleet(1, regions=regions, per_region=1, specs=site, serve=serve)
    context.entry_instance = context.fleet.alive()[0]
    context.entry_instance.decisions.placement.spill_gain_s = 1e6
    for _ in range(3):
        request = builders.a_request(
            deadline=context.entry_instance.local_time(context.fleet.now) + 20
        )
        context.result = context.fleet.request(context.entry_instance, request)
    assert context.entry_instance.decisions.queue.size == 1


@behave.when("an operator restricts the account to {region}")
def step_restrict_account(context, region):
    spec = builders.an_account(residency=(region,))
    context.fleet.load([builders.an_entry(spec, version=9)])


@behave.when("the upstream becomes free")
def step_free_upstream(context):
    context.fleet.run(6.0)


@behave.then("the waiting request is served in {region}")
def step_waiting_request_served(context, region):
    assert context.result.error is None, context.result.error
    serving_regions = [
        serving_region
        for name, serving_region in context.served_requests
        if name == context.result.request.id
    ]
    assert serving_regions == [region], context.served_requests


@behave.given("an attempt at an upstream that may have run")
def step_begin_attempt(context):
    context.fleet = builders.a_fleet(regions=("muscat-a",), per_region=1)
    (context.instance,) = context.fleet.alive()
    now = context.instance.local_time(context.fleet.now)
    context.request = builders.a_request(deadline=now + 60)
    next_action = context.instance.decisions.begin(context.request, None, now)
    assert type(next_action.action) is actions.Perform, next_action


@behave.when(
    "the account is restricted to muscat-a and its route to sohar-a, and the attempt has failed"
)
def step_restrict_and_fail(context):
    specs = (
        builders.an_account(residency=("muscat-a",)),
        builders.a_route(regions=("sohar-a",)),
    )
    context.fleet.load([builders.an_entry(spec, version=2) for spec in specs])
    now = context.instance.local_time(context.fleet.now)
    failure = builders.a_failure(context.request.id)
    context.next_action = context.instance.decisions.resume(context.request.id, failure, now)


@behave.then("its refusal for residency says that it may have run")
def step_check_told(context):
    error = context.next_action.action.error
    assert error.code is errors.Code.RESIDENCY, error
    assert error.run is errors.RunStatus.MAY_HAVE_RUN, error
