"""The room that a region has for each service, as other regions are told of it."""

from __future__ import annotations

import typing

from yuccahitch.controllers.members import fleet
from yuccahitch.controllers.placement import engine_room, refusals, upstream_loads
from yuccahitch.controllers.upstream_state import replicas
from yuccahitch.messages import pulses
from yuccahitch.resources import service as services


class RegionRooms:
    """Works out the room of the region of this instance.

    Args:
        members: The fleet.
        registry: The registered upstreams.
        loads: Estimates the load of single upstreams.
        room: Knows the free memory of the engines.
        refused: Knows which services are short of upstreams.
    """

    __slots__ = ("members", "registry", "loads", "room", "refused")

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        registry: replicas.ReplicaRegistry,
        loads: upstream_loads.UpstreamLoads,
        room: engine_room.EngineRoom,
        refused: refusals.Refusals,
    ) -> None:
        self.members = members
        self.registry = registry
        self.loads = loads
        self.room = room
        self.refused = refused

    def report(
        self, offered: typing.Iterable[services.Service], now: float
    ) -> list[pulses.ServiceCapacity]:
        """Return the room that this region has for each service with a usable warm upstream.

        Args:
            offered: Services of the configuration in force.
            now: Monotonic seconds.
        """
        uses = self.members.near_uses(now)
        sharers = self.members.rate_sharers(now)
        rooms = []
        for service in offered:
            usable = self.registry.healthy(self.registry.usable(service.name, now), now)
            warm = [replica for replica in usable if not self.registry.is_cold(replica, now)]
            if not warm:
                continue
            is_short = self.refused.is_short(service.name, now)
            # What is held back now by a named rate or a pause is no room for other regions.
            open_now = [
                replica
                for replica in warm
                if not is_short and self.registry.send_wait_s(replica, now, sharers) <= 0
            ]
            costs_s = [self.loads.cost(r, service, uses, now) for r in open_now or warm]
            room = pulses.ServiceCapacity(
                service.name,
                places=sum(
                    min(
                        self.loads.places(replica, service),
                        self.loads.running(replica, uses)
                        + self.room.count_further(replica, service.name, now),
                    )
                    for replica in open_now
                ),
                taken=sum(self.loads.running(replica, uses) for replica in open_now),
                wait_s=min(costs_s),
            )
            rooms.append(room)
        return rooms
