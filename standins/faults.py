"""Fault switches of a stand-in, set over HTTP."""

from __future__ import annotations

import typing

from aiohttp import web


class FaultSwitches:
    """Named fault switches with their values.

    Args:
        defaults: Value of each switch without a fault, by name.

    Attributes:
        values: Current value of each switch, by name.
    """

    __slots__ = ("defaults", "values")

    def __init__(self, defaults: dict[str, typing.Any]) -> None:
        self.defaults = defaults
        self.values = dict(defaults)

    def __getitem__(self, name: str) -> typing.Any:
        return self.values[name]

    def consume(self, name: str) -> bool:
        """Decrement a switch that counts faults to come; return False if none were left."""
        if self.values[name] <= 0:
            return False
        self.values[name] -= 1
        return True

    async def handle(self, request: web.Request) -> web.Response:
        """Set the switches in the JSON body and return all; an empty object resets them.

        An unknown switch is refused with status 400.
        """
        requested = await request.json()
        unknown = sorted(set(requested) - set(self.defaults))
        if unknown:
            return web.json_response({"unknown": unknown}, status=400)
        self.values.update(requested if requested else self.defaults)
        return web.json_response(self.values)


def application(faults: FaultSwitches) -> web.Application:
    """Return an application with the route that sets the fault switches."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/faults", faults.handle)
    return app
