"""Stand-in for the platform's weight store, which serves a bounded number of bytes a second."""

from __future__ import annotations

import asyncio

from aiohttp import web

from standins import faults

PIECE_BYTES = 65536


def application(bytes_per_s: str = "10000000") -> web.Application:
    """Return the store; ``GET /weights/NAME?bytes=N`` sends N bytes at the shared rate."""
    switches = faults.Faults({"down": False, "bytes_per_s": int(bytes_per_s)})
    app = faults.application(switches)
    line = asyncio.Lock()

    async def read(request: web.Request) -> web.StreamResponse:
        if switches["down"]:
            raise web.HTTPServiceUnavailable
        left = int(request.query.get("bytes", "1000000"))
        response = web.StreamResponse(headers={"content-length": str(left)})
        await response.prepare(request)
        while left > 0:
            piece = min(PIECE_BYTES, left)
            async with line:
                await asyncio.sleep(piece / switches["bytes_per_s"])
            await response.write(b"\0" * piece)
            left -= piece
        return response

    app.router.add_get("/weights/{name}", read)
    return app
