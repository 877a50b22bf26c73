"""The upstreams and regions among which a request is placed."""

from __future__ import annotations

from yuccahitch import records
from yuccahitch.controllers.placement import upstream_loads
from yuccahitch.controllers.upstream_state import replica_state
from yuccahitch.messages import peers

# Cost of an upstream, its time to first token, both in seconds, and the upstream.
LocalChoice = tuple[float, float, replica_state.Replica | None]
# Time to first token in another region, in seconds, and an instance there.
RemoteChoice = tuple[float, peers.InstanceInfo]


class Options(records.Record):
    """The upstreams and regions that can take a request.

    Attributes:
        fitting: Upstreams of this region that can take it.
        full: Those that could but for their memory.
        local: The best one of this region.
        remote: The best other region, or None.
        uses: Running requests and unread prompt tokens of other near instances, by upstream.
    """

    __slots__ = ("fitting", "full", "local", "remote", "uses")

    def __init__(
        self,
        *,
        fitting: list[replica_state.Replica],
        full: list[replica_state.Replica],
        local: LocalChoice,
        remote: RemoteChoice | None,
        uses: upstream_loads.NearUses,
    ) -> None:
        self.fitting = fitting
        self.full = full
        self.local = local
        self.remote = remote
        self.uses = uses
