"""Drives the instances of zones on a platform with a store and datagrams, in virtual time."""

from __future__ import annotations

import collections
import functools
import math
import random
import typing

from tests import platform_builders
from yuccahitch.codecs import datagrams
from yuccahitch.controllers.members import fleet
from yuccahitch.controllers.store_view import freshness
from yuccahitch.messages import commands, pulses, request_lifecycle, store

STEP_S = 0.05
# Time after the end of its wait at which a poll without a reply fails.
POLL_TIMEOUT_S = 1.0
CONFIG_KEY = "op/config"


class Watch:
    """An open watch of an instance on a prefix.

    Attributes:
        revision: Revision up to which changes were reported.
        polled_at: When its present poll began, in virtual seconds.
        wait_s: For how long that poll waits in the store, in seconds.
        reply: The reply that is on its way, or None.
        arrives_at: When the reply arrives, in virtual seconds.
        era: Era of the store that it was begun in, or None.
    """

    __slots__ = ("revision", "polled_at", "wait_s", "reply", "arrives_at", "era")

    def __init__(self, revision: int, now: float, era: int | None) -> None:
        self.revision = revision
        self.era = era
        self.begin_poll(now, freshness.CONFIRMING_WAIT_S)

    def begin_poll(self, now: float, wait_s: float) -> None:
        """Begin the next poll."""
        self.polled_at = now
        self.wait_s = wait_s
        self.reply: store.KeysChanged | None = None
        self.arrives_at = now


class Copy:
    """What the store held at one moment."""

    __slots__ = ("items", "history", "leases")

    def __init__(self, site: Site) -> None:
        self.items = dict(site.items)
        self.history = list(site.history)
        self.leases = {lease: set(keys) for lease, keys in site.leases.items()}


