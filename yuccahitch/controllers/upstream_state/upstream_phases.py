"""The phase of an upstream's life, for the metrics."""

from __future__ import annotations

import math

from yuccahitch.controllers.upstream_state import replica_state

# Each is a label of a metric.
PHASES = ("ready", "cold", "ejected", "evacuated", "leaving", "missing")


def phase(replica: replica_state.Replica, now: float, *, evacuated: bool, cold: bool) -> str:
    """Return the phase of an upstream, one of PHASES.

    Args:
        replica: The upstream.
        now: Monotonic seconds.
        evacuated: Whether its zone is evacuated.
        cold: Whether it is cold.
    """
    if replica.removal_at < math.inf:
        return "missing"
    if replica.leaving or replica.misdirected:
        return "leaving"
    if evacuated:
        return "evacuated"
    if now < replica.ejected_until:
        return "ejected"
    return "cold" if cold else "ready"
