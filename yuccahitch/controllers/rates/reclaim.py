"""Takes over the slices of instances that surely don't spend them any more.

An instance has lapsed when the store holds no session of it. Its slices may be taken over once it
has left, or once enough members of its electorate attest that they have vouched for nobody for long
enough, or after the isolation horizon. docs/DESIGN.md, "Rate and burst", has the argument.
"""

from __future__ import annotations

import functools
import math
import typing

from yuccahitch import events, records
from yuccahitch.controllers.members import membership, rendezvous
from yuccahitch.controllers.rates import electorate, session, slice_record, slices
from yuccahitch.messages import commands, peers, store

CHECK_INTERVAL_S = 2.0
# How long a session must be absent from the store before attests count, in loan terms.
MIN_ABSENT_TERMS = 2.0
# How long a member of the electorate must not have vouched for its attest to count, in loan terms.
MIN_QUIET_TERMS = 2.0
# Time between requests for attests, for which the attests also stay valid, in loan terms.
ATTEST_ROUND_TERMS = 0.5


class ReclaimCandidate(records.Record):
    """An instance that may be dead, so that its slices may have to be taken over.

    Attributes:
        instance: Id of the instance.
        region: Its region, or an empty string when it is not known.
        absent_since: Since when each check has found its session absent, in monotonic seconds, or
            None.
        electorate_revision: The store's revision of its electorate, or 0 without one.
        electorate: Instance ids of its electorate.
        has_left: Whether the instance, or an operator, recorded in the store that it left.
        attests_requested_at: When its electorate was last asked to attest, in monotonic seconds.
        attested_by: Members of the electorate that have attested since then.
        last_checked_at: When its state was last read from the store, in monotonic seconds.
    """

    __slots__ = (
        "instance",
        "region",
        "absent_since",
        "electorate_revision",
        "electorate",
        "has_left",
        "attests_requested_at",
        "attested_by",
        "last_checked_at",
    )

    def __init__(self, instance: str, region: str) -> None:
        self.instance = instance
        self.region = region
        self.absent_since: float | None = None
        self.electorate_revision = 0
        self.electorate: tuple[str, ...] = ()
        self.has_left = False
        self.attests_requested_at = -math.inf
        self.attested_by: set[str] = set()
        self.last_checked_at = -math.inf


class StateRead(records.Record):
    """Purpose of one of the reads that check an instance's state.

    Attributes:
        instance: Id of the instance.
        key_prefix: Prefix of the key that is read, which selects the handler of the reply.
    """

    __slots__ = ("instance", "key_prefix")

    def __init__(self, instance: str, key_prefix: str) -> None:
        self.instance = instance
        self.key_prefix = key_prefix


class HeldSlicesRead(records.Record):
    """Purpose of the read of all slice records that finds the slices of a lapsed instance.

    Attributes:
        instance: Id of the instance.
        electorate_revision: Revision of its electorate at which its slices were found free.
    """

    __slots__ = ("instance", "electorate_revision")

    def __init__(self, instance: str, electorate_revision: int) -> None:
        self.instance = instance
        self.electorate_revision = electorate_revision


class SliceTakeover(records.Record):
    """Purpose of the commit that takes over a slice.

    Attributes:
        instance: Id of the instance that held the slice.
        record: The record that is written.
    """

    __slots__ = ("instance", "record")

    def __init__(self, instance: str, record: slice_record.Record) -> None:
        self.instance = instance
        self.record = record


class ElectorateRemoval(records.Record):
    """Purpose of the commit that deletes the electorate of a lapsed instance."""

    __slots__ = ("instance",)

    def __init__(self, instance: str) -> None:
        self.instance = instance


class OperatorRelease(records.Record):
    """Purpose of the commit that records an operator's statement that an instance is dead.

    Attributes:
        instance: Id of the instance.
        request_id: Id of the operator's request, which is woken with the result.
    """

    __slots__ = ("instance", "request_id")

    def __init__(self, instance: str, request_id: str) -> None:
        self.instance = instance
        self.request_id = request_id


