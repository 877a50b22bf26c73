"""Follows prefixes of the platform's store: reads each once, then applies its changes.

The changes come from watches of this instance, or from another instance of the zone that watches
the store (``relay``). Both say between which revisions their changes were made, so that the
instance can change from one to the other without missing or repeating any.
"""

from __future__ import annotations

import typing

from yuccahitch import events, records
from yuccahitch.messages import commands, feeds, store

# Pause before a prefix is read again after a failed call, in seconds.
RETRY_S = 0.3


class PrefixListing(records.Record):
    """Purpose of a call that reads one page of a prefix.

    Attributes:
        prefix: The prefix.
        entries: Items of the pages read before.
        revision: Revision of the store at the first page; 0 while that one is read.
    """

    __slots__ = ("prefix", "entries", "revision")

    def __init__(self, prefix: str, entries: list[store.KeyValue], revision: int) -> None:
        self.prefix = prefix
        self.entries = entries
        self.revision = revision


class Subscriber(typing.Protocol):
    """A controller that applies what the store holds under a prefix."""

    def apply_snapshot(self, items: list[store.KeyValue], now: float) -> None:
        """Apply all items, with keys relative to the prefix; other items no longer exist."""

    def apply_change(self, key: str, item: store.KeyValue | None, now: float) -> None:
        """Apply one change, with the key relative to the prefix; None means a deletion."""


