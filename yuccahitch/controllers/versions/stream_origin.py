"""The service and the software version that began a stream."""

from __future__ import annotations

import enum

import xxhash

from yuccahitch import records


class Source(enum.Enum):
    """How the origin of a stream is known."""

    OWN = "own"  # this instance began the stream or took it up
    RECORD = "record"  # another instance recorded it
    ONLY_VERSION = "only-version"  # no other version can have begun an open stream


class Origin(records.Record):
    """The origin of a stream.

    Attributes:
        service: Name of the service.
        version: Software version.
        source: How it is known.
    """

    __slots__ = ("service", "version", "source")

    def __init__(self, service: str, version: str, *, source: Source) -> None:
        self.service = service
        self.version = version
        self.source = source


def stream_key(account: str, stream_id: str) -> int:
    """Return the key by which the origin of a stream is kept, a hash of 64 bits.

    Args:
        account: Client account that the stream runs for.
        stream_id: Id of the request that brought its first event.
    """
    return xxhash.xxh64_intdigest(f"{account}\0{stream_id}".encode())
