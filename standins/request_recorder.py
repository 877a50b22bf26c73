"""Keeps all that a stand-in received, so that tests can search it for keys."""

from __future__ import annotations

from aiohttp import web

MAX_REQUESTS = 10000


class RequestRecorder:
    """Requests as text, headers and body."""

    __slots__ = ("texts",)

    def __init__(self) -> None:
        self.texts: list[str] = []

    def record(self, request: web.Request, body: str) -> None:
        """Keep a request."""
        headers = "\n".join(f"{name}: {value}" for name, value in request.headers.items())
        self.texts.append(f"{request.method} {request.path_qs}\n{headers}\n\n{body}")
        del self.texts[:-MAX_REQUESTS]

    async def handle(self, request: web.Request) -> web.Response:
        """Return all that was received."""
        return web.json_response(self.texts)
