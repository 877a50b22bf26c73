"""Chooses the other region that a request is forwarded to."""

from __future__ import annotations

import math
import random

from yuccahitch.controllers.members import fleet
from yuccahitch.controllers.placement import (
    assignments,
    estimates,
    forward_counts,
    link_budget,
)
from yuccahitch.controllers.upstream_state import replicas
from yuccahitch.messages import peers

# Assumed wait in a region that has reported no room for the service, in seconds.
UNKNOWN_WAIT_S = 0.3
# Added when a shared prompt part is read by an upstream other than the one that holds it, in
# seconds.
REREAD_PENALTY_S = 0.15
# Time for which nothing is forwarded to a region that declined a request for a service, in seconds.
DECLINED_FOR_S = 0.5


class RemoteRegions:
    """Estimates when other regions would begin to answer a request.

    Args:
        members: The fleet.
        registry: The registered upstreams.
        work: Estimates the time that requests take.
        rng: Seeded source of random numbers.
        link_bytes_per_s: Bandwidth between regions, in bytes a second.
        link_delay_s: One-way delay between regions, in seconds.
        link_share: Fraction of the bandwidth that forwards may take; 0 for no bound.

    Attributes:
        budget: Bounds what forwards take of the links; None if nothing does.
        counts: Forwards that other regions' reports may not include.
        declined_until: Until when nothing is forwarded for a pair of region and service, in
            monotonic seconds.
        recent_forwards: For each pair of region and service, when the current window of one second
            began, in monotonic seconds, and the requests forwarded in it.
    """

    __slots__ = (
        "members",
        "registry",
        "work",
        "rng",
        "link_bytes_per_s",
        "link_delay_s",
        "budget",
        "counts",
        "declined_until",
        "recent_forwards",
    )

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        registry: replicas.ReplicaRegistry,
        work: estimates.WorkEstimates,
        rng: random.Random,
        link_bytes_per_s: float,
        link_delay_s: float,
        link_share: float = 0.0,
    ) -> None:
        self.members = members
        self.registry = registry
        self.work = work
        self.rng = rng
        self.link_bytes_per_s = link_bytes_per_s
        self.link_delay_s = link_delay_s
        self.budget = (
            link_budget.LinkBudget(link_share * link_bytes_per_s) if link_share > 0 else None
        )
        self.counts = forward_counts.ForwardCounts()
        self.declined_until: dict[tuple[str, str], float] = {}
        self.recent_forwards: dict[tuple[str, str], tuple[float, int]] = {}

    def record_declined(self, region: str, service: str, now: float) -> None:
        """Forward no requests for a service to a region for a time, as it has just declined one."""
        self.declined_until[(region, service)] = now + DECLINED_FOR_S

    def choose(
        self,
        request: assignments.PlacementRequest,
        holder: str,
        now: float,
        *,
        lingering: bool = False,
    ) -> tuple[float, peers.InstanceInfo] | None:
        """Return the best other region's estimated time to first token, and an instance there.

        Args:
            request: The request.
            holder: Name of the upstream that holds its shared prompt part, or empty.
            now: Monotonic seconds.
            lingering: Whether regions count by the upstreams that are leaving and still take work.
        """
        regions = {m.info.region for m in self.members.reachable_members(now)} - {
            self.members.own.region
        }
        if request.regions is not None:
            regions &= request.regions
        options = []
        for region in sorted(regions):
            if not self.registry.usable(
                request.service.name,
                now,
                region=region,
                versions=request.versions,
                lingering=lingering,
            ):
                continue
            if not self._has_room(region, request.service.name, now):
                continue
            price_s = self._price(region, request, now)
            if price_s == math.inf:
                continue
            serving_infos = [
                info
                for info in self.members.serving_instances(now, region=region)
                if info.instance not in request.avoid
            ]
            if serving_infos:
                remote_estimate_s = price_s + self._estimate(region, request, holder, now)
                options.append((remote_estimate_s, self.rng.choice(serving_infos)))
        return min(options, key=lambda option: option[0]) if options else None

    def _has_room(self, region: str, service: str, now: float) -> bool:
        """Return whether another region may take a request, by its reports and what it declined."""
        room = self.members.newest_room(region, service, now)
        was_declined = now < self.declined_until.get((region, service), -math.inf)
        return not was_declined and (room is None or room.places > 0)

    def _price(self, region: str, request: assignments.PlacementRequest, now: float) -> float:
        """Return the gain that a forward needs beyond its cost in time, in seconds.

        It is infinite if this instance's part of the link is used up. A request for which this
        region has no usable upstream needs none; upstreams that are full or limited are usable.
        """
        if self.budget is None or self._must_leave(request, now):
            return 0.0
        service = request.service.name
        size = self.budget.forward_bytes(service, request.body_bytes)
        instances = len(self.members.rate_sharers(now))
        return self.budget.price_s(region, size, now, instances=instances)

    def _must_leave(self, request: assignments.PlacementRequest, now: float) -> bool:
        """Return whether this region has no upstream for a request."""
        is_elsewhere = (
            request.regions is not None and self.members.own.region not in request.regions
        )
        return is_elsewhere or not self.registry.usable(
            request.service.name, now, versions=request.versions
        )

    def _unreported_forwards(self, region: str, service: str, now: float) -> float:
        """Return the forwards that a region's reported room may not include yet.

        The instances of all other regions read the same report, and are taken to act as this one.
        Chance stands for how far they have come, so that few instances act at the same moment.
        """
        if self.budget is not None:
            senders = 1 + sum(
                member.info.region != region for member in self.members.reachable_members(now)
            )
            return (self.counts.unreported(region, service, now) + self.rng.random()) * senders
        counted_since, forward_count = self.recent_forwards.get((region, service), (0.0, 0))
        return forward_count if now - counted_since < 1.0 else 0

    def _estimate(
        self, region: str, request: assignments.PlacementRequest, part_holder: str, now: float
    ) -> float:
        """Return the estimated time to first token in another region, in seconds.

        Forwards that the reported room may not include yet count on top of it.
        """
        room = self.members.newest_room(region, request.service.name, now)
        link_s = 2 * self.link_delay_s + request.body_bytes / self.link_bytes_per_s
        holder = self.registry.by_name.get(part_holder)
        is_held = holder is None or holder.upstream.region == region
        unread = sum(tokens for _, tokens in (request.parts[-1:] if is_held else request.parts))
        prefill_s = unread / estimates.PREFILL_TOKENS_PER_S + (0.0 if is_held else REREAD_PENALTY_S)
        if room is None:
            return link_s + prefill_s + UNKNOWN_WAIT_S
        work_s = self.work.work_time(request.service)
        forwards = self._unreported_forwards(region, request.service.name, now)
        remote_queue_s = max(0, room.taken + forwards - room.places) * work_s / max(1, room.places)
        return link_s + prefill_s + room.wait_s + remote_queue_s

    def count_forward(self, region: str, service: str, now: float, *, body_bytes: int = 0) -> None:
        """Count a request that is forwarded to a region, and the bytes that it takes of the link.

        Args:
            region: The other region.
            service: Name of the service.
            now: Monotonic seconds.
            body_bytes: Size of the request's body, in bytes.
        """
        if self.budget is not None:
            self.counts.record(region, service, now)
            size = self.budget.forward_bytes(service, body_bytes)
            instances = len(self.members.rate_sharers(now))
            self.budget.spend(region, size, now, instances=instances)
        window_start, forward_count = self.recent_forwards.get((region, service), (now, 0))
        if now - window_start >= 1.0:
            window_start, forward_count = now, 0
        self.recent_forwards[(region, service)] = (window_start, forward_count + 1)
