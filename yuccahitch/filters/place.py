"""Chooses the upstream or the instance for a request, and queues it while all are full."""

from __future__ import annotations

import functools
import typing

from yuccahitch.controllers.placement import choices, placement
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions, commands


class Place(chain.BaseFilter):
    """Counts a request at the chosen upstream until the upstream is done with it.

    Args:
        policy: Makes the placement decisions and keeps the queue.
    """

    __slots__ = ("policy",)
    step = choices.STEP

    def __init__(self, policy: placement.Placement) -> None:
        self.policy = policy

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Choose an upstream or an instance, queue the request, or refuse."""
        if context.forward_declined and context.instance:
            self.policy.record_declined(context.instance, context.account.name, now)
        context.upstream = ""
        context.instance = ""
        return apply_choice(self.policy.place(_placement_task(context), now), context)

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Apply the decision about a request that waited in the queue."""
        return apply_choice(reply, context)

    def record_received(self, context: request_context.RequestContext, now: float) -> None:
        """Release the request from its upstream."""
        self.policy.release(context.id, now)

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Release the request from its upstream or from the queue."""
        self.policy.release(context.id, now)


def _placement_task(context: request_context.RequestContext) -> placement.PlacementRequest:
    """Return the properties of a request that its placement depends on."""
    request = context.request
    return placement.PlacementRequest(
        request_id=context.id,
        account=context.account.name,
        weight=context.account.weight,
        service=context.service.name,
        regions=context.regions,
        prefix=request.prefix_hash,
        prompt_tokens=request.prompt_tokens,
        output_tokens=context.output_token_limit,
        body_bytes=len(request.body),
        deadline=request.deadline,
        avoid=tuple(context.failed_targets),
        local_only=context.hop is not None or context.forward_declined,
        better_than_s=context.hop.better_than_s if context.hop is not None else 0.0,
    )


@functools.singledispatch
def apply_choice(choice: typing.Any, context: request_context.RequestContext) -> actions.Action:
    """Write a placement decision into the context; return the action that it leads to."""
    raise TypeError(type(choice))


@apply_choice.register
def _(choice: choices.ToUpstream, context: request_context.RequestContext) -> actions.Action:
    context.upstream = choice.upstream.name
    # A request that waited keeps the inputs of the decision to queue it.
    context.placement_inputs = choice.placement_inputs or context.placement_inputs
    return actions.Proceed()


@apply_choice.register
def _(choice: choices.ToInstance, context: request_context.RequestContext) -> actions.Action:
    context.instance = choice.info.instance
    context.better_than_s = choice.better_than_s
    context.placement_inputs = choice.placement_inputs
    return actions.Proceed()


@apply_choice.register
def _(choice: choices.Wait, context: request_context.RequestContext) -> actions.Action:
    context.placement_inputs = choice.placement_inputs
    return actions.Perform(actions.AwaitUpstreamSlot(wait_until=choice.until))


@apply_choice.register
def _(choice: choices.Refused, context: request_context.RequestContext) -> actions.Action:
    context.placement_inputs = choice.placement_inputs
    # If a retry can't be placed, the caller gets the error of the failed attempt.
    return actions.Refuse(context.last_error or choice.error)


@apply_choice.register
def _(choice: commands.WaitDenied, context: request_context.RequestContext) -> actions.Action:
    return actions.Refuse(choice.error)
