"""The link between one instance and the store, which can be cut."""

from __future__ import annotations

import asyncio
import time

from lab import site

WATCH_PATH = b"/api/kv-watch"


class StoreLink:
    """Passes bytes between an instance and the store; when cut, it passes nothing and stays silent.

    Args:
        deployment: The deployment.
        instance: The instance whose link it is.
    """

    def __init__(self, deployment: site.Site, instance: site.Instance) -> None:
        self.deployment = deployment
        self.host = deployment.new_host()
        self.port = site.free_ports(self.host, 1)[0]
        self.is_cut = False
        self.last_watch_at = -1.0
        self.tasks: set[asyncio.Task[None]] = set()
        instance.store_address = f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._connect, self.host, self.port)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.deployment.store_address.rpartition(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._pass_on(reader, store_writer, is_call=True),
            self._pass_on(store_reader, writer, is_call=False),
        )

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_call: bool
    ) -> None:
        try:
            while data := await reader.read(65536):
                if is_call and WATCH_PATH in data:
                    self.last_watch_at = time.monotonic()
                while self.is_cut:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
