"""The requests that an instance works on, each on its way through a chain."""

from __future__ import annotations

import typing

from yuccahitch import errors
from yuccahitch.controllers import notes
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions, commands, request_lifecycle, requests

EXTERNAL = frozenset((actions.Dispatch, actions.Forward))


class InFlight:
    """Begins requests, goes on with them and settles them.

    Args:
        chains: The chain for requests of callers, ``entry``, and for those that another instance
            sent on, ``arrival``.
        in_use: Code of the refusal when the id of a request is in use.
        beliefs: Returns what the instance believes, and how old that is, for the log.

    Attributes:
        request_lifecycle: The requests by their ids.
    """

    __slots__ = ("chains", "in_use", "beliefs", "exchanges", "outbox")

    def __init__(
        self,
        chains: dict[str, chain.Chain],
        *,
        in_use: errors.Code,
        beliefs: typing.Callable[[float], dict[str, typing.Any]],
    ) -> None:
        self.chains = chains
        self.in_use = in_use
        self.beliefs = beliefs
        self.exchanges: dict[str, exchange.Exchange] = {}
        self.outbox: list[commands.Command] = []

    def begin(
        self, request: requests.Request, hop: requests.Hop | None, now: float
    ) -> request_lifecycle.NextAction | None:
        """Take a new request; None means that it waits and an Outcome follows."""
        if request.id in self.exchanges:
            error = errors.GatewayError(self.in_use, step="core", detail="the request id is in use")
            return request_lifecycle.NextAction(request.id, actions.Refuse(error))
        item = exchange.Exchange(request, began=now, hop=hop)
        self.exchanges[request.id] = item
        return self._outcome(item, self._chain(item).begin(item, now), now)

    def resume(
        self, request_id: str, reply: typing.Any, now: float
    ) -> request_lifecycle.NextAction | None:
        """Go on with a request that waited for a reply."""
        item = self.exchanges.get(request_id)
        if item is None:
            return None
        return self._outcome(item, self._chain(item).resume(item, reply, now), now)

    def take(self, message: request_lifecycle.Finish) -> exchange.Exchange | None:
        """Take out a request that is over, with what became of it."""
        item = self.exchanges.pop(message.request_id, None)
        if item is not None:
            item.succeeded = message.succeeded
            item.usage = message.usage
            item.recorded = message.recorded_answer
        return item

    def settle(
        self, message: request_lifecycle.Finish, item: exchange.Exchange, now: float
    ) -> None:
        """Let every filter that a request passed settle it, and tell how it ended."""
        self._tell(notes.ended(message, item, now), now)
        self._chain(item).finish(item, now)

    def expire(self, item: exchange.Exchange, now: float) -> None:
        """Tell that the time of a request is up."""
        self._tell(notes.expired(item, now), now)

    def _chain(self, item: exchange.Exchange) -> chain.Chain:
        return self.chains["entry" if item.hop is None else "arrival"]

    def _tell(self, note: commands.LogEvent, now: float) -> None:
        note.fields.update(self.beliefs(now))
        self.outbox.append(note)

    def _outcome(
        self, item: exchange.Exchange, action: actions.Action, now: float
    ) -> request_lifecycle.NextAction | None:
        for note in notes.decisions(action, item, now):
            self._tell(note, now)
        if type(action) is actions.Perform and type(action.work) not in EXTERNAL:
            return None
        return request_lifecycle.NextAction(item.id, action, operation_state=item.operation)
