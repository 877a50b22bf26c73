"""Stand-in for the platform's key-value service: the published JSON form of the etcd v3 API.

Get, range, transactions (nested ones too), leases and watches. Faults: outage, delay, lost
answers, stale ranges, broken or silent watches, a rate limit, and a restore of an older state.
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
SWEEP_S = 0.1
FAULTS = {
    "down": False,
    "delay_s": 0.0,
    "lose_answers": 0,
    "lose_requests": 0,
    "stale_ranges": 0,
    "mute_watches": False,
    "calls_per_s": 0,
}


class Value:
    """A key's value with its revisions."""

    __slots__ = ("value", "created", "modified", "version", "lease")

    def __init__(self, value: str, created: int, modified: int, version: int, lease: int) -> None:
        self.value = value
        self.created = created
        self.modified = modified
        self.version = version
        self.lease = lease


class Lease:
    """A lease with its end in monotonic seconds."""

    __slots__ = ("ttl", "ends")

    def __init__(self, ttl: int) -> None:
        self.ttl = ttl
        self.ends = time.monotonic() + ttl


class KeyValue:
    """The state of the service; keys are raw bytes."""

    __slots__ = (
        "faults",
        "values",
        "history",
        "revision",
        "leases",
        "next_lease",
        "watchers",
        "saved",
        "calls",
        "window",
        "sweeper",
    )

    def __init__(self) -> None:
        self.faults = faults.Faults(FAULTS)
        self.values: dict[bytes, Value] = {}
        self.history: list[tuple[int, Json, bytes]] = []
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1000
        self.watchers: set[asyncio.Queue[Json | None]] = set()
        self.saved: list[tuple[dict[bytes, Value], int]] = []
        self.calls: dict[str, int] = {}
        self.window: tuple[int, int] = (0, 0)
        self.sweeper: asyncio.Task[None] | None = None

    def header(self) -> Json:
        """Return the header of a reply."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision)}

    def range(self, body: Json) -> Json:
        """Return the keys of a range."""
        low = base64.b64decode(body["key"])
        high = base64.b64decode(body["range_end"]) if body.get("range_end") else None
        values = self.values
        if self.faults["stale_ranges"] and self.saved:
            values = self.saved[-1][0]
            self.faults.take("stale_ranges")
        names = sorted(n for n in values if n == low or (high and low <= n < high))
        kvs = [self.kv(name, values[name]) for name in names]
        return {"header": self.header(), "kvs": kvs, "count": str(len(kvs))}

    def kv(self, name: bytes, value: Value) -> Json:
        """Return a key as JSON."""
        return {
            "key": base64.b64encode(name).decode(),
            "value": value.value,
            "create_revision": str(value.created),
            "mod_revision": str(value.modified),
            "version": str(value.version),
            "lease": str(value.lease),
        }

    def txn(self, body: Json, revision: int | None = None) -> Json:
        """Apply a transaction; all its changes share one revision."""
        new = revision if revision is not None else self.revision + 1
        holds = all(self.compare(item) for item in body.get("compare", []))
        branch = body.get("success" if holds else "failure", [])
        responses = [self.operation(op, new) for op in branch]
        if revision is None and any(v.modified == new for v in self.values.values()):
            self.revision = new
        elif revision is None and any(event[0] == new for event in self.history[-64:]):
            self.revision = new
        return {"header": self.header(), "succeeded": holds, "responses": responses}

    def compare(self, item: Json) -> bool:
        """Return whether a condition holds."""
        found = self.values.get(base64.b64decode(item["key"]))
        target = item["target"]
        actual = {
            "MOD": found.modified if found else 0,
            "CREATE": found.created if found else 0,
            "VERSION": found.version if found else 0,
        }[target]
        wanted = int(item.get(f"{target.lower()}_revision", item.get("version", 0)))
        return actual == wanted

    def operation(self, op: Json, revision: int) -> Json:
        """Apply one operation of a transaction."""
        if "requestRange" in op:
            return {"response_range": self.range(op["requestRange"])}
        if "requestTxn" in op:
            return {"response_txn": self.txn(op["requestTxn"], revision)}
        if "requestPut" in op:
            self.put(op["requestPut"], revision)
            return {"response_put": {"header": self.header()}}
        self.delete(base64.b64decode(op["requestDeleteRange"]["key"]), revision)
        return {"response_delete_range": {"header": self.header()}}

    def put(self, body: Json, revision: int) -> None:
        """Write a key."""
        name = base64.b64decode(body["key"])
        old = self.values.get(name)
        value = Value(
            body.get("value", ""),
            old.created if old else revision,
            revision,
            (old.version if old else 0) + 1,
            int(body.get("lease", 0)),
        )
        self.values[name] = value
        self.tell(revision, {"kv": self.kv(name, value)}, name)

    def delete(self, name: bytes, revision: int) -> None:
        """Delete a key."""
        if self.values.pop(name, None) is not None:
            kv = {"key": base64.b64encode(name).decode(), "mod_revision": str(revision)}
            self.tell(revision, {"type": "DELETE", "kv": kv}, name)

    def tell(self, revision: int, event: Json, name: bytes) -> None:
        """Note a change and tell the watches."""
        self.history.append((revision, event, name))
        del self.history[:-10000]
        for queue in self.watchers:
            queue.put_nowait({"revision": revision, "event": event, "name": name})

    def sweep(self) -> None:
        """End leases whose time has come."""
        now = time.monotonic()
        for lease in [n for n, found in self.leases.items() if now >= found.ends]:
            self.revoke(lease)

    def revoke(self, lease: int) -> None:
        """End a lease and delete the keys bound to it."""
        self.leases.pop(lease, None)
        bound = [name for name, value in self.values.items() if value.lease == lease]
        if bound:
            self.revision += 1
        for name in bound:
            self.delete(name, self.revision)

    def overloaded(self) -> bool:
        """Count a call; return whether it is over the limit of this second."""
        second = int(time.monotonic())
        count = self.window[1] + 1 if self.window[0] == second else 1
        self.window = (second, count)
        limit = self.faults["calls_per_s"]
        return bool(limit) and count > limit


def application() -> web.Application:
    """Return the service as an application."""
    state = KeyValue()
    app = faults.application(state.faults)
    app["state"] = state
    app.router.add_post("/v3/kv/range", _call(state, "range", state.range))
    app.router.add_post("/v3/kv/txn", _call(state, "txn", state.txn))
    app.router.add_post("/v3/kv/put", _call(state, "put", lambda body: _put(state, body)))
    app.router.add_post("/v3/lease/grant", _call(state, "grant", lambda b: _grant(state, b)))
    app.router.add_post("/v3/lease/keepalive", _call(state, "keepalive", lambda b: _keep(state, b)))
    app.router.add_post("/v3/lease/revoke", _call(state, "revoke", lambda b: _revoke(state, b)))
    app.router.add_post("/v3/watch", lambda request: _watch(state, request))
    app.router.add_post("/save", lambda request: _save(state, request))
    app.router.add_post("/restore", lambda request: _restore(state, request))
    app.router.add_get("/calls", lambda request: _calls(state, request))
    app.cleanup_ctx.append(lambda app: _sweeping(state))
    return app


def _call(
    state: KeyValue, name: str, work: typing.Callable[[Json], Json]
) -> typing.Callable[[web.Request], typing.Awaitable[web.Response]]:
    async def handle(request: web.Request) -> web.Response:
        body = await request.json()
        await _fail_before(state, request)
        state.calls[name] = state.calls.get(name, 0) + 1
        if state.overloaded():
            return web.json_response({"error": "too many requests", "code": 8}, status=429)
        reply = work(body)
        if state.faults.take("lose_answers"):
            _hang_up(request)
        return web.json_response(reply)

    return handle


async def _fail_before(state: KeyValue, request: web.Request) -> None:
    if state.faults["delay_s"]:
        await asyncio.sleep(state.faults["delay_s"])
    if state.faults["down"] or state.faults.take("lose_requests"):
        _hang_up(request)


def _hang_up(request: web.Request) -> typing.NoReturn:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError("fault")


def _put(state: KeyValue, body: Json) -> Json:
    state.revision += 1
    state.put(body, state.revision)
    return {"header": state.header()}


def _grant(state: KeyValue, body: Json) -> Json:
    state.next_lease += 1
    state.leases[state.next_lease] = Lease(int(body["TTL"]))
    return {"header": state.header(), "ID": str(state.next_lease), "TTL": body["TTL"]}


def _keep(state: KeyValue, body: Json) -> Json:
    found = state.leases.get(int(body["ID"]))
    ttl = 0
    if found is not None:
        found.ends = time.monotonic() + found.ttl
        ttl = found.ttl
    return {"result": {"header": state.header(), "ID": body["ID"], "TTL": str(ttl)}}


def _revoke(state: KeyValue, body: Json) -> Json:
    state.revoke(int(body["ID"]))
    return {"header": state.header()}


async def _watch(state: KeyValue, request: web.Request) -> web.StreamResponse:
    wanted = (await request.json())["create_request"]
    await _fail_before(state, request)
    state.calls["watch"] = state.calls.get("watch", 0) + 1
    low = base64.b64decode(wanted["key"])
    high = base64.b64decode(wanted["range_end"])
    start = int(wanted.get("start_revision", 0)) or state.revision + 1
    queue: asyncio.Queue[Json | None] = asyncio.Queue()
    state.watchers.add(queue)
    for revision, event, name in [h for h in state.history if h[0] >= start]:
        queue.put_nowait({"revision": revision, "event": event, "name": name})
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(_line({"header": state.header(), "created": True}))
    try:
        while (change := await queue.get()) is not None:
            if state.faults["mute_watches"] or not low <= change["name"] < high:
                continue
            header = state.header() | {"revision": str(change["revision"])}
            await response.write(_line({"header": header, "events": [change["event"]]}))
    finally:
        state.watchers.discard(queue)
    return response


def _line(result: Json) -> bytes:
    return json.dumps({"result": result}).encode() + b"\n"


async def _save(state: KeyValue, request: web.Request) -> web.Response:
    state.saved.append((copy.deepcopy(state.values), state.revision))
    return web.json_response({"revision": state.revision})


async def _restore(state: KeyValue, request: web.Request) -> web.Response:
    state.values, state.revision = copy.deepcopy(state.saved[-1])
    state.history.clear()
    for queue in list(state.watchers):
        queue.put_nowait(None)
    return web.json_response({"revision": state.revision})


async def _calls(state: KeyValue, request: web.Request) -> web.Response:
    return web.json_response(state.calls | {"watches_open": len(state.watchers)})


async def _sweeping(state: KeyValue) -> typing.AsyncIterator[None]:
    async def sweep() -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            if not state.faults["down"]:
                state.sweep()

    task = asyncio.create_task(sweep())
    yield
    task.cancel()
    for queue in list(state.watchers):
        queue.put_nowait(None)
