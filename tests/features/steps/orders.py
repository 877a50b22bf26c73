"""Steps for orders that operators send to engines."""

from __future__ import annotations

import itertools

import behave

from fakes import network, services
from tests import builders, history_checks
from yuccahitch import errors
from yuccahitch.controllers.runs import orders

ORDER_NUMBERS = itertools.count(1)
ORDER_TIMEOUT_S = 60.0  # an order that was not sent by then is refused


@behave.given("an engine that {checks} fencing numbers behind {count:d} instances")
def step_start_engine(context, checks, count):
    site = builders.a_site(replicas=0)
    abilities = ("orders", "fencing") if checks == "checks" else ("orders",)
    site.append(builders.an_upstream("engine-1", abilities=abilities))
    context.fleet = builders.a_fleet(5, regions=("muscat-a",), per_region=count, specs=site)
    context.engine = services.OrderEngine(fencing=checks == "checks")
    context.fleet.order_engine = context.engine
    context.members = context.fleet.alive()
    context.order_ids = []


def start_order(context, number):
    """Start an order at the instance with a number that starts at 1; return the order id."""
    instance = context.members[int(number) - 1]
    order_id = f"order-{next(ORDER_NUMBERS)}"
    deadline = instance.local_time(context.fleet.now) + ORDER_TIMEOUT_S
    order = orders.Order(order_id, upstream="engine-1", body=b"{}", send_deadline=deadline)
    context.order_ids.append(order_id)
    context.fleet.run_on(instance, lambda now: instance.decisions.orders.begin_order(order, now))
    return order_id


@behave.when("instance {number:d} sends an order and {seconds:g} seconds pass")
def step_give_order(context, number, seconds):
    start_order(context, number)
    context.fleet.run(seconds)


@behave.when("instances 1 and 2 send an order at the same time")
def step_give_two_orders(context):
    start_order(context, 1)
    start_order(context, 2)


@behave.when("{seconds:g} seconds pass for the engine")
def step_run_seconds(context, seconds):
    context.fleet.run(seconds)


@behave.when("instance 1 sends an order and crashes {seconds:g} seconds later")
def step_crash_after_order(context, seconds):
    start_order(context, 1)
    context.fleet.run(seconds)
    context.fleet.kill(context.members[0])


@behave.when("instance 1 sends an order and freezes for {pause_s:g} seconds {seconds:g} later")
def step_freeze_after_order(context, pause_s, seconds):
    start_order(context, 1)
    context.fleet.run(seconds)
    context.fleet.pause(context.members[0], pause_s)


@behave.when("instance 1 sends an order and loses the store {seconds:g} seconds later")
def step_cut_store_after_order(context, seconds):
    start_order(context, 1)
    context.fleet.run(seconds)
    context.fleet.net.cut(context.members[0].name, network.STORE)


@behave.when("the engine's answers are lost")
def step_lose_engine_answers(context):
    context.engine.lose_answers = True


@behave.when("instance 2 sends orders until one is accepted")
def step_repeat_until_accepted(context):
    for _ in range(40):
        order_id = start_order(context, 2)
        context.fleet.run(2.0)
        reply = context.fleet.wake_replies.get(order_id)
        if reply is None or reply.error is None:
            context.fleet.run(ORDER_TIMEOUT_S)
            return
    raise AssertionError("none of 40 orders was accepted")


@behave.then("both orders were executed with increasing fencing numbers")
def step_both_executed(context):
    replies = [context.fleet.wake_replies[order_id] for order_id in context.order_ids]
    assert all(reply.error is None for reply in replies), replies
    assert replies[0].fence < replies[1].fence and len(context.engine.spans) == 2, replies


@behave.then("no two orders were executed at the same time")
def step_no_concurrent_orders(context):
    assert context.engine.spans, "the engine executed no order"
    assert not history_checks.overlaps(context.engine.spans), context.engine.spans


@behave.then("one order was executed and the other was refused with not-run")
def step_one_executed_one_refused(context):
    replies = [context.fleet.wake_replies[order_id] for order_id in context.order_ids]
    refused = [reply.error for reply in replies if reply.error is not None]
    assert len(refused) == 1 and refused[0].run is errors.RunStatus.NOT_RUN, replies
    assert len(context.engine.spans) == 1, context.engine.spans


@behave.then("the operator receives may-have-run")
def step_operator_may_have_run(context):
    reply = context.fleet.wake_replies[context.order_ids[-1]]
    assert reply.error.run is errors.RunStatus.MAY_HAVE_RUN, reply
