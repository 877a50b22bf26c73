"""Virtual time: callbacks in the order of their due times."""

from __future__ import annotations

import heapq
import itertools
import typing


class VirtualClock:
    """Runs callbacks at their times, one after the other.

    Attributes:
        now: Virtual time in seconds.
    """

    __slots__ = ("now", "scheduled", "sequence_numbers")

    def __init__(self) -> None:
        self.now = 0.0
        self.scheduled: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()

    def schedule_at(self, time: float, callback: typing.Callable[[], None]) -> None:
        """Run a callback at a time."""
        heapq.heappush(self.scheduled, (max(time, self.now), next(self.sequence_numbers), callback))

    def schedule_after(self, seconds: float, callback: typing.Callable[[], None]) -> None:
        """Run a callback after some seconds."""
        self.schedule_at(self.now + seconds, callback)

    def run_until(self, time: float) -> None:
        """Run all callbacks that are due up to a time."""
        while self.scheduled and self.scheduled[0][0] <= time:
            self.now, _, callback = heapq.heappop(self.scheduled)
            callback()
        self.now = max(self.now, time)


class SimulatedClock:
    """Calendar time that follows a clockwork."""

    __slots__ = ("clock",)

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock

    def now(self) -> float:
        """Return virtual seconds."""
        return self.clock.now

    def wall(self) -> float:
        """Return virtual seconds of calendar time."""
        return 1_800_000_000.0 + self.clock.now
