"""The phases of a graceful shutdown, in the order in which an instance goes through them."""

from __future__ import annotations

import enum
import math

STEP = "drain"
HAND_OVER_LIMIT_S = 15.0


class Phase(enum.Enum):
    """The phase of a graceful shutdown.

    SERVING: no shutdown was requested.
    ANNOUNCED: the instance has announced that it is leaving and still accepts requests.
    CLOSED: it accepts no new requests and waits for the open ones.
    HANDING_OVER: it gives back its loans and rate slices, if it has any.
    DONE: the process may end.
    """

    SERVING = "serving"
    ANNOUNCED = "announced"
    CLOSED = "closed"
    HANDING_OVER = "handing-over"
    DONE = "done"


class Drain:
    """State machine of a graceful shutdown.

    Args:
        announce_s: Seconds between the announcement that the instance is leaving and the moment
            at which it stops accepting requests.
        limit_s: Longest time that the shutdown waits for open requests, in seconds from its begin.

    Attributes:
        phase: The current phase.
        began_at: When the shutdown began, in monotonic seconds; infinity before.
        hand_over_began_at: When HANDING_OVER began, in monotonic seconds; infinity before.
        hand_over_complete: Whether the instance has given back everything that its peers would
            otherwise have to regard as still in use.
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
        """Return whether the instance accepts new requests."""
        return self.phase in (Phase.SERVING, Phase.ANNOUNCED)

    def begin(self, now: float) -> None:
        """Begin the shutdown; does nothing if it has begun already."""
        if self.phase is Phase.SERVING:
            self.phase = Phase.ANNOUNCED
            self.began_at = now

    def advance(self, now: float, *, open_requests: int, handed_over: bool) -> None:
        """Enter the next phase if its condition is met; called on every tick.

        Args:
            now: Monotonic seconds.
            open_requests: Number of requests that have not ended.
            handed_over: Whether the hand-over of loans and slices is complete.
        """
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
