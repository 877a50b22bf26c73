"""Virtual time for simulations: a scheduler of callbacks, and clocks that follow it."""

from __future__ import annotations

import heapq
import itertools
import typing


class VirtualClock:
    """Runs scheduled callbacks one after the other, in the order of their times.

    Attributes:
        now: Virtual time in seconds; only `run_until` advances it.
        scheduled: Heap of (time, sequence number, callback).
        sequence_numbers: Numbers that keep callbacks of the same time in the order of scheduling.
    """

    __slots__ = ("now", "scheduled", "sequence_numbers")

    def __init__(self) -> None:
        self.now = 0.0
        self.scheduled: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()

    def schedule_at(self, time: float, callback: typing.Callable[[], None]) -> None:
        """Schedule a callback at a virtual time in seconds; a past time means now."""
        heapq.heappush(self.scheduled, (max(time, self.now), next(self.sequence_numbers), callback))

    def schedule_after(self, seconds: float, callback: typing.Callable[[], None]) -> None:
        """Schedule a callback after some seconds of virtual time."""
        self.schedule_at(self.now + seconds, callback)

    def run_until(self, time: float) -> None:
        """Run the callbacks that are due up to a time, then set the clock to it."""
        while self.scheduled and self.scheduled[0][0] <= time:
            self.now, _, callback = heapq.heappop(self.scheduled)
            callback()
        self.now = max(self.now, time)


class SimulatedClock:
    """Implements `yuccahitch.clock.Clock` in virtual time."""

    __slots__ = ("clock",)

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock

    def now(self) -> float:
        """Return virtual time in seconds, which stands for monotonic time."""
        return self.clock.now

    def wall(self) -> float:
        """Return calendar time in seconds since the epoch; virtual time 0 is in January 2027."""
        return 1_800_000_000.0 + self.clock.now
