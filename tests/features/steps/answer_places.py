"""Steps about the places of upstreams that have sent whole answers, in virtual time."""

from __future__ import annotations

import behave

from tests import builders
from yuccahitch.messages import request_lifecycle

# Time that an upstream works, and time that a slow caller takes to read the answer, in seconds.
WORK_S, READING_S = 0.2, 50.0


@behave.when("two requests run at u1, and the caller of the first lets its whole answer wait")
def step_let_answer_wait(context):
    (edge,) = context.edges
    first, _ = [edge.begin_request() for _ in range(2)]
    context.first_id = first.request_id
    edge.decisions.resume(first.request_id, builders.a_head(first.request_id), edge.now)
    request = edge.decisions.in_flight.contexts[first.request_id].request
    edge.now += WORK_S
    received = request_lifecycle.Received(first.request_id, request)
    edge.decisions.in_flight.record_received(received, edge.now)


@behave.then("u1 counts {count:d} request, and still {same:d} once the first is over")
def step_check_count(context, count, same):
    (edge,) = context.edges
    replica = edge.decisions.registry.by_name["u1"]
    assert replica.running == count, replica.running
    edge.now += READING_S
    edge.finish_request(context.first_id)
    assert replica.running == same, replica.running


@behave.then("the time that the caller takes is not taken for work")
def step_check_work_time(context):
    (edge,) = context.edges
    estimate_s = edge.decisions.balancer.estimates.work_s["desk"]
    assert estimate_s < WORK_S + READING_S / 10, estimate_s
