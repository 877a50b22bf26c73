"""Upstreams of several software versions on the platform site.

They listen all the time and are registered by the scenarios that use them.
"""

from __future__ import annotations

# Number of events of each of their streams.
EVENTS = 9


class VersionedUpstream:
    """Where an upstream runs, and the version of its software.

    Args:
        zone: Availability zone.
        version: Version of its software.
    """

    __slots__ = ("zone", "version")

    def __init__(self, zone: str, version: str) -> None:
        self.zone = zone
        self.version = version


UPSTREAMS = {
    "text-1": VersionedUpstream("east-a", "v1"),
    "text-2": VersionedUpstream("east-a", "v1"),
    "text-3": VersionedUpstream("east-a", "v2"),
    "text-4": VersionedUpstream("east-a", "v2"),
    "text-5": VersionedUpstream("east-a", "v3"),
    "text-6": VersionedUpstream("east-a", "v3"),
    "text-7": VersionedUpstream("west-a", "v1"),
    "text-8": VersionedUpstream("west-a", "v2"),
}


def names_of(version: str, *, zone: str = "east-a") -> list[str]:
    """Return the ids of the upstreams of a version in an availability zone."""
    return [
        name
        for name, upstream in UPSTREAMS.items()
        if (upstream.zone, upstream.version) == (zone, version)
    ]
