"""Heartbeats between instances: who lives, what is new, and how loaded the upstreams are."""

from __future__ import annotations

import random

from yuccahitch.controllers import configuration, membership, suspects, upstreams
from yuccahitch.messages import commands, peers

LOADS_PER_MESSAGE = 48
FAR_LOADS = 16
MAX_WARNED = 64


class Gossip:
    """Makes the heartbeats of one instance and takes in those of its peers.

    Args:
        members: The live instances.
        config: Holds the catalog.
        states: Load and health of the upstreams.
        crashes: Requests that crashed upstreams.
        rng: Seeded source of random numbers.
    """

    __slots__ = ("members", "config", "states", "crashes", "rng", "wanted_rows", "outbox")

    def __init__(
        self,
        *,
        members: membership.Membership,
        config: configuration.Configuration,
        states: upstreams.Upstreams,
        crashes: suspects.Suspects,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.config = config
        self.states = states
        self.crashes = crashes
        self.rng = rng
        self.wanted_rows: dict[str, list[int]] = {}
        self.outbox: list[commands.Command] = []

    def heartbeat(self, receiver: str, now: float) -> peers.Gossip:
        """Return the heartbeat for a receiver."""
        rows, beats = self.members.summary(receiver, now)
        return peers.Gossip(
            sender=self.members.own,
            rows=rows,
            beats=beats,
            unknown=self.wanted_rows.pop(receiver, []),
            digest=self.config.catalog.digest,
            arrivals=self.config.catalog.arrival_count,
            loads=self._loads(receiver, now),
            suspects=self.crashes.news(now),
        )

    def answer(self, gossip: peers.Gossip, now: float) -> peers.Gossip:
        """Take in a heartbeat and return the answer; an unknown peer is told everything."""
        unknown_peer = self.members.find(gossip.sender.instance) is None
        rows = self.hear(gossip, now)
        if unknown_peer:
            full = self.heartbeat(gossip.sender.instance, now)
            full.rows.extend(rows)
            return full
        return peers.Gossip(
            sender=self.members.own,
            rows=rows,
            beats=[],
            unknown=self.wanted_rows.pop(gossip.sender.instance, []),
            digest=self.config.catalog.digest,
            arrivals=self.config.catalog.arrival_count,
            loads=[],
            suspects=[],
        )

    def beat(self, now: float) -> None:
        """Send the heartbeats that are due."""
        if not self.members.due(now):
            return
        for instance, address in self.members.targets(now):
            call = commands.PeerCall(
                instance=instance,
                address=address,
                body=self.heartbeat(instance, now),
                purpose=membership.HeartbeatSent(),
            )
            self.outbox.append(call)

    def warn(self, now: float) -> None:
        """Tell the peers at once of a request that crashes upstreams, or of one that leaves."""
        if self.crashes.announce:
            self.crashes.announce = False
            self.tell(self.members.alive(), now)
        if self.states.announces(now):
            self.tell(self.members.alive(region=self.members.own.region), now)

    def tell_rows(
        self, receiver: peers.InstanceInfo, rows: list[peers.InstanceInfo], now: float
    ) -> None:
        """Send a peer the rows that it asked for."""
        body = self.heartbeat(receiver.instance, now)
        body.rows.extend(rows)
        call = self.members.call(receiver, body)
        self.outbox.append(call)

    def tell(self, rows: list[peers.InstanceInfo], now: float) -> None:
        """Send a heartbeat to peers, in large fleets to some, out of turn."""
        self.outbox.extend(
            self.members.call(row, self.heartbeat(row.instance, now)) for row in rows[:MAX_WARNED]
        )

    def _loads(self, receiver: str, now: float) -> list[peers.LoadReport]:
        names = [
            spec.name
            for replicas in self.config.catalog.upstreams_by_service.values()
            for spec in replicas.values()
        ]
        if len(names) > LOADS_PER_MESSAGE:
            names = self._some_loads(names, receiver)
        return self.states.reports(now, names)

    def _some_loads(self, names: list[str], receiver: str) -> list[str]:
        """Return the upstreams of the own zone for its instances, and some others for all."""
        row, zone = self.members.find(receiver), self.members.own.zone
        same_zone = row is not None and row.zone == zone
        near = [n for n in names if self.config.catalog.upstream(n).zone == zone]
        sample = self.rng.sample(names, FAR_LOADS)
        return [*near[:LOADS_PER_MESSAGE], *sample] if same_zone else sample

    def hear(self, body: peers.Gossip, now: float) -> list[peers.InstanceInfo]:
        """Take in a heartbeat and return the rows that the sender asked for."""
        missed = self.members.hear(body, now)
        if missed:
            self.wanted_rows[body.sender.instance] = missed
        else:
            self.wanted_rows.pop(body.sender.instance, None)
        self.config.compare(body, now=now)
        for load in body.loads:
            self.states.hear(load, now)
        self.crashes.hear(body.suspects, now)
        return self.members.rows_for(body.unknown)
