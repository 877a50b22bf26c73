"""Chooses the upstream or the region for a request, or lets it wait."""

from __future__ import annotations

from yuccahitch import errors, records
from yuccahitch.controllers import (
    basis,
    choices,
    configuration,
    membership,
    queue,
    rendezvous,
    upstreams,
)
from yuccahitch.controllers import (
    rules as policy,
)
from yuccahitch.messages import commands, peers
from yuccahitch.resources import upstream

LONG_TOKENS = 600
ASK_FULL_S = 2.0
ASK_PAUSE_S = 1.0
SHORT_RESERVE = 0.25
PROMPT_WEIGHT = 0.1
CACHED_SHARE = 0.9
RETRY_AFTER_S = 1.0


class Task(records.Record):
    """What placement must know of a request.

    Attributes:
        request_id: The request.
        account: Its client account.
        weight: Weight of the account.
        service: Its service.
        regions: Regions where its data may reside; None means every region.
        prefix: Hash of the beginning of its prompt, or 0.
        prompt_tokens: Tokens of its prompt.
        output_tokens: Limit of its answer in tokens.
        body_bytes: Size of its body.
        deadline: When its answer must begin, in monotonic seconds.
        avoid: Upstreams and instances that failed it.
        local_only: Whether it may not be forwarded.
        better_than_s: First-token time elsewhere; a longer wait here is declined. 0 means none.
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
    def long(self) -> bool:
        """Return whether it is a long request."""
        return self.output_tokens + self.prompt_tokens * PROMPT_WEIGHT > LONG_TOKENS

    @property
    def cost(self) -> float:
        """Return its work in output tokens."""
        return max(1.0, self.output_tokens + self.prompt_tokens * PROMPT_WEIGHT)


class Remote(records.Record):
    """What another region offers a request.

    Attributes:
        estimate_s: Estimated time to the first token there, the link included, in seconds.
        row: The instance that would take it.
        cost: Cost of the cheapest replica.
        upstream: The replica with the shortest estimate.
    """

    __slots__ = ("estimate_s", "row", "cost", "upstream")

    def __init__(
        self, estimate_s: float, row: peers.InstanceInfo, cost: float, item: upstream.Upstream
    ) -> None:
        self.estimate_s = estimate_s
        self.row = row
        self.cost = cost
        self.upstream = item


class Placement:
    """Places requests and serves the queue.

    Args:
        config: Holds the catalog.
        members: The live instances.
        states: Load and health of the upstreams.
        waiting: The queue.
        rules: Rules in force.
        window: Requests that an upstream gets for each of its slots before others wait.
        link_bytes_per_s: Bandwidth between regions, in bytes a second.
        link_delay_s: One-way delay between regions, in seconds.
        spill_gain_s: Gain in first-token time that justifies another region, in seconds.
    """

    __slots__ = (
        "config",
        "members",
        "states",
        "waiting",
        "rules",
        "window",
        "link_bytes_per_s",
        "link_delay_s",
        "spill_gain_s",
        "turns",
        "ask_again_at",
        "places",
        "tasks",
        "outbox",
    )

    def __init__(
        self,
        *,
        config: configuration.Configuration,
        members: membership.Membership,
        states: upstreams.Upstreams,
        waiting: queue.Queue,
        rules: policy.Rules | None = None,
        window: float = 1.25,
        link_bytes_per_s: float = 8_750_000.0,
        link_delay_s: float = 0.055,
        spill_gain_s: float = 0.5,
    ) -> None:
        self.config = config
        self.members = members
        self.states = states
        self.waiting = waiting
        self.rules = rules or policy.Rules()
        self.window = window
        self.link_bytes_per_s = link_bytes_per_s
        self.link_delay_s = link_delay_s
        self.spill_gain_s = spill_gain_s
        self.turns = 0
        self.ask_again_at: dict[tuple[str, str], float] = {}
        self.places: dict[str, tuple[str, bool]] = {}
        self.tasks: dict[str, Task] = {}
        self.outbox: list[commands.Command] = []

    @property
    def region(self) -> str:
        """Return the region of this instance."""
        return self.members.own.region

    def place(self, task: Task, now: float) -> choices.Choice:
        """Choose for a request that has just come to this step."""
        local_allowed = task.regions is None or self.region in task.regions
        candidates = self._candidates(task, now) if local_allowed else []
        best = self._best_local(candidates, task, now)
        here_s = self._local_estimate(best, candidates, task, now) if candidates else 0.0
        remote = None
        if not task.local_only:
            remote = self._best_remote(task, now, has_local=bool(candidates), here_s=here_s)
        if not candidates and remote is None and local_allowed:
            # All are ejected and there is nowhere else to go.
            candidates = self._local(task.service, now, avoid=task.avoid)
            best = self._best_local(candidates, task, now)
        seen = self._basis(task, candidates, here_s, remote, now)
        if not candidates:
            return self._without_local(task, remote, local_allowed, seen)
        if remote is not None and self._spills(here_s, remote.estimate_s):
            return self._forward(remote, seen, better_than_s=here_s)
        if best is not None:
            seen.slots = best.slots
            seen.running = round(self.states.occupancy(best, now))
            self._take(best.name, task)
            return choices.ToUpstream(best, seen)
        if 0 < task.better_than_s < here_s:
            detail = "the wait here is longer"
            return choices.Refused(_refusal(errors.Code.OVERLOADED, detail), seen)
        return self._enqueue(task, here_s, seen, now)

    def _basis(
        self,
        task: Task,
        candidates: list[upstream.Upstream],
        here_s: float,
        remote: Remote | None,
        now: float,
    ) -> basis.Basis:
        return basis.Basis(
            known=len(self._present(task.service, now, ())),
            usable=len(candidates),
            wait_s=round(here_s, 3) if candidates else None,
            elsewhere=remote.upstream.region if remote is not None else "",
            elsewhere_s=round(remote.estimate_s, 3) if remote is not None else None,
        )

    def declined(self, instance: str, account: str, now: float) -> None:
        """Note that an instance had no place: the account does not ask its region for a moment."""
        row = self.members.find(instance)
        if row is not None:
            self.ask_again_at[(row.region, account)] = now + ASK_PAUSE_S

    def _best_local(
        self, candidates: list[upstream.Upstream], task: Task, now: float
    ) -> upstream.Upstream | None:
        """Return the upstream that can take a request at once, or None."""
        if not candidates:
            return None
        free = [item for item in candidates if self._has_room(item, task.long, now)]
        if free and self.waiting.waiting_cost(task.service) <= 0:
            return self._choose(free, task, now)
        # Another attempt does not wait again: the budget for retries keeps these few.
        return self._choose(candidates, task, now) if task.avoid else None

    def release(self, request_id: str, now: float) -> None:
        """Free the place of a request that is over, and let the next one in."""
        name, long = self.places.pop(request_id, ("", False))
        if name:
            self.states.returned(name, long=long)
            self.serve(now)
        elif request_id in self.tasks:
            self.waiting.remove(request_id)
            del self.tasks[request_id]

    def serve(self, now: float) -> None:
        """Let waiting requests in as far as there is room."""
        for service in self.waiting.services():
            while self._serve_one(service, now):
                pass

    def tick(self, now: float) -> None:
        """Refuse those who waited too long and serve the rest."""
        for item in self.waiting.expire(now):
            del self.tasks[item.request_id]
            error = _refusal(errors.Code.DEADLINE, "it waited for an upstream until its deadline")
            self.outbox.append(commands.WakeRequest(item.request_id, commands.WaitDenied(error)))
        self.serve(now)

    def _serve_one(self, service: str, now: float) -> bool:
        replicas = self._local(service, now)
        room_long = [item for item in replicas if self._has_room(item, True, now)]
        room = room_long or [item for item in replicas if self._has_room(item, False, now)]
        if not room:
            return False
        item = self.waiting.pop(service, allow_long=bool(room_long))
        if item is None:
            return False
        task = self.tasks.pop(item.request_id)
        chosen = self._choose(room, task, now)
        self._take(chosen.name, task)
        self.outbox.append(commands.WakeRequest(item.request_id, choices.ToUpstream(chosen)))
        return True

    def _candidates(self, task: Task, now: float) -> list[upstream.Upstream]:
        present = self._present(task.service, now, task.avoid)
        return [item for item in present if not self.states.ejected(item, now)]

    def _local(
        self, service: str, now: float, *, avoid: tuple[str, ...] = ()
    ) -> list[upstream.Upstream]:
        """Return the upstreams of this region; if all are ejected, all are tried again."""
        present = self._present(service, now, avoid)
        return [item for item in present if not self.states.ejected(item, now)] or present

    def _present(self, service: str, now: float, avoid: tuple[str, ...]) -> list[upstream.Upstream]:
        return [
            item
            for item in self.config.catalog.upstreams_by_service.get(service, {}).values()
            if item.region == self.region
            and item.name not in avoid
            and not self.states.leaving(item, now)
        ]

    def _has_room(self, item: upstream.Upstream, long: bool, now: float) -> bool:
        limit = item.slots * self.window
        if self.states.occupancy(item, now) >= limit:
            return False
        if not long or not self.rules.short_lane:
            return True
        long_limit = max(1.0, limit * (1 - SHORT_RESERVE))
        return self.states.state(item.name).long_outstanding < long_limit

    def _choose(self, items: list[upstream.Upstream], task: Task, now: float) -> upstream.Upstream:
        if not self.rules.load_aware:
            self.turns += 1
            return items[self.turns % len(items)]
        affine = self._affine(task)
        return min(items, key=lambda item: (self._estimate(item, affine, task, now), item.name))

    def _affine(self, task: Task) -> str:
        if not task.prefix or not self.rules.affinity:
            return ""
        names = [
            item.name
            for item in self.config.catalog.upstreams_by_service.get(task.service, {}).values()
            if item.region == self.region and not item.leaving
        ]
        return rendezvous.first(str(task.prefix), names)

    def _estimate(self, item: upstream.Upstream, affine: str, task: Task, now: float) -> float:
        """Return the estimated time to the first token, in seconds."""
        occupancy = self.states.occupancy(item, now)
        state = self.states.state(item.name)
        queued = max(0.0, occupancy + 1 - item.slots)
        wait = queued * state.service_s / item.slots
        crowding = occupancy / item.slots * 0.01
        cached = CACHED_SHARE if item.name == affine else 0.0
        prefill = task.prompt_tokens * (1 - cached) / upstreams.PREFILL_TOKENS_PER_S
        return wait + crowding + prefill

    def _local_estimate(
        self,
        best: upstream.Upstream | None,
        candidates: list[upstream.Upstream],
        task: Task,
        now: float,
    ) -> float:
        affine = self._affine(task)
        if best is not None:
            return self._estimate(best, affine, task, now)
        slots = sum(item.slots for item in candidates)
        pace = sum(self.states.state(item.name).token_s for item in candidates) / len(candidates)
        ahead = self.waiting.ahead(task.service, task.account, weight=task.weight, cost=task.cost)
        queue_s = ahead * pace / slots
        return queue_s + min(self._estimate(item, affine, task, now) for item in candidates)

    def _best_remote(
        self, task: Task, now: float, *, has_local: bool, here_s: float
    ) -> Remote | None:
        """Return estimate, instance and cost of the best other region.

        A full region's queue is not known here; it is asked only when the wait here is long, and
        declines when its own is longer.
        """
        options = []
        for region, items in self._remote_replicas(task, now).items():
            rows = [
                row for row in self.members.serving(region=region) if row.instance not in task.avoid
            ]
            if not rows:
                continue
            row = rendezvous.ranked(task.request_id, [r.instance for r in rows])[0]
            nearest = min(items, key=lambda item: self._estimate(item, "", task, now))
            estimate = self._estimate(nearest, "", task, now)
            full = all(not self._has_room(item, task.long, now) for item in items)
            asked = now < self.ask_again_at.get((region, task.account), 0.0)
            if full and has_local and (asked or here_s < ASK_FULL_S):
                continue
            link = 2 * self.link_delay_s + task.body_bytes / self.link_bytes_per_s
            cost = min(item.cost for item in items)
            options.append(Remote(estimate + link, self.members.find(row), cost, nearest))
        return min(options, key=lambda option: (option.estimate_s, option.cost), default=None)

    def _remote_replicas(self, task: Task, now: float) -> dict[str, list[upstream.Upstream]]:
        found: dict[str, list[upstream.Upstream]] = {}
        for item in self.config.catalog.upstreams_by_service.get(task.service, {}).values():
            allowed = task.regions is None or item.region in task.regions
            if item.region != self.region and allowed and self.states.usable(item, now):
                found.setdefault(item.region, []).append(item)
        return found

    def _forward(
        self, remote: Remote, seen: basis.Basis, *, better_than_s: float = 0.0
    ) -> choices.Choice:
        # Reports of the other region come late: what is sent there counts at once.
        self.states.forwarded(remote.upstream.name)
        return choices.ToInstance(remote.row, better_than_s=better_than_s, basis=seen)

    def _spills(self, here_s: float, there_s: float) -> bool:
        return self.rules.spill and here_s > there_s + self.spill_gain_s

    def _without_local(
        self, task: Task, remote: Remote | None, local_allowed: bool, seen: basis.Basis
    ) -> choices.Choice:
        if remote is not None:
            return self._forward(remote, seen)
        if task.regions is not None and not local_allowed and not task.local_only:
            allowed = ", ".join(sorted(task.regions))
            detail = f"the data may only reside in {allowed}, where nothing is reachable"
            return choices.Refused(_refusal(errors.Code.PEER_UNREACHABLE, detail), seen)
        return choices.Refused(_refusal(errors.Code.NO_UPSTREAM, ""), seen)

    def _enqueue(self, task: Task, here_s: float, seen: basis.Basis, now: float) -> choices.Choice:
        if self.rules.early_refusal and now + here_s > task.deadline:
            detail = f"the first token would take about {here_s:.1f} s"
            error = _refusal(errors.Code.OVERLOADED, detail, retry_after=here_s)
            return choices.Refused(error, seen)
        item = queue.Waiting(
            request_id=task.request_id,
            account=task.account,
            service=task.service,
            weight=task.weight,
            cost=task.cost,
            long=task.long,
            until=task.deadline,
        )
        if not self.waiting.add(item):
            error = _refusal(errors.Code.OVERLOADED, "the queue is full", retry_after=here_s)
            return choices.Refused(error, seen)
        self.tasks[task.request_id] = task
        return choices.Wait(task.deadline, seen)

    def _take(self, name: str, task: Task) -> None:
        self.places[task.request_id] = (name, task.long)
        self.states.sent(name, long=task.long)


def _refusal(
    code: errors.Code, detail: str, *, retry_after: float = RETRY_AFTER_S
) -> errors.GatewayError:
    return errors.GatewayError(
        code,
        step=choices.STEP,
        detail=detail,
        retry_after=max(RETRY_AFTER_S, min(retry_after, 60.0)),
    )
