"""Errors as HTTP responses, for the servers of callers and operators."""

from __future__ import annotations

from aiohttp import web

from yuccahitch import errors
from yuccahitch.codecs import callers


def error_response(error: errors.GatewayError) -> web.Response:
    """Return the response for an error that arose before a request had an id."""
    return web.Response(
        status=error.code.status,
        body=callers.error_body(error, request_id=""),
        headers=callers.error_headers(error, request_id=""),
    )
