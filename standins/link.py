"""Stand-in for a wide-area link: a TCP relay between two loopback addresses.

Its fault switches delay traffic, limit the rate, cut the link, block one direction, or keep the end
of a connection from the other side. The relay listens at the address of the option ``listen``; the
stand-in's own port serves the switches.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from aiohttp import web

from standins import faults

CHUNK_BYTES = 65536


class Link:
    """A TCP relay with its fault switches.

    Args:
        listen: Address that the relay listens on, ``IP:PORT``.
        target: Address that the relay connects to, ``IP:PORT``.
        delay_s: Initial one-way delay in seconds.
        bytes_per_s: Initial rate limit of each direction of a connection, in bytes per second;
            0 means no limit.

    Attributes:
        faults: Fault switches; ``lose_forth`` and ``lose_back`` block the direction to and from
            the target, and ``half_open`` leaves one side of a connection open when the other ends.
        server: The listening socket, or None before the start.
        open_writers: Both ends of each relayed connection.
        relays: Tasks that relay one connection each.
        near_writers: The ends on the side of those who connect to the relay.
        bytes_sent: Bytes relayed in both directions.
    """

    __slots__ = (
        "listen",
        "target",
        "faults",
        "server",
        "open_writers",
        "near_writers",
        "relays",
        "bytes_sent",
    )

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
                "half_open": False,
            }
        )
        self.server: asyncio.Server | None = None
        self.open_writers: set[asyncio.StreamWriter] = set()
        self.near_writers: set[asyncio.StreamWriter] = set()
        self.relays: set[asyncio.Task[None]] = set()
        self.bytes_sent = 0

    async def serve(self, app: web.Application) -> typing.AsyncIterator[None]:
        """Run the relay for the lifetime of the application, then abort its connections."""
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.relay_connection, host, int(port))
        yield
        self.server.close()
        for task in list(self.relays):
            task.cancel()
        for writer in list(self.open_writers):
            writer.transport.abort()

    async def relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection in both directions until it ends; a cut link refuses it."""
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
        self.relays.add(asyncio.current_task())
        self.open_writers |= connection_writers
        self.near_writers.add(writer)
        try:
            await asyncio.gather(
                self.relay_direction(reader, target_writer, "lose_forth"),
                self.relay_direction(target_reader, writer, "lose_back"),
            )
        except asyncio.CancelledError:
            return
        finally:
            self.open_writers -= connection_writers
            self.near_writers.discard(writer)
            self.relays.discard(asyncio.current_task())
            for connection_writer in connection_writers:
                connection_writer.transport.abort()

    async def relay_direction(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, loss_switch: str
    ) -> None:
        """Relay one direction of a connection with the delay and rate of the link.

        While the link is cut or the loss switch is on, data is held back, not dropped.
        """
        loop = asyncio.get_running_loop()
        in_transit: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(256)

        async def deliver() -> None:
            """Write each chunk when its delay has passed; an empty one ends the direction."""
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
            await self._withhold_end()
            await in_transit.put((loop.time() + self.faults["delay_s"], b""))
            await task
        except OSError:
            await self._withhold_end()
            writer.transport.abort()
        finally:
            task.cancel()

    def drop_near(self) -> None:
        """Reset the connections on the side of those who connect to the relay."""
        for writer in list(self.near_writers):
            writer.transport.abort()

    async def _withhold_end(self) -> None:
        """Wait while the end of a connection is kept from the other side."""
        while self.faults["half_open"]:
            await asyncio.sleep(0.05)


def application(
    listen: str, target: str, delay_s: str = "0", bytes_per_s: str = "0"
) -> web.Application:
    """Return the application of a relay; ``GET /stats`` returns the bytes relayed."""
    link = Link(listen, target, delay_s=float(delay_s), bytes_per_s=float(bytes_per_s))
    app = faults.application(link.faults)
    app["state"] = link
    app.cleanup_ctx.append(link.serve)

    async def stats(request: web.Request) -> web.Response:
        return web.json_response({"bytes": link.bytes_sent})

    app.router.add_get("/stats", stats)
    return app
