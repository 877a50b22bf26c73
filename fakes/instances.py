"""One instance's decisions with its own clock."""

from __future__ import annotations

import typing

from yuccahitch.controllers import gateway


class Instance:
    """An instance in virtual time.

    Attributes:
        decisions: The controllers and chains.
        rate: Seconds of its clock in a second of virtual time.
        offset: What its clock shows at virtual time 0.
        paused_until: Until when it handles nothing.
        alive: Whether it runs.
        backlog: What came while it was paused.
        watch: Prefix that it watches, or None.
    """

    __slots__ = (
        "decisions",
        "name",
        "region",
        "rate",
        "offset",
        "paused_until",
        "alive",
        "backlog",
        "watch",
    )

    def __init__(
        self, decisions: gateway.Gateway, *, region: str, rate: float, offset: float
    ) -> None:
        self.decisions = decisions
        self.name = decisions.instance
        self.region = region
        self.rate = rate
        self.offset = offset
        self.paused_until = 0.0
        self.alive = True
        self.backlog: list[typing.Callable[[], None]] = []
        self.watch: str | None = None

    def local(self, now: float) -> float:
        """Return what its clock shows."""
        return self.offset + now * self.rate
