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

OUTCOME_SHARE = 0.2
EJECT_BELOW = 0.45
EJECT_S = 2.0
COLD_OWNERS = 3
PARTS_KEPT = 4096
STATES = ("ready", "cold", "ejected", "evacuated", "leaving", "missing")


class Replica:
    """One incarnation of an upstream as this instance sees it.

    Attributes:
        upstream: Its entry.
        revision: Revision of the entry.
        gone: Whether it got no more work as its entry stayed away.
        gone_at: When it stops getting work as its entry is missing, in monotonic seconds.
        cold_until: Until when it is cold, in monotonic seconds.
        warm_tokens: Requests that this instance may send it now while it is cold.
        warm_at: When those were counted, in monotonic seconds.
        running: Own requests there.
        prompt_tokens: Prompt tokens of those that have not begun to answer.
        success: Share of recent requests that did not fail there.
        ejected_until: Until when it gets no work as it fails, in monotonic seconds.
        misdirected: Whether another upstream answered at its address.
        parts: Ids of prompt parts that it read for this instance.
    """

    __slots__ = (
        "upstream",
        "revision",
        "gone",
        "gone_at",
        "cold_until",
        "warm_tokens",
        "warm_at",
        "running",
        "prompt_tokens",
        "success",
        "ejected_until",
        "misdirected",
        "parts",
    )

    def __init__(self, item: upstream.Upstream, *, revision: int) -> None:
        self.upstream = item
        self.revision = revision
        self.gone = False
        self.gone_at = math.inf
        self.cold_until = -math.inf
        self.warm_tokens = 0.0
        self.warm_at = -math.inf
        self.running = 0
        self.prompt_tokens = 0
        self.success = 1.0
        self.ejected_until = -math.inf
        self.misdirected = False
        self.parts: dict[str, None] = {}

    def remember(self, names: typing.Iterable[str]) -> None:
        """Note prompt parts that it reads."""
        for name in names:
            self.parts.pop(name, None)
            self.parts[name] = None
        while len(self.parts) > PARTS_KEPT:
            del self.parts[next(iter(self.parts))]


