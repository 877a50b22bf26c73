"""Divides the room of one priority among client accounts, by weight and by work."""

from __future__ import annotations

import typing


def divide(
    work_by_account: typing.Mapping[str, float],
    weights: typing.Mapping[str, float],
    room: float,
) -> dict[str, float]:
    """Return the part of each account's work that is admitted: weighted max-min fairness.

    An account that asks for less than its part gets all, and the others divide what it leaves.

    Args:
        work_by_account: Work that accounts ask for, in seconds a second.
        weights: Weights of accounts; those without one have a weight of 1.
        room: Work that is admitted, in seconds a second.
    """
    shares: dict[str, float] = {}
    active = {name: work for name, work in work_by_account.items() if work > 0}
    by_need = sorted(active, key=lambda name: active[name] / weights.get(name, 1.0))
    weight_left = sum(weights.get(name, 1.0) for name in by_need)
    for name in by_need:
        weight = weights.get(name, 1.0)
        granted = min(active[name], max(0.0, room) * weight / weight_left)
        shares[name] = granted / active[name]
        room -= granted
        weight_left -= weight
    return shares
