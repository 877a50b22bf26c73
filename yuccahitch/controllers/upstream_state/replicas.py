"""The upstreams that register themselves in the platform's store, their state and load."""

from __future__ import annotations

import collections
import math
import typing

from yuccahitch import clock, events
from yuccahitch.controllers.config import published
from yuccahitch.controllers.members import rendezvous
from yuccahitch.controllers.store_view import freshness
from yuccahitch.controllers.upstream_state import replica_state, upstream_limits, upstream_phases
from yuccahitch.messages import commands, pulses, store, upstream_notices
from yuccahitch.resources import service as services
from yuccahitch.resources import upstream

# Weight of the newest outcome in the moving average of an upstream's success rate.
OUTCOME_WEIGHT = 0.2
# An upstream with a lower success rate is ejected.
EJECT_BELOW_SUCCESS_RATE = 0.45
# Time for which an ejected upstream gets no work, in seconds.
EJECTION_S = 2.0
# Instances of a region that may send requests to one cold upstream; rendezvous hashing picks them.
COLD_OWNERS = 3
# Upstreams that are gone and remembered for a restored store; the oldest one is dropped.
MAX_DEPARTED = 4096


class ReplicaRegistry:
    """Keeps the registered upstreams of all regions.

    Args:
        decode: Decodes the key and value of an entry; raises ValueError if it describes no usable
            upstream.
        region: Region of this instance.
        instance: Id of this instance.
        config: The configuration in force.
        times: Until when an upstream is used whose entry went missing.

    Attributes:
        by_name: The upstreams by name.
        limits: The request rates that upstreams named.
        departed: Start of the last known incarnation of upstreams that are gone, in milliseconds
            since the Unix epoch, by name; the oldest first.
        left: Incarnations of upstreams whose answers said that they are leaving, by name; the
            oldest first. They outlast an entry that is gone or odd for a moment.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "decode",
        "region",
        "instance",
        "config",
        "times",
        "by_name",
        "limits",
        "departed",
        "left",
        "outbox",
    )

    def __init__(
        self,
        *,
        decode: typing.Callable[[str, bytes], upstream.Upstream],
        region: str,
        instance: str,
        config: published.PublishedConfig,
        times: freshness.Freshness,
    ) -> None:
        self.decode = decode
        self.region = region
        self.instance = instance
        self.config = config
        self.times = times
        self.by_name: dict[str, replica_state.Replica] = {}
        self.limits = upstream_limits.UpstreamLimits(instance)
        self.departed: dict[str, int] = {}
        self.left: dict[str, str] = {}
        self.outbox: list[commands.Command] = []

    def begin_era(self, now: float) -> None:
        """Forget the revisions of the entries."""
        for replica in self.by_name.values():
            replica.revision = 0

    def apply_snapshot(
        self,
        items: list[store.KeyValue],
        now: float,
        *,
        known_at: float = -math.inf,
        restored: bool = False,
    ) -> None:
        """Apply all entries; upstreams that are not among them are missing.

        Entries of a ``restored`` store that say nothing new of an upstream are ignored.
        """
        present = {item.key: item for item in items}
        for name in [n for n in self.by_name if n not in present]:
            self._mark_missing(name, now, known_at)
        for key, item in present.items():
            if not restored or self._is_news(key, item):
                self.apply_change(key, item, now, known_at=known_at)

    def apply_change(
        self, key: str, item: store.KeyValue | None, now: float, *, known_at: float = -math.inf
    ) -> None:
        """Apply a new or changed entry; None means that it was deleted.

        An unreadable entry is logged, and its upstream is dropped.
        """
        if item is None:
            self._mark_missing(key, now, known_at)
            return
        existing = self.by_name.get(key)
        if existing is not None and item.revision <= existing.revision:
            existing.removed = False
            existing.removal_at = math.inf
            return
        try:
            decoded = self.decode(key, item.value)
        except Exception as error:  # no entry of another writer may hide the others
            log_event = commands.LogEvent(
                events.Event.ENTRY_UNREADABLE, key=key, detail=repr(error)[:200]
            )
            self.outbox.append(log_event)
            self.by_name.pop(key, None)
            return
        self._apply_entry(key, decoded, item.revision, now, known_at)

    def expire(self, now: float) -> None:
        """End ejections and grace periods that are over; drop removed upstreams once idle."""
        for name, replica in list(self.by_name.items()):
            if replica.ejected_until <= now and replica.ejected_until > -math.inf:
                replica.ejected_until = -math.inf
                self._log(events.Event.UPSTREAM_RETURNED, name)
            if now >= replica.removal_at and not replica.removed:
                replica.removed = True
                self._log(events.Event.UPSTREAM_GONE, name, running=replica.running)
            if replica.removed and not replica.running:
                del self.by_name[name]
                self.departed.pop(name, None)
                self.departed[name] = replica.upstream.born_ms
        for memory in (self.departed, self.left):
            while len(memory) > MAX_DEPARTED:
                del memory[next(iter(memory))]
        self.limits.keep({replica.incarnation for replica in self.by_name.values()})
        self.limits.tick(now)

    def incarnation(self, name: str) -> str:
        """Return a name for the present start of an upstream, which may return under its name."""
        replica = self.by_name.get(name)
        return name if replica is None else replica.incarnation

    def count_known(self, service: str) -> int:
        """Return the number of upstreams of a service in this region, in any state."""
        return sum(
            replica.upstream.service == service and replica.upstream.region == self.region
            for replica in self.by_name.values()
        )

    def usable(
        self,
        service: str,
        now: float,
        *,
        region: str | None = None,
        avoid: tuple[str, ...] = (),
        versions: frozenset[str] | None = None,
        lingering: bool = False,
    ) -> list[replica_state.Replica]:
        """Return the upstreams of a service in a region that may get new work.

        Ejected and cold ones are included.

        Args:
            service: Name of the service.
            now: Monotonic seconds.
            region: Name of the region; None means that of this instance.
            avoid: Names of upstreams to leave out.
            versions: Software versions to choose from; None means every one.
            lingering: Whether to return the ones instead that are leaving and still take work.
        """
        wanted_region = region or self.region
        may_get_work = self._lingers if lingering else self._is_usable
        return [
            replica
            for replica in self.by_name.values()
            if replica.upstream.service == service
            and replica.upstream.region == wanted_region
            and replica.upstream.name not in avoid
            and (versions is None or replica.has_version(versions))
            and may_get_work(replica, now)
        ]

    def serves(
        self, service: str, version: str, now: float, *, regions: frozenset[str] | None
    ) -> bool:
        """Return whether a software version of a service has an upstream that may get new work.

        One that is leaving counts while it still takes work.

        Args:
            service: Name of the service.
            version: The software version.
            now: Monotonic seconds.
            regions: Regions to look at; None means every region.
        """
        return any(
            replica.upstream.service == service
            and replica.has_version(frozenset((version,)))
            and (regions is None or replica.upstream.region in regions)
            and (self._is_usable(replica, now) or self._lingers(replica, now))
            for replica in self.by_name.values()
        )

    def usages(self) -> list[pulses.UpstreamUsage]:
        """Return the work of this instance at each upstream that runs requests of it."""
        return [
            pulses.UpstreamUsage(
                name,
                running=replica.running,
                prompt_tokens=replica.prompt_tokens,
                held_tokens=replica.memory.own_tokens,
            )
            for name, replica in self.by_name.items()
            if replica.running
        ]

    def count_by_state(self, now: float) -> dict[str, float]:
        """Return the number of upstreams of this region in each of PHASES."""
        own_replicas = [r for r in self.by_name.values() if r.upstream.region == self.region]
        states = [
            upstream_phases.phase(
                replica,
                now,
                evacuated=replica.upstream.zone in self.config.evacuated,
                cold=self.is_cold(replica, now),
            )
            for replica in own_replicas
        ]
        counts = collections.Counter(states)
        return {name: float(counts[name]) for name in upstream_phases.PHASES}

    def healthy(
        self, candidates: list[replica_state.Replica], now: float
    ) -> list[replica_state.Replica]:
        """Return the candidates that are not ejected, or all of them if every one is."""
        return [r for r in candidates if now >= r.ejected_until] or candidates

    def admits(self, replica: replica_state.Replica, now: float, peers: list[str]) -> bool:
        """Return whether an upstream can take another request of this instance now.

        One that is not cold always can. The warm-up rate of a cold one is split evenly among the
        COLD_OWNERS instances that own it; other instances send it nothing.

        Args:
            replica: The upstream.
            now: Monotonic seconds.
            peers: Ids of the reachable instances of this region, this one included.
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

    def send_wait_s(self, replica: replica_state.Replica, now: float, sharers: list[str]) -> float:
        """Return the time until an upstream takes a request of this instance, in seconds.

        It depends on the pause that the upstream asked for and the rate that it named, and is
        infinite if this instance has no part of that rate.

        Args:
            replica: The upstream.
            now: Monotonic seconds.
            sharers: Ids of the instances of this region that divide named rates.
        """
        rate_wait_s = self.limits.wait_s(replica.incarnation, sharers, now)
        return max(0.0, rate_wait_s, replica.paused_until - now)

    def is_cold(self, replica: replica_state.Replica, now: float) -> bool:
        """Return whether an upstream is cold: just started, or in a zone just taken back.

        Upstreams of a service without a warm-up rate never are.
        """
        service = self._service(replica)
        if service is None or service.warmup_per_s <= 0:
            return False
        restored_at = self.config.taken_back_at.get(replica.upstream.zone, -math.inf)
        return now < max(replica.cold_until, restored_at + service.warmup_s)

    def record_dispatch(self, name: str, *, prompt_tokens: int, now: float) -> None:
        """Count a request that is sent to an upstream; one that is cold uses up a warm-up token."""
        replica = self.by_name.get(name)
        if replica is None:
            return
        replica.running += 1
        replica.prompt_tokens += prompt_tokens
        if self.is_cold(replica, now):
            replica.warmup_tokens -= 1.0
        self.limits.record_dispatch(self.incarnation(name))

    def record_prompt_read(self, name: str, *, prompt_tokens: int) -> None:
        """Subtract the prompt tokens of a request that an upstream has read or will not read."""
        replica = self.by_name.get(name)
        if replica is not None:
            replica.prompt_tokens = max(0, replica.prompt_tokens - prompt_tokens)

    def record_end(self, name: str) -> None:
        """Subtract a request that is over from those that an upstream runs."""
        replica = self.by_name.get(name)
        if replica is not None:
            replica.running = max(0, replica.running - 1)

    def record_outcome(self, name: str, *, good: bool, now: float) -> None:
        """Update an upstream's success rate, and eject it if the rate becomes too low."""
        replica = self.by_name.get(name)
        if replica is None:
            return
        replica.success_rate += OUTCOME_WEIGHT * (float(good) - replica.success_rate)
        if replica.success_rate < EJECT_BELOW_SUCCESS_RATE and now >= replica.ejected_until:
            replica.ejected_until = now + EJECTION_S
            # After the ejection, one success is enough to stay in use.
            replica.success_rate = EJECT_BELOW_SUCCESS_RATE + OUTCOME_WEIGHT
            self._log(events.Event.UPSTREAM_EJECTED, name, seconds=EJECTION_S)

    def record_notice(self, notice: upstream_notices.UpstreamNotice, now: float) -> None:
        """Record what an answer said of its upstream, unless that one has started again since."""
        is_known = notice.upstream in self.by_name
        if not is_known or notice.incarnation != self.incarnation(notice.upstream):
            return
        if notice.requests_per_s is not None:
            self.limits.record_answer(notice.incarnation, notice.requests_per_s, now)
        if notice.leaving:
            self.mark_leaving(notice.incarnation, "its answer says that it is leaving", now)
        replica = self.by_name[notice.upstream]
        if notice.replaced and not replica.replaced:
            replica.replaced = True
            self._log(events.Event.UPSTREAM_REPLACED, notice.upstream)
        if notice.memory is not None and replica.memory.record_report(notice.memory, now):
            total_tokens = replica.memory.total_tokens
            self._log(events.Event.UPSTREAM_MEMORY, notice.upstream, total_tokens=total_tokens)
        if notice.pause_s > 0:
            self._pause(replica, notice.pause_s, now)
        if notice.unreadable and not replica.sent_unreadable:
            replica.sent_unreadable = True
            self._log(
                events.Event.NOTICE_UNREADABLE, notice.upstream, detail=notice.unreadable[:200]
            )

    def mark_leaving(self, incarnation: str, reason: str, now: float) -> None:
        """Give an upstream no more requests that others can take until it has started again."""
        replica = self.by_name.get(incarnation.rpartition("@")[0])
        if replica is None or replica.incarnation != incarnation or replica.said_leaving:
            return
        replica.said_leaving = True
        replica.bound_lingering(self.times.lingers_until(now))
        self.left.pop(replica.upstream.name, None)
        self.left[replica.upstream.name] = incarnation
        self._log(events.Event.UPSTREAM_LEAVING, replica.upstream.name, reason=reason)

    def departures(self) -> list[str]:
        """Return the incarnations of the upstreams whose answers said that they are leaving."""
        return [replica.incarnation for replica in self.by_name.values() if replica.said_leaving]

    def _pause(self, replica: replica_state.Replica, pause_s: float, now: float) -> None:
        """Send an upstream nothing for a time; an earlier, longer pause goes on."""
        if now >= replica.paused_until:
            self._log(events.Event.UPSTREAM_PAUSED, replica.upstream.name, seconds=pause_s)
        replica.paused_until = max(replica.paused_until, now + pause_s)

    def mark_misdirected(self, name: str) -> None:
        """Stop using an upstream at whose address another one answers."""
        replica = self.by_name.get(name)
        if replica is not None:
            replica.misdirected = True
            self._log(
                events.Event.UPSTREAM_LEAVING,
                name,
                reason="another upstream answers at its address",
            )

    def _is_news(self, key: str, item: store.KeyValue) -> bool:
        """Return whether an entry of a restored store is newer than what is known.

        What was missing or gone was last written before that, so only another start of it is news.
        """
        try:
            entry = self.decode(key, item.value)
        except Exception:  # logged when the entry is applied
            return True
        replica = self.by_name.get(key)
        if replica is None:
            return entry.born_ms > self.departed.get(key, -1)
        known = replica.upstream
        if replica.removal_at < math.inf:
            return entry.born_ms > known.born_ms
        return (entry.born_ms, entry.sequence) > (known.born_ms, known.sequence)

    def _is_usable(self, replica: replica_state.Replica, now: float) -> bool:
        """Return whether an upstream may get new work; ejections are not considered."""
        return not replica.leaving and self._is_reachable(replica, now)

    def _lingers(self, replica: replica_state.Replica, now: float) -> bool:
        """Return whether an upstream that is leaving still takes work that no other one can."""
        is_in_time = now < replica.lingers_until
        return replica.leaving and is_in_time and self._is_reachable(replica, now)

    def _is_reachable(self, replica: replica_state.Replica, now: float) -> bool:
        """Return whether an upstream is there, and its zone is not evacuated."""
        return (
            not replica.misdirected
            and now < replica.removal_at
            and replica.upstream.zone not in self.config.evacuated
        )

    def _service(self, replica: replica_state.Replica) -> services.Service | None:
        """Return the service of an upstream, if the configuration in force has it."""
        current = self.config.current
        return current.services.get(replica.upstream.service) if current is not None else None

    def _apply_entry(
        self, key: str, entry: upstream.Upstream, revision: int, now: float, known_at: float
    ) -> None:
        """Update an upstream from its decoded entry; a new incarnation starts with empty state."""
        existing = self.by_name.get(key)
        is_same = existing is not None and (
            (existing.upstream.born_ms, existing.upstream.address) == (entry.born_ms, entry.address)
        )
        if not is_same:
            existing = self.by_name[key] = replica_state.Replica(entry, revision=revision)
            existing.said_leaving = self.left.get(key) == existing.incarnation
            if existing.said_leaving:
                existing.bound_lingering(-math.inf)
            self._log(
                events.Event.UPSTREAM_FOUND,
                entry.name,
                zone=entry.zone,
                slots=entry.slots,
                software_version=entry.software_version,
                cold_s=entry.cold_s,
                leaving=entry.leaving,
                revision=revision,
            )
        elif entry.leaving and not existing.upstream.leaving:
            reason = "its entry marks it as leaving"
            self._log(
                events.Event.UPSTREAM_LEAVING,
                entry.name,
                reason=reason,
                revision=revision,
                known_s=clock.age_s(known_at, now),
            )
        elif entry.cold_s > 0 and now >= existing.cold_until:
            self._log(
                events.Event.UPSTREAM_COLD, entry.name, cold_s=entry.cold_s, revision=revision
            )
        if entry.leaving and not existing.upstream.leaving:
            existing.bound_lingering(self.times.lingers_until(known_at))
            if entry.leaves_in_s is not None:
                existing.bound_lingering(known_at + entry.leaves_in_s)
        existing.upstream = entry
        existing.revision = revision
        existing.removed = False
        existing.removal_at = math.inf
        if entry.cold_s > 0:
            existing.cold_until = now + entry.cold_s

    def _mark_missing(self, key: str, now: float, known_at: float) -> None:
        """Begin the grace period of an upstream whose entry is missing; a leaving one has none."""
        replica = self.by_name.get(key)
        if replica is not None and replica.removal_at == math.inf:
            # In an outage the store may drop the entry of an upstream that still runs.
            replica.removal_at = now if replica.leaving else self.times.removal_at(known_at, now)
            self._log(
                events.Event.UPSTREAM_MISSING,
                key,
                used_s=round(replica.removal_at - now, 3),
                known_s=clock.age_s(known_at, now),
            )

    def _log(self, event: events.Event, name: str, **fields: typing.Any) -> None:
        """Write an event about an upstream, with the service of the upstream if it is known."""
        replica = self.by_name.get(name)
        if replica is not None:
            fields["service"] = replica.upstream.service
        self.outbox.append(commands.LogEvent(event, upstream=name, **fields))
