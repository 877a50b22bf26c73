"""Refuses poison requests: those that crash the upstreams that run them."""

from __future__ import annotations

import itertools
import typing

import xxhash

from yuccahitch import errors, events
from yuccahitch.controllers.runs import suspects as suspect_table
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions, commands, suspects

# Shared prompt parts of a request that are considered.
MAX_PARTS = 32
# An upstream that crashes later than this after an answer began did not crash on a prompt part.
ANSWER_BEGIN_S = 0.5
MAX_GOOD_STATUS = 299


class Poison(chain.BaseFilter):
    """Refuses a request that has crashed upstreams, or whose prompt has a part that does.

    Args:
        suspects: Traits of the requests that were running when upstreams crashed.
    """

    __slots__ = ("suspects",)
    step = "poison"

    def __init__(self, suspects: suspect_table.Suspects) -> None:
        self.suspects = suspects

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Proceed, or refuse a request with a trait that crashed several upstreams."""
        if context.hop is not None and not context.crashes:
            record_forwarded_crashes(context, self.suspects, context.hop.crashes, now)
        error = refusal(context, self.suspects, now)
        return actions.Proceed() if error is None else actions.Refuse(error)


def refusal(
    context: request_context.RequestContext, table: suspect_table.Suspects, now: float
) -> errors.GatewayError | None:
    """Return the error for a poison request, with the time until it is accepted again, or None.

    A request with an idempotency key counts as one that may have run.
    """
    request = suspect_request(context)
    trait = table.refused_trait((request.request_trait, *request.part_traits), now)
    if trait is None:
        return None
    may_have_run = context.reached_upstream or bool(context.request.operation_key)
    return errors.GatewayError(
        errors.Code.POISON,
        step=Poison.step,
        detail="" if trait == request.request_trait else "a part of the prompt crashes upstreams",
        run=errors.RunStatus.MAY_HAVE_RUN if may_have_run else errors.RunStatus.NOT_RUN,
        retry_after=table.refusal_left_s(trait, now),
    )


def record_crash(
    context: request_context.RequestContext,
    table: suspect_table.Suspects,
    upstream: str,
    now: float,
) -> None:
    """Record and log that an upstream crashed while it worked on a request.

    Args:
        context: The request.
        table: Receives the record.
        upstream: The incarnation of the upstream.
        now: Monotonic seconds.
    """
    request = suspect_request(context)
    request.crash_number = len(context.crashes) + 1
    began = context.answered_attempt == context.attempt
    if began and now - context.answer_began_at > ANSWER_BEGIN_S:
        request.part_traits = ()
    context.crashes.append(table.record_crash(request, upstream, now))
    log_event = commands.LogEvent(
        events.Event.REQUEST_SUSPECTED,
        request=context.id,
        upstream=upstream,
        trait=f"{request.request_trait:016x}",
        parts=[name for name, _ in _shared_parts(context)],
        part_traits=[f"{trait:016x}" for trait in request.part_traits],
        began=began,
    )
    table.outbox.append(log_event)


def record_forwarded_crashes(
    context: request_context.RequestContext,
    table: suspect_table.Suspects,
    reports: typing.Iterable[suspects.CrashReport],
    now: float,
) -> None:
    """Record crashes of attempts that another instance made at a request, in their order."""
    for report in reports:
        for request in report.requests:
            request.crash_number = len(context.crashes) + 1
            context.crashes.append(table.record_forwarded_crash(request, report, now))


def crash_reports(
    context: request_context.RequestContext, now: float, *, own_only: bool = False
) -> list[suspects.CrashReport]:
    """Return reports of the crashes in the attempts at a request.

    Args:
        context: The request.
        now: Monotonic seconds.
        own_only: Leave out those that came with the hop.
    """
    from_hop = len(context.hop.crashes) if own_only and context.hop is not None else 0
    if len(context.crashes) <= from_hop:
        return []
    request = suspect_request(context)
    reports = []
    for crash in context.crashes[from_hop:]:
        known = crash.requests.get(request.request_trait, request)
        told = suspects.SuspectRequest(known.request_trait, known.part_traits)
        age_ms = max(0, int((now - crash.at) * 1000))
        reports.append(suspects.CrashReport(crash.upstream, age_ms=age_ms, requests=[told]))
    return reports


def record_answer(
    context: request_context.RequestContext, table: suspect_table.Suspects, now: float
) -> None:
    """Record that a request was answered in full, which clears its traits."""
    if context.succeeded and context.head is not None and context.head.status <= MAX_GOOD_STATUS:
        request = suspect_request(context)
        traits = (request.request_trait, *request.part_traits)
        table.record_answer(traits, context.answer_began_at, now)


def suspect_request(context: request_context.RequestContext) -> suspects.SuspectRequest:
    """Return the traits of a request; its last prompt part is its own and is no trait."""
    whole = f"request:{context.account.name}:{context.request.digest}"
    parts = (xxhash.xxh64_intdigest(f"part:{name}".encode()) for name, _ in _shared_parts(context))
    # A part may stand in a prompt more than once.
    return suspects.SuspectRequest(
        xxhash.xxh64_intdigest(whole.encode()), tuple(dict.fromkeys(parts))
    )


def _shared_parts(context: request_context.RequestContext) -> list[tuple[str, int]]:
    """Return the parts of a prompt before its own one, each an id and its length in tokens."""
    return list(itertools.islice(context.request.prompt_parts[:-1], MAX_PARTS))
