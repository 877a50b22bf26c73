"""The controllers and filter chains of one instance on the users' platform, without I/O.

``Edge`` offers the core task the same interface as ``gateway.Gateway``. Configuration, upstreams
and instances come from the platform's store; instances exchange everything else in state reports
(pulses).
"""

from __future__ import annotations

import functools
import itertools
import random
import typing

from yuccahitch import errors
from yuccahitch import settings as config_file
from yuccahitch.controllers.admission import urgency
from yuccahitch.controllers.config import published
from yuccahitch.controllers.instance import _edge_chains, _edge_inputs, in_flight
from yuccahitch.controllers.members import drain, fleet
from yuccahitch.controllers.placement import balance
from yuccahitch.controllers.rates import shares
from yuccahitch.controllers.runs import allowance, suspects
from yuccahitch.controllers.store_view import feed, freshness, relay
from yuccahitch.controllers.upstream_state import replicas
from yuccahitch.controllers.versions import (
    served_versions,
    stream_origins,
    stream_records,
    take_ups,
)
from yuccahitch.filters import request_context
from yuccahitch.messages import (
    actions,
    commands,
    feeds,
    peers,
    pulses,
    request_lifecycle,
    requests,
    store,
    upstream_notices,
)

# Number of distinct upstreams from which a request that crashed them is refused.
POISON_CRASHES = 3
# Time for which such a request is refused, in seconds.
POISON_REFUSAL_S = 120.0
# Seconds that the announcement leaves free in half of the grace period, and the wait for open
# requests in all of it.
DRAIN_RESERVE_S = 1.0


class Keyspace(typing.Protocol):
    """Names of the keys under which the platform keeps its records.

    Attributes:
        OPERATOR_PREFIX: Prefix of all keys that operators write.
        UPSTREAM_PREFIX: Prefix of the entries of upstreams.
        PUBLICATION_KEY: Key of the configuration, relative to OPERATOR_PREFIX.
        EVACUATION_PREFIX: Prefix of the keys of evacuated zones, relative to OPERATOR_PREFIX.
    """

    OPERATOR_PREFIX: str
    UPSTREAM_PREFIX: str
    PUBLICATION_KEY: str
    EVACUATION_PREFIX: str


