"""Client accounts."""

from __future__ import annotations

from yuccahitch import records


class Account(records.Record):
    """A client account.

    Attributes:
        name: Unique name.
        residency: Regions where its data may reside; empty means every region.
        weight: Share in fair queuing relative to other accounts.
        client: Name in the platform's client directory, or empty.
        priority: Rank of its requests, before that of the route; None leaves it to the route.
        plain_tokens: Tokens that a request without a token count uses.
    """

    __slots__ = ("name", "residency", "weight", "client", "priority", "plain_tokens")

    def __init__(
        self,
        *,
        name: str,
        residency: tuple[str, ...] = (),
        weight: float = 1.0,
        client: str = "",
        priority: int | None = None,
        plain_tokens: int = 0,
    ) -> None:
        self.name = name
        self.residency = tuple(residency)
        self.weight = weight
        self.client = client
        self.priority = priority
        self.plain_tokens = plain_tokens
