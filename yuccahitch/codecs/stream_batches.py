"""Codec of batches of streams with their origins."""

from __future__ import annotations

import array

from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import stream_batches

# Type code of an array of unsigned numbers of 64 bits.
KEY_TYPE = "Q"


def to_bytes(groups: list[stream_batches.OriginGroup]) -> bytes:
    """Return a batch as protobuf bytes."""
    batch = pb.StreamBatch(
        groups=[
            pb.OriginGroup(service=group.service, version=group.version, streams=group.streams)
            for group in groups
        ]
    )
    return batch.SerializeToString()


def from_bytes(raw: bytes) -> list[stream_batches.OriginGroup]:
    """Return the batch that protobuf bytes hold.

    Raises:
        google.protobuf.message.DecodeError: When they hold none.
    """
    return [
        stream_batches.OriginGroup(
            group.service, group.version, array.array(KEY_TYPE, sorted(group.streams))
        )
        for group in pb.StreamBatch.FromString(raw).groups
    ]
