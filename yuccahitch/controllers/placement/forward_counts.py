"""Counts the requests that an instance forwarded since other regions reported their room."""

from __future__ import annotations

import collections

# Time after which a region's reports include a forward, in seconds.
REPORT_LAG_S = 0.5


class ForwardCounts:
    """Times of the forwards to each region, for each service.

    Attributes:
        times: Times of the forwards within REPORT_LAG_S, in monotonic seconds, by region and
            service.
    """

    __slots__ = ("times",)

    def __init__(self) -> None:
        self.times: dict[tuple[str, str], collections.deque[float]] = {}

    def record(self, region: str, service: str, now: float) -> None:
        """Record a forward."""
        times = self.times.setdefault((region, service), collections.deque())
        times.append(now)
        while times[0] < now - REPORT_LAG_S:
            times.popleft()

    def unreported(self, region: str, service: str, now: float) -> int:
        """Return the number of forwards that a region's last report may not include."""
        times = self.times.get((region, service), ())
        return sum(now - time < REPORT_LAG_S for time in times)
