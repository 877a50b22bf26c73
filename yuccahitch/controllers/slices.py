"""The recorded slices of rates: who holds which part of a client account's rate and burst.

Only a holder gives its parts away, or, once it is surely dead or has left, another takes them over.
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
PARTS = _holding.PARTS
FLOOR_PARTS = 20_000
SETTLE_S = 3.0
MOVE_SHARE = 0.5
MIN_MOVE_PARTS = 10_000
BORROWED_SHARE = 0.1
REREAD_S = 10.0


class ReadOne(records.Record):
    """Purpose: read one account's record."""

    __slots__ = ("account",)

    def __init__(self, account: str) -> None:
        self.account = account


class ReadAll(records.Record):
    """Purpose: read all records after a new session began."""

    __slots__ = ("generation",)

    def __init__(self, generation: int) -> None:
        self.generation = generation


class Create(records.Record):
    """Purpose: create the first record of an account."""

    __slots__ = ("record",)

    def __init__(self, record: slice_record.Record) -> None:
        self.record = record


class Transfer(records.Record):
    """Parts of the own slice on their way to peers; they are not used meanwhile."""

    __slots__ = ("record", "shares")

    def __init__(self, record: slice_record.Record, shares: dict[str, int]) -> None:
        self.record = record
        self.shares = shares


