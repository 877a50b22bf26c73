"""Services that upstreams offer."""

from __future__ import annotations

from yuccahitch import records

# Kinds of services.
MODEL = "model"
PLAIN = "plain"


class Service(records.Record):
    """A model or a plain service.

    Attributes:
        name: Unique name.
        kind: ``model`` or ``plain``.
        max_output_tokens: Output limit when the caller sets none, in tokens.
        tokens_per_call: Tokens charged for a call of a plain service.
        warmup_s: Time for which an upstream is cold after its start, in seconds.
        warmup_per_s: Largest rate for a cold upstream, in requests a second over all instances.
        max_connections: Largest number of connections to an upstream, over all instances; 0 means
            no limit.
    """

    __slots__ = (
        "name",
        "kind",
        "max_output_tokens",
        "tokens_per_call",
        "warmup_s",
        "warmup_per_s",
        "max_connections",
    )

    def __init__(
        self,
        *,
        name: str,
        kind: str = MODEL,
        max_output_tokens: int = 512,
        tokens_per_call: int = 1,
        warmup_s: float = 0.0,
        warmup_per_s: float = 0.0,
        max_connections: int = 0,
    ) -> None:
        self.name = name
        self.kind = kind
        self.max_output_tokens = max_output_tokens
        self.tokens_per_call = tokens_per_call
        self.warmup_s = warmup_s
        self.warmup_per_s = warmup_per_s
        self.max_connections = max_connections
