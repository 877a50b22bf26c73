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
        hand_over_complete: Whether nothing is left that peers could take for still in use.
    """

    __slots__ = (
        "announce_s",
        "limit_s",
        "phase",
        "began_at",
        "hand_over_began_at",
        "hand_over_complete",
    )

    def __init__(self, *, announce_s: float = 2.0, limit_s: float = 600.0) -> None:
        self.announce_s = announce_s
        self.limit_s = limit_s
        self.phase = Phase.SERVING
        self.began_at = math.inf
        self.hand_over_began_at = math.inf
        self.hand_over_complete = False

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
        requests_overdue = now - self.began_at > self.limit_s
        if self.phase is Phase.ANNOUNCED and now - self.began_at >= self.announce_s:
            self.phase = Phase.CLOSED
        elif self.phase is Phase.CLOSED and (open_requests == 0 or requests_overdue):
            self.phase = Phase.HANDING_OVER
            self.hand_over_began_at = now
        elif self.phase is Phase.HANDING_OVER:
            hand_over_overdue = now - self.hand_over_began_at > HAND_OVER_LIMIT_S
            if handed_over or hand_over_overdue:
                self.phase = Phase.DONE
                self.hand_over_complete = handed_over
