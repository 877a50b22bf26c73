"""What a placement can decide for a request."""

from __future__ import annotations

from yuccahitch import errors, records
from yuccahitch.controllers import basis
from yuccahitch.messages import peers
from yuccahitch.resources import upstream

STEP = "place"


class ToUpstream(records.Record):
    """Send the request to an upstream of this region; its place is taken.

    Attributes:
        upstream: The upstream.
        basis: What it was decided on, or None.
    """

    __slots__ = ("upstream", "basis")

    def __init__(self, item: upstream.Upstream, basis: basis.Basis | None = None) -> None:
        self.upstream = item
        self.basis = basis


class ToInstance(records.Record):
    """Forward the request to an instance of another region.

    Attributes:
        row: The instance.
        better_than_s: First-token time here, in seconds; 0 if it can't be served here.
        basis: What it was decided on, or None.
    """

    __slots__ = ("row", "better_than_s", "basis")

    def __init__(
        self,
        row: peers.InstanceInfo,
        *,
        better_than_s: float = 0.0,
        basis: basis.Basis | None = None,
    ) -> None:
        self.row = row
        self.better_than_s = better_than_s
        self.basis = basis


class Wait(records.Record):
    """The request was put in the queue.

    Attributes:
        until: When it is given up, in monotonic seconds.
        basis: What it was decided on, or None.
    """

    __slots__ = ("until", "basis")

    def __init__(self, until: float, basis: basis.Basis | None = None) -> None:
        self.until = until
        self.basis = basis


class Refused(records.Record):
    """The request can't be placed.

    Attributes:
        error: The refusal.
        basis: What it was decided on, or None.
    """

    __slots__ = ("error", "basis")

    def __init__(self, error: errors.GatewayError, basis: basis.Basis | None = None) -> None:
        self.error = error
        self.basis = basis


Choice = ToUpstream | ToInstance | Wait | Refused
