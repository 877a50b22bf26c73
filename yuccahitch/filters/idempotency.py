"""Runs a request with an idempotency key at most once, and answers repeats of it.

The filter precedes every filter that refuses for lack of tokens or capacity, so that a repeat
learns the actual state of the first request.
"""

from __future__ import annotations

import functools
import typing

from yuccahitch import clock, errors
from yuccahitch.controllers.members import membership
from yuccahitch.controllers.runs import claims, operations
from yuccahitch.filters import _forwarding, chain, request_context
from yuccahitch.messages import actions, answers, commands

MISMATCH_DETAIL = "the key was used before with a different request"


class Idempotency(chain.BaseFilter):
    """Decides about requests with an idempotency key.

    Args:
        operation_table: Idempotency keys in use, each with the state of its request.
        members: The live instances.
        wall_clock: Gives calendar time, by which keys expire.
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
        """Proceed with a new key; for the others replay the answer, forward or refuse."""
        key = context.request.operation_key
        if not key or (context.hop is not None and not context.hop.owned):
            return actions.Proceed()
        context.operation_state = "unknown"
        try:
            minted_key = self.operation_table.parse_minted_key(key)
            if minted_key is None:
                return self._enter_caller_key(context, now)
            return self._enter_minted_key(context, minted_key, now)
        except errors.GatewayError as error:
            return actions.Refuse(error)

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Process the reply of the store, or of the instance that minted the key."""
        return _resume(reply, self, context)

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Record the outcome; a request that can't have run or may run again frees its key."""
        operation = self.operation_table.find(context.account.name, context.request.operation_key)
        if operation is None or operation.request_id != context.id:
            return
        if context.succeeded:
            self.operation_table.record_done(operation, context.recorded_answer)
        elif not context.may_have_run or context.idempotent:
            self.operation_table.record_not_run(operation)
        else:
            self.operation_table.record_unsettled(operation)

    def _enter_minted_key(
        self, context: request_context.RequestContext, minted_key: operations.MintedKey, now: float
    ) -> actions.Action:
        """Decide about a key that an instance minted; only that instance may run it."""
        if minted_key.account != context.account.name:
            raise _error(
                errors.Code.OPERATION_INVALID, "the key was minted for another client account"
            )
        if self.wall_clock.wall() >= minted_key.expires_at:
            raise _error(errors.Code.OPERATION_EXPIRED, "", run=errors.RunStatus.MAY_HAVE_RUN)
        if minted_key.instance != self.operation_table.instance:
            return self._forward_to_owner(context, minted_key, now)
        operation = self.operation_table.find(context.account.name, context.request.operation_key)
        if operation is not None:
            return self._answer_repeat(context, operation.digest, operation.state, operation.answer)
        new_operation = self._record_operation(context, minted_key.expires_at)
        new_operation.state = claims.State.RUNNING
        context.operation_state = "not-run"
        return actions.Proceed()

    def _enter_caller_key(
        self, context: request_context.RequestContext, now: float
    ) -> actions.Action:
        """Decide about a key that the caller chose; a new one is claimed in the store first."""
        key = context.request.operation_key
        expires = self.operation_table.key_expiry(key, self.wall_clock.wall())
        if self.wall_clock.wall() >= expires:
            raise _error(errors.Code.OPERATION_EXPIRED, "", run=errors.RunStatus.MAY_HAVE_RUN)
        operation = self.operation_table.find(context.account.name, key)
        if operation is not None:
            return self._answer_repeat(context, operation.digest, operation.state, operation.answer)
        self.operation_table.begin_claim(self._record_operation(context, expires), now)
        return actions.Perform(actions.AwaitIdempotencyClaim(key=key))

    def _record_operation(
        self, context: request_context.RequestContext, expires: float
    ) -> operations.Operation:
        """Record in the operation table that the request runs under its key."""
        return self.operation_table.begin(
            context.account.name,
            context.request.operation_key,
            digest=context.request.digest,
            request_id=context.id,
            expires_at=expires,
        )

    def _answer_repeat(
        self,
        context: request_context.RequestContext,
        digest: str,
        state: claims.State,
        answer: answers.RecordedAnswer | None,
    ) -> actions.Action:
        """Replay the answer to the first request with a key, or raise why that can't be done.

        Args:
            context: The repeated request.
            digest: Digest of the first request.
            state: State of the first request.
            answer: Recorded answer to the first request, or None.

        Raises:
            errors.GatewayError: If the requests differ or there is no recorded answer.
        """
        if digest != context.request.digest:
            raise _error(errors.Code.OPERATION_MISMATCH, MISMATCH_DETAIL)
        if answer is not None:
            return actions.Replay(answer)
        context.operation_state = state.value
        if state in (claims.State.RUNNING, claims.State.CLAIMING):
            raise _error(
                errors.Code.OPERATION_RUNNING,
                "",
                run=errors.RunStatus.MAY_HAVE_RUN,
                retry_after=operations.RETRY_AFTER_S,
            )
        detail = "the request ran, but its answer is not kept" if state is claims.State.DONE else ""
        raise _error(errors.Code.OPERATION_UNSETTLED, detail, run=errors.RunStatus.MAY_HAVE_RUN)

    def _forward_to_owner(
        self, context: request_context.RequestContext, minted_key: operations.MintedKey, now: float
    ) -> actions.Action:
        """Forward the request to the instance that minted its key."""
        owner_info = self.members.find(minted_key.instance)
        # This instance listens where the owner did, so the owner has ended.
        is_replaced = owner_info is not None and owner_info.address == self.members.own.address
        if owner_info is None or is_replaced or context.hop is not None:
            raise _error(
                errors.Code.PEER_UNREACHABLE,
                "the instance that minted the key has ended or is unreachable",
                peer=minted_key.instance,
                run=errors.RunStatus.MAY_HAVE_RUN,
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
    reply: commands.WaitGranted,
    idempotency_filter: Idempotency,
    context: request_context.RequestContext,
) -> actions.Action:
    """Proceed: the store recorded the claim of the key."""
    context.operation_state = "not-run"
    return actions.Proceed()


