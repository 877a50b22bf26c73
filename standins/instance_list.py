"""Stand-in for the platform's lagging list of live and leaving instances."""

from __future__ import annotations

import time

from aiohttp import web

from standins import faults


def application() -> web.Application:
    """Return the list; ``PUT`` and ``DELETE`` on ``/instances/NAME`` change it after the lag."""
    switches = faults.Faults({"down": False, "lag_s": 0.0})
    app = faults.application(switches)
    changes: list[tuple[float, str, dict | None]] = []

    def note(name: str, item: dict | None) -> web.Response:
        changes.append((time.monotonic(), name, item))
        return web.json_response({"name": name})

    async def put(request: web.Request) -> web.Response:
        name = request.match_info["name"]
        return note(name, await request.json() | {"name": name})

    async def delete(request: web.Request) -> web.Response:
        return note(request.match_info["name"], None)

    async def read(request: web.Request) -> web.Response:
        if switches["down"]:
            raise web.HTTPServiceUnavailable
        seen_until = time.monotonic() - switches["lag_s"]
        newest = {name: item for at, name, item in changes if at <= seen_until}
        listed = [item for item in newest.values() if item is not None]
        return web.json_response({"instances": listed})

    app.router.add_put("/instances/{name}", put)
    app.router.add_delete("/instances/{name}", delete)
    app.router.add_get("/instances", read)
    return app
