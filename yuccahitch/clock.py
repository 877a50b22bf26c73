"""Time sources. Decisions never read a clock: callers pass them ``now`` in seconds."""

from __future__ import annotations

import math
import time
import typing


class Clock(typing.Protocol):
    """A source of monotonic time and of wall-clock time."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


def age_s(since: float, now: float) -> float | None:
    """Return the seconds since a moment for a log field, or None if there was no such moment."""
    return round(now - since, 3) if since > -math.inf else None


class SystemClock:
    """The system clocks of this machine."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds, those included for which the machine was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
