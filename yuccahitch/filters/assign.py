"""Finds the upstream or the instance that a request of a published route goes to."""

from __future__ import annotations

from yuccahitch.controllers import balance
from yuccahitch.filters import chain, exchange, place
from yuccahitch.messages import actions


class Assign(chain.Step):
    """Takes a place at an upstream and frees it again.

    Args:
        policy: Chooses.
    """

    __slots__ = ("policy",)
    step = balance.STEP

    def __init__(self, policy: balance.Balance) -> None:
        self.policy = policy

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Choose an upstream or an instance, or refuse."""
        item.upstream = ""
        item.instance = ""
        return place.act(self.policy.place(_task(item, now), now), item)

    def leave(self, item: exchange.Exchange, now: float) -> None:
        """Free the place."""
        if item.succeeded:
            self.policy.finished(item.id, now)
        self.policy.release(item.id, now)


def _task(item: exchange.Exchange, now: float) -> balance.Task:
    request = item.request
    return balance.Task(
        request_id=item.id,
        service=item.service,
        regions=item.regions,
        parts=request.prompt_parts,
        body_bytes=len(request.body),
        left_s=item.give_up_at - now,
        avoid=tuple(item.tried) + (item.hop.avoid if item.hop is not None else ()),
        local_only=item.hop is not None,
    )
