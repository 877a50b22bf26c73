"""Stand-in for the platform's key-value service, with the published JSON form of the etcd v3 API.

It offers range reads, transactions (nested ones too), leases and watches. Faults: outage, delay,
lost requests and answers, stale ranges, broken or silent watches, a rate limit, and the restore
of an older state.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import time
import typing

from aiohttp import web

from standins import faults

Json = dict[str, typing.Any]
LEASE_CHECK_INTERVAL_S = 0.1
# Fault switches with their values without a fault; ``lose_answers``, ``lose_requests`` and
# ``stale_ranges`` count calls.
FAULTS = {
    "down": False,
    "delay_s": 0.0,
    "lose_answers": 0,
    "lose_requests": 0,
    "stale_ranges": 0,
    "mute_watches": False,
    "calls_per_s": 0,
}


class StoredValue:
    """The value of a key with its revisions.

    Attributes:
        value: The value in base64.
        created: Revision at which the key was created.
        modified: Revision of the last write.
        version: Number of writes since the key was created.
        lease: Id of the key's lease; 0 means none.
    """

    __slots__ = ("value", "created", "modified", "version", "lease")

    def __init__(self, value: str, created: int, modified: int, version: int, lease: int) -> None:
        self.value = value
        self.created = created
        self.modified = modified
        self.version = version
        self.lease = lease


class Lease:
    """A lease on keys.

    Attributes:
        ttl: Time to live after the grant or a keep-alive, in seconds.
        expires_at: Monotonic time of expiry, in seconds.
    """

    __slots__ = ("ttl", "expires_at")

    def __init__(self, ttl: int) -> None:
        self.ttl = ttl
        self.expires_at = time.monotonic() + ttl


class KeyValue:
    """The state of the service; keys are raw bytes, not base64.

    Attributes:
        faults: Fault switches.
        values: Stored values by key.
        history: The last 10000 changes as (revision, event, key), for watches that start in the
            past.
        revision: Revision of the last change.
        leases: Live leases by id.
        last_lease_id: Id of the last lease granted.
        watch_queues: Queue of changes of each open watch; None ends the watch.
        snapshots: Values and revisions saved by ``/save``; the last one is restored, and is read
            by stale ranges.
        calls: Number of calls by operation.
        call_window: Current second of monotonic time, and the calls in it.
        sweeper: Unused.
    """

    __slots__ = (
        "faults",
        "values",
        "history",
        "revision",
        "leases",
        "last_lease_id",
        "watch_queues",
        "snapshots",
        "calls",
        "call_window",
        "sweeper",
    )

    def __init__(self) -> None:
        self.faults = faults.FaultSwitches(FAULTS)
        self.values: dict[bytes, StoredValue] = {}
        self.history: list[tuple[int, Json, bytes]] = []
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = 1000
        self.watch_queues: set[asyncio.Queue[Json | None]] = set()
        self.snapshots: list[tuple[dict[bytes, StoredValue], int]] = []
        self.calls: dict[str, int] = {}
        self.call_window: tuple[int, int] = (0, 0)
        self.sweeper: asyncio.Task[None] | None = None

    def header(self) -> Json:
        """Return the header of a reply, with the current revision."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision)}

    def range(self, body: Json) -> Json:
        """Return the keys of a range, or a single key without ``range_end``.

        With the fault ``stale_ranges``, the last snapshot is read.
        """
        first_key = base64.b64decode(body["key"])
        end_key = base64.b64decode(body["range_end"]) if body.get("range_end") else None
        values = self.values
        if self.faults["stale_ranges"] and self.snapshots:
            values = self.snapshots[-1][0]
            self.faults.consume("stale_ranges")
        keys = sorted(
            candidate
            for candidate in values
            if candidate == first_key or (end_key and first_key <= candidate < end_key)
        )
        kvs = [self.key_to_json(key, values[key]) for key in keys]
        return {"header": self.header(), "kvs": kvs, "count": str(len(kvs))}

    def key_to_json(self, key: bytes, value: StoredValue) -> Json:
        """Return the JSON form of a key and its value."""
        return {
            "key": base64.b64encode(key).decode(),
            "value": value.value,
            "create_revision": str(value.created),
            "mod_revision": str(value.modified),
            "version": str(value.version),
            "lease": str(value.lease),
        }

    def txn(self, body: Json, revision: int | None = None) -> Json:
        """Apply a transaction and return its reply; all its changes share one revision.

        A nested transaction is given the revision of the outer one, which advances the store; as
        in etcd, its reply has no revision.
        """
        new_revision = revision if revision is not None else self.revision + 1
        conditions_hold = all(self.condition_holds(item) for item in body.get("compare", []))
        branch = body.get("success" if conditions_hold else "failure", [])
        responses = [self.apply_operation(operation, new_revision) for operation in branch]
        if revision is None and any(
            stored.modified == new_revision for stored in self.values.values()
        ):
            self.revision = new_revision
        elif revision is None and any(event[0] == new_revision for event in self.history[-64:]):
            self.revision = new_revision
        header = self.header() if revision is None else {}
        return {"header": header, "succeeded": conditions_hold, "responses": responses}

    def condition_holds(self, item: Json) -> bool:
        """Return whether a condition of a transaction holds."""
        stored_value = self.values.get(base64.b64decode(item["key"]))
        target = item["target"]
        actual = {
            "MOD": stored_value.modified if stored_value else 0,
            "CREATE": stored_value.created if stored_value else 0,
            "VERSION": stored_value.version if stored_value else 0,
        }[target]
        expected = int(item.get(f"{target.lower()}_revision", item.get("version", 0)))
        return actual == expected

    def apply_operation(self, operation: Json, revision: int) -> Json:
        """Apply an operation of a transaction and return its response."""
        if "requestRange" in operation:
            return {"response_range": self.range(operation["requestRange"])}
        if "requestTxn" in operation:
            return {"response_txn": self.txn(operation["requestTxn"], revision)}
        if "requestPut" in operation:
            self.put(operation["requestPut"], revision)
            return {"response_put": {"header": self.header()}}
        self.delete(base64.b64decode(operation["requestDeleteRange"]["key"]), revision)
        return {"response_delete_range": {"header": self.header()}}

    def put(self, body: Json, revision: int) -> None:
        """Write a key at a revision."""
        key = base64.b64decode(body["key"])
        previous = self.values.get(key)
        value = StoredValue(
            body.get("value", ""),
            previous.created if previous else revision,
            revision,
            (previous.version if previous else 0) + 1,
            int(body.get("lease", 0)),
        )
        self.values[key] = value
        self.record_event(revision, {"kv": self.key_to_json(key, value)}, key)

    def delete(self, key: bytes, revision: int) -> None:
        """Delete a key at a revision, if it exists."""
        if self.values.pop(key, None) is not None:
            deleted_key = {"key": base64.b64encode(key).decode(), "mod_revision": str(revision)}
            self.record_event(revision, {"type": "DELETE", "kv": deleted_key}, key)

    def record_event(self, revision: int, event: Json, key: bytes) -> None:
        """Add a change to the history and to the queue of every watch."""
        self.history.append((revision, event, key))
        del self.history[:-10000]
        for queue in self.watch_queues:
            queue.put_nowait({"revision": revision, "event": event, "name": key})

    def expire_leases(self) -> None:
        """End the leases that have expired."""
        now = time.monotonic()
        for lease in [
            lease_id
            for lease_id, lease_record in self.leases.items()
            if now >= lease_record.expires_at
        ]:
            self.revoke(lease)

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        bound = [key for key, value in self.values.items() if value.lease == lease]
        if bound:
            self.revision += 1
        for key in bound:
            self.delete(key, self.revision)

    def count_call(self) -> bool:
        """Count a call; return whether it exceeds the limit per second, ``calls_per_s``."""
        second = int(time.monotonic())
        count = self.call_window[1] + 1 if self.call_window[0] == second else 1
        self.call_window = (second, count)
        limit = self.faults["calls_per_s"]
        return bool(limit) and count > limit


