"""The operators' configuration: taken from the store or from peers, never replaced by an older one.

One instance a zone watches the store; it passes what is new on to its zone and to the watchers of
other zones. A small key that each write touches lets the watcher see that a watch has gone silent.
"""

from __future__ import annotations

import functools
import math
import typing

from yuccahitch import errors, events, records
from yuccahitch.codecs import resources as codec
from yuccahitch.controllers import references, rendezvous
from yuccahitch.messages import commands, peers, store
from yuccahitch.resources import catalog, entry

STEP = "configuration"
PREFIX = "config/"
HEAD = "config-head"
HEAD_CHECK_S = 1.0
WATCH_GRACE_S = 1.0
PUSH_FANOUT = 64
MAX_ENTRIES_PER_MESSAGE = 2048
WRITE_ATTEMPTS = 8


class ReadAll(records.Record):
    """Purpose: a full read of the configuration."""

    __slots__ = ()


class CheckHead(records.Record):
    """Purpose: a look at the revision of the last write."""

    __slots__ = ()


class Repair(records.Record):
    """Purpose: a newer entry is written over an older one in the store."""

    __slots__ = ()


class Pulled(records.Record):
    """Purpose: entries were asked from a peer."""

    __slots__ = ("instance",)

    def __init__(self, instance: str) -> None:
        self.instance = instance


class Write(records.Record):
    """An operator's write on its way; also the purpose of its calls.

    Attributes:
        ticket: Identifies the waiting operator.
        item: The entry to write; its version is set once the current one is known.
        expected: Version that the operator saw, or None for any.
        attempts: Calls so far.
        in_doubt: Whether a call's answer was lost.
    """

    __slots__ = ("ticket", "item", "expected", "attempts", "in_doubt")

    def __init__(self, ticket: str, item: entry.Entry, *, expected: int | None) -> None:
        self.ticket = ticket
        self.item = item
        self.expected = expected
        self.attempts = 0
        self.in_doubt = False


class ReadFirst(records.Record):
    """Purpose: read the entry that a write is to replace."""

    __slots__ = ("write",)

    def __init__(self, write: Write) -> None:
        self.write = write


class Written(records.Record):
    """Reply to an operator's write: the entry in force, or the error."""

    __slots__ = ("item", "error")

    def __init__(self, item: entry.Entry | None, error: errors.GatewayError | None) -> None:
        self.item = item
        self.error = error


