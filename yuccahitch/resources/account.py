"""Client accounts."""

from __future__ import annotations

from yuccahitch import records


class Account(records.Record):
    """A client account.

    Attributes:
        name: Unique name.
        residency: Regions where the account's data may reside; empty means every region.
        weight: Weight in fair queuing relative to other accounts.
        client: Name in the platform's client directory, or empty.
        priority: Priority of the account's requests, which overrides that of the route; None
            leaves it to the route. 0 comes first.
        plain_tokens: Tokens charged for a request that states no token count.
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
