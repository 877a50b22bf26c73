"""Whether this instance may spend the recorded slices of rates that it holds.

It may while its session in the store is fresh, or while enough instances of its electorate vouch
that they, too, are out of touch with the store: then its region is cut off and goes on. The
electorate is written to the store before it is relied on, so that an instance that wants to take
over the slices asks the same ones. docs/DESIGN.md, "Rate and burst", has the argument.
"""

from __future__ import annotations

import functools
import json
import math
import typing

from yuccahitch import records
from yuccahitch.messages import commands, peers, store

SESSION_PREFIX = "sessions/"
PIN_PREFIX = "pins/"
LEFT_PREFIX = "left/"
RENEWALS_PER_LEASE = 5
TOUCH_RENEWALS = 2
SETTLE_RENEWALS = 2
VOUCHES_PER_TERM = 3


class Grant(records.Record):
    """Purpose: a lease was asked for."""

    __slots__ = ()


class Renew(records.Record):
    """Purpose: the lease is renewed."""

    __slots__ = ()


class Register(records.Record):
    """Purpose: session and electorate are written."""

    __slots__ = ("lease", "electorate")

    def __init__(self, lease: int, electorate: tuple[str, ...]) -> None:
        self.lease = lease
        self.electorate = electorate


class Pin(records.Record):
    """Purpose: a new electorate is written."""

    __slots__ = ("electorate",)

    def __init__(self, electorate: tuple[str, ...]) -> None:
        self.electorate = electorate


class VouchAsked(records.Record):
    """Purpose: a peer was asked to vouch."""

    __slots__ = ("instance",)

    def __init__(self, instance: str) -> None:
        self.instance = instance