class Configuration:
    """Holds the catalog and keeps it current.

    Args:
        instance: Id of this instance.
        region: Its region.
        resync_s: Time between full reads of the store by a watcher.
    """

    __slots__ = (
        "instance",
        "region",
        "catalog",
        "resync_s",
        "synced_at",
        "watching",
        "head_revision",
        "head_seen_at",
        "watched_revision",
        "read_at",
        "head_checked_at",
        "cursors",
        "peers_to_tell",
        "reading",
        "listeners",
        "outbox",
    )

    def __init__(self, instance: str, *, region: str, resync_s: float = 60.0) -> None:
        self.instance = instance
        self.region = region
        self.catalog = catalog.Catalog()
        self.resync_s = resync_s
        self.synced_at = -math.inf
        self.watching = False
        self.head_revision = 0
        self.head_seen_at = 0.0
        self.watched_revision = 0
        self.read_at = -math.inf
        self.head_checked_at = -math.inf
        self.cursors: dict[str, int] = {}
        self.peers_to_tell: list[peers.InstanceInfo] = []
        self.reading = False
        self.listeners: list[typing.Callable[[entry.Entry], None]] = []
        self.outbox: list[commands.Command] = []

    def age(self, now: float) -> float:
        """Return for how many seconds the configuration may have been out of date."""
        return now - self.synced_at

    def ready(self) -> bool:
        """Return whether a configuration was ever read."""
        return self.synced_at > -math.inf

    def assign(
        self, *, zone: str, rows: list[peers.InstanceInfo], own: peers.InstanceInfo, now: float
    ) -> None:
        """Become the zone's watcher or stop being it, as the live instances say."""
        zone_names = [row.instance for row in rows if row.zone == zone] + [own.instance]
        watching = rendezvous.first(f"watch {zone}", zone_names) == own.instance
        self.peers_to_tell = _audience(rows, own) if watching else []
        if watching != self.watching:
            self.watching = watching
            self.reading = False
            if watching:
                self.read_at = -math.inf
            else:
                self.outbox.append(commands.WatchStore(prefix=PREFIX, revision=0, active=False))

    def tick(self, now: float) -> None:
        """Read or check the store when it is time; every instance reads once at its start."""
        if not self.watching:
            if not self.ready() and not self.reading:
                self._read_all(now)
            return
        overdue = now - self.read_at > self.resync_s
        silent = (
            self.head_revision > self.watched_revision and now - self.head_seen_at > WATCH_GRACE_S
        )
        if (overdue or silent) and not self.reading:
            self._read_all(now)
        if now - self.head_checked_at > HEAD_CHECK_S:
            self.head_checked_at = now
            self.outbox.append(commands.StoreCall(store.Range(HEAD), CheckHead()))

    def changed(self, change: store.KeysChanged, now: float) -> None:
        """Take in what the watch saw."""
        found = [item for _, item in change.items if item is not None]
        self.watched_revision = max(self.watched_revision, change.revision)
        self._take_items(found)

    def watch_lost(self) -> None:
        """Read everything again, as changes may have been missed."""
        self.read_at = -math.inf

    def receive(self, message: peers.Entries, *, sender: str, pulled: bool, now: float) -> None:
        """Take in entries from a peer; what was new to a watcher goes on to its zone."""
        fresh = self.take(message.entries)
        if pulled:
            self.cursors[sender] = message.arrivals
            if message.digest != self.catalog.digest and not fresh and message.arrivals:
                self.cursors[sender] = 0
        if fresh:
            self._push(fresh, skip=sender)

    def compare(self, gossip: peers.Gossip, *, now: float) -> None:
        """Compare catalogs with a peer and ask for what it has more."""
        row = gossip.sender
        if gossip.digest == self.catalog.digest:
            self.cursors[row.instance] = gossip.arrivals
            if row.config_age < 65535:
                self.synced_at = max(self.synced_at, now - row.config_age - 1)
            return
        since = self.cursors.get(row.instance, 0)
        if gossip.arrivals < since:
            since = 0
        call = commands.PeerCall(
            instance=row.instance,
            address=row.address_from(self.region),
            body=peers.PullEntries(since),
            purpose=Pulled(row.instance),
        )
        self.outbox.append(call)

    def pull(self, request: peers.PullEntries) -> peers.Entries:
        """Answer a peer that asks for entries."""
        late = self.catalog.entries_after(request.since)[:MAX_ENTRIES_PER_MESSAGE]
        arrivals = (
            self.catalog.arrival_numbers[(late[-1].kind, late[-1].name)] if late else request.since
        )
        return peers.Entries(late, arrivals=arrivals, digest=self.catalog.digest)

    def take(self, entries: typing.Iterable[entry.Entry]) -> list[entry.Entry]:
        """Merge entries and return those that were new."""
        offered = list(entries)
        fresh = [item for item in offered if self.catalog.merge(item)]
        for item, listener in [(item, tell) for item in fresh for tell in self.listeners]:
            listener(item)
        if fresh:
            names = [f"{item.kind}/{item.name}@{item.version}" for item in fresh[:8]]
            note = commands.LogEvent(events.Event.CONFIG_APPLIED, count=len(fresh), first=names)
            self.outbox.append(note)
        return fresh

    def publish(self, entries: list[entry.Entry]) -> None:
        """Take in entries that did not come from the store and pass on what is new."""
        fresh = self.take(entries)
        if fresh:
            self._push(fresh, skip="")

    def write(self, write: Write) -> None:
        """Begin an operator's write."""
        problem = references.conflict(write.item, self.catalog)
        if problem:
            self._settle(write, error=_refusal(errors.Code.RESOURCE_CONFLICT, problem))
            return
        self._read_first(write)

    def problem(self, write: Write) -> errors.GatewayError | None:
        """Return why a write would be refused as far as this instance knows, or None."""
        conflict = references.conflict(write.item, self.catalog)
        if conflict:
            return _refusal(errors.Code.RESOURCE_CONFLICT, conflict)
        known = self.catalog.entries.get((write.item.kind, write.item.name))
        current = known.version if known is not None and known.spec is not None else 0
        return _version_problem(write, current)

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Take in the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, sent_at, now)

    def _read_first(self, write: Write) -> None:
        write.attempts += 1
        if write.attempts > WRITE_ATTEMPTS:
            code = errors.Code.STORE_UNSETTLED if write.in_doubt else errors.Code.STORE_UNAVAILABLE
            self._settle(write, error=_refusal(code, "the store did not answer"))
            return
        call = store.Range(_key(write.item))
        self.outbox.append(commands.StoreCall(call, ReadFirst(write)))

    def _settle(
        self,
        write: Write,
        *,
        item: entry.Entry | None = None,
        error: errors.GatewayError | None = None,
    ) -> None:
        if item is not None:
            self.publish([item])
        self.outbox.append(commands.WakeRequest(write.ticket, Written(item, error)))

    def _read_all(self, now: float) -> None:
        self.reading = True
        self.read_at = now
        self.outbox.append(commands.StoreCall(store.Range(PREFIX, prefix=True), ReadAll()))

    def _take_items(self, items: list[store.KeyValue]) -> None:
        entries, broken = [], []
        for item in items:
            try:
                entries.append(codec.entry_from_bytes(item.value))
            except errors.GatewayError as error:
                broken.append(f"{item.key}: {error.detail}")
        if broken:
            self.outbox.append(commands.LogEvent(events.Event.CONFIG_STALE, broken=broken[:8]))
        fresh = self.take(entries)
        if fresh:
            self._push(fresh, skip="")

    def _push(self, fresh: list[entry.Entry], *, skip: str) -> None:
        message = peers.Entries(fresh, arrivals=0, digest=self.catalog.digest)
        self.outbox.extend(
            commands.PeerCall(
                instance=row.instance, address=row.address_from(self.region), body=message
            )
            for row in self.peers_to_tell[:PUSH_FANOUT]
            if row.instance != skip
        )

    def _repair(self, items: list[store.KeyValue]) -> None:
        stored: dict[str, tuple[entry.Entry, int]] = {}
        for item in items:
            try:
                stored[item.key] = (codec.entry_from_bytes(item.value), item.revision)
            except errors.GatewayError:
                continue
        for (kind, _), known in self.catalog.entries.items():
            if kind not in entry.OPERATOR_KINDS:
                continue
            old, revision = stored.get(_key(known), (None, 0))
            if old is not None and old.version_key >= known.version_key:
                continue
            commit = store.Commit(
                conditions=[store.Condition(_key(known), revision)],
                changes=[store.Put(_key(known), codec.entry_to_bytes(known))],
            )
            self.outbox.append(commands.StoreCall(commit, Repair()))
            name = f"{known.kind}/{known.name}"
            note = commands.LogEvent(events.Event.CONFIG_REPAIRED, name=name, version=known.version)
            self.outbox.append(note)


