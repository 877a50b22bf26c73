"""Stand-in for the store of the users' platform: items, watches, leases and transactions.

Tests write the items of operators and upstreams through ``/admin``. Faults: outage, calls
without an answer, delay, lost answers, late writes, silent watches, a lost history, and refusal of
the calls to one address.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
import typing

from aiohttp import web

from standins import faults

Json = dict[str, typing.Any]
LEASE_CHECK_INTERVAL_S = 0.1
# Longest wait of a watch call for a change, in seconds.
MAX_WAIT_S = 30.0
# Largest number of items in a reply to a range call.
PAGE_ITEMS = 500
# Fault switches with their values without a fault; ``lose_answers`` and ``late_writes`` count
# calls.
FAULTS = {
    "down": False,
    "silent": False,
    "delay_s": 0.0,
    "lose_answers": 0,
    "late_writes": 0,
    "mute_watches": False,
    "turn_away": "",
    "turn_away_status": 503,
}
# Only operators and upstreams may write keys with these prefixes.
READ_ONLY_PREFIXES = ("op/", "servers/")


class StoreCopy:
    """What the store held at one moment: items, leases, revision and history."""

    __slots__ = ("items", "leases", "revision", "history")

    def __init__(self, state: PlatformStore) -> None:
        self.items = dict(state.items)
        self.leases = {lease: list(terms) for lease, terms in state.leases.items()}
        self.revision = state.revision
        self.history = list(state.history)


class PlatformStore:
    """The state of the store.

    Attributes:
        faults: Fault switches.
        items: Stored items by key.
        leases: Monotonic time of expiry in seconds, and time to live in milliseconds, by lease id.
        revision: Revision of the last change.
        history: Changes since the last compaction, oldest first.
        compacted_revision: Watches that start before this revision are refused with status 410.
        changed: Notified when items change or the history is compacted.
        calls: Number of calls by path.
        era: How often the store was restored; named in each reply.
        kept_copy: The copy that ``restore`` goes back to, or None.
    """

    __slots__ = (
        "faults",
        "items",
        "leases",
        "revision",
        "history",
        "compacted_revision",
        "changed",
        "calls",
        "era",
        "kept_copy",
    )

    def __init__(self) -> None:
        self.faults = faults.FaultSwitches(FAULTS)
        self.items: dict[str, Json] = {}
        self.leases: dict[int, list[float]] = {}
        self.revision = 1
        self.history: list[Json] = []
        self.compacted_revision = 0
        self.changed = asyncio.Condition()
        self.calls: dict[str, int] = {}
        self.era = 1
        self.kept_copy: StoreCopy | None = None

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write an item at a new revision; the value is base64, lease 0 means none."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def remove(self, key: str) -> None:
        """Remove an item at a new revision, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether the lease existed."""
        existed = self.leases.pop(lease, None) is not None
        for key in [candidate for candidate, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return existed

    def expire_leases(self) -> bool:
        """End the leases that have expired; return whether an item was removed."""
        before = self.revision
        now = time.monotonic()
        for lease in [
            lease_id for lease_id, (expires_at, _) in self.leases.items() if expires_at < now
        ]:
            self.end_lease(lease)
        return self.revision != before

    def keep_copy(self) -> None:
        """Keep a copy of the store as it is."""
        self.kept_copy = StoreCopy(self)

    def restore(self) -> None:
        """Go back to the copy: what was written since is gone, and its revisions are free again."""
        self.items = dict(self.kept_copy.items)
        self.leases = dict(self.kept_copy.leases)
        self.revision = self.kept_copy.revision
        self.history = list(self.kept_copy.history)
        self.compacted_revision = 0
        self.era += 1

    async def notify(self) -> None:
        """Wake the watch calls that wait for a change."""
        async with self.changed:
            self.changed.notify_all()


def application() -> web.Application:
    """Return the application of the store."""
    state = PlatformStore()
    app = faults.application(state.faults)
    app["state"] = state
    app.middlewares.append(_apply_faults)
    app.router.add_get("/api/kv-key", _get_key)
    app.router.add_get("/api/kv-range", _get_range)
    app.router.add_get("/api/kv-watch", _poll_watch)
    app.router.add_post("/api/kv-txn", _apply_transaction)
    app.router.add_post("/api/kv-lease", _grant_lease)
    app.router.add_post("/api/kv-keep/{id}", _keep_alive)
    app.router.add_delete("/api/kv-lease-end/{id}", _end_lease)
    app.router.add_post("/admin/put", _admin_put)
    app.router.add_post("/admin/compact", _admin_compact)
    app.router.add_post("/admin/keep-copy", _admin_keep_copy)
    app.router.add_post("/admin/restore", _admin_restore)
    app.router.add_get("/admin/items", _admin_items)
    app.router.add_get("/admin/calls", _admin_calls)
    app.cleanup_ctx.append(_run_lease_expiry)
    return app


async def _run_lease_expiry(app: web.Application) -> typing.AsyncIterator[None]:
    """Expire leases while the application runs."""

    async def expire_leases() -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            if app["state"].expire_leases():
                await app["state"].notify()

    task = asyncio.get_running_loop().create_task(expire_leases())
    yield
    task.cancel()


@web.middleware
async def _apply_faults(request: web.Request, handler: typing.Any) -> web.StreamResponse:
    """Apply the fault switches to a call of the store's API."""
    state: PlatformStore = request.app["state"]
    if not request.path.startswith("/api/"):
        return await handler(request)
    state.calls[request.path] = state.calls.get(request.path, 0) + 1
    switches = state.faults
    if switches["turn_away"] and _called_address(request) == switches["turn_away"]:
        return web.Response(status=int(switches["turn_away_status"]))
    if switches["silent"]:
        await asyncio.sleep(MAX_WAIT_S)
    if switches["down"]:
        request.transport.abort()
        raise web.HTTPServiceUnavailable
    await asyncio.sleep(switches["delay_s"])
    if request.method == "POST" and switches.consume("late_writes"):
        await request.read()
        await asyncio.sleep(1.0)
        await handler(request)
        request.transport.abort()
    response = await handler(request)
    response.headers["Store-Era"] = str(state.era)
    if request.method == "POST" and switches.consume("lose_answers"):
        request.transport.abort()
    return response


