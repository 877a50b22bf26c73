"""Sends a request to its upstream or instance, and decides about another attempt."""

from __future__ import annotations

import functools
import typing

from yuccahitch import errors
from yuccahitch.controllers import (
    choices,
    configuration,
    membership,
    retries,
    suspects,
    upstreams,
)
from yuccahitch.filters import _forwarding, chain, exchange, poison, residency
from yuccahitch.messages import actions, answers

DECLINES = frozenset(
    (errors.Code.OVERLOADED, errors.Code.NO_UPSTREAM, errors.Code.DRAINING, errors.Code.NOT_READY)
)


class Dispatch(chain.Step):
    """The last filter.

    Args:
        config: Holds the catalog.
        members: The live instances.
        states: Load and health of the upstreams.
        budget: Bounds retries.
        crashes: Requests that crashed upstreams.
    """

    __slots__ = ("config", "members", "states", "budget", "crashes")
    step = "dispatch"

    def __init__(
        self,
        config: configuration.Configuration,
        members: membership.Membership,
        states: upstreams.Upstreams,
        budget: retries.RetryBudget,
        crashes: suspects.Suspects,
    ) -> None:
        self.config = config
        self.members = members
        self.states = states
        self.budget = budget
        self.crashes = crashes

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Send the request on."""
        # The request may have waited since its regions were found.
        regions = residency.allowed_regions(item, self.config.catalog)
        if regions != item.regions:
            return actions.Rewind(residency.Residency.step)
        if item.attempt == 0:
            self.budget.request(now)
        item.attempt += 1
        if item.upstream:
            return self._to_upstream(item)
        return self._to_instance(item, now)

    def resume(self, item: exchange.Exchange, reply: typing.Any, now: float) -> actions.Action:
        """Deliver the answer that began, try again, or refuse."""
        return _resume(reply, self, item, now)

    def leave(self, item: exchange.Exchange, now: float) -> None:
        """Learn from the outcome."""
        if not item.upstream:
            return
        if item.succeeded:
            seconds = now - item.began
            self.states.succeeded(item.upstream, seconds=seconds, tokens=item.usage.output)

    def _to_upstream(self, item: exchange.Exchange) -> actions.Action:
        chosen = self.config.catalog.upstream(item.upstream)
        if chosen is None:
            return actions.Rewind(choices.STEP)
        work = actions.Dispatch(
            upstream=chosen.name,
            address=chosen.address,
            attempt=item.attempt,
            request=item.request,
            max_tokens=item.output_limit,
            priority=exchange.rank(item),
            echoes_request_id="echo" in chosen.abilities,
        )
        return actions.Perform(work)

    def _to_instance(self, item: exchange.Exchange, now: float) -> actions.Action:
        row = self.members.find(item.instance)
        if row is None:
            return actions.Rewind(choices.STEP)
        work = _forwarding.forward(item, row, members=self.members, now=now, owned=False)
        return actions.Perform(work)


@functools.singledispatch
def _resume(
    reply: typing.Any, step: Dispatch, item: exchange.Exchange, now: float
) -> actions.Action:
    raise TypeError(type(reply))


@_resume.register
def _(reply: answers.Head, step: Dispatch, item: exchange.Exchange, now: float) -> actions.Action:
    item.head = reply
    item.reached = True
    return actions.Deliver(reply)


@_resume.register
def _(
    reply: answers.Failure, step: Dispatch, item: exchange.Exchange, now: float
) -> actions.Action:
    reached = reply.error.run is errors.RunStatus.MAY_HAVE_RUN
    if item.instance and not reached and reply.error.code in DECLINES and not item.declined:
        # Nothing was tried yet: the request goes back to its own region's queue.
        item.declined = True
        item.last_error = reply.error
        return actions.Rewind(choices.STEP)
    item.reached = item.reached or reached
    if reply.crashed:
        step.crashes.seen(poison.fingerprint(item), reply.error.peer, now)
    elif item.upstream:
        step.states.failed(item.upstream, now)
    elif reply.error.code is errors.Code.PEER_UNREACHABLE:
        step.members.call_failed(item.instance)
    item.tried.append(item.upstream or item.instance)
    if item.reached:
        reply.error.run = errors.RunStatus.MAY_HAVE_RUN
    item.last_error = reply.error
    if step.crashes.refused_for(poison.fingerprint(item), now) > 0:
        return actions.Refuse(poison.refusal(item, step.crashes, now))
    if _may_retry(reply, step, item, now):
        return actions.Rewind(choices.STEP)
    return actions.Refuse(reply.error)


def _may_retry(reply: answers.Failure, step: Dispatch, item: exchange.Exchange, now: float) -> bool:
    """Return whether another attempt is safe, of use and within the budget."""
    safe = item.idempotent or not item.reached
    useful = item.attempt < item.route.attempts and now < item.request.deadline
    return safe and useful and step.budget.retry(now)
