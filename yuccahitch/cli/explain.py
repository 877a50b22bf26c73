"""The command that draws how one request went, from the logs of all machines."""

from __future__ import annotations

import itertools
import pathlib
import typing

import click

from yuccahitch import errors, events
from yuccahitch.cli import show

BEFORE_US = 10_000_000
AFTER_US = 1_000_000
FORWARDED = events.Event.REQUEST_FORWARDED.label
BEGAN = events.Event.REQUEST_BEGAN.label
EXPIRED = events.Event.REQUEST_EXPIRED.label
ENDS = frozenset(
    event.label
    for event in (
        events.Event.REQUEST_ENDED,
        events.Event.REQUEST_REFUSED,
        events.Event.REQUEST_CUT,
        events.Event.REQUEST_ABANDONED,
    )
)
MEANINGS = {code.wire: code.meaning for code in errors.Code}
# Fields of an event about a belief that name what it is about.
SUBJECTS = ("upstream", "service", "member", "account")
# Beliefs that bear on every request of the instance that held them.
GENERAL = frozenset(
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
        events.Event.FAULT,
    )
)


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
def explain(request: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Draw how REQUEST went over all processes, from their LOGS.

    Clocks of machines may differ: a process that took a request over from another can't have begun
    before the other sent it, and its lines are shifted until that holds.
    """
    lines = sorted(itertools.chain.from_iterable(map(show.read, logs)))
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        raise click.ClickException(f"no line of these logs names request {request}")
    shifts = shifts_of(own)
    shown = sorted(
        (line.stamp + shifts.get(line.instance, 0), number, line)
        for number, line in enumerate(lines)
        if line.fields.get("request") == request or _bears(line, own, shifts)
    )
    began = min(line.stamp + shifts[line.instance] for line in own)
    for stamp, _, line in shown:
        mark = ">" if line.fields.get("request") == request else " "
        click.echo(f"{mark} {line.text(began, stamp=stamp)}")
    for instance, shift in sorted(shifts.items()):
        if shift:
            click.echo(f"clock of {instance}: {shift / 1e6:.6f} s were added")
    click.echo(verdict(own))


def shifts_of(own: list[show.Line]) -> dict[str, int]:
    """Return by how much each instance's stamps must be moved so that causes precede effects.

    Args:
        own: The lines of one request.

    Returns:
        Microseconds to add, by instance.
    """
    shifts = dict.fromkeys((line.instance for line in own), 0)
    pairs = [
        (sent, taken)
        for sent, taken in itertools.product(own, own)
        if sent.name == FORWARDED
        and taken.name == BEGAN
        and taken.fields.get("forwarded_by") == sent.instance
        and sent.fields.get("peer") == taken.instance
    ]
    for sent, taken in pairs:
        late = sent.stamp + shifts[sent.instance] - (taken.stamp + shifts[taken.instance])
        if late >= 0:
            shifts[taken.instance] += late + 1
    return shifts


def verdict(own: list[show.Line]) -> str:
    """Return in one sentence how a request ended at its entry, and why."""
    entries = {
        line.instance for line in own if line.name == BEGAN and not line.fields.get("forwarded_by")
    }
    ends = [line for line in own if line.name in ENDS and line.instance in entries]
    if not ends:
        return "outcome: no line tells of its end; the process may have stopped before it"
    end = ends[-1]
    code = str(end.fields.get("code", ""))
    if not code:
        return f"outcome: {end.name} after {end.fields.get('seconds')} s"
    where = " of ".join(str(end.fields[n]) for n in ("step", "error_peer") if end.fields.get(n))
    given_up = "; its time was up" if any(line.name == EXPIRED for line in own) else ""
    detail = f" ({end.fields['detail']})" if end.fields.get("detail") else ""
    return (
        f"outcome: {end.name} after {end.fields.get('seconds')} s, {code} at {where}, "
        f"{end.fields.get('run')}: {MEANINGS.get(code, 'an unknown code')}{detail}{given_up}"
    )


def _bears(line: show.Line, own: list[show.Line], shifts: dict[str, int]) -> bool:
    """Return whether a belief can have had to do with a request."""
    near = [other for other in own if other.instance == line.instance]
    if not near or "request" in line.fields:
        return False
    first, last = near[0].stamp, near[-1].stamp
    if not first - BEFORE_US <= line.stamp <= last + AFTER_US:
        return False
    if line.name in GENERAL:
        return True
    return any(line.fields.get(subject) in _named(own, subject) for subject in SUBJECTS)


def _named(own: list[show.Line], subject: str) -> set[typing.Any]:
    """Return the upstreams, instances or accounts that a request had to do with."""
    names = {"upstream": ("upstream", "tried", "error_peer"), "member": ("peer", "tried")}
    found: set[typing.Any] = set()
    for line, name in itertools.product(own, names.get(subject, (subject,))):
        value = line.fields.get(name)
        found.update(value if type(value) is list else [value] if value else [])
    return found
