"""Finds the upstream or the instance that a request goes to, and waits for a place there."""

from __future__ import annotations

import functools
import typing

from yuccahitch.controllers import choices, placement
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions, commands


class Place(chain.Step):
    """Takes a place at an upstream and frees it again.

    Args:
        policy: Chooses and keeps the queue.
    """

    __slots__ = ("policy",)
    step = choices.STEP

    def __init__(self, policy: placement.Placement) -> None:
        self.policy = policy

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Choose an upstream or an instance, wait, or refuse."""
        if item.declined and item.instance:
            self.policy.declined(item.instance, item.account.name, now)
        item.upstream = ""
        item.instance = ""
        return act(self.policy.place(_task(item), now), item)

    def resume(self, item: exchange.Exchange, reply: typing.Any, now: float) -> actions.Action:
        """Go on once there is a place."""
        return act(reply, item)

    def leave(self, item: exchange.Exchange, now: float) -> None:
        """Free the place."""
        self.policy.release(item.id, now)


def _task(item: exchange.Exchange) -> placement.Task:
    request = item.request
    return placement.Task(
        request_id=item.id,
        account=item.account.name,
        weight=item.account.weight,
        service=item.service.name,
        regions=item.regions,
        prefix=request.prefix_hash,
        prompt_tokens=request.prompt_tokens,
        output_tokens=item.output_limit,
        body_bytes=len(request.body),
        deadline=request.deadline,
        avoid=tuple(item.tried),
        local_only=item.hop is not None or item.declined,
        better_than_s=item.hop.better_than_s if item.hop is not None else 0.0,
    )


@functools.singledispatch
def act(choice: typing.Any, item: exchange.Exchange) -> actions.Action:
    """Do with a request what was chosen for it."""
    raise TypeError(type(choice))


@act.register
def _(choice: choices.ToUpstream, item: exchange.Exchange) -> actions.Action:
    item.upstream = choice.upstream.name
    # A request that waited keeps what its waiting was decided on.
    item.basis = choice.basis or item.basis
    return actions.Proceed()


@act.register
def _(choice: choices.ToInstance, item: exchange.Exchange) -> actions.Action:
    item.instance = choice.row.instance
    item.better_than_s = choice.better_than_s
    item.basis = choice.basis
    return actions.Proceed()


@act.register
def _(choice: choices.Wait, item: exchange.Exchange) -> actions.Action:
    item.basis = choice.basis
    return actions.Perform(actions.AwaitUpstreamSlot(wait_until=choice.until))


@act.register
def _(choice: choices.Refused, item: exchange.Exchange) -> actions.Action:
    item.basis = choice.basis
    # With no place for another attempt, the caller is told why the last one failed.
    return actions.Refuse(item.last_error or choice.error)


@act.register
def _(choice: commands.WaitDenied, item: exchange.Exchange) -> actions.Action:
    return actions.Refuse(choice.error)
