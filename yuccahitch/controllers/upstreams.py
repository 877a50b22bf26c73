"""What this instance knows of each upstream: its load, its health and its own requests there."""

from __future__ import annotations

import math
import typing

from yuccahitch import events, records
from yuccahitch.controllers import rules as policy
from yuccahitch.messages import commands, peers
from yuccahitch.resources import upstream

FAILURES_TO_EJECT = 3
MIN_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
REPORT_LIFETIME_S = 10.0
LEAVING_NOTICE_LIFETIME_S = 30.0
PREFILL_TOKENS_PER_S = 8000.0
INITIAL_TOKEN_S = 0.03
EWMA_WEIGHT = 0.2


# Heartbeats reach one instance at a time, and a message can be lost: all are told, three times.
ANNOUNCE_DELAYS_S = (0.0, 0.7, 1.4)


class LoadReport(records.Record):
    """The newest load report of an upstream.

    Attributes:
        load: The report.
        measured_at: When it was taken, in monotonic seconds.
        other_requests: Requests in it that are not this instance's.
        forwarded_since: Requests that this instance forwarded to its region since.
    """

    __slots__ = ("load", "measured_at", "other_requests", "forwarded_since")

    def __init__(self, load: peers.Load, measured_at: float, *, own_requests: int) -> None:
        self.load = load
        self.measured_at = measured_at
        self.other_requests = max(0, load.running + load.waiting - own_requests)
        self.forwarded_since = 0


