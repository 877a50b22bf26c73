"""Several instances' decisions with a fake store and network, in virtual time."""

from __future__ import annotations

import functools
import itertools
import random
import typing

from fakes import clockwork, instances, network, runs
from fakes import store as fake_store
from yuccahitch import errors
from yuccahitch import settings as config_file
from yuccahitch.codecs import peer as codec
from yuccahitch.codecs import resources
from yuccahitch.codecs.generated import peer_pb2
from yuccahitch.controllers import gateway
from yuccahitch.controllers import rules as policy
from yuccahitch.messages import actions, answers, commands, request_lifecycle, requests, store
from yuccahitch.resources import entry

TICK_S = 0.1
CALL_TIMEOUT_S = 2.0
FAIL_PAUSE_S = 0.2


Serve = typing.Callable[
    ["Fleet", instances.Instance, actions.Dispatch, typing.Callable[..., None]], None
]


class Fleet:
    """Instances, store and network.

    Args:
        seed: Seed of all randomness.
        settings_of: Makes the settings of an instance from name, region and zone.
        serve: The upstreams: takes a dispatched request and reports its parts.
        rules: Rules of the policy in force.
    """

    __slots__ = (
        "clock",
        "rng",
        "net",
        "store",
        "instances",
        "settings_of",
        "serve",
        "rules",
        "numbers",
        "results",
        "tickets",
        "notes",
        "peer_calls",
        "store_calls",
        "peer_bytes",
        "forwards",
        "callers",
        "store_route",
        "engine",
        "on_admission",
    )

    def __init__(
        self,
        seed: int,
        *,
        settings_of: typing.Callable[[str, str, str], config_file.Settings],
        serve: Serve | None = None,
        rules: policy.Rules | None = None,
    ) -> None:
        self.clock = clockwork.Clockwork()
        self.rng = random.Random(seed)
        self.net = network.Network(random.Random(seed + 1))
        self.store = fake_store.FakeStore()
        self.store.listeners.append(self._store_changed)
        self.instances: dict[str, instances.Instance] = {}
        self.settings_of = settings_of
        self.serve = serve or runs.serve_at_once
        self.rules = rules
        self.numbers = itertools.count(1)
        self.results: dict[str, runs.Result] = {}
        self.tickets: dict[str, typing.Any] = {}
        self.notes: list[tuple[float, str, commands.LogEvent]] = []
        self.peer_calls = 0
        self.store_calls = 0
        self.peer_bytes = 0
        self.forwards: list[tuple[str, str, str]] = []
        self.callers: dict[tuple[str, str], typing.Any] = {}
        self.store_route = self.call_store
        self.engine: typing.Any = None
        self.on_admission: typing.Callable[[instances.Instance, str], None] = (
            lambda instance, name: None
        )

    @property
    def now(self) -> float:
        """Return virtual time in seconds."""
        return self.clock.now

    def add(
        self, name: str, region: str, zone: str = "", *, rate: float = 1.0, offset: float = 0.0
    ) -> instances.Instance:
        """Start an instance; it knows the addresses of those that run."""
        incarnation = f"{name}~{next(self.numbers)}"
        decisions = gateway.Gateway(
            self.settings_of(name, region, zone or f"{region}1"),
            instance=incarnation,
            time=clockwork.WallClock(self.clock),
            rng=random.Random(self.rng.random()),
            new_id=lambda: f"id{next(self.numbers)}",
            rules=self.rules,
        )
        decisions.members.own.host = incarnation
        decisions.members.own.wan_address = decisions.members.own.address
        decisions.members.seeds = [other.decisions.members.own.address for other in self.alive()]
        added = instances.Instance(decisions, region=region, rate=rate, offset=offset)
        self.instances[incarnation] = added
        self.clock.after(self.rng.random() * TICK_S, lambda: self._tick(added))
        return added

    def alive(self) -> list[instances.Instance]:
        """Return the instances that run."""
        return [item for item in self.instances.values() if item.alive]

    def load(self, specs: typing.Iterable[entry.Entry]) -> None:
        """Put entries into every running instance's catalog and the store."""
        entries = list(specs)
        for item in entries:
            key = f"config/{item.kind}/{item.name}"
            self.store.revision += 1
            self.store.put(store.Put(key, resources.entry_to_bytes(item)))
        for instance in self.alive():
            instance.decisions.config.merge_and_push(entries)
            self._pass_on(instance)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.clock.run_until(self.now + seconds)

    def kill(self, instance: instances.Instance) -> None:
        """End an instance at once; those that forwarded requests to it see their calls break."""
        instance.alive = False
        for (name, _), caller in list(self.callers.items()):
            if name == instance.name and type(caller) is runs.PeerCaller and not caller.over:
                self.clock.after(CALL_TIMEOUT_S, caller.broken)

    def leave(self, instance: instances.Instance) -> None:
        """Wait for an instance's graceful shutdown; then it tells the store and ends."""
        if not instance.alive:
            return
        if not instance.decisions.store_session.closed:
            self.clock.after(TICK_S, lambda: self.leave(instance))
            return
        name, lease = instance.name, instance.decisions.store_session.lease
        if instance.decisions.shutdown.hand_over_complete and self._store_passes(
            instance, back=False
        ):
            self.store.revision += 1
            self.store.put(store.Put(f"left/{name}", b"graceful"))
            self.store.remove(f"pins/{name}")
            self.store.end_lease(lease)
        self.kill(instance)

    def pause(self, instance: instances.Instance, seconds: float) -> None:
        """Freeze an instance for a while; what comes meanwhile waits."""
        instance.paused_until = self.now + seconds
        self.clock.after(seconds, lambda: self._unpause(instance))

    def do(self, instance: instances.Instance, work: typing.Callable[[float], None]) -> None:
        """Let an instance handle something now, or after its pause."""
        if not instance.alive:
            return
        if self.now < instance.paused_until:
            instance.backlog.append(lambda: self.do(instance, work))
            return
        work(instance.local(self.now))
        self._pass_on(instance)

    def request(
        self,
        instance: instances.Instance,
        request: requests.Request,
        hop: requests.Hop | None = None,
    ) -> runs.Result:
        """Send a request to an instance; its deadline is in the instance's time."""
        result = runs.Result(request, instance.name, self.now)
        self.results[request.id] = result

        def begin(now: float) -> None:
            outcome = instance.decisions.begin(request, hop, now)
            if outcome is not None:
                self.act(instance, outcome, self._direct(instance, result))

        self.do(instance, begin)
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
        """Tell an instance that a request is over."""
        message = request_lifecycle.Finish(
            request_id,
            succeeded=succeeded,
            usage=usage,
            error=error,
            crashed_upstream=crashed,
            recorded_answer=recorded,
        )
        self.do(instance, lambda now: instance.decisions.finish(message, now) and None)

    def peer_delay(self, source: instances.Instance, target: instances.Instance) -> float:
        """Return the delay of a message between two instances."""
        return self.net.delay(source.region, target.region)

    def reachable(self, source: instances.Instance, target: instances.Instance) -> bool:
        """Return whether a message from one instance reaches another."""
        return target.alive and self.net.passes(
            (source.name, source.region), (target.name, target.region)
        )

    def by_address(self, address: str) -> instances.Instance | None:
        """Return the instance with a peer address."""
        return self.instances.get(address.rpartition(":")[0])

    def _direct(self, instance: instances.Instance, result: runs.Result) -> typing.Any:
        return runs.DirectCaller(self, instance, result)

    def _tick(self, instance: instances.Instance) -> None:
        if not instance.alive:
            return
        self.do(instance, instance.decisions.tick)
        self.clock.after(TICK_S, lambda: self._tick(instance))

    def _unpause(self, instance: instances.Instance) -> None:
        backlog, instance.backlog = instance.backlog, []
        for work in backlog:
            work()

    def _pass_on(self, instance: instances.Instance) -> None:
        for item in instance.decisions.take_commands(instance.local(self.now)):
            _pass_on(item, self, instance)

    def act(
        self,
        instance: instances.Instance,
        outcome: request_lifecycle.NextAction,
        caller: typing.Any,
    ) -> None:
        """Carry out what an instance decided about a request."""
        self.callers[(instance.name, outcome.request_id)] = caller
        runs.act(outcome.action, self, instance, outcome, caller)

    def resume(
        self, instance: instances.Instance, request_id: str, part: typing.Any, caller: typing.Any
    ) -> None:
        """Give an instance the first part of an attempt's answer."""

        def work(now: float) -> None:
            outcome = instance.decisions.resume(request_id, part, now)
            if outcome is not None:
                self.act(instance, outcome, caller)

        self.do(instance, work)

    def _store_changed(self, key: str, item: store.KeyValue | None, revision: int) -> None:
        for instance in self.alive():
            if instance.watch is None or not key.startswith(instance.watch):
                continue
            if self.net.store_down or not self._store_passes(instance, back=True):
                continue
            change = store.KeysChanged([(key, item)], revision=revision)
            self.clock.after(
                self.net.store_delay(instance.region),
                functools.partial(self.do, instance, functools.partial(_heard, instance, change)),
            )

    def _store_passes(self, instance: instances.Instance, *, back: bool) -> bool:
        ends = ((instance.name, instance.region), (network.STORE, network.STORE))
        source, target = ends[::-1] if back else ends
        return self.net.passes(source, target)

    def call_store(self, instance: instances.Instance, command: commands.StoreCall) -> None:
        """Carry a call to the store and its reply back, or lose either."""
        self.store_calls += 1
        sent_at = instance.local(self.now)

        def reply(value: store.Reply) -> None:
            message = commands.StoreReply(purpose=command.purpose, reply=value, sent_at=sent_at)
            self.do(instance, lambda now: instance.decisions.on_store(message, now))

        def arrive() -> None:
            if self.net.store_down:
                lost()
                return
            value = self.store.apply(command.call, self.now)
            if self._store_passes(instance, back=True):
                self.clock.after(self.net.store_delay(instance.region), lambda: reply(value))
            else:
                lost()

        def lost() -> None:
            failed = store.CallFailed(may_have_applied=True, detail="time-out")
            self.clock.after(CALL_TIMEOUT_S + FAIL_PAUSE_S, lambda: reply(failed))

        if self._store_passes(instance, back=False):
            self.clock.after(self.net.store_delay(instance.region), arrive)
        else:
            lost()

    def call_peer(self, source: instances.Instance, call: commands.PeerCall) -> None:
        """Carry a message to a peer and its answer back, or lose either."""
        target = self.by_address(call.address)
        sent_at = source.local(self.now)
        raw = codec.to_envelope(call.body, stamp=0).SerializeToString()
        self.peer_calls += 1
        self.peer_bytes += len(raw)

        def reply(body: typing.Any) -> None:
            message = commands.PeerReply(call=call, body=body, error=None, sent_at=sent_at)
            self.do(source, lambda now: source.decisions.on_peer_reply(message, now))

        def arrive() -> None:
            if target is None or not target.alive:
                self.clock.after(0.0, lambda: reply(None))
                return
            self.do(target, answer)

        def answer(now: float) -> None:
            body = codec.from_envelope(peer_pb2.Envelope.FromString(raw))
            answered = target.decisions.on_peer(body, source.name, now)
            back = codec.to_envelope(answered, stamp=0).SerializeToString()
            self.peer_bytes += len(back)
            if self.reachable(target, source):
                value = codec.from_envelope(peer_pb2.Envelope.FromString(back))
                self.clock.after(self.peer_delay(target, source), lambda: reply(value))
            else:
                self.clock.after(CALL_TIMEOUT_S, lambda: reply(None))

        if target is not None and self.reachable(source, target):
            self.clock.after(self.peer_delay(source, target), arrive)
        else:
            self.clock.after(CALL_TIMEOUT_S, lambda: reply(None))


