"""One upstream of the platform as an instance sees it."""

from __future__ import annotations

import math
import typing

from yuccahitch.controllers.upstream_state import engine_memory, slowness
from yuccahitch.resources import upstream

# Prompt parts that are remembered for an upstream; the oldest one is dropped for a new one.
MAX_CACHED_PARTS = 4096


class Replica:
    """One incarnation of an upstream as this instance sees it.

    Attributes:
        upstream: The upstream as its newest entry describes it.
        revision: Revision of the entry in the store.
        removed: Whether the entry was missing for longer than the grace period.
        removal_at: When the grace period of a missing entry ends, in monotonic seconds; infinite
            while the store has the entry.
        lingers_until: Until when the upstream, once it is leaving, may get requests that no other
            one can take, in monotonic seconds; infinite while it is not known to be leaving.
        cold_until: When the upstream stops being cold by its entry, in monotonic seconds.
        warmup_tokens: Token bucket of the requests that this instance may send while the upstream
            is cold; at most 1.
        warmup_updated_at: When warmup_tokens was last refilled, in monotonic seconds.
        running: Requests of this instance that the upstream runs.
        prompt_tokens: Prompt tokens of those requests that have not begun to answer.
        success_rate: Moving average of the requests that did not fail there, from 0 to 1.
        ejected_until: When an ejection for failures ends, in monotonic seconds.
        misdirected: Whether another upstream answered at the address.
        replaced: Whether the upstream is known to have started again, so that its software version
            is not known.
        said_leaving: Whether an answer said that the upstream is shutting down.
        sent_unreadable: Whether an answer held a statement that can't be read.
        paused_until: Until when the upstream wants no requests of this instance, in monotonic
            seconds.
        cached_parts: Ids of the prompt parts that the upstream read for this instance, oldest
            first.
        memory: Counts the tokens that the upstream holds in its memory.
        slowness: How slow the upstream is at each kind of work.
    """

    __slots__ = (
        "upstream",
        "revision",
        "removed",
        "removal_at",
        "lingers_until",
        "cold_until",
        "warmup_tokens",
        "warmup_updated_at",
        "running",
        "prompt_tokens",
        "success_rate",
        "ejected_until",
        "misdirected",
        "replaced",
        "said_leaving",
        "sent_unreadable",
        "paused_until",
        "cached_parts",
        "memory",
        "slowness",
    )

    def __init__(self, entry: upstream.Upstream, *, revision: int) -> None:
        self.upstream = entry
        self.revision = revision
        self.removed = False
        self.removal_at = math.inf
        self.lingers_until = -math.inf if entry.leaving else math.inf
        self.cold_until = -math.inf
        self.warmup_tokens = 0.0
        self.warmup_updated_at = -math.inf
        self.running = 0
        self.prompt_tokens = 0
        self.success_rate = 1.0
        self.ejected_until = -math.inf
        self.misdirected = False
        self.replaced = False
        self.said_leaving = False
        self.sent_unreadable = False
        self.paused_until = -math.inf
        self.cached_parts: dict[str, None] = {}
        self.memory = engine_memory.EngineMemory()
        self.slowness = {kind: slowness.Slowness() for kind in slowness.Work}

    @property
    def incarnation(self) -> str:
        """Return a name for this start of the upstream, which may return under its name."""
        return f"{self.upstream.name}@{self.upstream.born_ms}"

    @property
    def leaving(self) -> bool:
        """Return whether the upstream is leaving, by its entry or by its answers."""
        return self.upstream.leaving or self.said_leaving

    def has_version(self, versions: frozenset[str]) -> bool:
        """Return whether the upstream is known to have one of some software versions."""
        return not self.replaced and self.upstream.software_version in versions

    def bound_lingering(self, until: float) -> None:
        """Let the upstream, once it is leaving, take no work after a time, in monotonic seconds."""
        self.lingers_until = min(self.lingers_until, until)

    def record_parts(self, names: typing.Iterable[str]) -> None:
        """Record that the upstream reads some prompt parts, given by id."""
        for name in names:
            self.cached_parts.pop(name, None)
            self.cached_parts[name] = None
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            del self.cached_parts[next(iter(self.cached_parts))]
