"""Steps for the rates, slices and loans of client accounts."""

from __future__ import annotations

import collections

import behave

from fakes import network
from tests import builders, histories, history_checks, limited_fleets
from yuccahitch.controllers.rates import _bucket, _holding, reclaim, slice_record
from yuccahitch.messages import commands, peers, store

# Seed of the random cases. Without it hypothesis derives them from the source of the test, so any
# edit of the source would change the cases.
RANDOM_CASES_SEED = int(
    "cd827fda28daeba85a0491d6ac6d43aaea0e43169747034b"
    "e5ed589a6bced00eab8b05d5d5efc043d08562869e9acdb5",
    16,
)


@behave.when("{count:d} random histories are played")
def step_play_random_histories(context, count):
    limited_fleets.play_random_histories(context, count, RANDOM_CASES_SEED)


@behave.when("the {count:d} random histories of the seed {seed} are played")
def step_play_histories_of_seed(context, count, seed):
    limited_fleets.play_random_histories(context, count, int(seed, 16))


@behave.then("in no window did the usage exceed burst plus rate times the window")
def step_usage_within_bound(context):
    if hasattr(context, "player"):
        used = history_checks.admitted_usage(context.player.results)
        context.excess = [
            history_checks.worst_excess(used, rate=limited_fleets.RATE, burst=limited_fleets.BURST)
        ]
    assert max(context.excess) == 0, context.excess


@behave.then("the spendable parts and tokens never exceeded the rate and burst")
def step_spendable_within_bound(context):
    peaks = (
        max(monitor.peak_parts for monitor in context.spendable_monitors),
        max(monitor.peak_tokens for monitor in context.spendable_monitors),
    )
    assert peaks[0] <= limited_fleets.PARTS and peaks[1] <= limited_fleets.BURST + 0.01, peaks


@behave.given("a settled fleet with {count:d} instances in each of {regions:d} regions")
def step_start_settled_fleet(context, count, regions):
    names = histories.REGIONS[:regions]
    context.fleet = builders.a_fleet(
        7,
        regions=names,
        per_region=count,
        specs=limited_fleets.a_site(names),
        serve=histories.serve_partial_usage,
    )
    holders = recorded_parts(context)
    assert len(holders) >= min(2, count), holders
    context.members = sorted(context.fleet.alive(), key=lambda item: item.name not in holders)
    context.spendable_monitors = [limited_fleets.SpendableMonitor(context.fleet)]


def recorded_parts(context):
    """Return the number of parts that the store records for each instance name."""
    item = context.fleet.store.items["slices/rinks"]
    return slice_record.from_item(item).holders


def may_spend(context, number):
    instance = limited_fleets.member(context, number)
    return instance.decisions.store_session.may_spend(instance.local_time(context.fleet.now))


@behave.when("{seconds:g} second passes")
@behave.when("{seconds:g} seconds pass")
def step_run_seconds(context, seconds):
    context.fleet.run(seconds)


@behave.when("every instance is replaced gracefully, one after the other")
def step_replace_all_gracefully(context):
    player = histories.HistoryPlayer(context.fleet)
    for replaced_instance in context.members:
        instance_index = context.fleet.alive().index(replaced_instance)
        histories.play_step(histories.Leave(instance_index), player)
        context.fleet.run(8.0)
        assert not replaced_instance.alive, replaced_instance.name
    context.fleet.run(10.0)


@behave.then("all parts are held by live instances")
def step_live_instances_hold_all(context):
    names = {instance.name for instance in context.fleet.alive()}
    holders = recorded_parts(context)
    assert set(holders) <= names and sum(holders.values()) == limited_fleets.PARTS, (holders, names)


@behave.then("after {seconds:g} seconds all parts are held by live instances")
def step_live_instances_hold_all_after(context, seconds):
    context.fleet.run(seconds)
    step_live_instances_hold_all(context)


@behave.when("instance {number:d} crashes")
def step_crash_instance(context, number):
    context.fleet.kill(limited_fleets.member(context, number))


@behave.then("after {seconds:g} seconds instance 1 still holds its slice in the store")
def step_crashed_keeps_slice(context, seconds):
    context.fleet.run(seconds)
    assert recorded_parts(context).get(limited_fleets.member(context, 1).name, 0) > 0


