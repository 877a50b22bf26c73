"""What a placement was decided on, for the log."""

from __future__ import annotations

import typing

from yuccahitch import records


class PlacementInputs(records.Record):
    """The inputs of one placement.

    Attributes:
        known: Upstreams of the service in this region.
        usable: Those of them that could take the request.
        running: Requests at the chosen one, as far as is known; None without one.
        slots: Requests that it works on at the same time; None without one.
        wait_s: Estimated time to its first token, in seconds; None without one.
        elsewhere: Best other region, or empty.
        elsewhere_s: Estimated time to the first token there, in seconds; None without one.
        told_s: Age of the oldest pulse from an instance of this region, in seconds.
    """

    __slots__ = (
        "known",
        "usable",
        "running",
        "slots",
        "wait_s",
        "elsewhere",
        "elsewhere_s",
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
        told_s: float = 0.0,
    ) -> None:
        self.known = known
        self.usable = usable
        self.running = running
        self.slots = slots
        self.wait_s = wait_s
        self.elsewhere = elsewhere
        self.elsewhere_s = elsewhere_s
        self.told_s = told_s

    def log_fields(self) -> dict[str, typing.Any]:
        """Return what is known, for a line of the log."""
        return {name: value for name, value in self.as_dict().items() if value not in (None, "")}
