"""Takes over the slices of instances that are surely not spending them any more.

An instance has lapsed when the store holds no session of it. Its slices are free once it has left,
or once enough of its electorate attest that they vouched for nobody for long enough, or after the
isolation horizon. docs/DESIGN.md, "Rate and burst", has the argument.
"""

from __future__ import annotations

import functools
import math
import typing

from yuccahitch import events, records
from yuccahitch.controllers import membership, rendezvous, session, slice_record, slices
from yuccahitch.messages import commands, peers, store

LOOK_S = 2.0
TERMS_ABSENT = 2.0
TERMS_QUIET = 2.0
ASK_TERMS = 0.5


class Case(records.Record):
    """An instance that may be dead.

    Attributes:
        instance: Its id.
        region: Its region, as far as it is known.
        absent_since: When its session was first found absent without a break, or None.
        pin_revision: Revision of its electorate's record at that time.
        electorate: Its electorate.
        left: Whether it said that it left, or an operator did.
        asked_at: When its electorate was last asked.
        attested: Members of the electorate that attested since.
        looked_at: When the store was last asked about it.
    """

    __slots__ = (
        "instance",
        "region",
        "absent_since",
        "pin_revision",
        "electorate",
        "left",
        "asked_at",
        "attested",
        "looked_at",
    )

    def __init__(self, instance: str, region: str) -> None:
        self.instance = instance
        self.region = region
        self.absent_since: float | None = None
        self.pin_revision = 0
        self.electorate: tuple[str, ...] = ()
        self.left = False
        self.asked_at = -math.inf
        self.attested: set[str] = set()
        self.looked_at = -math.inf


class Look(records.Record):
    """Purpose: one of the reads about an instance."""

    __slots__ = ("instance", "what")

    def __init__(self, instance: str, what: str) -> None:
        self.instance = instance
        self.what = what


class FindSlices(records.Record):
    """Purpose: read all records to find the slices of a dead instance."""

    __slots__ = ("instance", "pin_revision")

    def __init__(self, instance: str, pin_revision: int) -> None:
        self.instance = instance
        self.pin_revision = pin_revision


class TakeOver(records.Record):
    """Purpose: a slice is taken over."""

    __slots__ = ("instance", "record")

    def __init__(self, instance: str, record: slice_record.Record) -> None:
        self.instance = instance
        self.record = record


class Forget(records.Record):
    """Purpose: the electorate of a dead instance is deleted."""

    __slots__ = ("instance",)

    def __init__(self, instance: str) -> None:
        self.instance = instance


class Release(records.Record):
    """Purpose: an operator states that an instance is dead; the ticket identifies the operator."""

    __slots__ = ("instance", "ticket")

    def __init__(self, instance: str, ticket: str) -> None:
        self.instance = instance
        self.ticket = ticket


class AttestAsked(records.Record):
    """Purpose: a member of an electorate was asked to attest."""

    __slots__ = ("subject", "voter")

    def __init__(self, subject: str, voter: str) -> None:
        self.subject = subject
        self.voter = voter