def _called_address(request: web.Request) -> str:
    """Return the address that was called; each region has its own, see `platform_site`."""
    return request.transport.get_extra_info("sockname")[0]


async def _get_key(request: web.Request) -> web.Response:
    """Return an item, or 404."""
    state: PlatformStore = request.app["state"]
    item = state.items.get(request.query["key"])
    if item is None:
        return web.json_response({"at": state.revision}, status=404)
    return web.json_response(item | {"at": state.revision})


async def _get_range(request: web.Request) -> web.Response:
    """Return a page of the items with a prefix, after a key."""
    state: PlatformStore = request.app["state"]
    prefix, after = request.query["pathPrefix"], request.query.get("after", "")
    matching_keys = sorted(
        candidate for candidate in state.items if candidate.startswith(prefix) and candidate > after
    )
    page = [state.items[item_key] for item_key in matching_keys[:PAGE_ITEMS]]
    has_more = len(matching_keys) > PAGE_ITEMS
    return web.json_response({"items": page, "hasMore": has_more, "at": state.revision})


async def _poll_watch(request: web.Request) -> web.Response:
    """Return the changes after a revision; wait for one up to ``waitMs``."""
    state: PlatformStore = request.app["state"]
    prefix, after = request.query["pathPrefix"], int(request.query["after"])
    deadline = time.monotonic() + min(MAX_WAIT_S, int(request.query["waitMs"]) / 1000)
    while True:
        if after < state.compacted_revision or after > state.revision:
            return web.json_response({}, status=410)
        is_muted = state.faults["mute_watches"]
        events = [
            event
            for event in state.history
            if event["revision"] > after and event["key"].startswith(prefix) and not is_muted
        ]
        remaining_s = deadline - time.monotonic()
        if events or remaining_s <= 0:
            return web.json_response({"events": events, "at": state.revision})
        async with state.changed:
            try:
                await asyncio.wait_for(state.changed.wait(), remaining_s)
            except TimeoutError:
                continue


