"""Decides which upstreams read and keep the prompt parts that requests share."""

from __future__ import annotations

from yuccahitch.controllers.members import fleet, rendezvous
from yuccahitch.controllers.placement import assignments, estimates, part_demand, part_holders
from yuccahitch.controllers.upstream_state import replica_state, replicas

# Fraction of an upstream's slots that requests for one part may take before it gets another holder.
HOLDER_FILL = 0.5
# Time to read the shared parts below which a request may go to any upstream, in seconds.
NEGLIGIBLE_READ_S = 0.005
# Time for which an upstream is expected to keep a part that nobody asks for, in seconds.
KEPT_S = 10.0
# Requests in KEPT_S from which a region keeps a part itself instead of forwarding each of them.
MIN_REGION_REQUESTS = 2.0


class PromptParts:
    """Chooses the holders of shared prompt parts, alike at every instance.

    Args:
        registry: The registered upstreams.
        members: The fleet; without it this instance counts as the only one of its region.
        work: Estimates the time that requests take.
        max_holders: Most upstreams of a region that hold the same part; with 0 each part has one
            holder in all regions, whatever its demand.

    Attributes:
        demand: How often parts are asked for.
    """

    __slots__ = ("registry", "members", "work", "max_holders", "demand")

    def __init__(
        self,
        registry: replicas.ReplicaRegistry,
        *,
        members: fleet.Fleet | None = None,
        work: estimates.WorkEstimates | None = None,
        max_holders: int = 0,
    ) -> None:
        self.registry = registry
        self.members = members
        self.work = work or estimates.WorkEstimates()
        self.max_holders = max_holders
        self.demand = part_demand.PartDemand()

    def record_request(self, request: assignments.PlacementRequest, now: float) -> None:
        """Count a request for its last shared part, unless it was placed before."""
        if self.max_holders and shared_part(request) and not request.avoid:
            self.demand.record(request.service.name, last_shared_part(request), now)

    def holder(self, request: assignments.PlacementRequest, now: float) -> str:
        """Return the upstream, of any region, to which all instances send a shared prompt part.

        Rendezvous hashing picks it among the usable ones; no text means that there is none, or no
        shared part. A region whose callers often ask for the part has a holder of its own.
        """
        shared = shared_part(request)
        if not shared:
            return ""
        if self.max_holders:
            return self._demanded_holder(request, now)
        return rendezvous.owner(shared, self._usable_names(request, now))

    def second_holder(
        self, request: assignments.PlacementRequest, candidates: list[replica_state.Replica]
    ) -> str:
        """Return the candidate that is preferred where the holder doesn't get the request."""
        part = last_shared_part(request) if self.max_holders else shared_part(request)
        return rendezvous.owner(part, [replica.upstream.name for replica in candidates])

    def narrow(
        self,
        request: assignments.PlacementRequest,
        candidates: list[replica_state.Replica],
        fill_of: part_holders.FillOf,
        now: float,
    ) -> list[replica_state.Replica]:
        """Return the candidates among which a request with a shared part is placed.

        These are the holders of its last shared part. The next ones by rank stand in for those that
        are much fuller than the average, so that also under load few upstreams read the part. The
        next one is returned too while it is much emptier, as reading there may take less time than
        waiting. A prompt whose shared parts are quickly read may go to any candidate.

        Args:
            request: The request.
            candidates: Upstreams of this region that can take the request.
            fill_of: Returns how full an upstream is.
            now: Monotonic seconds.
        """
        shared_tokens = sum(tokens for _, tokens in request.parts[:-1])
        is_negligible = shared_tokens < NEGLIGIBLE_READ_S * estimates.PREFILL_TOKENS_PER_S
        if not self.max_holders or is_negligible or not candidates:
            return candidates
        count = self._count_holders(request, candidates, now)
        return part_holders.choose(last_shared_part(request), count, candidates, fill_of)

    def _demanded_holder(self, request: assignments.PlacementRequest, now: float) -> str:
        """Return the holder of a request's last shared part, in this region if it is in demand."""
        part = last_shared_part(request)
        if self._region_rate(request, now) * KEPT_S >= MIN_REGION_REQUESTS:
            near = self._usable(request, self.registry.region, now)
            if near:
                return rendezvous.owner(part, [replica.upstream.name for replica in near])
        return rendezvous.owner(part, self._usable_names(request, now))

    def _count_holders(
        self,
        request: assignments.PlacementRequest,
        candidates: list[replica_state.Replica],
        now: float,
    ) -> int:
        """Return the number of upstreams of this region that hold a request's last shared part."""
        slots = sum(replica.upstream.slots for replica in candidates) / len(candidates)
        holder_rate_per_s = HOLDER_FILL * slots / self.work.work_time(request.service)
        needed = min(float(self.max_holders), self._region_rate(request, now) / holder_rate_per_s)
        part = last_shared_part(request)
        return min(self.max_holders, self.demand.holder_count(request.service.name, part, needed))

    def _region_rate(self, request: assignments.PlacementRequest, now: float) -> float:
        """Return the rate of requests in this region for a request's last shared part, a second."""
        return self.demand.region_rate(
            request.service.name,
            last_shared_part(request),
            now,
            instances=self._count_instances(now),
        )

    def _count_instances(self, now: float) -> int:
        """Return the number of reachable instances of this region."""
        return len(self.members.near_ids(now)) if self.members is not None else 1

    def _usable_names(self, request: assignments.PlacementRequest, now: float) -> list[str]:
        """Return the names of the usable upstreams of all regions that a request may go to."""
        regions = {replica.upstream.region for replica in self.registry.by_name.values()}
        return [
            replica.upstream.name
            for region in regions
            for replica in self._usable(request, region, now)
        ]

    def _usable(
        self, request: assignments.PlacementRequest, region: str, now: float
    ) -> list[replica_state.Replica]:
        """Return the usable upstreams of a region, if a request may go there."""
        if request.regions is not None and region not in request.regions:
            return []
        return self.registry.usable(
            request.service.name, now, region=region, versions=request.versions
        )


def shared_part(request: assignments.PlacementRequest) -> str:
    """Return the id of the prompt part shared with other requests: the first of several, if any."""
    return request.parts[0][0] if len(request.parts) > 1 else ""


def last_shared_part(request: assignments.PlacementRequest) -> str:
    """Return the id of the last prompt part shared with other requests, if any.

    It tells prompts apart best. The parts before it are common to more prompts, so upstreams seldom
    drop them.
    """
    return request.parts[-2][0] if len(request.parts) > 1 else ""


def unread_tokens(
    replica: replica_state.Replica, parts: tuple[tuple[str, int], ...], holder: str
) -> int:
    """Return the number of prompt tokens that an upstream probably does not have in its cache.

    The holder of the shared part is taken to lack only the last part.
    """
    if replica.upstream.name == holder:
        return sum(tokens for _, tokens in parts[-1:])
    for index, (part, _) in enumerate(parts):
        if part not in replica.cached_parts:
            return sum(tokens for _, tokens in parts[index:])
    return 0
