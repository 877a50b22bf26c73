"""The configuration that operators publish as a whole, and the zones that they evacuate."""

from __future__ import annotations

import math
import typing

from yuccahitch import clock, events
from yuccahitch.messages import commands, store
from yuccahitch.resources import publication


class PublishedConfig:
    """Holds the newest published configuration; an older version never replaces it.

    Args:
        decode: Decodes a configuration; raises ValueError if that fails.
        key: Key of the configuration, relative to the operators' prefix.
        evacuation_prefix: Prefix of the keys that name evacuated zones, relative to the same.

    Attributes:
        current: The configuration in force, or None before the first one.
        revision: Revision of the store at which the last readable configuration was written.
        evacuated: Names of the availability zones whose upstreams get no work.
        taken_back_at: When the evacuation of each zone last ended, in monotonic seconds.
        updated_at: When the store last sent items or a change, in monotonic seconds.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "decode",
        "key",
        "evacuation_prefix",
        "current",
        "revision",
        "evacuated",
        "taken_back_at",
        "updated_at",
        "outbox",
    )

    def __init__(
        self,
        *,
        decode: typing.Callable[[bytes], publication.Publication],
        key: str,
        evacuation_prefix: str,
    ) -> None:
        self.decode = decode
        self.key = key
        self.evacuation_prefix = evacuation_prefix
        self.current: publication.Publication | None = None
        self.revision = 0
        self.evacuated: set[str] = set()
        self.taken_back_at: dict[str, float] = {}
        self.updated_at = -math.inf
        self.outbox: list[commands.Command] = []

    def ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self.current is not None

    def begin_era(self, now: float) -> None:
        """Forget the revision of the configuration; its version still tells older ones."""
        self.revision = 0

    def apply_snapshot(
        self,
        items: list[store.KeyValue],
        now: float,
        *,
        known_at: float = -math.inf,
        restored: bool = False,
    ) -> None:
        """Apply all items that operators keep in the store.

        If the store was ``restored``, evacuations go on that it lacks, and none begins again that
        has ended.
        """
        self.updated_at = now
        present = {item.key: item for item in items}
        if not restored:
            for zone in self.evacuated - {self._evacuated_zone(name) for name in present}:
                self._take_back(zone, now)
        for name, item in present.items():
            if not restored or self._evacuated_zone(name) not in self.taken_back_at:
                self.apply_change(name, item, now, known_at=known_at)

    def apply_change(
        self, key: str, item: store.KeyValue | None, now: float, *, known_at: float = -math.inf
    ) -> None:
        """Apply one changed item; None means that its key was deleted."""
        self.updated_at = now
        zone = self._evacuated_zone(key)
        if zone and item is None:
            self._take_back(zone, now)
        elif zone and zone not in self.evacuated:
            self.evacuated.add(zone)
            self.outbox.append(commands.LogEvent(events.Event.ZONE_EVACUATED, zone=zone))
        elif key == self.key and item is not None:
            self._apply_config(item, now, known_at)

    def _evacuated_zone(self, key: str) -> str:
        """Return the zone that a key evacuates, or no text for any other key."""
        is_evacuation = key.startswith(self.evacuation_prefix)
        return key.removeprefix(self.evacuation_prefix) if is_evacuation else ""

    def _take_back(self, zone: str, now: float) -> None:
        """End the evacuation of a zone, if it is evacuated."""
        if zone in self.evacuated:
            self.evacuated.discard(zone)
            self.taken_back_at[zone] = now
            self.outbox.append(commands.LogEvent(events.Event.ZONE_TAKEN_BACK, zone=zone))

    def _apply_config(self, item: store.KeyValue, now: float, known_at: float) -> None:
        """Put a published configuration in force if it is readable and its version newer."""
        if item.revision <= self.revision:
            return
        try:
            decoded = self.decode(item.value)
        except Exception as error:  # whatever is wrong with it, the last one stays in force
            log_event = commands.LogEvent(events.Event.CONFIG_UNREADABLE, detail=repr(error)[:200])
            self.outbox.append(log_event)
            return
        self.revision = item.revision
        if self.current is not None and decoded.version <= self.current.version:
            log_event = commands.LogEvent(events.Event.CONFIG_STALE, version=decoded.version)
            self.outbox.append(log_event)
            return
        previous_keys = self.current.accounts_by_key_digest if self.current is not None else {}
        self.current = decoded
        log_event = commands.LogEvent(
            events.Event.CONFIG_APPLIED,
            version=decoded.version,
            revision=item.revision,
            known_s=clock.age_s(known_at, now),
            routes=sum(len(routes) for routes in decoded.routes_by_host.values()),
            accounts=len(decoded.accounts),
            keys_added=len(decoded.accounts_by_key_digest.keys() - previous_keys.keys()),
            keys_withdrawn=len(previous_keys.keys() - decoded.accounts_by_key_digest.keys()),
        )
        self.outbox.append(log_event)
