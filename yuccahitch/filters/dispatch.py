"""Sends a request to its upstream or instance, and decides whether to retry."""

from __future__ import annotations

import functools
import typing

from yuccahitch import errors
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.members import membership
from yuccahitch.controllers.placement import choices
from yuccahitch.controllers.runs import retries, suspects
from yuccahitch.controllers.upstream_state import upstreams
from yuccahitch.filters import _forwarding, chain, poison, request_context, residency
from yuccahitch.messages import actions, answers

# Codes by which an instance of another region declines a request that it has not run.
DECLINE_CODES = frozenset(
    (errors.Code.OVERLOADED, errors.Code.NO_UPSTREAM, errors.Code.DRAINING, errors.Code.NOT_READY)
)


class Dispatch(chain.BaseFilter):
    """Last filter of the chain over the resource catalog: makes the attempts.

    Args:
        config: Provides the resource catalog.
        members: The live instances.
        upstream_states: Load and health of the upstreams.
        budget: Limits retries to a share of the requests.
        suspects: Traits of the requests that were running when upstreams crashed.
    """

    __slots__ = ("config", "members", "upstream_states", "budget", "suspects")
    step = "dispatch"

    def __init__(
        self,
        config: configuration.Configuration,
        members: membership.Membership,
        upstream_states: upstreams.UpstreamStates,
        budget: retries.RetryBudget,
        suspects: suspects.Suspects,
    ) -> None:
        self.config = config
        self.members = members
        self.upstream_states = upstream_states
        self.budget = budget
        self.suspects = suspects

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Start an attempt at the chosen upstream or instance, unless the regions changed."""
        # The catalog may have changed while the request waited, and with it the allowed regions.
        regions = residency.allowed_regions(context, self.config.catalog)
        if regions != context.regions:
            return actions.Rewind(residency.Residency.step)
        if context.attempt == 0:
            self.budget.record_request(now)
        context.attempt += 1
        if context.upstream:
            return self._dispatch_to_upstream(context)
        return self._forward_to_instance(context, now)

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Deliver the answer that began, retry, or refuse."""
        return _resume(reply, self, context, now)

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Record the duration and the output tokens of a success at an upstream."""
        poison.record_answer(context, self.suspects, now)
        if not context.upstream:
            return
        if context.succeeded:
            received_at = now if context.received_at is None else context.received_at
            seconds = received_at - context.arrived_at
            self.upstream_states.record_success(
                context.upstream, seconds=seconds, tokens=context.usage.output
            )

    def _dispatch_to_upstream(self, context: request_context.RequestContext) -> actions.Action:
        """Send the request to its upstream; place it again if the catalog lacks that one."""
        chosen_upstream = self.config.catalog.upstream(context.upstream)
        if chosen_upstream is None:
            return actions.Rewind(choices.STEP)
        work = actions.Dispatch(
            upstream=chosen_upstream.name,
            address=chosen_upstream.address,
            attempt=context.attempt,
            request=context.request,
            max_tokens=context.output_token_limit,
            priority=request_context.effective_priority(context),
            echoes_request_id="echo" in chosen_upstream.abilities,
        )
        return actions.Perform(work)

    def _forward_to_instance(
        self, context: request_context.RequestContext, now: float
    ) -> actions.Action:
        """Forward the request to its instance; place it again if that one is not live."""
        info = self.members.find(context.instance)
        if info is None:
            return actions.Rewind(choices.STEP)
        work = _forwarding.forward_action(context, info, members=self.members, now=now, owned=False)
        return actions.Perform(work)


@functools.singledispatch
def _resume(
    reply: typing.Any,
    dispatch_filter: Dispatch,
    context: request_context.RequestContext,
    now: float,
) -> actions.Action:
    raise TypeError(type(reply))


@_resume.register
def _(
    reply: answers.Head,
    dispatch_filter: Dispatch,
    context: request_context.RequestContext,
    now: float,
) -> actions.Action:
    """Deliver the answer that began."""
    context.head = reply
    context.record_answer_begin(now)
    return actions.Deliver(reply)


@_resume.register
def _(
    reply: answers.Failure,
    dispatch_filter: Dispatch,
    context: request_context.RequestContext,
    now: float,
) -> actions.Action:
    """Queue a request that another region declined, retry a failed attempt, or refuse."""
    reached_upstream = reply.error.run is errors.RunStatus.MAY_HAVE_RUN
    if (
        context.instance
        and not reached_upstream
        and reply.error.code in DECLINE_CODES
        and not context.forward_declined
    ):
        # No upstream was tried there: the request goes back to the queue of its own region.
        context.forward_declined = True
        context.last_error = reply.error
        return actions.Rewind(choices.STEP)
    context.reached_upstream = context.reached_upstream or reached_upstream
    poison.record_forwarded_crashes(context, dispatch_filter.suspects, reply.error.crashes, now)
    if reply.crashed:
        poison.record_crash(context, dispatch_filter.suspects, reply.error.peer, now)
    elif context.upstream:
        dispatch_filter.upstream_states.record_failure(context.upstream, now)
    elif reply.error.code is errors.Code.PEER_UNREACHABLE:
        dispatch_filter.members.record_call_failure(context.instance)
    context.failed_targets.append(context.upstream or context.instance)
    if context.reached_upstream:
        reply.error.run = errors.RunStatus.MAY_HAVE_RUN
    context.last_error = reply.error
    poison_error = poison.refusal(context, dispatch_filter.suspects, now)
    if poison_error is not None:
        return actions.Refuse(poison_error)
    if _may_retry(reply, dispatch_filter, context, now):
        return actions.Rewind(choices.STEP)
    return actions.Refuse(reply.error)


def _may_retry(
    reply: answers.Failure,
    dispatch_filter: Dispatch,
    context: request_context.RequestContext,
    now: float,
) -> bool:
    """Return whether another attempt is safe, in time and within attempts and retry budget."""
    repeatable = context.idempotent or not context.reached_upstream
    within_limits = context.attempt < context.route.attempts and now < context.request.deadline
    return repeatable and within_limits and dispatch_filter.budget.take_retry(now)
