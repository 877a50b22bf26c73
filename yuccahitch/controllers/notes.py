"""Events about requests: what was decided, on which inputs, and how it ended."""

from __future__ import annotations

import functools
import typing

from yuccahitch import events
from yuccahitch.filters import exchange
from yuccahitch.messages import actions, commands, request_lifecycle

Fields = dict[str, typing.Any]


def decisions(
    action: actions.Action, item: exchange.Exchange, now: float
) -> list[commands.LogEvent]:
    """Return the events of a decision to send a request on or to replay an answer."""
    if type(action) is actions.Replay:
        return [commands.LogEvent(events.Event.OPERATION_REPLAYED, **_about(item))]
    if type(action) is not actions.Perform:
        return []
    sent = _sent(action.work, item, now)
    again = [] if sent is None or item.attempt < 2 else [_again(item)]
    return again + ([] if sent is None else [sent])


def expired(item: exchange.Exchange, now: float) -> commands.LogEvent:
    """Return the event that the time of a request is up."""
    return commands.LogEvent(
        events.Event.REQUEST_EXPIRED,
        request=item.id,
        upstream=item.upstream,
        instance_used=item.instance,
        attempt=item.attempt,
        waited_s=round(now - item.began, 3),
        began=item.head is not None,
    )


def ended(
    message: request_lifecycle.Finish, item: exchange.Exchange, now: float
) -> commands.LogEvent:
    """Return the event of a request that is over."""
    fields: Fields = _about(item)
    fields.update(
        upstream=item.upstream,
        instance_used=item.instance,
        attempts=item.attempt,
        seconds=round(now - item.began, 3),
        output_tokens=message.usage.output,
    )
    if message.first_byte_s is not None:
        fields["first_byte_s"] = round(message.first_byte_s, 3)
    if message.error is not None:
        fields.update(_error(message.error), **_inputs(item))
    return commands.LogEvent(end_of(message, item), **fields)


def end_of(message: request_lifecycle.Finish, item: exchange.Exchange) -> events.Event:
    """Return how a request ended."""
    if message.abandoned:
        return events.Event.REQUEST_ABANDONED
    if message.succeeded:
        return events.Event.REQUEST_ENDED
    return events.Event.REQUEST_REFUSED if item.head is None else events.Event.REQUEST_CUT


@functools.singledispatch
def _sent(work: actions.Work, item: exchange.Exchange, now: float) -> commands.LogEvent | None:
    """Return the event of work that sends a request on; waiting is no event."""
    return None


@_sent.register
def _(work: actions.Dispatch, item: exchange.Exchange, now: float) -> commands.LogEvent:
    left_s = (item.give_up_at if work.give_up_at is None else work.give_up_at) - now
    return commands.LogEvent(
        events.Event.REQUEST_DISPATCHED,
        **_about(item),
        upstream=work.upstream,
        attempt=work.attempt,
        rank=work.priority,
        left_s=round(left_s, 3),
        **_inputs(item),
    )


@_sent.register
def _(work: actions.Forward, item: exchange.Exchange, now: float) -> commands.LogEvent:
    return commands.LogEvent(
        events.Event.REQUEST_FORWARDED,
        **_about(item),
        peer=work.instance,
        attempt=work.attempt,
        left_s=round(work.deadline_in, 3),
        **_inputs(item),
    )


def _again(item: exchange.Exchange) -> commands.LogEvent:
    resumes = item.head is not None
    event = events.Event.REQUEST_RESUMED if resumes else events.Event.REQUEST_RETRIED
    fields = _about(item) | {"attempt": item.attempt, "tried": list(item.tried)}
    if item.last_error is not None:
        fields |= _error(item.last_error)
    if resumes:
        fields["after"] = item.last_event
    return commands.LogEvent(event, **fields)


def _about(item: exchange.Exchange) -> Fields:
    fields: Fields = {"request": item.id}
    for name, part in (("account", item.account), ("route", item.route), ("service", item.service)):
        if part is not None:
            fields[name] = part.name
    return fields


def _inputs(item: exchange.Exchange) -> Fields:
    fields = {} if item.basis is None else item.basis.told()
    if item.tokens_left is not None:
        fields["tokens_left"] = round(item.tokens_left)
    if item.regions is not None:
        fields["regions"] = sorted(item.regions)
    return fields


def _error(error: typing.Any) -> Fields:
    fields = {"code": error.code.wire, "step": error.step, "run": error.run.value}
    if error.peer:
        fields["error_peer"] = error.peer
    if error.detail:
        fields["detail"] = error.detail
    if error.retry_after is not None:
        fields["retry_after_s"] = round(error.retry_after, 3)
    return fields
