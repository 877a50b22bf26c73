"""The operators' configuration, read from the store or from peers; newer versions always win.

One instance of each zone, the watcher, watches the store and pushes new entries to the instances of
its zone and to the watchers of the other zones. Each write also changes a small key, the head; its
revision shows the watcher that the watch has stalled. After each read of the head the watcher tells
its zone that the configuration is up to date; who is not told watches the store too.
"""

from __future__ import annotations

import functools
import math
import typing

from yuccahitch import errors, events, records
from yuccahitch.codecs import resources as codec
from yuccahitch.controllers.config import references, watcher_role
from yuccahitch.messages import commands, peers, store
from yuccahitch.resources import catalog, entry

STEP = "configuration"
PREFIX = "config/"
HEAD_KEY = "config-head"
HEAD_CHECK_INTERVAL_S = 1.0
MAX_WATCH_LAG_S = 1.0  # a watch that is longer behind the head counts as stalled
MAX_PUSH_TARGETS = 64
MAX_ENTRIES_PER_MESSAGE = 2048
MAX_WRITE_ATTEMPTS = 8


class FullRead(records.Record):
    """Purpose of the call that reads the whole configuration from the store."""

    __slots__ = ()


class HeadCheck(records.Record):
    """Purpose of the call that reads the head key, for the revision of the last write."""

    __slots__ = ()


class Repair(records.Record):
    """Purpose of the call that replaces an older entry in the store by the known newer one."""

    __slots__ = ()


class EntriesPull(records.Record):
    """Purpose of the call that asks the peer ``instance`` for its newer entries."""

    __slots__ = ("instance",)

    def __init__(self, instance: str) -> None:
        self.instance = instance


class Write(records.Record):
    """An operator's write that is not finished; also the purpose of the call that commits it.

    Attributes:
        ticket: Identifies the operator's call that waits for the result.
        resource: The entry to write; its version is set once the current one is known.
        expected_version: Version that the operator saw, or None to replace any version.
        attempts: Number of attempts so far, at most ``MAX_WRITE_ATTEMPTS``.
        outcome_unknown: Whether the reply to an attempt was lost after it was sent.
    """

    __slots__ = ("ticket", "resource", "expected_version", "attempts", "outcome_unknown")

    def __init__(self, ticket: str, resource: entry.Entry, *, expected_version: int | None) -> None:
        self.ticket = ticket
        self.resource = resource
        self.expected_version = expected_version
        self.attempts = 0
        self.outcome_unknown = False


class CurrentEntryRead(records.Record):
    """Purpose of the call that reads the stored entry which a write is to replace."""

    __slots__ = ("write",)

    def __init__(self, write: Write) -> None:
        self.write = write


class WriteResult(records.Record):
    """Result of an operator's write: the entry in force, or the error."""

    __slots__ = ("resource", "error")

    def __init__(self, resource: entry.Entry | None, error: errors.GatewayError | None) -> None:
        self.resource = resource
        self.error = error


