"""Connections from instances to upstreams in virtual time.

A connection leads to one start of an upstream and breaks with it. A new one is asked for that
start before it carries a stream.
"""

from __future__ import annotations

import typing


class Connection:
    """A connection to one start of an upstream.

    Attributes:
        upstream: The upstream, of ``version_streams``.
        born_ms: Its start, in virtual milliseconds.
    """

    __slots__ = ("upstream", "born_ms")

    def __init__(self, upstream: typing.Any) -> None:
        self.upstream = upstream
        self.born_ms = upstream.born_ms

    def is_broken(self) -> bool:
        """Return whether the upstream has ended since; it may have started again."""
        return not self.upstream.is_up or self.upstream.born_ms != self.born_ms


class Pools:
    """The idle connections of all instances, by instance and id of the upstream."""

    __slots__ = ("idle",)

    def __init__(self) -> None:
        self.idle: dict[tuple[str, str], list[Connection]] = {}

    def take(self, instance: str, work: typing.Any) -> Connection | None:
        """Return an idle connection that may carry a dispatch, or None."""
        pool = self.idle.get((instance, work.upstream), [])
        pool[:] = [connection for connection in pool if not connection.is_broken()]
        for connection in pool:
            if work.required_start.admits(connection.born_ms):
                pool.remove(connection)
                return connection
        return None

    def put_back(self, instance: str, connection: Connection) -> None:
        """Keep a connection whose last answer was read to its end."""
        self.idle.setdefault((instance, connection.upstream.name), []).append(connection)

    def drop(self, instance: str) -> None:
        """Close the idle connections of an instance."""
        for key in [key for key in self.idle if key[0] == instance]:
            del self.idle[key]
