"""Commands from controllers to tasks, and the replies to them."""

from __future__ import annotations

import typing

from yuccahitch import errors, events, records
from yuccahitch.messages import peers, store


class StoreCall(records.Record):
    """Call the store.

    Attributes:
        call: The call.
        purpose: Typed tag that routes the reply to its handler.
    """

    __slots__ = ("call", "purpose")

    def __init__(self, call: store.Call, purpose: typing.Any) -> None:
        self.call = call
        self.purpose = purpose


class StoreReply(records.Record):
    """The store's reply to a call.

    Attributes:
        purpose: Purpose of the call.
        reply: The reply, or the failure of the call.
        sent_at: Time at which the call was sent, in monotonic seconds.
        era: Era of the store that replied, or None if the reply names none.
    """

    __slots__ = ("purpose", "reply", "sent_at", "era")

    def __init__(
        self,
        *,
        purpose: typing.Any,
        reply: store.Reply,
        sent_at: float,
        era: int | None = None,
    ) -> None:
        self.purpose = purpose
        self.reply = reply
        self.sent_at = sent_at
        self.era = era


class PeerCall(records.Record):
    """Send a message to a peer.

    Attributes:
        instance: Id of the peer, or empty when only the address is known.
        address: Peer address of the receiver, ``IP:PORT``.
        body: The message.
        purpose: Typed tag that routes the reply to its handler; None if no reply is handled.
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
    """A peer's reply to a call.

    Attributes:
        call: The call that is answered.
        body: The reply, or None if the call failed.
        error: Cause of the failure, or None.
        sent_at: Time at which the call was sent, in monotonic seconds.
    """

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
    """Resume a waiting request with the result of its wait.

    Attributes:
        request_id: Id of the request, or the ticket of an operator's call.
        reply: The result; its type selects the handler in the waiting filter.
    """

    __slots__ = ("request_id", "reply")

    def __init__(self, request_id: str, reply: typing.Any) -> None:
        self.request_id = request_id
        self.reply = reply


class WaitGranted(records.Record):
    """Result of a wait: the request has the tokens or the claim that it waited for."""

    __slots__ = ()


class WaitDenied(records.Record):
    """Result of a wait: the request does not get what it waited for.

    Attributes:
        error: Error that the request is refused with.
    """

    __slots__ = ("error",)

    def __init__(self, error: errors.GatewayError) -> None:
        self.error = error


class LogEvent(records.Record):
    """Write an event to the log.

    Attributes:
        event: The event.
        fields: Log fields by name.
    """

    __slots__ = ("event", "fields")

    def __init__(self, event: events.Event, **fields: typing.Any) -> None:
        self.event = event
        self.fields = fields


class WatchStore(records.Record):
    """Start or stop a watch on a prefix of the store.

    Attributes:
        prefix: Prefix of the watched keys.
        revision: Revision at which the watch starts; the etcd dialect reports changes from this
            revision on, the platform's dialect changes after it.
        active: Whether to start the watch; False stops it.
        era: Era of the store that the revision belongs to, or None if that is not known; the watch
            ends when the store replies from another one.
    """

    __slots__ = ("prefix", "revision", "active", "era")

    def __init__(self, *, prefix: str, revision: int, active: bool, era: int | None = None) -> None:
        self.prefix = prefix
        self.revision = revision
        self.active = active
        self.era = era


class SendOrder(records.Record):
    """Send an order to an engine.

    Attributes:
        order: The order, returned with the reply.
        address: Base URL of the engine.
        fence: Fencing number of the order.
        body: The order as JSON.
        timeout_s: Time after which the call is abandoned, in seconds.
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
    """An engine's reply to an order.

    Attributes:
        order: The order that was sent.
        error: Cause of the failure, or None if the engine carried the order out.
    """

    __slots__ = ("order", "error")

    def __init__(self, order: typing.Any, error: errors.GatewayError | None) -> None:
        self.order = order
        self.error = error


Command = StoreCall | PeerCall | WakeRequest | LogEvent | WatchStore | SendOrder
