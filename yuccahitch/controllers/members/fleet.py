"""The instances of the fleet: their entries in the store and their state reports (pulses).

Near instances are those of this instance's region, far instances those of other regions. An
instance that has not been seen in time is unreachable; its last reported demand counts on for
DEMAND_LIFETIME_S.
"""

from __future__ import annotations

import ipaddress
import json
import math
import random

from yuccahitch import events, records
from yuccahitch.controllers.members import fleet_member
from yuccahitch.messages import commands, peers, pulses, store

PREFIX = "yuccahitch/instances/"
# Silence after which a near or a far instance is unreachable, in seconds.
UNREACHABLE_AFTER_S = 2.5
FAR_UNREACHABLE_AFTER_S = 4.0
# Shortest time between two pulses to near instances, and the time for each of them, in seconds; the
# longer of both holds.
NEAR_PULSE_PERIOD_S = 0.25
NEAR_PULSE_PERIOD_PER_PEER_S = 0.02
# Time between two pulses to each other region, in seconds.
FAR_PULSE_PERIOD_S = 0.25
MAX_PORT = 65535
# Time for which the list of instances that divide rates is used, in seconds.
SHARERS_LIFETIME_S = 0.1
# Time over which the instances spread their registration in a restored store, in seconds.
REGISTER_SPREAD_S = 1.0
# Time for which the demand of an unreachable instance still counts, in seconds: longer than most
# partitions.
DEMAND_LIFETIME_S = 30.0


class LeaseGrant(records.Record):
    """Purpose of the call that grants the lease of this instance."""

    __slots__ = ()


class LeaseRenewal(records.Record):
    """Purpose of the call that renews the lease of this instance."""

    __slots__ = ()


class EntryWrite(records.Record):
    """Purpose of the call that writes the entry of this instance."""

    __slots__ = ()


