"""Refuses requests that crash the upstreams that run them, by what these requests share."""

from __future__ import annotations

import itertools
import math
import typing

from yuccahitch import events
from yuccahitch.controllers.runs import crash_evidence
from yuccahitch.messages import commands, suspects

# Time after a crash within which the other instances tell which of their requests it ended; the
# search for its cause waits for that.
SETTLE_S = 0.8
# Delay of a search after late news, so that several of them come together.
SEARCH_DELAY_S = 0.1
# Time for which an observation of a crash, or a clearance, is reported to the other instances.
REPORT_S = 3.0
# Traits in the crashes of one report, at most. It bounds what instances send each other, however
# often upstreams crash; what is newest goes first.
MAX_REPORTED_TRAITS = 128
# Time between two announcements to all instances at once, in seconds.
ANNOUNCEMENT_PERIOD_S = 1.0
MAX_REFUSALS = 256
# Time for which a request is refused whose crashes may have had a common cause, in seconds. Then it
# is tried again.
TRIAL_AFTER_S = 2.0
# How much later than the first crash an answer must have begun to disprove a refusal. Reports age
# on their way, so the times of two instances differ by that much.
CLEARANCE_MARGIN_S = 0.5


class Refusal:
    """A trait whose requests are refused.

    Attributes:
        since: When the first crash happened that the trait is held responsible for, in monotonic
            seconds.
        expires_at: Until when its requests are refused, in monotonic seconds.
        provisional: Whether the crashes may have had a common cause.
    """

    __slots__ = ("since", "expires_at", "provisional")

    def __init__(self, *, since: float, expires_at: float, provisional: bool = False) -> None:
        self.since = since
        self.expires_at = expires_at
        self.provisional = provisional


class Observation:
    """A request that ran at a crashed upstream, still to be reported to other instances.

    Attributes:
        crash: The crash.
        request: The request.
        until: Until when it is reported, in monotonic seconds.
    """

    __slots__ = ("crash", "request", "until")

    def __init__(
        self, crash: crash_evidence.Crash, request: suspects.SuspectRequest, until: float
    ) -> None:
        self.crash = crash
        self.request = request
        self.until = until


