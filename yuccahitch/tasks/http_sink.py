"""Writes answers to the connections of callers."""

from __future__ import annotations

import aiohttp
from aiohttp import web

from yuccahitch import errors
from yuccahitch.codecs import callers
from yuccahitch.messages import answers
from yuccahitch.tasks import answer_memory, tcp_connection

MAX_BUFFERED_ANSWER_BYTES = 262_144
# Bytes that are written at once; the rest waits until the connection has taken them.
PIECE_BYTES = 16_384


class HttpSink:
    """Writes the answer to one request to the caller's connection.

    An answer that is not streamed is buffered until it is complete, up to
    ``MAX_BUFFERED_ANSWER_BYTES``, so that an incomplete one can be replaced by an error response.

    Args:
        request: Request of the HTTP server that the answer belongs to.
        request_id: Id of the request.
        memory: Counts what the answer takes.
        is_streaming: Whether the caller asked for an event stream.

    Attributes:
        id: Id of the request, returned in a header and in error bodies.
        response: The response, or None until its headers are sent.
        head: Status and headers of the answer, or None until they arrive.
        buffered: Body bytes of an answer that is not streamed, until they are sent.
    """

    __slots__ = ("request", "id", "memory", "is_streaming", "response", "head", "buffered")

    def __init__(
        self,
        request: web.Request,
        *,
        request_id: str,
        memory: answer_memory.AnswerMemory,
        is_streaming: bool,
    ) -> None:
        self.request = request
        self.id = request_id
        self.memory = memory
        self.is_streaming = is_streaming
        self.response: web.StreamResponse | None = None
        self.head: answers.Head | None = None
        self.buffered = bytearray()

    async def start(self, head: answers.Head) -> None:
        """Record status and headers, and send them at once for a streamed answer."""
        self.head = head
        if self.is_streaming:
            await self._open_response()

    async def write(self, chunk: answers.Chunk) -> None:
        """Send body bytes, or buffer them until the answer is complete or too large to buffer."""
        if self.response is not None:
            await self._write(chunk.data)
            return
        self.buffered += chunk.data
        if len(self.buffered) > MAX_BUFFERED_ANSWER_BYTES:
            await self.flush()

    async def flush(self) -> None:
        """Send what is buffered; from then on the answer can't be replaced by an error response."""
        if self.response is None and self.buffered:
            await self._open_response()
            await self._write_buffered()

    async def end(self, part: answers.End) -> None:
        """Finish a complete answer; a buffered one is sent now."""
        if self.response is None and len(self.buffered) > PIECE_BYTES:
            await self._open_response(len(self.buffered))
            await self._write_buffered()
        if self.response is None:
            await self._send_complete(self.head.status, self.head.headers, bytes(self.buffered))
            return
        await self.response.write_eof()

    async def cut(self, part: answers.Failure) -> None:
        """End an incomplete answer in a way that the caller cannot mistake for a complete one.

        If no header was sent, the caller gets an error response. A stream ends with an error
        event; after part of any other answer, the connection is aborted.
        """
        if self.response is None:
            await self.refuse(part.error, "")
            return
        if self.is_streaming:
            event = callers.encode_error_event(part.error, request_id=self.id)
            await self.response.write(event)
            await self.response.write_eof()
            return
        if self.request.transport is not None:
            abort(self.request)

    async def refuse(self, error: errors.GatewayError, operation: str) -> None:
        """Send an error response for a request that is not served."""
        body = callers.encode_error_body(error, request_id=self.id, operation=operation)
        headers = callers.encode_error_headers(error, request_id=self.id)
        await self._send(web.Response(status=error.code.status, body=body, headers=headers))

    async def replay(self, answer: answers.RecordedAnswer) -> None:
        """Send the recorded answer of an earlier request with the same idempotency key."""
        headers = (*answer.headers, ("x-replayed", "true"))
        await self._send_complete(answer.status, headers, answer.body)

    async def _send_complete(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Send a complete response in one step."""
        response_headers = dict(headers) | {callers.REQUEST_ID_HEADER: self.id}
        await self._send(web.Response(status=status, body=body, headers=response_headers))

    async def _open_response(self, length: int | None = None) -> None:
        """Send status and headers; the body follows in pieces.

        Args:
            length: Bytes of the body, or None if they are not known.
        """
        headers = dict(self.head.headers) | {callers.REQUEST_ID_HEADER: self.id}
        self.response = web.StreamResponse(status=self.head.status, headers=headers)
        self.response.content_length = length
        await self.response.prepare(self.request)

    async def _write_buffered(self) -> None:
        """Send what is buffered, and free it as it is taken."""
        while self.buffered:
            piece = bytes(self.buffered[:PIECE_BYTES])
            del self.buffered[:PIECE_BYTES]
            await self._write(piece)

    async def _write(self, data: bytes) -> None:
        """Send bytes of the body, each piece once the connection has room for it."""
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            await self.response.write(piece)
            await self.request.writer.drain()
            self.memory.give_back(len(piece))

    async def _send(self, response: web.Response) -> None:
        self.response = response
        await response.prepare(self.request)
        await response.write_eof()


def abort(request: web.BaseRequest) -> None:
    """Close the connection of a request whose answer is not complete.

    In HTTP/1.0 an end in order would make the answer complete, so the connection is reset.
    """
    if request.version < aiohttp.HttpVersion11:
        tcp_connection.reset(request.transport)
    else:
        request.transport.abort()
