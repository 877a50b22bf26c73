"""The memory of one start of an engine: how many tokens it has, and how many requests hold there.

Requests hold the tokens of their prompts and answers until they end. A prompt part that several
requests share is held once.
"""

from __future__ import annotations

import math
import typing

from yuccahitch import records
from yuccahitch.controllers.upstream_state import recent_tokens
from yuccahitch.messages import upstream_notices

# Share of an engine's memory that stays free, as counts of tokens lag and are estimates.
HEADROOM = 0.05
# Time for which the use in a report counts, in seconds.
REPORT_LIFETIME_S = 2.0
# Time for which a shared part counts after its last request here, as other instances use it too.
SHARED_PART_S = 2.0
# Time until all other instances have heard of a request, in seconds: the interval of state reports
# and their way.
UNHEARD_S = 0.3


class MemoryDemand(records.Record):
    """What a request takes of an engine's memory.

    Attributes:
        own_tokens: Tokens of the answer and of the prompt without its shared parts.
        shared_parts: Number of tokens of each shared part of the prompt, by id.
    """

    __slots__ = ("own_tokens", "shared_parts")

    def __init__(self, own_tokens: int, *, shared_parts: dict[str, int]) -> None:
        self.own_tokens = own_tokens
        self.shared_parts = shared_parts

    @property
    def tokens(self) -> int:
        """Return the tokens that the request takes where none of its parts is held."""
        return self.own_tokens + sum(self.shared_parts.values())


class SharedPart:
    """A shared prompt part that an engine holds.

    Attributes:
        tokens: Its number of tokens.
        running: Running requests of this instance that use it.
        used_at: When a request of this instance last began or ended with it, in monotonic seconds.
    """

    __slots__ = ("tokens", "running", "used_at")

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.running = 0
        self.used_at = -math.inf


class EngineMemory:
    """Counts the tokens that one start of an engine holds.

    Attributes:
        total_tokens: Size of the memory, in tokens; 0 while it is not known.
        disputed_total: Another size that the newest report named, or 0.
        own_tokens: Tokens that running requests of this instance hold, without shared parts.
        parts: Shared parts in use by id, the one that was used longest ago first.
        part_tokens: Tokens of these parts.
        running_part_tokens: Tokens of those that running requests of this instance use.
        reported_tokens: Tokens in use by the newest report, without those of this instance then.
        reported_at: When that report came, in monotonic seconds.
        unheard: Tokens of this instance that others may not have heard of.
    """

    __slots__ = (
        "total_tokens",
        "disputed_total",
        "own_tokens",
        "parts",
        "part_tokens",
        "running_part_tokens",
        "reported_tokens",
        "reported_at",
        "unheard",
    )

    def __init__(self) -> None:
        self.total_tokens = 0
        self.disputed_total = 0
        self.own_tokens = 0
        self.parts: dict[str, SharedPart] = {}
        self.part_tokens = 0
        self.running_part_tokens = 0
        self.reported_tokens = 0
        self.reported_at = -math.inf
        self.unheard = recent_tokens.RecentTokens(UNHEARD_S)

    @property
    def usable_tokens(self) -> float:
        """Return the tokens that requests may take together."""
        return self.total_tokens * (1 - HEADROOM)

    def record_report(self, report: upstream_notices.MemoryReport, now: float) -> bool:
        """Record a report of the engine; return whether the known size changed.

        The size is that of the first report. Another one counts once two reports in a row name it,
        and a report that contradicts itself never does.
        """
        if not 0 <= report.used_tokens <= report.total_tokens or report.total_tokens == 0:
            return False
        is_agreed = report.total_tokens in (self.total_tokens, self.disputed_total)
        if self.total_tokens and not is_agreed:
            self.disputed_total = report.total_tokens
            return False
        has_changed = report.total_tokens != self.total_tokens
        self.total_tokens = report.total_tokens
        self.disputed_total = 0
        self.reported_tokens = report.used_tokens - self._own_running_tokens()
        self.reported_at = now
        return has_changed

    def record_dispatch(self, demand: MemoryDemand, now: float) -> None:
        """Count a request that is sent to the engine."""
        self.unheard.add(self.missing_tokens(demand, now), now)
        self.own_tokens += demand.own_tokens
        for name, tokens in demand.shared_parts.items():
            part = self._touch(name, tokens, now)
            self.running_part_tokens += 0 if part.running else part.tokens
            part.running += 1

    def record_end(self, demand: MemoryDemand, now: float) -> None:
        """Stop counting a request that ended."""
        self.own_tokens -= demand.own_tokens
        for name, tokens in demand.shared_parts.items():
            part = self._touch(name, tokens, now)
            part.running -= 1
            self.running_part_tokens -= 0 if part.running else part.tokens

    def missing_tokens(self, demand: MemoryDemand, now: float) -> int:
        """Return the tokens that a request would add to those that are held."""
        self._drop_unused(now)
        unshared = [
            tokens for name, tokens in demand.shared_parts.items() if name not in self.parts
        ]
        return demand.own_tokens + sum(unshared)

    def held_tokens(self, told_tokens: int, now: float) -> int:
        """Return the tokens that are held for all instances.

        Shared parts that only other instances may be using count while those have requests there.

        Args:
            told_tokens: Tokens that requests of the other instances hold, without shared parts.
            now: Monotonic seconds.
        """
        self._drop_unused(now)
        part_tokens = self.part_tokens if told_tokens else self.running_part_tokens
        counted = self.own_tokens + part_tokens + told_tokens
        is_reported = now - self.reported_at < REPORT_LIFETIME_S
        reported = self.reported_tokens + self._own_running_tokens()
        return max(counted, reported) if is_reported else counted

    def free_tokens(self, told_tokens: int, now: float) -> float:
        """Return the tokens that further requests may take; infinite while the size is unknown.

        Args:
            told_tokens: Tokens that requests of the other instances hold, without shared parts.
            now: Monotonic seconds.
        """
        if not self.total_tokens:
            return math.inf
        return max(0.0, self.usable_tokens - self.held_tokens(told_tokens, now))

    def _own_running_tokens(self) -> int:
        """Return the tokens that running requests of this instance hold."""
        return self.own_tokens + self.running_part_tokens

    def _touch(self, name: str, tokens: int, now: float) -> SharedPart:
        """Return a shared part as the one used last; it is added on its first use."""
        part = self.parts.pop(name, None)
        if part is None:
            part = SharedPart(tokens)
            self.part_tokens += tokens
        part.used_at = now
        self.parts[name] = part
        return part

    def _drop_unused(self, now: float) -> None:
        """Drop the shared parts that were not used for a while."""
        for name, part in self._long_unused(now):
            if part.running:
                self._touch(name, part.tokens, now)
            else:
                del self.parts[name]
                self.part_tokens -= part.tokens

    def _long_unused(self, now: float) -> typing.Iterable[tuple[str, SharedPart]]:
        """Yield the parts whose last use is long ago, each with its id."""
        while self.parts:
            name, part = next(iter(self.parts.items()))
            if now - part.used_at < SHARED_PART_S:
                return
            yield name, part
