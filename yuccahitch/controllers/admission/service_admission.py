"""The state of the admission to one service, and the log of its changes."""

from __future__ import annotations

import math
import random

from yuccahitch import events
from yuccahitch.controllers.admission import gate, shortage
from yuccahitch.messages import commands

# Shortest time between two log lines about the level of a service, in seconds.
LOG_INTERVAL_S = 1.0


class ServiceAdmission:
    """The admission to one service.

    Attributes:
        shortage: Follows whether the service is short of places.
        gate: Lets the admitted share pass.
        decided_at: When the level was last decided, in monotonic seconds.
        work_by_priority: Work that the region asked for then, in seconds a second.
        room_per_s: Work that could be done then, in seconds a second.
        logged_priority: Priority of the level that was logged last.
        logged_at: When it was logged, in monotonic seconds.
    """

    __slots__ = (
        "shortage",
        "gate",
        "decided_at",
        "work_by_priority",
        "room_per_s",
        "logged_priority",
        "logged_at",
    )

    def __init__(self, rng: random.Random) -> None:
        self.shortage = shortage.Shortage()
        self.gate = gate.Gate(rng)
        self.decided_at = -math.inf
        self.work_by_priority: dict[int, float] = {}
        self.room_per_s = 0.0
        self.logged_priority: int | None = None
        self.logged_at = -math.inf

    def change_event(self, service: str, now: float) -> commands.LogEvent | None:
        """Return the event of another priority at the level, or None if there is nothing to log."""
        level = self.gate.level
        if level.priority == self.logged_priority or now - self.logged_at < LOG_INTERVAL_S:
            return None
        self.logged_priority, self.logged_at = level.priority, now
        return commands.LogEvent(
            events.Event.ADMISSION_CHANGED,
            service=service,
            priority=level.priority,
            share=round(level.share, 3),
            places=round(self.shortage.places, 1),
            taken=round(self.shortage.taken, 1),
            room=round(self.room_per_s, 2),
            correction=round(self.shortage.correction(now), 3),
            demand={str(name): round(work, 2) for name, work in self.work_by_priority.items()},
        )
