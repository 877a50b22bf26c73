"""Divides the request rates that upstreams name among the instances of the region.

An upstream in need says in its answers how many requests a second it takes from all instances
together. Each instance that may send to it earns tokens at an even share of that rate. A rate of
less than MIN_SHARE_PER_S an instance is divided among few of them, which rendezvous hashing picks,
so that what all together may save up stays within a second of the rate.
"""

from __future__ import annotations

import heapq
import math
import typing

from yuccahitch import events
from yuccahitch.controllers.members import rendezvous
from yuccahitch.messages import commands, pulses, upstream_notices

# Least share of a rate that an instance gets, in requests a second.
MIN_SHARE_PER_S = 1.0
# An upstream that names a lower rate gets so many requests a second, as only an answer of it can
# tell that the limit has ended.
MIN_RATE_PER_S = 0.25
# Time for which unused tokens are saved, in seconds; one token always is.
BURST_S = 1.0
# Age up to which an own answer is reported to the other instances, in seconds.
REPORT_FOR_S = 2.0
# Upstreams in a report at most; the ones that answered last are taken.
MAX_REPORTED = 16
# Shortest time between two log events about one upstream, in seconds.
LOG_INTERVAL_S = 1.0
# Time after which a limit that goes on is logged again, in seconds.
LOG_REPEAT_S = 5.0


class NamedLimit:
    """The limit of one incarnation of an upstream.

    Attributes:
        requests_per_s: Requests a second that the upstream takes from all instances together;
            infinite once it names no limit any more.
        heard_at: When the newest answer that said so arrived at any instance, in monotonic
            seconds.
        answered_at: When the newest answer arrived at this instance, in monotonic seconds.
        tokens: Requests that this instance may send now; below 1 none.
        sharers: Ids of the instances among which the limit was last divided.
        shared_rate_per_s: The limit that was divided then, in requests a second.
        share_per_s: Part of this instance then, in requests a second.
        refilled_at: When tokens were last added, in monotonic seconds.
        logged_requests_per_s: The limit that was logged last; infinite before that.
        logged_at: When it was logged, in monotonic seconds.
        sent: Requests that this instance sent since then.
    """

    __slots__ = (
        "requests_per_s",
        "heard_at",
        "answered_at",
        "tokens",
        "sharers",
        "shared_rate_per_s",
        "share_per_s",
        "refilled_at",
        "logged_requests_per_s",
        "logged_at",
        "sent",
    )

    def __init__(self) -> None:
        self.requests_per_s = upstream_notices.UNLIMITED
        self.heard_at = -math.inf
        self.answered_at = -math.inf
        self.tokens = 0.0
        self.sharers: list[str] = []
        self.shared_rate_per_s = upstream_notices.UNLIMITED
        self.share_per_s = 0.0
        self.refilled_at = math.inf
        self.logged_requests_per_s = upstream_notices.UNLIMITED
        self.logged_at = -math.inf
        self.sent = 0

    def is_in_force(self) -> bool:
        """Return whether the upstream names a limit at present."""
        return self.requests_per_s < upstream_notices.UNLIMITED

    def refill(self, share_per_s: float, now: float) -> None:
        """Add the tokens earned since the last call; without a share there are none."""
        elapsed_s = max(0.0, now - self.refilled_at)
        most = max(1.0, share_per_s * BURST_S) if share_per_s > 0 else 0.0
        self.tokens = min(most, self.tokens + elapsed_s * share_per_s)
        self.refilled_at = now


