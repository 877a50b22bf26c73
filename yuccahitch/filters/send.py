"""Sends a request of a published route to its target, and decides whether to retry."""

from __future__ import annotations

import functools
import typing

from yuccahitch import errors
from yuccahitch.controllers.members import fleet, fleet_member
from yuccahitch.controllers.placement import balance
from yuccahitch.controllers.runs import allowance, suspects
from yuccahitch.controllers.upstream_state import replicas
from yuccahitch.controllers.versions import stream_origins
from yuccahitch.filters import chain, poison, request_context, resumption
from yuccahitch.messages import actions, answers, requests
from yuccahitch.resources import route as routes
from yuccahitch.resources import upstream

MAX_SENDS = 4
# A retry with less time left is not made.
MIN_TIME_LEFT_S = 0.05
MIN_SERVER_ERROR_STATUS = 500
REPLACED_DETAIL = "the upstream has started again with another software version"
# Codes by which an upstream that was reached refuses a request without running it.
REJECTION_CODES = frozenset((errors.Code.UPSTREAM_SHED, errors.Code.UPSTREAM_MOVED))


class Send(chain.BaseFilter):
    """Last filter of the chain over the published configuration: makes the attempts.

    Args:
        members: Instances of the fleet.
        registry: Known upstreams and their health.
        policy: Counts the requests at each upstream.
        budget: Limits retries to a share of the requests.
        suspects: Traits of the requests that were running when upstreams crashed.
        origins: Remembers which software version began a stream.
    """

    __slots__ = ("members", "registry", "policy", "budget", "suspects", "origins")
    step = "send"

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        registry: replicas.ReplicaRegistry,
        policy: balance.Balancer,
        budget: allowance.RetryAllowance,
        suspects: suspects.Suspects,
        origins: stream_origins.StreamOrigins,
    ) -> None:
        self.members = members
        self.registry = registry
        self.policy = policy
        self.budget = budget
        self.suspects = suspects
        self.origins = origins

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Start an attempt at the chosen upstream or instance."""
        if context.attempt == 0 and context.hop is None:
            self.budget.count_request(context.service.name, now)
        context.attempt += 1
        context.send_count += 1
        if context.upstream:
            return actions.Perform(self._dispatch_action(context))
        return self._forward(context, now)

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Deliver the answer that began, retry, or refuse."""
        return _resume(reply, self, context, now)

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Record a whole answer in the health of its upstream, and for its traits."""
        poison.record_answer(context, self.suspects, now)
        if context.succeeded and context.upstream:
            good = context.head is None or context.head.status < MIN_SERVER_ERROR_STATUS
            self.registry.record_outcome(context.upstream, good=good, now=now)

    def _dispatch_action(self, context: request_context.RequestContext) -> actions.Dispatch:
        """Return the action that sends a request to its upstream."""
        chosen_upstream = self.registry.by_name[context.upstream].upstream
        return actions.Dispatch(
            upstream=chosen_upstream.name,
            incarnation=self.registry.incarnation(chosen_upstream.name),
            address=chosen_upstream.address,
            software_version=chosen_upstream.software_version,
            attempt=context.attempt,
            request=context.request,
            max_tokens=0,
            priority=request_context.effective_priority(context),
            echoes_request_id=True,
            streams=context.route.streams,
            account=context.account.name,
            give_up_at=context.give_up_at,
            required_start=self._required_start(context, chosen_upstream),
        )

    def _required_start(
        self, context: request_context.RequestContext, chosen: upstream.Upstream
    ) -> actions.RequiredStart | None:
        """Return the start of the chosen upstream that a request is bound to, or None.

        If only one software version is known, an upstream that doesn't tell its start has that one.
        """
        if context.versions is None:
            return None
        listed = {
            replica.upstream.software_version
            for replica in self.registry.by_name.values()
            if replica.upstream.service == chosen.service
        }
        ambiguous = self.origins.versions.ambiguous_services()
        is_single = len(listed) == 1 and chosen.service not in ambiguous
        return actions.RequiredStart(chosen.born_ms, or_untold=is_single)

    def _forward(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Forward a request to its instance; place it again if that instance is unknown."""
        member = self.members.members.get(context.instance)
        if member is None:
            return actions.Rewind(balance.STEP)
        own_instance = self.members.own.instance
        hop = requests.Hop(
            sender=own_instance,
            account=context.account.name,
            key_name="",
            regions=tuple(sorted(context.regions)) if context.regions is not None else (),
            hops=1,
            visited=(own_instance,),
            owned=False,
            charged=True,
            granted_tokens=0,
            better_than_s=context.better_than_s,
            service=context.service.name,
            priority=request_context.effective_priority(context),
            avoid=tuple(context.failed_targets),
            streams=context.route.streams,
            leased=context.idempotent,
            versions=None if context.versions is None else tuple(sorted(context.versions)),
            crashes=poison.crash_reports(context, now),
        )
        work = actions.Forward(
            instance=context.instance,
            address=fleet_member.peer_address(member.info),
            attempt=context.attempt,
            request=context.request,
            hop=hop,
            deadline_in=max(0.0, context.give_up_at - now),
        )
        return actions.Perform(work)


