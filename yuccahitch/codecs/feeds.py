"""Codec of the reports that pass on the changes of the store."""

from __future__ import annotations

import math

from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import feeds, store


def to_protobuf(report: feeds.FeedReport) -> pb.FeedReport:
    """Return a report as a protobuf message."""
    message = pb.FeedReport(
        instance=report.instance,
        revision=report.revision,
        era=report.era,
        age_ms=max(0, math.ceil(report.age_s * 1000)),
    )
    if report.sent_at > -math.inf:
        message.sent_ms = math.floor(report.sent_at * 1000)
    if report.news is not None:
        message.news.CopyFrom(
            pb.StoreChanges(
                after=report.news.after,
                revision=report.news.revision,
                changes=[_change_to_protobuf(change) for change in report.news.changes],
            )
        )
    return message


def from_protobuf(message: pb.FeedReport) -> feeds.FeedReport:
    """Return the report that a protobuf message holds."""
    news = None
    if message.HasField("news"):
        news = feeds.StoreChanges(
            after=message.news.after,
            revision=message.news.revision,
            changes=[_change_from_protobuf(change) for change in message.news.changes],
        )
    era = message.era if message.HasField("era") else None
    age_s = message.age_ms / 1000 if message.HasField("age_ms") else math.inf
    sent_at = message.sent_ms / 1000 if message.HasField("sent_ms") else -math.inf
    return feeds.FeedReport(
        message.instance,
        revision=message.revision,
        age_s=age_s,
        sent_at=sent_at,
        era=era,
        news=news,
    )


def _change_to_protobuf(change: store.KeyChange) -> pb.KeyChange:
    value = change.item.value if change.item is not None else b""
    return pb.KeyChange(
        key=change.key, value=value, revision=change.revision, deleted=change.item is None
    )


def _change_from_protobuf(message: pb.KeyChange) -> store.KeyChange:
    item = store.KeyValue(key=message.key, value=message.value, revision=message.revision)
    return store.KeyChange(
        message.key, None if message.deleted else item, revision=message.revision
    )
