"""Stand-in for an upstream that closes its half of a connection and works on.

It notices that its caller is gone only when the connection is reset, or when its time is over.
"""

from __future__ import annotations

import asyncio
import time
import typing

from standins import copying_upstream

# Time for which it works on, in seconds.
WORK_ON_S = 2.0
# Number of whole events, or parts, that are sent before.
WHOLE_PARTS = 2


class HalfClosingUpstream(copying_upstream.CopyingUpstream):
    """An upstream that sends its end early.

    Args:
        names: Ids that the upstream answers to.
        streams: Whether answers are streams of events.
        closes: When it sends its end: ``before its answer``, ``after 2 events``, ``inside an
            event`` or ``inside its answer``.
    """

    __slots__ = ("closes",)

    def __init__(self, names: typing.Iterable[str], *, streams: bool, closes: str) -> None:
        super().__init__(names, streams=streams)
        self.closes = closes

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        record: dict[str, typing.Any],
        copies: bytes,
    ) -> None:
        """Begin a run, close the own half of the connection, and work on."""
        record["ran"] = True
        record["began_at"] = time.monotonic()
        try:
            await asyncio.sleep(self.work_s)
            if self.closes != "before its answer":
                writer.write(self._first_part(record))
                await writer.drain()
            writer.write_eof()
            ends_at = time.monotonic() + WORK_ON_S
            # The end of the other half doesn't count: callers may close theirs and wait.
            while time.monotonic() < ends_at and reader.exception() is None:
                await asyncio.sleep(0.01)
            raise ConnectionResetError
        finally:
            record["ended_at"] = time.monotonic()

    def _first_part(self, record: dict[str, typing.Any]) -> bytes:
        """Return what is sent of the answer."""
        head = copying_upstream.SIGNED_HEAD
        if not self.streams:
            return f"{head}Content-Length: 50\r\n\r\ndone".format(id=record["id"]).encode()
        head += copying_upstream.EVENT_STREAM + copying_upstream.CHUNKED
        parts = self._parts(record)[:WHOLE_PARTS]
        if self.closes == "inside an event":
            parts.append("id: 3\ndata: to")
        chunks = (f"{len(part):x}\r\n{part}\r\n" for part in parts)
        return (head.format(id=record["id"]) + "".join(chunks)).encode()