@behave.when("instance {number:d} is cut off from the store and its peers")
def step_cut_store_and_peers(context, number):
    name = limited_fleets.member(context, number).name
    for other in [network.STORE, *(item.name for item in context.members)]:
        if other != name:
            context.fleet.net.cut(name, other)


@behave.when("instance {number:d} is cut off from the store")
def step_cut_store(context, number):
    context.fleet.net.cut(limited_fleets.member(context, number).name, network.STORE)


@behave.when("instances 1 and 2 are cut off from the store")
def step_cut_store_of_two(context):
    for number in (1, 2):
        step_cut_store(context, number)


@behave.when("instance {number:d} reconnects to the store")
def step_reconnect_to_store(context, number):
    name = limited_fleets.member(context, number).name
    context.fleet.net.cuts = {pair for pair in context.fleet.net.cuts if name not in pair}


@behave.when("the others are cut off from instance 1")
def step_cut_peers_of_first(context):
    name = limited_fleets.member(context, 1).name
    for other in context.members[1:]:
        context.fleet.net.cut(name, other.name)


@behave.then("after {seconds:g} seconds instance {number:d} may not spend")
def step_may_not_spend_after(context, seconds, number):
    context.fleet.run(seconds)
    assert not may_spend(context, number)


@behave.then("instance {number:d} may not spend")
def step_may_not_spend(context, number):
    assert not may_spend(context, number)


@behave.then("after {seconds:g} seconds instance {number:d} holds nothing in the store")
def step_no_recorded_parts_after(context, seconds, number):
    context.fleet.run(seconds)
    assert limited_fleets.member(context, number).name not in recorded_parts(
        context
    ), recorded_parts(context)


@behave.when("the cuts heal")
def step_heal_cuts(context):
    context.fleet.net.heal()


@behave.then("instance {number:d} may spend again, within the rate and burst")
def step_may_spend_again(context, number):
    assert may_spend(context, number)
    step_spendable_within_bound(context)


@behave.then("for {seconds:g} seconds instances 1 and 2 may spend")
def step_both_may_spend_for(context, seconds):
    for _ in range(int(seconds / limited_fleets.CHECK_INTERVAL_S)):
        context.fleet.run(limited_fleets.CHECK_INTERVAL_S)
        assert may_spend(context, 1) and may_spend(context, 2), context.fleet.now


@behave.then("for {seconds:g} seconds instance {number:d} may spend")
def step_may_spend_for(context, seconds, number):
    for _ in range(int(seconds / limited_fleets.CHECK_INTERVAL_S)):
        context.fleet.run(limited_fleets.CHECK_INTERVAL_S)
        assert may_spend(context, number), context.fleet.now


@behave.then("instances 1 and 2 hold their parts in the store")
def step_both_hold_parts(context):
    assert {limited_fleets.member(context, 1).name, limited_fleets.member(context, 2).name} <= set(
        recorded_parts(context)
    )


