"""Whether a service of the region is short of places, and how far its places go."""

from __future__ import annotations

import math

from yuccahitch.controllers.admission import demand
from yuccahitch.controllers.admission import room as service_room

# Taken places, as a part of all, from which a service is full, and from which it tells its demand.
FULL = 0.85
NEARLY_FULL = 0.75
# Taken places, as a part of all, that a shortage aims at. Placement goes by reports with a lag and
# needs free ones: the aim falls by AIM_PER_TURNED_AWAY times the part of the admitted requests that
# upstreams turned away.
MAX_AIM = 0.92
MIN_AIM = 0.75
AIM_PER_TURNED_AWAY = 4.0
# Time for which places must be taken until a service is short, in seconds.
BEGIN_AFTER_S = 0.3
# Part of the room below which demand ends a shortage, and for how long, in seconds.
END_BELOW = 0.9
END_AFTER_S = 0.5
# Taken places, as a part of all, below which a shortage ends as well.
IDLE = 0.5
# Time constant with which places and their use are smoothed, in seconds.
SMOOTHING_S = 0.4
# Time constant with which requests that were turned away are counted, in seconds.
TURNED_AWAY_DECAY_S = 4.0
# Factor of the difference between the aim and the occupancy in the correction, and its bounds.
CORRECTION_GAIN = 1.5
MIN_CORRECTION = 0.5
MAX_CORRECTION = 1.5
# Time without an update after which the state begins anew, in seconds.
MAX_GAP_S = 1.0


class Shortage:
    """Follows the room of one service.

    Attributes:
        places: Smoothed number of places.
        taken: Smoothed number of taken places.
        active: Whether the service is short.
        changing_since: Since when the places and the demand say the opposite of ``active``, in
            monotonic seconds, or None.
        sent: Admitted requests that were sent on, a second.
        turned_away: Those of them that an upstream turned away, a second.
        updated_at: When this was last updated, in monotonic seconds.
    """

    __slots__ = (
        "places",
        "taken",
        "active",
        "changing_since",
        "sent",
        "turned_away",
        "updated_at",
    )

    def __init__(self) -> None:
        self.places = 0.0
        self.taken = 0.0
        self.active = False
        self.changing_since: float | None = None
        self.sent = demand.DecayingRate(0.0, decay_s=TURNED_AWAY_DECAY_S)
        self.turned_away = demand.DecayingRate(0.0, decay_s=TURNED_AWAY_DECAY_S)
        self.updated_at = -math.inf

    @property
    def occupancy(self) -> float:
        """Return the taken places as a part of all; 0 without places."""
        return self.taken / self.places if self.places > 0 else 0.0

    def aim(self, now: float) -> float:
        """Return the taken places, as a part of all, that a shortage aims at."""
        sent_per_s = self.sent.at(now)
        part = self.turned_away.at(now) / sent_per_s if sent_per_s > 0 else 0.0
        return max(MIN_AIM, MAX_AIM - AIM_PER_TURNED_AWAY * part)

    def correction(self, now: float) -> float:
        """Return the factor of the room that makes up for a wrong estimate of work.

        It has no memory, so that instances which see the same occupancy come to the same factor.
        """
        factor = 1.0 + CORRECTION_GAIN * (self.aim(now) - self.occupancy)
        return min(MAX_CORRECTION, max(MIN_CORRECTION, factor))

    def record_sent(self, *, turned_away: bool, now: float) -> None:
        """Count an admitted request that was sent on."""
        self.sent.add(1.0, now)
        if turned_away:
            self.turned_away.add(1.0, now)

    def observe(self, room: service_room.ServiceRoom, now: float) -> None:
        """Record the room as it is now.

        A service without any place is left to placement, which knows why there is none.
        """
        elapsed_s = now - self.updated_at
        self.updated_at = now
        if elapsed_s > MAX_GAP_S or room.places <= 0 or self.places <= 0:
            self._begin_anew(room)
            return
        weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
        self.places += weight * (room.places - self.places)
        self.taken += weight * (room.taken - self.taken)

    def decide(self, *, work_per_s: float, room_per_s: float, now: float) -> None:
        """Begin or end the shortage, once places and demand have called for it long enough.

        Args:
            work_per_s: Work that callers ask for, in seconds a second.
            room_per_s: Work that can be done, in seconds a second.
            now: Monotonic seconds.
        """
        if self.active:
            changes = work_per_s < END_BELOW * room_per_s or self.occupancy < IDLE
        else:
            changes = work_per_s > room_per_s and self.occupancy >= FULL
        if not changes:
            self.changing_since = None
            return
        if self.changing_since is None:
            self.changing_since = now
        if now - self.changing_since >= (END_AFTER_S if self.active else BEGIN_AFTER_S):
            self.active = not self.active
            self.changing_since = None

    def _begin_anew(self, room: service_room.ServiceRoom) -> None:
        self.places = room.places
        self.taken = room.taken
        self.active = False
        self.changing_since = None
