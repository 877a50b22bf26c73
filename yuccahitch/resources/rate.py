"""Rate limits of client accounts."""

from __future__ import annotations

from yuccahitch import records


class Rate(records.Record):
    """The rate limit of one client account over the whole fleet.

    Attributes:
        name: Name of the client account.
        tokens_per_s: Sustained rate, in tokens a second.
        burst_tokens: Burst, in tokens.
    """

    __slots__ = ("name", "tokens_per_s", "burst_tokens")

    def __init__(self, *, name: str, tokens_per_s: float, burst_tokens: float) -> None:
        self.name = name
        self.tokens_per_s = tokens_per_s
        self.burst_tokens = burst_tokens
