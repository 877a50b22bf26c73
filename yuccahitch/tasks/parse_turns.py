"""Lets connections parse what has come a slice at a time, in turns with all other tasks."""

from __future__ import annotations

import asyncio
import typing


class Connection(typing.Protocol):
    """A connection with bytes that are not parsed yet."""

    def parse_slice(self) -> bool:
        """Parse some of them, and return whether more can be parsed now."""


class ParseTurns:
    """The connections that have bytes to parse; one of them has its turn in each turn of the loop.

    Attributes:
        waiting: These connections, the next one first.
        is_scheduled: Whether a turn is to come.
    """

    __slots__ = ("waiting", "is_scheduled")

    def __init__(self) -> None:
        self.waiting: dict[Connection, None] = {}
        self.is_scheduled = False

    def add(self, connection: Connection) -> None:
        """Let a connection parse when it is its turn; nothing happens if it waits already."""
        self.waiting[connection] = None
        self._schedule()

    def remove(self, connection: Connection) -> None:
        """Forget a connection; nothing happens if it does not wait."""
        self.waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        """Let the next connection parse a slice, and go to the end of the row if it has more."""
        self.is_scheduled = False
        connection = next(iter(self.waiting), None)
        if connection is not None:
            del self.waiting[connection]
            if connection.parse_slice():
                self.waiting[connection] = None
        self._schedule()
