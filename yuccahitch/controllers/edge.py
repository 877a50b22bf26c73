"""All controllers and chains of one instance on the users' platform, put together without I/O.

It offers the core task the same interface as ``gateway.Gateway``: configuration, upstreams and
instances come from the platform's store, and peers tell each other the rest in pulses.
"""

from __future__ import annotations

import functools
import itertools
import random
import typing

from yuccahitch import errors, events
from yuccahitch import settings as config_file
from yuccahitch.controllers import (
    allowance,
    balance,
    drain,
    feed,
    fleet,
    in_flight,
    published,
    replicas,
    shares,
    suspects,
)
from yuccahitch.filters import (
    admit,
    assign,
    chain,
    credentials,
    exchange,
    handed_over,
    homes,
    poison,
    quota,
    routing,
    send,
)
from yuccahitch.messages import actions, commands, peers, pulses, request_lifecycle, requests, store

POISON_CRASHES = 3
POISON_S = 120.0
DRAIN_RESERVE_S = 1.0


class Keyspace(typing.Protocol):
    """Where the platform keeps things, and how they are read."""

    OPERATOR_PREFIX: str
    UPSTREAM_PREFIX: str
    PUBLICATION_KEY: str
    EVACUATION_PREFIX: str


class Edge:
    """The decisions of one instance.

    Args:
        settings: Settings of the instance.
        instance: Its id.
        keyspace: Names of the platform's keys.
        read_publication: Reads a configuration.
        read_upstream: Reads the entry of an upstream.
        rng: Seeded source of random numbers.
        now: Monotonic seconds.
    """

    __slots__ = (
        "settings",
        "instance",
        "rng",
        "members",
        "config",
        "found",
        "feed",
        "meters",
        "policy",
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
        self._make_policy(now)
        self.in_flight = in_flight.InFlight(
            self._make_chains(), in_use=errors.Code.OVERLOADED, beliefs=self._beliefs
        )

    def _make_state(
        self,
        keyspace: Keyspace,
        read_publication: typing.Callable[..., typing.Any],
        read_upstream: typing.Callable[..., typing.Any],
    ) -> None:
        options = self.settings.instance
        self.members = fleet.Fleet(
            own_row(self.settings, self.instance),
            name=options.name,
            lease_s=self.settings.store.lease_s,
            rng=self.rng,
        )
        self.config = published.Published(
            decode=read_publication,
            key=keyspace.PUBLICATION_KEY,
            evacuation_prefix=keyspace.EVACUATION_PREFIX,
        )
        self.found = replicas.Replicas(
            decode=functools.partial(read_upstream, regions=options.zones),
            region=options.region,
            instance=self.instance,
            config=self.config,
            gone_after_s=min(2.0, self.settings.bounds.drain_ms / 1000 - 1.0),
        )
        self.feed = feed.Feed(
            {
                keyspace.OPERATOR_PREFIX: self.config,
                keyspace.UPSTREAM_PREFIX: self.found,
                fleet.PREFIX: self.members,
            }
        )
        grace_s = self.settings.bounds.grace_s
        self.shutdown = drain.Drain(
            announce_s=grace_s / 2 - DRAIN_RESERVE_S, limit_s=grace_s - DRAIN_RESERVE_S
        )

    def _make_policy(self, now: float) -> None:
        bounds, options = self.settings.bounds, self.settings.policy
        self.meters = shares.Shares(
            self.members,
            began=now,
            window_s=bounds.rate_window_s,
            overage=bounds.rate_overage,
            slack=bounds.rate_slack,
        )
        self.policy = balance.Balance(
            members=self.members,
            found=self.found,
            rng=self.rng,
            link_bytes_per_s=options.link_bytes_per_s,
            link_delay_s=options.link_delay_s,
            spill_gain_s=options.spill_gain_s,
        )
        self.budget = allowance.Allowance(
            self.members,
            ratio=bounds.retry_ratio,
            window_s=bounds.retry_window_s,
            extra=bounds.retry_extra,
        )
        self.suspects = suspects.Suspects(crashes=POISON_CRASHES, memory_s=POISON_S)

    def _make_chains(self) -> dict[str, chain.Chain]:
        first = admit.Admit(self.config, self.shutdown, instance=self.instance)
        rest = [
            poison.Poison(self.suspects),
            quota.Quota(self.config, self.meters),
            assign.Assign(self.policy),
            send.Send(
                members=self.members,
                found=self.found,
                policy=self.policy,
                budget=self.budget,
                crashes=self.suspects,
            ),
        ]
        entry = [routing.Routing(self.config), credentials.Credentials(self.config), homes.Homes()]
        arrival = [handed_over.HandedOver(self.config, region=self.settings.instance.region)]
        return {
            "entry": chain.Chain([first, *entry, *rest]),
            "arrival": chain.Chain([first, *arrival, rest[0], *rest[2:]]),
        }

    @property
    def closed(self) -> bool:
        """Return whether a graceful shutdown is done."""
        return self.shutdown.phase is drain.Phase.DONE

    def begin(
        self, request: requests.Request, hop: requests.Hop | None, now: float
    ) -> request_lifecycle.NextAction | None:
        """Take a new request."""
        return self.in_flight.begin(request, hop, now)

    def resume(
        self, request_id: str, reply: typing.Any, now: float
    ) -> request_lifecycle.NextAction | None:
        """Go on with a request that waited for a reply."""
        return self.in_flight.resume(request_id, reply, now)

    def expire(self, request_id: str, now: float) -> request_lifecycle.NextAction:
        """Return the final answer of a request whose time is up."""
        item = self.in_flight.exchanges.get(request_id)
        sent = item is not None and item.sends > 0
        if sent and item.upstream:
            self.found.outcome(item.upstream, good=False, now=now)
        error = errors.GatewayError(
            errors.Code.DEADLINE,
            step="core",
            peer=(item.upstream or item.instance) if item is not None else "",
            run=errors.RunStatus.MAY_HAVE_RUN if sent else errors.RunStatus.NOT_RUN,
        )
        if item is not None:
            item.runs += sent
            self.in_flight.expire(item, now)
        return request_lifecycle.NextAction(request_id, actions.Refuse(error))

    def finish(self, message: request_lifecycle.Finish, now: float) -> exchange.Exchange | None:
        """Settle a request that is over; return its state."""
        item = self.in_flight.take(message)
        if item is not None:
            self.in_flight.settle(message, item, now)
        return item

    def begin_drain(self, now: float) -> None:
        """Begin a graceful shutdown, and let the peers know at once."""
        self.shutdown.begin(now)
        self.members.own.leaving = True
        self.tell(self.members.everyone(), now)
        if self.members.lease:
            call = store.RevokeLease(self.members.lease)
            self.outbox.append(commands.StoreCall(call, LeaseEnded()))
            self.members.lease = 0

    def tick(self, now: float) -> None:
        """Do what is due."""
        self.members.own.ready = self.config.ready() and self.feed.complete()
        self.feed.tick(now)
        if not self.shutdown.leaving:
            self.members.register(now)
        self.members.expire(now)
        self.found.expire(now)
        self.suspects.expire(now)
        near, far = self.members.targets(now)
        self.tell(near, now)
        self.tell(far, now, wide=True)
        self.shutdown.advance(now, open_requests=len(self.in_flight.exchanges), handed_over=True)

    def on_watch(self, event: store.KeysChanged | store.WatchLost, now: float) -> None:
        """Take in what a watch on the store saw."""
        _on_watch(event, self, now)

    def on_store(self, reply: commands.StoreReply, now: float) -> None:
        """Take in a reply of the store."""
        _on_store(reply.purpose, self, reply.reply, now)

    def on_pulse(self, pulse: pulses.Pulse, now: float) -> None:
        """Take in what another instance tells."""
        self.members.hear(pulse, now)
        self.suspects.hear(pulse.suspects, now)

    def on_peer(self, body: peers.Body, sender: str, now: float) -> peers.Body:
        """Answer a message of the project's own gossip, which no one sends here."""
        return peers.Ack()

    def drain(self, now: float) -> list[commands.Command | request_lifecycle.NextAction]:
        """Return what is to be done since the last call."""
        if self.suspects.announce:
            self.suspects.announce = False
            self.tell(self.members.everyone(), now)
        sources = (
            self,
            self.in_flight,
            self.members,
            self.config,
            self.found,
            self.feed,
            self.meters,
            self.suspects,
        )
        batch = list(itertools.chain.from_iterable(source.outbox for source in sources))
        for source in sources:
            source.outbox.clear()
        return batch

    def serving(self) -> bool:
        """Return whether callers are to send requests here."""
        return self.members.own.ready and not self.shutdown.leaving

    def directions(self, host: str, region: str, now: float) -> list[str]:
        """Return the addresses that callers of a region are to use for a host.

        Callers whose own region has no instance go to regions where the host's data may be; where
        none is left they get no answer, and keep the one that they have.
        """
        rows = self.members.serving(now, region=region)
        if not rows:
            regions = {member.row.region for member in self.members.alive(now)}
            regions.add(self.members.own.region)
            homes = self.config.current.allowed_regions(host) if self.config.ready() else None
            rows = self._serving_in(regions if homes is None else regions & homes, now)
        return [f"{row.host}:{row.caller_port}" for row in rows]

    def _serving_in(self, regions: typing.Iterable[str], now: float) -> list[peers.InstanceInfo]:
        found = (self.members.serving(now, region=region) for region in sorted(regions))
        return list(itertools.chain.from_iterable(found))

    def _beliefs(self, now: float) -> dict[str, typing.Any]:
        heard_at = min(self.feed.heard_at.values(), default=None)
        ready = self.config.ready()
        return {
            "version": self.config.current.version if ready else 0,
            "store_age_s": None if heard_at is None else round(now - heard_at, 1),
        }

    def tell(self, addresses: list[str], now: float, *, wide: bool = False) -> None:
        """Tell other instances what this one sees, other regions what its whole region asks."""
        if not addresses:
            return
        self.members.number += 1
        services = self.config.current.services.values() if self.config.ready() else ()
        own = self.members.own
        pulse = pulses.Pulse(
            instance=self.instance,
            region=own.region,
            number=self.members.number,
            leaving=own.leaving,
            ready=own.ready,
            uses=[
                pulses.UpstreamUsage(name, running=r.running, prompt_tokens=r.prompt_tokens)
                for name, r in self.found.table.items()
                if r.running
            ],
            demands=self.meters.region_demands(now) if wide else self.meters.demands(now),
            rooms=self.policy.rooms(services, now),
            heard=self.members.ages(now),
            suspects=self.suspects.news(now),
            version=self.config.current.version if self.config.ready() else 0,
            wide=wide,
        )
        self.outbox.append(pulses.SendPulse(addresses, pulse))


class LeaseEnded:
    """Purpose of the call that ends the instance's lease."""

    __slots__ = ()


def own_row(settings: config_file.EdgeSettings, instance: str) -> peers.InstanceInfo:
    """Return the entry of an instance."""
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


@functools.singledispatch
def _on_store(purpose: typing.Any, edge: Edge, reply: store.Reply, now: float) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: feed.Listed, edge: Edge, reply: store.Reply, now: float) -> None:
    edge.feed.listed(purpose, reply, now)


@_on_store.register
def _(purpose: fleet.LeaseAsked, edge: Edge, reply: store.Reply, now: float) -> None:
    edge.members.leased(reply, now)


@_on_store.register
def _(purpose: fleet.LeaseKept, edge: Edge, reply: store.Reply, now: float) -> None:
    edge.members.kept(reply, now)


@_on_store.register
def _(purpose: fleet.Registered, edge: Edge, reply: store.Reply, now: float) -> None:
    edge.members.registered(reply, now)


@_on_store.register
def _(purpose: LeaseEnded, edge: Edge, reply: store.Reply, now: float) -> None:
    if type(reply) is store.CallFailed:
        edge.outbox.append(commands.LogEvent(events.Event.STORE_LOST, detail=reply.detail))


@functools.singledispatch
def _on_watch(event: typing.Any, edge: Edge, now: float) -> None:
    raise TypeError(type(event))


@_on_watch.register
def _(event: store.KeysChanged, edge: Edge, now: float) -> None:
    edge.feed.changed(event, now)


@_on_watch.register
def _(event: store.WatchLost, edge: Edge, now: float) -> None:
    edge.feed.lost(event, now)
