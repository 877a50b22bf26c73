"""Writes log lines to a file descriptor without blocking on its reader.

Lines are held in a bounded buffer. When it fills, the lines of ordinary request events are dropped
first; lines about refusals, failures and the state of upstreams and instances are dropped last. A
``log-dropped`` line counts the dropped lines by event.
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
# Fraction of the buffer above which the lines of ordinary events are dropped.
ORDINARY_BUFFER_SHARE = 0.5
FLUSH_DELAY_S = 0.05
# A write to a pipe of at most PIPE_BUF bytes is atomic, so a reader never sees a partial line.
MAX_WRITE_BYTES = select.PIPE_BUF
# Events of requests that run normally; their lines are dropped first.
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
    """A destination for eliot that owns a file descriptor.

    Args:
        descriptor: The file descriptor, such as that of standard output.
        max_buffered_bytes: Limit of the buffered lines, in bytes.

    Attributes:
        lines: Buffered lines, each with its line feed.
        buffered_bytes: Size of the buffered lines, in bytes.
        dropped_by_event: Number of dropped lines that are not reported yet, by event.
        dropped_total: Number of all dropped lines.
        loop: Event loop that writes, or None before ``start``.
        flush_scheduled: Whether a flush is scheduled.
        unwritten: Rest of a batch that was written in part.
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
        """Make the descriptor non-blocking and write the buffered lines from an event loop."""
        self.loop = loop
        os.set_blocking(self.descriptor, False)
        self._schedule_flush()

    def __call__(self, message: dict[str, typing.Any]) -> None:
        """Buffer the line of one log event, or drop it if the buffer is full; called by eliot."""
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
        """Write the buffered lines as far as the reader accepts them."""
        self._write_buffered()

    def _schedule_flush(self) -> None:
        """Schedule a flush if there are lines and none is scheduled."""
        if self.loop is not None and not self.flush_scheduled and self.lines:
            self.flush_scheduled = True
            self.loop.call_later(FLUSH_DELAY_S, self._flush)

    def _flush(self) -> None:
        """Write the buffered lines; the rest is written when the descriptor is writable again."""
        self.flush_scheduled = False
        if not self._write_buffered():
            try:
                self.loop.add_writer(self.descriptor, self._on_writable)
            except OSError:
                # The event loop can't poll this descriptor: the write is retried after a delay.
                self._schedule_flush()

    def _on_writable(self) -> None:
        """Write more lines; stop waiting for the descriptor when nothing is left."""
        if self._write_buffered():
            self.loop.remove_writer(self.descriptor)

    def _write_buffered(self) -> bool:
        """Write until the descriptor blocks; return whether nothing is left to write."""
        while self.unwritten or self.lines or self.dropped_by_event:
            self.unwritten = self.unwritten or self._next_batch()
            try:
                written_bytes = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone, and there is no other place to report it.
                self.lines.clear()
                self.buffered_bytes = 0
                self.unwritten = b""
                return True
            self.unwritten = self.unwritten[written_bytes:]
        return True

    def _next_batch(self) -> bytes:
        """Remove and return the next lines, after a report of dropped lines if there are any.

        A batch has more than ``MAX_WRITE_BYTES`` only if its first line has.
        """
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
