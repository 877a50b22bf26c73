"""Reserves a request's tokens from its client account's rate, and returns the unused ones."""

from __future__ import annotations

import functools
import typing

from yuccahitch import errors
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.rates import limits, slices
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions, commands
from yuccahitch.resources import service as services


class RateLimit(chain.BaseFilter):
    """Reserves the prompt tokens and the token limit of the answer before the request runs.

    Args:
        config: Provides the resource catalog.
        token_limits: Tokens that this instance holds, lends and borrows.
        slice_records: Slices of the rates, as recorded in the store.
    """

    __slots__ = ("config", "token_limits", "slice_records")
    step = limits.STEP

    def __init__(
        self,
        config: configuration.Configuration,
        token_limits: limits.RateLimiter,
        slice_records: slices.Slices,
    ) -> None:
        self.config = config
        self.token_limits = token_limits
        self.slice_records = slice_records

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Reserve the tokens, wait to borrow them from peers, or refuse."""
        if context.hop is not None and context.hop.charged:
            return actions.Proceed()
        rate = self.config.catalog.rate(context.account.name)
        if rate is None:
            return self._refuse(
                errors.Code.RATE_EXCEEDED, "no rate is configured for the client account"
            )
        tokens = max_request_tokens(context)
        if tokens > rate.burst_tokens:
            detail = f"the request needs {tokens} tokens, the burst is {rate.burst_tokens:g}"
            return self._refuse(errors.Code.TOO_LARGE_FOR_BURST, detail)
        self.slice_records.ensure_loaded(rate, now)
        context.reserved_tokens = tokens
        if self.token_limits.reserve(rate, context.id, tokens, now):
            return actions.Proceed()
        self.token_limits.borrow_for_request(
            rate, context.id, tokens, context.request.deadline, now
        )
        return actions.Perform(actions.AwaitTokens(account=rate.name, tokens=tokens))

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Proceed once the tokens have been borrowed, or refuse."""
        return _resume(reply, context)

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Return the tokens that the request did not use."""
        if context.reserved_tokens <= 0:
            return
        self.token_limits.cancel(context.account.name, context.id)
        used = self._tokens_used(context)
        self.token_limits.settle(
            context.account.name, context.id, max(0, context.reserved_tokens - used), now
        )
        context.reserved_tokens = 0

    def _tokens_used(self, context: request_context.RequestContext) -> int:
        """Return the tokens to charge to the client account."""
        if not context.may_have_run:
            return 0
        if context.service.kind == services.PLAIN:
            return context.reserved_tokens
        if not context.succeeded and context.usage.output == 0 and context.head is None:
            # An upstream may have run the request, though no answer began.
            return (
                context.reserved_tokens if not context.idempotent else context.request.prompt_tokens
            )
        return context.request.prompt_tokens + context.usage.output

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))


def max_request_tokens(context: request_context.RequestContext) -> int:
    """Return the most tokens that a request may use."""
    if context.service.kind == services.PLAIN:
        return context.service.tokens_per_call
    return context.request.prompt_tokens + context.output_token_limit


@functools.singledispatch
def _resume(reply: typing.Any, context: request_context.RequestContext) -> actions.Action:
    raise TypeError(type(reply))


@_resume.register
def _(reply: commands.WaitGranted, context: request_context.RequestContext) -> actions.Action:
    return actions.Proceed()


@_resume.register
def _(reply: commands.WaitDenied, context: request_context.RequestContext) -> actions.Action:
    """Refuse: the tokens could not be borrowed, so there is nothing to settle."""
    context.reserved_tokens = 0
    return actions.Refuse(reply.error)
