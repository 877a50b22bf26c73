"""Simulates several instances with a fake store, network and upstreams, in virtual time."""

from __future__ import annotations

import functools
import itertools
import random
import typing

from fakes import instances, network, request_flow, virtual_time
from fakes import store as fake_store
from yuccahitch import errors
from yuccahitch import settings as config_file
from yuccahitch.codecs import peer as codec
from yuccahitch.codecs import resources
from yuccahitch.codecs.generated import peer_pb2
from yuccahitch.controllers.instance import gateway
from yuccahitch.controllers.placement import rules as policy
from yuccahitch.messages import actions, answers, commands, request_lifecycle, requests, store
from yuccahitch.resources import entry

# Interval of the instances' ticks, in seconds.
TICK_S = 0.1
# Time until a lost call to the store or to a peer fails, in seconds.
CALL_TIMEOUT_S = 2.0
# Extra time until a lost call to the store fails, in seconds.
FAILURE_DELAY_S = 0.2


# Runs a dispatched request: called with the fleet, the instance, the dispatch, and a function that
# reports the outcome ("head", "end" or "failure").
UpstreamHandler = typing.Callable[
    ["Fleet", instances.Instance, actions.Dispatch, typing.Callable[..., None]], None
]


class Fleet:
    """A simulated fleet of instances with one store, one network and the upstreams.

    Args:
        seed: Seed of all randomness.
        make_settings: Returns the settings of an instance, given its name, region and zone.
        serve: Handler of all upstreams, by default ``request_flow.serve_at_once``.
        rules: Rules of the policy in force, or None for the default.

    Attributes:
        clock: Virtual time.
        rng: Seeded source of the instances' seeds and of the offsets of their ticks.
        net: The simulated network.
        store: The fake store.
        instances: All instances that were started, by id.
        id_numbers: Numbers for the ids of instances and requests.
        results: Results of the requests sent with `request`, by request id.
        wake_replies: Replies to operators' calls, by ticket.
        log_events: Log events as (virtual time in seconds, instance, event).
        peer_calls: Number of calls between instances.
        store_calls: Number of calls to the store.
        peer_bytes: Bytes of the calls between instances and of their answers.
        forwards: Forwarded requests as (request id, source, target).
        callers: Caller of each request, by instance and request id.
        on_store_call: Carries out the calls to the store; tests replace it to lose or delay calls.
        order_engine: Fake engine that receives the orders; set by tests that send orders.
        on_admission: Called with instance and request id when an instance dispatches or forwards
            a request that it received from a caller; tests replace it.
    """

    __slots__ = (
        "clock",
        "rng",
        "net",
        "store",
        "instances",
        "make_settings",
        "serve",
        "rules",
        "id_numbers",
        "results",
        "wake_replies",
        "log_events",
        "peer_calls",
        "store_calls",
        "peer_bytes",
        "forwards",
        "callers",
        "on_store_call",
        "order_engine",
        "on_admission",
    )

    def __init__(
        self,
        seed: int,
        *,
        make_settings: typing.Callable[[str, str, str], config_file.Settings],
        serve: UpstreamHandler | None = None,
        rules: policy.Rules | None = None,
    ) -> None:
        self.clock = virtual_time.VirtualClock()
        self.rng = random.Random(seed)
        self.net = network.Network(random.Random(seed + 1))
        self.store = fake_store.FakeStore()
        self.store.listeners.append(self._on_store_change)
        self.instances: dict[str, instances.Instance] = {}
        self.make_settings = make_settings
        self.serve = serve or request_flow.serve_at_once
        self.rules = rules
        self.id_numbers = itertools.count(1)
        self.results: dict[str, request_flow.RequestResult] = {}
        self.wake_replies: dict[str, typing.Any] = {}
        self.log_events: list[tuple[float, str, commands.LogEvent]] = []
        self.peer_calls = 0
        self.store_calls = 0
        self.peer_bytes = 0
        self.forwards: list[tuple[str, str, str]] = []
        self.callers: dict[tuple[str, str], typing.Any] = {}
        self.on_store_call = self.call_store
        self.order_engine: typing.Any = None
        self.on_admission: typing.Callable[[instances.Instance, str], None] = (
            lambda instance, name: None
        )

    @property
    def now(self) -> float:
        """Return virtual time in seconds."""
        return self.clock.now

    def add(
        self,
        name: str,
        region: str,
        zone: str = "",
        *,
        clock_rate: float = 1.0,
        clock_offset: float = 0.0,
    ) -> instances.Instance:
        """Start an instance, with the running instances as its seeds."""
        incarnation = f"{name}~{next(self.id_numbers)}"
        decisions = gateway.Gateway(
            self.make_settings(name, region, zone or f"{region}1"),
            instance=incarnation,
            time=virtual_time.SimulatedClock(self.clock),
            rng=random.Random(self.rng.random()),
            new_id=lambda: f"id{next(self.id_numbers)}",
            rules=self.rules,
        )
        decisions.members.own.host = incarnation
        decisions.members.own.wan_address = decisions.members.own.address
        decisions.members.seeds = [other.decisions.members.own.address for other in self.alive()]
        new_instance = instances.Instance(
            decisions, region=region, clock_rate=clock_rate, clock_offset=clock_offset
        )
        self.instances[incarnation] = new_instance
        self.clock.schedule_after(self.rng.random() * TICK_S, lambda: self._tick(new_instance))
        return new_instance

    def alive(self) -> list[instances.Instance]:
        """Return the running instances."""
        return [item for item in self.instances.values() if item.alive]

    def load(self, resource_entries: typing.Iterable[entry.Entry]) -> None:
        """Write resources to the store and to the catalog of every running instance."""
        entries = list(resource_entries)
        for item in entries:
            key = f"config/{item.kind}/{item.name}"
            self.store.revision += 1
            self.store.put(store.Put(key, resources.entry_to_bytes(item)))
        for instance in self.alive():
            instance.decisions.config.merge_and_push(entries)
            self._execute_commands(instance)

    def run(self, seconds: float) -> None:
        """Advance virtual time by some seconds."""
        self.clock.run_until(self.now + seconds)

    def kill(self, instance: instances.Instance) -> None:
        """End an instance at once, as by SIGKILL.

        Requests forwarded to it fail at their senders after the call timeout.
        """
        instance.alive = False
        for (name, _), caller in list(self.callers.items()):
            if (
                name == instance.name
                and type(caller) is request_flow.PeerCaller
                and not caller.is_finished
            ):
                self.clock.schedule_after(CALL_TIMEOUT_S, caller.on_connection_lost)

    def leave(self, instance: instances.Instance) -> None:
        """End an instance once its graceful shutdown is complete.

        If it has handed everything over and can reach the store, it records its departure there
        and ends its lease first.
        """
        if not instance.alive:
            return
        if not instance.decisions.store_session.closed:
            self.clock.schedule_after(TICK_S, lambda: self.leave(instance))
            return
        name, lease = instance.name, instance.decisions.store_session.lease
        if instance.decisions.shutdown.hand_over_complete and self._store_link_delivers(
            instance, from_store=False
        ):
            self.store.revision += 1
            self.store.put(store.Put(f"left/{name}", b"graceful"))
            self.store.remove(f"pins/{name}")
            self.store.end_lease(lease)
        self.kill(instance)

    def pause(self, instance: instances.Instance, seconds: float) -> None:
        """Suspend an instance for some seconds; its callbacks run after the pause."""
        instance.paused_until = self.now + seconds
        self.clock.schedule_after(seconds, lambda: self._unpause(instance))

    def run_on(self, instance: instances.Instance, handler: typing.Callable[[float], None]) -> None:
        """Run a handler on an instance with its local time, now or after its pause.

        The commands that result are carried out; a stopped instance runs nothing.
        """
        if not instance.alive:
            return
        if self.now < instance.paused_until:
            instance.backlog.append(lambda: self.run_on(instance, handler))
            return
        handler(instance.local_time(self.now))
        self._execute_commands(instance)

    def request(
        self,
        instance: instances.Instance,
        request: requests.Request,
        hop: requests.Hop | None = None,
    ) -> request_flow.RequestResult:
        """Send a request to an instance and return the result, which fills as time advances.

        The deadline of the request is a time of the instance's clock.
        """
        result = request_flow.RequestResult(request, instance.name, self.now)
        self.results[request.id] = result

        def begin(now: float) -> None:
            next_action = instance.decisions.begin(request, hop, now)
            if next_action is not None:
                self.execute_action(instance, next_action, self._direct_caller(instance, result))

        self.run_on(instance, begin)
        return result

    def finish(
        self,
        instance: instances.Instance,
        request_id: str,
        *,
        usage: answers.Usage,
        succeeded: bool = True,
        error: errors.GatewayError | None = None,
        crashed: str = "",
        recorded: answers.RecordedAnswer | None = None,
    ) -> None:
        """Finish a request on an instance."""
        message = request_lifecycle.Finish(
            request_id,
            succeeded=succeeded,
            usage=usage,
            error=error,
            crashed_upstream=crashed,
            recorded_answer=recorded,
        )
        self.run_on(instance, lambda now: instance.decisions.finish(message, now) and None)

    def peer_delay(self, source: instances.Instance, target: instances.Instance) -> float:
        """Return the one-way delay of a message between two instances, in seconds."""
        return self.net.delay(source.region, target.region)

    def reachable(self, source: instances.Instance, target: instances.Instance) -> bool:
        """Return whether a message sent now reaches its target, drawing its loss at random."""
        return target.alive and self.net.delivers(
            (source.name, source.region), (target.name, target.region)
        )

    def instance_by_address(self, address: str) -> instances.Instance | None:
        """Return the instance that listens on a peer address, or None."""
        return self.instances.get(address.rpartition(":")[0])

    def _direct_caller(
        self, instance: instances.Instance, result: request_flow.RequestResult
    ) -> typing.Any:
        return request_flow.DirectCaller(self, instance, result)

    def _tick(self, instance: instances.Instance) -> None:
        """Run the periodic tick of an instance and schedule the next one."""
        if not instance.alive:
            return
        self.run_on(instance, instance.decisions.tick)
        self.clock.schedule_after(TICK_S, lambda: self._tick(instance))

    def _unpause(self, instance: instances.Instance) -> None:
        """Run the callbacks that arrived while an instance was paused."""
        backlog, instance.backlog = instance.backlog, []
        for handler in backlog:
            handler()

    def _execute_commands(self, instance: instances.Instance) -> None:
        """Carry out the commands that an instance has issued since the last call."""
        for command in instance.decisions.take_commands(instance.local_time(self.now)):
            _execute_command(command, self, instance)

    def execute_action(
        self,
        instance: instances.Instance,
        next_action: request_lifecycle.NextAction,
        caller: typing.Any,
    ) -> None:
        """Carry out the next action that an instance decided on for a request."""
        self.callers[(instance.name, next_action.request_id)] = caller
        request_flow.execute_action(next_action.action, self, instance, next_action, caller)

    def resume(
        self,
        instance: instances.Instance,
        request_id: str,
        answer_part: typing.Any,
        caller: typing.Any,
    ) -> None:
        """Resume a request on an instance with the head of its answer or with a failure."""

        def handler(now: float) -> None:
            next_action = instance.decisions.resume(request_id, answer_part, now)
            if next_action is not None:
                self.execute_action(instance, next_action, caller)

        self.run_on(instance, handler)

    def _on_store_change(self, key: str, item: store.KeyValue | None, revision: int) -> None:
        """Send a change of the store to the instances that watch its key."""
        for instance in self.alive():
            if instance.watched_prefix is None or not key.startswith(instance.watched_prefix):
                continue
            if self.net.store_down or not self._store_link_delivers(instance, from_store=True):
                continue
            change = store.KeysChanged(
                [store.KeyChange(key, item, revision=revision)], revision=revision
            )
            self.clock.schedule_after(
                self.net.store_delay(instance.region),
                functools.partial(
                    self.run_on, instance, functools.partial(_apply_change, instance, change)
                ),
            )

    def _store_link_delivers(self, instance: instances.Instance, *, from_store: bool) -> bool:
        """Return whether a message between an instance and the store is delivered."""
        endpoints = ((instance.name, instance.region), (network.STORE, network.STORE))
        source, target = endpoints[::-1] if from_store else endpoints
        return self.net.delivers(source, target)

    def call_store(self, instance: instances.Instance, store_call: commands.StoreCall) -> None:
        """Send a call to the store and return its reply to the instance.

        If the network loses either, the call fails after the timeout and may have been applied.
        """
        self.store_calls += 1
        sent_at = instance.local_time(self.now)

        def reply(value: store.Reply) -> None:
            message = commands.StoreReply(purpose=store_call.purpose, reply=value, sent_at=sent_at)
            self.run_on(instance, lambda now: instance.decisions.on_store(message, now))

        def arrive() -> None:
            if self.net.store_down:
                fail_call()
                return
            value = self.store.apply(store_call.call, self.now)
            if self._store_link_delivers(instance, from_store=True):
                self.clock.schedule_after(
                    self.net.store_delay(instance.region), lambda: reply(value)
                )
            else:
                fail_call()

        def fail_call() -> None:
            """Return a failure to the instance after the timeout."""
            failed = store.CallFailed(may_have_applied=True, detail="time-out")
            self.clock.schedule_after(CALL_TIMEOUT_S + FAILURE_DELAY_S, lambda: reply(failed))

        if self._store_link_delivers(instance, from_store=False):
            self.clock.schedule_after(self.net.store_delay(instance.region), arrive)
        else:
            fail_call()

    def call_peer(self, source: instances.Instance, call: commands.PeerCall) -> None:
        """Send a message to a peer and return its answer to the source.

        If the network loses either, the source receives None after the timeout.
        """
        target = self.instance_by_address(call.address)
        sent_at = source.local_time(self.now)
        encoded = codec.to_envelope(call.body, stamp=0).SerializeToString()
        self.peer_calls += 1
        self.peer_bytes += len(encoded)

        def reply(body: typing.Any) -> None:
            message = commands.PeerReply(call=call, body=body, error=None, sent_at=sent_at)
            self.run_on(source, lambda now: source.decisions.on_peer_reply(message, now))

        def arrive() -> None:
            if target is None or not target.alive:
                self.clock.schedule_after(0.0, lambda: reply(None))
                return
            self.run_on(target, handle_call)

        def handle_call(now: float) -> None:
            """Handle the message at the target and send its answer."""
            body = codec.from_envelope(peer_pb2.Envelope.FromString(encoded))
            answer_body = target.decisions.on_peer(body, source.name, now)
            encoded_reply = codec.to_envelope(answer_body, stamp=0).SerializeToString()
            self.peer_bytes += len(encoded_reply)
            if self.reachable(target, source):
                value = codec.from_envelope(peer_pb2.Envelope.FromString(encoded_reply))
                self.clock.schedule_after(self.peer_delay(target, source), lambda: reply(value))
            else:
                self.clock.schedule_after(CALL_TIMEOUT_S, lambda: reply(None))

        if target is not None and self.reachable(source, target):
            self.clock.schedule_after(self.peer_delay(source, target), arrive)
        else:
            self.clock.schedule_after(CALL_TIMEOUT_S, lambda: reply(None))


