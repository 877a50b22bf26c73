"""Which instances are alive, learnt by gossip inside a zone and by samples between zones."""

from __future__ import annotations

import itertools
import random
import typing

import xxhash

from yuccahitch import events, records
from yuccahitch.messages import commands, peers

FULL_ROWS_FLEET = 32
ROW_SAMPLE = 8
FRESH_ROW_S = 5.0
BEAT_SAMPLE = 16
REMOTE_PATIENCE = 3.0
LEAVING = 1
READY = 2


class Member:
    """An instance as this one knows it.

    Attributes:
        row: Its newest row.
        heard_at: When its heartbeat last grew, in monotonic seconds.
        fresh_row: When its row last changed otherwise; new rows are passed on in full.
        suspect: Whether a call to it failed since its heartbeat last grew.
    """

    __slots__ = ("row", "heard_at", "fresh_row", "suspect")

    def __init__(self, row: peers.InstanceInfo, heard_at: float) -> None:
        self.row = row
        self.heard_at = heard_at
        self.fresh_row = heard_at
        self.suspect = False


class HeartbeatSent(records.Record):
    """Purpose of a heartbeat's call."""

    __slots__ = ()


class Membership:
    """Keeps the table of instances.

    Args:
        own: Row of this instance.
        seeds: Addresses to contact while no instance is known, ``IP:PORT``.
        heartbeat_s: Time between heartbeats.
        lost_after_s: Silence after which an instance of the same zone is lost; other zones are
            given ``REMOTE_PATIENCE`` times as long, since news of them takes longer.
        rng: Seeded source of random numbers.
    """

    __slots__ = (
        "own",
        "seeds",
        "heartbeat_s",
        "lost_after_s",
        "rng",
        "members",
        "by_key",
        "gone",
        "next_beat_at",
        "outbox",
    )

    def __init__(
        self,
        own: peers.InstanceInfo,
        *,
        seeds: typing.Sequence[str] = (),
        heartbeat_s: float = 1.0,
        lost_after_s: float = 5.0,
        rng: random.Random,
    ) -> None:
        self.own = own
        self.seeds = [seed for seed in seeds if seed not in (own.address, own.wan_address)]
        self.heartbeat_s = heartbeat_s
        self.lost_after_s = lost_after_s
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.by_key: dict[int, str] = {}
        self.gone: dict[str, float] = {}
        self.next_beat_at = 0.0
        self.outbox: list[commands.Command] = []

    def alive(self, *, region: str = "", zone: str = "") -> list[peers.InstanceInfo]:
        """Return the rows of the other live instances, of a region or zone if one is given."""
        return [
            member.row
            for member in self.members.values()
            if (not region or member.row.region == region) and (not zone or member.row.zone == zone)
        ]

    def serving(self, *, region: str = "", zone: str = "") -> list[peers.InstanceInfo]:
        """Return the rows of live instances that take requests, this one included."""
        return [
            row
            for row in itertools.chain([self.own], self.alive())
            if row.ready
            and not row.leaving
            and (not region or row.region == region)
            and (not zone or row.zone == zone)
            and not self.suspected(row.instance)
        ]

    def suspected(self, instance: str) -> bool:
        """Return whether a call to an instance failed since it was last heard of."""
        member = self.members.get(instance)
        return member is not None and member.suspect

    def find(self, instance: str) -> peers.InstanceInfo | None:
        """Return the row of a live instance, or None."""
        if instance == self.own.instance:
            return self.own
        member = self.members.get(instance)
        return member.row if member is not None else None

    def address(self, row: peers.InstanceInfo) -> str:
        """Return where this instance reaches another."""
        return row.address_from(self.own.region)

    def call(
        self, row: peers.InstanceInfo, body: peers.Body, *, purpose: typing.Any = None
    ) -> commands.PeerCall:
        """Return the call that takes a message to an instance."""
        return commands.PeerCall(
            instance=row.instance, address=self.address(row), body=body, purpose=purpose
        )

    def due(self, now: float) -> bool:
        """Return whether a heartbeat is to be sent."""
        return now >= self.next_beat_at

    def targets(self, now: float) -> list[tuple[str, str]]:
        """Count a heartbeat and return whom to send it to, as ids and addresses."""
        self.own.beat += 1
        self.next_beat_at = now + self.heartbeat_s
        near = [row for row in self.alive() if row.zone == self.own.zone]
        far = [row for row in self.alive() if row.zone != self.own.zone]
        chosen = [(self.rng.choice(rows).instance) for rows in (near, far) if rows]
        known = {a for row in self.alive() for a in (row.address, row.wan_address)}
        unknown_peers = [seed for seed in self.seeds if seed not in known]
        targets = [(name, self.address(self.members[name].row)) for name in chosen]
        if unknown_peers and (not far or not near or self.rng.random() < 0.2):
            targets.append(("", self.rng.choice(unknown_peers)))
        return targets

    def summary(
        self, receiver: str, now: float
    ) -> tuple[list[peers.InstanceInfo], list[peers.InstanceUpdate]]:
        """Return the rows and heartbeats worth telling a receiver.

        A receiver that is not known yet gets all rows of a small fleet; others get rows only
        while they are new, and ask for those that they miss.
        """
        rows = self.alive()
        if len(rows) < FULL_ROWS_FLEET:
            told = rows
        else:
            same_zone = [row for row in rows if row.zone == self.own.zone]
            others = [row for row in rows if row.zone != self.own.zone]
            told = same_zone + self.rng.sample(others, min(BEAT_SAMPLE, len(others)))
        if receiver not in self.members and len(rows) < FULL_ROWS_FLEET:
            return told, []
        fresh = [row for row in told if now - self.members[row.instance].fresh_row < FRESH_ROW_S][
            :ROW_SAMPLE
        ]
        short = {row.instance for row in told} - {row.instance for row in fresh}
        return fresh, [_beat(row) for row in told if row.instance in short]

    def hear(self, gossip: peers.Gossip, now: float) -> list[int]:
        """Take in what a peer tells; return the hashes of ids whose rows are not known."""
        for row in itertools.chain([gossip.sender], gossip.rows):
            self._hear_row(row, now)
        unknown = []
        for beat in gossip.beats:
            name = self.by_key.get(beat.key)
            if name is None or name not in self.members:
                unknown.append(beat.key)
            else:
                self._hear_beat(self.members[name], beat, now)
        return unknown[:BEAT_SAMPLE]

    def rows_for(self, keys: typing.Iterable[int]) -> list[peers.InstanceInfo]:
        """Return the rows whose id has one of the hashes."""
        names = (self.by_key.get(key) for key in keys)
        return [self.members[name].row for name in names if name in self.members]

    def call_failed(self, instance: str) -> None:
        """Note that a call to an instance failed: it gets no requests until heard of again."""
        if instance in self.members:
            self.members[instance].suspect = True

    def expire(self, now: float) -> list[peers.InstanceInfo]:
        """Drop the instances that have been silent for too long and return their rows."""
        silent = [
            name
            for name, member in self.members.items()
            if now - member.heard_at > self._patience(member.row)
        ]
        lost = [self.members.pop(name).row for name in silent]
        for row in lost:
            self.by_key.pop(key_of(row.instance), None)
            event = events.Event.MEMBER_LEFT if row.leaving else events.Event.MEMBER_LOST
            self.outbox.append(commands.LogEvent(event, member=row.instance))
            self.gone[row.instance] = row.beat
        while len(self.gone) > 1024:
            self.gone.pop(next(iter(self.gone)))
        return lost

    def _patience(self, row: peers.InstanceInfo) -> float:
        if row.zone == self.own.zone:
            return self.lost_after_s
        return self.lost_after_s * REMOTE_PATIENCE

    def _hear_row(self, row: peers.InstanceInfo, now: float) -> None:
        if row.instance == self.own.instance or not row.instance:
            return
        member = self.members.get(row.instance)
        if member is None:
            if row.beat <= self.gone.get(row.instance, -1):
                return
            self.members[row.instance] = Member(row, now)
            self.by_key[key_of(row.instance)] = row.instance
            self.outbox.append(commands.LogEvent(events.Event.MEMBER_JOINED, member=row.instance))
        elif row.beat > member.row.beat:
            if (row.leaving, row.ready) != (member.row.leaving, member.row.ready):
                member.fresh_row = now
            member.row = row
            member.heard_at = now
            member.suspect = False

    def _hear_beat(self, member: Member, beat: peers.InstanceUpdate, now: float) -> None:
        if beat.beat <= member.row.beat:
            return
        member.row.beat = beat.beat
        member.row.leaving = bool(beat.flags & LEAVING)
        member.row.ready = bool(beat.flags & READY)
        member.row.config_age = beat.config_age
        member.heard_at = now
        member.suspect = False


def key_of(instance: str) -> int:
    """Return the hash by which short messages name an instance."""
    return xxhash.xxh64_intdigest(instance.encode())


def _beat(row: peers.InstanceInfo) -> peers.InstanceUpdate:
    flags = (LEAVING if row.leaving else 0) | (READY if row.ready else 0)
    return peers.InstanceUpdate(
        key=key_of(row.instance), beat=row.beat, flags=flags, config_age=row.config_age
    )