async def _apply_transaction(request: web.Request) -> web.Response:
    """Apply the writes if all expected revisions match, else return 412."""
    state: PlatformStore = request.app["state"]
    body = await request.json()
    keys = [entry["key"] for entry in body.get("puts", ())] + list(body.get("remove", ()))
    if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
        return web.json_response({}, status=403)
    expected = body.get("expectedRevision", ())
    conditions_hold = all(
        state.items.get(condition["key"], {}).get("revision", 0) == condition["revision"]
        for condition in expected
    )
    if not conditions_hold:
        items = [
            state.items[condition["key"]]
            for condition in expected
            if condition["key"] in state.items
        ]
        return web.json_response({"items": items}, status=412)
    leases = [entry.get("lease", 0) for entry in body.get("puts", ())]
    if any(lease and lease not in state.leases for lease in leases):
        return web.json_response({}, status=404)
    for entry, lease in zip(body.get("puts", ()), leases, strict=True):
        state.put(entry["key"], entry["value"], lease)
    for key in body.get("remove", ()):
        state.remove(key)
    await state.notify()
    return web.json_response({"revision": state.revision})


_lease_ids = itertools.count(77001)


async def _grant_lease(request: web.Request) -> web.Response:
    """Grant a lease."""
    state: PlatformStore = request.app["state"]
    ttl_ms = (await request.json())["ttlMs"]
    lease = next(_lease_ids)
    state.leases[lease] = [time.monotonic() + ttl_ms / 1000, ttl_ms]
    return web.json_response({"lease": lease, "ttlMs": ttl_ms})


async def _keep_alive(request: web.Request) -> web.Response:
    """Renew a lease, or return 404."""
    state: PlatformStore = request.app["state"]
    lease = int(request.match_info["id"])
    if lease not in state.leases:
        return web.json_response({}, status=404)
    ttl_ms = state.leases[lease][1]
    state.leases[lease][0] = time.monotonic() + ttl_ms / 1000
    return web.json_response({"ttlMs": ttl_ms})


async def _end_lease(request: web.Request) -> web.Response:
    """End a lease, or return 404."""
    state: PlatformStore = request.app["state"]
    existed = state.end_lease(int(request.match_info["id"]))
    await state.notify()
    return web.json_response({}, status=200 if existed else 404)


async def _admin_put(request: web.Request) -> web.Response:
    """Write an item as an operator or an upstream does; the value null removes it."""
    state: PlatformStore = request.app["state"]
    body = await request.json()
    if body["value"] is None:
        state.remove(body["key"])
    else:
        text = body["value"] if type(body["value"]) is str else json.dumps(body["value"])
        state.put(body["key"], base64.b64encode(text.encode()).decode())
    await state.notify()
    return web.json_response({"revision": state.revision})


async def _admin_compact(request: web.Request) -> web.Response:
    """Delete the history, so that watches from before it are refused."""
    state: PlatformStore = request.app["state"]
    state.compacted_revision = state.revision
    state.history.clear()
    await state.notify()
    return web.json_response({})


async def _admin_keep_copy(request: web.Request) -> web.Response:
    """Keep a copy of the store."""
    request.app["state"].keep_copy()
    return web.json_response({})


async def _admin_restore(request: web.Request) -> web.Response:
    """Restore the copy that was kept."""
    request.app["state"].restore()
    await request.app["state"].notify()
    return web.json_response({})


async def _admin_items(request: web.Request) -> web.Response:
    """Return all items."""
    return web.json_response(request.app["state"].items)


async def _admin_calls(request: web.Request) -> web.Response:
    """Return the number of calls by path."""
    return web.json_response(request.app["state"].calls)
