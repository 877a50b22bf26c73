"""The places that a service has, in this region and in others."""

from __future__ import annotations

from yuccahitch import records
from yuccahitch.controllers.placement import balance
from yuccahitch.resources import service as services

# Part of its slots from which an ejected upstream counts as busy, not as faulty.
BUSY_PART = 0.5


class ServiceRoom(records.Record):
    """Room of a service in this region.

    Attributes:
        places: Requests that the usable upstreams can work on at the same time.
        taken: Requests that they have.
    """

    __slots__ = ("places", "taken")

    def __init__(self, *, places: float, taken: float) -> None:
        self.places = places
        self.taken = taken


def measure(
    balancer: balance.Balancer,
    service: services.Service,
    uses: dict[str, tuple[int, int]],
    now: float,
) -> ServiceRoom:
    """Return the room of a service in this region.

    Upstreams that turned requests away because they are busy count, as their places are taken, not
    gone. So instances that were turned away differently see the same room.

    Args:
        balancer: Knows the upstreams.
        service: The service.
        uses: Running requests and unread prompt tokens of other near instances, by upstream.
        now: Monotonic seconds.
    """
    registry = balancer.registry
    work_s = balancer.estimates.work_time(service)
    places, taken = 0.0, 0.0
    for replica in registry.usable(service.name, now):
        running = replica.running + uses.get(replica.upstream.name, (0, 0))[0]
        slots = replica.upstream.slots
        is_faulty = now < replica.ejected_until and running < BUSY_PART * slots
        if not is_faulty and not registry.is_cold(replica, now):
            places += min(slots, registry.limits.rate(replica.incarnation) * work_s)
            taken += running
    return ServiceRoom(places=places, taken=taken)


def free_elsewhere(balancer: balance.Balancer, service: services.Service, now: float) -> float:
    """Return this region's part of the free places that other regions report for a service."""
    members = balancer.members
    other_regions = {m.info.region for m in members.members.values()} - {members.own.region}
    rooms = [members.newest_room(name, service.name, now) for name in other_regions]
    free = sum(max(0, room.places - room.taken) for room in rooms if room is not None)
    return free / max(1, len(other_regions))
