"""Builds the filter chains of an instance on the users' platform."""

from __future__ import annotations

import typing

from yuccahitch import settings as config_file
from yuccahitch.controllers.admission import urgency as urgency_admission
from yuccahitch.controllers.config import published
from yuccahitch.controllers.members import drain, fleet
from yuccahitch.controllers.placement import balance
from yuccahitch.controllers.rates import shares
from yuccahitch.controllers.runs import allowance, suspects
from yuccahitch.controllers.upstream_state import replicas
from yuccahitch.controllers.versions import served_versions, stream_origins, take_ups
from yuccahitch.filters import (
    admit,
    allowed_regions,
    assign,
    chain,
    credentials,
    poison,
    quota,
    restore_forwarded,
    resumption,
    routing,
    send,
    urgency,
)


class Controllers(typing.Protocol):
    """The controllers of an instance that its filters use; ``edge.Edge`` has them."""

    settings: config_file.EdgeSettings
    instance: str
    members: fleet.Fleet
    config: published.PublishedConfig
    registry: replicas.ReplicaRegistry
    versions: served_versions.ServedVersions
    origins: stream_origins.StreamOrigins
    take_ups: take_ups.TakeUps
    rate_shares: shares.RateShares
    balancer: balance.Balancer
    admission: urgency_admission.UrgencyAdmission
    suspects: suspects.Suspects
    budget: allowance.RetryAllowance
    shutdown: drain.Drain


def make_chains(controllers: Controllers) -> dict[str, chain.Chain]:
    """Return the filter chains for callers' requests and for forwarded ones.

    A forwarded request skips urgency and quota: the sender has admitted it and charged the client
    account. The sender also knows which software versions it may go to.
    """
    config = controllers.config
    admission = admit.Admit(config, controllers.shutdown, instance=controllers.instance)
    poison_filter = poison.Poison(controllers.suspects)
    placement_filters = [
        assign.Assign(controllers.balancer, controllers.versions),
        send.Send(
            members=controllers.members,
            registry=controllers.registry,
            policy=controllers.balancer,
            budget=controllers.budget,
            suspects=controllers.suspects,
            origins=controllers.origins,
        ),
    ]
    entry_filters = [
        routing.Routing(config),
        credentials.Credentials(config),
        allowed_regions.AllowedRegions(),
        resumption.Resumption(
            config=config,
            registry=controllers.registry,
            streams=controllers.take_ups,
            origins=controllers.origins,
        ),
        poison_filter,
        urgency.Urgency(controllers.admission, region=controllers.settings.instance.region),
        quota.Quota(config, controllers.rate_shares),
    ]
    restore_filter = restore_forwarded.RestoreForwarded(
        config, region=controllers.settings.instance.region
    )
    return {
        "entry": chain.Chain([admission, *entry_filters, *placement_filters]),
        "arrival": chain.Chain([admission, restore_filter, poison_filter, *placement_filters]),
    }
