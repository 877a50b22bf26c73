"""Calls to the platform's key-value service, and the replies."""

from __future__ import annotations

import math

from yuccahitch import records


class KeyValue(records.Record):
    """A key with its value and revision.

    Attributes:
        key: The key.
        value: The value.
        revision: Revision of the key's last change.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, *, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Range(records.Record):
    """Read one key, or all keys with a prefix.

    Attributes:
        key: The key, or the prefix of the keys.
        prefix: Whether ``key`` is a prefix.
        after_key: Last key of the previous page, or empty for the first page.
    """

    __slots__ = ("key", "prefix", "after_key")

    def __init__(self, key: str, *, prefix: bool = False, after_key: str = "") -> None:
        self.key = key
        self.prefix = prefix
        self.after_key = after_key


class Condition(records.Record):
    """Condition of a commit on one key.

    Attributes:
        key: The key.
        revision: Required revision of the key's last change; 0 requires that the key is absent.
    """

    __slots__ = ("key", "revision")

    def __init__(self, key: str, revision: int) -> None:
        self.key = key
        self.revision = revision


class Put(records.Record):
    """Write a key.

    Attributes:
        key: The key.
        value: The value.
        lease: Id of the lease that the key is bound to; 0 means none.
    """

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
    """Apply all changes if every condition holds; otherwise read the conditions' keys.

    Attributes:
        conditions: The conditions.
        changes: The changes.
    """

    __slots__ = ("conditions", "changes")

    def __init__(self, *, conditions: list[Condition], changes: list[Put | Delete]) -> None:
        self.conditions = conditions
        self.changes = changes


class CommitMany(records.Record):
    """Send several independent commits in one call; each is applied or rejected by itself.

    Attributes:
        commits: The commits.
        reads_back: Whether the store is asked for what it wrote, by which the reply is told from
            one to another call, in a dialect that can do so.
    """

    __slots__ = ("commits", "reads_back")

    def __init__(self, commits: list[Commit], *, reads_back: bool = False) -> None:
        self.commits = commits
        self.reads_back = reads_back


class GrantLease(records.Record):
    """Request a new lease.

    Attributes:
        ttl_s: Time to live of the lease, in seconds.
    """

    __slots__ = ("ttl_s",)

    def __init__(self, ttl_s: float) -> None:
        self.ttl_s = ttl_s


class KeepAlive(records.Record):
    """Renew a lease.

    Attributes:
        lease: Id of the lease.
    """

    __slots__ = ("lease",)

    def __init__(self, lease: int) -> None:
        self.lease = lease


class RevokeLease(records.Record):
    """End a lease and delete the keys bound to it.

    Attributes:
        lease: Id of the lease.
    """

    __slots__ = ("lease",)

    def __init__(self, lease: int) -> None:
        self.lease = lease


Call = Range | Commit | CommitMany | GrantLease | KeepAlive | RevokeLease


class RangeReply(records.Record):
    """Reply to ``Range``.

    Attributes:
        items: The keys found, with their values.
        revision: Revision of the store at the time of the read.
        has_more: Whether a further page follows.
    """

    __slots__ = ("items", "revision", "has_more")

    def __init__(self, items: list[KeyValue], *, revision: int, has_more: bool = False) -> None:
        self.items = items
        self.revision = revision
        self.has_more = has_more


class CommitReply(records.Record):
    """Reply to ``Commit``.

    Attributes:
        applied: Whether the conditions held and the changes were applied.
        items: Current state of the conditions' keys, if the conditions did not hold.
        revision: Revision of the store when it replied.
    """

    __slots__ = ("applied", "items", "revision")

    def __init__(self, *, applied: bool, items: list[KeyValue], revision: int) -> None:
        self.applied = applied
        self.items = items
        self.revision = revision


class CommitManyReply(records.Record):
    """Reply to ``CommitMany``.

    Attributes:
        replies: Replies to the commits, in the order of the commits.
    """

    __slots__ = ("replies",)

    def __init__(self, replies: list[CommitReply]) -> None:
        self.replies = replies


class LeaseReply(records.Record):
    """Reply to ``GrantLease`` and ``KeepAlive``.

    Attributes:
        lease: Id of the lease.
        ttl_s: Time to live of the lease, in seconds; 0 means that the lease no longer exists.
    """

    __slots__ = ("lease", "ttl_s")

    def __init__(self, *, lease: int, ttl_s: float) -> None:
        self.lease = lease
        self.ttl_s = ttl_s


class CallFailed(records.Record):
    """Failure of a call: the store did not answer, or answered with an error.

    Attributes:
        may_have_applied: Whether the call may have taken effect.
        detail: Cause of the failure.
    """

    __slots__ = ("may_have_applied", "detail")

    def __init__(self, *, may_have_applied: bool, detail: str) -> None:
        self.may_have_applied = may_have_applied
        self.detail = detail


class EraReply(records.Record):
    """Reply to a call, with the era of the store that sent it.

    The era rises when the store is restored from an older copy: its revisions then go back and are
    given out again.

    Attributes:
        reply: The reply.
        era: The era, or None if the reply names none.
    """

    __slots__ = ("reply", "era")

    def __init__(self, reply: Reply, *, era: int | None) -> None:
        self.reply = reply
        self.era = era


Reply = RangeReply | CommitReply | CommitManyReply | LeaseReply | CallFailed


class KeyChange(records.Record):
    """One change of a key.

    Attributes:
        key: The key.
        item: The new state of the key, or None if it was deleted.
        revision: Revision of the store at the change.
    """

    __slots__ = ("key", "item", "revision")

    def __init__(self, key: str, item: KeyValue | None, *, revision: int) -> None:
        self.key = key
        self.item = item
        self.revision = revision


class KeysChanged(records.Record):
    """Changes of keys under a watched prefix.

    Attributes:
        changes: The changes, in the order in which they were made.
        revision: Revision of the store after the changes.
        prefix: Watched prefix; the etcd dialect leaves it empty.
        after: Revision after which these are all changes; 0 in the etcd dialect.
        era: Era of the store, or None if it names none.
        as_of: Moment up to which these are certainly all changes, in monotonic seconds; minus
            infinity in the etcd dialect.
    """

    __slots__ = ("changes", "revision", "prefix", "after", "era", "as_of")

    def __init__(
        self,
        changes: list[KeyChange],
        *,
        revision: int,
        prefix: str = "",
        after: int = 0,
        era: int | None = None,
        as_of: float = -math.inf,
    ) -> None:
        self.changes = changes
        self.revision = revision
        self.prefix = prefix
        self.after = after
        self.era = era
        self.as_of = as_of


class WatchFailing(records.Record):
    """A call of a watch failed; the watch goes on, and until its next reply changes may be missed.

    Attributes:
        detail: Cause of the failure.
        prefix: Watched prefix.
    """

    __slots__ = ("detail", "prefix")

    def __init__(self, detail: str, *, prefix: str = "") -> None:
        self.detail = detail
        self.prefix = prefix


class WatchLost(records.Record):
    """The end of a broken watch; the prefix must be read again to learn of missed changes.

    Attributes:
        detail: Cause of the break.
        prefix: Watched prefix.
        era: Era of the store that ended it, or None if that is not known.
    """

    __slots__ = ("detail", "prefix", "era")

    def __init__(self, detail: str, *, prefix: str = "", era: int | None = None) -> None:
        self.detail = detail
        self.prefix = prefix
        self.era = era


WatchEvent = KeysChanged | WatchFailing | WatchLost
