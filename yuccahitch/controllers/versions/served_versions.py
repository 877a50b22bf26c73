"""Which software versions of a service may have begun streams that are still open.

What upstreams of two versions write doesn't fit together, so a stream goes on only at the version
that began it. The store keeps one record a service with resumable routes. Streams begin only at
versions that the record calls serving, and a new version is announced for longer than the age that
anybody's knowledge may have before it serves. So where the record holds a single version, and this
instance's knowledge of it is fresh, that version began every open stream.

The record is changed by compare-and-swap, by the reachable instance that ranks first by rendezvous
hashing, and by the next ones later. A service with a single version costs no call but the first.
"""

from __future__ import annotations

import collections
import math
import typing

from yuccahitch import clock, events, records
from yuccahitch.codecs import version_records
from yuccahitch.controllers.config import published
from yuccahitch.controllers.members import fleet, rendezvous
from yuccahitch.controllers.store_view import feed, freshness
from yuccahitch.controllers.upstream_state import replicas
from yuccahitch.controllers.versions import _service_versions
from yuccahitch.messages import commands, store
from yuccahitch.resources import route as routes
from yuccahitch.resources import version_record

PREFIX = "yuccahitch/versions/"
# Time for which a version stays announced beyond the age of knowledge that counts, in seconds.
HOLD_MARGIN_S = 0.25
# Age of the knowledge from which the store may soon lack a version at which streams begin here, in
# seconds: less than the time for which a retired version is kept.
OLD_KNOWLEDGE_S = _service_versions.RETENTION_S / 2
# Time beyond that of a poll after which no news of the store can be expected soon, in seconds.
OVERDUE_S = 1.0
# Time until the first record is written, in seconds: the instances that start together know each
# other by then, and one of them writes it.
FIRST_WRITE_DELAY_S = 0.5
# Time by which an instance writes after the one that ranks before it, in seconds.
RANK_DELAY_S = 1.0
# Rank from which all instances write at the same time.
MAX_RANK = 5
# Pause after a failed write, in seconds.
RETRY_S = 1.0


class VersionsWrite(records.Record):
    """Purpose of the call that writes the versions of a service.

    Attributes:
        service: Name of the service.
        record: The record to write.
    """

    __slots__ = ("service", "record")

    def __init__(self, service: str, record: version_record.VersionRecord) -> None:
        self.service = service
        self.record = record


