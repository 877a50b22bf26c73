"""The HTTP server for callers.

It parses each request, runs it with a ``Runner`` task and writes the answer to the caller's
connection. Read-only endpoints query the core through its mailbox.
"""

from __future__ import annotations

import asyncio
import json
import time as stdlib_time
import typing

from aiohttp import web

from yuccahitch import clock, errors
from yuccahitch import settings as config_file
from yuccahitch.codecs import callers
from yuccahitch.messages import requests
from yuccahitch.resources import publication
from yuccahitch.resources import service as services
from yuccahitch.tasks import (
    _http_errors,
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

# Time for which a stopping server waits for requests that are still coming in, in seconds.
MAX_ARRIVAL_S = 5.0
# Operation keys that one call may create.
MAX_OPERATION_KEYS = 16
# Key of what is held for a request, in the mapping that the request is.
HELD = "held"


class CallerServer:
    """Owns the listening socket for callers.

    Args:
        settings: Settings of the instance.
        core_inbox: Mailbox of the core task.
        mailboxes: Mailboxes that request tasks send their messages to.
        metrics_registry: Metrics returned by ``/metrics``.
        caller_intake: Grants memory and connections to callers.
        time: Source of monotonic and wall-clock time.

    Attributes:
        open_requests: The requests that are being run.
        app_runner: Runner of the HTTP server, or None before ``start``.
    """

    __slots__ = (
        "settings",
        "core_inbox",
        "mailboxes",
        "metrics_registry",
        "caller_intake",
        "time",
        "open_requests",
        "app_runner",
    )

    def __init__(
        self,
        settings: config_file.Settings,
        *,
        core_inbox: mailbox.Mailbox,
        mailboxes: runner.Mailboxes,
        metrics_registry: metrics.Metrics,
        caller_intake: intake.Intake,
        time: clock.Clock,
    ) -> None:
        self.settings = settings
        self.core_inbox = core_inbox
        self.mailboxes = mailboxes
        self.metrics_registry = metrics_registry
        self.caller_intake = caller_intake
        self.time = time
        self.open_requests = open_requests.OpenRequests()
        self.app_runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Register the routes and start listening for callers."""
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
        self.app_runner = caller_connection.CallerRunner(
            app,
            caller_intake=self.caller_intake,
            limits=self._limits,
            access_log=None,
            handler_cancellation=True,
            max_line_size=caller_settings.max_header_bytes,
            max_field_size=caller_settings.max_header_bytes,
        )
        await self.app_runner.setup()
        instance_settings = self.settings.instance
        await caller_sockets.listen(
            self.app_runner, instance_settings.listen, instance_settings.caller_port
        )

    async def stop(self) -> None:
        """Answer the open requests, stop listening, and close the connections and the tasks.

        Requests that are still coming in are waited for and refused.
        """
        await self.open_requests.answer_all()
        await self.open_requests.finish_handling(MAX_ARRIVAL_S)
        if self.app_runner is not None:
            await self.app_runner.cleanup()
        await self.open_requests.stop()

    @web.middleware
    async def _convert_errors(
        self, request: web.Request, handler: typing.Callable[..., typing.Any]
    ) -> web.StreamResponse:
        """Turn errors raised before a request has an id into error responses."""
        try:
            self._check_header_count(request)
            abort = request.protocol.abort
            address = caller_connection.peer_address(request)
            with self.open_requests.handling():
                with self.caller_intake.holding(address, abort) as request[HELD]:
                    return await handler(request)
        except errors.GatewayError as error:
            response = _http_errors.error_response(error)
            if not request.content.is_eof():
                response.force_close()
            return response
        except web.HTTPNotFound:
            return _http_errors.error_response(
                _gateway_error(
                    errors.Code.ROUTE_UNKNOWN,
                    "the path is unknown and no route exists for this host",
                )
            )

    def _body_limit_detail(self) -> str:
        return f"the body is larger than the limit of {self.settings.callers.max_body_bytes} bytes"

    def _limits(self) -> publication.CallerLimits:
        """Return the limits of callers, as connections need them."""
        caller_settings = self.settings.callers
        return publication.CallerLimits(
            max_header_bytes=caller_settings.max_header_bytes * caller_settings.max_headers,
            max_body_bytes=caller_settings.max_body_bytes,
            header_timeout_s=caller_settings.header_timeout_s,
        )

    async def _read_body(self, request: web.Request) -> bytes:
        """Return a request's body.

        Raises:
            errors.GatewayError: When it is larger than the limit, or there is no memory for it.
        """
        body = await caller_connection.read_body(
            request,
            self.settings.callers.max_body_bytes,
            caller_intake=self.caller_intake,
            held=request[HELD],
        )
        if body is None:
            raise _gateway_error(errors.Code.BODY_TOO_LARGE, self._body_limit_detail())
        return body

    def _check_header_count(self, request: web.Request) -> None:
        if len(request.headers) > self.settings.callers.max_headers:
            limit = self.settings.callers.max_headers
            raise _gateway_error(
                errors.Code.HEADERS_TOO_LARGE,
                f"the request has more headers than the limit of {limit}",
            )

    async def _complete_chat(self, request: web.Request) -> web.StreamResponse:
        """Run a chat completion and return the response that was sent."""
        body = await self._read_body(request)
        parsed = callers.parse_chat_request(
            request.headers,
            body,
            now=self.time.now(),
            default_deadline=self.settings.callers.default_deadline_s,
        )
        return await self._run_request(request, parsed)

    async def _call_service(self, request: web.Request) -> web.StreamResponse:
        """Run a request to the plain service named in the path, with the rest of the path."""
        query = f"?{request.query_string}" if request.query_string else ""
        parsed = callers.parse_plain_request(
            request.headers,
            await self._read_body(request),
            service=request.match_info["service"],
            method=request.method,
            path=f"/{request.match_info['path']}{query}",
            now=self.time.now(),
            default_deadline=self.settings.callers.default_deadline_s,
        )
        return await self._run_request(request, parsed)

    async def _call_by_host(self, request: web.Request) -> web.StreamResponse:
        """Run a request that is routed by its host and path."""
        host = request.host.partition(":")[0].lower()
        is_routed_host = await self._query_core(
            lambda gateway: host in gateway.config.catalog.routes_by_host
        )
        if not is_routed_host:
            raise _gateway_error(
                errors.Code.ROUTE_UNKNOWN, "the path is unknown and no route exists for this host"
            )
        parsed = callers.parse_plain_request(
            request.headers,
            await self._read_body(request),
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
        """Run a parsed request in a child task and return the response that was sent.

        Raises:
            errors.GatewayError: When too many requests run.
        """
        held = request[HELD]
        held.request_id = parsed.id
        self.caller_intake.begin_run(held)
        memory = answer_memory.AnswerMemory(self.caller_intake, held)
        request.protocol.begin_answer(memory)
        sink = http_sink.HttpSink(
            request, request_id=parsed.id, memory=memory, is_streaming=parsed.stream
        )
        request_runner = runner.Runner(
            self.mailboxes, parsed, sink, memory=memory, now=self.time.now
        )
        task = self.open_requests.start(request_runner)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            # The caller disconnected. A request with an idempotency key runs on, so that its
            # answer is recorded for a repeat.
            request_runner.caller_connected = False
            if parsed.operation_key:
                self.caller_intake.outlast(held, task, len(parsed.body))
            else:
                task.cancel()
            raise
        return sink.response

    async def _list_instances(self, request: web.Request) -> web.Response:
        """Return the instances that the caller's client account may use, and two operation keys."""
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
        """Return as many new operation keys as the body's ``count`` asks for."""
        api_key_digest = callers.key_digest(request.headers)
        account = await self._query_core(lambda gateway: gateway.account_of(api_key_digest))
        count = _parse_key_count(await self._read_body(request))
        return web.json_response(
            {"operation_keys": await self._mint_operation_keys(account, count)}
        )

    async def _mint_operation_keys(self, account: str, count: int) -> list[str]:
        """Return new operation keys of a client account, created by the core."""
        wall = self.time.wall()
        return await self._query_core(
            lambda gateway: [gateway.operations.mint_key(account, wall) for _ in range(count)]
        )

    async def _list_models(self, request: web.Request) -> web.Response:
        """Return the models that the caller's client account may use."""
        api_key_digest = callers.key_digest(request.headers)
        model_names = await self._query_core(lambda gateway: _model_names(gateway, api_key_digest))
        listing = [
            {"id": name, "object": "model", "owned_by": "yuccahitch"} for name in model_names
        ]
        return web.json_response({"object": "list", "data": listing})

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok", "time": stdlib_time.time()})

    async def _get_readiness(self, request: web.Request) -> web.Response:
        """Return 200 if the configuration is loaded and the instance is not leaving, else 503."""
        ready = await self._query_core(
            lambda gateway: gateway.config.ready() and not gateway.shutdown.leaving
        )
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(text=self.metrics_registry.render())

    async def _query_core(self, read_state: typing.Callable[..., typing.Any]) -> typing.Any:
        """Return what a read-only function returns when the core calls it with its state."""
        return await self.core_inbox.ask(core_messages.Query(read_state))


def _model_names(gateway: typing.Any, api_key_digest: str) -> list[str]:
    """Return the models that the client account of an API key may use, sorted by name."""
    account = gateway.account_of(api_key_digest)
    catalog = gateway.config.catalog
    return sorted(
        target
        for target, route in catalog.routes_by_target.items()
        if (not route.accounts or account in route.accounts)
        and getattr(catalog.service(route.service), "kind", "") == services.MODEL
    )


def _parse_key_count(body: bytes) -> int:
    """Return the number of operation keys that a request body asks for; 1 without a body."""
    try:
        count = json.loads(body).get("count", 1) if body else 1
    except (ValueError, AttributeError):
        count = 0
    if type(count) is not int or not 1 <= count <= MAX_OPERATION_KEYS:
        raise _gateway_error(
            errors.Code.BODY_INVALID, f"count must be an integer from 1 to {MAX_OPERATION_KEYS}"
        )
    return count


def _gateway_error(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step="callers", detail=detail)
