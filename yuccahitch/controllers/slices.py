"""The recorded slices of rates: how many parts of an account's rate and burst each instance owns.

Only a holder gives its parts away; once it is surely dead or has left, another takes them over.
Each change is one compare-and-swap of the account's record.
"""

from __future__ import annotations

import functools
import math
import typing

from yuccahitch import events, records
from yuccahitch.controllers import (
    _holding,
    configuration,
    limits,
    membership,
    rendezvous,
    session,
    slice_record,
)
from yuccahitch.messages import commands, peers, store
from yuccahitch.resources import rate as rate_resource

PREFIX = slice_record.PREFIX
PARTS_PER_RATE = _holding.PARTS_PER_RATE
MIN_KEPT_PARTS = 20_000  # parts that rebalancing leaves to a holder
SETTLE_S = 3.0  # time after the start before missing records are created
MAX_MOVED_FRACTION = 0.5  # of the spare parts, in one rebalancing
MIN_MOVED_PARTS = 10_000  # fewer parts are not worth a move
MIN_BORROWED_FRACTION = 0.1  # of the demand; less borrowing moves no parts
MIN_REREAD_INTERVAL_S = 10.0


class RecordRead(records.Record):
    """Purpose of the read of one account's record."""

    __slots__ = ("account",)

    def __init__(self, account: str) -> None:
        self.account = account


class FullRead(records.Record):
    """Purpose of the read of all records at the beginning of a session, given by generation."""

    __slots__ = ("generation",)

    def __init__(self, generation: int) -> None:
        self.generation = generation


class Creation(records.Record):
    """Purpose of the commit that creates an account's first record."""

    __slots__ = ("record",)

    def __init__(self, record: slice_record.Record) -> None:
        self.record = record


class Transfer(records.Record):
    """A move of own parts to peers, by instance id; neither side uses them until it is decided."""

    __slots__ = ("record", "new_parts")

    def __init__(self, record: slice_record.Record, new_parts: dict[str, int]) -> None:
        self.record = record
        self.new_parts = new_parts


