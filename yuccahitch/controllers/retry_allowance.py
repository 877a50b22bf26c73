"""This instance's part of the fleet's budget for repeated requests, by service."""

from __future__ import annotations

import collections

from yuccahitch.controllers import fleet

CAUTION = 0.75


class Allowance:
    """Bounds the sends beyond the first of each request, in any window.

    Args:
        members: The fleet.
        ratio: Repeats allowed for each request.
        window_s: Length of the window, in seconds.
        extra: Repeats allowed in a window beside that, over all instances.
    """

    __slots__ = ("members", "ratio", "window_s", "extra", "first", "repeats")

    def __init__(
        self, members: fleet.Fleet, *, ratio: float, window_s: float, extra: float
    ) -> None:
        self.members = members
        self.ratio = ratio
        self.window_s = window_s
        self.extra = extra
        self.first: dict[str, collections.deque[float]] = {}
        self.repeats: dict[str, collections.deque[float]] = {}

    def request(self, service: str, now: float) -> None:
        """Count a request."""
        self._window(self.first, service, now).append(now)

    def repeat(self, service: str, now: float) -> bool:
        """Take one repeat; return whether there was one."""
        used = self._window(self.repeats, service, now)
        requests = self._window(self.first, service, now)
        own = self.extra / self.members.count(now)
        if len(used) + 1 > CAUTION * (self.ratio * len(requests) + own):
            return False
        used.append(now)
        return True

    def _window(
        self, table: dict[str, collections.deque[float]], service: str, now: float
    ) -> collections.deque[float]:
        times = table.setdefault(service, collections.deque())
        while times and now - times[0] > self.window_s:
            times.popleft()
        return times
