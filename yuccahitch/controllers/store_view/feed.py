"""Follows the platform's store: reads it once, then applies its changes.

The changes come from a watch of this instance, or from another instance of the zone that watches
the store (``relay``). Both say between which revisions their changes were made, so that the
instance can change from one to the other without missing or repeating any.

The store may come back from an older copy. It then names a higher era, and its revisions go back
and are given out again, so nothing of the former era can be compared with them. The store is read
again, and subscribers keep what they know better than the copy. Once everybody has had time to
write again what was lost, a second read settles what still differs.
"""

from __future__ import annotations

import math
import typing

from yuccahitch import events, records
from yuccahitch.messages import commands, feeds, store

# Pause before the store is read again after a failed call, in seconds.
RETRY_S = 0.3
# Heartbeats that an upstream misses until the store drops its entry.
MISSED_HEARTBEATS = 3
# Time by which that may come later, in seconds.
SETTLE_MARGIN_S = 1.0
# All keys are read and watched together: one call instead of one a prefix.
WHOLE_STORE = ""


class Listing(records.Record):
    """Purpose of a call that reads one page of the store.

    Attributes:
        entries: Items of the pages read before.
        revision: Revision of the store at the first page; 0 while that one is read.
        era: Era of the store at the first page, or None.
        as_of: When the call for the first page was sent, in monotonic seconds.
    """

    __slots__ = ("entries", "revision", "era", "as_of")

    def __init__(
        self,
        entries: list[store.KeyValue],
        revision: int,
        *,
        era: int | None = None,
        as_of: float = -math.inf,
    ) -> None:
        self.entries = entries
        self.revision = revision
        self.era = era
        self.as_of = as_of


class Subscriber(typing.Protocol):
    """A controller that applies what the store holds under a prefix."""

    def apply_snapshot(
        self,
        items: list[store.KeyValue],
        now: float,
        *,
        known_at: float = -math.inf,
        restored: bool = False,
    ) -> None:
        """Apply all items, with keys relative to the prefix; other items no longer exist.

        Args:
            items: The items.
            now: Monotonic seconds.
            known_at: When the store was last known to be as it was before, in monotonic seconds.
            restored: Whether the store was restored, so that the items may be older than what is
                known.
        """

    def begin_era(self, now: float) -> None:
        """Forget the revisions and leases of the store, which came back from an older copy."""

    def apply_change(
        self, key: str, item: store.KeyValue | None, now: float, *, known_at: float = -math.inf
    ) -> None:
        """Apply one change, with the key relative to the prefix; None means a deletion.

        The change was made after ``known_at``, in monotonic seconds.
        """


