"""Entries of the platform's client directory."""

from __future__ import annotations

from yuccahitch import records


class Client(records.Record):
    """A client as the directory knows it.

    Attributes:
        name: Name in the directory.
        closed: Whether the client is no longer served.
        home: Region that the client's data is bound to, or empty.
    """

    __slots__ = ("name", "closed", "home")

    def __init__(self, *, name: str, closed: bool = False, home: str = "") -> None:
        self.name = name
        self.closed = closed
        self.home = home
