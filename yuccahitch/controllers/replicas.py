"""The upstreams that register themselves in the platform's store, and what they bear."""

from __future__ import annotations

import collections
import math
import typing

from yuccahitch import events
from yuccahitch.controllers import published, rendezvous
from yuccahitch.messages import commands, store
from yuccahitch.resources import service as services
from yuccahitch.resources import upstream

OUTCOME_WEIGHT = 0.2
EJECT_BELOW_SUCCESS_RATE = 0.45
EJECTION_S = 2.0
COLD_OWNERS = 3
MAX_CACHED_PARTS = 4096
STATES = ("ready", "cold", "ejected", "evacuated", "leaving", "missing")


class Replica:
    """One incarnation of an upstream as this instance sees it.

    Attributes:
        upstream: Its entry.
        revision: Revision of the entry.
        removed: Whether it got no more work as its entry stayed away.
        removal_at: When it stops getting work as its entry is missing, in monotonic seconds.
        cold_until: Until when it is cold, in monotonic seconds.
        warmup_tokens: Requests that this instance may send it now while it is cold.
        warmup_updated_at: When those were counted, in monotonic seconds.
        running: Own requests there.
        prompt_tokens: Prompt tokens of those that have not begun to answer.
        success_rate: Share of recent requests that did not fail there.
        ejected_until: Until when it gets no work as it fails, in monotonic seconds.
        misdirected: Whether another upstream answered at its address.
        cached_parts: Ids of prompt parts that it read for this instance.
    """

    __slots__ = (
        "upstream",
        "revision",
        "removed",
        "removal_at",
        "cold_until",
        "warmup_tokens",
        "warmup_updated_at",
        "running",
        "prompt_tokens",
        "success_rate",
        "ejected_until",
        "misdirected",
        "cached_parts",
    )

    def __init__(self, entry: upstream.Upstream, *, revision: int) -> None:
        self.upstream = entry
        self.revision = revision
        self.removed = False
        self.removal_at = math.inf
        self.cold_until = -math.inf
        self.warmup_tokens = 0.0
        self.warmup_updated_at = -math.inf
        self.running = 0
        self.prompt_tokens = 0
        self.success_rate = 1.0
        self.ejected_until = -math.inf
        self.misdirected = False
        self.cached_parts: dict[str, None] = {}

    def record_parts(self, names: typing.Iterable[str]) -> None:
        """Note prompt parts that it reads."""
        for name in names:
            self.cached_parts.pop(name, None)
            self.cached_parts[name] = None
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            del self.cached_parts[next(iter(self.cached_parts))]


