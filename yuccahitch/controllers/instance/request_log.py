"""Log events about requests: decisions with their inputs, retries, and how requests ended."""

from __future__ import annotations

import functools
import typing

from yuccahitch import events
from yuccahitch.filters import request_context
from yuccahitch.messages import actions, commands, request_lifecycle

Fields = dict[str, typing.Any]


def decision_events(
    action: actions.Action, context: request_context.RequestContext, now: float
) -> list[commands.LogEvent]:
    """Return the events of a decision to send a request on or to replay a stored answer."""
    if type(action) is actions.Replay:
        return [commands.LogEvent(events.Event.OPERATION_REPLAYED, **_request_fields(context))]
    if type(action) is not actions.Perform:
        return []
    send_event = _send_event(action.work, context, now)
    retry_events = [] if send_event is None or context.attempt < 2 else [_retry_event(context)]
    return retry_events + ([] if send_event is None else [send_event])


def expiry_event(context: request_context.RequestContext, now: float) -> commands.LogEvent:
    """Return the event of a request whose deadline passed."""
    return commands.LogEvent(
        events.Event.REQUEST_EXPIRED,
        request=context.id,
        upstream=context.upstream,
        instance_used=context.instance,
        attempt=context.attempt,
        waited_s=round(now - context.arrived_at, 3),
        began=context.head is not None,
    )


def end_event(
    message: request_lifecycle.Finish, context: request_context.RequestContext, now: float
) -> commands.LogEvent:
    """Return the event of a request that is over."""
    fields: Fields = _request_fields(context)
    fields.update(
        upstream=context.upstream,
        instance_used=context.instance,
        attempts=context.attempt,
        seconds=round(now - context.arrived_at, 3),
        output_tokens=message.usage.output,
    )
    if context.head is not None:
        fields["software_version"] = context.head.software_version
    if message.first_byte_s is not None:
        fields["first_byte_s"] = round(message.first_byte_s, 3)
    if message.error is not None:
        fields.update(_error_fields(message.error), **_placement_fields(context))
    return commands.LogEvent(end_event_type(message, context), **fields)


def end_event_type(
    message: request_lifecycle.Finish, context: request_context.RequestContext
) -> events.Event:
    """Return the type of the event that ends a request."""
    if message.abandoned:
        return events.Event.REQUEST_ABANDONED
    if message.succeeded:
        return events.Event.REQUEST_ENDED
    return events.Event.REQUEST_REFUSED if context.head is None else events.Event.REQUEST_CUT


@functools.singledispatch
def _send_event(
    work: actions.Work, context: request_context.RequestContext, now: float
) -> commands.LogEvent | None:
    """Return the event of work that sends a request on, or None for work that only waits."""
    return None


@_send_event.register
def _(
    work: actions.Dispatch, context: request_context.RequestContext, now: float
) -> commands.LogEvent:
    left_s = (context.give_up_at if work.give_up_at is None else work.give_up_at) - now
    return commands.LogEvent(
        events.Event.REQUEST_DISPATCHED,
        **_request_fields(context),
        upstream=work.upstream,
        software_version=work.software_version,
        attempt=work.attempt,
        rank=work.priority,
        left_s=round(left_s, 3),
        **_placement_fields(context),
    )


@_send_event.register
def _(
    work: actions.Forward, context: request_context.RequestContext, now: float
) -> commands.LogEvent:
    return commands.LogEvent(
        events.Event.REQUEST_FORWARDED,
        **_request_fields(context),
        peer=work.instance,
        attempt=work.attempt,
        left_s=round(work.deadline_in, 3),
        **_placement_fields(context),
    )


def _retry_event(context: request_context.RequestContext) -> commands.LogEvent:
    """Return the event of a further attempt, which resumes the answer if that has begun."""
    resumes = context.head is not None
    event = events.Event.REQUEST_RESUMED if resumes else events.Event.REQUEST_RETRIED
    fields = _request_fields(context) | {
        "attempt": context.attempt,
        "tried": list(context.failed_targets),
    }
    if context.last_error is not None:
        fields |= _error_fields(context.last_error)
    if resumes:
        fields["after"] = context.last_event_id
    return commands.LogEvent(event, **fields)


def _request_fields(context: request_context.RequestContext) -> Fields:
    """Return the fields that name a request, its client account, route and service."""
    fields: Fields = {"request": context.id}
    for name, resource in (
        ("account", context.account),
        ("route", context.route),
        ("service", context.service),
    ):
        if resource is not None:
            fields[name] = resource.name
    return fields


def _placement_fields(context: request_context.RequestContext) -> Fields:
    """Return the inputs of the last placement and the limits that bound it."""
    fields = {} if context.placement_inputs is None else context.placement_inputs.log_fields()
    if context.tokens_left is not None:
        fields["tokens_left"] = round(context.tokens_left)
    if context.regions is not None:
        fields["regions"] = sorted(context.regions)
    return fields


def _error_fields(error: typing.Any) -> Fields:
    """Return the fields of a GatewayError."""
    fields = {"code": error.code.wire, "step": error.step, "run": error.run.value}
    if error.peer:
        fields["error_peer"] = error.peer
    if error.detail:
        fields["detail"] = error.detail
    if error.retry_after is not None:
        fields["retry_after_s"] = round(error.retry_after, 3)
    return fields