class Reclaim:
    """Follows instances that went silent until their slices are taken over.

    Args:
        members: The live instances.
        access: The session in the store.
        slices: The recorded slices.
    """

    __slots__ = ("members", "access", "slices", "cases", "next_search_at", "outbox")

    def __init__(
        self,
        *,
        members: membership.Membership,
        access: session.Session,
        slices: slices.Slices,
    ) -> None:
        self.members = members
        self.access = access
        self.slices = slices
        self.cases: dict[str, Case] = {}
        self.next_search_at = 0.0
        self.outbox: list[commands.Command] = []

    def suspect(self, instance: str, region: str = "") -> None:
        """Begin to follow an instance that went silent, or that holds slices and is unknown."""
        if instance != self.slices.instance:
            self.cases.setdefault(instance, Case(instance, region))

    def release(self, instance: str, ticket: str) -> None:
        """Record an operator's word that an instance is dead and will not come back."""
        key = session.LEFT_PREFIX + instance
        commit = store.Commit(conditions=[], changes=[store.Put(key, b"operator")])
        self.outbox.append(commands.StoreCall(commit, Release(instance, ticket)))

    def tick(self, now: float) -> None:
        """Look into the cases that this instance is responsible for."""
        if now >= self.next_search_at:
            self.next_search_at = now + LOOK_S
            self._find_unknown_holders()
        if not self.access.fresh(now):
            return
        for case in list(self.cases.values()):
            if self.members.find(case.instance) is not None:
                del self.cases[case.instance]
            elif self._responsible(case) and now - case.looked_at > LOOK_S:
                case.looked_at = now
                self._look(case)

    def attest_came(self, purpose: AttestAsked, reply: peers.Attest, now: float) -> None:
        """Count a member of an electorate that vouched for nobody."""
        case = self.cases.get(purpose.subject)
        if case is None or reply.instance != purpose.voter:
            return
        if reply.quiet_s >= self._quiet_needed():
            case.attested.add(reply.instance)
        self._claim_if_free(case, now)

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Take in the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, sent_at, now)

    def _find_unknown_holders(self) -> None:
        for record in self.slices.known.values():
            for name in record.holders:
                if name not in self.cases and self.members.find(name) is None:
                    self.suspect(name)

    def _responsible(self, case: Case) -> bool:
        rows = self.members.serving()
        near = [row.instance for row in rows if case.region and row.region == case.region]
        names = near or [row.instance for row in rows]
        return rendezvous.first(case.instance, names) == self.slices.instance

    def _look(self, case: Case) -> None:
        for prefix in (session.LEFT_PREFIX, session.PIN_PREFIX, session.SESSION_PREFIX):
            call = store.Range(prefix + case.instance)
            self.outbox.append(commands.StoreCall(call, Look(case.instance, prefix)))

    def _quiet_needed(self) -> float:
        return TERMS_QUIET * self.access.term_s + 2 * self.access.drift_s

    def _absent_needed(self) -> float:
        return TERMS_ABSENT * self.access.term_s + 2 * self.access.drift_s

    def _consider(self, case: Case, now: float) -> None:
        """Go on with a case whose session was just found absent."""
        absent = now - case.absent_since
        horizon = self.access.horizon_s + self.access.term_s + 2 * self.access.drift_s
        if case.left or absent > horizon:
            self._claim(case)
        elif absent > self._absent_needed() and case.electorate:
            self._ask(case, now)

    def _ask(self, case: Case, now: float) -> None:
        if now - case.asked_at < ASK_TERMS * self.access.term_s:
            return
        case.asked_at = now
        case.attested.clear()
        own = self.slices.instance
        if own in case.electorate and self.access.quiet_s(now) >= self._quiet_needed():
            case.attested.add(own)
        for name in case.electorate:
            row = self.members.find(name)
            if row is None or name in (own, case.instance):
                continue
            call = self.members.call(
                row, peers.AskAttest(), purpose=AttestAsked(case.instance, name)
            )
            self.outbox.append(call)
        self._claim_if_free(case, now)

    def _claim_if_free(self, case: Case, now: float) -> None:
        needed = session.claims_needed(len(case.electorate))
        in_time = now - case.asked_at <= ASK_TERMS * self.access.term_s
        ready = case.absent_since is not None and now - case.absent_since > self._absent_needed()
        if ready and in_time and len(case.attested) >= needed and self.access.fresh(now):
            self._claim(case)

    def _claim(self, case: Case) -> None:
        case.attested.clear()
        call = store.Range(slices.PREFIX, prefix=True)
        purpose = FindSlices(case.instance, case.pin_revision)
        self.outbox.append(commands.StoreCall(call, purpose))

    def _take_over(self, instance: str, pin_revision: int, record: slice_record.Record) -> None:
        holders = dict(record.holders)
        parts = holders.pop(instance)
        own = self.slices.instance
        holders[own] = holders.get(own, 0) + parts
        taken = slice_record.Record(
            account=record.account,
            holders=holders,
            write_id=self.slices.new_id(),
            revision=record.revision,
        )
        key = slices.PREFIX + record.account
        commit = store.Commit(
            conditions=[
                store.Condition(key, record.revision),
                store.Condition(session.SESSION_PREFIX + instance, 0),
                store.Condition(session.PIN_PREFIX + instance, pin_revision),
            ],
            changes=[store.Put(key, taken.to_bytes())],
        )
        self.outbox.append(commands.StoreCall(commit, TakeOver(instance, taken)))


