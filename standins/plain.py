"""Stand-in for a plain service, such as flood orders, that counts the runs of each request."""

from __future__ import annotations

import asyncio

from aiohttp import web

from standins import faults, long_answers, request_recorder


def application(name: str = "plain") -> web.Application:
    """Return the service; ``GET /runs`` returns the runs by method, path and body."""
    switches = faults.FaultSwitches(
        {
            "delay_s": 0.0,
            "crash_before": 0,
            "crash_after": 0,
            "hang_up_late": 0,
            "status": 200,
            "answer_bytes": 0,
        }
    )
    app = faults.application(switches)
    recorder = request_recorder.RequestRecorder()
    runs: dict[str, int] = {}

    async def run(request: web.Request) -> web.Response:
        body = await request.text()
        recorder.record(request, body)
        if switches.consume("crash_before"):
            request.transport.abort()
            raise ConnectionResetError("connection aborted by a fault switch")
        await asyncio.sleep(switches["delay_s"])
        request_key = f"{request.method} {request.path} {body}"
        runs[request_key] = runs.get(request_key, 0) + 1
        if switches.consume("crash_after"):
            request.transport.abort()
            raise ConnectionResetError("connection aborted by a fault switch")
        if switches["answer_bytes"]:
            return await long_answers.send(request, {}, switches["answer_bytes"])
        reply = {"service": name, "run": runs[request_key], "total": sum(runs.values())}
        return web.json_response(reply, status=switches["status"])

    async def list_runs(request: web.Request) -> web.Response:
        return web.json_response(runs)

    app.router.add_get("/runs", list_runs)
    app.router.add_get("/seen", recorder.handle)
    app.router.add_route("*", "/{path:.*}", run)
    return app
