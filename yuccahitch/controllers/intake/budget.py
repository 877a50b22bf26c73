"""Decides whether more bytes may be held for a caller, and whose are given up when memory is short.

Bytes of bodies and of answers are counted as they come, never as announced.
"""

from __future__ import annotations

import collections
import typing

from yuccahitch.controllers.intake import holding as holdings

# Part of the budget that heads and bodies may take. Requests that run keep their bodies, so without
# room for answers they would wait for each other.
BODIES_PART = 0.75
# Part of that which one address may take.
ADDRESS_PART = 0.75
# Part of the budget that all answers may take, so that bodies find room beside them.
ANSWERS_PART = 0.75
# Part of the budget up to which bodies may end answers to get it, and answers bodies.
SURE_PART = 0.5
# Part of what is free for answers that each of them may take. However many there are, a new one
# finds room.
ANSWER_SHARE = 0.125
# Part of what is free that an answer may take when it is no longer small, with its buffers.
GROWTH_SHARE = 0.5
# What the connections of an answer take when its caller lets it wait, in bytes: the buffers of the
# system and of the transports, at the caller's and at the upstream's side.
BUFFERS_BYTES = 327_680
# An answer up to this size, in bytes, takes no more than that, however slowly its caller reads.
SMALL_ANSWER_BYTES = 65_536


