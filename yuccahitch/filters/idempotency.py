"""Lets a request with an idempotency key run at most once, and answers repeats.

It stands before every filter that refuses for want of something, so that a repeat is told the truth
about the first request.
"""

from __future__ import annotations

import functools
import typing

from yuccahitch import clock, errors
from yuccahitch.controllers import membership, operations
from yuccahitch.filters import _forwarding, chain, request_context
from yuccahitch.messages import actions, answers, commands

MISMATCH_DETAIL = "the key came with another request before"


class Idempotency(chain.BaseFilter):
    """Decides about requests with an idempotency key.

    Args:
        operation_table: The keys in use.
        members: The live instances.
        wall_clock: Gives the calendar time that keys carry.
    """

    __slots__ = ("operation_table", "members", "wall_clock")
    step = operations.STEP

    def __init__(
        self,
        operation_table: operations.Operations,
        members: membership.Membership,
        wall_clock: clock.Clock,
    ) -> None:
        self.operation_table = operation_table
        self.members = members
        self.wall_clock = wall_clock

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Go on with a new key; replay, forward or refuse the others."""
        key = context.request.operation_key
        if not key or (context.hop is not None and not context.hop.owned):
            return actions.Proceed()
        context.operation_state = "unknown"
        try:
            minted_key = self.operation_table.read_minted(key)
            if minted_key is None:
                return self._enter_caller_key(context, now)
            return self._enter_minted_key(context, minted_key, now)
        except errors.GatewayError as error:
            return actions.Refuse(error)

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Go on after the store, or the instance that owns the key, has answered."""
        return _resume(reply, self, context)

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Record the outcome; a request that can't have run gives its key free."""
        operation = self.operation_table.find(context.account.name, context.request.operation_key)
        if operation is None or operation.request_id != context.id:
            return
        if context.succeeded:
            self.operation_table.done(operation, context.recorded_answer)
        elif not context.reached_upstream or context.idempotent:
            self.operation_table.not_run(operation)
        else:
            self.operation_table.unsettled(operation)

    def _enter_minted_key(
        self, context: request_context.RequestContext, minted_key: operations.Minted, now: float
    ) -> actions.Action:
        if minted_key.account != context.account.name:
            raise _error(errors.Code.OPERATION_INVALID, "the key is another client account's")
        if self.wall_clock.wall() >= minted_key.expires:
            raise _error(errors.Code.OPERATION_EXPIRED, "", run=errors.Run.MAY_HAVE_RUN)
        if minted_key.instance != self.operation_table.instance:
            return self._forward_to_owner(context, minted_key, now)
        operation = self.operation_table.find(context.account.name, context.request.operation_key)
        if operation is not None:
            return self._answer_repeat(context, operation.digest, operation.state, operation.answer)
        new_operation = self._record_operation(context, minted_key.expires)
        new_operation.state = operations.State.RUNNING
        context.operation_state = "not-run"
        return actions.Proceed()

    def _enter_caller_key(
        self, context: request_context.RequestContext, now: float
    ) -> actions.Action:
        key = context.request.operation_key
        expires = self.operation_table.expiry(key, self.wall_clock.wall())
        if self.wall_clock.wall() >= expires:
            raise _error(errors.Code.OPERATION_EXPIRED, "", run=errors.Run.MAY_HAVE_RUN)
        operation = self.operation_table.find(context.account.name, key)
        if operation is not None:
            return self._answer_repeat(context, operation.digest, operation.state, operation.answer)
        self.operation_table.claim(self._record_operation(context, expires), now)
        return actions.Perform(actions.AwaitClaim(key=key))

    def _record_operation(
        self, context: request_context.RequestContext, expires: float
    ) -> operations.Operation:
        return self.operation_table.begin(
            context.account.name,
            context.request.operation_key,
            digest=context.request.digest,
            request_id=context.id,
            expires=expires,
        )

    def _answer_repeat(
        self,
        context: request_context.RequestContext,
        digest: str,
        state: operations.State,
        answer: answers.Recorded | None,
    ) -> actions.Action:
        if digest != context.request.digest:
            raise _error(errors.Code.OPERATION_MISMATCH, MISMATCH_DETAIL)
        if answer is not None:
            return actions.Replay(answer)
        context.operation_state = state.value
        if state in (operations.State.RUNNING, operations.State.CLAIMING):
            raise _error(
                errors.Code.OPERATION_RUNNING,
                "",
                run=errors.Run.MAY_HAVE_RUN,
                retry_after=operations.RUNNING_RETRY_S,
            )
        detail = "it ran; its answer is not kept" if state is operations.State.DONE else ""
        raise _error(errors.Code.OPERATION_UNSETTLED, detail, run=errors.Run.MAY_HAVE_RUN)

    def _forward_to_owner(
        self, context: request_context.RequestContext, minted_key: operations.Minted, now: float
    ) -> actions.Action:
        owner_info = self.members.find(minted_key.instance)
        if owner_info is None or context.hop is not None:
            raise _error(
                errors.Code.PEER_UNREACHABLE,
                "the instance that minted the key is gone or out of reach",
                peer=minted_key.instance,
                run=errors.Run.MAY_HAVE_RUN,
            )
        context.instance = owner_info.instance
        context.attempt += 1
        work = _forwarding.forward_action(
            context, owner_info, members=self.members, now=now, owned=True
        )
        return actions.Perform(work)


@functools.singledispatch
def _resume(
    reply: typing.Any, idempotency_filter: Idempotency, context: request_context.RequestContext
) -> actions.Action:
    raise TypeError(type(reply))


@_resume.register
def _(
    reply: commands.Granted,
    idempotency_filter: Idempotency,
    context: request_context.RequestContext,
) -> actions.Action:
    context.operation_state = "not-run"
    return actions.Proceed()


@_resume.register
def _(
    reply: commands.Denied, idempotency_filter: Idempotency, context: request_context.RequestContext
) -> actions.Action:
    return actions.Refuse(reply.error)


@_resume.register
def _(
    reply: operations.Claim,
    idempotency_filter: Idempotency,
    context: request_context.RequestContext,
) -> actions.Action:
    """Another request holds the key."""
    try:
        state = reply.state
        if (
            state is operations.State.RUNNING
            and idempotency_filter.members.find(reply.instance) is None
        ):
            state = operations.State.UNSETTLED
        return idempotency_filter._answer_repeat(context, reply.digest, state, reply.answer)
    except errors.GatewayError as error:
        return actions.Refuse(error)


@_resume.register
def _(
    reply: answers.Head, idempotency_filter: Idempotency, context: request_context.RequestContext
) -> actions.Action:
    context.head = reply
    context.reached_upstream = True
    return actions.Deliver(reply)


@_resume.register
def _(
    reply: answers.Failure, idempotency_filter: Idempotency, context: request_context.RequestContext
) -> actions.Action:
    if reply.error.run is errors.Run.MAY_HAVE_RUN:
        context.reached_upstream = True
    if reply.error.code is errors.Code.PEER_UNREACHABLE:
        # An earlier request with this key may have run on the instance that can't be reached.
        reply.error.run = errors.Run.MAY_HAVE_RUN
    return actions.Refuse(reply.error)


def _error(
    code: errors.Code,
    detail: str,
    *,
    peer: str = "",
    run: errors.Run = errors.Run.NOT_RUN,
    retry_after: float | None = None,
) -> errors.GatewayError:
    return errors.GatewayError(
        code, step=operations.STEP, peer=peer, detail=detail, run=run, retry_after=retry_after
    )
