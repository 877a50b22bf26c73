"""Steps for requests with idempotency keys."""

from __future__ import annotations

import random

import behave
import hypothesis
from hypothesis import strategies

from fakes import network, services
from tests import builders, histories
from yuccahitch import errors
from yuccahitch.messages import answers

# Seed of the random cases. Without it hypothesis derives them from the source of the test, so any
# edit of the source would change the cases.
RANDOM_CASES_SEED = int(
    "c491cf4d6e32d486eed9f7c8c3faf8de3455492bc0373ef1"
    "07e2e3b61c71bcf219687225f0f48347c167e5b1b01dbab1",
    16,
)
# Longest time after which a request is given up at its instance, in seconds.
MAX_GIVE_UP_S = 0.4


def wall_time_ms(fleet):
    """Return the wall-clock time of a fleet in milliseconds since the epoch."""
    return int((1_800_000_000.0 + fleet.now) * 1000)


@behave.given("an order service behind {count:d} instances in each of {regions:d} regions")
def step_start_order_service(context, count, regions):
    context.service = services.CountingUpstream()
    context.fleet = builders.a_fleet(
        11, regions=histories.REGIONS[:regions], per_region=count, serve=context.service.serve
    )
    context.members = context.fleet.alive()
    context.sent_requests = []
    context.key = ""
    context.digest = "order-1"


def new_key(context, kind, age=0.0):
    """Return a chosen or minted key that is ``age`` seconds old; empty for another kind."""
    fleet = context.fleet
    if kind == "chosen":
        return builders.uuid7(wall_time_ms(fleet) - int(age * 1000))
    if kind == "minted":
        wall_time_s = 1_800_000_000.0 + fleet.now - age
        return context.members[0].decisions.operations.mint_key("rinks", wall_time_s)
    return ""


def send_order(context, number, **overrides):
    """Send the current order to the instance with a number that starts at 1."""
    instance = context.members[int(number) - 1]
    arguments = {
        "operation_key": context.key,
        "digest": context.digest,
        "deadline": instance.local_time(context.fleet.now) + 30,
    }
    result = context.fleet.request(instance, builders.an_order(**(arguments | overrides)))
    context.sent_requests.append((result, context.fleet.now))


@behave.when("an order with a {kind} key is sent to instance {number:d}")
@behave.when("a new order with a {kind} key is sent to instance {number:d}")
def step_send_new_order(context, kind, number):
    context.key = new_key(context, kind)
    context.digest = f"order-{len(context.sent_requests) + 1}"
    send_order(context, number)


@behave.when("an order without a key is sent to instance {number:d}")
def step_send_without_key(context, number):
    step_send_new_order(context, "no", number)


@behave.when(
    "an order with a {kind} key that is {age:g} seconds old is sent to instance {number:d}"
)
def step_send_aged_key(context, kind, age, number):
    context.key = new_key(context, kind, age)
    send_order(context, number)


@behave.when("an order with a minted key of another account is sent to instance {number:d}")
def step_send_key_of_other_account(context, number):
    context.key = context.members[0].decisions.operations.mint_key("others", 1_800_000_000.0)
    send_order(context, number)


@behave.when("an order with a minted key whose instance was changed is sent to instance 1")
def step_send_changed_key(context):
    minted = new_key(context, "minted")
    context.key = minted.replace(context.members[0].name, context.members[1].name)
    send_order(context, 1)


@behave.when("the same order is sent to instance {number:d}")
def step_repeat_order(context, number):
    send_order(context, number)


@behave.when("another order with the same key is sent to instance {number:d}")
def step_send_other_body(context, number):
    send_order(context, number, digest="another")


@behave.when("an order with a {kind} key is sent to all instances at once")
def step_send_to_all(context, kind):
    context.key = new_key(context, kind)
    for number, _ in enumerate(context.members):
        send_order(context, number + 1)


@behave.when("a model request is sent to instance {number:d}")
def step_send_model_request(context, number):
    instance = context.members[number - 1]
    request = builders.a_request(deadline=instance.local_time(context.fleet.now) + 30)
    context.sent_requests.append((context.fleet.request(instance, request), context.fleet.now))


@behave.when("{seconds:g} seconds pass for the service")
def step_run_seconds(context, seconds):
    context.fleet.run(seconds)


@behave.when("instance {number:d} crashes after {seconds:g} seconds")
def step_crash_after(context, number, seconds):
    context.fleet.run(seconds)
    context.fleet.kill(context.members[number - 1])


@behave.when("instance {number:d} is frozen for {seconds:g} seconds")
def step_freeze_instance(context, number, seconds):
    context.fleet.run(0.05)
    context.fleet.pause(context.members[number - 1], seconds)


@behave.when("the store's answers to instance 1 are lost for 1 second")
def step_lose_store_answers(context):
    context.fleet.net.cut(network.STORE, context.members[0].name, both=False)
    context.fleet.clock.schedule_after(1.0, context.fleet.net.heal)


@behave.when("the store goes down")
def step_stop_store(context):
    context.fleet.net.store_down = True


@behave.when("the next attempts have the faults {faults}")
def step_set_faults(context, faults):
    context.service.faults = faults.split()


def first_order_runs(context):
    """Return how often the upstream ran the first order."""
    return context.service.runs_by_digest["order-1"]


@behave.then("the order ran at most 1 time")
def step_ran_at_most_once(context):
    assert first_order_runs(context) <= 1, context.service.runs_by_digest


