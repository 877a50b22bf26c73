"""Recognizes callers that return after a refusal."""

from __future__ import annotations

import xxhash

# Requests that are remembered at most; the oldest ones are dropped.
MAX_REFUSED = 4096
# Time before and after the moment that a refusal named, in which a return is recognized, in
# seconds.
EARLY_S = 0.05
LATE_S = 2.0


class Returns:
    """Remembers the requests that were refused a short time ago.

    Attributes:
        due_at: When each refused request may return, in monotonic seconds, by its key; the one
            refused first comes first.
    """

    __slots__ = ("due_at",)

    def __init__(self) -> None:
        self.due_at: dict[int, float] = {}

    def record_refusal(self, key: int, due_at: float) -> None:
        """Remember a refused request and when it may return."""
        self.due_at.pop(key, None)
        self.due_at[key] = due_at
        if len(self.due_at) > MAX_REFUSED:
            del self.due_at[next(iter(self.due_at))]

    def take(self, key: int, now: float) -> bool:
        """Return whether a request was refused and returns now; a return counts once."""
        due_at = self.due_at.get(key)
        if due_at is None or now < due_at - EARLY_S:
            return False
        del self.due_at[key]
        return now <= due_at + LATE_S


def request_key(account: str, digest: str) -> int:
    """Return the key of a request; a second try has another id, but the same key."""
    return xxhash.xxh64_intdigest(f"{account}:{digest}".encode())
