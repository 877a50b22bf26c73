"""Operators' orders to engines, such as loading a model; an engine never runs two at once.

Each order carries a fencing number taken by compare-and-swap; engines that check fencing numbers
refuse orders with an older one. For engines that don't, a lock bound to a lease in the store admits
one instance at a time: its holder stops sending well before the lease expires, and the next holder
waits for the longest duration of an order.
"""

from __future__ import annotations

import functools
import json
import math
import typing

from yuccahitch import errors, events, records
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.rates import session
from yuccahitch.messages import commands, store

STEP = "order"
LOCK_PREFIX = "orderers/"
FENCE_PREFIX = "fences/"
MAX_ORDER_DURATION_S = 60.0
# No order is sent when less than this fraction of the lease is left.
MIN_LEASE_FRACTION = 0.3
RETRY_AFTER_S = 2.0


class Order(records.Record):
    """An operator's order that has not been completed.

    Attributes:
        ticket: Identifies the operator's call that waits for the result.
        upstream: Name of the engine, which is an upstream.
        body: The order as JSON.
        fence: Its fencing number; 0 until one is taken.
        fence_revision: Store revision at which the fencing number was written; 0 before.
        send_at: When it may be sent, in monotonic seconds; infinity before the fencing number is
            taken and after it was sent.
        send_deadline: When it is refused if it was not sent by then, in monotonic seconds.
        release_at: When an order whose outcome is unknown can't be running any more and the lock is
            released, in monotonic seconds; infinity for the others.
        session_generation: Generation of the store session under which the lock was requested.
    """

    __slots__ = (
        "ticket",
        "upstream",
        "body",
        "fence",
        "fence_revision",
        "send_at",
        "send_deadline",
        "release_at",
        "session_generation",
    )

    def __init__(self, ticket: str, *, upstream: str, body: bytes, send_deadline: float) -> None:
        self.ticket = ticket
        self.upstream = upstream
        self.body = body
        self.fence = 0
        self.fence_revision = 0
        self.send_at = math.inf
        self.send_deadline = send_deadline
        self.release_at = math.inf
        self.session_generation = 0


class LockAcquisition(records.Record):
    """Purpose of the call that acquires the lock of an engine."""

    __slots__ = ("order",)

    def __init__(self, order: Order) -> None:
        self.order = order


class FenceRead(records.Record):
    """Purpose of the call that reads the last fencing number and whether its order is running."""

    __slots__ = ("order",)

    def __init__(self, order: Order) -> None:
        self.order = order


class FenceWrite(records.Record):
    """Purpose of the call that takes the next fencing number.

    Attributes:
        order: The order that gets the number.
        fence: The fencing number.
        wait_for_previous: Whether the previous order was not recorded as finished, so that it may
            still be running.
    """

    __slots__ = ("order", "fence", "wait_for_previous")

    def __init__(self, order: Order, *, fence: int, wait_for_previous: bool) -> None:
        self.order = order
        self.fence = fence
        self.wait_for_previous = wait_for_previous


class LockRelease(records.Record):
    """Purpose of the call that records the end of an order and releases the engine's lock."""

    __slots__ = ("upstream",)

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream


class OrderResult(records.Record):
    """Result of an operator's order.

    Attributes:
        fence: The fencing number of the order, or 0.
        error: Why it was refused or failed, or None if the engine carried it out.
    """

    __slots__ = ("fence", "error")

    def __init__(self, fence: int, error: errors.GatewayError | None) -> None:
        self.fence = fence
        self.error = error


