"""Places requests: chooses an upstream or another region for each, or queues it."""

from __future__ import annotations

from yuccahitch import errors, records
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.members import membership, rendezvous
from yuccahitch.controllers.placement import choices, placement_inputs, queue
from yuccahitch.controllers.placement import rules as policy
from yuccahitch.controllers.upstream_state import upstreams
from yuccahitch.messages import commands, peers
from yuccahitch.resources import upstream

LONG_REQUEST_TOKENS = 600  # requests that cost more output tokens count as long
ASK_FULL_REGION_AFTER_S = 2.0  # a full region is asked only if the estimate here is longer
DECLINED_REGION_PAUSE_S = 1.0
SHORT_REQUEST_RESERVE = 0.25  # fraction of an upstream's places that long requests don't get
PROMPT_TOKEN_WEIGHT = 0.1  # cost of a prompt token, in output tokens
CACHED_PREFIX_FRACTION = 0.9  # fraction of a prompt that a cached prefix saves reading
MIN_RETRY_AFTER_S = 1.0


class PlacementRequest(records.Record):
    """The properties of a request that its placement depends on.

    Attributes:
        request_id: Id of the request.
        account: Name of its client account.
        weight: Fair-queuing weight of the account.
        service: Name of its service.
        regions: Regions where its data may reside; None means every region.
        prefix: Hash of the beginning of its prompt, or 0.
        prompt_tokens: Number of tokens of its prompt.
        output_tokens: Limit of its answer, in tokens.
        body_bytes: Size of its body.
        deadline: When its answer must begin, in monotonic seconds.
        avoid: Names of the upstreams and instances whose attempts at the request failed.
        local_only: Whether it must not be forwarded to another region.
        better_than_s: First-token time where it was forwarded; a longer one is declined. 0: none.
    """

    __slots__ = (
        "request_id",
        "account",
        "weight",
        "service",
        "regions",
        "prefix",
        "prompt_tokens",
        "output_tokens",
        "body_bytes",
        "deadline",
        "avoid",
        "local_only",
        "better_than_s",
    )

    def __init__(
        self,
        *,
        request_id: str,
        account: str,
        weight: float,
        service: str,
        regions: frozenset[str] | None,
        prefix: int,
        prompt_tokens: int,
        output_tokens: int,
        body_bytes: int,
        deadline: float,
        avoid: tuple[str, ...],
        local_only: bool,
        better_than_s: float = 0.0,
    ) -> None:
        self.request_id = request_id
        self.account = account
        self.weight = weight
        self.service = service
        self.regions = regions
        self.prefix = prefix
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.body_bytes = body_bytes
        self.deadline = deadline
        self.avoid = avoid
        self.local_only = local_only
        self.better_than_s = better_than_s

    @property
    def is_long(self) -> bool:
        """Return whether the request counts as long."""
        return self.output_tokens + self.prompt_tokens * PROMPT_TOKEN_WEIGHT > LONG_REQUEST_TOKENS

    @property
    def cost(self) -> float:
        """Return the estimated work of the request, in output tokens."""
        return max(1.0, self.output_tokens + self.prompt_tokens * PROMPT_TOKEN_WEIGHT)


class RemoteOption(records.Record):
    """Another region that a request could be forwarded to.

    Attributes:
        estimate_s: Estimated time to the first token there, including the link, in seconds.
        receiver: The instance of the region that would get the request.
        cost: Cost of the region's cheapest upstream.
        upstream: The region's upstream with the shortest estimate.
    """

    __slots__ = ("estimate_s", "receiver", "cost", "upstream")

    def __init__(
        self, estimate_s: float, receiver: peers.InstanceInfo, cost: float, spec: upstream.Upstream
    ) -> None:
        self.estimate_s = estimate_s
        self.receiver = receiver
        self.cost = cost
        self.upstream = spec


