"""An instance of the gateway in virtual time: its decisions and its drifting clock."""

from __future__ import annotations

import typing

from yuccahitch.controllers.instance import gateway


class Instance:
    """The decisions of one instance, without sockets, and the state of its simulated process.

    Attributes:
        decisions: Controllers and filter chains of the instance.
        name: Id of the instance, unique across restarts.
        region: Region of the instance.
        clock_rate: Seconds that the instance's clock advances per second of virtual time.
        clock_offset: Reading of the instance's clock at virtual time 0, in seconds.
        paused_until: Virtual time until which the process is paused, in seconds.
        alive: Whether the process is running.
        backlog: Callbacks that arrived during the pause, run when it ends.
        watched_prefix: Prefix of the store that the instance watches, or None.
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
        """Return the reading of the instance's clock at a virtual time, both in seconds."""
        return self.clock_offset + now * self.clock_rate
