"""The HTTP server for operators.

Operators list, read, write, delete and watch versioned resources (writes also as a dry run), send
orders to upstreams and release the slices of dead instances.
"""

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
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.runs import orders
from yuccahitch.resources import entry
from yuccahitch.tasks import _http_errors, core_messages, mailbox

STEP = "operators"
# Longest wait for the core to confirm a write to the store.
WRITE_TIMEOUT_S = 30.0


class OperatorServer:
    """Owns the listening socket for operators.

    Args:
        settings: Settings of the instance.
        core_inbox: Mailbox of the core task.
        entry_changes: Observable of every new entry of the catalog.

    Attributes:
        app_runner: Runner of the HTTP server, or None before ``start``.
    """

    __slots__ = ("settings", "core_inbox", "entry_changes", "app_runner")

    def __init__(
        self,
        settings: config_file.Settings,
        *,
        core_inbox: mailbox.Mailbox,
        entry_changes: subject.Subject,
    ) -> None:
        self.settings = settings
        self.core_inbox = core_inbox
        self.entry_changes = entry_changes
        self.app_runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Register the routes and start listening for operators."""
        limit = self.settings.operators.max_resource_bytes
        app = web.Application(
            client_max_size=limit, middlewares=[self._authenticate_and_convert_errors]
        )
        app.router.add_get("/v1/resources", self._list_resources)
        app.router.add_get("/v1/resources/{kind}", self._list_resources)
        app.router.add_get("/v1/resources/{kind}/{name}", self._get_resource)
        app.router.add_put("/v1/resources/{kind}/{name}", self._put_resource)
        app.router.add_delete("/v1/resources/{kind}/{name}", self._delete_resource)
        app.router.add_post("/v1/orders/{upstream}", self._send_order)
        app.router.add_get("/v1/watch", self._watch_resources)
        app.router.add_post("/v1/instances/{instance}/release", self._release_instance)
        self.app_runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self.app_runner.setup()
        instance_settings = self.settings.instance
        await web.TCPSite(
            self.app_runner, instance_settings.listen, instance_settings.operator_port
        ).start()

    async def stop(self) -> None:
        """End the open watches and stop listening."""
        self.entry_changes.on_completed()
        if self.app_runner is not None:
            await self.app_runner.cleanup()

    @web.middleware
    async def _authenticate_and_convert_errors(
        self, request: web.Request, handler: typing.Callable[..., typing.Any]
    ) -> web.StreamResponse:
        """Call the handler if the operator token is valid; turn errors into error responses."""
        try:
            self._authenticate(request)
            return await handler(request)
        except errors.GatewayError as error:
            return _http_errors.error_response(error)
        except web.HTTPRequestEntityTooLarge:
            limit = self.settings.operators.max_resource_bytes
            return _http_errors.error_response(
                _gateway_error(
                    errors.Code.BODY_TOO_LARGE,
                    f"the body is larger than the limit of {limit} bytes",
                )
            )

    def _authenticate(self, request: web.Request) -> None:
        """Raise ``errors.GatewayError`` unless the request carries the operator token."""
        presented_token = request.headers.get("authorization", "").partition(" ")[2]
        if not hmac.compare_digest(
            presented_token.encode(), self.settings.operators.token.encode()
        ):
            raise _gateway_error(errors.Code.OPERATOR_UNKNOWN, "")

    async def _list_resources(self, request: web.Request) -> web.Response:
        """Return all resources, or those of the kind in the path."""
        kind = request.match_info.get("kind", "")
        listed_entries = await self.core_inbox.ask(
            core_messages.Query(lambda gateway: _list_entries(gateway, kind))
        )
        return web.json_response(
            {"resources": [codec.entry_to_dict(listed_entry) for listed_entry in listed_entries]}
        )

    async def _get_resource(self, request: web.Request) -> web.Response:
        """Return the resource that the path names."""
        kind_and_name = _parse_kind_and_name(request)
        stored_entry = await self.core_inbox.ask(
            core_messages.Query(lambda gateway: gateway.config.catalog.entries.get(kind_and_name))
        )
        if stored_entry is None or stored_entry.spec is None:
            raise _gateway_error(errors.Code.RESOURCE_UNKNOWN, "/".join(kind_and_name))
        return web.json_response(codec.entry_to_dict(stored_entry))

    async def _put_resource(self, request: web.Request) -> web.Response:
        """Create or replace a resource; ``version`` in the body is the version to replace."""
        kind, name = _parse_kind_and_name(request)
        data = _parse_json_object(await request.read())
        spec = codec.spec_from_dict(kind, data.get("spec"))
        if spec.name != name:
            raise _gateway_error(
                errors.Code.RESOURCE_INVALID, "the resource name differs from the name in the path"
            )
        return await self._write_resource(
            request, kind, name, spec, _parse_version(data.get("version"))
        )

    async def _delete_resource(self, request: web.Request) -> web.Response:
        """Delete a resource; ``version`` in the query is the version to delete."""
        kind, name = _parse_kind_and_name(request)
        version = request.query.get("version")
        version_number = int(version) if version is not None and version.isdigit() else None
        return await self._write_resource(request, kind, name, None, version_number)

    async def _write_resource(
        self,
        request: web.Request,
        kind: str,
        name: str,
        spec: entry.Spec | None,
        expected: int | None,
    ) -> web.Response:
        """Write an entry through the core and return it; a dry run only checks the write.

        Args:
            request: The request; ``dry_run`` in its query asks for a dry run.
            kind: Kind of the resource.
            name: Name of the resource.
            spec: New content, or None to delete the resource.
            expected: Version to replace, or None to replace any version.
        """
        ticket = uuid.uuid4().hex
        item = configuration.new_entry(kind, name, write_id=ticket, spec=spec)
        write = configuration.Write(ticket, item, expected_version=expected)
        if request.query.get("dry_run") in ("1", "true"):
            refusal = await self.core_inbox.ask(
                core_messages.Query(lambda gateway: gateway.config.check_write(write))
            )
            if refusal is not None:
                raise refusal
            return web.json_response({"dry_run": True, "kind": kind, "name": name})
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                result = await self.core_inbox.ask(write)
        except TimeoutError as error:
            raise _gateway_error(
                errors.Code.STORE_UNSETTLED, "the write was not confirmed within its time limit"
            ) from error
        if result.error is not None:
            raise result.error
        return web.json_response(codec.entry_to_dict(result.resource))

    async def _send_order(self, request: web.Request) -> web.Response:
        """Send the body as an order to an upstream and return the order's fencing number."""
        body = await request.read()
        _parse_json_object(body)
        name = request.match_info["upstream"]
        order = orders.Order(uuid.uuid4().hex, upstream=name, body=body, send_deadline=0.0)
        fence = await _submit_order(self.core_inbox, order)
        return web.json_response({"upstream": name, "fence": fence})

    async def _watch_resources(self, request: web.Request) -> web.StreamResponse:
        """Stream all resources and then each change, one JSON object per line."""
        response = web.StreamResponse(headers={"content-type": "application/jsonl"})
        await response.prepare(request)
        inbox = mailbox.Mailbox()
        subscription = self.entry_changes.subscribe(
            on_next=inbox.post, on_completed=lambda: inbox.post(None)
        )
        try:
            current_entries = await self.core_inbox.ask(
                core_messages.Query(lambda gateway: _list_entries(gateway, ""))
            )
            for item in current_entries:
                await response.write(_encode_line(item))
            while (item := await inbox.get()) is not None:
                await response.write(_encode_line(item))
        finally:
            subscription.dispose()
        return response

    async def _release_instance(self, request: web.Request) -> web.Response:
        """Record that an instance is dead, so that its slices are released."""
        instance = request.match_info["instance"]
        recorded = await self.core_inbox.ask(
            core_messages.ReleaseInstance(instance, uuid.uuid4().hex)
        )
        if not recorded:
            raise _gateway_error(
                errors.Code.STORE_UNSETTLED,
                "the release was not recorded: the store did not answer",
            )
        return web.json_response({"released": instance})