class Feed:
    """Keeps subscribers up to date with their prefixes.

    Args:
        subscribers: The controller that applies the items of each prefix, by prefix.
        upstream_heartbeat_s: Time between two writes of an upstream's entry, in seconds.

    Attributes:
        settle_s: Time after the first read of a restored store until the second one, in seconds:
            entries of the copy that nobody renews are gone then.
        revision: Revision up to which the store is known; 0 before it was read.
        era: Era of the store that the revision belongs to, or None if it names none.
        is_restored: Whether the store came back from an older copy and was not read since.
        settles_at: Until when a restored store may be older than what is known, in monotonic
            seconds; then it is read again.
        updated_at: Latest moment at which the store is certain to have been as it is known, in
            monotonic seconds, or minus infinity.
        watched_at: The same as far as the own watch shows it, or the read before it; minus
            infinity while there is no watch and after it failed.
        next_read_at: When the store has to be read whole, in monotonic seconds; infinity while it
            is being read or followed.
        watching: Whether this instance watches the store itself.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "subscribers",
        "settle_s",
        "revision",
        "era",
        "is_restored",
        "settles_at",
        "updated_at",
        "watched_at",
        "next_read_at",
        "watching",
        "outbox",
    )

    def __init__(self, subscribers: dict[str, Subscriber], *, upstream_heartbeat_s: float) -> None:
        self.subscribers = subscribers
        self.settle_s = MISSED_HEARTBEATS * upstream_heartbeat_s + SETTLE_MARGIN_S
        self.revision = 0
        self.era: int | None = None
        self.is_restored = False
        self.settles_at = -math.inf
        self.updated_at = -math.inf
        self.watched_at = -math.inf
        self.next_read_at = -math.inf
        self.watching = False
        self.outbox: list[commands.Command] = []

    def tick(self, now: float) -> None:
        """Start to read the store when that is due."""
        if now >= self.next_read_at:
            self.next_read_at = math.inf
            call = store.Range(WHOLE_STORE, prefix=True)
            self.outbox.append(commands.StoreCall(call, Listing([], 0)))

    def is_complete(self) -> bool:
        """Return whether the store was read whole at least once."""
        return self.revision > 0

    def set_watching(self, watching: bool) -> None:
        """Start to watch the store, from what is known of it, or stop."""
        self.watching = watching
        self.watched_at = -math.inf
        if self.is_complete():
            self._update_watch()

    def read_again(self, now: float) -> None:
        """Schedule a read of the whole store, as changes of it were missed."""
        self.next_read_at = now

    def observe_era(self, era: int | None, now: float) -> bool:
        """Compare the era of a reply or report with the known one; a higher one begins.

        Returns:
            Whether it is the present era; None counts as the present one.
        """
        if era is None or era == self.era:
            return True
        if self.era is not None and era < self.era:
            return False
        if self.is_complete():
            self._begin_era(era, now)
        self.era = era
        return True

    def _begin_era(self, era: int, now: float) -> None:
        """Stop following the store of the former era, and read it again."""
        log_event = commands.LogEvent(
            events.Event.STORE_RESTORED, era=era, former_era=self.era, known=self.revision
        )
        self.outbox.append(log_event)
        self.is_restored = True
        self.watched_at = -math.inf
        self.next_read_at = now
        for subscriber in self.subscribers.values():
            subscriber.begin_era(now)

    def apply_page(
        self,
        purpose: Listing,
        reply: store.Reply,
        now: float,
        *,
        sent_at: float,
        era: int | None = None,
    ) -> None:
        """Apply a page that was read, then ask for the next one or follow the changes.

        Args:
            purpose: Purpose of the call, with the pages before.
            reply: The reply.
            now: Monotonic seconds.
            sent_at: When the call was sent, in monotonic seconds.
            era: Era of the store that replied, or None if the reply names none.
        """
        is_present = self.observe_era(era, now)
        if type(reply) is not store.RangeReply or not is_present:
            self.next_read_at = now + RETRY_S
            return
        if purpose.revision and purpose.era != era:
            self.next_read_at = now
            return
        entries = purpose.entries + reply.items
        # Pages are read one after another: the changes since the first one must follow.
        revision = purpose.revision or reply.revision
        as_of = purpose.as_of if purpose.revision else sent_at
        if reply.has_more and reply.items:
            call = store.Range(WHOLE_STORE, prefix=True, after_key=reply.items[-1].key)
            listing = Listing(entries, revision, era=era, as_of=as_of)
            self.outbox.append(commands.StoreCall(call, listing))
            return
        is_newer = self.is_restored or revision >= self.revision
        log_event = commands.LogEvent(
            events.Event.STORE_READ,
            revision=revision,
            known=self.revision,
            era=era,
            applied=is_newer,
        )
        self.outbox.append(log_event)
        if self.is_restored:
            self.settles_at = now + self.settle_s
            self.is_restored = False
        if is_newer:
            known_at = -math.inf if now < self.settles_at else self.updated_at
            self.confirm(as_of)
            self.revision = revision
            self._apply_snapshot(entries, now, known_at=known_at)
        self.next_read_at = self.settles_at if now < self.settles_at else math.inf
        if self.watching:
            self.watched_at = as_of
            self._update_watch()

    def apply_watched(self, event: store.KeysChanged, now: float) -> feeds.StoreChanges:
        """Apply what the watch reported; return the changes that were not known before."""
        after = self.revision
        is_present = self.observe_era(event.era, now)
        if self.is_restored or not is_present or event.after > after:
            return feeds.StoreChanges(after=after, revision=after, changes=[])
        news = feeds.StoreChanges(
            after=after,
            revision=max(after, event.revision),
            changes=[change for change in event.changes if change.revision > after],
        )
        self._apply(news, now, event.as_of)
        if self.watching:
            self.watched_at = max(self.watched_at, event.as_of)
        return news

    def apply_relayed(self, news: feeds.StoreChanges, now: float, *, as_of: float) -> None:
        """Apply changes that another instance passed on, unless changes before them are missing.

        Args:
            news: The changes.
            now: Monotonic seconds.
            as_of: Moment up to which they are certainly all changes, in monotonic seconds.
        """
        follows = news.after <= self.revision < news.revision
        if self.is_complete() and not self.is_restored and follows:
            self._apply(news, now, as_of)

    def confirm(self, as_of: float) -> None:
        """Record that the store was as it is known at a moment, in monotonic seconds."""
        self.updated_at = max(self.updated_at, as_of)

    def on_watch_failing(self) -> None:
        """Record that the watch gets no replies at present."""
        self.watched_at = -math.inf

    def on_watch_lost(self, event: store.WatchLost, now: float) -> None:
        """Schedule a new read of the store, as the watch broke or lost its history."""
        self.observe_era(event.era, now)
        self.watched_at = -math.inf
        self.next_read_at = now
        self.outbox.append(commands.LogEvent(events.Event.WATCH_BROKEN, detail=event.detail))

    def _apply(self, news: feeds.StoreChanges, now: float, as_of: float) -> None:
        """Pass changes that are not known yet to the subscribers of their prefixes."""
        known, self.revision = self.revision, news.revision
        known_at = self.updated_at
        self.confirm(as_of)
        for change in news.changes:
            prefix = self._prefix_of(change.key)
            if prefix is not None and change.revision > known:
                item = _relative(change.item, prefix) if change.item is not None else None
                key = change.key.removeprefix(prefix)
                self.subscribers[prefix].apply_change(key, item, now, known_at=known_at)

    def _apply_snapshot(
        self, entries: list[store.KeyValue], now: float, *, known_at: float
    ) -> None:
        """Pass all items of the store to the subscribers of their prefixes."""
        for prefix, subscriber in self.subscribers.items():
            items = [_relative(item, prefix) for item in entries if item.key.startswith(prefix)]
            subscriber.apply_snapshot(items, now, known_at=known_at, restored=now < self.settles_at)

    def _prefix_of(self, key: str) -> str | None:
        """Return the prefix of a key that has a subscriber, or None."""
        return next((prefix for prefix in self.subscribers if key.startswith(prefix)), None)

    def _update_watch(self) -> None:
        """Open or close the watch."""
        watch = commands.WatchStore(
            prefix=WHOLE_STORE, revision=self.revision, active=self.watching, era=self.era
        )
        self.outbox.append(watch)


def _relative(item: store.KeyValue, prefix: str) -> store.KeyValue:
    """Return an item with its key relative to a prefix."""
    return store.KeyValue(
        key=item.key.removeprefix(prefix), value=item.value, revision=item.revision
    )