def application() -> web.Application:
    """Return the application of the service."""
    state = KeyValue()
    app = faults.application(state.faults)
    app["state"] = state
    app.router.add_post("/v3/kv/range", _call_handler(state, "range", state.range))
    app.router.add_post("/v3/kv/txn", _call_handler(state, "txn", state.txn))
    app.router.add_post("/v3/kv/put", _call_handler(state, "put", lambda body: _put(state, body)))
    app.router.add_post(
        "/v3/lease/grant",
        _call_handler(state, "grant", lambda request_body: _grant(state, request_body)),
    )
    app.router.add_post(
        "/v3/lease/keepalive",
        _call_handler(state, "keepalive", lambda request_body: _keep_alive(state, request_body)),
    )
    app.router.add_post(
        "/v3/lease/revoke",
        _call_handler(state, "revoke", lambda request_body: _revoke(state, request_body)),
    )
    app.router.add_post("/v3/watch", lambda request: _watch(state, request))
    app.router.add_post("/save", lambda request: _save(state, request))
    app.router.add_post("/restore", lambda request: _restore(state, request))
    app.router.add_get("/calls", lambda request: _calls(state, request))
    app.cleanup_ctx.append(lambda app: _run_lease_expiry(state))
    return app


def _call_handler(
    state: KeyValue, operation_name: str, apply_call: typing.Callable[[Json], Json]
) -> typing.Callable[[web.Request], typing.Awaitable[web.Response]]:
    """Return the HTTP handler of an operation, which applies its calls and the fault switches."""

    async def handle(request: web.Request) -> web.Response:
        body = await request.json()
        await _apply_request_faults(state, request)
        state.calls[operation_name] = state.calls.get(operation_name, 0) + 1
        if state.count_call():
            return web.json_response({"error": "too many requests", "code": 8}, status=429)
        reply = apply_call(body)
        if state.faults.consume("lose_answers"):
            _abort_connection(request)
        return web.json_response(reply)

    return handle


