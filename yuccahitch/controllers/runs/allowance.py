"""This instance's part of the fleet's budget for retries, by service."""

from __future__ import annotations

import collections

from yuccahitch.controllers.members import fleet

# Fraction of the computed budget that retries may use.
USABLE_FRACTION = 0.75


class RetryAllowance:
    """Limits the attempts after the first one of each request, in any sliding window.

    Args:
        members: The fleet, which tells how many instances share ``extra``.
        ratio: Retries allowed for each request in the window.
        window_s: Length of the sliding window, in seconds.
        extra: Retries allowed in a window on top of that, over all instances together.

    Attributes:
        request_times: When requests arrived in the window, by service, in monotonic seconds.
        retry_times: When retries were granted in the window, by service, in monotonic seconds.
    """

    __slots__ = ("members", "ratio", "window_s", "extra", "request_times", "retry_times")

    def __init__(
        self, members: fleet.Fleet, *, ratio: float, window_s: float, extra: float
    ) -> None:
        self.members = members
        self.ratio = ratio
        self.window_s = window_s
        self.extra = extra
        self.request_times: dict[str, collections.deque[float]] = {}
        self.retry_times: dict[str, collections.deque[float]] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request to a service."""
        self._recent_times(self.request_times, service, now).append(now)

    def take_retry(self, service: str, now: float) -> bool:
        """Take one retry from the budget of a service; return whether the budget allowed it."""
        retries = self._recent_times(self.retry_times, service, now)
        requests = self._recent_times(self.request_times, service, now)
        own_extra = self.extra / self.members.count_recent(now)
        if len(retries) + 1 > USABLE_FRACTION * (self.ratio * len(requests) + own_extra):
            return False
        retries.append(now)
        return True

    def _recent_times(
        self, times_by_service: dict[str, collections.deque[float]], service: str, now: float
    ) -> collections.deque[float]:
        """Return the times of a service in a table, without those before the window."""
        times = times_by_service.setdefault(service, collections.deque())
        while times and now - times[0] > self.window_s:
            times.popleft()
        return times