class Placement:
    """Places requests at upstreams and in regions, and serves the queue of those that wait.

    Args:
        config: Holds the catalog.
        members: The live instances.
        upstream_states: Load and health of the upstreams.
        request_queue: The requests that wait for a place.
        rules: Placement rules in force.
        requests_per_slot: Requests sent to an upstream per slot before further ones are queued.
        link_bytes_per_s: Bandwidth between regions, in bytes a second.
        link_delay_s: One-way delay between regions, in seconds.
        spill_gain_s: Gain in first-token time that justifies another region, in seconds.
    """

    __slots__ = (
        "config",
        "members",
        "upstream_states",
        "request_queue",
        "rules",
        "requests_per_slot",
        "link_bytes_per_s",
        "link_delay_s",
        "spill_gain_s",
        "round_robin_turns",
        "region_retry_at",
        "places",
        "queued_requests",
        "outbox",
    )

    def __init__(
        self,
        *,
        config: configuration.Configuration,
        members: membership.Membership,
        upstream_states: upstreams.UpstreamStates,
        request_queue: queue.RequestQueue,
        rules: policy.Rules | None = None,
        requests_per_slot: float = 1.25,
        link_bytes_per_s: float = 8_750_000.0,
        link_delay_s: float = 0.055,
        spill_gain_s: float = 0.5,
    ) -> None:
        self.config = config
        self.members = members
        self.upstream_states = upstream_states
        self.request_queue = request_queue
        self.rules = rules or policy.Rules()
        self.requests_per_slot = requests_per_slot
        self.link_bytes_per_s = link_bytes_per_s
        self.link_delay_s = link_delay_s
        self.spill_gain_s = spill_gain_s
        self.round_robin_turns = 0
        self.region_retry_at: dict[tuple[str, str], float] = {}  # by region and account
        self.places: dict[str, tuple[str, bool]] = {}  # request id: upstream, is_long
        self.queued_requests: dict[str, PlacementRequest] = {}  # by request id
        self.outbox: list[commands.Command] = []

    @property
    def region(self) -> str:
        """Return the region of this instance."""
        return self.members.own.region

    def place(self, request: PlacementRequest, now: float) -> choices.Choice:
        """Choose an upstream or a region for a request, or queue or refuse it."""
        # local_s: estimated time to the first token in this region, in seconds.
        local_allowed = request.regions is None or self.region in request.regions
        candidates = self._usable_upstreams(request, now) if local_allowed else []
        best = self._best_local(candidates, request, now)
        local_s = self._local_first_token_s(best, candidates, request, now) if candidates else 0.0
        remote = None
        if not request.local_only:
            remote = self._best_remote(request, now, has_local=bool(candidates), local_s=local_s)
        if not candidates and remote is None and local_allowed:
            # All local upstreams are ejected and no other region is available: use them anyway.
            candidates = self._local_upstreams(request.service, now, avoid=request.avoid)
            best = self._best_local(candidates, request, now)
        inputs = self._placement_inputs(request, candidates, local_s, remote, now)
        if not candidates:
            return self._choose_without_local(request, remote, local_allowed, inputs)
        if remote is not None and self._should_spill(local_s, remote.estimate_s):
            return self._forward(remote, inputs, better_than_s=local_s)
        if best is not None:
            inputs.slots = best.slots
            inputs.running = round(self.upstream_states.occupancy(best, now))
            self._occupy_place(best.name, request)
            return choices.ToUpstream(best, inputs)
        if 0 < request.better_than_s < local_s:
            detail = "the first token would take longer here than in the forwarding region"
            return choices.Refused(_refusal(errors.Code.OVERLOADED, detail), inputs)
        return self._enqueue(request, local_s, inputs, now)

    def _placement_inputs(
        self,
        request: PlacementRequest,
        candidates: list[upstream.Upstream],
        local_s: float,
        remote: RemoteOption | None,
        now: float,
    ) -> placement_inputs.PlacementInputs:
        return placement_inputs.PlacementInputs(
            known=len(self._known_upstreams(request.service, now, ())),
            usable=len(candidates),
            wait_s=round(local_s, 3) if candidates else None,
            elsewhere=remote.upstream.region if remote is not None else "",
            elsewhere_s=round(remote.estimate_s, 3) if remote is not None else None,
        )

    def record_declined(self, instance: str, account: str, now: float) -> None:
        """Keep an account's requests from the region, if full, of an instance that declined one."""
        info = self.members.find(instance)
        if info is not None:
            self.region_retry_at[(info.region, account)] = now + DECLINED_REGION_PAUSE_S

    def _best_local(
        self, candidates: list[upstream.Upstream], request: PlacementRequest, now: float
    ) -> upstream.Upstream | None:
        """Return the upstream that a request can be dispatched to at once, or None."""
        if not candidates:
            return None
        free = [spec for spec in candidates if self._can_take(spec, request.is_long, now)]
        if free and self.request_queue.queued_cost(request.service) <= 0:
            return self._choose_upstream(free, request, now)
        # Further attempts don't wait in the queue again: the retry budget keeps them few.
        return self._choose_upstream(candidates, request, now) if request.avoid else None

    def release(self, request_id: str, now: float) -> None:
        """Free the place of a request that has ended, or remove it from the queue."""
        name, is_long = self.places.pop(request_id, ("", False))
        if name:
            self.upstream_states.record_ended(name, is_long=is_long)
            self.serve_queue(now)
        elif request_id in self.queued_requests:
            self.request_queue.remove(request_id)
            del self.queued_requests[request_id]

    def serve_queue(self, now: float) -> None:
        """Assign upstreams to queued requests as long as upstreams have capacity."""
        for service in self.request_queue.waiting_services():
            while self._serve_next(service, now):
                pass

    def tick(self, now: float) -> None:
        """Refuse the queued requests that have expired and serve the others."""
        for queued in self.request_queue.expire(now):
            del self.queued_requests[queued.request_id]
            error = _refusal(errors.Code.DEADLINE, "no upstream had capacity before the deadline")
            self.outbox.append(commands.WakeRequest(queued.request_id, commands.WaitDenied(error)))
        self.serve_queue(now)

    def _serve_next(self, service: str, now: float) -> bool:
        """Dispatch a service's next queued request; return False if none could be dispatched."""
        local = self._local_upstreams(service, now)
        open_to_long = [spec for spec in local if self._can_take(spec, True, now)]
        open_to_any = open_to_long or [spec for spec in local if self._can_take(spec, False, now)]
        if not open_to_any:
            return False
        queued = self.request_queue.pop(service, allow_long=bool(open_to_long))
        if queued is None:
            return False
        request = self.queued_requests.pop(queued.request_id)
        chosen = self._choose_upstream(open_to_any, request, now)
        self._occupy_place(chosen.name, request)
        self.outbox.append(commands.WakeRequest(queued.request_id, choices.ToUpstream(chosen)))
        return True

    def _usable_upstreams(self, request: PlacementRequest, now: float) -> list[upstream.Upstream]:
        """Return this region's upstreams that a request may be dispatched to."""
        listed = self._known_upstreams(request.service, now, request.avoid)
        return [spec for spec in listed if not self.upstream_states.is_ejected(spec, now)]

    def _local_upstreams(
        self, service: str, now: float, *, avoid: tuple[str, ...] = ()
    ) -> list[upstream.Upstream]:
        """Return this region's upstreams that are not ejected, or all if every one is ejected."""
        listed = self._known_upstreams(service, now, avoid)
        return [spec for spec in listed if not self.upstream_states.is_ejected(spec, now)] or listed

    def _known_upstreams(
        self, service: str, now: float, avoid: tuple[str, ...]
    ) -> list[upstream.Upstream]:
        """Return this region's upstreams that are not leaving, paused or in ``avoid``."""
        return [
            spec
            for spec in self.config.catalog.upstreams_by_service.get(service, {}).values()
            if spec.region == self.region
            and spec.name not in avoid
            and self.upstream_states.is_open(spec, now)
        ]

    def _can_take(self, spec: upstream.Upstream, is_long: bool, now: float) -> bool:
        """Return whether an upstream has capacity for a long or a short request."""
        limit = spec.slots * self.requests_per_slot
        if self.upstream_states.occupancy(spec, now) >= limit:
            return False
        if not is_long or not self.rules.short_lane:
            return True
        long_limit = max(1.0, limit * (1 - SHORT_REQUEST_RESERVE))
        return self.upstream_states.state(spec.name).long_outstanding < long_limit

    def _choose_upstream(
        self, eligible: list[upstream.Upstream], request: PlacementRequest, now: float
    ) -> upstream.Upstream:
        """Return the upstream with the shortest estimate; round robin without ``load_aware``."""
        if not self.rules.load_aware:
            self.round_robin_turns += 1
            return eligible[self.round_robin_turns % len(eligible)]
        affine = self._affine_upstream(request)
        return min(
            eligible,
            key=lambda spec: (self._first_token_s(spec, affine, request, now), spec.name),
        )

    def _affine_upstream(self, request: PlacementRequest) -> str:
        """Return the upstream whose cache should hold the request's prompt prefix, or ""."""
        if not request.prefix or not self.rules.affinity:
            return ""
        names = [
            spec.name
            for spec in self.config.catalog.upstreams_by_service.get(request.service, {}).values()
            if spec.region == self.region and not spec.leaving
        ]
        return rendezvous.owner(str(request.prefix), names)

    def _first_token_s(
        self, spec: upstream.Upstream, affine: str, request: PlacementRequest, now: float
    ) -> float:
        """Return the estimated time to the first token at an upstream, in seconds."""
        occupancy = self.upstream_states.occupancy(spec, now)
        state = self.upstream_states.state(spec.name)
        requests_ahead = max(0.0, occupancy + 1 - spec.slots)
        queue_wait_s = requests_ahead * state.mean_request_s / spec.slots
        crowding_s = occupancy / spec.slots * 0.01
        cached_fraction = CACHED_PREFIX_FRACTION if spec.name == affine else 0.0
        prefill_s = request.prompt_tokens * (1 - cached_fraction) / upstreams.PREFILL_TOKENS_PER_S
        return queue_wait_s + crowding_s + prefill_s

    def _local_first_token_s(
        self,
        best: upstream.Upstream | None,
        candidates: list[upstream.Upstream],
        request: PlacementRequest,
        now: float,
    ) -> float:
        """Return the estimated time to the first token in this region, in seconds."""
        affine = self._affine_upstream(request)
        if best is not None:
            return self._first_token_s(best, affine, request, now)
        slots = sum(spec.slots for spec in candidates)
        region_token_s = sum(
            self.upstream_states.state(spec.name).mean_token_s for spec in candidates
        ) / len(candidates)
        work_ahead = self.request_queue.work_ahead(
            request.service, request.account, weight=request.weight, cost=request.cost
        )
        queue_s = work_ahead * region_token_s / slots
        return queue_s + min(self._first_token_s(spec, affine, request, now) for spec in candidates)

    def _best_remote(
        self, request: PlacementRequest, now: float, *, has_local: bool, local_s: float
    ) -> RemoteOption | None:
        """Return the best other region for a request, or None.

        The queue of a full region is not known here. Such a region is asked only if the wait here
        is long, and declines the request if its own wait is longer.
        """
        options = []
        for region, eligible in self._remote_upstreams(request, now).items():
            instances = [
                info
                for info in self.members.serving(region=region)
                if info.instance not in request.avoid
            ]
            if not instances:
                continue
            target = rendezvous.ranked(request.request_id, [peer.instance for peer in instances])[0]
            fastest = min(eligible, key=lambda spec: self._first_token_s(spec, "", request, now))
            eta_s = self._first_token_s(fastest, "", request, now)
            region_full = all(not self._can_take(spec, request.is_long, now) for spec in eligible)
            declined = now < self.region_retry_at.get((region, request.account), 0.0)
            if region_full and has_local and (declined or local_s < ASK_FULL_REGION_AFTER_S):
                continue
            link_s = 2 * self.link_delay_s + request.body_bytes / self.link_bytes_per_s
            cost = min(spec.cost for spec in eligible)
            options.append(RemoteOption(eta_s + link_s, self.members.find(target), cost, fastest))
        return min(options, key=lambda option: (option.estimate_s, option.cost), default=None)

    def _remote_upstreams(
        self, request: PlacementRequest, now: float
    ) -> dict[str, list[upstream.Upstream]]:
        """Return the usable upstreams of the other regions that a request may go to, by region."""
        by_region: dict[str, list[upstream.Upstream]] = {}
        for spec in self.config.catalog.upstreams_by_service.get(request.service, {}).values():
            allowed = request.regions is None or spec.region in request.regions
            if spec.region != self.region and allowed and self.upstream_states.is_usable(spec, now):
                by_region.setdefault(spec.region, []).append(spec)
        return by_region

    def _forward(
        self,
        remote: RemoteOption,
        inputs: placement_inputs.PlacementInputs,
        *,
        better_than_s: float = 0.0,
    ) -> choices.Choice:
        # Load reports of the other region arrive late, so the forwarded request counts at once.
        self.upstream_states.record_forwarded(remote.upstream.name)
        return choices.ToInstance(
            remote.receiver, better_than_s=better_than_s, placement_inputs=inputs
        )

    def _should_spill(self, local_s: float, remote_s: float) -> bool:
        return self.rules.spill and local_s > remote_s + self.spill_gain_s

    def _choose_without_local(
        self,
        request: PlacementRequest,
        remote: RemoteOption | None,
        local_allowed: bool,
        inputs: placement_inputs.PlacementInputs,
    ) -> choices.Choice:
        """Forward or refuse a request that no upstream of this region may serve."""
        if remote is not None:
            return self._forward(remote, inputs)
        if request.regions is not None and not local_allowed and not request.local_only:
            allowed = ", ".join(sorted(request.regions))
            detail = f"the data may only reside in {allowed}, where no upstream is reachable"
            return choices.Refused(_refusal(errors.Code.PEER_UNREACHABLE, detail), inputs)
        return choices.Refused(_refusal(errors.Code.NO_UPSTREAM, ""), inputs)

    def _enqueue(
        self,
        request: PlacementRequest,
        local_s: float,
        inputs: placement_inputs.PlacementInputs,
        now: float,
    ) -> choices.Choice:
        """Queue a request, or refuse it if its deadline can't be met or the queue is full."""
        if self.rules.early_refusal and now + local_s > request.deadline:
            detail = f"the first token would take about {local_s:.1f} s"
            error = _refusal(errors.Code.OVERLOADED, detail, retry_after=local_s)
            return choices.Refused(error, inputs)
        queued = queue.QueuedRequest(
            request_id=request.request_id,
            account=request.account,
            service=request.service,
            weight=request.weight,
            cost=request.cost,
            is_long=request.is_long,
            expires_at=request.deadline,
        )
        if not self.request_queue.add(queued):
            error = _refusal(
                errors.Code.OVERLOADED, "the request queue is full", retry_after=local_s
            )
            return choices.Refused(error, inputs)
        self.queued_requests[request.request_id] = request
        return choices.Wait(request.deadline, inputs)

    def _occupy_place(self, name: str, request: PlacementRequest) -> None:
        self.places[request.request_id] = (name, request.is_long)
        self.upstream_states.record_sent(name, is_long=request.is_long)


def _refusal(
    code: errors.Code, detail: str, *, retry_after: float = MIN_RETRY_AFTER_S
) -> errors.GatewayError:
    return errors.GatewayError(
        code,
        step=choices.STEP,
        detail=detail,
        retry_after=max(MIN_RETRY_AFTER_S, min(retry_after, 60.0)),
    )
