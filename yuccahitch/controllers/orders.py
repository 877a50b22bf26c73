"""Orders to engines, such as loading a model: never two orderers at work on one engine.

Each order has a fencing number from a compare-and-swap; engines that check it refuse older ones.
For engines that don't, there is one orderer by lease: it stops sending well before its lease
lapses, and a successor waits for the longest order after it.
"""

from __future__ import annotations

import functools
import json
import math
import typing

from yuccahitch import errors, events, records
from yuccahitch.controllers import configuration, session
from yuccahitch.messages import commands, store

STEP = "order"
LOCK_PREFIX = "orderers/"
FENCE_PREFIX = "fences/"
LONGEST_ORDER_S = 60.0
STOP_LEASE_SHARE = 0.3
RETRY_AFTER_S = 2.0


class Order(records.Record):
    """An operator's order on its way.

    Attributes:
        ticket: Identifies the waiting operator.
        upstream: The engine.
        body: The order as JSON.
        fence: Its fencing number, once there is one.
        fence_revision: The store's revision of the number.
        send_at: When it may be sent, in monotonic seconds.
        until: When it is given up if it was not sent.
        free_at: When an order in doubt can't be at work any more.
        generation: The session under which this instance became the only orderer.
    """

    __slots__ = (
        "ticket",
        "upstream",
        "body",
        "fence",
        "fence_revision",
        "send_at",
        "until",
        "free_at",
        "generation",
    )

    def __init__(self, ticket: str, *, upstream: str, body: bytes, until: float) -> None:
        self.ticket = ticket
        self.upstream = upstream
        self.body = body
        self.fence = 0
        self.fence_revision = 0
        self.send_at = math.inf
        self.until = until
        self.free_at = math.inf
        self.generation = 0


class Lock(records.Record):
    """Purpose: become the only orderer of an engine."""

    __slots__ = ("order",)

    def __init__(self, order: Order) -> None:
        self.order = order


class ReadFence(records.Record):
    """Purpose: read the last fencing number and whether its order is over."""

    __slots__ = ("order",)

    def __init__(self, order: Order) -> None:
        self.order = order


class WriteFence(records.Record):
    """Purpose: take the next fencing number."""

    __slots__ = ("order", "fence", "wait")

    def __init__(self, order: Order, *, fence: int, wait: bool) -> None:
        self.order = order
        self.fence = fence
        self.wait = wait


class Close(records.Record):
    """Purpose: note that an order is over and let others order."""

    __slots__ = ("upstream",)

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream


class Given(records.Record):
    """Reply to an operator's order: its fencing number, or the error."""

    __slots__ = ("fence", "error")

    def __init__(self, fence: int, error: errors.GatewayError | None) -> None:
        self.fence = fence
        self.error = error