class AttestRequest(records.Record):
    """Purpose of the call that asks a member of an electorate to attest.

    Attributes:
        subject: Id of the instance that may be dead.
        voter: Id of the member that is asked.
    """

    __slots__ = ("subject", "voter")

    def __init__(self, subject: str, voter: str) -> None:
        self.subject = subject
        self.voter = voter


class SliceReclaimer:
    """Tracks unreachable instances until they return or their slices are taken over.

    Args:
        members: The live instances.
        store_session: This instance's session in the store.
        slices: The recorded slices.

    Attributes:
        candidates: The instances that are tracked, by id.
        next_holder_check_at: When the slice records are next searched for holders that are not
            known as live, in monotonic seconds.
    """

    __slots__ = (
        "members",
        "store_session",
        "slices",
        "candidates",
        "next_holder_check_at",
        "outbox",
    )

    def __init__(
        self,
        *,
        members: membership.Membership,
        store_session: session.Session,
        slices: slices.Slices,
    ) -> None:
        self.members = members
        self.store_session = store_session
        self.slices = slices
        self.candidates: dict[str, ReclaimCandidate] = {}
        self.next_holder_check_at = 0.0
        self.outbox: list[commands.Command] = []

    def track(self, instance: str, region: str = "") -> None:
        """Begin to track an instance that is unreachable, or that holds slices and is unknown."""
        if instance != self.slices.instance:
            self.candidates.setdefault(instance, ReclaimCandidate(instance, region))

    def release(self, instance: str, request_id: str) -> None:
        """Record an operator's statement that an instance is dead and will not come back.

        Args:
            instance: Id of the instance.
            request_id: Id of the operator's request, which is woken with whether the record was
                written.
        """
        key = session.LEFT_PREFIX + instance
        commit = store.Commit(conditions=[], changes=[store.Put(key, b"operator")])
        self.outbox.append(commands.StoreCall(commit, OperatorRelease(instance, request_id)))

    def tick(self, now: float) -> None:
        """Find new candidates, and check those that this instance is responsible for."""
        if now >= self.next_holder_check_at:
            self.next_holder_check_at = now + CHECK_INTERVAL_S
            self._track_unknown_holders()
        if not self.store_session.is_fresh(now):
            return
        for candidate in list(self.candidates.values()):
            if self.members.find(candidate.instance) is not None:
                del self.candidates[candidate.instance]
            elif (
                self._is_responsible(candidate)
                and now - candidate.last_checked_at > CHECK_INTERVAL_S
            ):
                candidate.last_checked_at = now
                self._read_state(candidate)

    def record_attest(self, purpose: AttestRequest, reply: peers.Attest, now: float) -> None:
        """Record a member's attest if that member has not vouched for long enough."""
        candidate = self.candidates.get(purpose.subject)
        if candidate is None or reply.instance != purpose.voter:
            return
        if reply.quiet_s >= self._min_quiet_s():
            candidate.attested_by.add(reply.instance)
        self._reclaim_if_attested(candidate, now)

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Process the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, sent_at, now)

    def _track_unknown_holders(self) -> None:
        """Track every holder in the known records that is not known as live."""
        for record in self.slices.known_records.values():
            for name in record.holders:
                if name not in self.candidates and self.members.find(name) is None:
                    self.track(name)

    def _is_responsible(self, candidate: ReclaimCandidate) -> bool:
        """Return whether this instance is to check a candidate, by rendezvous hashing.

        One instance of the candidate's region is responsible, or of any region if none serves
        there.
        """
        infos = self.members.serving()
        same_region = [
            info.instance for info in infos if candidate.region and info.region == candidate.region
        ]
        names = same_region or [info.instance for info in infos]
        return rendezvous.owner(candidate.instance, names) == self.slices.instance

    def _read_state(self, candidate: ReclaimCandidate) -> None:
        """Read from the store whether a candidate left, its electorate and its session."""
        for prefix in (session.LEFT_PREFIX, electorate.PREFIX, session.SESSION_PREFIX):
            call = store.Range(prefix + candidate.instance)
            self.outbox.append(commands.StoreCall(call, StateRead(candidate.instance, prefix)))

    def _min_quiet_s(self) -> float:
        """Return how long a member must not have vouched for its attest to count, in seconds."""
        return MIN_QUIET_TERMS * self.store_session.term_s + 2 * self.store_session.drift_s

    def _min_absent_s(self) -> float:
        """Return how long a session must be absent before attests count, in seconds."""
        return MIN_ABSENT_TERMS * self.store_session.term_s + 2 * self.store_session.drift_s

    def _reclaim_if_due(self, candidate: ReclaimCandidate, now: float) -> None:
        """Take over the slices of a candidate whose session is absent, or ask for attests."""
        absent_s = now - candidate.absent_since
        max_absent_s = (
            self.store_session.horizon_s
            + self.store_session.term_s
            + 2 * self.store_session.drift_s
        )
        if candidate.has_left or absent_s > max_absent_s:
            self._read_held_slices(candidate)
        elif absent_s > self._min_absent_s() and candidate.electorate:
            self._request_attests(candidate, now)

    def _request_attests(self, candidate: ReclaimCandidate, now: float) -> None:
        """Ask the live members of a candidate's electorate to attest, and attest if one of them."""
        if now - candidate.attests_requested_at < ATTEST_ROUND_TERMS * self.store_session.term_s:
            return
        candidate.attests_requested_at = now
        candidate.attested_by.clear()
        own_id = self.slices.instance
        if (
            own_id in candidate.electorate
            and self.store_session.time_since_vouch(now) >= self._min_quiet_s()
        ):
            candidate.attested_by.add(own_id)
        for name in candidate.electorate:
            info = self.members.find(name)
            if info is None or name in (own_id, candidate.instance):
                continue
            call = self.members.make_call(
                info, peers.AskAttest(), purpose=AttestRequest(candidate.instance, name)
            )
            self.outbox.append(call)
        self._reclaim_if_attested(candidate, now)

    def _reclaim_if_attested(self, candidate: ReclaimCandidate, now: float) -> None:
        """Begin to take over the slices once enough members have attested in time."""
        needed = electorate.attests_needed(len(candidate.electorate))
        in_time = (
            now - candidate.attests_requested_at <= ATTEST_ROUND_TERMS * self.store_session.term_s
        )
        absent_long_enough = (
            candidate.absent_since is not None
            and now - candidate.absent_since > self._min_absent_s()
        )
        if (
            absent_long_enough
            and in_time
            and len(candidate.attested_by) >= needed
            and self.store_session.is_fresh(now)
        ):
            self._read_held_slices(candidate)

    def _read_held_slices(self, candidate: ReclaimCandidate) -> None:
        """Read all records to find the candidate's slices, which are then taken over."""
        candidate.attested_by.clear()
        call = store.Range(slices.PREFIX, prefix=True)
        purpose = HeldSlicesRead(candidate.instance, candidate.electorate_revision)
        self.outbox.append(commands.StoreCall(call, purpose))

    def _write_takeover(
        self, instance: str, electorate_revision: int, record: slice_record.Record
    ) -> None:
        """Move an instance's parts of one record to this instance.

        The commit applies only while the instance has no session and its electorate is unchanged.
        """
        holders = dict(record.holders)
        parts = holders.pop(instance)
        own_id = self.slices.instance
        holders[own_id] = holders.get(own_id, 0) + parts
        new_record = slice_record.Record(
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
                store.Condition(electorate.PREFIX + instance, electorate_revision),
            ],
            changes=[store.Put(key, new_record.to_bytes())],
        )
        self.outbox.append(commands.StoreCall(commit, SliceTakeover(instance, new_record)))


