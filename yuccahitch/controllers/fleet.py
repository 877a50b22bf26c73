"""The instances of the fleet: registered in the store, heard by their pulses."""

from __future__ import annotations

import json
import math
import random

from yuccahitch import events, records
from yuccahitch.messages import commands, peers, pulses, store

PREFIX = "yuccahitch/instances/"
LOST_S = 2.5
FAR_LOST_S = 4.0
NEAR_PERIOD_S = 0.25
NEAR_PERIOD_PER_PEER_S = 0.02
FAR_PERIOD_S = 0.25
# How long the demand of an instance that fell silent still counts: longer than most partitions.
DEMAND_LIFETIME_S = 30.0


class LeaseAsked(records.Record):
    """Purpose of the call that asks for the instance's lease."""

    __slots__ = ()


class LeaseKept(records.Record):
    """Purpose of the call that renews the instance's lease."""

    __slots__ = ()


class Registered(records.Record):
    """Purpose of the call that writes the instance's entry."""

    __slots__ = ()


class Member:
    """Another instance.

    Attributes:
        row: Its entry in the store.
        listed: Whether the entry is there.
        heard_at: When it was last known to live, in monotonic seconds.
        pulse: Its last pulse, or None.
        lives: Whether it was last told to live, for the log.
        demands: What that pulse told of each account, by its name.
    """

    __slots__ = ("row", "listed", "heard_at", "pulse", "lives", "demands")

    def __init__(self, row: peers.InstanceInfo, now: float) -> None:
        self.row = row
        self.listed = True
        self.heard_at = now
        self.pulse: pulses.Pulse | None = None
        self.lives = True
        self.demands: dict[str, pulses.AccountDemand] = {}


class Region:
    """What another region's instances ask for together, as one of them told last.

    Attributes:
        heard_at: When it was told, in monotonic seconds.
        demands: What each account asks, by its name.
    """

    __slots__ = ("heard_at", "demands")

    def __init__(self, heard_at: float, demands: dict[str, pulses.AccountDemand]) -> None:
        self.heard_at = heard_at
        self.demands = demands


