"""Follows prefixes of the platform's store: reads each once, then watches its changes."""

from __future__ import annotations

import typing

from yuccahitch import events, records
from yuccahitch.messages import commands, store

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
        updated_at: When the store last sent the items or a change of each prefix, in monotonic
            seconds. A prefix that was never read whole has no entry.
        next_read_at: When a prefix has to be read whole, in monotonic seconds. It has no entry
            while the prefix is being read or watched.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = ("subscribers", "updated_at", "next_read_at", "outbox")

    def __init__(self, subscribers: dict[str, Subscriber]) -> None:
        self.subscribers = subscribers
        self.updated_at: dict[str, float] = {}
        self.next_read_at = dict.fromkeys(subscribers, 0.0)
        self.outbox: list[commands.Command] = []

    def tick(self, now: float) -> None:
        """Start reading the prefixes whose time has come."""
        for prefix in [name for name, read_at in self.next_read_at.items() if now >= read_at]:
            del self.next_read_at[prefix]
            call = store.Range(prefix, prefix=True)
            self.outbox.append(commands.StoreCall(call, PrefixListing(prefix, [], 0)))

    def is_complete(self) -> bool:
        """Return whether every prefix was read whole at least once."""
        return len(self.updated_at) == len(self.subscribers)

    def apply_page(self, purpose: PrefixListing, reply: store.Reply, now: float) -> None:
        """Apply a page that was read, then ask for the next one or open the watch."""
        if type(reply) is not store.RangeReply:
            self.next_read_at[purpose.prefix] = now + RETRY_S
            return
        entries = purpose.entries + reply.items
        # Pages are read one after another: the watch must repeat all changes since the first one.
        revision = purpose.revision or reply.revision
        if reply.has_more and reply.items:
            call = store.Range(purpose.prefix, prefix=True, after_key=reply.items[-1].key)
            listing = PrefixListing(purpose.prefix, entries, revision)
            self.outbox.append(commands.StoreCall(call, listing))
            return
        self.updated_at[purpose.prefix] = now
        relative_items = [_relative(item, purpose.prefix) for item in entries]
        self.subscribers[purpose.prefix].apply_snapshot(relative_items, now)
        watch = commands.WatchStore(prefix=purpose.prefix, revision=revision, active=True)
        self.outbox.append(watch)

    def apply_change(self, change: store.KeysChanged, now: float) -> None:
        """Pass the changes that a watch saw to the subscriber of their prefix."""
        self.updated_at[change.prefix] = now
        for key, item in change.items:
            relative_item = _relative(item, change.prefix) if item is not None else None
            self.subscribers[change.prefix].apply_change(
                key.removeprefix(change.prefix), relative_item, now
            )

    def on_watch_lost(self, event: store.WatchLost, now: float) -> None:
        """Schedule a new read of a prefix whose watch broke or lost its history."""
        self.next_read_at[event.prefix] = now
        log_event = commands.LogEvent(
            events.Event.WATCH_BROKEN, prefix=event.prefix, detail=event.detail
        )
        self.outbox.append(log_event)


def _relative(item: store.KeyValue, prefix: str) -> store.KeyValue:
    """Return an item with its key relative to a prefix."""
    return store.KeyValue(
        key=item.key.removeprefix(prefix), value=item.value, revision=item.revision
    )
