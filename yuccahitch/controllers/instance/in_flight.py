"""The open requests of an instance, each in the filter chain that it runs through."""

from __future__ import annotations

import typing

from yuccahitch import errors
from yuccahitch.controllers.instance import request_log
from yuccahitch.filters import chain, poison, request_context
from yuccahitch.messages import actions, commands, request_lifecycle, requests

# Work that sends a request to an upstream or to another instance. Other work waits here, and its
# request gets an Outcome later.
SENDING_WORK = frozenset((actions.Dispatch, actions.Forward))


class InFlight:
    """Runs open requests through their filter chains and logs the decisions about them.

    Args:
        chains: The filter chains: ``entry`` for requests of callers, ``arrival`` for requests that
            another instance forwarded.
        state_fields: Returns log fields about the age of the state that decisions rest on; it is
            given monotonic seconds. The fields go into every event of this class.

    Attributes:
        contexts: Contexts of the open requests by request id.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = ("chains", "state_fields", "contexts", "outbox")

    def __init__(
        self,
        chains: dict[str, chain.Chain],
        *,
        state_fields: typing.Callable[[float], dict[str, typing.Any]],
    ) -> None:
        self.chains = chains
        self.state_fields = state_fields
        self.contexts: dict[str, request_context.RequestContext] = {}
        self.outbox: list[commands.Command] = []

    def begin(
        self, request: requests.Request, hop: requests.Hop | None, now: float
    ) -> request_lifecycle.NextAction | None:
        """Start a new request; None means that it waits and an Outcome follows."""
        if request.id in self.contexts:
            error = errors.GatewayError(
                errors.Code.REQUEST_ID_IN_USE, step="core", run=errors.RunStatus.MAY_HAVE_RUN
            )
            return request_lifecycle.NextAction(request.id, actions.Refuse(error))
        context = request_context.RequestContext(request, arrived_at=now, hop=hop)
        self.contexts[request.id] = context
        return self._outcome(context, self._chain(context).begin(context, now), now)

    def resume(
        self, request_id: str, reply: typing.Any, now: float
    ) -> request_lifecycle.NextAction | None:
        """Pass the reply that a request waited for to its chain; None means that it waits again.

        The reply to a request that is over is ignored.
        """
        context = self.contexts.get(request_id)
        if context is None:
            return None
        context.attempt_open = False
        return self._outcome(context, self._chain(context).resume(context, reply, now), now)

    def record_received(self, message: request_lifecycle.Received, now: float) -> None:
        """Let the filters release what a request holds of its upstream, which is done with it."""
        context = self.contexts.get(message.request_id)
        if context is not None and context.request is message.request:
            context.received_at = now
            self._chain(context).record_received(context, now)

    def remove(self, message: request_lifecycle.Finish) -> request_context.RequestContext | None:
        """Remove a request that is over and return its context with the result, or None.

        A refused request whose id belongs to an open one leaves that one open.
        """
        context = self.contexts.get(message.request_id)
        if context is None:
            return None
        if message.request is not None and message.request is not context.request:
            return None
        del self.contexts[message.request_id]
        context.succeeded = message.succeeded
        context.usage = message.usage
        context.recorded_answer = message.recorded_answer
        return context

    def settle(
        self, message: request_lifecycle.Finish, context: request_context.RequestContext, now: float
    ) -> None:
        """Log the end of a request and let every filter that it entered release what it holds."""
        self._log(request_log.end_event(message, context, now), now)
        self._chain(context).finish(context, now)

    def expire(self, context: request_context.RequestContext, now: float) -> None:
        """Log that the deadline of a request passed."""
        self._log(request_log.expiry_event(context, now), now)

    def _chain(self, context: request_context.RequestContext) -> chain.Chain:
        """Return the chain that a request runs through."""
        return self.chains["entry" if context.hop is None else "arrival"]

    def _log(self, log_event: commands.LogEvent, now: float) -> None:
        """Add the fields about the state to an event and write it."""
        log_event.fields.update(self.state_fields(now))
        self.outbox.append(log_event)

    def _outcome(
        self, context: request_context.RequestContext, action: actions.Action, now: float
    ) -> request_lifecycle.NextAction | None:
        """Log the decision in an action; return it as an Outcome, or None if the request waits.

        A refusal says that the request may have run if any attempt may have, and tells the instance
        that forwarded it which upstreams crashed here.
        """
        if type(action) is actions.Refuse and context.may_have_run:
            action.error.run = errors.RunStatus.MAY_HAVE_RUN
        if type(action) is actions.Refuse and context.hop is not None:
            action.error.crashes = tuple(poison.crash_reports(context, now, own_only=True))
        for log_event in request_log.decision_events(action, context, now):
            self._log(log_event, now)
        if type(action) is actions.Perform:
            context.attempt_open = type(action.work) in SENDING_WORK
            if not context.attempt_open:
                return None
        return request_lifecycle.NextAction(
            context.id, action, operation_state=context.operation_state
        )
