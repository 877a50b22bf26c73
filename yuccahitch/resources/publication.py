"""A whole configuration that operators publish at once, under one version."""

from __future__ import annotations

import itertools

from yuccahitch import records
from yuccahitch.resources import account, rate, route, service


class CallerLimits(records.Record):
    """Bounds on what callers send.

    Attributes:
        header_bytes: Most bytes of a request's headers.
        body_bytes: Most bytes of a body.
        header_s: Longest time that the headers may take, in seconds.
        idle_s: Time after which an idle connection may be closed, in seconds.
    """

    __slots__ = ("header_bytes", "body_bytes", "header_s", "idle_s")

    def __init__(
        self,
        *,
        header_bytes: int = 16384,
        body_bytes: int = 4194304,
        header_s: float = 3.0,
        idle_s: float = 15.0,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


class Publication(records.Record):
    """One version of the configuration.

    Attributes:
        version: Its number; later versions have greater ones.
        services: Services by name.
        accounts: Client accounts by name.
        rates: Rates and bursts by client account; an account without one has no limit.
        keys: Client accounts by the digest of each key.
        keyed: Whether requests need a key at all.
        limits: Bounds on what callers send.
        by_host: Routes by host, the longest prefix first.
    """

    __slots__ = ("version", "services", "accounts", "rates", "keys", "keyed", "limits", "by_host")

    def __init__(
        self,
        *,
        version: int,
        routes: list[route.Route],
        services: list[service.Service],
        accounts: list[account.Account],
        rates: list[rate.Rate],
        keys: dict[str, str],
        keyed: bool,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.services = {item.name: item for item in services}
        self.accounts = {item.name: item for item in accounts}
        self.rates = {item.name: item for item in rates}
        self.keys = keys
        self.keyed = keyed
        self.limits = limits
        ordered = sorted(routes, key=lambda item: item.host)
        grouped = itertools.groupby(ordered, key=lambda item: item.host)
        self.by_host = {host: route.by_prefix(found) for host, found in grouped}

    def homes(self, host: str) -> frozenset[str] | None:
        """Return the regions where all routes of a host may be served; None means every region."""
        bounds = [frozenset(r.regions) for r in self.by_host.get(host, ()) if r.regions]
        return frozenset.intersection(*bounds) if bounds else None

    def route(self, host: str, path: str) -> route.Route | None:
        """Return the route of a host whose prefix is the longest that begins the path."""
        return route.first(self.by_host.get(host, ()), path)
