"""Takes a request's tokens from this instance's share of its client account's rate."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.config import published
from yuccahitch.controllers.rates import shares
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions


class Quota(chain.BaseFilter):
    """Refuses a request that exceeds the share; refunds one that no upstream can have run.

    Args:
        config: Holds the published configuration in force.
        rate_shares: This instance's shares of the client accounts' rates.
    """

    __slots__ = ("config", "rate_shares")
    step = "quota"

    def __init__(self, config: published.PublishedConfig, rate_shares: shares.RateShares) -> None:
        self.config = config
        self.rate_shares = rate_shares

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Take the tokens, or refuse with the time after which a retry makes sense."""
        rate = self.config.current.rates.get(context.account.name)
        if rate is None:
            return actions.Proceed()
        request = context.request
        tokens = request.prompt_tokens + request.max_tokens or context.account.plain_tokens or 1
        wait_s = self.rate_shares.spend(rate, tokens, now)
        context.tokens_left = self.rate_shares.available_tokens(rate.name)
        if wait_s > 0:
            error = errors.GatewayError(
                errors.Code.RATE_EXCEEDED,
                step=self.step,
                peer=context.account.name,
                retry_after=wait_s,
            )
            return actions.Refuse(error)
        context.reserved_tokens = tokens
        return actions.Proceed()

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Refund the tokens of a request that no upstream can have run."""
        rate = self.config.current.rates.get(context.account.name)
        may_have_run = context.possible_runs or context.attempt_open
        if context.reserved_tokens and not may_have_run and rate is not None:
            self.rate_shares.refund(rate, context.reserved_tokens, now)
        context.reserved_tokens = 0
