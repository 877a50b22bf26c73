"""The recorded slices of rates: how many parts of an account's rate and burst each instance owns.

Only a holder gives its parts away; once it is surely dead or has left, another takes them over.
Each change is one compare-and-swap of the account's record.
"""

from __future__ import annotations

import functools
import math
import typing

from yuccahitch import events, records
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.members import membership, rendezvous
from yuccahitch.controllers.rates import (
    limits,
    session,
    slice_division,
    slice_record,
    slice_transfer,
)
from yuccahitch.messages import commands, peers, store
from yuccahitch.resources import rate as rate_resource

PREFIX = slice_record.PREFIX
SETTLE_S = 3.0  # time after the start before missing records are created
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
        "division",
        "known_records",
        "last_read_at",
        "transfers",
        "generation",
        "next_rebalance_at",
        "creating",
        "filled_accounts",
        "new_rates",
        "unapplied_rates",
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
        self.division = slice_division.SliceDivision(
            members=members, config=config, rebalance_s=rebalance_s
        )
        self.known_records: dict[str, slice_record.Record] = {}  # by account
        self.last_read_at: dict[str, float] = {}  # by account, in monotonic seconds
        self.transfers: dict[str, slice_transfer.Transfer] = {}  # undecided ones, by account
        self.generation = 0  # of the session under which the records were requested
        self.next_rebalance_at = 0.0
        self.creating: set[str] = set()  # accounts whose first record is being written
        self.filled_accounts: set[str] = set()  # must not begin full a second time
        self.new_rates: set[str] = set()  # accounts whose record may have to be created
        self.unapplied_rates: set[str] = set()  # accounts whose new rate holdings don't know yet
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
        self.unapplied_rates.add(account)

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
        """Apply changed rates and new sessions, create missing records and rebalance when due."""
        self._apply_rates(now)
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
            successors = self.division.successors(account)
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
        new_parts = self.division.initial_parts(account)
        if not new_parts:
            return
        self.creating.add(account)
        record = slice_record.Record(
            account=account, holders=new_parts, write_id=self.new_id(), revision=0, unused=True
        )
        self.outbox.append(commands.StoreCall(record.write_commit(), Creation(record)))

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

    def _apply_rates(self, now: float) -> None:
        """Apply new and changed rates to what is held, also where no request uses them."""
        accounts, self.unapplied_rates = self.unapplied_rates, set()
        for account in sorted(accounts):
            rate = self.config.catalog.rate(account)
            if rate is not None and account in self.rate_limiter.holdings:
                self.rate_limiter.current_holding(rate, now)
            elif account in self.known_records:
                self._apply_own_parts(account, now)

    def _request_missing(self, now: float) -> None:
        names = [info.instance for info in self.members.serving()]
        accounts, self.new_rates = self.new_rates, set()
        for account in accounts:
            is_responsible = rendezvous.owner(account, names) == self.instance
            if is_responsible and account not in self.known_records:
                self.request_record(account, now)

    def _send_read(self, account: str) -> None:
        self.outbox.append(commands.StoreCall(store.Range(PREFIX + account), RecordRead(account)))

    def _rebalance(self, now: float) -> None:
        for account, holding in self.rate_limiter.holdings.items():
            holding.update(now)
            requested_by_peer, holding.requested_by_peer = holding.requested_by_peer, {}
            if account in self.transfers or not self.division.has_spare_parts(holding):
                continue
            new_parts = self.division.parts_for_demand(
                holding, requested_by_peer, now
            ) or self.division.parts_for_regions(holding, self.known_records.get(account))
            if new_parts:
                self._start_transfer(account, new_parts, now)

    def _start_transfer(self, account: str, new_parts: dict[str, int], now: float) -> None:
        current_record = self.known_records.get(account)
        holding = self.rate_limiter.holdings.get(account)
        if current_record is None or holding is None:
            return
        holding.set_own_parts(holding.own_parts - sum(new_parts.values()), now)
        self.transfers[account] = slice_transfer.Transfer(current_record, new_parts)
        self._write_transfer(self.transfers[account])

    def _write_transfer(self, transfer: slice_transfer.Transfer) -> None:
        record = transfer.next_record(self.instance, write_id=self.new_id())
        purpose = slice_transfer.TransferWrite(transfer, record)
        self.outbox.append(commands.StoreCall(record.write_commit(), purpose))

    def _notify(self, account: str, names: typing.Iterable[str]) -> None:
        """Tell instances that an account's record has changed."""
        for name in names:
            info = self.members.find(name)
            if info is not None and name != self.instance:
                body = peers.SlicesChanged((account,))
                call = self.members.make_call(info, body)
                self.outbox.append(call)


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
    slices.rate_limiter.mark_own_slices_read()


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
    purpose: slice_transfer.TransferWrite,
    slices: Slices,
    reply: store.Reply,
    sent_at: float,
    now: float,
) -> None:
    transfer = purpose.transfer
    account = transfer.record.account
    if slices.transfers.get(account) is not transfer:
        return
    if type(reply) is store.CallFailed:
        # The write may still take effect, so the parts stay unused until the outcome is known.
        call = store.Range(PREFIX + account)
        read_back = slice_transfer.TransferReadBack(transfer, purpose.record)
        slices.outbox.append(commands.StoreCall(call, read_back))
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


@_on_store.register
def _(
    purpose: slice_transfer.TransferReadBack,
    slices: Slices,
    reply: store.Reply,
    sent_at: float,
    now: float,
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
    transfer: slice_transfer.Transfer,
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
