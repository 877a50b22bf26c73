"""Decides which instances watch the platform's store, and passes changes on to the others.

In each zone the first READERS_PER_ZONE reachable instances by rendezvous hashing watch the store.
They report to the others of the zone what changed and, every REPORT_INTERVAL_S, how far they know
the store. An instance that gets no such report watches the store itself until the reports are sound
again. It begins after the last change that it applied, so that the death of a reader neither loses
a change nor brings back an older state. An instance that is behind a report reads the prefix again.
"""

from __future__ import annotations

import math

from yuccahitch import events
from yuccahitch.controllers import feed, fleet, rendezvous
from yuccahitch.messages import commands, feeds, pulses, store

# Two, so that the zone goes on being told of changes when one is killed or cut off.
READERS_PER_ZONE = 2
# Time between two reports of a reader, in seconds.
REPORT_INTERVAL_S = 0.25
# Silence after which a reader's reports no longer count, in seconds.
SILENT_AFTER_S = 0.8
# Time for which a prefix may be behind a report before it is read again, in seconds.
BEHIND_LIMIT_S = 0.3
# Shortest time between two such reads of a prefix, in seconds.
READ_AGAIN_INTERVAL_S = 1.0
# Silence after which a reader is forgotten, in seconds.
FORGET_READER_S = 10.0
# Time for which reports must have been sound before own watches end, in seconds.
SOUND_FOR_S = 1.0
# Time by which the reply of a watch may come later than the longest wait, in seconds.
WATCH_REPLY_MARGIN_S = 0.4
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
        since: When the first of the reports that came without a silence arrived, in monotonic
            seconds.
    """

    __slots__ = ("last_at", "since")

    def __init__(self, now: float) -> None:
        self.last_at = now
        self.since = now


class MissedChanges:
    """Changes of a prefix that a report told of and that have not arrived.

    Attributes:
        since: When the report arrived, in monotonic seconds.
        revision: Revision up to which the report's sender knew the prefix.
    """

    __slots__ = ("since", "revision")

    def __init__(self, since: float, revision: int) -> None:
        self.since = since
        self.revision = revision


class StoreRelay:
    """Reports changes of the store to the zone, or follows the reports of others.

    Args:
        members: The other instances.
        source: Follows the store.
        watch_s: Longest wait of a watch's call in the store, in seconds.

    Attributes:
        max_watch_age_s: Age of a watch's last reply up to which the watch is sound, in seconds.
        readers: The readers heard so far, by instance id.
        started_at: When the relay first ran, in monotonic seconds, or infinity.
        missed: Changes that have not arrived, by prefix.
        read_again_at: When each prefix may be read again for missed changes, in monotonic seconds.
        report_due_at: When the next report is due, in monotonic seconds.
        dropped: Reports that were dropped because their sender is not known.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "members",
        "source",
        "max_watch_age_s",
        "readers",
        "started_at",
        "missed",
        "read_again_at",
        "report_due_at",
        "dropped",
        "outbox",
    )

    def __init__(self, members: fleet.Fleet, source: feed.Feed, *, watch_s: float) -> None:
        self.members = members
        self.source = source
        self.max_watch_age_s = watch_s + WATCH_REPLY_MARGIN_S
        self.readers: dict[str, HeardReader] = {}
        self.started_at = math.inf
        self.missed: dict[str, MissedChanges] = {}
        self.read_again_at: dict[str, float] = {}
        self.report_due_at = -math.inf
        self.dropped = 0
        self.outbox: list[commands.Command | pulses.SendDatagram] = []

    def tick(self, now: float) -> None:
        """Begin or end the own watches, and report to the zone when that is due."""
        self.started_at = min(self.started_at, now)
        reason = self._reason_to_watch(now)
        if reason and not self.source.watching:
            self._set_watching(True, reason)
        elif not reason and self.source.watching and self._is_fed(now, for_s=SOUND_FOR_S):
            self._set_watching(False, "reports are sound")
        self._read_missed(now)
        for name in [n for n, r in self.readers.items() if now - r.last_at > FORGET_READER_S]:
            del self.readers[name]
        if now >= self.report_due_at:
            self.report_due_at = now + REPORT_INTERVAL_S
            self._report([], now)

    def on_watched(self, event: store.KeysChanged, now: float) -> None:
        """Apply the changes that an own watch saw, and pass them on."""
        news = self.source.apply_watched(event, now)
        # The store's revision also grows by changes under other prefixes; the others must know.
        if news.revision > news.after:
            for part in split_changes(news):
                self._report([part], now)

    def on_report(self, report: feeds.FeedReport, now: float) -> None:
        """Apply the report of a reader of this zone."""
        member = self.members.members.get(report.instance)
        if member is None or member.info.zone != self.members.own.zone:
            self.dropped += 1
            return
        if report.revisions.keys() != self.source.subscribers.keys():
            self.dropped += 1
            return
        reader = self.readers.setdefault(report.instance, HeardReader(now))
        if now - reader.last_at > SILENT_AFTER_S:
            reader.since = now
        reader.last_at = now
        for news in report.changes:
            self.source.apply_relayed(news, now)
        self._forget_arrived()
        for prefix in self.source.confirm(report.revisions, now):
            self.missed.setdefault(prefix, MissedChanges(now, report.revisions[prefix]))

    def _reason_to_watch(self, now: float) -> str:
        """Return why this instance has to watch the store itself, or an empty text."""
        if self._is_reader(now):
            return "reader of the zone"
        is_waiting = now - self.started_at < SILENT_AFTER_S
        return "" if is_waiting or self._is_fed(now) else "no reports"

    def _is_reader(self, now: float) -> bool:
        """Return whether this instance is among the readers of its zone."""
        own = self.members.own.instance
        ids = [own, *(info.instance for info in self.members.zone_infos(now))]
        return own in rendezvous.ranked(RANKING_SUBJECT, ids)[:READERS_PER_ZONE]

    def _is_fed(self, now: float, *, for_s: float = 0.0) -> bool:
        """Return whether a reader's reports come, and have come for some seconds."""
        return any(
            now - reader.last_at <= SILENT_AFTER_S and now - reader.since >= for_s
            for reader in self.readers.values()
        )

    def _set_watching(self, watching: bool, reason: str) -> None:
        self.source.set_watching(watching)
        event = events.Event.STORE_WATCHED if watching else events.Event.STORE_RELAYED
        self.outbox.append(commands.LogEvent(event, reason=reason))

    def _forget_arrived(self) -> None:
        """Forget missed changes that have arrived since."""
        known = self.source.revisions
        self.missed = {
            prefix: missed
            for prefix, missed in self.missed.items()
            if known[prefix] < missed.revision
        }

    def _read_missed(self, now: float) -> None:
        """Read the prefixes again whose changes have been missing for too long."""
        self._forget_arrived()
        for prefix, missed in self.missed.items():
            behind_s = now - missed.since
            may_read_at = self.read_again_at.get(prefix, -math.inf)
            if behind_s < BEHIND_LIMIT_S or now < may_read_at:
                continue
            self.read_again_at[prefix] = now + READ_AGAIN_INTERVAL_S
            self.source.read_again(prefix, now)
            log_event = commands.LogEvent(
                events.Event.REPORT_MISSED,
                prefix=prefix,
                behind_s=round(behind_s, 3),
                known=self.source.revisions[prefix],
                reported=missed.revision,
            )
            self.outbox.append(log_event)

    def _report(self, changes: list[feeds.PrefixChanges], now: float) -> None:
        """Report to the zone if this instance is a reader whose watches are sound."""
        if not self.source.is_watched(now, max_age_s=self.max_watch_age_s):
            return
        if not self._is_reader(now):
            return
        addresses = [fleet.peer_address(info) for info in self.members.zone_infos(now)]
        if addresses:
            report = feeds.FeedReport(
                self.members.own.instance, revisions=dict(self.source.revisions), changes=changes
            )
            self.outbox.append(pulses.SendDatagram(addresses, report))


