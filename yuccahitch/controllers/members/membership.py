"""Tracks which instances are live, by gossip inside a zone and by samples between zones."""

from __future__ import annotations

import itertools
import random
import typing

import xxhash

from yuccahitch import events, records
from yuccahitch.messages import commands, peers

# In smaller fleets a heartbeat covers all instances, in larger ones the own zone and a sample.
SMALL_FLEET_INSTANCES = 32
MAX_NEW_INFOS = 8
# Time for which an instance's info counts as new and is sent in full, in seconds.
NEW_INFO_S = 5.0
# Instances of other zones that a heartbeat covers in a large fleet; also the most infos that it
# asks for.
MAX_SAMPLED_BEATS = 16
# How many times longer instances of other zones may be silent before they are removed.
REMOTE_LOST_FACTOR = 3.0
# Bits of the flags of a Beat.
LEAVING_FLAG = 1
READY_FLAG = 2


class Member:
    """A live instance as this one knows it.

    Attributes:
        info: Its latest info.
        last_seen_at: When its heartbeat counter last increased, in monotonic seconds.
        info_changed_at: When it became known or its leaving or ready state last changed, in
            monotonic seconds.
        last_call_failed: Whether a call to it failed since its heartbeat counter last increased.
    """

    __slots__ = ("info", "last_seen_at", "info_changed_at", "last_call_failed")

    def __init__(self, info: peers.InstanceInfo, last_seen_at: float) -> None:
        self.info = info
        self.last_seen_at = last_seen_at
        self.info_changed_at = last_seen_at
        self.last_call_failed = False


class Heartbeat(records.Record):
    """Purpose of the call that sends a heartbeat."""

    __slots__ = ()


