"""Drives several instances on a platform in virtual time."""

from __future__ import annotations

from tests import builders
from yuccahitch import errors
from yuccahitch.messages import actions

STEP_S = 0.02
PULSE_INTERVAL_S = 0.25


def discover_all(edges):
    """Let every instance discover every other one."""
    for edge in edges:
        for other in edges:
            if other is not edge:
                edge.discover(other)


def exchange_pulses(edges):
    """Deliver the present pulse of every instance to every other one."""
    for edge in edges:
        for other in edges:
            if other is not edge:
                edge.receive_pulse_from(other)


def advance_clocks(edges, seconds):
    """Advance the virtual time of every instance."""
    for edge in edges:
        edge.now += seconds


def dispatched_upstream(outcome):
    """Return the name of the upstream that a request is dispatched to, or an empty string."""
    dispatch = getattr(outcome.action, "work", None)
    return dispatch.upstream if type(dispatch) is actions.Dispatch else ""


def max_weight_in_window(weighted_times, window_s):
    """Return the greatest sum of weights in any window of ``window_s`` seconds.

    Args:
        weighted_times: Pairs of a time in seconds and a weight, in any order.
        window_s: Length of the window, without its end.
    """
    weighted_times = sorted(weighted_times)
    max_weight, window_start, window_weight = 0, 0, 0
    for time_s, weight in weighted_times:
        window_weight += weight
        while time_s - weighted_times[window_start][0] >= window_s:
            window_weight -= weighted_times[window_start][1]
            window_start += 1
        max_weight = max(max_weight, window_weight)
    return max_weight


def request_tokens(context, edge, tokens):
    """Send a request of some tokens to an instance, and finish it at once.

    An admitted request is appended to ``context.admitted_tokens`` as its time and tokens; the only
    refusal allowed is for the account's rate.
    """
    outcome = edge.begin_request(**{"X-Token-Usage": f"{tokens},0"})
    if dispatched_upstream(outcome):
        context.admitted_tokens.append((edge.now, tokens))
        edge.resume_request(outcome.request_id, builders.a_head(outcome.request_id))
    else:
        assert outcome.action.error.code is errors.Code.RATE_EXCEEDED
    edge.finish_request(outcome.request_id, succeeded=bool(dispatched_upstream(outcome)))
