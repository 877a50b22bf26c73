"""Callers that keep to no limit, and what a process holds meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib

from tests import builders, platform_builders

MAX_BODY_BYTES = 4_194_304
PIECE_BYTES = 65_536
# Size of the bodies of requests that are sent ahead; each is below what the server reads ahead.
AHEAD_BODY_BYTES = 100_000
HEADER_LINE_BYTES = 60_000
HEADER_LINES = 100
REQUESTS_AHEAD = 30
# Time for which a caller tries to send, in seconds.
SEND_LIMIT_S = 20.0
SAMPLE_PERIOD_S = 0.05
# The crowd has done what it can when memory has not grown for this time, in seconds.
QUIET_S = 3.0
WATCH_LIMIT_S = 60.0


class Crowd:
    """Connections of callers that are kept open until ``close``.

    Args:
        host: Address of the server.
        port: Its port.
        path: Path that requests are sent to.
        headers: Header lines of each request, without the end of the head.

    Attributes:
        writers: The open connections.
    """

    __slots__ = ("host", "port", "path", "headers", "writers")

    def __init__(self, host, port, *, path, headers):
        self.host = host
        self.port = port
        self.path = path
        self.headers = headers
        self.writers = []

    async def send(self, kind, count):
        """Send as a number of callers of one kind at once; return when none gets further."""
        await asyncio.gather(*[self._send_one(SENDERS[kind]) for _ in range(count)])

    async def close(self):
        """Close all connections."""
        for writer in self.writers:
            writer.close()

    def head(self, *lines):
        """Return the head of a POST request with further header lines."""
        all_lines = (f"POST {self.path} HTTP/1.1", *self.headers, *lines)
        return "".join(f"{line}\r\n" for line in all_lines).encode()

    async def _send_one(self, pieces):
        """Connect and send pieces until all are sent, the server closes or the time is over."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_LIMIT_S):
                _, writer = await asyncio.open_connection(self.host, self.port, limit=4096)
                self.writers.append(writer)
                for piece in pieces(self):
                    writer.write(piece)
                    await writer.drain()


def body_pieces(size):
    """Yield a body of a size in pieces."""
    for _ in range(size // PIECE_BYTES):
        yield b"x" * PIECE_BYTES
    yield b"x" * (size % PIECE_BYTES)


def short_upload(crowd):
    """Yield a request whose body lacks its last byte."""
    yield crowd.head(f"Content-Length: {MAX_BODY_BYTES}") + b"\r\n"
    yield from body_pieces(MAX_BODY_BYTES - 1)


def short_chunked_upload(crowd):
    """Yield a request in chunks that lacks its last one."""
    yield crowd.head("Transfer-Encoding: chunked") + b"\r\n"
    for piece in body_pieces(MAX_BODY_BYTES - 1):
        yield b"%x\r\n%b\r\n" % (len(piece), piece)


def whole_upload(crowd):
    """Yield a complete request with the largest body."""
    yield crowd.head(f"Content-Length: {MAX_BODY_BYTES}") + b"\r\n"
    yield from body_pieces(MAX_BODY_BYTES)


def requests_ahead(crowd):
    """Yield many complete requests, without reading an answer."""
    for _ in range(REQUESTS_AHEAD):
        yield crowd.head(f"Content-Length: {AHEAD_BODY_BYTES}") + b"\r\n"
        yield from body_pieces(AHEAD_BODY_BYTES)


def endless_head(crowd):
    """Yield a head that does not end."""
    yield crowd.head()
    for number in range(HEADER_LINES):
        yield f"X-Line-{number}: {'x' * HEADER_LINE_BYTES}\r\n".encode()


def silence(crowd):
    """Yield nothing."""
    return iter(())


SENDERS = {
    "uploads that stop short": short_upload,
    "uploads in chunks that stop short": short_chunked_upload,
    "whole uploads": whole_upload,
    "rows of requests sent ahead": requests_ahead,
    "heads without an end": endless_head,
    "silent connections": silence,
}


class Usage:
    """The largest memory and number of descriptors of a process that were seen.

    Args:
        pid: Id of the process.

    Attributes:
        peak_mb: Largest resident memory, in MB.
        peak_descriptors: Largest number of open descriptors.
    """

    __slots__ = ("pid", "peak_mb", "peak_descriptors")

    def __init__(self, pid):
        self.pid = pid
        self.peak_mb = 0.0
        self.peak_descriptors = 0

    async def watch(self):
        """Sample the process until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def settle(self):
        """Sample the process until its memory no longer grows."""
        loop = asyncio.get_running_loop()
        ends_at, quiet_at = loop.time() + WATCH_LIMIT_S, loop.time() + QUIET_S
        while loop.time() < min(ends_at, quiet_at):
            earlier_mb = self.peak_mb
            self.sample()
            if self.peak_mb > earlier_mb:
                quiet_at = loop.time() + QUIET_S
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def sample(self):
        """Read memory and descriptors of the process once."""
        lines = pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines()
        resident_kb = next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))
        self.peak_mb = max(self.peak_mb, resident_kb / 1024)
        self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))


def platform_headers():
    """Return the header lines of a request on the users' platform."""
    return (
        f"Host: {platform_builders.HOST}",
        f"Authorization: Token {platform_builders.PLATFORM_KEY}",
        "X-Deadline-Ms: 8000",
    )


def own_headers(account):
    """Return the header lines of a request on the own interface."""
    key = builders.key_header(account)["Authorization"]
    return ("Host: localhost", f"Authorization: {key}")


def large_bodies_publication(version):
    """Return a configuration that takes bodies of the default limit."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": MAX_BODY_BYTES,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return platform_builders.a_publication(version, limits=limits)
