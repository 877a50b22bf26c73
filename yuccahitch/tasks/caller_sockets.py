"""Sockets that listen for callers."""

from __future__ import annotations

import socket

from aiohttp import web

# Connections that the system keeps until they are accepted.
QUEUED_CONNECTIONS = 1024
# Connections that are accepted before those accepted earlier are counted, and closed if too many.
ACCEPTS_PER_TURN = 32


async def listen(
    server_runner: web.BaseRunner, host: str, port: int, *, shutdown_timeout_s: float = 60.0
) -> None:
    """Let a server take connections at an address.

    asyncio has one number for both limits, so the queue is lengthened afterwards.

    Args:
        server_runner: Runs the server.
        host: IP address or host name.
        port: TCP port.
        shutdown_timeout_s: Time that open connections get when the server stops, in seconds.

    Raises:
        OSError: When the address can't be used.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=QUEUED_CONNECTIONS)
    listener.setblocking(False)
    site = web.SockSite(
        server_runner, listener, backlog=ACCEPTS_PER_TURN, shutdown_timeout=shutdown_timeout_s
    )
    await site.start()
    listener.listen(QUEUED_CONNECTIONS)
