"""Accounting of one client account's rate at one instance: the own slice, loans and demand."""

from __future__ import annotations

import math

from yuccahitch import records
from yuccahitch.controllers.rates import _bucket
from yuccahitch.resources import rate as rates

# Time constant of the exponential decay of the recent demand, in seconds.
DEMAND_DECAY_S = 10.0
PARTS_PER_RATE = _bucket.PARTS_PER_RATE


class OutgoingLoan(records.Record):
    """Parts of the own slice that are lent to a peer.

    Attributes:
        borrower: Instance id of the peer.
        parts: Parts lent.
        expires_at: Time from which this instance uses the parts again, in monotonic seconds.
    """

    __slots__ = ("borrower", "parts", "expires_at")

    def __init__(self, *, borrower: str, parts: int, expires_at: float) -> None:
        self.borrower = borrower
        self.parts = parts
        self.expires_at = expires_at


class IncomingLoan(records.Record):
    """Parts of a peer's slice that are lent to this instance.

    Attributes:
        lender: Instance id of the peer.
        parts: Parts borrowed.
        expires_at: Time from which the parts must not be used any more, in monotonic seconds.
        return_at: Time from which the loan is returned early, in monotonic seconds.
    """

    __slots__ = ("lender", "parts", "expires_at", "return_at")

    def __init__(self, *, lender: str, parts: int, expires_at: float, return_at: float) -> None:
        self.lender = lender
        self.parts = parts
        self.expires_at = expires_at
        self.return_at = return_at


