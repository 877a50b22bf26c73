"""The platform's store in virtual time: revisions, conditions, leases, outages and restores."""

from __future__ import annotations

import functools
import itertools
import typing

from yuccahitch.messages import store


class Lease:
    """A granted lease.

    Attributes:
        ttl_s: Its time to live, in seconds.
        expires_at: When it ends, in virtual seconds.
        keys: Keys bound to it.
    """

    __slots__ = ("ttl_s", "expires_at", "keys")

    def __init__(self, ttl_s: float, expires_at: float, keys: frozenset[str] = frozenset()) -> None:
        self.ttl_s = ttl_s
        self.expires_at = expires_at
        self.keys = set(keys)


class Copy:
    """What the store held at one moment."""

    __slots__ = ("items", "history", "leases")

    def __init__(self, source: PlatformStore) -> None:
        self.items = dict(source.items)
        self.history = list(source.history)
        self.leases = {
            number: Lease(lease.ttl_s, lease.expires_at, frozenset(lease.keys))
            for number, lease in source.leases.items()
        }


class PlatformStore:
    """The state of the store; all instances share it.

    Attributes:
        items: Stored items by key.
        history: All changes, oldest first.
        leases: The leases that have not ended, by id.
        era: How often the store was restored from an older copy.
        is_away: Whether it answers nobody.
        writes: Number of commits that were applied.
        lease_numbers: Ids of the leases to come.
    """

    __slots__ = ("items", "history", "leases", "era", "is_away", "writes", "lease_numbers")

    def __init__(self) -> None:
        self.items: dict[str, store.KeyValue] = {}
        self.history: list[store.KeyChange] = []
        self.leases: dict[int, Lease] = {}
        self.era = 1
        self.is_away = False
        self.writes = 0
        self.lease_numbers = itertools.count(1)

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self.history[-1].revision if self.history else 0

    def write(self, key: str, value: bytes | None) -> None:
        """Write a key, or delete it if it exists."""
        revision, item = self.revision + 1, None
        if value is None:
            if self.items.pop(key, None) is None:
                return
        else:
            item = self.items[key] = store.KeyValue(key=key, value=value, revision=revision)
        self.history.append(store.KeyChange(key, item, revision=revision))

    def changes(self, prefix: str, after: int) -> list[store.KeyChange]:
        """Return the changes of the keys with a prefix after a revision."""
        # Each revision is one change.
        newer = self.history[max(0, len(self.history) - (self.revision - after)) :]
        return [change for change in newer if change.key.startswith(prefix)]

    def call(self, call: store.Call, now: float) -> store.Reply:
        """Carry out a call and return the reply."""
        return _reply(call, self, now)

    def end_lease(self, number: int) -> None:
        """End a lease and delete its keys."""
        lease = self.leases.pop(number, None)
        for key in sorted(lease.keys) if lease is not None else ():
            self.write(key, None)

    def expire(self, now: float) -> None:
        """End the leases whose time is over."""
        for number in [n for n, lease in self.leases.items() if lease.expires_at < now]:
            self.end_lease(number)

    def extend_leases(self, seconds: float) -> None:
        """Let all leases last longer, as the store was away."""
        for lease in self.leases.values():
            lease.expires_at += seconds

    def restore(self, copy: Copy) -> None:
        """Go back to a copy: what was written since is gone, and its revisions are free again."""
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.leases = dict(copy.leases)
        self.era += 1


@functools.singledispatch
def _reply(call: typing.Any, source: PlatformStore, now: float) -> store.Reply:
    raise TypeError(type(call))


@_reply.register
def _(call: store.Range, source: PlatformStore, now: float) -> store.Reply:
    keys = sorted(
        key
        for key in source.items
        if (key.startswith(call.key) if call.prefix else key == call.key) and key > call.after_key
    )
    return store.RangeReply([source.items[key] for key in keys], revision=source.revision)


@_reply.register
def _(call: store.GrantLease, source: PlatformStore, now: float) -> store.Reply:
    number = next(source.lease_numbers)
    source.leases[number] = Lease(call.ttl_s, now + call.ttl_s)
    return store.LeaseReply(lease=number, ttl_s=call.ttl_s)


@_reply.register
def _(call: store.KeepAlive, source: PlatformStore, now: float) -> store.Reply:
    lease = source.leases.get(call.lease)
    if lease is None:
        return store.LeaseReply(lease=call.lease, ttl_s=0.0)
    lease.expires_at = now + lease.ttl_s
    return store.LeaseReply(lease=call.lease, ttl_s=lease.ttl_s)


@_reply.register
def _(call: store.RevokeLease, source: PlatformStore, now: float) -> store.Reply:
    source.end_lease(call.lease)
    return store.LeaseReply(lease=call.lease, ttl_s=0.0)


@_reply.register
def _(call: store.Commit, source: PlatformStore, now: float) -> store.Reply:
    revisions = {key: item.revision for key, item in source.items.items()}
    if any(revisions.get(item.key, 0) != item.revision for item in call.conditions):
        items = [source.items[c.key] for c in call.conditions if c.key in source.items]
        return store.CommitReply(applied=False, items=items, revision=source.revision)
    leases = {change.lease for change in call.changes if type(change) is store.Put}
    if any(number and number not in source.leases for number in leases):
        return store.CallFailed(may_have_applied=False, detail="no such lease")
    source.writes += 1
    for change in call.changes:
        _apply(change, source)
    return store.CommitReply(applied=True, items=[], revision=source.revision)


@functools.singledispatch
def _apply(change: typing.Any, source: PlatformStore) -> None:
    raise TypeError(type(change))


@_apply.register
def _(change: store.Put, source: PlatformStore) -> None:
    for lease in source.leases.values():
        lease.keys.discard(change.key)
    if change.lease:
        source.leases[change.lease].keys.add(change.key)
    source.write(change.key, change.value)


@_apply.register
def _(change: store.Delete, source: PlatformStore) -> None:
    source.write(change.key, None)