class UpstreamLimits:
    """Keeps the limits that upstreams name, and this instance's part of each.

    Args:
        instance: Id of this instance.

    Attributes:
        by_incarnation: Limits by the incarnation of the upstream.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = ("instance", "by_incarnation", "outbox")

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.by_incarnation: dict[str, NamedLimit] = {}
        self.outbox: list[commands.Command] = []

    def record_answer(self, incarnation: str, requests_per_s: float, now: float) -> None:
        """Record what an answer to this instance said of the limit; infinite means none."""
        self._record(incarnation, requests_per_s, now)
        limit = self.by_incarnation.get(incarnation)
        if limit is not None:
            limit.answered_at = now

    def merge(self, report: typing.Iterable[pulses.UpstreamLimit], now: float) -> None:
        """Record what answers to another instance said of limits."""
        for entry in report:
            self._record(entry.incarnation, entry.requests_per_s, now - entry.age_s)

    def report(self, now: float) -> list[pulses.UpstreamLimit]:
        """Return what recent answers to this instance said of limits."""
        recent = [
            (limit.answered_at, incarnation)
            for incarnation, limit in self.by_incarnation.items()
            if now - limit.answered_at <= REPORT_FOR_S
        ]
        return [
            pulses.UpstreamLimit(
                incarnation,
                requests_per_s=self.by_incarnation[incarnation].requests_per_s,
                age_s=now - answered_at,
            )
            for answered_at, incarnation in heapq.nlargest(MAX_REPORTED, recent)
        ]

    def wait_s(self, incarnation: str, instances: list[str], now: float) -> float:
        """Return the time until this instance may send an upstream a request, in seconds.

        It is infinite if the instance has no part of the rate.

        Args:
            incarnation: Incarnation of the upstream.
            instances: Ids of the instances that share its rate, this one included if it does.
            now: Monotonic seconds.
        """
        limit = self.by_incarnation.get(incarnation)
        if limit is None or not limit.is_in_force():
            return 0.0
        share_per_s = self._share(incarnation, limit, instances)
        limit.refill(share_per_s, now)
        if limit.tokens >= 1.0:
            return 0.0
        return (1.0 - limit.tokens) / share_per_s if share_per_s > 0 else math.inf

    def rate(self, incarnation: str) -> float:
        """Return the requests a second that an upstream takes; infinite without a limit."""
        limit = self.by_incarnation.get(incarnation)
        return upstream_notices.UNLIMITED if limit is None else limit.requests_per_s

    def count_in_force(self) -> int:
        """Return the number of upstreams that name a limit at present."""
        return sum(limit.is_in_force() for limit in self.by_incarnation.values())

    def record_dispatch(self, incarnation: str) -> None:
        """Count a request that is sent to an upstream."""
        limit = self.by_incarnation.get(incarnation)
        if limit is not None:
            limit.sent += 1
            limit.tokens = max(0.0, limit.tokens - 1.0)

    def keep(self, incarnations: typing.Container[str]) -> None:
        """Forget the limits of all other incarnations."""
        for incarnation in [name for name in self.by_incarnation if name not in incarnations]:
            del self.by_incarnation[incarnation]

    def tick(self, now: float) -> None:
        """Log the limits that have changed or go on."""
        for incarnation, limit in self.by_incarnation.items():
            is_new = limit.requests_per_s != limit.logged_requests_per_s
            logged_before_s = now - limit.logged_at
            if (is_new and logged_before_s >= LOG_INTERVAL_S) or (
                limit.is_in_force() and logged_before_s >= LOG_REPEAT_S
            ):
                self._log(incarnation, limit, now)

    def _record(self, incarnation: str, requests_per_s: float, heard_at: float) -> None:
        """Record a limit, unless a newer answer is known."""
        limit = self.by_incarnation.get(incarnation)
        if limit is None:
            if requests_per_s == upstream_notices.UNLIMITED:
                return
            limit = self.by_incarnation[incarnation] = NamedLimit()
        if heard_at >= limit.heard_at:
            limit.heard_at = heard_at
            limit.requests_per_s = requests_per_s

    def _share(self, incarnation: str, limit: NamedLimit, instances: list[str]) -> float:
        """Return this instance's part of a limit, in requests a second."""
        if limit.shared_rate_per_s == limit.requests_per_s and limit.sharers == instances:
            return limit.share_per_s
        rate_per_s = max(MIN_RATE_PER_S, limit.requests_per_s)
        count = min(len(instances), max(1, int(rate_per_s / MIN_SHARE_PER_S)))
        holders = instances
        if count < len(instances):
            holders = rendezvous.ranked(incarnation, instances)[:count]
        limit.sharers = instances
        limit.shared_rate_per_s = limit.requests_per_s
        limit.share_per_s = rate_per_s / count if self.instance in holders else 0.0
        return limit.share_per_s

    def _log(self, incarnation: str, limit: NamedLimit, now: float) -> None:
        """Log a limit and what this instance has sent since it was last logged."""
        log_event = commands.LogEvent(
            (
                events.Event.UPSTREAM_LIMITED
                if limit.is_in_force()
                else events.Event.UPSTREAM_UNLIMITED
            ),
            upstream=incarnation,
            requests_per_s=limit.requests_per_s if limit.is_in_force() else None,
            heard_before_s=round(now - limit.heard_at, 3),
            sent=limit.sent,
            since_s=round(now - limit.logged_at, 3) if limit.logged_at > -math.inf else None,
        )
        self.outbox.append(log_event)
        limit.logged_requests_per_s = limit.requests_per_s
        limit.logged_at = now
        limit.sent = 0
