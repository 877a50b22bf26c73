"""What one request or one head takes of the memory for callers, and how fast its caller is."""

from __future__ import annotations

import enum

# Time without progress after which a holding may be given up, in seconds.
STALL_S = 2.0
# Bytes that count as progress; single ones sent or read now and then do not.
PROGRESS_BYTES = 2048
# Callers that send or read less than this in a second may be given up while memory is short.
SLOW_BYTES_PER_S = 16_384


class Way(enum.Enum):
    """Where the bytes of a holding come from or go to; the values name them in metrics."""

    BODY = "bodies"
    ANSWER = "answers"
    FORWARDED = "forwarded"


class Holding:
    """What is held for one request or one head.

    Args:
        address: Address of the caller, or id of the instance that forwarded the request.
        now: Monotonic seconds.
        is_forwarded: Whether another instance forwarded the request.

    Attributes:
        request_id: Id of the request, or empty before it is known.
        size: Bytes of memory that it takes.
        answer_bytes: Bytes among these that came of the answer and that the caller has not taken.
        answer_total: Bytes that came of the answer in all.
        buffers_bytes: Bytes among these that the buffers of its connections take.
        is_incoming: Whether its bytes still come in, so that nothing of it has run.
        is_lagging: Whether its answer waits for the caller to read.
        is_waiting: Whether the instance lets it wait for memory; it can't progress meanwhile.
        waits_until: When it has waited long enough, in monotonic seconds, or None before.
        is_open: Whether it is part of the budget.
        has_lagged: Whether its answer has ever waited for the caller.
        began_at: When the caller began to send, or first let the answer wait, in monotonic seconds.
        moved_bytes: Bytes that the caller has sent or read since then.
        progressed_at: When it last made progress, in monotonic seconds.
        new_bytes: Bytes that moved since then.
    """

    __slots__ = (
        "address",
        "is_forwarded",
        "request_id",
        "size",
        "answer_bytes",
        "answer_total",
        "buffers_bytes",
        "is_incoming",
        "is_lagging",
        "is_waiting",
        "waits_until",
        "is_open",
        "has_lagged",
        "began_at",
        "moved_bytes",
        "progressed_at",
        "new_bytes",
    )

    def __init__(self, address: str, now: float, *, is_forwarded: bool = False) -> None:
        self.address = address
        self.is_forwarded = is_forwarded
        self.request_id = ""
        self.size = 0
        self.answer_bytes = 0
        self.answer_total = 0
        self.buffers_bytes = 0
        self.is_incoming = True
        self.is_lagging = False
        self.is_waiting = False
        self.waits_until: float | None = None
        self.is_open = True
        self.has_lagged = False
        self.began_at = now
        self.moved_bytes = 0
        self.progressed_at = now
        self.new_bytes = 0

    def waits_for_caller(self) -> bool:
        """Return whether it can only go on when the caller sends or reads."""
        return (self.is_incoming or self.is_lagging) and not self.is_waiting and self.size > 0

    def is_stalled(self, now: float) -> bool:
        """Return whether it waits for the caller and makes no progress, or hardly any."""
        return self.waits_for_caller() and now - self.progressed_at >= STALL_S

    def is_slow(self, now: float) -> bool:
        """Return whether it waits for the caller, who has been slow for some time."""
        return self.waits_for_caller() and self.has_slow_caller(now)

    def has_slow_caller(self, now: float) -> bool:
        """Return whether the caller has been slow for some time, with a body or with an answer."""
        age_s = now - self.began_at
        is_known = age_s >= STALL_S and (self.is_incoming or self.has_lagged)
        return is_known and self.moved_bytes < SLOW_BYTES_PER_S * age_s

    def bytes_per_s(self, now: float) -> float:
        """Return how fast the caller has sent or read."""
        return self.moved_bytes / max(STALL_S, now - self.began_at)

    def record_moved(self, count: int, now: float) -> None:
        """Record bytes that the caller sent or read, and the time if they are progress."""
        self.moved_bytes += count
        self.new_bytes += count
        if self.new_bytes >= PROGRESS_BYTES:
            self.new_bytes = 0
            self.progressed_at = now

    def begin_lag(self, now: float) -> None:
        """Note that the answer waits for the caller, whose reading counts from the first time."""
        self.is_lagging = True
        self.progressed_at = now
        if not self.has_lagged:
            self.has_lagged = True
            self.began_at = now
            self.moved_bytes = 0

    def end_lag(self) -> None:
        """Note that the caller has read what waited."""
        self.is_lagging = False

    def end_wait(self, waited_s: float, now: float) -> None:
        """Note the end of a wait for memory, which does not count as slowness of the caller."""
        self.is_waiting = False
        self.began_at += waited_s
        self.progressed_at = now

    def way(self) -> Way:
        """Return the way that its bytes take."""
        if self.is_forwarded:
            return Way.FORWARDED
        return Way.ANSWER if self.answer_total else Way.BODY