class Session:
    """The instance's lease, session key and electorate.

    Args:
        instance: Id of this instance.
        lease_s: Time to live of the lease, in seconds.
        term_s: Time for which a vouch holds; also the longest loan, in seconds.
        drift_s: Margin for differences between clocks, in seconds.
        horizon_s: Time after which a cut-off instance stops, in seconds.
    """

    __slots__ = (
        "instance",
        "lease_s",
        "term_s",
        "drift_s",
        "horizon_s",
        "lease",
        "registered",
        "generation",
        "fresh_until",
        "touched_at",
        "covered_until",
        "vouches",
        "vouched_at",
        "electorate",
        "wanted",
        "wanted_since",
        "unsettled",
        "pin_revision",
        "pin_waiting",
        "pin_due_at",
        "next_call_at",
        "next_ask_at",
        "waiting",
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
    ) -> None:
        self.instance = instance
        self.lease_s = lease_s
        self.term_s = term_s
        self.drift_s = drift_s
        self.horizon_s = horizon_s
        self.lease = 0
        self.registered = False
        self.generation = 0
        self.fresh_until = -math.inf
        self.touched_at = -math.inf
        self.covered_until = -math.inf
        self.vouches: dict[str, float] = {}
        self.vouched_at = -math.inf
        self.electorate: tuple[str, ...] = ()
        self.wanted: tuple[str, ...] = (instance,)
        self.wanted_since = -math.inf
        self.unsettled: tuple[str, ...] | None = None
        self.pin_revision = 0
        self.pin_waiting = False
        self.pin_due_at = 0.0
        self.next_call_at = 0.0
        self.next_ask_at = 0.0
        self.waiting = False
        self.closed = False
        self.outbox: list[commands.Command] = []

    @property
    def renew_s(self) -> float:
        """Return the time between renewals of the lease, in seconds."""
        return self.lease_s / RENEWALS_PER_LEASE

    def fresh(self, now: float) -> bool:
        """Return whether the store surely holds the session still."""
        return self.registered and now < self.fresh_until

    def cut_off(self, now: float) -> bool:
        """Return whether this instance has been out of touch with the store for a while."""
        return now - self.touched_at > TOUCH_RENEWALS * self.renew_s

    def may_spend(self, now: float) -> bool:
        """Return whether recorded slices may be spent at this moment."""
        if not self.registered or self.closed:
            return False
        vouched = now < min(self.covered_until, self.fresh_until + self.horizon_s)
        return now < self.fresh_until or vouched

    def quiet_s(self, now: float) -> float:
        """Return for how long this instance has vouched for nobody, itself included."""
        return now - self.vouched_at

    def touch(self, sent_at: float) -> None:
        """Note that the store answered a call sent at a time."""
        self.touched_at = max(self.touched_at, sent_at)

    def want(self, electorate: typing.Iterable[str], now: float) -> None:
        """Set who is to be in the electorate; it counts once the store holds it.

        It is written when it has not changed for a while: a zone that is lost or replaced is one
        change, not one for each of its instances.
        """
        wanted = tuple(sorted({self.instance, *electorate}))
        if wanted != self.wanted:
            self.wanted = wanted
            self.wanted_since = now

    def tick(self, now: float, addresses: dict[str, str]) -> None:
        """Renew the lease and ask for vouches when it is time.

        Args:
            now: Monotonic seconds.
            addresses: Peer address of each live instance, by id.
        """
        if self.closed:
            return
        if now >= self.next_call_at and not self.waiting:
            self.waiting = True
            self.next_call_at = now + self.renew_s
            self._call()
        if self._pin_due(now):
            self._pin()
        if self.registered and self.cut_off(now) and now >= self.next_ask_at:
            self.next_ask_at = now + self.term_s / VOUCHES_PER_TERM
            self._ask(now, addresses)

    def vouch(self, now: float) -> peers.Vouch:
        """Answer a peer that asks whether this instance, too, is out of touch."""
        cut_off = self.cut_off(now) and not self.closed
        if cut_off:
            self.vouched_at = now
        return peers.Vouch(instance=self.instance, cut_off=cut_off)

    def attest(self, now: float) -> peers.Attest:
        """Answer a peer that wants to take over another's slices."""
        return peers.Attest(instance=self.instance, quiet_s=min(self.quiet_s(now), 1e9))

    def vouch_came(self, reply: peers.Vouch, *, asked_at: float, now: float) -> None:
        """Count a vouch from the moment at which it was asked for."""
        if reply.cut_off:
            self.vouches[reply.instance] = max(self.vouches.get(reply.instance, 0.0), asked_at)
            self._cover(now)

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Take in the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, sent_at, now)

    def close(self) -> None:
        """Stop spending for good, and tell the store that this instance left."""
        self.closed = True
        self.fresh_until = -math.inf
        self.covered_until = -math.inf

    def _call(self) -> None:
        if not self.lease:
            grant = store.GrantLease(self.lease_s)
            self.outbox.append(commands.StoreCall(grant, Grant()))
        elif not self.registered:
            self._register()
        else:
            self.outbox.append(commands.StoreCall(store.KeepAlive(self.lease), Renew()))

    def _register(self) -> None:
        commit = store.Commit(
            conditions=[store.Condition(PIN_PREFIX + self.instance, self.pin_revision)],
            changes=[
                store.Put(SESSION_PREFIX + self.instance, b"{}", lease=self.lease),
                store.Put(PIN_PREFIX + self.instance, pin_to_bytes(self.wanted)),
            ],
        )
        purpose = Register(self.lease, self.wanted)
        self.outbox.append(commands.StoreCall(commit, purpose))

    def _pin_due(self, now: float) -> bool:
        settled = now - self.wanted_since >= SETTLE_RENEWALS * self.renew_s
        changed = self.unsettled is not None or (settled and self.wanted != self.electorate)
        return self.registered and changed and not self.pin_waiting and now >= self.pin_due_at

    def _pin(self) -> None:
        self.unsettled = self.unsettled or self.wanted
        self.pin_waiting = True
        commit = store.Commit(
            conditions=[store.Condition(PIN_PREFIX + self.instance, self.pin_revision)],
            changes=[store.Put(PIN_PREFIX + self.instance, pin_to_bytes(self.unsettled))],
        )
        self.outbox.append(commands.StoreCall(commit, Pin(self.unsettled)))

    def _ask(self, now: float, addresses: dict[str, str]) -> None:
        self.vouched_at = now
        self.vouches[self.instance] = now
        others = set(self.electorate) | set(self.unsettled or ())
        self.outbox.extend(
            commands.PeerCall(
                instance=name,
                address=addresses[name],
                body=peers.AskVouch(self.instance),
                purpose=VouchAsked(name),
            )
            for name in sorted(others)
            if name != self.instance and name in addresses
        )
        self._cover(now)

    def _cover(self, now: float) -> None:
        unbroken = now <= max(self.fresh_until + self.term_s, self.covered_until)
        if not unbroken or not self.registered:
            return
        groups = [self.electorate] + ([self.unsettled] if self.unsettled else [])
        until = min(self._covered_by(group) for group in groups)
        if until > now:
            self.covered_until = max(self.covered_until, until)

    def _covered_by(self, electorate: tuple[str, ...]) -> float:
        needed = vouches_needed(len(electorate))
        times = sorted((self.vouches.get(name, -math.inf) for name in electorate), reverse=True)
        return times[needed - 1] + self.term_s

    def _lapse(self) -> None:
        self.lease = 0
        self.registered = False
        self.fresh_until = -math.inf
        self.covered_until = -math.inf
        self.next_call_at = 0.0


