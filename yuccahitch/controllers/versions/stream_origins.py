"""The origins of the streams that this instance began or took up.

While several software versions may have begun open streams of a service, the origins of those that
have not ended in full are left in the store for the other instances, in batches under a lease that
is never renewed: a batch goes by itself, also when its writer has died. A stream that lasts longer
is recorded again under the next lease.
"""

from __future__ import annotations

import array
import math
import random

from yuccahitch import events, records
from yuccahitch.codecs import stream_batches as codec
from yuccahitch.controllers.members import fleet
from yuccahitch.controllers.versions import served_versions, stream_origin, stream_records
from yuccahitch.messages import commands, store, stream_batches

# Time for which a stream that did not end in full is remembered, in seconds.
BROKEN_MEMORY_S = 120.0
# Time for which one that did is: the caller may have missed its end.
ENDED_MEMORY_S = 10.0
# Streams that are remembered at most; the oldest one is dropped for a new one.
MAX_STREAMS = 50_000
# Streams from which on a batch gets no more: all instances get a batch again with each that joins.
BATCH_STREAMS = 16
# Streams that join a batch with one write at most.
MAX_JOINING = 64
# Time after which a new lease is granted for the records, in seconds.
LEASE_USED_S = stream_records.RECORD_LIFETIME_S / 2
# Part of the store's writes that the instances together make for records.
WRITE_SHARE = 0.25
# Writes that they make at most, each second: every instance gets the changes of each.
MAX_FLEET_WRITES_PER_S = 100.0
# Shortest time between two writes of an instance, in seconds.
MIN_PAUSE_S = 0.2
# Largest part by which a pause is longer than needed.
PAUSE_SPREAD = 0.2
# Failed writes in a row after which the lease is given up.
MAX_FAILURES = 3
# Time between two rounds that forget old streams, in seconds.
EXPIRY_INTERVAL_S = 1.0


class RecordLease(records.Record):
    """Purpose of the call that grants a lease for records."""

    __slots__ = ()


class RecordWrite(records.Record):
    """Purpose of the call that writes a batch.

    Attributes:
        streams: The streams that were not in the batch before.
        number: Number of the batch.
        lease: Id of the lease that it hangs on.
    """

    __slots__ = ("streams", "number", "lease")

    def __init__(self, streams: list[OwnStream], *, number: int, lease: int) -> None:
        self.streams = streams
        self.number = number
        self.lease = lease


class OwnStream:
    """A stream that this instance began or took up.

    Attributes:
        key: Key of the stream.
        origin: Its origin.
        ended_at: When its answer ended, in monotonic seconds; infinity while it goes on.
        complete: Whether it ended in full.
        lease: Id of the lease under which it is recorded, or 0.
    """

    __slots__ = ("key", "origin", "ended_at", "complete", "lease")

    def __init__(self, key: int, origin: stream_origin.Origin) -> None:
        self.key = key
        self.origin = origin
        self.ended_at = math.inf
        self.complete = False
        self.lease = 0

    def is_remembered(self, now: float) -> bool:
        """Return whether the stream may still be taken up."""
        memory_s = ENDED_MEMORY_S if self.complete else BROKEN_MEMORY_S
        return now - self.ended_at < memory_s


