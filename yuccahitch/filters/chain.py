"""Runs a request through the filters.

The chain is free of I/O: it is given the time, and returns the action that ends or suspends the
run. ``leave`` is called on each entered filter, last first, when the request is over.
"""

from __future__ import annotations

import functools
import itertools
import typing

from yuccahitch.filters import request_context
from yuccahitch.messages import actions


class Filter(typing.Protocol):
    """One step of a request."""

    step: str

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Decide what happens to a request that comes to this step."""

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Go on after the work that the step asked for."""

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Undo or settle what the step did, once the request is over."""


class BaseFilter:
    """A filter that neither waits nor holds anything; a base for the others."""

    __slots__ = ()
    step = ""

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Go on: a step that asks for no work has nothing to wait for."""
        return actions.Proceed()

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Nothing to settle."""


class Chain:
    """Filters in their order.

    Args:
        filters: The filters; the last one must not return Proceed.
    """

    __slots__ = ("filters", "positions")

    def __init__(self, filters: typing.Sequence[Filter]) -> None:
        self.filters = tuple(filters)
        self.positions = {
            step_filter.step: position for position, step_filter in enumerate(self.filters)
        }

    def begin(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Run a new request until it ends or waits."""
        return self.run_from(context, 0, now)

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Go on with a request whose last entered filter waited for the reply."""
        position = self.positions[context.entered_steps[-1]]
        action = self.filters[position].resume(context, reply, now)
        return _apply_action(action, self, context, position, now)

    def finish(self, context: request_context.RequestContext, now: float) -> None:
        """Settle a request that is over; calling it again does nothing."""
        while context.entered_steps:
            self.filters[self.positions[context.entered_steps.pop()]].leave(context, now)

    def run_from(
        self, context: request_context.RequestContext, position: int, now: float
    ) -> actions.Action:
        """Run a request from the filter at a place."""
        for current_position in itertools.count(position):
            current_filter = self.filters[current_position]
            context.entered_steps.append(current_filter.step)
            action = current_filter.enter(context, now)
            if type(action) is not actions.Proceed:
                return _apply_action(action, self, context, current_position, now)
        raise AssertionError("unreachable")


@functools.singledispatch
def _apply_action(
    action: actions.Action,
    chain: Chain,
    context: request_context.RequestContext,
    position: int,
    now: float,
) -> actions.Action:
    return action


@_apply_action.register
def _(
    action: actions.Proceed,
    chain: Chain,
    context: request_context.RequestContext,
    position: int,
    now: float,
) -> actions.Action:
    return chain.run_from(context, position + 1, now)


@_apply_action.register
def _(
    action: actions.Rewind,
    chain: Chain,
    context: request_context.RequestContext,
    position: int,
    now: float,
) -> actions.Action:
    target_position = chain.positions[action.step]
    while context.entered_steps and chain.positions[context.entered_steps[-1]] >= target_position:
        chain.filters[chain.positions[context.entered_steps.pop()]].leave(context, now)
    return chain.run_from(context, target_position, now)