class Replicas:
    """Keeps the upstreams of all regions.

    Args:
        decode: Reads an entry; raises ValueError when it names no upstream to use.
        region: Region of this instance.
        instance: Id of this instance.
        config: The configuration in force.
        gone_after_s: Time for which an upstream whose entry vanished is used on, in seconds.
    """

    __slots__ = (
        "decode",
        "region",
        "instance",
        "config",
        "gone_after_s",
        "table",
        "outbox",
    )

    def __init__(
        self,
        *,
        decode: typing.Callable[[str, bytes], upstream.Upstream],
        region: str,
        instance: str,
        config: published.Published,
        gone_after_s: float = 2.0,
    ) -> None:
        self.decode = decode
        self.region = region
        self.instance = instance
        self.config = config
        self.gone_after_s = gone_after_s
        self.table: dict[str, Replica] = {}
        self.outbox: list[commands.Command] = []

    def snapshot(self, items: list[store.KeyValue], now: float) -> None:
        """Take in all entries."""
        present = {item.key: item for item in items}
        for name in [n for n in self.table if n not in present]:
            self._missing(name, now)
        for key, item in present.items():
            self.changed(key, item, now)

    def changed(self, key: str, item: store.KeyValue | None, now: float) -> None:
        """Take in one entry, or that it vanished."""
        if item is None:
            self._missing(key, now)
            return
        known = self.table.get(key)
        if known is not None and item.revision <= known.revision:
            known.gone = False
            known.gone_at = math.inf
            return
        try:
            found = self.decode(key, item.value)
        except ValueError as error:
            note = commands.LogEvent(
                events.Event.ENTRY_UNREADABLE, key=key, detail=str(error)[:200]
            )
            self.outbox.append(note)
            self.table.pop(key, None)
            return
        self._heard(key, found, item.revision, now)

    def expire(self, now: float) -> None:
        """Forget upstreams whose entry stayed away."""
        for name, replica in list(self.table.items()):
            if replica.ejected_until <= now and replica.ejected_until > -math.inf:
                replica.ejected_until = -math.inf
                self._note(events.Event.UPSTREAM_RETURNED, name)
            if now >= replica.gone_at and not replica.gone:
                replica.gone = True
                self._note(events.Event.UPSTREAM_GONE, name, running=replica.running)
            if replica.gone and not replica.running:
                del self.table[name]

    def count(self, service: str) -> int:
        """Return how many upstreams of a service are known in this region."""
        return sum(
            replica.upstream.service == service and replica.upstream.region == self.region
            for replica in self.table.values()
        )

    def usable(
        self, service: str, now: float, *, region: str | None = None, avoid: tuple[str, ...] = ()
    ) -> list[Replica]:
        """Return the upstreams of a region that may get new work for a service."""
        place = region or self.region
        return [
            replica
            for replica in self.table.values()
            if replica.upstream.service == service
            and replica.upstream.region == place
            and replica.upstream.name not in avoid
            and self._serves(replica, now)
        ]

    def states(self, now: float) -> dict[str, float]:
        """Return how many upstreams of this region are in each state."""
        own = [r for r in self.table.values() if r.upstream.region == self.region]
        counted = collections.Counter(self._state(replica, now) for replica in own)
        return {name: float(counted[name]) for name in STATES}

    def healthy(self, found: list[Replica], now: float) -> list[Replica]:
        """Return those that are not ejected, or all if every one is."""
        return [r for r in found if now >= r.ejected_until] or found

    def admits(self, replica: Replica, now: float, peers: list[str]) -> bool:
        """Return whether a cold upstream can bear another request of this instance now.

        Args:
            replica: The upstream.
            now: Monotonic seconds.
            peers: Ids of the live instances of its region, this one included.
        """
        if not self.cold(replica, now):
            return True
        service = self._service(replica)
        owners = rendezvous.ranked(replica.upstream.name, peers)[:COLD_OWNERS]
        if service is None or self.instance not in owners:
            return False
        share = service.warmup_per_s / max(1, len(owners))
        if replica.warm_at == -math.inf:
            replica.warm_at = now
            replica.warm_tokens = 0.0
        earned = max(0.0, now - replica.warm_at) * share
        replica.warm_tokens = min(1.0, replica.warm_tokens + earned)
        replica.warm_at = now
        return replica.warm_tokens >= 1.0

    def cold(self, replica: Replica, now: float) -> bool:
        """Return whether an upstream is cold."""
        service = self._service(replica)
        if service is None or service.warmup_per_s <= 0:
            return False
        back = self.config.taken_back.get(replica.upstream.zone, -math.inf)
        return now < max(replica.cold_until, back + service.warmup_s)

    def sent(self, name: str, *, prompt_tokens: int, now: float) -> None:
        """Count a request that is sent to an upstream."""
        replica = self.table.get(name)
        if replica is None:
            return
        replica.running += 1
        replica.prompt_tokens += prompt_tokens
        if self.cold(replica, now):
            replica.warm_tokens -= 1.0

    def began(self, name: str, *, prompt_tokens: int) -> None:
        """Count that an upstream has read a request's prompt, or won't."""
        replica = self.table.get(name)
        if replica is not None:
            replica.prompt_tokens = max(0, replica.prompt_tokens - prompt_tokens)

    def ended(self, name: str) -> None:
        """Count a request that is over."""
        replica = self.table.get(name)
        if replica is not None:
            replica.running = max(0, replica.running - 1)

    def outcome(self, name: str, *, good: bool, now: float) -> None:
        """Learn from how a request ended at an upstream; one that fails many is ejected."""
        replica = self.table.get(name)
        if replica is None:
            return
        replica.success += OUTCOME_SHARE * (float(good) - replica.success)
        if replica.success < EJECT_BELOW and now >= replica.ejected_until:
            replica.ejected_until = now + EJECT_S
            # One good answer after the pause is enough to stay.
            replica.success = EJECT_BELOW + OUTCOME_SHARE
            self._note(events.Event.UPSTREAM_EJECTED, name, seconds=EJECT_S)

    def misdirected(self, name: str) -> None:
        """Note that another upstream answers at an upstream's address."""
        replica = self.table.get(name)
        if replica is not None:
            replica.misdirected = True
            self._note(events.Event.UPSTREAM_LEAVING, name, reason="another answers there")

    def _state(self, replica: Replica, now: float) -> str:
        if replica.gone_at < math.inf:
            return "missing"
        if replica.upstream.leaving or replica.misdirected:
            return "leaving"
        if replica.upstream.zone in self.config.evacuated:
            return "evacuated"
        if now < replica.ejected_until:
            return "ejected"
        return "cold" if self.cold(replica, now) else "ready"

    def _serves(self, replica: Replica, now: float) -> bool:
        item = replica.upstream
        return (
            not item.leaving
            and not replica.misdirected
            and now < replica.gone_at
            and item.zone not in self.config.evacuated
        )

    def _service(self, replica: Replica) -> services.Service | None:
        current = self.config.current
        return current.services.get(replica.upstream.service) if current is not None else None

    def _heard(self, key: str, item: upstream.Upstream, revision: int, now: float) -> None:
        known = self.table.get(key)
        same = known is not None and (
            (known.upstream.born_ms, known.upstream.address) == (item.born_ms, item.address)
        )
        if not same:
            known = self.table[key] = Replica(item, revision=revision)
            self._note(
                events.Event.UPSTREAM_FOUND,
                item.name,
                zone=item.zone,
                slots=item.slots,
                cold_s=item.cold_s,
                leaving=item.leaving,
                revision=revision,
            )
        elif item.leaving and not known.upstream.leaving:
            reason = "its entry says so"
            self._note(events.Event.UPSTREAM_LEAVING, item.name, reason=reason, revision=revision)
        elif item.cold_s > 0 and now >= known.cold_until:
            self._note(events.Event.UPSTREAM_COLD, item.name, cold_s=item.cold_s, revision=revision)
        known.upstream = item
        known.revision = revision
        known.gone = False
        known.gone_at = math.inf
        if item.cold_s > 0:
            known.cold_until = now + item.cold_s

    def _missing(self, key: str, now: float) -> None:
        replica = self.table.get(key)
        if replica is not None and replica.gone_at == math.inf:
            # The store may have dropped the entry of a live upstream in an outage.
            replica.gone_at = now if replica.upstream.leaving else now + self.gone_after_s
            self._note(events.Event.UPSTREAM_MISSING, key, used_s=replica.gone_at - now)

    def _note(self, event: events.Event, name: str, **fields: typing.Any) -> None:
        replica = self.table.get(name)
        if replica is not None:
            fields["service"] = replica.upstream.service
        self.outbox.append(commands.LogEvent(event, upstream=name, **fields))
