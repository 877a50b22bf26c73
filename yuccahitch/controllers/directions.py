"""Tells callers which instances to use.

Each client account is given a stable few in each region, so that its state lives on few instances.
"""

from __future__ import annotations

import itertools
import math

from yuccahitch import records
from yuccahitch.controllers import configuration, membership, rendezvous
from yuccahitch.messages import peers

MIN_INSTANCES_PER_REGION = 2
TOKENS_PER_S_PER_INSTANCE = 2200.0


class InstanceSelection(records.Record):
    """An answer to a caller that asks for instances, the best first."""

    __slots__ = ("instances", "ttl_s")

    def __init__(self, instances: list[peers.Row], *, ttl_s: float) -> None:
        self.instances = instances
        self.ttl_s = ttl_s


def select_instances(
    account: str,
    *,
    config: configuration.Configuration,
    members: membership.Membership,
    ttl_s: float,
) -> InstanceSelection:
    """Return the instances for a client account; those of the own region come first."""
    account_spec = config.catalog.account(account)
    client = (
        config.catalog.client(account_spec.client)
        if account_spec is not None and account_spec.client
        else None
    )
    allowed_regions = set(account_spec.residency) if account_spec is not None else set()
    if client is not None and client.home:
        allowed_regions = allowed_regions & {client.home} if allowed_regions else {client.home}
    instances = members.serving()
    own_region = members.own.region
    regions = sorted(
        {
            info.region
            for info in instances
            if not allowed_regions or info.region in allowed_regions
        },
        key=lambda region: (region != own_region, region),
    )
    rate = config.catalog.rate(account)
    tokens_per_s = rate.tokens_per_s if rate is not None else 0.0
    count = max(MIN_INSTANCES_PER_REGION, math.ceil(tokens_per_s / TOKENS_PER_S_PER_INSTANCE))
    chosen = itertools.chain.from_iterable(
        _select_in_region(account, [info for info in instances if info.region == region], count)
        for region in regions
    )
    return InstanceSelection(list(chosen), ttl_s=ttl_s)


def _select_in_region(account: str, instances: list[peers.Row], count: int) -> list[peers.Row]:
    """Return a few instances of a region, in different zones as far as there are any."""
    by_name = {info.instance: info for info in instances}
    names = rendezvous.ranked(account, by_name)
    used_zones: set[str] = set()
    first, rest = [], []
    for name in names:
        zone = by_name[name].zone
        (rest if zone in used_zones else first).append(by_name[name])
        used_zones.add(zone)
    return (first + rest)[:count]
