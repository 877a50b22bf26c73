"""Which messages get through, and how long they take."""

from __future__ import annotations

import random

STORE = "store"


class Network:
    """Delays between places and the directions that are cut.

    A place is a region's name or ``STORE``; single instances can be cut off as well.

    Args:
        rng: Seeded source of jitter and loss.
        intra_region_delay_s: One-way delay inside a region, in seconds.
        inter_region_delay_s: One-way delay between regions, in seconds.
        store_region: Region that holds the store.
    """

    __slots__ = (
        "rng",
        "intra_region_delay_s",
        "inter_region_delay_s",
        "store_region",
        "cuts",
        "loss",
        "store_down",
        "extra_store_delay_s",
    )

    def __init__(
        self,
        rng: random.Random,
        *,
        intra_region_delay_s: float = 0.001,
        inter_region_delay_s: float = 0.055,
        store_region: str = "",
    ) -> None:
        self.rng = rng
        self.intra_region_delay_s = intra_region_delay_s
        self.inter_region_delay_s = inter_region_delay_s
        self.store_region = store_region
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.store_down = False
        self.extra_store_delay_s = 0.0

    def cut(self, source: str, target: str, *, both: bool = True) -> None:
        """Cut the way from one place or instance to another."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def heal(self) -> None:
        """Undo all cuts and losses."""
        self.cuts.clear()
        self.loss = 0.0
        self.store_down = False
        self.extra_store_delay_s = 0.0

    def delivers(self, source: tuple[str, str], target: tuple[str, str]) -> bool:
        """Return whether a message gets through; ends are instance and region."""
        links = [(a, b) for a in source for b in target]
        if any(link in self.cuts for link in links):
            return False
        return self.loss <= 0 or self.rng.random() >= self.loss

    def delay(self, source_region: str, target_region: str) -> float:
        """Return a message's one-way delay in seconds."""
        same_region = source_region == target_region
        return (self.intra_region_delay_s if same_region else self.inter_region_delay_s) * (
            1 + 0.2 * self.rng.random()
        )

    def store_delay(self, region: str) -> float:
        """Return the one-way delay to the store in seconds."""
        return self.delay(region, self.store_region or region) + self.extra_store_delay_s
