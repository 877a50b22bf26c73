"""The possible results of a placement decision."""

from __future__ import annotations

from yuccahitch import errors, records
from yuccahitch.controllers.placement import placement_inputs
from yuccahitch.messages import peers
from yuccahitch.resources import upstream

STEP = "place"


class ToUpstream(records.Record):
    """Send the request to an upstream of this region, where it already counts as running.

    Attributes:
        upstream: The upstream.
        placement_inputs: Inputs of the decision, or None.
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
        info: Entry of the instance.
        better_than_s: Estimated time to the first token in this region, in seconds; 0 if no
            upstream of this region can take the request.
        placement_inputs: Inputs of the decision, or None.
    """

    __slots__ = ("info", "better_than_s", "placement_inputs")

    def __init__(
        self,
        info: peers.InstanceInfo,
        *,
        better_than_s: float = 0.0,
        placement_inputs: placement_inputs.PlacementInputs | None = None,
    ) -> None:
        self.info = info
        self.better_than_s = better_than_s
        self.placement_inputs = placement_inputs


class Wait(records.Record):
    """The request waits in the queue.

    Attributes:
        until: When it stops waiting and is refused, in monotonic seconds.
        placement_inputs: Inputs of the decision, or None.
    """

    __slots__ = ("until", "placement_inputs")

    def __init__(
        self, until: float, placement_inputs: placement_inputs.PlacementInputs | None = None
    ) -> None:
        self.until = until
        self.placement_inputs = placement_inputs


class Refused(records.Record):
    """No upstream and no other region can take the request.

    Attributes:
        error: The error that the caller gets.
        placement_inputs: Inputs of the decision, or None.
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
