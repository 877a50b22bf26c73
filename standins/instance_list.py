"""Stand-in for the platform's list of live and leaving instances, which lags behind changes."""

from __future__ import annotations

import time

from aiohttp import web

from standins import faults


def application() -> web.Application:
    """Return the list; ``PUT`` and ``DELETE`` of ``/instances/NAME`` take effect after the lag.

    The lag is the fault switch ``lag_s``, in seconds.
    """
    switches = faults.FaultSwitches({"down": False, "lag_s": 0.0})
    app = faults.application(switches)
    changes: list[tuple[float, str, dict | None]] = []

    def record_change(name: str, item: dict | None) -> web.Response:
        changes.append((time.monotonic(), name, item))
        return web.json_response({"name": name})

    async def put_instance(request: web.Request) -> web.Response:
        name = request.match_info["name"]
        return record_change(name, await request.json() | {"name": name})

    async def delete_instance(request: web.Request) -> web.Response:
        return record_change(request.match_info["name"], None)

    async def list_instances(request: web.Request) -> web.Response:
        if switches["down"]:
            raise web.HTTPServiceUnavailable
        visible_until = time.monotonic() - switches["lag_s"]
        latest = {name: item for changed_at, name, item in changes if changed_at <= visible_until}
        present = [item for item in latest.values() if item is not None]
        return web.json_response({"instances": present})

    app.router.add_put("/instances/{name}", put_instance)
    app.router.add_delete("/instances/{name}", delete_instance)
    app.router.add_get("/instances", list_instances)
    return app
