"""Chooses the upstream of a request, or the other region that it is forwarded to.

Every instance decides alone, from its own work at each upstream and from the last state reports
(pulses) of the other instances.
"""

from __future__ import annotations

import random
import typing

from yuccahitch import errors
from yuccahitch.controllers.members import fleet
from yuccahitch.controllers.placement import (
    assignments,
    choices,
    engine_room,
    estimates,
    options,
    placement_inputs,
    prompt_parts,
    refusals,
    region_rooms,
    remote_regions,
    speeds,
    upstream_loads,
)
from yuccahitch.controllers.upstream_state import replica_state, replicas
from yuccahitch.messages import pulses
from yuccahitch.resources import service as services

STEP = choices.STEP
# Scales the time to read a shared part at the upstream that all instances prefer after its holder,
# so that they agree on one as far as loads allow.
SECOND_HOLDER_FACTOR = 0.9
# Instances of a region up to which each chooses among all upstreams.
CHOOSERS_OF_ALL = 8
# Upstreams among which an instance chooses at least.
MIN_CONSIDERED = 2


class Balancer:
    """Places each request where its first token and the slowdown of others cost the least time.

    Args:
        members: The fleet.
        registry: The registered upstreams.
        rng: Seeded source of random numbers.
        link_bytes_per_s: Bandwidth between regions, in bytes a second.
        link_delay_s: One-way delay between regions, in seconds.
        spill_gain_s: Least gain in time to first token that justifies another region, in seconds.
        part_holders: Most upstreams of a region that hold the same prompt part; 0 for no bound.
        link_share: Fraction of the bandwidth that forwards may take; 0 for no bound.
        engine_memory: Whether the memory of engines bounds what they get.
        upstream_speeds: Whether the speed of each upstream is learned.

    Attributes:
        assignments: Placed requests by request id, until they are released.
        estimates: Estimates the time that requests take.
        speeds: Learns how fast each upstream is.
        loads: Estimates the load of single upstreams.
        room: Knows the free memory of the engines.
        refusals: Refuses requests that no upstream can take.
        region_rooms: Works out the room that this region tells others of.
        remote: Estimates of the other regions.
        prompt_parts: Decides which upstreams hold shared prompt parts.
    """

    __slots__ = (
        "members",
        "registry",
        "rng",
        "spill_gain_s",
        "assignments",
        "estimates",
        "speeds",
        "loads",
        "room",
        "refusals",
        "region_rooms",
        "remote",
        "prompt_parts",
    )

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        registry: replicas.ReplicaRegistry,
        rng: random.Random,
        link_bytes_per_s: float,
        link_delay_s: float,
        spill_gain_s: float,
        part_holders: int = 0,
        link_share: float = 0.0,
        engine_memory: bool = False,
        upstream_speeds: bool = False,
    ) -> None:
        self.members = members
        self.registry = registry
        self.rng = rng
        self.spill_gain_s = spill_gain_s
        self.assignments: dict[str, assignments.Assignment] = {}
        self.estimates = estimates.WorkEstimates()
        self.speeds = speeds.Speeds(enabled=upstream_speeds)
        self.loads = upstream_loads.UpstreamLoads(registry, self.estimates, self.speeds)
        self.room = engine_room.EngineRoom(members, enabled=engine_memory)
        self.refusals = refusals.Refusals(
            members=members,
            registry=registry,
            room=self.room,
            work=self.estimates,
            rng=rng,
        )
        self.region_rooms = region_rooms.RegionRooms(
            members=members,
            registry=registry,
            loads=self.loads,
            room=self.room,
            refused=self.refusals,
        )
        self.remote = remote_regions.RemoteRegions(
            members=members,
            registry=registry,
            work=self.estimates,
            rng=rng,
            link_bytes_per_s=link_bytes_per_s,
            link_delay_s=link_delay_s,
            link_share=link_share,
        )
        self.prompt_parts = prompt_parts.PromptParts(
            registry, members=members, work=self.estimates, max_holders=part_holders
        )

    @property
    def region(self) -> str:
        """Return the region of this instance."""
        return self.members.own.region

    def place(
        self, request: assignments.PlacementRequest, now: float
    ) -> choices.ToUpstream | choices.ToInstance | choices.Refused:
        """Choose an upstream or another region for a request, or refuse it.

        The request then counts as running at the upstream that it is placed on.
        """
        self.prompt_parts.record_request(request, now)
        found = self._options(request, now)
        full = found.full
        if not found.fitting and found.remote is None and request.versions is not None:
            # Only upstreams of some versions will do, and the last of them may be leaving.
            found = self._options(request, now, lingering=True)
            full = full + found.full
        local_s, first_token_s, best = found.local
        remote_choice = found.remote
        self.room.record_demand(request.service.name, request.memory_demand)
        inputs = self._placement_inputs(request, found, now)
        inputs.without_memory = len(full) or None
        if remote_choice is not None and (
            best is None or remote_choice[0] + self.spill_gain_s < local_s
        ):
            remote_s, info = remote_choice
            if remote_s < request.left_s:
                self.remote.count_forward(
                    info.region, request.service.name, now, body_bytes=request.body_bytes
                )
                return choices.ToInstance(
                    info, better_than_s=local_s if best else 0.0, placement_inputs=inputs
                )
        if best is None:
            usable = self._usable(request, now)
            return self.refusals.without_candidate(request, usable, full, inputs, now)
        if first_token_s > request.left_s:
            return refusals.refuse(
                errors.Code.OVERLOADED,
                f"estimated wait of {first_token_s:.2f} s is longer than the time left",
                inputs,
            )
        self._assign(best, request, found.uses, now)
        return choices.ToUpstream(best.upstream, inputs)

    def record_prompt_read(self, request_id: str) -> None:
        """Record that an upstream has begun to answer a request, so it has read the prompt."""
        assignment = self.assignments.get(request_id)
        if assignment is not None and not assignment.prompt_read:
            assignment.prompt_read = True
            self.registry.record_prompt_read(
                assignment.upstream, prompt_tokens=assignment.prompt_tokens
            )

    def release(self, request_id: str, now: float) -> None:
        """Stop counting a request at its upstream; nothing happens if it is not placed."""
        assignment = self.assignments.get(request_id)
        if assignment is None:
            return
        self.record_prompt_read(request_id)
        del self.assignments[request_id]
        self.registry.record_end(assignment.upstream)
        assignment.replica.memory.record_end(assignment.memory_demand, now)

    def record_work_time(self, request_id: str, now: float) -> None:
        """Update the average time of a service with a request that just succeeded."""
        assignment = self.assignments.get(request_id)
        if assignment is not None:
            self.estimates.record_work_time(assignment.service, now - assignment.placed_at)

    def record_answer(self, request_id: str, *, began_at: float | None, now: float) -> None:
        """Learn the speed of an upstream from a request that just succeeded at the first attempt.

        Args:
            request_id: Id of the request.
            began_at: When the answer began, in monotonic seconds; None if that is not known.
            now: Monotonic seconds.
        """
        assignment = self.assignments.get(request_id)
        if assignment is not None:
            self.speeds.record_answer(assignment, began_at=began_at, now=now)

    def rooms(
        self, offered: typing.Iterable[services.Service], now: float
    ) -> list[pulses.ServiceCapacity]:
        """Return the room that this region has for each service with a usable warm upstream."""
        return self.region_rooms.report(offered, now)

    def _placement_inputs(
        self,
        request: assignments.PlacementRequest,
        found: options.Options,
        now: float,
    ) -> placement_inputs.PlacementInputs:
        """Return the inputs of a placement decision, for the log."""
        _, first_token_s, best = found.local
        inputs = placement_inputs.PlacementInputs(
            known=self.registry.count_known(request.service.name),
            usable=len(found.fitting) + len(found.full),
            memory_needed=request.memory_demand.tokens or None,
            told_s=round(self.members.oldest_pulse_age(now), 3),
        )
        if best is not None:
            inputs.wait_s = round(first_token_s, 3)
            inputs.running = self.loads.running(best, found.uses)
            inputs.slots = best.upstream.slots
            inputs.memory_free = self.room.known_free(best, now)
            factor = self.speeds.work_factor(best, request.service, now)
            inputs.work_factor = round(factor, 2)
        if found.remote is not None:
            inputs.elsewhere_s = round(found.remote[0], 3)
            inputs.elsewhere = found.remote[1].region
        return inputs

    def _options(
        self, request: assignments.PlacementRequest, now: float, *, lingering: bool = False
    ) -> options.Options:
        """Return the upstreams and regions that can take a request.

        Args:
            request: The request.
            now: Monotonic seconds.
            lingering: Whether to choose among the upstreams that are leaving.
        """
        candidates = self._local_candidates(request, now, lingering=lingering)
        fitting, full = self.room.split(candidates, request.memory_demand, now)
        uses = self.members.near_uses(now)
        return options.Options(
            fitting=fitting,
            full=full,
            local=self._choose_local(fitting, request, uses, now),
            uses=uses,
            remote=(
                None
                if request.local_only
                else self._choose_remote(request, now, lingering=lingering)
            ),
        )

    def _local_candidates(
        self, request: assignments.PlacementRequest, now: float, *, lingering: bool
    ) -> list[replica_state.Replica]:
        """Return the upstreams of this region that can take a request, but for their memory."""
        if request.regions is not None and self.region not in request.regions:
            return []
        usable = self._usable(request, now, lingering=lingering)
        near_ids = self.members.near_ids(now)
        sharers = self.members.rate_sharers(now)
        return [
            r
            for r in self.registry.healthy(usable, now)
            if self.registry.admits(r, now, near_ids)
            and self.registry.send_wait_s(r, now, sharers) <= 0
        ]

    def _usable(
        self, request: assignments.PlacementRequest, now: float, *, lingering: bool = False
    ) -> list[replica_state.Replica]:
        """Return the upstreams of this region that a request may be sent to."""
        return self.registry.usable(
            request.service.name,
            now,
            avoid=request.avoid,
            versions=request.versions,
            lingering=lingering,
        )

    def _choose_local(
        self,
        candidates: list[replica_state.Replica],
        request: assignments.PlacementRequest,
        uses: upstream_loads.NearUses,
        now: float,
    ) -> options.LocalChoice:
        """Return the least cost of an upstream, its time to first token, and the upstream.

        Cost and time are estimates in seconds. Ties are broken at random. Without candidates the
        result is 0, 0 and None.
        """
        if not candidates:
            return 0.0, 0.0, None
        holders = (
            self.prompt_parts.holder(request, now),
            self.prompt_parts.second_holder(request, candidates),
        )
        kept = self._part_candidates(candidates, request, uses, now)
        considered = kept if len(kept) < len(candidates) else self._sample(kept, holders, now)
        rated = []
        for replica in considered:
            first_token_s = self._estimate_first_token(replica, request, uses, holders, now)
            running = self.loads.running(replica, uses)
            slowdown_s = self.estimates.slowdown(replica, request.service, running=running)
            cost_s = first_token_s + slowdown_s
            rated.append((cost_s, self.rng.random(), first_token_s, replica))
        cost_s, _, first_token_s, best = min(rated)
        return cost_s, first_token_s, best

    def _part_candidates(
        self,
        candidates: list[replica_state.Replica],
        request: assignments.PlacementRequest,
        uses: upstream_loads.NearUses,
        now: float,
    ) -> list[replica_state.Replica]:
        """Return the candidates that may hold a shared part; all if it has none that matters."""

        def fill(replica: replica_state.Replica) -> float:
            return self.loads.running(replica, uses) / replica.upstream.slots

        return self.prompt_parts.narrow(request, candidates, fill, now)

    def _sample(
        self, candidates: list[replica_state.Replica], holders: tuple[str, str], now: float
    ) -> list[replica_state.Replica]:
        """Return the upstreams among which a request is placed: a random few of many instances.

        Reports age with the number of instances. If all of them chose the best upstream by the
        same old reports, it would get the requests of all.
        """
        choosers = len(self.members.near_ids(now))
        count = max(MIN_CONSIDERED, round(len(candidates) * CHOOSERS_OF_ALL / choosers))
        if count >= len(candidates):
            return candidates
        sample = self.rng.sample(candidates, count)
        return sample + [
            replica
            for replica in candidates
            if replica.upstream.name in holders and replica not in sample
        ]

    def _estimate_first_token(
        self,
        replica: replica_state.Replica,
        request: assignments.PlacementRequest,
        uses: upstream_loads.NearUses,
        part_holders: tuple[str, str],
        now: float,
    ) -> float:
        """Return the estimated time to first token at an upstream, with penalties, in seconds.

        Args:
            replica: The upstream.
            request: The request.
            uses: Running requests and unread prompt tokens of other near instances, by upstream.
            part_holders: Names of the upstream that holds the shared part, and of the candidate
                that is preferred after it.
            now: Monotonic seconds.
        """
        holder, second_holder = part_holders
        unread = prompt_parts.unread_tokens(replica, request.parts, holder)
        prefill_factor = self.speeds.prefill_factor(replica, now)
        prefill_s = unread / estimates.PREFILL_TOKENS_PER_S * prefill_factor
        if holder and unread > request.parts[-1][1]:
            prefill_s += remote_regions.REREAD_PENALTY_S
            prefill_s *= SECOND_HOLDER_FACTOR if replica.upstream.name == second_holder else 1.0
        return self.loads.wait(replica, request.service, uses, now) + prefill_s

    def _choose_remote(
        self, request: assignments.PlacementRequest, now: float, *, lingering: bool
    ) -> options.RemoteChoice | None:
        """Return the best other region's estimated time to first token, and an instance there."""
        holder = self.prompt_parts.holder(request, now)
        return self.remote.choose(request, holder, now, lingering=lingering)

    def _assign(
        self,
        replica: replica_state.Replica,
        request: assignments.PlacementRequest,
        uses: upstream_loads.NearUses,
        now: float,
    ) -> None:
        """Count a request as running at an upstream."""
        tokens = prompt_parts.unread_tokens(replica, request.parts, "")
        name = replica.upstream.name
        replica.record_parts(part for part, _ in request.parts)
        demand = request.memory_demand
        replica.memory.record_dispatch(demand, now)
        self.assignments[request.request_id] = assignments.Assignment(
            name,
            prompt_tokens=tokens,
            placed_at=now,
            service=request.service.name,
            replica=replica,
            ahead=self.loads.ahead(replica, uses),
            output_tokens=request.output_tokens,
            memory_demand=demand,
        )
        self.registry.record_dispatch(name, prompt_tokens=tokens, now=now)
