"""Codec of the datagrams between the instances of a platform, which are protobuf messages."""

from __future__ import annotations

import functools
import typing

from google.protobuf import message as protobuf

from yuccahitch.codecs import feeds as feed_codec
from yuccahitch.codecs import pulses as pulse_codec
from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import feeds, pulses

Report = pulses.Pulse | feeds.FeedReport


@functools.singledispatch
def encode(report: typing.Any) -> bytes:
    """Encode a report as a datagram."""
    raise TypeError(type(report))


@encode.register
def _(report: pulses.Pulse) -> bytes:
    return pb.Datagram(pulse=pulse_codec.to_protobuf(report)).SerializeToString()


@encode.register
def _(report: feeds.FeedReport) -> bytes:
    return pb.Datagram(feed=feed_codec.to_protobuf(report)).SerializeToString()


def decode(datagram: bytes) -> Report:
    """Decode a datagram.

    Raises:
        ValueError: When the datagram holds no report or names no sender.
    """
    try:
        message = pb.Datagram.FromString(datagram)
    except protobuf.DecodeError as error:
        raise ValueError("the datagram can't be read") from error
    kind = message.WhichOneof("report")
    if kind is None:
        raise ValueError("the datagram holds no report")
    if not getattr(message, kind).instance:
        raise ValueError("the report names no sender")
    if kind == "feed":
        return feed_codec.from_protobuf(message.feed)
    return pulse_codec.from_protobuf(message.pulse)