class Slices:
    """Creates, reads and changes the slice records of the client accounts.

    Args:
        instance: Id of this instance.
        members: The live instances.
        store_session: This instance's session in the store.
        rate_limiter: Spends the own slices; it gets the parts and holders of each record.
        config: Holds the catalog.
        new_id: Makes unique ids for writes.
        rebalance_s: Time between rebalancings, in seconds.
    """

    __slots__ = (
        "instance",
        "members",
        "store_session",
        "rate_limiter",
        "config",
        "new_id",
        "rebalance_s",
        "known_records",
        "last_read_at",
        "transfers",
        "generation",
        "next_rebalance_at",
        "creating",
        "filled_accounts",
        "new_rates",
        "started_at",
        "leaving",
        "outbox",
    )

    def __init__(
        self,
        instance: str,
        *,
        members: membership.Membership,
        store_session: session.Session,
        rate_limiter: limits.RateLimiter,
        config: configuration.Configuration,
        new_id: typing.Callable[[], str],
        rebalance_s: float = 30.0,
    ) -> None:
        self.instance = instance
        self.members = members
        self.store_session = store_session
        self.rate_limiter = rate_limiter
        self.config = config
        self.new_id = new_id
        self.rebalance_s = rebalance_s
        self.known_records: dict[str, slice_record.Record] = {}  # by account
        self.last_read_at: dict[str, float] = {}  # by account, in monotonic seconds
        self.transfers: dict[str, Transfer] = {}  # undecided ones, by account
        self.generation = 0  # of the session under which the records were requested
        self.next_rebalance_at = 0.0
        self.creating: set[str] = set()  # accounts whose first record is being written
        self.filled_accounts: set[str] = set()  # must not begin full a second time
        self.new_rates: set[str] = set()  # accounts whose record may have to be created
        self.started_at = math.inf  # time of the first tick
        self.leaving = False  # whether the instance shuts down
        self.outbox: list[commands.Command] = []

    def ensure_loaded(self, rate: rate_resource.Rate, now: float) -> None:
        """Apply the known record of an account before its first use, or request the record."""
        if rate.name not in self.rate_limiter.holdings and rate.name in self.known_records:
            self._apply_own_parts(rate.name, now)
        elif rate.name not in self.known_records:
            self.request_record(rate.name, now)

    def on_rate_changed(self, account: str) -> None:
        """Record that an account's rate is new or changed: its record may have to be created."""
        self.new_rates.add(account)

    def request_record(self, account: str, now: float) -> None:
        """Read an account's record unless it was read within ``MIN_REREAD_INTERVAL_S``."""
        if now - self.last_read_at.get(account, -math.inf) < MIN_REREAD_INTERVAL_S:
            return
        self.last_read_at[account] = now
        self._send_read(account)

    def reread_changed(self, message: peers.SlicesChanged, now: float) -> None:
        """Read the records that a peer reports as changed."""
        for account in message.accounts:
            self.last_read_at[account] = now
            self._send_read(account)

    def tick(self, now: float) -> None:
        """Read all records in a new session, create missing ones and rebalance when due."""
        if self.generation != self.store_session.generation:
            self.generation = self.store_session.generation
            self.rate_limiter.drop_own_slices(now)
            call = store.Range(PREFIX, prefix=True)
            self.outbox.append(commands.StoreCall(call, FullRead(self.generation)))
        self.started_at = min(self.started_at, now)
        if self.new_rates and self.store_session.is_fresh(now) and now - self.started_at > SETTLE_S:
            self._request_missing(now)
        if now < self.next_rebalance_at or not self.store_session.is_fresh(now):
            return
        self.next_rebalance_at = now + self.rebalance_s
        if not self.leaving:
            self._rebalance(now)

    def leave(self, now: float) -> bool:
        """Transfer all unlent parts to other instances; return whether nothing is left to do.

        Parts that are lent must come back first. With no successor, parts stay recorded here.
        """
        self.leaving = True
        parts_remain = False
        for account, holding in self.rate_limiter.holdings.items():
            holding.update(now)
            successors = self._successors(account)
            if successors and holding.unlent_parts() > 0 and account not in self.transfers:
                self._start_transfer(account, {successors[0]: holding.unlent_parts()}, now)
            parts_remain = (
                parts_remain
                or bool(holding.outgoing_loans)
                or (bool(successors) and holding.own_parts > 0)
            )
        return not self.transfers and not parts_remain

    def create_if_missing(self, account: str, now: float) -> None:
        """Create an account's record if none is known and the session is fresh."""
        if (
            account in self.known_records
            or account in self.creating
            or not self.store_session.is_fresh(now)
        ):
            return
        new_parts = self._initial_parts(account)
        if not new_parts:
            return
        self.creating.add(account)
        record = slice_record.Record(
            account=account, holders=new_parts, write_id=self.new_id(), revision=0, unused=True
        )
        commit = store.Commit(
            conditions=[store.Condition(PREFIX + account, 0)],
            changes=[store.Put(PREFIX + account, record.to_bytes())],
        )
        self.outbox.append(commands.StoreCall(commit, Creation(record)))

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Process the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, sent_at, now)

    def apply_record(self, record: slice_record.Record, now: float) -> None:
        """Apply a record unless the one that is known is as new."""
        old = self.known_records.get(record.account)
        if old is not None and old.revision >= record.revision:
            return
        self.known_records[record.account] = record
        self.rate_limiter.record_holders(record.account, tuple(record.holders), now)
        self._apply_own_parts(record.account, now)

    def _apply_own_parts(self, account: str, now: float) -> None:
        """Set the own parts of an account to those in the known record, less pending transfers."""
        record = self.known_records[account]
        rate = self.config.catalog.rate(account)
        if rate is None or self.generation != self.store_session.generation:
            return
        transfer = self.transfers.get(account)
        pending = sum(transfer.new_parts.values()) if transfer is not None else 0
        parts = max(0, record.holders.get(self.instance, 0) - pending)
        fill = record.unused and account not in self.filled_accounts and parts > 0
        if parts > 0:
            self.filled_accounts.add(account)
        self.rate_limiter.current_holding(rate, now).set_own_parts(parts, now, fill=fill)

    def _request_missing(self, now: float) -> None:
        names = [info.instance for info in self.members.serving()]
        accounts, self.new_rates = self.new_rates, set()
        for account in accounts:
            is_responsible = rendezvous.owner(account, names) == self.instance
            if is_responsible and account not in self.known_records:
                self.request_record(account, now)

    def _send_read(self, account: str) -> None:
        self.outbox.append(commands.StoreCall(store.Range(PREFIX + account), RecordRead(account)))

    def _initial_parts(self, account: str) -> dict[str, int]:
        """Divide a new account's parts evenly between its first holders; return them by id."""
        account_spec = self.config.catalog.account(account)
        infos = self.members.serving()
        allowed = account_spec.residency if account_spec is not None else ()
        regions = sorted({info.region for info in infos if not allowed or info.region in allowed})
        names = [
            name for region in regions for name in limits.initial_holders(account, infos, region)
        ]
        if not names:
            return {}
        parts_each, rest = divmod(PARTS_PER_RATE, len(names))
        return {name: parts_each + (rest if name == names[0] else 0) for name in names}

    def _successors(self, account: str) -> list[str]:
        """Return the instances that may inherit the own parts, the most suitable first."""
        infos = [info for info in self.members.serving() if info.instance != self.instance]
        same_region = [info.instance for info in infos if info.region == self.members.own.region]
        other_regions = [info.instance for info in infos if info.region != self.members.own.region]
        return rendezvous.ranked(account, same_region) + rendezvous.ranked(account, other_regions)

    def _rebalance(self, now: float) -> None:
        for account, holding in self.rate_limiter.holdings.items():
            holding.update(now)
            requested_by_peer, holding.requested_by_peer = holding.requested_by_peer, {}
            if account in self.transfers or holding.unlent_parts() <= MIN_KEPT_PARTS:
                continue
            new_parts = self._parts_for_demand(
                holding, requested_by_peer, now
            ) or self._parts_for_regions(holding)
            if new_parts:
                self._start_transfer(account, new_parts, now)

    def _parts_for_demand(
        self, holding: _holding.Holding, requested_by_peer: dict[str, float], now: float
    ) -> dict[str, int]:
        """Return the parts to move to live peers, in proportion to what they asked to borrow."""
        live_requests = {
            name: n for name, n in requested_by_peer.items() if self.members.find(name) is not None
        }
        borrowed = sum(live_requests.values())
        own_demand = holding.demand_rate(now) * self.rebalance_s
        if borrowed <= 0 or borrowed < MIN_BORROWED_FRACTION * (borrowed + own_demand):
            return {}
        spare = holding.unlent_parts() - MIN_KEPT_PARTS
        parts = int(spare * MAX_MOVED_FRACTION * borrowed / (borrowed + own_demand))
        new_parts = {name: int(parts * tokens / borrowed) for name, tokens in live_requests.items()}
        return {name: n for name, n in new_parts.items() if n >= MIN_MOVED_PARTS}

    def _parts_for_regions(self, holding: _holding.Holding) -> dict[str, int]:
        """Return parts for regions without a holder, which would have none if they were cut off.

        Only the holder with the most parts gives some away for this.
        """
        record = self.known_records.get(holding.account)
        if record is None or max(record.holders, key=_by_parts(record)) != self.instance:
            return {}
        account_spec = self.config.catalog.account(holding.account)
        allowed = account_spec.residency if account_spec is not None else ()
        infos = self.members.serving()
        regions = {info.region for info in infos if not allowed or info.region in allowed}
        held = {info.region for info in map(self.members.find, record.holders) if info is not None}
        missing = sorted(regions - held)
        parts_each = holding.unlent_parts() // (len(regions) + 1)
        return {
            limits.initial_holders(holding.account, infos, region)[0]: parts_each
            for region in missing
            if parts_each >= MIN_MOVED_PARTS
        }

    def _start_transfer(self, account: str, new_parts: dict[str, int], now: float) -> None:
        current_record = self.known_records.get(account)
        holding = self.rate_limiter.holdings.get(account)
        if current_record is None or holding is None:
            return
        holding.set_own_parts(holding.own_parts - sum(new_parts.values()), now)
        transfer = Transfer(current_record, new_parts)
        self.transfers[account] = transfer
        self._write_transfer(transfer)

    def _write_transfer(self, transfer: Transfer) -> None:
        holders = dict(transfer.record.holders)
        holders[self.instance] = holders.get(self.instance, 0) - sum(transfer.new_parts.values())
        for name, parts in transfer.new_parts.items():
            holders[name] = holders.get(name, 0) + parts
        record = slice_record.Record(
            account=transfer.record.account,
            holders={name: parts for name, parts in holders.items() if parts > 0},
            write_id=self.new_id(),
            revision=transfer.record.revision,
        )
        commit = store.Commit(
            conditions=[store.Condition(PREFIX + record.account, record.revision)],
            changes=[store.Put(PREFIX + record.account, record.to_bytes())],
        )
        self.outbox.append(commands.StoreCall(commit, TransferWrite(transfer, record)))

    def _notify(self, account: str, names: typing.Iterable[str]) -> None:
        """Tell instances that an account's record has changed."""
        for name in names:
            info = self.members.find(name)
            if info is not None and name != self.instance:
                body = peers.SlicesChanged((account,))
                call = self.members.make_call(info, body)
                self.outbox.append(call)


