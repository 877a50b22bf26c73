"""What an instance holds of one client account's rate: its own slice and what it borrowed."""

from __future__ import annotations

import math

from yuccahitch import records
from yuccahitch.controllers import _bucket
from yuccahitch.resources import rate as rates

DEMAND_DECAY_S = 10.0
PARTS_PER_RATE = _bucket.PARTS_PER_RATE


class OutgoingLoan(records.Record):
    """A part of the own slice that a peer holds for a while.

    Attributes:
        borrower: Id of the peer.
        parts: Parts lent.
        expires_at: When the parts come back, in monotonic seconds.
    """

    __slots__ = ("borrower", "parts", "expires_at")

    def __init__(self, *, borrower: str, parts: int, expires_at: float) -> None:
        self.borrower = borrower
        self.parts = parts
        self.expires_at = expires_at


class IncomingLoan(records.Record):
    """A part of a peer's slice that this instance holds for a while.

    Attributes:
        lender: Id of the peer.
        parts: Parts borrowed.
        expires_at: When they must not be used any more, in monotonic seconds.
        return_at: When they are given back, in monotonic seconds.
    """

    __slots__ = ("lender", "parts", "expires_at", "return_at")

    def __init__(self, *, lender: str, parts: int, expires_at: float, return_at: float) -> None:
        self.lender = lender
        self.parts = parts
        self.expires_at = expires_at
        self.return_at = return_at


