"""Tells callers which instances to use.

Each client account is given a stable few in each region, so that its state lives on few instances.
"""

from __future__ import annotations

import itertools
import math

from yuccahitch import records
from yuccahitch.controllers import configuration, membership, rendezvous
from yuccahitch.messages import peers

MIN_PER_REGION = 2
TOKENS_PER_S_PER_INSTANCE = 2200.0


class Directions(records.Record):
    """An answer to a caller that asks for instances, the best first."""

    __slots__ = ("rows", "ttl_s")

    def __init__(self, rows: list[peers.InstanceInfo], *, ttl_s: float) -> None:
        self.rows = rows
        self.ttl_s = ttl_s


def directions(
    account: str,
    *,
    config: configuration.Configuration,
    members: membership.Membership,
    ttl_s: float,
) -> Directions:
    """Return the instances for a client account; those of the own region come first."""
    found = config.catalog.account(account)
    client = config.catalog.client(found.client) if found is not None and found.client else None
    allowed = set(found.residency) if found is not None else set()
    if client is not None and client.home:
        allowed = allowed & {client.home} if allowed else {client.home}
    rows = members.serving()
    own = members.own.region
    regions = sorted(
        {row.region for row in rows if not allowed or row.region in allowed},
        key=lambda region: (region != own, region),
    )
    rate = config.catalog.rate(account)
    tokens_per_s = rate.tokens_per_s if rate is not None else 0.0
    count = max(MIN_PER_REGION, math.ceil(tokens_per_s / TOKENS_PER_S_PER_INSTANCE))
    chosen = itertools.chain.from_iterable(
        _in_region(account, [row for row in rows if row.region == region], count)
        for region in regions
    )
    return Directions(list(chosen), ttl_s=ttl_s)


def _in_region(
    account: str, rows: list[peers.InstanceInfo], count: int
) -> list[peers.InstanceInfo]:
    """Return a few instances of a region, in different zones as far as there are any."""
    by_name = {row.instance: row for row in rows}
    names = rendezvous.ranked(account, by_name)
    zones: set[str] = set()
    first, rest = [], []
    for name in names:
        zone = by_name[name].zone
        (rest if zone in zones else first).append(by_name[name])
        zones.add(zone)
    return (first + rest)[:count]
