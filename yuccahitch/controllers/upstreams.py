"""What this instance knows of each upstream: its load, its health and its own requests there."""

from __future__ import annotations

import math
import typing

from yuccahitch import events, records
from yuccahitch.controllers import rules as policy
from yuccahitch.messages import commands, peers
from yuccahitch.resources import upstream

FAILURES_TO_EJECT = 3
EJECT_S = 5.0
MAX_EJECT_S = 60.0
REPORT_LIFETIME_S = 10.0
LEAVING_LIFETIME_S = 30.0
PREFILL_TOKENS_PER_S = 8000.0
TOKEN_S = 0.03
EWMA_SHARE = 0.2


# Heartbeats reach one instance at a time, and a message can be lost: all are told, three times.
ANNOUNCE_PAUSES_S = (0.0, 0.7, 1.4)


class Report(records.Record):
    """The newest load report of an upstream.

    Attributes:
        load: The report.
        taken_at: When it was taken, in monotonic seconds.
        others: Requests in it that are not this instance's.
        forwarded: Requests that this instance forwarded to its region since.
    """

    __slots__ = ("load", "taken_at", "others", "forwarded")

    def __init__(self, load: peers.LoadReport, taken_at: float, *, own: int) -> None:
        self.load = load
        self.taken_at = taken_at
        self.others = max(0, load.running + load.waiting - own)
        self.forwarded = 0


class Replica:
    """One upstream as this instance sees it.

    Attributes:
        outstanding: Requests of this instance that it works on.
        long_outstanding: Those of them that are long.
        report: Its newest load report, or None.
        failures: Failures in a row.
        ejections: Times it was ejected since it last succeeded.
        ejected_until: When it gets work again, in monotonic seconds.
        leaving_until: Until when the instance list's word that it leaves holds.
        service_s: Mean time of a request there, in seconds.
        token_s: Mean time for each token of a request there, in seconds.
    """

    __slots__ = (
        "outstanding",
        "long_outstanding",
        "report",
        "failures",
        "ejections",
        "ejected_until",
        "leaving_until",
        "service_s",
        "token_s",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.long_outstanding = 0
        self.report: Report | None = None
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf
        self.leaving_until = -math.inf
        self.service_s = 1.0
        self.token_s = TOKEN_S


class Upstreams:
    """Keeps the state of the upstreams.

    Args:
        region: Region of this instance.
        rules: Rules in force.

    Attributes:
        announce_at: When peers are told that an upstream leaves, in monotonic seconds.
    """

    __slots__ = ("region", "rules", "replicas", "announce_at", "outbox")

    def __init__(self, region: str, *, rules: policy.Rules | None = None) -> None:
        self.region = region
        self.rules = rules or policy.Rules()
        self.replicas: dict[str, Replica] = {}
        self.announce_at: list[float] = []
        self.outbox: list[commands.Command] = []

    def state(self, name: str) -> Replica:
        """Return the state of an upstream."""
        found = self.replicas.get(name)
        if found is None:
            found = self.replicas[name] = Replica()
        return found

    def forget(self, names: typing.Container[str]) -> None:
        """Drop the state of upstreams that are not among the given ones and hold no work."""
        idle = [n for n, r in self.replicas.items() if n not in names and not r.outstanding]
        for name in idle:
            del self.replicas[name]

    def usable(self, item: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream may get new work."""
        return not self.leaving(item, now) and not self.ejected(item, now)

    def leaving(self, item: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream gets no new work as it leaves."""
        state = self.state(item.name)
        reported = state.report is not None and state.report.load.leaving
        return item.leaving or reported or now < state.leaving_until

    def ejected(self, item: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream gets no work for a while as it failed."""
        return self.rules.ejection and now < self.state(item.name).ejected_until

    def occupancy(self, item: upstream.Upstream, now: float) -> float:
        """Return the requests that an upstream works on or queues, as far as is known."""
        state = self.state(item.name)
        report = state.report
        old = report is None or now - report.taken_at > REPORT_LIFETIME_S
        if old or not self.rules.reports:
            return float(state.outstanding)
        return float(state.outstanding + report.others + report.forwarded)

    def sent(self, name: str, *, long: bool) -> None:
        """Count a request sent to an upstream."""
        state = self.state(name)
        state.outstanding += 1
        state.long_outstanding += long

    def forwarded(self, name: str) -> None:
        """Count a request sent to the region of an upstream until its next load report."""
        report = self.state(name).report
        if report is not None:
            report.forwarded += 1

    def returned(self, name: str, *, long: bool) -> None:
        """Count a request that is over."""
        state = self.state(name)
        state.outstanding -= 1
        state.long_outstanding -= long

    def succeeded(self, name: str, *, seconds: float, tokens: int) -> None:
        """Learn from an answer that was whole."""
        state = self.state(name)
        state.failures = 0
        state.ejections = 0
        state.service_s += EWMA_SHARE * (seconds - state.service_s)
        if tokens > 0:
            state.token_s += EWMA_SHARE * (seconds / tokens - state.token_s)

    def failed(self, name: str, now: float) -> None:
        """Count a failure; several in a row eject the upstream."""
        state = self.state(name)
        state.failures += 1
        if state.failures < FAILURES_TO_EJECT or now < state.ejected_until:
            return
        pause = min(MAX_EJECT_S, EJECT_S * 2**state.ejections)
        state.ejections += 1
        state.failures = 0
        state.ejected_until = now + pause
        note = commands.LogEvent(events.Event.UPSTREAM_EJECTED, upstream=name, seconds=pause)
        self.outbox.append(note)

    def hear(self, load: peers.LoadReport, now: float) -> bool:
        """Take in a load report; return whether it was news.

        A report with sequence 0 is the instance list's word that the upstream leaves; reports of
        the upstream itself don't take that back.
        """
        state = self.state(load.upstream)
        old = state.report
        if load.sequence == 0:
            state.leaving_until = now + LEAVING_LIFETIME_S
            return False
        if old is not None and load.sequence <= old.load.sequence:
            return False
        state.report = Report(load, now - load.age_ms / 1000, own=state.outstanding)
        if load.leaving and not (old is not None and old.load.leaving):
            note = commands.LogEvent(events.Event.UPSTREAM_LEAVING, upstream=load.upstream)
            self.outbox.append(note)
            self.announce_at = [now + pause for pause in ANNOUNCE_PAUSES_S]
        return True

    def announces(self, now: float) -> bool:
        """Return whether the region is to be told now that an upstream leaves."""
        due = [at for at in self.announce_at if at <= now]
        self.announce_at = self.announce_at[len(due) :]
        return bool(due)

    def reports(self, now: float, names: typing.Iterable[str]) -> list[peers.LoadReport]:
        """Return the fresh load reports of some upstreams, with their ages."""
        states = ((name, self.replicas.get(name)) for name in names)
        return [
            _aged(state.report, now)
            for _, state in states
            if state is not None
            and state.report is not None
            and now - state.report.taken_at < REPORT_LIFETIME_S
        ]


def _aged(report: Report, now: float) -> peers.LoadReport:
    load = report.load
    return peers.LoadReport(
        upstream=load.upstream,
        running=load.running,
        waiting=load.waiting,
        sequence=load.sequence,
        leaving=load.leaving,
        age_ms=max(0, int((now - report.taken_at) * 1000)),
    )
