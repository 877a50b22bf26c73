"""Messages that other tasks post to the core."""

from __future__ import annotations

import typing

from yuccahitch import records
from yuccahitch.controllers.instance import gateway
from yuccahitch.messages import feeds, peers, pulses


class ReportReceived(records.Record):
    """Apply a report received from another instance as a datagram.

    Attributes:
        report: The report.
    """

    __slots__ = ("report",)

    def __init__(self, report: pulses.Pulse | feeds.FeedReport) -> None:
        self.report = report


class Tick(records.Record):
    """Run the periodic work of the decision logic; posted at a fixed interval."""

    __slots__ = ()


class PeerMessage(records.Record):
    """Process a message of a peer; the reply is the message to return to it.

    Attributes:
        body: The message.
        sender: Id of the peer.
    """

    __slots__ = ("body", "sender")

    def __init__(self, body: peers.Body, sender: str) -> None:
        self.body = body
        self.sender = sender


class LoadReported(records.Record):
    """Record a load report of an upstream, read from the upstream or from the instance list.

    Attributes:
        load: The load report.
    """

    __slots__ = ("load",)

    def __init__(self, load: peers.LoadReport) -> None:
        self.load = load


class SeedsDiscovered(records.Record):
    """Add instances named by the instance list to the seeds.

    Attributes:
        addresses: Peer addresses of the instances, ``IP:PORT``.
    """

    __slots__ = ("addresses",)

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses


class ClientDirectoryRead(records.Record):
    """Merge the entries read from the client directory into the configuration.

    Attributes:
        entries: The entries.
    """

    __slots__ = ("entries",)

    def __init__(self, entries: list[typing.Any]) -> None:
        self.entries = entries


class EntriesUnreadable(records.Record):
    """Log the entries of a list of the platform that can't be read.

    Attributes:
        source: Name of the list.
        details: What is wrong with each entry.
    """

    __slots__ = ("source", "details")

    def __init__(self, source: str, details: list[str]) -> None:
        self.source = source
        self.details = details


class WatchEventReceived(records.Record):
    """Process an event of a watch on the store.

    Attributes:
        event: The changed keys, or the loss of the watch.
    """

    __slots__ = ("event",)

    def __init__(self, event: typing.Any) -> None:
        self.event = event


class Query(records.Record):
    """Read from the decision logic; the reply is sent at once.

    Attributes:
        read: Called with the decision logic; returns the reply and must not change anything.
    """

    __slots__ = ("read",)

    def __init__(self, read: typing.Callable[[gateway.Gateway], typing.Any]) -> None:
        self.read = read


class ReleaseInstance(records.Record):
    """Record an operator's statement that an instance is dead; the reply is whether it was stored.

    Attributes:
        instance: Id of the dead instance.
        ticket: Id of the operator's call, which brings the reply back to it.
    """

    __slots__ = ("instance", "ticket")

    def __init__(self, instance: str, ticket: str) -> None:
        self.instance = instance
        self.ticket = ticket


class BeginDrain(records.Record):
    """Begin the graceful shutdown."""

    __slots__ = ()
