"""A token bucket whose rate and burst are a changing part of a client account's.

Tokens count as used from admission on. Each reservation records how many tokens may be refunded to
it; the level and all refundable tokens together never exceed the burst, so that use over any window
of T seconds stays under burst + rate x T (docs/DESIGN.md, "Rate and burst").
"""

from __future__ import annotations

# Parts that a rate and its burst are divided into; slices and loans are counted in parts.
PARTS_PER_RATE = 1_000_000
# Tokens accrue slightly slower than the rate, as a margin for clocks that run fast.
ACCRUAL_FACTOR = 0.9998
# Rounding error that comparisons of token counts tolerate, in tokens.
TOKEN_TOLERANCE = 1e-6


class Bucket:
    """Tokens of one client account at one instance.

    Args:
        now: Monotonic seconds; tokens accrue from here on.

    Attributes:
        level: Tokens that may be spent.
        refundable: The most tokens that each reservation can get back, by reservation id, oldest
            reservation first.
        refundable_total: Sum of the refundable tokens.
        updated_at: Time up to which tokens have accrued, in monotonic seconds.
    """

    __slots__ = ("level", "refundable", "refundable_total", "updated_at")

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.refundable: dict[str, float] = {}
        self.refundable_total = 0.0
        self.updated_at = now

    def accrue(self, now: float, *, rate: float, burst: float, parts: int) -> None:
        """Add the tokens that accrued since the last call, up to the bucket's part of the burst.

        Args:
            now: Monotonic seconds.
            rate: Rate of the whole client account, in tokens a second.
            burst: Burst of the whole client account, in tokens.
            parts: Parts of rate and burst that the bucket has, of ``PARTS_PER_RATE``.
        """
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.level += elapsed * rate * ACCRUAL_FACTOR * parts / PARTS_PER_RATE
        self.clamp(burst * parts / PARTS_PER_RATE)

    def clamp(self, cap: float) -> None:
        """Cut the level and the refundable tokens, oldest first, to a cap for both together."""
        self.level = min(self.level, cap)
        while self.refundable and self.level + self.refundable_total > cap + TOKEN_TOLERANCE:
            reservation_id, amount = next(iter(self.refundable.items()))
            excess = self.level + self.refundable_total - cap
            if amount > excess:
                self.refundable[reservation_id] = amount - excess
                self.refundable_total -= excess
            else:
                del self.refundable[reservation_id]
                self.refundable_total = self.refundable_total - amount if self.refundable else 0.0

    def spend(self, reservation_id: str, tokens: float) -> None:
        """Take tokens from the level for a reservation; all of them are refundable."""
        self.level -= tokens
        self.refundable[reservation_id] = self.refundable.get(reservation_id, 0.0) + tokens
        self.refundable_total += tokens

    def refund(self, reservation_id: str, tokens: float) -> None:
        """Settle a reservation and return its unused tokens, as far as they are refundable."""
        amount = self.refundable.pop(reservation_id, 0.0)
        self.refundable_total = self.refundable_total - amount if self.refundable else 0.0
        self.level += min(amount, tokens)
