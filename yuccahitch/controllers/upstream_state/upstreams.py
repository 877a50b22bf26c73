"""State of each upstream as this instance knows it: load, health and this instance's requests."""

from __future__ import annotations

import math
import typing

from yuccahitch import events, records
from yuccahitch.controllers.placement import rules as policy
from yuccahitch.messages import commands, peers, upstream_notices
from yuccahitch.resources import upstream

FAILURES_TO_EJECT = 3
# The first ejection lasts this long; each further one without a success lasts twice as long.
MIN_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
REPORT_LIFETIME_S = 10.0
LEAVING_NOTICE_LIFETIME_S = 30.0
# Time for which an answer that says that its upstream is leaving counts; load reports say so later.
LEAVING_ANSWER_LIFETIME_S = 10.0
# Speed at which an upstream reads the part of a prompt that is not in its cache.
PREFILL_TOKENS_PER_S = 8000.0
INITIAL_TOKEN_S = 0.03
# Weight of the newest value in the exponentially weighted moving averages.
EWMA_WEIGHT = 0.2


# A regular heartbeat reaches one instance at a time and can be lost, so a leaving upstream is
# announced to all instances of the region, three times.
ANNOUNCE_DELAYS_S = (0.0, 0.7, 1.4)


class LoadReport(records.Record):
    """The newest load report of an upstream.

    Attributes:
        load: The report as it was received.
        measured_at: When the upstream was measured, in monotonic seconds of this instance.
        other_requests: Requests in the report that other instances sent.
        forwarded_since: Requests that this instance forwarded to the upstream's region since.
    """

    __slots__ = ("load", "measured_at", "other_requests", "forwarded_since")

    def __init__(self, load: peers.LoadReport, measured_at: float, *, own_requests: int) -> None:
        self.load = load
        self.measured_at = measured_at
        self.other_requests = max(0, load.running + load.waiting - own_requests)
        self.forwarded_since = 0


