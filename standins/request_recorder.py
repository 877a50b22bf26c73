"""Records the requests that a stand-in received, so that tests can search them for API keys."""

from __future__ import annotations

from aiohttp import web

MAX_REQUESTS = 10000


class RequestRecorder:
    """The latest requests as text, at most ``MAX_REQUESTS``.

    Attributes:
        texts: Request line, headers and body of each request, oldest first.
    """

    __slots__ = ("texts",)

    def __init__(self) -> None:
        self.texts: list[str] = []

    def record(self, request: web.Request, body: str) -> None:
        """Record a request with its body, dropping the oldest one when full."""
        headers = "\n".join(f"{name}: {value}" for name, value in request.headers.items())
        self.texts.append(f"{request.method} {request.path_qs}\n{headers}\n\n{body}")
        del self.texts[:-MAX_REQUESTS]

    async def handle(self, request: web.Request) -> web.Response:
        """Serve the recorded requests as a JSON list."""
        return web.json_response(self.texts)
