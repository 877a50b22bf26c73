"""Stand-in for an HTTP server that sends answers too many.

It answers each request once, and sends copies of earlier answers as a script says. Requests are
read only to their end; a connection that its client closes ends the work on its request.
"""

from __future__ import annotations

import asyncio
import time
import typing

HEAD_END = b"\r\n\r\n"
ID_HEADER = "x-request-id"


class ReceivedRequest:
    """A request that the server received.

    Attributes:
        number: Its number, from 1.
        connection: Number of its connection, from 1.
        target: Method and path.
        headers: Headers by name in lower case.
        body: Its body.
        began_at: When it had been read, in monotonic seconds.
        ended_at: When its answer was complete or its connection closed, in monotonic seconds, or
            None.
        was_cut: Whether its connection closed first.
    """

    __slots__ = (
        "number",
        "connection",
        "target",
        "headers",
        "body",
        "began_at",
        "ended_at",
        "was_cut",
    )

    def __init__(
        self, number: int, *, connection: int, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.number = number
        self.connection = connection
        self.target = target
        self.headers = headers
        self.body = body
        self.began_at = time.monotonic()
        self.ended_at: float | None = None
        self.was_cut = False

    @property
    def id(self) -> str:
        """Return the id that its client gave it."""
        return self.headers.get(ID_HEADER, "")


class Step:
    """A step of the answer to a request.

    Attributes:
        delay_s: Time before it, in seconds.
        data: Bytes that are sent then.
        is_own: Whether they complete the request's own answer, which ends the work on it.
    """

    __slots__ = ("delay_s", "data", "is_own")

    def __init__(self, delay_s: float, data: bytes, *, is_own: bool = False) -> None:
        self.delay_s = delay_s
        self.data = data
        self.is_own = is_own


Script = typing.Callable[[ReceivedRequest, list[ReceivedRequest]], list[Step]]


class ExtraAnswerServer:
    """The server.

    Args:
        script: Returns the steps of an answer, given its request and all up to it.

    Attributes:
        received: The requests in the order of their arrival.
        connection_count: Number of connections so far.
        port: Port that it listens on, or 0 before ``start``.
    """

    __slots__ = ("script", "received", "connection_count", "port", "listener", "tasks")

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.connection_count = 0
        self.port = 0
        self.listener: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self._serve, host, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the port and all connections."""
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection until it closes."""
        self.connection_count += 1
        connection = self.connection_count
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await self._read_request(reader, connection)
                steps = asyncio.ensure_future(self._answer(request, writer))
                self.tasks.add(steps)
                await self._wait_for_work(request, reader, steps)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _read_request(self, reader: asyncio.StreamReader, connection: int) -> ReceivedRequest:
        """Read a request and record it."""
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
        target_line, *header_lines = head.strip().split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in header_lines)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request = ReceivedRequest(
            len(self.received) + 1,
            connection=connection,
            target=target_line.rpartition(" ")[0],
            headers=headers,
            body=body,
        )
        self.received.append(request)
        return request

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Send the steps of an answer."""
        for step in self.script(request, self.received):
            await asyncio.sleep(step.delay_s)
            if request.was_cut:
                return
            writer.write(step.data)
            if step.is_own:
                request.ended_at = time.monotonic()

    async def _wait_for_work(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        steps: asyncio.Task[None],
    ) -> None:
        """Wait until a request's own answer is complete or its connection closes."""
        while request.ended_at is None and not steps.done():
            if reader.at_eof() or reader.exception() is not None:
                request.was_cut, request.ended_at = True, time.monotonic()
                raise ConnectionResetError("the client closed the connection")
            await asyncio.sleep(0.005)


def an_answer(
    body: bytes, *, status: int = 200, request_id: str = "", content_type: str = "application/json"
) -> bytes:
    """Return a whole answer; it names its request if an id is given."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"Content-Type: {content_type}",
        f"Content-Length: {len(body)}",
    ]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
