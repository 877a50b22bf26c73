"""Estimates how often a region's callers ask for shared prompt parts."""

from __future__ import annotations

import itertools
import math

# Time over which requests for a part are averaged, in seconds.
AVERAGE_S = 5.0
# Parts that are remembered; the one asked for least recently is dropped for a new one.
MAX_PARTS = 4096
# A part loses holders once the rest would fill them to less than this fraction.
SHRINK_FILL = 0.35


class _PartCount:
    """Decaying count of the requests for one part.

    Attributes:
        asks: Requests over about AVERAGE_S.
        updated_at: When ``asks`` was last updated, in monotonic seconds.
        holders: Upstreams that the part was last found to need; a power of two.
    """

    __slots__ = ("asks", "updated_at", "holders")

    def __init__(self, now: float) -> None:
        self.asks = 0.0
        self.updated_at = now
        self.holders = 1

    def update(self, now: float) -> None:
        """Let the count decay until now."""
        self.asks *= math.exp(-max(0.0, now - self.updated_at) / AVERAGE_S)
        self.updated_at = now


class PartDemand:
    """Counts what callers ask of this instance, and infers the demand of its region.

    Callers spread over the instances of a region, so each can infer the demand of all without
    messages.

    Attributes:
        counts: Counts by service and part, the part asked for least recently first.
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], _PartCount] = {}

    def record(self, service: str, part: str, now: float) -> None:
        """Count a request for a part."""
        key = (service, part)
        count = self.counts.pop(key, None) or _PartCount(now)
        self.counts[key] = count
        count.update(now)
        count.asks += 1.0
        for oldest in list(itertools.islice(self.counts, max(0, len(self.counts) - MAX_PARTS))):
            del self.counts[oldest]

    def region_rate(self, service: str, part: str, now: float, *, instances: int) -> float:
        """Return the requests a second that a region's callers send for a part, at least.

        One standard deviation is subtracted from the count of this instance. A part that a single
        caller happened to ask for here doesn't count as one that callers ask for everywhere.

        Args:
            service: Name of the service.
            part: Id of the part.
            now: Monotonic seconds.
            instances: Number of instances over which the callers of the region spread.
        """
        count = self.counts.get((service, part))
        if count is None:
            return 0.0
        count.update(now)
        return max(0.0, count.asks - math.sqrt(count.asks)) * instances / AVERAGE_S

    def holder_count(self, service: str, part: str, needed: float) -> int:
        """Return the number of upstreams that should hold a part.

        Powers of two with hysteresis keep the instances together, whose estimates differ a little.

        Args:
            service: Name of the service.
            part: Id of the part.
            needed: Upstreams that the demand for the part would fill.
        """
        count = self.counts.get((service, part))
        if count is None:
            return 1
        while needed > count.holders:
            count.holders *= 2
        while count.holders > 1 and needed < count.holders * SHRINK_FILL:
            count.holders //= 2
        return count.holders
