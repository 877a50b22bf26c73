"""Follows prefixes of the platform's store: reads them once, then each change."""

from __future__ import annotations

import typing

from yuccahitch import events, records
from yuccahitch.messages import commands, store

RETRY_S = 0.3


class PrefixListing(records.Record):
    """Purpose of a call that reads a page of a prefix."""

    __slots__ = ("prefix", "entries", "revision")

    def __init__(self, prefix: str, entries: list[store.Item], revision: int) -> None:
        self.prefix = prefix
        self.entries = entries
        self.revision = revision


class Subscriber(typing.Protocol):
    """Takes what the store holds under a prefix."""

    def apply_snapshot(self, items: list[store.Item], now: float) -> None:
        """Take in all items, keys without the prefix; what is not among them is gone."""

    def apply_change(self, key: str, item: store.Item | None, now: float) -> None:
        """Take in one change; None means that the key was deleted."""


class Feed:
    """Keeps subscribers up to date with their prefixes.

    Args:
        subscribers: Who takes in each prefix.
    """

    __slots__ = ("subscribers", "updated_at", "next_read_at", "outbox")

    def __init__(self, subscribers: dict[str, Subscriber]) -> None:
        self.subscribers = subscribers
        self.updated_at: dict[str, float] = {}
        self.next_read_at = dict.fromkeys(subscribers, 0.0)
        self.outbox: list[commands.Command] = []

    def tick(self, now: float) -> None:
        """Read the prefixes that are due."""
        for prefix in [name for name, read_at in self.next_read_at.items() if now >= read_at]:
            del self.next_read_at[prefix]
            call = store.Range(prefix, prefix=True)
            self.outbox.append(commands.StoreCall(call, PrefixListing(prefix, [], 0)))

    def is_complete(self) -> bool:
        """Return whether every prefix was read at least once."""
        return len(self.updated_at) == len(self.subscribers)

    def apply_page(self, purpose: PrefixListing, reply: store.Reply, now: float) -> None:
        """Take in a page, and ask for the next one or for the changes."""
        if type(reply) is not store.Items:
            self.next_read_at[purpose.prefix] = now + RETRY_S
            return
        entries = purpose.entries + reply.items
        # Pages are read one after another: changes since the first one must be heard again.
        revision = purpose.revision or reply.revision
        if reply.more and reply.items:
            call = store.Range(purpose.prefix, prefix=True, after=reply.items[-1].key)
            listing = PrefixListing(purpose.prefix, entries, revision)
            self.outbox.append(commands.StoreCall(call, listing))
            return
        self.updated_at[purpose.prefix] = now
        relative_items = [_relative(item, purpose.prefix) for item in entries]
        self.subscribers[purpose.prefix].apply_snapshot(relative_items, now)
        watch = commands.WatchStore(prefix=purpose.prefix, revision=revision, active=True)
        self.outbox.append(watch)

    def apply_change(self, change: store.Changed, now: float) -> None:
        """Take in what a watch saw."""
        self.updated_at[change.prefix] = now
        for key, item in change.items:
            relative_item = _relative(item, change.prefix) if item is not None else None
            self.subscribers[change.prefix].apply_change(
                key.removeprefix(change.prefix), relative_item, now
            )

    def on_watch_lost(self, event: store.WatchLost, now: float) -> None:
        """Read a prefix again whose watch has lost its history."""
        self.next_read_at[event.prefix] = now
        log_event = commands.Note(
            events.Event.WATCH_BROKEN, prefix=event.prefix, detail=event.detail
        )
        self.outbox.append(log_event)


def _relative(item: store.Item, prefix: str) -> store.Item:
    return store.Item(key=item.key.removeprefix(prefix), value=item.value, revision=item.revision)
