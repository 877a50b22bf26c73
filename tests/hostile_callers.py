"""Callers that keep to no limit in what they send."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

from tests import builders, platform_builders

MAX_BODY_BYTES = 4_194_304
PIECE_BYTES = 65_536
# Size of the bodies of requests that are sent ahead; each is below what the server reads ahead.
AHEAD_BODY_BYTES = 100_000
HEADER_LINE_BYTES = 60_000
HEADER_LINES = 100
REQUESTS_AHEAD = 30
KEYED_BODY_BYTES = 1_048_576
# Bodies in chunks of one byte, and how many of these go out in a write.
TINY_CHUNKS = 200_000
TINY_CHUNKS_PER_WRITE = 4096
# Time that requests have where the test gives them much, in seconds.
REQUEST_TIME_S = 120
# Connections that upstreams take, and requests that models run at once, where there is much room.
MANY_CONNECTIONS = 2000
# Time for which a caller tries to send, in seconds.
SEND_LIMIT_S = 20.0
# Time after which what a caller has sent has come, in seconds.
ARRIVAL_S = 0.5


class Crowd:
    """Connections of callers that are kept open until ``close``.

    Args:
        host: Address of the server.
        port: Its port.
        path: Path that requests are sent to.
        headers: Header lines of each request, without the end of the head.
        sources: Addresses that the callers connect from, in turn; without any, the system chooses.

    Attributes:
        writers: The open connections.
    """

    __slots__ = ("host", "port", "path", "headers", "sources", "writers")

    def __init__(self, host, port, *, path, headers, sources=()):
        self.host = host
        self.port = port
        self.path = path
        self.headers = headers
        self.sources = itertools.cycle(sources or (None,))
        self.writers = []

    async def send(self, kind, count):
        """Send as a number of callers of one kind at once; return when none gets further."""
        await asyncio.gather(*[self._send_one(SENDERS[kind]) for _ in range(count)])

    async def send_and_leave(self, kind, count):
        """Send as a number of callers of one kind, and close the connections soon after."""
        await self.send(kind, count)
        await asyncio.sleep(ARRIVAL_S)
        await self.close()

    async def close(self):
        """Close all connections."""
        for writer in self.writers:
            writer.close()
        self.writers.clear()

    def head(self, *lines):
        """Return the head of a POST request with further header lines."""
        all_lines = (f"POST {self.path} HTTP/1.1", *self.headers, *lines)
        return "".join(f"{line}\r\n" for line in all_lines).encode()

    async def _send_one(self, pieces):
        """Connect and send pieces until all are sent, the server closes or the time is over."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_LIMIT_S):
                source = next(self.sources)
                _, writer = await asyncio.open_connection(
                    self.host, self.port, limit=4096, local_addr=(source, 0) if source else None
                )
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


def tiny_chunks(crowd):
    """Yield a request with a body of chunks of one byte each that lacks its last one."""
    yield crowd.head("Transfer-Encoding: chunked") + b"\r\n"
    for _ in range(TINY_CHUNKS // TINY_CHUNKS_PER_WRITE):
        yield b"1\r\nx\r\n" * TINY_CHUNKS_PER_WRITE


def long_trailers(crowd):
    """Yield a request in chunks whose trailers do not end."""
    yield crowd.head("Transfer-Encoding: chunked") + b"\r\n1\r\nx\r\n0\r\n"
    yield from long_lines()


def whole_upload(crowd):
    """Yield a complete request with the largest body."""
    yield crowd.head(f"Content-Length: {MAX_BODY_BYTES}") + b"\r\n"
    yield from body_pieces(MAX_BODY_BYTES)


def keyed_upload(crowd):
    """Yield a complete request with an idempotency key of its own."""
    key = f"Idempotency-Key: {builders.uuid7()}"
    yield crowd.head(f"Content-Length: {KEYED_BODY_BYTES}", key) + b"\r\n"
    yield from body_pieces(KEYED_BODY_BYTES)


def requests_ahead(crowd):
    """Yield many complete requests, without reading an answer."""
    for _ in range(REQUESTS_AHEAD):
        yield crowd.head(f"Content-Length: {AHEAD_BODY_BYTES}") + b"\r\n"
        yield from body_pieces(AHEAD_BODY_BYTES)


def endless_head(crowd):
    """Yield a head that does not end."""
    yield crowd.head()
    yield from long_lines()


def long_lines():
    """Yield long header lines."""
    for number in range(HEADER_LINES):
        yield f"X-Line-{number}: {'x' * HEADER_LINE_BYTES}\r\n".encode()


def silence(crowd):
    """Yield nothing."""
    return iter(())


SENDERS = {
    "uploads that stop short": short_upload,
    "uploads in chunks that stop short": short_chunked_upload,
    "uploads in chunks of one byte": tiny_chunks,
    "uploads with long trailers": long_trailers,
    "whole uploads": whole_upload,
    "uploads with keys": keyed_upload,
    "rows of requests sent ahead": requests_ahead,
    "heads without an end": endless_head,
    "silent connections": silence,
}


def source_addresses(count):
    """Return loopback addresses that callers connect from."""
    return [f"127.77.{number // 250}.{number % 250 + 1}" for number in range(count)]


def platform_headers(*, deadline_s=8):
    """Return the header lines of a request on the users' platform."""
    return (
        f"Host: {platform_builders.HOST}",
        f"Authorization: Token {platform_builders.PLATFORM_KEY}",
        f"X-Deadline-Ms: {deadline_s * 1000}",
    )


def own_headers(account):
    """Return the header lines of a request on the own interface."""
    key = builders.key_header(account)["Authorization"]
    return ("Host: localhost", f"Authorization: {key}")


def roomy_publication(version):
    """Return a configuration whose requests have much time and whose upstreams have many places.

    It takes bodies of the default limit.
    """
    document = large_bodies_publication(version)
    for route in document["routes"]:
        route["timeoutMs"] = REQUEST_TIME_S * 1000
    for service in document["services"]:
        service["maxConnections"] = MANY_CONNECTIONS
        if "engine" in service:
            service["engine"] |= {"capacity": MANY_CONNECTIONS}
    return document


def large_bodies_publication(version):
    """Return a configuration that takes bodies of the default limit."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": MAX_BODY_BYTES,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return platform_builders.a_publication(version, limits=limits)
