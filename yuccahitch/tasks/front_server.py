"""The HTTP servers of an instance on the users' platform.

They serve callers, the service directory, readiness and metrics, each on its own address.
"""

from __future__ import annotations

import asyncio
import typing
import uuid

from aiohttp import web

from yuccahitch import clock, errors
from yuccahitch import settings as config_file
from yuccahitch.controllers.instance import edge
from yuccahitch.controllers.intake import holding
from yuccahitch.messages import answers, requests
from yuccahitch.platform import requests as platform_requests
from yuccahitch.resources import publication
from yuccahitch.tasks import (
    answer_memory,
    caller_connection,
    caller_sockets,
    core_messages,
    http_sink,
    intake,
    mailbox,
    metrics,
    open_requests,
    runner,
)

# Size of one header line that the HTTP parser accepts; the published limits are checked later.
MAX_HEADER_BYTES = 65536
KEEP_ALIVE_TIMEOUT_S = 600.0
# Time that is left for closing the connections when the grace period ends, in seconds.
STOP_RESERVE_S = 0.5
# Time for which handlers may go on while the connections are closed, in seconds.
CLOSE_TIMEOUT_S = 0.2
JSON_HEADERS = {"content-type": "application/json"}


class FrontSink(http_sink.HttpSink):
    """Writes an answer to the caller's connection as the upstream sent it.

    An answer that is not an event stream is buffered until it is complete, so that an incomplete
    one can be replaced by an error response. An incomplete stream ends with its connection.

    Args:
        request: Request of the HTTP server that the answer belongs to.
        request_id: Id of the request.
        memory: Counts what the answer takes.
        is_leaving: Returns whether the instance is leaving; connections are then closed after the
            answer.
    """

    __slots__ = ("is_leaving",)

    def __init__(
        self,
        request: web.BaseRequest,
        *,
        request_id: str,
        memory: answer_memory.AnswerMemory,
        is_leaving: typing.Callable[[], bool],
    ) -> None:
        super().__init__(request, request_id=request_id, memory=memory, is_streaming=False)
        self.is_leaving = is_leaving

    async def start(self, head: answers.Head) -> None:
        """Record status and headers, and send them at once for an event stream."""
        self.head = head
        content_type = next(
            (value for name, value in head.headers if name.lower() == "content-type"), ""
        )
        if content_type.startswith(platform_requests.EVENT_STREAM_TYPE):
            await self._open_response()

    async def cut(self, part: answers.Failure) -> None:
        """End an incomplete answer in a way that the caller cannot mistake for a complete one.

        If no header was sent, the caller gets an error response; otherwise the connection is
        aborted.
        """
        if self.response is None:
            await self.refuse(part.error, "")
        elif self.request.transport is not None:
            http_sink.abort(self.request)

    async def refuse(self, error: errors.GatewayError, operation: str) -> None:
        """Send an error response for a request that is not served."""
        status, headers, body = platform_requests.encode_refusal(error, request_id=self.id)
        await self._send(web.Response(status=status, headers=headers, body=body))

    async def _send_complete(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        response = web.Response(status=status, body=body)
        _add_headers(response, headers)
        await self._send(response)

    async def _open_response(self, length: int | None = None) -> None:
        self.response = web.StreamResponse(status=self.head.status)
        _add_headers(self.response, self.head.headers)
        self.response.content_length = length
        if self.is_leaving():
            self.response.force_close()
        await self.response.prepare(self.request)

    async def _send(self, response: web.Response) -> None:
        if self.is_leaving():
            response.force_close()
        await super()._send(response)


class FrontServer:
    """Owns the listening sockets for callers, directory, readiness and metrics.

    Args:
        settings: Settings of the instance.
        core_inbox: Mailbox of the core task.
        edge_state: Controllers of the instance; the server reads their state and changes nothing.
        mailboxes: Mailboxes that request tasks send their messages to.
        metrics_registry: Metrics returned by the metrics server.
        caller_intake: Grants memory and connections to callers.
        time: Source of monotonic and wall-clock time.

    Attributes:
        open_requests: The requests that are being run.
        runners: Runners of the HTTP servers that listen.
    """

    __slots__ = (
        "settings",
        "core_inbox",
        "edge_state",
        "mailboxes",
        "metrics_registry",
        "caller_intake",
        "time",
        "open_requests",
        "runners",
    )

    def __init__(
        self,
        settings: config_file.EdgeSettings,
        *,
        core_inbox: mailbox.Mailbox,
        edge_state: edge.Edge,
        mailboxes: runner.Mailboxes,
        metrics_registry: metrics.Metrics,
        caller_intake: intake.Intake,
        time: clock.Clock,
    ) -> None:
        self.settings = settings
        self.core_inbox = core_inbox
        self.edge_state = edge_state
        self.mailboxes = mailboxes
        self.metrics_registry = metrics_registry
        self.caller_intake = caller_intake
        self.time = time
        self.open_requests = open_requests.OpenRequests()
        self.runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Start a server on each address that the settings contain."""
        instance_settings = self.settings.instance
        servers = (
            (instance_settings.callers, self._proxy_request),
            (instance_settings.readiness, self._get_readiness),
            (instance_settings.directory, self._resolve_service),
            (instance_settings.metrics, self._get_metrics),
        )
        for address, handler in servers:
            if address:
                await self._listen(address, handler)

    async def stop(self) -> None:
        """Answer the open requests, stop listening, and close the connections and the tasks.

        Requests that are still coming in are waited for until the shutdown has to end.
        """
        shutdown = self.edge_state.shutdown
        ends_at = shutdown.began_at + self.settings.bounds.grace_s - STOP_RESERVE_S
        await self.open_requests.answer_all()
        if shutdown.leaving:
            await self.open_requests.finish_handling(max(0.0, ends_at - self.time.now()))
        for server in self.runners:
            await server.cleanup()
        await self.open_requests.stop()

    async def _listen(self, address: str, handler: typing.Any) -> None:
        """Start an HTTP server on an address, ``IP:PORT``, that calls a handler per request."""
        server = caller_connection.CallerListener(
            handler,
            caller_intake=self.caller_intake,
            limits=self._limits,
            access_log=None,
            auto_decompress=False,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        server_runner = web.ServerRunner(server)
        await server_runner.setup()
        self.runners.append(server_runner)
        host, _, port = address.rpartition(":")
        await caller_sockets.listen(
            server_runner, host, int(port), shutdown_timeout_s=CLOSE_TIMEOUT_S
        )

    async def _get_readiness(self, request: web.BaseRequest) -> web.Response:
        """Return 200 if callers should send requests to this instance, else 503."""
        serving = await self._query_core(lambda edge_state: edge_state.is_serving())
        return web.Response(status=200 if serving else 503)

    async def _resolve_service(self, request: web.BaseRequest) -> web.Response:
        """Return the addresses of the instances that serve a host for the callers of a region."""
        directory_query = platform_requests.parse_directory_query(request.raw_path)
        if directory_query is None:
            return web.Response(status=404)
        addresses = await self._query_core(
            lambda edge_state: edge_state.caller_addresses(*directory_query, self.time.now())
        )
        ttl_s = self.settings.callers.list_ttl_s
        body = platform_requests.encode_directory_answer(
            addresses[: platform_requests.MAX_DIRECTORY_ADDRESSES], ttl_s=ttl_s
        )
        return web.Response(status=200 if addresses else 503, body=body, headers=JSON_HEADERS)

    async def _get_metrics(self, request: web.BaseRequest) -> web.Response:
        return web.Response(text=self.metrics_registry.render())

    async def _query_core(self, read_state: typing.Callable[[edge.Edge], typing.Any]) -> typing.Any:
        """Return what a read-only function returns when the core calls it with its state."""
        return await self.core_inbox.ask(core_messages.Query(read_state))

    async def _proxy_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a caller's request, and return the response that was sent."""
        address = caller_connection.peer_address(request)
        abort = request.protocol.abort
        with self.open_requests.handling(), self.caller_intake.holding(address, abort) as held:
            return await self._read_and_run(request, held)

    async def _read_and_run(
        self, request: web.BaseRequest, held: holding.Holding
    ) -> web.StreamResponse:
        """Read, parse and run a caller's request, and return the response that was sent."""
        try:
            body = await self._read_body(request, held)
        except errors.GatewayError as error:
            return await self._refuse_unparsed(request, error)
        parsed = platform_requests.decode(
            method=request.method,
            path=request.raw_path,
            headers=request.headers.items(),
            body=body,
            now=self.time.now(),
            new_id=uuid.uuid4().hex,
        )
        held.request_id = parsed.id
        try:
            self.caller_intake.begin_run(held)
        except errors.GatewayError as error:
            return await self._refuse_unparsed(request, error)
        return await self._run_request(request, parsed, held)

    def _limits(self) -> publication.CallerLimits:
        """Return the limits of callers that are in force."""
        published = self.edge_state.config.current
        return publication.CallerLimits() if published is None else published.limits

    async def _read_body(self, request: web.BaseRequest, held: holding.Holding) -> bytes:
        """Return a request's body, checked against the limits.

        Raises:
            errors.GatewayError: When headers or body are larger than their limit, or there is no
                memory for them.
        """
        limits = self._limits()
        try:
            _check_headers(request, limits.max_header_bytes)
            body = await caller_connection.read_body(
                request, limits.max_body_bytes, caller_intake=self.caller_intake, held=held
            )
            if body is None:
                raise _too_large_error(limits.max_body_bytes)
            return body
        except errors.GatewayError as error:
            if self.edge_state.config.current is not None:
                raise
            # Limits that nobody published are no reason to tell the caller not to come again.
            raise errors.GatewayError(
                errors.Code.NOT_READY, step="front", detail=error.detail
            ) from error

    async def _refuse_unparsed(
        self, request: web.BaseRequest, error: errors.GatewayError
    ) -> web.StreamResponse:
        """Return an error response that closes the connection; the body may be half read."""
        status, headers, body = platform_requests.encode_refusal(error, request_id="")
        response = web.Response(status=status, headers=headers, body=body)
        response.force_close()
        return response

    async def _run_request(
        self, request: web.BaseRequest, parsed: requests.Request, held: holding.Holding
    ) -> web.StreamResponse:
        """Run a parsed request in a child task and return the response that was sent.

        The task is cancelled when the caller disconnects.
        """
        memory = answer_memory.AnswerMemory(self.caller_intake, held)
        request.protocol.begin_answer(memory)
        sink = FrontSink(request, request_id=parsed.id, memory=memory, is_leaving=self._is_leaving)
        request_runner = runner.Runner(
            self.mailboxes, parsed, sink, memory=memory, now=self.time.now
        )
        task = self.open_requests.start(request_runner)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            request_runner.caller_connected = False
            task.cancel()
            raise
        if sink.response is None:
            raise ConnectionResetError("the caller closed the connection before the response")
        return sink.response

    def _is_leaving(self) -> bool:
        return self.edge_state.shutdown.leaving


def _check_headers(request: web.BaseRequest, max_bytes: int) -> None:
    """Check the total size of a request's headers.

    Raises:
        errors.GatewayError: When it is larger than the limit.
    """
    size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    if size > max_bytes:
        detail = f"the headers have {size} bytes; the limit is {max_bytes}"
        raise errors.GatewayError(errors.Code.HEADERS_TOO_LARGE, step="front", detail=detail)


def _too_large_error(max_bytes: int) -> errors.GatewayError:
    detail = f"the body is larger than the limit of {max_bytes} bytes"
    return errors.GatewayError(errors.Code.BODY_TOO_LARGE, step="front", detail=detail)


def _add_headers(response: web.StreamResponse, headers: tuple[tuple[str, str], ...]) -> None:
    """Add headers to a response; a name that occurs more than once is kept each time."""
    for name, value in headers:
        response.headers.add(name, value)
