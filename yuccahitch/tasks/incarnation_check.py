"""Asks an upstream which of its starts is at the other end of a connection.

An upstream may start again under its name and at its address with other software while its former
entry is still known. Its answers don't tell, but its report says when it started, and a connection
never leads from one start to another.
"""

from __future__ import annotations

import asyncio

import h11

from yuccahitch.messages import actions, upstream_notices
from yuccahitch.platform import requests as platform_requests
from yuccahitch.platform import upstreams
from yuccahitch.tasks import replica_connection

# Time for the report, in seconds; an upstream that is silent for longer is as one that can't be
# reached.
TIMEOUT_S = 0.5
# Size up to which a report is read.
MAX_REPORT_BYTES = 262_144
# Interim responses (1xx) that are read before a report.
MAX_INTERIM_RESPONSES = 8


class StartError(Exception):
    """The connection leads to no start of the upstream that may get the request.

    Attributes:
        is_other: Whether it leads to another start; otherwise that can't be told.
    """

    __slots__ = ("is_other",)

    def __init__(self, detail: str, *, is_other: bool) -> None:
        super().__init__(detail)
        self.is_other = is_other


async def check(
    connection: replica_connection.Connection, action: actions.Dispatch
) -> upstream_notices.UpstreamNotice:
    """Ask for the start at the other end of a connection, and keep it with the connection.

    Args:
        connection: A connection on which no answer is due.
        action: A request with the start that it is bound to.

    Returns:
        What the report says of the upstream.

    Raises:
        OSError: When the connection breaks before the end of the report, or the answer on a reused
            connection may be to another request.
        h11.RemoteProtocolError: When the report is not valid HTTP.
        TimeoutError: When the report takes longer than TIMEOUT_S.
        StartError: When the request may not go to what is at the other end.
    """
    async with asyncio.timeout(TIMEOUT_S):
        head, body = await _read_report(connection, action.address)
    born_ms = upstreams.decode_report(head.status, body)
    if connection.has_carried() and (
        not born_ms or platform_requests.echoed_request_id(head.headers)
    ):
        raise ConnectionResetError("an answer on a reused connection is no report")
    connection.born_ms = born_ms
    if action.required_start.is_other(born_ms):
        raise StartError(f"the upstream has started again, at {born_ms}", is_other=True)
    if not action.required_start.admits(born_ms):
        raise StartError("the upstream doesn't tell when it started", is_other=False)
    if not upstreams.is_report(head.status):
        connection.record_unnamed()
    return upstream_notices.UpstreamNotice(
        action.upstream,
        incarnation=action.incarnation,
        memory=upstreams.decode_memory(head.status, body),
    )


async def _read_report(
    connection: replica_connection.Connection, address: str
) -> tuple[replica_connection.ResponseHead, bytes]:
    """Ask for the report of an upstream; return its head and body."""
    request = h11.Request(
        method="GET", target=upstreams.REPORT_PATH, headers=upstreams.report_headers(address)
    )
    connection.send_unnamed(request)
    head = await _read_head(connection)
    body = bytearray()
    while type(part := await connection.next_event()) is h11.Data:
        body += part.data
        if len(body) > MAX_REPORT_BYTES:
            raise ConnectionResetError("the report is too long")
    if type(part) is not h11.EndOfMessage:
        raise ConnectionResetError("the connection closed inside the report")
    return head, bytes(body)


async def _read_head(connection: replica_connection.Connection) -> replica_connection.ResponseHead:
    """Return the head of the answer that begins."""
    for _ in range(MAX_INTERIM_RESPONSES + 1):
        event = await connection.next_event()
        if type(event) is h11.Response:
            return replica_connection.ResponseHead(event)
        if type(event) is not h11.InformationalResponse:
            break
    raise ConnectionResetError("no report came")
