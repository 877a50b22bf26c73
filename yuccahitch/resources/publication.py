"""A complete configuration that operators publish as one version."""

from __future__ import annotations

import itertools

from yuccahitch import records
from yuccahitch.resources import account, rate, route, service


class CallerLimits(records.Record):
    """Limits for the requests and connections of callers.

    Attributes:
        max_header_bytes: Largest total size of a request's headers, in bytes.
        max_body_bytes: Largest size of a request's body, in bytes.
        header_timeout_s: Longest time that receiving the headers may take, in seconds.
        idle_timeout_s: Time after which an idle connection may be closed, in seconds.
    """

    __slots__ = ("max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s")

    def __init__(
        self,
        *,
        max_header_bytes: int = 16384,
        max_body_bytes: int = 4194304,
        header_timeout_s: float = 3.0,
        idle_timeout_s: float = 15.0,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Publication(records.Record):
    """One version of the configuration.

    Attributes:
        version: Version number; a larger one is newer.
        services: Services by name.
        accounts: Client accounts by name.
        rates: Rates and bursts by name of the client account; an account without one has no
            limit.
        accounts_by_key_digest: Names of the client accounts by the digest of each key.
        requires_key: Whether requests need a key, unless their route is open.
        limits: Limits for the requests and connections of callers.
        routes_by_host: Routes by host, the longest prefix first.
    """

    __slots__ = (
        "version",
        "services",
        "accounts",
        "rates",
        "accounts_by_key_digest",
        "requires_key",
        "limits",
        "routes_by_host",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: list[route.Route],
        services: list[service.Service],
        accounts: list[account.Account],
        rates: list[rate.Rate],
        accounts_by_key_digest: dict[str, str],
        requires_key: bool,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.services = {item.name: item for item in services}
        self.accounts = {item.name: item for item in accounts}
        self.rates = {item.name: item for item in rates}
        self.accounts_by_key_digest = accounts_by_key_digest
        self.requires_key = requires_key
        self.limits = limits
        routes_in_host_order = sorted(routes, key=lambda item: item.host)
        routes_grouped_by_host = itertools.groupby(routes_in_host_order, key=lambda item: item.host)
        self.routes_by_host = {
            host: route.longest_prefix_first(host_routes)
            for host, host_routes in routes_grouped_by_host
        }

    def allowed_regions(self, host: str) -> frozenset[str] | None:
        """Return the regions that all routes of a host allow; None means every region."""
        region_sets = [
            frozenset(host_route.regions)
            for host_route in self.routes_by_host.get(host, ())
            if host_route.regions
        ]
        return frozenset.intersection(*region_sets) if region_sets else None

    def route(self, host: str, path: str) -> route.Route | None:
        """Return the route of a host with the longest prefix that the path begins with, or None."""
        return route.match_path(self.routes_by_host.get(host, ()), path)