@behave.then("the order ran {count:d} time")
@behave.then("the order ran {count:d} times")
def step_ran_times(context, count):
    assert first_order_runs(context) == count, context.service.runs_by_digest


@behave.then("the last sender got the first answer again")
def step_answer_replayed(context):
    result, _ = context.sent_requests[-1]
    assert result.error is None and result.finished_at, result.error
    assert context.service.attempts_by_request[result.request.id] == 0


@behave.then("the last sender got an answer")
def step_request_answered(context):
    result, _ = context.sent_requests[-1]
    assert result.error is None and result.finished_at is not None, result.error


@behave.then("the last sender is refused with {code}")
def step_request_refused(context, code):
    result, _ = context.sent_requests[-1]
    assert result.error is not None and result.error.code.wire == code, result.error


@behave.then("the refusal has run status not-run and operation status unknown")
def step_operation_unknown(context):
    result, _ = context.sent_requests[-1]
    assert result.error.run is errors.RunStatus.NOT_RUN and result.operation == "unknown", (
        result.error,
        result.operation,
    )


@behave.then("the last sender gets the outcome {outcome}")
def step_outcome_is(context, outcome):
    result, _ = context.sent_requests[-1]
    if outcome == "an answer":
        step_request_answered(context)
    else:
        assert result.error is not None and result.error.run.value == outcome, result.error


@behave.then("the upstream received {count:d} attempts")
def step_attempts_received(context, count):
    result, _ = context.sent_requests[-1]
    assert (
        context.service.attempts_by_request[result.request.id] == count
    ), context.service.attempts_by_request


def false_refusals(service, sent_requests):
    """Return the not-run refusals of requests that reached the upstream or had run before."""
    refusals = [(r, r.error) for r, _ in sent_requests if r.error is not None]
    not_run = [(r, e) for r, e in refusals if e.run is errors.RunStatus.NOT_RUN]
    refused_but_received = [
        (r, str(e)) for r, e in not_run if service.attempts_by_request[r.request.id]
    ]
    refused_after_run = [
        (r, str(e))
        for r, e in not_run
        if r.operation == "not-run"
        and service.first_run_at.get(r.request.digest, float("inf")) < r.finished_at
    ]
    return refused_but_received + refused_after_run


@behave.then("every refusal matches the runs of the upstream")
def step_refusals_true(context):
    assert not false_refusals(context.service, context.sent_requests), false_refusals(
        context.service, context.sent_requests
    )


@behave.when("{count:d} random histories of orders are played")
def step_play_random_histories(context, count):
    play_random_histories(context, count, give_up_share=0.0)


@behave.when("{count:d} random histories of orders are played, half of which end at any moment")
def step_play_histories_with_ends(context, count):
    play_random_histories(context, count, give_up_share=0.5)


def play_random_histories(context, count, *, give_up_share):
    """Play random histories; so many of the requests end at their instance before their reply."""
    context.max_runs = 0
    context.false_refusals = []
    context.request_count = 0

    @hypothesis.seed(RANDOM_CASES_SEED)
    @hypothesis.settings(histories.PROFILE, max_examples=count)
    @hypothesis.given(histories.histories(), strategies.integers(0, 1000))
    def play(history, seed):
        service = services.CountingUpstream(seed=seed)
        service.random_fault_share = 0.2
        fleet = builders.a_fleet(seed, regions=histories.REGIONS, serve=service.serve)
        sent_requests = []
        rng = random.Random(seed)

        def schedule_order(number):
            key = rng.choice([builders.uuid7(wall_time_ms(fleet)), mint_random_key(fleet, rng)])
            digest = f"order-{seed}-{number}"
            for _ in range(rng.randint(1, 4)):
                fleet.clock.schedule_after(
                    rng.random() * 6, lambda: send_to_random_instance(key, digest)
                )
            fleet.clock.schedule_after(rng.expovariate(1.5), lambda: schedule_order(number + 1))

        def send_to_random_instance(key, digest):
            instance = rng.choice(fleet.alive())
            request = builders.an_order(
                key, digest=digest, deadline=instance.local_time(fleet.now) + 20
            )
            sent_requests.append((fleet.request(instance, request), fleet.now))
            if rng.random() < give_up_share:
                fleet.clock.schedule_after(
                    rng.random() * MAX_GIVE_UP_S, lambda: end_request(instance, request.id)
                )

        def end_request(instance, request_id):
            if instance.alive:
                fleet.finish(instance, request_id, usage=answers.Usage(), succeeded=False)

        schedule_order(1)
        player = histories.HistoryPlayer(fleet, seed=seed)
        player.play(history)
        context.max_runs = max([context.max_runs, *service.runs_by_digest.values()])
        context.false_refusals.extend(false_refusals(service, sent_requests))
        context.request_count += len(sent_requests)

    play()


def mint_random_key(fleet, rng):
    """Return a key minted by a random live instance."""
    instance = rng.choice(fleet.alive())
    return instance.decisions.operations.mint_key("rinks", 1_800_000_000.0 + fleet.now)


@behave.then("no order ran twice")
def step_no_order_ran_twice(context):
    assert context.max_runs == 1 and context.request_count > 500, (
        context.max_runs,
        context.request_count,
    )


@behave.then("every refusal matched the runs of the upstream")
def step_random_refusals_true(context):
    assert not context.false_refusals, context.false_refusals[:5]