@functools.singledispatch
def _resume(
    reply: typing.Any, send_filter: Send, context: request_context.RequestContext, now: float
) -> actions.Action:
    raise TypeError(type(reply))


@_resume.register
def _(
    reply: answers.Head, send_filter: Send, context: request_context.RequestContext, now: float
) -> actions.Action:
    """Deliver an answer that began; one that is not wanted is retried if that is allowed."""
    send_filter.policy.record_prompt_read(context.id)
    context.possible_runs += 1
    context.record_answer_begin(now)
    unwanted = _unwanted(reply, send_filter, context)
    if (
        unwanted
        and context.head is None
        and context.idempotent
        and _may_send_again(send_filter, context, now)
    ):
        context.last_error = errors.GatewayError(
            errors.Code.UPSTREAM_FAILED,
            step=send_filter.step,
            peer=reply.source,
            detail=unwanted,
            run=errors.RunStatus.MAY_HAVE_RUN,
        )
        _record_failed_target(send_filter, context, now)
        return actions.Rewind(balance.STEP)
    detail = _mismatch(reply, send_filter, context)
    if detail:
        error = errors.GatewayError(
            errors.Code.ANSWER_CUT,
            step=send_filter.step,
            peer=reply.source,
            detail=detail,
            run=errors.RunStatus.MAY_HAVE_RUN,
        )
        return actions.Refuse(error)
    if _begins_resumable(reply, context):
        resumption.record_begin(context, reply, send_filter.origins)
    context.head = context.head or reply
    return actions.Deliver(context.head)


def _begins_resumable(reply: answers.Head, context: request_context.RequestContext) -> bool:
    """Return whether an answer is a stream that may be taken up later."""
    is_resumable = context.route.repeat is routes.RepeatPolicy.RESUMABLE
    return is_resumable and reply.is_success()


def _is_replaced(
    reply: answers.Head, send_filter: Send, context: request_context.RequestContext
) -> bool:
    """Return whether a stream comes from an upstream that now has another software version.

    An upstream may start again under its id. Its entry says so, possibly after the attempt was
    sent, and the answers of the two don't differ.
    """
    known = send_filter.registry.by_name.get(reply.source)
    is_other = known is not None and known.upstream.software_version != reply.software_version
    return is_other and context.versions is not None and reply.is_success()


def _unwanted(
    reply: answers.Head, send_filter: Send, context: request_context.RequestContext
) -> str:
    """Return why another attempt is better than this answer, or an empty text."""
    if _is_replaced(reply, send_filter, context):
        return REPLACED_DETAIL
    if reply.status >= MIN_SERVER_ERROR_STATUS:
        return f"the upstream answered with status {reply.status}"
    return ""


