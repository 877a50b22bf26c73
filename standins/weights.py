"""Stand-in for the platform's store of model weights, with a limited rate of bytes."""

from __future__ import annotations

import asyncio

from aiohttp import web

from standins import faults

CHUNK_BYTES = 65536


def application(bytes_per_s: str = "10000000") -> web.Application:
    """Return the store; ``GET /weights/NAME?bytes=N`` sends N bytes.

    All downloads share the rate, which the fault switch ``bytes_per_s`` changes.
    """
    switches = faults.FaultSwitches({"down": False, "bytes_per_s": int(bytes_per_s)})
    app = faults.application(switches)
    rate_lock = asyncio.Lock()

    async def send_weights(request: web.Request) -> web.StreamResponse:
        if switches["down"]:
            raise web.HTTPServiceUnavailable
        remaining_bytes = int(request.query.get("bytes", "1000000"))
        response = web.StreamResponse(headers={"content-length": str(remaining_bytes)})
        await response.prepare(request)
        while remaining_bytes > 0:
            chunk_bytes = min(CHUNK_BYTES, remaining_bytes)
            async with rate_lock:
                await asyncio.sleep(chunk_bytes / switches["bytes_per_s"])
            await response.write(b"\0" * chunk_bytes)
            remaining_bytes -= chunk_bytes
        return response

    app.router.add_get("/weights/{name}", send_weights)
    return app