async def _apply_request_faults(state: KeyValue, request: web.Request) -> None:
    """Delay a request, or abort its connection before it is applied."""
    if state.faults["delay_s"]:
        await asyncio.sleep(state.faults["delay_s"])
    if state.faults["down"] or state.faults.consume("lose_requests"):
        _abort_connection(request)


def _abort_connection(request: web.Request) -> typing.NoReturn:
    """Abort the connection of a request and raise the error that ends the handler."""
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError("connection aborted by a fault switch")


def _put(state: KeyValue, body: Json) -> Json:
    """Write a key at a new revision."""
    state.revision += 1
    state.put(body, state.revision)
    return {"header": state.header()}


def _grant(state: KeyValue, body: Json) -> Json:
    """Grant a lease."""
    state.last_lease_id += 1
    state.leases[state.last_lease_id] = Lease(int(body["TTL"]))
    return {"header": state.header(), "ID": str(state.last_lease_id), "TTL": body["TTL"]}


def _keep_alive(state: KeyValue, body: Json) -> Json:
    """Renew a lease; the time to live in the reply is 0 if it has expired."""
    lease_record = state.leases.get(int(body["ID"]))
    ttl = 0
    if lease_record is not None:
        lease_record.expires_at = time.monotonic() + lease_record.ttl
        ttl = lease_record.ttl
    return {"result": {"header": state.header(), "ID": body["ID"], "TTL": str(ttl)}}


def _revoke(state: KeyValue, body: Json) -> Json:
    """End a lease."""
    state.revoke(int(body["ID"]))
    return {"header": state.header()}


async def _watch(state: KeyValue, request: web.Request) -> web.StreamResponse:
    """Stream the changes in a key range, from ``start_revision`` on if it is given."""
    create_request = (await request.json())["create_request"]
    await _apply_request_faults(state, request)
    state.calls["watch"] = state.calls.get("watch", 0) + 1
    first_key = base64.b64decode(create_request["key"])
    end_key = base64.b64decode(create_request["range_end"])
    start = int(create_request.get("start_revision", 0)) or state.revision + 1
    queue: asyncio.Queue[Json | None] = asyncio.Queue()
    state.watch_queues.add(queue)
    for revision, event, key in [
        past_change for past_change in state.history if past_change[0] >= start
    ]:
        queue.put_nowait({"revision": revision, "event": event, "name": key})
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(_watch_line({"header": state.header(), "created": True}))
    try:
        while (change := await queue.get()) is not None:
            if state.faults["mute_watches"] or not first_key <= change["name"] < end_key:
                continue
            header = state.header() | {"revision": str(change["revision"])}
            await response.write(_watch_line({"header": header, "events": [change["event"]]}))
    finally:
        state.watch_queues.discard(queue)
    return response


def _watch_line(result: Json) -> bytes:
    """Return a line of the stream of a watch."""
    return json.dumps({"result": result}).encode() + b"\n"


async def _save(state: KeyValue, request: web.Request) -> web.Response:
    """Save a snapshot of the values."""
    state.snapshots.append((copy.deepcopy(state.values), state.revision))
    return web.json_response({"revision": state.revision})


async def _restore(state: KeyValue, request: web.Request) -> web.Response:
    """Restore the last snapshot and end all watches; the history is lost."""
    state.values, state.revision = copy.deepcopy(state.snapshots[-1])
    state.history.clear()
    for queue in list(state.watch_queues):
        queue.put_nowait(None)
    return web.json_response({"revision": state.revision})


async def _calls(state: KeyValue, request: web.Request) -> web.Response:
    """Return the number of calls by operation, and of open watches."""
    return web.json_response(state.calls | {"watches_open": len(state.watch_queues)})


async def _run_lease_expiry(state: KeyValue) -> typing.AsyncIterator[None]:
    """Expire leases while the application runs, except in an outage; then end the watches."""

    async def expire_leases() -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            if not state.faults["down"]:
                state.expire_leases()

    task = asyncio.create_task(expire_leases())
    yield
    task.cancel()
    for queue in list(state.watch_queues):
        queue.put_nowait(None)
