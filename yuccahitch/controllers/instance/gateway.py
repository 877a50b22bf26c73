"""Assembles the controllers and filter chains of one instance; does no I/O.

The core task drives a Gateway in real time; tests and benchmarks drive it in virtual time.
"""

from __future__ import annotations

import itertools
import random
import typing

from yuccahitch import clock, errors
from yuccahitch import settings as config_file
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.instance import _inputs, in_flight
from yuccahitch.controllers.members import directions, drain, gossip, membership
from yuccahitch.controllers.placement import placement, queue
from yuccahitch.controllers.placement import rules as policy
from yuccahitch.controllers.rates import limits, reclaim, session, slices
from yuccahitch.controllers.runs import operations, orders, retries, suspects
from yuccahitch.controllers.upstream_state import upstreams
from yuccahitch.filters import (
    admit,
    authenticate,
    chain,
    check_forwarded,
    dispatch,
    idempotency,
    match,
    place,
    poison,
    rate_limit,
    request_context,
    residency,
)
from yuccahitch.messages import (
    commands,
    peers,
    request_lifecycle,
    requests,
    store,
    upstream_notices,
)

# Cap of the configuration age in log events, in seconds.
MAX_LOGGED_AGE_S = 1e6


class Gateway:
    """Takes all decisions of one instance and collects the commands that follow from them.

    Args:
        settings: Settings of the instance.
        instance: Id of the instance.
        time: Source of calendar time; monotonic time is passed to each call.
        rng: Seeded source of random numbers.
        new_id: Makes unique ids.
        rules: Rules of the placement policy, or None for the default ones.

    Attributes:
        outbox: Commands and outcomes that wait to be collected.
    """

    __slots__ = (
        "settings",
        "instance",
        "time",
        "rng",
        "members",
        "config",
        "store_session",
        "rate_limiter",
        "slices",
        "reclaimer",
        "operations",
        "orders",
        "upstream_states",
        "queue",
        "placement",
        "suspects",
        "retry_budget",
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
            self._make_chains(),
            state_fields=self._state_for_log,
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
        self._make_rate_control(new_id)
        self.operations = operations.Operations(
            self.instance,
            secret=self.settings.peers.secret,
            lifetime_s=self.settings.callers.operation_lifetime_s,
            new_id=new_id,
        )
        self.orders = orders.Orders(
            self.instance,
            store_session=self.store_session,
            config=self.config,
            max_duration_s=self.settings.policy.order_limit_s,
        )
        self.shutdown = drain.Drain(
            announce_s=self.settings.callers.drain_announce_s,
            limit_s=self.settings.callers.drain_limit_s,
        )
        self.config.listeners.append(self._on_entry_changed)

    def _make_rate_control(self, new_id: typing.Callable[[], str]) -> None:
        rate_settings = self.settings.limits
        self.store_session = session.Session(
            self.instance,
            lease_s=self.settings.store.lease_s,
            term_s=rate_settings.loan_s,
            drift_s=rate_settings.drift_s,
            horizon_s=rate_settings.horizon_s,
            lost_after_s=self.settings.peers.lost_after_s,
        )
        self.rate_limiter = limits.RateLimiter(
            self.instance,
            self.members,
            self.store_session,
            term_s=rate_settings.loan_s,
            drift_s=rate_settings.drift_s,
            gather_s=rate_settings.gather_s,
        )
        self.slices = slices.Slices(
            self.instance,
            members=self.members,
            store_session=self.store_session,
            rate_limiter=self.rate_limiter,
            config=self.config,
            new_id=new_id,
            rebalance_s=rate_settings.rebalance_s,
        )
        self.reclaimer = reclaim.SliceReclaimer(
            members=self.members, store_session=self.store_session, slices=self.slices
        )

    def _make_policy(self, rules: policy.Rules) -> None:
        options = self.settings.policy
        self.upstream_states = upstreams.UpstreamStates(self.settings.instance.region, rules=rules)
        self.queue = queue.RequestQueue(capacity=options.queue_requests, rules=rules)
        self.placement = placement.Placement(
            config=self.config,
            members=self.members,
            upstream_states=self.upstream_states,
            request_queue=self.queue,
            rules=rules,
            requests_per_slot=options.window,
            link_bytes_per_s=options.link_bytes_per_s,
            link_delay_s=options.link_delay_s,
            spill_gain_s=options.spill_gain_s,
        )
        self.suspects = suspects.Suspects(
            crash_limit=options.poison_crashes, memory_s=options.poison_s
        )
        self.retry_budget = retries.RetryBudget(ratio=options.retry_share, rules=rules)
        self.gossip = gossip.Gossip(
            members=self.members,
            config=self.config,
            upstream_states=self.upstream_states,
            suspects=self.suspects,
            rng=self.rng,
        )

    def _make_chains(self) -> dict[str, chain.Chain]:
        callers = self.settings.callers
        admission = admit.Admit(self.config, self.shutdown, instance=self.instance)
        authentication = authenticate.Authenticate(
            self.config,
            serve_when_cut_off=callers.cut_off_keys == "serve",
            max_config_age_s=callers.cut_off_after_s,
        )
        forwarded_check = check_forwarded.CheckForwarded(self.config, instance=self.instance)
        shared_steps = [
            match.Match(self.config),
            residency.Residency(self.config, region=self.settings.instance.region),
            idempotency.Idempotency(self.operations, self.members, self.time),
            poison.Poison(self.suspects),
            rate_limit.RateLimit(self.config, self.rate_limiter, self.slices),
            place.Place(self.placement),
            dispatch.Dispatch(
                self.config, self.members, self.upstream_states, self.retry_budget, self.suspects
            ),
        ]
        return {
            "entry": chain.Chain([admission, authentication, *shared_steps]),
            "arrival": chain.Chain([admission, forwarded_check, *shared_steps]),
        }

    @property
    def closed(self) -> bool:
        """Return whether a graceful shutdown is complete."""
        return self.store_session.closed

    def begin(
        self, request: requests.Request, hop: requests.Hop | None, now: float
    ) -> request_lifecycle.NextAction | None:
        """Begin a new request; return its outcome, or None if it waits and one follows later.

        Args:
            request: The request.
            hop: What came with the request from the instance that forwarded it, or None if a
                caller sent it.
            now: Monotonic seconds.
        """
        return self.in_flight.begin(request, hop, now)

    def resume(
        self, request_id: str, reply: typing.Any, now: float
    ) -> request_lifecycle.NextAction | None:
        """Continue a request with the reply that it waited for; return as for ``begin``."""
        return self.in_flight.resume(request_id, reply, now)

    def finish(
        self, message: request_lifecycle.Finish, now: float
    ) -> request_context.RequestContext | None:
        """Settle a finished request; return its state, or None if the request is not known."""
        context = self.in_flight.remove(message)
        if context is None:
            return None
        if message.crashed_upstream:
            poison.record_crash(context, self.suspects, message.crashed_upstream, now)
        elif message.error is not None and context.head is not None and context.upstream:
            self.upstream_states.record_failure(context.upstream, now)
        self.in_flight.settle(message, context, now)
        return context

    def begin_drain(self, now: float) -> None:
        """Begin a graceful shutdown and announce it to the peers at once."""
        self.shutdown.begin(now)
        self.members.own.leaving = True
        self.gossip.announce_state(now)

    def tick(self, now: float) -> None:
        """Run the periodic work of all controllers."""
        self.gossip.send_due_heartbeats(now)
        self.members.own.leaving = self.shutdown.leaving
        if self.config.ready() and not self.members.own.ready:
            self.members.own.ready = True
            self.gossip.announce_state(now)
        self.members.own.config_age = int(min(65535, max(0.0, self.config.age(now))))
        infos = self.members.alive()
        self.config.update_watcher_role(
            zone=self.members.own.zone, live=infos, own=self.members.own, now=now
        )
        self.config.tick(now)
        for info in self.members.expire(now):
            self.reclaimer.track(info.instance, info.region)
        region_infos = [
            info for info in infos if info.region == self.members.own.region and info.ready
        ]
        self.store_session.set_wanted_electorate(
            [info.instance for info in region_infos if not info.leaving], now
        )
        self.store_session.tick(
            now, {info.instance: self.members.address_of(info) for info in region_infos}
        )
        self.slices.tick(now)
        self.rate_limiter.tick(now)
        self.reclaimer.tick(now)
        self.operations.tick(now, self.time.wall())
        self.orders.tick(now)
        self.suspects.expire(now)
        self.placement.tick(now)
        self._advance_shutdown(now)

    def on_watch(self, event: store.KeysChanged | store.WatchLost, now: float) -> None:
        """Process an event of the watch on the store."""
        _inputs.on_watch(event, self, now)

    def on_store(self, reply: commands.StoreReply, now: float) -> None:
        """Process the store's reply to a call."""
        if type(reply.reply) is not store.CallFailed:
            self.store_session.record_contact(reply.sent_at)
        _inputs.on_store(reply.purpose, self, reply, now)

    def on_peer(self, body: peers.Body, sender: str, now: float) -> peers.Body:
        """Process a message of a peer and return the reply to it."""
        return _inputs.on_peer(body, self, now)

    def on_upstream_notice(self, notice: upstream_notices.UpstreamNotice, now: float) -> None:
        """Record what an answer said of its upstream."""
        self.upstream_states.record_notice(notice, now)

    def on_peer_reply(self, reply: commands.PeerReply, now: float) -> None:
        """Process a peer's reply to a call, or the failure of the call."""
        if reply.body is None and reply.call.instance:
            self.members.record_call_failure(reply.call.instance)
        _inputs.on_peer_reply(reply.call.purpose, self, reply, now)

    def take_commands(self, now: float) -> list[commands.Command | request_lifecycle.NextAction]:
        """Return and clear the commands that are waiting.

        Requests that a command wakes are resumed first, and what they cause is returned too.
        """
        collected: list[commands.Command | request_lifecycle.NextAction] = []
        self.gossip.send_urgent_heartbeats(now)
        while batch := self._collect_commands():
            for command in batch:
                if (
                    type(command) is commands.WakeRequest
                    and command.request_id in self.in_flight.contexts
                ):
                    outcome = self.resume(command.request_id, command.reply, now)
                    collected.extend([outcome] if outcome is not None else [])
                else:
                    collected.append(command)
        return collected

    def directions(self, account: str) -> directions.InstanceSelection:
        """Return the instances that a client account is to send its requests to."""
        return directions.select_instances(
            account,
            config=self.config,
            members=self.members,
            ttl_s=self.settings.callers.list_ttl_s,
        )

    def account_of(self, key_digest: str) -> str:
        """Return the name of the client account that a key belongs to.

        Args:
            key_digest: Digest of the key, or an empty string when the caller sent none.

        Raises:
            errors.GatewayError: When the key is missing, unknown or withdrawn.
        """
        key = self.config.catalog.keys_by_digest.get(key_digest)
        if key is None or key.withdrawn:
            code = errors.Code.KEY_UNKNOWN if key_digest else errors.Code.KEY_MISSING
            raise errors.GatewayError(code, step=authenticate.Authenticate.step)
        return key.account

    def _collect_commands(self) -> list[commands.Command | request_lifecycle.NextAction]:
        sources = (
            self,
            self.in_flight,
            self.gossip,
            self.members,
            self.config,
            self.store_session,
            self.rate_limiter,
            self.slices,
            self.reclaimer,
            self.operations,
            self.orders,
            self.upstream_states,
            self.placement,
            self.suspects,
        )
        batch = list(itertools.chain.from_iterable(source.outbox for source in sources))
        for source in sources:
            source.outbox.clear()
        return batch

    def _state_for_log(self, now: float) -> dict[str, typing.Any]:
        """Return fields about this instance's state that every request's log events carry."""
        return {"config_age_s": round(min(self.config.age(now), MAX_LOGGED_AGE_S), 1)}

    def _on_entry_changed(self, changed_entry: typing.Any) -> None:
        """Pass on a changed rate: the account's slices may have to be created."""
        if changed_entry.kind == "rate" and changed_entry.spec is not None:
            self.slices.on_rate_changed(changed_entry.name)

    def _advance_shutdown(self, now: float) -> None:
        """Hand over slices, go to the next phase when possible, and stop spending at the end."""
        if not self.shutdown.leaving:
            return
        in_handover = self.shutdown.phase is drain.Phase.HANDING_OVER
        if in_handover and self.rate_limiter.may_lend:
            self.rate_limiter.return_all_loans(now)
        slices_handed_over = in_handover and self.slices.leave(now)
        self.shutdown.advance(
            now, open_requests=len(self.in_flight.contexts), handed_over=slices_handed_over
        )
        if self.shutdown.phase is drain.Phase.DONE and not self.store_session.closed:
            self.store_session.close()