class Feed:
    """Keeps subscribers up to date with their prefixes.

    Args:
        subscribers: The controller that applies the items of each prefix, by prefix.

    Attributes:
        revisions: Revision of the store up to which each prefix is known. A prefix that was never
            read whole has no entry.
        updated_at: When each prefix was last known to be up to date, in monotonic seconds.
        watched_at: When the watch of each prefix last replied, or the read before it, in monotonic
            seconds. A prefix has no entry while it is not watched, and after its watch failed.
        next_read_at: When a prefix has to be read whole, in monotonic seconds. It has no entry
            while the prefix is being read or followed.
        watching: Whether this instance watches the store itself.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "subscribers",
        "revisions",
        "updated_at",
        "watched_at",
        "next_read_at",
        "watching",
        "outbox",
    )

    def __init__(self, subscribers: dict[str, Subscriber]) -> None:
        self.subscribers = subscribers
        self.revisions: dict[str, int] = {}
        self.updated_at: dict[str, float] = {}
        self.watched_at: dict[str, float] = {}
        self.next_read_at = dict.fromkeys(subscribers, 0.0)
        self.watching = False
        self.outbox: list[commands.Command] = []

    def tick(self, now: float) -> None:
        """Start reading the prefixes whose time has come."""
        for prefix in [name for name, read_at in self.next_read_at.items() if now >= read_at]:
            del self.next_read_at[prefix]
            call = store.Range(prefix, prefix=True)
            self.outbox.append(commands.StoreCall(call, PrefixListing(prefix, [], 0)))

    def is_complete(self) -> bool:
        """Return whether every prefix was read whole at least once."""
        return len(self.revisions) == len(self.subscribers)

    def set_watching(self, watching: bool) -> None:
        """Start to watch the prefixes that were read, from what is known of them, or stop."""
        self.watching = watching
        self.watched_at.clear()
        for prefix in self.revisions:
            self._update_watch(prefix)

    def is_watched(self, now: float, *, max_age_s: float) -> bool:
        """Return whether the watches of all prefixes replied within the last ``max_age_s``."""
        return len(self.watched_at) == len(self.subscribers) and all(
            now - replied_at <= max_age_s for replied_at in self.watched_at.values()
        )

    def apply_page(self, purpose: PrefixListing, reply: store.Reply, now: float) -> None:
        """Apply a page that was read, then ask for the next one or follow the changes."""
        prefix = purpose.prefix
        if type(reply) is not store.RangeReply:
            self.next_read_at[prefix] = now + RETRY_S
            return
        entries = purpose.entries + reply.items
        # Pages are read one after another: the changes since the first one must follow.
        revision = purpose.revision or reply.revision
        if reply.has_more and reply.items:
            call = store.Range(prefix, prefix=True, after_key=reply.items[-1].key)
            listing = PrefixListing(prefix, entries, revision)
            self.outbox.append(commands.StoreCall(call, listing))
            return
        if revision >= self.revisions.get(prefix, 0):
            self.revisions[prefix] = revision
            self.updated_at[prefix] = now
            relative_items = [_relative(item, prefix) for item in entries]
            self.subscribers[prefix].apply_snapshot(relative_items, now)
        if self.watching:
            self.watched_at[prefix] = now
            self._update_watch(prefix)

    def apply_watched(self, event: store.KeysChanged, now: float) -> feeds.PrefixChanges:
        """Apply what a watch reported; return the changes that were not known before."""
        prefix = event.prefix
        after = self.revisions[prefix]
        news = feeds.PrefixChanges(
            prefix,
            after=after,
            revision=max(after, event.revision),
            changes=[
                _relative_change(change, prefix)
                for change in event.changes
                if change.revision > after
            ],
        )
        self._apply(news, now)
        if self.watching:
            self.watched_at[prefix] = now
        return news

    def apply_relayed(self, news: feeds.PrefixChanges, now: float) -> None:
        """Apply changes that another instance passed on, unless changes before them are missing."""
        known = self.revisions.get(news.prefix)
        if known is not None and news.after <= known < news.revision:
            self._apply(news, now)

    def confirm(self, revisions: dict[str, int], now: float) -> list[str]:
        """Compare with the revisions up to which an instance with a sound watch knows the prefixes.

        Returns:
            The prefixes that were read here but are behind.
        """
        current = [name for name, known in self.revisions.items() if known >= revisions[name]]
        self.updated_at.update(dict.fromkeys(current, now))
        return [name for name in self.revisions if name not in current]

    def read_again(self, prefix: str, now: float) -> None:
        """Schedule a read of a whole prefix, as changes of it were missed."""
        self.next_read_at[prefix] = now

    def on_watch_failing(self, event: store.WatchFailing) -> None:
        """Record that the watch of a prefix gets no replies at present."""
        self.watched_at.pop(event.prefix, None)

    def on_watch_lost(self, event: store.WatchLost, now: float) -> None:
        """Schedule a new read of a prefix whose watch broke or lost its history."""
        self.watched_at.pop(event.prefix, None)
        self.next_read_at[event.prefix] = now
        log_event = commands.LogEvent(
            events.Event.WATCH_BROKEN, prefix=event.prefix, detail=event.detail
        )
        self.outbox.append(log_event)

    def _apply(self, news: feeds.PrefixChanges, now: float) -> None:
        """Pass changes that are not known yet to the subscriber of their prefix."""
        known = self.revisions[news.prefix]
        self.revisions[news.prefix] = news.revision
        self.updated_at[news.prefix] = now
        for change in news.changes:
            if change.revision > known:
                self.subscribers[news.prefix].apply_change(change.key, change.item, now)

    def _update_watch(self, prefix: str) -> None:
        """Open or close the watch of a prefix."""
        watch = commands.WatchStore(
            prefix=prefix, revision=self.revisions[prefix], active=self.watching
        )
        self.outbox.append(watch)


def _relative(item: store.KeyValue, prefix: str) -> store.KeyValue:
    """Return an item with its key relative to a prefix."""
    return store.KeyValue(
        key=item.key.removeprefix(prefix), value=item.value, revision=item.revision
    )


def _relative_change(change: store.KeyChange, prefix: str) -> store.KeyChange:
    """Return a change with its key relative to a prefix."""
    item = _relative(change.item, prefix) if change.item is not None else None
    return store.KeyChange(change.key.removeprefix(prefix), item, revision=change.revision)
