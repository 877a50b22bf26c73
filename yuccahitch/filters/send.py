"""Sends a request of a published route on, and decides about another send."""

from __future__ import annotations

import functools
import typing

from yuccahitch import errors
from yuccahitch.controllers import allowance, balance, fleet, replicas, suspects
from yuccahitch.filters import chain, exchange, poison
from yuccahitch.messages import actions, answers, requests
from yuccahitch.resources import route as routes

MAX_SENDS = 4
MIN_LEFT_S = 0.05
SERVER_ERROR = 500
REJECTED = frozenset((errors.Code.UPSTREAM_SHED, errors.Code.UPSTREAM_MOVED))


class Send(chain.Step):
    """The last filter.

    Args:
        members: The fleet.
        found: The upstreams.
        policy: Knows the places taken.
        budget: Bounds repeats.
        crashes: Requests that crashed upstreams.
    """

    __slots__ = ("members", "found", "policy", "budget", "crashes")
    step = "send"

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        found: replicas.Replicas,
        policy: balance.Balance,
        budget: allowance.Allowance,
        crashes: suspects.Suspects,
    ) -> None:
        self.members = members
        self.found = found
        self.policy = policy
        self.budget = budget
        self.crashes = crashes

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Send the request on."""
        if item.attempt == 0 and item.hop is None:
            self.budget.request(item.service.name, now)
        item.attempt += 1
        item.sends += 1
        if item.upstream:
            return actions.Perform(self._dispatch(item))
        return self._hand_over(item, now)

    def resume(self, item: exchange.Exchange, reply: typing.Any, now: float) -> actions.Action:
        """Deliver the answer that began, send again, or refuse."""
        return _resume(reply, self, item, now)

    def leave(self, item: exchange.Exchange, now: float) -> None:
        """Learn from the outcome."""
        if item.succeeded and item.upstream:
            good = item.head is None or item.head.status < SERVER_ERROR
            self.found.outcome(item.upstream, good=good, now=now)

    def _dispatch(self, item: exchange.Exchange) -> actions.Dispatch:
        chosen = self.found.table[item.upstream].upstream
        return actions.Dispatch(
            upstream=chosen.name,
            address=chosen.address,
            attempt=item.attempt,
            request=item.request,
            max_tokens=0,
            priority=exchange.rank(item),
            echoes_request_id=True,
            account=item.account.name,
            give_up_at=item.give_up_at,
        )

    def _hand_over(self, item: exchange.Exchange, now: float) -> actions.Action:
        member = self.members.members.get(item.instance)
        if member is None:
            return actions.Rewind(balance.STEP)
        own = self.members.own.instance
        hop = requests.Hop(
            sender=own,
            account=item.account.name,
            key_name="",
            regions=tuple(sorted(item.regions)) if item.regions is not None else (),
            hops=1,
            visited=(own,),
            owned=False,
            charged=True,
            granted_tokens=0,
            better_than_s=item.better_than_s,
            service=item.service.name,
            priority=exchange.rank(item),
            avoid=tuple(item.tried),
        )
        work = actions.Forward(
            instance=item.instance,
            address=fleet.address(member.row),
            attempt=item.attempt,
            request=item.request,
            hop=hop,
            deadline_in=max(0.0, item.give_up_at - now),
        )
        return actions.Perform(work)


@functools.singledispatch
def _resume(reply: typing.Any, step: Send, item: exchange.Exchange, now: float) -> actions.Action:
    raise TypeError(type(reply))


@_resume.register
def _(reply: answers.Head, step: Send, item: exchange.Exchange, now: float) -> actions.Action:
    step.policy.began(item.id)
    item.runs += 1
    item.began_attempt = item.attempt
    item.reached = True
    failed = reply.status >= SERVER_ERROR
    if failed and item.head is None and item.idempotent and _may_send(step, item, now):
        item.last_error = errors.GatewayError(
            errors.Code.UPSTREAM_FAILED,
            step=step.step,
            peer=reply.source,
            detail=f"status {reply.status}",
            run=errors.RunStatus.MAY_HAVE_RUN,
        )
        _tried(step, item, now)
        return actions.Rewind(balance.STEP)
    if item.head is not None and reply.status != item.head.status:
        detail = f"status {reply.status} in the place of the rest"
        error = errors.GatewayError(
            errors.Code.ANSWER_CUT,
            step=step.step,
            peer=reply.source,
            detail=detail,
            run=errors.RunStatus.MAY_HAVE_RUN,
        )
        return actions.Refuse(error)
    item.head = item.head or reply
    return actions.Deliver(item.head)


@_resume.register
def _(reply: answers.Failure, step: Send, item: exchange.Exchange, now: float) -> actions.Action:
    error = reply.error
    ran = error.run is errors.RunStatus.MAY_HAVE_RUN
    item.runs += ran and item.began_attempt != item.attempt
    item.reached = item.reached or ran
    # A resumed send can fail before its first event.
    item.last_event = reply.last_event_id or item.last_event
    _learn(reply, step, item, now)
    if item.reached:
        error.run = errors.RunStatus.MAY_HAVE_RUN
    item.last_error = error
    if step.crashes.refused_for(poison.fingerprint(item), now) > 0:
        return actions.Refuse(poison.refusal(item, step.crashes, now))
    again = item.idempotent or not item.reached
    # What never arrived at an upstream is not a repeat there.
    free = not ran and error.code not in REJECTED
    if again and _may_send(step, item, now, free=free):
        if item.head is not None:
            item.request.resume_after = item.last_event
        return actions.Rewind(balance.STEP)
    return actions.Refuse(error)


def _learn(reply: answers.Failure, step: Send, item: exchange.Exchange, now: float) -> None:
    """Learn from a failed send, and keep the next one away from its place."""
    error = reply.error
    if reply.crashed and error.peer:
        step.crashes.seen(poison.fingerprint(item), error.peer, now)
    if item.upstream and error.code is errors.Code.UPSTREAM_MOVED:
        step.found.misdirected(item.upstream)
    _tried(step, item, now)


def _tried(step: Send, item: exchange.Exchange, now: float) -> None:
    if item.upstream:
        step.found.outcome(item.upstream, good=False, now=now)
    item.tried.append(item.upstream or item.instance)


def _may_send(step: Send, item: exchange.Exchange, now: float, *, free: bool = False) -> bool:
    """Return whether another send is of use and within attempts and budget."""
    if item.hop is not None or item.sends >= MAX_SENDS or item.runs >= item.route.attempts:
        return False
    if item.give_up_at - now < MIN_LEFT_S:
        return False
    resumes = item.head is None or item.route.repeat is routes.RepeatPolicy.RESUMABLE
    return resumes and (free or step.budget.repeat(item.service.name, now))
