"""Refuses requests that no upstream can take, with a time after which the caller may return."""

from __future__ import annotations

import math
import random

from yuccahitch import errors
from yuccahitch.controllers.members import fleet
from yuccahitch.controllers.placement import (
    assignments,
    choices,
    engine_room,
    estimates,
    placement_inputs,
    return_times,
)
from yuccahitch.controllers.upstream_state import replica_state, replicas

# Retry-After of a refusal, in seconds.
RETRY_AFTER_S = 0.4
# Longest Retry-After, in seconds.
MAX_RETRY_AFTER_S = 2.0
# Time that a request takes of an engine at least, in seconds.
MIN_WORK_S = 0.01
# Time for which this region reports no room for a service after a refusal, in seconds.
SHORTAGE_S = 0.5


class Refusals:
    """Refuses requests, and knows which services are short of upstreams for it.

    Args:
        members: The fleet.
        registry: The registered upstreams.
        room: Knows the free memory of the engines.
        work: Estimates the time that requests take.
        rng: Seeded source of random numbers.

    Attributes:
        short_until: Until when a service counts as without room here, by its name, in monotonic
            seconds; set when a request is refused as its upstreams take no more.
        return_times: Spreads the callers of requests that found no memory.
    """

    __slots__ = ("members", "registry", "room", "work", "rng", "short_until", "return_times")

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        registry: replicas.ReplicaRegistry,
        room: engine_room.EngineRoom,
        work: estimates.WorkEstimates,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.registry = registry
        self.room = room
        self.work = work
        self.rng = rng
        self.short_until: dict[str, float] = {}
        self.return_times = return_times.ReturnTimes(rng)

    def is_short(self, service: str, now: float) -> bool:
        """Return whether requests for a service were refused lately as its upstreams take none."""
        return now < self.short_until.get(service, -math.inf)

    def without_candidate(
        self,
        request: assignments.PlacementRequest,
        usable: list[replica_state.Replica],
        full: list[replica_state.Replica],
        inputs: placement_inputs.PlacementInputs,
        now: float,
    ) -> choices.Refused:
        """Return the refusal of a request that no upstream and no other region can take now.

        Args:
            request: The request.
            usable: Upstreams of this region that it may be sent to, in time.
            full: Those of them that could take it but for their memory.
            inputs: Inputs of the decision.
            now: Monotonic seconds.
        """
        if full:
            return self._without_memory(request, full, inputs, now)
        sharers = self.members.rate_sharers(now)
        waits_s = [self.registry.send_wait_s(replica, now, sharers) for replica in usable]
        if not any(waits_s):
            detail = "no usable upstream for the service"
            return refuse(errors.Code.NO_UPSTREAM, detail, inputs)
        # Upstreams only hold it back by the rates that they named: callers return spread over the
        # time after the next one may be sent.
        self.short_until[request.service.name] = now + SHORTAGE_S
        return refuse(
            errors.Code.UPSTREAMS_LIMITED,
            "all of them named a rate or asked for a pause",
            inputs,
            retry_after_s=self._bounded(min(waits_s) + self.rng.random() * RETRY_AFTER_S),
        )

    def _without_memory(
        self,
        request: assignments.PlacementRequest,
        full: list[replica_state.Replica],
        inputs: placement_inputs.PlacementInputs,
        now: float,
    ) -> choices.Refused:
        """Return the refusal of a request that no engine has the memory for."""
        told = self.room.told_tokens(now)
        held_tokens = sum(r.memory.held_tokens(told[r.upstream.name], now) for r in full)
        retry_after_s = self.return_times.next_s(
            request.service.name,
            needed_tokens=request.memory_demand.own_tokens,
            freed_per_s=held_tokens / max(MIN_WORK_S, self.work.work_time(request.service)),
            instances=len(self.members.near_ids(now)),
            now=now,
        )
        return refuse(
            errors.Code.UPSTREAMS_FULL,
            f"{len(full)} upstreams lack the memory for its {request.memory_demand.tokens} tokens",
            inputs,
            retry_after_s=self._bounded(retry_after_s),
        )

    def _bounded(self, retry_after_s: float) -> float:
        """Return a Retry-After within its bounds, in seconds; what is beyond them is spread."""
        if retry_after_s > MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S * (1 + self.rng.random()) / 2
        if retry_after_s < RETRY_AFTER_S / 2:
            return RETRY_AFTER_S * (1 + self.rng.random()) / 2
        return retry_after_s


def refuse(
    code: errors.Code,
    detail: str,
    inputs: placement_inputs.PlacementInputs,
    *,
    retry_after_s: float = RETRY_AFTER_S,
) -> choices.Refused:
    """Return the refusal of a request, with a time after which the caller may try again."""
    error = errors.GatewayError(code, step=choices.STEP, detail=detail, retry_after=retry_after_s)
    return choices.Refused(error, inputs)