class UpstreamState:
    """One upstream as this instance sees it.

    Attributes:
        outstanding: Requests of this instance that it works on.
        long_outstanding: Those of them that are long.
        report: Its newest load report, or None.
        failures: Failures in a row.
        ejections: Times it was ejected since it last succeeded.
        ejected_until: When it gets work again, in monotonic seconds.
        leaving_notice_until: Until when the instance list's word that it leaves holds.
        mean_request_s: Mean time of a request there, in seconds.
        mean_token_s: Mean time for each token of a request there, in seconds.
    """

    __slots__ = (
        "outstanding",
        "long_outstanding",
        "report",
        "failures",
        "ejections",
        "ejected_until",
        "leaving_notice_until",
        "mean_request_s",
        "mean_token_s",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.long_outstanding = 0
        self.report: LoadReport | None = None
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf
        self.leaving_notice_until = -math.inf
        self.mean_request_s = 1.0
        self.mean_token_s = INITIAL_TOKEN_S


class UpstreamStates:
    """Keeps the state of the upstreams.

    Args:
        region: Region of this instance.
        rules: Rules in force.

    Attributes:
        announce_times: When peers are told that an upstream leaves, in monotonic seconds.
    """

    __slots__ = ("region", "rules", "by_name", "announce_times", "outbox")

    def __init__(self, region: str, *, rules: policy.Rules | None = None) -> None:
        self.region = region
        self.rules = rules or policy.Rules()
        self.by_name: dict[str, UpstreamState] = {}
        self.announce_times: list[float] = []
        self.outbox: list[commands.Command] = []

    def state(self, name: str) -> UpstreamState:
        """Return the state of an upstream."""
        existing = self.by_name.get(name)
        if existing is None:
            existing = self.by_name[name] = UpstreamState()
        return existing

    def drop_unlisted(self, names: typing.Container[str]) -> None:
        """Drop the state of upstreams that are not among the given ones and hold no work."""
        idle_names = [
            known_name
            for known_name, known_state in self.by_name.items()
            if known_name not in names and not known_state.outstanding
        ]
        for name in idle_names:
            del self.by_name[name]

    def is_usable(self, spec: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream may get new work."""
        return not self.is_leaving(spec, now) and not self.is_ejected(spec, now)

    def is_leaving(self, spec: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream gets no new work as it leaves."""
        state = self.state(spec.name)
        reported_leaving = state.report is not None and state.report.load.leaving
        return spec.leaving or reported_leaving or now < state.leaving_notice_until

    def is_ejected(self, spec: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream gets no work for a while as it failed."""
        return self.rules.ejection and now < self.state(spec.name).ejected_until

    def occupancy(self, spec: upstream.Upstream, now: float) -> float:
        """Return the requests that an upstream works on or queues, as far as is known."""
        state = self.state(spec.name)
        report = state.report
        is_outdated = report is None or now - report.measured_at > REPORT_LIFETIME_S
        if is_outdated or not self.rules.reports:
            return float(state.outstanding)
        return float(state.outstanding + report.other_requests + report.forwarded_since)

    def record_sent(self, name: str, *, is_long: bool) -> None:
        """Count a request sent to an upstream."""
        state = self.state(name)
        state.outstanding += 1
        state.long_outstanding += is_long

    def record_forwarded(self, name: str) -> None:
        """Count a request sent to the region of an upstream until its next load report."""
        report = self.state(name).report
        if report is not None:
            report.forwarded_since += 1

    def record_ended(self, name: str, *, is_long: bool) -> None:
        """Count a request that is over."""
        state = self.state(name)
        state.outstanding -= 1
        state.long_outstanding -= is_long

    def record_success(self, name: str, *, seconds: float, tokens: int) -> None:
        """Learn from an answer that was whole."""
        state = self.state(name)
        state.failures = 0
        state.ejections = 0
        state.mean_request_s += EWMA_WEIGHT * (seconds - state.mean_request_s)
        if tokens > 0:
            state.mean_token_s += EWMA_WEIGHT * (seconds / tokens - state.mean_token_s)

    def record_failure(self, name: str, now: float) -> None:
        """Count a failure; several in a row eject the upstream."""
        state = self.state(name)
        state.failures += 1
        if state.failures < FAILURES_TO_EJECT or now < state.ejected_until:
            return
        ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**state.ejections)
        state.ejections += 1
        state.failures = 0
        state.ejected_until = now + ejection_s
        log_event = commands.Note(events.Event.UPSTREAM_EJECTED, upstream=name, seconds=ejection_s)
        self.outbox.append(log_event)

    def record_report(self, load: peers.Load, now: float) -> bool:
        """Take in a load report; return whether it was news.

        A report with sequence 0 is the instance list's word that the upstream leaves; reports of
        the upstream itself don't take that back.
        """
        state = self.state(load.upstream)
        previous = state.report
        if load.sequence == 0:
            state.leaving_notice_until = now + LEAVING_NOTICE_LIFETIME_S
            return False
        if previous is not None and load.sequence <= previous.load.sequence:
            return False
        state.report = LoadReport(load, now - load.age_ms / 1000, own_requests=state.outstanding)
        if load.leaving and not (previous is not None and previous.load.leaving):
            log_event = commands.Note(events.Event.UPSTREAM_LEAVING, upstream=load.upstream)
            self.outbox.append(log_event)
            self.announce_times = [now + delay_s for delay_s in ANNOUNCE_DELAYS_S]
        return True

    def is_announcement_due(self, now: float) -> bool:
        """Return whether the region is to be told now that an upstream leaves."""
        due_times = [time for time in self.announce_times if time <= now]
        self.announce_times = self.announce_times[len(due_times) :]
        return bool(due_times)

    def fresh_reports(self, now: float, names: typing.Iterable[str]) -> list[peers.Load]:
        """Return the fresh load reports of some upstreams, with their ages."""
        states = ((name, self.by_name.get(name)) for name in names)
        return [
            _with_current_age(state.report, now)
            for _, state in states
            if state is not None
            and state.report is not None
            and now - state.report.measured_at < REPORT_LIFETIME_S
        ]


def _with_current_age(report: LoadReport, now: float) -> peers.Load:
    load = report.load
    return peers.Load(
        upstream=load.upstream,
        running=load.running,
        waiting=load.waiting,
        sequence=load.sequence,
        leaving=load.leaving,
        age_ms=max(0, int((now - report.measured_at) * 1000)),
    )