def _apply_change(instance: instances.Instance, change: store.KeysChanged, now: float) -> None:
    """Apply a change of watched keys to the configuration of an instance."""
    instance.decisions.config.apply_change(change, now)


@functools.singledispatch
def _execute_command(command: typing.Any, fleet: Fleet, instance: instances.Instance) -> None:
    """Carry out a command that an instance issued."""
    raise TypeError(type(command))


@_execute_command.register
def _(command: commands.StoreCall, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.on_store_call(instance, command)


@_execute_command.register
def _(command: commands.PeerCall, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.call_peer(instance, command)


@_execute_command.register
def _(command: commands.WatchStore, fleet: Fleet, instance: instances.Instance) -> None:
    instance.watched_prefix = command.prefix if command.active else None


@_execute_command.register
def _(command: commands.SendOrder, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.order_engine.handle_order(fleet, instance, command)


@_execute_command.register
def _(command: commands.LogEvent, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.log_events.append((fleet.now, instance.name, command))


@_execute_command.register
def _(command: commands.WakeRequest, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.wake_replies[command.request_id] = command.reply


@_execute_command.register
def _(command: request_lifecycle.NextAction, fleet: Fleet, instance: instances.Instance) -> None:
    caller = fleet.callers.get((instance.name, command.request_id))
    if caller is None:
        result = fleet.results.get(command.request_id)
        caller = request_flow.DirectCaller(fleet, instance, result) if result is not None else None
    if caller is not None:
        fleet.execute_action(instance, command, caller)
