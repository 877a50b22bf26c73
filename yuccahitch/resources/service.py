"""Services that upstreams offer."""

from __future__ import annotations

from yuccahitch import records

MODEL = "model"
PLAIN = "plain"


class Service(records.Record):
    """A model or a plain service.

    Attributes:
        name: Unique name.
        kind: ``model`` or ``plain``.
        max_output_tokens: Limit of an answer when the caller gives none, in tokens.
        tokens_per_call: Tokens that a call of a plain service costs.
    """

    __slots__ = ("name", "kind", "max_output_tokens", "tokens_per_call")

    def __init__(
        self,
        *,
        name: str,
        kind: str = MODEL,
        max_output_tokens: int = 512,
        tokens_per_call: int = 1,
    ) -> None:
        self.name = name
        self.kind = kind
        self.max_output_tokens = max_output_tokens
        self.tokens_per_call = tokens_per_call
