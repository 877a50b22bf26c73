"""Switches for faults, set over HTTP."""

from __future__ import annotations

import typing

from aiohttp import web


class FaultSwitches:
    """Named switches with their values.

    Args:
        defaults: Each switch with its value when nothing is wrong.
    """

    __slots__ = ("defaults", "values")

    def __init__(self, defaults: dict[str, typing.Any]) -> None:
        self.defaults = defaults
        self.values = dict(defaults)

    def __getitem__(self, name: str) -> typing.Any:
        return self.values[name]

    def consume(self, name: str) -> bool:
        """Use up one of a counted switch; return whether there was one."""
        if self.values[name] <= 0:
            return False
        self.values[name] -= 1
        return True

    async def handle(self, request: web.Request) -> web.Response:
        """Set the switches that the body names; an empty object resets all."""
        requested = await request.json()
        unknown = sorted(set(requested) - set(self.defaults))
        if unknown:
            return web.json_response({"unknown": unknown}, status=400)
        self.values.update(requested if requested else self.defaults)
        return web.json_response(self.values)


def application(faults: FaultSwitches) -> web.Application:
    """Return an application with the route for faults."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/faults", faults.handle)
    return app