class Configuration:
    """Holds the catalog of resources and keeps it up to date.

    Args:
        instance: Id of this instance.
        region: Region of this instance.
        resync_s: Seconds between full reads of the store by a watcher.
    """

    __slots__ = (
        "instance",
        "region",
        "catalog",
        "resync_s",
        "synced_at",
        "watching",
        "head_revision",
        "head_changed_at",
        "applied_revision",
        "last_full_read_at",
        "head_checked_at",
        "pull_cursors",
        "role",
        "full_read_pending",
        "listeners",
        "outbox",
    )

    def __init__(self, instance: str, *, region: str, resync_s: float = 60.0) -> None:
        self.instance = instance
        self.region = region
        self.catalog = catalog.Catalog()
        self.resync_s = resync_s
        # Times are monotonic seconds, revisions are those of the store.
        self.synced_at = -math.inf  # when the catalog was last known to be up to date
        self.watching = False  # whether this instance watches the store
        self.role = watcher_role.WatcherRole()
        self.head_revision = 0  # revision of the head key
        self.head_changed_at = 0.0  # when head_revision last grew
        self.applied_revision = 0  # changes up to this revision are in the catalog
        self.last_full_read_at = -math.inf  # -inf: a full read is due
        self.head_checked_at = -math.inf  # when the head key was last read
        self.pull_cursors: dict[str, int] = {}  # by peer: its last arrival number pulled
        self.full_read_pending = False  # a FullRead awaits the store's reply
        self.listeners: list[typing.Callable[[entry.Entry], None]] = []  # called for new entries
        self.outbox: list[commands.Command] = []

    def age(self, now: float) -> float:
        """Return the seconds since the configuration was last known to be up to date."""
        return now - self.synced_at

    def ready(self) -> bool:
        """Return whether a configuration has been read since the start."""
        return self.synced_at > -math.inf

    def update_watcher_role(
        self, *, zone: str, live: list[peers.InstanceInfo], own: peers.InstanceInfo, now: float
    ) -> None:
        """Begin or stop watching the store, as the role of this instance says."""
        watching = self.role.update(zone=zone, live=live, own=own, now=now)
        if watching != self.watching:
            self.watching = watching
            self.full_read_pending = False
            if watching:
                self.last_full_read_at = -math.inf
                reason = "watcher of the zone" if self.role.is_watcher else "not told of changes"
                log_event = commands.LogEvent(events.Event.STORE_WATCHED, reason=reason)
                self.outbox.append(log_event)
            else:
                self.outbox.append(commands.WatchStore(prefix=PREFIX, revision=0, active=False))

    def tick(self, now: float) -> None:
        """Read the store if that is due; instances that don't watch read it only at their start."""
        if not self.watching:
            if not self.ready() and not self.full_read_pending:
                self._begin_full_read(now)
            return
        full_read_due = now - self.last_full_read_at > self.resync_s
        watch_stalled = (
            self.head_revision > self.applied_revision
            and now - self.head_changed_at > MAX_WATCH_LAG_S
        )
        if (full_read_due or watch_stalled) and not self.full_read_pending:
            self._begin_full_read(now)
        if now - self.head_checked_at > HEAD_CHECK_INTERVAL_S:
            self.head_checked_at = now
            self.outbox.append(commands.StoreCall(store.Range(HEAD_KEY), HeadCheck()))

    def apply_change(self, change: store.KeysChanged, now: float) -> None:
        """Apply changes that the watch on the store reported."""
        changed_items = [entry.item for entry in change.changes if entry.item is not None]
        self.applied_revision = max(self.applied_revision, change.revision)
        self._merge_stored_items(changed_items)

    def on_watch_lost(self) -> None:
        """Request a full read after the watch broke, as changes may have been missed."""
        self.last_full_read_at = -math.inf

    def receive_entries(
        self, message: peers.Entries, *, sender: str, pulled: bool, now: float
    ) -> None:
        """Merge a peer's entries and push the new ones; ``pulled``: the peer was asked for them."""
        added = self.merge_entries(message.entries)
        if message.age_s is not None and message.digest == self.catalog.digest:
            self._confirm_told(now - message.age_s)
        if pulled:
            self.pull_cursors[sender] = message.arrivals
            if message.digest != self.catalog.digest and not added and message.arrivals:
                self.pull_cursors[sender] = 0
        if added:
            self._push_to_peers(added, exclude=sender)

    def compare_with_peer(self, gossip: peers.Gossip, *, now: float) -> None:
        """Compare the catalog with that of a peer, and ask the peer for its newer entries."""
        info = gossip.sender
        if gossip.digest == self.catalog.digest:
            self.pull_cursors[info.instance] = gossip.arrivals
            if info.config_age < 65535:
                self._confirm_told(now - info.config_age - 1)
            return
        since = self.pull_cursors.get(info.instance, 0)
        if gossip.arrivals < since:
            since = 0
        call = commands.PeerCall(
            instance=info.instance,
            address=info.address_from(self.region),
            body=peers.PullEntries(since),
            purpose=EntriesPull(info.instance),
        )
        self.outbox.append(call)

    def _confirm_told(self, at: float) -> None:
        """Record that the catalog was up to date at a moment, as another instance tells."""
        self.synced_at = max(self.synced_at, at)
        self.role.confirm(at)

    def tell_zone(self, now: float) -> None:
        """Tell the instances of the zone how old the catalog is, if this is its watcher."""
        message = peers.Entries(
            [], arrivals=0, digest=self.catalog.digest, age_s=max(0.0, self.age(now))
        )
        self._send(message, self.role.zone_targets[:MAX_PUSH_TARGETS])

    def answer_pull(self, request: peers.PullEntries) -> peers.Entries:
        """Return the entries that a peer asks for, the earliest arrivals first."""
        newer = self.catalog.entries_after(request.since)[:MAX_ENTRIES_PER_MESSAGE]
        arrivals = (
            self.catalog.arrival_numbers[(newer[-1].kind, newer[-1].name)]
            if newer
            else request.since
        )
        return peers.Entries(newer, arrivals=arrivals, digest=self.catalog.digest)

    def merge_entries(self, entries: typing.Iterable[entry.Entry]) -> list[entry.Entry]:
        """Merge entries into the catalog, call the listeners and return the new entries."""
        offered = list(entries)
        added = [resource for resource in offered if self.catalog.merge(resource)]
        for resource, listener in [
            (resource, callback) for resource in added for callback in self.listeners
        ]:
            listener(resource)
        if added:
            names = [
                f"{resource.kind}/{resource.name}@{resource.version}" for resource in added[:8]
            ]
            log_event = commands.LogEvent(
                events.Event.CONFIG_APPLIED, count=len(added), first=names
            )
            self.outbox.append(log_event)
        return added

    def merge_and_push(self, entries: list[entry.Entry]) -> None:
        """Merge entries and push the new ones."""
        added = self.merge_entries(entries)
        if added:
            self._push_to_peers(added, exclude="")

    def begin_write(self, write: Write) -> None:
        """Begin an operator's write by reading the stored entry, or refuse it."""
        problem = references.find_conflict(write.resource, self.catalog)
        if problem:
            self._finish_write(write, error=_refusal(errors.Code.RESOURCE_CONFLICT, problem))
            return
        self._read_current_entry(write)

    def check_write(self, write: Write) -> errors.GatewayError | None:
        """Return the error that a write would get according to this instance's catalog, or None."""
        conflict = references.find_conflict(write.resource, self.catalog)
        if conflict:
            return _refusal(errors.Code.RESOURCE_CONFLICT, conflict)
        known = self.catalog.entries.get((write.resource.kind, write.resource.name))
        current_version = known.version if known is not None and known.spec is not None else 0
        return _check_version(write, current_version)

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Process the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, sent_at, now)

    def _read_current_entry(self, write: Write) -> None:
        """Begin an attempt of a write by reading the stored entry."""
        write.attempts += 1
        if write.attempts > MAX_WRITE_ATTEMPTS:
            code = (
                errors.Code.STORE_UNSETTLED
                if write.outcome_unknown
                else errors.Code.STORE_UNAVAILABLE
            )
            self._finish_write(write, error=_refusal(code, "the store did not answer"))
            return
        call = store.Range(_store_key(write.resource))
        self.outbox.append(commands.StoreCall(call, CurrentEntryRead(write)))

    def _finish_write(
        self,
        write: Write,
        *,
        resource: entry.Entry | None = None,
        error: errors.GatewayError | None = None,
    ) -> None:
        """Reply to the operator with the entry in force or the error."""
        if resource is not None:
            self.merge_and_push([resource])
        self.outbox.append(commands.WakeRequest(write.ticket, WriteResult(resource, error)))

    def _begin_full_read(self, now: float) -> None:
        self.full_read_pending = True
        self.last_full_read_at = now
        self.outbox.append(commands.StoreCall(store.Range(PREFIX, prefix=True), FullRead()))

    def _merge_stored_items(self, items: list[store.KeyValue]) -> None:
        """Merge the entries that store items hold, push the new ones and log unreadable ones."""
        entries, broken = [], []
        for item in items:
            try:
                entries.append(codec.entry_from_bytes(item.value))
            except errors.GatewayError as error:
                broken.append(f"{item.key}: {error.detail}")
        if broken:
            self.outbox.append(commands.LogEvent(events.Event.CONFIG_STALE, broken=broken[:8]))
        self.merge_and_push(entries)

    def _push_to_peers(self, added: list[entry.Entry], *, exclude: str) -> None:
        """Send entries to the push targets except the instance ``exclude``."""
        message = peers.Entries(added, arrivals=0, digest=self.catalog.digest)
        targets = self.role.push_targets[:MAX_PUSH_TARGETS]
        self._send(message, [info for info in targets if info.instance != exclude])

    def _send(self, message: peers.Entries, receivers: list[peers.InstanceInfo]) -> None:
        self.outbox.extend(
            commands.PeerCall(
                instance=info.instance, address=info.address_from(self.region), body=message
            )
            for info in receivers
        )

    def _repair_store(self, items: list[store.KeyValue]) -> None:
        """Write the known entries to the store that are older or missing in a full read."""
        stored: dict[str, tuple[entry.Entry, int]] = {}
        for item in items:
            try:
                stored[item.key] = (codec.entry_from_bytes(item.value), item.revision)
            except errors.GatewayError:
                continue
        for (kind, _), known in self.catalog.entries.items():
            if kind not in entry.OPERATOR_KINDS:
                continue
            stored_entry, revision = stored.get(_store_key(known), (None, 0))
            if stored_entry is not None and stored_entry.version_key >= known.version_key:
                continue
            commit = store.Commit(
                conditions=[store.Condition(_store_key(known), revision)],
                changes=[store.Put(_store_key(known), codec.entry_to_bytes(known))],
            )
            self.outbox.append(commands.StoreCall(commit, Repair()))
            name = f"{known.kind}/{known.name}"
            log_event = commands.LogEvent(
                events.Event.CONFIG_REPAIRED, name=name, version=known.version
            )
            self.outbox.append(log_event)


