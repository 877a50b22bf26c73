"""Which instances are alive, learnt by gossip inside a zone and by samples between zones."""

from __future__ import annotations

import itertools
import random
import typing

import xxhash

from yuccahitch import events, records
from yuccahitch.messages import commands, peers

SMALL_FLEET_INSTANCES = 32
MAX_NEW_INFOS = 8
NEW_INFO_S = 5.0
MAX_SAMPLED_BEATS = 16
REMOTE_LOST_FACTOR = 3.0
LEAVING_FLAG = 1
READY_FLAG = 2


class Member:
    """An instance as this one knows it.

    Attributes:
        info: Its newest row.
        last_seen_at: When its heartbeat last grew, in monotonic seconds.
        info_changed_at: When its row last changed otherwise; new rows are passed on in full.
        last_call_failed: Whether a call to it failed since its heartbeat last grew.
    """

    __slots__ = ("info", "last_seen_at", "info_changed_at", "last_call_failed")

    def __init__(self, info: peers.Row, last_seen_at: float) -> None:
        self.info = info
        self.last_seen_at = last_seen_at
        self.info_changed_at = last_seen_at
        self.last_call_failed = False


class Heartbeat(records.Record):
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
        "instance_by_hash",
        "removed_beats",
        "next_heartbeat_at",
        "outbox",
    )

    def __init__(
        self,
        own: peers.Row,
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
        self.instance_by_hash: dict[int, str] = {}
        self.removed_beats: dict[str, float] = {}
        self.next_heartbeat_at = 0.0
        self.outbox: list[commands.Command] = []

    def alive(self, *, region: str = "", zone: str = "") -> list[peers.Row]:
        """Return the rows of the other live instances, of a region or zone if one is given."""
        return [
            member.info
            for member in self.members.values()
            if (not region or member.info.region == region)
            and (not zone or member.info.zone == zone)
        ]

    def serving(self, *, region: str = "", zone: str = "") -> list[peers.Row]:
        """Return the rows of live instances that take requests, this one included."""
        return [
            info
            for info in itertools.chain([self.own], self.alive())
            if info.ready
            and not info.leaving
            and (not region or info.region == region)
            and (not zone or info.zone == zone)
            and not self.is_suspected(info.instance)
        ]

    def is_suspected(self, instance: str) -> bool:
        """Return whether a call to an instance failed since it was last heard of."""
        member = self.members.get(instance)
        return member is not None and member.last_call_failed

    def find(self, instance: str) -> peers.Row | None:
        """Return the row of a live instance, or None."""
        if instance == self.own.instance:
            return self.own
        member = self.members.get(instance)
        return member.info if member is not None else None

    def address_of(self, info: peers.Row) -> str:
        """Return where this instance reaches another."""
        return info.address_from(self.own.region)

    def make_call(
        self, info: peers.Row, body: peers.Body, *, purpose: typing.Any = None
    ) -> commands.PeerCall:
        """Return the call that takes a message to an instance."""
        return commands.PeerCall(
            instance=info.instance, address=self.address_of(info), body=body, purpose=purpose
        )

    def heartbeat_due(self, now: float) -> bool:
        """Return whether a heartbeat is to be sent."""
        return now >= self.next_heartbeat_at

    def begin_heartbeat(self, now: float) -> list[tuple[str, str]]:
        """Count a heartbeat and return whom to send it to, as ids and addresses."""
        self.own.beat += 1
        self.next_heartbeat_at = now + self.heartbeat_s
        zone_infos = [info for info in self.alive() if info.zone == self.own.zone]
        remote_infos = [info for info in self.alive() if info.zone != self.own.zone]
        chosen = [
            (self.rng.choice(infos).instance) for infos in (zone_infos, remote_infos) if infos
        ]
        known_addresses = {a for info in self.alive() for a in (info.address, info.wan_address)}
        unknown_seeds = [seed for seed in self.seeds if seed not in known_addresses]
        targets = [(name, self.address_of(self.members[name].info)) for name in chosen]
        if unknown_seeds and (not remote_infos or not zone_infos or self.rng.random() < 0.2):
            targets.append(("", self.rng.choice(unknown_seeds)))
        return targets

    def select_updates(self, receiver: str, now: float) -> tuple[list[peers.Row], list[peers.Beat]]:
        """Return the rows and heartbeats worth telling a receiver.

        A receiver that is not known yet gets all rows of a small fleet; others get rows only
        while they are new, and ask for those that they miss.
        """
        infos = self.alive()
        if len(infos) < SMALL_FLEET_INSTANCES:
            selected = infos
        else:
            same_zone = [info for info in infos if info.zone == self.own.zone]
            others = [info for info in infos if info.zone != self.own.zone]
            selected = same_zone + self.rng.sample(others, min(MAX_SAMPLED_BEATS, len(others)))
        if receiver not in self.members and len(infos) < SMALL_FLEET_INSTANCES:
            return selected, []
        new_infos = [
            info
            for info in selected
            if now - self.members[info.instance].info_changed_at < NEW_INFO_S
        ][:MAX_NEW_INFOS]
        beat_instances = {info.instance for info in selected} - {
            info.instance for info in new_infos
        }
        return new_infos, [_to_beat(info) for info in selected if info.instance in beat_instances]

    def record_report(self, gossip: peers.Gossip, now: float) -> list[int]:
        """Take in what a peer tells; return the hashes of ids whose rows are not known."""
        for info in itertools.chain([gossip.sender], gossip.rows):
            self._record_info(info, now)
        unknown_hashes = []
        for beat in gossip.beats:
            name = self.instance_by_hash.get(beat.key)
            if name is None or name not in self.members:
                unknown_hashes.append(beat.key)
            else:
                self._record_beat(self.members[name], beat, now)
        return unknown_hashes[:MAX_SAMPLED_BEATS]

    def infos_by_hash(self, hashes: typing.Iterable[int]) -> list[peers.Row]:
        """Return the rows whose id has one of the hashes."""
        names = (self.instance_by_hash.get(key) for key in hashes)
        return [self.members[name].info for name in names if name in self.members]

    def record_call_failure(self, instance: str) -> None:
        """Note that a call to an instance failed: it gets no requests until heard of again."""
        if instance in self.members:
            self.members[instance].last_call_failed = True

    def expire(self, now: float) -> list[peers.Row]:
        """Drop the instances that have been silent for too long and return their rows."""
        expired = [
            name
            for name, member in self.members.items()
            if now - member.last_seen_at > self._silence_limit_s(member.info)
        ]
        removed = [self.members.pop(name).info for name in expired]
        for info in removed:
            self.instance_by_hash.pop(instance_hash(info.instance), None)
            event = events.Event.MEMBER_LEFT if info.leaving else events.Event.MEMBER_LOST
            self.outbox.append(commands.Note(event, member=info.instance))
            self.removed_beats[info.instance] = info.beat
        while len(self.removed_beats) > 1024:
            self.removed_beats.pop(next(iter(self.removed_beats)))
        return removed

    def _silence_limit_s(self, info: peers.Row) -> float:
        if info.zone == self.own.zone:
            return self.lost_after_s
        return self.lost_after_s * REMOTE_LOST_FACTOR

    def _record_info(self, info: peers.Row, now: float) -> None:
        if info.instance == self.own.instance or not info.instance:
            return
        member = self.members.get(info.instance)
        if member is None:
            if info.beat <= self.removed_beats.get(info.instance, -1):
                return
            self.members[info.instance] = Member(info, now)
            self.instance_by_hash[instance_hash(info.instance)] = info.instance
            self.outbox.append(commands.Note(events.Event.MEMBER_JOINED, member=info.instance))
        elif info.beat > member.info.beat:
            if (info.leaving, info.ready) != (member.info.leaving, member.info.ready):
                member.info_changed_at = now
            member.info = info
            member.last_seen_at = now
            member.last_call_failed = False

    def _record_beat(self, member: Member, beat: peers.Beat, now: float) -> None:
        if beat.beat <= member.info.beat:
            return
        member.info.beat = beat.beat
        member.info.leaving = bool(beat.flags & LEAVING_FLAG)
        member.info.ready = bool(beat.flags & READY_FLAG)
        member.info.config_age = beat.config_age
        member.last_seen_at = now
        member.last_call_failed = False


def instance_hash(instance: str) -> int:
    """Return the hash by which short messages name an instance."""
    return xxhash.xxh64_intdigest(instance.encode())


def _to_beat(info: peers.Row) -> peers.Beat:
    flags = (LEAVING_FLAG if info.leaving else 0) | (READY_FLAG if info.ready else 0)
    return peers.Beat(
        key=instance_hash(info.instance), beat=info.beat, flags=flags, config_age=info.config_age
    )
