"""Requests to be placed, and their assignments to upstreams."""

from __future__ import annotations

from yuccahitch import records
from yuccahitch.controllers.upstream_state import engine_memory, replica_state
from yuccahitch.resources import service as services


class PlacementRequest(records.Record):
    """The properties of a request that its placement depends on.

    Attributes:
        request_id: Id of the request.
        service: Service that the request is for.
        regions: Regions where the request's data may reside; None means every region.
        parts: Parts of the prompt in their order, each an id and its number of tokens.
        body_bytes: Size of the body, in bytes.
        left_s: Time until the request's deadline, in seconds.
        avoid: Names of upstreams and ids of instances where the request failed before.
        local_only: Whether another instance forwarded the request, so that it may not be
            forwarded again.
        versions: Software versions whose upstreams may get the request; None means every one.
        memory_demand: What the request takes of an engine's memory.
        output_tokens: Tokens of the longest answer; 0 if the request doesn't tell.
    """

    __slots__ = (
        "request_id",
        "service",
        "regions",
        "parts",
        "body_bytes",
        "left_s",
        "avoid",
        "local_only",
        "versions",
        "memory_demand",
        "output_tokens",
    )

    def __init__(
        self,
        *,
        request_id: str,
        service: services.Service,
        regions: frozenset[str] | None,
        parts: tuple[tuple[str, int], ...],
        body_bytes: int,
        left_s: float,
        avoid: tuple[str, ...],
        local_only: bool,
        versions: frozenset[str] | None = None,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.regions = regions
        self.parts = parts
        self.body_bytes = body_bytes
        self.left_s = left_s
        self.avoid = avoid
        self.local_only = local_only
        self.versions = versions
        self.memory_demand = _memory_demand(parts, prompt_tokens + output_tokens)
        self.output_tokens = output_tokens


class Assignment(records.Record):
    """The upstream that a request is placed on.

    Attributes:
        upstream: Name of the upstream.
        prompt_tokens: Prompt tokens that the upstream has to read.
        prompt_read: Whether the upstream has read them, as its answer has begun.
        placed_at: When the request was placed, in monotonic seconds.
        service: Name of the service.
        replica: The start of the upstream.
        ahead: Requests that had to end there before this one, for each slot; 0 while slots were
            free.
        output_tokens: Tokens of the longest answer; 0 if the request doesn't tell.
        memory_demand: What the request takes of the upstream's memory.
    """

    __slots__ = (
        "upstream",
        "prompt_tokens",
        "prompt_read",
        "placed_at",
        "service",
        "replica",
        "ahead",
        "output_tokens",
        "memory_demand",
    )

    def __init__(
        self,
        upstream: str,
        *,
        prompt_tokens: int,
        placed_at: float,
        service: str,
        replica: replica_state.Replica,
        ahead: float,
        output_tokens: int,
        memory_demand: engine_memory.MemoryDemand,
    ) -> None:
        self.upstream = upstream
        self.prompt_tokens = prompt_tokens
        self.prompt_read = False
        self.placed_at = placed_at
        self.service = service
        self.replica = replica
        self.ahead = ahead
        self.output_tokens = output_tokens
        self.memory_demand = memory_demand


def _memory_demand(parts: tuple[tuple[str, int], ...], tokens: int) -> engine_memory.MemoryDemand:
    """Return what a request takes of an engine's memory; all its parts but the last are shared."""
    shared_tokens = sum(part_tokens for _, part_tokens in parts[:-1])
    last_tokens = sum(part_tokens for _, part_tokens in parts[-1:])
    return engine_memory.MemoryDemand(
        max(tokens - shared_tokens, last_tokens), shared_parts=dict(parts[:-1])
    )