def claims_needed(electorate: int) -> int:
    """Return how many others must attest before an instance's slices are taken over."""
    return math.ceil(electorate / 2)


def vouches_needed(electorate: int) -> int:
    """Return how many must vouch; any that many and any ``claims_needed`` share a member."""
    return electorate - claims_needed(electorate) + 1


def pin_to_bytes(electorate: tuple[str, ...]) -> bytes:
    """Return an electorate as it is kept in the store."""
    return json.dumps({"electorate": list(electorate)}).encode()


def pin_from_bytes(data: bytes) -> tuple[str, ...]:
    """Read an electorate from the store."""
    return tuple(json.loads(data)["electorate"])


@functools.singledispatch
def _on_store(
    purpose: typing.Any, session: Session, reply: store.Reply, sent_at: float, now: float
) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: Grant, session: Session, reply: store.Reply, sent_at: float, now: float) -> None:
    session.waiting = False
    if type(reply) is store.LeaseReply and reply.lease:
        session.lease = reply.lease
        session.next_call_at = 0.0


@_on_store.register
def _(purpose: Register, session: Session, reply: store.Reply, sent_at: float, now: float) -> None:
    session.waiting = False
    if type(reply) is not store.CommitReply:
        return
    if not reply.applied:
        session.pin_revision = max((item.revision for item in reply.items), default=0)
        session.next_call_at = 0.0
        return
    session.registered = purpose.lease == session.lease
    session.pin_revision = reply.revision
    session.electorate = purpose.electorate
    session.unsettled = None
    session.generation += 1
    session.next_call_at = 0.0


@_on_store.register
def _(purpose: Renew, session: Session, reply: store.Reply, sent_at: float, now: float) -> None:
    session.waiting = False
    if type(reply) is not store.LeaseReply:
        return
    if reply.ttl_s <= 0:
        session._lapse()
        return
    session.fresh_until = max(session.fresh_until, sent_at + reply.ttl_s - session.drift_s)
    session.covered_until = -math.inf
    session.vouches.clear()


@_on_store.register
def _(purpose: Pin, session: Session, reply: store.Reply, sent_at: float, now: float) -> None:
    session.pin_waiting = False
    if type(reply) is not store.CommitReply:
        session.pin_due_at = now + session.renew_s
        return
    session.unsettled = None
    if reply.applied:
        session.pin_revision = reply.revision
        session.electorate = purpose.electorate
        return
    for item in reply.items:
        session.pin_revision = item.revision
        session.electorate = pin_from_bytes(item.value)
