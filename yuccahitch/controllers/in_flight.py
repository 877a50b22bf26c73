"""The requests that an instance works on, each on its way through a chain."""

from __future__ import annotations

import typing

from yuccahitch import errors
from yuccahitch.controllers import request_log
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions, commands, exchanges, requests

SENDING_WORK = frozenset((actions.Dispatch, actions.Forward))


class InFlight:
    """Begins requests, goes on with them and settles them.

    Args:
        chains: The chain for requests of callers, ``entry``, and for those that another instance
            sent on, ``arrival``.
        duplicate_id_code: Code of the refusal when the id of a request is in use.
        state_fields: Returns what the instance believes, and how old that is, for the log.

    Attributes:
        contexts: The requests by their ids.
    """

    __slots__ = ("chains", "duplicate_id_code", "state_fields", "contexts", "outbox")

    def __init__(
        self,
        chains: dict[str, chain.Chain],
        *,
        duplicate_id_code: errors.Code,
        state_fields: typing.Callable[[float], dict[str, typing.Any]],
    ) -> None:
        self.chains = chains
        self.duplicate_id_code = duplicate_id_code
        self.state_fields = state_fields
        self.contexts: dict[str, exchange.Exchange] = {}
        self.outbox: list[commands.Command] = []

    def begin(
        self, request: requests.Request, hop: requests.Hop | None, now: float
    ) -> exchanges.Outcome | None:
        """Take a new request; None means that it waits and an Outcome follows."""
        if request.id in self.contexts:
            error = errors.GatewayError(
                self.duplicate_id_code, step="core", detail="the request id is in use"
            )
            return exchanges.Outcome(request.id, actions.Refuse(error))
        context = exchange.Exchange(request, began=now, hop=hop)
        self.contexts[request.id] = context
        return self._outcome(context, self._chain(context).begin(context, now), now)

    def resume(self, request_id: str, reply: typing.Any, now: float) -> exchanges.Outcome | None:
        """Go on with a request that waited for a reply."""
        context = self.contexts.get(request_id)
        if context is None:
            return None
        return self._outcome(context, self._chain(context).resume(context, reply, now), now)

    def remove(self, message: exchanges.Finished) -> exchange.Exchange | None:
        """Take out a request that is over, with what became of it."""
        context = self.contexts.pop(message.request_id, None)
        if context is not None:
            context.succeeded = message.succeeded
            context.usage = message.usage
            context.recorded = message.recorded
        return context

    def settle(self, message: exchanges.Finished, context: exchange.Exchange, now: float) -> None:
        """Let every filter that a request passed settle it, and tell how it ended."""
        self._log(request_log.end_event(message, context, now), now)
        self._chain(context).finish(context, now)

    def expire(self, context: exchange.Exchange, now: float) -> None:
        """Tell that the time of a request is up."""
        self._log(request_log.expiry_event(context, now), now)

    def _chain(self, context: exchange.Exchange) -> chain.Chain:
        return self.chains["entry" if context.hop is None else "arrival"]

    def _log(self, log_event: commands.Note, now: float) -> None:
        log_event.fields.update(self.state_fields(now))
        self.outbox.append(log_event)

    def _outcome(
        self, context: exchange.Exchange, action: actions.Action, now: float
    ) -> exchanges.Outcome | None:
        for log_event in request_log.decision_events(action, context, now):
            self._log(log_event, now)
        if type(action) is actions.Perform and type(action.work) not in SENDING_WORK:
            return None
        return exchanges.Outcome(context.id, action, operation=context.operation)
