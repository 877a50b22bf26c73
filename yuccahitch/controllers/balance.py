"""Chooses the upstream of a request, or the region that it goes to.

Every instance decides alone, on its own work at each upstream and on what the others of its region
told last.
"""

from __future__ import annotations

import random
import typing

from yuccahitch import errors, records
from yuccahitch.controllers import basis, choices, fleet, rendezvous, replicas
from yuccahitch.messages import peers, pulses
from yuccahitch.resources import service as services

STEP = choices.STEP
PREFILL_TOKENS_PER_S = 60_000.0
FIRST_TOKEN_S = 0.05
CROWDING_S = 0.15
PLAIN_WORK_S = 0.08
MODEL_WORK_S = 0.6
WORK_SHARE = 0.05
SUSPECT_S = 0.5
RETRY_AFTER_S = 0.4
UNKNOWN_WAIT_S = 0.3
# What reading a shared part again, beside the one upstream that holds it, weighs.
REREAD_S = 0.15
# Instances that must read a part beside its holder agree on where, as far as loads allow.
SECOND_HOLDER = 0.9


class Task(records.Record):
    """What must be known of a request to place it.

    Attributes:
        request_id: The request.
        service: Its service.
        regions: Regions where its data may reside; None means every region.
        parts: Parts of its prompt.
        body_bytes: Size of its body.
        left_s: Time until it is given up, in seconds.
        avoid: Upstreams and instances that failed it.
        local_only: Whether it came from another instance and may not go on.
    """

    __slots__ = (
        "request_id",
        "service",
        "regions",
        "parts",
        "body_bytes",
        "left_s",
        "avoid",
        "local_only",
    )

    def __init__(
        self,
        *,
        request_id: str,
        service: services.Service,
        regions: frozenset[str] | None,
        parts: tuple[tuple[str, int], ...],
        body_bytes: int,
        left_s: float,
        avoid: tuple[str, ...],
        local_only: bool,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.regions = regions
        self.parts = parts
        self.body_bytes = body_bytes
        self.left_s = left_s
        self.avoid = avoid
        self.local_only = local_only


class Placed(records.Record):
    """A request's place at an upstream.

    Attributes:
        upstream: Name of the upstream.
        prompt_tokens: Prompt tokens that it must read.
        began: Whether it has read them.
        at: When it was placed, in monotonic seconds.
        service: Name of the service.
    """

    __slots__ = ("upstream", "prompt_tokens", "began", "at", "service")

    def __init__(self, upstream: str, *, prompt_tokens: int, at: float, service: str) -> None:
        self.upstream = upstream
        self.prompt_tokens = prompt_tokens
        self.began = False
        self.at = at
        self.service = service


class Balance:
    """Places requests.

    Args:
        members: The fleet.
        found: The upstreams.
        rng: Seeded source of random numbers.
        link_bytes_per_s: Bandwidth between regions, in bytes a second.
        link_delay_s: One-way delay between regions, in seconds.
        spill_gain_s: Gain in first-token time that justifies another region, in seconds.
    """

    __slots__ = (
        "members",
        "found",
        "rng",
        "link_bytes_per_s",
        "link_delay_s",
        "spill_gain_s",
        "places",
        "work_s",
        "forwarded",
    )

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        found: replicas.Replicas,
        rng: random.Random,
        link_bytes_per_s: float,
        link_delay_s: float,
        spill_gain_s: float,
    ) -> None:
        self.members = members
        self.found = found
        self.rng = rng
        self.link_bytes_per_s = link_bytes_per_s
        self.link_delay_s = link_delay_s
        self.spill_gain_s = spill_gain_s
        self.places: dict[str, Placed] = {}
        self.work_s: dict[str, float] = {}
        self.forwarded: dict[tuple[str, str], tuple[float, int]] = {}

    @property
    def region(self) -> str:
        """Return the region of this instance."""
        return self.members.own.region

    def place(
        self, task: Task, now: float
    ) -> choices.ToUpstream | choices.ToInstance | choices.Refused:
        """Choose for a request."""
        local = self._local(task, now)
        here_s, best = self._best(local, task, now)
        remote = None if task.local_only else self._remote(task, now)
        seen = self._basis(task, local, here_s, best, remote, now)
        if remote is not None and (best is None or remote[0] + self.spill_gain_s < here_s):
            there_s, row = remote
            if there_s < task.left_s:
                self._count_forward(row.region, task.service.name, now)
                return choices.ToInstance(row, better_than_s=here_s if best else 0.0, basis=seen)
        if best is None:
            return _refused(errors.Code.NO_UPSTREAM, "no upstream can take it now", seen)
        if here_s > task.left_s:
            return _refused(errors.Code.OVERLOADED, f"it would wait {here_s:.2f} s", seen)
        self._take(best, task, now)
        return choices.ToUpstream(best.upstream, seen)

    def began(self, request_id: str) -> None:
        """Note that an upstream has begun to answer a request."""
        place = self.places.get(request_id)
        if place is not None and not place.began:
            place.began = True
            self.found.began(place.upstream, prompt_tokens=place.prompt_tokens)

    def release(self, request_id: str, now: float) -> None:
        """Free the place of a request."""
        place = self.places.get(request_id)
        if place is None:
            return
        self.began(request_id)
        del self.places[request_id]
        self.found.ended(place.upstream)

    def finished(self, request_id: str, now: float) -> None:
        """Learn how long an upstream works on a request."""
        place = self.places.get(request_id)
        if place is not None:
            known = self.work_s.get(place.service)
            took = now - place.at
            self.work_s[place.service] = (
                took if known is None else known + WORK_SHARE * (took - known)
            )

    def rooms(
        self, names: typing.Iterable[services.Service], now: float
    ) -> list[pulses.ServiceCapacity]:
        """Return what this region offers at each service."""
        uses = self.members.uses(now)
        rooms = []
        for service in names:
            usable = self.found.healthy(self.found.usable(service.name, now), now)
            warm = [replica for replica in usable if not self.found.cold(replica, now)]
            if not warm:
                continue
            waits = [self._wait(replica, service, uses) for replica in warm]
            places = sum(replica.upstream.slots for replica in warm)
            taken = sum(self._running(replica, uses) for replica in warm)
            room = pulses.ServiceCapacity(
                service.name, places=places, taken=taken, wait_s=min(waits)
            )
            rooms.append(room)
        return rooms

    def _basis(
        self,
        task: Task,
        local: list[replicas.Replica],
        here_s: float,
        best: replicas.Replica | None,
        remote: tuple[float, peers.InstanceInfo] | None,
        now: float,
    ) -> basis.Basis:
        seen = basis.Basis(
            known=self.found.count(task.service.name),
            usable=len(local),
            told_s=round(self.members.told_age(now), 3),
        )
        if best is not None:
            seen.wait_s = round(here_s, 3)
            seen.running = self._running(best, self.members.uses(now))
            seen.slots = best.upstream.slots
        if remote is not None:
            seen.elsewhere_s = round(remote[0], 3)
            seen.elsewhere = remote[1].region
        return seen

    def _local(self, task: Task, now: float) -> list[replicas.Replica]:
        if task.regions is not None and self.region not in task.regions:
            return []
        usable = self.found.usable(task.service.name, now, avoid=task.avoid)
        near = self.members.near(now)
        return [r for r in self.found.healthy(usable, now) if self.found.admits(r, now, near)]

    def _best(
        self, candidates: list[replicas.Replica], task: Task, now: float
    ) -> tuple[float, replicas.Replica | None]:
        if not candidates:
            return 0.0, None
        uses = self.members.uses(now)
        holder = self._holder(task, now)
        second = rendezvous.first(_shared(task), [r.upstream.name for r in candidates])
        rated = [
            (self._estimate(replica, task, uses, (holder, second)), self.rng.random(), replica)
            for replica in candidates
        ]
        estimate, _, best = min(rated)
        return estimate, best

    def _holder(self, task: Task, now: float) -> str:
        """Return the upstream, of any region, that all instances send a shared part to."""
        shared = _shared(task)
        if not shared:
            return ""
        regions = {replica.upstream.region for replica in self.found.table.values()}
        names = [
            replica.upstream.name
            for region in (regions if task.regions is None else regions & task.regions)
            for replica in self.found.usable(task.service.name, now, region=region)
        ]
        return rendezvous.first(shared, names)

    def _estimate(
        self,
        replica: replicas.Replica,
        task: Task,
        uses: dict[str, tuple[int, int]],
        holders: tuple[str, str],
    ) -> float:
        """Return the estimated time to the first token, in seconds, and what else it weighs."""
        holder, second = holders
        unread = _unread(replica, task.parts, holder)
        prefill = unread / PREFILL_TOKENS_PER_S
        if holder and unread > task.parts[-1][1]:
            prefill += REREAD_S
            prefill *= SECOND_HOLDER if replica.upstream.name == second else 1.0
        return self._wait(replica, task.service, uses) + prefill

    def _wait(
        self,
        replica: replicas.Replica,
        service: services.Service,
        uses: dict[str, tuple[int, int]],
    ) -> float:
        running = self._running(replica, uses)
        slots = replica.upstream.slots
        model = service.kind == services.MODEL
        work_s = self.work_s.get(service.name, MODEL_WORK_S if model else PLAIN_WORK_S)
        queued_s = max(0, running + 1 - slots) * work_s / slots
        crowding = running / slots * (CROWDING_S if model else work_s / 4)
        tokens = replica.prompt_tokens + uses.get(replica.upstream.name, (0, 0))[1]
        doubt = (1.0 - replica.success) * SUSPECT_S
        first_s = FIRST_TOKEN_S if model else work_s
        return first_s + queued_s + crowding + doubt + tokens / PREFILL_TOKENS_PER_S

    def _running(self, replica: replicas.Replica, uses: dict[str, tuple[int, int]]) -> int:
        return replica.running + uses.get(replica.upstream.name, (0, 0))[0]

    def _remote(self, task: Task, now: float) -> tuple[float, peers.InstanceInfo] | None:
        """Return the estimated time in the best other region, and an instance there."""
        regions = {m.row.region for m in self.members.alive(now)} - {self.region}
        if task.regions is not None:
            regions &= task.regions
        options = []
        for region in sorted(regions):
            if not self.found.usable(task.service.name, now, region=region):
                continue
            rows = [
                row
                for row in self.members.serving(now, region=region)
                if row.instance not in task.avoid
            ]
            if rows:
                wait = self._remote_wait(region, task, now)
                options.append((wait, self.rng.choice(rows)))
        return min(options, key=lambda option: option[0]) if options else None

    def _remote_wait(self, region: str, task: Task, now: float) -> float:
        room = self.members.room(region, task.service.name, now)
        link = 2 * self.link_delay_s + task.body_bytes / self.link_bytes_per_s
        holder = self.found.table.get(self._holder(task, now))
        held = holder is None or holder.upstream.region == region
        unread = sum(tokens for _, tokens in (task.parts[-1:] if held else task.parts))
        prefill = unread / PREFILL_TOKENS_PER_S + (0.0 if held else REREAD_S)
        if room is None:
            return link + prefill + UNKNOWN_WAIT_S
        work_s = self.work_s.get(task.service.name, MODEL_WORK_S)
        sent_at, sent = self.forwarded.get((region, task.service.name), (0.0, 0))
        mine = sent if now - sent_at < 1.0 else 0
        queued = max(0, room.taken + mine - room.places) * work_s / max(1, room.places)
        return link + prefill + room.wait_s + queued

    def _count_forward(self, region: str, service: str, now: float) -> None:
        began, sent = self.forwarded.get((region, service), (now, 0))
        if now - began >= 1.0:
            began, sent = now, 0
        self.forwarded[(region, service)] = (began, sent + 1)

    def _take(self, replica: replicas.Replica, task: Task, now: float) -> None:
        tokens = _unread(replica, task.parts, "")
        name = replica.upstream.name
        replica.remember(part for part, _ in task.parts)
        self.places[task.request_id] = Placed(
            name, prompt_tokens=tokens, at=now, service=task.service.name
        )
        self.found.sent(name, prompt_tokens=tokens, now=now)


def _shared(task: Task) -> str:
    """Return the id of the part that a prompt shares with others, or no text."""
    return task.parts[0][0] if len(task.parts) > 1 else ""


def _unread(replica: replicas.Replica, parts: tuple[tuple[str, int], ...], holder: str) -> int:
    """Return the tokens of a prompt that an upstream has not in its cache, as far as is known."""
    if replica.upstream.name == holder:
        return sum(tokens for _, tokens in parts[-1:])
    for place, (part, _) in enumerate(parts):
        if part not in replica.parts:
            return sum(tokens for _, tokens in parts[place:])
    return 0


def _refused(code: errors.Code, detail: str, seen: basis.Basis) -> choices.Refused:
    error = errors.GatewayError(code, step=STEP, detail=detail, retry_after=RETRY_AFTER_S)
    return choices.Refused(error, seen)