def _mismatch(
    reply: answers.Head, send_filter: Send, context: request_context.RequestContext
) -> str:
    """Return why an answer can't be passed on, or an empty text."""
    if _is_replaced(reply, send_filter, context):
        return REPLACED_DETAIL
    begun = context.head
    if begun is not None and (reply.status, reply.media_type()) != (
        begun.status,
        begun.media_type(),
    ):
        return f"the upstream sent status {reply.status} instead of the rest of the answer"
    is_other_version = context.origin_version not in (None, reply.software_version)
    if _begins_resumable(reply, context) and is_other_version:
        return (
            f"software version {reply.software_version!r} answered a stream that version "
            f"{context.origin_version!r} began"
        )
    return ""


@_resume.register
def _(
    reply: answers.Failure, send_filter: Send, context: request_context.RequestContext, now: float
) -> actions.Action:
    """Retry a failed attempt, resuming an answer that had begun, or refuse."""
    error = reply.error
    may_have_run = error.run is errors.RunStatus.MAY_HAVE_RUN
    context.possible_runs += may_have_run and context.answered_attempt != context.attempt
    context.reached_upstream = context.reached_upstream or may_have_run
    # A resumed attempt can fail before its first event; the earlier id then stays.
    context.last_event_id = reply.last_event_id or context.last_event_id
    _record_failure(reply, send_filter, context, now)
    if context.reached_upstream:
        error.run = errors.RunStatus.MAY_HAVE_RUN
    context.last_error = error
    poison_error = poison.refusal(context, send_filter.suspects, now)
    if poison_error is not None:
        return actions.Refuse(poison_error)
    repeatable = context.idempotent or not context.reached_upstream
    # An attempt that never arrived at an upstream is no retry there.
    budget_exempt = not may_have_run and error.code not in REJECTION_CODES
    if repeatable and _may_send_again(send_filter, context, now, budget_exempt=budget_exempt):
        if context.head is not None:
            context.request.resume_after = context.last_event_id
        return actions.Rewind(balance.STEP)
    return actions.Refuse(error)


def _record_failure(
    reply: answers.Failure, send_filter: Send, context: request_context.RequestContext, now: float
) -> None:
    """Record a failed attempt, so that the next one goes to another target."""
    error = reply.error
    poison.record_forwarded_crashes(context, send_filter.suspects, error.crashes, now)
    if reply.crashed and error.peer and not error.crashes:
        incarnation = send_filter.registry.incarnation(error.peer)
        poison.record_crash(context, send_filter.suspects, incarnation, now)
    if context.upstream and error.code is errors.Code.UPSTREAM_MOVED:
        send_filter.registry.mark_misdirected(context.upstream)
    member = send_filter.members.members.get(context.instance)
    if member is not None and error.code is errors.Code.UPSTREAMS_LIMITED:
        send_filter.policy.remote.record_declined(member.info.region, context.service.name, now)
    is_fault = error.code is not errors.Code.UPSTREAM_REPLACED
    _record_failed_target(send_filter, context, now, is_fault=is_fault)


def _record_failed_target(
    send_filter: Send,
    context: request_context.RequestContext,
    now: float,
    *,
    is_fault: bool = True,
) -> None:
    """Exclude the request's target from later attempts; a fault of its upstream counts as such."""
    if context.upstream and is_fault:
        send_filter.registry.record_outcome(context.upstream, good=False, now=now)
    context.failed_targets.append(context.upstream or context.instance)


def _may_send_again(
    send_filter: Send,
    context: request_context.RequestContext,
    now: float,
    *,
    budget_exempt: bool = False,
) -> bool:
    """Return whether another attempt is in time and within the limits.

    Args:
        send_filter: The filter.
        context: The request.
        now: Monotonic seconds.
        budget_exempt: Whether the attempt takes nothing from the retry budget.
    """
    if (
        context.hop is not None
        or context.send_count >= MAX_SENDS
        or context.possible_runs >= context.route.attempts
    ):
        return False
    if context.give_up_at - now < MIN_TIME_LEFT_S:
        return False
    can_resume = context.head is None or context.route.repeat is routes.RepeatPolicy.RESUMABLE
    return can_resume and (
        budget_exempt or send_filter.budget.take_retry(context.service.name, now)
    )