class Budget:
    """The bytes that are held for callers.

    Args:
        limit: Bytes that may be held.

    Attributes:
        held: Bytes that are held.
        held_for_answers: Bytes among these that answers take.
        holdings: What is held, the oldest first.
        held_by_address: Bytes that are held for each address.
    """

    __slots__ = ("limit", "held", "held_for_answers", "holdings", "held_by_address")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.held_for_answers = 0
        self.holdings: dict[holdings.Holding, None] = {}
        self.held_by_address: dict[str, int] = {}

    def open(self, address: str, now: float, *, is_forwarded: bool = False) -> holdings.Holding:
        """Return a new holding without bytes."""
        holding = holdings.Holding(address, now, is_forwarded=is_forwarded)
        self.holdings[holding] = None
        return holding

    def take(self, holding: holdings.Holding, count: int, now: float) -> bool:
        """Add bytes of a head or body to a holding if there is memory for them; return whether.

        A holding that is the only one always gets its bytes: a single request is served.
        """
        address_held = self.held_by_address.get(holding.address, 0)
        has_room = not self._is_short(count)
        has_share = address_held + count <= self.limit * BODIES_PART * ADDRESS_PART
        if not holding.is_open or not (self._is_only(holding) or (has_room and has_share)):
            return False
        self._add(holding, count)
        holding.record_moved(count, now)
        return True

    def keep(self, holding: holdings.Holding, count: int) -> None:
        """Add bytes to a holding that are in memory in any case."""
        self._add(holding, count)

    def take_for_answer(self, holding: holdings.Holding, count: int) -> bool:
        """Add bytes of an answer to a holding if there is memory for them; return whether.

        An answer of which nothing is held may take all that is free. One that is no longer small
        counts with the buffers of its connections from then on.
        """
        free = self._free_for_answers()
        share = free * ANSWER_SHARE if holding.answer_bytes else free
        buffers = self._uncounted_buffers(holding, count)
        has_room = holding.answer_bytes + count <= share and _fits(count, buffers, free)
        if holding.is_open and not (self._is_only(holding) or has_room):
            return False
        self._add_for_answer(holding, count + buffers)
        holding.buffers_bytes += buffers
        holding.answer_bytes += count
        holding.answer_total += count
        return True

    def give_back(self, holding: holdings.Holding, count: int) -> None:
        """Remove bytes of an answer that the connection of the caller has taken."""
        self._add_for_answer(holding, -count)
        holding.answer_bytes -= count

    def victim(self, asking: holdings.Holding, count: int, now: float) -> holdings.Holding | None:
        """Return the holding to give up for further bytes of a head or body.

        That is the one without progress for longest, or else the slowest one. Those of the same
        address go first. Others are left alone while there is memory, so that an address at its
        share ends nobody else's. Answers are left alone once bodies have their part.

        Args:
            asking: The holding that asks.
            count: The bytes that it asks for.
            now: Monotonic seconds.

        Returns:
            The other holding, or None if there is none.
        """
        is_short = self._is_short(count)
        may_take_answers = self._bodies() + count <= self.limit * SURE_PART
        candidates = [
            item
            for item in self.holdings
            if item is not asking
            and (is_short or item.address == asking.address)
            and (may_take_answers or item.is_incoming)
        ]
        return _least_worth(candidates, asking.address, now)

    def victim_for_answer(
        self, asking: holdings.Holding, count: int, now: float
    ) -> holdings.Holding | None:
        """Return the holding to give up for the first bytes of an answer, or None.

        Bodies are left alone once answers have their part, or while only the part for answers is
        used up. An answer that is itself read slowly ends no other.
        """
        if asking.answer_bytes or asking.has_slow_caller(now):
            return None
        buffers = self._uncounted_buffers(asking, count)
        is_short = not _fits(count, buffers, self.limit - self.held)
        has_part = self.held_for_answers + count + buffers > self.limit * SURE_PART
        candidates = [
            item
            for item in self.holdings
            if item is not asking and (item.is_lagging or (is_short and not has_part))
        ]
        return _least_worth(candidates, asking.address, now)

    def victim_for_run(
        self,
        asking: holdings.Holding,
        running: typing.Iterable[holdings.Holding],
        now: float,
    ) -> holdings.Holding | None:
        """Return the answer to give up for a further run, as too many requests run, or None."""
        return _least_worth([item for item in running if item.is_lagging], asking.address, now)

    def held_by_way(self) -> dict[str, float]:
        """Return the bytes that are held by the way that they take, by its name."""
        sizes = collections.Counter(dict.fromkeys((way.value for way in holdings.Way), 0))
        for holding in self.holdings:
            sizes[holding.way().value] += holding.size
        return dict(sizes)

    def close(self, holding: holdings.Holding) -> None:
        """Remove a holding; nothing happens if it is closed."""
        if not holding.is_open:
            return
        self._add_for_answer(holding, -holding.answer_bytes - holding.buffers_bytes)
        self._add(holding, -holding.size)
        holding.is_open = False
        del self.holdings[holding]

    def _uncounted_buffers(self, holding: holdings.Holding, count: int) -> int:
        """Return what the connections of an answer take that is not small, unless that counts."""
        is_small = holding.answer_total + count <= SMALL_ANSWER_BYTES
        return 0 if is_small or holding.buffers_bytes else BUFFERS_BYTES

    def _bodies(self) -> int:
        """Return the bytes of heads and bodies that are held."""
        return self.held - self.held_for_answers

    def _is_short(self, count: int) -> bool:
        """Return whether there is no memory for further bytes of a head or body."""
        bodies = self._bodies() + count
        return self.held + count > self.limit or bodies > self.limit * BODIES_PART

    def _is_only(self, holding: holdings.Holding) -> bool:
        """Return whether a holding is the only one that takes anything."""
        return self.held == holding.size

    def _free_for_answers(self) -> float:
        """Return the bytes that answers may take yet."""
        left = min(self.limit * ANSWERS_PART - self.held_for_answers, self.limit - self.held)
        return max(0.0, left)

    def _add_for_answer(self, holding: holdings.Holding, count: int) -> None:
        """Add bytes of an answer to a holding, or remove some."""
        if holding.is_open:
            self.held_for_answers += count
            self._add(holding, count)

    def _add(self, holding: holdings.Holding, count: int) -> None:
        """Add bytes to a holding, or remove some."""
        holding.size += count
        self.held += count
        left = self.held_by_address.get(holding.address, 0) + count
        if left > 0:
            self.held_by_address[holding.address] = left
        else:
            self.held_by_address.pop(holding.address, None)


def _fits(count: int, buffers: int, free: float) -> bool:
    """Return whether bytes of an answer, and the buffers that it takes with them, find room."""
    return count + buffers <= (free * GROWTH_SHARE if buffers else free)


def _least_worth(
    candidates: list[holdings.Holding], address: str, now: float
) -> holdings.Holding | None:
    """Return the holding whose end costs callers least, or None if none may be given up.

    Args:
        candidates: The holdings.
        address: Address whose own holdings go first.
        now: Monotonic seconds.
    """
    stalled = [item for item in candidates if item.is_stalled(now)]
    if stalled:
        return min(stalled, key=lambda item: (item.address != address, item.progressed_at))
    slow = [item for item in candidates if item.is_slow(now)]
    return min(
        slow, key=lambda item: (item.address != address, item.bytes_per_s(now)), default=None
    )