class Suspects:
    """Records which requests were running at upstreams that crashed, and finds the cause.

    Args:
        crash_limit: Number of distinct upstreams from which a trait that crashed them is refused.
        memory_s: Time for which a trait is refused, in seconds; crashes count for half of it.

    Attributes:
        evidence: The crashes, and the traits that requests were answered with.
        refusals: Refused traits, and for ``memory_s`` more those that may be tried again; one
            crash is then enough to refuse them once more.
        observations: Recent observations to report.
        clearances: Traits to report as sound, with the time until which they are.
        explained_until: Traits whose crashes a refused one explains better, with the time until
            which they are not refused because a peer does.
        search_at: When the next search for the cause of crashes is due, in monotonic seconds;
            infinite without news.
        announcement_due: Whether a cause was found that the peers have to be told of at once. The
            sender of the message clears it.
        announced_at: When it was last set, in monotonic seconds.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "crash_limit",
        "memory_s",
        "evidence",
        "refusals",
        "observations",
        "clearances",
        "explained_until",
        "search_at",
        "announcement_due",
        "announced_at",
        "outbox",
    )

    def __init__(self, *, crash_limit: int = 2, memory_s: float = 600.0) -> None:
        self.crash_limit = crash_limit
        self.memory_s = memory_s
        self.evidence = crash_evidence.CrashEvidence(memory_s=memory_s / 2)
        self.refusals: dict[int, Refusal] = {}
        self.observations: list[Observation] = []
        self.clearances: dict[int, float] = {}
        self.explained_until: dict[int, float] = {}
        self.search_at = math.inf
        self.announcement_due = False
        self.announced_at = -math.inf
        self.outbox: list[commands.Command] = []

    def record_crash(
        self, request: suspects.SuspectRequest, upstream: str, now: float
    ) -> crash_evidence.Crash:
        """Record that an upstream crashed while it worked on a request; return the crash."""
        crash = self.evidence.crash_of(upstream, now)
        if crash.add(request):
            self._report_later(crash, request, now)
            self._judge_request(request.request_trait, crash, now)
        return crash

    def record_forwarded_crash(
        self, request: suspects.SuspectRequest, report: suspects.CrashReport, now: float
    ) -> crash_evidence.Crash:
        """Record a crash of an attempt at a request that another instance made; return the crash.

        That instance reports it to the others itself.
        """
        crash = self.evidence.crash_of(report.upstream, now - report.age_ms / 1000)
        crash.add(request)
        self._judge_request(request.request_trait, crash, now)
        return crash

    def record_answer(self, traits: typing.Iterable[int], began_at: float, now: float) -> None:
        """Record that a request with some traits was answered in full."""
        traits = tuple(traits)
        self.evidence.record_answer(traits, began_at)
        for trait in traits:
            if trait in self.refusals:
                self._clear_if_answered(trait, now)

    def refused_trait(self, traits: typing.Iterable[int], now: float) -> int | None:
        """Return the first of some traits that is refused, or None."""
        self.search_if_due(now)
        return next((trait for trait in traits if self.refusal_left_s(trait, now) > 0), None)

    def refusal_left_s(self, trait: int, now: float) -> float:
        """Return for how many more seconds requests with a trait are refused; 0 if they may run."""
        refusal = self.refusals.get(trait)
        return 0.0 if refusal is None else max(0.0, refusal.expires_at - now)

    def _search_by(self, latest: float) -> None:
        """Search for the cause of crashes at a time, if no earlier search is due."""
        self.search_at = min(self.search_at, latest)

    def search_if_due(self, now: float) -> None:
        """Search for the cause of crashes if there is news of one."""
        if now >= self.search_at:
            self.search(now)

    def search(self, now: float) -> None:
        """Refuse each prompt part that explains crashes which no other refused part explains."""
        settled_at = now - SETTLE_S
        unsettled = (crash.at for crash in self.evidence.crashes if crash.at > settled_at)
        self.search_at = min(unsettled, default=math.inf) + SETTLE_S
        while True:
            active = self._active_traits(now)
            cause = self.evidence.likeliest_cause(active, self._crash_limit, settled_at=settled_at)
            if cause is None:
                break
            self._refuse_found(cause.trait, "part", cause.crashes, now, left_s=self.memory_s)
        self._lift_explained(now)

    def record_report(
        self, report: suspects.SuspectReport, now: float, *, pass_on: bool = False
    ) -> None:
        """Record what a peer reports.

        Args:
            report: The report.
            now: Monotonic seconds.
            pass_on: Whether to report news to the peers in turn, as not all of them got it.
        """
        for crash_report in report.crashes:
            crashed_at = now - crash_report.age_ms / 1000
            crash = self.evidence.crash_of(crash_report.upstream, crashed_at)
            for request in filter(crash.add, crash_report.requests):
                self._judge_request(request.request_trait, crash, now)
                if pass_on:
                    self._report_later(crash, request, now)
        for clearance in report.clearances:
            self.evidence.record_answer((clearance.trait,), now - clearance.age_ms / 1000)
            self._clear_if_answered(clearance.trait, now)
        for refusal in report.refusals:
            self._adopt(refusal, now)

    def make_report(self, now: float) -> suspects.SuspectReport:
        """Return the report to the peers."""
        return suspects.SuspectReport(
            crashes=self._reported_crashes(now),
            refusals=[
                suspects.RefusalReport(
                    trait,
                    since_ms=max(0, int((now - refusal.since) * 1000)),
                    left_ms=int((refusal.expires_at - now) * 1000),
                )
                for trait, refusal in self.refusals.items()
                if refusal.expires_at > now
            ],
            clearances=[
                suspects.ClearanceReport(
                    trait, age_ms=max(0, int((now - self.evidence.last_answer(trait)) * 1000))
                )
                for trait in self.clearances
            ],
        )

    def expire(self, now: float) -> None:
        """Drop what is no longer needed; search for the cause of reported crashes."""
        self.evidence.expire(now)
        self.observations = [item for item in self.observations if item.until > now]
        self.clearances = _unexpired(self.clearances, now)
        self.explained_until = _unexpired(self.explained_until, now)
        for trait, refusal in list(self.refusals.items()):
            if now >= refusal.expires_at + self.memory_s:
                del self.refusals[trait]
        self.search_if_due(now)

    def _active_traits(self, now: float) -> set[int]:
        """Return the traits whose requests are refused now."""
        return {trait for trait in self.refusals if self.refusal_left_s(trait, now) > 0}

    def _lift_explained(self, now: float) -> None:
        """Lift the refusal of each trait whose crashes another refused trait explains better."""
        active = self._active_traits(now)
        if len(active) < 2:
            return
        suspicions = self.evidence.suspicions()
        refused_parts = [suspicions[trait] for trait in active if trait in suspicions]
        for weaker, stronger in itertools.permutations(refused_parts, 2):
            if weaker.crashes <= stronger.crashes and weaker.strength() < stronger.strength():
                self._lift(weaker.trait, stronger, now)
        for trait, part in itertools.product(active.difference(suspicions), refused_parts):
            crashes = self.evidence.crashes_of_request(trait)
            if crashes and crashes <= part.crashes:
                self._lift(trait, part, now)

    def _lift(self, trait: int, cause: crash_evidence.Suspicion, now: float) -> None:
        """Lift the refusal of a trait whose crashes are explained by another one."""
        self.explained_until[trait] = now + self.memory_s
        if self.refusals.pop(trait, None) is not None:
            by = f"{cause.trait:016x}"
            self._log(events.Event.POISON_CLEARED, trait, explained_by=by)

    def _crash_limit(self, trait: int) -> int:
        """Return the number of crashes from which a trait is refused."""
        return 1 if trait in self.refusals else self.crash_limit

    def _judge_request(self, trait: int, crash: crash_evidence.Crash, now: float) -> None:
        """Refuse a request that ran at a crash at once if enough upstreams crashed with it."""
        self._search_by(max(now + SEARCH_DELAY_S, crash.at + SETTLE_S))
        crashes = self.evidence.crashes_of_request(trait, self._active_traits(now))
        refuse_s = self._request_refusal_s(trait, crashes)
        if refuse_s > 0 and not self._is_refused_for_long(trait, now):
            self._refuse_found(trait, "request", crashes, now, left_s=refuse_s)

    def _request_refusal_s(self, trait: int, crashes: set[crash_evidence.Crash]) -> float:
        """Return for how long a request is refused that ran at some crashes, in seconds, or 0.

        If they may have had a common cause it is tried again soon, and then one crash decides.
        """
        known = self.refusals.get(trait)
        if known is not None and any(crash.at >= known.expires_at for crash in crashes):
            return self.memory_s
        if crash_evidence.count_upstreams(crashes) < self.crash_limit:
            return 0.0
        if crash_evidence.count_separate(crashes, trait) >= self.crash_limit:
            return self.memory_s
        return TRIAL_AFTER_S if known is None else 0.0

    def _is_refused_for_long(self, trait: int, now: float) -> bool:
        """Return whether a trait is refused now, and not only until it is tried again."""
        known = self.refusals.get(trait)
        return known is not None and known.expires_at > now and not known.provisional

    def _refuse_found(
        self,
        trait: int,
        kind: str,
        crashes: set[crash_evidence.Crash],
        now: float,
        *,
        left_s: float,
    ) -> None:
        """Refuse a trait that was found; who saw one of the crashes tells the peers at once."""
        since = min(crash.at for crash in crashes)
        upstreams = sorted({crash.upstream for crash in crashes})
        self._refuse(trait, since=since, left_s=left_s, now=now)
        seen_here = any(item.crash in crashes for item in self.observations)
        if seen_here and now >= self.announced_at + ANNOUNCEMENT_PERIOD_S:
            self.announcement_due, self.announced_at = True, now
        self._log(events.Event.POISON_FOUND, trait, kind=kind, upstreams=upstreams, seconds=left_s)

    def _refuse(self, trait: int, *, since: float, left_s: float, now: float) -> None:
        while len(self.refusals) >= MAX_REFUSALS:
            del self.refusals[next(iter(self.refusals))]
        self.refusals[trait] = Refusal(
            since=since, expires_at=now + left_s, provisional=left_s <= TRIAL_AFTER_S
        )

    def _adopt(self, report: suspects.RefusalReport, now: float) -> None:
        """Refuse a trait that a peer refuses, unless this instance knows that it was answered.

        A refusal until the next trial is not taken over by an instance that has had one.
        """
        since = now - report.since_ms / 1000
        left_s = min(report.left_ms / 1000, self.memory_s)
        is_news = report.trait not in self.refusals or (
            left_s > TRIAL_AFTER_S and not self._is_refused_for_long(report.trait, now)
        )
        if self.evidence.last_answer(report.trait) > since + CLEARANCE_MARGIN_S:
            self.clearances[report.trait] = now + REPORT_S
        elif is_news and report.trait not in self.explained_until:
            self._search_by(now + SEARCH_DELAY_S)
            self._refuse(report.trait, since=since, left_s=left_s, now=now)
            self._log(
                events.Event.POISON_FOUND,
                report.trait,
                kind="reported",
                upstreams=[],
                seconds=round(left_s, 3),
            )

    def _clear_if_answered(self, trait: int, now: float) -> None:
        """Lift the refusal of a trait if a request with it was answered since the crashes."""
        refusal = self.refusals.get(trait)
        answered_at = self.evidence.last_answer(trait)
        if refusal is None or answered_at <= refusal.since + CLEARANCE_MARGIN_S:
            return
        del self.refusals[trait]
        self.clearances[trait] = now + REPORT_S
        self._search_by(now + SEARCH_DELAY_S)
        self._log(events.Event.POISON_CLEARED, trait, answered_s_ago=round(now - answered_at, 3))

    def _report_later(
        self, crash: crash_evidence.Crash, request: suspects.SuspectRequest, now: float
    ) -> None:
        """Include an observation in the reports of the next seconds."""
        self.observations.append(Observation(crash, request, now + REPORT_S))

    def _reported_crashes(self, now: float) -> list[suspects.CrashReport]:
        """Return the recent observations by crash, the newest first, up to the size limit."""
        reports: dict[crash_evidence.Crash, suspects.CrashReport] = {}
        trait_count = 0
        for item in reversed(self.observations):
            trait_count += 1 + len(item.request.part_traits)
            if trait_count > MAX_REPORTED_TRAITS:
                break
            report = reports.get(item.crash)
            if report is None:
                age_ms = max(0, int((now - item.crash.at) * 1000))
                report = reports[item.crash] = suspects.CrashReport(
                    item.crash.upstream, age_ms=age_ms, requests=[]
                )
            report.requests.append(item.request)
        return list(reports.values())

    def _log(self, event: events.Event, trait: int, **fields: typing.Any) -> None:
        self.outbox.append(commands.LogEvent(event, trait=f"{trait:016x}", **fields))


def _unexpired(expiries: dict[int, float], now: float) -> dict[int, float]:
    """Return the entries whose time has not come."""
    return {trait: until for trait, until in expiries.items() if until > now}
