"""The report of an upstream on its state, in good order or not."""

from __future__ import annotations

import asyncio
import typing

from aiohttp import web

from standins import faults

PATH = "/api/report"
SOUND = "sound"
SLOW_S = 0.2
# What an upstream answers instead of its report, by manner; the connection closes after it.
RAW_ANSWERS = {"garbage": b"\x00\x01 no answer\r\n\r\n", "an end": b""}
# Reports that lack the start, by manner.
ODD_REPORTS: dict[str, typing.Any] = {
    "no start": {"running": 0},
    "start 0": {"born": 0},
    "a start of text": {"born": "1"},
    "a list": [1],
}
STATUSES = {"404": 404, "503": 503, "copied 503": 503}


class UpstreamReport:
    """The report of one start of an upstream.

    Args:
        born_ms: Its start, in milliseconds since the Unix epoch.

    Attributes:
        switches: ``born`` and the ``manner`` in which the report is answered: sound, slow, last
            (with the end of the connection), named (with the id of a request), copied (a second
            answer comes later) or one of those above. Set over HTTP, too.
        asked: Counts how often it was asked for.
    """

    __slots__ = ("switches", "asked")

    def __init__(self, born_ms: int) -> None:
        self.switches = faults.FaultSwitches({"born": born_ms, "manner": SOUND})
        self.asked = 0

    def add_to(self, app: web.Application) -> None:
        """Add the report, and a route that sets the switches, to an application."""
        app.router.add_get(PATH, self._answer)
        app.router.add_post("/report-switches", self.switches.handle)

    async def _answer(self, request: web.Request) -> web.Response:
        """Answer with the report in the manner that is set."""
        self.asked += 1
        manner = self.switches["manner"]
        if manner == "silence":
            await asyncio.sleep(60)
        if manner == "slow":
            await asyncio.sleep(SLOW_S)
        if manner in RAW_ANSWERS:
            request.transport.write(RAW_ANSWERS[manner])
            request.transport.close()
            raise ConnectionResetError
        sound = {"running": 0, "born": self.switches["born"]}
        response = web.json_response(
            ODD_REPORTS.get(manner, sound), status=STATUSES.get(manner, 200)
        )
        if manner == "named":
            response.headers["X-Request-Id"] = "another"
        if manner == "last":
            response.force_close()
        if manner.startswith("copied"):
            _write_again(request, response)
        return response


def _write_again(request: web.Request, response: web.Response) -> None:
    """Let a copy of an answer follow while the next request runs."""
    head = f"HTTP/1.1 {response.status} Again\r\nContent-Length: {len(response.body)}\r\n\r\n"
    loop = asyncio.get_running_loop()
    loop.call_later(0.05, request.transport.write, head.encode() + bytes(response.body))