class Edge:
    """The state and the decisions of one instance.

    Args:
        settings: Settings of the instance.
        instance: Id of the instance.
        keyspace: Names of the platform's keys.
        read_publication: Decodes a configuration; raises ValueError if that fails.
        read_upstream: Decodes the entry of an upstream; raises ValueError if that fails.
        rng: Seeded source of random numbers.
        now: Monotonic seconds.

    Attributes:
        members: The other instances of the fleet, and the lease and entry of this one.
        config: The published configuration and the evacuated zones.
        registry: The registered upstreams of all regions.
        times: How old the knowledge of the store may be.
        versions: The software versions that may have begun open streams.
        recorded: The streams that other instances recorded, with their origins.
        origins: The streams of this instance, with their origins.
        take_ups: Finds the origins of streams that callers take up.
        feed: Follows the store for the controllers above.
        relay: Decides who watches the store, and passes its changes on in the zone.
        rate_shares: This instance's shares of the client accounts' rates.
        balancer: Places requests on upstreams and regions.
        admission: Admits requests by priority while a service is short of places.
        suspects: Requests that crashed upstreams.
        budget: Limits the retries of requests.
        shutdown: Phase of a graceful shutdown.
        in_flight: The open requests.
        outbox: Commands of this class that wait for ``take_commands``.
    """

    __slots__ = (
        "settings",
        "instance",
        "rng",
        "members",
        "config",
        "registry",
        "times",
        "versions",
        "recorded",
        "origins",
        "take_ups",
        "feed",
        "relay",
        "rate_shares",
        "balancer",
        "admission",
        "suspects",
        "budget",
        "shutdown",
        "in_flight",
        "outbox",
    )

    def __init__(
        self,
        settings: config_file.EdgeSettings,
        *,
        instance: str,
        keyspace: Keyspace,
        read_publication: typing.Callable[..., typing.Any],
        read_upstream: typing.Callable[..., typing.Any],
        rng: random.Random,
        now: float,
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.rng = rng
        self.outbox: list[commands.Command | request_lifecycle.NextAction] = []
        self._make_state(keyspace, read_publication, read_upstream)
        self._make_controllers(now)
        self.in_flight = in_flight.InFlight(
            _edge_chains.make_chains(self),
            state_fields=self._state_fields,
        )

    def _make_state(
        self,
        keyspace: Keyspace,
        read_publication: typing.Callable[..., typing.Any],
        read_upstream: typing.Callable[..., typing.Any],
    ) -> None:
        """Create the controllers of the shared state: those that read the store, and shutdown."""
        options = self.settings.instance
        self.times = freshness.Freshness(
            drain_s=self.settings.bounds.drain_ms / 1000,
            config_s=self.settings.bounds.config_ms / 1000,
            watch_s=self.settings.store.watch_s,
        )
        self.members = fleet.Fleet(
            own_info(self.settings, self.instance),
            name=options.name,
            lease_s=self.settings.store.lease_s,
            rng=self.rng,
        )
        self.config = published.PublishedConfig(
            decode=read_publication,
            key=keyspace.PUBLICATION_KEY,
            evacuation_prefix=keyspace.EVACUATION_PREFIX,
        )
        self.registry = replicas.ReplicaRegistry(
            decode=functools.partial(read_upstream, regions=options.zones),
            region=options.region,
            instance=self.instance,
            config=self.config,
            times=self.times,
        )
        self.versions = served_versions.ServedVersions(
            members=self.members,
            registry=self.registry,
            config=self.config,
            times=self.times,
            first_start=self.settings.store.first_start == "true",
        )
        self.recorded = stream_records.StreamRecords(self.instance)
        self.feed = feed.Feed(
            {
                keyspace.OPERATOR_PREFIX: self.config,
                keyspace.UPSTREAM_PREFIX: self.registry,
                fleet.PREFIX: self.members,
                served_versions.PREFIX: self.versions,
                stream_records.PREFIX: self.recorded,
            },
            upstream_heartbeat_s=self.settings.store.upstream_heartbeat_ms / 1000,
        )
        self.versions.source = self.feed
        self.relay = relay.StoreRelay(self.members, self.feed, self.times)
        grace_s = self.settings.bounds.grace_s
        self.shutdown = drain.Drain(
            announce_s=grace_s / 2 - DRAIN_RESERVE_S, limit_s=grace_s - DRAIN_RESERVE_S
        )

    def _make_controllers(self, now: float) -> None:
        """Create the controllers that decide about requests."""
        bounds, options = self.settings.bounds, self.settings.policy
        self.origins = stream_origins.StreamOrigins(
            members=self.members,
            versions=self.versions,
            instance=self.instance,
            writes_per_s=self.settings.store.writes_per_s,
            rng=self.rng,
        )
        self.take_ups = take_ups.TakeUps(
            versions=self.versions, origins=self.origins, recorded=self.recorded
        )
        self.rate_shares = shares.RateShares(
            self.members,
            started_at=now,
            window_s=bounds.rate_window_s,
            overage=bounds.rate_overage,
            slack=bounds.rate_slack,
        )
        self.balancer = balance.Balancer(
            members=self.members,
            registry=self.registry,
            rng=self.rng,
            link_bytes_per_s=options.link_bytes_per_s,
            link_delay_s=options.link_delay_s,
            spill_gain_s=options.spill_gain_s,
            part_holders=options.part_holders,
            link_share=options.link_share,
            engine_memory=options.engine_memory == "on",
            upstream_speeds=options.upstream_speeds == "on",
        )
        self.admission = urgency.UrgencyAdmission(
            config=self.config,
            balancer=self.balancer,
            rng=self.rng,
            enabled=options.urgency == "on",
        )
        self.budget = allowance.RetryAllowance(
            self.members,
            ratio=bounds.retry_ratio,
            window_s=bounds.retry_window_s,
            extra=bounds.retry_extra,
        )
        self.suspects = suspects.Suspects(crash_limit=POISON_CRASHES, memory_s=POISON_REFUSAL_S)

    @property
    def closed(self) -> bool:
        """Return whether a graceful shutdown is done."""
        return self.shutdown.phase is drain.Phase.DONE

    def begin(
        self, request: requests.Request, hop: requests.Hop | None, now: float
    ) -> request_lifecycle.NextAction | None:
        """Start a new request; None means that it waits and an Outcome follows."""
        return self.in_flight.begin(request, hop, now)

    def resume(
        self, request_id: str, reply: typing.Any, now: float
    ) -> request_lifecycle.NextAction | None:
        """Pass the reply that a request waited for to its chain; None means that it waits again."""
        return self.in_flight.resume(request_id, reply, now)

    def expire(self, request_id: str, now: float) -> request_lifecycle.NextAction:
        """Return the refusal of a request whose deadline passed.

        If the request was sent to an upstream, that counts as a failure of the upstream.
        """
        context = self.in_flight.contexts.get(request_id)
        was_sent = context is not None and context.send_count > 0
        if was_sent and context.upstream:
            self.registry.record_outcome(context.upstream, good=False, now=now)
        error = errors.GatewayError(
            errors.Code.DEADLINE,
            step="core",
            peer=(context.upstream or context.instance) if context is not None else "",
            run=errors.RunStatus.MAY_HAVE_RUN if was_sent else errors.RunStatus.NOT_RUN,
        )
        if context is not None:
            context.possible_runs += was_sent
            self.in_flight.expire(context, now)
        return request_lifecycle.NextAction(request_id, actions.Refuse(error))

    def finish(
        self, message: request_lifecycle.Finish, now: float
    ) -> request_context.RequestContext | None:
        """Settle a request that is over; return its context, or None if it is not open."""
        context = self.in_flight.remove(message)
        if context is not None:
            self.in_flight.settle(message, context, now)
        return context

    def begin_drain(self, now: float) -> None:
        """Begin a graceful shutdown: tell all other instances at once and revoke the lease."""
        self.shutdown.begin(now)
        self.members.own.leaving = True
        self.send_pulse(self.members.all_addresses(), now)
        if self.members.lease:
            call = store.RevokeLease(self.members.lease)
            self.outbox.append(commands.StoreCall(call, _edge_inputs.LeaseRevocation()))
            self.members.lease = 0

    def tick(self, now: float) -> None:
        """Run the periodic work: reads, lease, expiry, pulses and the steps of a shutdown."""
        self.members.own.ready = self.config.ready() and self.feed.is_complete()
        self.feed.tick(now)
        self.relay.tick(now)
        if not self.shutdown.leaving:
            self.members.maintain_lease(now)
        self.members.expire(now)
        self.registry.expire(now)
        self.suspects.expire(now)
        self.versions.tick(now)
        self.recorded.expire(now)
        self.origins.tick(now)
        self.admission.tick(now)
        self._wake_take_ups(now)
        near_addresses, far_addresses = self.members.due_addresses(now)
        self.send_pulse(near_addresses, now)
        self.send_pulse(far_addresses, now, wide=True)
        self.shutdown.advance(now, open_requests=len(self.in_flight.contexts), handed_over=True)

    def on_watch(self, event: store.WatchEvent, now: float) -> None:
        """Apply the changes that a watch on the store saw, or its failure or loss."""
        _edge_inputs.on_watch(event, self, now)
        self._wake_take_ups(now)

    def on_store(self, reply: commands.StoreReply, now: float) -> None:
        """Process a reply of the store."""
        self.feed.observe_era(reply.era, now)
        _edge_inputs.on_store(reply.purpose, self, reply, now)
        self._wake_take_ups(now)

    def on_report(self, report: pulses.Pulse | feeds.FeedReport, now: float) -> None:
        """Apply a report of another instance."""
        _edge_inputs.on_report(report, self, now)
        self._wake_take_ups(now)

    def on_upstream_notice(self, notice: upstream_notices.UpstreamNotice, now: float) -> None:
        """Record what an answer said of its upstream."""
        self.registry.record_notice(notice, now)

    def on_peer(self, body: peers.Body, sender: str, now: float) -> peers.Body:
        """Acknowledge a gossip message; instances on the users' platform send none."""
        return peers.Ack()

    def take_commands(self, now: float) -> list[commands.Command | request_lifecycle.NextAction]:
        """Return and clear the commands and outcomes that wait to be carried out."""
        if self.suspects.announcement_due:
            self.suspects.announcement_due = False
            self.send_pulse(self.members.all_addresses(), now)
        sources = (
            self,
            self.in_flight,
            self.members,
            self.config,
            self.registry,
            self.registry.limits,
            self.versions,
            self.recorded,
            self.origins,
            self.take_ups,
            self.feed,
            self.relay,
            self.rate_shares,
            self.admission,
            self.suspects,
        )
        batch = list(itertools.chain.from_iterable(source.outbox for source in sources))
        for source in sources:
            source.outbox.clear()
        return batch

    def is_serving(self) -> bool:
        """Return whether callers should send requests to this instance."""
        return self.members.own.ready and not self.shutdown.leaving

    def caller_addresses(self, host: str, region: str, now: float) -> list[str]:
        """Return the addresses of the instances that callers of a region use for a host.

        Callers whose own region has no serving instance get those of the regions where the host's
        data may reside. If there is none either, the list is empty and callers keep the addresses
        that they have.
        """
        serving_infos = self.members.serving_instances(now, region=region)
        if not serving_infos:
            regions = {member.info.region for member in self.members.reachable_members(now)}
            regions.add(self.members.own.region)
            homes = self.config.current.allowed_regions(host) if self.config.ready() else None
            serving_infos = self._serving_instances(
                regions if homes is None else regions & homes, now
            )
        return [f"{info.host}:{info.caller_port}" for info in serving_infos]

    def _serving_instances(
        self, regions: typing.Iterable[str], now: float
    ) -> list[peers.InstanceInfo]:
        """Return the serving instances of some regions."""
        infos_by_region = (
            self.members.serving_instances(now, region=region) for region in sorted(regions)
        )
        return list(itertools.chain.from_iterable(infos_by_region))

    def _wake_take_ups(self, now: float) -> None:
        """Resume the requests that know now which software version began their stream, or won't."""
        for request_id, result in self.take_ups.take_settled(now):
            outcome = self.in_flight.resume(request_id, result, now)
            if outcome is not None:
                self.outbox.append(outcome)

    def _state_fields(self, now: float) -> dict[str, typing.Any]:
        """Return log fields: the version in force and the age of the oldest data of the store."""
        ready = self.config.ready()
        age_s = round(now - self.feed.updated_at, 1) if self.feed.is_complete() else None
        return {
            "version": self.config.current.version if ready else 0,
            "store_age_s": age_s,
        }

    def send_pulse(self, addresses: list[str], now: float, *, wide: bool = False) -> None:
        """Send a state report (pulse) to other instances.

        Args:
            addresses: Peer addresses of the receivers; nothing is sent if there are none.
            now: Monotonic seconds.
            wide: Report what receivers in other regions need: the demand of the whole region
                instead of the demand at this instance, and no use of single upstreams.
        """
        if not addresses:
            return
        self.members.pulse_number += 1
        services = self.config.current.services.values() if self.config.ready() else ()
        own = self.members.own
        pulse = pulses.Pulse(
            instance=self.instance,
            region=own.region,
            number=self.members.pulse_number,
            leaving=own.leaving,
            ready=own.ready,
            uses=[] if wide else self.registry.usages(),
            demands=self.rate_shares.region_demands(now) if wide else self.rate_shares.demands(now),
            rooms=self.balancer.rooms(services, now),
            heard=self.members.near_pulse_ages(now),
            suspects=self.suspects.make_report(now),
            limits=[] if wide else self.registry.limits.report(now),
            departures=[] if wide else self.registry.departures(),
            version=self.config.current.version if self.config.ready() else 0,
            wide=wide,
            urgencies=[] if wide else self.admission.report(now),
        )
        self.outbox.append(pulses.SendDatagram(addresses, pulse))


def own_info(settings: config_file.EdgeSettings, instance: str) -> peers.InstanceInfo:
    """Return the entry of an instance, as its settings describe it."""
    options = settings.instance
    host, _, caller_port = options.callers.rpartition(":")
    peer_host, _, peer_port = options.peers.rpartition(":")
    return peers.InstanceInfo(
        instance=instance,
        region=options.region,
        zone=options.zone,
        host=host,
        caller_port=int(caller_port),
        peer_port=int(peer_port),
        wan_address=f"{peer_host}:{peer_port}",
    )
