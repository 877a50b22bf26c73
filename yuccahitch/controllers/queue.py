"""Requests that wait for a place at an upstream, in fair shares by client account.

Source: start-time fair queuing, Goyal, Vin and Cheng, 1996, with two lanes for each account.
"""

from __future__ import annotations

import collections
import itertools
import typing

from yuccahitch import records
from yuccahitch.controllers import rules as policy

SHORT_PER_LONG = 4


class Waiting(records.Record):
    """A request in the queue.

    Attributes:
        request_id: The request.
        account: Its client account.
        service: Its service.
        weight: Weight of the account.
        cost: Estimated work, in tokens.
        long: Whether it is long.
        until: When it gives up, in monotonic seconds.
    """

    __slots__ = ("request_id", "account", "service", "weight", "cost", "long", "until")

    def __init__(
        self,
        *,
        request_id: str,
        account: str,
        service: str,
        weight: float,
        cost: float,
        long: bool,
        until: float,
    ) -> None:
        self.request_id = request_id
        self.account = account
        self.service = service
        self.weight = weight
        self.cost = cost
        self.long = long
        self.until = until


class Lane:
    """One account's requests for one service.

    Attributes:
        short: Its short requests.
        long: Its long ones.
        start: Its place in the fair order.
        turns: Requests taken so far.
        cost: Work that waits, in tokens.
        weight: Weight of the account.
    """

    __slots__ = ("short", "long", "start", "turns", "cost", "weight")

    def __init__(self) -> None:
        self.short: collections.deque[Waiting] = collections.deque()
        self.long: collections.deque[Waiting] = collections.deque()
        self.start = 0.0
        self.turns = 0
        self.cost = 0.0
        self.weight = 1.0


class Queue:
    """Orders the waiting requests of each service.

    Args:
        capacity: Most requests that wait.
        rules: Rules in force.
    """

    __slots__ = ("capacity", "rules", "lanes", "clock", "costs", "size")

    def __init__(self, *, capacity: int = 512, rules: policy.Rules | None = None) -> None:
        self.capacity = capacity
        self.rules = rules or policy.Rules()
        self.lanes: dict[str, dict[str, Lane]] = {}
        self.clock: dict[str, float] = {}
        self.costs: dict[str, float] = {}
        self.size = 0

    def add(self, item: Waiting) -> bool:
        """Put a request at the end of its lane; return False when the queue is full."""
        if self.size >= self.capacity:
            return False
        owner = item.account if self.rules.fair_queue else ""
        lane = self.lanes.setdefault(item.service, {}).setdefault(owner, Lane())
        if not lane.short and not lane.long:
            lane.start = max(lane.start, self.clock.get(item.service, 0.0))
        self._line(lane, item).append(item)
        lane.cost += item.cost
        lane.weight = item.weight
        self.size += 1
        self.costs[item.service] = self.costs.get(item.service, 0.0) + item.cost
        return True

    def pop(self, service: str, *, allow_long: bool = True) -> Waiting | None:
        """Take the next request of a service, or None if none may go now."""
        lanes = self.lanes.get(service, {})
        ready = [
            (lane.start, owner)
            for owner, lane in lanes.items()
            if lane.short or (lane.long and allow_long)
        ]
        if not ready:
            return None
        start, owner = min(ready)
        lane = lanes[owner]
        item = self._next(lane, allow_long)
        self.clock[service] = max(self.clock.get(service, 0.0), start)
        lane.start = start + item.cost / item.weight
        self._forget(item.service, owner)
        self._gone(item)
        return item

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out, wherever it stands."""
        for item in self._all():
            if item.request_id == request_id:
                return self._take(item)
        return None

    def expire(self, now: float) -> list[Waiting]:
        """Take out the requests that have waited for too long."""
        return [self._take(item) for item in list(self._all()) if now >= item.until]

    def waiting_cost(self, service: str) -> float:
        """Return the work that waits for a service, in tokens."""
        return self.costs.get(service, 0.0)

    def ahead(self, service: str, account: str, *, weight: float, cost: float) -> float:
        """Return the work that is done before a new request of an account, in tokens.

        In the fair order other accounts go first only as far as their share goes.
        """
        lanes = self.lanes.get(service, {})
        owner = account if self.rules.fair_queue else ""
        own = lanes[owner].cost if owner in lanes else 0.0
        mine = (own + cost) / weight
        return own + sum(
            min(lane.cost, mine * lane.weight) for name, lane in lanes.items() if name != owner
        )

    def services(self) -> list[str]:
        """Return the services that requests wait for."""
        return [
            service
            for service, lanes in self.lanes.items()
            if any(lane.short or lane.long for lane in lanes.values())
        ]

    def _all(self) -> typing.Iterator[Waiting]:
        lanes = itertools.chain.from_iterable(lanes.values() for lanes in self.lanes.values())
        return itertools.chain.from_iterable(
            itertools.chain(lane.short, lane.long) for lane in lanes
        )

    def _line(self, lane: Lane, item: Waiting) -> collections.deque[Waiting]:
        return lane.long if item.long and self.rules.short_lane else lane.short

    def _next(self, lane: Lane, allow_long: bool) -> Waiting:
        lane.turns += 1
        long_turn = lane.turns % (SHORT_PER_LONG + 1) == 0
        if lane.long and allow_long and (long_turn or not lane.short):
            return lane.long.popleft()
        return lane.short.popleft()

    def _take(self, item: Waiting) -> Waiting:
        owner = item.account if self.rules.fair_queue else ""
        lanes = self.lanes[item.service]
        self._line(lanes[owner], item).remove(item)
        self._forget(item.service, owner)
        self._gone(item)
        return item

    def _forget(self, service: str, owner: str) -> None:
        """Drop an empty lane that owes nothing for earlier work."""
        lane = self.lanes[service][owner]
        if not lane.short and not lane.long and lane.start <= self.clock.get(service, 0.0):
            del self.lanes[service][owner]

    def _gone(self, item: Waiting) -> None:
        owner = item.account if self.rules.fair_queue else ""
        lane = self.lanes[item.service].get(owner)
        if lane is not None:
            lane.cost -= item.cost
        self.size -= 1
        self.costs[item.service] -= item.cost
