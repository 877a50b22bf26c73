"""Takes a request's tokens from this instance's share of its account's rate."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import published, shares
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions


class Quota(chain.Step):
    """Refuses what is over the rate; what surely did not run is given back.

    Args:
        config: The configuration in force.
        rate_shares: The shares of this instance.
    """

    __slots__ = ("config", "rate_shares")
    step = "quota"

    def __init__(self, config: published.PublishedConfig, rate_shares: shares.RateShares) -> None:
        self.config = config
        self.rate_shares = rate_shares

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Take the tokens, or refuse."""
        limit = self.config.current.rates.get(item.account.name)
        if limit is None:
            return actions.Proceed()
        request = item.request
        tokens = request.prompt_tokens + request.max_tokens or item.account.plain_tokens or 1
        wait_s = self.rate_shares.spend(limit, tokens, now)
        item.tokens_left = self.rate_shares.available_tokens(limit.name)
        if wait_s > 0:
            error = errors.GatewayError(
                errors.Code.RATE_EXCEEDED,
                step=self.step,
                peer=item.account.name,
                retry_after=wait_s,
            )
            return actions.Refuse(error)
        item.reserved = tokens
        return actions.Proceed()

    def leave(self, item: exchange.Exchange, now: float) -> None:
        """Give back the tokens of a request that no upstream can have run."""
        limit = self.config.current.rates.get(item.account.name)
        if item.reserved and not item.runs and limit is not None:
            self.rate_shares.refund(limit, item.reserved, now)
        item.reserved = 0
