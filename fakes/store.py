"""Fake key-value store in memory: compare-and-swap, leases, watches and restored snapshots."""

from __future__ import annotations

import functools
import typing

from yuccahitch.messages import store


class Lease:
    """A lease on keys.

    Attributes:
        ttl_s: Time to live after the grant or a keep-alive, in seconds.
        expires_at: Virtual time of expiry, in seconds.
    """

    __slots__ = ("ttl_s", "expires_at")

    def __init__(self, ttl_s: float, expires_at: float) -> None:
        self.ttl_s = ttl_s
        self.expires_at = expires_at


class FakeStore:
    """State of the store; applies calls one at a time.

    The fleet simulates delayed, lost and refused calls; the store itself never fails.

    Attributes:
        items: Stored items by key.
        leases: Live leases by id.
        lease_by_key: Id of the lease of each key that has one.
        revision: Revision of the last change.
        last_lease_id: Id of the last lease granted.
        listeners: Called with key, item (None if deleted) and revision after each change.
        calls: Number of calls applied.
    """

    __slots__ = (
        "items",
        "leases",
        "lease_by_key",
        "revision",
        "last_lease_id",
        "listeners",
        "calls",
    )

    def __init__(self) -> None:
        self.items: dict[str, store.KeyValue] = {}
        self.leases: dict[int, Lease] = {}
        self.lease_by_key: dict[str, int] = {}
        self.revision = 1
        self.last_lease_id = 0
        self.listeners: list[typing.Callable[[str, store.KeyValue | None, int], None]] = []
        self.calls = 0

    def apply(self, call: store.Call, now: float) -> store.Reply:
        """Apply a call at a virtual time, after expiring leases; return the reply."""
        self.calls += 1
        self.expire(now)
        return _apply(call, self, now)

    def expire(self, now: float) -> None:
        """End the leases that have expired at a virtual time."""
        for lease in [
            lease_id
            for lease_id, lease_record in self.leases.items()
            if now >= lease_record.expires_at
        ]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [key for key, key_lease in self.lease_by_key.items() if key_lease == lease]:
            self.revision += 1
            self.remove(key)

    def put(self, change: store.Put) -> None:
        """Write a key at the current revision, which the caller has incremented."""
        item = store.KeyValue(key=change.key, value=change.value, revision=self.revision)
        self.items[change.key] = item
        self.lease_by_key.pop(change.key, None)
        if change.lease:
            self.lease_by_key[change.key] = change.lease
        self.notify_listeners(change.key, item)

    def remove(self, key: str) -> None:
        """Delete a key at the current revision, if it exists."""
        self.lease_by_key.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.notify_listeners(key, None)

    def notify_listeners(self, key: str, item: store.KeyValue | None) -> None:
        """Call the listeners with a changed key; the item is None if the key was deleted."""
        for listener in self.listeners:
            listener(key, item, self.revision)

    def save(self) -> tuple[dict[str, store.KeyValue], int]:
        """Return a snapshot of the items and the revision."""
        return dict(self.items), self.revision

    def restore(self, saved: tuple[dict[str, store.KeyValue], int]) -> None:
        """Restore a snapshot, as from a backup; all leases are lost."""
        self.items, self.revision = dict(saved[0]), saved[1]
        self.leases.clear()
        self.lease_by_key.clear()


@functools.singledispatch
def _apply(call: store.Call, state: FakeStore, now: float) -> store.Reply:
    """Apply a call to the store at a virtual time and return the reply."""
    raise TypeError(type(call))


@_apply.register
def _(call: store.Range, state: FakeStore, now: float) -> store.Reply:
    matches = [
        item
        for key, item in sorted(state.items.items())
        if key == call.key or (call.prefix and key.startswith(call.key))
    ]
    return store.RangeReply(matches, revision=state.revision)


@_apply.register
def _(call: store.Commit, state: FakeStore, now: float) -> store.Reply:
    current = {condition.key: state.items.get(condition.key) for condition in call.conditions}
    revisions = {key: item.revision if item else 0 for key, item in current.items()}
    if any(revisions[condition.key] != condition.revision for condition in call.conditions):
        items = [item for item in current.values() if item is not None]
        return store.CommitReply(applied=False, items=items, revision=state.revision)
    state.revision += 1
    for change in call.changes:
        _apply_change(change, state)
    return store.CommitReply(applied=True, items=[], revision=state.revision)


@_apply.register
def _(call: store.CommitMany, state: FakeStore, now: float) -> store.Reply:
    return store.CommitManyReply([_apply(commit, state, now) for commit in call.commits])


@_apply.register
def _(call: store.GrantLease, state: FakeStore, now: float) -> store.Reply:
    state.last_lease_id += 1
    state.leases[state.last_lease_id] = Lease(call.ttl_s, now + call.ttl_s)
    return store.LeaseReply(lease=state.last_lease_id, ttl_s=call.ttl_s)


@_apply.register
def _(call: store.KeepAlive, state: FakeStore, now: float) -> store.Reply:
    lease_record = state.leases.get(call.lease)
    if lease_record is None:
        return store.LeaseReply(lease=call.lease, ttl_s=0.0)
    lease_record.expires_at = now + lease_record.ttl_s
    return store.LeaseReply(lease=call.lease, ttl_s=lease_record.ttl_s)


@_apply.register
def _(call: store.RevokeLease, state: FakeStore, now: float) -> store.Reply:
    state.end_lease(call.lease)
    return store.LeaseReply(lease=call.lease, ttl_s=0.0)


@functools.singledispatch
def _apply_change(change: store.Put | store.Delete, state: FakeStore) -> None:
    """Apply one change of a commit; a write under an unknown lease is ignored."""
    raise TypeError(type(change))


@_apply_change.register
def _(change: store.Put, state: FakeStore) -> None:
    if not change.lease or change.lease in state.leases:
        state.put(change)


@_apply_change.register
def _(change: store.Delete, state: FakeStore) -> None:
    state.remove(change.key)
