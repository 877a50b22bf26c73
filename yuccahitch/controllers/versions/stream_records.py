"""The origins of streams that other instances left in the store."""

from __future__ import annotations

import bisect
import math

from yuccahitch import events
from yuccahitch.codecs import stream_batches as codec
from yuccahitch.controllers.versions import stream_origin
from yuccahitch.messages import commands, store, stream_batches

PREFIX = "yuccahitch/streams/"
# Time for which the store keeps a batch at most, in seconds.
RECORD_LIFETIME_S = 120.0
# Streams that are kept in memory at most; the oldest batch is dropped for new ones.
MAX_STREAMS = 500_000


class Batch:
    """One batch of an instance.

    Attributes:
        groups: Its streams by origin.
        revision: Revision of the batch in the store.
        former_era: Whether it was read in a former era of the store, which may have lost it.
    """

    __slots__ = ("groups", "revision", "former_era")

    def __init__(self, groups: list[stream_batches.OriginGroup], *, revision: int) -> None:
        self.groups = groups
        self.revision = revision
        self.former_era = False

    @property
    def size(self) -> int:
        """Return the number of streams."""
        return sum(len(group.streams) for group in self.groups)

    def find(self, key: int) -> stream_origin.Origin | None:
        """Return the origin of a stream, or None if the batch lacks it."""
        for group in self.groups:
            position = bisect.bisect_left(group.streams, key)
            if position < len(group.streams) and group.streams[position] == key:
                return stream_origin.Origin(
                    group.service, group.version, source=stream_origin.Source.RECORD
                )
        return None


class StreamRecords:
    """Keeps the batches of all instances but this one.

    Args:
        instance: Id of this instance.

    Attributes:
        batches: The batches by key, the one read last at the end.
        size: Number of streams in all batches.
        former_until: When the batches of former eras are forgotten, in monotonic seconds.
        news: The batches read since the last ``take_news``.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = ("instance", "batches", "size", "former_until", "news", "outbox")

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.batches: dict[str, Batch] = {}
        self.size = 0
        self.former_until = math.inf
        self.news: list[Batch] = []
        self.outbox: list[commands.Command] = []

    def begin_era(self, now: float) -> None:
        """Keep what is known, as the store may have lost it."""
        for batch in self.batches.values():
            batch.former_era = True
        self.former_until = now + RECORD_LIFETIME_S

    def apply_snapshot(
        self,
        items: list[store.KeyValue],
        now: float,
        *,
        known_at: float = -math.inf,
        restored: bool = False,
    ) -> None:
        """Apply all batches; others are gone unless they were read in a former era."""
        present = {item.key for item in items}
        for key in [k for k, b in self.batches.items() if k not in present and not b.former_era]:
            self._drop(key)
        for item in items:
            self.apply_change(item.key, item, now)

    def apply_change(
        self, key: str, item: store.KeyValue | None, now: float, *, known_at: float = -math.inf
    ) -> None:
        """Apply a new or changed batch; None means that its lease has ended."""
        if key.partition("/")[0] == self.instance:
            return
        known = self.batches.get(key)
        if item is None:
            self._drop(key)
            return
        if known is not None and not known.former_era and item.revision <= known.revision:
            return
        try:
            groups = codec.from_bytes(item.value)
        except Exception as error:  # no batch of another writer may hide the others
            log_event = commands.LogEvent(
                events.Event.ENTRY_UNREADABLE, key=PREFIX + key, detail=repr(error)[:200]
            )
            self.outbox.append(log_event)
            return
        self._drop(key)
        batch = self.batches[key] = Batch(groups, revision=item.revision)
        self.size += batch.size
        self.news.append(batch)
        while self.size > MAX_STREAMS:
            self._drop(next(iter(self.batches)))

    def expire(self, now: float) -> None:
        """Forget batches of a former era once their leases must have ended."""
        if now < self.former_until:
            return
        self.former_until = math.inf
        for key in [key for key, batch in self.batches.items() if batch.former_era]:
            self._drop(key)

    def take_news(self) -> list[Batch]:
        """Return the batches that were read since the last call."""
        news, self.news = self.news, []
        return news

    def find(self, key: int) -> stream_origin.Origin | None:
        """Return the origin of a stream that another instance recorded, or None."""
        found = (batch.find(key) for batch in reversed(self.batches.values()))
        return next((origin for origin in found if origin is not None), None)

    def _drop(self, key: str) -> None:
        """Forget a batch, if it is known."""
        batch = self.batches.pop(key, None)
        if batch is not None:
            self.size -= batch.size
