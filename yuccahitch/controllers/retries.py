"""A budget for retries: a share of the traffic, so that failures don't multiply load."""

from __future__ import annotations

from yuccahitch.controllers import rules as policy

MAX_SAVED = 20.0
FIRST_SAVED = 10.0
FLOOR_PER_S = 0.5


class RetryBudget:
    """Saves a share of a retry with each request, and a few a second with little traffic.

    Args:
        share: Retries allowed for each request.
        rules: Rules in force.
    """

    __slots__ = ("share", "rules", "saved", "spent", "requests", "updated_at")

    def __init__(self, *, share: float = 0.1, rules: policy.Rules | None = None) -> None:
        self.share = share
        self.rules = rules or policy.Rules()
        self.saved = FIRST_SAVED
        self.spent = 0
        self.requests = 0
        self.updated_at = 0.0

    def request(self, now: float) -> None:
        """Count a request."""
        self.requests += 1
        self._save(self.share, now)

    def retry(self, now: float) -> bool:
        """Take one retry from the budget; return whether there was one."""
        self._save(0.0, now)
        if self.rules.retry_budget and self.saved < 1.0:
            return False
        self.saved -= 1.0
        self.spent += 1
        return True

    def _save(self, amount: float, now: float) -> None:
        earned = FLOOR_PER_S * max(0.0, now - self.updated_at)
        self.updated_at = now
        self.saved = min(MAX_SAVED, self.saved + amount + earned)
