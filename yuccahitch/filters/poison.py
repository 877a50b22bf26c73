"""Refuses poison requests: those that crashed several upstreams."""

from __future__ import annotations

from yuccahitch import errors, events
from yuccahitch.controllers import suspects
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions, commands


class Poison(chain.BaseFilter):
    """Refuses a request by its fingerprint, so that it does not crash more upstreams.

    Args:
        suspect_table: Fingerprints of requests that were running when upstreams crashed.
    """

    __slots__ = ("suspect_table",)
    step = "poison"

    def __init__(self, suspect_table: suspects.Suspects) -> None:
        self.suspect_table = suspect_table

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Proceed, or refuse a request whose fingerprint crashed several upstreams."""
        if self.suspect_table.refusal_left_s(fingerprint(context), now) <= 0:
            return actions.Proceed()
        return actions.Refuse(refusal(context, self.suspect_table, now))


def refusal(
    context: request_context.RequestContext, suspect_table: suspects.Suspects, now: float
) -> errors.GatewayError:
    """Return the error for a poison request, with the time until it is accepted again.

    A request with an idempotency key counts as one that may have run.
    """
    may_have_run = context.reached_upstream or bool(context.request.operation_key)
    return errors.GatewayError(
        errors.Code.POISON,
        step=Poison.step,
        run=errors.RunStatus.MAY_HAVE_RUN if may_have_run else errors.RunStatus.NOT_RUN,
        retry_after=suspect_table.refusal_left_s(fingerprint(context), now),
    )


def record_crash(
    context: request_context.RequestContext,
    suspect_table: suspects.Suspects,
    upstream: str,
    now: float,
) -> None:
    """Record and log that an upstream crashed while it worked on a request."""
    name = fingerprint(context)
    suspect_table.record_crash(name, upstream, now)
    log_event = commands.LogEvent(
        events.Event.REQUEST_SUSPECTED,
        request=context.id,
        upstream=upstream,
        fingerprint=name,
        parts=[part for part, _ in context.request.prompt_parts[:-1]],
        began=context.answered_attempt == context.attempt,
        crashed_upstreams=len(suspect_table.by_fingerprint[name].upstreams),
    )
    suspect_table.outbox.append(log_event)


def fingerprint(context: request_context.RequestContext) -> str:
    """Return the fingerprint of a request, equal for all repeats by its client account."""
    return f"{context.account.name}:{context.request.digest}"
