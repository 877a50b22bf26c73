"""Takes a request's tokens from its client account's rate and settles them afterwards."""

from __future__ import annotations

import functools
import typing

from yuccahitch import errors
from yuccahitch.controllers import configuration, limits, slices
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions, commands
from yuccahitch.resources import service as services


class RateLimit(chain.Step):
    """Reserves prompt and answer limit at admission.

    Args:
        config: Holds the catalog.
        rates: What this instance may spend.
        records: The recorded slices.
    """

    __slots__ = ("config", "rates", "records")
    step = limits.STEP

    def __init__(
        self,
        config: configuration.Configuration,
        rates: limits.Limits,
        records: slices.Slices,
    ) -> None:
        self.config = config
        self.rates = rates
        self.records = records

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Reserve the tokens, or wait for tokens from peers."""
        if item.hop is not None and item.hop.charged:
            return actions.Proceed()
        rate = self.config.catalog.rate(item.account.name)
        if rate is None:
            return self._refuse(errors.Code.RATE_EXCEEDED, "the client account has no rate")
        tokens = tokens_of(item)
        if tokens > rate.burst_tokens:
            detail = f"it needs {tokens} tokens, the burst is {rate.burst_tokens:g}"
            return self._refuse(errors.Code.TOO_LARGE_FOR_BURST, detail)
        self.records.open(rate, now)
        item.reserved = tokens
        if self.rates.reserve(rate, item.id, tokens, now):
            return actions.Proceed()
        self.rates.gather(rate, item.id, tokens, item.request.deadline, now)
        work = actions.AwaitTokens(
            account=rate.name, tokens=tokens, wait_until=now + self.rates.gather_s
        )
        return actions.Perform(work)

    def resume(self, item: exchange.Exchange, reply: typing.Any, now: float) -> actions.Action:
        """Go on once the tokens were borrowed, or refuse."""
        return _resume(reply, item)

    def leave(self, item: exchange.Exchange, now: float) -> None:
        """Give back what was not used."""
        if item.reserved <= 0:
            return
        self.rates.cancel(item.account.name, item.id)
        used = self._used(item)
        self.rates.settle(item.account.name, item.id, max(0, item.reserved - used), now)
        item.reserved = 0

    def _used(self, item: exchange.Exchange) -> int:
        if not item.reached:
            return 0
        if item.service.kind == services.PLAIN:
            return item.reserved
        if not item.succeeded and item.usage.output == 0 and item.head is None:
            # An upstream may have worked on it unseen.
            return item.reserved if not item.idempotent else item.request.prompt_tokens
        return item.request.prompt_tokens + item.usage.output

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))


def tokens_of(item: exchange.Exchange) -> int:
    """Return the tokens that a request may use at most."""
    if item.service.kind == services.PLAIN:
        return item.service.tokens_per_call
    return item.request.prompt_tokens + item.output_limit


@functools.singledispatch
def _resume(reply: typing.Any, item: exchange.Exchange) -> actions.Action:
    raise TypeError(type(reply))


@_resume.register
def _(reply: commands.WaitGranted, item: exchange.Exchange) -> actions.Action:
    return actions.Proceed()


@_resume.register
def _(reply: commands.WaitDenied, item: exchange.Exchange) -> actions.Action:
    item.reserved = 0
    return actions.Refuse(reply.error)
