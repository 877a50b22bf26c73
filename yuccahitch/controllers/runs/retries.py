"""Limits retries to a fraction of the traffic, so that failures don't multiply the load."""

from __future__ import annotations

from yuccahitch.controllers.placement import rules as policy

MAX_BALANCE = 20.0
INITIAL_BALANCE = 10.0
# Added to the balance even without requests, so that retries are possible at low traffic.
MIN_RETRIES_PER_S = 0.5


class RetryBudget:
    """A balance of retries that grows with each request and with time.

    Args:
        ratio: Retries added to the balance for each request.
        rules: Placement rules in force; without ``retry_budget`` every retry is allowed.

    Attributes:
        balance: Retries that may be made now, at most ``MAX_BALANCE``.
        retries_taken: Retries granted since the start.
        requests: Requests recorded since the start.
        updated_at: When the balance was last updated, in monotonic seconds.
    """

    __slots__ = ("ratio", "rules", "balance", "retries_taken", "requests", "updated_at")

    def __init__(self, *, ratio: float = 0.1, rules: policy.Rules | None = None) -> None:
        self.ratio = ratio
        self.rules = rules or policy.Rules()
        self.balance = INITIAL_BALANCE
        self.retries_taken = 0
        self.requests = 0
        self.updated_at = 0.0

    def record_request(self, now: float) -> None:
        """Count a request and add its fraction of a retry to the balance."""
        self.requests += 1
        self._deposit(self.ratio, now)

    def take_retry(self, now: float) -> bool:
        """Take one retry from the balance; return whether the retry is allowed."""
        self._deposit(0.0, now)
        if self.rules.retry_budget and self.balance < 1.0:
            return False
        self.balance -= 1.0
        self.retries_taken += 1
        return True

    def _deposit(self, amount: float, now: float) -> None:
        earned = MIN_RETRIES_PER_S * max(0.0, now - self.updated_at)
        self.updated_at = now
        self.balance = min(MAX_BALANCE, self.balance + amount + earned)
