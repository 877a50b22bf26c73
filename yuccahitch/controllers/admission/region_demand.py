"""What the other instances of the region reported of their demand by priority."""

from __future__ import annotations

import collections

from yuccahitch.controllers.members import fleet
from yuccahitch.messages import pulses

# Number of pulse periods for which a report counts.
LIFETIME_PERIODS = 4.0


class DemandReport:
    """The newest report of an instance.

    Attributes:
        number: Number of the pulse.
        arrived_at: When it arrived, in monotonic seconds.
        demands: Demand by service and priority.
    """

    __slots__ = ("number", "arrived_at", "demands")

    def __init__(
        self, number: int, *, arrived_at: float, demands: list[pulses.UrgencyDemand]
    ) -> None:
        self.number = number
        self.arrived_at = arrived_at
        self.demands = demands


class RegionDemand:
    """Keeps the newest report of each other instance of the region.

    Attributes:
        reports: Reports by the id of the instance.
    """

    __slots__ = ("reports",)

    def __init__(self) -> None:
        self.reports: dict[str, DemandReport] = {}

    def record_report(self, pulse: pulses.Pulse, now: float) -> None:
        """Record the report in a pulse, unless a newer one is known."""
        known = self.reports.get(pulse.instance)
        if known is not None and pulse.number <= known.number:
            return
        self.reports[pulse.instance] = DemandReport(
            pulse.number, arrived_at=now, demands=pulse.urgencies
        )

    def expire(self, now: float) -> None:
        """Drop reports of instances that are silent."""
        lifetime_s = self._lifetime_s()
        for name, report in list(self.reports.items()):
            if now - report.arrived_at >= lifetime_s:
                del self.reports[name]

    def work_by_priority(self, service: str, now: float) -> collections.Counter[int]:
        """Return the work that others are asked for, in seconds a second, by priority."""
        total: collections.Counter[int] = collections.Counter()
        lifetime_s = self._lifetime_s()
        for report in self.reports.values():
            if now - report.arrived_at >= lifetime_s:
                continue
            for demand in report.demands:
                if demand.service == service:
                    total[demand.priority] += demand.work_per_s
        return total

    def _lifetime_s(self) -> float:
        """Return the time for which a report counts, in seconds; pulses of many are rarer."""
        period_s = max(
            fleet.NEAR_PULSE_PERIOD_S, len(self.reports) * fleet.NEAR_PULSE_PERIOD_PER_PEER_S
        )
        return min(fleet.UNREACHABLE_AFTER_S, LIFETIME_PERIODS * period_s)
