"""Stand-in for an upstream that resets connections beyond a limit, in a thread of its own."""

from __future__ import annotations

import re
import select
import socket
import struct
import threading

HOST = "127.0.0.1"
# Value of SO_LINGER by which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ID_HEADER = re.compile(rb"(?i)x-request-id: (\S+)")
EXPECTED_HEADER = re.compile(rb"(?i)x-expected-instance: (\S+)")


class LimitedUpstream:
    """An upstream that answers to one name, and takes one connection at a time.

    Args:
        name: Its id.

    Attributes:
        listener: Socket that it listens on.
        connection: The open connection, or None.
        reset_count: Number of connections that it reset.
    """

    __slots__ = ("name", "listener", "connection", "reset_count")

    def __init__(self, name: str) -> None:
        self.name = name.encode()
        self.listener = socket.create_server((HOST, 0))
        self.connection: socket.socket | None = None
        self.reset_count = 0

    @property
    def address(self) -> str:
        """Return the address that it listens at."""
        return f"{HOST}:{self.listener.getsockname()[1]}"

    def start(self) -> None:
        """Serve until no request comes for a second."""
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while readable := self._readable(1.0):
            if self.connection in readable:
                self._answer(self.connection.recv(65_536))
            if self.listener in readable:
                self._accept()

    def _readable(self, timeout_s: float) -> list[socket.socket]:
        sockets = [each for each in (self.listener, self.connection) if each is not None]
        return select.select(sockets, [], [], timeout_s)[0]

    def _answer(self, data: bytes) -> None:
        """Answer a request; an end closes the connection."""
        if not data:
            self.connection.close()
            self.connection = None
            return
        expected = EXPECTED_HEADER.search(data).group(1)
        head = b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
        if expected != self.name:
            head = b"HTTP/1.1 421 Misdirected Request\r\n"
        request_id = ID_HEADER.search(data).group(1)
        self.connection.sendall(
            head + b"X-Request-Id: " + request_id + b"\r\nContent-Length: 0\r\n\r\n"
        )

    def _accept(self) -> None:
        """Accept a connection; reset it if the one before has not ended."""
        accepted, _ = self.listener.accept()
        if self.connection in self._readable(0.0):
            self._answer(self.connection.recv(65_536))
        if self.connection is None:
            self.connection = accepted
            return
        self.reset_count += 1
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        accepted.close()
