"""What the answers of an upstream say of the upstream itself."""

from __future__ import annotations

import math

from yuccahitch import records

UNLIMITED = math.inf


class MemoryReport(records.Record):
    """What the report of an engine says of its memory.

    Attributes:
        total_tokens: Size of the memory, in tokens.
        used_tokens: Tokens of it that running requests hold.
    """

    __slots__ = ("total_tokens", "used_tokens")

    def __init__(self, *, total_tokens: int, used_tokens: int) -> None:
        self.total_tokens = total_tokens
        self.used_tokens = used_tokens


class UpstreamNotice(records.Record):
    """Statements of an upstream in the head of one answer, or in its report.

    Attributes:
        upstream: Name of the upstream.
        incarnation: Name of the upstream's start that the request was sent to.
        requests_per_s: Requests a second that it takes from all instances together; UNLIMITED if
            it names no limit, None if the answer says nothing of it.
        leaving: Whether it is shutting down.
        pause_s: Time for which it wants no requests of this instance, in seconds.
        replaced: Whether another start of it was found at its address.
        unreadable: Header of such a statement that can't be read, with its value; or empty.
        memory: What it says of its memory, or None.
    """

    __slots__ = (
        "upstream",
        "incarnation",
        "requests_per_s",
        "leaving",
        "pause_s",
        "replaced",
        "unreadable",
        "memory",
    )

    def __init__(
        self,
        upstream: str,
        *,
        incarnation: str = "",
        requests_per_s: float | None = None,
        leaving: bool = False,
        pause_s: float = 0.0,
        replaced: bool = False,
        unreadable: str = "",
        memory: MemoryReport | None = None,
    ) -> None:
        self.upstream = upstream
        self.incarnation = incarnation
        self.requests_per_s = requests_per_s
        self.leaving = leaving
        self.pause_s = pause_s
        self.replaced = replaced
        self.unreadable = unreadable
        self.memory = memory
