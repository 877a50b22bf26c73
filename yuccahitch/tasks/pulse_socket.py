"""The UDP socket for reports between the instances of a platform."""

from __future__ import annotations

import asyncio
import typing

from yuccahitch import events
from yuccahitch.codecs import datagrams
from yuccahitch.messages import pulses
from yuccahitch.tasks import core_messages, mailbox


class PulseSocket(asyncio.DatagramProtocol):
    """Owns the UDP socket that sends and receives reports.

    Args:
        core_inbox: Mailbox of the core task, which gets each received report.
        log: Event log.

    Attributes:
        inbox: Messages for this task, ``pulses.SendDatagram``.
        transport: The open socket, or None before ``start``.
    """

    __slots__ = ("core_inbox", "log", "inbox", "transport")

    def __init__(self, *, core_inbox: mailbox.Mailbox, log: events.Log) -> None:
        self.core_inbox = core_inbox
        self.log = log
        self.inbox = mailbox.Mailbox()
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Open the socket on a host and port."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    async def run(self) -> None:
        """Send the reports of the inbox; close the socket when cancelled."""
        try:
            while True:
                self._send(await self.inbox.get())
        finally:
            if self.transport is not None:
                self.transport.close()

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Decode a received report and post it to the core; log one that is invalid."""
        try:
            self.core_inbox.post(core_messages.ReportReceived(datagrams.decode(data)))
        except ValueError as error:
            self.log.write(events.Event.PEER_GARBAGE, peer=str(addr), detail=str(error))

    def error_received(self, error: OSError) -> None:
        """Log that a report could not be sent."""
        self.log.write(events.Event.PULSE_FAILED, detail=str(error))

    def _send(self, message: pulses.SendDatagram) -> None:
        """Send one report to each of its addresses, ``IP:PORT``; log one that can't be encoded."""
        try:
            data = datagrams.encode(message.report)
        except (ValueError, TypeError) as error:
            self.log.write(events.Event.PULSE_FAILED, detail=str(error))
            return
        for address in message.addresses:
            host, _, port = address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))