class Slices:
    """Creates, reads and moves the records of the client accounts.

    Args:
        instance: Id of this instance.
        members: The live instances.
        access: The session in the store.
        rates: The limits that use the slices.
        config: Holds the catalog.
        new_id: Makes unique ids for writes.
        rebalance_s: Time between moves, in seconds.
    """

    __slots__ = (
        "instance",
        "members",
        "access",
        "rates",
        "config",
        "new_id",
        "rebalance_s",
        "known",
        "read_at",
        "transfers",
        "generation",
        "rebalance_at",
        "created",
        "filled",
        "new_accounts",
        "began_at",
        "leaving",
        "outbox",
    )

    def __init__(
        self,
        instance: str,
        *,
        members: membership.Membership,
        access: session.Session,
        rates: limits.Limits,
        config: configuration.Configuration,
        new_id: typing.Callable[[], str],
        rebalance_s: float = 30.0,
    ) -> None:
        self.instance = instance
        self.members = members
        self.access = access
        self.rates = rates
        self.config = config
        self.new_id = new_id
        self.rebalance_s = rebalance_s
        self.known: dict[str, slice_record.Record] = {}
        self.read_at: dict[str, float] = {}
        self.transfers: dict[str, Transfer] = {}
        self.generation = 0
        self.rebalance_at = 0.0
        self.created: set[str] = set()
        self.filled: set[str] = set()
        self.new_accounts: set[str] = set()
        self.began_at = math.inf
        self.leaving = False
        self.outbox: list[commands.Command] = []

    def open(self, rate: rate_resource.Rate, now: float) -> None:
        """Make sure that an account's slice is known before it is used."""
        if rate.name not in self.rates.holdings and rate.name in self.known:
            self._apply(rate.name, now)
        elif rate.name not in self.known:
            self.look_up(rate.name, now)

    def rate_added(self, account: str) -> None:
        """Note that an account's rate is new or changed; its record may have to be created."""
        self.new_accounts.add(account)

    def look_up(self, account: str, now: float) -> None:
        """Read an account's record unless that was done a moment ago."""
        if now - self.read_at.get(account, -math.inf) < REREAD_S:
            return
        self.read_at[account] = now
        self._read(account)

    def changed(self, message: peers.SlicesChanged, now: float) -> None:
        """Read the records that a peer says it changed."""
        for account in message.accounts:
            self.read_at[account] = now
            self._read(account)

    def tick(self, now: float) -> None:
        """Follow the session, create missing records and move parts to where the demand is."""
        if self.generation != self.access.generation:
            self.generation = self.access.generation
            self.rates.forget_own(now)
            call = store.Range(PREFIX, prefix=True)
            self.outbox.append(commands.StoreCall(call, ReadAll(self.generation)))
        self.began_at = min(self.began_at, now)
        if self.new_accounts and self.access.fresh(now) and now - self.began_at > SETTLE_S:
            self._create_missing(now)
        if now < self.rebalance_at or not self.access.fresh(now):
            return
        self.rebalance_at = now + self.rebalance_s
        if not self.leaving:
            self._rebalance(now)

    def leave(self, now: float) -> bool:
        """Transfer all free parts away; return whether no more can be done.

        Parts that are lent are waited for. With nobody to transfer them to, they stay recorded.
        """
        self.leaving = True
        left_over = False
        for account, held in self.rates.holdings.items():
            held.update(now)
            successors = self._successors(account)
            if successors and held.free_parts() > 0 and account not in self.transfers:
                self._transfer(account, {successors[0]: held.free_parts()}, now)
            left_over = left_over or bool(held.lent) or (bool(successors) and held.own_parts > 0)
        return not self.transfers and not left_over

    def ensure(self, account: str, now: float) -> None:
        """Create an account's record if there is none and this instance is to do it."""
        if account in self.known or account in self.created or not self.access.fresh(now):
            return
        shares = self._first_shares(account)
        if not shares:
            return
        self.created.add(account)
        record = slice_record.Record(
            account=account, holders=shares, write_id=self.new_id(), revision=0, unused=True
        )
        commit = store.Commit(
            conditions=[store.Condition(PREFIX + account, 0)],
            changes=[store.Put(PREFIX + account, record.to_bytes())],
        )
        self.outbox.append(commands.StoreCall(commit, Create(record)))

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Take in the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, sent_at, now)

    def adopt(self, record: slice_record.Record, now: float) -> None:
        """Take over what a record that is not older says."""
        old = self.known.get(record.account)
        if old is not None and old.revision >= record.revision:
            return
        self.known[record.account] = record
        self.rates.holders_came(record.account, tuple(record.holders), now)
        self._apply(record.account, now)

    def _apply(self, account: str, now: float) -> None:
        """Put the own part of a known record in force."""
        record = self.known[account]
        rate = self.config.catalog.rate(account)
        if rate is None or self.generation != self.access.generation:
            return
        transfer = self.transfers.get(account)
        pending = sum(transfer.shares.values()) if transfer is not None else 0
        parts = max(0, record.holders.get(self.instance, 0) - pending)
        full = record.unused and account not in self.filled and parts > 0
        if parts > 0:
            self.filled.add(account)
        self.rates.holding(rate, now).set_own_parts(parts, now, full=full)

    def _create_missing(self, now: float) -> None:
        names = [row.instance for row in self.members.serving()]
        accounts, self.new_accounts = self.new_accounts, set()
        for account in accounts:
            mine = rendezvous.first(account, names) == self.instance
            if mine and account not in self.known:
                self.look_up(account, now)

    def _read(self, account: str) -> None:
        self.outbox.append(commands.StoreCall(store.Range(PREFIX + account), ReadOne(account)))

    def _first_shares(self, account: str) -> dict[str, int]:
        found = self.config.catalog.account(account)
        rows = self.members.serving()
        allowed = found.residency if found is not None else ()
        regions = sorted({row.region for row in rows if not allowed or row.region in allowed})
        names = [
            name for region in regions for name in limits.likely_holders(account, rows, region)
        ]
        if not names:
            return {}
        share, rest = divmod(PARTS, len(names))
        return {name: share + (rest if name == names[0] else 0) for name in names}

    def _successors(self, account: str) -> list[str]:
        rows = [row for row in self.members.serving() if row.instance != self.instance]
        near = [row.instance for row in rows if row.region == self.members.own.region]
        far = [row.instance for row in rows if row.region != self.members.own.region]
        return rendezvous.ranked(account, near) + rendezvous.ranked(account, far)

    def _rebalance(self, now: float) -> None:
        for account, held in self.rates.holdings.items():
            held.update(now)
            asked, held.asked = held.asked, {}
            if account in self.transfers or held.free_parts() <= FLOOR_PARTS:
                continue
            shares = self._shares_for_demand(held, asked, now) or self._shares_for_regions(held)
            if shares:
                self._transfer(account, shares, now)

    def _shares_for_demand(
        self, held: _holding.Holding, asked: dict[str, float], now: float
    ) -> dict[str, int]:
        live = {name: n for name, n in asked.items() if self.members.find(name) is not None}
        borrowed = sum(live.values())
        own = held.demand_rate(now) * self.rebalance_s
        if borrowed <= 0 or borrowed < BORROWED_SHARE * (borrowed + own):
            return {}
        spare = held.free_parts() - FLOOR_PARTS
        parts = int(spare * MOVE_SHARE * borrowed / (borrowed + own))
        shares = {name: int(parts * tokens / borrowed) for name, tokens in live.items()}
        return {name: n for name, n in shares.items() if n >= MIN_MOVE_PARTS}

    def _shares_for_regions(self, held: _holding.Holding) -> dict[str, int]:
        """Return a part for each region that would have none if it were cut off."""
        record = self.known.get(held.account)
        if record is None or max(record.holders, key=_parts_in(record)) != self.instance:
            return {}
        found = self.config.catalog.account(held.account)
        allowed = found.residency if found is not None else ()
        rows = self.members.serving()
        regions = {row.region for row in rows if not allowed or row.region in allowed}
        covered = {row.region for row in map(self.members.find, record.holders) if row is not None}
        missing = sorted(regions - covered)
        share = held.free_parts() // (len(regions) + 1)
        return {
            limits.likely_holders(held.account, rows, region)[0]: share
            for region in missing
            if share >= MIN_MOVE_PARTS
        }

    def _transfer(self, account: str, shares: dict[str, int], now: float) -> None:
        known = self.known.get(account)
        held = self.rates.holdings.get(account)
        if known is None or held is None:
            return
        held.set_own_parts(held.own_parts - sum(shares.values()), now)
        transfer = Transfer(known, shares)
        self.transfers[account] = transfer
        self._write_transfer(transfer)

    def _write_transfer(self, transfer: Transfer) -> None:
        holders = dict(transfer.record.holders)
        holders[self.instance] = holders.get(self.instance, 0) - sum(transfer.shares.values())
        for name, parts in transfer.shares.items():
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
        self.outbox.append(commands.StoreCall(commit, WriteTransfer(transfer, record)))

    def _tell(self, account: str, names: typing.Iterable[str]) -> None:
        for name in names:
            row = self.members.find(name)
            if row is not None and name != self.instance:
                body = peers.SlicesChanged((account,))
                call = self.members.call(row, body)
                self.outbox.append(call)


