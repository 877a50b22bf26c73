"""Selects the instances that a caller is to send its requests to.

Each client account gets a small, stable set of instances in each region, so that few instances hold
state for it.
"""

from __future__ import annotations

import itertools
import math

from yuccahitch import records
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.members import membership, rendezvous
from yuccahitch.messages import peers

MIN_INSTANCES_PER_REGION = 2
# An account gets one more instance in each region for every 2200 tokens a second of its rate.
TOKENS_PER_S_PER_INSTANCE = 2200.0


class InstanceSelection(records.Record):
    """The reply to a caller that asks for instances.

    Attributes:
        instances: The instances, the preferred one first.
        ttl_s: Seconds for which the caller may cache the list.
    """

    __slots__ = ("instances", "ttl_s")

    def __init__(self, instances: list[peers.InstanceInfo], *, ttl_s: float) -> None:
        self.instances = instances
        self.ttl_s = ttl_s


def select_instances(
    account: str,
    *,
    config: configuration.Configuration,
    members: membership.Membership,
    ttl_s: float,
) -> InstanceSelection:
    """Return the instances for a client account; those of this instance's region come first.

    Args:
        account: Name of the account.
        config: Holds the catalog with the account, its client and its rate.
        members: The live instances.
        ttl_s: Seconds for which the caller may cache the list.
    """
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


def _select_in_region(
    account: str, instances: list[peers.InstanceInfo], count: int
) -> list[peers.InstanceInfo]:
    """Return up to ``count`` instances of a region, preferring different availability zones."""
    by_name = {info.instance: info for info in instances}
    names = rendezvous.ranked(account, by_name)
    used_zones: set[str] = set()
    first, rest = [], []
    for name in names:
        zone = by_name[name].zone
        (rest if zone in used_zones else first).append(by_name[name])
        used_zones.add(zone)
    return (first + rest)[:count]
