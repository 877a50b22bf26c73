"""Routes from what callers ask for to services."""

from __future__ import annotations

from yuccahitch import records


class Route(records.Record):
    """A route.

    Attributes:
        name: Unique name.
        target: Model or service name that callers use.
        service: Service that answers.
        regions: Regions where the data may reside; empty means every region.
        accounts: Client accounts that may use it; empty means all.
        open: Whether requests need no key.
        account: Client account that an open route's requests run for.
        idempotent: Whether a request may be run more than once.
    """

    __slots__ = (
        "name",
        "target",
        "service",
        "regions",
        "accounts",
        "open",
        "account",
        "idempotent",
    )

    def __init__(
        self,
        *,
        name: str,
        target: str,
        service: str,
        regions: tuple[str, ...] = (),
        accounts: tuple[str, ...] = (),
        open: bool = False,
        account: str = "",
        idempotent: bool = True,
    ) -> None:
        self.name = name
        self.target = target
        self.service = service
        self.regions = tuple(regions)
        self.accounts = tuple(accounts)
        self.open = open
        self.account = account
        self.idempotent = idempotent
