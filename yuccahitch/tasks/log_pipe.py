"""Writes log lines to a descriptor without ever waiting for its reader.

Lines wait in a buffer of bounded size. Under pressure the ordinary lines about requests are dropped
first, and one line tells how many of which; lines about refusals, failures and beliefs go last.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import select
import typing

from yuccahitch import events

MAX_BYTES = 1_048_576
# Above this part of the buffer ordinary lines are dropped.
ORDINARY_SHARE = 0.5
FLUSH_S = 0.05
# A pipe takes so many bytes whole or not at all, so a reader never sees a torn line.
MAX_WRITE_BYTES = select.PIPE_BUF
ORDINARY = frozenset(
    event.label
    for event in (
        events.Event.REQUEST_BEGAN,
        events.Event.REQUEST_DISPATCHED,
        events.Event.REQUEST_FORWARDED,
        events.Event.REQUEST_ENDED,
        events.Event.REQUEST_ABANDONED,
    )
)


class LogPipe:
    """A destination for eliot that owns a descriptor.

    Args:
        descriptor: The descriptor, such as that of standard output.
        max_bytes: Most bytes that wait.

    Attributes:
        dropped: Lines that were dropped and not told of yet, by event.
        dropped_total: All lines that were dropped.
    """

    __slots__ = (
        "descriptor",
        "max_bytes",
        "lines",
        "size",
        "dropped",
        "dropped_total",
        "loop",
        "due",
        "rest",
    )

    def __init__(self, descriptor: int, *, max_bytes: int = MAX_BYTES) -> None:
        self.descriptor = descriptor
        self.max_bytes = max_bytes
        self.lines: collections.deque[bytes] = collections.deque()
        self.size = 0
        self.dropped: dict[str, int] = {}
        self.dropped_total = 0
        self.loop: asyncio.AbstractEventLoop | None = None
        self.due = False
        self.rest = b""

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write from a loop from now on, without waiting for the reader."""
        self.loop = loop
        os.set_blocking(self.descriptor, False)
        self._plan()

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Take in one event."""
        label = str(message.get("message_type", ""))
        line = json.dumps(message, default=str).encode() + b"\n"
        limit = self.max_bytes * (ORDINARY_SHARE if label in ORDINARY else 1.0)
        if self.size + len(line) > limit:
            self.dropped[label] = self.dropped.get(label, 0) + 1
            self.dropped_total += 1
            return
        self.lines.append(line)
        self.size += len(line)
        self._plan()

    def close(self) -> None:
        """Write what is left, as far as the reader takes it."""
        self._write()

    def _plan(self) -> None:
        if self.loop is not None and not self.due and self.lines:
            self.due = True
            self.loop.call_later(FLUSH_S, self._flush)

    def _flush(self) -> None:
        self.due = False
        if not self._write():
            try:
                self.loop.add_writer(self.descriptor, self._writable)
            except OSError:
                # A descriptor that can't be polled: it is tried again by the clock.
                self._plan()

    def _writable(self) -> None:
        if self._write():
            self.loop.remove_writer(self.descriptor)

    def _write(self) -> bool:
        """Write what the reader takes; return whether nothing is left."""
        while self.rest or self.lines or self.dropped:
            self.rest = self.rest or self._batch()
            try:
                done = os.write(self.descriptor, self.rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody can read any more, and there is no other place to tell it.
                self.lines.clear()
                self.size = 0
                self.rest = b""
                return True
            self.rest = self.rest[done:]
        return True

    def _batch(self) -> bytes:
        batch = bytearray()
        if self.dropped:
            told = {
                "message_type": events.Event.LOG_DROPPED.label,
                "number": events.Event.LOG_DROPPED.number,
                "lines": self.dropped,
            }
            batch += json.dumps(told).encode() + b"\n"
            self.dropped = {}
        while self.lines and (not batch or len(batch) + len(self.lines[0]) <= MAX_WRITE_BYTES):
            line = self.lines.popleft()
            self.size -= len(line)
            batch += line
        return bytes(batch)
