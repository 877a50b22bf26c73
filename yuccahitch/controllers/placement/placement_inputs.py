"""The inputs of a placement decision, for the log."""

from __future__ import annotations

import typing

from yuccahitch import records


class PlacementInputs(records.Record):
    """The inputs of one placement decision; each slot is a field of the log.

    Attributes:
        known: Number of upstreams of the service that are registered in this region.
        usable: Number of those that could take the request.
        running: Known number of requests at the best local upstream; None if there is none.
        slots: Requests that the best local upstream runs at the same time; None if there is none.
        wait_s: Estimated time to the first token at the best local upstream, in seconds; None if
            there is none.
        elsewhere: Name of the best other region, or empty.
        elsewhere_s: Estimated time to the first token in that region, in seconds; None if there is
            none.
        without_memory: Number of usable upstreams whose memory doesn't hold the request; None if
            all do.
        memory_needed: Tokens that the request takes where none of its prompt parts is held; None
            if that is not known.
        memory_free: Tokens that are free at the best local upstream; None if that is not known.
        work_factor: Time that the best local upstream takes for a request over the average of its
            service; None if there is none.
        told_s: Longest time since a reachable instance of this region was last seen, in seconds; 0
            if that is not measured.
    """

    __slots__ = (
        "known",
        "usable",
        "running",
        "slots",
        "wait_s",
        "elsewhere",
        "elsewhere_s",
        "without_memory",
        "memory_needed",
        "memory_free",
        "work_factor",
        "told_s",
    )

    def __init__(
        self,
        *,
        known: int,
        usable: int,
        running: int | None = None,
        slots: int | None = None,
        wait_s: float | None = None,
        elsewhere: str = "",
        elsewhere_s: float | None = None,
        without_memory: int | None = None,
        memory_needed: int | None = None,
        memory_free: int | None = None,
        work_factor: float | None = None,
        told_s: float = 0.0,
    ) -> None:
        self.known = known
        self.usable = usable
        self.running = running
        self.slots = slots
        self.wait_s = wait_s
        self.elsewhere = elsewhere
        self.elsewhere_s = elsewhere_s
        self.without_memory = without_memory
        self.memory_needed = memory_needed
        self.memory_free = memory_free
        self.work_factor = work_factor
        self.told_s = told_s

    def log_fields(self) -> dict[str, typing.Any]:
        """Return the inputs that have a value, as fields of a log event."""
        return {name: value for name, value in self.as_dict().items() if value not in (None, "")}
