"""Calls to the platform's key-value service and its replies."""

from __future__ import annotations

from yuccahitch import records


class KeyValue(records.Record):
    """A key with its value and revisions.

    Attributes:
        key: The key.
        value: The value in bytes.
        revision: Revision of the last change.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, *, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Range(records.Record):
    """Read one key, or all keys with a prefix.

    Attributes:
        key: The key or prefix.
        prefix: Whether it is a prefix.
        after_key: Key after which a further page begins, or empty.
    """

    __slots__ = ("key", "prefix", "after_key")

    def __init__(self, key: str, *, prefix: bool = False, after_key: str = "") -> None:
        self.key = key
        self.prefix = prefix
        self.after_key = after_key


class Condition(records.Record):
    """A condition: the key's last change has this revision; 0 means that it is absent."""

    __slots__ = ("key", "revision")

    def __init__(self, key: str, revision: int) -> None:
        self.key = key
        self.revision = revision


class Put(records.Record):
    """Write a key, bound to a lease unless that is 0."""

    __slots__ = ("key", "value", "lease")

    def __init__(self, key: str, value: bytes, *, lease: int = 0) -> None:
        self.key = key
        self.value = value
        self.lease = lease


class Delete(records.Record):
    """Delete a key."""

    __slots__ = ("key",)

    def __init__(self, key: str) -> None:
        self.key = key


class Commit(records.Record):
    """Apply all changes if every condition holds; else read the conditions' keys."""

    __slots__ = ("conditions", "changes")

    def __init__(self, *, conditions: list[Condition], changes: list[Put | Delete]) -> None:
        self.conditions = conditions
        self.changes = changes


class CommitMany(records.Record):
    """Independent commits in one call; each holds or fails for itself."""

    __slots__ = ("commits",)

    def __init__(self, commits: list[Commit]) -> None:
        self.commits = commits


class GrantLease(records.Record):
    """Ask for a lease of so many seconds."""

    __slots__ = ("ttl_s",)

    def __init__(self, ttl_s: float) -> None:
        self.ttl_s = ttl_s


class KeepAlive(records.Record):
    """Renew a lease."""

    __slots__ = ("lease",)

    def __init__(self, lease: int) -> None:
        self.lease = lease


class RevokeLease(records.Record):
    """End a lease and the keys bound to it."""

    __slots__ = ("lease",)

    def __init__(self, lease: int) -> None:
        self.lease = lease


Call = Range | Commit | CommitMany | GrantLease | KeepAlive | RevokeLease


class RangeReply(records.Record):
    """Reply to a Range; ``more`` tells whether a further page follows."""

    __slots__ = ("items", "revision", "has_more")

    def __init__(self, items: list[KeyValue], *, revision: int, has_more: bool = False) -> None:
        self.items = items
        self.revision = revision
        self.has_more = has_more


class CommitReply(records.Record):
    """Reply to a Commit.

    Attributes:
        applied: Whether the conditions held.
        items: The conditions' keys as they are, when they did not hold.
        revision: The store's revision.
    """

    __slots__ = ("applied", "items", "revision")

    def __init__(self, *, applied: bool, items: list[KeyValue], revision: int) -> None:
        self.applied = applied
        self.items = items
        self.revision = revision


class CommitManyReply(records.Record):
    """Reply to a CommitMany, in its order."""

    __slots__ = ("replies",)

    def __init__(self, replies: list[CommitReply]) -> None:
        self.replies = replies


class LeaseReply(records.Record):
    """Reply to GrantLease and KeepAlive; a time to live of 0 means that the lease is gone."""

    __slots__ = ("lease", "ttl_s")

    def __init__(self, *, lease: int, ttl_s: float) -> None:
        self.lease = lease
        self.ttl_s = ttl_s


class CallFailed(records.Record):
    """The call got no answer.

    Attributes:
        may_have_applied: Whether the call can have taken effect.
        detail: What went wrong.
    """

    __slots__ = ("may_have_applied", "detail")

    def __init__(self, *, may_have_applied: bool, detail: str) -> None:
        self.may_have_applied = may_have_applied
        self.detail = detail


Reply = RangeReply | CommitReply | CommitManyReply | LeaseReply | CallFailed


class KeysChanged(records.Record):
    """Keys under a prefix that a watch saw change; a deleted key's value is None."""

    __slots__ = ("items", "revision", "prefix")

    def __init__(
        self, items: list[tuple[str, KeyValue | None]], *, revision: int, prefix: str = ""
    ) -> None:
        self.items = items
        self.revision = revision
        self.prefix = prefix


class WatchLost(records.Record):
    """The watch broke; what changed since must be read again."""

    __slots__ = ("detail", "prefix")

    def __init__(self, detail: str, *, prefix: str = "") -> None:
        self.detail = detail
        self.prefix = prefix