class Orders:
    """Gives orders, one at a time for each engine.

    Args:
        instance: Id of this instance.
        access: The session in the store.
        config: Holds the catalog.
        longest_s: Longest time that an order takes, in seconds.
    """

    __slots__ = ("instance", "access", "config", "longest_s", "current", "outbox")

    def __init__(
        self,
        instance: str,
        *,
        access: session.Session,
        config: configuration.Configuration,
        longest_s: float = LONGEST_ORDER_S,
    ) -> None:
        self.instance = instance
        self.access = access
        self.config = config
        self.longest_s = longest_s
        self.current: dict[str, Order] = {}
        self.outbox: list[commands.Command] = []

    def give(self, order: Order, now: float) -> None:
        """Begin an order."""
        upstream = self.config.catalog.upstream(order.upstream)
        if upstream is None or "orders" not in upstream.abilities:
            self._refuse(order, "the upstream is unknown or takes no orders")
        elif order.upstream in self.current:
            self._refuse(order, "another order to this upstream is under way")
        elif not self.access.fresh(now):
            self._refuse(order, "the store is out of reach")
        else:
            self.current[order.upstream] = order
            order.generation = self.access.generation
            self._lock(order)

    def tick(self, now: float) -> None:
        """Send the orders whose time has come and give up those that waited too long."""
        for order in list(self.current.values()):
            if now >= order.free_at:
                self._release(order, over=True)
            elif order.send_at <= now:
                self._send(order, now)

    def answered(self, order: Order, error: errors.GatewayError | None, now: float) -> None:
        """Take in an engine's answer to an order, or its failure."""
        if self.current.get(order.upstream) is not order:
            return
        in_doubt = error is not None and error.run is errors.RunStatus.MAY_HAVE_RUN
        # An order in doubt keeps its place until it can't be at work any more.
        if in_doubt:
            order.free_at = now + self.longest_s
        else:
            self._release(order, over=True)
        self.outbox.append(commands.WakeRequest(order.ticket, Given(order.fence, error)))

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Take in the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, now)

    def _lock(self, order: Order) -> None:
        key = LOCK_PREFIX + order.upstream
        commit = store.Commit(
            conditions=[store.Condition(key, 0)],
            changes=[store.Put(key, self.instance.encode(), lease=self.access.lease)],
        )
        self.outbox.append(commands.StoreCall(commit, Lock(order)))

    def _send(self, order: Order, now: float) -> None:
        """Send an order, if this instance is surely the only orderer and stays so for a while."""
        upstream = self.config.catalog.upstream(order.upstream)
        if upstream is None or order.generation != self.access.generation:
            self._abandon(order, "this instance is not the only orderer any more")
            return
        if now >= order.until:
            self._release(order, over=False)
            self._refuse(order, "it could not be sent in time")
            return
        if now + STOP_LEASE_SHARE * self.access.lease_s > self.access.fresh_until:
            return
        order.send_at = math.inf
        note = commands.LogEvent(
            events.Event.ORDER_SENT, upstream=order.upstream, fence=order.fence
        )
        self.outbox.append(note)
        send = commands.SendOrder(
            order=order,
            address=upstream.address,
            fence=order.fence,
            body=order.body,
            timeout_s=self.longest_s,
        )
        self.outbox.append(send)

    def _release(self, order: Order, *, over: bool) -> None:
        """Let others order; ``over`` tells that no order can be at work."""
        self.current.pop(order.upstream, None)
        changes: list[store.Put | store.Delete] = [store.Delete(LOCK_PREFIX + order.upstream)]
        expects = []
        if order.fence_revision and over:
            key = FENCE_PREFIX + order.upstream
            expects.append(store.Condition(key, order.fence_revision))
            changes.append(store.Put(key, _fence_to_bytes(order.fence, at_work=False)))
        commit = store.Commit(conditions=expects, changes=changes)
        self.outbox.append(commands.StoreCall(commit, Close(order.upstream)))

    def _refuse(self, order: Order, detail: str) -> None:
        error = errors.GatewayError(
            errors.Code.ORDER_REFUSED,
            step=STEP,
            peer=order.upstream,
            detail=detail,
            retry_after=RETRY_AFTER_S,
        )
        self.outbox.append(commands.WakeRequest(order.ticket, Given(0, error)))

    def _abandon(self, order: Order, detail: str) -> None:
        self.current.pop(order.upstream, None)
        self._refuse(order, detail)


def _fence_to_bytes(number: int, *, at_work: bool) -> bytes:
    return json.dumps({"number": number, "at_work": at_work}).encode()


@functools.singledispatch
def _on_store(purpose: typing.Any, orders: Orders, reply: store.Reply, now: float) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: Lock, orders: Orders, reply: store.Reply, now: float) -> None:
    order = purpose.order
    holder = reply.items[0].value.decode() if getattr(reply, "items", []) else ""
    if type(reply) is not store.CommitReply:
        orders._abandon(order, "the store did not answer")
    elif reply.applied or holder == orders.instance:
        call = store.Range(FENCE_PREFIX + order.upstream)
        orders.outbox.append(commands.StoreCall(call, ReadFence(order)))
    else:
        orders._abandon(order, f"{holder} gives an order to this upstream")


@_on_store.register
def _(purpose: ReadFence, orders: Orders, reply: store.Reply, now: float) -> None:
    order = purpose.order
    if type(reply) is not store.RangeReply:
        orders._abandon(order, "the store did not answer")
        return
    revision = reply.items[0].revision if reply.items else 0
    last = json.loads(reply.items[0].value) if reply.items else {"number": 0, "at_work": False}
    fence = last["number"] + 1
    key = FENCE_PREFIX + order.upstream
    commit = store.Commit(
        conditions=[store.Condition(key, revision)],
        changes=[store.Put(key, _fence_to_bytes(fence, at_work=True))],
    )
    purpose = WriteFence(order, fence=fence, wait=last["at_work"])
    orders.outbox.append(commands.StoreCall(commit, purpose))


@_on_store.register
def _(purpose: WriteFence, orders: Orders, reply: store.Reply, now: float) -> None:
    order = purpose.order
    if type(reply) is not store.CommitReply or not reply.applied:
        orders._abandon(order, "the fencing number could not be taken")
        return
    order.fence = purpose.fence
    order.fence_revision = reply.revision
    # An earlier orderer was cut short: its order may be at work for as long as orders take.
    pause = orders.longest_s + orders.access.lease_s + orders.access.drift_s
    order.send_at = now + (pause if purpose.wait else 0.0)
    orders.tick(now)


@_on_store.register
def _(purpose: Close, orders: Orders, reply: store.Reply, now: float) -> None:
    """Nothing to do: a lock that stays behind ends with the session."""
