"""All controllers and chains of one instance, put together without I/O.

The core task drives it in real time; tests and benchmarks drive the same object in virtual time.
"""

from __future__ import annotations

import itertools
import random
import typing

from yuccahitch import clock, errors
from yuccahitch import settings as config_file
from yuccahitch.controllers import (
    _inputs,
    configuration,
    directions,
    drain,
    gossip,
    in_flight,
    limits,
    membership,
    operations,
    orders,
    placement,
    queue,
    reclaim,
    retries,
    session,
    slices,
    suspects,
    upstreams,
)
from yuccahitch.controllers import (
    rules as policy,
)
from yuccahitch.filters import (
    admit,
    arrival,
    authenticate,
    chain,
    dispatch,
    exchange,
    idempotency,
    match,
    place,
    poison,
    rate_limit,
    residency,
)
from yuccahitch.messages import commands, peers, request_lifecycle, requests, store

MAX_AGE_S = 1e6


class Gateway:
    """The decisions of one instance.

    Args:
        settings: Settings of the instance.
        instance: Its id.
        time: Source of calendar time; monotonic time is passed to each call.
        rng: Seeded source of random numbers.
        new_id: Makes unique ids.
        rules: Rules of the policy in force.
    """

    __slots__ = (
        "settings",
        "instance",
        "time",
        "rng",
        "members",
        "config",
        "access",
        "limits",
        "slices",
        "reclaim",
        "operations",
        "orders",
        "states",
        "queue",
        "placement",
        "suspects",
        "budget",
        "shutdown",
        "in_flight",
        "gossip",
        "outbox",
    )

    def __init__(
        self,
        settings: config_file.Settings,
        *,
        instance: str,
        time: clock.Clock,
        rng: random.Random,
        new_id: typing.Callable[[], str],
        rules: policy.Rules | None = None,
    ) -> None:
        self.settings = settings
        self.instance = instance
        self.time = time
        self.rng = rng
        self.outbox: list[commands.Command | request_lifecycle.NextAction] = []
        self._make_state(new_id)
        self._make_policy(rules or policy.Rules())
        self.in_flight = in_flight.InFlight(
            self._make_chains(), in_use=errors.Code.PEER_INVALID, beliefs=self._beliefs
        )

    def _make_state(self, new_id: typing.Callable[[], str]) -> None:
        options = self.settings.instance
        own = peers.InstanceInfo(
            instance=self.instance,
            region=options.region,
            zone=options.zone,
            host=options.listen,
            caller_port=options.caller_port,
            peer_port=options.peer_port,
            wan_address=options.wan_address or f"{options.listen}:{options.peer_port}",
        )
        self.members = membership.Membership(
            own,
            seeds=self.settings.peers.seeds,
            heartbeat_s=self.settings.peers.heartbeat_s,
            lost_after_s=self.settings.peers.lost_after_s,
            rng=self.rng,
        )
        self.config = configuration.Configuration(
            self.instance, region=options.region, resync_s=self.settings.store.resync_s
        )
        self._make_limits(new_id)
        self.operations = operations.Operations(
            self.instance,
            secret=self.settings.peers.secret,
            lifetime_s=self.settings.callers.operation_lifetime_s,
            new_id=new_id,
        )
        self.orders = orders.Orders(
            self.instance,
            access=self.access,
            config=self.config,
            longest_s=self.settings.policy.order_limit_s,
        )
        self.shutdown = drain.Drain(
            announce_s=self.settings.callers.drain_announce_s,
            limit_s=self.settings.callers.drain_limit_s,
        )
        self.config.listeners.append(self._rate_changed)

    def _make_limits(self, new_id: typing.Callable[[], str]) -> None:
        limiting = self.settings.limits
        self.access = session.Session(
            self.instance,
            lease_s=self.settings.store.lease_s,
            term_s=limiting.loan_s,
            drift_s=limiting.drift_s,
            horizon_s=limiting.horizon_s,
        )
        self.limits = limits.Limits(
            self.instance,
            self.members,
            self.access,
            term_s=limiting.loan_s,
            drift_s=limiting.drift_s,
            gather_s=limiting.gather_s,
        )
        self.slices = slices.Slices(
            self.instance,
            members=self.members,
            access=self.access,
            rates=self.limits,
            config=self.config,
            new_id=new_id,
            rebalance_s=limiting.rebalance_s,
        )
        self.reclaim = reclaim.Reclaim(members=self.members, access=self.access, slices=self.slices)

    def _make_policy(self, rules: policy.Rules) -> None:
        options = self.settings.policy
        self.states = upstreams.Upstreams(self.settings.instance.region, rules=rules)
        self.queue = queue.Queue(capacity=options.queue_requests, rules=rules)
        self.placement = placement.Placement(
            config=self.config,
            members=self.members,
            states=self.states,
            waiting=self.queue,
            rules=rules,
            window=options.window,
            link_bytes_per_s=options.link_bytes_per_s,
            link_delay_s=options.link_delay_s,
            spill_gain_s=options.spill_gain_s,
        )
        self.suspects = suspects.Suspects(crashes=options.poison_crashes, memory_s=options.poison_s)
        self.budget = retries.RetryBudget(share=options.retry_share, rules=rules)
        self.gossip = gossip.Gossip(
            members=self.members,
            config=self.config,
            states=self.states,
            crashes=self.suspects,
            rng=self.rng,
        )

    def _make_chains(self) -> dict[str, chain.Chain]:
        callers = self.settings.callers
        first = admit.Admit(self.config, self.shutdown, instance=self.instance)
        key = authenticate.Authenticate(
            self.config,
            serve_cut_off=callers.cut_off_keys == "serve",
            cut_off_after=callers.cut_off_after_s,
        )
        arrived = arrival.Arrival(self.config, instance=self.instance)
        rest = [
            match.Match(self.config),
            residency.Residency(self.config, region=self.settings.instance.region),
            idempotency.Idempotency(self.operations, self.members, self.time),
            poison.Poison(self.suspects),
            rate_limit.RateLimit(self.config, self.limits, self.slices),
            place.Place(self.placement),
            dispatch.Dispatch(self.config, self.members, self.states, self.budget, self.suspects),
        ]
        return {
            "entry": chain.Chain([first, key, *rest]),
            "arrival": chain.Chain([first, arrived, *rest]),
        }

    @property
    def closed(self) -> bool:
        """Return whether a graceful shutdown is done."""
        return self.access.closed

    def begin(
        self, request: requests.Request, hop: requests.Hop | None, now: float
    ) -> request_lifecycle.NextAction | None:
        """Take a new request; None means that it waits and an Outcome follows."""
        return self.in_flight.begin(request, hop, now)

    def resume(
        self, request_id: str, reply: typing.Any, now: float
    ) -> request_lifecycle.NextAction | None:
        """Go on with a request that waited for a reply."""
        return self.in_flight.resume(request_id, reply, now)

    def finish(self, message: request_lifecycle.Finish, now: float) -> exchange.Exchange | None:
        """Settle a request that is over; return its state."""
        item = self.in_flight.take(message)
        if item is None:
            return None
        if message.crashed_upstream:
            self.suspects.seen(poison.fingerprint(item), message.crashed_upstream, now)
        elif message.error is not None and item.head is not None and item.upstream:
            self.states.failed(item.upstream, now)
        self.in_flight.settle(message, item, now)
        return item

    def begin_drain(self, now: float) -> None:
        """Begin a graceful shutdown, and let the peers know at once."""
        self.shutdown.begin(now)
        self.members.own.leaving = True
        self.members.own.beat += 1
        self.gossip.tell(self.members.alive(), now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self.gossip.beat(now)
        self.members.own.leaving = self.shutdown.leaving
        self.members.own.ready = self.config.ready()
        self.members.own.config_age = int(min(65535, max(0.0, self.config.age(now))))
        rows = self.members.alive()
        self.config.assign(zone=self.members.own.zone, rows=rows, own=self.members.own, now=now)
        self.config.tick(now)
        for row in self.members.expire(now):
            self.reclaim.suspect(row.instance, row.region)
        near = [row for row in rows if row.region == self.members.own.region and row.ready]
        self.access.want([row.instance for row in near if not row.leaving], now)
        self.access.tick(now, {row.instance: self.members.address(row) for row in near})
        self.slices.tick(now)
        self.limits.tick(now)
        self.reclaim.tick(now)
        self.operations.tick(now, self.time.wall())
        self.orders.tick(now)
        self.suspects.expire(now)
        self.placement.tick(now)
        self._advance_shutdown(now)

    def on_watch(self, event: store.KeysChanged | store.WatchLost, now: float) -> None:
        """Take in what the watch on the store saw."""
        _inputs.on_watch(event, self, now)

    def on_store(self, reply: commands.StoreReply, now: float) -> None:
        """Take in a reply of the store."""
        if type(reply.reply) is not store.CallFailed:
            self.access.touch(reply.sent_at)
        _inputs.on_store(reply.purpose, self, reply, now)

    def on_peer(self, body: peers.Body, sender: str, now: float) -> peers.Body:
        """Take in a message of a peer and return the answer."""
        return _inputs.on_peer(body, self, now)

    def on_peer_reply(self, reply: commands.PeerReply, now: float) -> None:
        """Take in a peer's answer to a message, or its failure."""
        if reply.body is None and reply.call.instance:
            self.members.call_failed(reply.call.instance)
        _inputs.on_peer_reply(reply.call.purpose, self, reply, now)

    def drain(self, now: float) -> list[commands.Command | request_lifecycle.NextAction]:
        """Return what is to be done since the last call."""
        done: list[commands.Command | request_lifecycle.NextAction] = []
        self.gossip.warn(now)
        while batch := self._collect():
            for item in batch:
                if (
                    type(item) is commands.WakeRequest
                    and item.request_id in self.in_flight.exchanges
                ):
                    outcome = self.resume(item.request_id, item.reply, now)
                    done.extend([outcome] if outcome is not None else [])
                else:
                    done.append(item)
        return done

    def directions(self, account: str) -> directions.Directions:
        """Return which instances a client account is to use."""
        return directions.directions(
            account,
            config=self.config,
            members=self.members,
            ttl_s=self.settings.callers.list_ttl_s,
        )

    def account_of(self, key_digest: str) -> str:
        """Return the client account that a key works for.

        Raises:
            errors.GatewayError: When the key does not work.
        """
        key = self.config.catalog.keys_by_digest.get(key_digest)
        if key is None or key.withdrawn:
            code = errors.Code.KEY_UNKNOWN if key_digest else errors.Code.KEY_MISSING
            raise errors.GatewayError(code, step=authenticate.Authenticate.step)
        return key.account

    def _collect(self) -> list[commands.Command | request_lifecycle.NextAction]:
        sources = (
            self,
            self.in_flight,
            self.gossip,
            self.members,
            self.config,
            self.access,
            self.limits,
            self.slices,
            self.reclaim,
            self.operations,
            self.orders,
            self.states,
            self.placement,
            self.suspects,
        )
        batch = list(itertools.chain.from_iterable(source.outbox for source in sources))
        for source in sources:
            source.outbox.clear()
        return batch

    def _beliefs(self, now: float) -> dict[str, typing.Any]:
        return {"config_age_s": round(min(self.config.age(now), MAX_AGE_S), 1)}

    def _rate_changed(self, item: typing.Any) -> None:
        if item.kind == "rate" and item.spec is not None:
            self.slices.rate_added(item.name)

    def _advance_shutdown(self, now: float) -> None:
        if not self.shutdown.leaving:
            return
        handing = self.shutdown.phase is drain.Phase.HANDING_OVER
        if handing and self.limits.lending:
            self.limits.return_all(now)
        handed = handing and self.slices.leave(now)
        self.shutdown.advance(now, open_requests=len(self.in_flight.exchanges), handed_over=handed)
        if self.shutdown.phase is drain.Phase.DONE and not self.access.closed:
            self.access.close()
