"""Judges: what a history must not show, worked out from what really happened."""

from __future__ import annotations

import itertools
import typing

from fakes import fleet as fleets
from fakes import request_flow

TOLERANCE_TOKENS = 1e-3


def uses(results: typing.Iterable[request_flow.RequestResult]) -> list[tuple[float, float]]:
    """Return time and tokens of each admitted request, in the order of the times.

    A request counts with all that its upstream really used, from the moment of its admission.
    """
    found = [
        (result.admitted_at, float(result.usage.prompt + result.usage.output))
        for result in results
        if result.admitted_at is not None
    ]
    return sorted(found)


def worst_excess(
    history: typing.Iterable[tuple[float, float]], *, rate: float, burst: float
) -> float:
    """Return by how many tokens the worst window exceeds burst + rate x window; 0 if none does.

    A bucket that is drawn below nothing is the same as a window that exceeds its bound.
    """
    level, last, worst = burst, 0.0, 0.0
    for at, tokens in history:
        level = min(burst, level + rate * (at - last)) - tokens
        last = at
        worst = max(worst, -level)
    return worst if worst > TOLERANCE_TOKENS else 0.0


def ideal_refusals(
    asked: typing.Iterable[tuple[float, float]], *, rate: float, burst: float
) -> int:
    """Return how many requests one bucket for the whole fleet would have refused."""
    level, last, refused = burst, 0.0, 0
    for at, tokens in asked:
        level = min(burst, level + rate * (at - last))
        last = at
        if tokens <= level:
            level -= tokens
        else:
            refused += 1
    return refused


def entitlement(fleet: fleets.Fleet, account: str) -> tuple[int, float]:
    """Return the parts that may be spent at this moment, and the tokens, all together.

    Tokens that reservations may get back count as well. An instance that is frozen counts with
    what it may spend when it wakes.
    """
    parts, tokens = 0, 0.0
    for instance in fleet.alive():
        held = instance.decisions.rate_limiter.holdings.get(account)
        if held is None:
            continue
        now = instance.local_time(fleet.now)
        if instance.decisions.store_session.may_spend(now):
            parts += max(0, held.unlent_parts())
            tokens += held.own_bucket.level + held.own_bucket.refundable_total
        live = [loan for loan in held.incoming_loans.values() if now < loan.expires_at]
        parts += sum(loan.parts for loan in live)
        tokens += (
            held.borrowed_bucket.level + held.borrowed_bucket.refundable_total if live else 0.0
        )
    return parts, tokens


def overlaps(spans: typing.Iterable[tuple[float, float]]) -> bool:
    """Return whether any two spans of time overlap."""
    ordered = sorted(spans)
    return any(second[0] < first[1] for first, second in itertools.pairwise(ordered))