def new_entry(kind: str, name: str, *, write_id: str, spec: entry.Spec | None) -> entry.Entry:
    """Return an entry whose version is not known yet."""
    return entry.Entry(kind=kind, name=name, version=0, write_id=write_id, spec=spec)


@functools.singledispatch
def _on_store(
    purpose: typing.Any, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(
    purpose: ReadAll, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    config.reading = False
    if type(reply) is not store.RangeReply:
        config.read_at = now - config.resync_s + HEAD_CHECK_S
        return
    config._take_items(reply.items)
    config.synced_at = max(config.synced_at, sent_at)
    if config.watching:
        config.watched_revision = max(config.watched_revision, reply.revision)
        config._repair(reply.items)
        watch = commands.WatchStore(prefix=PREFIX, revision=reply.revision + 1, active=True)
        config.outbox.append(watch)


@_on_store.register
def _(
    purpose: CheckHead, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    if type(reply) is not store.RangeReply:
        return
    head = max((item.revision for item in reply.items), default=0)
    if head > config.head_revision:
        config.head_revision = head
        config.head_seen_at = now
    elif head < config.head_revision:
        config.head_revision = head
        config.watched_revision = min(config.watched_revision, reply.revision)
        config.read_at = -math.inf
    if head <= config.watched_revision and config.ready():
        config.synced_at = max(config.synced_at, sent_at)


@_on_store.register
def _(
    purpose: Repair, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    """Nothing to do: the next full read shows what the repair did not reach."""


@_on_store.register
def _(
    purpose: ReadFirst, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    write = purpose.write
    if type(reply) is not store.RangeReply:
        config._read_first(write)
        return
    stored = codec.entry_from_bytes(reply.items[0].value) if reply.items else None
    revision = reply.items[0].revision if reply.items else 0
    if stored is not None and stored.write_id == write.item.write_id:
        config._settle(write, item=stored)
        return
    known = config.catalog.entries.get((write.item.kind, write.item.name))
    newest = max((e for e in (stored, known) if e is not None), key=_rank, default=None)
    current = newest.version if newest is not None and newest.spec is not None else 0
    problem = _version_problem(write, current)
    if problem is not None:
        config._settle(write, error=problem)
        return
    write.item.version = (newest.version if newest is not None else 0) + 1
    commit = store.Commit(
        conditions=[store.Condition(_key(write.item), revision)],
        changes=[
            store.Put(_key(write.item), codec.entry_to_bytes(write.item)),
            store.Put(HEAD, write.item.write_id.encode()),
        ],
    )
    config.outbox.append(commands.StoreCall(commit, write))


@_on_store.register
def _(
    purpose: Write, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    if type(reply) is store.CommitReply and reply.applied:
        config._settle(purpose, item=purpose.item)
        return
    purpose.in_doubt = purpose.in_doubt or (
        type(reply) is store.CallFailed and reply.may_have_applied
    )
    config._read_first(purpose)


def _version_problem(write: Write, current: int) -> errors.GatewayError | None:
    if write.item.spec is None and current == 0:
        return _refusal(errors.Code.RESOURCE_UNKNOWN, "")
    if write.expected is not None and write.expected != current:
        if write.in_doubt:
            detail = f"an earlier try may have been applied; the current version is {current}"
            return _refusal(errors.Code.STORE_UNSETTLED, detail)
        return _refusal(errors.Code.RESOURCE_STALE, f"the current version is {current}")
    return None


def _rank(item: entry.Entry) -> tuple[int, str]:
    return item.version_key


def _key(item: entry.Entry) -> str:
    return f"{PREFIX}{item.kind}/{item.name}"


def _audience(rows: list[peers.InstanceInfo], own: peers.InstanceInfo) -> list[peers.InstanceInfo]:
    """Return the instances of the own zone and the watchers of the other zones."""
    mates = [row for row in rows if row.zone == own.zone]
    others: dict[str, list[peers.InstanceInfo]] = {}
    for row in rows:
        if row.zone != own.zone:
            others.setdefault(row.zone, []).append(row)
    watchers = [
        rendezvous.first(f"watch {zone}", [row.instance for row in members])
        for zone, members in others.items()
    ]
    return mates + [row for row in rows if row.instance in set(watchers)]


def _refusal(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, peer="store", detail=detail)
