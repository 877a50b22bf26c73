"""Steps about orders to engines."""

from __future__ import annotations

import itertools

import behave

from fakes import network, services
from tests import builders, history_checks
from yuccahitch import errors
from yuccahitch.controllers import orders

TICKETS = itertools.count(1)
PATIENCE_S = 60.0


@behave.given("an engine that {checks} fencing numbers behind {count:d} instances")
def step_engine(context, checks, count):
    site = builders.a_site(replicas=0)
    abilities = ("orders", "fencing") if checks == "checks" else ("orders",)
    site.append(builders.an_upstream("engine-1", abilities=abilities))
    context.fleet = builders.a_fleet(5, regions=("muscat-a",), per_region=count, specs=site)
    context.engine = services.OrderEngine(fencing=checks == "checks")
    context.fleet.order_engine = context.engine
    context.members = context.fleet.alive()
    context.tickets = []


def give(context, number):
    instance = context.members[int(number) - 1]
    ticket = f"order-{next(TICKETS)}"
    until = instance.local_time(context.fleet.now) + PATIENCE_S
    order = orders.Order(ticket, upstream="engine-1", body=b"{}", send_deadline=until)
    context.tickets.append(ticket)
    context.fleet.run_on(instance, lambda now: instance.decisions.orders.begin_order(order, now))
    return ticket


@behave.when("instance {number:d} gives an order and {seconds:g} seconds pass")
def step_give(context, number, seconds):
    give(context, number)
    context.fleet.run(seconds)


@behave.when("instances 1 and 2 give an order at the same moment")
def step_race(context):
    give(context, 1)
    give(context, 2)


@behave.when("{seconds:g} seconds pass for the engine")
def step_pass(context, seconds):
    context.fleet.run(seconds)


@behave.when("instance 1 gives an order and crashes {seconds:g} seconds later")
def step_crash(context, seconds):
    give(context, 1)
    context.fleet.run(seconds)
    context.fleet.kill(context.members[0])


@behave.when("instance 1 gives an order and freezes for {pause:g} seconds {seconds:g} later")
def step_freeze(context, pause, seconds):
    give(context, 1)
    context.fleet.run(seconds)
    context.fleet.pause(context.members[0], pause)


@behave.when("instance 1 gives an order and loses the store {seconds:g} seconds later")
def step_lose(context, seconds):
    give(context, 1)
    context.fleet.run(seconds)
    context.fleet.net.cut(context.members[0].name, network.STORE)


@behave.when("the engine's answers are lost")
def step_lose_answers(context):
    context.engine.lose_answers = True


@behave.when("instance 2 gives orders until one is taken")
def step_until_taken(context):
    for _ in range(40):
        ticket = give(context, 2)
        context.fleet.run(2.0)
        given = context.fleet.wake_replies.get(ticket)
        if given is None or given.error is None:
            context.fleet.run(PATIENCE_S)
            return
    raise AssertionError("no order was ever taken")


@behave.then("both orders were carried out with growing numbers")
def step_both(context):
    given = [context.fleet.wake_replies[ticket] for ticket in context.tickets]
    assert all(item.error is None for item in given), given
    assert given[0].fence < given[1].fence and len(context.engine.spans) == 2, given


@behave.then("no two orders were at work at once")
def step_no_overlap(context):
    assert context.engine.spans, "no order was at work"
    assert not history_checks.overlaps(context.engine.spans), context.engine.spans


@behave.then("one order was carried out and the other was refused with not-run")
def step_one(context):
    given = [context.fleet.wake_replies[ticket] for ticket in context.tickets]
    refused = [item.error for item in given if item.error is not None]
    assert len(refused) == 1 and refused[0].run is errors.RunStatus.NOT_RUN, given
    assert len(context.engine.spans) == 1, context.engine.spans


@behave.then("the operator is told may-have-run")
def step_told(context):
    given = context.fleet.wake_replies[context.tickets[-1]]
    assert given.error.run is errors.RunStatus.MAY_HAVE_RUN, given
