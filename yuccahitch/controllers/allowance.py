"""This instance's part of the fleet's budget for repeated requests, by service."""

from __future__ import annotations

import collections

from yuccahitch.controllers import fleet

USABLE_FRACTION = 0.75


class RetryAllowance:
    """Bounds the sends beyond the first of each request, in any window.

    Args:
        members: The fleet.
        ratio: Repeats allowed for each request.
        window_s: Length of the window, in seconds.
        extra: Repeats allowed in a window beside that, over all instances.
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
        """Count a request."""
        self._recent_times(self.request_times, service, now).append(now)

    def take_retry(self, service: str, now: float) -> bool:
        """Take one repeat; return whether there was one."""
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
        times = times_by_service.setdefault(service, collections.deque())
        while times and now - times[0] > self.window_s:
            times.popleft()
        return times
