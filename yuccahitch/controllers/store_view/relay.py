"""Decides which instances watch the platform's store, and passes changes on to the others.

In each zone the first READERS_PER_ZONE reachable instances by rendezvous hashing watch the store.
They report to the others of the zone what changed and, every REPORT_INTERVAL_S, how far they know
the store and how old that knowledge is. An instance that gets no such report, or whose knowledge
grows too old (``freshness``), watches the store itself until the reports are sound again. It begins
after the last change that it applied, so that the death of a reader neither loses a change nor
brings back an older state. An instance that is behind a report reads the store again.
"""

from __future__ import annotations

import math

from yuccahitch import clock, events
from yuccahitch.controllers.members import clock_differences, fleet, fleet_member, rendezvous
from yuccahitch.controllers.store_view import feed, freshness
from yuccahitch.messages import commands, feeds, pulses, store

# Two, so that the zone goes on being told of changes when one is killed or cut off.
READERS_PER_ZONE = 2
# Time between two reports of a reader, in seconds.
REPORT_INTERVAL_S = 0.25
# Silence after which a reader's reports no longer count, in seconds.
SILENT_AFTER_S = 0.8
# Silence after which a reader is forgotten, in seconds.
FORGET_READER_S = 10.0
# Time for which an instance may be behind a report before it reads the store again, in seconds.
BEHIND_LIMIT_S = 0.3
# Shortest time between two such reads, in seconds.
READ_AGAIN_INTERVAL_S = 1.0
# Time for which reports must have been sound before the own watch ends, in seconds.
SOUND_FOR_S = 1.0
# Largest size of the changes in one report, in bytes; larger ones are read from the store.
MAX_REPORT_BYTES = 32_000
# Size of a change without its key and value, in bytes.
CHANGE_OVERHEAD_BYTES = 24
# Subject of the rendezvous hash that ranks the instances of a zone.
RANKING_SUBJECT = "store-readers"


class HeardReader:
    """The reports of one reader.

    Attributes:
        last_at: When the last report arrived, in monotonic seconds.
        as_of: Latest moment at which the reader certainly knew the store, in monotonic seconds.
        since: Since when its reports are sound, in monotonic seconds.
    """

    __slots__ = ("last_at", "as_of", "since")

    def __init__(self, now: float) -> None:
        self.last_at = now
        self.as_of = -math.inf
        self.since = now

    def is_sound(self, now: float, *, max_age_s: float) -> bool:
        """Return whether reports come, and the knowledge that they tell of is not too old."""
        return now - self.last_at <= SILENT_AFTER_S and now - self.as_of <= max_age_s