class Orders:
    """Sends orders to engines, one at a time for each engine.

    Args:
        instance: Id of this instance.
        store_session: The instance's session in the store.
        config: Holds the catalog.
        max_duration_s: Longest duration of an order, in seconds.

    Attributes:
        active_orders: The order that this instance handles, by name of the engine.
    """

    __slots__ = ("instance", "store_session", "config", "max_duration_s", "active_orders", "outbox")

    def __init__(
        self,
        instance: str,
        *,
        store_session: session.Session,
        config: configuration.Configuration,
        max_duration_s: float = MAX_ORDER_DURATION_S,
    ) -> None:
        self.instance = instance
        self.store_session = store_session
        self.config = config
        self.max_duration_s = max_duration_s
        self.active_orders: dict[str, Order] = {}
        self.outbox: list[commands.Command] = []

    def begin_order(self, order: Order, now: float) -> None:
        """Begin an order by acquiring the engine's lock, or refuse it.

        Args:
            order: The order.
            now: Monotonic seconds.
        """
        upstream = self.config.catalog.upstream(order.upstream)
        if upstream is None or "orders" not in upstream.abilities:
            self._refuse(order, "the upstream does not exist or does not accept orders")
        elif order.upstream in self.active_orders:
            self._refuse(order, "this instance is already handling another order to this upstream")
        elif not self.store_session.is_fresh(now):
            self._refuse(order, "the store can't be reached")
        else:
            self.active_orders[order.upstream] = order
            order.session_generation = self.store_session.generation
            self._acquire_lock(order)

    def tick(self, now: float) -> None:
        """Send the orders that are due and release the locks of those that can't run any more."""
        for order in list(self.active_orders.values()):
            if now >= order.release_at:
                self._release_lock(order, order_finished=True)
            elif order.send_at <= now:
                self._send(order, now)

    def on_order_reply(self, order: Order, error: errors.GatewayError | None, now: float) -> None:
        """Process an engine's reply to an order, or the failure to get one.

        Args:
            order: The order that was sent.
            error: The failure, or None if the engine carried the order out.
            now: Monotonic seconds.
        """
        if self.active_orders.get(order.upstream) is not order:
            return
        outcome_unknown = error is not None and error.run is errors.RunStatus.MAY_HAVE_RUN
        # The lock is kept until an order of unknown outcome can't be running any more.
        if outcome_unknown:
            order.release_at = now + self.max_duration_s
        else:
            self._release_lock(order, order_finished=True)
        self.outbox.append(commands.WakeRequest(order.ticket, OrderResult(order.fence, error)))

    def on_store(self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float) -> None:
        """Process the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, now)

    def _acquire_lock(self, order: Order) -> None:
        """Ask the store for the engine's lock, bound to this instance's lease."""
        key = LOCK_PREFIX + order.upstream
        commit = store.Commit(
            conditions=[store.Condition(key, 0)],
            changes=[store.Put(key, self.instance.encode(), lease=self.store_session.lease)],
        )
        self.outbox.append(commands.StoreCall(commit, LockAcquisition(order)))

    def _send(self, order: Order, now: float) -> None:
        """Send an order if this instance surely holds the lock and its lease lasts long enough.

        With less than ``MIN_LEASE_FRACTION`` of the lease left, the order waits for a later tick.
        """
        upstream = self.config.catalog.upstream(order.upstream)
        if upstream is None or order.session_generation != self.store_session.generation:
            self._abandon(order, "this instance does not hold the lock of the upstream any more")
            return
        if now >= order.send_deadline:
            self._release_lock(order, order_finished=False)
            self._refuse(order, "the order could not be sent before its deadline")
            return
        if now + MIN_LEASE_FRACTION * self.store_session.lease_s > self.store_session.fresh_until:
            return
        order.send_at = math.inf
        log_event = commands.LogEvent(
            events.Event.ORDER_SENT, upstream=order.upstream, fence=order.fence
        )
        self.outbox.append(log_event)
        command = commands.SendOrder(
            order=order,
            address=upstream.address,
            fence=order.fence,
            body=order.body,
            timeout_s=self.max_duration_s,
        )
        self.outbox.append(command)

    def _release_lock(self, order: Order, *, order_finished: bool) -> None:
        """Release the engine's lock.

        Args:
            order: The order that held the lock.
            order_finished: Whether the order can't be running any more; this is recorded with its
                fencing number, so that the next order need not wait.
        """
        self.active_orders.pop(order.upstream, None)
        changes: list[store.Put | store.Delete] = [store.Delete(LOCK_PREFIX + order.upstream)]
        expects = []
        if order.fence_revision and order_finished:
            key = FENCE_PREFIX + order.upstream
            expects.append(store.Condition(key, order.fence_revision))
            changes.append(store.Put(key, _fence_to_bytes(order.fence, at_work=False)))
        commit = store.Commit(conditions=expects, changes=changes)
        self.outbox.append(commands.StoreCall(commit, LockRelease(order.upstream)))

    def _refuse(self, order: Order, detail: str) -> None:
        """Reply to the operator that the order was not sent."""
        error = errors.GatewayError(
            errors.Code.ORDER_REFUSED,
            step=STEP,
            peer=order.upstream,
            detail=detail,
            retry_after=RETRY_AFTER_S,
        )
        self.outbox.append(commands.WakeRequest(order.ticket, OrderResult(0, error)))

    def _abandon(self, order: Order, detail: str) -> None:
        """Refuse an order and leave its lock alone, as this instance may not hold it."""
        self.active_orders.pop(order.upstream, None)
        self._refuse(order, detail)


def _fence_to_bytes(number: int, *, at_work: bool) -> bytes:
    return json.dumps({"number": number, "at_work": at_work}).encode()


@functools.singledispatch
def _on_store(purpose: typing.Any, orders: Orders, reply: store.Reply, now: float) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: LockAcquisition, orders: Orders, reply: store.Reply, now: float) -> None:
    order = purpose.order
    holder = reply.items[0].value.decode() if getattr(reply, "items", []) else ""
    if type(reply) is not store.CommitReply:
        orders._abandon(order, "the store did not answer")
    elif reply.applied or holder == orders.instance:
        call = store.Range(FENCE_PREFIX + order.upstream)
        orders.outbox.append(commands.StoreCall(call, FenceRead(order)))
    else:
        orders._abandon(order, f"instance {holder} holds the lock of this upstream")


@_on_store.register
def _(purpose: FenceRead, orders: Orders, reply: store.Reply, now: float) -> None:
    order = purpose.order
    if type(reply) is not store.RangeReply:
        orders._abandon(order, "the store did not answer")
        return
    revision = reply.items[0].revision if reply.items else 0
    last_fence = (
        json.loads(reply.items[0].value) if reply.items else {"number": 0, "at_work": False}
    )
    fence = last_fence["number"] + 1
    key = FENCE_PREFIX + order.upstream
    commit = store.Commit(
        conditions=[store.Condition(key, revision)],
        changes=[store.Put(key, _fence_to_bytes(fence, at_work=True))],
    )
    purpose = FenceWrite(order, fence=fence, wait_for_previous=last_fence["at_work"])
    orders.outbox.append(commands.StoreCall(commit, purpose))


@_on_store.register
def _(purpose: FenceWrite, orders: Orders, reply: store.Reply, now: float) -> None:
    order = purpose.order
    if type(reply) is not store.CommitReply or not reply.applied:
        orders._abandon(order, "the store did not accept the next fencing number")
        return
    order.fence = purpose.fence
    order.fence_revision = reply.revision
    # The previous holder of the lock did not record the end of its order, which may be running for
    # as long as an order takes.
    delay_s = orders.max_duration_s + orders.store_session.lease_s + orders.store_session.drift_s
    order.send_at = now + (delay_s if purpose.wait_for_previous else 0.0)
    orders.tick(now)


@_on_store.register
def _(purpose: LockRelease, orders: Orders, reply: store.Reply, now: float) -> None:
    """Nothing to do: a lock that was not released expires with the lease of the session."""