def _heard(instance: instances.Instance, change: store.KeysChanged, now: float) -> None:
    instance.decisions.config.apply_change(change, now)


@functools.singledispatch
def _pass_on(item: typing.Any, fleet: Fleet, instance: instances.Instance) -> None:
    raise TypeError(type(item))


@_pass_on.register
def _(item: commands.StoreCall, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.store_route(instance, item)


@_pass_on.register
def _(item: commands.PeerCall, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.call_peer(instance, item)


@_pass_on.register
def _(item: commands.WatchStore, fleet: Fleet, instance: instances.Instance) -> None:
    instance.watch = item.prefix if item.active else None


@_pass_on.register
def _(item: commands.SendOrder, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.engine.order(fleet, instance, item)


@_pass_on.register
def _(item: commands.LogEvent, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.notes.append((fleet.now, instance.name, item))


@_pass_on.register
def _(item: commands.WakeRequest, fleet: Fleet, instance: instances.Instance) -> None:
    fleet.tickets[item.request_id] = item.reply


@_pass_on.register
def _(item: request_lifecycle.NextAction, fleet: Fleet, instance: instances.Instance) -> None:
    caller = fleet.callers.get((instance.name, item.request_id))
    if caller is None:
        result = fleet.results.get(item.request_id)
        caller = runs.DirectCaller(fleet, instance, result) if result is not None else None
    if caller is not None:
        fleet.act(instance, item, caller)