class StoreRelay:
    """Reports changes of the store to the zone, or follows the reports of others.

    Args:
        members: The other instances.
        source: Follows the store.
        times: How old the knowledge of the store may be.

    Attributes:
        readers: The readers heard of late, by instance id.
        clocks: The clocks of the readers.
        started_at: When the relay first ran, in monotonic seconds, or infinity.
        missed_revision: Revision that a report told of when this instance was behind it.
        missed_era: Era of the store that the revision belongs to, or None.
        missed_since: When that report arrived, in monotonic seconds.
        read_again_at: When the store may be read again for missed changes, in monotonic seconds.
        report_due_at: When the next report is due, in monotonic seconds.
        dropped: Reports that were dropped because their sender is not known.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "members",
        "source",
        "times",
        "readers",
        "clocks",
        "started_at",
        "missed_revision",
        "missed_era",
        "missed_since",
        "read_again_at",
        "report_due_at",
        "dropped",
        "outbox",
    )

    def __init__(self, members: fleet.Fleet, source: feed.Feed, times: freshness.Freshness) -> None:
        self.members = members
        self.source = source
        self.times = times
        self.readers: dict[str, HeardReader] = {}
        self.clocks = clock_differences.ClockDifferences()
        self.started_at = math.inf
        self.missed_revision = 0
        self.missed_era: int | None = None
        self.missed_since = -math.inf
        self.read_again_at = -math.inf
        self.report_due_at = -math.inf
        self.dropped = 0
        self.outbox: list[commands.Command | pulses.SendDatagram] = []

    def tick(self, now: float) -> None:
        """Begin or end the own watch, read missed changes, and report to the zone when due."""
        self.started_at = min(self.started_at, now)
        reason = self._reason_to_watch(now)
        if reason and not self.source.watching:
            self._set_watching(True, reason, now)
        elif not reason and self.source.watching and self._is_fed(now, for_s=SOUND_FOR_S):
            self._set_watching(False, "reports are sound", now)
        self._read_missed(now)
        for name in [n for n, r in self.readers.items() if now - r.last_at > FORGET_READER_S]:
            del self.readers[name]
        if now >= self.report_due_at:
            self.report_due_at = now + REPORT_INTERVAL_S
            self._report(None, now)

    def on_watched(self, event: store.KeysChanged, now: float) -> None:
        """Apply the changes that the own watch saw, and pass them on."""
        news = self.source.apply_watched(event, now)
        if news.revision > news.after:
            for part in split_changes(news):
                self._report(part, now)

    def on_report(self, report: feeds.FeedReport, now: float) -> None:
        """Apply the report of a reader of this zone."""
        member = self.members.members.get(report.instance)
        if member is None or member.info.zone != self.members.own.zone:
            self.dropped += 1
            return
        if not self.source.observe_era(report.era, now):
            return
        sent_at = self.clocks.own_time(report.instance, report.sent_at, now)
        as_of = sent_at - report.age_s
        reader = self.readers.setdefault(report.instance, HeardReader(now))
        if not reader.is_sound(now, max_age_s=self.times.max_age_s):
            reader.since = now
        reader.last_at = now
        reader.as_of = max(reader.as_of, as_of)
        if self.source.is_restored:
            return
        if report.news is not None:
            self.source.apply_relayed(report.news, now, as_of=as_of)
        if self.source.revision >= report.revision:
            self.source.confirm(as_of)
        elif self.source.revision >= self.missed_revision:
            self.missed_revision = report.revision
            self.missed_era = self.source.era
            self.missed_since = now

    def _reason_to_watch(self, now: float) -> str:
        """Return why this instance has to watch the store itself, or an empty text."""
        if self._is_reader(now):
            return "reader of the zone"
        if now - self.started_at < SILENT_AFTER_S:
            return ""
        if not self._is_fed(now):
            return "no sound reports"
        is_old = now - self.source.updated_at > self.times.max_age_s
        return "changes are missing" if is_old else ""

    def _is_reader(self, now: float) -> bool:
        """Return whether this instance is among the readers of its zone."""
        own = self.members.own.instance
        ids = [own, *(info.instance for info in self.members.zone_infos(now))]
        return own in rendezvous.ranked(RANKING_SUBJECT, ids)[:READERS_PER_ZONE]

    def _is_fed(self, now: float, *, for_s: float = 0.0) -> bool:
        """Return whether a reader's reports are sound, and have been so for some seconds."""
        return any(
            reader.is_sound(now, max_age_s=self.times.max_age_s) and now - reader.since >= for_s
            for reader in self.readers.values()
        )

    def _set_watching(self, watching: bool, reason: str, now: float) -> None:
        self.source.set_watching(watching)
        event = events.Event.STORE_WATCHED if watching else events.Event.STORE_RELAYED
        log_event = commands.LogEvent(
            event,
            reason=reason,
            revision=self.source.revision,
            known_s=clock.age_s(self.source.updated_at, now),
        )
        self.outbox.append(log_event)

    def _read_missed(self, now: float) -> None:
        """Read the store again if changes have been missing for too long."""
        if self.missed_era != self.source.era:
            self.missed_revision = 0
        known = self.source.revision
        if not known or known >= self.missed_revision:
            return
        behind_s = now - self.missed_since
        if behind_s < BEHIND_LIMIT_S or now < self.read_again_at:
            return
        self.read_again_at = now + READ_AGAIN_INTERVAL_S
        self.source.read_again(now)
        log_event = commands.LogEvent(
            events.Event.REPORT_MISSED,
            behind_s=round(behind_s, 3),
            known=known,
            reported=self.missed_revision,
        )
        self.outbox.append(log_event)

    def _report(self, news: feeds.StoreChanges | None, now: float) -> None:
        """Report to the zone if this instance is a reader whose watch is sound."""
        age_s = now - self.source.watched_at
        if age_s > self.times.max_age_s or not self._is_reader(now):
            return
        addresses = [fleet_member.peer_address(info) for info in self.members.zone_infos(now)]
        if addresses:
            report = feeds.FeedReport(
                self.members.own.instance,
                revision=self.source.revision,
                age_s=age_s,
                sent_at=now,
                era=self.source.era,
                news=news,
            )
            self.outbox.append(pulses.SendDatagram(addresses, report))


def split_changes(news: feeds.StoreChanges) -> list[feeds.StoreChanges]:
    """Divide changes into parts that fit into one report each.

    A change that is too large for a report ends the list before it: the receivers find that they
    are behind and read the store.
    """
    parts: list[feeds.StoreChanges] = []
    size, after, batch = 0, news.after, []
    for change in news.changes:
        change_size = _size(change)
        if batch and size + change_size > MAX_REPORT_BYTES:
            revision = batch[-1].revision
            parts.append(feeds.StoreChanges(after=after, revision=revision, changes=batch))
            size, after, batch = 0, revision, []
        if change_size > MAX_REPORT_BYTES:
            return parts
        size += change_size
        batch.append(change)
    return [*parts, feeds.StoreChanges(after=after, revision=news.revision, changes=batch)]


def _size(change: store.KeyChange) -> int:
    """Return the approximate size of a change in a report, in bytes."""
    value_size = len(change.item.value) if change.item is not None else 0
    return CHANGE_OVERHEAD_BYTES + len(change.key) + value_size
