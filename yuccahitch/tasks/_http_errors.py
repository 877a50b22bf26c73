"""HTTP responses for errors, used by the servers for callers and operators."""

from __future__ import annotations

from aiohttp import web

from yuccahitch import errors
from yuccahitch.codecs import callers


def error_response(error: errors.GatewayError) -> web.Response:
    """Return the response for an error of a request that has no id yet."""
    return web.Response(
        status=error.code.status,
        body=callers.encode_error_body(error, request_id=""),
        headers=callers.encode_error_headers(error, request_id=""),
    )