def start_half_transfer(context):
    """Start the transfer of half the parts of instance 1 to instance 2."""
    source, target = context.members[:2]
    holding = source.decisions.rate_limiter.holdings["rinks"]

    def start_transfer(now):
        parts_by_target = {target.name: holding.own_parts // 2}
        source.decisions.slices._start_transfer("rinks", parts_by_target, now)

    context.fleet.run_on(source, start_transfer)


@behave.when(
    "instance 1 transfers half its slice to instance 2 and the write takes {seconds:g} seconds"
)
def step_transfer_with_delayed_write(context, seconds):
    source = context.members[0]
    delayed_commits = []

    def delay_first_commit(instance, command):
        is_first_commit = type(command.call) is store.Commit and not delayed_commits
        if instance is source and is_first_commit and command.call.changes[0].key == "slices/rinks":
            delayed_commits.append(command)
            context.fleet.clock.schedule_after(
                seconds, lambda: context.fleet.store.apply(command.call, context.fleet.now)
            )
            reply = store.CallFailed(may_have_applied=True, detail="time-out")
            message = commands.StoreReply(purpose=command.purpose, reply=reply, sent_at=0.0)
            context.fleet.clock.schedule_after(
                2.0,
                lambda: context.fleet.run_on(
                    source, lambda now: source.decisions.on_store(message, now)
                ),
            )
            return
        type(context.fleet).call_store(context.fleet, instance, command)

    context.fleet.on_store_call = delay_first_commit
    start_half_transfer(context)
    schedule_reads(context.fleet, context.members[1])


def schedule_reads(fleet, instance):
    """Let an instance read the slice record of the account every second, from now on."""
    fleet.run_on(instance, lambda now: instance.decisions.slices._send_read("rinks"))
    fleet.clock.schedule_after(1.0, lambda: schedule_reads(fleet, instance))


@behave.when("instance 1 is paused for {seconds:g} seconds under traffic")
def step_pause_under_traffic(context, seconds):
    context.player = histories.HistoryPlayer(context.fleet, seed=3)
    context.player.start_traffic(
        tokens_per_s=4 * limited_fleets.RATE, mean_tokens=20, max_request_tokens=100
    )
    context.player.play([histories.Pause(0, seconds), histories.Wait(seconds + 5)])


@behave.when("region {region} is cut off from all others")
def step_cut_region(context, region):
    for other in {*histories.REGIONS, network.STORE} - {region}:
        context.fleet.net.cut(region, other)
    for instance in context.members:
        instance.decisions.store_session.horizon_s = limited_fleets.DEFAULT_HORIZON_S


@behave.then("each instance of {region} serves a request")
def step_region_serves_requests(context, region):
    requests = [
        limited_fleets.send_request(context, i, 5)
        for i in context.fleet.alive()
        if i.region == region
    ]
    context.fleet.run(2.0)
    assert requests and all(r.error is None and r.finished_at for r in requests), requests[0].error


@behave.when("all instances crash and are replaced")
def step_crash_and_replace_all(context):
    player = histories.HistoryPlayer(context.fleet)
    for instance in context.members:
        context.fleet.kill(instance)
    for instance in context.members:
        player.start_replacement(instance)


@behave.then("a request is refused with {code} and run status {run}")
def step_request_refused(context, code, run):
    result = limited_fleets.send_request(context, context.fleet.alive()[0], 5)
    context.fleet.run(2.0)
    assert (result.error.code.wire, result.error.run.value) == (code, run), result.error


@behave.when("an operator releases the crashed instances")
def step_release_dead(context):
    operator = context.fleet.alive()[0]
    for dead in context.members:
        context.fleet.run_on(
            operator, lambda now, name=dead.name: operator.decisions.reclaimer.release(name, "t")
        )


@behave.when("callers use {share:g} of the rate, {skew:g} of it at instance 1, for 60 seconds")
def step_run_traffic(context, share, skew):
    context.player = histories.HistoryPlayer(context.fleet, seed=5)
    context.player.start_traffic(
        tokens_per_s=share * limited_fleets.RATE, mean_tokens=10, max_request_tokens=60, skew=skew
    )
    context.player.play([histories.Wait(60.0)])


@behave.then(
    "fewer than {bound:g} percent of the requests are refused though one bucket would admit them"
)
def step_few_wrongful_refusals(context, bound):
    results = context.player.results
    refused = sum(result.error is not None for result in results)
    times_and_tokens = [(r.requested_at, float(r.request.max_tokens)) for r in results]
    expected = history_checks.single_bucket_refusals(
        times_and_tokens, rate=limited_fleets.RATE, burst=limited_fleets.BURST
    )
    context.wrongful = max(0, refused - expected)
    assert context.wrongful * 100 < bound * len(results), (refused, expected, len(results))


@behave.when("a request for {share:g} of the burst is sent to instance 1")
def step_send_large_request(context, share):
    context.result = limited_fleets.send_request(
        context, limited_fleets.member(context, 1), share * limited_fleets.BURST
    )
    context.fleet.run(2.0)


@behave.then("the request is admitted")
def step_request_admitted(context):
    assert context.result.error is None and context.result.finished_at, context.result.error


@behave.given("a bucket with burst {burst:g} and rate {rate:g}")
def step_create_bucket(context, burst, rate):
    context.bucket = _bucket.Bucket(0.0)
    context.bucket.level = burst
    context.accrue = lambda now: context.bucket.accrue(
        now, rate=rate, burst=burst, parts=limited_fleets.PARTS
    )


@behave.when("100 tokens are reserved at 0 s and 50 tokens are reserved at 50 s")
def step_reserve_two(context):
    context.bucket.spend("first", 100)
    context.accrue(50.0)
    # Accrual is slightly below the rate, so the second reservation takes the available tokens.
    context.bucket.spend("second", min(50, context.bucket.level))


@behave.when("the first reservation is settled at 51 s with nothing used")
def step_settle_first(context):
    context.accrue(51.0)
    context.bucket.refund("first", 100)


@behave.then("no more than {tokens:g} tokens can be spent at 51 s")
def step_bucket_level_at_most(context, tokens):
    assert context.bucket.level <= tokens + 1e-6, context.bucket.level


@behave.given("a holding that borrowed 100000 and 200000 parts until 5 s and 50 s")
def step_create_holding_with_loans(context):
    context.holding = _holding.Holding(builders.a_rate(tokens_per_s=10, burst_tokens=1e6), 0.0)
    for name, parts, end in (("a", 100000, 5.0), ("b", 200000, 50.0)):
        loan = _holding.IncomingLoan(lender="x", parts=parts, expires_at=end, return_at=end)
        context.holding.borrow(name, loan, 0.0)


@behave.when("the holding is updated after 40 s")
def step_update_after_expiry(context):
    context.holding.update(40.0)


@behave.then(
    "the borrowed bucket earned the tokens of 100000 parts in 5 s and 200000 in 40 s, no more"
)
def step_borrowed_pool_earned(context):
    max_earned = 10 * (0.1 * 5 + 0.2 * 40)
    assert (
        0.999 * max_earned <= context.holding.borrowed_bucket.level <= max_earned
    ), context.holding.borrowed_bucket.level


@behave.given("an instance whose session has been absent for {absent:g} s, with an electorate of 3")
def step_track_absent_instance(context, absent):
    context.fleet = builders.a_fleet(
        7, regions=("muscat-a",), per_region=2, specs=limited_fleets.a_site(("muscat-a",))
    )
    claimant, attester = context.fleet.alive()
    context.slice_reclaimer = claimant.decisions.reclaimer
    context.now = claimant.local_time(context.fleet.now)
    context.slice_reclaimer.track("dead~1")
    candidate = context.slice_reclaimer.candidates["dead~1"]
    candidate.absent_since = context.now - absent
    candidate.electorate = ("dead~1", claimant.name, attester.name)
    candidate.attests_requested_at = context.now
    candidate.attested_by = {claimant.name}
    context.attester = attester.name
    context.slice_reclaimer.outbox.clear()


@behave.when("another member attests that it vouched for nobody for {quiet:g} s")
def step_record_attest(context, quiet):
    attest_request = reclaim.AttestRequest("dead~1", context.attester)
    answer = peers.Attest(instance=context.attester, quiet_s=quiet)
    context.slice_reclaimer.record_attest(attest_request, answer, context.now)


@behave.then("the slice is {outcome}")
def step_slice_outcome(context, outcome):
    reads = [
        type(call.purpose) is reclaim.HeldSlicesRead for call in context.slice_reclaimer.outbox
    ]
    assert any(reads) == (outcome == "taken over"), context.slice_reclaimer.outbox


@behave.when("instances 5, 6 and 7 crash 0.6 seconds apart")
def step_crash_three(context):
    context.pin_writes = collections.Counter()
    context.fleet.store.listeners.append(
        lambda key, item, revision: context.pin_writes.update(
            [key] if key.startswith("pins/") else []
        )
    )
    for number in (5, 6, 7):
        context.fleet.kill(limited_fleets.member(context, number))
        context.fleet.run(0.6)


@behave.then("each of the other instances wrote its electorate once")
def step_one_electorate_write(context):
    write_counts = [context.pin_writes[f"pins/{i.name}"] for i in context.fleet.alive()]
    assert write_counts == [1, 1, 1, 1], context.pin_writes


@behave.then("each electorate consists of the remaining instances")
def step_electorates_match_remaining(context):
    remaining = tuple(sorted(i.name for i in context.fleet.alive()))
    electorates = {i.decisions.store_session.electorate.members for i in context.fleet.alive()}
    assert electorates == {remaining}, electorates