def split_changes(news: feeds.PrefixChanges) -> list[feeds.PrefixChanges]:
    """Divide changes into parts that fit into one report each.

    A change that is too large for a report ends the list before it: the receivers find that they
    are behind and read it from the store.
    """
    parts: list[feeds.PrefixChanges] = []
    size, after, batch = 0, news.after, []
    for change in news.changes:
        change_size = _size(change)
        if change_size > MAX_REPORT_BYTES:
            return parts + _part(news, after, batch)
        if size + change_size > MAX_REPORT_BYTES:
            parts += _part(news, after, batch)
            size, after, batch = 0, batch[-1].revision, []
        size += change_size
        batch.append(change)
    last = feeds.PrefixChanges(news.prefix, after=after, revision=news.revision, changes=batch)
    return [*parts, last]


def _part(
    news: feeds.PrefixChanges, after: int, batch: list[store.KeyChange]
) -> list[feeds.PrefixChanges]:
    """Return the part that holds a batch of changes; none if the batch is empty."""
    if not batch:
        return []
    return [
        feeds.PrefixChanges(news.prefix, after=after, revision=batch[-1].revision, changes=batch)
    ]


def _size(change: store.KeyChange) -> int:
    """Return the approximate size of a change in a report, in bytes."""
    value_size = len(change.item.value) if change.item is not None else 0
    return CHANGE_OVERHEAD_BYTES + len(change.key) + value_size