class Holding:
    """What one instance may use of a client account's rate: its own slice and borrowed parts.

    Args:
        rate: Rate and burst of the whole client account.
        now: Monotonic seconds; both buckets begin empty at this time.

    Attributes:
        account: Name of the client account.
        rate: Rate and burst of the whole client account.
        own_parts: Parts that the store records for this instance, less those in a transfer.
        own_bucket: Tokens of the own slice.
        borrowed_bucket: Tokens of all borrowed parts.
        outgoing_loans: Loans to peers, by loan id.
        incoming_loans: Loans from peers, by loan id.
        recent_demand: Tokens that requests asked for, decaying over ``DEMAND_DECAY_S``.
        demand_updated_at: Time up to which ``recent_demand`` has decayed, in monotonic seconds.
        requested_by_peer: Tokens that each peer asked to borrow since the last rebalancing, by
            instance id.
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
        """Return the number of parts of the own slice that are not lent."""
        return self.own_parts - sum(loan.parts for loan in self.outgoing_loans.values())

    def borrowed_parts(self) -> int:
        """Return the number of parts that are borrowed."""
        return sum(loan.parts for loan in self.incoming_loans.values())

    def update(self, now: float) -> None:
        """End the loans that have expired and add the tokens that accrued since the last call."""
        ended = [
            (loan.expires_at, loan_id)
            for loan_id, loan in self.incoming_loans.items()
            if now >= loan.expires_at
        ]
        for expires_at, loan_id in sorted(ended):
            # The parts of an expired loan must not earn tokens for the time after it.
            self._accrue_borrowed(min(expires_at, now))
            del self.incoming_loans[loan_id]
            self.borrowed_bucket.clamp(self.burst_of(self.borrowed_parts()))
        self._accrue(now)
        for loan_id in [n for n, loan in self.outgoing_loans.items() if now >= loan.expires_at]:
            del self.outgoing_loans[loan_id]

    def burst_of(self, parts: int) -> float:
        """Return the burst of a number of parts, in tokens."""
        return self.rate.burst_tokens * max(0, parts) / PARTS_PER_RATE

    def parts_to_cover(self, tokens: float) -> int:
        """Return the smallest number of parts whose burst covers a number of tokens."""
        if self.rate.burst_tokens <= 0:
            return 0
        return min(PARTS_PER_RATE, math.ceil(tokens / self.rate.burst_tokens * PARTS_PER_RATE))

    def available(self, *, own_usable: bool) -> float:
        """Return the tokens that can be spent now; the own slice counts if it is usable."""
        return self.borrowed_bucket.level + (self.own_bucket.level if own_usable else 0.0)

    def spend(self, reservation_id: str, tokens: float, *, own_usable: bool) -> bool:
        """Spend tokens for a reservation, borrowed ones first.

        Args:
            reservation_id: Id of the reservation, by which it is settled later.
            tokens: Tokens to spend.
            own_usable: Whether tokens of the own slice may be spent.

        Returns:
            Whether there were enough tokens; if not, none are spent.
        """
        if tokens > self.available(own_usable=own_usable) + _bucket.TOKEN_TOLERANCE:
            return False
        from_borrowed = min(tokens, self.borrowed_bucket.level)
        if from_borrowed > 0:
            self.borrowed_bucket.spend(reservation_id, from_borrowed)
        if tokens > from_borrowed:
            self.own_bucket.spend(reservation_id, tokens - from_borrowed)
        return True

    def settle(self, reservation_id: str, unused: float) -> None:
        """Refund the unused tokens of a reservation, to the own slice first."""
        from_own = min(unused, self.own_bucket.refundable.get(reservation_id, 0.0))
        self.own_bucket.refund(reservation_id, from_own)
        self.borrowed_bucket.refund(reservation_id, unused - from_own)

    def lend(self, loan_id: str, loan: OutgoingLoan, tokens: float) -> None:
        """Lend parts and tokens of the own slice to a peer."""
        self.outgoing_loans[loan_id] = loan
        self.own_bucket.level -= tokens
        self.own_bucket.clamp(self.burst_of(self.unlent_parts()))

    def accept_loan_return(self, loan_id: str, tokens: float) -> None:
        """End a loan to a peer that returns it early, with the tokens that the peer sends back.

        A loan that has expired meanwhile is ignored, and so are its tokens.
        """
        if self.outgoing_loans.pop(loan_id, None) is not None:
            self.own_bucket.level += tokens
            self.own_bucket.clamp(self.burst_of(self.unlent_parts()))

    def borrow(self, loan_id: str, loan: IncomingLoan, tokens: float) -> None:
        """Add a loan from a peer, with the tokens that come with it."""
        self.incoming_loans[loan_id] = loan
        self.borrowed_bucket.level += tokens
        self.borrowed_bucket.clamp(self.burst_of(self.borrowed_parts()))

    def end_incoming_loan(self, loan_id: str) -> float:
        """End a loan from a peer and return the number of tokens that go back with it.

        While there is demand, tokens up to the burst of the other loans are kept.
        """
        loan = self.incoming_loans.pop(loan_id)
        rest = self.borrowed_parts()
        keep = self.burst_of(rest) if self.recent_demand > 0 else 0.0
        tokens = min(max(0.0, self.borrowed_bucket.level - keep), self.burst_of(loan.parts))
        self.borrowed_bucket.level -= tokens
        self.borrowed_bucket.clamp(self.burst_of(rest))
        return tokens

    def set_rate(self, rate: rates.Rate, now: float) -> None:
        """Apply a changed rate and burst."""
        self._accrue(now)
        self.rate = rate
        self.own_bucket.clamp(self.burst_of(self.unlent_parts()))
        self.borrowed_bucket.clamp(self.burst_of(self.borrowed_parts()))

    def set_own_parts(self, parts: int, now: float, *, fill: bool = False) -> None:
        """Set the number of parts of the own slice.

        Args:
            parts: The new number of parts.
            now: Monotonic seconds.
            fill: Whether to fill the bucket to its burst, as for the slice of a new client account.
        """
        self._accrue(now)
        self.own_parts = parts
        cap = self.burst_of(self.unlent_parts())
        if fill:
            self.own_bucket.level = cap
        self.own_bucket.clamp(cap)

    def record_demand(self, tokens: float, now: float) -> None:
        """Add tokens that a caller's request asks for to the recent demand."""
        self._decay(now)
        self.recent_demand += tokens

    def demand_rate(self, now: float) -> float:
        """Return the recent demand of callers, in tokens a second."""
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
