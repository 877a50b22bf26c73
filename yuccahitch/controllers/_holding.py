"""What an instance holds of one client account's rate: its own slice and what it borrowed."""

from __future__ import annotations

import math

from yuccahitch import records
from yuccahitch.controllers import _bucket
from yuccahitch.resources import rate as rates

DEMAND_WINDOW_S = 10.0
PARTS = _bucket.PARTS


class Lent(records.Record):
    """A part of the own slice that a peer holds for a while.

    Attributes:
        borrower: Id of the peer.
        parts: Parts lent.
        until: When the parts come back, in monotonic seconds.
    """

    __slots__ = ("borrower", "parts", "until")

    def __init__(self, *, borrower: str, parts: int, until: float) -> None:
        self.borrower = borrower
        self.parts = parts
        self.until = until


class Borrowed(records.Record):
    """A part of a peer's slice that this instance holds for a while.

    Attributes:
        lender: Id of the peer.
        parts: Parts borrowed.
        until: When they must not be used any more, in monotonic seconds.
        return_at: When they are given back, in monotonic seconds.
    """

    __slots__ = ("lender", "parts", "until", "return_at")

    def __init__(self, *, lender: str, parts: int, until: float, return_at: float) -> None:
        self.lender = lender
        self.parts = parts
        self.until = until
        self.return_at = return_at


class Holding:
    """One client account's rate at one instance.

    Attributes:
        account: Name of the client account.
        rate: Its whole rate and burst.
        own_parts: Parts recorded for this instance, less what it is giving away.
        own: Bucket of the own slice.
        pool: Bucket of all borrowed parts.
        lent: Loans to peers, by id.
        borrowed: Loans from peers, by id.
        demand: Tokens asked for in the recent past, decaying over ``DEMAND_WINDOW_S``.
        demand_at: When that was last brought up to date.
        asked: Tokens that each peer borrowed since the slices were last moved.
    """

    __slots__ = (
        "account",
        "rate",
        "own_parts",
        "own",
        "pool",
        "lent",
        "borrowed",
        "demand",
        "demand_at",
        "asked",
    )

    def __init__(self, rate: rates.Rate, now: float) -> None:
        self.account = rate.name
        self.rate = rate
        self.own_parts = 0
        self.own = _bucket.Bucket(now)
        self.pool = _bucket.Bucket(now)
        self.lent: dict[str, Lent] = {}
        self.borrowed: dict[str, Borrowed] = {}
        self.demand = 0.0
        self.demand_at = now
        self.asked: dict[str, float] = {}

    def free_parts(self) -> int:
        """Return the parts of the own slice that are not lent."""
        return self.own_parts - sum(loan.parts for loan in self.lent.values())

    def pool_parts(self) -> int:
        """Return the parts that are borrowed."""
        return sum(loan.parts for loan in self.borrowed.values())

    def update(self, now: float) -> None:
        """End loans whose time has come and add the tokens that came in."""
        ended = [(loan.until, name) for name, loan in self.borrowed.items() if now >= loan.until]
        for until, name in sorted(ended):
            # Parts that came to their end must not earn tokens for the time after it.
            self._accrue_pool(min(until, now))
            del self.borrowed[name]
            self.pool.limit(self.cap(self.pool_parts()))
        self._accrue(now)
        for name in [n for n, loan in self.lent.items() if now >= loan.until]:
            del self.lent[name]

    def cap(self, parts: int) -> float:
        """Return the burst that goes with so many parts, in tokens."""
        return self.rate.burst_tokens * max(0, parts) / PARTS

    def parts_for(self, tokens: float) -> int:
        """Return the fewest parts whose burst covers so many tokens."""
        if self.rate.burst_tokens <= 0:
            return 0
        return min(PARTS, math.ceil(tokens / self.rate.burst_tokens * PARTS))

    def available(self, *, own_usable: bool) -> float:
        """Return the tokens that can be spent at this moment."""
        return self.pool.level + (self.own.level if own_usable else 0.0)

    def take(self, name: str, tokens: float, *, own_usable: bool) -> bool:
        """Spend tokens for a reservation, borrowed ones first; return whether there were enough."""
        if tokens > self.available(own_usable=own_usable) + _bucket.EPSILON:
            return False
        from_pool = min(tokens, self.pool.level)
        if from_pool > 0:
            self.pool.take(name, from_pool)
        if tokens > from_pool:
            self.own.take(name, tokens - from_pool)
        return True

    def settle(self, name: str, unused: float) -> None:
        """Give back what a reservation did not use."""
        from_own = min(unused, self.own.held.get(name, 0.0))
        self.own.give_back(name, from_own)
        self.pool.give_back(name, unused - from_own)

    def lend(self, loan_id: str, loan: Lent, tokens: float) -> None:
        """Move parts and tokens of the own slice to a peer."""
        self.lent[loan_id] = loan
        self.own.level -= tokens
        self.own.limit(self.cap(self.free_parts()))

    def take_back(self, loan_id: str, tokens: float) -> None:
        """Take back a loan that ended early."""
        if self.lent.pop(loan_id, None) is not None:
            self.own.level += tokens
            self.own.limit(self.cap(self.free_parts()))

    def borrow(self, loan_id: str, loan: Borrowed, tokens: float) -> None:
        """Add a loan from a peer."""
        self.borrowed[loan_id] = loan
        self.pool.level += tokens
        self.pool.limit(self.cap(self.pool_parts()))

    def give_up(self, loan_id: str) -> float:
        """End a loan from a peer and return the tokens that go back with it."""
        loan = self.borrowed.pop(loan_id)
        rest = self.pool_parts()
        keep = self.cap(rest) if self.demand > 0 else 0.0
        tokens = min(max(0.0, self.pool.level - keep), self.cap(loan.parts))
        self.pool.level -= tokens
        self.pool.limit(self.cap(rest))
        return tokens

    def set_rate(self, rate: rates.Rate, now: float) -> None:
        """Put another rate and burst in force."""
        self._accrue(now)
        self.rate = rate
        self.own.limit(self.cap(self.free_parts()))
        self.pool.limit(self.cap(self.pool_parts()))

    def set_own_parts(self, parts: int, now: float, *, full: bool = False) -> None:
        """Set the parts of the own slice; a new client account's slice begins full."""
        self._accrue(now)
        self.own_parts = parts
        cap = self.cap(self.free_parts())
        if full:
            self.own.level = cap
        self.own.limit(cap)

    def wanted(self, tokens: float, now: float) -> None:
        """Count tokens that callers ask for."""
        self._decay(now)
        self.demand += tokens

    def demand_rate(self, now: float) -> float:
        """Return the tokens a second that callers have asked for of late."""
        self._decay(now)
        return self.demand / DEMAND_WINDOW_S

    def _decay(self, now: float) -> None:
        self.demand *= math.exp(-max(0.0, now - self.demand_at) / DEMAND_WINDOW_S)
        self.demand_at = now

    def _accrue(self, now: float) -> None:
        rate, burst = self.rate.tokens_per_s, self.rate.burst_tokens
        self.own.accrue(now, rate=rate, burst=burst, parts=max(0, self.free_parts()))
        self._accrue_pool(now)

    def _accrue_pool(self, now: float) -> None:
        rate, burst = self.rate.tokens_per_s, self.rate.burst_tokens
        self.pool.accrue(now, rate=rate, burst=burst, parts=self.pool_parts())
