"""Entries of the platform's client directory."""

from __future__ import annotations

from yuccahitch import records


class Client(records.Record):
    """A client listed in the directory.

    Attributes:
        name: Name in the directory.
        closed: Whether the client's account is closed, so that its requests are refused.
        home: Region that the client's data must stay in, or empty.
    """

    __slots__ = ("name", "closed", "home")

    def __init__(self, *, name: str, closed: bool = False, home: str = "") -> None:
        self.name = name
        self.closed = closed
        self.home = home
