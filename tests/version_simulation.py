"""Streams of several software versions before instances that die, in virtual time.

``version_faults`` has the trouble, ``version_checks`` what must hold.
"""

from __future__ import annotations

import collections
import functools
import itertools
import random
import typing

from fakes import platform_store, virtual_time
from tests import (
    platform_builders,
    version_connections,
    version_faults,
    version_streams,
    zone_simulation,
)
from yuccahitch.codecs import datagrams
from yuccahitch.controllers.store_view import freshness
from yuccahitch.messages import commands, pulses, request_lifecycle, store

START = 1000.0
TICK_S = 0.1
WARM_UP_S = 3.0
ZONES = {
    "edge-1": "east-a",
    "edge-2": "east-a",
    "edge-3": "east-a",
    "edge-4": "east-b",
    "edge-5": "west-a",
}
BOUNDS = {"drain_ms": "3000", "config_ms": "4000", "grace_s": "8"}
STORE_DELAY_S = (0.002, 0.03)
CALL_TIMEOUT_S = 0.5
# Share of the store's replies that are lost while it is in trouble, and when a call whose reply is
# lost may still be carried out, in seconds.
LOST_REPLIES = 0.3
LATE_CALL_S = (0.0, 3.0)
DATAGRAM_LOSS = 0.01
# Time between two new streams, in seconds.
STREAM_INTERVAL_S = 0.25
# Pauses of callers before they take a stream up, in seconds, beside those drawn up to the longest.
PAUSES_S = (0.05, 0.3, 1.0)
MAX_PAUSE_S = 8.0
# When callers leave that leave in the middle, in seconds after their request.
LEAVE_S = (0.5, 3.0)
TRIES = 5