class TransferWrite(records.Record):
    """Purpose of the commit of a transfer, with the record that it writes."""

    __slots__ = ("transfer", "record")

    def __init__(self, transfer: Transfer, record: slice_record.Record) -> None:
        self.transfer = transfer
        self.record = record


def _by_parts(record: slice_record.Record) -> typing.Callable[[str], tuple[int, str]]:
    return lambda name: (record.holders[name], name)


@functools.singledispatch
def _on_store(
    purpose: typing.Any, slices: Slices, reply: store.Reply, sent_at: float, now: float
) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: RecordRead, slices: Slices, reply: store.Reply, sent_at: float, now: float) -> None:
    if type(reply) is not store.RangeReply:
        slices.last_read_at.pop(purpose.account, None)
        return
    for item in reply.items:
        slices.apply_record(slice_record.from_item(item), now)
    if not reply.items:
        slices.create_if_missing(purpose.account, now)


@_on_store.register
def _(purpose: FullRead, slices: Slices, reply: store.Reply, sent_at: float, now: float) -> None:
    if purpose.generation != slices.store_session.generation:
        return
    if type(reply) is not store.RangeReply:
        slices.generation = 0
        return
    slices.known_records.clear()
    for item in reply.items:
        slices.apply_record(slice_record.from_item(item), now)


