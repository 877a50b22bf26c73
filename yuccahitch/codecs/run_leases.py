"""Codec of the messages about leases of forwarded runs."""

from __future__ import annotations

from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import actions


def to_renewal(grant: float) -> pb.LeaseRenewal:
    """Encode a renewal that returns a grant.

    Args:
        grant: Time of the newest grant, in seconds on the clock of the receiver; 0 without one.
    """
    return pb.LeaseRenewal(grant=grant)


def to_grant(grant: float) -> pb.LeaseGrant:
    """Encode a grant, given by its time in seconds."""
    return pb.LeaseGrant(grant=grant)


def to_run_end(work: actions.Forward) -> pb.RunEnd:
    """Encode the message that ends the run of a forwarded request."""
    return pb.RunEnd(request_id=work.request.id, attempt=work.attempt)


def to_run_ended() -> pb.RunEnded:
    """Encode the reply that a run has ended."""
    return pb.RunEnded()
