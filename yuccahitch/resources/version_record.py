"""The software versions of a service that may have begun open streams, as the store keeps them."""

from __future__ import annotations

import enum

from yuccahitch import records

# Stands in place of an era for a record that nobody vouches for.
NO_ERA = -1


class VersionState(enum.Enum):
    """What may happen at the upstreams of a software version."""

    ANNOUNCED = "announced"  # no stream has begun there
    SERVING = "serving"  # streams begin there
    RETIRED = "retired"  # no stream begins there, open ones may remain


class VersionRecord(records.Record):
    """The versions of one service.

    Attributes:
        states: State of each software version.
        era: Era of the store in which the record surely has all versions with open streams, None
            if the store names none, or NO_ERA.
    """

    __slots__ = ("states", "era")

    def __init__(self, states: dict[str, VersionState], *, era: int | None) -> None:
        self.states = states
        self.era = era
