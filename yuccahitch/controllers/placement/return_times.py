"""Decides when callers may return whose requests found no memory at any engine."""

from __future__ import annotations

import math
import random

from yuccahitch import records

# Time over which refused tokens count as a crowd that will return, in seconds.
CROWD_S = 1.0


class Crowd(records.Record):
    """Tokens that were refused lately for a service.

    Attributes:
        tokens: Tokens of the refused requests, fewer the longer ago they were refused.
        counted_at: When that was worked out, in monotonic seconds.
    """

    __slots__ = ("tokens", "counted_at")

    def __init__(self, tokens: float, counted_at: float) -> None:
        self.tokens = tokens
        self.counted_at = counted_at


class ReturnTimes:
    """Spreads callers over the time in which engines get room for them.

    Args:
        rng: Seeded source of random numbers.

    Attributes:
        crowds: What this instance refused lately, by service.
    """

    __slots__ = ("rng", "crowds")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.crowds: dict[str, Crowd] = {}

    def next_s(
        self, service: str, *, needed_tokens: int, freed_per_s: float, instances: int, now: float
    ) -> float:
        """Return after what time the caller of a request that is refused may return, in seconds.

        Args:
            service: Name of the service.
            needed_tokens: Tokens that the request takes.
            freed_per_s: Tokens that requests free each second at all engines of the region.
            instances: Number of instances that refuse callers as this one does.
            now: Monotonic seconds.
        """
        crowd = self.crowds.setdefault(service, Crowd(0.0, now))
        earlier_tokens = crowd.tokens * math.exp((crowd.counted_at - now) / CROWD_S)
        crowd.tokens = earlier_tokens + needed_tokens
        crowd.counted_at = now
        own_freed_per_s = max(1.0, freed_per_s / instances)
        first_s = needed_tokens / max(1.0, freed_per_s)
        return first_s + self.rng.random() * crowd.tokens / own_freed_per_s
