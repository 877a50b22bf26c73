"""Stand-in for the platform's client directory."""

from __future__ import annotations

from aiohttp import web

from standins import faults


def application() -> web.Application:
    """Return the directory; ``PUT /clients/NAME`` with ``closed`` and ``home`` sets a client."""
    switches = faults.FaultSwitches({"down": False})
    app = faults.application(switches)
    clients: dict[str, dict] = {}
    revisions = iter(range(1, 10**9))

    async def put_client(request: web.Request) -> web.Response:
        name = request.match_info["name"]
        fields = await request.json()
        clients[name] = {"name": name, "revision": next(revisions)} | fields
        return web.json_response(clients[name])

    async def list_clients(request: web.Request) -> web.Response:
        if switches["down"]:
            raise web.HTTPServiceUnavailable
        return web.json_response({"clients": list(clients.values())})

    app.router.add_put("/clients/{name}", put_client)
    app.router.add_get("/clients", list_clients)
    return app