async def _submit_order(core_inbox: mailbox.Mailbox, order: orders.Order) -> int:
    """Have the core send an order; return its fencing number or raise its error."""
    order_result = await core_inbox.ask(order)
    if order_result.error is not None:
        raise order_result.error
    return order_result.fence


def _list_entries(gateway: typing.Any, kind: str) -> list[entry.Entry]:
    """Return the entries of a kind that are not deleted, or of all kinds if it is empty."""
    return [
        stored_entry
        for (entry_kind, _), stored_entry in sorted(gateway.config.catalog.entries.items())
        if stored_entry.spec is not None and (not kind or entry_kind == kind)
    ]


def _parse_kind_and_name(request: web.Request) -> tuple[str, str]:
    """Return kind and name of the resource in a request's path, after checking the kind."""
    kind, name = request.match_info["kind"], request.match_info["name"]
    if kind not in entry.OPERATOR_KINDS:
        kinds = ", ".join(entry.OPERATOR_KINDS)
        raise _gateway_error(errors.Code.RESOURCE_INVALID, f"unknown kind; the kinds are {kinds}")
    return kind, name


def _parse_json_object(body: bytes) -> dict[str, typing.Any]:
    """Return the JSON object in a request body."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _gateway_error(errors.Code.RESOURCE_INVALID, "the body is not JSON") from error
    if not isinstance(data, dict):
        raise _gateway_error(errors.Code.RESOURCE_INVALID, "the body is not a JSON object")
    return data


def _parse_version(value: typing.Any) -> int | None:
    """Return the version given in a request body, or None if there is none."""
    if value is not None and (type(value) is not int or value < 0):
        raise _gateway_error(errors.Code.RESOURCE_INVALID, "version must be a non-negative integer")
    return value


def _encode_line(item: entry.Entry) -> bytes:
    """Return an entry as one line of the watch response."""
    return json.dumps(codec.entry_to_dict(item)).encode() + b"\n"


def _gateway_error(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, detail=detail)


def observe_entries(listeners: list[typing.Callable[[entry.Entry], None]]) -> subject.Subject:
    """Return an observable of each new entry; its callback is added to the catalog's listeners."""
    entry_changes: subject.Subject = subject.Subject()
    listeners.append(entry_changes.on_next)
    return entry_changes
