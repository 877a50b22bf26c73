"""Upstreams, the replicas of services."""

from __future__ import annotations

from yuccahitch import records


class Upstream(records.Record):
    """One replica of a service.

    Attributes:
        name: Unique name.
        service: Name of the service that the upstream offers.
        region: Region of the upstream.
        zone: Availability zone of the upstream.
        address: Base URL, ``http://IP:PORT``.
        slots: Number of requests that the upstream works on at the same time.
        leaving: Whether the upstream gets no new requests.
        cost: Cost of a thousand tokens, in a unit that the operators choose.
        abilities: Features that the engine supports, out of ``load``, ``cancel``, ``resume``,
            ``priority``, ``events``, ``orders``, ``fencing`` and ``echo``.
        born_ms: Start of this incarnation, in milliseconds since the Unix epoch, or 0.
        cold_s: Time for which the upstream stays cold, in seconds after the entry was written.
        leaves_in_s: Time until the upstream shuts down, in seconds, or None.
        sequence: Number of the statement of this incarnation; a larger one is newer.
        software_version: Version of its software, or empty; streams of two versions don't fit
            together.
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
        "sequence",
        "software_version",
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
        sequence: int = 0,
        software_version: str = "",
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
        self.sequence = sequence
        self.software_version = software_version
