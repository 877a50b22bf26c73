"""Decides whether an instance watches the store for the configuration, and whom it tells.

One instance of each zone, the watcher, watches the store and tells its zone that what it told
before is up to date, or what is new. An instance that hears that too seldom watches the store too:
the watcher may be cut off from it, paused or slow.
"""

from __future__ import annotations

import math

from yuccahitch.controllers.members import rendezvous
from yuccahitch.messages import peers

# Age of the configuration, as far as others tell, from which an instance watches the store too, in
# seconds. The watcher tells of a new age each second.
MAX_TOLD_AGE_S = 2.5


class WatcherRole:
    """The role of one instance.

    Attributes:
        is_watcher: Whether this instance is the watcher of its zone.
        told_at: Latest moment at which the configuration was up to date as others tell, or as the
            first read shows, in monotonic seconds; minus infinity before.
        zone_targets: The other instances of the zone if this one is its watcher, else none.
        push_targets: Those and the watchers of the other zones, which get new entries.
    """

    __slots__ = ("is_watcher", "told_at", "zone_targets", "push_targets")

    def __init__(self) -> None:
        self.is_watcher = False
        self.told_at = -math.inf
        self.zone_targets: list[peers.InstanceInfo] = []
        self.push_targets: list[peers.InstanceInfo] = []

    def confirm(self, at: float) -> None:
        """Record that the configuration was up to date at a moment, in monotonic seconds."""
        self.told_at = max(self.told_at, at)

    def update(
        self, *, zone: str, live: list[peers.InstanceInfo], own: peers.InstanceInfo, now: float
    ) -> bool:
        """Return whether this instance watches the store.

        Args:
            zone: Name of its zone.
            live: The other live instances of the fleet.
            own: This instance.
            now: Monotonic seconds.
        """
        near = [info for info in live if info.zone == zone]
        zone_names = [*(info.instance for info in near), own.instance]
        self.is_watcher = rendezvous.owner(f"watch {zone}", zone_names) == own.instance
        self.zone_targets = near if self.is_watcher else []
        self.push_targets = [*near, *_other_watchers(live, zone)] if self.is_watcher else []
        was_told = self.told_at > -math.inf
        return self.is_watcher or (was_told and now - self.told_at > MAX_TOLD_AGE_S)


def _other_watchers(live: list[peers.InstanceInfo], zone: str) -> list[peers.InstanceInfo]:
    """Return the watchers of the zones other than this one."""
    members_by_zone: dict[str, list[peers.InstanceInfo]] = {}
    for info in live:
        if info.zone != zone:
            members_by_zone.setdefault(info.zone, []).append(info)
    watchers = {
        rendezvous.owner(f"watch {other}", [info.instance for info in members])
        for other, members in members_by_zone.items()
    }
    return [info for info in live if info.instance in watchers]
