"""Batches of streams with their origins, as instances leave them in the store for each other."""

from __future__ import annotations

import array

from yuccahitch import records


class OriginGroup(records.Record):
    """Streams of one origin.

    Attributes:
        service: Name of the service.
        version: Software version that began them.
        streams: Their keys in ascending order, as unsigned numbers of 64 bits.
    """

    __slots__ = ("service", "version", "streams")

    def __init__(self, service: str, version: str, streams: array.array[int]) -> None:
        self.service = service
        self.version = version
        self.streams = streams
