"""Runs requests through an ordered chain of filters.

The chain does no I/O: each call is given the current time and returns the action that ends or
suspends the request. When the request is over, ``leave`` is called on each entered filter, the last
one first.
"""

from __future__ import annotations

import functools
import itertools
import typing

from yuccahitch.filters import request_context
from yuccahitch.messages import actions


class Filter(typing.Protocol):
    """Interface of a filter, which decides about one step of a request.

    Attributes:
        step: Name of the step, unique within a chain; errors and rewinds refer to it.
    """

    step: str

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Decide about a request that reaches this step."""

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Process the reply to the work that this filter requested for a request."""

    def record_received(self, context: request_context.RequestContext, now: float) -> None:
        """Release what the filter holds of an upstream that has sent its whole answer.

        The caller has not read the answer yet. ``leave`` follows when it has.
        """

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Release what the filter holds for a request that is over or rewound to this step."""


class BaseFilter:
    """Base class whose methods suit a filter that waits for no reply and holds nothing."""

    __slots__ = ()
    step = ""

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Proceed: a filter that requests no work gets no reply to process."""
        return actions.Proceed()

    def record_received(self, context: request_context.RequestContext, now: float) -> None:
        """Do nothing: the filter holds nothing of the upstream."""

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Do nothing: the filter holds nothing for the request."""


class Chain:
    """An ordered sequence of filters.

    Args:
        filters: The filters in order; the last one must not return Proceed.

    Attributes:
        positions: Index of each filter in the chain, by its step.
    """

    __slots__ = ("filters", "positions")

    def __init__(self, filters: typing.Sequence[Filter]) -> None:
        self.filters = tuple(filters)
        self.positions = {
            step_filter.step: position for position, step_filter in enumerate(self.filters)
        }

    def begin(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Run a new request until it ends or waits for a reply."""
        return self.run_from(context, 0, now)

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Pass a reply to the filter that waited for it, and run the request on from there."""
        position = self.positions[context.entered_steps[-1]]
        action = self.filters[position].resume(context, reply, now)
        return _apply_action(action, self, context, position, now)

    def record_received(self, context: request_context.RequestContext, now: float) -> None:
        """Tell all entered filters that the upstream has sent the whole answer."""
        for step in reversed(context.entered_steps):
            self.filters[self.positions[step]].record_received(context, now)

    def finish(self, context: request_context.RequestContext, now: float) -> None:
        """Leave all entered filters of a request that is over; a second call does nothing."""
        while context.entered_steps:
            self.filters[self.positions[context.entered_steps.pop()]].leave(context, now)

    def run_from(
        self, context: request_context.RequestContext, position: int, now: float
    ) -> actions.Action:
        """Run a request from the filter at ``position`` until it ends or waits for a reply."""
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
    """Return an action that ends or suspends the request; run the chain on for the others."""
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
