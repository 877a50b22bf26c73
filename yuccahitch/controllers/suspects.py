"""Requests that crash the upstreams that run them."""

from __future__ import annotations

from yuccahitch import events, records
from yuccahitch.messages import commands, peers

MAX_SUSPECTS = 4096
PASSED_ON = 16


class Suspect(records.Record):
    """A fingerprint with the upstreams that crashed on it.

    Attributes:
        upstreams: The upstreams.
        until: When it is forgotten, in monotonic seconds.
    """

    __slots__ = ("upstreams", "until")

    def __init__(self, until: float) -> None:
        self.upstreams: set[str] = set()
        self.until = until


class Suspects:
    """Remembers which requests were at upstreams that crashed.

    Args:
        crashes: Distinct upstreams after which a request is refused.
        memory_s: Time for which it is refused, in seconds.

    Attributes:
        announce: Whether peers are to hear at once of a request that crashes upstreams.
    """

    __slots__ = ("crashes", "memory_s", "table", "announce", "outbox")

    def __init__(self, *, crashes: int = 2, memory_s: float = 600.0) -> None:
        self.crashes = crashes
        self.memory_s = memory_s
        self.table: dict[str, Suspect] = {}
        self.announce = False
        self.outbox: list[commands.Command] = []

    def seen(self, fingerprint: str, upstream: str, now: float) -> None:
        """Note that an upstream crashed while it worked on a request."""
        self._add(fingerprint, upstream, now + self.memory_s)

    def refused_for(self, fingerprint: str, now: float) -> float:
        """Return for how many seconds a request is still refused; 0 if it may run."""
        found = self.table.get(fingerprint)
        if found is None or now >= found.until:
            return 0.0
        return found.until - now if len(found.upstreams) >= self.crashes else 0.0

    def hear(self, told: list[peers.SuspectRequest], now: float) -> None:
        """Take in what a peer tells."""
        for item in told:
            left = min(item.left_ms / 1000, self.memory_s)
            self._add(item.fingerprint, item.upstream, now + left)

    def news(self, now: float) -> list[peers.SuspectRequest]:
        """Return what is worth telling peers, the newest first."""
        newest = list(self.table.items())[-PASSED_ON:][::-1]
        pairs = [
            (name, upstream, found.until)
            for name, found in newest
            for upstream in sorted(found.upstreams)
            if found.until > now
        ]
        return [
            peers.SuspectRequest(
                fingerprint=name, upstream=upstream, left_ms=int((until - now) * 1000)
            )
            for name, upstream, until in pairs[:PASSED_ON]
        ]

    def expire(self, now: float) -> None:
        """Forget what is old."""
        for name in [n for n, found in self.table.items() if now >= found.until]:
            del self.table[name]

    def _add(self, fingerprint: str, upstream: str, until: float) -> None:
        found = self.table.get(fingerprint)
        if found is None:
            while len(self.table) >= MAX_SUSPECTS:
                del self.table[next(iter(self.table))]
            found = self.table[fingerprint] = Suspect(until)
        if upstream in found.upstreams:
            return
        found.upstreams.add(upstream)
        found.until = max(found.until, until)
        if len(found.upstreams) == self.crashes:
            self.announce = True
            note = commands.LogEvent(
                events.Event.POISON_FOUND,
                fingerprint=fingerprint,
                upstreams=sorted(found.upstreams),
            )
            self.outbox.append(note)
