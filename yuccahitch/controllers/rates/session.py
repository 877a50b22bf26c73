"""Decides whether this instance may spend the slices that the store records for it.

It may while its session in the store is fresh, or while enough instances of its electorate vouch
that they, too, can't reach the store: its region is then cut off and continues to serve. The
electorate is written to the store before it is relied on, so that an instance that wants to take
over the slices asks the same members. docs/DESIGN.md, "Rate and burst", has the argument.
"""

from __future__ import annotations

import functools
import math
import typing

from yuccahitch import records
from yuccahitch.controllers.rates import electorate
from yuccahitch.messages import commands, peers, store

# Prefixes of the store's keys; the instance id follows.
SESSION_PREFIX = "sessions/"
LEFT_PREFIX = "left/"
RENEWALS_PER_LEASE = 5
# Time without contact to the store after which an instance is cut off, in renewal intervals.
CUT_OFF_RENEWALS = 2
# Time for which a wanted electorate must stay the same before it is written: the greater of these,
# in renewal intervals and in the silence after which an instance counts as lost. Instances that end
# together are noticed apart, by up to about that silence: last heartbeats spread by chance.
ELECTORATE_SETTLE_RENEWALS = 2
ELECTORATE_SETTLE_SILENCES = 1.5
VOUCH_ROUNDS_PER_TERM = 3


class LeaseGrant(records.Record):
    """Purpose of the call that asks the store for a lease."""

    __slots__ = ()


class LeaseRenewal(records.Record):
    """Purpose of the call that renews the lease."""

    __slots__ = ()


class SessionRegistration(records.Record):
    """Purpose of the commit that writes the session and its first electorate.

    Attributes:
        lease: Id of the lease that the session is bound to.
        electorate: Instance ids of the electorate.
    """

    __slots__ = ("lease", "electorate")

    def __init__(self, lease: int, electorate: tuple[str, ...]) -> None:
        self.lease = lease
        self.electorate = electorate


class VouchRequest(records.Record):
    """Purpose of the call that asks a peer to vouch."""

    __slots__ = ("instance",)

    def __init__(self, instance: str) -> None:
        self.instance = instance


