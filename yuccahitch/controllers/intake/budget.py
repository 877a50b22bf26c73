"""Decides whether more bytes may be held for a caller, and whose are given up when memory is short.

A holding is what one request or one head takes. Bytes are counted as they come, never as announced.
"""

from __future__ import annotations

# Part of the budget that one address may take.
ADDRESS_PART = 0.75
# Time without progress after which an upload may be given up, in seconds.
STALL_S = 2.0
# Bytes that count as progress; single ones sent now and then do not.
PROGRESS_BYTES = 2048


class Holding:
    """What is held for one request or one head.

    Args:
        address: Address of the caller.
        now: Monotonic seconds.

    Attributes:
        progressed_at: When it last made progress, in monotonic seconds.
        new_bytes: Bytes that came since then.
        size: Bytes of memory that it takes.
        is_incoming: Whether its bytes still come in, so that nothing of it has run.
        is_waiting: Whether the instance lets it wait for memory; it can't progress meanwhile.
        waits_until: When it has waited long enough, in monotonic seconds, or None before.
        is_open: Whether it is part of the budget.
    """

    __slots__ = (
        "address",
        "progressed_at",
        "new_bytes",
        "size",
        "is_incoming",
        "is_waiting",
        "waits_until",
        "is_open",
    )

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        self.progressed_at = now
        self.new_bytes = 0
        self.size = 0
        self.is_incoming = True
        self.is_waiting = False
        self.waits_until: float | None = None
        self.is_open = True

    def is_stalled(self, now: float) -> bool:
        """Return whether it comes in and makes no progress, or hardly any."""
        if not self.is_incoming or self.is_waiting or not self.size:
            return False
        return now - self.progressed_at >= STALL_S

    def grow(self, count: int, now: float) -> None:
        """Add bytes, and note the time if they are enough to be progress."""
        self.size += count
        self.new_bytes += count
        if self.new_bytes >= PROGRESS_BYTES:
            self.new_bytes = 0
            self.progressed_at = now


class Budget:
    """The bytes that are held for callers.

    Args:
        limit: Bytes that may be held.

    Attributes:
        held: Bytes that are held.
        holdings: What is held, the oldest first.
        held_by_address: Bytes that are held for each address.
    """

    __slots__ = ("limit", "held", "holdings", "held_by_address")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.holdings: dict[Holding, None] = {}
        self.held_by_address: dict[str, int] = {}

    def open(self, address: str, now: float) -> Holding:
        """Return a new holding without bytes."""
        holding = Holding(address, now)
        self.holdings[holding] = None
        return holding

    def take(self, holding: Holding, count: int, now: float) -> bool:
        """Add bytes to a holding if there is memory for them, and return whether there is.

        A holding that is the only one always gets its bytes: a single request is served.
        """
        address_held = self.held_by_address.get(holding.address, 0)
        is_only = self.held == holding.size
        has_room = self.held + count <= self.limit
        has_share = address_held + count <= self.limit * ADDRESS_PART
        if not holding.is_open or not (is_only or (has_room and has_share)):
            return False
        holding.grow(count, now)
        self.held += count
        self.held_by_address[holding.address] = address_held + count
        return True

    def stalled(self, holding: Holding, count: int, now: float) -> Holding | None:
        """Return the holding to give up for further bytes: the one without progress for longest.

        Those of the same address go first. Others are left alone while there is memory, so that an
        address at its share ends nobody else's.

        Args:
            holding: The holding that asks.
            count: The bytes that it asks for.
            now: Monotonic seconds.

        Returns:
            The other holding, or None if there is none.
        """
        is_short = self.held + count > self.limit
        candidates = [
            item
            for item in self.holdings
            if item is not holding
            and item.is_stalled(now)
            and (is_short or item.address == holding.address)
        ]
        return min(
            candidates,
            key=lambda item: (item.address != holding.address, item.progressed_at),
            default=None,
        )

    def close(self, holding: Holding) -> None:
        """Remove a holding; nothing happens if it is closed."""
        if not holding.is_open:
            return
        holding.is_open = False
        del self.holdings[holding]
        self.held -= holding.size
        left = self.held_by_address.get(holding.address, 0) - holding.size
        if left > 0:
            self.held_by_address[holding.address] = left
        else:
            self.held_by_address.pop(holding.address, None)
