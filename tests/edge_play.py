"""Playing several instances on a platform in virtual time."""

from __future__ import annotations

from tests import builders
from yuccahitch import errors
from yuccahitch.messages import actions

STEP_S = 0.02
PULSE_S = 0.25


def meet_all(edges):
    for edge in edges:
        for other in edges:
            if other is not edge:
                edge.meet(other)


def pulse_all(edges):
    for edge in edges:
        for other in edges:
            if other is not edge:
                edge.hear(other)


def advance(edges, seconds):
    for edge in edges:
        edge.now += seconds


def upstream_of(outcome):
    """Return the upstream that a request is sent to, or no text."""
    work = getattr(outcome.action, "work", None)
    return work.upstream if type(work) is actions.Dispatch else ""


def most_in(times, window_s):
    """Return the greatest sum of weights in any window of some seconds."""
    times = sorted(times)
    best, begin, total = 0, 0, 0
    for at, weight in times:
        total += weight
        while at - times[begin][0] >= window_s:
            total -= times[begin][1]
            begin += 1
        best = max(best, total)
    return best


def take(context, edge, tokens):
    outcome = edge.ask(**{"X-Token-Usage": f"{tokens},0"})
    if upstream_of(outcome):
        context.taken.append((edge.now, tokens))
        edge.reply(outcome.request_id, builders.a_head(outcome.request_id))
    else:
        assert outcome.action.error.code is errors.Code.RATE_EXCEEDED
    edge.finish(outcome.request_id, succeeded=bool(upstream_of(outcome)))
