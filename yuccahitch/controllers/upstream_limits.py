"""The request rates that upstreams named in their answers."""

from __future__ import annotations

import math
import typing

from yuccahitch import events
from yuccahitch.messages import commands, upstream_notices

# Shortest time between two log events about one upstream, in seconds.
LOG_INTERVAL_S = 1.0
# Time after which a limit that goes on is logged again, in seconds.
LOG_REPEAT_S = 5.0


class NamedLimit:
    """The limit of one incarnation of an upstream.

    Attributes:
        requests_per_s: Requests a second that the upstream takes from all instances together;
            infinite once it names no limit any more.
        heard_at: When the newest answer that said so arrived, in monotonic seconds.
        logged_requests_per_s: The limit that was logged last; infinite before that.
        logged_at: When it was logged, in monotonic seconds.
        sent: Requests that this instance sent since then.
    """

    __slots__ = ("requests_per_s", "heard_at", "logged_requests_per_s", "logged_at", "sent")

    def __init__(self) -> None:
        self.requests_per_s = upstream_notices.UNLIMITED
        self.heard_at = -math.inf
        self.logged_requests_per_s = upstream_notices.UNLIMITED
        self.logged_at = -math.inf
        self.sent = 0


class UpstreamLimits:
    """Keeps the limits that upstreams name.

    Attributes:
        by_incarnation: Limits by the incarnation of the upstream.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = ("by_incarnation", "outbox")

    def __init__(self) -> None:
        self.by_incarnation: dict[str, NamedLimit] = {}
        self.outbox: list[commands.Command] = []

    def record(self, incarnation: str, requests_per_s: float, heard_at: float) -> None:
        """Record what an answer said of the limit, unless a newer answer is known.

        Args:
            incarnation: Incarnation of the upstream.
            requests_per_s: The limit; infinite if the answer named none.
            heard_at: When the answer arrived, in monotonic seconds.
        """
        limit = self.by_incarnation.get(incarnation)
        if limit is None:
            if requests_per_s == upstream_notices.UNLIMITED:
                return
            limit = self.by_incarnation[incarnation] = NamedLimit()
        if heard_at >= limit.heard_at:
            limit.heard_at = heard_at
            limit.requests_per_s = requests_per_s

    def record_dispatch(self, incarnation: str) -> None:
        """Count a request that is sent to an upstream."""
        limit = self.by_incarnation.get(incarnation)
        if limit is not None:
            limit.sent += 1

    def keep(self, incarnations: typing.Container[str]) -> None:
        """Forget the limits of all other incarnations."""
        for incarnation in [name for name in self.by_incarnation if name not in incarnations]:
            del self.by_incarnation[incarnation]

    def tick(self, now: float) -> None:
        """Log the limits that have changed or go on."""
        for incarnation, limit in self.by_incarnation.items():
            is_new = limit.requests_per_s != limit.logged_requests_per_s
            goes_on = limit.requests_per_s < upstream_notices.UNLIMITED
            logged_before_s = now - limit.logged_at
            if (is_new and logged_before_s >= LOG_INTERVAL_S) or (
                goes_on and logged_before_s >= LOG_REPEAT_S
            ):
                self._log(incarnation, limit, now)

    def _log(self, incarnation: str, limit: NamedLimit, now: float) -> None:
        """Log a limit and what this instance has sent since it was last logged."""
        is_limited = limit.requests_per_s < upstream_notices.UNLIMITED
        log_event = commands.LogEvent(
            events.Event.UPSTREAM_LIMITED if is_limited else events.Event.UPSTREAM_UNLIMITED,
            upstream=incarnation,
            requests_per_s=limit.requests_per_s if is_limited else None,
            heard_before_s=round(now - limit.heard_at, 3),
            sent=limit.sent,
            since_s=round(now - limit.logged_at, 3) if limit.logged_at > -math.inf else None,
        )
        self.outbox.append(log_event)
        limit.logged_requests_per_s = limit.requests_per_s
        limit.logged_at = now
        limit.sent = 0
