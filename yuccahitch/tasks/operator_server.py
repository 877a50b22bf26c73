"""The HTTP server for operators: resources with versions, list, watch and dry run."""

from __future__ import annotations

import asyncio
import hmac
import json
import typing
import uuid

from aiohttp import web
from reactivex import subject

from yuccahitch import errors
from yuccahitch import settings as config_file
from yuccahitch.codecs import resources as codec
from yuccahitch.controllers import configuration, orders
from yuccahitch.resources import entry
from yuccahitch.tasks import _http_errors, core, mailbox

STEP = "operators"
WRITE_TIMEOUT_S = 30.0


class OperatorServer:
    """Owns the socket for operators.

    Args:
        settings: Settings of the instance.
        decisions: Mailbox of the core.
        changes: Every entry that comes into force.
    """

    __slots__ = ("settings", "decisions", "changes", "runner")

    def __init__(
        self,
        settings: config_file.Settings,
        *,
        decisions: mailbox.Mailbox,
        changes: subject.Subject,
    ) -> None:
        self.settings = settings
        self.decisions = decisions
        self.changes = changes
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen for operators."""
        limit = self.settings.operators.max_resource_bytes
        app = web.Application(client_max_size=limit, middlewares=[self._guard])
        app.router.add_get("/v1/resources", self._list)
        app.router.add_get("/v1/resources/{kind}", self._list)
        app.router.add_get("/v1/resources/{kind}/{name}", self._get)
        app.router.add_put("/v1/resources/{kind}/{name}", self._put)
        app.router.add_delete("/v1/resources/{kind}/{name}", self._delete)
        app.router.add_post("/v1/orders/{upstream}", self._order)
        app.router.add_get("/v1/watch", self._watch)
        app.router.add_post("/v1/instances/{instance}/release", self._release)
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self.runner.setup()
        place = self.settings.instance
        await web.TCPSite(self.runner, place.listen, place.operator_port).start()

    async def stop(self) -> None:
        """Stop listening."""
        self.changes.on_completed()
        if self.runner is not None:
            await self.runner.cleanup()

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: typing.Callable[..., typing.Any]
    ) -> web.StreamResponse:
        try:
            self._authenticate(request)
            return await handler(request)
        except errors.GatewayError as error:
            return _http_errors.error_response(error)
        except web.HTTPRequestEntityTooLarge:
            limit = self.settings.operators.max_resource_bytes
            return _http_errors.error_response(
                _error(errors.Code.BODY_TOO_LARGE, f"at most {limit} bytes")
            )

    def _authenticate(self, request: web.Request) -> None:
        shown = request.headers.get("authorization", "").partition(" ")[2]
        if not hmac.compare_digest(shown.encode(), self.settings.operators.token.encode()):
            raise _error(errors.Code.OPERATOR_UNKNOWN, "")

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info.get("kind", "")
        found = await self.decisions.ask(core.Query(lambda gateway: _listed(gateway, kind)))
        return web.json_response({"resources": [codec.entry_to_dict(e) for e in found]})

    async def _get(self, request: web.Request) -> web.Response:
        place = _place(request)
        found = await self.decisions.ask(
            core.Query(lambda gateway: gateway.config.catalog.entries.get(place))
        )
        if found is None or found.spec is None:
            raise _error(errors.Code.RESOURCE_UNKNOWN, "/".join(place))
        return web.json_response(codec.entry_to_dict(found))

    async def _put(self, request: web.Request) -> web.Response:
        kind, name = _place(request)
        data = _json(await request.read())
        spec = codec.spec_from_dict(kind, data.get("spec"))
        if spec.name != name:
            raise _error(errors.Code.RESOURCE_INVALID, "the name differs from the path's")
        return await self._write(request, kind, name, spec, _version(data.get("version")))

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = _place(request)
        version = request.query.get("version")
        number = int(version) if version is not None and version.isdigit() else None
        return await self._write(request, kind, name, None, number)

    async def _write(
        self,
        request: web.Request,
        kind: str,
        name: str,
        spec: entry.Spec | None,
        expected: int | None,
    ) -> web.Response:
        ticket = uuid.uuid4().hex
        item = configuration.new_entry(kind, name, write_id=ticket, spec=spec)
        write = configuration.Write(ticket, item, expected_version=expected)
        if request.query.get("dry_run") in ("1", "true"):
            problem = await self.decisions.ask(
                core.Query(lambda gateway: gateway.config.check_write(write))
            )
            if problem is not None:
                raise problem
            return web.json_response({"dry_run": True, "kind": kind, "name": name})
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                written = await self.decisions.ask(write)
        except TimeoutError as error:
            raise _error(errors.Code.STORE_UNSETTLED, "no answer in time") from error
        if written.error is not None:
            raise written.error
        return web.json_response(codec.entry_to_dict(written.resource))

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.read()
        _json(body)
        name = request.match_info["upstream"]
        order = orders.Order(uuid.uuid4().hex, upstream=name, body=body, send_deadline=0.0)
        fence = await _fence(self.decisions, order)
        return web.json_response({"upstream": name, "fence": fence})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"content-type": "application/jsonl"})
        await response.prepare(request)
        inbox = mailbox.Mailbox()
        subscription = self.changes.subscribe(
            on_next=inbox.post, on_completed=lambda: inbox.post(None)
        )
        try:
            known = await self.decisions.ask(core.Query(lambda gateway: _listed(gateway, "")))
            for item in known:
                await response.write(_line(item))
            while (item := await inbox.get()) is not None:
                await response.write(_line(item))
        finally:
            subscription.dispose()
        return response

    async def _release(self, request: web.Request) -> web.Response:
        instance = request.match_info["instance"]
        done = await self.decisions.ask(core.ReleaseInstance(instance, uuid.uuid4().hex))
        if not done:
            raise _error(errors.Code.STORE_UNSETTLED, "the store did not answer")
        return web.json_response({"released": instance})


async def _fence(decisions: mailbox.Mailbox, order: orders.Order) -> int:
    given = await decisions.ask(order)
    if given.error is not None:
        raise given.error
    return given.fence


def _listed(gateway: typing.Any, kind: str) -> list[entry.Entry]:
    return [
        found
        for (its_kind, _), found in sorted(gateway.config.catalog.entries.items())
        if found.spec is not None and (not kind or its_kind == kind)
    ]


def _place(request: web.Request) -> tuple[str, str]:
    kind, name = request.match_info["kind"], request.match_info["name"]
    if kind not in entry.OPERATOR_KINDS:
        kinds = ", ".join(entry.OPERATOR_KINDS)
        raise _error(errors.Code.RESOURCE_INVALID, f"the kinds are {kinds}")
    return kind, name


def _json(body: bytes) -> dict[str, typing.Any]:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _error(errors.Code.RESOURCE_INVALID, "the body is not JSON") from error
    if not isinstance(data, dict):
        raise _error(errors.Code.RESOURCE_INVALID, "the body is not a JSON object")
    return data


def _version(value: typing.Any) -> int | None:
    if value is not None and (type(value) is not int or value < 0):
        raise _error(errors.Code.RESOURCE_INVALID, "version must be a whole number from 0")
    return value


def _line(item: entry.Entry) -> bytes:
    return json.dumps(codec.entry_to_dict(item)).encode() + b"\n"


def _error(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, detail=detail)


def changes_of(listeners: list[typing.Callable[[entry.Entry], None]]) -> subject.Subject:
    """Return an observable of every entry that the listeners' owner takes in."""
    changes: subject.Subject = subject.Subject()
    listeners.append(changes.on_next)
    return changes