class Session:
    """Keeps this instance's lease, session key and electorate in the store.

    Args:
        instance: Id of this instance.
        lease_s: Time to live of the lease, in seconds.
        term_s: Time for which a vouch holds; also the longest loan, in seconds.
        drift_s: Margin for differences between clocks, in seconds.
        horizon_s: Time after which a cut-off instance stops spending, in seconds.
        lost_after_s: Silence after which an instance counts as lost, in seconds.

    Attributes:
        lease: Id of the lease, or 0 without one.
        registered: Whether the session key is written under the lease.
        generation: Number of sessions so far; a change means that a new session began.
        fresh_until: Time until which the store surely holds the session, in monotonic seconds.
        last_contact_at: When the latest call that the store answered was sent, in monotonic
            seconds.
        vouched_until: Time until which the electorate's vouches permit spending, in monotonic
            seconds.
        vouches: When the latest vouch of each instance was asked for, by instance id.
        last_vouched_at: When this instance last vouched, for itself or a peer, in monotonic
            seconds.
        electorate: The instances that vouch for this one.
        next_lease_call_at: When the lease is next asked for, registered or renewed.
        next_vouch_request_at: When the electorate is next asked to vouch.
        lease_call_pending: Whether a call about lease or session waits for its reply.
        closed: Whether this instance has stopped spending for good.
    """

    __slots__ = (
        "instance",
        "lease_s",
        "term_s",
        "drift_s",
        "horizon_s",
        "lost_after_s",
        "lease",
        "registered",
        "generation",
        "fresh_until",
        "last_contact_at",
        "vouched_until",
        "vouches",
        "last_vouched_at",
        "electorate",
        "next_lease_call_at",
        "next_vouch_request_at",
        "lease_call_pending",
        "closed",
        "outbox",
    )

    def __init__(
        self,
        instance: str,
        *,
        lease_s: float = 10.0,
        term_s: float = 5.0,
        drift_s: float = 0.5,
        horizon_s: float = 5400.0,
        lost_after_s: float = 5.0,
    ) -> None:
        self.instance = instance
        self.lease_s = lease_s
        self.term_s = term_s
        self.drift_s = drift_s
        self.horizon_s = horizon_s
        self.lost_after_s = lost_after_s
        self.lease = 0
        self.registered = False
        self.generation = 0
        self.fresh_until = -math.inf
        self.last_contact_at = -math.inf
        self.vouched_until = -math.inf
        self.vouches: dict[str, float] = {}
        self.last_vouched_at = -math.inf
        self.electorate = electorate.Electorate(instance)
        self.next_lease_call_at = 0.0
        self.next_vouch_request_at = 0.0
        self.lease_call_pending = False
        self.closed = False
        self.outbox: list[commands.Command] = []

    @property
    def renew_s(self) -> float:
        """Return the time between renewals of the lease, in seconds."""
        return self.lease_s / RENEWALS_PER_LEASE

    @property
    def electorate_settle_s(self) -> float:
        """Return how long a wanted electorate must stay the same before it is written."""
        return max(
            ELECTORATE_SETTLE_RENEWALS * self.renew_s,
            ELECTORATE_SETTLE_SILENCES * self.lost_after_s,
        )

    def is_fresh(self, now: float) -> bool:
        """Return whether the store surely still holds the session."""
        return self.registered and now < self.fresh_until

    def is_cut_off(self, now: float) -> bool:
        """Return whether the store has not answered for ``CUT_OFF_RENEWALS`` intervals."""
        return now - self.last_contact_at > CUT_OFF_RENEWALS * self.renew_s

    def may_spend(self, now: float) -> bool:
        """Return whether the recorded slices may be spent now."""
        if not self.registered or self.closed:
            return False
        vouched = now < min(self.vouched_until, self.fresh_until + self.horizon_s)
        return now < self.fresh_until or vouched

    def time_since_vouch(self, now: float) -> float:
        """Return the time since this instance last vouched for itself or a peer, in seconds."""
        return now - self.last_vouched_at

    def record_contact(self, sent_at: float) -> None:
        """Record that the store answered a call, with the time at which the call was sent."""
        self.last_contact_at = max(self.last_contact_at, sent_at)

    def set_wanted_electorate(self, names: typing.Iterable[str], now: float) -> None:
        """Set the instances that are to form the electorate, to which this one is added.

        The electorate takes effect once the store holds it. It is written only when it has not
        changed for a while, so that a zone that is lost or replaced causes one write and not one
        for each of its instances.
        """
        self.electorate.set_wanted(names, now)

    def tick(self, now: float, addresses: dict[str, str]) -> None:
        """Renew the lease, write a changed electorate and ask for vouches when they are due.

        Args:
            now: Monotonic seconds.
            addresses: Peer address of each live instance, by id.
        """
        if self.closed:
            return
        if now >= self.next_lease_call_at and not self.lease_call_pending:
            self.lease_call_pending = True
            self.next_lease_call_at = now + self.renew_s
            self._send_lease_call()
        settle_s = self.electorate_settle_s
        if self.registered and self.electorate.is_write_due(now, settle_s=settle_s):
            self.outbox.append(self.electorate.write())
        if self.registered and self.is_cut_off(now) and now >= self.next_vouch_request_at:
            self.next_vouch_request_at = now + self.term_s / VOUCH_ROUNDS_PER_TERM
            self._request_vouches(now, addresses)

    def vouch(self, now: float) -> peers.Vouch:
        """Answer a peer that asks whether this instance, too, is cut off from the store."""
        cut_off = self.is_cut_off(now) and not self.closed
        if cut_off:
            self.last_vouched_at = now
        return peers.Vouch(instance=self.instance, cut_off=cut_off)

    def attest(self, now: float) -> peers.Attest:
        """Answer a peer that wants to take over the slices of another instance."""
        return peers.Attest(instance=self.instance, quiet_s=min(self.time_since_vouch(now), 1e9))

    def record_vouch(self, reply: peers.Vouch, *, requested_at: float, now: float) -> None:
        """Record a peer's vouch; its term begins when it was asked for."""
        if reply.cut_off:
            self.vouches[reply.instance] = max(self.vouches.get(reply.instance, 0.0), requested_at)
            self._extend_vouched_until(now)

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Process the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, sent_at, now)

    def close(self) -> None:
        """Stop spending for good; the process then records in the store that it left."""
        self.closed = True
        self.fresh_until = -math.inf
        self.vouched_until = -math.inf

    def _send_lease_call(self) -> None:
        """Ask for a lease, register the session under it, or renew the lease."""
        if not self.lease:
            grant = store.GrantLease(self.lease_s)
            self.outbox.append(commands.StoreCall(grant, LeaseGrant()))
        elif not self.registered:
            self._register()
        else:
            self.outbox.append(commands.StoreCall(store.KeepAlive(self.lease), LeaseRenewal()))

    def _register(self) -> None:
        """Write the session key and the electorate in one commit."""
        wanted = self.electorate.wanted
        commit = store.Commit(
            conditions=[self.electorate.condition()],
            changes=[
                store.Put(SESSION_PREFIX + self.instance, b"{}", lease=self.lease),
                store.Put(self.electorate.key, electorate.to_bytes(wanted)),
            ],
        )
        purpose = SessionRegistration(self.lease, wanted)
        self.outbox.append(commands.StoreCall(commit, purpose))

    def _request_vouches(self, now: float, addresses: dict[str, str]) -> None:
        """Vouch for itself and ask the reachable members of the electorate to vouch."""
        self.last_vouched_at = now
        self.vouches[self.instance] = now
        others = {*self.electorate.members, *(self.electorate.pending or ())}
        self.outbox.extend(
            commands.PeerCall(
                instance=name,
                address=addresses[name],
                body=peers.AskVouch(self.instance),
                purpose=VouchRequest(name),
            )
            for name in sorted(others)
            if name != self.instance and name in addresses
        )
        self._extend_vouched_until(now)

    def _extend_vouched_until(self, now: float) -> None:
        """Extend ``vouched_until`` if the permission to spend has not lapsed yet.

        While a new electorate is not confirmed, both the old and the new one must vouch.
        """
        unbroken = now <= max(self.fresh_until + self.term_s, self.vouched_until)
        if not unbroken or not self.registered:
            return
        pending = self.electorate.pending
        electorates = [self.electorate.members] + ([pending] if pending else [])
        until = min(self._vouched_until_by(members) for members in electorates)
        if until > now:
            self.vouched_until = max(self.vouched_until, until)

    def _vouched_until_by(self, members: tuple[str, ...]) -> float:
        """Return the time until which enough members of an electorate have vouched."""
        needed = electorate.vouches_needed(len(members))
        times = sorted((self.vouches.get(name, -math.inf) for name in members), reverse=True)
        return times[needed - 1] + self.term_s

    def _drop_session(self) -> None:
        """Forget a lease that the store has ended, and with it the session."""
        self.lease = 0
        self.registered = False
        self.fresh_until = -math.inf
        self.vouched_until = -math.inf
        self.next_lease_call_at = 0.0


