"""What a placement can decide for a request."""

from __future__ import annotations

from yuccahitch import errors, records
from yuccahitch.controllers import placement_inputs
from yuccahitch.messages import peers
from yuccahitch.resources import upstream

STEP = "place"


class ToUpstream(records.Record):
    """Send the request to an upstream of this region; its place is taken.

    Attributes:
        upstream: The upstream.
        placement_inputs: What it was decided on, or None.
    """

    __slots__ = ("upstream", "placement_inputs")

    def __init__(
        self,
        target: upstream.Upstream,
        placement_inputs: placement_inputs.PlacementInputs | None = None,
    ) -> None:
        self.upstream = target
        self.placement_inputs = placement_inputs


class ToInstance(records.Record):
    """Forward the request to an instance of another region.

    Attributes:
        info: The instance.
        better_than_s: First-token time here, in seconds; 0 if it can't be served here.
        placement_inputs: What it was decided on, or None.
    """

    __slots__ = ("info", "better_than_s", "placement_inputs")

    def __init__(
        self,
        info: peers.Row,
        *,
        better_than_s: float = 0.0,
        placement_inputs: placement_inputs.PlacementInputs | None = None,
    ) -> None:
        self.info = info
        self.better_than_s = better_than_s
        self.placement_inputs = placement_inputs


class Wait(records.Record):
    """The request was put in the queue.

    Attributes:
        until: When it is given up, in monotonic seconds.
        placement_inputs: What it was decided on, or None.
    """

    __slots__ = ("until", "placement_inputs")

    def __init__(
        self, until: float, placement_inputs: placement_inputs.PlacementInputs | None = None
    ) -> None:
        self.until = until
        self.placement_inputs = placement_inputs


class Refused(records.Record):
    """The request can't be placed.

    Attributes:
        error: The refusal.
        placement_inputs: What it was decided on, or None.
    """

    __slots__ = ("error", "placement_inputs")

    def __init__(
        self,
        error: errors.GatewayError,
        placement_inputs: placement_inputs.PlacementInputs | None = None,
    ) -> None:
        self.error = error
        self.placement_inputs = placement_inputs


Choice = ToUpstream | ToInstance | Wait | Refused
