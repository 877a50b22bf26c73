"""Callers that take streams up: which software version began a stream, and the wait to learn it.

An instance records the origins of its streams after they began, so a caller may come with its
stream before the record. It then waits for a moment.
"""

from __future__ import annotations

import typing

from yuccahitch import events, records
from yuccahitch.controllers.versions import (
    served_versions,
    stream_origin,
    stream_origins,
    stream_records,
)
from yuccahitch.messages import commands


class OriginKnown(records.Record):
    """Result of a wait: the origin of the stream is known.

    Attributes:
        origin: The origin.
    """

    __slots__ = ("origin",)

    def __init__(self, origin: stream_origin.Origin) -> None:
        self.origin = origin


class OriginUnknown(records.Record):
    """Result of a wait: the origin of the stream did not become known."""

    __slots__ = ()


class Wait:
    """A request that waits for the origin of its stream.

    Attributes:
        key: Key of the stream; None if the caller does not name the stream.
        service: Service that the route chooses for the stream.
        until: When the wait ends, in monotonic seconds.
    """

    __slots__ = ("key", "service", "until")

    def __init__(self, key: int | None, service: str, until: float) -> None:
        self.key = key
        self.service = service
        self.until = until


class TakeUps:
    """Finds the origins of streams that callers take up.

    Args:
        versions: The versions that may have begun open streams.
        origins: The streams of this instance.
        recorded: The streams that others recorded.

    Attributes:
        waits: The waiting requests, by request id.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = ("versions", "origins", "recorded", "waits", "outbox")

    def __init__(
        self,
        *,
        versions: served_versions.ServedVersions,
        origins: stream_origins.StreamOrigins,
        recorded: stream_records.StreamRecords,
    ) -> None:
        self.versions = versions
        self.origins = origins
        self.recorded = recorded
        self.waits: dict[str, Wait] = {}
        self.outbox: list[commands.Command] = []

    def find(self, key: int | None, service: str, now: float) -> stream_origin.Origin | None:
        """Return the origin of a stream, or None if it is not known.

        Args:
            key: Key of the stream; None if the caller does not name the stream.
            service: Service that the route chooses for the stream.
            now: Monotonic seconds.
        """
        origin = None if key is None else self.origins.find(key) or self.recorded.find(key)
        return origin or self._infer(service, now)

    def may_learn(self, key: int | None, service: str, now: float) -> bool:
        """Return whether news of the store may show the origin of a stream soon."""
        awaits_news = key is not None or self.versions.awaits_knowledge(service, now)
        return awaits_news and self.versions.hears_of_store(now)

    def wait(self, request_id: str, wait: Wait) -> None:
        """Let a request wait for the origin of its stream."""
        self.waits[request_id] = wait

    def stop_waiting(self, request_id: str) -> None:
        """Forget a request that waits no longer, if it did."""
        self.waits.pop(request_id, None)

    def take_settled(self, now: float) -> list[tuple[str, OriginKnown | OriginUnknown]]:
        """Return the requests whose wait is over, with its result, and forget them."""
        news = self.recorded.take_news()
        settled: list[tuple[str, OriginKnown | OriginUnknown]] = []
        for request_id, wait in self.waits.items():
            found = (batch.find(wait.key) for batch in news if wait.key is not None)
            origin = next((item for item in found if item is not None), None)
            origin = origin or self._infer(wait.service, now)
            if origin is not None:
                settled.append((request_id, OriginKnown(origin)))
            elif now >= wait.until:
                settled.append((request_id, OriginUnknown()))
        for request_id, _ in settled:
            del self.waits[request_id]
        return settled

    def log(self, event: events.Event, **fields: typing.Any) -> None:
        """Write an event about a request that takes a stream up."""
        self.outbox.append(commands.LogEvent(event, **fields))

    def _infer(self, service: str, now: float) -> stream_origin.Origin | None:
        """Return the origin of every open stream of a service, if only one is possible."""
        version = self.versions.only_origin(service, now)
        if version is None:
            return None
        return stream_origin.Origin(service, version, source=stream_origin.Source.ONLY_VERSION)