class UpstreamState:
    """State of one upstream.

    Attributes:
        outstanding: Requests that this instance sent to the upstream and that have not ended.
        long_outstanding: The long ones among them.
        report: The newest load report of the upstream, or None.
        failures: Consecutive failures since the last success or ejection.
        ejections: Ejections since the last success.
        ejected_until: End of the last ejection, in monotonic seconds.
        leaving_notice_until: When the instance list's notice that the upstream is leaving expires,
            in monotonic seconds.
        paused_until: Until when the upstream wants no requests of this instance, in monotonic
            seconds.
        mean_request_s: Moving average of the duration of a request, in seconds.
        mean_token_s: Moving average of the duration per output token, in seconds.
    """

    __slots__ = (
        "outstanding",
        "long_outstanding",
        "report",
        "failures",
        "ejections",
        "ejected_until",
        "leaving_notice_until",
        "paused_until",
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
        self.paused_until = -math.inf
        self.mean_request_s = 1.0
        self.mean_token_s = INITIAL_TOKEN_S


class UpstreamStates:
    """Keeps the state of all upstreams.

    Args:
        region: Region of this instance.
        rules: Placement rules in force.

    Attributes:
        by_name: State by name of the upstream.
        announce_times: When the region's instances are to be told that an upstream is leaving, in
            monotonic seconds, ascending.
    """

    __slots__ = ("region", "rules", "by_name", "announce_times", "outbox")

    def __init__(self, region: str, *, rules: policy.Rules | None = None) -> None:
        self.region = region
        self.rules = rules or policy.Rules()
        self.by_name: dict[str, UpstreamState] = {}
        self.announce_times: list[float] = []
        self.outbox: list[commands.Command] = []

    def state(self, name: str) -> UpstreamState:
        """Return the state of an upstream; creates it on first use."""
        existing = self.by_name.get(name)
        if existing is None:
            existing = self.by_name[name] = UpstreamState()
        return existing

    def is_usable(self, spec: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream may get new requests."""
        return self.is_open(spec, now) and not self.is_ejected(spec, now)

    def is_open(self, spec: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream takes new requests: not leaving, and no pause asked for."""
        return not self.is_leaving(spec, now) and not self.is_paused(spec, now)

    def is_leaving(self, spec: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream is leaving and gets no new requests."""
        state = self.state(spec.name)
        reported_leaving = state.report is not None and state.report.load.leaving
        return spec.leaving or reported_leaving or now < state.leaving_notice_until

    def is_paused(self, spec: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream asked for a pause that is not over."""
        return now < self.state(spec.name).paused_until

    def is_ejected(self, spec: upstream.Upstream, now: float) -> bool:
        """Return whether an upstream gets no requests for a while because it failed."""
        return self.rules.ejection and now < self.state(spec.name).ejected_until

    def occupancy(self, spec: upstream.Upstream, now: float) -> float:
        """Return the estimated number of requests that an upstream runs or queues.

        Without a recent load report, these are the requests of this instance alone.
        """
        state = self.state(spec.name)
        report = state.report
        is_outdated = report is None or now - report.measured_at > REPORT_LIFETIME_S
        if is_outdated or not self.rules.reports:
            return float(state.outstanding)
        return float(state.outstanding + report.other_requests + report.forwarded_since)

    def record_sent(self, name: str, *, is_long: bool) -> None:
        """Count a request that was dispatched to an upstream."""
        state = self.state(name)
        state.outstanding += 1
        state.long_outstanding += is_long

    def record_forwarded(self, name: str) -> None:
        """Count a request forwarded to the upstream's region, until its next load report."""
        report = self.state(name).report
        if report is not None:
            report.forwarded_since += 1

    def record_ended(self, name: str, *, is_long: bool) -> None:
        """Remove a request that has ended from the outstanding ones."""
        state = self.state(name)
        state.outstanding -= 1
        state.long_outstanding -= is_long

    def record_success(self, name: str, *, seconds: float, tokens: int) -> None:
        """Record a complete answer: reset the failure counts and update the averages.

        Args:
            name: Name of the upstream.
            seconds: Duration of the request.
            tokens: Output tokens of the answer; 0 if they were not counted.
        """
        state = self.state(name)
        state.failures = 0
        state.ejections = 0
        state.mean_request_s += EWMA_WEIGHT * (seconds - state.mean_request_s)
        if tokens > 0:
            state.mean_token_s += EWMA_WEIGHT * (seconds / tokens - state.mean_token_s)

    def record_failure(self, name: str, now: float) -> None:
        """Record a failure; ``FAILURES_TO_EJECT`` consecutive ones eject the upstream."""
        state = self.state(name)
        state.failures += 1
        if state.failures < FAILURES_TO_EJECT or now < state.ejected_until:
            return
        ejection_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**state.ejections)
        state.ejections += 1
        state.failures = 0
        state.ejected_until = now + ejection_s
        log_event = commands.LogEvent(
            events.Event.UPSTREAM_EJECTED, upstream=name, seconds=ejection_s
        )
        self.outbox.append(log_event)

    def record_report(self, load: peers.LoadReport, now: float) -> bool:
        """Record a load report; return whether it replaced an older one.

        A report with sequence 0 is a notice from the instance list that the upstream is leaving;
        reports of the upstream itself don't revoke it.
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
            log_event = commands.LogEvent(events.Event.UPSTREAM_LEAVING, upstream=load.upstream)
            self.outbox.append(log_event)
            self.announce_times = [now + delay_s for delay_s in ANNOUNCE_DELAYS_S]
        return True

    def report_age_s(self, name: str, now: float) -> float:
        """Return the age of an upstream's newest load report, in seconds; infinite without one."""
        state = self.by_name.get(name)
        if state is None or state.report is None:
            return math.inf
        return max(0.0, now - state.report.measured_at)

    def record_notice(self, notice: upstream_notices.UpstreamNotice, now: float) -> None:
        """Record what an answer said of its upstream."""
        state = self.state(notice.upstream)
        if notice.leaving:
            if now >= state.leaving_notice_until:
                log_event = commands.LogEvent(
                    events.Event.UPSTREAM_LEAVING, upstream=notice.upstream
                )
                self.outbox.append(log_event)
            until = now + LEAVING_ANSWER_LIFETIME_S
            state.leaving_notice_until = max(state.leaving_notice_until, until)
        if notice.pause_s > 0:
            if now >= state.paused_until:
                log_event = commands.LogEvent(
                    events.Event.UPSTREAM_PAUSED, upstream=notice.upstream, seconds=notice.pause_s
                )
                self.outbox.append(log_event)
            state.paused_until = max(state.paused_until, now + notice.pause_s)

    def is_announcement_due(self, now: float) -> bool:
        """Return whether the region must be told now that an upstream is leaving.

        The announcement times up to ``now`` are removed.
        """
        due_times = [time for time in self.announce_times if time <= now]
        self.announce_times = self.announce_times[len(due_times) :]
        return bool(due_times)

    def fresh_reports(self, now: float, names: typing.Iterable[str]) -> list[peers.LoadReport]:
        """Return the recent load reports of the named upstreams, with their current ages."""
        states = ((name, self.by_name.get(name)) for name in names)
        return [
            _with_current_age(state.report, now)
            for _, state in states
            if state is not None
            and state.report is not None
            and now - state.report.measured_at < REPORT_LIFETIME_S
        ]


def _with_current_age(report: LoadReport, now: float) -> peers.LoadReport:
    """Return a copy of a load report whose age is counted up to ``now``."""
    load = report.load
    return peers.LoadReport(
        upstream=load.upstream,
        running=load.running,
        waiting=load.waiting,
        sequence=load.sequence,
        leaving=load.leaving,
        age_ms=max(0, int((now - report.measured_at) * 1000)),
    )
