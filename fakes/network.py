"""Fake network: loss, partitions and delays of messages in virtual time."""

from __future__ import annotations

import random

STORE = "store"


class Network:
    """Delays of messages, their loss, and links that are cut.

    An endpoint of a cut is the name of a region or of an instance, or ``STORE``.

    Args:
        rng: Seeded source of jitter and loss.
        intra_region_delay_s: One-way delay inside a region, in seconds.
        inter_region_delay_s: One-way delay between regions, in seconds.
        store_region: Region that holds the store; empty places a store in every region.

    Attributes:
        cuts: Directed links that are cut, as (source, target).
        loss: Probability that a message is lost, from 0 to 1; set by tests.
        store_down: Whether every call to the store fails; set by tests.
        extra_store_delay_s: Extra one-way delay to the store, in seconds; set by tests.
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
        """Cut the link from one endpoint to another, and by default the link back too."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def heal(self) -> None:
        """Undo all cuts, message loss, and faults of the store."""
        self.cuts.clear()
        self.loss = 0.0
        self.store_down = False
        self.extra_store_delay_s = 0.0

    def delivers(self, source: tuple[str, str], target: tuple[str, str]) -> bool:
        """Return whether a message is delivered, drawing its loss at random.

        Source and target are pairs of an instance and its region.
        """
        links = [(a, b) for a in source for b in target]
        if any(link in self.cuts for link in links):
            return False
        return self.loss <= 0 or self.rng.random() >= self.loss

    def delay(self, source_region: str, target_region: str) -> float:
        """Return the one-way delay of a message in seconds, with up to 20 % of jitter."""
        same_region = source_region == target_region
        return (self.intra_region_delay_s if same_region else self.inter_region_delay_s) * (
            1 + 0.2 * self.rng.random()
        )

    def store_delay(self, region: str) -> float:
        """Return the one-way delay between a region and the store, in seconds."""
        return self.delay(region, self.store_region or region) + self.extra_store_delay_s
