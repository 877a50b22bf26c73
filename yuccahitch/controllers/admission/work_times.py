"""Learns how long requests of each service and priority work at upstreams."""

from __future__ import annotations

# Weight of the newest request in the moving average.
WEIGHT = 0.05


class WorkTimes:
    """Moving averages of the time that requests take.

    Attributes:
        average_s: The averages in seconds, by service and priority.
    """

    __slots__ = ("average_s",)

    def __init__(self) -> None:
        self.average_s: dict[str, dict[int, float]] = {}

    def record(self, service: str, priority: int, duration_s: float) -> None:
        """Update an average with a request that succeeded."""
        averages = self.average_s.setdefault(service, {})
        average_s = averages.get(priority, duration_s)
        averages[priority] = average_s + WEIGHT * (duration_s - average_s)

    def work_s(self, service: str, priority: int, default_s: float) -> float:
        """Return the average, or the default if no request was measured."""
        return self.average_s.get(service, {}).get(priority, default_s)
