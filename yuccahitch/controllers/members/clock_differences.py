"""When messages of other instances were sent, by the own clock.

A message may wait on its way, or in the socket of an instance that stands still. The fastest
message of a sender shows by how much its clock differs from the own one.
"""

from __future__ import annotations

import math

# Largest drift of one clock against another, as a part of the time that passes.
MAX_DRIFT = 2e-4
# Senders that are remembered at most; the one heard longest ago is dropped for a new one.
MAX_SENDERS = 1_000


class Difference:
    """How far a sender's clock is behind the own one.

    Attributes:
        behind_s: The least time from the sender's clock to the own one, in seconds; it includes the
            way of the fastest message.
        seen_at: When the last message arrived, in monotonic seconds.
    """

    __slots__ = ("behind_s", "seen_at")

    def __init__(self, now: float) -> None:
        self.behind_s = math.inf
        self.seen_at = now


class ClockDifferences:
    """The clocks of the instances that send messages with the time at which they were sent.

    Attributes:
        by_sender: The differences by the senders' instance ids, the one heard last at the end.
    """

    __slots__ = ("by_sender",)

    def __init__(self) -> None:
        self.by_sender: dict[str, Difference] = {}

    def own_time(self, sender: str, sent_at: float, now: float) -> float:
        """Return when a message was sent, in monotonic seconds of this instance.

        Args:
            sender: Instance id of the sender.
            sent_at: When it was sent, in monotonic seconds of the sender; minus infinity if the
                sender doesn't say so, which is the result then.
            now: Monotonic seconds.
        """
        if sent_at == -math.inf:
            return sent_at
        known = self.by_sender.pop(sender, None) or Difference(now)
        self.by_sender[sender] = known
        if len(self.by_sender) > MAX_SENDERS:
            del self.by_sender[next(iter(self.by_sender))]
        drift_s = MAX_DRIFT * (now - known.seen_at)
        known.behind_s = min(now - sent_at, known.behind_s + drift_s)
        known.seen_at = now
        return sent_at + known.behind_s
