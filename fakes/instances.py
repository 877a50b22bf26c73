"""One instance's decisions with its own clock."""

from __future__ import annotations

import typing

from yuccahitch.controllers import gateway


class Instance:
    """An instance in virtual time.

    Attributes:
        decisions: The controllers and chains.
        clock_rate: Seconds of its clock in a second of virtual time.
        clock_offset: What its clock shows at virtual time 0.
        paused_until: Until when it handles nothing.
        alive: Whether it runs.
        backlog: What came while it was paused.
        watched_prefix: Prefix that it watches, or None.
    """

    __slots__ = (
        "decisions",
        "name",
        "region",
        "clock_rate",
        "clock_offset",
        "paused_until",
        "alive",
        "backlog",
        "watched_prefix",
    )

    def __init__(
        self, decisions: gateway.Gateway, *, region: str, clock_rate: float, clock_offset: float
    ) -> None:
        self.decisions = decisions
        self.name = decisions.instance
        self.region = region
        self.clock_rate = clock_rate
        self.clock_offset = clock_offset
        self.paused_until = 0.0
        self.alive = True
        self.backlog: list[typing.Callable[[], None]] = []
        self.watched_prefix: str | None = None

    def local_time(self, now: float) -> float:
        """Return what its clock shows."""
        return self.clock_offset + now * self.clock_rate