@functools.singledispatch
def _on_store(
    purpose: typing.Any, reclaimer: SliceReclaimer, reply: store.Reply, sent_at: float, now: float
) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(
    purpose: StateRead, reclaimer: SliceReclaimer, reply: store.Reply, sent_at: float, now: float
) -> None:
    candidate = reclaimer.candidates.get(purpose.instance)
    if candidate is None or type(reply) is not store.RangeReply:
        return
    _STATE_HANDLERS[purpose.key_prefix](reclaimer, candidate, reply.items, now)


def _apply_left_marker(
    reclaimer: SliceReclaimer, candidate: ReclaimCandidate, items: list[store.KeyValue], now: float
) -> None:
    """Record whether the store says that the instance left."""
    candidate.has_left = bool(items)


def _apply_electorate(
    reclaimer: SliceReclaimer, candidate: ReclaimCandidate, items: list[store.KeyValue], now: float
) -> None:
    """Record the instance's electorate; if it changed, the session's absence counts anew."""
    revision = items[0].revision if items else 0
    if revision != candidate.electorate_revision:
        candidate.absent_since = None
    candidate.electorate_revision = revision
    candidate.electorate = electorate.from_bytes(items[0].value) if items else ()


def _apply_session(
    reclaimer: SliceReclaimer, candidate: ReclaimCandidate, items: list[store.KeyValue], now: float
) -> None:
    """Record whether the session is absent, and take over the slices if that is due."""
    if items:
        candidate.absent_since = None
        return
    if candidate.absent_since is None:
        candidate.absent_since = now
    reclaimer._reclaim_if_due(candidate, now)


