"""Messages by which instances of a zone pass on the changes of the store."""

from __future__ import annotations

from yuccahitch import records
from yuccahitch.messages import store


class PrefixChanges(records.Record):
    """All changes of the keys under a prefix between two revisions of the store.

    Attributes:
        prefix: The prefix; the keys of the changes are relative to it.
        after: Revision after which the changes were made.
        revision: Revision of the store after the changes.
        changes: The changes, in the order in which they were made.
    """

    __slots__ = ("prefix", "after", "revision", "changes")

    def __init__(
        self, prefix: str, *, after: int, revision: int, changes: list[store.KeyChange]
    ) -> None:
        self.prefix = prefix
        self.after = after
        self.revision = revision
        self.changes = changes


class FeedReport(records.Record):
    """Report of an instance that watches the store to the other instances of its zone.

    Attributes:
        instance: Id of the sender.
        revisions: Revision up to which the sender knows each prefix.
        changes: Changes that the sender has just seen.
    """

    __slots__ = ("instance", "revisions", "changes")

    def __init__(
        self, instance: str, *, revisions: dict[str, int], changes: list[PrefixChanges]
    ) -> None:
        self.instance = instance
        self.revisions = revisions
        self.changes = changes
