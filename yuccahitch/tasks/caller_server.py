"""The HTTP server for callers."""

from __future__ import annotations

import asyncio
import json
import time as stdlib_time
import typing

from aiohttp import web

from yuccahitch import clock, errors
from yuccahitch import settings as config_file
from yuccahitch.codecs import callers
from yuccahitch.messages import answers, requests
from yuccahitch.resources import service as services
from yuccahitch.tasks import _http_errors, core, mailbox, metrics, runner

MAX_BUFFERED_ANSWER_BYTES = 1_048_576
MAX_OPERATION_KEYS = 16


class HttpSink:
    """Sends an answer to a caller.

    An answer that is not a stream is held back until it is whole, up to ``MAX_WHOLE_BYTES``, so
    that a cut one becomes a clear error.
    """

    __slots__ = ("request", "id", "is_streaming", "response", "head", "buffered")

    def __init__(self, request: web.Request, *, request_id: str, is_streaming: bool) -> None:
        self.request = request
        self.id = request_id
        self.is_streaming = is_streaming
        self.response: web.StreamResponse | None = None
        self.head: answers.Head | None = None
        self.buffered = bytearray()

    async def start(self, head: answers.Head) -> None:
        """Begin the answer."""
        self.head = head
        if self.is_streaming:
            await self._open_response()

    async def write(self, chunk: answers.Chunk) -> None:
        """Pass bytes on, or hold them until the answer is whole."""
        if self.response is not None:
            await self.response.write(chunk.data)
            return
        self.buffered += chunk.data
        if len(self.buffered) > MAX_BUFFERED_ANSWER_BYTES:
            await self._open_response()
            await self.response.write(bytes(self.buffered))

    async def end(self, part: answers.End) -> None:
        """End a whole answer."""
        if self.response is None:
            await self._send_complete(self.head.status, self.head.headers, bytes(self.buffered))
            return
        await self.response.write_eof()

    async def cut(self, part: answers.Failure) -> None:
        """End an answer that is not whole, so that the caller can't take it for whole."""
        if self.response is None:
            await self.refuse(part.error, "")
            return
        if self.is_streaming:
            event = callers.error_event(part.error, request_id=self.id)
            await self.response.write(event)
            await self.response.write_eof()
            return
        if self.request.transport is not None:
            self.request.transport.close()

    async def refuse(self, error: errors.GatewayError, operation: str) -> None:
        """Send a refusal."""
        body = callers.error_body(error, request_id=self.id, operation=operation)
        headers = callers.error_headers(error, request_id=self.id)
        await self._send(web.Response(status=error.code.status, body=body, headers=headers))

    async def replay(self, answer: answers.RecordedAnswer) -> None:
        """Send a recorded answer."""
        headers = (*answer.headers, ("x-replayed", "true"))
        await self._send_complete(answer.status, headers, answer.body)

    async def _send_complete(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        response_headers = dict(headers) | {callers.REQUEST_ID_HEADER: self.id}
        await self._send(web.Response(status=status, body=body, headers=response_headers))

    async def _open_response(self) -> None:
        headers = dict(self.head.headers) | {callers.REQUEST_ID_HEADER: self.id}
        self.response = web.StreamResponse(status=self.head.status, headers=headers)
        await self.response.prepare(self.request)

    async def _send(self, response: web.Response) -> None:
        self.response = response
        await response.prepare(self.request)
        await response.write_eof()


class CallerServer:
    """Owns the socket for callers.

    Args:
        settings: Settings of the instance.
        core_inbox: Mailbox of the core.
        mailboxes: Mailboxes for running requests.
        metrics_registry: Metrics to show.
        time: The clock.
    """

    __slots__ = (
        "settings",
        "core_inbox",
        "mailboxes",
        "metrics_registry",
        "time",
        "children",
        "app_runner",
    )

    def __init__(
        self,
        settings: config_file.Settings,
        *,
        core_inbox: mailbox.Mailbox,
        mailboxes: runner.Mailboxes,
        metrics_registry: metrics.Metrics,
        time: clock.Clock,
    ) -> None:
        self.settings = settings
        self.core_inbox = core_inbox
        self.mailboxes = mailboxes
        self.metrics_registry = metrics_registry
        self.time = time
        self.children = mailbox.Children()
        self.app_runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen for callers."""
        caller_settings = self.settings.callers
        app = web.Application(
            client_max_size=caller_settings.max_body_bytes, middlewares=[self._convert_errors]
        )
        app.router.add_post("/v1/chat/completions", self._complete_chat)
        app.router.add_route("*", "/v1/services/{service}/{path:.*}", self._call_service)
        app.router.add_get("/v1/instances", self._list_instances)
        app.router.add_get("/v1/models", self._list_models)
        app.router.add_post("/v1/operations", self._create_operation_keys)
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/readyz", self._get_readiness)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_route("*", "/{path:.*}", self._call_by_host)
        self.app_runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=caller_settings.max_header_bytes,
            max_field_size=caller_settings.max_header_bytes,
        )
        await self.app_runner.setup()
        instance_settings = self.settings.instance
        await web.TCPSite(
            self.app_runner, instance_settings.listen, instance_settings.caller_port
        ).start()

    async def stop(self) -> None:
        """Stop listening and end what is open."""
        if self.app_runner is not None:
            await self.app_runner.cleanup()
        await self.children.stop()

    @web.middleware
    async def _convert_errors(
        self, request: web.Request, handler: typing.Callable[..., typing.Any]
    ) -> web.StreamResponse:
        """Answer errors that arise before a request has an id."""
        try:
            self._check_header_count(request)
            return await handler(request)
        except errors.GatewayError as error:
            return _http_errors.response(error)
        except web.HTTPRequestEntityTooLarge:
            return _http_errors.response(
                _gateway_error(errors.Code.BODY_TOO_LARGE, self._body_limit_detail())
            )
        except web.HTTPNotFound:
            return _http_errors.response(
                _gateway_error(errors.Code.ROUTE_UNKNOWN, "there is no such path")
            )

    def _body_limit_detail(self) -> str:
        return f"the limit is {self.settings.callers.max_body_bytes} bytes"

    def _check_header_count(self, request: web.Request) -> None:
        if len(request.headers) > self.settings.callers.max_headers:
            limit = self.settings.callers.max_headers
            raise _gateway_error(errors.Code.HEADERS_TOO_LARGE, f"at most {limit} headers")

    async def _complete_chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        parsed = callers.chat_request(
            request.headers,
            body,
            now=self.time.now(),
            default_deadline=self.settings.callers.default_deadline_s,
        )
        return await self._run_request(request, parsed)

    async def _call_service(self, request: web.Request) -> web.StreamResponse:
        query = f"?{request.query_string}" if request.query_string else ""
        parsed = callers.call_request(
            request.headers,
            await request.read(),
            service=request.match_info["service"],
            method=request.method,
            path=f"/{request.match_info['path']}{query}",
            now=self.time.now(),
            default_deadline=self.settings.callers.default_deadline_s,
        )
        return await self._run_request(request, parsed)

    async def _call_by_host(self, request: web.Request) -> web.StreamResponse:
        """Take a request of a route by host and path."""
        host = request.host.partition(":")[0].lower()
        is_routed_host = await self._query_core(
            lambda gateway: host in gateway.config.catalog.routes_by_host
        )
        if not is_routed_host:
            raise _gateway_error(errors.Code.ROUTE_UNKNOWN, "there is no such path")
        parsed = callers.call_request(
            request.headers,
            await request.read(),
            service=host,
            method=request.method,
            path=request.raw_path,
            now=self.time.now(),
            default_deadline=self.settings.callers.default_deadline_s,
        )
        return await self._run_request(request, parsed)

    async def _run_request(
        self, request: web.Request, parsed: requests.Request
    ) -> web.StreamResponse:
        sink = HttpSink(request, request_id=parsed.id, is_streaming=parsed.stream)
        request_runner = runner.Runner(self.mailboxes, parsed, sink, now=self.time.now)
        task = self.children.start(request_runner.run())
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            # The caller hung up. A request with an idempotency key goes on, for its repeat.
            request_runner.listening = False
            if not parsed.operation_key:
                task.cancel()
            raise
        return sink.response

    async def _list_instances(self, request: web.Request) -> web.Response:
        api_key_digest = callers.key_digest(request.headers)
        account = await self._query_core(lambda gateway: gateway.account_of(api_key_digest))
        selection = await self._query_core(lambda gateway: gateway.directions(account))
        listing = [
            {
                "name": info.instance,
                "url": f"http://{info.host}:{info.caller_port}",
                "region": info.region,
                "zone": info.zone,
            }
            for info in selection.instances
        ]
        keys = await self._mint_operation_keys(account, 2)
        return web.json_response(
            {"instances": listing, "ttl_s": selection.ttl_s, "operation_keys": keys}
        )

    async def _create_operation_keys(self, request: web.Request) -> web.Response:
        api_key_digest = callers.key_digest(request.headers)
        account = await self._query_core(lambda gateway: gateway.account_of(api_key_digest))
        count = _parse_key_count(await request.read())
        return web.json_response(
            {"operation_keys": await self._mint_operation_keys(account, count)}
        )

    async def _mint_operation_keys(self, account: str, count: int) -> list[str]:
        wall = self.time.wall()
        return await self._query_core(
            lambda gateway: [gateway.operations.mint_key(account, wall) for _ in range(count)]
        )

    async def _list_models(self, request: web.Request) -> web.Response:
        api_key_digest = callers.key_digest(request.headers)
        model_names = await self._query_core(lambda gateway: _model_names(gateway, api_key_digest))
        listing = [
            {"id": name, "object": "model", "owned_by": "yuccahitch"} for name in model_names
        ]
        return web.json_response({"object": "list", "data": listing})

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok", "time": stdlib_time.time()})

    async def _get_readiness(self, request: web.Request) -> web.Response:
        ready = await self._query_core(
            lambda gateway: gateway.config.ready() and not gateway.shutdown.leaving
        )
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(text=self.metrics_registry.text())

    async def _query_core(self, read_state: typing.Callable[..., typing.Any]) -> typing.Any:
        return await self.core_inbox.ask(core.Query(read_state))


def _model_names(gateway: typing.Any, api_key_digest: str) -> list[str]:
    account = gateway.account_of(api_key_digest)
    catalog = gateway.config.catalog
    return sorted(
        target
        for target, route in catalog.routes_by_target.items()
        if (not route.accounts or account in route.accounts)
        and getattr(catalog.service(route.service), "kind", "") == services.MODEL
    )


def _parse_key_count(body: bytes) -> int:
    try:
        count = json.loads(body).get("count", 1) if body else 1
    except (ValueError, AttributeError):
        count = 0
    if type(count) is not int or not 1 <= count <= MAX_OPERATION_KEYS:
        raise _gateway_error(
            errors.Code.BODY_INVALID, f"count must be from 1 to {MAX_OPERATION_KEYS}"
        )
    return count


def _gateway_error(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step="callers", detail=detail)
