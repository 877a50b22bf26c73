"""Finds poison requests: requests that crash the upstreams that run them."""

from __future__ import annotations

from yuccahitch import events, records
from yuccahitch.messages import commands, peers

# Fingerprints that are remembered; the oldest one is dropped for a new one.
MAX_SUSPECTS = 4096
# Crash reports that a message to a peer carries at most.
MAX_REPORTS = 16


class Suspect(records.Record):
    """The upstreams that crashed on requests with one fingerprint.

    Attributes:
        upstreams: Names of the upstreams.
        expires_at: When the fingerprint is dropped, in monotonic seconds.
    """

    __slots__ = ("upstreams", "expires_at")

    def __init__(self, expires_at: float) -> None:
        self.upstreams: set[str] = set()
        self.expires_at = expires_at


class Suspects:
    """Records which requests were running at upstreams that crashed.

    Args:
        crash_limit: Number of distinct upstreams from which a request that crashed them is refused.
        memory_s: Time for which a fingerprint is kept after it crashed one more upstream, in
            seconds.

    Attributes:
        by_fingerprint: Suspects by the fingerprint of the request.
        announcement_due: Whether a poison request was found that the peers have to be told of at
            once. The sender of the message clears it.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = ("crash_limit", "memory_s", "by_fingerprint", "announcement_due", "outbox")

    def __init__(self, *, crash_limit: int = 2, memory_s: float = 600.0) -> None:
        self.crash_limit = crash_limit
        self.memory_s = memory_s
        self.by_fingerprint: dict[str, Suspect] = {}
        self.announcement_due = False
        self.outbox: list[commands.Command] = []

    def record_crash(self, fingerprint: str, upstream: str, now: float) -> None:
        """Record that an upstream crashed while it ran a request."""
        self._add(fingerprint, upstream, now + self.memory_s)

    def refusal_left_s(self, fingerprint: str, now: float) -> float:
        """Return for how many more seconds a request is refused; 0 if it may run."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None or now >= suspect.expires_at:
            return 0.0
        return suspect.expires_at - now if len(suspect.upstreams) >= self.crash_limit else 0.0

    def record_report(self, reports: list[peers.SuspectRequest], now: float) -> None:
        """Record the crashes that a peer reports."""
        for report in reports:
            remaining_s = min(report.left_ms / 1000, self.memory_s)
            self._add(report.fingerprint, report.upstream, now + remaining_s)

    def newest_reports(self, now: float) -> list[peers.SuspectRequest]:
        """Return the crashes to report to peers, the newest fingerprints first."""
        newest = list(self.by_fingerprint.items())[-MAX_REPORTS:][::-1]
        crashes = [
            (name, upstream, suspect.expires_at)
            for name, suspect in newest
            for upstream in sorted(suspect.upstreams)
            if suspect.expires_at > now
        ]
        return [
            peers.SuspectRequest(
                fingerprint=name, upstream=upstream, left_ms=int((expires_at - now) * 1000)
            )
            for name, upstream, expires_at in crashes[:MAX_REPORTS]
        ]

    def expire(self, now: float) -> None:
        """Drop the fingerprints whose time is up."""
        for name in [n for n, suspect in self.by_fingerprint.items() if now >= suspect.expires_at]:
            del self.by_fingerprint[name]

    def _add(self, fingerprint: str, upstream: str, expires_at: float) -> None:
        """Add an upstream to a fingerprint, and log the fingerprint once it reaches the limit."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None:
            while len(self.by_fingerprint) >= MAX_SUSPECTS:
                del self.by_fingerprint[next(iter(self.by_fingerprint))]
            suspect = self.by_fingerprint[fingerprint] = Suspect(expires_at)
        if upstream in suspect.upstreams:
            return
        suspect.upstreams.add(upstream)
        suspect.expires_at = max(suspect.expires_at, expires_at)
        if len(suspect.upstreams) == self.crash_limit:
            self.announcement_due = True
            log_event = commands.LogEvent(
                events.Event.POISON_FOUND,
                fingerprint=fingerprint,
                upstreams=sorted(suspect.upstreams),
            )
            self.outbox.append(log_event)