class WriteTransfer(records.Record):
    """Purpose: the write of a transfer, with the record that it would leave."""

    __slots__ = ("transfer", "record")

    def __init__(self, transfer: Transfer, record: slice_record.Record) -> None:
        self.transfer = transfer
        self.record = record


def _parts_in(record: slice_record.Record) -> typing.Callable[[str], tuple[int, str]]:
    return lambda name: (record.holders[name], name)


@functools.singledispatch
def _on_store(
    purpose: typing.Any, slices: Slices, reply: store.Reply, sent_at: float, now: float
) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: ReadOne, slices: Slices, reply: store.Reply, sent_at: float, now: float) -> None:
    if type(reply) is not store.RangeReply:
        slices.read_at.pop(purpose.account, None)
        return
    for item in reply.items:
        slices.adopt(slice_record.from_item(item), now)
    if not reply.items:
        slices.ensure(purpose.account, now)


@_on_store.register
def _(purpose: ReadAll, slices: Slices, reply: store.Reply, sent_at: float, now: float) -> None:
    if purpose.generation != slices.access.generation:
        return
    if type(reply) is not store.RangeReply:
        slices.generation = 0
        return
    slices.known.clear()
    for item in reply.items:
        slices.adopt(slice_record.from_item(item), now)


@_on_store.register
def _(purpose: Create, slices: Slices, reply: store.Reply, sent_at: float, now: float) -> None:
    record = purpose.record
    slices.created.discard(record.account)
    if type(reply) is not store.CommitReply:
        slices.read_at.pop(record.account, None)
        return
    if not reply.applied:
        for item in reply.items:
            slices.adopt(slice_record.from_item(item), now)
        return
    record.revision = reply.revision
    slices.adopt(record, now)
    note = commands.LogEvent(
        events.Event.SLICE_CLAIMED, account=record.account, holders=len(record.holders)
    )
    slices.outbox.append(note)
    slices._tell(record.account, record.holders)


@_on_store.register
def _(
    purpose: WriteTransfer, slices: Slices, reply: store.Reply, sent_at: float, now: float
) -> None:
    transfer = purpose.transfer
    account = transfer.record.account
    if slices.transfers.get(account) is not transfer:
        return
    if type(reply) is store.CallFailed:
        # The write may still take effect: the parts stay given until a later write is decided.
        call = store.Range(PREFIX + account)
        slices.outbox.append(commands.StoreCall(call, ReadTransfer(transfer, purpose.record)))
        return
    if reply.applied:
        del slices.transfers[account]
        purpose.record.revision = reply.revision
        slices.adopt(purpose.record, now)
        note = commands.LogEvent(events.Event.SLICE_MOVED, account=account, shares=transfer.shares)
        slices.outbox.append(note)
        slices._tell(account, transfer.shares)
        return
    for item in reply.items:
        _settle_transfer(slices, transfer, purpose.record, slice_record.from_item(item), now)


class ReadTransfer(records.Record):
    """Purpose: read back a record after the answer to a transfer was lost."""

    __slots__ = ("transfer", "record")

    def __init__(self, transfer: Transfer, record: slice_record.Record) -> None:
        self.transfer = transfer
        self.record = record


@_on_store.register
def _(
    purpose: ReadTransfer, slices: Slices, reply: store.Reply, sent_at: float, now: float
) -> None:
    account = purpose.transfer.record.account
    if slices.transfers.get(account) is not purpose.transfer:
        return
    if type(reply) is not store.RangeReply or not reply.items:
        call = store.Range(PREFIX + account)
        slices.outbox.append(commands.StoreCall(call, purpose))
        return
    _settle_transfer(
        slices, purpose.transfer, purpose.record, slice_record.from_item(reply.items[0]), now
    )


def _settle_transfer(
    slices: Slices,
    transfer: Transfer,
    written: slice_record.Record,
    stored: slice_record.Record,
    now: float,
) -> None:
    """Decide a transfer whose write was lost or did not apply, by the record that is stored."""
    account = stored.account
    if stored.write_id == written.write_id:
        del slices.transfers[account]
        slices.adopt(stored, now)
        slices._tell(account, transfer.shares)
        return
    transfer.record = stored
    if stored.holders.get(slices.instance, 0) < sum(transfer.shares.values()):
        del slices.transfers[account]
        slices.adopt(stored, now)
        return
    slices.adopt(stored, now)
    slices._write_transfer(transfer)
