"""Lets the admitted share of a service's requests pass, spread evenly."""

from __future__ import annotations

import random
import typing

from yuccahitch.controllers.admission import levels


class Gate:
    """Picks the requests of the priority that is admitted in part.

    Each client account has a running sum of its chances for new and for returning requests; a
    request passes when the sum reaches 1. So admitted requests are spread evenly.

    Args:
        rng: Seeded source of random numbers, for the sums at the start.

    Attributes:
        level: The level in force.
        chances: Chances of new and of returning requests, by client account.
        sums: Running sums by client account and whether requests return.
    """

    __slots__ = ("rng", "level", "chances", "sums")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.level = levels.EVERYTHING
        self.chances: dict[str, levels.Chances] = {}
        self.sums: dict[tuple[str, bool], float] = {}

    def set_level(
        self, level: levels.AdmissionLevel, chances: typing.Mapping[str, levels.Chances]
    ) -> None:
        """Put a level in force, with the chances of the accounts that use its priority."""
        if level.priority != self.level.priority:
            self.sums.clear()
        self.level = level
        self.chances = dict(chances)
        self.sums = {key: value for key, value in self.sums.items() if key[0] in self.chances}

    def passes(self, priority: int, account: str, *, returned: bool) -> bool:
        """Return whether a request is admitted."""
        if priority != self.level.priority:
            return self.level.share_of(priority) > 0
        chances = self.chances.get(account)
        if chances is None:
            chances = levels.find_chances(self.level.share, returned_part=0.0)
        key = (account, returned)
        chance = chances.returning if returned else chances.new
        reached = self.sums.get(key, self.rng.random()) + chance
        self.sums[key] = reached - 1.0 if reached >= 1.0 else reached
        return reached >= 1.0
