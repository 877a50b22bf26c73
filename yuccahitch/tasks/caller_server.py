"""The HTTP server for callers."""

from __future__ import annotations

import asyncio
import json
import time as calendar
import typing

from aiohttp import web

from yuccahitch import clock, errors
from yuccahitch import settings as config_file
from yuccahitch.codecs import callers
from yuccahitch.messages import answers, requests
from yuccahitch.resources import service as services
from yuccahitch.tasks import _http_errors, core, mailbox, metrics, runner

MAX_WHOLE_BYTES = 1_048_576
MAX_MINTED = 16


class HttpSink:
    """Sends an answer to a caller.

    An answer that is not a stream is held back until it is whole, up to ``MAX_WHOLE_BYTES``, so
    that a cut one becomes a clear error.
    """

    __slots__ = ("request", "id", "streams", "response", "head", "held")

    def __init__(self, request: web.Request, *, request_id: str, streams: bool) -> None:
        self.request = request
        self.id = request_id
        self.streams = streams
        self.response: web.StreamResponse | None = None
        self.head: answers.Head | None = None
        self.held = bytearray()

    async def start(self, head: answers.Head) -> None:
        """Begin the answer."""
        self.head = head
        if self.streams:
            await self._open()

    async def write(self, chunk: answers.Chunk) -> None:
        """Pass bytes on, or hold them until the answer is whole."""
        if self.response is not None:
            await self.response.write(chunk.data)
            return
        self.held += chunk.data
        if len(self.held) > MAX_WHOLE_BYTES:
            await self._open()
            await self.response.write(bytes(self.held))

    async def end(self, part: answers.End) -> None:
        """End a whole answer."""
        if self.response is None:
            await self._whole(self.head.status, self.head.headers, bytes(self.held))
            return
        await self.response.write_eof()

    async def cut(self, part: answers.Failure) -> None:
        """End an answer that is not whole, so that the caller can't take it for whole."""
        if self.response is None:
            await self.refuse(part.error, "")
            return
        if self.streams:
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
        await self._whole(answer.status, headers, answer.body)

    async def _whole(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        named = dict(headers) | {callers.REQUEST_ID_HEADER: self.id}
        await self._send(web.Response(status=status, body=body, headers=named))

    async def _open(self) -> None:
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
        decisions: Mailbox of the core.
        mailboxes: Mailboxes for running requests.
        figures: Metrics to show.
        time: The clock.
    """

    __slots__ = ("settings", "decisions", "mailboxes", "figures", "time", "children", "runner")

    def __init__(
        self,
        settings: config_file.Settings,
        *,
        decisions: mailbox.Mailbox,
        mailboxes: runner.Mailboxes,
        figures: metrics.Metrics,
        time: clock.Clock,
    ) -> None:
        self.settings = settings
        self.decisions = decisions
        self.mailboxes = mailboxes
        self.figures = figures
        self.time = time
        self.children = mailbox.ChildTasks()
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen for callers."""
        options = self.settings.callers
        app = web.Application(client_max_size=options.max_body_bytes, middlewares=[self._errors])
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_route("*", "/v1/services/{service}/{path:.*}", self._call)
        app.router.add_get("/v1/instances", self._instances)
        app.router.add_get("/v1/models", self._models)
        app.router.add_post("/v1/operations", self._operations)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_route("*", "/{path:.*}", self._hosted)
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=options.max_header_bytes,
            max_field_size=options.max_header_bytes,
        )
        await self.runner.setup()
        place = self.settings.instance
        await web.TCPSite(self.runner, place.listen, place.caller_port).start()

    async def stop(self) -> None:
        """Stop listening and end what is open."""
        if self.runner is not None:
            await self.runner.cleanup()
        await self.children.stop()

    @web.middleware
    async def _errors(
        self, request: web.Request, handler: typing.Callable[..., typing.Any]
    ) -> web.StreamResponse:
        """Answer errors that arise before a request has an id."""
        try:
            self._check_headers(request)
            return await handler(request)
        except errors.GatewayError as error:
            return _http_errors.error_response(error)
        except web.HTTPRequestEntityTooLarge:
            return _http_errors.error_response(
                _error(errors.Code.BODY_TOO_LARGE, self._body_limit())
            )
        except web.HTTPNotFound:
            return _http_errors.error_response(
                _error(errors.Code.ROUTE_UNKNOWN, "there is no such path")
            )

    def _body_limit(self) -> str:
        return f"the limit is {self.settings.callers.max_body_bytes} bytes"

    def _check_headers(self, request: web.Request) -> None:
        if len(request.headers) > self.settings.callers.max_headers:
            limit = self.settings.callers.max_headers
            raise _error(errors.Code.HEADERS_TOO_LARGE, f"at most {limit} headers")

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        parsed = callers.chat_request(
            request.headers,
            body,
            now=self.time.now(),
            default_deadline=self.settings.callers.default_deadline_s,
        )
        return await self._run(request, parsed)

    async def _call(self, request: web.Request) -> web.StreamResponse:
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
        return await self._run(request, parsed)

    async def _hosted(self, request: web.Request) -> web.StreamResponse:
        """Take a request of a route by host and path."""
        host = request.host.partition(":")[0].lower()
        routed = await self._ask(lambda gateway: host in gateway.config.catalog.routes_by_host)
        if not routed:
            raise _error(errors.Code.ROUTE_UNKNOWN, "there is no such path")
        parsed = callers.call_request(
            request.headers,
            await request.read(),
            service=host,
            method=request.method,
            path=request.raw_path,
            now=self.time.now(),
            default_deadline=self.settings.callers.default_deadline_s,
        )
        return await self._run(request, parsed)

    async def _run(self, request: web.Request, parsed: requests.Request) -> web.StreamResponse:
        sink = HttpSink(request, request_id=parsed.id, streams=parsed.stream)
        job = runner.Runner(self.mailboxes, parsed, sink, now=self.time.now)
        work = self.children.start(job.run())
        try:
            await asyncio.shield(work)
        except asyncio.CancelledError:
            # The caller hung up. A request with an idempotency key goes on, for its repeat.
            job.caller_connected = False
            if not parsed.operation_key:
                work.cancel()
            raise
        return sink.response

    async def _instances(self, request: web.Request) -> web.Response:
        digest = callers.key_digest(request.headers)
        account = await self._ask(lambda gateway: gateway.account_of(digest))
        found = await self._ask(lambda gateway: gateway.directions(account))
        listed = [
            {
                "name": row.instance,
                "url": f"http://{row.host}:{row.caller_port}",
                "region": row.region,
                "zone": row.zone,
            }
            for row in found.instances
        ]
        keys = await self._mint(account, 2)
        return web.json_response(
            {"instances": listed, "ttl_s": found.ttl_s, "operation_keys": keys}
        )

    async def _operations(self, request: web.Request) -> web.Response:
        digest = callers.key_digest(request.headers)
        account = await self._ask(lambda gateway: gateway.account_of(digest))
        count = _count(await request.read())
        return web.json_response({"operation_keys": await self._mint(account, count)})

    async def _mint(self, account: str, count: int) -> list[str]:
        wall = self.time.wall()
        return await self._ask(
            lambda gateway: [gateway.operations.mint_key(account, wall) for _ in range(count)]
        )

    async def _models(self, request: web.Request) -> web.Response:
        digest = callers.key_digest(request.headers)
        names = await self._ask(lambda gateway: _model_names(gateway, digest))
        listed = [{"id": name, "object": "model", "owned_by": "yuccahitch"} for name in names]
        return web.json_response({"object": "list", "data": listed})

    async def _health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok", "time": calendar.time()})

    async def _ready(self, request: web.Request) -> web.Response:
        ready = await self._ask(
            lambda gateway: gateway.config.ready() and not gateway.shutdown.leaving
        )
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(text=self.figures.render())

    async def _ask(self, read: typing.Callable[..., typing.Any]) -> typing.Any:
        return await self.decisions.ask(core.Query(read))


def _model_names(gateway: typing.Any, digest: str) -> list[str]:
    account = gateway.account_of(digest)
    catalog = gateway.config.catalog
    return sorted(
        target
        for target, route in catalog.routes_by_target.items()
        if (not route.accounts or account in route.accounts)
        and getattr(catalog.service(route.service), "kind", "") == services.MODEL
    )


def _count(body: bytes) -> int:
    try:
        count = json.loads(body).get("count", 1) if body else 1
    except (ValueError, AttributeError):
        count = 0
    if type(count) is not int or not 1 <= count <= MAX_MINTED:
        raise _error(errors.Code.BODY_INVALID, f"count must be from 1 to {MAX_MINTED}")
    return count


def _error(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step="callers", detail=detail)
