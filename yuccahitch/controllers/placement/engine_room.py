"""Decides which engines have the memory for a request, with what other instances told.

What the others sent lately isn't known here yet. So the free memory of an engine is divided among
the instances of its region: each takes no more than its part until the others have heard of it.
"""

from __future__ import annotations

import collections
import math

from yuccahitch.controllers.members import fleet, rendezvous
from yuccahitch.controllers.upstream_state import engine_memory, replica_state

# Weight of the newest request in the moving average of the tokens that a request takes.
DEMAND_WEIGHT = 0.05
# Further requests of an engine whose memory is not known.
MAX_FURTHER = 1_000_000
# Time for which the sum of what the others told is kept, in seconds; their reports come less often.
TOLD_REFRESH_S = 0.02
# Share of the free memory that all instances get in even parts; the rest is for larger requests.
EVEN_SHARE = 0.5


class EngineRoom:
    """Knows the free memory of the engines of this region.

    Args:
        members: The fleet.
        enabled: Whether the memory of engines bounds what they get.

    Attributes:
        mean_tokens: Moving average of the tokens that a request takes, by service.
        told: Tokens that other near instances told that they hold, by upstream.
        told_at: When that was worked out, in monotonic seconds.
        ranks: Rank of this instance among ``ranked``, by upstream.
        ranked: Ids of the instances of this region, this one included, when ranks were worked out.
    """

    __slots__ = ("members", "enabled", "mean_tokens", "told", "told_at", "ranks", "ranked")

    def __init__(self, members: fleet.Fleet, *, enabled: bool) -> None:
        self.members = members
        self.enabled = enabled
        self.mean_tokens: dict[str, float] = {}
        self.told: collections.Counter[str] = collections.Counter()
        self.told_at = -math.inf
        self.ranks: dict[str, int] = {}
        self.ranked: list[str] = []

    def told_tokens(self, now: float) -> collections.Counter[str]:
        """Return the tokens that other near instances hold, without shared parts, by upstream.

        Unreachable instances are not included.
        """
        if 0 <= now - self.told_at < TOLD_REFRESH_S:
            return self.told
        region = self.members.own.region
        told: collections.Counter[str] = collections.Counter()
        for member in self.members.reachable_members(now, region=region):
            for use in member.pulse.uses if member.pulse is not None else ():
                told[use.upstream] += use.held_tokens
        self.told = told
        self.told_at = now
        return told

    def record_demand(self, service: str, demand: engine_memory.MemoryDemand) -> None:
        """Update the average of the tokens that a request takes."""
        average = self.mean_tokens.get(service, float(demand.own_tokens))
        self.mean_tokens[service] = average + DEMAND_WEIGHT * (demand.own_tokens - average)

    def split(
        self,
        candidates: list[replica_state.Replica],
        demand: engine_memory.MemoryDemand,
        now: float,
    ) -> tuple[list[replica_state.Replica], list[replica_state.Replica]]:
        """Return the candidates whose memory holds a request, and those whose memory doesn't."""
        if not self.enabled or not any(r.memory.total_tokens for r in candidates):
            return candidates, []
        self._rank_by(self.members.near_ids(now))
        fitting: list[replica_state.Replica] = []
        full: list[replica_state.Replica] = []
        for replica in candidates:
            (fitting if self._fits(replica, demand, now) else full).append(replica)
        return fitting, full

    def count_further(self, replica: replica_state.Replica, service: str, now: float) -> int:
        """Return how many further average requests an engine's memory holds, MAX_FURTHER at most.

        Args:
            replica: The engine.
            service: Name of its service.
            now: Monotonic seconds.
        """
        if not self.enabled:
            return MAX_FURTHER
        told = self.told_tokens(now)
        free_tokens = replica.memory.free_tokens(told[replica.upstream.name], now)
        mean_tokens = max(1.0, self.mean_tokens.get(service, 1.0))
        return int(min(MAX_FURTHER, free_tokens / mean_tokens))

    def known_free(self, replica: replica_state.Replica, now: float) -> int | None:
        """Return the tokens that are free in an engine's memory, or None if its size is unknown."""
        if not replica.memory.total_tokens:
            return None
        told = self.told_tokens(now)
        return int(replica.memory.free_tokens(told[replica.upstream.name], now))

    def _fits(
        self, replica: replica_state.Replica, demand: engine_memory.MemoryDemand, now: float
    ) -> bool:
        """Return whether an engine's memory holds a request, in the part of this instance."""
        memory = replica.memory
        if not memory.total_tokens:
            return True
        told_tokens = self.told_tokens(now)[replica.upstream.name]
        needed = memory.missing_tokens(demand, now)
        free = memory.free_tokens(told_tokens, now)
        if not needed or needed > free or len(self.ranked) == 1:
            return needed <= free
        sent = memory.unheard.sum(now)
        shared_out = min(free + sent, memory.usable_tokens)
        even_part = shared_out * EVEN_SHARE / len(self.ranked)
        if sent + needed <= even_part:
            return True
        rank = self._rank(replica.upstream.name)
        # Nobody else sends a request as large as this to an engine that holds none.
        if rank == 0 and not memory.held_tokens(told_tokens, now):
            return True
        chunks = self._count_own_chunks(shared_out, needed, rank)
        return sent + needed <= even_part + chunks * needed

    def _count_own_chunks(self, shared_out: float, needed: int, rank: int) -> int:
        """Return how many requests of a size this instance may send until the others heard of them.

        Args:
            shared_out: Free tokens of the engine that the instances divide.
            needed: Tokens of such a request.
            rank: Rank of this instance for the engine; the first ones get what is left over.
        """
        chunks = int(shared_out * (1 - EVEN_SHARE) / needed)
        each, left_over = divmod(chunks, len(self.ranked))
        return each + (rank < left_over)

    def _rank_by(self, near_ids: list[str]) -> None:
        """Forget the ranks if the instances of the region changed."""
        if near_ids != self.ranked:
            self.ranked = near_ids
            self.ranks.clear()

    def _rank(self, name: str) -> int:
        """Return the rank of this instance for an engine, by rendezvous hashing."""
        if name not in self.ranks:
            ranked = rendezvous.ranked(name, self.ranked)
            self.ranks[name] = ranked.index(self.members.own.instance)
        return self.ranks[name]
