"""The HTTP servers of an instance on the users' platform: callers, directory and readiness."""

from __future__ import annotations

import asyncio
import typing
import uuid

from aiohttp import web

from yuccahitch import clock, errors
from yuccahitch import settings as config_file
from yuccahitch.controllers import edge
from yuccahitch.messages import answers, requests
from yuccahitch.platform import requests as wire_form
from yuccahitch.tasks import caller_server, core, mailbox, metrics, runner

MAX_HEADER_BYTES = 65536
KEEP_ALIVE_S = 600.0
JSON = {"content-type": "application/json"}


class FrontSink(caller_server.HttpSink):
    """Sends an answer to a caller as the upstream made it.

    An answer that is no stream is held back until it is whole, so that a cut one becomes a clear
    error; a stream that is cut ends with its connection.
    """

    __slots__ = ("leaving",)

    def __init__(
        self,
        request: web.BaseRequest,
        *,
        request_id: str,
        leaving: typing.Callable[[], bool],
    ) -> None:
        super().__init__(request, request_id=request_id, streams=False)
        self.leaving = leaving

    async def start(self, head: answers.Head) -> None:
        """Begin the answer."""
        self.head = head
        kind = next((value for name, value in head.headers if name.lower() == "content-type"), "")
        if kind.startswith(wire_form.EVENT_STREAM):
            await self._open()

    async def cut(self, part: answers.Failure) -> None:
        """End an answer that is not whole, so that the caller can't take it for whole."""
        if self.response is None:
            await self.refuse(part.error, "")
        elif self.request.transport is not None:
            self.request.transport.abort()

    async def refuse(self, error: errors.GatewayError, operation: str) -> None:
        """Send a refusal."""
        status, headers, body = wire_form.refusal(error, request_id=self.id)
        await self._send(web.Response(status=status, headers=headers, body=body))

    async def _whole(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        response = web.Response(status=status, body=body)
        _set_headers(response, headers)
        await self._send(response)

    async def _open(self) -> None:
        self.response = web.StreamResponse(status=self.head.status)
        _set_headers(self.response, self.head.headers)
        if self.leaving():
            self.response.force_close()
        await self.response.prepare(self.request)

    async def _send(self, response: web.Response) -> None:
        if self.leaving():
            response.force_close()
        await super()._send(response)


class FrontServer:
    """Owns the sockets for callers.

    Args:
        settings: Settings of the instance.
        decisions: Mailbox of the core.
        state: The decisions, read for their state only.
        mailboxes: Mailboxes for running requests.
        figures: Metrics to show.
        time: The clock.
    """

    __slots__ = (
        "settings",
        "decisions",
        "state",
        "mailboxes",
        "figures",
        "time",
        "children",
        "runners",
    )

    def __init__(
        self,
        settings: config_file.EdgeSettings,
        *,
        decisions: mailbox.Mailbox,
        state: edge.Edge,
        mailboxes: runner.Mailboxes,
        figures: metrics.Metrics,
        time: clock.Clock,
    ) -> None:
        self.settings = settings
        self.decisions = decisions
        self.state = state
        self.mailboxes = mailboxes
        self.figures = figures
        self.time = time
        self.children = mailbox.ChildTasks()
        self.runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Listen for callers."""
        place = self.settings.instance
        servers = (
            (place.callers, self._proxy),
            (place.readiness, self._ready),
            (place.directory, self._resolve),
            (place.metrics, self._metrics),
        )
        for address, handler in servers:
            if address:
                await self._listen(address, handler)

    async def stop(self) -> None:
        """Stop listening and end what is open."""
        for server in self.runners:
            await server.cleanup()
        await self.children.stop()

    async def _listen(self, address: str, handler: typing.Any) -> None:
        server = web.Server(
            handler,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        running = web.ServerRunner(server)
        await running.setup()
        self.runners.append(running)
        host, _, port = address.rpartition(":")
        await web.TCPSite(running, host, int(port), shutdown_timeout=1.0, backlog=1024).start()

    async def _ready(self, request: web.BaseRequest) -> web.Response:
        serving = await self._ask(lambda state: state.is_serving())
        return web.Response(status=200 if serving else 503)

    async def _resolve(self, request: web.BaseRequest) -> web.Response:
        question = wire_form.directory_question(request.raw_path)
        if question is None:
            return web.Response(status=404)
        found = await self._ask(lambda state: state.caller_addresses(*question, self.time.now()))
        ttl_s = self.settings.callers.list_ttl_s
        body = wire_form.directory_answer(found[: wire_form.MAX_ADDRESSES], ttl_s=ttl_s)
        return web.Response(status=200 if found else 503, body=body, headers=JSON)

    async def _metrics(self, request: web.BaseRequest) -> web.Response:
        return web.Response(text=self.figures.render())

    async def _ask(self, read: typing.Callable[[edge.Edge], typing.Any]) -> typing.Any:
        return await self.decisions.ask(core.Query(read))

    async def _proxy(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            body = await self._body(request)
        except errors.GatewayError as error:
            return await self._reject(request, error)
        parsed = wire_form.decode(
            method=request.method,
            path=request.raw_path,
            headers=request.headers.items(),
            body=body,
            now=self.time.now(),
            new_id=uuid.uuid4().hex,
        )
        return await self._run(request, parsed)

    async def _body(self, request: web.BaseRequest) -> bytes:
        """Read a request's body within the published limits.

        Raises:
            errors.GatewayError: When headers or body are over them.
        """
        current = self.state.config.current
        if current is None:
            return await request.content.read()
        size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if size > current.limits.max_header_bytes:
            detail = f"{size} bytes, the limit is {current.limits.max_header_bytes}"
            raise errors.GatewayError(errors.Code.HEADERS_TOO_LARGE, step="front", detail=detail)
        limit = current.limits.max_body_bytes
        body = bytearray()
        while len(body) <= limit and (request.content_length or 0) <= limit:
            data = await request.content.readany()
            if not data:
                return bytes(body)
            body += data
        detail = f"the limit is {limit} bytes"
        raise errors.GatewayError(errors.Code.BODY_TOO_LARGE, step="front", detail=detail)

    async def _reject(
        self, request: web.BaseRequest, error: errors.GatewayError
    ) -> web.StreamResponse:
        status, headers, body = wire_form.refusal(error, request_id="")
        response = web.Response(status=status, headers=headers, body=body)
        response.force_close()
        return response

    async def _run(self, request: web.BaseRequest, parsed: requests.Request) -> web.StreamResponse:
        sink = FrontSink(request, request_id=parsed.id, leaving=self._leaving)
        job = runner.Runner(self.mailboxes, parsed, sink, now=self.time.now)
        work = self.children.start(job.run())
        try:
            await asyncio.shield(work)
        except asyncio.CancelledError:
            job.caller_connected = False
            work.cancel()
            raise
        if sink.response is None:
            raise ConnectionResetError("the caller hung up")
        return sink.response

    def _leaving(self) -> bool:
        return self.state.shutdown.leaving


def _set_headers(response: web.StreamResponse, headers: tuple[tuple[str, str], ...]) -> None:
    for name, value in headers:
        response.headers.add(name, value)