class ReplicaRegistry:
    """Keeps the upstreams of all regions.

    Args:
        decode: Reads an entry; raises ValueError when it names no upstream to use.
        region: Region of this instance.
        instance: Id of this instance.
        config: The configuration in force.
        removal_grace_s: Time for which an upstream whose entry vanished is used on, in seconds.
    """

    __slots__ = (
        "decode",
        "region",
        "instance",
        "config",
        "removal_grace_s",
        "replicas",
        "outbox",
    )

    def __init__(
        self,
        *,
        decode: typing.Callable[[str, bytes], upstream.Upstream],
        region: str,
        instance: str,
        config: published.PublishedConfig,
        removal_grace_s: float = 2.0,
    ) -> None:
        self.decode = decode
        self.region = region
        self.instance = instance
        self.config = config
        self.removal_grace_s = removal_grace_s
        self.replicas: dict[str, Replica] = {}
        self.outbox: list[commands.Command] = []

    def apply_snapshot(self, items: list[store.Item], now: float) -> None:
        """Take in all entries."""
        present = {item.key: item for item in items}
        for name in [n for n in self.replicas if n not in present]:
            self._mark_missing(name, now)
        for key, item in present.items():
            self.apply_change(key, item, now)

    def apply_change(self, key: str, item: store.Item | None, now: float) -> None:
        """Take in one entry, or that it vanished."""
        if item is None:
            self._mark_missing(key, now)
            return
        existing = self.replicas.get(key)
        if existing is not None and item.revision <= existing.revision:
            existing.removed = False
            existing.removal_at = math.inf
            return
        try:
            decoded = self.decode(key, item.value)
        except ValueError as error:
            log_event = commands.Note(
                events.Event.ENTRY_UNREADABLE, key=key, detail=str(error)[:200]
            )
            self.outbox.append(log_event)
            self.replicas.pop(key, None)
            return
        self._apply_entry(key, decoded, item.revision, now)

    def expire(self, now: float) -> None:
        """Forget upstreams whose entry stayed away."""
        for name, replica in list(self.replicas.items()):
            if replica.ejected_until <= now and replica.ejected_until > -math.inf:
                replica.ejected_until = -math.inf
                self._log(events.Event.UPSTREAM_RETURNED, name)
            if now >= replica.removal_at and not replica.removed:
                replica.removed = True
                self._log(events.Event.UPSTREAM_GONE, name, running=replica.running)
            if replica.removed and not replica.running:
                del self.replicas[name]

    def count_known(self, service: str) -> int:
        """Return how many upstreams of a service are known in this region."""
        return sum(
            replica.upstream.service == service and replica.upstream.region == self.region
            for replica in self.replicas.values()
        )

    def usable(
        self, service: str, now: float, *, region: str | None = None, avoid: tuple[str, ...] = ()
    ) -> list[Replica]:
        """Return the upstreams of a region that may get new work for a service."""
        wanted_region = region or self.region
        return [
            replica
            for replica in self.replicas.values()
            if replica.upstream.service == service
            and replica.upstream.region == wanted_region
            and replica.upstream.name not in avoid
            and self._is_usable(replica, now)
        ]

    def count_by_state(self, now: float) -> dict[str, float]:
        """Return how many upstreams of this region are in each state."""
        own_replicas = [r for r in self.replicas.values() if r.upstream.region == self.region]
        counted = collections.Counter(self._state(replica, now) for replica in own_replicas)
        return {name: float(counted[name]) for name in STATES}

    def healthy(self, candidates: list[Replica], now: float) -> list[Replica]:
        """Return those that are not ejected, or all if every one is."""
        return [r for r in candidates if now >= r.ejected_until] or candidates

    def admits(self, replica: Replica, now: float, peers: list[str]) -> bool:
        """Return whether a cold upstream can bear another request of this instance now.

        Args:
            replica: The upstream.
            now: Monotonic seconds.
            peers: Ids of the live instances of its region, this one included.
        """
        if not self.is_cold(replica, now):
            return True
        service = self._service(replica)
        owners = rendezvous.ranked(replica.upstream.name, peers)[:COLD_OWNERS]
        if service is None or self.instance not in owners:
            return False
        rate_per_s = service.warmup_per_s / max(1, len(owners))
        if replica.warmup_updated_at == -math.inf:
            replica.warmup_updated_at = now
            replica.warmup_tokens = 0.0
        earned = max(0.0, now - replica.warmup_updated_at) * rate_per_s
        replica.warmup_tokens = min(1.0, replica.warmup_tokens + earned)
        replica.warmup_updated_at = now
        return replica.warmup_tokens >= 1.0

    def is_cold(self, replica: Replica, now: float) -> bool:
        """Return whether an upstream is cold."""
        service = self._service(replica)
        if service is None or service.warmup_per_s <= 0:
            return False
        restored_at = self.config.taken_back_at.get(replica.upstream.zone, -math.inf)
        return now < max(replica.cold_until, restored_at + service.warmup_s)

    def record_dispatch(self, name: str, *, prompt_tokens: int, now: float) -> None:
        """Count a request that is sent to an upstream."""
        replica = self.replicas.get(name)
        if replica is None:
            return
        replica.running += 1
        replica.prompt_tokens += prompt_tokens
        if self.is_cold(replica, now):
            replica.warmup_tokens -= 1.0

    def record_prompt_read(self, name: str, *, prompt_tokens: int) -> None:
        """Count that an upstream has read a request's prompt, or won't."""
        replica = self.replicas.get(name)
        if replica is not None:
            replica.prompt_tokens = max(0, replica.prompt_tokens - prompt_tokens)

    def record_end(self, name: str) -> None:
        """Count a request that is over."""
        replica = self.replicas.get(name)
        if replica is not None:
            replica.running = max(0, replica.running - 1)

    def record_outcome(self, name: str, *, good: bool, now: float) -> None:
        """Learn from how a request ended at an upstream; one that fails many is ejected."""
        replica = self.replicas.get(name)
        if replica is None:
            return
        replica.success_rate += OUTCOME_WEIGHT * (float(good) - replica.success_rate)
        if replica.success_rate < EJECT_BELOW_SUCCESS_RATE and now >= replica.ejected_until:
            replica.ejected_until = now + EJECTION_S
            # One good answer after the pause is enough to stay.
            replica.success_rate = EJECT_BELOW_SUCCESS_RATE + OUTCOME_WEIGHT
            self._log(events.Event.UPSTREAM_EJECTED, name, seconds=EJECTION_S)

    def mark_misdirected(self, name: str) -> None:
        """Note that another upstream answers at an upstream's address."""
        replica = self.replicas.get(name)
        if replica is not None:
            replica.misdirected = True
            self._log(events.Event.UPSTREAM_LEAVING, name, reason="another answers there")

    def _state(self, replica: Replica, now: float) -> str:
        if replica.removal_at < math.inf:
            return "missing"
        if replica.upstream.leaving or replica.misdirected:
            return "leaving"
        if replica.upstream.zone in self.config.evacuated:
            return "evacuated"
        if now < replica.ejected_until:
            return "ejected"
        return "cold" if self.is_cold(replica, now) else "ready"

    def _is_usable(self, replica: Replica, now: float) -> bool:
        entry = replica.upstream
        return (
            not entry.leaving
            and not replica.misdirected
            and now < replica.removal_at
            and entry.zone not in self.config.evacuated
        )

    def _service(self, replica: Replica) -> services.Service | None:
        current = self.config.current
        return current.services.get(replica.upstream.service) if current is not None else None

    def _apply_entry(self, key: str, entry: upstream.Upstream, revision: int, now: float) -> None:
        existing = self.replicas.get(key)
        is_same = existing is not None and (
            (existing.upstream.born_ms, existing.upstream.address) == (entry.born_ms, entry.address)
        )
        if not is_same:
            existing = self.replicas[key] = Replica(entry, revision=revision)
            self._log(
                events.Event.UPSTREAM_FOUND,
                entry.name,
                zone=entry.zone,
                slots=entry.slots,
                cold_s=entry.cold_s,
                leaving=entry.leaving,
                revision=revision,
            )
        elif entry.leaving and not existing.upstream.leaving:
            reason = "its entry says so"
            self._log(events.Event.UPSTREAM_LEAVING, entry.name, reason=reason, revision=revision)
        elif entry.cold_s > 0 and now >= existing.cold_until:
            self._log(
                events.Event.UPSTREAM_COLD, entry.name, cold_s=entry.cold_s, revision=revision
            )
        existing.upstream = entry
        existing.revision = revision
        existing.removed = False
        existing.removal_at = math.inf
        if entry.cold_s > 0:
            existing.cold_until = now + entry.cold_s

    def _mark_missing(self, key: str, now: float) -> None:
        replica = self.replicas.get(key)
        if replica is not None and replica.removal_at == math.inf:
            # The store may have dropped the entry of a live upstream in an outage.
            replica.removal_at = now if replica.upstream.leaving else now + self.removal_grace_s
            self._log(events.Event.UPSTREAM_MISSING, key, used_s=replica.removal_at - now)

    def _log(self, event: events.Event, name: str, **fields: typing.Any) -> None:
        replica = self.replicas.get(name)
        if replica is not None:
            fields["service"] = replica.upstream.service
        self.outbox.append(commands.Note(event, upstream=name, **fields))