class Membership:
    """Keeps the table of the live instances.

    Args:
        own: Info of this instance.
        seeds: Peer addresses to contact while they belong to no known instance, ``IP:PORT``.
        heartbeat_s: Time between heartbeats, in seconds.
        lost_after_s: Silence after which an instance of the same zone is unreachable and removed,
            in seconds; other zones are given ``REMOTE_LOST_FACTOR`` times as long, since their
            heartbeats take longer to arrive.
        rng: Seeded source of random numbers.

    Attributes:
        members: The other live instances, by id.
        instance_by_hash: Instance ids by the hash that short messages use.
        removed_beats: Last heartbeat counter of each removed instance, by id, for the latest 1024.
            Late reports that are not newer must not bring the instance back.
        next_heartbeat_at: When the next heartbeat is due, in monotonic seconds.
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
        self.instance_by_hash: dict[int, str] = {}
        self.removed_beats: dict[str, float] = {}
        self.next_heartbeat_at = 0.0
        self.outbox: list[commands.Command] = []

    def alive(self, *, region: str = "", zone: str = "") -> list[peers.InstanceInfo]:
        """Return the infos of the other live instances, of a region or zone if one is given."""
        return [
            member.info
            for member in self.members.values()
            if (not region or member.info.region == region)
            and (not zone or member.info.zone == zone)
        ]

    def serving(self, *, region: str = "", zone: str = "") -> list[peers.InstanceInfo]:
        """Return the infos of the instances that accept requests, this one included.

        They are ready, not leaving, and no call to them has failed since their last heartbeat.
        """
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
        """Return whether a call to an instance failed since its last heartbeat."""
        member = self.members.get(instance)
        return member is not None and member.last_call_failed

    def find(self, instance: str) -> peers.InstanceInfo | None:
        """Return the info of a live instance or of this one, or None for any other id."""
        if instance == self.own.instance:
            return self.own
        member = self.members.get(instance)
        return member.info if member is not None else None

    def address_of(self, info: peers.InstanceInfo) -> str:
        """Return the address at which this instance reaches another, ``IP:PORT``."""
        return info.address_from(self.own.region)

    def make_call(
        self, info: peers.InstanceInfo, body: peers.Body, *, purpose: typing.Any = None
    ) -> commands.PeerCall:
        """Return the command that sends a message to an instance.

        Args:
            info: Info of the receiver.
            body: The message.
            purpose: Comes back with the reply and selects its handler; without one, the reply is
                ignored.
        """
        return commands.PeerCall(
            instance=info.instance, address=self.address_of(info), body=body, purpose=purpose
        )

    def heartbeat_due(self, now: float) -> bool:
        """Return whether the next heartbeat is due."""
        return now >= self.next_heartbeat_at

    def begin_heartbeat(self, now: float) -> list[tuple[str, str]]:
        """Increase the heartbeat counter and choose the receivers of the heartbeat.

        They are a random instance of the own zone and one of another zone. A seed that belongs to
        no known instance is added when either is missing, and otherwise in a fifth of the calls.

        Returns:
            Instance id and address of each receiver; the id of a seed is empty.
        """
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

    def select_updates(
        self, receiver: str, now: float
    ) -> tuple[list[peers.InstanceInfo], list[peers.InstanceUpdate]]:
        """Return the infos and the short heartbeats that a heartbeat to a receiver carries.

        A receiver that is not known yet gets all infos of a small fleet. Others get infos only
        while they are new, and ask for those that they lack.
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
        """Record a peer's heartbeat; return the hashes of instances whose infos are not known."""
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

    def newer_beats(self, gossip: peers.Gossip) -> list[peers.InstanceUpdate]:
        """Return the beats of this zone that a peer of the zone lacks, by its heartbeat.

        They go into the answer: receivers are drawn at random, so that an instance may get no
        heartbeat for long, but it sends its own and gets the answers.
        """
        if gossip.sender.zone != self.own.zone:
            return []
        told = {beat.key: beat.beat for beat in gossip.beats}
        for info in (gossip.sender, *gossip.rows):
            told[instance_hash(info.instance)] = info.beat
        beats = map(_to_beat, self.alive(zone=self.own.zone))
        return [beat for beat in beats if beat.beat > told.get(beat.key, -1)]

    def infos_by_hash(self, hashes: typing.Iterable[int]) -> list[peers.InstanceInfo]:
        """Return the infos of the live instances whose ids have the given hashes."""
        names = (self.instance_by_hash.get(key) for key in hashes)
        return [self.members[name].info for name in names if name in self.members]

    def record_call_failure(self, instance: str) -> None:
        """Record that a call failed: the instance gets no requests until its next heartbeat."""
        if instance in self.members:
            self.members[instance].last_call_failed = True

    def expire(self, now: float) -> list[peers.InstanceInfo]:
        """Remove the unreachable instances, silent for too long, and return their infos."""
        expired = [
            name
            for name, member in self.members.items()
            if now - member.last_seen_at > self._silence_limit_s(member.info)
        ]
        removed = [self.members.pop(name).info for name in expired]
        for info in removed:
            self.instance_by_hash.pop(instance_hash(info.instance), None)
            event = events.Event.MEMBER_LEFT if info.leaving else events.Event.MEMBER_LOST
            self.outbox.append(commands.LogEvent(event, member=info.instance))
            self.removed_beats[info.instance] = info.beat
        while len(self.removed_beats) > 1024:
            self.removed_beats.pop(next(iter(self.removed_beats)))
        return removed

    def _silence_limit_s(self, info: peers.InstanceInfo) -> float:
        """Return how long an instance may be silent before it is removed, in seconds."""
        if info.zone == self.own.zone:
            return self.lost_after_s
        return self.lost_after_s * REMOTE_LOST_FACTOR

    def _record_info(self, info: peers.InstanceInfo, now: float) -> None:
        """Add a new instance, or replace the info of a known one by a newer one."""
        if info.instance == self.own.instance or not info.instance:
            return
        member = self.members.get(info.instance)
        if member is None:
            if info.beat <= self.removed_beats.get(info.instance, -1):
                return
            self.members[info.instance] = Member(info, now)
            self.instance_by_hash[instance_hash(info.instance)] = info.instance
            self.outbox.append(commands.LogEvent(events.Event.MEMBER_JOINED, member=info.instance))
        elif info.beat > member.info.beat:
            if (info.leaving, info.ready) != (member.info.leaving, member.info.ready):
                member.info_changed_at = now
            member.info = info
            member.last_seen_at = now
            member.last_call_failed = False

    def _record_beat(self, member: Member, beat: peers.InstanceUpdate, now: float) -> None:
        """Update a known instance from the short form of its info, if that is newer."""
        if beat.beat <= member.info.beat:
            return
        member.info.beat = beat.beat
        member.info.leaving = bool(beat.flags & LEAVING_FLAG)
        member.info.ready = bool(beat.flags & READY_FLAG)
        member.info.config_age = beat.config_age
        member.last_seen_at = now
        member.last_call_failed = False


def instance_hash(instance: str) -> int:
    """Return the hash that stands for an instance id in short messages."""
    return xxhash.xxh64_intdigest(instance.encode())


def _to_beat(info: peers.InstanceInfo) -> peers.InstanceUpdate:
    """Return the short form of an info, for receivers that know the instance."""
    flags = (LEAVING_FLAG if info.leaving else 0) | (READY_FLAG if info.ready else 0)
    return peers.InstanceUpdate(
        key=instance_hash(info.instance), beat=info.beat, flags=flags, config_age=info.config_age
    )
