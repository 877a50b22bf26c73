"""How slow an upstream is at a kind of work, against the average of its service."""

from __future__ import annotations

import enum
import math

# Weight of a sample.
SAMPLE_WEIGHT = 0.1
# Largest difference of a sample that counts, as the logarithm of a factor.
MAX_DIFFERENCE = 0.7
# Largest change within a second and at once, as logarithms of factors: what a stop of half a second
# may do.
MAX_CHANGE_PER_S = 0.2
MAX_CHANGE = 0.1
# Time after which most of what was learned is forgotten without samples, in seconds.
MEMORY_S = 20.0
# Largest factor.
MAX_FACTOR = 2.5


class Work(enum.Enum):
    """Kinds of work; a request of a plain service is one piece of work."""

    PREFILL = enum.auto()
    STEPS = enum.auto()
    WHOLE = enum.auto()


class Slowness:
    """Follows the time that an upstream takes, as a factor of the usual time.

    Attributes:
        level: Logarithm of the factor when the last sample came.
        sampled_at: When that was, in monotonic seconds.
        allowance: Change that the next samples may make, as the logarithm of a factor.
    """

    __slots__ = ("level", "sampled_at", "allowance")

    def __init__(self) -> None:
        self.level = 0.0
        self.sampled_at = -math.inf
        self.allowance = MAX_CHANGE

    def record(self, sample: float, now: float) -> None:
        """Record a sample, the logarithm of the time taken over the usual time."""
        self.level = self._level(now)
        earned = MAX_CHANGE_PER_S * max(0.0, now - self.sampled_at)
        self.allowance = min(MAX_CHANGE, self.allowance + earned)
        self.sampled_at = now
        difference = max(-MAX_DIFFERENCE, min(MAX_DIFFERENCE, sample - self.level))
        change = max(-self.allowance, min(self.allowance, SAMPLE_WEIGHT * difference))
        self.allowance -= abs(change)
        limit = math.log(MAX_FACTOR)
        self.level = max(-limit, min(limit, self.level + change))

    def factor(self, now: float) -> float:
        """Return the expected time over the usual time."""
        return math.exp(self._level(now))

    def _level(self, now: float) -> float:
        """Return the level, which goes back to 0 without samples."""
        unused_s = now - self.sampled_at
        return 0.0 if unused_s == math.inf else self.level * math.exp(-unused_s / MEMORY_S)
