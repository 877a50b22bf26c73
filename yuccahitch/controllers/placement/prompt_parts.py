"""Decides which upstreams read and keep the prompt parts that requests share."""

from __future__ import annotations

from yuccahitch.controllers.members import rendezvous
from yuccahitch.controllers.placement import assignments
from yuccahitch.controllers.upstream_state import replica_state, replicas


class PromptParts:
    """Chooses the holders of shared prompt parts, alike at every instance.

    Args:
        registry: The registered upstreams.
    """

    __slots__ = ("registry",)

    def __init__(self, registry: replicas.ReplicaRegistry) -> None:
        self.registry = registry

    def holder(self, request: assignments.PlacementRequest, now: float) -> str:
        """Return the upstream, of any region, to which all instances send a shared prompt part.

        Rendezvous hashing picks it among the usable ones; no text means that there is none, or no
        shared part.
        """
        shared = shared_part(request)
        if not shared:
            return ""
        regions = {replica.upstream.region for replica in self.registry.by_name.values()}
        usable_names = [
            replica.upstream.name
            for region in (regions if request.regions is None else regions & request.regions)
            for replica in self.registry.usable(
                request.service.name, now, region=region, versions=request.versions
            )
        ]
        return rendezvous.owner(shared, usable_names)

    def second_holder(
        self, request: assignments.PlacementRequest, candidates: list[replica_state.Replica]
    ) -> str:
        """Return the candidate that is preferred where the holder doesn't get the request."""
        return rendezvous.owner(
            shared_part(request), [replica.upstream.name for replica in candidates]
        )


def shared_part(request: assignments.PlacementRequest) -> str:
    """Return the id of the prompt part shared with other requests: the first of several, if any."""
    return request.parts[0][0] if len(request.parts) > 1 else ""


def unread_tokens(
    replica: replica_state.Replica, parts: tuple[tuple[str, int], ...], holder: str
) -> int:
    """Return the number of prompt tokens that an upstream probably does not have in its cache.

    The holder of the shared part is taken to lack only the last part.
    """
    if replica.upstream.name == holder:
        return sum(tokens for _, tokens in parts[-1:])
    for index, (part, _) in enumerate(parts):
        if part not in replica.cached_parts:
            return sum(tokens for _, tokens in parts[index:])
    return 0