class StreamOrigins:
    """Remembers the origins of this instance's streams, and records them while that is needed.

    Args:
        members: The instances of the fleet.
        versions: The versions that may have begun open streams.
        instance: Id of this instance.
        writes_per_s: Writes that the store takes of all instances together, each second.
        rng: Seeded source of random numbers.

    Attributes:
        streams: The streams by key, the one begun last at the end.
        batch: Streams of the present batch.
        batch_number: Number of the present batch.
        batch_revision: Revision of the present batch in the store; 0 if it is not there.
        lease: Id of the lease of the records, or 0.
        lease_until: When the next lease is granted, in monotonic seconds.
        failures: Failed writes in a row.
        era: Era of the store in which streams are recorded, or None.
        recording: Whether streams are recorded.
        calling: Whether a call is under way.
        next_write_at: When the next call may be made, in monotonic seconds.
        expires_at: When old streams are forgotten next, in monotonic seconds.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "members",
        "versions",
        "instance",
        "writes_per_s",
        "rng",
        "streams",
        "batch",
        "batch_number",
        "batch_revision",
        "lease",
        "lease_until",
        "failures",
        "era",
        "recording",
        "calling",
        "next_write_at",
        "expires_at",
        "outbox",
    )

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        versions: served_versions.ServedVersions,
        instance: str,
        writes_per_s: float,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.versions = versions
        self.instance = instance
        self.writes_per_s = writes_per_s
        self.rng = rng
        self.streams: dict[int, OwnStream] = {}
        self.batch: list[OwnStream] = []
        self.batch_number = 0
        self.batch_revision = 0
        self.lease = 0
        self.lease_until = -math.inf
        self.failures = 0
        self.era: int | None = None
        self.recording = False
        self.calling = False
        self.next_write_at = -math.inf
        self.expires_at = -math.inf
        self.outbox: list[commands.Command] = []

    def begin(self, key: int, service: str, version: str, **fields: str) -> OwnStream:
        """Remember a stream whose first event of this instance is about to be passed on.

        Args:
            key: Key of the stream.
            service: Name of its service.
            version: Software version that began it.
            fields: Fields of the log event, which is written while the origin is not plain.
        """
        if service in self.versions.ambiguous_services():
            log_event = commands.LogEvent(
                events.Event.STREAM_BEGAN, service=service, software_version=version, **fields
            )
            self.outbox.append(log_event)
        origin = stream_origin.Origin(service, version, source=stream_origin.Source.OWN)
        self.streams.pop(key, None)
        stream = self.streams[key] = OwnStream(key, origin)
        if len(self.streams) > MAX_STREAMS:
            del self.streams[next(iter(self.streams))]
        return stream

    def end(self, stream: OwnStream, now: float, *, complete: bool) -> None:
        """Record that the answer with a stream has ended, in full or not."""
        stream.ended_at = now
        stream.complete = complete

    def find(self, key: int) -> stream_origin.Origin | None:
        """Return the origin of a stream of this instance, or None if it is not remembered."""
        stream = self.streams.get(key)
        return None if stream is None else stream.origin

    def tick(self, now: float) -> None:
        """Forget old streams, and record those that need it when a call may be made."""
        if now >= self.expires_at:
            self.expires_at = now + EXPIRY_INTERVAL_S
            self.streams = {k: s for k, s in self.streams.items() if s.is_remembered(now)}
        if self.era != self.versions.source.era:
            # The restored store may have lost the records and their lease.
            self.era = self.versions.source.era
            self._give_up_lease()
        services = self.versions.ambiguous_services()
        if bool(services) is not self.recording:
            self.recording = not self.recording
            # The instances learn of a new version at the same time.
            self.next_write_at = now + self.rng.random() * self._pause_s(now)
        if self.calling or now < self.next_write_at or not services:
            return
        self._record(services, now)

    def on_lease(self, message: commands.StoreReply, now: float) -> None:
        """Take over a lease that was granted."""
        self.calling = False
        reply = message.reply
        if message.era not in (None, self.era):
            return
        if type(reply) is store.LeaseReply and reply.lease:
            self._start_batch()
            self.lease = reply.lease
            self.lease_until = message.sent_at + LEASE_USED_S
            self.next_write_at = now
        else:
            self._log_failure("no lease was granted")

    def on_write(self, purpose: RecordWrite, message: commands.StoreReply, now: float) -> None:
        """Mark the streams of a written batch as recorded; others are written again."""
        self.calling = False
        if purpose.lease != self.lease:
            return
        reply = message.reply
        if type(reply) is store.CommitReply and reply.applied:
            self.failures = 0
            self.batch_revision = reply.revision
            self.batch += purpose.streams
            for stream in purpose.streams:
                stream.lease = purpose.lease
            log_event = commands.LogEvent(
                events.Event.STREAMS_RECORDED, streams=len(purpose.streams), batch=purpose.number
            )
            self.outbox.append(log_event)
            if len(self.batch) >= BATCH_STREAMS:
                self._start_batch()
            return
        is_failure = type(reply) is store.CallFailed
        self._log_failure(reply.detail if is_failure else "the batch has changed")
        if not is_failure or reply.may_have_applied:
            # A late write must not replace a later batch of the same key.
            self._start_batch()
        if self.failures >= MAX_FAILURES:
            self._give_up_lease()

    def _record(self, services: set[str], now: float) -> None:
        """Write the streams of some services that are not recorded under the present lease."""
        has_lease = self.lease and now < self.lease_until
        lease = self.lease if has_lease else 0
        waiting = [
            stream
            for stream in self.streams.values()
            if stream.origin.service in services
            and not stream.complete
            and (stream.lease != lease or not lease)
            and now - stream.ended_at < LEASE_USED_S
        ]
        if not waiting:
            return
        self.calling = True
        self.next_write_at = now + self._pause_s(now)
        if not has_lease:
            call = store.GrantLease(stream_records.RECORD_LIFETIME_S)
            self.outbox.append(commands.StoreCall(call, RecordLease()))
            return
        self._write(waiting[:MAX_JOINING])

    def _write(self, joining: list[OwnStream]) -> None:
        """Write the present batch with the streams that join it."""
        key = f"{stream_records.PREFIX}{self.instance}/{self.batch_number}"
        value = codec.to_bytes(group_by_origin([*self.batch, *joining]))
        call = store.Commit(
            conditions=[store.Condition(key, self.batch_revision)],
            changes=[store.Put(key, value, lease=self.lease)],
        )
        purpose = RecordWrite(joining, number=self.batch_number, lease=self.lease)
        self.outbox.append(commands.StoreCall(call, purpose))

    def _pause_s(self, now: float) -> float:
        """Return the time until the next call of this instance, in seconds.

        It varies, so that instances that begin to record together do not go on in step.
        """
        fleet_writes_per_s = min(MAX_FLEET_WRITES_PER_S, WRITE_SHARE * self.writes_per_s)
        pause_s = max(MIN_PAUSE_S, self.members.count_recent(now) / fleet_writes_per_s)
        return pause_s * (1 + self.rng.random() * PAUSE_SPREAD)

    def _start_batch(self) -> None:
        """Begin a new batch."""
        self.batch = []
        self.batch_number += 1
        self.batch_revision = 0

    def _give_up_lease(self) -> None:
        """Record all streams again under another lease."""
        self.lease = 0
        self.failures = 0
        for stream in self.streams.values():
            stream.lease = 0

    def _log_failure(self, detail: str) -> None:
        """Log and count a call that did not record streams."""
        self.failures += 1
        self.outbox.append(commands.LogEvent(events.Event.STREAMS_NOT_RECORDED, detail=detail))


def group_by_origin(streams: list[OwnStream]) -> list[stream_batches.OriginGroup]:
    """Return streams grouped by origin."""
    keys_by_origin: dict[tuple[str, str], set[int]] = {}
    for stream in streams:
        origin = (stream.origin.service, stream.origin.version)
        keys_by_origin.setdefault(origin, set()).add(stream.key)
    return [
        stream_batches.OriginGroup(service, version, array.array(codec.KEY_TYPE, sorted(keys)))
        for (service, version), keys in keys_by_origin.items()
    ]