def new_entry(kind: str, name: str, *, write_id: str, spec: entry.Spec | None) -> entry.Entry:
    """Return an entry for a write; its version is set when the stored one is known."""
    return entry.Entry(kind=kind, name=name, version=0, write_id=write_id, spec=spec)


@functools.singledispatch
def _on_store(
    purpose: typing.Any, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(
    purpose: FullRead, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    config.full_read_pending = False
    if type(reply) is not store.RangeReply:
        config.last_full_read_at = now - config.resync_s + HEAD_CHECK_INTERVAL_S
        return
    config._merge_stored_items(reply.items)
    if not config.ready():
        config.role.confirm(sent_at)
    config.synced_at = max(config.synced_at, sent_at)
    if config.watching:
        config.applied_revision = max(config.applied_revision, reply.revision)
        config._repair_store(reply.items)
        watch = commands.WatchStore(prefix=PREFIX, revision=reply.revision + 1, active=True)
        config.outbox.append(watch)


@_on_store.register
def _(
    purpose: HeadCheck, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    if type(reply) is not store.RangeReply:
        return
    current_head = max((item.revision for item in reply.items), default=0)
    if current_head > config.head_revision:
        config.head_revision = current_head
        config.head_changed_at = now
    elif current_head < config.head_revision:
        config.head_revision = current_head
        config.applied_revision = min(config.applied_revision, reply.revision)
        config.last_full_read_at = -math.inf  # the store was set back to an older state
    if current_head <= config.applied_revision and config.ready():
        config.synced_at = max(config.synced_at, sent_at)
        config.tell_zone(now)


@_on_store.register
def _(
    purpose: Repair, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    """Nothing to do: the next full read finds the entries whose repair failed."""


@_on_store.register
def _(
    purpose: CurrentEntryRead, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    write = purpose.write
    if type(reply) is not store.RangeReply:
        config._read_current_entry(write)
        return
    stored = codec.entry_from_bytes(reply.items[0].value) if reply.items else None
    revision = reply.items[0].revision if reply.items else 0
    if stored is not None and stored.write_id == write.resource.write_id:
        config._finish_write(write, resource=stored)
        return
    known = config.catalog.entries.get((write.resource.kind, write.resource.name))
    found = [resource for resource in (stored, known) if resource is not None]
    newest = max(found, key=lambda resource: resource.version_key, default=None)
    current_version = newest.version if newest is not None and newest.spec is not None else 0
    problem = _check_version(write, current_version)
    if problem is not None:
        config._finish_write(write, error=problem)
        return
    write.resource.version = (newest.version if newest is not None else 0) + 1
    commit = store.Commit(
        conditions=[store.Condition(_store_key(write.resource), revision)],
        changes=[
            store.Put(_store_key(write.resource), codec.entry_to_bytes(write.resource)),
            store.Put(HEAD_KEY, write.resource.write_id.encode()),
        ],
    )
    config.outbox.append(commands.StoreCall(commit, write))


@_on_store.register
def _(
    purpose: Write, config: Configuration, reply: store.Reply, sent_at: float, now: float
) -> None:
    if type(reply) is store.CommitReply and reply.applied:
        config._finish_write(purpose, resource=purpose.resource)
        return
    purpose.outcome_unknown = purpose.outcome_unknown or (
        type(reply) is store.CallFailed and reply.may_have_applied
    )
    config._read_current_entry(purpose)


def _check_version(write: Write, current_version: int) -> errors.GatewayError | None:
    """Return the error of a write that expects another version, or None; 0: no such resource."""
    if write.resource.spec is None and current_version == 0:
        return _refusal(errors.Code.RESOURCE_UNKNOWN, "")
    if write.expected_version is not None and write.expected_version != current_version:
        if write.outcome_unknown:
            detail = (
                f"an earlier attempt may have succeeded; the current version is {current_version}"
            )
            return _refusal(errors.Code.STORE_UNSETTLED, detail)
        return _refusal(errors.Code.RESOURCE_STALE, f"the current version is {current_version}")
    return None


def _store_key(resource: entry.Entry) -> str:
    return f"{PREFIX}{resource.kind}/{resource.name}"


def _refusal(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, peer="store", detail=detail)