class Fleet:
    """Keeps the other instances and this one's place among them.

    Args:
        own: The entry of this instance.
        name: Name of this machine; a restarted instance takes over its entry.
        lease_s: Time to live of the entry, in seconds.
        rng: Seeded source of random numbers.
    """

    __slots__ = (
        "own",
        "name",
        "lease_s",
        "rng",
        "members",
        "regions",
        "lease",
        "lease_due",
        "near_due",
        "far_due",
        "number",
        "outbox",
    )

    def __init__(
        self, own: peers.InstanceInfo, *, name: str, lease_s: float, rng: random.Random
    ) -> None:
        self.own = own
        self.name = name
        self.lease_s = lease_s
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.regions: dict[str, Region] = {}
        self.lease = 0
        self.lease_due = -math.inf
        self.near_due = -math.inf
        self.far_due = -math.inf
        self.number = 0
        self.outbox: list[commands.Command] = []

    def snapshot(self, items: list[store.KeyValue], now: float) -> None:
        """Take in the entries of all instances."""
        present = {item.key for item in items}
        for member in self.members.values():
            member.listed = _name(member.row) in present
        for item in items:
            self.changed(item.key, item, now)

    def changed(self, key: str, item: store.KeyValue | None, now: float) -> None:
        """Take in the entry of an instance, or that it vanished."""
        if item is None:
            for member in self.members.values():
                member.listed = member.listed and _name(member.row) != key
            return
        try:
            row = peers.InstanceInfo(**json.loads(item.value))
        except (ValueError, TypeError) as error:
            note = commands.LogEvent(
                events.Event.ENTRY_UNREADABLE, key=key, detail=str(error)[:200]
            )
            self.outbox.append(note)
            return
        if row.instance == self.own.instance:
            return
        for earlier in [m for m in self.members.values() if _name(m.row) == _name(row)]:
            if earlier.row.instance != row.instance:
                del self.members[earlier.row.instance]
        if row.instance not in self.members:
            self.members[row.instance] = Member(row, now)
            note = commands.LogEvent(events.Event.MEMBER_JOINED, member=row.instance)
            self.outbox.append(note)
        self.members[row.instance].listed = True

    def hear(self, pulse: pulses.Pulse, now: float) -> None:
        """Take in a pulse."""
        member = self.members.get(pulse.instance)
        if member is None or (member.pulse is not None and pulse.number <= member.pulse.number):
            return
        member.pulse = pulse
        member.heard_at = now
        demands = {demand.account: demand for demand in pulse.demands}
        if pulse.region == self.own.region:
            member.demands = demands
        elif pulse.wide:
            self.regions[pulse.region] = Region(now, demands)
        for name, age in pulse.heard.items():
            if name in self.members:
                near = self.members[name]
                near.heard_at = max(near.heard_at, now - age)

    def alive(self, now: float, *, region: str | None = None) -> list[Member]:
        """Return the other instances that live, of one region or of all."""
        return [
            member
            for member in self.members.values()
            if (region is None or member.row.region == region) and self._lives(member, now)
        ]

    def serving(self, now: float, *, region: str) -> list[peers.InstanceInfo]:
        """Return the instances of a region that take requests, this one included."""
        own = self.own
        mine = [own] if own.region == region and own.ready and not own.leaving else []
        return mine + [
            member.row
            for member in self.alive(now, region=region)
            if not _leaving(member) and _ready(member)
        ]

    def near(self, now: float) -> list[str]:
        """Return the ids of the live instances of this region, this one included."""
        found = self.alive(now, region=self.own.region)
        return [self.own.instance, *(member.row.instance for member in found)]

    def count(self, now: float) -> int:
        """Return how many instances may be at work, silent ones for a while included."""
        recent = [m for m in self.members.values() if now - m.heard_at < DEMAND_LIFETIME_S]
        return 1 + len(recent)

    def demands(
        self, account: str, now: float, *, alive: bool = False
    ) -> list[pulses.AccountDemand]:
        """Return what an account asks of each other instance here and of each other region.

        Args:
            account: Name of the client account.
            now: Monotonic seconds.
            alive: Leave out instances that fell silent; else they count for a while.
        """
        near = [
            member.demands[account]
            for member in self.members.values()
            if account in member.demands and now - member.heard_at < DEMAND_LIFETIME_S
            if not alive or self._lives(member, now)
        ]
        lifetime_s = FAR_LOST_S if alive else DEMAND_LIFETIME_S
        far = [
            region.demands[account]
            for region in self.regions.values()
            if account in region.demands and now - region.heard_at < lifetime_s
        ]
        return near + far

    def near_demands(self, now: float) -> list[pulses.AccountDemand]:
        """Return what every account asks of the other instances here, silent ones for a while."""
        recent = [m for m in self.members.values() if now - m.heard_at < DEMAND_LIFETIME_S]
        return [demand for member in recent for demand in member.demands.values()]

    def unheard(self, now: float) -> int:
        """Return how many other instances are known of whose demand nothing was told yet."""
        own = self.own.region
        recent = [m for m in self.members.values() if now - m.heard_at < DEMAND_LIFETIME_S]
        near = sum(m.pulse is None for m in recent if m.row.region == own)
        unknown = {m.row.region for m in recent} - {own, *self.regions}
        return near + sum(m.row.region in unknown for m in recent)

    def told_age(self, now: float) -> float:
        """Return the age of the oldest pulse from a live instance of this region, in seconds."""
        near = self.alive(now, region=self.own.region)
        return max((now - member.heard_at for member in near), default=0.0)

    def uses(self, now: float) -> dict[str, tuple[int, int]]:
        """Return the requests and unread prompt tokens of near instances at each upstream."""
        total: dict[str, tuple[int, int]] = {}
        for member in self.alive(now, region=self.own.region):
            for use in member.pulse.uses if member.pulse is not None else ():
                running, tokens = total.get(use.upstream, (0, 0))
                total[use.upstream] = (running + use.running, tokens + use.prompt_tokens)
        return total

    def room(self, region: str, service: str, now: float) -> pulses.ServiceCapacity | None:
        """Return what another region offers at a service, as its newest pulse says."""
        told = [
            (member.heard_at, room)
            for member in self.alive(now, region=region)
            if member.pulse is not None
            for room in member.pulse.rooms
            if room.service == service
        ]
        return max(told, key=lambda pair: pair[0])[1] if told else None

    def targets(self, now: float) -> tuple[list[str], list[str]]:
        """Return the peer addresses here and in other regions that a pulse is due for."""
        addresses, away = [], []
        near = self.alive(now, region=self.own.region)
        if now >= self.near_due:
            self.near_due = now + max(NEAR_PERIOD_S, NEAR_PERIOD_PER_PEER_S * len(near))
            addresses += [address(member.row) for member in near]
            addresses += self._lost_one(now)
        if now >= self.far_due:
            self.far_due = now + FAR_PERIOD_S
            regions = {m.row.region for m in self.members.values()} - {self.own.region}
            for region in sorted(regions):
                # A region that was cut off is tried again by the members known before.
                known = self.alive(now, region=region) or [
                    m for m in self.members.values() if m.row.region == region
                ]
                away.append(address(self.rng.choice(known).row))
        return addresses, away

    def everyone(self) -> list[str]:
        """Return the peer addresses of all other instances."""
        return [address(member.row) for member in self.members.values()]

    def ages(self, now: float) -> dict[str, float]:
        """Return how long ago the live instances of this region were heard, in seconds."""
        found = self.alive(now, region=self.own.region)
        return {member.row.instance: now - member.heard_at for member in found}

    def register(self, now: float) -> None:
        """Ask for a lease, or renew it, when that is due."""
        if now < self.lease_due:
            return
        self.lease_due = now + self.lease_s / 3
        if self.lease:
            self.outbox.append(commands.StoreCall(store.KeepAlive(self.lease), LeaseKept()))
        else:
            call = store.GrantLease(self.lease_s)
            self.outbox.append(commands.StoreCall(call, LeaseAsked()))

    def leased(self, reply: store.Reply, now: float) -> None:
        """Take in a new lease, and write the entry under it."""
        if type(reply) is not store.LeaseReply or not reply.lease:
            self.lease_due = now + 0.5
            return
        self.lease = reply.lease
        value = json.dumps(self.own.as_dict()).encode()
        put = store.Put(PREFIX + self.name, value, lease=self.lease)
        call = store.Commit(conditions=[], changes=[put])
        self.outbox.append(commands.StoreCall(call, Registered()))

    def registered(self, reply: store.Reply, now: float) -> None:
        """Take in whether the entry was written."""
        if type(reply) is not store.CommitReply or not reply.applied:
            self.lease = 0
            self.lease_due = now + 0.5

    def kept(self, reply: store.Reply, now: float) -> None:
        """Take in whether the lease was renewed."""
        if type(reply) is store.LeaseReply and not reply.ttl_s:
            self.lease = 0
            self.lease_due = now
        elif type(reply) is store.CallFailed:
            self.lease_due = now + 1.0

    def expire(self, now: float) -> None:
        """Note who fell silent or is heard again; forget who stays away and isn't listed."""
        for name, member in list(self.members.items()):
            if member.lives is not self._lives(member, now):
                self._tell_change(member, now)
            if not member.listed and now - member.heard_at > DEMAND_LIFETIME_S:
                del self.members[name]

    def _tell_change(self, member: Member, now: float) -> None:
        member.lives = not member.lives
        left = events.Event.MEMBER_LEFT if _leaving(member) else events.Event.MEMBER_LOST
        event = events.Event.MEMBER_FOUND if member.lives else left
        silent_s = round(now - member.heard_at, 3)
        fields = {"member": member.row.instance, "silent_s": silent_s, "listed": member.listed}
        self.outbox.append(commands.LogEvent(event, **fields))

    def _lives(self, member: Member, now: float) -> bool:
        limit = LOST_S if member.row.region == self.own.region else FAR_LOST_S
        return now - member.heard_at < limit

    def _lost_one(self, now: float) -> list[str]:
        """Return the address of one near instance that fell silent, to find it again."""
        lost = [
            member.row
            for member in self.members.values()
            if member.row.region == self.own.region and not self._lives(member, now)
        ]
        return [address(self.rng.choice(lost))] if lost else []


def address(row: peers.InstanceInfo) -> str:
    """Return the peer address of an instance."""
    return f"{row.host}:{row.peer_port}"


def _name(row: peers.InstanceInfo) -> str:
    return row.instance.partition("~")[0]


def _leaving(member: Member) -> bool:
    return member.pulse is not None and member.pulse.leaving


def _ready(member: Member) -> bool:
    return member.pulse is None or member.pulse.ready
