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
    """

    __slots__ = ("name", "residency", "weight", "client")

    def __init__(
        self,
        *,
        name: str,
        residency: tuple[str, ...] = (),
        weight: float = 1.0,
        client: str = "",
    ) -> None:
        self.name = name
        self.residency = tuple(residency)
        self.weight = weight
        self.client = client
