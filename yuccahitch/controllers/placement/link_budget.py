"""Bounds the bytes that an instance's forwards take of the links between regions."""

from __future__ import annotations

import math

# Time over which unused parts of the budget are saved, in seconds.
BURST_S = 1.0
# Saved part of the budget, from 0 to 1, above which a forward needs no further gain.
FREE_FILL = 0.5
# Size of a forward's answer in a service of which none was measured, in bytes.
INITIAL_ANSWER_BYTES = 4096.0
# Weight of the newest answer in the moving average of their size.
ANSWER_WEIGHT = 0.05


class _Bucket:
    """Token bucket of the bytes to one region.

    Attributes:
        level: Bytes that may be sent now; negative after a forward that could not wait.
        updated_at: When ``level`` was last updated, in monotonic seconds.
    """

    __slots__ = ("level", "updated_at")

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.updated_at = now


class LinkBudget:
    """Token buckets for the links to other regions, shared evenly by the instances of a region.

    Bodies of requests and their answers count, for all services together.

    Args:
        bytes_per_s: What forwards of all instances of this region may take of a link, in bytes a
            second.

    Attributes:
        buckets: Buckets by region.
        answer_bytes: Moving average of the size of answers by service, in bytes.
    """

    __slots__ = ("bytes_per_s", "buckets", "answer_bytes")

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.buckets: dict[str, _Bucket] = {}
        self.answer_bytes: dict[str, float] = {}

    def record_answer(self, service: str, size: int) -> None:
        """Update the average size of a service's answers with one, in bytes."""
        average = self.answer_bytes.get(service, INITIAL_ANSWER_BYTES)
        self.answer_bytes[service] = average + ANSWER_WEIGHT * (size - average)

    def forward_bytes(self, service: str, body_bytes: int) -> float:
        """Return the bytes that a forward probably takes in both directions."""
        return body_bytes + self.answer_bytes.get(service, INITIAL_ANSWER_BYTES)

    def price_s(self, region: str, size: float, now: float, *, instances: int) -> float:
        """Return the gain in time that justifies sending some bytes, in seconds.

        It rises as the bucket empties below FREE_FILL, so that what is left goes to forwards that
        gain most for a byte. It is infinite once nothing is left.

        Args:
            region: The other region.
            size: Bytes of the forward.
            now: Monotonic seconds.
            instances: Number of instances that share the budget.
        """
        bucket = self._refilled(region, now, instances)
        if bucket.level <= 0:
            return math.inf
        rate_per_s = self.bytes_per_s / instances
        fill = bucket.level / (rate_per_s * BURST_S)
        return size / rate_per_s * max(0.0, FREE_FILL - fill) / fill

    def spend(self, region: str, size: float, now: float, *, instances: int) -> None:
        """Subtract the bytes of a forward; its debt is at most what is saved at most."""
        bucket = self._refilled(region, now, instances)
        burst = self.bytes_per_s / instances * BURST_S
        bucket.level = max(-burst, bucket.level - size)

    def _refilled(self, region: str, now: float, instances: int) -> _Bucket:
        """Return the bucket of a region, refilled until now."""
        rate_per_s = self.bytes_per_s / instances
        burst = rate_per_s * BURST_S
        bucket = self.buckets.setdefault(region, _Bucket(burst, now))
        earned = max(0.0, now - bucket.updated_at) * rate_per_s
        bucket.level = min(burst, bucket.level + earned)
        bucket.updated_at = now
        return bucket