class Site:
    """Instances with the store that they share.

    Attributes:
        now: Virtual time in seconds.
        bounds: Bounds in the settings of the instances, or None for the defaults.
        edges: The running instances by name.
        items: What the store holds, by key.
        history: All changes of the store.
        oldest_revision: Revision after which the store still has the history.
        watches: The open watches by instance name and prefix.
        calls: Calls to the store so far.
        cut: Names of instances that don't reach the store.
        muted: Names of instances whose watches get no replies.
        paused: Names of instances that stand still.
        waiting: Datagrams that wait in the sockets of instances that stand still, by instance name.
        reply_delay_s: Time that replies to polls take, by instance name, in seconds.
        loss: Share of the datagrams that are lost, from 0 to 1.
        era: How often the store was restored from an older copy.
        leases: Keys that hang on each lease that the store knows.
        versions: Versions of the configuration that each instance had in force, in order.
        logged: Names of the events that the instances logged.
        dropped: Names of instances whose datagrams are lost.
        deaf: Names of instances that get no datagrams.
        replies_lost: Names of instances whose commits are carried out without a reply.
        refusing: Whether the store refuses all calls without carrying them out.
        calls_by_type: Calls so far by the name of their type.
        copies: Copies of the store, by name.
        renewed: Leases that were renewed.
        outcomes: Next actions of requests that waited, by request id.
    """

    def __init__(
        self, count: int, *, zone: str = "east-a", bounds: dict[str, str] | None = None
    ) -> None:
        self.now = 1000.0
        self.bounds = bounds
        self.edges: dict[str, platform_builders.EdgeUnderTest] = {}
        self.items: dict[str, store.KeyValue] = {}
        self.history: list[store.KeyChange] = []
        self.oldest_revision = 0
        self.era = 1
        self.leases: dict[int, set[str]] = {}
        self.copies: dict[str, Copy] = {}
        self.watches: dict[tuple[str, str], Watch] = {}
        self.calls = 0
        self.renewed: set[int] = set()
        self.outcomes: dict[str, request_lifecycle.NextAction] = {}
        self.cut: set[str] = set()
        self.muted: set[str] = set()
        self.paused: set[str] = set()
        self.waiting: dict[str, list[bytes]] = collections.defaultdict(list)
        self.reply_delay_s: dict[str, float] = {}
        self.dropped: set[str] = set()
        self.deaf: set[str] = set()
        self.replies_lost: set[str] = set()
        self.refusing = False
        self.calls_by_type: collections.Counter[str] = collections.Counter()
        self.loss = 0.0
        self.rng = random.Random(11)
        self.versions: dict[str, list[int]] = collections.defaultdict(list)
        self.logged: set[str] = set()
        self.publish(1)
        for number in range(count):
            self.start(f"edge-{number + 1}", zone=zone)

    @property
    def revision(self) -> int:
        """Return the store's revision."""
        return self.history[-1].revision if self.history else 0

    def start(
        self, name: str, *, zone: str = "east-a", **options: typing.Any
    ) -> platform_builders.EdgeUnderTest:
        """Start an instance; it replaces one of the same name."""
        self.kill(name)
        self.edges[name] = platform_builders.EdgeUnderTest(
            name, zone=zone, now=self.now, bounds=self.bounds, **options
        )
        return self.edges[name]

    def kill(self, name: str) -> None:
        """End an instance without notice."""
        self.edges.pop(name, None)
        self.waiting.pop(name, None)
        self.versions.pop(name, None)
        for key in [key for key in self.watches if key[0] == name]:
            del self.watches[key]

    def write(self, key: str, value: bytes | None) -> None:
        """Write a key of the store, or delete it."""
        revision = self.revision + 1
        item = None
        if value is None:
            self.items.pop(key, None)
        else:
            item = self.items[key] = store.KeyValue(key=key, value=value, revision=revision)
        self.history.append(store.KeyChange(key, item, revision=revision))

    def publish(self, version: int, *, padding: int = 0) -> None:
        """Write a configuration, followed by some white space."""
        document = platform_builders.a_publication(version)
        self.write(CONFIG_KEY, platform_builders.to_bytes(document) + b" " * padding)

    def copy(self, name: str = "") -> None:
        """Keep a copy of the store."""
        self.copies[name] = Copy(self)

    def restore(self, name: str = "") -> None:
        """Let the store come back from a copy: what was written since is gone."""
        copy = self.copies[name]
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.leases = {lease: set(keys) for lease, keys in copy.leases.items()}
        self.oldest_revision = 0
        self.era += 1

    def end_lease(self, lease: int) -> None:
        """End a lease, and delete the keys that hang on it."""
        for key in sorted(self.leases.pop(lease, set())):
            self.write(key, None)

    def listed(self) -> set[str]:
        """Return the names of the instances that the store lists."""
        return {key.removeprefix(fleet.PREFIX) for key in self.items if fleet.PREFIX in key}

    def readers(self) -> list[str]:
        """Return the names of the instances that watch the store."""
        return sorted({name for name, _ in self.watches})

    def run(self, seconds: float) -> None:
        """Let some time pass."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += STEP_S
            for name in [name for name in self.edges if name not in self.paused]:
                self._step(name)

    def _step(self, name: str) -> None:
        edge = self.edges[name]
        edge.now = self.now
        for raw in self.waiting.pop(name, []):
            edge.decisions.on_report(datagrams.decode(raw), self.now)
        for key in [key for key in self.watches if key[0] == name]:
            self._poll(name, key[1])
        edge.decisions.tick(self.now)
        self._execute_all(name)
        config = edge.decisions.config.current
        if config is not None and self.versions[name][-1:] != [config.version]:
            self.versions[name].append(config.version)

    def _poll(self, name: str, prefix: str) -> None:
        """Reply to the watch of an instance if there is something to report."""
        watch, edge = self.watches[name, prefix], self.edges[name]
        if name in self.cut | self.muted:
            if self.now - watch.polled_at >= watch.wait_s + POLL_TIMEOUT_S:
                watch.begin_poll(self.now, freshness.CONFIRMING_WAIT_S)
                self.calls += 1
                edge.decisions.on_watch(store.WatchFailing("cut", prefix=prefix), self.now)
            return
        if watch.reply is not None:
            self._deliver_reply(name, watch)
            return
        is_past = watch.revision < self.oldest_revision or watch.revision > self.revision
        if is_past or watch.era not in (None, self.era):
            del self.watches[name, prefix]
            lost = store.WatchLost("history", prefix=prefix, era=self.era)
            edge.decisions.on_watch(lost, self.now)
            return
        news = [
            change
            for change in self.history
            if change.revision > watch.revision and change.key.startswith(prefix)
        ]
        if news or self.now - watch.polled_at >= watch.wait_s:
            self.calls += 1
            watch.reply = store.KeysChanged(
                news, revision=self.revision, prefix=prefix, after=watch.revision, era=self.era
            )
            watch.arrives_at = self.now + self.reply_delay_s.get(name, 0.0)
            self._deliver_reply(name, watch)

    def _deliver_reply(self, name: str, watch: Watch) -> None:
        """Pass the reply to a poll on if it has arrived, and begin the next poll."""
        if self.now < watch.arrives_at:
            return
        reply, edge = watch.reply, self.edges[name]
        reply.as_of = freshness.known_until(
            reply, sent_at=watch.polled_at, wait_s=watch.wait_s, now=self.now
        )
        watch.revision = reply.revision
        longest_s = edge.decisions.times.watch_s
        watch.begin_poll(
            self.now, freshness.next_wait_s(reply.as_of, self.now, longest_s=longest_s)
        )
        edge.decisions.on_watch(reply, self.now)

    def _execute_all(self, name: str) -> None:
        for command in self.edges[name].decisions.take_commands(self.now):
            _execute(command, self, name)

    def call(self, name: str, command: commands.StoreCall) -> None:
        """Carry out a call of an instance and pass it the reply."""
        self.calls += 1
        self.calls_by_type[type(command.call).__name__] += 1
        reply: store.Reply = store.CallFailed(may_have_applied=False, detail="cut")
        if name not in self.cut and not self.refusing:
            reply = _reply(command.call, self)
        if name in self.replies_lost and type(command.call) is store.Commit:
            reply = store.CallFailed(may_have_applied=True, detail="lost")
        message = commands.StoreReply(
            purpose=command.purpose,
            reply=reply,
            sent_at=self.now,
            era=None if name in self.cut else self.era,
        )
        self.edges[name].decisions.on_store(message, self.now)
        self._execute_all(name)

    def deliver(self, name: str, message: pulses.SendDatagram) -> None:
        """Deliver a datagram of an instance to its receivers."""
        raw = datagrams.encode(message.report)
        for receiver, edge in list(self.edges.items()):
            own = edge.decisions.members.own
            lost = name in self.dropped or self.rng.random() < self.loss
            lost = lost or receiver in self.deaf
            if f"{own.host}:{own.peer_port}" not in message.addresses or lost:
                continue
            if receiver in self.paused:
                self.waiting[receiver].append(raw)
            else:
                edge.decisions.on_report(datagrams.decode(raw), self.now)


@functools.singledispatch
def _execute(command: typing.Any, site: Site, name: str) -> None:
    raise TypeError(type(command))


@_execute.register
def _(command: commands.StoreCall, site: Site, name: str) -> None:
    site.call(name, command)


@_execute.register
def _(command: commands.WatchStore, site: Site, name: str) -> None:
    site.watches.pop((name, command.prefix), None)
    if command.active:
        site.calls += 1
        site.watches[name, command.prefix] = Watch(command.revision, site.now, command.era)


@_execute.register
def _(command: pulses.SendDatagram, site: Site, name: str) -> None:
    site.deliver(name, command)


@_execute.register
def _(command: commands.LogEvent, site: Site, name: str) -> None:
    site.logged.add(command.event.label)


@_execute.register
def _(command: request_lifecycle.NextAction, site: Site, name: str) -> None:
    site.outcomes[command.request_id] = command


@functools.singledispatch
def _reply(call: typing.Any, site: Site) -> store.Reply:
    raise TypeError(type(call))


@_reply.register
def _(call: store.Range, site: Site) -> store.Reply:
    items = [item for key, item in sorted(site.items.items()) if key.startswith(call.key)]
    return store.RangeReply(items, revision=site.revision)


@_reply.register
def _(call: store.GrantLease, site: Site) -> store.Reply:
    lease = 1 + max(site.leases, default=0)
    site.leases[lease] = set()
    return store.LeaseReply(lease=lease, ttl_s=math.inf)


@_reply.register
def _(call: store.KeepAlive, site: Site) -> store.Reply:
    site.renewed.add(call.lease)
    return store.LeaseReply(lease=call.lease, ttl_s=math.inf if call.lease in site.leases else 0.0)


@_reply.register
def _(call: store.RevokeLease, site: Site) -> store.Reply:
    site.end_lease(call.lease)
    return store.LeaseReply(lease=call.lease, ttl_s=0.0)


@_reply.register
def _(call: store.Commit, site: Site) -> store.Reply:
    for condition in call.conditions:
        item = site.items.get(condition.key)
        if condition.revision != (item.revision if item is not None else 0):
            items = [] if item is None else [item]
            return store.CommitReply(applied=False, items=items, revision=0)
    for change in call.changes:
        if change.lease and change.lease not in site.leases:
            return store.CallFailed(may_have_applied=False, detail="no such lease")
        for keys in site.leases.values():
            keys.discard(change.key)
        if change.lease:
            site.leases[change.lease].add(change.key)
        site.write(change.key, change.value)
    return store.CommitReply(applied=True, items=[], revision=site.revision)