@_resume.register
def _(
    reply: commands.WaitDenied,
    idempotency_filter: Idempotency,
    context: request_context.RequestContext,
) -> actions.Action:
    """Refuse: the key could not be claimed."""
    return actions.Refuse(reply.error)


@_resume.register
def _(
    reply: claims.Claim,
    idempotency_filter: Idempotency,
    context: request_context.RequestContext,
) -> actions.Action:
    """Answer by the claim of another request, which holds the key in the store."""
    try:
        state = reply.state
        if (
            state is claims.State.RUNNING
            and idempotency_filter.members.find(reply.instance) is None
        ):
            # With its instance unreachable, the outcome of that request is unknown.
            state = claims.State.UNSETTLED
        return idempotency_filter._answer_repeat(context, reply.digest, state, reply.answer)
    except errors.GatewayError as error:
        return actions.Refuse(error)


@_resume.register
def _(
    reply: answers.Head, idempotency_filter: Idempotency, context: request_context.RequestContext
) -> actions.Action:
    """Deliver the answer that the owner of the key began."""
    context.head = reply
    context.reached_upstream = True
    return actions.Deliver(reply)


@_resume.register
def _(
    reply: answers.Failure, idempotency_filter: Idempotency, context: request_context.RequestContext
) -> actions.Action:
    """Refuse: the owner of the key failed or could not be reached."""
    if reply.error.run is errors.RunStatus.MAY_HAVE_RUN:
        context.reached_upstream = True
    if reply.error.code is errors.Code.PEER_UNREACHABLE:
        # An earlier request with this key may have run on the unreachable instance.
        reply.error.run = errors.RunStatus.MAY_HAVE_RUN
    return actions.Refuse(reply.error)


def _error(
    code: errors.Code,
    detail: str,
    *,
    peer: str = "",
    run: errors.RunStatus = errors.RunStatus.NOT_RUN,
    retry_after: float | None = None,
) -> errors.GatewayError:
    return errors.GatewayError(
        code, step=operations.STEP, peer=peer, detail=detail, run=run, retry_after=retry_after
    )
