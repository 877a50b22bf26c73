"""Virtual time: callbacks in the order of their due times."""

from __future__ import annotations

import heapq
import itertools
import typing


class Clockwork:
    """Runs callbacks at their times, one after the other.

    Attributes:
        now: Virtual time in seconds.
    """

    __slots__ = ("now", "queue", "numbers")

    def __init__(self) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.numbers = itertools.count()

    def at(self, time: float, work: typing.Callable[[], None]) -> None:
        """Run a callback at a time."""
        heapq.heappush(self.queue, (max(time, self.now), next(self.numbers), work))

    def after(self, seconds: float, work: typing.Callable[[], None]) -> None:
        """Run a callback after some seconds."""
        self.at(self.now + seconds, work)

    def run_until(self, time: float) -> None:
        """Run all callbacks that are due up to a time."""
        while self.queue and self.queue[0][0] <= time:
            self.now, _, work = heapq.heappop(self.queue)
            work()
        self.now = max(self.now, time)


class WallClock:
    """Calendar time that follows a clockwork."""

    __slots__ = ("clockwork",)

    def __init__(self, clockwork: Clockwork) -> None:
        self.clockwork = clockwork

    def now(self) -> float:
        """Return virtual seconds."""
        return self.clockwork.now

    def wall(self) -> float:
        """Return virtual seconds of calendar time."""
        return 1_800_000_000.0 + self.clockwork.now