@functools.singledispatch
def _on_store(
    purpose: typing.Any, reclaim: Reclaim, reply: store.Reply, sent_at: float, now: float
) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: Look, reclaim: Reclaim, reply: store.Reply, sent_at: float, now: float) -> None:
    case = reclaim.cases.get(purpose.instance)
    if case is None or type(reply) is not store.RangeReply:
        return
    _LOOKS[purpose.what](reclaim, case, reply.items, now)


def _saw_left(reclaim: Reclaim, case: Case, items: list[store.KeyValue], now: float) -> None:
    case.left = bool(items)


def _saw_pin(reclaim: Reclaim, case: Case, items: list[store.KeyValue], now: float) -> None:
    revision = items[0].revision if items else 0
    if revision != case.pin_revision:
        case.absent_since = None
    case.pin_revision = revision
    case.electorate = session.pin_from_bytes(items[0].value) if items else ()


def _saw_session(reclaim: Reclaim, case: Case, items: list[store.KeyValue], now: float) -> None:
    if items:
        case.absent_since = None
        return
    if case.absent_since is None:
        case.absent_since = now
    reclaim._consider(case, now)


_LOOKS = {
    session.LEFT_PREFIX: _saw_left,
    session.PIN_PREFIX: _saw_pin,
    session.SESSION_PREFIX: _saw_session,
}


@_on_store.register
def _(
    purpose: FindSlices, reclaim: Reclaim, reply: store.Reply, sent_at: float, now: float
) -> None:
    if type(reply) is not store.RangeReply:
        return
    held = [r for r in map(slice_record.from_item, reply.items) if purpose.instance in r.holders]
    for record in held:
        reclaim._take_over(purpose.instance, purpose.pin_revision, record)
    if not held and purpose.instance in reclaim.cases:
        del reclaim.cases[purpose.instance]
        if purpose.pin_revision:
            pin = session.PIN_PREFIX + purpose.instance
            commit = store.Commit(
                conditions=[
                    store.Condition(pin, purpose.pin_revision),
                    store.Condition(session.SESSION_PREFIX + purpose.instance, 0),
                ],
                changes=[store.Delete(pin)],
            )
            reclaim.outbox.append(commands.StoreCall(commit, Forget(purpose.instance)))


@_on_store.register
def _(purpose: TakeOver, reclaim: Reclaim, reply: store.Reply, sent_at: float, now: float) -> None:
    if type(reply) is not store.CommitReply or not reply.applied:
        reclaim.slices.read_at.pop(purpose.record.account, None)
        reclaim.slices.look_up(purpose.record.account, now)
        return
    purpose.record.revision = reply.revision
    reclaim.slices.adopt(purpose.record, now)
    note = commands.LogEvent(
        events.Event.SLICE_RECLAIMED, account=purpose.record.account, holder=purpose.instance
    )
    reclaim.outbox.append(note)


@_on_store.register
def _(purpose: Forget, reclaim: Reclaim, reply: store.Reply, sent_at: float, now: float) -> None:
    """Nothing to do: an electorate that stays behind is harmless."""


@_on_store.register
def _(purpose: Release, reclaim: Reclaim, reply: store.Reply, sent_at: float, now: float) -> None:
    applied = type(reply) is store.CommitReply and reply.applied
    reclaim.outbox.append(commands.WakeRequest(purpose.ticket, applied))
