"""Another instance of the fleet, and the demand of another region, as this instance sees them."""

from __future__ import annotations

import xxhash

from yuccahitch.messages import peers, pulses


class Member:
    """Another instance.

    Attributes:
        info: The instance's entry, as it was first read from the store.
        short_id: Hash of the instance's id, for pulses.
        listed: Whether the store still has the entry.
        last_seen_at: When the entry was first read, the last pulse arrived or a near instance last
            saw this one, whichever is latest; in monotonic seconds.
        pulse: The newest pulse from the instance, or None.
        was_reachable: Whether the log last reported the instance as reachable.
        demands: Demand at the instance by client account, from its newest pulse; empty for far
            instances.
    """

    __slots__ = ("info", "short_id", "listed", "last_seen_at", "pulse", "was_reachable", "demands")

    def __init__(self, info: peers.InstanceInfo, now: float) -> None:
        self.info = info
        self.short_id = xxhash.xxh32_intdigest(info.instance.encode())
        self.listed = True
        self.last_seen_at = now
        self.pulse: pulses.Pulse | None = None
        self.was_reachable = True
        self.demands: dict[str, pulses.AccountDemand] = {}


class RegionDemand:
    """The demand of another region as a whole, as one of its instances last reported it.

    Attributes:
        last_seen_at: When the report arrived, in monotonic seconds.
        demands: Demand in the region by client account.
    """

    __slots__ = ("last_seen_at", "demands")

    def __init__(self, last_seen_at: float, demands: dict[str, pulses.AccountDemand]) -> None:
        self.last_seen_at = last_seen_at
        self.demands = demands


def peer_address(info: peers.InstanceInfo) -> str:
    """Return the peer address of an instance."""
    return f"{info.host}:{info.peer_port}"


def machine_name(info: peers.InstanceInfo) -> str:
    """Return the machine name in an instance id, ``NAME~INCARNATION``."""
    return info.instance.partition("~")[0]


def is_leaving(member: Member) -> bool:
    """Return whether an instance reported that it is shutting down."""
    return member.pulse is not None and member.pulse.leaving


def is_ready(member: Member) -> bool:
    """Return whether an instance reported that it serves, or has not reported yet."""
    return member.pulse is None or member.pulse.ready
