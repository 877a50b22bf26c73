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

MAX_BUFFERED_BYTES = 1_048_576
# Above this part of the buffer ordinary lines are dropped.
ORDINARY_BUFFER_SHARE = 0.5
FLUSH_DELAY_S = 0.05
# A pipe takes so many bytes whole or not at all, so a reader never sees a torn line.
MAX_WRITE_BYTES = select.PIPE_BUF
ORDINARY_EVENTS = frozenset(
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
        max_buffered_bytes: Most bytes that wait.

    Attributes:
        dropped_by_event: Lines that were dropped and not told of yet, by event.
        dropped_total: All lines that were dropped.
    """

    __slots__ = (
        "descriptor",
        "max_buffered_bytes",
        "lines",
        "buffered_bytes",
        "dropped_by_event",
        "dropped_total",
        "loop",
        "flush_scheduled",
        "unwritten",
    )

    def __init__(self, descriptor: int, *, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self.descriptor = descriptor
        self.max_buffered_bytes = max_buffered_bytes
        self.lines: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.dropped_by_event: dict[str, int] = {}
        self.dropped_total = 0
        self.loop: asyncio.AbstractEventLoop | None = None
        self.flush_scheduled = False
        self.unwritten = b""

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write from a loop from now on, without waiting for the reader."""
        self.loop = loop
        os.set_blocking(self.descriptor, False)
        self._schedule_flush()

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Take in one event."""
        label = str(message.get("message_type", ""))
        line = json.dumps(message, default=str).encode() + b"\n"
        limit = self.max_buffered_bytes * (
            ORDINARY_BUFFER_SHARE if label in ORDINARY_EVENTS else 1.0
        )
        if self.buffered_bytes + len(line) > limit:
            self.dropped_by_event[label] = self.dropped_by_event.get(label, 0) + 1
            self.dropped_total += 1
            return
        self.lines.append(line)
        self.buffered_bytes += len(line)
        self._schedule_flush()

    def close(self) -> None:
        """Write what is left, as far as the reader takes it."""
        self._write_buffered()

    def _schedule_flush(self) -> None:
        if self.loop is not None and not self.flush_scheduled and self.lines:
            self.flush_scheduled = True
            self.loop.call_later(FLUSH_DELAY_S, self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        if not self._write_buffered():
            try:
                self.loop.add_writer(self.descriptor, self._on_writable)
            except OSError:
                # A descriptor that can't be polled: it is tried again by the clock.
                self._schedule_flush()

    def _on_writable(self) -> None:
        if self._write_buffered():
            self.loop.remove_writer(self.descriptor)

    def _write_buffered(self) -> bool:
        """Write what the reader takes; return whether nothing is left."""
        while self.unwritten or self.lines or self.dropped_by_event:
            self.unwritten = self.unwritten or self._next_batch()
            try:
                written_bytes = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody can read any more, and there is no other place to tell it.
                self.lines.clear()
                self.buffered_bytes = 0
                self.unwritten = b""
                return True
            self.unwritten = self.unwritten[written_bytes:]
        return True

    def _next_batch(self) -> bytes:
        batch = bytearray()
        if self.dropped_by_event:
            drop_notice = {
                "message_type": events.Event.LOG_DROPPED.label,
                "number": events.Event.LOG_DROPPED.number,
                "lines": self.dropped_by_event,
            }
            batch += json.dumps(drop_notice).encode() + b"\n"
            self.dropped_by_event = {}
        while self.lines and (not batch or len(batch) + len(self.lines[0]) <= MAX_WRITE_BYTES):
            line = self.lines.popleft()
            self.buffered_bytes -= len(line)
            batch += line
        return bytes(batch)
