"""Checks of a finished history against the bounds on rates, shares and overlaps."""

from __future__ import annotations

import itertools
import typing

from fakes import fleet as fleets
from fakes import request_flow

TOLERANCE_TOKENS = 1e-3


def admitted_usage(
    results: typing.Iterable[request_flow.RequestResult],
) -> list[tuple[float, float]]:
    """Return the admission time and the tokens of each admitted request, ordered by time.

    All tokens that the upstream used count from the moment of admission.
    """
    times_and_tokens = [
        (result.admitted_at, float(result.usage.prompt + result.usage.output))
        for result in results
        if result.admitted_at is not None
    ]
    return sorted(times_and_tokens)


def worst_excess(
    history: typing.Iterable[tuple[float, float]], *, rate: float, burst: float
) -> float:
    """Return by how many tokens the worst window exceeds burst + rate x window; 0 if none does.

    It replays one token bucket: a level below zero means that a window exceeded its bound.
    """
    level, previous_s, worst = burst, 0.0, 0.0
    for time_s, tokens in history:
        level = min(burst, level + rate * (time_s - previous_s)) - tokens
        previous_s = time_s
        worst = max(worst, -level)
    return worst if worst > TOLERANCE_TOKENS else 0.0


def single_bucket_refusals(
    requested: typing.Iterable[tuple[float, float]], *, rate: float, burst: float
) -> int:
    """Return how many requests a single token bucket for the whole fleet would have refused.

    Args:
        requested: Time and tokens of each request, ordered by time.
        rate: Tokens a second of the bucket.
        burst: Capacity of the bucket in tokens.
    """
    level, previous_s, refused = burst, 0.0, 0
    for time_s, tokens in requested:
        level = min(burst, level + rate * (time_s - previous_s))
        previous_s = time_s
        if tokens <= level:
            level -= tokens
        else:
            refused += 1
    return refused


def spendable_now(fleet: fleets.Fleet, account: str) -> tuple[int, float]:
    """Return the parts and the tokens of an account that all instances together may spend now.

    Tokens that reservations may refund count as well. A frozen instance counts with what it may
    spend when it resumes.
    """
    parts, tokens = 0, 0.0
    for instance in fleet.alive():
        holding = instance.decisions.rate_limiter.holdings.get(account)
        if holding is None:
            continue
        now = instance.local_time(fleet.now)
        if instance.decisions.store_session.may_spend(now):
            parts += max(0, holding.unlent_parts())
            tokens += holding.own_bucket.level + holding.own_bucket.refundable_total
        valid_loans = [loan for loan in holding.incoming_loans.values() if now < loan.expires_at]
        parts += sum(loan.parts for loan in valid_loans)
        tokens += (
            holding.borrowed_bucket.level + holding.borrowed_bucket.refundable_total
            if valid_loans
            else 0.0
        )
    return parts, tokens


def overlaps(intervals: typing.Iterable[tuple[float, float]]) -> bool:
    """Return whether any two intervals, given as pairs of start and end, overlap."""
    ordered = sorted(intervals)
    return any(second[0] < first[1] for first, second in itertools.pairwise(ordered))