class Site:
    """Instances with their store, upstreams and callers.

    Args:
        seed: Seed of all random choices.

    Attributes:
        numbers: Numbers of instances and requests.
        clock: Virtual time.
        store: The store.
        edges: The running instances by name.
        runs: Open requests by instance name and request id.
        watches: Open watches by instance name and prefix.
        upstreams: All upstreams by name.
        connections: Idle connections of the instances to upstreams.
        streams: All streams.
        cut_until: Until when each instance is cut off from the store, in virtual seconds.
        paused_until: Until when each instance stands still, in virtual seconds.
        touched_at: When each instance, or the store, last had trouble, in virtual seconds.
        lossy_until: Until when replies of the store are lost now and then, in virtual seconds.
        stream_interval_s: Time between two new streams, in seconds.
        leaving_share: Share of the callers that leave in the middle of a stream.
        leave_s: The earliest and the latest moment at which they do, in seconds after they came.
        pauses_s: Pauses of callers before they take a stream up, in seconds.
        max_pause_s: Longest pause beside these, in seconds.
        logged: Number of log events by name.
        notes: What was done to the site, with times.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.clock = virtual_time.VirtualClock()
        self.clock.now = START
        self.store = platform_store.PlatformStore()
        self.edges: dict[str, platform_builders.EdgeUnderTest] = {}
        self.runs: dict[str, dict[str, version_streams.Run]] = {}
        self.watches: dict[tuple[str, str], zone_simulation.Watch] = {}
        self.upstreams: dict[str, version_streams.Upstream] = {}
        self.connections = version_connections.Pools()
        self.streams: list[version_streams.Stream] = []
        self.cut_until: dict[str, float] = {}
        self.paused_until: dict[str, float] = {}
        self.touched_at: dict[str, float] = {}
        self.lossy_until = 0.0
        self.stream_interval_s = STREAM_INTERVAL_S
        self.leaving_share = 0.4
        self.leave_s = LEAVE_S
        self.pauses_s = PAUSES_S
        self.max_pause_s = MAX_PAUSE_S
        self.logged: collections.Counter[str] = collections.Counter()
        self.notes: list[str] = []
        self.publish()
        self.add_upstreams("model", "v1")
        self.add_upstreams("draft", "w1")
        for name in ZONES:
            self.start(name)

    def note(self, text: str) -> None:
        """Record what was done to the site."""
        self.notes.append(f"{self.clock.now - START:.2f} {text}")

    def publish(self) -> None:
        """Write the configuration."""
        options = {"kind": "streaming", "resumable": True, "timeoutMs": 20_000, "maxAttempts": 4}
        backends = [{"service": name, "weight": 1} for name in ("model", "draft")]
        document = platform_builders.a_publication(
            1,
            routes=[
                platform_builders.a_published_route("plan", "/plan/", service="model", **options),
                platform_builders.a_published_route("both", "/both/", backends=backends, **options),
            ],
            services=[
                {"name": name, "healthPath": "/health", "maxConnections": 100}
                for name in ("model", "draft")
            ],
        )
        self.store.write("op/config", platform_builders.to_bytes(document))

    def add_upstreams(self, service: str, version: str) -> None:
        """Let three upstreams of a version begin to serve in east, and one in west."""
        self.note(f"{service} {version} begins to serve")
        for zone in ("east-a", "east-a", "east-b", "west-a"):
            name = f"{version}-{len(self.upstreams)}"
            upstream = version_streams.Upstream(name, service, version, zone, self.clock.now)
            self.upstreams[name] = upstream
            self.register(upstream)

    def replace(self, former: version_streams.Upstream, version: str) -> None:
        """Let an upstream serve that took over the id and the place of a former one."""
        upstream = version_streams.Upstream(
            former.name, former.service, version, former.zone, self.clock.now
        )
        self.upstreams[former.name] = upstream
        self.register(upstream)

    def register(self, upstream: version_streams.Upstream, **fields: typing.Any) -> None:
        """Write the entry of an upstream."""
        entry = platform_builders.a_registration(
            service=upstream.service,
            zone=upstream.zone,
            version=upstream.version,
            address=f"127.0.0.1:{20_000 + list(self.upstreams).index(upstream.name)}",
            capacity=64,
            born=upstream.born_ms,
            **fields,
        )
        self.store.write(f"servers/{upstream.name}", platform_builders.to_bytes(entry))

    def start(self, name: str) -> None:
        """Start an instance."""
        zone = ZONES[name]
        self.touched_at[name] = self.clock.now
        self.runs[name] = {}
        self.edges[name] = platform_builders.EdgeUnderTest(
            name,
            region=zone.partition("-")[0],
            zone=zone,
            now=self.clock.now,
            bounds=BOUNDS,
            incarnation=next(self.numbers),
            first_start=self.clock.now == START,
        )
        self.edges[name].decisions.rng.seed(self.rng.random())
        edge = self.edges[name]
        self.clock.schedule_after(
            self.rng.uniform(0, TICK_S), functools.partial(self._tick, name, edge)
        )

    def kill(self, name: str) -> None:
        """End an instance without notice; its requests break off."""
        if self.edges.pop(name, None) is None:
            return
        self.touched_at[name] = self.clock.now
        self.paused_until.pop(name, None)
        self.connections.drop(name)
        for key in [key for key in self.watches if key[0] == name]:
            del self.watches[key]
        for run in list(self.runs.pop(name).values()):
            if run.ended_at is None:
                self._break_off(run)

    def _break_off(self, run: version_streams.Run) -> None:
        """End a request whose instance is gone, at the others and for its caller."""
        run.close(None, abandoned=True)
        if run.parent is None:
            self.on_run_ended(run)
        elif run.parent.is_open and run.parent.child is run:
            run.parent.child = None
            run.parent.fail(version_faults.PEER_FAILED, may_have_run=True)

    def is_paused(self, name: str) -> bool:
        """Return whether an instance stands still."""
        return self.paused_until.get(name, 0.0) > self.clock.now

    def name_of(self, instance: str) -> str | None:
        """Return the name of a running instance with an id, or None."""
        names = (n for n, edge in self.edges.items() if edge.decisions.instance == instance)
        return next(names, None)

    def defer(self, name: str, seconds: float, function: typing.Callable[[], None]) -> None:
        """Call a function of an instance after some time, or once it stands still no more."""

        def call() -> None:
            if self.is_paused(name):
                self.clock.schedule_at(self.paused_until[name] + 0.001, call)
            else:
                function()
                self._execute_all(name)

        self.clock.schedule_after(seconds, call)

    def _tick(self, name: str, edge: platform_builders.EdgeUnderTest) -> None:
        if self.edges.get(name) is not edge:
            return
        edge.now = self.clock.now
        for key in [key for key in self.watches if key[0] == name]:
            self._poll(name, key[1])
        edge.decisions.tick(self.clock.now)
        self._execute_all(name)
        self.defer(name, TICK_S, functools.partial(self._tick, name, edge))

    def _poll(self, name: str, prefix: str) -> None:
        """Reply to the watch of an instance if there is something to report."""
        watch, edge = self.watches[name, prefix], self.edges[name]
        now = self.clock.now
        if self.is_cut(name):
            if now - watch.polled_at >= watch.wait_s + zone_simulation.POLL_TIMEOUT_S:
                watch.begin_poll(now, freshness.CONFIRMING_WAIT_S)
                edge.decisions.on_watch(store.WatchFailing("cut", prefix=prefix), now)
            return
        if watch.revision > self.store.revision or watch.era not in (None, self.store.era):
            del self.watches[name, prefix]
            lost = store.WatchLost("history", prefix=prefix, era=self.store.era)
            edge.decisions.on_watch(lost, now)
            return
        news = self.store.changes(prefix, watch.revision)
        if not news and now - watch.polled_at < watch.wait_s:
            return
        reply = store.KeysChanged(
            news,
            revision=self.store.revision,
            prefix=prefix,
            after=watch.revision,
            era=self.store.era,
        )
        reply.as_of = freshness.known_until(
            reply, sent_at=watch.polled_at, wait_s=watch.wait_s, now=now
        )
        watch.revision = reply.revision
        longest_s = edge.decisions.times.watch_s
        watch.begin_poll(now, freshness.next_wait_s(reply.as_of, now, longest_s=longest_s))
        edge.decisions.on_watch(reply, now)

    def is_cut(self, name: str) -> bool:
        """Return whether an instance does not reach the store."""
        return self.store.is_away or self.cut_until.get(name, 0.0) > self.clock.now

    def _execute_all(self, name: str) -> None:
        edge = self.edges.get(name)
        if edge is not None:
            for command in edge.decisions.take_commands(self.clock.now):
                _execute(command, self, name)

    def call_store(self, name: str, command: commands.StoreCall) -> None:
        """Send a call of an instance to the store."""
        edge, sent_at = self.edges[name], self.clock.now

        def arrive() -> None:
            if self.is_cut(name):
                failed = store.CallFailed(may_have_applied=False, detail="cut")
                self.defer(name, CALL_TIMEOUT_S, functools.partial(answer, failed, None))
                return
            if self.clock.now < self.lossy_until and self.rng.random() < LOST_REPLIES:
                late = functools.partial(self._carry_out_late, command.call)
                self.clock.schedule_after(self.rng.uniform(*LATE_CALL_S), late)
                lost = store.CallFailed(may_have_applied=True, detail="no reply")
                self.defer(name, CALL_TIMEOUT_S, functools.partial(answer, lost, None))
                return
            reply = self.store.call(command.call, self.clock.now)
            delay_s = self.rng.uniform(*STORE_DELAY_S)
            self.defer(name, delay_s, functools.partial(answer, reply, self.store.era))

        def answer(reply: store.Reply, era: int | None) -> None:
            if self.edges.get(name) is not edge:
                return
            message = commands.StoreReply(
                purpose=command.purpose, reply=reply, sent_at=sent_at, era=era
            )
            edge.now = self.clock.now
            edge.decisions.on_store(message, self.clock.now)

        self.clock.schedule_after(self.rng.uniform(*STORE_DELAY_S), arrive)

    def _carry_out_late(self, call: store.Call) -> None:
        """Carry out a call whose reply is lost."""
        if not self.store.is_away:
            self.store.call(call, self.clock.now)

    def deliver(self, message: pulses.SendDatagram) -> None:
        """Deliver a datagram to its receivers."""
        raw = datagrams.encode(message.report)
        for name, edge in list(self.edges.items()):
            own = edge.decisions.members.own
            if (
                f"{own.host}:{own.peer_port}" in message.addresses
                and self.rng.random() >= DATAGRAM_LOSS
            ):
                self.defer(name, 0.005, functools.partial(self._receive, name, edge, raw))

    def _receive(self, name: str, edge: platform_builders.EdgeUnderTest, raw: bytes) -> None:
        if self.edges.get(name) is edge:
            edge.now = self.clock.now
            edge.receive_pulse(raw)

    def ask(self, stream: version_streams.Stream) -> None:
        """Let a caller ask some instance for its stream, or for the rest of it."""
        serving = [name for name, edge in self.edges.items() if edge.decisions.is_serving()]
        if not serving:
            self.clock.schedule_after(0.5, functools.partial(self.ask, stream))
            return
        name = self.rng.choice(serving)
        request_id = f"s{next(self.numbers)}"
        run = version_streams.Run(self, name, request_id, stream)
        stream.tries.append(run)
        stream.tries_left -= 1
        self.runs[name][request_id] = run
        self.defer(name, 0.01, functools.partial(self._begin, run))
        self.clock.schedule_after(version_streams.PATIENCE_S, functools.partial(self._leave, run))

    def _begin(self, run: version_streams.Run) -> None:
        if run.is_open:
            run.edge.now = self.clock.now
            headers = version_streams.request_headers(run.stream, run.id)
            run.carry_out(run.edge.begin_request(run.stream.path, **headers))

    def _leave(self, run: version_streams.Run) -> None:
        """Let a caller leave a request that is still open."""
        if run.ended_at is None:
            run.close(None, abandoned=True)
            self.on_run_ended(run)

    def on_run_ended(self, run: version_streams.Run) -> None:
        """Let the caller of a request that ended take its stream up, after a pause."""
        self.runs.get(run.instance, {}).pop(run.id, None)
        stream = run.stream
        if not stream.is_whole() and stream.tries_left > 0:
            pause_s = self.rng.choice((*self.pauses_s, self.rng.uniform(0, self.max_pause_s)))
            self.clock.schedule_after(pause_s, functools.partial(self.ask, stream))

    def begin_streams(self) -> None:
        """Let new callers come; some of them leave in the middle and take their stream up."""
        path = self.rng.choice(("/plan/", "/both/"))
        stream = version_streams.Stream(f"{path}{len(self.streams)}", TRIES)
        self.streams.append(stream)
        self.ask(stream)
        if stream.tries and self.rng.random() < self.leaving_share:
            leave = functools.partial(self._leave, stream.tries[0])
            self.clock.schedule_after(self.rng.uniform(*self.leave_s), leave)
        self.clock.schedule_after(self.stream_interval_s, self.begin_streams)

    def run(self, plan: typing.Callable[[Site], float]) -> None:
        """Play with the trouble that a plan schedules; it returns for how long, in seconds."""
        self.clock.schedule_after(0.1, self._expire_leases)
        self.clock.run_until(START + WARM_UP_S)
        self.begin_streams()
        self.clock.run_until(START + WARM_UP_S + plan(self))

    def _expire_leases(self) -> None:
        if not self.store.is_away:
            self.store.expire(self.clock.now)
        self.clock.schedule_after(0.1, self._expire_leases)


@functools.singledispatch
def _execute(command: typing.Any, site: Site, name: str) -> None:
    raise TypeError(type(command))


@_execute.register
def _(command: commands.StoreCall, site: Site, name: str) -> None:
    site.call_store(name, command)


@_execute.register
def _(command: commands.WatchStore, site: Site, name: str) -> None:
    site.watches.pop((name, command.prefix), None)
    if command.active:
        watch = zone_simulation.Watch(command.revision, site.clock.now, command.era)
        site.watches[name, command.prefix] = watch


@_execute.register
def _(command: pulses.SendDatagram, site: Site, name: str) -> None:
    site.deliver(command)


@_execute.register
def _(command: commands.LogEvent, site: Site, name: str) -> None:
    site.logged[command.event.label] += 1


@_execute.register
def _(command: request_lifecycle.NextAction, site: Site, name: str) -> None:
    run = site.runs[name].get(command.request_id)
    if run is not None:
        run.carry_out(command)