_STATE_HANDLERS = {
    session.LEFT_PREFIX: _apply_left_marker,
    electorate.PREFIX: _apply_electorate,
    session.SESSION_PREFIX: _apply_session,
}


@_on_store.register
def _(
    purpose: HeldSlicesRead,
    reclaimer: SliceReclaimer,
    reply: store.Reply,
    sent_at: float,
    now: float,
) -> None:
    if type(reply) is not store.RangeReply:
        return
    held_records = [
        r for r in map(slice_record.from_item, reply.items) if purpose.instance in r.holders
    ]
    for record in held_records:
        reclaimer._write_takeover(purpose.instance, purpose.electorate_revision, record)
    if not held_records and purpose.instance in reclaimer.candidates:
        del reclaimer.candidates[purpose.instance]
        if purpose.electorate_revision:
            electorate_key = electorate.PREFIX + purpose.instance
            commit = store.Commit(
                conditions=[
                    store.Condition(electorate_key, purpose.electorate_revision),
                    store.Condition(session.SESSION_PREFIX + purpose.instance, 0),
                ],
                changes=[store.Delete(electorate_key)],
            )
            reclaimer.outbox.append(commands.StoreCall(commit, ElectorateRemoval(purpose.instance)))


@_on_store.register
def _(
    purpose: SliceTakeover,
    reclaimer: SliceReclaimer,
    reply: store.Reply,
    sent_at: float,
    now: float,
) -> None:
    if type(reply) is not store.CommitReply or not reply.applied:
        reclaimer.slices.last_read_at.pop(purpose.record.account, None)
        reclaimer.slices.request_record(purpose.record.account, now)
        return
    purpose.record.revision = reply.revision
    reclaimer.slices.apply_record(purpose.record, now)
    log_event = commands.LogEvent(
        events.Event.SLICE_RECLAIMED, account=purpose.record.account, holder=purpose.instance
    )
    reclaimer.outbox.append(log_event)


@_on_store.register
def _(
    purpose: ElectorateRemoval,
    reclaimer: SliceReclaimer,
    reply: store.Reply,
    sent_at: float,
    now: float,
) -> None:
    """Do nothing: an electorate that was not deleted is harmless."""


@_on_store.register
def _(
    purpose: OperatorRelease,
    reclaimer: SliceReclaimer,
    reply: store.Reply,
    sent_at: float,
    now: float,
) -> None:
    applied = type(reply) is store.CommitReply and reply.applied
    reclaimer.outbox.append(commands.WakeRequest(purpose.request_id, applied))