@_on_store.register
def _(purpose: Creation, slices: Slices, reply: store.Reply, sent_at: float, now: float) -> None:
    record = purpose.record
    slices.creating.discard(record.account)
    if type(reply) is not store.CommitReply:
        slices.last_read_at.pop(record.account, None)
        return
    if not reply.applied:
        for item in reply.items:
            slices.apply_record(slice_record.from_item(item), now)
        return
    record.revision = reply.revision
    slices.apply_record(record, now)
    log_event = commands.LogEvent(
        events.Event.SLICE_CLAIMED, account=record.account, holders=len(record.holders)
    )
    slices.outbox.append(log_event)
    slices._notify(record.account, record.holders)


@_on_store.register
def _(
    purpose: TransferWrite, slices: Slices, reply: store.Reply, sent_at: float, now: float
) -> None:
    transfer = purpose.transfer
    account = transfer.record.account
    if slices.transfers.get(account) is not transfer:
        return
    if type(reply) is store.CallFailed:
        # The write may still take effect, so the parts stay unused until the outcome is known.
        call = store.Range(PREFIX + account)
        slices.outbox.append(commands.StoreCall(call, TransferReadBack(transfer, purpose.record)))
        return
    if reply.applied:
        del slices.transfers[account]
        purpose.record.revision = reply.revision
        slices.apply_record(purpose.record, now)
        log_event = commands.LogEvent(
            events.Event.SLICE_MOVED, account=account, shares=transfer.new_parts
        )
        slices.outbox.append(log_event)
        slices._notify(account, transfer.new_parts)
        return
    for item in reply.items:
        _resolve_transfer(slices, transfer, purpose.record, slice_record.from_item(item), now)


class TransferReadBack(records.Record):
    """Purpose of the read that finds out whether a transfer whose reply was lost was written."""

    __slots__ = ("transfer", "record")

    def __init__(self, transfer: Transfer, record: slice_record.Record) -> None:
        self.transfer = transfer
        self.record = record


@_on_store.register
def _(
    purpose: TransferReadBack, slices: Slices, reply: store.Reply, sent_at: float, now: float
) -> None:
    account = purpose.transfer.record.account
    if slices.transfers.get(account) is not purpose.transfer:
        return
    if type(reply) is not store.RangeReply or not reply.items:
        call = store.Range(PREFIX + account)
        slices.outbox.append(commands.StoreCall(call, purpose))
        return
    _resolve_transfer(
        slices, purpose.transfer, purpose.record, slice_record.from_item(reply.items[0]), now
    )


def _resolve_transfer(
    slices: Slices,
    transfer: Transfer,
    written: slice_record.Record,
    stored: slice_record.Record,
    now: float,
) -> None:
    """Finish, retry or drop a transfer by comparing its record with the stored one."""
    account = stored.account
    if stored.write_id == written.write_id:
        del slices.transfers[account]
        slices.apply_record(stored, now)
        slices._notify(account, transfer.new_parts)
        return
    transfer.record = stored
    if stored.holders.get(slices.instance, 0) < sum(transfer.new_parts.values()):
        del slices.transfers[account]
        slices.apply_record(stored, now)
        return
    slices.apply_record(stored, now)
    slices._write_transfer(transfer)
