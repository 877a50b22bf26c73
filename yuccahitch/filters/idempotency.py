"""Lets a request with an idempotency key run at most once, and answers repeats.

It stands before every filter that refuses for want of something, so that a repeat is told the truth
about the first request.
"""

from __future__ import annotations

import functools
import typing

from yuccahitch import clock, errors
from yuccahitch.controllers import membership, operations
from yuccahitch.filters import _forwarding, chain, exchange
from yuccahitch.messages import actions, answers, commands

ANOTHER_REQUEST = "the key came with another request before"


class Idempotency(chain.Step):
    """Decides about requests with an idempotency key.

    Args:
        table: The keys in use.
        members: The live instances.
        time: Gives the calendar time that keys carry.
    """

    __slots__ = ("table", "members", "time")
    step = operations.STEP

    def __init__(
        self,
        table: operations.Operations,
        members: membership.Membership,
        time: clock.Clock,
    ) -> None:
        self.table = table
        self.members = members
        self.time = time

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Go on with a new key; replay, forward or refuse the others."""
        key = item.request.operation_key
        if not key or (item.hop is not None and not item.hop.owned):
            return actions.Proceed()
        item.operation = "unknown"
        try:
            minted = self.table.read_minted(key)
            if minted is None:
                return self._chosen(item, now)
            return self._minted(item, minted, now)
        except errors.GatewayError as error:
            return actions.Refuse(error)

    def resume(self, item: exchange.Exchange, reply: typing.Any, now: float) -> actions.Action:
        """Go on after the store, or the instance that owns the key, has answered."""
        return _resume(reply, self, item)

    def leave(self, item: exchange.Exchange, now: float) -> None:
        """Record the outcome; a request that can't have run gives its key free."""
        known = self.table.find(item.account.name, item.request.operation_key)
        if known is None or known.request_id != item.id:
            return
        if item.succeeded:
            self.table.done(known, item.recorded)
        elif not item.reached or item.idempotent:
            self.table.not_run(known)
        else:
            self.table.unsettled(known)

    def _minted(
        self, item: exchange.Exchange, minted: operations.Minted, now: float
    ) -> actions.Action:
        if minted.account != item.account.name:
            raise _error(errors.Code.OPERATION_INVALID, "the key is another client account's")
        if self.time.wall() >= minted.expires:
            raise _error(errors.Code.OPERATION_EXPIRED, "", run=errors.RunStatus.MAY_HAVE_RUN)
        if minted.instance != self.table.instance:
            return self._to_owner(item, minted, now)
        known = self.table.find(item.account.name, item.request.operation_key)
        if known is not None:
            return self._repeat(item, known.digest, known.state, known.answer)
        began = self._begin(item, minted.expires)
        began.state = operations.State.RUNNING
        item.operation = "not-run"
        return actions.Proceed()

    def _chosen(self, item: exchange.Exchange, now: float) -> actions.Action:
        key = item.request.operation_key
        expires = self.table.expiry(key, self.time.wall())
        if self.time.wall() >= expires:
            raise _error(errors.Code.OPERATION_EXPIRED, "", run=errors.RunStatus.MAY_HAVE_RUN)
        known = self.table.find(item.account.name, key)
        if known is not None:
            return self._repeat(item, known.digest, known.state, known.answer)
        self.table.claim(self._begin(item, expires), now)
        return actions.Perform(actions.AwaitIdempotencyClaim(key=key))

    def _begin(self, item: exchange.Exchange, expires: float) -> operations.Operation:
        return self.table.begin(
            item.account.name,
            item.request.operation_key,
            digest=item.request.digest,
            request_id=item.id,
            expires=expires,
        )

    def _repeat(
        self,
        item: exchange.Exchange,
        digest: str,
        state: operations.State,
        answer: answers.RecordedAnswer | None,
    ) -> actions.Action:
        if digest != item.request.digest:
            raise _error(errors.Code.OPERATION_MISMATCH, ANOTHER_REQUEST)
        if answer is not None:
            return actions.Replay(answer)
        item.operation = state.value
        if state in (operations.State.RUNNING, operations.State.CLAIMING):
            raise _error(
                errors.Code.OPERATION_RUNNING,
                "",
                run=errors.RunStatus.MAY_HAVE_RUN,
                retry_after=operations.RUNNING_RETRY_S,
            )
        detail = "it ran; its answer is not kept" if state is operations.State.DONE else ""
        raise _error(errors.Code.OPERATION_UNSETTLED, detail, run=errors.RunStatus.MAY_HAVE_RUN)

    def _to_owner(
        self, item: exchange.Exchange, minted: operations.Minted, now: float
    ) -> actions.Action:
        row = self.members.find(minted.instance)
        if row is None or item.hop is not None:
            raise _error(
                errors.Code.PEER_UNREACHABLE,
                "the instance that minted the key is gone or out of reach",
                peer=minted.instance,
                run=errors.RunStatus.MAY_HAVE_RUN,
            )
        item.instance = row.instance
        item.attempt += 1
        work = _forwarding.forward(item, row, members=self.members, now=now, owned=True)
        return actions.Perform(work)


@functools.singledispatch
def _resume(reply: typing.Any, step: Idempotency, item: exchange.Exchange) -> actions.Action:
    raise TypeError(type(reply))


@_resume.register
def _(reply: commands.WaitGranted, step: Idempotency, item: exchange.Exchange) -> actions.Action:
    item.operation = "not-run"
    return actions.Proceed()


@_resume.register
def _(reply: commands.WaitDenied, step: Idempotency, item: exchange.Exchange) -> actions.Action:
    return actions.Refuse(reply.error)


@_resume.register
def _(reply: operations.Claim, step: Idempotency, item: exchange.Exchange) -> actions.Action:
    """Another request holds the key."""
    try:
        state = reply.state
        if state is operations.State.RUNNING and step.members.find(reply.instance) is None:
            state = operations.State.UNSETTLED
        return step._repeat(item, reply.digest, state, reply.answer)
    except errors.GatewayError as error:
        return actions.Refuse(error)


@_resume.register
def _(reply: answers.Head, step: Idempotency, item: exchange.Exchange) -> actions.Action:
    item.head = reply
    item.reached = True
    return actions.Deliver(reply)


@_resume.register
def _(reply: answers.Failure, step: Idempotency, item: exchange.Exchange) -> actions.Action:
    if reply.error.run is errors.RunStatus.MAY_HAVE_RUN:
        item.reached = True
    if reply.error.code is errors.Code.PEER_UNREACHABLE:
        # An earlier request with this key may have run on the instance that can't be reached.
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
