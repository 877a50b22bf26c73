"""A token bucket whose rate and burst are a changing part of a client account's.

Use counts from the moment of admission. A reservation keeps what it may get back; level and what
may be given back together never exceed the burst, so that use over any window of T seconds stays
under burst + rate x T (docs/DESIGN.md, "Rate and burst").
"""

from __future__ import annotations

PARTS_PER_RATE = 1_000_000
ACCRUAL_FACTOR = 0.9998
TOKEN_TOLERANCE = 1e-6


class Bucket:
    """Tokens of one client account at one instance.

    Attributes:
        level: Tokens that may be spent.
        refundable: What each reservation may get back at most, by its id, oldest first.
        refundable_total: Sum of these.
        updated_at: Time up to which tokens have accrued, in monotonic seconds.
    """

    __slots__ = ("level", "refundable", "refundable_total", "updated_at")

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.refundable: dict[str, float] = {}
        self.refundable_total = 0.0
        self.updated_at = now

    def accrue(self, now: float, *, rate: float, burst: float, parts: int) -> None:
        """Add the tokens that came in since the last call and keep to the part of the burst."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.level += elapsed * rate * ACCRUAL_FACTOR * parts / PARTS_PER_RATE
        self.clamp(burst * parts / PARTS_PER_RATE)

    def clamp(self, cap: float) -> None:
        """Keep level and what may be given back under a cap."""
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
        """Spend tokens for a reservation."""
        self.level -= tokens
        self.refundable[reservation_id] = self.refundable.get(reservation_id, 0.0) + tokens
        self.refundable_total += tokens

    def refund(self, reservation_id: str, tokens: float) -> None:
        """Settle a reservation of which so many tokens were not used."""
        amount = self.refundable.pop(reservation_id, 0.0)
        self.refundable_total = self.refundable_total - amount if self.refundable else 0.0
        self.level += min(amount, tokens)
