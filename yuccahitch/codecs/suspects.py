"""Codec of the reports about requests that crash upstreams."""

from __future__ import annotations

import typing

from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import suspects


def to_protobuf(report: suspects.SuspectReport) -> pb.SuspectReport:
    """Return a report as a protobuf message."""
    return pb.SuspectReport(
        crashes=crashes_to_protobuf(report.crashes),
        refusals=[pb.RefusalReport(**refusal.as_dict()) for refusal in report.refusals],
        clearances=[pb.ClearanceReport(**clearance.as_dict()) for clearance in report.clearances],
    )


def from_protobuf(message: pb.SuspectReport) -> suspects.SuspectReport:
    """Return the report that a protobuf message holds."""
    return suspects.SuspectReport(
        crashes=crashes_from_protobuf(message.crashes),
        refusals=[
            suspects.RefusalReport(
                refusal.trait, since_ms=refusal.since_ms, left_ms=refusal.left_ms
            )
            for refusal in message.refusals
        ],
        clearances=[
            suspects.ClearanceReport(clearance.trait, age_ms=clearance.age_ms)
            for clearance in message.clearances
        ],
    )


def crashes_to_protobuf(crashes: typing.Iterable[suspects.CrashReport]) -> list[pb.CrashReport]:
    """Return reports of crashes as protobuf messages."""
    return [
        pb.CrashReport(
            upstream=crash.upstream,
            age_ms=crash.age_ms,
            requests=[
                pb.SuspectRequest(
                    request_trait=request.request_trait, part_traits=request.part_traits
                )
                for request in crash.requests
            ],
        )
        for crash in crashes
    ]


def crashes_from_protobuf(messages: typing.Iterable[pb.CrashReport]) -> list[suspects.CrashReport]:
    """Return the reports of crashes that protobuf messages hold."""
    return [
        suspects.CrashReport(
            crash.upstream,
            age_ms=crash.age_ms,
            requests=[
                suspects.SuspectRequest(request.request_trait, tuple(request.part_traits))
                for request in crash.requests
            ],
        )
        for crash in messages
    ]