class ServedVersions:
    """Follows and changes the records of the services with resumable routes.

    Args:
        members: The instances of the fleet.
        registry: The registered upstreams.
        config: The configuration in force.
        times: How old knowledge of the store may be.
        first_start: Whether this instance started with the fleet's first start, so that a service
            without a record has no open streams.

    Attributes:
        source: Follows the store.
        by_service: What is known of each service, by name.
        vouches_from: From when this instance vouches that it knows all versions with open streams,
            in monotonic seconds; infinity if it has not known the store before its present era.
        resumable: Services with resumable routes in the configuration ``resumable_in``.
        resumable_in: Version of the configuration that ``resumable`` belongs to.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "members",
        "registry",
        "config",
        "times",
        "first_start",
        "vouches_from",
        "source",
        "by_service",
        "resumable",
        "resumable_in",
        "outbox",
    )

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        registry: replicas.ReplicaRegistry,
        config: published.PublishedConfig,
        times: freshness.Freshness,
        first_start: bool,
    ) -> None:
        self.members = members
        self.registry = registry
        self.config = config
        self.times = times
        self.first_start = first_start
        self.vouches_from = math.inf
        self.source: feed.Feed | None = None
        self.by_service: dict[str, _service_versions.ServiceVersions] = {}
        self.resumable: frozenset[str] = frozenset()
        self.resumable_in = -1
        self.outbox: list[commands.Command] = []

    @property
    def hold_s(self) -> float:
        """Return the time for which a version stays announced, in seconds."""
        return self.times.inference_age_s + HOLD_MARGIN_S

    def begin_era(self, now: float) -> None:
        """Forget the records, and work out from when this instance vouches for the versions.

        If its knowledge is fresh, that is at once. Otherwise others may know more; they and the
        upstreams have written again what was lost before it vouches.
        """
        is_complete = all(known.is_vouched(self.source.era) for known in self.by_service.values())
        is_fresh = now - self.source.updated_at <= self.times.inference_age_s
        rewritten_s = self.source.settle_s + RANK_DELAY_S * (MAX_RANK + 1)
        self.vouches_from = max(
            -math.inf if is_complete else self.vouches_from,
            now if is_fresh else now + rewritten_s,
        )
        for known in self.by_service.values():
            known.forget_record()
            known.writing = False

    def apply_snapshot(
        self,
        items: list[store.KeyValue],
        now: float,
        *,
        known_at: float = -math.inf,
        restored: bool = False,
    ) -> None:
        """Apply all records; versions stay known of services without one."""
        present = {item.key: item for item in items}
        for service in [name for name in self.by_service if name not in present]:
            self.by_service[service].forget_record()
        for service, item in present.items():
            self._apply_read(service, item, now, known_at=known_at)

    def apply_change(
        self, key: str, item: store.KeyValue | None, now: float, *, known_at: float = -math.inf
    ) -> None:
        """Apply a changed record; None means that it was deleted."""
        known = self.by_service.setdefault(key, _service_versions.ServiceVersions())
        if item is None:
            known.forget_record()
            return
        if item.revision <= known.revision:
            return
        try:
            record = version_records.from_bytes(item.value)
        except Exception as error:  # whatever another writer left there is written over
            known.forget_record()
            known.revision = item.revision
            log_event = commands.LogEvent(
                events.Event.ENTRY_UNREADABLE, key=PREFIX + key, detail=repr(error)[:200]
            )
            self.outbox.append(log_event)
            return
        self._adopt(key, record, item.revision, now, known_at)

    def tick(self, now: float) -> None:
        """Write the records that need a change, if it is this instance's turn."""
        if not self._is_informed():
            return
        named: dict[str, set[str]] = collections.defaultdict(set)
        offered: dict[str, set[str]] = collections.defaultdict(set)
        for replica in self.registry.by_name.values():
            if replica.removal_at == math.inf:
                entry = replica.upstream
                named[entry.service].add(entry.software_version)
                if not replica.leaving:
                    offered[entry.service].add(entry.software_version)
        for service in sorted(self.resumable_services()):
            self._check(service, named[service], offered[service], now)

    def resumable_services(self) -> frozenset[str]:
        """Return the services whose streams can be resumed on some route."""
        current = self.config.current
        if current is not None and current.version != self.resumable_in:
            self.resumable_in = current.version
            self.resumable = frozenset(
                service
                for host_routes in current.routes_by_host.values()
                for route in host_routes
                if route.repeat is routes.RepeatPolicy.RESUMABLE
                for service in routes.services_of(route)
            )
        return self.resumable

    def beginnable(self, service: str, now: float) -> frozenset[str]:
        """Return the versions of a service at which a resumable stream may begin."""
        known = self.by_service.get(service)
        if known is None:
            return frozenset()
        serving = frozenset(
            version
            for version, state in known.states.items()
            if state is version_record.VersionState.SERVING
        )
        if now - self.source.updated_at > OLD_KNOWLEDGE_S:
            known.begun_at.update(dict.fromkeys(serving, now))
        return serving

    def next_begin_s(self, service: str, now: float) -> float | None:
        """Return the time until streams may begin at a version that is announced, in seconds.

        None means that no version of the service is.
        """
        known = self.by_service.get(service)
        return None if known is None else known.serves_in_s(now, hold_s=self.hold_s)

    def only_origin(self, service: str, now: float) -> str | None:
        """Return the version that began every open stream of a service, or None if unknown."""
        is_fresh = now - self.source.updated_at <= self.times.inference_age_s
        return self._only_possible(service, now) if is_fresh else None

    def hears_of_store(self, now: float) -> bool:
        """Return whether news of the store can be expected soon."""
        return now - self.source.updated_at <= self.times.inference_age_s + OVERDUE_S

    def awaits_knowledge(self, service: str, now: float) -> bool:
        """Return whether younger knowledge would show which version began every open stream."""
        return self._only_possible(service, now) is not None

    def ambiguous_services(self) -> set[str]:
        """Return the services of which several versions may have begun open streams."""
        return {
            service
            for service, known in self.by_service.items()
            if known.states and (len(known.states) > 1 or not self._is_vouched(known))
        }

    def on_write(self, purpose: VersionsWrite, message: commands.StoreReply, now: float) -> None:
        """Take over what was written; after a failure, try again later."""
        known = self.by_service[purpose.service]
        known.writing = False
        reply = message.reply
        if message.era not in (None, self.source.era):
            return
        if type(reply) is store.CommitReply and reply.applied:
            if reply.revision > known.revision:
                known_at = self.source.updated_at
                self._adopt(purpose.service, purpose.record, reply.revision, now, known_at)
        elif type(reply) is store.CommitReply:
            item = next(iter(reply.items), None)
            self._apply_read(purpose.service, item, now, known_at=self.source.updated_at)
        else:
            known.due_at = now + RETRY_S
            log_event = commands.LogEvent(
                events.Event.VERSIONS_NOT_WRITTEN, service=purpose.service, detail=reply.detail
            )
            self.outbox.append(log_event)

    def _apply_read(
        self, key: str, item: store.KeyValue | None, now: float, *, known_at: float
    ) -> None:
        """Apply a record that was read, so that changes before it may have been missed."""
        known = self.by_service.get(key)
        if known is not None and item is not None and item.revision > known.revision:
            known.since = {}
        self.apply_change(key, item, now, known_at=known_at)

    def _only_possible(self, service: str, now: float) -> str | None:
        """Return the only version that can have begun streams, as far as is known, or None."""
        known = self.by_service.get(service)
        if known is None or not self._is_vouched(known):
            return None
        possible = known.possible_origins(now, max_age_s=self.times.inference_age_s)
        return next(iter(possible)) if len(possible) == 1 else None

    def _adopt(
        self,
        service: str,
        record: version_record.VersionRecord,
        revision: int,
        now: float,
        known_at: float,
    ) -> None:
        """Take over a record of the store and log it."""
        known = self.by_service[service]
        known.adopt(record, revision, now, era=self.source.era, known_at=known_at)
        log_event = commands.LogEvent(
            events.Event.VERSIONS_CHANGED,
            service=service,
            versions={version: state.value for version, state in known.states.items()},
            vouched=self._is_vouched(known),
            revision=revision,
            known_s=clock.age_s(self.source.updated_at, now),
        )
        self.outbox.append(log_event)

    def _is_informed(self) -> bool:
        """Return whether configuration and store are known, so that records may be written."""
        return self.config.ready() and self.source.is_complete() and not self.source.is_restored

    def _is_fresh(self, now: float) -> bool:
        """Return whether the knowledge of the store is no older than it may be."""
        return now - self.source.updated_at <= self.times.max_age_s

    def _is_vouched(self, known: _service_versions.ServiceVersions) -> bool:
        """Return whether a record of the present era has all versions with open streams."""
        return not self.source.is_restored and known.is_vouched(self.source.era)

    def _check(self, service: str, named: set[str], offered: set[str], now: float) -> None:
        """Write the record of a service if it needs a change that is due.

        Args:
            service: Name of the service.
            named: Versions that entries of its upstreams name.
            offered: Versions with an upstream that takes new work.
            now: Monotonic seconds.
        """
        known = self.by_service.setdefault(service, _service_versions.ServiceVersions())
        fresh = self._is_fresh(now)
        known.observe_entries(named, now, fresh=fresh)
        wanted = self._wanted(known, offered, now, fresh=fresh)
        if not wanted.states or wanted == known.record:
            known.wanted = None
            return
        if wanted != known.wanted:
            known.wanted = wanted
            known.due_at = now + self._write_delay_s(service, known, now)
        if now >= known.due_at and not known.writing:
            self._write(service, known)

    def _wanted(
        self,
        known: _service_versions.ServiceVersions,
        offered: set[str],
        now: float,
        *,
        fresh: bool,
    ) -> version_record.VersionRecord:
        """Return the record that the store should have.

        Without a record no stream has begun in this era of the store, so that all versions may
        serve at once.
        """
        is_first = known.record is None and not known.states
        if is_first:
            states = dict.fromkeys(offered, version_record.VersionState.SERVING)
        else:
            states = known.next_states(offered, now, fresh=fresh, hold_s=self.hold_s)
        is_untouched = is_first and known.revision == 0
        outlasted = now - known.unvouched_since >= _service_versions.RETENTION_S
        if now >= self.vouches_from or outlasted or (self.first_start and is_untouched):
            era = self.source.era
        else:
            era = known.record.era if known.record is not None else version_record.NO_ERA
        return version_record.VersionRecord(states, era=era)

    def _write_delay_s(
        self, service: str, known: _service_versions.ServiceVersions, now: float
    ) -> float:
        """Return how long this instance waits for those before it to write, in seconds."""
        if known.unrecorded(now):
            # Nobody else knows of these versions.
            return 0.0
        first_s = FIRST_WRITE_DELAY_S if known.record is None else 0.0
        return first_s + RANK_DELAY_S * self._rank(service, now)

    def _rank(self, service: str, now: float) -> int:
        """Return the rank of this instance among the reachable ones, at most MAX_RANK."""
        own = self.members.own.instance
        others = [member.info.instance for member in self.members.reachable_members(now)]
        ranked: typing.Sequence[str] = rendezvous.ranked(PREFIX + service, [own, *others])
        return min(MAX_RANK, ranked.index(own))

    def _write(self, service: str, known: _service_versions.ServiceVersions) -> None:
        """Write the wanted record if the store still has the known one."""
        key = PREFIX + service
        call = store.Commit(
            conditions=[store.Condition(key, known.revision)],
            changes=[store.Put(key, version_records.to_bytes(known.wanted))],
        )
        known.writing = True
        purpose = VersionsWrite(service, known.wanted)
        self.outbox.append(commands.StoreCall(call, purpose))
