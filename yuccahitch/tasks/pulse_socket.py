"""Sends and takes pulses: datagrams between the instances of a platform."""

from __future__ import annotations

import asyncio
import typing

from yuccahitch import events
from yuccahitch.codecs import pulses as codec
from yuccahitch.messages import pulses
from yuccahitch.tasks import core, mailbox


class PulseSocket(asyncio.DatagramProtocol):
    """Owns the socket for pulses.

    Args:
        decisions: Mailbox of the core.
        log: Writes events.
    """

    __slots__ = ("decisions", "log", "inbox", "transport")

    def __init__(self, *, decisions: mailbox.Mailbox, log: events.Log) -> None:
        self.decisions = decisions
        self.log = log
        self.inbox = mailbox.Mailbox()
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    async def run(self) -> None:
        """Send pulses until cancelled."""
        try:
            while True:
                self._send(await self.inbox.get())
        finally:
            if self.transport is not None:
                self.transport.close()

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Pass a pulse on to the core."""
        try:
            self.decisions.post(core.PulseReceived(codec.decode(data)))
        except ValueError as error:
            self.log.write(events.Event.PEER_GARBAGE, peer=str(addr), detail=str(error))

    def error_received(self, error: OSError) -> None:
        """Note that a pulse could not be sent; its receiver will count as silent."""
        self.log.write(events.Event.PULSE_FAILED, detail=str(error))

    def _send(self, message: pulses.SendPulse) -> None:
        data = codec.encode(message.pulse)
        for address in message.addresses:
            host, _, port = address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))
