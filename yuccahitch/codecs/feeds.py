"""Codec of the reports that pass on the changes of the store."""

from __future__ import annotations

from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import feeds, store


def to_protobuf(report: feeds.FeedReport) -> pb.FeedReport:
    """Return a report as a protobuf message."""
    return pb.FeedReport(
        instance=report.instance,
        revisions=report.revisions,
        changes=[
            pb.PrefixChanges(
                prefix=batch.prefix,
                after=batch.after,
                revision=batch.revision,
                changes=[_change_to_protobuf(change) for change in batch.changes],
            )
            for batch in report.changes
        ],
    )


def from_protobuf(message: pb.FeedReport) -> feeds.FeedReport:
    """Return the report that a protobuf message holds."""
    return feeds.FeedReport(
        message.instance,
        revisions=dict(message.revisions),
        changes=[
            feeds.PrefixChanges(
                batch.prefix,
                after=batch.after,
                revision=batch.revision,
                changes=[_change_from_protobuf(change) for change in batch.changes],
            )
            for batch in message.changes
        ],
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
