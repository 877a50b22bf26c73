"""Stand-in for a wide-area link: relays TCP between two loopback addresses.

The switches delay, narrow, cut and mute each direction; the relay's own port is in the options.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from aiohttp import web

from standins import faults

CHUNK_BYTES = 65536


class Link:
    """One relay with its switches.

    Args:
        listen: Address that it listens on, ``IP:PORT``.
        target: Address that it connects to, ``IP:PORT``.
    """

    __slots__ = ("listen", "target", "faults", "server", "open_writers", "bytes_sent")

    def __init__(self, listen: str, target: str, *, delay_s: float, bytes_per_s: float) -> None:
        self.listen = listen
        self.target = target
        self.faults = faults.FaultSwitches(
            {
                "delay_s": delay_s,
                "bytes_per_s": bytes_per_s,
                "cut": False,
                "lose_forth": False,
                "lose_back": False,
            }
        )
        self.server: asyncio.Server | None = None
        self.open_writers: set[asyncio.StreamWriter] = set()
        self.bytes_sent = 0

    async def serve(self, app: web.Application) -> typing.AsyncIterator[None]:
        """Relay while the application runs."""
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.relay_connection, host, int(port))
        yield
        self.server.close()
        for writer in list(self.open_writers):
            writer.transport.abort()

    async def relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection in both directions."""
        if self.faults["cut"]:
            writer.transport.abort()
            return
        await asyncio.sleep(self.faults["delay_s"])
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection_writers = {writer, target_writer}
        self.open_writers |= connection_writers
        try:
            await asyncio.gather(
                self.relay_direction(reader, target_writer, "lose_forth"),
                self.relay_direction(target_reader, writer, "lose_back"),
            )
        except asyncio.CancelledError:
            return
        finally:
            self.open_writers -= connection_writers
            for connection_writer in connection_writers:
                connection_writer.transport.abort()

    async def relay_direction(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, loss_switch: str
    ) -> None:
        """Relay one direction: each piece arrives after the delay, at the link's rate."""
        loop = asyncio.get_running_loop()
        in_transit: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(256)

        async def deliver() -> None:
            while True:
                delivery_time, chunk = await in_transit.get()
                await asyncio.sleep(delivery_time - loop.time())
                if not chunk:
                    with contextlib.suppress(OSError):
                        writer.write_eof()
                    return
                writer.write(chunk)
                await writer.drain()

        task = asyncio.create_task(deliver())
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                while self.faults["cut"] or self.faults[loss_switch]:
                    await asyncio.sleep(0.05)
                self.bytes_sent += len(chunk)
                if self.faults["bytes_per_s"]:
                    await asyncio.sleep(len(chunk) / self.faults["bytes_per_s"])
                await in_transit.put((loop.time() + self.faults["delay_s"], chunk))
            await in_transit.put((loop.time() + self.faults["delay_s"], b""))
            await task
        except OSError:
            writer.transport.abort()
        finally:
            task.cancel()


def application(
    listen: str, target: str, delay_s: str = "0", bytes_per_s: str = "0"
) -> web.Application:
    """Return a link whose switches are set over HTTP."""
    link = Link(listen, target, delay_s=float(delay_s), bytes_per_s=float(bytes_per_s))
    app = faults.application(link.faults)
    app.cleanup_ctx.append(link.serve)

    async def stats(request: web.Request) -> web.Response:
        return web.json_response({"bytes": link.bytes_sent})

    app.router.add_get("/stats", stats)
    return app
