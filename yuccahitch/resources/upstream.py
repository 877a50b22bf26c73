"""Upstreams: replicas of services."""

from __future__ import annotations

from yuccahitch import records


class Upstream(records.Record):
    """One replica of a service.

    Attributes:
        name: Unique name.
        service: Service that it offers.
        region: Its region.
        zone: Its availability zone.
        address: Base URL, ``http://IP:PORT``.
        slots: Requests that it works on at the same time.
        leaving: Whether it gets no new work.
        cost: Cost of a thousand tokens, in the operators' unit.
        abilities: What the engine supports: ``load``, ``cancel``, ``resume``, ``priority``,
            ``events``, ``orders``, ``fencing``, ``echo``.
        born_ms: Start of this incarnation, in milliseconds since the Unix epoch, or 0.
        cold_s: Time for which it is still cold, in seconds, when the entry was written.
        leaves_in_s: Time until it is taken away, in seconds, or None.
    """

    __slots__ = (
        "name",
        "service",
        "region",
        "zone",
        "address",
        "slots",
        "leaving",
        "cost",
        "abilities",
        "born_ms",
        "cold_s",
        "leaves_in_s",
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        region: str,
        zone: str,
        address: str,
        slots: int = 8,
        leaving: bool = False,
        cost: float = 1.0,
        abilities: tuple[str, ...] = (),
        born_ms: int = 0,
        cold_s: float = 0.0,
        leaves_in_s: float | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.region = region
        self.zone = zone
        self.address = address
        self.slots = slots
        self.leaving = leaving
        self.cost = cost
        self.abilities = tuple(abilities)
        self.born_ms = born_ms
        self.cold_s = cold_s
        self.leaves_in_s = leaves_in_s
