"""The configuration that operators publish as a whole, and the zones that they evacuate."""

from __future__ import annotations

import math
import typing

from yuccahitch import events
from yuccahitch.messages import commands, store
from yuccahitch.resources import publication


class Published:
    """Holds the newest configuration; an older one never replaces it.

    Args:
        decode: Reads a configuration; raises ValueError when it can't be read.
        key: Key of the configuration.
        evacuation_prefix: Prefix of the keys that name evacuated zones.

    Attributes:
        current: The configuration in force, or None.
        evacuated: Zones that get no work.
        taken_back: When each zone was taken back last, in monotonic seconds.
        heard_at: When the store last said what holds, in monotonic seconds.
    """

    __slots__ = (
        "decode",
        "key",
        "evacuation_prefix",
        "current",
        "revision",
        "evacuated",
        "taken_back",
        "heard_at",
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
        self.taken_back: dict[str, float] = {}
        self.heard_at = -math.inf
        self.outbox: list[commands.Command] = []

    def ready(self) -> bool:
        """Return whether a configuration is known."""
        return self.current is not None

    def snapshot(self, items: list[store.KeyValue], now: float) -> None:
        """Take in all items of the operators."""
        self.heard_at = now
        present = {item.key: item for item in items}
        for zone in self.evacuated - {self._zone(name) for name in present}:
            self._take_back(zone, now)
        for name, item in present.items():
            self.changed(name, item, now)

    def changed(self, key: str, item: store.KeyValue | None, now: float) -> None:
        """Take in one change."""
        self.heard_at = now
        zone = self._zone(key)
        if zone and item is None:
            self._take_back(zone, now)
        elif zone and zone not in self.evacuated:
            self.evacuated.add(zone)
            self.outbox.append(commands.LogEvent(events.Event.ZONE_EVACUATED, zone=zone))
        elif key == self.key and item is not None:
            self._publish(item)

    def _zone(self, key: str) -> str:
        begins = key.startswith(self.evacuation_prefix)
        return key.removeprefix(self.evacuation_prefix) if begins else ""

    def _take_back(self, zone: str, now: float) -> None:
        if zone in self.evacuated:
            self.evacuated.discard(zone)
            self.taken_back[zone] = now
            self.outbox.append(commands.LogEvent(events.Event.ZONE_TAKEN_BACK, zone=zone))

    def _publish(self, item: store.KeyValue) -> None:
        if item.revision <= self.revision:
            return
        try:
            found = self.decode(item.value)
        except ValueError as error:
            note = commands.LogEvent(events.Event.CONFIG_UNREADABLE, detail=str(error)[:200])
            self.outbox.append(note)
            return
        self.revision = item.revision
        if self.current is not None and found.version <= self.current.version:
            note = commands.LogEvent(events.Event.CONFIG_STALE, version=found.version)
            self.outbox.append(note)
            return
        earlier = self.current.accounts_by_key_digest if self.current is not None else {}
        self.current = found
        note = commands.LogEvent(
            events.Event.CONFIG_APPLIED,
            version=found.version,
            revision=item.revision,
            routes=sum(len(routes) for routes in found.routes_by_host.values()),
            accounts=len(found.accounts),
            keys_added=len(found.accounts_by_key_digest.keys() - earlier.keys()),
            keys_withdrawn=len(earlier.keys() - found.accounts_by_key_digest.keys()),
        )
        self.outbox.append(note)
