"""The steps of a graceful shutdown."""

from __future__ import annotations

import enum
import math

STEP = "drain"
HAND_OVER_LIMIT_S = 15.0


class Phase(enum.Enum):
    """How far a shutdown has come."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    CLOSED = "closed"
    HANDING_OVER = "handing-over"
    DONE = "done"


class Drain:
    """Leads an instance from serving to its end.

    Args:
        announce_s: Time between leaving the list of instances and accepting no more, in seconds.
        limit_s: Longest wait for open requests, in seconds.

    Attributes:
        clean: Whether nothing is left that peers could take for still in use.
    """

    __slots__ = ("announce_s", "limit_s", "phase", "began_at", "closed_at", "clean")

    def __init__(self, *, announce_s: float = 2.0, limit_s: float = 600.0) -> None:
        self.announce_s = announce_s
        self.limit_s = limit_s
        self.phase = Phase.SERVING
        self.began_at = math.inf
        self.closed_at = math.inf
        self.clean = False

    @property
    def leaving(self) -> bool:
        """Return whether a shutdown has begun."""
        return self.phase is not Phase.SERVING

    @property
    def accepting(self) -> bool:
        """Return whether new requests are taken."""
        return self.phase in (Phase.SERVING, Phase.ANNOUNCED)

    def begin(self, now: float) -> None:
        """Begin a shutdown."""
        if self.phase is Phase.SERVING:
            self.phase = Phase.ANNOUNCED
            self.began_at = now

    def advance(self, now: float, *, open_requests: int, handed_over: bool) -> None:
        """Go to the next phase when its condition is met."""
        late = now - self.began_at > self.limit_s
        if self.phase is Phase.ANNOUNCED and now - self.began_at >= self.announce_s:
            self.phase = Phase.CLOSED
        elif self.phase is Phase.CLOSED and (open_requests == 0 or late):
            self.phase = Phase.HANDING_OVER
            self.closed_at = now
        elif self.phase is Phase.HANDING_OVER:
            overdue = now - self.closed_at > HAND_OVER_LIMIT_S
            if handed_over or overdue:
                self.phase = Phase.DONE
                self.clean = handed_over