@functools.singledispatch
def _on_store(
    purpose: typing.Any, session: Session, reply: store.Reply, sent_at: float, now: float
) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(
    purpose: LeaseGrant, session: Session, reply: store.Reply, sent_at: float, now: float
) -> None:
    session.lease_call_pending = False
    if type(reply) is store.LeaseReply and reply.lease:
        session.lease = reply.lease
        session.next_lease_call_at = 0.0


@_on_store.register
def _(
    purpose: SessionRegistration, session: Session, reply: store.Reply, sent_at: float, now: float
) -> None:
    session.lease_call_pending = False
    if type(reply) is not store.CommitReply:
        return
    if not reply.applied:
        revisions = (item.revision for item in reply.items)
        session.electorate.revision = max(revisions, default=0)
        session.next_lease_call_at = 0.0
        return
    session.registered = purpose.lease == session.lease
    session.electorate.confirm(purpose.electorate, reply.revision)
    session.generation += 1
    session.next_lease_call_at = 0.0


@_on_store.register
def _(
    purpose: LeaseRenewal, session: Session, reply: store.Reply, sent_at: float, now: float
) -> None:
    session.lease_call_pending = False
    if type(reply) is not store.LeaseReply:
        return
    if reply.ttl_s <= 0:
        session._drop_session()
        return
    session.fresh_until = max(session.fresh_until, sent_at + reply.ttl_s - session.drift_s)
    session.vouched_until = -math.inf
    session.vouches.clear()


@_on_store.register
def _(
    purpose: electorate.ElectorateWrite,
    session: Session,
    reply: store.Reply,
    sent_at: float,
    now: float,
) -> None:
    session.electorate.on_write_reply(purpose.electorate, reply, now + session.renew_s)
