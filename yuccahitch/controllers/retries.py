"""A budget for retries: a share of the traffic, so that failures don't multiply load."""

from __future__ import annotations

from yuccahitch.controllers import rules as policy

MAX_BALANCE = 20.0
INITIAL_BALANCE = 10.0
MIN_RETRIES_PER_S = 0.5


class RetryBudget:
    """Saves a share of a retry with each request, and a few a second with little traffic.

    Args:
        ratio: Retries allowed for each request.
        rules: Rules in force.
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
        """Count a request."""
        self.requests += 1
        self._deposit(self.ratio, now)

    def take_retry(self, now: float) -> bool:
        """Take one retry from the budget; return whether there was one."""
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
