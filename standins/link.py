"""Stand-in for a wide-area link: relays TCP between two loopback addresses.

The switches delay, narrow, cut and mute each direction; the relay's own port is in the options.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from aiohttp import web

from standins import faults

PIECE_BYTES = 65536


class Link:
    """One relay with its switches.

    Args:
        listen: Address that it listens on, ``IP:PORT``.
        target: Address that it connects to, ``IP:PORT``.
    """

    __slots__ = ("listen", "target", "faults", "server", "writers", "bytes_sent")

    def __init__(self, listen: str, target: str, *, delay_s: float, bytes_per_s: float) -> None:
        self.listen = listen
        self.target = target
        self.faults = faults.Faults(
            {
                "delay_s": delay_s,
                "bytes_per_s": bytes_per_s,
                "cut": False,
                "lose_forth": False,
                "lose_back": False,
            }
        )
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.bytes_sent = 0

    async def run(self, app: web.Application) -> typing.AsyncIterator[None]:
        """Relay while the application runs."""
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))
        yield
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection in both directions."""
        if self.faults["cut"]:
            writer.transport.abort()
            return
        await asyncio.sleep(self.faults["delay_s"])
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self.pump(reader, far_writer, "lose_forth"),
                self.pump(far_reader, writer, "lose_back"),
            )
        except asyncio.CancelledError:
            return
        finally:
            self.writers -= pair
            for end in pair:
                end.transport.abort()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lose: str
    ) -> None:
        """Relay one direction: each piece arrives after the delay, at the link's rate."""
        loop = asyncio.get_running_loop()
        line: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(256)

        async def deliver() -> None:
            while True:
                due, data = await line.get()
                await asyncio.sleep(due - loop.time())
                if not data:
                    with contextlib.suppress(OSError):
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()

        task = asyncio.create_task(deliver())
        try:
            while data := await reader.read(PIECE_BYTES):
                while self.faults["cut"] or self.faults[lose]:
                    await asyncio.sleep(0.05)
                self.bytes_sent += len(data)
                if self.faults["bytes_per_s"]:
                    await asyncio.sleep(len(data) / self.faults["bytes_per_s"])
                await line.put((loop.time() + self.faults["delay_s"], data))
            await line.put((loop.time() + self.faults["delay_s"], b""))
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
    app.cleanup_ctx.append(link.run)

    async def stats(request: web.Request) -> web.Response:
        return web.json_response({"bytes": link.bytes_sent})

    app.router.add_get("/stats", stats)
    return app