class Holding:
    """One client account's rate at one instance.

    Attributes:
        account: Name of the client account.
        rate: Its whole rate and burst.
        own_parts: Parts recorded for this instance, less what it is giving away.
        own_bucket: Bucket of the own slice.
        borrowed_bucket: Bucket of all borrowed parts.
        outgoing_loans: Loans to peers, by id.
        incoming_loans: Loans from peers, by id.
        recent_demand: Tokens asked for in the recent past, decaying over ``DEMAND_WINDOW_S``.
        demand_updated_at: When that was last brought up to date.
        requested_by_peer: Tokens that each peer borrowed since the slices were last moved.
    """

    __slots__ = (
        "account",
        "rate",
        "own_parts",
        "own_bucket",
        "borrowed_bucket",
        "outgoing_loans",
        "incoming_loans",
        "recent_demand",
        "demand_updated_at",
        "requested_by_peer",
    )

    def __init__(self, rate: rates.Rate, now: float) -> None:
        self.account = rate.name
        self.rate = rate
        self.own_parts = 0
        self.own_bucket = _bucket.Bucket(now)
        self.borrowed_bucket = _bucket.Bucket(now)
        self.outgoing_loans: dict[str, OutgoingLoan] = {}
        self.incoming_loans: dict[str, IncomingLoan] = {}
        self.recent_demand = 0.0
        self.demand_updated_at = now
        self.requested_by_peer: dict[str, float] = {}

    def unlent_parts(self) -> int:
        """Return the parts of the own slice that are not lent."""
        return self.own_parts - sum(loan.parts for loan in self.outgoing_loans.values())

    def borrowed_parts(self) -> int:
        """Return the parts that are borrowed."""
        return sum(loan.parts for loan in self.incoming_loans.values())

    def update(self, now: float) -> None:
        """End loans whose time has come and add the tokens that came in."""
        ended = [
            (loan.expires_at, loan_id)
            for loan_id, loan in self.incoming_loans.items()
            if now >= loan.expires_at
        ]
        for expires_at, loan_id in sorted(ended):
            # Parts that came to their end must not earn tokens for the time after it.
            self._accrue_borrowed(min(expires_at, now))
            del self.incoming_loans[loan_id]
            self.borrowed_bucket.clamp(self.burst_of(self.borrowed_parts()))
        self._accrue(now)
        for loan_id in [n for n, loan in self.outgoing_loans.items() if now >= loan.expires_at]:
            del self.outgoing_loans[loan_id]

    def burst_of(self, parts: int) -> float:
        """Return the burst that goes with so many parts, in tokens."""
        return self.rate.burst_tokens * max(0, parts) / PARTS_PER_RATE

    def parts_to_cover(self, tokens: float) -> int:
        """Return the fewest parts whose burst covers so many tokens."""
        if self.rate.burst_tokens <= 0:
            return 0
        return min(PARTS_PER_RATE, math.ceil(tokens / self.rate.burst_tokens * PARTS_PER_RATE))

    def available(self, *, own_usable: bool) -> float:
        """Return the tokens that can be spent at this moment."""
        return self.borrowed_bucket.level + (self.own_bucket.level if own_usable else 0.0)

    def spend(self, reservation_id: str, tokens: float, *, own_usable: bool) -> bool:
        """Spend tokens for a reservation, borrowed ones first; return whether there were enough."""
        if tokens > self.available(own_usable=own_usable) + _bucket.TOKEN_TOLERANCE:
            return False
        from_borrowed = min(tokens, self.borrowed_bucket.level)
        if from_borrowed > 0:
            self.borrowed_bucket.spend(reservation_id, from_borrowed)
        if tokens > from_borrowed:
            self.own_bucket.spend(reservation_id, tokens - from_borrowed)
        return True

    def settle(self, reservation_id: str, unused: float) -> None:
        """Give back what a reservation did not use."""
        from_own = min(unused, self.own_bucket.refundable.get(reservation_id, 0.0))
        self.own_bucket.refund(reservation_id, from_own)
        self.borrowed_bucket.refund(reservation_id, unused - from_own)

    def lend(self, loan_id: str, loan: OutgoingLoan, tokens: float) -> None:
        """Move parts and tokens of the own slice to a peer."""
        self.outgoing_loans[loan_id] = loan
        self.own_bucket.level -= tokens
        self.own_bucket.clamp(self.burst_of(self.unlent_parts()))

    def accept_loan_return(self, loan_id: str, tokens: float) -> None:
        """Take back a loan that ended early."""
        if self.outgoing_loans.pop(loan_id, None) is not None:
            self.own_bucket.level += tokens
            self.own_bucket.clamp(self.burst_of(self.unlent_parts()))

    def borrow(self, loan_id: str, loan: IncomingLoan, tokens: float) -> None:
        """Add a loan from a peer."""
        self.incoming_loans[loan_id] = loan
        self.borrowed_bucket.level += tokens
        self.borrowed_bucket.clamp(self.burst_of(self.borrowed_parts()))

    def end_incoming_loan(self, loan_id: str) -> float:
        """End a loan from a peer and return the tokens that go back with it."""
        loan = self.incoming_loans.pop(loan_id)
        rest = self.borrowed_parts()
        keep = self.burst_of(rest) if self.recent_demand > 0 else 0.0
        tokens = min(max(0.0, self.borrowed_bucket.level - keep), self.burst_of(loan.parts))
        self.borrowed_bucket.level -= tokens
        self.borrowed_bucket.clamp(self.burst_of(rest))
        return tokens

    def set_rate(self, rate: rates.Rate, now: float) -> None:
        """Put another rate and burst in force."""
        self._accrue(now)
        self.rate = rate
        self.own_bucket.clamp(self.burst_of(self.unlent_parts()))
        self.borrowed_bucket.clamp(self.burst_of(self.borrowed_parts()))

    def set_own_parts(self, parts: int, now: float, *, fill: bool = False) -> None:
        """Set the parts of the own slice; a new client account's slice begins full."""
        self._accrue(now)
        self.own_parts = parts
        cap = self.burst_of(self.unlent_parts())
        if fill:
            self.own_bucket.level = cap
        self.own_bucket.clamp(cap)

    def record_demand(self, tokens: float, now: float) -> None:
        """Count tokens that callers ask for."""
        self._decay(now)
        self.recent_demand += tokens

    def demand_rate(self, now: float) -> float:
        """Return the tokens a second that callers have asked for of late."""
        self._decay(now)
        return self.recent_demand / DEMAND_DECAY_S

    def _decay(self, now: float) -> None:
        self.recent_demand *= math.exp(-max(0.0, now - self.demand_updated_at) / DEMAND_DECAY_S)
        self.demand_updated_at = now

    def _accrue(self, now: float) -> None:
        rate, burst = self.rate.tokens_per_s, self.rate.burst_tokens
        self.own_bucket.accrue(now, rate=rate, burst=burst, parts=max(0, self.unlent_parts()))
        self._accrue_borrowed(now)

    def _accrue_borrowed(self, now: float) -> None:
        rate, burst = self.rate.tokens_per_s, self.rate.burst_tokens
        self.borrowed_bucket.accrue(now, rate=rate, burst=burst, parts=self.borrowed_parts())