class Fleet:
    """Keeps track of the other instances, and keeps this one registered in the store.

    Args:
        own: The entry of this instance.
        name: Name of this machine; a restarted instance replaces the entry under this name.
        lease_s: Time to live of the entry, in seconds.
        rng: Seeded source of random numbers.

    Attributes:
        members: The other instances by id.
        by_short_id: The other instances by short id.
        region_demands: Demand of each other region by name, as last reported.
        lease: Id of the lease of this instance's entry, or 0.
        lease_due_at: When the lease is requested or renewed next, in monotonic seconds.
        near_pulse_due_at: When the next pulse to near instances is due, in monotonic seconds.
        far_pulse_due_at: When the next pulse to other regions is due, in monotonic seconds.
        sharers: Ids of the instances that divide the rates of upstreams.
        sharers_until: When these are worked out anew, in monotonic seconds.
        pulse_number: Number of the last pulse that this instance sent.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "own",
        "name",
        "lease_s",
        "rng",
        "members",
        "by_short_id",
        "region_demands",
        "lease",
        "lease_due_at",
        "near_pulse_due_at",
        "far_pulse_due_at",
        "sharers",
        "sharers_until",
        "pulse_number",
        "outbox",
    )

    def __init__(
        self, own: peers.InstanceInfo, *, name: str, lease_s: float, rng: random.Random
    ) -> None:
        self.own = own
        self.name = name
        self.lease_s = lease_s
        self.rng = rng
        self.members: dict[str, fleet_member.Member] = {}
        self.by_short_id: dict[int, fleet_member.Member] = {}
        self.region_demands: dict[str, fleet_member.RegionDemand] = {}
        self.lease = 0
        self.lease_due_at = -math.inf
        self.near_pulse_due_at = -math.inf
        self.far_pulse_due_at = -math.inf
        self.sharers: list[str] = []
        self.sharers_until = -math.inf
        self.pulse_number = 0
        self.outbox: list[commands.Command] = []

    def begin_era(self, now: float) -> None:
        """Forget the lease, whose id may be given to another, and register again."""
        self.lease = 0
        self.lease_due_at = now + self.rng.random() * REGISTER_SPREAD_S

    def apply_snapshot(
        self,
        items: list[store.KeyValue],
        now: float,
        *,
        known_at: float = -math.inf,
        restored: bool = False,
    ) -> None:
        """Apply the entries of all instances, by machine name.

        In a ``restored`` store, entries may be missing, and those of unknown instances are of
        former ones: they count only once they are heard of.
        """
        if restored:
            self._apply_restored(items, now)
            return
        present = {item.key for item in items}
        for member in self.members.values():
            member.listed = fleet_member.machine_name(member.info) in present
        for item in items:
            self.apply_change(item.key, item, now)

    def _apply_restored(self, items: list[store.KeyValue], now: float) -> None:
        """Add the instances on machines that this one knows nothing of, as unreachable."""
        known_machines = {fleet_member.machine_name(m.info) for m in self.members.values()}
        known_ids = set(self.members)
        for item in items:
            if item.key not in known_machines and item.key != self.name:
                self.apply_change(item.key, item, now)
        for name in self.members.keys() - known_ids:
            self.members[name].last_seen_at = -math.inf
            self.members[name].was_reachable = False

    def apply_change(
        self, key: str, item: store.KeyValue | None, now: float, *, known_at: float = -math.inf
    ) -> None:
        """Apply a new or changed entry under a machine name; None means that it was deleted.

        An unreadable entry is logged and ignored. An entry with a new incarnation replaces the
        instance that ran on the machine before.
        """
        if item is None:
            for member in self.members.values():
                member.listed = member.listed and fleet_member.machine_name(member.info) != key
            return
        try:
            info = _read_entry(item.value)
        except Exception as error:  # no entry of another writer may hide the others
            log_event = commands.LogEvent(
                events.Event.ENTRY_UNREADABLE, key=key, detail=repr(error)[:200]
            )
            self.outbox.append(log_event)
            return
        if info.instance == self.own.instance:
            return
        for previous in [
            m
            for m in self.members.values()
            if fleet_member.machine_name(m.info) == fleet_member.machine_name(info)
        ]:
            if previous.info.instance != info.instance:
                self._forget(previous)
        if info.instance not in self.members:
            member = self.members[info.instance] = fleet_member.Member(info, now)
            self.by_short_id[member.short_id] = member
            log_event = commands.LogEvent(events.Event.MEMBER_JOINED, member=info.instance)
            self.outbox.append(log_event)
        self.members[info.instance].listed = True

    def record_report(self, pulse: pulses.Pulse, now: float) -> None:
        """Record a state report (pulse), unless a newer one is known or the sender is not."""
        member = self.members.get(pulse.instance)
        if member is None or (member.pulse is not None and pulse.number <= member.pulse.number):
            return
        member.pulse = pulse
        member.last_seen_at = now
        demands = {demand.account: demand for demand in pulse.demands}
        if pulse.region == self.own.region:
            member.demands = demands
        elif pulse.wide:
            self.region_demands[pulse.region] = fleet_member.RegionDemand(now, demands)
        for other_id, age_s in pulse.heard.items():
            other = self.by_short_id.get(other_id)
            if other is not None:
                other.last_seen_at = max(other.last_seen_at, now - age_s)

    def reachable_members(
        self, now: float, *, region: str | None = None
    ) -> list[fleet_member.Member]:
        """Return the other instances that are reachable, of one region or of all."""
        return [
            member
            for member in self.members.values()
            if (region is None or member.info.region == region) and self._is_reachable(member, now)
        ]

    def serving_instances(self, now: float, *, region: str) -> list[peers.InstanceInfo]:
        """Return the entries of a region's instances that take requests, this one included."""
        own = self.own
        own_infos = [own] if own.region == region and own.ready and not own.leaving else []
        return own_infos + [
            member.info
            for member in self.reachable_members(now, region=region)
            if not fleet_member.is_leaving(member) and fleet_member.is_ready(member)
        ]

    def zone_infos(self, now: float) -> list[peers.InstanceInfo]:
        """Return the entries of the other reachable instances of this zone that are not leaving."""
        return [
            member.info
            for member in self.reachable_members(now, region=self.own.region)
            if member.info.zone == self.own.zone and not fleet_member.is_leaving(member)
        ]

    def near_ids(self, now: float) -> list[str]:
        """Return the ids of the reachable near instances and of this one."""
        reachable = self.reachable_members(now, region=self.own.region)
        return [self.own.instance, *(member.info.instance for member in reachable)]

    def rate_sharers(self, now: float) -> list[str]:
        """Return the ids of the instances of this region that divide the rates of its upstreams.

        Unreachable ones are included while the store lists them, as they may send on. Those that
        are shutting down leave their part to the others, unless all are. The list is worked out
        anew each SHARERS_LIFETIME_S.
        """
        if now < self.sharers_until:
            return self.sharers
        near = [m for m in self.members.values() if m.info.region == self.own.region]
        present = [
            m
            for m in near
            if self._is_reachable(m, now) or (m.listed and now - m.last_seen_at < DEMAND_LIFETIME_S)
        ]
        leaving = {m.info.instance for m in present if fleet_member.is_leaving(m)}
        if self.own.leaving:
            leaving.add(self.own.instance)
        ids = [self.own.instance, *(m.info.instance for m in present)]
        self.sharers = [name for name in ids if name not in leaving] or ids
        self.sharers_until = now + SHARERS_LIFETIME_S
        return self.sharers

    def count_recent(self, now: float) -> int:
        """Return the number of instances whose demand counts, this one included.

        Unreachable instances are included for DEMAND_LIFETIME_S.
        """
        recent = [m for m in self.members.values() if now - m.last_seen_at < DEMAND_LIFETIME_S]
        return 1 + len(recent)

    def demands(
        self, account: str, now: float, *, reachable_only: bool = False
    ) -> list[pulses.AccountDemand]:
        """Return an account's demand at each other near instance and in each other region.

        Args:
            account: Name of the client account.
            now: Monotonic seconds.
            reachable_only: Leave out unreachable instances and regions; otherwise they count for
                DEMAND_LIFETIME_S.
        """
        near = [
            member.demands[account]
            for member in self.members.values()
            if account in member.demands and now - member.last_seen_at < DEMAND_LIFETIME_S
            if not reachable_only or self._is_reachable(member, now)
        ]
        lifetime_s = FAR_UNREACHABLE_AFTER_S if reachable_only else DEMAND_LIFETIME_S
        far = [
            region.demands[account]
            for region in self.region_demands.values()
            if account in region.demands and now - region.last_seen_at < lifetime_s
        ]
        return near + far

    def near_demands(self, now: float) -> list[pulses.AccountDemand]:
        """Return every account's demand at each other near instance.

        Unreachable instances are included for DEMAND_LIFETIME_S.
        """
        recent = [m for m in self.members.values() if now - m.last_seen_at < DEMAND_LIFETIME_S]
        return [demand for member in recent for demand in member.demands.values()]

    def count_without_demand(self, now: float) -> int:
        """Return the number of other instances whose demand has not been reported yet.

        A near instance reports its own demand; a far one is covered by any report of its region.
        """
        own_region = self.own.region
        recent = [m for m in self.members.values() if now - m.last_seen_at < DEMAND_LIFETIME_S]
        near = sum(m.pulse is None for m in recent if m.info.region == own_region)
        unknown = {m.info.region for m in recent} - {own_region, *self.region_demands}
        return near + sum(m.info.region in unknown for m in recent)

    def oldest_pulse_age(self, now: float) -> float:
        """Return the longest time since a reachable near instance was last seen, in seconds."""
        near = self.reachable_members(now, region=self.own.region)
        return max((now - member.last_seen_at for member in near), default=0.0)

    def near_uses(self, now: float) -> dict[str, tuple[int, int]]:
        """Return the running requests and unread prompt tokens of near instances, by upstream.

        This instance and unreachable ones are not included.
        """
        total: dict[str, tuple[int, int]] = {}
        for member in self.reachable_members(now, region=self.own.region):
            for use in member.pulse.uses if member.pulse is not None else ():
                running, tokens = total.get(use.upstream, (0, 0))
                total[use.upstream] = (running + use.running, tokens + use.prompt_tokens)
        return total

    def newest_room(self, region: str, service: str, now: float) -> pulses.ServiceCapacity | None:
        """Return the room for a service in another region, from the region's newest pulse."""
        reported_rooms = [
            (member.last_seen_at, room)
            for member in self.reachable_members(now, region=region)
            if member.pulse is not None
            for room in member.pulse.rooms
            if room.service == service
        ]
        return max(reported_rooms, key=lambda pair: pair[0])[1] if reported_rooms else None

    def due_addresses(self, now: float) -> tuple[list[str], list[str]]:
        """Return the near and the far peer addresses that are due for a pulse.

        Near ones are all reachable instances and one unreachable one; far ones are one instance of
        each other region.
        """
        near_addresses, far_addresses = [], []
        near = self.reachable_members(now, region=self.own.region)
        if now >= self.near_pulse_due_at:
            self.near_pulse_due_at = now + max(
                NEAR_PULSE_PERIOD_S, NEAR_PULSE_PERIOD_PER_PEER_S * len(near)
            )
            near_addresses += [fleet_member.peer_address(member.info) for member in near]
            near_addresses += self._unreachable_address(now)
        if now >= self.far_pulse_due_at:
            self.far_pulse_due_at = now + FAR_PULSE_PERIOD_S
            regions = {m.info.region for m in self.members.values()} - {self.own.region}
            for region in sorted(regions):
                # A region that was cut off is tried again through the instances known before.
                candidates = self.reachable_members(now, region=region) or [
                    m for m in self.members.values() if m.info.region == region
                ]
                far_addresses.append(fleet_member.peer_address(self.rng.choice(candidates).info))
        return near_addresses, far_addresses

    def all_addresses(self) -> list[str]:
        """Return the peer addresses of all other instances."""
        return [fleet_member.peer_address(member.info) for member in self.members.values()]

    def near_pulse_ages(self, now: float) -> dict[int, float]:
        """Return the seconds since each reachable near instance was last seen, by short id."""
        reachable = self.reachable_members(now, region=self.own.region)
        return {member.short_id: now - member.last_seen_at for member in reachable}

    def maintain_lease(self, now: float) -> None:
        """Request the lease of the entry, or renew it, when that is due."""
        if now < self.lease_due_at:
            return
        self.lease_due_at = now + self.lease_s / 3
        if self.lease:
            self.outbox.append(commands.StoreCall(store.KeepAlive(self.lease), LeaseRenewal()))
        else:
            call = store.GrantLease(self.lease_s)
            self.outbox.append(commands.StoreCall(call, LeaseGrant()))

    def on_lease_grant(self, reply: store.Reply, now: float) -> None:
        """Write the entry under a newly granted lease; without a lease, retry in half a second."""
        if type(reply) is not store.LeaseReply or not reply.lease:
            self.lease_due_at = now + 0.5
            return
        self.lease = reply.lease
        value = json.dumps(self.own.as_dict()).encode()
        put = store.Put(PREFIX + self.name, value, lease=self.lease)
        call = store.Commit(conditions=[], changes=[put])
        self.outbox.append(commands.StoreCall(call, EntryWrite()))

    def on_entry_write(self, reply: store.Reply, now: float) -> None:
        """Give up the lease and retry in half a second if the entry was not written."""
        if type(reply) is not store.CommitReply or not reply.applied:
            self.lease = 0
            self.lease_due_at = now + 0.5

    def on_lease_renewal(self, reply: store.Reply, now: float) -> None:
        """Request a new lease if this one has ended; retry in a second if the store failed."""
        if type(reply) is store.LeaseReply and not reply.ttl_s:
            self.lease = 0
            self.lease_due_at = now
        elif type(reply) is store.CallFailed:
            self.lease_due_at = now + 1.0

    def expire(self, now: float) -> None:
        """Log changes of reachability; drop unlisted instances not seen for DEMAND_LIFETIME_S."""
        for member in list(self.members.values()):
            if member.was_reachable is not self._is_reachable(member, now):
                self._log_reachability(member, now)
            if not member.listed and now - member.last_seen_at > DEMAND_LIFETIME_S:
                self._forget(member)

    def _forget(self, member: fleet_member.Member) -> None:
        """Drop an instance."""
        del self.members[member.info.instance]
        self.by_short_id.pop(member.short_id, None)

    def _log_reachability(self, member: fleet_member.Member, now: float) -> None:
        """Log that an instance became unreachable, left or became reachable again."""
        member.was_reachable = not member.was_reachable
        lost_event = (
            events.Event.MEMBER_LEFT
            if fleet_member.is_leaving(member)
            else events.Event.MEMBER_LOST
        )
        event = events.Event.MEMBER_FOUND if member.was_reachable else lost_event
        silent_s = round(now - member.last_seen_at, 3)
        fields = {"member": member.info.instance, "silent_s": silent_s, "listed": member.listed}
        self.outbox.append(commands.LogEvent(event, **fields))

    def _is_reachable(self, member: fleet_member.Member, now: float) -> bool:
        limit = (
            UNREACHABLE_AFTER_S
            if member.info.region == self.own.region
            else FAR_UNREACHABLE_AFTER_S
        )
        return now - member.last_seen_at < limit

    def _unreachable_address(self, now: float) -> list[str]:
        """Return the address of a random unreachable near instance, to reconnect; at most one."""
        unreachable = [
            member.info
            for member in self.members.values()
            if member.info.region == self.own.region and not self._is_reachable(member, now)
        ]
        return [fleet_member.peer_address(self.rng.choice(unreachable))] if unreachable else []


def _read_entry(value: bytes) -> peers.InstanceInfo:
    """Return the instance that an entry describes.

    Raises:
        ValueError: When the entry is not JSON, or a field has a wrong type.
        TypeError: When a field is missing or not known.
    """
    info = peers.InstanceInfo(**json.loads(value))
    texts = (info.instance, info.region, info.zone, info.host, info.wan_address)
    ports = (info.caller_port, info.peer_port)
    if not all(type(text) is str for text in texts):
        raise ValueError("a field is not a text")
    ipaddress.ip_address(info.host)
    if not all(type(port) is int and 0 <= port <= MAX_PORT for port in ports):
        raise ValueError("a field is not a port")
    return info
