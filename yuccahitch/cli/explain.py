"""The ``explain`` command: traces one request through the logs of all instances."""

from __future__ import annotations

import itertools
import pathlib
import typing

import click

from yuccahitch import errors, events
from yuccahitch.cli import show

# Events of the same instance are shown from this long before its first line of the request until
# this long after its last one, in microseconds.
CONTEXT_BEFORE_US = 10_000_000
CONTEXT_AFTER_US = 1_000_000
FORWARDED_EVENT = events.Event.REQUEST_FORWARDED.label
BEGAN_EVENT = events.Event.REQUEST_BEGAN.label
EXPIRED_EVENT = events.Event.REQUEST_EXPIRED.label
END_EVENTS = frozenset(
    event.label
    for event in (
        events.Event.REQUEST_ENDED,
        events.Event.REQUEST_REFUSED,
        events.Event.REQUEST_CUT,
        events.Event.REQUEST_ABANDONED,
    )
)
ERROR_MEANINGS = {code.wire: code.meaning for code in errors.Code}
# Fields of a state event that name the upstream, service, instance or account it is about.
SUBJECT_FIELDS = ("upstream", "service", "member", "account")
# State events that affect every request of the instance that logged them.
INSTANCE_WIDE_EVENTS = frozenset(
    event.label
    for event in (
        events.Event.STARTED,
        events.Event.READY,
        events.Event.DRAIN_BEGAN,
        events.Event.STOPPED,
        events.Event.RELOADED,
        events.Event.LOG_DROPPED,
        events.Event.CONFIG_APPLIED,
        events.Event.CONFIG_UNREADABLE,
        events.Event.ZONE_EVACUATED,
        events.Event.ZONE_TAKEN_BACK,
        events.Event.STORE_LOST,
        events.Event.STORE_FOUND,
        events.Event.WATCH_BROKEN,
        events.Event.STREAMS_RECORDED,
        events.Event.STREAMS_NOT_RECORDED,
        events.Event.FAULT,
    )
)


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
def explain(request: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Trace REQUEST through the LOGS of all instances.

    Prints the events of the request, marked with ">", and related events of the same instances.
    Clocks of machines may differ: if an instance logged the receipt of a forwarded request before
    another instance logged sending it, the receiver's lines are moved to just after the sending.
    """
    lines = sorted(itertools.chain.from_iterable(map(show.read_log, logs)))
    request_lines = [line for line in lines if line.fields.get("request") == request]
    if not request_lines:
        raise click.ClickException(f"no event of request {request} in these logs")
    clock_shifts = compute_clock_shifts(request_lines)
    output_lines = sorted(
        (line.stamp + clock_shifts.get(line.instance, 0), number, line)
        for number, line in enumerate(lines)
        if line.fields.get("request") == request or _is_related(line, request_lines, clock_shifts)
    )
    start_stamp = min(line.stamp + clock_shifts[line.instance] for line in request_lines)
    for stamp, _, line in output_lines:
        marker = ">" if line.fields.get("request") == request else " "
        click.echo(f"{marker} {line.format(start_stamp, stamp=stamp)}")
    for instance, shift_us in sorted(clock_shifts.items()):
        if shift_us:
            click.echo(f"clock of {instance}: {shift_us / 1e6:.6f} s added to its stamps")
    click.echo(describe_outcome(request_lines))


def compute_clock_shifts(request_lines: list[show.LogLine]) -> dict[str, int]:
    """Return the time to add to each instance's stamps so that no receipt precedes its sending.

    Args:
        request_lines: Log lines of one request, in the order of their stamps.

    Returns:
        Microseconds to add, by instance id; 0 for an instance whose stamps need no change.
    """
    clock_shifts = dict.fromkeys((line.instance for line in request_lines), 0)
    forwards = [
        (sent, received)
        for sent, received in itertools.product(request_lines, request_lines)
        if sent.name == FORWARDED_EVENT
        and received.name == BEGAN_EVENT
        and received.fields.get("forwarded_by") == sent.instance
        and sent.fields.get("peer") == received.instance
    ]
    for sent, received in forwards:
        lag_us = (
            sent.stamp
            + clock_shifts[sent.instance]
            - (received.stamp + clock_shifts[received.instance])
        )
        if lag_us >= 0:
            clock_shifts[received.instance] += lag_us + 1
    return clock_shifts


def describe_outcome(request_lines: list[show.LogLine]) -> str:
    """Return one sentence on how and why a request ended at the instance that the caller used.

    Args:
        request_lines: Log lines of one request, in the order of their stamps.
    """
    entry_instances = {
        line.instance
        for line in request_lines
        if line.name == BEGAN_EVENT and not line.fields.get("forwarded_by")
    }
    end_lines = [
        line
        for line in request_lines
        if line.name in END_EVENTS and line.instance in entry_instances
    ]
    if not end_lines:
        return (
            "outcome: no line records the end of the request; the process may have stopped before"
        )
    end_line = end_lines[-1]
    code = str(end_line.fields.get("code", ""))
    if not code:
        return f"outcome: {end_line.name} after {end_line.fields.get('seconds')} s"
    location = " of ".join(
        str(end_line.fields[n]) for n in ("step", "error_peer") if end_line.fields.get(n)
    )
    expiry_note = (
        "; the request had timed out"
        if any(line.name == EXPIRED_EVENT for line in request_lines)
        else ""
    )
    detail = f" ({end_line.fields['detail']})" if end_line.fields.get("detail") else ""
    return (
        f"outcome: {end_line.name} after {end_line.fields.get('seconds')} s, {code} at {location}, "
        f"{end_line.fields.get('run')}: {ERROR_MEANINGS.get(code, 'unknown error code')}"
        f"{detail}{expiry_note}"
    )


def _is_related(
    line: show.LogLine, request_lines: list[show.LogLine], clock_shifts: dict[str, int]
) -> bool:
    """Return whether a state event may have affected a request.

    Args:
        line: Log line of any event.
        request_lines: Log lines of the request, in the order of their stamps.
        clock_shifts: Microseconds to add to the stamps, by instance id.
    """
    same_instance_lines = [other for other in request_lines if other.instance == line.instance]
    if not same_instance_lines or "request" in line.fields:
        return False
    first_stamp, last_stamp = same_instance_lines[0].stamp, same_instance_lines[-1].stamp
    if not first_stamp - CONTEXT_BEFORE_US <= line.stamp <= last_stamp + CONTEXT_AFTER_US:
        return False
    if line.name in INSTANCE_WIDE_EVENTS:
        return True
    return any(
        line.fields.get(subject_field) in _related_names(request_lines, subject_field)
        for subject_field in SUBJECT_FIELDS
    )


def _related_names(request_lines: list[show.LogLine], subject_field: str) -> set[typing.Any]:
    """Return the upstreams, services, instances or accounts that a request's events name.

    Args:
        request_lines: Log lines of the request.
        subject_field: Kind of the names, one of ``SUBJECT_FIELDS``.
    """
    related_fields = {"upstream": ("upstream", "tried", "error_peer"), "member": ("peer", "tried")}
    values: set[typing.Any] = set()
    for line, name in itertools.product(
        request_lines, related_fields.get(subject_field, (subject_field,))
    ):
        value = line.fields.get(name)
        values.update(value if type(value) is list else [value] if value else [])
    return values
