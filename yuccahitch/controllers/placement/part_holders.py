"""Ranks upstreams as holders of shared prompt parts.

Instances that know the same upstreams come to the same ranks without messages, and an upstream that
comes or goes doesn't change the order of the others.

Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018.
"""

from __future__ import annotations

import typing

from yuccahitch.controllers.members import rendezvous
from yuccahitch.controllers.upstream_state import replica_state

# A holder is passed over while it is fuller than this multiple of the average.
LOAD_FACTOR = 1.25
# Fill, from 0 to 1, below which no holder is passed over.
MIN_FILL = 0.8
# Fill by which the next upstream by rank is emptier than all holders when it is worth comparing the
# time to read the part there with the wait at the holders.
SPARE_GAP = 0.5

# Returns how full an upstream is: 1 if its slots or its memory are taken, more if requests wait.
FillOf = typing.Callable[[replica_state.Replica], float]


def choose(
    part: str, count: int, candidates: list[replica_state.Replica], fill_of: FillOf
) -> list[replica_state.Replica]:
    """Return the upstreams that hold a part, and a spare one while they are much fuller.

    Upstreams that are too full are passed over; at least one is returned if there are candidates,
    as one is never fuller than the average.

    Args:
        part: Id of the part.
        count: Number of holders.
        candidates: The upstreams.
        fill_of: Returns how full an upstream is.
    """
    by_name = {replica.upstream.name: replica for replica in candidates}
    fills = {name: fill_of(replica) for name, replica in by_name.items()}
    bound = max(MIN_FILL, LOAD_FACTOR * sum(fills.values()) / max(1, len(fills)))
    ranked = [name for name in rendezvous.ranked(part, by_name) if fills[name] < bound]
    least_fill = min((fills[name] for name in ranked[:count]), default=0.0)
    spare = [name for name in ranked[count : count + 1] if least_fill - fills[name] >= SPARE_GAP]
    return [by_name[name] for name in ranked[:count] + spare]
