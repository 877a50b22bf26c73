"""A replica as the platform's pages describe it, on raw sockets, and a client's attempt."""

from __future__ import annotations

import asyncio
import time
import typing

from lab import site


class Request:
    """A request that reached a replica.

    Attributes:
        head: Request line and headers, as received.
        headers: Header values by lower-case name.
        body: The body, as received.
        ended: Whether the run came to its end.
    """

    def __init__(self, head: bytes, body: bytes) -> None:
        self.head = head.decode("latin-1")
        self.line, *pairs = self.head.split("\r\n")
        self.headers = {
            name.lower(): value.strip()
            for name, _, value in (pair.partition(":") for pair in pairs if pair)
        }
        self.body = body
        self.ended = False

    @property
    def id(self) -> str:
        """Return the id of the request."""
        return self.headers.get("x-request-id", "")


class Replica:
    """A plain replica: one request at a time on a connection, signed answers, 421 for others.

    Args:
        deployment: The deployment that it belongs to.
        name: Its id.
        service: Its service.
        zone: Its availability zone.
        work_s: How long it works on a request, in seconds.
    """

    def __init__(
        self,
        deployment: site.Site,
        *,
        name: str,
        service: str,
        zone: str,
        work_s: float = 0.01,
        capacity: int = 64,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.capacity = capacity
        self.host = deployment.new_host()
        self.port = 0
        self.born_ms = int(time.time() * 1000)
        self.record = deployment.record
        self.seen: list[Request] = []
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address, ``IP:PORT``."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=2**23)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = Request(head, b"")
                length = int(request.headers.get("content-length", 0))
                request.body = await reader.readexactly(length)
                if request.headers.get("x-expected-instance", self.name) != self.name:
                    writer.write(answer(421, request.id, b"", signature=""))
                    continue
                self.seen.append(request)
                self.record.write(f"{self.name} runs {request.id}: {request.line}")
                await self.run(request, writer)
                request.ended = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Work on a request and answer it."""
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, request.id, b"done by " + self.name.encode()))


def answer(status: int, request_id: str, body: bytes, *, signature: str = "s1") -> bytes:
    """Return an answer as bytes."""
    lines = [f"HTTP/1.1 {status} Status", f"X-Request-Id: {request_id}"]
    if signature:
        lines.append(f"X-Response-Signature: {signature}")
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Reply:
    """What a client got: status 0 stands for a closed connection without an answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def send(
    instance: site.Instance,
    *,
    request_id: str,
    path: str,
    body: bytes = b"",
    headers: typing.Iterable[tuple[str, str]] = (),
    deadline_ms: int = 8000,
) -> Reply:
    """Send one attempt on a new connection, with a key, and return the reply."""
    lines = [
        f"{'POST' if body else 'GET'} {path} HTTP/1.1",
        "Host: ice.example",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        "Authorization: Token key-of-club",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(instance.host, instance.callers)
            try:
                writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
                await writer.drain()
                return await read_reply(reader)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return Reply(0, {}, b"")


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read an answer with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *pairs = head.split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (pair.partition(":") for pair in pairs if pair)
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Reply(int(line.split()[1]), headers, body)
