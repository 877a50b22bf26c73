"""Messages by which instances of a zone pass on the changes of the store."""

from __future__ import annotations

import math

from yuccahitch import records
from yuccahitch.messages import store


class StoreChanges(records.Record):
    """All changes of the store between two of its revisions.

    Attributes:
        after: Revision after which the changes were made.
        revision: Revision of the store after the changes.
        changes: The changes, in the order in which they were made.
    """

    __slots__ = ("after", "revision", "changes")

    def __init__(self, *, after: int, revision: int, changes: list[store.KeyChange]) -> None:
        self.after = after
        self.revision = revision
        self.changes = changes


class FeedReport(records.Record):
    """Report of an instance that watches the store to the other instances of its zone.

    Attributes:
        instance: Id of the sender.
        revision: Revision up to which the sender knows the store.
        era: Era of the store that the revisions belong to, or None if it names none.
        age_s: Time since the store was certainly at that revision, in seconds.
        sent_at: When the report was made, in monotonic seconds of the sender.
        news: Changes that the sender has just seen, or None.
    """

    __slots__ = ("instance", "revision", "era", "age_s", "sent_at", "news")

    def __init__(
        self,
        instance: str,
        *,
        revision: int,
        age_s: float,
        sent_at: float = -math.inf,
        era: int | None = None,
        news: StoreChanges | None = None,
    ) -> None:
        self.instance = instance
        self.revision = revision
        self.era = era
        self.age_s = age_s
        self.sent_at = sent_at
        self.news = news
