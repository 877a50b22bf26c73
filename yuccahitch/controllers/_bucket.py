"""A token bucket whose rate and burst are a changing part of a client account's.

Use counts from the moment of admission. A reservation keeps what it may get back; level and what
may be given back together never exceed the burst, so that use over any window of T seconds stays
under burst + rate x T (docs/DESIGN.md, "Rate and burst").
"""

from __future__ import annotations

PARTS = 1_000_000
ACCRUAL = 0.9998
EPSILON = 1e-6


class Bucket:
    """Tokens of one client account at one instance.

    Attributes:
        level: Tokens that may be spent.
        held: What each reservation may get back at most, by its id, oldest first.
        held_total: Sum of these.
        updated_at: Time up to which tokens have accrued, in monotonic seconds.
    """

    __slots__ = ("level", "held", "held_total", "updated_at")

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.held: dict[str, float] = {}
        self.held_total = 0.0
        self.updated_at = now

    def accrue(self, now: float, *, rate: float, burst: float, parts: int) -> None:
        """Add the tokens that came in since the last call and keep to the part of the burst."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.level += elapsed * rate * ACCRUAL * parts / PARTS
        self.limit(burst * parts / PARTS)

    def limit(self, cap: float) -> None:
        """Keep level and what may be given back under a cap."""
        self.level = min(self.level, cap)
        while self.held and self.level + self.held_total > cap + EPSILON:
            name, amount = next(iter(self.held.items()))
            excess = self.level + self.held_total - cap
            if amount > excess:
                self.held[name] = amount - excess
                self.held_total -= excess
            else:
                del self.held[name]
                self.held_total = self.held_total - amount if self.held else 0.0

    def take(self, name: str, tokens: float) -> None:
        """Spend tokens for a reservation."""
        self.level -= tokens
        self.held[name] = self.held.get(name, 0.0) + tokens
        self.held_total += tokens

    def give_back(self, name: str, tokens: float) -> None:
        """Settle a reservation of which so many tokens were not used."""
        amount = self.held.pop(name, 0.0)
        self.held_total = self.held_total - amount if self.held else 0.0
        self.level += min(amount, tokens)
