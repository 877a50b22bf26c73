"""The load of single upstreams: own work there, and what other instances told of theirs."""

from __future__ import annotations

from yuccahitch.controllers.placement import estimates, speeds
from yuccahitch.controllers.upstream_state import replica_state, replicas
from yuccahitch.resources import service as services

# Running requests and unread prompt tokens of the other near instances, by upstream.
NearUses = dict[str, tuple[int, int]]


class UpstreamLoads:
    """Estimates waits at upstreams and counts their requests.

    Args:
        registry: The registered upstreams.
        work: Estimates the time that requests take.
        known_speeds: Knows how fast each upstream is.
    """

    __slots__ = ("registry", "work", "speeds")

    def __init__(
        self,
        registry: replicas.ReplicaRegistry,
        work: estimates.WorkEstimates,
        known_speeds: speeds.Speeds,
    ) -> None:
        self.registry = registry
        self.work = work
        self.speeds = known_speeds

    def wait(
        self, replica: replica_state.Replica, service: services.Service, uses: NearUses, now: float
    ) -> float:
        """Return the estimated time to first token of a request without a prompt, in seconds."""
        tokens = replica.prompt_tokens + uses.get(replica.upstream.name, (0, 0))[1]
        running = self.running(replica, uses)
        return self.work.wait(
            replica,
            service,
            running=running,
            prefill_s=tokens
            / estimates.PREFILL_TOKENS_PER_S
            * self.speeds.prefill_factor(replica, now),
            work_factor=self.speeds.work_factor(replica, service, now),
        )

    def cost(
        self, replica: replica_state.Replica, service: services.Service, uses: NearUses, now: float
    ) -> float:
        """Return the estimated wait at an upstream and the slowdown of its requests, in seconds."""
        running = self.running(replica, uses)
        slowdown_s = self.work.slowdown(replica, service, running=running)
        return self.wait(replica, service, uses, now) + slowdown_s

    def running(self, replica: replica_state.Replica, uses: NearUses) -> int:
        """Return the requests of this and the other near instances that an upstream runs."""
        return replica.running + uses.get(replica.upstream.name, (0, 0))[0]

    def ahead(self, replica: replica_state.Replica, uses: NearUses) -> float:
        """Return how many requests have to end before a further one runs, for each slot."""
        slots = replica.upstream.slots
        return max(0, self.running(replica, uses) + 1 - slots) / slots

    def places(self, replica: replica_state.Replica, service: services.Service) -> int:
        """Return how many requests an upstream runs at the same time, at the rate that it takes."""
        slots = replica.upstream.slots
        rate_per_s = self.registry.limits.rate(replica.incarnation)
        return max(1, int(min(slots, rate_per_s * self.work.work_time(service))))
