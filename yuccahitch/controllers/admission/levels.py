"""Works out which priorities of a service are admitted, from demand and room alone."""

from __future__ import annotations

import typing

from yuccahitch import records

# How much likelier a request that returns after a refusal is admitted than a new one.
RETURN_PREFERENCE = 3.0
# Share from which a priority is admitted wholly: the free places that a shortage aims at bear it.
NEARLY_WHOLE = 0.9


class AdmissionLevel(records.Record):
    """What is admitted: all that is more urgent than a priority, and a part of that one.

    Attributes:
        priority: The priority that is admitted in part; None if everything is admitted.
        share: The part of its work that is admitted, from 0 to 1.
    """

    __slots__ = ("priority", "share")

    def __init__(self, priority: int | None = None, share: float = 1.0) -> None:
        self.priority = priority
        self.share = share

    def share_of(self, priority: int) -> float:
        """Return the part of the work of a priority that is admitted."""
        if self.priority is None or priority < self.priority:
            return 1.0
        return self.share if priority == self.priority else 0.0


class Chances(records.Record):
    """How likely requests of the priority that is admitted in part are admitted.

    Attributes:
        new: Chance of a request that was not refused before.
        returning: Chance of one that returns after a refusal.
    """

    __slots__ = ("new", "returning")

    def __init__(self, *, new: float, returning: float) -> None:
        self.new = new
        self.returning = returning


EVERYTHING = AdmissionLevel()


def find_level(work_by_priority: typing.Mapping[int, float], room: float) -> AdmissionLevel:
    """Return the level at which the admitted work fills the room.

    Args:
        work_by_priority: Work that callers ask for, in seconds a second, by priority.
        room: Work that can be done, in seconds a second.
    """
    left = room
    for priority, work_per_s in sorted(work_by_priority.items()):
        if work_per_s > left:
            share = max(0.0, left) / work_per_s
            return AdmissionLevel(priority, 1.0 if share >= NEARLY_WHOLE else share)
        left -= work_per_s
    return EVERYTHING


def find_chances(share: float, *, returned_part: float) -> Chances:
    """Return the chances with which requests are admitted, so that a share of the new work fits.

    Returning requests are RETURN_PREFERENCE times as likely to be admitted, up to certainty.

    Args:
        share: Work to admit, as a part of the work of new requests.
        returned_part: Work of returning requests, as a part of the work of new ones.
    """
    new = share / (1.0 + RETURN_PREFERENCE * returned_part)
    if new * RETURN_PREFERENCE > 1.0:
        return Chances(new=min(1.0, share - returned_part), returning=1.0)
    return Chances(new=new, returning=new * RETURN_PREFERENCE)
