"""Follows prefixes of the platform's store: reads them once, then each change."""

from __future__ import annotations

import typing

from yuccahitch import events, records
from yuccahitch.messages import commands, store

RETRY_S = 0.3


class Listed(records.Record):
    """Purpose of a call that reads a page of a prefix."""

    __slots__ = ("prefix", "found", "revision")

    def __init__(self, prefix: str, found: list[store.KeyValue], revision: int) -> None:
        self.prefix = prefix
        self.found = found
        self.revision = revision


class Subscriber(typing.Protocol):
    """Takes what the store holds under a prefix."""

    def snapshot(self, items: list[store.KeyValue], now: float) -> None:
        """Take in all items, keys without the prefix; what is not among them is gone."""

    def changed(self, key: str, item: store.KeyValue | None, now: float) -> None:
        """Take in one change; None means that the key was deleted."""


class Feed:
    """Keeps subscribers up to date with their prefixes.

    Args:
        subscribers: Who takes in each prefix.
    """

    __slots__ = ("subscribers", "heard_at", "due", "outbox")

    def __init__(self, subscribers: dict[str, Subscriber]) -> None:
        self.subscribers = subscribers
        self.heard_at: dict[str, float] = {}
        self.due = dict.fromkeys(subscribers, 0.0)
        self.outbox: list[commands.Command] = []

    def tick(self, now: float) -> None:
        """Read the prefixes that are due."""
        for prefix in [name for name, at in self.due.items() if now >= at]:
            del self.due[prefix]
            call = store.Range(prefix, prefix=True)
            self.outbox.append(commands.StoreCall(call, Listed(prefix, [], 0)))

    def complete(self) -> bool:
        """Return whether every prefix was read at least once."""
        return len(self.heard_at) == len(self.subscribers)

    def listed(self, purpose: Listed, reply: store.Reply, now: float) -> None:
        """Take in a page, and ask for the next one or for the changes."""
        if type(reply) is not store.RangeReply:
            self.due[purpose.prefix] = now + RETRY_S
            return
        found = purpose.found + reply.items
        # Pages are read one after another: changes since the first one must be heard again.
        revision = purpose.revision or reply.revision
        if reply.has_more and reply.items:
            call = store.Range(purpose.prefix, prefix=True, after_key=reply.items[-1].key)
            listing = Listed(purpose.prefix, found, revision)
            self.outbox.append(commands.StoreCall(call, listing))
            return
        self.heard_at[purpose.prefix] = now
        named = [_relative(item, purpose.prefix) for item in found]
        self.subscribers[purpose.prefix].snapshot(named, now)
        watch = commands.WatchStore(prefix=purpose.prefix, revision=revision, active=True)
        self.outbox.append(watch)

    def changed(self, change: store.KeysChanged, now: float) -> None:
        """Take in what a watch saw."""
        self.heard_at[change.prefix] = now
        for key, item in change.items:
            short = _relative(item, change.prefix) if item is not None else None
            self.subscribers[change.prefix].changed(key.removeprefix(change.prefix), short, now)

    def lost(self, event: store.WatchLost, now: float) -> None:
        """Read a prefix again whose watch has lost its history."""
        self.due[event.prefix] = now
        note = commands.LogEvent(
            events.Event.WATCH_BROKEN, prefix=event.prefix, detail=event.detail
        )
        self.outbox.append(note)


def _relative(item: store.KeyValue, prefix: str) -> store.KeyValue:
    return store.KeyValue(
        key=item.key.removeprefix(prefix), value=item.value, revision=item.revision
    )
