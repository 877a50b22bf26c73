"""What controllers ask the tasks to do, and the replies they get back."""

from __future__ import annotations

import typing

from yuccahitch import errors, events, records
from yuccahitch.messages import peers, store


class StoreCall(records.Record):
    """Call the store.

    Attributes:
        call: The call.
        purpose: Typed reason; the reply comes back with it.
    """

    __slots__ = ("call", "purpose")

    def __init__(self, call: store.Call, purpose: typing.Any) -> None:
        self.call = call
        self.purpose = purpose


class StoreReply(records.Record):
    """The store's reply to a call."""

    __slots__ = ("purpose", "reply", "sent_at")

    def __init__(self, *, purpose: typing.Any, reply: store.Reply, sent_at: float) -> None:
        self.purpose = purpose
        self.reply = reply
        self.sent_at = sent_at


class PeerCall(records.Record):
    """Send a message to a peer.

    Attributes:
        instance: Id of the peer, or empty when only the address is known.
        address: Its peer address, ``IP:PORT``.
        body: The message.
        purpose: Typed reason; the reply comes back with it.
    """

    __slots__ = ("instance", "address", "body", "purpose")

    def __init__(
        self, *, instance: str, address: str, body: peers.Body, purpose: typing.Any = None
    ) -> None:
        self.instance = instance
        self.address = address
        self.body = body
        self.purpose = purpose


class PeerReply(records.Record):
    """A peer's reply; the body is None when it failed."""

    __slots__ = ("call", "body", "error", "sent_at")

    def __init__(
        self,
        *,
        call: PeerCall,
        body: peers.Body | None,
        error: errors.GatewayError | None,
        sent_at: float,
    ) -> None:
        self.call = call
        self.body = body
        self.error = error
        self.sent_at = sent_at


class WakeRequest(records.Record):
    """Resume a waiting request with a reply."""

    __slots__ = ("request_id", "reply")

    def __init__(self, request_id: str, reply: typing.Any) -> None:
        self.request_id = request_id
        self.reply = reply


class WaitGranted(records.Record):
    """What the request waited for is there."""

    __slots__ = ()


class WaitDenied(records.Record):
    """What the request waited for can't be had."""

    __slots__ = ("error",)

    def __init__(self, error: errors.GatewayError) -> None:
        self.error = error


class LogEvent(records.Record):
    """Write an event."""

    __slots__ = ("event", "fields")

    def __init__(self, event: events.Event, **fields: typing.Any) -> None:
        self.event = event
        self.fields = fields


class WatchStore(records.Record):
    """Begin or end watching a prefix of the store."""

    __slots__ = ("prefix", "revision", "active")

    def __init__(self, *, prefix: str, revision: int, active: bool) -> None:
        self.prefix = prefix
        self.revision = revision
        self.active = active


class SendOrder(records.Record):
    """Send an order to an engine.

    Attributes:
        order: The order; the answer comes back with it.
        address: Base URL of the engine.
        fence: Its fencing number.
        body: The order as JSON.
        timeout_s: Longest time that it takes, in seconds.
    """

    __slots__ = ("order", "address", "fence", "body", "timeout_s")

    def __init__(
        self, *, order: typing.Any, address: str, fence: int, body: bytes, timeout_s: float
    ) -> None:
        self.order = order
        self.address = address
        self.fence = fence
        self.body = body
        self.timeout_s = timeout_s


class OrderReply(records.Record):
    """An engine's answer to an order; the error is None when it was carried out."""

    __slots__ = ("order", "error")

    def __init__(self, order: typing.Any, error: errors.GatewayError | None) -> None:
        self.order = order
        self.error = error


Command = StoreCall | PeerCall | WakeRequest | LogEvent | WatchStore | SendOrder
