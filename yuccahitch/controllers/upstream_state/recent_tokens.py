"""Counts the tokens that were placed within a short time."""

from __future__ import annotations

import collections


class RecentTokens:
    """A sum over a window of time that slides.

    Args:
        window_s: Length of the window, in seconds.

    Attributes:
        placed: Times in monotonic seconds and tokens, oldest first.
        total: Sum of these tokens.
    """

    __slots__ = ("window_s", "placed", "total")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.placed: collections.deque[tuple[float, int]] = collections.deque()
        self.total = 0

    def add(self, tokens: int, now: float) -> None:
        """Count tokens that are placed now."""
        self._drop_old(now)
        self.placed.append((now, tokens))
        self.total += tokens

    def sum(self, now: float) -> int:
        """Return the tokens that were placed within the window."""
        self._drop_old(now)
        return self.total

    def _drop_old(self, now: float) -> None:
        """Drop what was placed before the window."""
        while self.placed and self.placed[0][0] <= now - self.window_s:
            _, tokens = self.placed.popleft()
            self.total -= tokens
