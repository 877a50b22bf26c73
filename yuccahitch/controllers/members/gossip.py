"""Heartbeats between instances: live members, configuration digests and loads of upstreams."""

from __future__ import annotations

import math
import random

from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.members import membership
from yuccahitch.controllers.runs import suspects
from yuccahitch.controllers.upstream_state import upstreams
from yuccahitch.messages import commands, peers
from yuccahitch.messages import suspects as suspect_messages

MAX_LOADS_PER_MESSAGE = 48
# Loads of random upstreams in a heartbeat when there are too many to send all.
SAMPLED_LOADS = 16
MAX_URGENT_RECEIVERS = 64


class Gossip:
    """Sends the heartbeats of one instance and processes those of its peers.

    Args:
        members: The live instances.
        config: Holds the catalog.
        upstream_states: Load and health of the upstreams.
        suspects: Requests that crashed upstreams.
        rng: Seeded source of random numbers.

    Attributes:
        unknown_hashes: Hashes of instances whose infos the next heartbeat asks for, by the id of
            the peer that mentioned them.
        state_news_until: Until when this instance's latest change of state, to ready or to leaving,
            is told out of turn, in monotonic seconds.
        told_instances: Ids of the instances that were told of it.
    """

    __slots__ = (
        "members",
        "config",
        "upstream_states",
        "suspects",
        "rng",
        "unknown_hashes",
        "state_news_until",
        "told_instances",
        "outbox",
    )

    def __init__(
        self,
        *,
        members: membership.Membership,
        config: configuration.Configuration,
        upstream_states: upstreams.UpstreamStates,
        suspects: suspects.Suspects,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.config = config
        self.upstream_states = upstream_states
        self.suspects = suspects
        self.rng = rng
        self.unknown_hashes: dict[str, list[int]] = {}
        self.state_news_until = -math.inf
        self.told_instances: set[str] = set()
        self.outbox: list[commands.Command] = []

    def make_heartbeat(self, receiver: str, now: float) -> peers.Gossip:
        """Return the heartbeat to send to an instance, given by its id."""
        infos, beats = self.members.select_updates(receiver, now)
        return peers.Gossip(
            sender=self.members.own,
            rows=infos,
            beats=beats,
            unknown=self.unknown_hashes.pop(receiver, []),
            digest=self.config.catalog.digest,
            arrivals=self.config.catalog.arrival_count,
            loads=self._load_reports(receiver, now),
            suspects=self.suspects.make_report(now),
        )

    def answer(self, gossip: peers.Gossip, now: float) -> peers.Gossip:
        """Process a peer's heartbeat and return the reply; a new peer gets a full heartbeat."""
        sender_is_new = self.members.find(gossip.sender.instance) is None
        infos = self.record_report(gossip, now)
        if sender_is_new:
            full_answer = self.make_heartbeat(gossip.sender.instance, now)
            full_answer.rows.extend(infos)
            return full_answer
        return peers.Gossip(
            sender=self.members.own,
            rows=infos,
            beats=self.members.newer_beats(gossip),
            unknown=self.unknown_hashes.pop(gossip.sender.instance, []),
            digest=self.config.catalog.digest,
            arrivals=self.config.catalog.arrival_count,
            loads=[],
            suspects=suspect_messages.SuspectReport(),
        )

    def send_due_heartbeats(self, now: float) -> None:
        """Send heartbeats to the chosen receivers when the next ones are due."""
        if not self.members.heartbeat_due(now):
            return
        for instance, address in self.members.begin_heartbeat(now):
            call = commands.PeerCall(
                instance=instance,
                address=address,
                body=self.make_heartbeat(instance, now),
                purpose=membership.Heartbeat(),
            )
            self.outbox.append(call)

    def announce_state(self, now: float) -> None:
        """Tell the peers soon that this instance became ready, or is leaving.

        Those that it gets to know in the next seconds are told too, as instances that start
        together are ready before they know each other.
        """
        self.members.own.beat += 1
        self.state_news_until = now + membership.NEW_INFO_S
        self.told_instances.clear()

    def send_urgent_heartbeats(self, now: float) -> None:
        """Send heartbeats at once when there is news that can't wait.

        A request that crashes upstreams and a change of this instance's state are announced to all
        regions, an upstream that is leaving to the own region.
        """
        if now < self.state_news_until:
            self._send_state_news(now)
        if self.suspects.announcement_due:
            self.suspects.announcement_due = False
            self.send_heartbeats(self.members.alive(), now)
        if self.upstream_states.is_announcement_due(now):
            self.send_heartbeats(self.members.alive(region=self.members.own.region), now)

    def send_infos(
        self, receiver: peers.InstanceInfo, infos: list[peers.InstanceInfo], now: float
    ) -> None:
        """Send a peer the infos that it asked for, with a heartbeat."""
        body = self.make_heartbeat(receiver.instance, now)
        body.rows.extend(infos)
        call = self.members.make_call(receiver, body)
        self.outbox.append(call)

    def send_heartbeats(self, infos: list[peers.InstanceInfo], now: float) -> None:
        """Send a heartbeat out of turn to the first ``MAX_URGENT_RECEIVERS`` of some peers."""
        self.outbox.extend(
            self.members.make_call(info, self.make_heartbeat(info.instance, now))
            for info in infos[:MAX_URGENT_RECEIVERS]
        )

    def _send_state_news(self, now: float) -> None:
        """Send heartbeats to peers not told of a change yet, ``MAX_URGENT_RECEIVERS`` in all."""
        untold_infos = [
            info for info in self.members.alive() if info.instance not in self.told_instances
        ][: MAX_URGENT_RECEIVERS - len(self.told_instances)]
        self.told_instances.update(info.instance for info in untold_infos)
        self.send_heartbeats(untold_infos, now)

    def _load_reports(self, receiver: str, now: float) -> list[peers.LoadReport]:
        """Return the load reports for a receiver, of all upstreams or of a selection."""
        upstream_names = [
            spec.name
            for replicas in self.config.catalog.upstreams_by_service.values()
            for spec in replicas.values()
        ]
        if len(upstream_names) > MAX_LOADS_PER_MESSAGE:
            upstream_names = self._select_upstreams(upstream_names, receiver)
        return self.upstream_states.fresh_reports(now, upstream_names)

    def _select_upstreams(self, upstream_names: list[str], receiver: str) -> list[str]:
        """Return the names of the upstreams whose loads a receiver is sent.

        Every receiver gets a random sample, one in the own zone also the upstreams of the zone.
        """
        info, zone = self.members.find(receiver), self.members.own.zone
        same_zone = info is not None and info.zone == zone
        zone_upstreams = [n for n in upstream_names if self.config.catalog.upstream(n).zone == zone]
        sample = self.rng.sample(upstream_names, SAMPLED_LOADS)
        return [*zone_upstreams[:MAX_LOADS_PER_MESSAGE], *sample] if same_zone else sample

    def record_report(self, body: peers.Gossip, now: float) -> list[peers.InstanceInfo]:
        """Process a peer's heartbeat and return the infos that the peer asked for."""
        missing_hashes = self.members.record_report(body, now)
        if missing_hashes:
            self.unknown_hashes[body.sender.instance] = missing_hashes
        else:
            self.unknown_hashes.pop(body.sender.instance, None)
        self.config.compare_with_peer(body, now=now)
        for load in body.loads:
            self.upstream_states.record_report(load, now)
        self.suspects.record_report(body.suspects, now, pass_on=True)
        return self.members.infos_by_hash(body.unknown)
