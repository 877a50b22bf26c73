"""Time sources. Decisions never read a clock: they are given ``now`` in seconds."""

from __future__ import annotations

import time
import typing


class Clock(typing.Protocol):
    """A source of monotonic and of calendar time."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The clocks of this machine."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
